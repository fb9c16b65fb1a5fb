//! Estimates of the fleet's traffic from samples: each sender publishes its own counts of the last span along with pings and
//! acknowledgements, and the total is extrapolated from the most recently received ones. A duplicate counts once, since each
//! sender has one entry; an estimate states how old it is and on how many senders it is based.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{MemberIndex, Micros};

#[cfg(test)]
mod tests;

/// The span that counts cover.
pub const SPAN: Micros = 2_000_000;
/// Number of slots that a [`SPAN`] is divided into.
const SLOTS: usize = 4;
/// Maximum number of other senders whose counts are retained for a destination.
pub const MAX_SAMPLES: usize = 64;
/// Counts of other senders are dropped after this time.
pub const SAMPLE_EXPIRY: Micros = 5 * SPAN;
/// Maximum number of destinations that are counted.
pub const MAX_DESTINATIONS: usize = 4_096;

/// Traffic at one destination. Encoded by position in messages.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count {
    /// Calls that completed.
    pub calls: u32,
    /// Completed calls that were rejected.
    pub rejected: u32,
    /// Completed calls that failed.
    pub failed: u32,
    /// Attempts beyond each message's first.
    pub retries: u32,
    /// Messages that are in flight or queued now.
    pub outstanding: u32,
}

impl Count {
    fn add(&mut self, other: Self) {
        self.calls = self.calls.saturating_add(other.calls);
        self.rejected = self.rejected.saturating_add(other.rejected);
        self.failed = self.failed.saturating_add(other.failed);
        self.retries = self.retries.saturating_add(other.retries);
        self.outstanding = self.outstanding.saturating_add(other.outstanding);
    }

    fn scaled(self, factor: f64) -> Self {
        let scaled = |n: u32| (f64::from(n) * factor).min(f64::from(u32::MAX)) as u32;
        Self {
            calls: scaled(self.calls),
            rejected: scaled(self.rejected),
            failed: scaled(self.failed),
            retries: scaled(self.retries),
            outstanding: scaled(self.outstanding),
        }
    }
}

/// The traffic of the whole fleet at one destination.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Estimate {
    /// Extrapolated to all senders.
    pub count: Count,
    /// Number of senders that it is based on, including this one.
    pub samples: usize,
    /// Age of the oldest sample.
    pub age: Micros,
}

/// The counts of one other sender.
#[derive(Clone, Copy, Debug)]
struct Sample {
    at: Micros,
    count: Count,
}

/// This sender's counts, in a ring of slots, and the latest of others.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    own: BTreeMap<u16, [Count; SLOTS]>,
    /// The current slot, and when it started.
    slot: usize,
    slot_started_at: Micros,
    samples: BTreeMap<u16, BTreeMap<MemberIndex, Sample>>,
}

impl Counts {
    /// Advances to the slot of this time and clears those that are reused.
    fn advance(&mut self, now: Micros) {
        let slot_span = SPAN / SLOTS as Micros;
        if now >= self.slot_started_at + SPAN {
            self.own.clear();
            self.slot_started_at = now;
            return;
        }
        while now >= self.slot_started_at + slot_span {
            self.slot_started_at += slot_span;
            self.slot = (self.slot + 1) % SLOTS;
            let slot = self.slot;
            self.own.retain(|_, slots| {
                slots[slot] = Count::default();
                slots.iter().any(|count| *count != Count::default())
            });
        }
    }

    /// Counts traffic of this sender.
    pub fn record(&mut self, destination: u16, count: Count, now: Micros) {
        self.advance(now);
        let slot = self.slot;
        if self.own.len() < MAX_DESTINATIONS || self.own.contains_key(&destination) {
            self.own.entry(destination).or_default()[slot].add(count);
        }
    }

    /// Returns this sender's counts of the last span, the busiest destination first.
    pub fn own(&mut self, now: Micros) -> Vec<(u16, Count)> {
        self.advance(now);
        let mut own: Vec<_> =
            self.own.iter().map(|(destination, slots)| (*destination, sum(slots))).collect();
        own.sort_by_key(|(destination, count)| (u32::MAX - count.calls, *destination));
        own
    }

    /// Records the counts that another sender published `age` ago. Duplicates and counts older than the latest are ignored.
    pub fn received(&mut self, from: MemberIndex, destination: u16, count: Count, age: Micros, now: Micros) {
        if self.samples.len() >= MAX_DESTINATIONS && !self.samples.contains_key(&destination) {
            return;
        }
        let samples = self.samples.entry(destination).or_default();
        let at = now.saturating_sub(age);
        if samples.get(&from).is_none_or(|before| before.at < at) {
            samples.insert(from, Sample { at, count });
        }
        while samples.len() > MAX_SAMPLES {
            let oldest = samples.iter().min_by_key(|(sender, sample)| (sample.at, **sender));
            let oldest = oldest.map(|(sender, _)| *sender);
            oldest.map(|sender| samples.remove(&sender));
        }
    }

    /// Estimates the traffic of a fleet of `senders` at a destination.
    pub fn estimate(&mut self, destination: u16, senders: usize, now: Micros) -> Estimate {
        self.advance(now);
        let mut total = self.own.get(&destination).map(sum).unwrap_or_default();
        let (mut sampled, mut age) = (1, 0);
        if let Some(samples) = self.samples.get_mut(&destination) {
            samples.retain(|_, sample| now.saturating_sub(sample.at) < SAMPLE_EXPIRY);
            for sample in samples.values() {
                total.add(sample.count);
                sampled += 1;
                age = age.max(now.saturating_sub(sample.at));
            }
        }
        let factor = senders.max(sampled) as f64 / sampled as f64;
        Estimate { count: total.scaled(factor), samples: sampled, age }
    }
}

fn sum(slots: &[Count; SLOTS]) -> Count {
    let mut total = Count::default();
    slots.iter().for_each(|count| total.add(*count));
    total
}
