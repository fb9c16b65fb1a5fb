//! The evidence on all destinations, and which beliefs have changed since they were last reported.

use std::collections::{BTreeMap, BTreeSet};

use crate::Micros;
use crate::evidence::{Belief, Evidence};
use crate::evidence_set::EvidenceSet;

/// Maximum number of destinations with retained evidence.
pub(crate) const MAX_DESTINATIONS: usize = 4_096;
/// Reported limits are retained for this time.
pub(crate) const LIMIT_RETENTION: Micros = 30_000_000;

/// Evidence by destination.
#[derive(Clone, Debug, Default)]
pub(crate) struct EvidenceTable {
    pub(crate) sets: BTreeMap<u16, EvidenceSet>,
    /// Beliefs as [`Self::take_changes`] last returned them, except those that are the default.
    reported: BTreeMap<u16, Belief>,
    /// Destinations whose evidence has changed since then.
    dirty: BTreeSet<u16>,
}

impl EvidenceTable {
    /// Joins one item and returns whether it changed the set. Evidence on a destination beyond [`MAX_DESTINATIONS`] is dropped.
    pub(crate) fn join(&mut self, destination: u16, item: Evidence) -> bool {
        if self.sets.len() >= MAX_DESTINATIONS && !self.sets.contains_key(&destination) {
            return false;
        }
        let changed = self.sets.entry(destination).or_default().join(item);
        if changed {
            self.dirty.insert(destination);
        }
        changed
    }

    /// Returns a checksum of all beliefs, which is equal for two senders with the same beliefs.
    pub(crate) fn digest(&self, now: Micros) -> u32 {
        let mut hasher = crc32fast::Hasher::new();
        for (destination, set) in &self.sets {
            let digest = set.digest(now);
            if digest != 0 {
                hasher.update(&destination.to_le_bytes());
                hasher.update(&digest.to_le_bytes());
            }
        }
        hasher.finalize()
    }

    /// Returns the belief about a destination.
    pub(crate) fn belief(&self, destination: u16, now: Micros) -> Belief {
        self.sets.get(&destination).map(|set| set.belief(now)).unwrap_or_default()
    }

    /// Returns the destinations whose belief differs from the one returned last, with the current one. Drops expired evidence.
    pub(crate) fn take_changes(&mut self, now: Micros) -> Vec<(u16, Belief)> {
        let differs =
            |(destination, reported): &(&u16, &Belief)| **reported != self.belief(**destination, now);
        let expired: Vec<u16> =
            self.reported.iter().filter(differs).map(|(destination, _)| *destination).collect();
        self.dirty.extend(expired);
        let mut changes = Vec::new();
        for destination in std::mem::take(&mut self.dirty) {
            if let Some(belief) = self.refresh(destination, now) {
                changes.push((destination, belief));
            }
        }
        changes
    }

    /// Drops expired evidence on a destination and returns its belief if that has changed.
    fn refresh(&mut self, destination: u16, now: Micros) -> Option<Belief> {
        if let Some(set) = self.sets.get_mut(&destination)
            && set.expire(now, LIMIT_RETENTION)
        {
            self.sets.remove(&destination);
        }
        let belief = self.belief(destination, now);
        let before = self.reported.get(&destination).copied().unwrap_or_default();
        if belief == Belief::default() {
            self.reported.remove(&destination);
        } else {
            self.reported.insert(destination, belief);
        }
        (belief != before).then_some(belief)
    }

    /// Returns when a reported belief may change next without new evidence.
    pub(crate) fn next_change(&self, now: Micros) -> Option<Micros> {
        self.reported.keys().filter_map(|destination| self.sets.get(destination)?.next_change(now)).min()
    }
}
