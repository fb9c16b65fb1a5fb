//! Encoding of a generation's file. No I/O.
//!
//! All numbers are little-endian. The head, timestamps and waits (the ends of an active Retry-After or backoff) have the same
//! layout in all versions, so that any version reads the waits of any other; the rest is read by its own version alone.
//!
//! ```text
//! head   magic[8] version:u16 owner_length:u16 sequence:u64 shift:i64 owner[…] crc:u32
//! frame  length:u32 crc:u32 kind:u8 payload[length - 1]     crc over kind and payload, seeded with the sequence
//!
//! 1 timestamp  wall:u64 boot_id:u128 boot_at:u64            boot_id 0: no monotonic clock
//! 2 wait       destination:u16 until:u64 endpoint[…]        no endpoint: the destination's common route
//! 3 routes     a destination and some of its routes         postcard
//! 4 endpoints  a destination and some of its endpoints      postcard
//! 5 list       index:u64 confirmed_at:u64                   all endpoints up to that version precede it
//! 6 baseline   omitted:u32                                  earlier generations are obsolete
//! 7 removed    destination:u16                              the destination has no record any more
//! ```
//!
//! `shift` is added to the times of earlier generations, so that all are on this one's clock: it is the difference between the
//! two clocks that its writer computed when it started. Every append begins with a timestamp.

mod entry;
mod frame;
mod head;
mod route;
mod writer;

pub use entry::Entry;
pub use frame::{Frame, frame_at, is_truncated, next_timestamp};
pub use head::Head;
pub use writer::Writer;

/// The first bytes of a file.
pub const MAGIC: [u8; 8] = *b"myrtle-k";
/// The format version that is written.
pub const VERSION: u16 = 1;
/// Bytes of a frame before its kind.
pub const FRAME_HEADER_BYTES: usize = 8;
/// The longest frame. One that states a greater length is damaged.
pub const MAX_FRAME_BYTES: usize = 64 << 10;
/// Names and addresses that are longer are not recorded.
pub const MAX_TEXT_BYTES: usize = 512;
/// Length of a timestamp's payload.
const TIMESTAMP_BYTES: usize = 8 + 16 + 8;

/// Kinds of frames.
mod kind {
    pub(super) const TIMESTAMP: u8 = 1;
    pub(super) const WAIT: u8 = 2;
    pub(super) const ROUTES: u8 = 3;
    pub(super) const ENDPOINTS: u8 = 4;
    pub(super) const LIST: u8 = 5;
    pub(super) const BASELINE: u8 = 6;
    pub(super) const REMOVED: u8 = 7;
}

/// Body of a frame with some of a destination's routes or endpoints. Encoded by position.
#[derive(serde::Serialize, serde::Deserialize)]
struct Chunk<T> {
    destination: u16,
    /// Whether the items replace those that precede them.
    first: bool,
    items: T,
}
