//! The header of a segment.

use super::reader::FieldReader;
use super::{HEADER_SIZE, MAGIC, VERSION};
use crate::record::Micros;

/// Offset of the first of the header's four numbers, after magic, version and two zero bytes.
const NUMBERS_OFFSET: usize = 12;
/// Offset of the checksum, which covers all bytes before it.
const CHECKSUM_OFFSET: usize = HEADER_SIZE - 4;

/// What the header of a segment states.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SegmentHeader {
    /// The segment's sequence number, one more than that of the segment before it.
    pub sequence: u64,
    /// Segments with a lower sequence number are no longer part of the log.
    pub floor: u64,
    /// Records written to all segments before this one since the journal was created.
    pub records_before: u64,
    /// When the segment was created.
    pub created_at: Micros,
}

/// Why a header can't be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeaderError {
    /// There are fewer bytes than a header has: the process ended while it was written.
    Truncated,
    /// The magic or the checksum is wrong.
    Corrupt,
    /// The header is intact and has this unsupported format version.
    UnsupportedVersion(u16),
}

impl SegmentHeader {
    /// Encodes the header.
    pub fn to_bytes(self) -> [u8; HEADER_SIZE] {
        let mut bytes = [0; HEADER_SIZE];
        bytes[..8].copy_from_slice(&MAGIC);
        bytes[8..10].copy_from_slice(&VERSION.to_le_bytes());
        let numbers = [self.sequence, self.floor, self.records_before, self.created_at];
        for (index, number) in numbers.into_iter().enumerate() {
            let offset = NUMBERS_OFFSET + index * size_of::<u64>();
            bytes[offset..offset + size_of::<u64>()].copy_from_slice(&number.to_le_bytes());
        }
        let checksum = crc32fast::hash(&bytes[..CHECKSUM_OFFSET]);
        bytes[CHECKSUM_OFFSET..].copy_from_slice(&checksum.to_le_bytes());
        bytes
    }

    /// Decodes the header at the start of a segment.
    ///
    /// # Errors
    /// Fails when the bytes are not an intact header of this format version.
    pub fn read(bytes: &[u8]) -> Result<Self, HeaderError> {
        let bytes = bytes.get(..HEADER_SIZE).ok_or(HeaderError::Truncated)?;
        match Self::read_any_version(bytes) {
            Some((header, VERSION)) => Ok(header),
            Some((_, version)) => Err(HeaderError::UnsupportedVersion(version)),
            None => Err(HeaderError::Corrupt),
        }
    }

    /// Returns the header and its version if magic and checksum are right.
    fn read_any_version(bytes: &[u8]) -> Option<(Self, u16)> {
        let mut fields = FieldReader::new(bytes);
        let magic = fields.bytes(MAGIC.len())?;
        let version = fields.u16()?;
        let _zero = fields.u16()?;
        let header = Self {
            sequence: fields.u64()?,
            floor: fields.u64()?,
            records_before: fields.u64()?,
            created_at: fields.u64()?,
        };
        let checksum = fields.u32()?;
        let intact = magic == MAGIC && checksum == crc32fast::hash(&bytes[..CHECKSUM_OFFSET]);
        intact.then_some((header, version))
    }
}
