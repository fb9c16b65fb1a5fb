//! Three-state circuit breaker.

use serde::{Deserialize, Serialize};

use crate::interface::{Micros, Outcome};

mod state;

/// Consecutive errors or failed connections that open the breaker.
pub(crate) const MAX_FAILURES: u32 = 5;
/// Consecutive time-outs that open the breaker.
const MAX_TIMEOUTS: u32 = 20;
/// The longest time from the last failure to the trial.
pub(crate) const RESET_TIMEOUT: Micros = 5_000_000;
/// In-flight calls past their usual latency, with no answer since, that open the breaker.
pub(crate) const MAX_SILENT: u32 = 2;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
enum State {
    #[default]
    Closed,
    Open,
    HalfOpen,
}

/// Stops calls to a destination that fails, and lets one trial call through from time to time.
///
/// *Input*: the outcome of each call; times in microseconds. *Rule*: closed until [`MAX_FAILURES`]
/// consecutive failures or [`MAX_TIMEOUTS`] time-outs, then open for half a latency objective; half-open
/// after that, with one trial at a time. A trial that fails doubles the open time, up to [`RESET_TIMEOUT`];
/// any success closes. *Guards against* calls into an outage, which cost messages their attempts and the
/// destination its recovery.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct CircuitBreaker {
    state: State,
    failures: u32,
    timeouts: u32,
    #[serde(rename = "last_failed")]
    last_failure_at: Micros,
    #[serde(rename = "reset")]
    reset_timeout: Micros,
    /// The call in flight that decides a half-open breaker.
    trial: Option<u64>,
}

impl CircuitBreaker {
    /// Whether a call may go now; an open breaker whose time is up turns half-open.
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

    /// Five seconds outlast most latency objectives: the first trial comes after half of one.
    pub(super) fn open(&mut self, now: Micros, latency_objective: Micros) {
        let trial_failed = self.state == State::HalfOpen;
        let reset_timeout = if trial_failed { self.reset_timeout * 2 } else { latency_objective / 2 };
        self.reset_timeout = reset_timeout.min(RESET_TIMEOUT);
        self.state = State::Open;
        self.last_failure_at = now;
        (self.failures, self.timeouts) = (0, 0);
    }

    pub(super) fn record(&mut self, call: u64, outcome: Outcome, now: Micros, latency_objective: Micros) {
        let was_trial = self.trial.take_if(|trial| *trial == call).is_some();
        match outcome {
            // A late answer to a call from before the opening proves as much as a trial's.
            Outcome::Delivered => return self.close(),
            Outcome::Error | Outcome::ConnectFailed | Outcome::Reset => self.failures += 1,
            Outcome::TimedOut => self.timeouts += 1,
            // What is spoilt on the way says nothing of the destination.
            Outcome::Rejected(_) | Outcome::ConnectionRejected => return,
            Outcome::InvalidResponse | Outcome::Cancelled | Outcome::NotSent { .. } => return,
        }
        self.last_failure_at = now;
        if was_trial || self.failures >= MAX_FAILURES || self.timeouts >= MAX_TIMEOUTS {
            self.open(now, latency_objective);
        }
    }

    fn close(&mut self) {
        (self.failures, self.timeouts) = (0, 0);
        self.state = State::Closed;
        self.trial = None;
    }
}
