//! Migrations even out lasting imbalances and no others.

use super::*;
use crate::OwnershipMap;

const ROUND: Micros = 250_000;

/// The outcome of simulated rounds.
struct Outcome {
    migrations: Vec<Migration>,
    /// Load of the busiest shard at the end, relative to the mean.
    relative_peak: f64,
    last_plan: Plan,
}

/// Simulates rounds with the given work by destination.
fn simulate(shards: usize, rounds: u64, mut work: impl FnMut(u64) -> Vec<(u16, f64)>) -> Outcome {
    let (mut planner, mut ownership) = (Planner::new(shards), OwnershipMap::hashed(shards));
    let (mut migrations, mut last_loads, mut last_plan) = (Vec::new(), Vec::new(), Plan::Stay);
    for round in 0..rounds {
        let loads: Vec<_> = work(round)
            .into_iter()
            .map(|(destination, work)| DestinationLoad {
                destination,
                shard: ownership.owner(destination),
                work,
            })
            .collect();
        last_plan = planner.round(round * ROUND, &loads);
        last_loads = loads;
        if let Plan::Migrate(migration) = last_plan {
            assert_eq!(ownership.owner(migration.destination), migration.from);
            ownership = ownership.with(migration.destination, migration.to);
            planner.migrated(migration);
            migrations.push(migration);
        }
    }
    let mut sums = vec![0.0; shards];
    last_loads.iter().for_each(|load| sums[ownership.owner(load.destination).index()] += load.work);
    let mean = sums.iter().sum::<f64>() / shards as f64;
    let relative_peak = sums.iter().copied().fold(0.0, f64::max) / mean;
    Outcome { migrations, relative_peak, last_plan }
}

/// Covers `MAX_REMAINING_GAP`, `MIN_UNEVEN_ROUNDS` and the choice of the best candidate, which keep the migrations few.
#[test]
fn a_heavy_tail_is_evened_out_by_few_migrations() {
    for shards in [2, 4, 8] {
        let tail = |_| (0..200u16).map(|d| (d, 2_000.0 / f64::from(d + 8))).collect();
        let Outcome { migrations, relative_peak, .. } = simulate(shards, 400, tail);
        assert!(relative_peak < 1.0 + MAX_IMBALANCE, "{shards} shards: {relative_peak} times the mean");
        assert!(migrations.len() <= 3 * shards, "{shards} shards: {} migrations", migrations.len());
    }
}

#[test]
fn a_single_hot_destination_is_not_migrated() {
    let Outcome { migrations, last_plan, .. } = simulate(4, 400, |_| vec![(7, 1_000.0)]);
    assert_eq!(migrations, []);
    let is_hotspot = matches!(last_plan, Plan::Hotspot { destination: 7, share, .. } if share > 0.99);
    assert!(is_hotspot, "{last_plan:?}");
}

/// Covers `MIN_UNEVEN_ROUNDS` and the smoothing, which ignore bursts of one or two rounds.
#[test]
fn short_bursts_cause_no_migration() {
    let bursts = |round: u64| {
        (0..16u16)
            .map(|d| (d, if round.is_multiple_of(8) && u64::from(d) == round / 8 % 16 { 90.0 } else { 50.0 }))
            .collect()
    };
    // Only the initial imbalance is evened out; later rounds cause no migrations.
    let early = simulate(4, 60, bursts).migrations;
    let late = simulate(4, 1_000, bursts).migrations;
    assert!(early.len() <= 2 && late == early, "{early:?}, {late:?}");
}

/// Covers `COOLDOWN`, which bounds the migrations that fluctuating loads cause; a lasting change is still evened out.
#[test]
fn fluctuating_loads_cause_few_migrations_and_a_lasting_change_is_evened_out() {
    for seed in 0..20 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let fluctuating = |_| (0..12u16).map(|d| (d, 200.0 * rng.f64())).collect();
        let migrations = simulate(4, 400, fluctuating).migrations;
        // Twelve destinations, each of which migrates at most once per ten seconds of the simulated hundred.
        assert!(migrations.len() <= 40, "seed {seed}: {} migrations", migrations.len());
    }
    let load_shift =
        |round: u64| (0..16u16).map(|d| (d, if (d < 8) == (round < 200) { 100.0 } else { 10.0 })).collect();
    let relative_peak = simulate(4, 400, load_shift).relative_peak;
    assert!(relative_peak < 1.0 + MAX_IMBALANCE, "{relative_peak}");
}

#[test]
fn low_load_causes_no_migration_and_state_of_inactive_destinations_is_dropped() {
    assert_eq!(simulate(4, 100, |_| vec![(7, 10.0), (8, 1.0)]).migrations, []);
    let mut planner = Planner::new(2);
    planner.round(
        0,
        &(0..5_000)
            .map(|d| DestinationLoad { destination: d, shard: ShardId(0), work: 1.0 })
            .collect::<Vec<_>>(),
    );
    for round in 1..40 {
        let _ = planner.round(round * ROUND, &[]);
    }
    assert!(planner.work.is_empty() && planner.cooldowns.is_empty());
}
