//! Bookkeeping of the sends of one iteration. No decisions are made here.

use std::collections::{BTreeMap, HashMap};

use crate::destination_queues::{DestinationQueues, QueuePosition};
use crate::endpoints::Endpoints;
use crate::interface::{DestinationId, EndpointId};

/// The result of trying to send a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// The message was sent.
    Sent,
    /// The message cannot be sent now for a reason of its own; other messages may be. `slot`: at another
    /// endpoint it lacks nothing but a slot.
    Skipped { slot: bool },
    /// All slots of the sender are in use.
    NoSlot,
    /// The endpoint can receive no message now.
    EndpointClosed,
}

impl Verdict {
    /// Returns whether the message lacks nothing but a slot at one of its endpoints.
    pub fn wants_slot(self) -> bool {
        matches!(self, Self::NoSlot | Self::Skipped { slot: true })
    }
}

/// The last call started in this iteration at each endpoint, with the number of messages in it; further
/// messages for the endpoint may join it.
#[derive(Debug, Default)]
pub(crate) struct StartedCalls(BTreeMap<EndpointId, (u64, usize)>);

impl StartedCalls {
    /// Returns the call at the endpoint that has room for one more message.
    pub fn joinable(&self, endpoint: EndpointId, max_batch: usize) -> Option<u64> {
        self.0.get(&endpoint).filter(|last_call| last_call.1 < max_batch).map(|last_call| last_call.0)
    }

    /// Records that a message is sent with a call.
    pub fn record(&mut self, endpoint: EndpointId, call: u64) {
        let last_call = self.0.entry(endpoint).or_default();
        *last_call = (call, if last_call.0 == call { last_call.1 + 1 } else { 1 });
    }

    /// Returns the first ready destination that has a call with room for one more message.
    pub fn first_joining(
        &self,
        endpoints: &Endpoints,
        queues: &DestinationQueues,
    ) -> Option<(QueuePosition, DestinationId)> {
        let joinable = self.0.iter().filter_map(|(id, last_call)| {
            endpoints.get(id).filter(|e| last_call.1 < e.kind.max_batch).map(|e| e.destination)
        });
        joinable.filter_map(|destination| Some((queues.ready(destination)?, destination))).min()
    }
}

/// The sends of one iteration.
#[derive(Debug, Default)]
pub(crate) struct DispatchRound {
    pub started: StartedCalls,
    /// The last message of each destination that was skipped, while others of the destination may be sent.
    last_skipped: HashMap<DestinationId, QueuePosition>,
    /// Destinations with a message that could not be sent, and whether one lacked nothing but a slot.
    waiting_for_slot: BTreeMap<DestinationId, bool>,
    /// The number of messages queued for a destination when it was first tried in this iteration.
    backlogs: HashMap<DestinationId, f64>,
}

impl DispatchRound {
    /// Returns the position of the destination's last skipped message; the search for the next one continues
    /// after it.
    pub fn after(&self, destination: DestinationId) -> Option<QueuePosition> {
        self.last_skipped.get(&destination).copied()
    }

    /// Records a skipped message, and whether it lacked nothing but a slot at one of its endpoints.
    pub fn skipped(&mut self, destination: DestinationId, position: QueuePosition, slot: bool) {
        self.last_skipped.insert(destination, position);
        self.wants_slot(destination, slot);
    }

    /// Records whether a destination lacked nothing but a slot. Once recorded, this stays true for the
    /// iteration.
    pub fn wants_slot(&mut self, destination: DestinationId, slot: bool) {
        *self.waiting_for_slot.entry(destination).or_default() |= slot;
    }

    /// Returns whether a destination lacks nothing but a slot.
    pub fn lacks_slot(&self, destination: DestinationId) -> bool {
        self.waiting_for_slot.get(&destination).is_some_and(|wants_slot| *wants_slot)
    }

    /// Returns the destination's backlog when it was first tried in this iteration.
    pub fn backlog(&mut self, destination: DestinationId, queues: &DestinationQueues) -> f64 {
        *self.backlogs.entry(destination).or_insert_with(|| queues.count(destination) as f64)
    }

    /// Returns the destinations that were not finished when the slots ran out, to start again from their
    /// first message.
    pub fn unfinished(self, queues: &DestinationQueues) -> Vec<DestinationId> {
        let skipped =
            self.last_skipped.into_keys().filter(|destination| queues.ready(*destination).is_some());
        skipped
            .chain(self.waiting_for_slot.into_iter().filter(|waiting| waiting.1).map(|waiting| waiting.0))
            .collect()
    }
}
