//! The token bucket that bounds the bytes a sender publishes.

use crate::{Config, Micros};

/// Tokens that one member costs in a full bucket, in bytes: a message about an outage, twice.
const BYTES_PER_MEMBER: f64 = 2.0 * 64.0;
/// Members that a bucket is sized for at least.
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
    /// A full bucket.
    pub(crate) fn new(config: &Config, now: Micros) -> Self {
        let capacity = BYTES_PER_MEMBER * f64::from(config.senders.max(MIN_MEMBERS));
        Self { tokens: capacity, refilled_at: now, capacity, per_second: config.byte_budget.per_second }
    }

    /// Tokens that are available, below zero where the bucket is overdrawn.
    pub(crate) fn available(&self) -> f64 {
        self.tokens
    }

    /// Adds tokens, up to the capacity.
    pub(crate) fn refill(&mut self, bytes: f64) {
        self.tokens = (self.tokens + bytes).min(self.capacity);
    }

    /// Adds the tokens of the time since the last call.
    pub(crate) fn refill_until(&mut self, now: Micros) {
        let seconds = now.saturating_sub(self.refilled_at) as f64 / 1e6;
        self.refilled_at = now;
        self.refill(seconds * self.per_second);
    }

    /// Takes tokens for bytes that are sent in any case: the bucket may be overdrawn by its capacity.
    pub(crate) fn overdraw(&mut self, bytes: usize) {
        self.tokens = (self.tokens - bytes as f64).max(-self.capacity);
    }

    /// Takes tokens where there are enough, and says whether it did.
    pub(crate) fn try_take(&mut self, bytes: usize) -> bool {
        let enough = self.tokens >= bytes as f64;
        if enough {
            self.tokens -= bytes as f64;
        }
        enough
    }
}
