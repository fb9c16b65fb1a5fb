//! Messages that are held, and when each must be looked at again. It keeps and reminds; it decides nothing.

use std::collections::{BTreeSet, HashMap};

use serde::{Deserialize, Serialize};

use crate::destination_queues::{DestinationQueues, QueueEntry};
use crate::interface::{DestinationId, EndpointId, Idempotency, Message, MessageId, Micros};

/// A message that this sender owes a final answer.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct PendingMessage {
    pub message: Message,
    pub deadline: Micros,
    /// Until when it is in time.
    #[serde(rename = "aim")]
    pub objective_at: Micros,
    /// When it must be answered.
    pub end: Micros,
    pub attempts: u32,
    /// What repeating it does.
    #[serde(default = "strictest")]
    #[serde(rename = "effect")]
    pub idempotency: Idempotency,
    /// A restart found it untried.
    #[serde(default)]
    #[serde(rename = "untried")]
    unattempted: bool,
    #[serde(rename = "out")]
    pub in_flight: u32,
    /// Attempts that may have run or are out: number, time of sending, endpoint.
    pub may_have_run: Vec<(u16, Micros, EndpointId)>,
    /// For how long after the first of them a repeat would be dropped, if that is so at all.
    pub repeatable_for: Option<Micros>,
    /// When that is over.
    #[serde(rename = "lapses")]
    repeatable_until: Option<Micros>,
}

/// Of a message that a process handed over that does not tell.
fn strictest() -> Idempotency {
    Idempotency::NonIdempotent
}

impl PendingMessage {
    /// A message that was just handed in.
    pub fn new(
        message: Message,
        (deadline, aim, end): (Micros, Micros, Micros),
        effect: Idempotency,
        repeats: Option<Micros>,
    ) -> Self {
        let may_have_run = Vec::new();
        let (attempts, untried, out, repeatable_for, lapses) = (0, false, 0, repeats, None);
        Self {
            message,
            deadline,
            objective_at: aim,
            end,
            attempts,
            idempotency: effect,
            unattempted: untried,
            in_flight: out,
            may_have_run,
            repeatable_for,
            repeatable_until: lapses,
        }
    }

    /// Whether it was taken on by an earlier process, and no call was made for it yet.
    pub fn is_owed_attempt(&self) -> bool {
        self.unattempted && self.attempts == 0
    }

    fn queue_entry(&self) -> QueueEntry {
        let Message { id, destination, class, tenant, .. } = self.message;
        let owed = self.is_owed_attempt();
        QueueEntry {
            id,
            destination,
            class,
            tenant,
            objective_at: self.objective_at,
            end: self.end,
            owed_attempt: owed,
        }
    }
}

/// All messages that are held.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct MessageTable {
    #[serde(rename = "held")]
    messages: HashMap<MessageId, PendingMessage>,
    /// Those that wait for a call.
    #[serde(rename = "waiting")]
    pub queues: DestinationQueues,
    /// When each must be answered.
    ends: BTreeSet<(Micros, MessageId)>,
    /// Those with attempts that are out or may have run, and when repeats of them would not be dropped any more.
    #[serde(rename = "tried")]
    attempted: BTreeSet<MessageId>,
    #[serde(rename = "lapses")]
    repeat_deadlines: BTreeSet<(Micros, MessageId)>,
    /// Those of which what happened may leave nothing to be tried.
    #[serde(rename = "check")]
    unsettled: BTreeSet<MessageId>,
}

impl MessageTable {
    pub fn len(&self) -> usize {
        self.messages.len()
    }

    /// Those that are held, in no order.
    pub fn ids(&self) -> impl Iterator<Item = MessageId> {
        self.messages.keys().copied()
    }

    pub fn get(&self, id: &MessageId) -> Option<&PendingMessage> {
        self.messages.get(id)
    }

    /// All of them, in no order.
    #[cfg(test)]
    pub fn iter(&self) -> impl Iterator<Item = (&MessageId, &PendingMessage)> {
        self.messages.iter()
    }

    /// The classes have these effects from now on: what was taken on under others is bound by both.
    pub fn bind_idempotency(&mut self, effects: &[Idempotency]) {
        for held in self.messages.values_mut() {
            held.idempotency = effects
                .get(held.message.class)
                .map_or(Idempotency::NonIdempotent, |of| of.stricter(held.idempotency));
        }
        self.unsettled.extend(&self.attempted);
    }

    /// Holds a message, which waits.
    pub fn insert(&mut self, held: PendingMessage) {
        self.ends.insert((held.end, held.message.id));
        self.queues.insert(&held.queue_entry());
        self.messages.insert(held.message.id, held);
    }

    /// The message is over.
    pub fn remove(&mut self, id: MessageId) -> Option<PendingMessage> {
        let held = self.messages.remove(&id)?;
        self.queues.remove(&held.queue_entry());
        self.ends.remove(&(held.end, id));
        self.attempted.remove(&id);
        self.unsettled.remove(&id);
        if let Some(at) = held.repeatable_until {
            self.repeat_deadlines.remove(&(at, id));
        }
        Some(held)
    }

    /// Takes out all messages for a destination.
    pub fn detach(&mut self, destination: DestinationId) -> Vec<PendingMessage> {
        let ids: BTreeSet<MessageId> = self
            .messages
            .values()
            .filter(|held| held.message.destination == destination)
            .map(|held| held.message.id)
            .collect();
        ids.into_iter().filter_map(|id| self.remove(id)).collect()
    }

    /// Goes on with a message that another module held, out or not.
    pub fn attach(&mut self, mut held: PendingMessage) {
        let id = held.message.id;
        held.repeatable_until = None;
        self.ends.insert((held.end, id));
        if held.in_flight == 0 {
            self.queues.insert(&held.queue_entry());
        }
        self.messages.insert(id, held);
        self.update_attempts(id);
    }

    /// What an earlier process knew of a message.
    pub fn recovered(&mut self, id: MessageId, attempts: u32, may_have_run: Vec<(u16, Micros, EndpointId)>) {
        if let Some(held) = self.messages.get_mut(&id) {
            self.queues.remove(&held.queue_entry());
            held.unattempted = attempts == 0 && may_have_run.is_empty();
            (held.attempts, held.may_have_run) = (attempts, may_have_run);
            self.queues.insert(&held.queue_entry());
            self.update_attempts(id);
        }
    }

    /// An attempt begins; tells its number.
    pub fn attempt_started(&mut self, id: MessageId, now: Micros, endpoint: EndpointId) -> Option<u16> {
        let held = self.messages.get_mut(&id)?;
        let (attempt, ticket) = (held.attempts as u16, held.queue_entry());
        self.queues.remove(&ticket);
        held.attempts += 1;
        held.in_flight += 1;
        held.may_have_run.push((attempt, now, endpoint));
        self.attempted.insert(id);
        Some(attempt)
    }

    /// An attempt ended.
    pub fn attempt_completed(&mut self, id: MessageId, attempt: u16, never_ran: bool) {
        let Some(held) = self.messages.get_mut(&id) else { return };
        held.in_flight -= 1;
        held.may_have_run.retain(|a| a.0 != attempt || !never_ran);
        if held.in_flight == 0 {
            let ticket = held.queue_entry();
            self.queues.insert(&ticket);
        }
        self.update_attempts(id);
    }

    /// Keeps up to date what follows from a message's attempts.
    fn update_attempts(&mut self, id: MessageId) {
        let Some(held) = self.messages.get_mut(&id) else { return };
        let first = held.may_have_run.iter().map(|attempt| attempt.1).min();
        let lapses = held.repeatable_for.and_then(|span| Some(first?.saturating_add(span)));
        if let Some(before) = std::mem::replace(&mut held.repeatable_until, lapses) {
            self.repeat_deadlines.remove(&(before, id));
        }
        self.repeat_deadlines.extend(lapses.map(|at| (at, id)));
        if first.is_some() {
            self.attempted.insert(id)
        } else {
            self.attempted.remove(&id)
        };
        if held.in_flight == 0 {
            self.unsettled.insert(id);
        }
    }

    /// Whether a message has attempts that are out or may have run.
    pub fn was_attempted(&self, id: MessageId) -> bool {
        self.attempted.contains(&id)
    }

    /// Endpoints that such attempts went to.
    pub fn endpoints(&self) -> BTreeSet<EndpointId> {
        let held = self.attempted.iter().filter_map(|id| self.messages.get(id));
        held.flat_map(|held| &held.may_have_run).map(|attempt| attempt.2).collect()
    }

    /// The endpoints of a destination changed: what was tried there may have nowhere to go any more.
    pub fn endpoints_changed(&mut self, destination: DestinationId) {
        self.queues.touch(destination);
        if !self.attempted.is_empty() {
            let of = self.queues.of(destination);
            self.unsettled.extend(of.filter(|id| self.attempted.contains(id)));
        }
    }

    /// Any may have changed.
    pub fn all_endpoints_changed(&mut self) {
        self.queues.touch_all();
        self.unsettled.extend(&self.attempted);
    }

    /// Has what falls due looked at.
    pub fn advance(&mut self, now: Micros) {
        self.queues.advance(now);
        while let Some((at, id)) = self.repeat_deadlines.first().copied().filter(|lapse| lapse.0 <= now) {
            self.repeat_deadlines.remove(&(at, id));
            self.unsettled.insert(id);
        }
    }

    /// Those that must be answered now.
    pub fn expired(&self, now: Micros) -> impl Iterator<Item = MessageId> + '_ {
        self.ends.range(..=(now, MessageId(u32::MAX))).map(|end| end.1)
    }

    /// Those of which what happened may leave nothing to be tried.
    pub fn take_unsettled(&mut self) -> BTreeSet<MessageId> {
        std::mem::take(&mut self.unsettled)
    }

    /// When the next one falls due.
    pub fn next_due(&self) -> Option<Micros> {
        let (ends, lapses) =
            (self.ends.first().map(|end| end.0), self.repeat_deadlines.first().map(|lapse| lapse.0));
        [ends, lapses, self.queues.next_due()].into_iter().flatten().min()
    }
}
