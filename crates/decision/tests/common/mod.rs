//! A simulated environment that drives the policy alone: its clock, calls and timers.
#![allow(dead_code)]

mod settings;

use decision::interface::*;
use decision::policy::Policy;
use std::collections::BTreeMap;

pub use settings::{SECOND, settings};

pub const START: Micros = 1_000 * SECOND;
pub const DEST: DestinationId = DestinationId(7);
pub const KEYED: usize = 0;
pub const NON_IDEMPOTENT: usize = 1;
pub const IDEMPOTENT: usize = 2;
pub const ORDERED: usize = 3;

pub fn endpoint(n: u8) -> EndpointId {
    EndpointId([10, 0, 0, n, 0x1b, 0x58])
}

pub fn entry(n: u8, kind: usize) -> EndpointEntry {
    EndpointEntry {
        endpoint: endpoint(n),
        destination: DEST,
        zone: u16::from(n % 2),
        kind,
        weight: 1.0,
        listing: Listing::Ready,
    }
}

/// An attempt that the policy started.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Attempt {
    pub message: MessageId,
    pub attempt: u16,
    pub endpoint: EndpointId,
    pub sent: Micros,
    /// When the attempt times out.
    pub until: Micros,
}

/// The policy with its attempts, final answers and timers.
pub struct Sender {
    pub policy: Policy,
    pub now: Micros,
    /// Attempts in flight, the oldest first.
    pub in_flight: Vec<Attempt>,
    /// All attempts so far.
    pub sent: Vec<Attempt>,
    /// Rejected messages, each with the Retry-After of its rejection.
    pub rejected: Vec<(MessageId, Micros)>,
    /// Messages whose delivery failed.
    pub failed: Vec<MessageId>,
    /// All other actions.
    pub other: Vec<Action>,
    attempts: BTreeMap<MessageId, u16>,
    timers: Vec<(Micros, u64)>,
    next_id: u32,
}

impl Sender {
    pub fn new(settings: Settings, entries: &[EndpointEntry]) -> Self {
        let mut sender = Self {
            policy: Policy::new(settings, 42, START),
            now: START,
            in_flight: vec![],
            sent: vec![],
            rejected: vec![],
            failed: vec![],
            other: vec![],
            attempts: BTreeMap::new(),
            timers: vec![],
            next_id: 0,
        };
        sender.handle(vec![Event::EndpointList(entries.to_vec())]);
        sender
    }

    /// Passes events to the policy and carries out its actions.
    pub fn handle(&mut self, events: Vec<Event>) {
        let mut actions = vec![];
        self.policy.handle(self.now, &events, &mut actions);
        for action in actions {
            match action {
                Action::Attempt { message, endpoint, timeout, .. } => {
                    let attempts = self.attempts.entry(message).or_default();
                    let attempt = *attempts;
                    *attempts += 1;
                    let until = self.now + timeout;
                    let started = Attempt { message, attempt, endpoint, sent: self.now, until };
                    self.in_flight.push(started);
                    self.sent.push(started);
                }
                Action::Reject { message, retry_after } => self.rejected.push((message, retry_after)),
                Action::Fail(message) => self.failed.push(message),
                Action::SetTimer { at, token } => self.timers.push((at, token)),
                other => self.other.push(other),
            }
        }
    }

    /// Replaces the policy by one that a successor process restores from its state.
    pub fn hand_over(&mut self, settings: Settings) {
        let state = self.policy.state().unwrap();
        self.policy = Policy::from_state(&state, settings, 42, self.now).unwrap();
        self.timers.clear();
        self.handle(vec![]);
    }

    /// Returns a new message that is not accepted yet.
    pub fn message(&mut self, class: usize, key: Option<u64>, time_left: Micros) -> Message {
        self.next_id += 1;
        let id = MessageId(self.next_id);
        Message { id, class, tenant: 0, key, remaining_time: time_left, hint: None, destination: DEST }
    }

    /// Accepts a new message of a class.
    pub fn accept(&mut self, class: usize) -> MessageId {
        self.accept_keyed(class, None)
    }

    /// Accepts a new message of a class with an ordering key.
    pub fn accept_keyed(&mut self, class: usize, key: Option<u64>) -> MessageId {
        let message = self.message(class, key, 20 * SECOND);
        let id = message.id;
        self.handle(vec![Event::Accepted(message)]);
        id
    }

    /// Returns the event for the end of an attempt with the given outcome.
    pub fn ended(&self, attempt: Attempt, outcome: Outcome) -> Event {
        Event::AttemptCompleted {
            message: attempt.message,
            attempt: attempt.attempt,
            endpoint: attempt.endpoint,
            outcome,
            terminal: outcome == Outcome::Delivered,
            took: self.now - attempt.sent,
            report: vec![],
        }
    }

    /// Ends the oldest attempt in flight with the given outcome.
    pub fn end(&mut self, outcome: Outcome) {
        let attempt = self.in_flight.remove(0);
        let event = self.ended(attempt, outcome);
        self.handle(vec![event]);
    }

    /// Advances the clock: timers fire and attempts time out when they are due.
    pub fn advance(&mut self, span: Micros) {
        let until = self.now + span;
        loop {
            let timer = self.timers.iter().map(|timer| timer.0).min();
            let timeout = self.in_flight.iter().map(|attempt| attempt.until).min();
            let Some(at) = timer.into_iter().chain(timeout).min().filter(|at| *at <= until) else { break };
            self.now = at.max(self.now);
            let now = self.now;
            let mut events = vec![];
            self.timers.retain(|timer| {
                if timer.0 <= now {
                    events.push(Event::TimerFired(timer.1));
                }
                timer.0 > now
            });
            let (timed_out, in_flight): (Vec<_>, Vec<_>) =
                self.in_flight.iter().partition(|attempt| attempt.until <= now);
            self.in_flight = in_flight;
            events.extend(timed_out.into_iter().map(|attempt| self.ended(attempt, Outcome::TimedOut)));
            self.handle(events);
        }
        self.now = until;
    }

    /// Delivers messages one after the other, each in a tenth of a second, four a second.
    pub fn deliver(&mut self, messages: usize) {
        for _ in 0..messages {
            self.accept(IDEMPOTENT);
            self.advance(SECOND / 10);
            while !self.in_flight.is_empty() {
                self.end(Outcome::Delivered);
            }
            self.advance(SECOND * 3 / 20);
        }
    }

    /// Ends `calls` calls with the given outcome, each as soon as it is in flight.
    pub fn end_calls(&mut self, calls: usize, outcome: Outcome) {
        for _ in 0..calls {
            self.accept(IDEMPOTENT);
            for _ in 0..400 {
                if !self.in_flight.is_empty() {
                    break;
                }
                self.advance(SECOND / 20);
            }
            self.end(outcome);
        }
    }
}
