//! Counts of the whole fleet, from samples: each sender tells its own counts of the last span along with what it says anyway,
//! and what the fleet comes to is reckoned from those of the latest senders that were heard. A count that comes twice counts
//! once, since each sender has one place; it says how old it is and for how many senders it stands.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{MemberIndex, Micros};

/// Counts are of so long a span.
pub const SPAN: Micros = 2_000_000;
/// Slots that a span is counted in.
const SLOTS: usize = 4;
/// Others' counts are kept of so many senders, and for so long.
pub const SAMPLE: usize = 64;
/// Others' counts are forgotten after this time.
pub const KEPT_FOR: Micros = 5 * SPAN;
/// Destinations that are counted at most; the busiest.
pub const DESTINATIONS: usize = 4_096;

/// What happened at one destination in a span, or is held for it now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count {
    /// Calls that ended.
    pub calls: u32,
    /// Of them, turned away.
    pub refused: u32,
    /// Of them, failed.
    pub failed: u32,
    /// Messages tried for a second time or more.
    pub repeats: u32,
    /// Messages that are held now.
    pub held: u32,
}

impl Count {
    fn add(&mut self, other: Self) {
        let add = |a: u32, b: u32| a.saturating_add(b);
        self.calls = add(self.calls, other.calls);
        self.refused = add(self.refused, other.refused);
        self.failed = add(self.failed, other.failed);
        self.repeats = add(self.repeats, other.repeats);
        self.held = add(self.held, other.held);
    }
}

/// What the fleet comes to at one destination.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Estimate {
    /// Scaled up to all senders.
    pub count: Count,
    /// Of how many senders it was reckoned, this one counted.
    pub heard: usize,
    /// How old the oldest of it is.
    pub age: Micros,
}

/// Own counts, in slots, and the latest of others.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    own: BTreeMap<u16, [Count; SLOTS]>,
    /// The slot that counts now, and since when.
    slot: usize,
    slot_at: Micros,
    others: BTreeMap<u16, BTreeMap<MemberIndex, (Micros, Count)>>,
}

impl Counts {
    fn turn(&mut self, now: Micros) {
        let each = SPAN / SLOTS as Micros;
        if now >= self.slot_at + SPAN {
            self.own.clear();
            self.slot_at = now;
            return;
        }
        while now >= self.slot_at + each {
            self.slot_at += each;
            self.slot = (self.slot + 1) % SLOTS;
            let slot = self.slot;
            self.own.retain(|_, slots| {
                slots[slot] = Count::default();
                slots.iter().any(|count| *count != Count::default())
            });
        }
    }

    /// Something happened here.
    pub fn note(&mut self, destination: u16, count: Count, now: Micros) {
        self.turn(now);
        let slot = self.slot;
        if self.own.len() < DESTINATIONS || self.own.contains_key(&destination) {
            self.own.entry(destination).or_default()[slot].add(count);
        }
    }

    /// This sender's own counts of the last span, the busiest first.
    pub fn own(&mut self, now: Micros) -> Vec<(u16, Count)> {
        self.turn(now);
        let mut own: Vec<_> =
            self.own.iter().map(|(destination, slots)| (*destination, sum(slots))).collect();
        own.sort_by_key(|(destination, count)| (u32::MAX - count.calls, *destination));
        own
    }

    /// Another told its counts, of so long ago.
    pub fn heard(&mut self, from: MemberIndex, destination: u16, count: Count, age: Micros, now: Micros) {
        if self.others.len() >= DESTINATIONS && !self.others.contains_key(&destination) {
            return;
        }
        let others = self.others.entry(destination).or_default();
        let at = now.saturating_sub(age);
        // One that comes twice, or late, counts for nothing.
        if others.get(&from).is_none_or(|before| before.0 < at) {
            others.insert(from, (at, count));
        }
        while others.len() > SAMPLE {
            let oldest = others.iter().min_by_key(|(rank, told)| (told.0, **rank)).map(|(rank, _)| *rank);
            oldest.map(|rank| others.remove(&rank));
        }
    }

    /// What all senders together come to at a destination, of so many.
    pub fn estimate(&mut self, destination: u16, senders: usize, now: Micros) -> Estimate {
        self.turn(now);
        let mut all = self.own.get(&destination).map(sum).unwrap_or_default();
        let (mut heard, mut age) = (1, 0);
        if let Some(others) = self.others.get_mut(&destination) {
            others.retain(|_, told| now.saturating_sub(told.0) < KEPT_FOR);
            for (at, count) in others.values() {
                all.add(*count);
                heard += 1;
                age = age.max(now.saturating_sub(*at));
            }
        }
        let scale = senders.max(heard) as f64 / heard as f64;
        let scaled = |n: u32| (f64::from(n) * scale).min(f64::from(u32::MAX)) as u32;
        let count = Count {
            calls: scaled(all.calls),
            refused: scaled(all.refused),
            failed: scaled(all.failed),
            repeats: scaled(all.repeats),
            held: scaled(all.held),
        };
        Estimate { count, heard, age }
    }
}

fn sum(slots: &[Count; SLOTS]) -> Count {
    let mut all = Count::default();
    slots.iter().for_each(|count| all.add(*count));
    all
}

#[cfg(test)]
mod tests {
    use super::*;

    fn calls(calls: u32) -> Count {
        Count { calls, ..Count::default() }
    }

    #[test]
    fn own_counts_are_of_the_last_span() {
        let mut counts = Counts::default();
        for second in 0..10 {
            counts.note(7, calls(5), second * 500_000);
        }
        assert_eq!(counts.own(9 * 500_000), [(7, calls(20))]);
        assert_eq!(counts.own(9 * 500_000 + SPAN), []);
    }

    #[test]
    fn what_comes_twice_counts_once_and_what_is_old_not_at_all() {
        let mut counts = Counts::default();
        for _ in 0..3 {
            counts.heard(1, 7, calls(10), 0, SPAN);
        }
        counts.heard(1, 7, calls(900), SPAN / 2, SPAN);
        counts.heard(2, 7, calls(20), 0, SPAN);
        let estimate = counts.estimate(7, 30, SPAN);
        assert_eq!((estimate.count.calls, estimate.heard), (300, 3));
        assert_eq!(counts.estimate(7, 30, SPAN + KEPT_FOR).heard, 1);
    }

    #[test]
    fn what_others_make_grow_is_bounded() {
        let mut counts = Counts::default();
        for n in 0..u16::MAX {
            counts.heard(n, 7, calls(1), 0, u64::from(n) + SPAN);
            counts.heard(1, n, calls(1), 0, SPAN);
        }
        assert_eq!(counts.others[&7].len(), SAMPLE);
        assert!(counts.others.len() <= DESTINATIONS);
    }
}
