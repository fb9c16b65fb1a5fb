//! Compares rolling restarts with and without health snapshots, for several seeds. Each failure names its seed.

use fleet_sim::{Counts, Partner, Violations, World};

const SEEDS: [u64; 3] = [1, 2, 3];

/// The result of a run at the partner: its counts in the ten seconds after the rolling restart began, and its highest load
/// during a slow start, as a share of the load at which it becomes overloaded.
#[derive(Debug, Clone, Copy)]
struct RunResult {
    after_restart: Counts,
    overload: f64,
}

/// Runs a rolling restart: 92 of 100 senders are killed within two seconds, and one in `with_traffic` of them gets messages
/// again at once. Their health snapshots are current when they are killed (age 0), or of `snapshot_age` seconds before the
/// restart, or do not exist (`None`).
fn restart_fleet(
    partner: Partner,
    rate: f64,
    with_traffic: usize,
    snapshot_age: Option<f64>,
    seed: u64,
) -> RunResult {
    let mut world = World::new(100, vec![partner], seed);
    let age = snapshot_age.unwrap_or(0.0);
    world.run(8.0 - age, rate);
    if age > 0.0 {
        world.save_all_snapshots();
    }
    world.run(age, rate);
    world.saves_snapshots_on_exit = snapshot_age == Some(0.0);
    world.rolling_restart(92, 2.0, with_traffic);
    world.run(16.0, rate);
    assert_eq!(world.violations, Violations::default(), "seed {seed}, {snapshot_age:?}");
    let partner = &world.partners[0];
    RunResult { after_restart: partner.seconds[8..18].iter().copied().sum(), overload: partner.overload }
}

/// Runs a case with and without snapshots, asserts for each seed that the partner is no worse off with them, and returns the
/// sums of the counts with and without.
fn compare(name: &str, partner: &Partner, rate: f64, with_traffic: usize, age: f64) -> (Counts, Counts) {
    let pairs = SEEDS.map(|seed| {
        let with = restart_fleet(partner.clone(), rate, with_traffic, Some(age), seed);
        let without = restart_fleet(partner.clone(), rate, with_traffic, None, seed);
        assert!(with.overload <= without.overload.max(1.0), "{name}, seed {seed}: {with:?} and {without:?}");
        let unsuccessful = |result: &RunResult| result.after_restart.refused + result.after_restart.failed;
        let (with_unsuccessful, without_unsuccessful) = (unsuccessful(&with), unsuccessful(&without));
        assert!(
            with_unsuccessful <= without_unsuccessful + without_unsuccessful / 5 + 8,
            "{name}, seed {seed}: {with:?} and {without:?}"
        );
        (with.after_restart, without.after_restart, with.overload, without.overload)
    });
    let overload = |of: fn(&(Counts, Counts, f64, f64)) -> f64| pairs.iter().map(of).fold(0.0, f64::max);
    let with: Counts = pairs.iter().map(|pair| pair.0).sum();
    let without: Counts = pairs.iter().map(|pair| pair.1).sum();
    println!(
        "{name}: with and without snapshots: on time {:.3} and {:.3}, rejected {:.3} and {:.3}, failed {} and {}, overload {:.2} and {:.2}",
        with.on_time_share(),
        without.on_time_share(),
        with.rejected_share(),
        without.rejected_share(),
        with.failed,
        without.failed,
        overload(|pair| pair.2),
        overload(|pair| pair.3),
    );
    (with, without)
}

fn partner() -> Partner {
    Partner { limit: 57.0, max_batch: 5, capacity: 90.0, ..Partner::default() }
}

/// With a snapshot each sender draws a random time for its first call, so that the fleet as a whole keeps to the limit. That
/// delay is the cost that this test bounds.
#[test]
fn rolling_restart_of_healthy_fleet_costs_little_time_with_snapshots() {
    for with_traffic in [1, 3] {
        let (with, without) = compare(
            &format!("healthy, traffic at one in {with_traffic}"),
            &partner(),
            140.0,
            with_traffic,
            0.0,
        );
        assert!(with.on_time_share() >= without.on_time_share() - 0.04);
    }
}

/// The partner is down when most senders restart, and their snapshots record the outage.
#[test]
fn rolling_restart_during_outage_fails_fewer_calls_with_snapshots() {
    let partner = Partner { outages: vec![(6.0, 12.0)], ..partner() };
    let (with, without) = compare("outage", &partner, 120.0, 2, 0.0);
    assert!(with.failed < without.failed, "{} and {}", with.failed, without.failed);
}

/// The limit is lowered by half at least two seconds before the senders are killed. Their snapshots contain the lowered limit (age 0),
/// or were saved before it was lowered (age 4 s).
#[test]
fn lowered_limit_is_restored_or_detected_after_rolling_restart() {
    let partner = Partner { limit_reductions: vec![(6.0, 16.0, 0.5)], ..partner() };
    for age in [0.0, 4.0] {
        compare(&format!("lowered limit, snapshot {age} s old"), &partner, 120.0, 2, age);
    }
}

/// The snapshots are outdated: since they were saved, an outage has begun, or one that they record has ended.
#[test]
fn outdated_snapshots_do_not_harm_the_partner() {
    for (name, outage) in [("outage began since", (6.5, 12.0)), ("outage over since", (2.0, 5.5))] {
        let partner = Partner { outages: vec![outage], ..partner() };
        compare(name, &partner, 120.0, 2, 4.0);
    }
}
