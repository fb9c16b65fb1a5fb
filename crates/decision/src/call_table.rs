//! Calls that are out, and the attempts that travel with each. It counts; it decides nothing.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::interface::{DestinationId, EndpointId, MessageId, Micros, Outcome, RouteId};

/// A call holds a slot until all its messages have their outcomes.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) struct Call {
    pub route: RouteId,
    pub endpoint: EndpointId,
    pub sent: Micros,
    messages: usize,
    judged: bool,
}

/// What the outcome of an attempt is to its call.
#[derive(Debug)]
pub(crate) struct CompletedAttempt {
    /// The call's number.
    pub number: u64,
    /// The call.
    pub call: Call,
    /// The message's ordered key.
    pub key: Option<u64>,
    /// The messages of a call share one fate, which counts once.
    pub first: bool,
    /// None of its messages is out any more.
    pub call_completed: bool,
}

/// A call that is out, and the attempts in it: message, number, ordered key.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct MigratedCall {
    pub number: u64,
    pub call: Call,
    pub attempts: Vec<(MessageId, u16, Option<u64>)>,
    /// It is the first call to a destination that woke.
    #[serde(rename = "waking")]
    pub activating: bool,
}

/// All that are out.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct CallTable {
    calls: BTreeMap<u64, Call>,
    /// Attempts without an outcome, which may outlive their messages: their calls and ordered keys.
    attempts: BTreeMap<(MessageId, u16), (u64, Option<u64>)>,
    next: u64,
}

impl CallTable {
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// The number that the next call gets.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// The next call gets this number, if it would get a smaller one.
    pub fn count_from(&mut self, first: u64) {
        self.next = self.next.max(first);
    }

    /// Takes the calls to a destination out.
    pub fn detach(&mut self, destination: DestinationId) -> Vec<MigratedCall> {
        let calls: Vec<u64> =
            self.calls.iter().filter(|(_, call)| call.route.0 == destination).map(|(n, _)| *n).collect();
        let mut moved: BTreeMap<u64, MigratedCall> = BTreeMap::new();
        for number in calls {
            if let Some(call) = self.calls.remove(&number) {
                moved.insert(number, MigratedCall { number, call, attempts: Vec::new(), activating: false });
            }
        }
        self.attempts.retain(|(message, attempt), (call, key)| match moved.get_mut(call) {
            Some(moved) => {
                moved.attempts.push((*message, *attempt, *key));
                false
            }
            None => true,
        });
        moved.into_values().collect()
    }

    /// Goes on with a call that another module began.
    pub fn attach(&mut self, moved: MigratedCall) {
        let MigratedCall { number, call, attempts, .. } = moved;
        self.calls.insert(number, call);
        self.attempts
            .extend(attempts.into_iter().map(|(message, attempt, key)| ((message, attempt), (number, key))));
    }

    /// A call begins.
    pub fn start(&mut self, route: RouteId, endpoint: EndpointId, now: Micros) {
        self.calls.insert(self.next, Call { route, endpoint, sent: now, messages: 0, judged: false });
        self.next += 1;
    }

    /// An attempt travels with a call.
    pub fn add_attempt(&mut self, call: u64, message: MessageId, attempt: u16, key: Option<u64>) {
        self.calls.entry(call).and_modify(|call| call.messages += 1);
        self.attempts.insert((message, attempt), (call, key));
    }

    /// An attempt has its outcome; nothing if it was not out.
    pub fn complete_attempt(
        &mut self,
        message: MessageId,
        attempt: u16,
        outcome: Outcome,
    ) -> Option<CompletedAttempt> {
        let (number, key) = self.attempts.remove(&(message, attempt))?;
        let call = self.calls.get_mut(&number)?;
        call.messages -= 1;
        let done = call.messages == 0;
        // What was not sent tells nothing of its call, unless that is all there is to tell.
        let first = !call.judged && (done || !matches!(outcome, Outcome::NotSent { .. }));
        call.judged |= first;
        let call = *call;
        if done {
            self.calls.remove(&number);
        }
        Some(CompletedAttempt { number, call, key, first, call_completed: done })
    }

    /// Attempts that are out, and where.
    pub fn attempts_in_flight(&self) -> impl Iterator<Item = (MessageId, u16, EndpointId)> {
        let endpoint = |call: &u64| self.calls.get(call).map(|call| call.endpoint);
        self.attempts.iter().filter_map(move |(of, (call, _))| Some((of.0, of.1, endpoint(call)?)))
    }

    /// Those of which nothing was heard yet: their routes, and when they were sent.
    pub fn unanswered(&self) -> impl Iterator<Item = (RouteId, Micros)> {
        self.calls.values().filter(|call| !call.judged).map(|call| (call.route, call.sent))
    }
}
