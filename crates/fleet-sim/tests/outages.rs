//! Outages and releases, as a hundred senders make them worse together. Several seeds; each failure names its own.

use fleet_sim::{Count, Partner, Verdicts, World};

const SEEDS: [u64; 4] = [1, 2, 3, 4];

/// A hundred senders, and a partner that takes five messages in a call and is down for five seconds.
fn outage(seed: u64) -> World {
    let partner =
        Partner { limit: 65.0, max_batch: 5, capacity: 80.0, down: vec![(6.0, 11.0)], ..Partner::default() };
    let mut world = World::new(100, vec![partner], seed);
    world.run(25.0, 150.0);
    assert_eq!(world.verdicts, Verdicts::default(), "seed {seed}");
    world
}

/// Found on the bench: 301 calls in the first second of an outage, since a failed connection gave its credit back and each of
/// a hundred senders made its five failures at once.
#[test]
fn the_first_second_of_an_outage_costs_few_calls() {
    for seed in SEEDS {
        let world = outage(seed);
        let seconds = &world.partners[0].seconds;
        assert!(seconds[6].failed <= 80, "seed {seed}: {:?}", seconds[6]);
        let all: u32 = seconds[6..11].iter().map(|second| second.failed).sum();
        assert!(all <= 330, "seed {seed}: {all} failed calls in five seconds");
    }
}

/// Where few senders carry much, it is their breakers that hold what comes for a partner that is down.
#[test]
fn few_senders_hold_what_comes_in_an_outage() {
    for seed in SEEDS {
        let mut world = World::new(2, vec![Partner { down: vec![(6.0, 11.0)], ..Partner::default() }], seed);
        world.run(15.0, 40.0);
        let failed = world.total().failed;
        assert!(failed <= 24, "seed {seed}: {failed} failed calls in five seconds");
        assert_eq!(world.verdicts, Verdicts::default(), "seed {seed}");
    }
}

/// A partner that comes back cold gets no more than it bears, from all senders together, and is used all the same.
#[test]
fn a_partner_that_is_back_is_not_pushed_over() {
    for seed in SEEDS {
        let world = outage(seed);
        let partner = &world.partners[0];
        assert!(partner.overload <= 1.0, "seed {seed}: {:.2} of what it bears", partner.overload);
        let back: Count = partner.seconds[13..23].iter().copied().sum();
        assert!(back.delivered >= 1_300, "seed {seed}: {back:?}");
    }
}

/// 92 of 100 senders are killed within two seconds. A third of them get messages again at once, the others none.
#[test]
fn a_release_costs_no_message_and_little_time() {
    for (kept, least) in [(1, 0.88), (3, 0.83)] {
        for seed in SEEDS {
            let partner = Partner { limit: 57.0, max_batch: 5, ..Partner::default() };
            let mut world = World::new(100, vec![partner], seed);
            world.run(6.0, 140.0);
            world.release(92, 2.0, kept);
            world.run(14.0, 140.0);
            let count = world.partners[0].count;
            assert_eq!(world.verdicts, Verdicts::default(), "seed {seed}");
            assert!(count.part_in_time() >= least, "seed {seed}: {:.3} in time", count.part_in_time());
            assert!(count.part_refused() <= 0.16, "seed {seed}: {:.3} refused", count.part_refused());
        }
    }
}

/// The same where the partner is down meanwhile: those that come back know nothing of the outage.
#[test]
fn a_release_into_an_outage_does_not_push_the_partner_over() {
    for seed in SEEDS {
        let partner = Partner {
            limit: 57.0,
            max_batch: 5,
            capacity: 90.0,
            down: vec![(6.0, 11.0)],
            ..Partner::default()
        };
        let mut world = World::new(100, vec![partner], seed);
        world.run(8.0, 120.0);
        world.release(92, 2.0, 2);
        world.run(16.0, 120.0);
        let partner = &world.partners[0];
        assert_eq!(world.verdicts, Verdicts::default(), "seed {seed}");
        assert!(partner.overload <= 1.0, "seed {seed}: {:.2} of what it bears", partner.overload);
    }
}
