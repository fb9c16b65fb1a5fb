//! Rate limiter with backoff after rejections.

use crate::estimate::{DecayingRate, TokenBucket};
use crate::interface::Micros;

mod state;

pub(super) use state::LimitHint;

/// Cut of the rate at a rejection.
const RATE_CUT: f64 = 0.85;
/// Growth of the rate in a latency objective's time, one latency objective after the cut.
const RATE_GROWTH: f64 = 0.3;
/// Most latency objectives without a rejection that speed growth up.
const MAX_CALM: f64 = 4.0;
/// The same above an even share of a reported limit that others use up.
const MAX_CALM_ABOVE_SHARE: f64 = 0.5;

/// Finds a send rate that a destination accepts, from its rejections alone where it reports no limit.
///
/// *Input*: successes, rejections, and an even share of the reported limit; rates in calls a second. *Rule*:
/// without bound until the first rejection. A rejection cuts the rate to [`RATE_CUT`] of the lower of itself
/// and what was granted of late, at most once in an eighth of a latency objective; each success raises it,
/// the faster the longer no rejection came. *Guards against* rejections that use up the very limit that they
/// enforce, and against senders that cannot see one another and share it.
#[derive(Debug)]
pub(super) struct RateLimiter {
    bucket: TokenBucket,
    /// Calls that succeeded of late.
    granted: DecayingRate,
    /// The rate is cut once for the rejections of calls sent before the last cut.
    cut_at: Micros,
    grown_at: Micros,
}

impl RateLimiter {
    /// The limit changed by that factor.
    pub(super) fn scale(&mut self, factor: f64, now: Micros) {
        self.bucket.refill(now);
        self.bucket.rate *= factor;
        self.granted.per_second *= factor;
    }

    /// Beyond an even share of a reported limit little is to be gained, unless reports say that the others
    /// leave room: senders carry very different traffic.
    pub(super) fn record_success(&mut self, latency_objective: Micros, hint: LimitHint, now: Micros) {
        let objective = latency_objective.max(1) as f64;
        self.granted = self.granted.after(1.0, now, latency_objective);
        // First what the old rate allowed.
        self.bucket.refill(now);
        let calm = now.saturating_sub(self.cut_at) as f64 / objective;
        let step = now.saturating_sub(self.grown_at.max(self.cut_at)) as f64 / objective;
        let above_share = hint.even_share > 0.0 && self.bucket.rate > hint.even_share;
        let max_calm = if above_share { MAX_CALM_ABOVE_SHARE } else { MAX_CALM };
        let calm = if hint.has_headroom { MAX_CALM } else { calm.min(max_calm) };
        self.bucket.rate *= 1.0 + RATE_GROWTH * calm * step.min(1.0);
        self.grown_at = now;
    }

    /// Cuts the rate; no more than `max_tokens` are left. Where many senders share a limit, what is little
    /// for one is too much for all of them together.
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
