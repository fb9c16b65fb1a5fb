//! A release, with what was learnt and without, side by side. Several seeds; each failure names its own.

use fleet_sim::{Count, Partner, Verdicts, World};

const SEEDS: [u64; 3] = [1, 2, 3];

/// What came of a run: at the partner in the ten seconds after the release began, its messages in time, and the most that was
/// sent to it while it was cold, as a part of what it bears.
#[derive(Debug, Clone, Copy)]
struct Came {
    after: Count,
    pushed: f64,
}

/// 92 of 100 senders are killed within two seconds, and one in `kept` of them gets messages again at once. What they learnt
/// is kept to the end, or as it was so many seconds before, or not.
fn release(partner: Partner, rate: f64, kept: usize, snapshots: Option<f64>, seed: u64) -> Came {
    let mut world = World::new(100, vec![partner], seed);
    let old = snapshots.unwrap_or(0.0);
    world.run(8.0 - old, rate);
    if old > 0.0 {
        world.keep_all();
    }
    world.run(old, rate);
    world.keeps_snapshots = snapshots == Some(0.0);
    world.release(92, 2.0, kept);
    world.run(16.0, rate);
    assert_eq!(world.verdicts, Verdicts::default(), "seed {seed}, {snapshots:?}");
    let partner = &world.partners[0];
    Came { after: partner.seconds[8..18].iter().copied().sum(), pushed: partner.overload }
}

/// Plays a case with and without, and holds each seed to it that the partner fares no worse with.
fn side_by_side(name: &str, partner: &Partner, rate: f64, kept: usize, age: f64) -> (Count, Count) {
    let pairs = SEEDS.map(|seed| {
        let with = release(partner.clone(), rate, kept, Some(age), seed);
        let without = release(partner.clone(), rate, kept, None, seed);
        assert!(with.pushed <= without.pushed.max(1.0), "{name}, seed {seed}: {with:?} and {without:?}");
        let bad = |came: &Came| came.after.refused + came.after.failed;
        let (with_bad, without_bad) = (bad(&with), bad(&without));
        assert!(
            with_bad <= without_bad + without_bad / 5 + 8,
            "{name}, seed {seed}: {with:?} and {without:?}"
        );
        (with.after, without.after, with.pushed, without.pushed)
    });
    let pushed = |of: fn(&(Count, Count, f64, f64)) -> f64| pairs.iter().map(of).fold(0.0, f64::max);
    let with: Count = pairs.iter().map(|pair| pair.0).sum();
    let without: Count = pairs.iter().map(|pair| pair.1).sum();
    println!(
        "{name}: in time {:.3} and {:.3}, refused {:.3} and {:.3}, failed {} and {}, pushed {:.2} and {:.2}",
        with.part_in_time(),
        without.part_in_time(),
        with.part_refused(),
        without.part_refused(),
        with.failed,
        without.failed,
        pushed(|pair| pair.2),
        pushed(|pair| pair.3),
    );
    (with, without)
}

fn partner() -> Partner {
    Partner { limit: 57.0, max_batch: 5, capacity: 90.0, ..Partner::default() }
}

/// That each draws the moment of its first call, so that all together keep to the limit, costs that time.
#[test]
fn a_release_while_all_is_well_costs_little_more_with_what_was_learnt() {
    for kept in [1, 3] {
        let (with, without) = side_by_side(&format!("well, one in {kept}"), &partner(), 140.0, kept, 0.0);
        assert!(with.part_in_time() >= without.part_in_time() - 0.04);
    }
}

/// The partner is down when most come back: they know it.
#[test]
fn a_release_into_an_outage_costs_fewer_calls_with_what_was_learnt() {
    let partner = Partner { down: vec![(6.0, 12.0)], ..partner() };
    let (with, without) = side_by_side("down", &partner, 120.0, 2, 0.0);
    assert!(with.failed < without.failed, "{} and {}", with.failed, without.failed);
}

/// Its limit was lowered by half when they were killed, and they know that; or it was lowered only after what they know.
#[test]
fn a_lowered_limit_is_known_or_found_out_within_bounds() {
    let lowered = Partner { lowered: vec![(6.0, 16.0, 0.5)], ..partner() };
    for age in [0.0, 4.0] {
        side_by_side(&format!("lowered, {age} s old"), &lowered, 120.0, 2, age);
    }
}

/// What was known is of a time before the outage, which has begun since; and of an outage that is over.
#[test]
fn what_was_learnt_of_another_time_does_a_partner_no_harm() {
    for (name, down) in [("begun since", (6.5, 12.0)), ("over since", (2.0, 5.5))] {
        let partner = Partner { down: vec![down], ..partner() };
        side_by_side(name, &partner, 120.0, 2, 4.0);
    }
}
