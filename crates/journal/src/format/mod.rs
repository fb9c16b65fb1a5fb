//! The byte format of a log segment, without I/O.
//!
//! A segment is a header of [`HEADER_SIZE`] bytes followed by frames. All numbers are little-endian.
//!
//! ```text
//! header  magic[8] version:u16 0:u16 sequence:u64 floor:u64 records:u64 created:u64 crc:u32
//! frame   length:u32 crc:u32 body[length]
//! body    tag:u8 fields…
//! ```
//!
//! A frame's CRC-32 covers its body and is seeded with the segment's sequence number, so that bytes of one segment are
//! not valid frames in another. Texts are prefixed with their length as `u16`, message bodies as `u32`.
//!
//! Each append is one batch and begins with a [`LogEntry::BatchStart`], which states how many records precede it in the
//! segment. The records lost in a damaged range can therefore be counted.

mod frame;
mod header;
mod reader;
#[cfg(test)]
mod tests;
mod writer;

pub use frame::{BatchOffset, Frame, batch_starts, frame_at};
pub use header::{HeaderError, SegmentHeader};
pub use writer::{FrameWriter, RecordTooLong, relocated_size};

use crate::record::{Micros, PendingMessage, Record};

/// The first bytes of every segment.
pub const MAGIC: [u8; 8] = *b"myrtle-j";
/// The format version that is written. No other version is read.
pub const VERSION: u16 = 2;
/// Size of a segment's header in bytes.
pub const HEADER_SIZE: usize = 48;
/// Size of a frame's length and checksum in bytes.
pub const FRAME_HEADER_SIZE: usize = 8;
/// Longest frame body in bytes; a frame that states a longer one is damaged. A message has a body of 64 KiB and headers
/// of 16 KiB at most.
pub const MAX_FRAME_BODY: usize = 1 << 18;

/// What a frame holds.
#[derive(Debug, Clone, PartialEq)]
pub enum LogEntry {
    /// The first frame of an append.
    BatchStart {
        /// When the batch was written.
        at: Micros,
        /// Frames in the segment before this one, batch starts among them.
        records_before: u32,
        /// Length of the segment that was durable when the batch was written. Damage below it can't be a torn write.
        durable_bytes: u32,
    },
    /// An event of one message, or an entry of the ledger.
    Record(Record),
    /// The complete state of a message, which compaction copied here. It replaces all earlier records of the message.
    Relocated(u32, PendingMessage),
    /// Segments with a lower sequence number are no longer part of the log.
    Floor(u64),
}

/// The first byte of a frame's body. The numbers are stored and never reassigned.
mod tag {
    pub const BATCH_START: u8 = 1;
    pub const ACCEPTED: u8 = 2;
    pub const ATTEMPT_STARTED: u8 = 3;
    pub const ATTEMPT_ENDED: u8 = 4;
    pub const ABANDONED: u8 = 5;
    pub const COMPLETED: u8 = 6;
    pub const RELOCATED: u8 = 7;
    pub const FLOOR: u8 = 8;
    pub const LEDGER_ENTRY: u8 = 9;
}

/// The byte that identifies the variant of an [`Abandonment`](crate::record::Abandonment). The numbers are stored and
/// never reassigned.
mod abandonment_tag {
    pub const DEFERRED: u8 = 0;
    pub const UNDELIVERABLE: u8 = 1;
}

/// CRC-32 of a frame's body, seeded with the low half of the segment's sequence number.
fn checksum(segment: u64, body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new_with_initial(segment as u32);
    hasher.update(body);
    hasher.finalize()
}
