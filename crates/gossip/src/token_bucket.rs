//! Token bucket that bounds the bytes that a sender publishes.

use crate::{Config, Micros};

/// Capacity of the bucket for each member, in bytes: enough for two messages about an outage.
const BYTES_PER_MEMBER: f64 = 2.0 * 64.0;
/// Minimum number of members that the capacity is computed for.
const MIN_MEMBERS: u16 = 4;

/// Bytes that may be published now. Refilled by time and by accepted messages, up to a capacity.
#[derive(Clone, Debug)]
pub(crate) struct TokenBucket {
    tokens: f64,
    refilled_at: Micros,
    capacity: f64,
    per_second: f64,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub(crate) fn new(config: &Config, now: Micros) -> Self {
        let capacity = BYTES_PER_MEMBER * f64::from(config.senders.max(MIN_MEMBERS));
        Self { tokens: capacity, refilled_at: now, capacity, per_second: config.byte_budget.per_second }
    }

    /// Returns the available tokens; negative while the bucket is overdrawn.
    pub(crate) fn available(&self) -> f64 {
        self.tokens
    }

    /// Adds tokens, up to the capacity.
    pub(crate) fn refill(&mut self, bytes: f64) {
        self.tokens = (self.tokens + bytes).min(self.capacity);
    }

    /// Adds the tokens for the time since the last refill by time.
    pub(crate) fn refill_until(&mut self, now: Micros) {
        let seconds = now.saturating_sub(self.refilled_at) as f64 / 1e6;
        self.refilled_at = now;
        self.refill(seconds * self.per_second);
    }

    /// Takes tokens for bytes that are sent in any case, overdrawing the bucket by at most its capacity.
    pub(crate) fn overdraw(&mut self, bytes: usize) {
        self.tokens = (self.tokens - bytes as f64).max(-self.capacity);
    }

    /// Takes tokens if there are enough, and returns whether it did.
    pub(crate) fn try_take(&mut self, bytes: usize) -> bool {
        let enough = self.tokens >= bytes as f64;
        if enough {
            self.tokens -= bytes as f64;
        }
        enough
    }
}
