//! How fast those that wake may begin.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::hash::Hash;

use serde::{Deserialize, Serialize};

use crate::Micros;

/// Grants that are saved up while none wakes: as many as fall into this time.
const SAVED: f64 = 0.25;

/// Lets those that wake make their first call: so many a second, and so many of these calls out at once. The others line
/// up, the fullest worth first.
#[derive(Debug, Serialize, Deserialize)]
#[serde(bound(deserialize = "K: Deserialize<'de> + Eq + Hash + Ord"))]
pub struct ActivationLimiter<K> {
    /// Grants a second; without it all may go at once.
    rate: Option<f64>,
    most_out: usize,
    saved: f64,
    at: Micros,
    line: BTreeSet<(u64, K)>,
    worth: HashMap<K, u64>,
    granted: HashSet<K>,
    out: HashSet<u64>,
}

impl<K: Copy + Eq + Hash + Ord> ActivationLimiter<K> {
    /// So many a second, and so many out at once; without a rate there is no limit.
    pub fn new(rate: Option<f64>, most_out: usize, now: Micros) -> Self {
        let saved = rate.unwrap_or(0.0) * SAVED;
        Self {
            rate,
            most_out: most_out.max(1),
            saved,
            at: now,
            line: BTreeSet::new(),
            worth: HashMap::new(),
            granted: HashSet::new(),
            out: HashSet::new(),
        }
    }

    /// So many a second, and so many out at once, from now on.
    pub fn reconfigure(&mut self, rate: Option<f64>, most_out: usize) {
        (self.rate, self.most_out) = (rate, most_out.max(1));
    }

    /// Whether it may make its first call now. If not it stands in line with what it is worth, from 0 on.
    pub fn allows(&mut self, key: K, worth: f64, now: Micros) -> bool {
        if self.rate.is_none() {
            return true;
        }
        self.refill(now);
        if self.granted.remove(&key) || (self.line.is_empty() && self.grant()) {
            return true;
        }
        // From 0 on, floats are in the order of their bits; what is no number is worth nothing.
        let worth = if worth > 0.0 { worth.to_bits() } else { 0 };
        if let Some(before) = self.worth.insert(key, worth) {
            self.line.remove(&(before, key));
        }
        self.line.insert((worth, key));
        false
    }

    /// Its first call goes out under that number.
    pub fn call_started(&mut self, call: u64) {
        if self.rate.is_some() {
            self.out.insert(call);
        }
    }

    /// A call is over, whoever's, or no longer this one's. Tells whether it was a first one.
    pub fn call_completed(&mut self, call: u64) -> bool {
        self.out.remove(&call)
    }

    /// Those whose turn has come; each may make its first call, and is to be tried before this is called again: a turn
    /// that is not used is over then. What nothing waits for any more just leaves the line.
    pub fn take_granted(&mut self, now: Micros, mut waits: impl FnMut(K) -> bool) -> Vec<K> {
        self.refill(now);
        self.granted.clear();
        let mut turns = Vec::new();
        while let Some((worth, key)) = self.line.last().copied() {
            let wants = waits(key);
            if wants && !self.grant() {
                break;
            }
            self.line.remove(&(worth, key));
            self.worth.remove(&key);
            if wants {
                self.granted.insert(key);
                turns.push(key);
            }
        }
        turns
    }

    /// How many stand in line.
    pub fn queued(&self) -> usize {
        self.line.len()
    }

    /// When the next one may begin, if that needs nothing but time.
    pub fn next_due(&self) -> Option<Micros> {
        // A turn that is not used gives its place back by then.
        let rate = self.rate.filter(|_| !self.line.is_empty() && self.out.len() < self.most_out)?;
        Some(self.at + (((1.0 - self.saved).max(0.0) / rate * 1e6).ceil() as Micros).max(1))
    }

    fn room(&self) -> bool {
        self.out.len() + self.granted.len() < self.most_out
    }

    fn grant(&mut self) -> bool {
        let grants = self.room() && self.saved >= 1.0;
        self.saved -= f64::from(u8::from(grants));
        grants
    }

    fn refill(&mut self, now: Micros) {
        let Some(rate) = self.rate else { return };
        let gained = rate * now.saturating_sub(self.at) as f64 / 1e6;
        self.saved = (self.saved + gained).min((rate * SAVED).max(1.0));
        self.at = self.at.max(now);
    }
}
