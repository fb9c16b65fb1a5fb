//! Attempts that the predecessor completes on behalf of its successor.

use std::collections::BTreeMap;

use decision::interface::{EndpointId, MessageId, Micros, Outcome};

use crate::{AttemptCompleted, AttemptInFlight};

/// The attempts that were in flight when the predecessor stopped deciding and have not completed yet.
#[derive(Debug, Default)]
pub struct OutstandingAttempts(BTreeMap<(MessageId, u16), EndpointId>);

impl OutstandingAttempts {
    /// Creates the set of the attempts that were in flight when the predecessor stopped deciding.
    pub fn new(in_flight: impl IntoIterator<Item = AttemptInFlight>) -> Self {
        let by_attempt = |attempt: AttemptInFlight| ((attempt.message, attempt.attempt), attempt.endpoint);
        Self(in_flight.into_iter().map(by_attempt).collect())
    }

    /// Returns the number of outstanding attempts.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether no attempt is outstanding.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns whether this attempt of the message is outstanding.
    pub fn contains(&self, message: MessageId, attempt: u16) -> bool {
        self.0.contains_key(&(message, attempt))
    }

    /// Removes attempts that the predecessor reports as completed, and returns those that were outstanding. The
    /// others are dropped, so that the decision module receives each completion only once.
    pub fn complete(&mut self, completed: Vec<AttemptCompleted>) -> Vec<AttemptCompleted> {
        let was_outstanding =
            |completed: &AttemptCompleted| self.0.remove(&(completed.message, completed.attempt)).is_some();
        completed.into_iter().filter(was_outstanding).collect()
    }

    /// Completes all outstanding attempts as reset. Called when the predecessor has exited, which closes their
    /// connections; each of them may have run. `took` is the time since the predecessor stopped deciding.
    pub fn reset_all(&mut self, took: Micros) -> Vec<AttemptCompleted> {
        let outstanding = std::mem::take(&mut self.0);
        let reset = |((message, attempt), endpoint)| AttemptCompleted {
            took,
            ..AttemptCompleted::unsent(message, attempt, endpoint, Outcome::Reset)
        };
        outstanding.into_iter().map(reset).collect()
    }
}
