//! Limits the rate at which idle destinations are activated.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::hash::Hash;

use serde::{Deserialize, Serialize};

use crate::Micros;

/// Burst size of the token bucket: the tokens of this many seconds.
const BURST_SECONDS: f64 = 0.25;

/// Limits the first calls to activated destinations: a token bucket limits their rate, and a maximum those in flight.
/// Destinations beyond these limits are queued, the highest priority first. Serialized by name.
#[derive(Debug, Serialize, Deserialize)]
#[serde(bound(deserialize = "K: Deserialize<'de> + Eq + Hash + Ord"))]
pub struct ActivationLimiter<K> {
    /// Tokens per second; `None` for no limit.
    rate: Option<f64>,
    #[serde(rename = "most_out")]
    max_in_flight: usize,
    #[serde(rename = "saved")]
    tokens: f64,
    #[serde(rename = "at")]
    refilled_at: Micros,
    /// Queued destinations by priority, which is stored as the bits of a non-negative float.
    #[serde(rename = "line")]
    queue: BTreeSet<(u64, K)>,
    /// The priority of each queued destination.
    #[serde(rename = "worth")]
    priorities: HashMap<K, u64>,
    /// Destinations that may make their first call.
    granted: HashSet<K>,
    /// Numbers of the first calls in flight.
    #[serde(rename = "out")]
    in_flight: HashSet<u64>,
}

impl<K: Copy + Eq + Hash + Ord> ActivationLimiter<K> {
    /// Creates a limiter with a maximum rate of first calls per second and a maximum number in flight. Without a rate
    /// nothing is limited.
    pub fn new(rate: Option<f64>, max_in_flight: usize, now: Micros) -> Self {
        Self {
            rate,
            max_in_flight: max_in_flight.max(1),
            tokens: rate.unwrap_or(0.0) * BURST_SECONDS,
            refilled_at: now,
            queue: BTreeSet::new(),
            priorities: HashMap::new(),
            granted: HashSet::new(),
            in_flight: HashSet::new(),
        }
    }

    /// Changes the limits.
    pub fn reconfigure(&mut self, rate: Option<f64>, max_in_flight: usize) {
        (self.rate, self.max_in_flight) = (rate, max_in_flight.max(1));
    }

    /// Returns whether a destination may make its first call now. If not, the destination is queued with its
    /// priority, which is 0 or more.
    pub fn allows(&mut self, key: K, priority: f64, now: Micros) -> bool {
        if self.rate.is_none() {
            return true;
        }
        self.refill(now);
        if self.granted.remove(&key) || (self.queue.is_empty() && self.try_take_token()) {
            return true;
        }
        // Non-negative floats are ordered like their bits. NaN and negative priorities count as 0.
        let priority = if priority > 0.0 { priority.to_bits() } else { 0 };
        if let Some(previous) = self.priorities.insert(key, priority) {
            self.queue.remove(&(previous, key));
        }
        self.queue.insert((priority, key));
        false
    }

    /// Records that a first call with this number has started.
    pub fn call_started(&mut self, call: u64) {
        if self.rate.is_some() {
            self.in_flight.insert(call);
        }
    }

    /// Records that any call has completed or migrates to another shard. Returns whether it was a first call.
    pub fn call_completed(&mut self, call: u64) -> bool {
        self.in_flight.remove(&call)
    }

    /// Returns the destinations that may make their first call now. The caller must attempt each of them before it
    /// calls this method again, because unused grants expire then. Destinations for which `has_messages` returns
    /// false are only removed from the queue.
    pub fn take_granted(&mut self, now: Micros, mut has_messages: impl FnMut(K) -> bool) -> Vec<K> {
        self.refill(now);
        self.granted.clear();
        let mut granted = Vec::new();
        while let Some((priority, key)) = self.queue.last().copied() {
            let is_needed = has_messages(key);
            if is_needed && !self.try_take_token() {
                break;
            }
            self.queue.remove(&(priority, key));
            self.priorities.remove(&key);
            if is_needed {
                self.granted.insert(key);
                granted.push(key);
            }
        }
        granted
    }

    /// Returns the number of queued destinations.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Returns when the next first call may start, if that depends only on time.
    pub fn next_due(&self) -> Option<Micros> {
        // Unused grants are ignored, because they will have expired by then.
        let can_start = !self.queue.is_empty() && self.in_flight.len() < self.max_in_flight;
        let rate = self.rate.filter(|_| can_start)?;
        let delay = ((1.0 - self.tokens).max(0.0) / rate * 1e6).ceil() as Micros;
        Some(self.refilled_at + delay.max(1))
    }

    fn has_capacity(&self) -> bool {
        self.in_flight.len() + self.granted.len() < self.max_in_flight
    }

    fn try_take_token(&mut self) -> bool {
        let available = self.has_capacity() && self.tokens >= 1.0;
        self.tokens -= f64::from(u8::from(available));
        available
    }

    fn refill(&mut self, now: Micros) {
        let Some(rate) = self.rate else { return };
        let gained = rate * now.saturating_sub(self.refilled_at) as f64 / 1e6;
        self.tokens = (self.tokens + gained).min((rate * BURST_SECONDS).max(1.0));
        self.refilled_at = self.refilled_at.max(now);
    }
}
