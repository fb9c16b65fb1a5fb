//! Planning of migrations of destinations to other shards, to even out the load.

use std::collections::BTreeMap;

use crate::{Micros, ShardId};

#[cfg(test)]
mod tests;

/// A destination migrates only if the load of the busiest shard exceeds that of the idlest by more than this share of the mean.
const MAX_IMBALANCE: f64 = 0.25;
/// Consecutive rounds with such an imbalance before a destination migrates, so that a short burst, which would have ended before
/// the migration takes effect, causes none.
const MIN_UNEVEN_ROUNDS: u32 = 4;
/// Maximum share of the gap that may remain after a migration, so that destinations do not migrate back and forth.
const MAX_REMAINING_GAP: f64 = 0.75;
/// A destination for which a migration was planned, successful or not, stays for this time.
const COOLDOWN: Micros = 10_000_000;
/// Weight of the latest round in the smoothed load.
const SMOOTHING: f64 = 0.15;
/// Destinations with less smoothed load per round are no longer tracked.
const MIN_TRACKED_LOAD: f64 = 0.01;
/// If the busiest shard has less load per round, nothing migrates, since it would gain nothing.
const MIN_PEAK_LOAD: f64 = 20.0;

/// The load of a destination in one round, in any unit that is the same for all destinations.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DestinationLoad {
    /// The destination.
    pub destination: u16,
    /// Its owner.
    pub shard: ShardId,
    /// Its load.
    pub work: f64,
}

/// A migration of a destination to another owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Migration {
    /// The destination.
    pub destination: u16,
    /// Its current owner.
    pub from: ShardId,
    /// Its next owner.
    pub to: ShardId,
}

/// The outcome of a round.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Plan {
    /// The load is even enough, or has not been uneven for long enough.
    Stay,
    /// The load is uneven, but no migration improves that: most of it belongs to one destination, or to destinations in their
    /// cooldown.
    Hotspot {
        /// The busiest shard.
        shard: ShardId,
        /// Its busiest destination.
        destination: u16,
        /// That destination's share of the shard's load, from 0 to 1.
        share: f64,
    },
    /// One destination should migrate.
    Migrate(Migration),
}

/// The smoothed load of a destination.
#[derive(Debug, Clone, Copy)]
struct TrackedLoad {
    shard: ShardId,
    work: f64,
}

/// The busiest and the idlest shard.
#[derive(Debug, Clone, Copy)]
struct Imbalance {
    busiest: ShardId,
    idlest: ShardId,
    /// Load of the busiest.
    peak: f64,
    /// Difference in load between the busiest and the idlest.
    gap: f64,
    mean: f64,
}

impl Imbalance {
    fn is_relevant(&self) -> bool {
        self.peak >= MIN_PEAK_LOAD && self.gap > MAX_IMBALANCE * self.mean
    }

    /// Returns the gap that would remain after the migration of a destination with that load.
    fn remaining_gap(&self, work: f64) -> f64 {
        (self.gap - 2.0 * work).abs()
    }
}

/// Tracks smoothed loads and proposes at most one migration per round.
#[derive(Debug, Clone)]
pub struct Planner {
    shards: usize,
    work: BTreeMap<u16, TrackedLoad>,
    /// Consecutive rounds with a relevant imbalance.
    uneven_rounds: u32,
    /// When the cooldown of a destination ends.
    cooldowns: BTreeMap<u16, Micros>,
}

impl Planner {
    /// Creates a planner for `shards` shards.
    pub fn new(shards: usize) -> Self {
        Self { shards: shards.max(1), work: BTreeMap::new(), uneven_rounds: 0, cooldowns: BTreeMap::new() }
    }

    /// Ends a round with these loads and returns its plan. Destinations that are not among them had no load.
    pub fn round(&mut self, now: Micros, loads: &[DestinationLoad]) -> Plan {
        self.cooldowns.retain(|_, until| *until > now);
        self.track(loads);
        let imbalance = self.imbalance();
        if !imbalance.is_relevant() {
            self.uneven_rounds = 0;
            return Plan::Stay;
        }
        self.uneven_rounds += 1;
        if self.uneven_rounds < MIN_UNEVEN_ROUNDS {
            return Plan::Stay;
        }
        let Some(destination) = self.candidate(&imbalance) else { return self.hotspot(&imbalance) };
        self.uneven_rounds = 0;
        self.cooldowns.insert(destination, now + COOLDOWN);
        Plan::Migrate(Migration { destination, from: imbalance.busiest, to: imbalance.idlest })
    }

    /// Adds the loads of a round to the smoothed ones.
    fn track(&mut self, loads: &[DestinationLoad]) {
        for tracked in self.work.values_mut() {
            tracked.work *= 1.0 - SMOOTHING;
        }
        for load in loads.iter().filter(|load| load.shard.index() < self.shards && load.work.is_finite()) {
            let new = TrackedLoad { shard: load.shard, work: 0.0 };
            let tracked = self.work.entry(load.destination).or_insert(new);
            tracked.shard = load.shard;
            tracked.work += SMOOTHING * load.work.max(0.0);
        }
        self.work.retain(|_, tracked| tracked.work >= MIN_TRACKED_LOAD);
    }

    fn imbalance(&self) -> Imbalance {
        let mut sums = vec![0.0; self.shards];
        self.work.values().for_each(|tracked| sums[tracked.shard.index()] += tracked.work);
        let by_load = |a: &usize, b: &usize| sums[*a].total_cmp(&sums[*b]);
        let busiest = (0..self.shards).max_by(by_load).unwrap_or(0);
        let idlest = (0..self.shards).min_by(by_load).unwrap_or(0);
        Imbalance {
            busiest: ShardId(busiest as u8),
            idlest: ShardId(idlest as u8),
            peak: sums[busiest],
            gap: sums[busiest] - sums[idlest],
            mean: sums.iter().sum::<f64>() / self.shards as f64,
        }
    }

    /// Returns the destinations of a shard with their smoothed loads.
    fn loads_of(&self, shard: ShardId) -> impl Iterator<Item = (u16, f64)> {
        let on_shard = self.work.iter().filter(move |(_, tracked)| tracked.shard == shard);
        on_shard.map(|(destination, tracked)| (*destination, tracked.work))
    }

    /// Returns the destination whose migration leaves the smallest gap, if that is small enough.
    fn candidate(&self, imbalance: &Imbalance) -> Option<u16> {
        let movable = self
            .loads_of(imbalance.busiest)
            .filter(|(destination, _)| !self.cooldowns.contains_key(destination));
        let best = movable
            .min_by(|a, b| imbalance.remaining_gap(a.1).total_cmp(&imbalance.remaining_gap(b.1)))
            .filter(|(_, work)| imbalance.remaining_gap(*work) <= MAX_REMAINING_GAP * imbalance.gap);
        best.map(|(destination, _)| destination)
    }

    /// Reports the busiest destination of the busiest shard.
    fn hotspot(&self, imbalance: &Imbalance) -> Plan {
        let shard = imbalance.busiest;
        match self.loads_of(shard).max_by(|a, b| a.1.total_cmp(&b.1)) {
            Some((destination, work)) => Plan::Hotspot { shard, destination, share: work / imbalance.peak },
            None => Plan::Stay,
        }
    }

    /// Records a completed migration: the destination's load counts for its new owner.
    pub fn migrated(&mut self, migration: Migration) {
        if let Some(tracked) = self.work.get_mut(&migration.destination) {
            tracked.shard = migration.to;
        }
    }
}
