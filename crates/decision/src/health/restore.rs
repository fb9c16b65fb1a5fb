//! How a route continues after its destination was idle, or from a predecessor's snapshot.

use idle_destinations::{Condition, RetainedHealth};

use super::circuit_breaker::{CircuitBreaker, MAX_FAILURES};
use super::outage_detector::OUTAGE_FAILURES;
use super::{RouteHealth, to_retained};
use crate::endpoints::ListedLimit;
use crate::estimate::AnswerLatency;
use crate::interface::{Micros, RecoveredFailures, RouteSnapshot, Rules};

/// Returns the snapshot of a route that was in an outage when the earlier process ended, if its failed calls
/// indicate that: [`MAX_FAILURES`] of them, over an overload span (`overload_for`) without a delivery. A
/// destination that rejects calls at its limit accepts some of them within that time. Without this a process
/// that starts as the destination returns would send the backlog of the whole outage at once. Costs one trial
/// call and slow start where a limit is used up by other senders for so long.
pub(crate) fn outage_of_failures(failures: &RecoveredFailures, rules: &Rules) -> Option<RouteSnapshot> {
    let lasted = failures.last_at.saturating_sub(failures.first_at);
    let in_outage = failures.count >= MAX_FAILURES && lasted >= rules.overload_for;
    in_outage.then(|| RouteSnapshot {
        condition: Condition::Failing,
        unhealthy_since: Some(failures.first_at),
        ..RouteSnapshot::default()
    })
}

impl RouteHealth {
    /// Creates a route from its retained health and its entry in the endpoint list. A destination that was
    /// unhealthy, or whose retained health is lost or discarded, gets one call first (its trial) and then
    /// slow start; one that rejected calls gets one call at a time until it accepts one. This keeps a
    /// destination that changed while it was idle from being overloaded. Costs delay for destinations that
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

    /// Creates a route from the snapshot of an earlier process: breaker, slow start and shortage continue
    /// where they were. Otherwise a restarted fleet would have to learn all this again with calls that burden
    /// the partners. Costs delay for destinations that are healthy again.
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
