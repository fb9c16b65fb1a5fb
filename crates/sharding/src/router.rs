//! Which core has to hear of a call that ended, and which one can call it off, while destinations move.

use std::collections::BTreeMap;

use crate::ShardId;

/// A message's number and its attempt's.
pub type Attempt = (u32, u16);

/// One core's view. A call stays on the connection where it began; its destination may move meanwhile, and with it who has to
/// hear how the call ended. Calls that began here are remembered with their destinations, so that the end can be told to
/// whoever owns it then; calls of destinations that came here are remembered with the core that has the connection. `E` names
/// an endpoint. Bounded by what is out.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct AttemptRouter<E> {
    me: ShardId,
    /// On connections of this core: where to.
    begun: BTreeMap<Attempt, (u16, E)>,
    /// Held by this core's module, on connections of another.
    guests: BTreeMap<Attempt, ShardId>,
}

impl<E: Copy + PartialEq> AttemptRouter<E> {
    /// Nothing is out.
    pub fn new(me: ShardId) -> Self {
        Self { me, begun: BTreeMap::new(), guests: BTreeMap::new() }
    }

    /// Which core this is.
    pub fn me(&self) -> ShardId {
        self.me
    }

    /// An attempt begins on a connection of this core.
    pub fn attempt_started(&mut self, attempt: Attempt, destination: u16, endpoint: E) {
        self.begun.insert(attempt, (destination, endpoint));
    }

    /// An attempt ended on a connection of this core. Tells its destination, whose owner has to hear of it.
    pub fn attempt_ended(&mut self, attempt: Attempt) -> Option<u16> {
        self.begun.remove(&attempt).map(|begun| begun.0)
    }

    /// The destination of an endpoint to which something is out on a connection of this core. Guards a wait that an endpoint
    /// told which no list names any more.
    pub fn destination(&self, endpoint: E) -> Option<u16> {
        self.begun.values().find(|begun| begun.1 == endpoint).map(|begun| begun.0)
    }

    /// This core's module has heard how an attempt on another's connection ended.
    pub fn add_foreign(&mut self, attempt: Attempt) {
        self.guests.remove(&attempt);
    }

    /// Who has the connection of an attempt that this core's module holds.
    pub fn connection(&self, attempt: Attempt) -> ShardId {
        self.guests.get(&attempt).copied().unwrap_or(self.me)
    }

    /// These attempts go along with their destination. Tells who has their connections.
    pub fn detach(&mut self, attempts: impl IntoIterator<Item = Attempt>) -> Vec<(Attempt, ShardId)> {
        attempts.into_iter().map(|a| (a, self.guests.remove(&a).unwrap_or(self.me))).collect()
    }

    /// These came with their destination, or came back.
    pub fn attach(&mut self, attempts: impl IntoIterator<Item = (Attempt, ShardId)>) {
        let me = self.me;
        self.guests.extend(attempts.into_iter().filter(|(_, core)| *core != me));
    }

    /// Whether it knows where an attempt's connection is.
    pub fn knows(&self, attempt: Attempt) -> bool {
        self.begun.contains_key(&attempt) || self.guests.contains_key(&attempt)
    }

    /// Attempts that this core's module holds on connections of others.
    pub fn guests(&self) -> usize {
        self.guests.len()
    }

    /// Attempts on connections of this core.
    pub fn begun(&self) -> usize {
        self.begun.len()
    }
}
