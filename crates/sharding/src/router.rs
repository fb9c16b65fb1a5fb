//! Which shard is notified when an attempt ends, and which one can cancel it, while destinations migrate.

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
    /// The attempt of that number of a message.
    pub fn new(message: u32, attempt: u16) -> Self {
        Self { message, attempt }
    }
}

/// An attempt whose destination migrates, and the shard that has its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ForeignAttempt {
    /// The attempt.
    pub attempt: AttemptId,
    /// Where its connection is.
    pub shard: ShardId,
}

/// An attempt on a connection of this shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct LocalAttempt<E> {
    destination: u16,
    endpoint: E,
}

/// One shard's view. An attempt stays on its connection; its destination may migrate meanwhile, and with it who is notified of
/// the outcome. Attempts on this shard's connections are recorded with their destinations, so that the current owner can be
/// notified; attempts of destinations that migrated here with the shard that has the connection. `E` identifies an endpoint.
/// Bounded by the attempts in flight.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct AttemptRouter<E> {
    shard: ShardId,
    /// On connections of this shard.
    local: BTreeMap<AttemptId, LocalAttempt<E>>,
    /// Owned by this shard, on connections of another.
    foreign: BTreeMap<AttemptId, ShardId>,
}

impl<E: Copy + PartialEq> AttemptRouter<E> {
    /// Of a shard without attempts.
    pub fn new(shard: ShardId) -> Self {
        Self { shard, local: BTreeMap::new(), foreign: BTreeMap::new() }
    }

    /// The shard whose view this is.
    pub fn shard(&self) -> ShardId {
        self.shard
    }

    /// An attempt starts on a connection of this shard.
    pub fn attempt_started(&mut self, attempt: AttemptId, destination: u16, endpoint: E) {
        self.local.insert(attempt, LocalAttempt { destination, endpoint });
    }

    /// An attempt ended on a connection of this shard. Returns its destination, whose owner is to be notified.
    pub fn attempt_ended(&mut self, attempt: AttemptId) -> Option<u16> {
        self.local.remove(&attempt).map(|local| local.destination)
    }

    /// The destination of an endpoint that has an attempt on a connection of this shard. Guards a Retry-After of an endpoint
    /// that is not on the list any more.
    pub fn destination(&self, endpoint: E) -> Option<u16> {
        self.local.values().find(|local| local.endpoint == endpoint).map(|local| local.destination)
    }

    /// This shard was notified of the outcome of an attempt on another's connection.
    pub fn foreign_attempt_ended(&mut self, attempt: AttemptId) {
        self.foreign.remove(&attempt);
    }

    /// The shard that has the connection of an attempt that this shard owns.
    pub fn connection(&self, attempt: AttemptId) -> ShardId {
        self.foreign.get(&attempt).copied().unwrap_or(self.shard)
    }

    /// These attempts migrate away with their destination. Returns where their connections are.
    pub fn detach(&mut self, attempts: impl IntoIterator<Item = AttemptId>) -> Vec<ForeignAttempt> {
        let detached = attempts.into_iter().map(|attempt| {
            let shard = self.foreign.remove(&attempt).unwrap_or(self.shard);
            ForeignAttempt { attempt, shard }
        });
        detached.collect()
    }

    /// These attempts migrated here with their destination, or back.
    pub fn attach(&mut self, attempts: impl IntoIterator<Item = ForeignAttempt>) {
        let own_shard = self.shard;
        let foreign = attempts.into_iter().filter(|foreign| foreign.shard != own_shard);
        self.foreign.extend(foreign.map(|foreign| (foreign.attempt, foreign.shard)));
    }

    /// Whether it is recorded where an attempt's connection is.
    pub fn contains(&self, attempt: AttemptId) -> bool {
        self.local.contains_key(&attempt) || self.foreign.contains_key(&attempt)
    }

    /// Number of attempts that this shard owns on connections of others.
    pub fn foreign_attempts(&self) -> usize {
        self.foreign.len()
    }

    /// Number of attempts on connections of this shard.
    pub fn local_attempts(&self) -> usize {
        self.local.len()
    }
}
