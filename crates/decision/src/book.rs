//! Messages that are held, and when each must be looked at again. It keeps and reminds; it decides nothing.

use std::collections::{BTreeSet, HashMap};

use serde::{Deserialize, Serialize};

use crate::interface::{DestinationId, EndpointId, Idempotency, Message, MessageId, Micros};
use crate::waiting::{Ticket, Waiting};

/// A message that this sender owes a final answer.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Held {
    pub message: Message,
    pub deadline: Micros,
    /// Until when it is in time.
    pub aim: Micros,
    /// When it must be answered.
    pub end: Micros,
    pub attempts: u32,
    /// What repeating it does.
    #[serde(default = "strictest")]
    pub effect: Idempotency,
    /// A restart found it untried.
    #[serde(default)]
    untried: bool,
    pub out: u32,
    /// Attempts that may have run or are out: number, time of sending, endpoint.
    pub may_have_run: Vec<(u16, Micros, EndpointId)>,
    /// For how long after the first of them a repeat would be dropped, if that is so at all.
    pub repeatable_for: Option<Micros>,
    /// When that is over.
    lapses: Option<Micros>,
}

/// Of a message that a process handed over that does not tell.
fn strictest() -> Idempotency {
    Idempotency::NonIdempotent
}

impl Held {
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
            aim,
            end,
            attempts,
            effect,
            untried,
            out,
            may_have_run,
            repeatable_for,
            lapses,
        }
    }

    /// Whether it was taken on by an earlier process, and no call was made for it yet.
    pub fn is_owed_a_call(&self) -> bool {
        self.untried && self.attempts == 0
    }

    fn ticket(&self) -> Ticket {
        let Message { id, destination, class, tenant, .. } = self.message;
        let owed = self.is_owed_a_call();
        Ticket { id, destination, class, tenant, aim: self.aim, end: self.end, owed }
    }
}

/// All messages that are held.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct Book {
    held: HashMap<MessageId, Held>,
    /// Those that wait for a call.
    pub waiting: Waiting,
    /// When each must be answered.
    ends: BTreeSet<(Micros, MessageId)>,
    /// Those with attempts that are out or may have run, and when repeats of them would not be dropped any more.
    tried: BTreeSet<MessageId>,
    lapses: BTreeSet<(Micros, MessageId)>,
    /// Those of which what happened may leave nothing to be tried.
    check: BTreeSet<MessageId>,
}

impl Book {
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Those that are held, in no order.
    pub fn ids(&self) -> impl Iterator<Item = MessageId> {
        self.held.keys().copied()
    }

    pub fn get(&self, id: &MessageId) -> Option<&Held> {
        self.held.get(id)
    }

    /// All of them, in no order.
    #[cfg(test)]
    pub fn iter(&self) -> impl Iterator<Item = (&MessageId, &Held)> {
        self.held.iter()
    }

    /// The classes have these effects from now on: what was taken on under others is bound by both.
    pub fn bind(&mut self, effects: &[Idempotency]) {
        for held in self.held.values_mut() {
            held.effect = effects
                .get(held.message.class)
                .map_or(Idempotency::NonIdempotent, |of| of.stricter(held.effect));
        }
        self.check.extend(&self.tried);
    }

    /// Holds a message, which waits.
    pub fn insert(&mut self, held: Held) {
        self.ends.insert((held.end, held.message.id));
        self.waiting.insert(&held.ticket());
        self.held.insert(held.message.id, held);
    }

    /// The message is over.
    pub fn remove(&mut self, id: MessageId) -> Option<Held> {
        let held = self.held.remove(&id)?;
        self.waiting.remove(&held.ticket());
        self.ends.remove(&(held.end, id));
        self.tried.remove(&id);
        self.check.remove(&id);
        if let Some(at) = held.lapses {
            self.lapses.remove(&(at, id));
        }
        Some(held)
    }

    /// Takes out all messages for a destination.
    pub fn part(&mut self, destination: DestinationId) -> Vec<Held> {
        let ids: BTreeSet<MessageId> = self
            .held
            .values()
            .filter(|held| held.message.destination == destination)
            .map(|held| held.message.id)
            .collect();
        ids.into_iter().filter_map(|id| self.remove(id)).collect()
    }

    /// Goes on with a message that another module held, out or not.
    pub fn join(&mut self, mut held: Held) {
        let id = held.message.id;
        held.lapses = None;
        self.ends.insert((held.end, id));
        if held.out == 0 {
            self.waiting.insert(&held.ticket());
        }
        self.held.insert(id, held);
        self.note_attempts(id);
    }

    /// What an earlier process knew of a message.
    pub fn resumed(&mut self, id: MessageId, attempts: u32, may_have_run: Vec<(u16, Micros, EndpointId)>) {
        if let Some(held) = self.held.get_mut(&id) {
            self.waiting.remove(&held.ticket());
            held.untried = attempts == 0 && may_have_run.is_empty();
            (held.attempts, held.may_have_run) = (attempts, may_have_run);
            self.waiting.insert(&held.ticket());
            self.note_attempts(id);
        }
    }

    /// An attempt begins; tells its number.
    pub fn begun(&mut self, id: MessageId, now: Micros, endpoint: EndpointId) -> Option<u16> {
        let held = self.held.get_mut(&id)?;
        let (attempt, ticket) = (held.attempts as u16, held.ticket());
        self.waiting.remove(&ticket);
        held.attempts += 1;
        held.out += 1;
        held.may_have_run.push((attempt, now, endpoint));
        self.tried.insert(id);
        Some(attempt)
    }

    /// An attempt ended.
    pub fn ended(&mut self, id: MessageId, attempt: u16, never_ran: bool) {
        let Some(held) = self.held.get_mut(&id) else { return };
        held.out -= 1;
        held.may_have_run.retain(|a| a.0 != attempt || !never_ran);
        if held.out == 0 {
            let ticket = held.ticket();
            self.waiting.insert(&ticket);
        }
        self.note_attempts(id);
    }

    /// Keeps up to date what follows from a message's attempts.
    fn note_attempts(&mut self, id: MessageId) {
        let Some(held) = self.held.get_mut(&id) else { return };
        let first = held.may_have_run.iter().map(|attempt| attempt.1).min();
        let lapses = held.repeatable_for.and_then(|span| Some(first?.saturating_add(span)));
        if let Some(before) = std::mem::replace(&mut held.lapses, lapses) {
            self.lapses.remove(&(before, id));
        }
        self.lapses.extend(lapses.map(|at| (at, id)));
        if first.is_some() {
            self.tried.insert(id)
        } else {
            self.tried.remove(&id)
        };
        if held.out == 0 {
            self.check.insert(id);
        }
    }

    /// Whether a message has attempts that are out or may have run.
    pub fn was_tried(&self, id: MessageId) -> bool {
        self.tried.contains(&id)
    }

    /// Endpoints that such attempts went to.
    pub fn endpoints(&self) -> BTreeSet<EndpointId> {
        let held = self.tried.iter().filter_map(|id| self.held.get(id));
        held.flat_map(|held| &held.may_have_run).map(|attempt| attempt.2).collect()
    }

    /// The endpoints of a destination changed: what was tried there may have nowhere to go any more.
    pub fn endpoints_changed(&mut self, destination: DestinationId) {
        self.waiting.touch(destination);
        if !self.tried.is_empty() {
            let of = self.waiting.of(destination);
            self.check.extend(of.filter(|id| self.tried.contains(id)));
        }
    }

    /// Any may have changed.
    pub fn all_endpoints_changed(&mut self) {
        self.waiting.touch_all();
        self.check.extend(&self.tried);
    }

    /// Has what falls due looked at.
    pub fn wake(&mut self, now: Micros) {
        self.waiting.wake(now);
        while let Some((at, id)) = self.lapses.first().copied().filter(|lapse| lapse.0 <= now) {
            self.lapses.remove(&(at, id));
            self.check.insert(id);
        }
    }

    /// Those that must be answered now.
    pub fn at_their_end(&self, now: Micros) -> impl Iterator<Item = MessageId> + '_ {
        self.ends.range(..=(now, MessageId(u32::MAX))).map(|end| end.1)
    }

    /// Those of which what happened may leave nothing to be tried.
    pub fn take_check(&mut self) -> BTreeSet<MessageId> {
        std::mem::take(&mut self.check)
    }

    /// When the next one falls due.
    pub fn next_due(&self) -> Option<Micros> {
        let (ends, lapses) = (self.ends.first().map(|end| end.0), self.lapses.first().map(|lapse| lapse.0));
        [ends, lapses, self.waiting.next_due()].into_iter().flatten().min()
    }
}
