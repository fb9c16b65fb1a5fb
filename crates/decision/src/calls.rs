//! Calls that are out, and the attempts that travel with each. It counts; it decides nothing.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::interface::{EndpointId, MessageId, Micros, Outcome, RouteId};

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
pub(crate) struct Ended {
    /// The call's number.
    pub number: u64,
    /// The call.
    pub call: Call,
    /// The message's ordered key.
    pub key: Option<u64>,
    /// The messages of a call share one fate, which counts once.
    pub first: bool,
    /// None of its messages is out any more.
    pub done: bool,
}

/// All that are out.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct Calls {
    calls: BTreeMap<u64, Call>,
    /// Attempts without an outcome, which may outlive their messages: their calls and ordered keys.
    attempts: BTreeMap<(MessageId, u16), (u64, Option<u64>)>,
    next: u64,
}

impl Calls {
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// The number that the next call gets.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// A call begins.
    pub fn begin(&mut self, route: RouteId, endpoint: EndpointId, now: Micros) {
        self.calls.insert(self.next, Call { route, endpoint, sent: now, messages: 0, judged: false });
        self.next += 1;
    }

    /// An attempt travels with a call.
    pub fn carry(&mut self, call: u64, message: MessageId, attempt: u16, key: Option<u64>) {
        self.calls.entry(call).and_modify(|call| call.messages += 1);
        self.attempts.insert((message, attempt), (call, key));
    }

    /// An attempt has its outcome; nothing if it was not out.
    pub fn ended(&mut self, message: MessageId, attempt: u16, outcome: Outcome) -> Option<Ended> {
        let (number, key) = self.attempts.remove(&(message, attempt))?;
        let call = self.calls.get_mut(&number)?;
        call.messages -= 1;
        let done = call.messages == 0;
        // What was not sent tells nothing of its call, unless that is all there is to tell.
        let first = !call.judged && (done || !matches!(outcome, Outcome::Moot { .. }));
        call.judged |= first;
        let call = *call;
        if done {
            self.calls.remove(&number);
        }
        Some(Ended { number, call, key, first, done })
    }

    /// Those of which nothing was heard yet: their routes, and when they were sent.
    pub fn unheard(&self) -> impl Iterator<Item = (RouteId, Micros)> {
        self.calls.values().filter(|call| !call.judged).map(|call| (call.route, call.sent))
    }
}
