//! What a route may do, by what is known of it.

use super::slow_start::ColdCapacity;
use super::{RouteHealth, Tick};
use crate::interface::{Micros, Rules};

/// So many senders may each make a call a span at any cold destination and keep idle connections.
pub(crate) const SMALL_FLEET_SENDERS: usize = 3;

impl RouteHealth {
    pub(crate) fn is_failing(&self) -> bool {
        self.outage.consecutive_failures > 0 || self.outage.has_late_call || !self.breaker.is_closed()
    }

    /// Whether it is retained as unhealthy when it becomes idle.
    pub(crate) fn is_unhealthy(&self, rules: &Rules, now: Micros) -> bool {
        self.is_failing() || self.in_outage(rules, now) || self.outage.connection_lost()
    }

    /// Whether what was seen since the last success looks like an outage. A shut destination shows as full
    /// without any success for longer than a limit's span; its return is as cold as any.
    pub(crate) fn in_outage(&self, rules: &Rules, now: Micros) -> bool {
        self.outage.consecutive_failures >= self.outage_threshold(rules, now)
            || !self.breaker.is_closed()
            || self.outage.is_shut(rules, now)
    }

    pub(super) fn outage_threshold(&self, rules: &Rules, now: Micros) -> u32 {
        self.outage.outage_threshold(self.slow_start.is_warming(rules, now))
    }

    /// Guards against pushing over a returning destination: the share of its capacity to count on, if it may
    /// be cold. It may have come back unseen while we still count failures.
    pub(crate) fn cold_share(&self, rules: &Rules, now: Micros) -> Option<f64> {
        if self.in_outage(rules, now) || self.outage.is_suspected(rules, now) {
            return Some(rules.cold_share);
        }
        self.slow_start.warm_share(rules, now)
    }

    /// Whether slow start leaves room for a further weight, with `backlog` messages queued. Guards against
    /// many senders of little each: what all have queued came since the outage began, so a message's part of
    /// the traffic is one over the time since. It hurts where few senders have anything to send.
    pub(crate) fn slow_start_allows(&mut self, tick: &Tick, weight: f64, backlog: f64) -> bool {
        let rules = &tick.settings.rules;
        let cold = self.cold_share(rules, tick.now).map(|share| {
            let outage = tick.now.saturating_sub(self.outage.unhealthy_since).max(1) as f64;
            let queued_rate = backlog * 1e6 / outage;
            let usual = self.usual_rate(rules).max(self.quota.even_share(tick.settings));
            ColdCapacity { share, own_rate: usual.max(queued_rate) }
        });
        self.slow_start.allows(cold, tick, weight)
    }

    /// Sets the send rate to this sender's share of a reported limit, if there is one. After a restart the
    /// first call goes at a moment that is drawn: guards a limit against many senders that come back
    /// together. It costs that time where few come back.
    pub(crate) fn apply_quota(&mut self, tick: &Tick, queued: f64) {
        let cold = self.cold_share(&tick.settings.rules, tick.now).is_some();
        let Some(rate) = self.quota.rate(tick, queued, cold) else { return };
        self.limiter.set_rate(rate);
        if self.quota.take_first_draw() {
            self.limiter.cap_tokens(tick.jitter);
        }
    }
}
