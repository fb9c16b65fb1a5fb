//! Calls in flight and the attempts that each carries. No decisions are made here.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::interface::{DestinationId, EndpointId, MessageId, Micros, Outcome, RouteId};

/// A call in flight. It holds a slot until all of its messages have their outcomes.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) struct Call {
    pub route: RouteId,
    pub endpoint: EndpointId,
    pub sent: Micros,
    /// Messages without an outcome.
    messages: usize,
    /// The outcome of the call has been counted.
    #[serde(rename = "judged")]
    outcome_counted: bool,
}

/// State of a call after the outcome of one of its attempts.
#[derive(Debug)]
pub(crate) struct CompletedAttempt {
    /// The call's number.
    pub number: u64,
    /// The call.
    pub call: Call,
    /// The message's ordering key, if it is delivered in order.
    pub key: Option<u64>,
    /// This is the outcome that counts for the call: the messages of a call share one outcome, counted once.
    pub first: bool,
    /// All messages of the call have their outcomes.
    pub call_completed: bool,
}

/// A call in flight that migrates, with its attempts: message, attempt number, ordering key.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct MigratedCall {
    pub number: u64,
    pub call: Call,
    pub attempts: Vec<(MessageId, u16, Option<u64>)>,
    /// It is the first call to a destination that is being activated.
    #[serde(rename = "waking")]
    pub activating: bool,
}

/// All calls in flight.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct CallTable {
    calls: BTreeMap<u64, Call>,
    /// Attempts without an outcome, with their calls and ordering keys. They may outlive their messages.
    attempts: BTreeMap<(MessageId, u16), (u64, Option<u64>)>,
    next: u64,
}

impl CallTable {
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Returns the number of the next call.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Raises the number of the next call to at least `first`.
    pub fn count_from(&mut self, first: u64) {
        self.next = self.next.max(first);
    }

    /// Removes and returns the calls to a destination.
    pub fn detach(&mut self, destination: DestinationId) -> Vec<MigratedCall> {
        let calls: Vec<u64> =
            self.calls.iter().filter(|(_, call)| call.route.0 == destination).map(|(n, _)| *n).collect();
        let mut migrated: BTreeMap<u64, MigratedCall> = BTreeMap::new();
        for number in calls {
            if let Some(call) = self.calls.remove(&number) {
                migrated
                    .insert(number, MigratedCall { number, call, attempts: Vec::new(), activating: false });
            }
        }
        self.attempts.retain(|(message, attempt), (call, key)| match migrated.get_mut(call) {
            Some(migrated) => {
                migrated.attempts.push((*message, *attempt, *key));
                false
            }
            None => true,
        });
        migrated.into_values().collect()
    }

    /// Adds a call that another instance started.
    pub fn attach(&mut self, migrated: MigratedCall) {
        let MigratedCall { number, call, attempts, .. } = migrated;
        self.calls.insert(number, call);
        self.attempts
            .extend(attempts.into_iter().map(|(message, attempt, key)| ((message, attempt), (number, key))));
    }

    /// Records the start of a call.
    pub fn start(&mut self, route: RouteId, endpoint: EndpointId, now: Micros) {
        self.calls
            .insert(self.next, Call { route, endpoint, sent: now, messages: 0, outcome_counted: false });
        self.next += 1;
    }

    /// Adds an attempt to a call.
    pub fn add_attempt(&mut self, call: u64, message: MessageId, attempt: u16, key: Option<u64>) {
        self.calls.entry(call).and_modify(|call| call.messages += 1);
        self.attempts.insert((message, attempt), (call, key));
    }

    /// Records the outcome of an attempt; returns `None` if the attempt was not in flight.
    pub fn complete_attempt(
        &mut self,
        message: MessageId,
        attempt: u16,
        outcome: Outcome,
    ) -> Option<CompletedAttempt> {
        let (number, key) = self.attempts.remove(&(message, attempt))?;
        let call = self.calls.get_mut(&number)?;
        call.messages -= 1;
        let call_completed = call.messages == 0;
        // A message that was not sent says nothing about its call, unless no other message of it is left.
        let first = !call.outcome_counted && (call_completed || !matches!(outcome, Outcome::NotSent { .. }));
        call.outcome_counted |= first;
        let call = *call;
        if call_completed {
            self.calls.remove(&number);
        }
        Some(CompletedAttempt { number, call, key, first, call_completed })
    }

    /// Returns the attempts in flight: message, attempt number, endpoint.
    pub fn attempts_in_flight(&self) -> impl Iterator<Item = (MessageId, u16, EndpointId)> {
        let endpoint = |call: &u64| self.calls.get(call).map(|call| call.endpoint);
        self.attempts.iter().filter_map(move |(of, (call, _))| Some((of.0, of.1, endpoint(call)?)))
    }

    /// Returns the route and the time of sending of each call that has no outcome yet.
    pub fn unanswered(&self) -> impl Iterator<Item = (RouteId, Micros)> {
        self.calls.values().filter(|call| !call.outcome_counted).map(|call| (call.route, call.sent))
    }
}
