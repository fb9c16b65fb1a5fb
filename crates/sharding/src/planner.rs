//! When it is worth it to move a destination to another core.

use std::collections::BTreeMap;

use crate::{Micros, ShardId};

/// Share of the mean load by which the busiest core may lie above the idlest before anything moves.
const MARGIN: f64 = 0.25;
/// Rounds in a row for which it has to: guards against moves for a clump that is over by the time they are made.
const PATIENCE: u32 = 4;
/// A move has to leave so much of the distance at most: guards against moves back and forth.
const LEAVES: f64 = 0.75;
/// A destination that was moved, or could not be, stays for so long.
const REST: Micros = 10_000_000;
/// Part of what was done in a round that counts against what was done before.
const NEW: f64 = 0.15;
/// Of a destination with less work a round nothing is remembered.
const LITTLE: f64 = 0.01;
/// With less work a round on the busiest core nothing moves: there is nothing to gain.
const IDLE: f64 = 20.0;

/// Work that a destination made on its core in a round, in any unit that is the same for all.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DestinationLoad {
    /// The destination.
    pub destination: u16,
    /// Its owner.
    pub core: ShardId,
    /// How much.
    pub work: f64,
}

/// A destination that is to go to another core.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Migration {
    /// The destination.
    pub destination: u16,
    /// Its owner.
    pub from: ShardId,
    /// Its owner from then on.
    pub to: ShardId,
}

/// What a round came to.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Plan {
    /// All is even enough, or has not been uneven for long.
    Stay,
    /// Uneven for long, and no move makes it better: most of the work is for one destination, or for those that rest.
    Stuck {
        /// The busiest core.
        core: ShardId,
        /// The destination with the most work there, and its share of the core's.
        destination: u16,
        /// From 0 to 1.
        share: f64,
    },
    /// One destination is to move.
    Migrate(Migration),
}

/// Remembers what destinations made of work, smoothed, and says once a round whether one should move; one at a time.
#[derive(Debug, Clone)]
pub struct Planner {
    cores: usize,
    work: BTreeMap<u16, (ShardId, f64)>,
    uneven: u32,
    rests: BTreeMap<u16, Micros>,
}

impl Planner {
    /// For so many cores.
    pub fn new(cores: usize) -> Self {
        Self { cores: cores.max(1), work: BTreeMap::new(), uneven: 0, rests: BTreeMap::new() }
    }

    /// A round is over in which destinations made that work. What is not named made none.
    pub fn round(&mut self, now: Micros, loads: &[DestinationLoad]) -> Plan {
        self.rests.retain(|_, until| *until > now);
        for (_, work) in self.work.values_mut() {
            *work *= 1.0 - NEW;
        }
        for load in loads.iter().filter(|load| load.core.index() < self.cores && load.work.is_finite()) {
            let entry = self.work.entry(load.destination).or_insert((load.core, 0.0));
            *entry = (load.core, entry.1 + NEW * load.work.max(0.0));
        }
        self.work.retain(|_, (_, work)| *work >= LITTLE);
        let mut sums = vec![0.0; self.cores];
        self.work.values().for_each(|(core, work)| sums[core.index()] += work);
        let mean = sums.iter().sum::<f64>() / self.cores as f64;
        let ordered = |a: &usize, b: &usize| sums[*a].total_cmp(&sums[*b]);
        let busiest = (0..self.cores).max_by(ordered).unwrap_or(0);
        let idlest = (0..self.cores).min_by(ordered).unwrap_or(0);
        let distance = sums[busiest] - sums[idlest];
        if sums[busiest] < IDLE || distance <= MARGIN * mean {
            self.uneven = 0;
            return Plan::Stay;
        }
        self.uneven += 1;
        if self.uneven < PATIENCE {
            return Plan::Stay;
        }
        let on_busiest = || self.work.iter().filter(|(_, (core, _))| core.index() == busiest);
        let left = |work: f64| (distance - 2.0 * work).abs();
        let best = on_busiest()
            .filter(|(destination, _)| !self.rests.contains_key(destination))
            .min_by(|a, b| left(a.1.1).total_cmp(&left(b.1.1)))
            .filter(|(_, (_, work))| left(*work) <= LEAVES * distance);
        let (from, to) = (ShardId(busiest as u8), ShardId(idlest as u8));
        if let Some((destination, _)) = best {
            let destination = *destination;
            self.uneven = 0;
            self.rests.insert(destination, now + REST);
            return Plan::Migrate(Migration { destination, from, to });
        }
        match on_busiest().max_by(|a, b| a.1.1.total_cmp(&b.1.1)) {
            Some((destination, (_, work))) => {
                Plan::Stuck { core: from, destination: *destination, share: work / sums[busiest] }
            }
            None => Plan::Stay,
        }
    }

    /// A move came about: what the destination made of work counts for its new owner.
    pub fn migrated(&mut self, made: Migration) {
        if let Some(entry) = self.work.get_mut(&made.destination) {
            entry.0 = made.to;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::OwnershipMap;

    const ROUND: Micros = 250_000;

    /// Rounds of such loads; tells the moves, and how far the busiest core's work lay above the mean at the end.
    fn play(
        cores: usize,
        rounds: u64,
        mut work: impl FnMut(u64) -> Vec<(u16, f64)>,
    ) -> (Vec<Migration>, f64, Plan) {
        let (mut planner, mut owners) = (Planner::new(cores), OwnershipMap::hashed(cores));
        let (mut moves, mut last, mut advice) = (Vec::new(), Vec::new(), Plan::Stay);
        for round in 0..rounds {
            let loads: Vec<_> = work(round)
                .into_iter()
                .map(|(destination, work)| DestinationLoad {
                    destination,
                    core: owners.owner(destination),
                    work,
                })
                .collect();
            advice = planner.round(round * ROUND, &loads);
            last = loads;
            if let Plan::Migrate(made) = advice {
                assert_eq!(owners.owner(made.destination), made.from);
                owners = owners.with(made.destination, made.to);
                planner.migrated(made);
                moves.push(made);
            }
        }
        let mut sums = vec![0.0; cores];
        last.iter().for_each(|load| sums[owners.owner(load.destination).index()] += load.work);
        let mean = sums.iter().sum::<f64>() / cores as f64;
        (moves, sums.iter().copied().fold(0.0, f64::max) / mean, advice)
    }

    /// Guards `LEAVES`, `PATIENCE` and the choice of the best: a heavy tail is evened out in few moves, and then rests.
    #[test]
    fn a_heavy_tail_is_evened_out_and_then_left_alone() {
        for cores in [2, 4, 8] {
            let tail = |_| (0..200u16).map(|d| (d, 2_000.0 / f64::from(d + 8))).collect();
            let (moves, above, _) = play(cores, 400, tail);
            assert!(above < 1.0 + MARGIN, "{cores} cores: {above} times the mean");
            assert!(moves.len() <= 3 * cores, "{cores} cores: {} moves", moves.len());
        }
    }

    #[test]
    fn one_destination_alone_is_not_moved_about() {
        let (moves, _, advice) = play(4, 400, |_| vec![(7, 1_000.0)]);
        assert_eq!(moves, []);
        assert!(matches!(advice, Plan::Stuck { destination: 7, share, .. } if share > 0.99), "{advice:?}");
    }

    /// Guards `PATIENCE` and the smoothing: clumps of a round or two here and there move nothing.
    #[test]
    fn clumps_that_are_over_soon_move_nothing() {
        let clumps = |round: u64| {
            (0..16u16)
                .map(|d| {
                    (d, if round.is_multiple_of(8) && u64::from(d) == round / 8 % 16 { 90.0 } else { 50.0 })
                })
                .collect()
        };
        // What lies unevenly from the beginning is evened out, and then nothing moves any more.
        let (early, late) = (play(4, 60, clumps).0, play(4, 1_000, clumps).0);
        assert!(early.len() <= 2 && late == early, "{early:?}, {late:?}");
    }

    /// Guards `REST`: loads that jump about in any way make few moves, and those that jump for good are followed.
    #[test]
    fn loads_that_jump_about_make_few_moves() {
        for seed in 0..20 {
            let mut rng = fastrand::Rng::with_seed(seed);
            let (moves, ..) = play(4, 400, |_| (0..12u16).map(|d| (d, 200.0 * rng.f64())).collect());
            // Twelve destinations, each at most once in ten seconds of the hundred.
            assert!(moves.len() <= 40, "seed {seed}: {} moves", moves.len());
        }
        let jump = |round: u64| {
            (0..16u16).map(|d| (d, if (d < 8) == (round < 200) { 100.0 } else { 10.0 })).collect()
        };
        let (_, above, _) = play(4, 400, jump);
        assert!(above < 1.0 + MARGIN, "{above}");
    }

    #[test]
    fn little_work_moves_nothing_and_nothing_is_kept_of_what_is_gone() {
        assert_eq!(play(4, 100, |_| vec![(7, 10.0), (8, 1.0)]).0, []);
        let mut planner = Planner::new(2);
        planner.round(
            0,
            &(0..5_000)
                .map(|d| DestinationLoad { destination: d, core: ShardId(0), work: 1.0 })
                .collect::<Vec<_>>(),
        );
        for round in 1..40 {
            let _ = planner.round(round * ROUND, &[]);
        }
        assert!(planner.work.is_empty() && planner.rests.is_empty());
    }
}
