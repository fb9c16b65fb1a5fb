//! Frames: where they begin and end, and whether they are undamaged.

use super::{FRAME_HEADER_BYTES, MAX_FRAME_BYTES, TIMESTAMP_BYTES, kind};

/// A frame with a valid checksum.
#[derive(Debug, Clone, Copy)]
pub struct Frame<'a> {
    pub(super) kind: u8,
    pub(super) payload: &'a [u8],
    /// Where the next frame begins.
    pub end: usize,
}

/// Returns the checksum of a frame's body. It is seeded with the sequence, so that it differs between generations.
pub(super) fn checksum(sequence: u64, body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new_with_initial(sequence as u32);
    hasher.update(body);
    hasher.finalize()
}

/// Returns the frame at that position, or none if it is truncated or damaged.
pub fn frame_at(sequence: u64, bytes: &[u8], at: usize) -> Option<Frame<'_>> {
    let length = u32::from_le_bytes(*bytes.get(at..)?.first_chunk()?) as usize;
    if length == 0 || length > MAX_FRAME_BYTES {
        return None;
    }
    let start = at + FRAME_HEADER_BYTES;
    let body = bytes.get(start..start + length)?;
    let crc = bytes.get(at + 4..start)?;
    let valid = crc == checksum(sequence, body).to_le_bytes();
    valid.then(|| Frame { kind: body[0], payload: &body[1..], end: start + length })
}

/// Returns the position of the next timestamp at or after `from`, where reading can resume after a damaged range.
pub fn next_timestamp(sequence: u64, bytes: &[u8], from: usize) -> Option<usize> {
    let length = (1 + TIMESTAMP_BYTES as u32).to_le_bytes();
    let mut at = from;
    while let Some(remaining) = bytes.get(at..) {
        at += remaining.windows(length.len()).position(|window| window == length)?;
        if frame_at(sequence, bytes, at).is_some_and(|frame| frame.kind == kind::TIMESTAMP) {
            return Some(at);
        }
        at += 1;
    }
    None
}

/// Returns whether these are only the first bytes of a frame, as an interrupted write leaves them.
pub fn is_truncated(bytes: &[u8]) -> bool {
    let Some(length) = bytes.first_chunk() else { return true };
    let length = u32::from_le_bytes(*length) as usize;
    length > 0 && length <= MAX_FRAME_BYTES && bytes.len() < FRAME_HEADER_BYTES + length
}
