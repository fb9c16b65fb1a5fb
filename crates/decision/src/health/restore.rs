//! How a route goes on after its destination was idle, or with what an earlier process knew.

use idle_destinations::{Condition, RetainedHealth};

use super::circuit_breaker::CircuitBreaker;
use super::outage_detector::OUTAGE_FAILURES;
use super::{RouteHealth, to_retained};
use crate::endpoints::ListedLimit;
use crate::estimate::AnswerLatency;
use crate::interface::{Micros, RouteSnapshot, Rules};

impl RouteHealth {
    /// With what is retained of it, and what the list promises. Guards against pushing over what changed
    /// while it was idle: what was unhealthy, or is unknown by now, gets one call first, its trial, and then
    /// slow start; what rejected gets one call at a time until it takes one. It costs those their time that
    /// are healthy again.
    pub(crate) fn activated(
        retained: Option<RetainedHealth>,
        listed: ListedLimit,
        rules: &Rules,
        now: Micros,
    ) -> Self {
        let mut route = Self::listed(listed);
        let Some(retained) = retained else { return route };
        route.wait_until = retained.wait_until;
        route.slow_start.set_cold_since(retained.cold_since);
        route.slow_start.restore_rate(retained.success_rate, rules, now);
        route.outage.restore_success(retained.last_success_at);
        route.outage.unhealthy_since = retained.unhealthy_since.unwrap_or(0);
        route.limiter.restore(retained.send_rate, now);
        route.quota.retain_limit(retained.limit);
        if retained.condition == Condition::Failing {
            route.breaker = CircuitBreaker::half_open();
            route.outage.consecutive_failures = OUTAGE_FAILURES;
            route.outage.activated_unhealthy = true;
        }
        route
    }

    /// With what an earlier process observed: breaker, slow start and shortage go on where they were. Guards
    /// partners against a fleet that restarts and would find it out anew at their cost. It harms where all is
    /// well again.
    pub(crate) fn restored(
        snapshot: &RouteSnapshot,
        listed: ListedLimit,
        rules: &Rules,
        now: Micros,
    ) -> Self {
        let mut route = Self::activated(Some(to_retained(snapshot)), listed, rules, now);
        route.quota.restore(snapshot.shortage_at);
        if let Some((trial_at, reset_timeout)) = snapshot.trial.filter(|trial| trial.0 > now) {
            route.breaker.resume_open(trial_at, reset_timeout);
        }
        let failures = snapshot.failures.min(1);
        route.outage.consecutive_failures = route.outage.consecutive_failures.max(failures);
        let (weight, sent_at) = snapshot.recent_calls;
        if weight > 0.0 {
            route.slow_start.record_sent(weight, sent_at.min(now));
        }
        route.outage.latency = snapshot.latency.map(AnswerLatency::known).unwrap_or_default();
        route
    }
}
