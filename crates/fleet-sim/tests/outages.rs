//! Outages and rolling restarts with a hundred senders, whose combined calls can make them worse, for several seeds. Each
//! failure names its seed.

use fleet_sim::{Counts, Partner, Violations, World};

const SEEDS: [u64; 4] = [1, 2, 3, 4];

/// Runs a hundred senders with a partner that accepts five messages per call and is down for five seconds.
fn outage(seed: u64) -> World {
    let partner = Partner {
        limit: 65.0,
        max_batch: 5,
        capacity: 80.0,
        outages: vec![(6.0, 11.0)],
        ..Partner::default()
    };
    let mut world = World::new(100, vec![partner], seed);
    world.run(25.0, 150.0);
    assert_eq!(world.violations, Violations::default(), "seed {seed}");
    world
}

/// In a benchmark 301 calls were made in the first second of an outage: a failed connection returned its rate-limit credit, so
/// each of a hundred senders made the five failed calls that open its breaker at once.
#[test]
fn few_calls_fail_in_first_second_of_outage() {
    for seed in SEEDS {
        let world = outage(seed);
        let seconds = &world.partners[0].seconds;
        assert!(seconds[6].failed <= 80, "seed {seed}: {:?}", seconds[6]);
        let total: u32 = seconds[6..11].iter().map(|second| second.failed).sum();
        assert!(total <= 330, "seed {seed}: {total} failed calls in five seconds");
    }
}

/// With few senders that have much traffic each, their breakers stop the calls to a partner that is down.
#[test]
fn few_calls_fail_in_outage_with_two_senders() {
    for seed in SEEDS {
        let mut world =
            World::new(2, vec![Partner { outages: vec![(6.0, 11.0)], ..Partner::default() }], seed);
        world.run(15.0, 40.0);
        let failed = world.total().failed;
        assert!(failed <= 24, "seed {seed}: {failed} failed calls in five seconds");
        assert_eq!(world.violations, Violations::default(), "seed {seed}");
    }
}

/// During its slow start after an outage a partner gets no more calls than it can bear from all senders together, but its
/// capacity is used.
#[test]
fn recovered_partner_is_not_overloaded() {
    for seed in SEEDS {
        let world = outage(seed);
        let partner = &world.partners[0];
        assert!(partner.overload <= 1.0, "seed {seed}: {:.2} of the load it can bear", partner.overload);
        let after_outage: Counts = partner.seconds[13..23].iter().copied().sum();
        assert!(after_outage.delivered >= 1_300, "seed {seed}: {after_outage:?}");
    }
}

/// 92 of 100 senders are killed within two seconds. All of them, or a third of them, get messages again at once.
#[test]
fn rolling_restart_loses_no_message_and_little_time() {
    for (with_traffic, min_on_time) in [(1, 0.88), (3, 0.83)] {
        for seed in SEEDS {
            let partner = Partner { limit: 57.0, max_batch: 5, ..Partner::default() };
            let mut world = World::new(100, vec![partner], seed);
            world.run(6.0, 140.0);
            world.rolling_restart(92, 2.0, with_traffic);
            world.run(14.0, 140.0);
            let count = world.partners[0].count;
            assert_eq!(world.violations, Violations::default(), "seed {seed}");
            assert!(
                count.on_time_share() >= min_on_time,
                "seed {seed}: {:.3} on time",
                count.on_time_share()
            );
            assert!(count.rejected_share() <= 0.16, "seed {seed}: {:.3} rejected", count.rejected_share());
        }
    }
}

/// 92 of 100 senders are killed within two seconds while the partner is down. Without snapshots the restarted senders know
/// nothing of the outage.
#[test]
fn rolling_restart_during_outage_does_not_overload_the_partner() {
    for seed in SEEDS {
        let partner = Partner {
            limit: 57.0,
            max_batch: 5,
            capacity: 90.0,
            outages: vec![(6.0, 11.0)],
            ..Partner::default()
        };
        let mut world = World::new(100, vec![partner], seed);
        world.run(8.0, 120.0);
        world.rolling_restart(92, 2.0, 2);
        world.run(16.0, 120.0);
        let partner = &world.partners[0];
        assert_eq!(world.violations, Violations::default(), "seed {seed}");
        assert!(partner.overload <= 1.0, "seed {seed}: {:.2} of the load it can bear", partner.overload);
    }
}
