//! Construction of and access to the state of the circuit breaker; no decisions are made here.

use super::{CircuitBreaker, MAX_RESET_TIMEOUT, State};
use crate::interface::Micros;

impl CircuitBreaker {
    /// Creates a half-open breaker: the first call is the trial.
    pub(in crate::health) fn half_open() -> Self {
        Self { state: State::HalfOpen, reset_timeout: MAX_RESET_TIMEOUT / 4, ..Self::default() }
    }

    /// Continues an open breaker of an earlier process.
    pub(in crate::health) fn resume_open(&mut self, trial_at: Micros, reset_timeout: Micros) {
        self.state = State::Open;
        self.reset_timeout = reset_timeout.min(trial_at);
        self.last_failure_at = trial_at - self.reset_timeout;
    }

    /// Returns whether the breaker is closed.
    pub(crate) fn is_closed(&self) -> bool {
        self.state == State::Closed
    }

    /// Returns when an open breaker admits its trial call; 0 in any other state.
    pub(crate) fn trial_at(&self) -> Micros {
        if self.state == State::Open { self.last_failure_at + self.reset_timeout } else { 0 }
    }

    /// Returns the time from the last failure to the trial call.
    pub(crate) fn reset_timeout(&self) -> Micros {
        self.reset_timeout
    }

    /// Records that an admitted call starts; in a half-open breaker it is the trial.
    pub(in crate::health) fn call_started(&mut self, call: u64) {
        if self.state == State::HalfOpen {
            self.trial = Some(call);
        }
    }
}
