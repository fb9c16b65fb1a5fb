//! The file `journal` of versions before 0.2, which is read once and migrated.
//!
//! It is a single file of frames. Each holds a length and a CRC-32 (both `u32`, little-endian), followed by a record in
//! postcard.

use crate::record::Record;
use crate::state::State;

#[cfg(test)]
mod tests;

/// The file's name.
pub const FILE_NAME: &str = "journal";
/// Size of a frame's length and checksum in bytes.
const FRAME_HEADER_SIZE: usize = 8;

/// Applies the file's records to a state, up to the first that can't be read, as the versions that wrote it did.
pub fn read(bytes: &[u8], state: &mut State) {
    let mut offset = 0;
    while let Some((record, size)) = bytes.get(offset..).and_then(read_frame) {
        state.apply(record, 0);
        offset += size;
    }
}

/// Returns the record of the first frame and the frame's size in bytes.
fn read_frame(bytes: &[u8]) -> Option<(Record, usize)> {
    let length = u32_at(bytes, 0)? as usize;
    let checksum = u32_at(bytes, 4)?;
    let end = length.checked_add(FRAME_HEADER_SIZE)?;
    let body = bytes.get(FRAME_HEADER_SIZE..end)?;
    if crc32fast::hash(body) != checksum {
        return None;
    }
    Some((postcard::from_bytes(body).ok()?, end))
}

fn u32_at(bytes: &[u8], offset: usize) -> Option<u32> {
    Some(u32::from_le_bytes(*bytes.get(offset..)?.first_chunk()?))
}
