//! Pending messages and the times at which they must be examined again. No decisions are made here.

use std::collections::{BTreeSet, HashMap};

use serde::{Deserialize, Serialize};

use crate::destination_queues::{DestinationQueues, QueueEntry};
use crate::interface::{DestinationId, EndpointId, Idempotency, Message, MessageId, Micros};

/// An accepted message without a final answer.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct PendingMessage {
    pub message: Message,
    pub deadline: Micros,
    /// The time at which its latency objective is missed.
    #[serde(rename = "aim")]
    pub objective_at: Micros,
    /// When it must have its final answer.
    pub end: Micros,
    pub attempts: u32,
    /// Whether and how it may be repeated.
    #[serde(default = "strictest")]
    #[serde(rename = "effect")]
    pub idempotency: Idempotency,
    /// Recovered after a restart with no attempt recorded.
    #[serde(default)]
    #[serde(rename = "untried")]
    unattempted: bool,
    #[serde(rename = "out")]
    pub in_flight: u32,
    /// Attempts that may have run or are in flight: attempt number, time of sending, endpoint.
    pub may_have_run: Vec<(u16, Micros, EndpointId)>,
    /// For a keyed message, how long after the first of these attempts a repeat may still be sent: until then
    /// it arrives while its key is remembered, and is dropped as a duplicate.
    pub repeatable_for: Option<Micros>,
    /// When `repeatable_for` ends.
    #[serde(rename = "lapses")]
    repeatable_until: Option<Micros>,
}

/// Returns the default for a message from a predecessor whose state lacks the field.
fn strictest() -> Idempotency {
    Idempotency::NonIdempotent
}

impl PendingMessage {
    /// Creates a message that was just accepted.
    pub fn new(
        message: Message,
        (deadline, objective, end): (Micros, Micros, Micros),
        effective_idempotency: Idempotency,
        repeatable_for: Option<Micros>,
    ) -> Self {
        let may_have_run = Vec::new();
        let (attempts, recovered, running, repeatable_for, until) = (0, false, 0, repeatable_for, None);
        Self {
            message,
            deadline,
            objective_at: objective,
            end,
            attempts,
            idempotency: effective_idempotency,
            unattempted: recovered,
            in_flight: running,
            may_have_run,
            repeatable_for,
            repeatable_until: until,
        }
    }

    /// Returns whether an earlier process accepted the message and no attempt has been made yet.
    pub fn is_owed_attempt(&self) -> bool {
        self.unattempted && self.attempts == 0
    }

    /// Returns the message's entry in its destination's queues.
    fn queue_entry(&self) -> QueueEntry {
        let Message { id, destination, class, tenant, .. } = self.message;
        let owed_attempt = self.is_owed_attempt();
        QueueEntry {
            id,
            destination,
            class,
            tenant,
            objective_at: self.objective_at,
            end: self.end,
            owed_attempt,
        }
    }
}

/// All pending messages.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct MessageTable {
    #[serde(rename = "held")]
    messages: HashMap<MessageId, PendingMessage>,
    /// The messages that wait for a call.
    #[serde(rename = "waiting")]
    pub queues: DestinationQueues,
    /// The times at which messages must have their final answer, earliest first.
    ends: BTreeSet<(Micros, MessageId)>,
    /// Messages with attempts that are in flight or may have run.
    #[serde(rename = "tried")]
    attempted: BTreeSet<MessageId>,
    /// When keyed messages can no longer be repeated safely, earliest first.
    #[serde(rename = "lapses")]
    repeat_deadlines: BTreeSet<(Micros, MessageId)>,
    /// Messages with a change after which there may be no safe attempt left.
    #[serde(rename = "check")]
    unsettled: BTreeSet<MessageId>,
}

impl MessageTable {
    pub fn len(&self) -> usize {
        self.messages.len()
    }

    /// Returns the ids of all pending messages, in no particular order.
    pub fn ids(&self) -> impl Iterator<Item = MessageId> {
        self.messages.keys().copied()
    }

    pub fn get(&self, id: &MessageId) -> Option<&PendingMessage> {
        self.messages.get(id)
    }

    /// Returns all pending messages, in no particular order.
    #[cfg(test)]
    pub fn iter(&self) -> impl Iterator<Item = (&MessageId, &PendingMessage)> {
        self.messages.iter()
    }

    /// Applies the idempotency of each class after the settings changed. Messages accepted under the old
    /// settings are bound by the stricter of the two.
    pub fn bind_idempotency(&mut self, idempotency: &[Idempotency]) {
        for pending in self.messages.values_mut() {
            pending.idempotency = idempotency
                .get(pending.message.class)
                .map_or(Idempotency::NonIdempotent, |class| class.stricter(pending.idempotency));
        }
        self.unsettled.extend(&self.attempted);
    }

    /// Adds a message and queues it.
    pub fn insert(&mut self, pending: PendingMessage) {
        self.ends.insert((pending.end, pending.message.id));
        self.queues.insert(&pending.queue_entry());
        self.messages.insert(pending.message.id, pending);
    }

    /// Removes a message.
    pub fn remove(&mut self, id: MessageId) -> Option<PendingMessage> {
        let pending = self.messages.remove(&id)?;
        self.queues.remove(&pending.queue_entry());
        self.ends.remove(&(pending.end, id));
        self.attempted.remove(&id);
        self.unsettled.remove(&id);
        if let Some(at) = pending.repeatable_until {
            self.repeat_deadlines.remove(&(at, id));
        }
        Some(pending)
    }

    /// Removes and returns all messages for a destination.
    pub fn detach(&mut self, destination: DestinationId) -> Vec<PendingMessage> {
        let ids: BTreeSet<MessageId> = self
            .messages
            .values()
            .filter(|pending| pending.message.destination == destination)
            .map(|pending| pending.message.id)
            .collect();
        ids.into_iter().filter_map(|id| self.remove(id)).collect()
    }

    /// Adds a message from another instance, with or without an attempt in flight.
    pub fn attach(&mut self, mut pending: PendingMessage) {
        let id = pending.message.id;
        pending.repeatable_until = None;
        self.ends.insert((pending.end, id));
        if pending.in_flight == 0 {
            self.queues.insert(&pending.queue_entry());
        }
        self.messages.insert(id, pending);
        self.update_attempts(id);
    }

    /// Sets the attempts of a message that an earlier process recorded.
    pub fn recovered(&mut self, id: MessageId, attempts: u32, may_have_run: Vec<(u16, Micros, EndpointId)>) {
        if let Some(pending) = self.messages.get_mut(&id) {
            self.queues.remove(&pending.queue_entry());
            pending.unattempted = attempts == 0 && may_have_run.is_empty();
            (pending.attempts, pending.may_have_run) = (attempts, may_have_run);
            self.queues.insert(&pending.queue_entry());
            self.update_attempts(id);
        }
    }

    /// Records the start of an attempt and returns its number.
    pub fn attempt_started(&mut self, id: MessageId, now: Micros, endpoint: EndpointId) -> Option<u16> {
        let pending = self.messages.get_mut(&id)?;
        let (attempt, entry) = (pending.attempts as u16, pending.queue_entry());
        self.queues.remove(&entry);
        pending.attempts += 1;
        pending.in_flight += 1;
        pending.may_have_run.push((attempt, now, endpoint));
        self.attempted.insert(id);
        Some(attempt)
    }

    /// Records the end of an attempt; one that never ran no longer restricts repeats.
    pub fn attempt_completed(&mut self, id: MessageId, attempt: u16, never_ran: bool) {
        let Some(pending) = self.messages.get_mut(&id) else { return };
        pending.in_flight -= 1;
        pending.may_have_run.retain(|other| other.0 != attempt || !never_ran);
        if pending.in_flight == 0 {
            let entry = pending.queue_entry();
            self.queues.insert(&entry);
        }
        self.update_attempts(id);
    }

    /// Updates the indexes that depend on a message's attempts.
    fn update_attempts(&mut self, id: MessageId) {
        let Some(pending) = self.messages.get_mut(&id) else { return };
        let first = pending.may_have_run.iter().map(|attempt| attempt.1).min();
        let repeatable_until = pending.repeatable_for.and_then(|span| Some(first?.saturating_add(span)));
        if let Some(before) = std::mem::replace(&mut pending.repeatable_until, repeatable_until) {
            self.repeat_deadlines.remove(&(before, id));
        }
        self.repeat_deadlines.extend(repeatable_until.map(|at| (at, id)));
        if first.is_some() {
            self.attempted.insert(id)
        } else {
            self.attempted.remove(&id)
        };
        if pending.in_flight == 0 {
            self.unsettled.insert(id);
        }
    }

    /// Returns whether a message has attempts that are in flight or may have run.
    pub fn was_attempted(&self, id: MessageId) -> bool {
        self.attempted.contains(&id)
    }

    /// Returns the endpoints of all attempts that are in flight or may have run.
    pub fn endpoints(&self) -> BTreeSet<EndpointId> {
        let attempted = self.attempted.iter().filter_map(|id| self.messages.get(id));
        attempted.flat_map(|pending| &pending.may_have_run).map(|attempt| attempt.2).collect()
    }

    /// Records that a destination's endpoints changed: attempted messages may have no endpoint left for a
    /// safe repeat.
    pub fn endpoints_changed(&mut self, destination: DestinationId) {
        self.queues.touch(destination);
        if !self.attempted.is_empty() {
            let queued = self.queues.messages(destination);
            self.unsettled.extend(queued.filter(|id| self.attempted.contains(id)));
        }
    }

    /// Records that the endpoints of any destination may have changed.
    pub fn all_endpoints_changed(&mut self) {
        self.queues.touch_all();
        self.unsettled.extend(&self.attempted);
    }

    /// Marks the destinations and messages that have fallen due.
    pub fn advance(&mut self, now: Micros) {
        self.queues.advance(now);
        while let Some((at, id)) = self.repeat_deadlines.first().copied().filter(|deadline| deadline.0 <= now)
        {
            self.repeat_deadlines.remove(&(at, id));
            self.unsettled.insert(id);
        }
    }

    /// Returns the messages that must have their final answer by now.
    pub fn expired(&self, now: Micros) -> impl Iterator<Item = MessageId> + '_ {
        self.ends.range(..=(now, MessageId(u32::MAX))).map(|end| end.1)
    }

    /// Takes the messages with a change after which there may be no safe attempt left.
    pub fn take_unsettled(&mut self) -> BTreeSet<MessageId> {
        std::mem::take(&mut self.unsettled)
    }

    /// Returns when the next message or destination falls due.
    pub fn next_due(&self) -> Option<Micros> {
        let (ends, repeatable_until) =
            (self.ends.first().map(|end| end.0), self.repeat_deadlines.first().map(|deadline| deadline.0));
        [ends, repeatable_until, self.queues.next_due()].into_iter().flatten().min()
    }
}
