//! Destinations that nothing is sent to for long: when they fall asleep ([`Awake`]), what is remembered of them
//! meanwhile ([`Memory`]) and how fast they may wake ([`Waking`]). No I/O, and no clock but the times that are told.
//!
//! ```
//! use idle_destinations::{IdleTable, RetainedHealth};
//!
//! let day = 86_400_000_000;
//! let mut table = IdleTable::new(1_000, 30 * day, 0);
//! table.insert("a charity", RetainedHealth { wait_until: day, limit: 5.0, ..RetainedHealth::default() }, 0)?;
//! let retained = table.take("a charity", day / 2);
//! assert_eq!(retained.map(|health| health.wait_until), Some(day));
//! # Ok::<(), idle_destinations::IdleTableFull>(())
//! ```

mod awake;
mod memory;
mod packed;
mod waking;

pub use awake::ActiveSet;
pub use memory::{IdleTable, IdleTableFull, bytes_per_entry};
pub use packed::{Condition, RetainedHealth};
pub use waking::ActivationLimiter;

/// A point in time or a span, in microseconds.
pub type Micros = u64;
