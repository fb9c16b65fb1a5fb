//! The part of a route's health that is retained while its destination is idle, and the part that is kept
//! after the end of the process. This file exports observations and decides nothing: how a route continues
//! from them is decided in [`RouteHealth::restored`].

use idle_destinations::{Condition, RetainedHealth};

use super::RouteHealth;
use crate::interface::{Micros, RouteSnapshot, Rules};

impl RouteHealth {
    /// Returns the health that is retained while the destination is idle.
    pub(crate) fn retained(&self, rules: &Rules, now: Micros) -> RetainedHealth {
        let unhealthy = self.is_unhealthy(rules, now);
        let rejected = if self.is_rejecting() { Condition::Rejecting } else { Condition::Healthy };
        RetainedHealth {
            wait_until: self.wait_until,
            unhealthy_since: unhealthy.then_some(self.outage.unhealthy_since),
            cold_since: self.slow_start.cold_since(),
            last_success_at: self.outage.delivered_at,
            limit: self.quota.limit(),
            success_rate: self.usual_rate(rules),
            send_rate: self.limiter.rate().unwrap_or(0.0),
            condition: if unhealthy { Condition::Failing } else { rejected },
        }
    }

    /// Returns all that is kept after the end of the process.
    pub(crate) fn snapshot(&self, rules: &Rules, now: Micros) -> RouteSnapshot {
        let retained = self.retained(rules, now);
        let trial_at = self.breaker.trial_at();
        // One or two failures are not an outage: a successor that continues at once must not be stricter than
        // this process is. An idle destination, in contrast, gets a trial call first.
        let in_outage = self.in_outage(rules, now);
        let condition = match retained.condition {
            Condition::Failing if !in_outage && self.is_rejecting() => Condition::Rejecting,
            Condition::Failing if !in_outage => Condition::Healthy,
            worst => worst,
        };
        RouteSnapshot {
            condition,
            failures: if in_outage { 0 } else { self.outage.consecutive_failures },
            unhealthy_since: retained.unhealthy_since.filter(|_| in_outage),
            shortage_at: self.quota.short_at(),
            trial: (trial_at > 0).then_some((trial_at, self.breaker.reset_timeout())),
            recent_calls: self.slow_start.recently_sent(rules.overload_for, now),
            latency: self.outage.latency.mean_and_deviation(),
            ..from_retained(retained)
        }
    }
}

/// Returns the part of a snapshot that is retained for an idle destination.
pub(crate) fn to_retained(snapshot: &RouteSnapshot) -> RetainedHealth {
    RetainedHealth {
        wait_until: snapshot.wait_until,
        unhealthy_since: snapshot.unhealthy_since,
        cold_since: snapshot.cold_since,
        last_success_at: snapshot.last_success_at,
        limit: snapshot.limit,
        success_rate: snapshot.success_rate,
        send_rate: snapshot.send_rate,
        condition: snapshot.condition,
    }
}

/// Returns a snapshot that holds only what was retained for an idle destination.
pub(crate) fn from_retained(retained: RetainedHealth) -> RouteSnapshot {
    RouteSnapshot {
        wait_until: retained.wait_until,
        unhealthy_since: retained.unhealthy_since,
        cold_since: retained.cold_since,
        last_success_at: retained.last_success_at,
        limit: retained.limit,
        success_rate: retained.success_rate,
        send_rate: retained.send_rate,
        condition: retained.condition,
        ..RouteSnapshot::default()
    }
}
