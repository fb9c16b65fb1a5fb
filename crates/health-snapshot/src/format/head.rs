//! The head of a generation's file.

use super::{MAGIC, MAX_TEXT_BYTES};

/// Bytes of a head without the owner's name.
const FIXED_BYTES: usize = 8 + 2 + 2 + 8 + 8 + 4;
const CHECKSUM_BYTES: usize = 4;
const VERSION_AT: usize = 8;
const OWNER_LENGTH_AT: usize = 10;
const SEQUENCE_AT: usize = 12;
const SHIFT_AT: usize = 20;
const OWNER_AT: usize = 28;

/// A generation's head.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Head {
    /// The format's version.
    pub version: u16,
    /// The generation's number, one more than that of the previous generation.
    pub sequence: u64,
    /// The difference that is added to the times of earlier generations.
    pub shift: i64,
    /// The name of the sender that wrote it.
    pub owner: String,
}

impl Head {
    /// Returns the encoded head, with the owner's name truncated to [`MAX_TEXT_BYTES`].
    pub fn bytes(&self) -> Vec<u8> {
        let mut owner = self.owner.clone();
        while owner.len() > MAX_TEXT_BYTES {
            owner.pop();
        }
        let mut bytes = MAGIC.to_vec();
        bytes.extend_from_slice(&self.version.to_le_bytes());
        bytes.extend_from_slice(&(owner.len() as u16).to_le_bytes());
        bytes.extend_from_slice(&self.sequence.to_le_bytes());
        bytes.extend_from_slice(&self.shift.to_le_bytes());
        bytes.extend_from_slice(owner.as_bytes());
        let crc = crc32fast::hash(&bytes);
        bytes.extend_from_slice(&crc.to_le_bytes());
        bytes
    }

    /// Decodes a head. Returns it with the position where the frames begin, or none if it is truncated or damaged.
    pub fn read(bytes: &[u8]) -> Option<(Self, usize)> {
        let u16_at = |at: usize| bytes.get(at..at + 2)?.try_into().ok().map(u16::from_le_bytes);
        let u64_at = |at: usize| bytes.get(at..at + 8)?.try_into().ok().map(u64::from_le_bytes);
        let end = FIXED_BYTES + usize::from(u16_at(OWNER_LENGTH_AT)?);
        let (body, crc) = bytes.get(..end)?.split_at(end - CHECKSUM_BYTES);
        let valid = body.starts_with(&MAGIC) && crc == crc32fast::hash(body).to_le_bytes();
        let head = Self {
            version: u16_at(VERSION_AT)?,
            sequence: u64_at(SEQUENCE_AT)?,
            shift: u64_at(SHIFT_AT)? as i64,
            owner: String::from_utf8(body.get(OWNER_AT..)?.to_vec()).ok()?,
        };
        valid.then_some((head, end))
    }
}
