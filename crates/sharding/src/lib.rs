//! Sharding of one process over several threads: which shard owns which destination, how shared capacity is leased to shards,
//! and which shard is notified of what while destinations migrate. `docs/sharding.md` explains what is partitioned and what is
//! shared.
//!
//! - [`OwnershipMap`]: the owner of each destination, as an immutable value that is replaced atomically.
//! - [`AttemptRouter`]: a shard's view of attempts on its connections that other shards own, and of its attempts on theirs.
//! - [`LeasePool`]: capacity of the whole process (call slots, messages, descriptors), leased to shards.
//! - [`Planner`]: proposes migrations of destinations to even out the load.
//!
//! The package must not do I/O, read a clock or decide on a message.
#![forbid(unsafe_code)]

mod ownership;
mod planner;
mod pool;
mod router;

pub use ownership::{OwnershipMap, ShardId};
pub use planner::{DestinationLoad, Migration, Plan, Planner};
pub use pool::{LeasePool, LeaseUpdate};
pub use router::{AttemptId, AttemptRouter, ForeignAttempt};

/// A point in time or a span, in microseconds.
pub type Micros = u64;

/// Maximum number of shards in one process.
pub const MAX_SHARDS: usize = 64;
