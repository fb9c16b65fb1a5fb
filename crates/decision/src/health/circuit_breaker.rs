//! Three-state circuit breaker.

use serde::{Deserialize, Serialize};

use crate::interface::{Micros, Outcome};

mod state;

/// Number of consecutive errors or failed connections that opens the breaker.
pub(crate) const MAX_FAILURES: u32 = 5;
/// Number of consecutive time-outs that opens the breaker.
const MAX_TIMEOUTS: u32 = 20;
/// Longest time from the last failure to the trial call.
pub(crate) const MAX_RESET_TIMEOUT: Micros = 5_000_000;
/// Number of calls in flight beyond their usual latency, with no answer since, that opens the breaker.
pub(crate) const MAX_SILENT_CALLS: u32 = 2;

/// State of the breaker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
enum State {
    #[default]
    Closed,
    Open,
    HalfOpen,
}

/// Stops calls to a failing destination and lets one trial call through from time to time.
///
/// *Input*: the outcome of each call; times in microseconds. *Rule*: closed until [`MAX_FAILURES`]
/// consecutive failures or [`MAX_TIMEOUTS`] consecutive time-outs, then open for half a latency objective;
/// then half-open, with one trial call at a time. A failed trial doubles the open time, up to
/// [`MAX_RESET_TIMEOUT`]; any success closes the breaker. *Reason*: calls into an outage use up the attempts
/// of messages and slow down the recovery of the destination.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct CircuitBreaker {
    state: State,
    failures: u32,
    timeouts: u32,
    #[serde(rename = "last_failed")]
    last_failure_at: Micros,
    #[serde(rename = "reset")]
    reset_timeout: Micros,
    /// The call in flight whose outcome decides a half-open breaker.
    trial: Option<u64>,
}

impl CircuitBreaker {
    /// Returns whether a call may start now; an open breaker whose reset time-out has passed becomes
    /// half-open.
    pub(crate) fn allows(&mut self, now: Micros) -> bool {
        if self.state == State::Open && now >= self.trial_at() {
            self.state = State::HalfOpen;
        }
        match self.state {
            State::Closed => true,
            State::Open => false,
            State::HalfOpen => self.trial.is_none(),
        }
    }

    /// Opens the breaker. The first trial comes after half a latency objective, because the longest open
    /// time, five seconds, exceeds most latency objectives.
    pub(super) fn open(&mut self, now: Micros, latency_objective: Micros) {
        let trial_failed = self.state == State::HalfOpen;
        let reset_timeout = if trial_failed { self.reset_timeout * 2 } else { latency_objective / 2 };
        self.reset_timeout = reset_timeout.min(MAX_RESET_TIMEOUT);
        self.state = State::Open;
        self.last_failure_at = now;
        (self.failures, self.timeouts) = (0, 0);
    }

    /// Records the outcome of a call.
    pub(super) fn record(&mut self, call: u64, outcome: Outcome, now: Micros, latency_objective: Micros) {
        let was_trial = self.trial.take_if(|trial| *trial == call).is_some();
        match outcome {
            // A late answer to a call that started before the breaker opened proves as much as a trial.
            Outcome::Delivered => return self.close(),
            Outcome::Error | Outcome::ConnectFailed | Outcome::Reset => self.failures += 1,
            Outcome::TimedOut => self.timeouts += 1,
            // A rejection, a response corrupted on the path or a cancellation says nothing about whether the
            // destination is healthy.
            Outcome::Rejected(_) | Outcome::ConnectionRejected => return,
            Outcome::InvalidResponse | Outcome::Cancelled | Outcome::NotSent { .. } => return,
        }
        self.last_failure_at = now;
        if was_trial || self.failures >= MAX_FAILURES || self.timeouts >= MAX_TIMEOUTS {
            self.open(now, latency_objective);
        }
    }

    /// Closes the breaker.
    fn close(&mut self) {
        (self.failures, self.timeouts) = (0, 0);
        self.state = State::Closed;
        self.trial = None;
    }
}
