//! Idle destinations, to which nothing has been sent for some time: when a destination becomes idle ([`ActiveSet`]),
//! what is retained of it meanwhile ([`IdleTable`]) and how fast idle destinations are activated again
//! ([`ActivationLimiter`]). The crate has no I/O and no clock: the caller passes the time.
//! `docs/idle-destinations.md` explains the design.
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

mod activation;
mod active;
mod packed;
mod table;

pub use activation::ActivationLimiter;
pub use active::ActiveSet;
pub use packed::{Condition, RetainedHealth};
pub use table::{IdleTable, IdleTableFull, bytes_per_entry};

/// A point in time or a duration, in microseconds.
pub type Micros = u64;
