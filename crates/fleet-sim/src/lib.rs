//! A deterministic simulation of a fleet of senders: it runs the real decision modules with one simulated clock and one
//! seed, against partners that have a rate limit, a capacity, outages and slow starts. Calls are counted at the partner,
//! because behaviour that is harmless in one sender may not be in a hundred. It opens no sockets and reads no real clock.
//!
//! ```
//! use fleet_sim::{Partner, World};
//!
//! let mut world = World::new(12, vec![Partner { limit: 24.0, ..Partner::default() }], 7);
//! world.run(5.0, 20.0);
//! assert!(world.partners[0].count.delivered > 0);
//! ```

mod partner;
mod world;

pub use partner::{Counts, LimitModel, Partner, SLOW_START};
pub use world::{GossipOptions, Violations, World, settings};
