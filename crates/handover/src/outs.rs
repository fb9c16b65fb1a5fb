//! Attempts that the old process has out on behalf of the new one.

use std::collections::BTreeMap;

use decision::interface::{EndpointId, MessageId, Micros, Outcome};

use crate::AttemptCompleted;

/// All of them; each ends once.
#[derive(Debug, Default)]
pub struct OutstandingAttempts(BTreeMap<(MessageId, u16), EndpointId>);

impl OutstandingAttempts {
    /// What the old process had out when it stopped deciding.
    pub fn new(out: impl IntoIterator<Item = (MessageId, u16, EndpointId)>) -> Self {
        Self(out.into_iter().map(|(message, attempt, endpoint)| ((message, attempt), endpoint)).collect())
    }

    /// How many are out.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Whether that attempt is out there.
    pub fn contains(&self, message: MessageId, attempt: u16) -> bool {
        self.0.contains_key(&(message, attempt))
    }

    /// Of what the old process says has ended, what was out: guards the module against an end that it had already.
    pub fn ended(&mut self, over: Vec<AttemptCompleted>) -> Vec<AttemptCompleted> {
        over.into_iter().filter(|over| self.0.remove(&(over.message, over.attempt)).is_some()).collect()
    }

    /// The old process is gone, and with it the connections of what was still out: it may have run. Each is an end of
    /// its own, `took` after the old process stopped deciding.
    pub fn lost(&mut self, took: Micros) -> Vec<AttemptCompleted> {
        let all = std::mem::take(&mut self.0).into_iter();
        all.map(|((message, attempt), endpoint)| AttemptCompleted {
            message,
            attempt,
            endpoint,
            outcome: Outcome::Reset,
            message_completed: false,
            took,
            report: Vec::new(),
        })
        .collect()
    }
}
