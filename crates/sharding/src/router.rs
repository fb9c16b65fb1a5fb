//! Routing of attempts while destinations migrate: which shard is notified when an attempt ends, and which one can cancel it.

use std::collections::BTreeMap;

use crate::ShardId;

/// Identifies an attempt within the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The message's number.
    pub message: u32,
    /// The attempt's number within the message.
    pub attempt: u16,
}

impl AttemptId {
    /// Creates the identifier of an attempt from its message's number and its own.
    pub fn new(message: u32, attempt: u16) -> Self {
        Self { message, attempt }
    }
}

/// An attempt whose destination migrates, and the shard that has its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ForeignAttempt {
    /// The attempt.
    pub attempt: AttemptId,
    /// The shard that has its connection.
    pub shard: ShardId,
}

/// An attempt on a connection of this shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct LocalAttempt<E> {
    destination: u16,
    endpoint: E,
}

/// One shard's view of attempts. An attempt stays on its connection while its destination may migrate, and the destination's
/// current owner is notified of the outcome. Attempts on this shard's connections are recorded with their destinations, so that
/// the owner can be notified. Attempts of destinations that migrated to this shard are recorded with the shard that has their
/// connection, so that they can be cancelled. `E` identifies an endpoint. Bounded by the number of attempts in flight.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct AttemptRouter<E> {
    shard: ShardId,
    /// Attempts on connections of this shard.
    local: BTreeMap<AttemptId, LocalAttempt<E>>,
    /// Attempts that this shard owns, with the other shard that has their connection.
    foreign: BTreeMap<AttemptId, ShardId>,
}

impl<E: Copy + PartialEq> AttemptRouter<E> {
    /// Creates the view of a shard without attempts.
    pub fn new(shard: ShardId) -> Self {
        Self { shard, local: BTreeMap::new(), foreign: BTreeMap::new() }
    }

    /// Returns the shard whose view this is.
    pub fn shard(&self) -> ShardId {
        self.shard
    }

    /// Records an attempt that starts on a connection of this shard.
    pub fn attempt_started(&mut self, attempt: AttemptId, destination: u16, endpoint: E) {
        self.local.insert(attempt, LocalAttempt { destination, endpoint });
    }

    /// Removes an attempt that ended on a connection of this shard. Returns its destination, whose owner is to be notified.
    pub fn attempt_ended(&mut self, attempt: AttemptId) -> Option<u16> {
        self.local.remove(&attempt).map(|local| local.destination)
    }

    /// Returns the destination of an endpoint that has an attempt on a connection of this shard, so that a Retry-After of an
    /// endpoint that is no longer on the list still applies to its destination.
    pub fn destination(&self, endpoint: E) -> Option<u16> {
        self.local.values().find(|local| local.endpoint == endpoint).map(|local| local.destination)
    }

    /// Removes an attempt on another shard's connection after this shard was notified of its outcome.
    pub fn foreign_attempt_ended(&mut self, attempt: AttemptId) {
        self.foreign.remove(&attempt);
    }

    /// Returns the shard that has the connection of an attempt that this shard owns.
    pub fn connection(&self, attempt: AttemptId) -> ShardId {
        self.foreign.get(&attempt).copied().unwrap_or(self.shard)
    }

    /// Removes attempts that migrate away with their destination. Returns them with the shards that have their connections.
    pub fn detach(&mut self, attempts: impl IntoIterator<Item = AttemptId>) -> Vec<ForeignAttempt> {
        let detached = attempts.into_iter().map(|attempt| {
            let shard = self.foreign.remove(&attempt).unwrap_or(self.shard);
            ForeignAttempt { attempt, shard }
        });
        detached.collect()
    }

    /// Records attempts that migrated to this shard with their destination, for the first time or back.
    pub fn attach(&mut self, attempts: impl IntoIterator<Item = ForeignAttempt>) {
        let own_shard = self.shard;
        let foreign = attempts.into_iter().filter(|foreign| foreign.shard != own_shard);
        self.foreign.extend(foreign.map(|foreign| (foreign.attempt, foreign.shard)));
    }

    /// Returns whether the shard that has an attempt's connection is recorded.
    pub fn contains(&self, attempt: AttemptId) -> bool {
        self.local.contains_key(&attempt) || self.foreign.contains_key(&attempt)
    }

    /// Returns the number of attempts that this shard owns on connections of other shards.
    pub fn foreign_attempts(&self) -> usize {
        self.foreign.len()
    }

    /// Returns the number of attempts on connections of this shard.
    pub fn local_attempts(&self) -> usize {
        self.local.len()
    }
}
