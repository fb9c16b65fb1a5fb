//! How outcomes, load reports and gossip change the health of a route.

use super::rate_limiter::LimitHint;
use super::{RouteHealth, SMALL_FLEET_SENDERS, Tick};
use crate::interface::{Micros, Outcome, Rules, Settings};

/// Longest backoff after a rejection that states no wait, in doublings of the shortest backoff.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;

impl RouteHealth {
    /// Records a load report with the limit and the share of it that remains; returns whether the limit is
    /// plausible. If the limit changes by more than a factor of two, the send rate is scaled with it: after a
    /// limit is lowered, calls do not go on at the old rate, and after it is raised again, the queue is not
    /// held to the lowered rate. Gives a wrong send rate where such reports are wrong.
    pub(crate) fn record_report(
        &mut self,
        limit: f64,
        remaining: f64,
        objective: Micros,
        now: Micros,
    ) -> bool {
        let plausible = self.quota.is_plausible(limit);
        if plausible {
            let lowered = self.set_limit(limit, now);
            self.quota.observe(remaining, lowered, objective, now);
        }
        plausible
    }

    /// Sets the limit; returns whether it was lowered so far that this counts as a shortage.
    fn set_limit(&mut self, limit: f64, now: Micros) -> bool {
        if let Some(factor) = self.quota.rate_factor(limit) {
            self.limiter.scale(factor, now);
        }
        self.quota.set_limit(limit)
    }

    /// Applies the combined evidence of other senders. This is the only place where gossip affects a route;
    /// it adds to this sender's own limits and never loosens them. An outage that others saw makes the route
    /// suspected until a call of this sender succeeds or theirs do, and cold after that. A limit is applied
    /// if it was stated later than the last report received here. A wait is applied as if it had been
    /// received here. Without gossip each sender would need failed calls of its own to detect all this, which
    /// the partners would have to bear. Costs the time of a trial call where a partner is unhealthy for other
    /// senders only.
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
            && self.quota.is_plausible(limit.into())
            && self.set_limit(limit.into(), now)
        {
            self.quota.record_shortage(now);
        }
    }

    /// Records the outcome of a call that was sent at `sent`.
    pub(crate) fn record(&mut self, tick: &Tick, call: u64, sent: Micros, outcome: Outcome) {
        let Tick { settings, now, latency_objective, .. } = *tick;
        // Until the destination is warm its backlog is that of the whole outage, whatever single calls show.
        let cold = self.cold_share(&settings.rules, now).is_some();
        if self.outage.is_clear() && !cold {
            self.outage.unhealthy_since = sent;
        }
        match outcome {
            Outcome::Delivered => self.record_success(tick),
            // Rejections of calls that were in flight at the same time count once.
            Outcome::Rejected(wait) if sent > self.outage.rejected_at => self.record_rejection(tick, wait),
            // If answers arrived since the call was sent, the call was lost rather than the destination: a
            // lossy path, or one call that hangs, is not taken for an outage.
            Outcome::TimedOut if sent < self.outage.answered_at => {
                self.breaker.record(call, Outcome::Cancelled, now, latency_objective);
                self.outage.has_late_call = true;
                return;
            }
            // The first connection lost since an answer says little about the destination: connections that
            // are cut on the path, one at a time, are not taken for an outage. Where the destination's
            // process ended, the next call shows it. Misses an outage that shows only as resets with answers
            // between them.
            Outcome::Reset if self.outage.connection_lost_at <= self.outage.answered_at => {
                self.outage.connection_lost_at = now;
            }
            Outcome::Error | Outcome::ConnectFailed | Outcome::Reset | Outcome::TimedOut => {
                self.outage.consecutive_failures += 1;
            }
            // The call used nothing of the limit: the send rate stays as it is when messages end before they
            // are sent.
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

    /// Records a success; the route is cold from now on if it was in an outage.
    fn record_success(&mut self, tick: &Tick) {
        let Tick { settings, now, latency_objective, .. } = *tick;
        let rules = &settings.rules;
        // A breaker that silence opened for less than an overload span (`overload_for`) was not an outage.
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

    /// Records a rejection: cuts the send rate and, if no wait was stated, starts a backoff.
    fn record_rejection(&mut self, tick: &Tick, wait: Option<Micros>) {
        let Tick { settings, now, latency_objective, jitter } = *tick;
        self.outage.rejected_at = now;
        // Spreads the retries at random, so that many senders that were rejected together do not return
        // together.
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

    /// Decides whether a rejection counts as evidence of an outage. A destination that rejects at its limit
    /// reports the limit as used up; one that is shut goes on to report that all of it remains. Without the
    /// distinction, senders with little traffic would take a limit for an outage and pause for seconds.
    /// Decides wrongly where reports are older than the interval over which the limit is counted.
    fn attribute_rejection(&mut self, rules: &Rules, now: Micros) {
        if !self.quota.was_used_up_at(now) {
            self.outage.unattributed_rejections += 1;
        } else if !self.in_outage(rules, now) {
            (self.outage.unattributed_rejections, self.outage.working_at) = (0, now);
        }
    }

    /// Returns what is known about the limit, for the rate limiter.
    fn limit_hint(&self, settings: &Settings) -> LimitHint {
        LimitHint { even_share: self.quota.even_share(settings), has_headroom: self.quota.has_headroom() }
    }
}
