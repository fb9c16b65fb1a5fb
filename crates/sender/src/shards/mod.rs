//! Several shards of one sender: a thread each, with an event loop, a decision module, clients' connections
//! and calls of its own. What they share is here; who owns what, and who receives what, the package
//! `sharding` decides (`docs/sharding.md`).

pub mod group;
pub mod mailbox;
pub mod remote;

pub use mailbox::{MigratedDestination, ShardHandle, ShardMessage};
pub use remote::RemoteShards;
/// Retry-After in microseconds for clients whose destination's shard has a full mailbox.
pub const RETRY_AFTER_MAILBOX_FULL: u64 = 250_000;

pub use group::{Figures, ShardGroup, ShardQuotas};
