//! What follows from outcomes, load reports and gossip.

use super::rate_limiter::LimitHint;
use super::{RouteHealth, SMALL_FLEET_SENDERS, Tick};
use crate::interface::{Micros, Outcome, Rules, Settings};

/// The longest backoff after a rejection that states no wait, as a power of two of the shortest.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;

impl RouteHealth {
    /// A report states a limit, and what is left of it; returns whether it can be meant. One lowered, or
    /// raised again, by half or more takes the send rate along. Guards a destination whose limit is lowered
    /// for a while against the rate from before, and what is queued for it against the rate from then. It
    /// harms where such reports are wrong.
    pub(crate) fn record_report(&mut self, limit: f64, left: f64, objective: Micros, now: Micros) -> bool {
        let believed = self.quota.believes(limit);
        if believed {
            let lowered = self.set_limit(limit, now);
            self.quota.observe(left, lowered, objective, now);
        }
        believed
    }

    /// The limit is that from now on; returns whether it was lowered by much, which is a shortage.
    fn set_limit(&mut self, limit: f64, now: Micros) -> bool {
        if let Some(factor) = self.quota.rate_factor(limit) {
            self.limiter.scale(factor, now);
        }
        self.quota.set_limit(limit)
    }

    /// What other senders believe of it. The one place where gossip counts, beside this sender's own guards,
    /// which it never loosens: an outage that others saw makes it suspected, until a call of its own goes
    /// well or theirs do, and then cold; a limit counts where it was stated after what reports stated here; a
    /// wait as if it had been received here. Guards partners against senders that each find out alone. It
    /// costs a trial's time where a partner is unhealthy for others alone.
    pub(crate) fn record_gossip(&mut self, belief: &gossip::Belief, now: Micros) {
        let unhealthy = belief.unhealthy.is_some();
        let recovered = self.outage.reported_unhealthy && !unhealthy;
        if recovered && self.slow_start.cold_since().is_none_or(|since| since < self.outage.working_at) {
            self.slow_start.set_cold_since(Some(now));
        }
        self.outage.reported_unhealthy = unhealthy;
        self.wait_until_at_least(belief.wait_until);
        if let Some(gossip::evidence::BelievedLimit { rate: limit, at }) = belief.limit
            && at > self.quota.reported_at()
            && self.quota.believes(limit.into())
            && self.set_limit(limit.into(), now)
        {
            self.quota.record_shortage(now);
        }
    }

    /// A call that was sent then ended so.
    pub(crate) fn record(&mut self, tick: &Tick, call: u64, sent: Micros, outcome: Outcome) {
        let Tick { settings, now, latency_objective, .. } = *tick;
        let warming = self.outage.activated_unhealthy && self.cold_share(&settings.rules, now).is_some();
        if self.outage.is_clear() && !warming {
            self.outage.unhealthy_since = sent;
        }
        match outcome {
            Outcome::Delivered => self.record_success(tick),
            // Rejections of calls that were in flight together count once.
            Outcome::Rejected(wait) if sent > self.outage.rejected_at => self.record_rejection(tick, wait),
            // Where answers came since it was sent, the call was lost, not the destination: guards against
            // taking a lossy path, or one call that hangs, for an outage.
            Outcome::TimedOut if sent < self.outage.answered_at => {
                self.breaker.record(call, Outcome::Cancelled, now, latency_objective);
                self.outage.has_late_call = true;
                return;
            }
            // The first connection lost since an answer says little of the destination: guards against taking
            // connections that are cut on the way, one by one, for an outage. Where the process ended, the
            // next call shows it. It harms where an outage shows in resets alone, with answers between them.
            Outcome::Reset if self.outage.connection_lost_at <= self.outage.answered_at => {
                self.outage.connection_lost_at = now;
            }
            Outcome::Error | Outcome::ConnectFailed | Outcome::Reset | Outcome::TimedOut => {
                self.outage.consecutive_failures += 1;
            }
            // It used up nothing of the limit. Guards the send rate where messages are over before they go.
            Outcome::NotSent { no_slot: false } => self.limiter.return_token(),
            Outcome::ConnectionRejected => {
                self.limiter.return_token();
                self.outage.record_connection_rejection();
            }
            Outcome::Rejected(_) | Outcome::InvalidResponse => {}
            Outcome::Cancelled | Outcome::NotSent { .. } => {}
        }
        self.breaker.record(call, outcome, now, latency_objective);
    }

    fn record_success(&mut self, tick: &Tick) {
        let Tick { settings, now, latency_objective, .. } = *tick;
        let rules = &settings.rules;
        // A breaker that silence opened for less than an overload's span was no outage.
        let brief = self.outage.consecutive_failures < self.outage_threshold(rules, now)
            && now < self.outage.delivered_at + rules.overload_for;
        if self.in_outage(rules, now) && !brief {
            self.slow_start.set_cold_since(Some(now));
        }
        let warm = self.cold_share(rules, now).is_none();
        self.slow_start.record_success(rules, warm, now);
        self.outage.record_success(now);
        self.quota.confirm();
        self.limiter.record_success(latency_objective, self.limit_hint(settings), now);
    }

    fn record_rejection(&mut self, tick: &Tick, wait: Option<Micros>) {
        let Tick { settings, now, latency_objective, jitter } = *tick;
        self.outage.rejected_at = now;
        // Guards against many that were rejected together and would come again together.
        let max_tokens = if settings.senders > SMALL_FLEET_SENDERS { 0.5 - jitter } else { 0.0 };
        self.limiter.record_rejection(latency_objective, self.limit_hint(settings), max_tokens, now);
        self.quota.record_rejection(now);
        if wait.is_none() {
            let doublings = self.outage.rejections.min(MAX_BACKOFF_DOUBLINGS);
            self.wait_until_at_least(now + ((latency_objective / 32) << doublings));
        }
        self.outage.rejections += 1;
        self.attribute_rejection(&settings.rules, now);
    }

    /// What a rejection says of health. Guards those who send little against taking a limit for an outage and
    /// holding back for seconds: beside a rejection at a limit the report shows it used up; one that is shut
    /// goes on to report that all is left. It harms where reports are older than a limit's span.
    fn attribute_rejection(&mut self, rules: &Rules, now: Micros) {
        if !self.quota.was_used_up_at(now) {
            self.outage.unattributed_rejections += 1;
        } else if !self.in_outage(rules, now) {
            (self.outage.unattributed_rejections, self.outage.working_at) = (0, now);
        }
    }

    fn limit_hint(&self, settings: &Settings) -> LimitHint {
        LimitHint { even_share: self.quota.even_share(settings), has_headroom: self.quota.has_headroom() }
    }
}
