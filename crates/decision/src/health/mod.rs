//! Health of a route, as this sender saw it, and what it may do because of it. A route is a destination or, where its
//! endpoints are independent, one of them. Each control law is a type in a file of its own; [`RouteHealth`] composes them.
//! This file has its state and shows it; what follows from it is in `assessment`, `outcomes` and `restore`.

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
pub(crate) use circuit_breaker::{MAX_FAILURES, MAX_SILENT, RESET_TIMEOUT};
pub(crate) use quota_share::CALM_OBJECTIVES;
pub(crate) use snapshot::{from_retained, to_retained};

use circuit_breaker::CircuitBreaker;
use outage_detector::OutageDetector;
use quota_share::QuotaShare;
use rate_limiter::RateLimiter;
use slow_start::SlowStart;

/// Health of what a circuit breaker guards.
#[derive(Debug, Deserialize)]
#[serde(from = "record::RouteHealthRecord")]
pub(crate) struct RouteHealth {
    breaker: CircuitBreaker,
    outage: OutageDetector,
    slow_start: SlowStart,
    limiter: RateLimiter,
    quota: QuotaShare,
    /// A Retry-After, or our own backoff after a rejection that stated none: nothing goes before it ends.
    wait_until: Micros,
    /// Calls in flight.
    in_flight: usize,
    /// No call was answered since it was activated.
    activating: bool,
}

/// What a decision on a call is made under.
#[derive(Clone, Copy)]
pub(crate) struct Tick<'a> {
    pub settings: &'a Settings,
    pub now: Micros,
    /// The time in which the call should be answered, in microseconds.
    pub latency_objective: Micros,
    /// A random draw from 0 to 1.
    pub jitter: f64,
}

/// What a sender needs of a limit that senders share.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Demand {
    /// In even shares.
    pub shares: f64,
    /// The limit was used up of late.
    pub is_short: bool,
}

/// Failures in a row, of which other senders may have to know.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FailureCounts {
    pub failures: u32,
    pub unattributed_rejections: u32,
}

/// Where a route comes from.
impl RouteHealth {
    /// Nothing is known of it.
    pub(crate) fn new(now: Micros) -> Self {
        Self::listed(ListedLimit { calls_per_second: 0.0, since: now })
    }

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

    /// It was idle, and is so no more: it begins with one call.
    pub(crate) fn begin_activation(&mut self, limited: bool) {
        self.activating = limited;
    }

    /// The list states that limit. What reports said since is finer than a list that says the same as before.
    pub(crate) fn list_limit(&mut self, calls_per_second: f64) {
        if calls_per_second != self.quota.listed_limit() {
            self.quota.list_limit(calls_per_second);
        }
    }

    /// Nothing goes before then.
    pub(crate) fn wait_until_at_least(&mut self, until: Micros) {
        self.wait_until = self.wait_until.max(until);
    }
}

/// What is known of it.
impl RouteHealth {
    pub(crate) fn wait_until(&self) -> Micros {
        self.wait_until
    }

    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight
    }

    pub(crate) fn is_activating(&self) -> bool {
        self.activating
    }

    pub(crate) fn is_breaker_closed(&self) -> bool {
        self.breaker.is_closed()
    }

    /// When an open breaker admits its trial; 0 where it is not open.
    pub(crate) fn trial_at(&self) -> Micros {
        self.breaker.trial_at()
    }

    /// Whether its last calls were rejected.
    pub(crate) fn is_rejecting(&self) -> bool {
        self.outage.rejections > 0
    }

    /// Calls a second that were served here while it was warm.
    pub(crate) fn usual_rate(&self, rules: &Rules) -> f64 {
        self.slow_start.usual_rate(rules)
    }

    /// Calls a second that succeeded of late.
    pub(crate) fn granted_rate(&self) -> f64 {
        self.limiter.granted_rate()
    }

    /// When the last answer came.
    pub(crate) fn answered_at(&self) -> Micros {
        self.outage.answered_at
    }

    /// When a call was last weighed for it.
    pub(crate) fn checked_at(&self) -> Micros {
        self.slow_start.checked_at()
    }

    /// When its limit was last seen used up.
    pub(crate) fn short_at(&self) -> Option<Micros> {
        self.quota.short_at()
    }

    /// When its send rate allows a call.
    pub(crate) fn rate_allows_at(&self) -> Micros {
        self.limiter.allows_at()
    }

    /// Whether other senders hold evidence enough that it is unhealthy.
    pub(crate) fn is_reported_unhealthy(&self) -> bool {
        self.outage.reported_unhealthy
    }

    pub(crate) fn failure_counts(&self) -> FailureCounts {
        FailureCounts {
            failures: self.outage.consecutive_failures,
            unattributed_rejections: self.outage.unattributed_rejections,
        }
    }

    /// After how long without an answer a call here is silent.
    pub(crate) fn patience(&self, latency_objective: Micros) -> Micros {
        self.outage.latency.longest(latency_objective)
    }

    /// Whether a call that was sent then is past its patience, with no answer to any since.
    pub(crate) fn is_silent(&self, sent: Micros, latency_objective: Micros, now: Micros) -> bool {
        self.outage.is_silent(sent, latency_objective, now)
    }
}

/// What it may do.
impl RouteHealth {
    /// What was transferred of the limit between senders leaves this one such a part of an even share.
    pub(crate) fn set_escrow(&mut self, share: f64) {
        self.quota.set_escrow(share);
    }

    /// What this sender needs of a reported limit with so many queued messages.
    pub(crate) fn demand(&self, tick: &Tick, queued: f64) -> Demand {
        self.quota.demand(tick, queued)
    }

    pub(crate) fn refill_tokens(&mut self, now: Micros) {
        self.limiter.refill(now);
    }

    pub(crate) fn has_token(&self) -> bool {
        self.limiter.has_token()
    }

    /// Whether the breaker admits a call now.
    pub(crate) fn breaker_allows(&mut self, now: Micros) -> bool {
        self.breaker.allows(now)
    }
}

/// What happens to it.
impl RouteHealth {
    /// A weight goes there, with a call of its own or with another's.
    pub(crate) fn record_sent(&mut self, weight: f64, now: Micros) {
        self.slow_start.record_sent(weight, now);
    }

    pub(crate) fn call_started(&mut self, call: u64) {
        self.in_flight += 1;
        self.limiter.take_token();
        self.breaker.call_started(call);
    }

    pub(crate) fn call_completed(&mut self) {
        self.in_flight -= 1;
    }

    pub(crate) fn open_breaker(&mut self, now: Micros, latency_objective: Micros) {
        self.breaker.open(now, latency_objective);
    }

    /// The first message of a call has an outcome, and with it the call. Latency grows with time-outs too: guards a
    /// destination that becomes slow against repeats.
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
