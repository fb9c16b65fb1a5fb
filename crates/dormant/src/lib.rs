//! Destinations that nothing is sent to for long: when they fall asleep ([`Awake`]), what is remembered of them
//! meanwhile ([`Memory`]) and how fast they may wake ([`Waking`]). No I/O, and no clock but the times that are told.
//!
//! ```
//! use dormant::{Facts, Memory, Recall};
//!
//! let day = 86_400_000_000;
//! let mut memory = Memory::new(1_000, 30 * day, 0);
//! memory.keep("a charity", Facts { wait_until: day, limit: 5.0, ..Facts::default() }, 0)?;
//! let Some(Recall::Known { facts, .. }) = memory.take("a charity", day / 2) else { panic!() };
//! assert_eq!(facts.wait_until, day);
//! # Ok::<(), dormant::MemoryFull>(())
//! ```

mod awake;
mod memory;
mod packed;
mod waking;

pub use awake::Awake;
pub use memory::{Memory, MemoryFull, Recall, bytes_each};
pub use packed::{Facts, Worst};
pub use waking::Waking;

/// A point in time or a span, in microseconds.
pub type Micros = u64;
