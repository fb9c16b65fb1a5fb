//! What happened so far in one tick's sends. It keeps count; what is sent is not decided here.

use std::collections::{BTreeMap, HashMap};

use crate::destination_queues::{DestinationQueues, QueuePosition};
use crate::endpoints::Endpoints;
use crate::interface::{DestinationId, EndpointId};

/// What came of trying a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// It is sent.
    Sent,
    /// It can't go now, for a reason of its own; at another endpoint it lacks nothing but a slot, or not.
    Skipped { slot: bool },
    /// All slots are taken.
    NoSlot,
    /// The endpoint takes nothing more now, of whatever message.
    EndpointClosed,
}

impl Verdict {
    pub fn wants_slot(self) -> bool {
        matches!(self, Self::NoSlot | Self::Skipped { slot: true })
    }
}

/// Calls begun in this tick, by endpoint, with the messages in each: later messages there travel along.
#[derive(Debug, Default)]
pub(crate) struct StartedCalls(BTreeMap<EndpointId, (u64, usize)>);

impl StartedCalls {
    /// The call that one more message may join.
    pub fn open(&self, endpoint: EndpointId, bundle: usize) -> Option<u64> {
        self.0.get(&endpoint).filter(|begun| begun.1 < bundle).map(|begun| begun.0)
    }

    /// A message goes with a call.
    pub fn record(&mut self, endpoint: EndpointId, call: u64) {
        let begun = self.0.entry(endpoint).or_default();
        *begun = (call, if begun.0 == call { begun.1 + 1 } else { 1 });
    }

    /// The first destination a message of which may join a call.
    pub fn first_joining(
        &self,
        endpoints: &Endpoints,
        waiting: &DestinationQueues,
    ) -> Option<(QueuePosition, DestinationId)> {
        let open = self.0.iter().filter_map(|(id, begun)| {
            endpoints.get(id).filter(|e| begun.1 < e.kind.max_batch).map(|e| e.destination)
        });
        open.filter_map(|destination| Some((waiting.ready(destination)?, destination))).min()
    }
}

/// One tick's sends.
#[derive(Debug, Default)]
pub(crate) struct DispatchRound {
    pub started: StartedCalls,
    /// The message of each destination that was tried last and could not go, though others may.
    skip: HashMap<DestinationId, QueuePosition>,
    waiting_for_slot: BTreeMap<DestinationId, bool>,
    /// What waited for each when this tick's sends began.
    backlogs: HashMap<DestinationId, f64>,
}

impl DispatchRound {
    pub fn after(&self, destination: DestinationId) -> Option<QueuePosition> {
        self.skip.get(&destination).copied()
    }

    /// A message could not go; at another endpoint it lacked nothing but a slot, or not.
    pub fn skipped(&mut self, destination: DestinationId, place: QueuePosition, slot: bool) {
        self.skip.insert(destination, place);
        self.wants_slot(destination, slot);
    }

    pub fn wants_slot(&mut self, destination: DestinationId, slot: bool) {
        *self.waiting_for_slot.entry(destination).or_default() |= slot;
    }

    /// Whether a destination needs nothing but a slot.
    pub fn lacks_slot(&self, destination: DestinationId) -> bool {
        self.waiting_for_slot.get(&destination).is_some_and(|wants| *wants)
    }

    pub fn backlog(&mut self, destination: DestinationId, waiting: &DestinationQueues) -> f64 {
        *self.backlogs.entry(destination).or_insert_with(|| waiting.count(destination) as f64)
    }

    /// Those that were not done with when the slots ran out: they begin with their first message again.
    pub fn unfinished(self, waiting: &DestinationQueues) -> Vec<DestinationId> {
        let again = self.skip.into_keys().filter(|destination| waiting.ready(*destination).is_some());
        again.chain(self.waiting_for_slot.into_iter().filter(|wants| wants.1).map(|wants| wants.0)).collect()
    }
}
