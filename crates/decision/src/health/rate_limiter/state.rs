//! Construction of, access to and serialized form of the rate limiter; no decisions are made here.

use super::RateLimiter;
use crate::estimate::{DecayingRate, TokenBucket};
use crate::health::record::RouteHealthRecord;
use crate::interface::Micros;

/// Knowledge about a destination's limit that adjusts how its send rate changes.
#[derive(Clone, Copy)]
pub(in crate::health) struct LimitHint {
    /// An even share of the reported limit, in calls a second; 0 if none is reported.
    pub even_share: f64,
    /// According to reports, the senders together stay well below the limit.
    pub has_headroom: bool,
}

impl RateLimiter {
    /// Creates a limiter without a rate limit.
    pub(in crate::health) fn new(now: Micros) -> Self {
        let granted = DecayingRate { per_second: 0.0, as_of: now };
        Self { bucket: TokenBucket::since(now), granted, cut_at: 0, grown_at: 0 }
    }

    /// Continues at the rate of an earlier process or from before an idle period; 0 means no rate limit.
    pub(in crate::health) fn restore(&mut self, send_rate: f64, now: Micros) {
        (self.cut_at, self.grown_at) = (now, now);
        self.bucket.rate = if send_rate > 0.0 { send_rate } else { f64::INFINITY };
    }

    /// Returns the rate in calls a second, if a rejection or a quota limits it.
    pub(in crate::health) fn rate(&self) -> Option<f64> {
        self.bucket.rate.is_finite().then_some(self.bucket.rate)
    }

    /// Returns the recent rate of successful calls, in calls a second.
    pub(in crate::health) fn granted_rate(&self) -> f64 {
        self.granted.per_second
    }

    /// Sets the rate, in calls a second.
    pub(in crate::health) fn set_rate(&mut self, rate: f64) {
        self.bucket.rate = rate;
    }

    /// Adds the tokens that have accrued since the last refill.
    pub(in crate::health) fn refill(&mut self, now: Micros) {
        self.bucket.refill(now);
    }

    /// Returns whether a call may start now.
    pub(in crate::health) fn has_token(&self) -> bool {
        self.bucket.tokens >= 1.0
    }

    /// Takes the token of a call that starts.
    pub(in crate::health) fn take_token(&mut self) {
        self.bucket.tokens -= 1.0;
    }

    /// Returns the token of a call that used nothing of the limit.
    pub(in crate::health) fn return_token(&mut self) {
        self.bucket.tokens += 1.0;
    }

    /// Leaves no more than `most` tokens.
    pub(in crate::health) fn cap_tokens(&mut self, most: f64) {
        self.bucket.tokens = self.bucket.tokens.min(most);
    }

    /// Returns when the next call may start.
    pub(in crate::health) fn allows_at(&self) -> Micros {
        self.bucket.allows_at()
    }
}

/// Serialized form.
impl RateLimiter {
    pub(in crate::health) fn load(record: &RouteHealthRecord) -> Self {
        Self {
            bucket: record.pace.clone(),
            granted: record.granted,
            cut_at: record.cut_at,
            grown_at: record.grown_at,
        }
    }

    pub(in crate::health) fn store(&self, record: &mut RouteHealthRecord) {
        (record.pace, record.granted) = (self.bucket.clone(), self.granted);
        (record.cut_at, record.grown_at) = (self.cut_at, self.grown_at);
    }
}
