//! State and mailboxes of a sender that runs several shards.
//!
//! Each shard has a thread with an event loop, a decision module, clients' connections and calls of its own. The
//! package `sharding` decides which shard owns a destination and which one receives a message (`docs/sharding.md`).

pub mod group;
pub mod mailbox;
pub mod remote;

pub use mailbox::{MigratedDestination, ShardHandle, ShardMessage};
pub use remote::RemoteShards;
/// Retry-After for clients if the mailbox of the shard that owns their destination is full, in microseconds.
pub const RETRY_AFTER_MAILBOX_FULL: u64 = 250_000;

pub use group::{Figures, ShardGroup, ShardQuotas};
