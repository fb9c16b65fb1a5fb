//! Rate limiter that adapts to rejections.

use crate::estimate::{DecayingRate, TokenBucket};
use crate::interface::Micros;

mod state;

pub(super) use state::LimitHint;

/// Factor by which a rejection cuts the rate.
const RATE_CUT: f64 = 0.85;
/// Growth of the rate per latency objective, one latency objective after the last cut.
const RATE_GROWTH: f64 = 0.3;
/// Latency objectives since the last cut after which growth becomes no faster.
const MAX_GROWTH_OBJECTIVES: f64 = 4.0;
/// The same while the rate is above an even share of a reported limit that other senders use up.
const MAX_GROWTH_OBJECTIVES_ABOVE_SHARE: f64 = 0.5;

/// Finds a send rate that a destination accepts, from its rejections alone where it reports no limit.
///
/// *Input*: successes, rejections, and an even share of the reported limit; rates in calls a second. *Rule*:
/// unlimited until the first rejection. A rejection cuts the rate to [`RATE_CUT`] of the lower of the rate
/// and the recent rate of successes, at most once in an eighth of a latency objective; each success raises
/// the rate, the faster the longer no rejection came. *Reason*: rejected calls use up the very limit that
/// rejects them, and senders that cannot see one another share it.
#[derive(Debug)]
pub(super) struct RateLimiter {
    bucket: TokenBucket,
    /// Recent rate of successful calls.
    granted: DecayingRate,
    /// When the rate was last cut; it is not cut again within an eighth of a latency objective.
    cut_at: Micros,
    /// When the rate was last raised.
    grown_at: Micros,
}

impl RateLimiter {
    /// Scales the rate with a limit that changed by `factor`.
    pub(super) fn scale(&mut self, factor: f64, now: Micros) {
        self.bucket.refill(now);
        self.bucket.rate *= factor;
        self.granted.per_second *= factor;
    }

    /// Raises the rate after a success. Growth is slower above an even share of a reported limit, where there
    /// is little to gain, unless reports say that the other senders stay below the limit: traffic differs
    /// widely between senders.
    pub(super) fn record_success(&mut self, latency_objective: Micros, hint: LimitHint, now: Micros) {
        let objective = latency_objective.max(1) as f64;
        self.granted = self.granted.after(1.0, now, latency_objective);
        // Tokens that accrued so far do so at the old rate.
        self.bucket.refill(now);
        let objectives_since_cut = now.saturating_sub(self.cut_at) as f64 / objective;
        let objectives_since_change = now.saturating_sub(self.grown_at.max(self.cut_at)) as f64 / objective;
        let above_share = hint.even_share > 0.0 && self.bucket.rate > hint.even_share;
        let max_objectives =
            if above_share { MAX_GROWTH_OBJECTIVES_ABOVE_SHARE } else { MAX_GROWTH_OBJECTIVES };
        let objectives_since_cut =
            if hint.has_headroom { MAX_GROWTH_OBJECTIVES } else { objectives_since_cut.min(max_objectives) };
        self.bucket.rate *= 1.0 + RATE_GROWTH * objectives_since_cut * objectives_since_change.min(1.0);
        self.grown_at = now;
    }

    /// Cuts the rate, at most once in an eighth of a latency objective, and leaves no more than `max_tokens`
    /// tokens. Where many senders share a limit, a few tokens that are harmless for one sender are too many
    /// for all of them together.
    pub(super) fn record_rejection(
        &mut self,
        objective: Micros,
        hint: LimitHint,
        max_tokens: f64,
        now: Micros,
    ) {
        self.bucket.refill(now);
        self.cap_tokens(max_tokens);
        if now < self.cut_at + objective / 8 {
            return;
        }
        self.cut_at = now;
        let share = hint.even_share;
        let granted = self.granted.after(0.0, now, objective).per_second.max(share);
        let least = 1e6 / objective.max(1) as f64;
        let least = if share > 0.0 { share.clamp(least, 2.0 * least) } else { 2.0 * least };
        self.bucket.rate = (self.bucket.rate.min(granted) * RATE_CUT).max(least);
    }
}
