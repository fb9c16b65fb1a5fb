//! Limits on the calls of a route, derived from its observed health.

use super::slow_start::ColdCapacity;
use super::{RouteHealth, Tick};
use crate::interface::{Micros, Rules};

/// Up to this many senders, each may make a call per overload span (`overload_for`) to any cold destination,
/// keep idle connections open, and send without sharing a reported limit.
pub(crate) const SMALL_FLEET_SENDERS: usize = 3;

impl RouteHealth {
    /// Returns whether a call has failed, or timed out after a later answer, since the last success, or the
    /// breaker is not closed.
    pub(crate) fn is_failing(&self) -> bool {
        self.outage.consecutive_failures > 0 || self.outage.has_late_call || !self.breaker.is_closed()
    }

    /// Returns whether the route is retained as unhealthy when its destination becomes idle.
    pub(crate) fn is_unhealthy(&self, rules: &Rules, now: Micros) -> bool {
        self.is_failing() || self.in_outage(rules, now) || self.outage.connection_lost()
    }

    /// Returns whether the outcomes since the last success indicate an outage: enough consecutive failures, a
    /// breaker that is not closed, or nothing but rejections, not explained by a limit, for an overload span
    /// (`overload_for`). The last is how a destination that is shut appears; it is as cold as any other when
    /// it returns.
    pub(crate) fn in_outage(&self, rules: &Rules, now: Micros) -> bool {
        self.outage.consecutive_failures >= self.outage_threshold(rules, now)
            || !self.breaker.is_closed()
            || self.outage.is_shut(rules, now)
    }

    /// Returns how many consecutive failures indicate an outage now.
    pub(super) fn outage_threshold(&self, rules: &Rules, now: Micros) -> u32 {
        self.outage.outage_threshold(self.slow_start.is_warming(rules, now))
    }

    /// Returns the share of its capacity to count on if the destination may be cold, so that a returning
    /// destination is not overloaded at once. This includes the time of an outage or suspected outage itself,
    /// since the destination may be back before this sender notices.
    pub(crate) fn cold_share(&self, rules: &Rules, now: Micros) -> Option<f64> {
        if self.in_outage(rules, now) || self.outage.is_suspected(rules, now) {
            return Some(rules.cold_share);
        }
        self.slow_start.warm_share(rules, now)
    }

    /// Returns whether slow start allows a further call of that weight, with `backlog` messages queued. Where
    /// many senders have little traffic each, the usual rate alone would be too low an estimate: all queued
    /// messages arrived since the outage began and within their deadlines, so the traffic is also estimated
    /// as the backlog divided by that time, and the higher estimate counts. Costs delay where only a few
    /// senders have anything to send.
    pub(crate) fn slow_start_allows(&mut self, tick: &Tick, weight: f64, backlog: f64) -> bool {
        let rules = &tick.settings.rules;
        let cold = self.cold_share(rules, tick.now).map(|share| {
            let outage = tick.now.saturating_sub(self.outage.unhealthy_since);
            let queued_within = outage.min(tick.settings.longest_deadline()).max(1);
            let queued_rate = backlog * 1e6 / queued_within as f64;
            let usual = self.usual_rate(rules).max(self.quota.even_share(tick.settings));
            ColdCapacity { share, own_rate: usual.max(queued_rate) }
        });
        self.slow_start.allows(cold, tick, weight)
    }

    /// Sets the send rate to this sender's share of a reported limit, if there is one. After a restart the
    /// first call is sent at a random moment, so that many senders that restart together do not exceed the
    /// limit together. Costs that delay where only a few restart.
    pub(crate) fn apply_quota(&mut self, tick: &Tick, queued: f64) {
        let cold = self.cold_share(&tick.settings.rules, tick.now).is_some();
        let Some(rate) = self.quota.rate(tick, queued, cold) else { return };
        self.limiter.set_rate(rate);
        if self.quota.take_first_draw() {
            self.limiter.cap_tokens(tick.jitter);
        }
    }
}
