//! Several cores of one sender: a thread each, with a driver, a module, clients' connections and calls of its own. What they
//! share is here; what each owns, and who hears what, the package `cores` decides (`docs/sharding.md`).

pub mod elsewhere;
pub mod post;
pub mod team;

pub use elsewhere::Elsewhere;
pub use post::{Bundle, Post, Say};
/// Advice to clients whose destination's core has more to do than it can take in, in microseconds.
pub const BUSY_AGAIN: u64 = 250_000;

pub use team::{Figures, Room, Team};
