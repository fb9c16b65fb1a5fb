//! How fast idle destinations are activated.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::hash::Hash;

use serde::{Deserialize, Serialize};

use crate::Micros;

/// Tokens that accumulate at most: those of this time, in seconds.
const BURST_SECONDS: f64 = 0.25;

/// Limits first calls to activated destinations, by a token bucket for their rate and by a bound on those in flight. The others
/// are queued, the highest priority first. Serialized by name.
#[derive(Debug, Serialize, Deserialize)]
#[serde(bound(deserialize = "K: Deserialize<'de> + Eq + Hash + Ord"))]
pub struct ActivationLimiter<K> {
    /// Tokens per second; without a rate there is no limit.
    rate: Option<f64>,
    #[serde(rename = "most_out")]
    max_in_flight: usize,
    #[serde(rename = "saved")]
    tokens: f64,
    #[serde(rename = "at")]
    refilled_at: Micros,
    /// By priority, as the bits of a float that is not negative.
    #[serde(rename = "line")]
    queue: BTreeSet<(u64, K)>,
    /// The priorities in the queue.
    #[serde(rename = "worth")]
    priorities: HashMap<K, u64>,
    /// Destinations that may make their first call.
    granted: HashSet<K>,
    /// First calls.
    #[serde(rename = "out")]
    in_flight: HashSet<u64>,
}

impl<K: Copy + Eq + Hash + Ord> ActivationLimiter<K> {
    /// A limit of so many first calls per second, and so many in flight; without a rate there is no limit.
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

    /// Whether a destination may make its first call now. If not, it is queued with its priority, from 0 on.
    pub fn allows(&mut self, key: K, priority: f64, now: Micros) -> bool {
        if self.rate.is_none() {
            return true;
        }
        self.refill(now);
        if self.granted.remove(&key) || (self.queue.is_empty() && self.try_take_token()) {
            return true;
        }
        // Floats that are not negative are ordered like their bits; NaN counts as 0.
        let priority = if priority > 0.0 { priority.to_bits() } else { 0 };
        if let Some(before) = self.priorities.insert(key, priority) {
            self.queue.remove(&(before, key));
        }
        self.queue.insert((priority, key));
        false
    }

    /// A first call starts under that number.
    pub fn call_started(&mut self, call: u64) {
        if self.rate.is_some() {
            self.in_flight.insert(call);
        }
    }

    /// Any call has ended, or migrates to another shard. Returns whether it was a first one.
    pub fn call_completed(&mut self, call: u64) -> bool {
        self.in_flight.remove(&call)
    }

    /// Destinations that may make their first call now. Each is to be attempted before this is called again, when unused grants
    /// expire. Destinations for which `has_messages` is false just leave the queue.
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

    /// Number of queued destinations.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// When the next first call may start, if that depends on time alone.
    pub fn next_due(&self) -> Option<Micros> {
        // Unused grants have expired by then, and count for nothing here.
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
