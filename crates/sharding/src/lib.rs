//! Several cores of one sender: which core owns which destination, how room moves between them, and which core has to hear
//! what. `docs/cores.md` tells what is divided and what is shared, and why.
//!
//! - [`Owners`]: each destination's one owner, as an immutable value that is replaced as a whole.
//! - [`Router`]: one core's view of calls that are out on its connections for other cores, and the other way round.
//! - [`Pool`]: what belongs to the whole process (slots, room for messages, descriptors), leased to cores in pieces.
//! - [`Planner`]: when it is worth it to move a destination.
//!
//! It must never do I/O, ask a clock or decide on a message.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod owners;
mod planner;
mod pool;
mod router;

pub use owners::{OwnershipMap, ShardId};
pub use planner::{DestinationLoad, Migration, Plan, Planner};
pub use pool::{LeasePool, LeaseUpdate};
pub use router::{Attempt, AttemptRouter};

/// A point in time or a span, in microseconds.
pub type Micros = u64;

/// Cores of one process at most.
pub const MOST: usize = 64;
