//! Queues of the messages that wait for a call, by destination and in sending order, and the times at which
//! destinations are to be checked. No decisions are made here.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::ops::Bound::{Excluded, Included, Unbounded};

use serde::{Deserialize, Serialize};

use crate::interface::{DestinationId, MessageId, Micros};

/// Position in the sending order: whether the message is late (late ones go last), the time at which its
/// latency objective is missed, its id.
pub(crate) type QueuePosition = (bool, Micros, MessageId);

/// A queued message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct QueueEntry {
    pub id: MessageId,
    pub destination: DestinationId,
    pub class: usize,
    pub tenant: usize,
    /// The time at which its latency objective is missed.
    #[serde(rename = "aim")]
    pub objective_at: Micros,
    /// When it must have its final answer.
    pub end: Micros,
    /// Recovered unattempted after a restart and still without an attempt: it never counts as late.
    #[serde(rename = "owed")]
    pub owed_attempt: bool,
}

/// Class, tenant, and whether the messages were recovered unattempted.
type QueueKey = (usize, usize, bool);

impl QueueEntry {
    /// Returns the key of the message's queue.
    fn queue_key(&self) -> QueueKey {
        (self.class, self.tenant, self.owed_attempt)
    }
}

/// The messages of one queue, earliest latency objective first.
type Queue = BTreeSet<(Micros, MessageId)>;

/// The queued messages of one destination.
#[derive(Debug, Default, Serialize, Deserialize)]
struct DestinationState {
    queues: BTreeMap<QueueKey, Queue>,
    /// All queued messages by the time at which they must have their final answer.
    ends: BTreeSet<(Micros, MessageId)>,
    /// When the destination is to be checked, if nothing changes before.
    due: Option<Micros>,
    /// Its position among the ready destinations.
    ready: Option<QueuePosition>,
}

/// All queued messages.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct DestinationQueues {
    #[serde(rename = "cells")]
    destinations: HashMap<DestinationId, DestinationState>,
    /// The scheduled checks of destinations, earliest first.
    due: BTreeSet<(Micros, DestinationId)>,
    /// Destinations with a change since they were last examined.
    touched: BTreeSet<DestinationId>,
    /// Destinations whose messages may be tried, in sending order of their first messages.
    ready: BTreeSet<(QueuePosition, DestinationId)>,
    /// Number of queued messages; recomputed after a hand-over.
    #[serde(skip)]
    count: usize,
}

impl DestinationQueues {
    /// Queues a message.
    pub fn insert(&mut self, entry: &QueueEntry) {
        let state = self.destinations.entry(entry.destination).or_default();
        state.queues.entry(entry.queue_key()).or_default().insert((entry.objective_at, entry.id));
        self.count += usize::from(state.ends.insert((entry.end, entry.id)));
        self.touched.insert(entry.destination);
    }

    /// Removes a message, if it is queued.
    pub fn remove(&mut self, entry: &QueueEntry) {
        let Some(state) = self.destinations.get_mut(&entry.destination) else { return };
        if let Some(queue) = state.queues.get_mut(&entry.queue_key()) {
            queue.remove(&(entry.objective_at, entry.id));
            if queue.is_empty() {
                state.queues.remove(&entry.queue_key());
            }
        }
        self.count -= usize::from(state.ends.remove(&(entry.end, entry.id)));
        if state.ends.is_empty() {
            let (due, ready) = (state.due, state.ready);
            self.destinations.remove(&entry.destination);
            due.map(|at| self.due.remove(&(at, entry.destination)));
            ready.map(|position| self.ready.remove(&(position, entry.destination)));
        }
    }

    /// Returns the number of queued messages.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Recomputes the number of queued messages after a hand-over.
    pub fn recount(&mut self) {
        self.count = self.destinations.values().map(|state| state.ends.len()).sum();
    }

    /// Returns the number of messages queued for a destination.
    pub fn count(&self, destination: DestinationId) -> usize {
        self.destinations.get(&destination).map_or(0, |state| state.ends.len())
    }

    /// Returns the number of destinations with queued messages.
    pub fn destinations(&self) -> usize {
        self.destinations.len()
    }

    /// Marks a destination as changed in a way that may let its queued messages be sent.
    pub fn touch(&mut self, destination: DestinationId) {
        if self.destinations.contains_key(&destination) {
            self.touched.insert(destination);
        }
    }

    /// Marks all destinations with queued messages as changed.
    pub fn touch_all(&mut self) {
        self.touched.extend(self.destinations.keys());
    }

    /// Schedules a check of a destination at `at`, in place of the one scheduled before.
    pub fn check_at(&mut self, destination: DestinationId, at: Option<Micros>) {
        let Some(state) = self.destinations.get_mut(&destination) else { return };
        if let Some(before) = std::mem::replace(&mut state.due, at) {
            self.due.remove(&(before, destination));
        }
        self.due.extend(at.map(|at| (at, destination)));
    }

    /// Returns when the next check is due.
    pub fn next_due(&self) -> Option<Micros> {
        self.due.first().map(|due| due.0)
    }

    /// Marks the destinations as changed whose check is due.
    pub fn advance(&mut self, now: Micros) {
        while let Some((at, destination)) = self.due.pop_first() {
            if at > now {
                self.due.insert((at, destination));
                return;
            }
            if let Some(state) = self.destinations.get_mut(&destination) {
                state.due = None;
            }
            self.touched.insert(destination);
        }
    }

    /// Returns the destinations marked as changed, without clearing the marks.
    pub fn touched(&self) -> impl Iterator<Item = DestinationId> + '_ {
        self.touched.iter().copied()
    }

    /// Takes the destinations marked as changed, and clears the marks.
    pub fn take_touched(&mut self) -> BTreeSet<DestinationId> {
        std::mem::take(&mut self.touched)
    }

    /// Returns a destination's queued messages that must have their final answer before a time.
    pub fn ending(&self, destination: DestinationId, before: Micros) -> impl Iterator<Item = MessageId> + '_ {
        let state = self.destinations.get(&destination);
        state.into_iter().flat_map(move |state| state.ends.range(..(before, MessageId(0)))).map(|end| end.1)
    }

    /// Returns all messages queued for a destination.
    pub fn messages(&self, destination: DestinationId) -> impl Iterator<Item = MessageId> + '_ {
        self.destinations.get(&destination).into_iter().flat_map(|state| &state.ends).map(|end| end.1)
    }

    /// Returns each queue of each destination.
    pub fn queues(&self) -> impl Iterator<Item = (DestinationId, &Queue)> {
        self.destinations
            .iter()
            .flat_map(|(destination, state)| state.queues.values().map(|queue| (*destination, queue)))
    }

    /// Returns the position of the destination's next message after `after`. A message counts as late if its
    /// latency objective is missed before the time that `late_before` returns for its class and tenant. A
    /// message recovered unattempted after a restart never counts as late: it was accepted before all newer
    /// messages, so only its age matters. This makes newer messages wait longer.
    pub fn next(
        &self,
        destination: DestinationId,
        after: Option<QueuePosition>,
        late_before: impl Fn(usize, usize) -> Micros,
    ) -> Option<QueuePosition> {
        let queues = &self.destinations.get(&destination)?.queues;
        let first = |late: bool| {
            let first_in_queue = |((class, tenant, owed_attempt), queue): (&QueueKey, &Queue)| {
                let first_in_time =
                    (if *owed_attempt { 0 } else { late_before(*class, *tenant) }, MessageId(0));
                let from = match after {
                    Some((is_late, objective_at, id)) if is_late == late => Excluded((objective_at, id)),
                    _ => Unbounded,
                };
                let (from, to) = match (late, from) {
                    (true, from) => (from, Excluded(first_in_time)),
                    (false, Excluded(from)) if from >= first_in_time => (Excluded(from), Unbounded),
                    (false, _) => (Included(first_in_time), Unbounded),
                };
                // A range whose end precedes its start is empty; `BTreeSet::range` would panic on it.
                let empty = matches!((from, to), (Excluded(from), Excluded(to)) if from >= to);
                if empty { None } else { queue.range((from, to)).next().copied() }
            };
            queues.iter().filter_map(first_in_queue).min().map(|(objective_at, id)| (late, objective_at, id))
        };
        let in_time = if after.is_some_and(|after| after.0) { None } else { first(false) };
        in_time.or_else(|| first(true))
    }

    /// Puts a destination at a position among the ready ones, or removes it from them.
    pub fn set_ready(&mut self, destination: DestinationId, position: Option<QueuePosition>) {
        let Some(state) = self.destinations.get_mut(&destination) else { return };
        if let Some(before) = std::mem::replace(&mut state.ready, position) {
            self.ready.remove(&(before, destination));
        }
        self.ready.extend(position.map(|position| (position, destination)));
    }

    /// Marks all ready destinations as changed, if there are at most `max` of them.
    pub fn touch_ready(&mut self, max: usize) {
        if self.ready.len() <= max {
            self.touched.extend(self.ready.iter().map(|ready| ready.1));
        }
    }

    /// Returns a destination's position among the ready ones.
    pub fn ready(&self, destination: DestinationId) -> Option<QueuePosition> {
        self.destinations.get(&destination)?.ready
    }

    /// Returns the ready destination to try first, with its position.
    pub fn first_ready(&self) -> Option<(QueuePosition, DestinationId)> {
        self.ready.first().copied()
    }
}

#[cfg(test)]
mod tests;
