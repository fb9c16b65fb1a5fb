//! When it is worth it to migrate a destination to another shard.

use std::collections::BTreeMap;

use crate::{Micros, ShardId};

#[cfg(test)]
mod tests;

/// Share of the mean load by which the busiest shard may exceed the idlest before anything migrates.
const MAX_IMBALANCE: f64 = 0.25;
/// Consecutive rounds for which it has to: guards against migrations for a burst that has ended by the time they are made.
const MIN_UNEVEN_ROUNDS: u32 = 4;
/// Share of the gap that a migration may leave: guards against migrations back and forth.
const MAX_REMAINING_GAP: f64 = 0.75;
/// A destination that has migrated, or could not, stays for this time.
const COOLDOWN: Micros = 10_000_000;
/// Weight of a round in the smoothed load.
const SMOOTHING: f64 = 0.15;
/// Destinations with less smoothed load per round are dropped.
const MIN_TRACKED_LOAD: f64 = 0.01;
/// With less load per round on the busiest shard nothing migrates: there is nothing to gain.
const MIN_PEAK_LOAD: f64 = 20.0;

/// The load of a destination in one round, in any unit that is the same for all.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DestinationLoad {
    /// The destination.
    pub destination: u16,
    /// Its owner.
    pub shard: ShardId,
    /// Its load.
    pub work: f64,
}

/// A destination that is to have another owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Migration {
    /// The destination.
    pub destination: u16,
    /// Its owner.
    pub from: ShardId,
    /// Its next owner.
    pub to: ShardId,
}

/// The outcome of a round.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Plan {
    /// The load is even enough, or was not uneven for long.
    Stay,
    /// The load is uneven, and no migration improves that: most of it is of one destination, or of those in their cooldown.
    Hotspot {
        /// The busiest shard.
        shard: ShardId,
        /// Its busiest destination.
        destination: u16,
        /// That one's share of the shard's load, from 0 to 1.
        share: f64,
    },
    /// One destination is to migrate.
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
    /// What the busiest has more than the idlest.
    gap: f64,
    mean: f64,
}

impl Imbalance {
    fn is_relevant(&self) -> bool {
        self.peak >= MIN_PEAK_LOAD && self.gap > MAX_IMBALANCE * self.mean
    }

    /// The gap that the migration of a destination with that load would leave.
    fn remaining_gap(&self, work: f64) -> f64 {
        (self.gap - 2.0 * work).abs()
    }
}

/// Tracks smoothed loads, and proposes at most one migration a round.
#[derive(Debug, Clone)]
pub struct Planner {
    shards: usize,
    work: BTreeMap<u16, TrackedLoad>,
    /// Consecutive rounds with a relevant imbalance.
    uneven_rounds: u32,
    /// When cooldowns end.
    cooldowns: BTreeMap<u16, Micros>,
}

impl Planner {
    /// For so many shards.
    pub fn new(shards: usize) -> Self {
        Self { shards: shards.max(1), work: BTreeMap::new(), uneven_rounds: 0, cooldowns: BTreeMap::new() }
    }

    /// A round has ended with these loads; destinations that are not among them had none.
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

    /// Smooths the loads of a round.
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

    /// Destinations of a shard with their loads.
    fn loads_of(&self, shard: ShardId) -> impl Iterator<Item = (u16, f64)> {
        let on_shard = self.work.iter().filter(move |(_, tracked)| tracked.shard == shard);
        on_shard.map(|(destination, tracked)| (*destination, tracked.work))
    }

    /// The destination whose migration leaves the smallest gap, if that is small enough.
    fn candidate(&self, imbalance: &Imbalance) -> Option<u16> {
        let movable = self
            .loads_of(imbalance.busiest)
            .filter(|(destination, _)| !self.cooldowns.contains_key(destination));
        let best = movable
            .min_by(|a, b| imbalance.remaining_gap(a.1).total_cmp(&imbalance.remaining_gap(b.1)))
            .filter(|(_, work)| imbalance.remaining_gap(*work) <= MAX_REMAINING_GAP * imbalance.gap);
        best.map(|(destination, _)| destination)
    }

    /// The busiest destination of the busiest shard.
    fn hotspot(&self, imbalance: &Imbalance) -> Plan {
        let shard = imbalance.busiest;
        match self.loads_of(shard).max_by(|a, b| a.1.total_cmp(&b.1)) {
            Some((destination, work)) => Plan::Hotspot { shard, destination, share: work / imbalance.peak },
            None => Plan::Stay,
        }
    }

    /// A migration was made: the destination's load counts for its new owner.
    pub fn migrated(&mut self, migration: Migration) {
        if let Some(tracked) = self.work.get_mut(&migration.destination) {
            tracked.shard = migration.to;
        }
    }
}
