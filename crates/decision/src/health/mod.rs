//! Health of a route as this sender observes it, and the limits on its calls that follow from it. A route is
//! a destination or, where the destination's endpoints are independent, one of its endpoints. Each control
//! law is a type in a file of its own; [`RouteHealth`] combines them. This file holds the state and gives
//! access to it; the decisions are in `assessment`, `outcomes` and `restore`.

use serde::Deserialize;

use crate::endpoints::ListedLimit;
use crate::interface::{Micros, Outcome, Rules, Settings};

mod assessment;
mod circuit_breaker;
mod outage_detector;
mod outcomes;
mod quota_share;
mod rate_limiter;
mod record;
mod restore;
mod slow_start;
mod snapshot;
#[cfg(test)]
mod tests;

pub(crate) use assessment::SMALL_FLEET_SENDERS;
pub(crate) use circuit_breaker::{MAX_FAILURES, MAX_RESET_TIMEOUT, MAX_SILENT_CALLS};
pub(crate) use quota_share::RECENT_SHORTAGE_OBJECTIVES;
pub(crate) use restore::outage_of_failures;
pub(crate) use snapshot::{from_retained, to_retained};

use circuit_breaker::CircuitBreaker;
use outage_detector::OutageDetector;
use quota_share::QuotaShare;
use rate_limiter::RateLimiter;
use slow_start::SlowStart;

/// Health of one route, the unit that a circuit breaker protects.
#[derive(Debug, Deserialize)]
#[serde(from = "record::RouteHealthRecord")]
pub(crate) struct RouteHealth {
    breaker: CircuitBreaker,
    outage: OutageDetector,
    slow_start: SlowStart,
    limiter: RateLimiter,
    quota: QuotaShare,
    /// No call starts before this time: the end of a Retry-After, or of this sender's own backoff after a
    /// rejection that stated no wait.
    wait_until: Micros,
    /// Number of calls in flight.
    in_flight: usize,
    /// No call has been answered since the route was activated.
    activating: bool,
}

/// Context in which a decision about a call is made.
#[derive(Clone, Copy)]
pub(crate) struct Tick<'a> {
    /// Settings of this sender.
    pub settings: &'a Settings,
    /// Time of the current tick.
    pub now: Micros,
    /// Latency objective of the call, in microseconds.
    pub latency_objective: Micros,
    /// Random draw between 0 and 1.
    pub jitter: f64,
}

/// Part of a limit shared by all senders that this sender needs.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Demand {
    /// The needed part, as a multiple of an even share.
    pub shares: f64,
    /// A shortage of the limit was observed within the last
    /// [`RECENT_SHORTAGE_OBJECTIVES`] latency objectives.
    pub is_short: bool,
}

/// Consecutive failures of a route, which may have to be published to other senders.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FailureCounts {
    /// Consecutive failures since the last success.
    pub failures: u32,
    /// Consecutive rejections that no reported limit explains.
    pub unattributed_rejections: u32,
}

/// Construction, and changes that come from the endpoint list or from a wait.
impl RouteHealth {
    /// Creates a route about which nothing is known.
    pub(crate) fn new(now: Micros) -> Self {
        Self::listed(ListedLimit { calls_per_second: 0.0, since: now })
    }

    /// Creates a route about which only its entry in the endpoint list is known.
    fn listed(listed: ListedLimit) -> Self {
        Self {
            breaker: CircuitBreaker::default(),
            outage: OutageDetector::new(listed.since),
            slow_start: SlowStart::new(listed.since),
            limiter: RateLimiter::new(listed.since),
            quota: QuotaShare::listed(listed.calls_per_second),
            wait_until: 0,
            in_flight: 0,
            activating: false,
        }
    }

    /// Marks the route as just activated. With `limited`, it gets one call at a time until one has been
    /// answered.
    pub(crate) fn begin_activation(&mut self, limited: bool) {
        self.activating = limited;
    }

    /// Applies the limit that the endpoint list states. A list that repeats the value from before changes
    /// nothing, because the load reports received since are more accurate.
    pub(crate) fn list_limit(&mut self, calls_per_second: f64) {
        if calls_per_second != self.quota.listed_limit() {
            self.quota.list_limit(calls_per_second);
        }
    }

    /// Delays all calls until `until` at least.
    pub(crate) fn wait_until_at_least(&mut self, until: Micros) {
        self.wait_until = self.wait_until.max(until);
    }
}

/// Observed state.
impl RouteHealth {
    /// Returns the time before which no call starts.
    pub(crate) fn wait_until(&self) -> Micros {
        self.wait_until
    }

    /// Returns the number of calls in flight.
    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// Returns whether no call has been answered since the route was activated.
    pub(crate) fn is_activating(&self) -> bool {
        self.activating
    }

    /// Returns whether the circuit breaker is closed.
    pub(crate) fn is_breaker_closed(&self) -> bool {
        self.breaker.is_closed()
    }

    /// Returns when an open breaker admits its trial call; 0 if the breaker is not open.
    pub(crate) fn trial_at(&self) -> Micros {
        self.breaker.trial_at()
    }

    /// Returns whether a call has been rejected since the last success.
    pub(crate) fn is_rejecting(&self) -> bool {
        self.outage.rejections > 0
    }

    /// Returns the rate of successful calls, in calls a second, while the destination was not warming up.
    pub(crate) fn usual_rate(&self, rules: &Rules) -> f64 {
        self.slow_start.usual_rate(rules)
    }

    /// Returns the recent rate of successful calls, in calls a second.
    pub(crate) fn granted_rate(&self) -> f64 {
        self.limiter.granted_rate()
    }

    /// Returns when the last answer arrived.
    pub(crate) fn answered_at(&self) -> Micros {
        self.outage.answered_at
    }

    /// Returns when slow start last decided on a call to the route.
    pub(crate) fn checked_at(&self) -> Micros {
        self.slow_start.checked_at()
    }

    /// Returns when a shortage of the limit was last observed.
    pub(crate) fn short_at(&self) -> Option<Micros> {
        self.quota.short_at()
    }

    /// Returns when the send rate next allows a call.
    pub(crate) fn rate_allows_at(&self) -> Micros {
        self.limiter.allows_at()
    }

    /// Returns whether the evidence of other senders suffices to consider the destination unhealthy.
    pub(crate) fn is_reported_unhealthy(&self) -> bool {
        self.outage.reported_unhealthy
    }

    /// Returns the counts that may have to be published to other senders.
    pub(crate) fn failure_counts(&self) -> FailureCounts {
        FailureCounts {
            failures: self.outage.consecutive_failures,
            unattributed_rejections: self.outage.unattributed_rejections,
        }
    }

    /// Returns how long a call may go without an answer before it counts as silent.
    pub(crate) fn silence_timeout(&self, latency_objective: Micros) -> Micros {
        self.outage.latency.longest_usual(latency_objective)
    }

    /// Returns whether a call sent at `sent` has gone unanswered for longer than the longest usual latency,
    /// with no answer to any other call since it was sent.
    pub(crate) fn is_silent(&self, sent: Micros, latency_objective: Micros, now: Micros) -> bool {
        self.outage.is_silent(sent, latency_objective, now)
    }
}

/// Limits on what may be sent now.
impl RouteHealth {
    /// Sets the part of an even share that this sender has after quota was transferred between senders.
    pub(crate) fn set_escrow(&mut self, share: f64) {
        self.quota.set_escrow(share);
    }

    /// Returns the part of the limit that this sender needs to send `queued` messages.
    pub(crate) fn demand(&self, tick: &Tick, queued: f64) -> Demand {
        self.quota.demand(tick, queued)
    }

    /// Adds the tokens that have accrued at the send rate.
    pub(crate) fn refill_tokens(&mut self, now: Micros) {
        self.limiter.refill(now);
    }

    /// Returns whether the send rate allows a call now.
    pub(crate) fn has_token(&self) -> bool {
        self.limiter.has_token()
    }

    /// Returns whether the circuit breaker admits a call now.
    pub(crate) fn breaker_allows(&mut self, now: Micros) -> bool {
        self.breaker.allows(now)
    }
}

/// Calls as they start and end.
impl RouteHealth {
    /// Records that a message of that weight is sent, in a call of its own or in a batch with others.
    pub(crate) fn record_sent(&mut self, weight: f64, now: Micros) {
        self.slow_start.record_sent(weight, now);
    }

    /// Records that a call starts: it takes a token and may be the trial of a half-open breaker.
    pub(crate) fn call_started(&mut self, call: u64) {
        self.in_flight += 1;
        self.limiter.take_token();
        self.breaker.call_started(call);
    }

    /// Records that a call is no longer in flight.
    pub(crate) fn call_completed(&mut self) {
        self.in_flight -= 1;
    }

    /// Opens the circuit breaker.
    pub(crate) fn open_breaker(&mut self, now: Micros, latency_objective: Micros) {
        self.breaker.open(now, latency_objective);
    }

    /// Records the latency of a call when the first of its messages gets an outcome. Time-outs count as
    /// latency too, so that a destination that becomes slow is not sent the same messages again.
    pub(crate) fn record_latency(&mut self, sent: Micros, outcome: Outcome, now: Micros) {
        self.activating &= !outcome.answered();
        let answered = matches!(outcome, Outcome::Delivered | Outcome::Error | Outcome::InvalidResponse);
        if answered || outcome == Outcome::TimedOut {
            self.outage.latency.record(now - sent);
        }
        if answered {
            self.outage.answered_at = now;
        }
    }
}
