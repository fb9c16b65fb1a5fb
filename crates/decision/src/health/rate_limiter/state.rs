//! How it begins, what it shows, and its stored form: nothing is decided here.

use super::RateLimiter;
use crate::estimate::{DecayingRate, TokenBucket};
use crate::health::record::RouteHealthRecord;
use crate::interface::Micros;

/// What is known of a destination's limit when its rate is set.
#[derive(Clone, Copy)]
pub(in crate::health) struct LimitHint {
    /// An even share of the reported limit, in calls a second; 0 where none is reported.
    pub even_share: f64,
    /// Reports say that the senders together leave room below the limit.
    pub has_headroom: bool,
}

impl RateLimiter {
    pub(in crate::health) fn new(now: Micros) -> Self {
        let granted = DecayingRate { per_second: 0.0, as_of: now };
        Self { bucket: TokenBucket::since(now), granted, cut_at: 0, grown_at: 0 }
    }

    /// Goes on at the rate of an earlier process or before an idle time; 0 is none.
    pub(in crate::health) fn restore(&mut self, send_rate: f64, now: Micros) {
        (self.cut_at, self.grown_at) = (now, now);
        self.bucket.rate = if send_rate > 0.0 { send_rate } else { f64::INFINITY };
    }

    /// The rate, if a rejection or a quota bounded it.
    pub(in crate::health) fn rate(&self) -> Option<f64> {
        self.bucket.rate.is_finite().then_some(self.bucket.rate)
    }

    /// Calls a second that succeeded of late.
    pub(in crate::health) fn granted_rate(&self) -> f64 {
        self.granted.per_second
    }

    pub(in crate::health) fn set_rate(&mut self, rate: f64) {
        self.bucket.rate = rate;
    }

    pub(in crate::health) fn refill(&mut self, now: Micros) {
        self.bucket.refill(now);
    }

    pub(in crate::health) fn has_token(&self) -> bool {
        self.bucket.tokens >= 1.0
    }

    pub(in crate::health) fn take_token(&mut self) {
        self.bucket.tokens -= 1.0;
    }

    /// A call used up nothing of the limit.
    pub(in crate::health) fn return_token(&mut self) {
        self.bucket.tokens += 1.0;
    }

    pub(in crate::health) fn cap_tokens(&mut self, most: f64) {
        self.bucket.tokens = self.bucket.tokens.min(most);
    }

    /// When it allows a call.
    pub(in crate::health) fn allows_at(&self) -> Micros {
        self.bucket.allows_at()
    }
}

/// The stored form.
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
