//! Messages that wait for a call, by destination and in the order in which they may go, and when something falls due
//! for a destination. It holds and orders; what goes, and where, is not decided here.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::ops::Bound::{Excluded, Included, Unbounded};

use serde::{Deserialize, Serialize};

use crate::interface::{DestinationId, MessageId, Micros};

/// What is late goes after what is not; then the oldest aim goes first.
pub(crate) type QueuePosition = (bool, Micros, MessageId);

/// A message that waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct QueueEntry {
    pub id: MessageId,
    pub destination: DestinationId,
    pub class: usize,
    pub tenant: usize,
    /// Until when it is in time.
    #[serde(rename = "aim")]
    pub objective_at: Micros,
    /// When it must be answered.
    pub end: Micros,
    /// A restart found it untried, and it still is: it is never late.
    #[serde(rename = "owed")]
    pub owed_attempt: bool,
}

/// A class, a tenant, and whether a restart found its messages untried.
type QueueKey = (usize, usize, bool);

impl QueueEntry {
    fn of(&self) -> QueueKey {
        (self.class, self.tenant, self.owed_attempt)
    }
}

/// The messages of a class and tenant, oldest aim first.
type Queue = BTreeSet<(Micros, MessageId)>;

/// What waits for one destination.
#[derive(Debug, Default, Serialize, Deserialize)]
struct Cell {
    queues: BTreeMap<QueueKey, Queue>,
    ends: BTreeSet<(Micros, MessageId)>,
    due: Option<Micros>,
    /// Its place among the destinations that may be tried.
    ready: Option<QueuePosition>,
}

/// All that waits.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct DestinationQueues {
    #[serde(rename = "cells")]
    destinations: HashMap<DestinationId, Cell>,
    due: BTreeSet<(Micros, DestinationId)>,
    touched: BTreeSet<DestinationId>,
    ready: BTreeSet<(QueuePosition, DestinationId)>,
    /// How many messages there are; counted anew where another process counted.
    #[serde(skip)]
    count: usize,
}

impl DestinationQueues {
    /// A message begins to wait.
    pub fn insert(&mut self, ticket: &QueueEntry) {
        let cell = self.destinations.entry(ticket.destination).or_default();
        cell.queues.entry(ticket.of()).or_default().insert((ticket.objective_at, ticket.id));
        self.count += usize::from(cell.ends.insert((ticket.end, ticket.id)));
        self.touched.insert(ticket.destination);
    }

    /// A message waits no more, if it did.
    pub fn remove(&mut self, ticket: &QueueEntry) {
        let Some(cell) = self.destinations.get_mut(&ticket.destination) else { return };
        if let Some(queue) = cell.queues.get_mut(&ticket.of()) {
            queue.remove(&(ticket.objective_at, ticket.id));
            if queue.is_empty() {
                cell.queues.remove(&ticket.of());
            }
        }
        self.count -= usize::from(cell.ends.remove(&(ticket.end, ticket.id)));
        if cell.ends.is_empty() {
            let (due, ready) = (cell.due, cell.ready);
            self.destinations.remove(&ticket.destination);
            due.map(|at| self.due.remove(&(at, ticket.destination)));
            ready.map(|place| self.ready.remove(&(place, ticket.destination)));
        }
    }

    /// How many wait.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Counts what another process left.
    pub fn recount(&mut self) {
        self.count = self.destinations.values().map(|cell| cell.ends.len()).sum();
    }

    /// How many wait for a destination.
    pub fn count(&self, destination: DestinationId) -> usize {
        self.destinations.get(&destination).map_or(0, |cell| cell.ends.len())
    }

    /// For how many destinations something waits.
    pub fn destinations(&self) -> usize {
        self.destinations.len()
    }

    /// Something happened that may let a destination's messages go.
    pub fn touch(&mut self, destination: DestinationId) {
        if self.destinations.contains_key(&destination) {
            self.touched.insert(destination);
        }
    }

    /// The same for all destinations for which something waits.
    pub fn touch_all(&mut self) {
        self.touched.extend(self.destinations.keys());
    }

    /// A destination is to be looked at then, if nothing happens before.
    pub fn check_at(&mut self, destination: DestinationId, at: Option<Micros>) {
        let Some(cell) = self.destinations.get_mut(&destination) else { return };
        if let Some(before) = std::mem::replace(&mut cell.due, at) {
            self.due.remove(&(before, destination));
        }
        self.due.extend(at.map(|at| (at, destination)));
    }

    /// When the next destination is to be looked at.
    pub fn next_due(&self) -> Option<Micros> {
        self.due.first().map(|due| due.0)
    }

    /// Touches the destinations whose time has come.
    pub fn advance(&mut self, now: Micros) {
        while let Some((at, destination)) = self.due.pop_first() {
            if at > now {
                self.due.insert((at, destination));
                return;
            }
            if let Some(cell) = self.destinations.get_mut(&destination) {
                cell.due = None;
            }
            self.touched.insert(destination);
        }
    }

    /// Destinations that were touched; they stay so until they are taken.
    pub fn touched(&self) -> impl Iterator<Item = DestinationId> + '_ {
        self.touched.iter().copied()
    }

    /// Takes those that were touched.
    pub fn take_touched(&mut self) -> BTreeSet<DestinationId> {
        std::mem::take(&mut self.touched)
    }

    /// A destination's messages that must be answered before that time.
    pub fn ending(&self, destination: DestinationId, before: Micros) -> impl Iterator<Item = MessageId> + '_ {
        let cell = self.destinations.get(&destination);
        cell.into_iter().flat_map(move |cell| cell.ends.range(..(before, MessageId(0)))).map(|end| end.1)
    }

    /// All messages that wait for a destination.
    pub fn of(&self, destination: DestinationId) -> impl Iterator<Item = MessageId> + '_ {
        self.destinations.get(&destination).into_iter().flat_map(|cell| &cell.ends).map(|end| end.1)
    }

    /// Each queue of each destination: its messages, oldest aim first.
    pub fn queues(&self) -> impl Iterator<Item = (DestinationId, &Queue)> {
        self.destinations
            .iter()
            .flat_map(|(destination, cell)| cell.queues.values().map(|queue| (*destination, queue)))
    }

    /// The destination's message that goes next, after that place. Of a class and tenant, those with an aim before
    /// what `late_before` tells are late. Guards what was taken on, and a restart found untried, against all that comes
    /// after it: it goes by its age alone. What comes in meanwhile waits longer for it.
    pub fn next(
        &self,
        destination: DestinationId,
        after: Option<QueuePosition>,
        late_before: impl Fn(usize, usize) -> Micros,
    ) -> Option<QueuePosition> {
        let queues = &self.destinations.get(&destination)?.queues;
        let first = |late: bool| {
            let of = |((class, tenant, owed), queue): (&QueueKey, &Queue)| {
                let border = (if *owed { 0 } else { late_before(*class, *tenant) }, MessageId(0));
                let from = match after {
                    Some((phase, aim, id)) if phase == late => Excluded((aim, id)),
                    _ => Unbounded,
                };
                let (from, to) = match (late, from) {
                    (true, from) => (from, Excluded(border)),
                    (false, Excluded(from)) if from >= border => (Excluded(from), Unbounded),
                    (false, _) => (Included(border), Unbounded),
                };
                // A range that ends before it begins holds nothing.
                let empty = matches!((from, to), (Excluded(from), Excluded(to)) if from >= to);
                if empty { None } else { queue.range((from, to)).next().copied() }
            };
            queues.iter().filter_map(of).min().map(|(aim, id)| (late, aim, id))
        };
        let in_time = if after.is_some_and(|after| after.0) { None } else { first(false) };
        in_time.or_else(|| first(true))
    }

    /// Puts a destination among those that may be tried, at that place, or takes it out.
    pub fn set_ready(&mut self, destination: DestinationId, place: Option<QueuePosition>) {
        let Some(cell) = self.destinations.get_mut(&destination) else { return };
        if let Some(before) = std::mem::replace(&mut cell.ready, place) {
            self.ready.remove(&(before, destination));
        }
        self.ready.extend(place.map(|place| (place, destination)));
    }

    /// Touches those that may be tried, if they are so many at most.
    pub fn touch_ready(&mut self, most: usize) {
        if self.ready.len() <= most {
            self.touched.extend(self.ready.iter().map(|ready| ready.1));
        }
    }

    /// A destination's place among those that may be tried.
    pub fn ready(&self, destination: DestinationId) -> Option<QueuePosition> {
        self.destinations.get(&destination)?.ready
    }

    /// The destination that is to be tried first.
    pub fn first_ready(&self) -> Option<(QueuePosition, DestinationId)> {
        self.ready.first().copied()
    }
}

#[cfg(test)]
mod tests;
