//! A fleet of senders in one small world: the real decision modules, one clock, one seed, and partners that have a
//! limit, a capacity, outages and places for connections. What the fleet does is counted at the partner, since what is
//! harmless from one sender may not be from a hundred. It opens no socket and reads no clock.
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

pub use partner::{Count, LimitModel, Partner, SLOW_START};
pub use world::{GossipFaults, Verdicts, World, settings};
