//! Many senders with little each, and partners with small limits. Several seeds; each failure names its own.

use fleet_sim::{LimitModel, Partner, Verdicts, World};

const SEEDS: [u64; 4] = [1, 2, 3, 4];

/// Partners as the days of service have them: limits of 4 to 38 calls a second, counted in spans; and what is asked of each,
/// as a part of its limit.
fn partners(asked: f64) -> (Vec<Partner>, Vec<f64>) {
    let limits = [38.0, 26.0, 22.0, 14.0, 12.0, 11.0, 10.0, 9.0, 8.0, 8.0, 7.0, 6.5, 5.5, 5.0, 5.0, 4.0];
    let one = |(at, limit): (usize, &f64)| Partner {
        limit: *limit,
        limit_model: LimitModel::FixedWindow,
        depth: if at % 2 == 0 { 2.0 } else { 1.0 },
        refused_count: at % 4 == 0,
        max_batch: if at % 3 == 2 { 5 } else { 1 },
        reports_every: 0.4,
        call_seconds: 0.25,
        ..Partner::default()
    };
    (limits.iter().enumerate().map(one).collect(), limits.iter().map(|limit| limit * asked).collect())
}

/// Plays a case at each seed: means of the part in time and of the part refused. No rule is broken at any.
fn means(play: impl Fn(u64) -> World) -> (f64, f64) {
    let worlds = SEEDS.map(|seed| {
        let world = play(seed);
        assert_eq!(world.verdicts, Verdicts::default(), "seed {seed}");
        let total = world.total();
        println!("seed {seed}: {:.3} in time, {:.3} refused", total.part_in_time(), total.part_refused());
        (total.part_in_time(), total.part_refused())
    });
    let seeds = SEEDS.len() as f64;
    (worlds.iter().map(|w| w.0).sum::<f64>() / seeds, worlds.iter().map(|w| w.1).sum::<f64>() / seeds)
}

/// Found on the bench: of a limit of 8 calls a second each of 48 senders kept to a call in six seconds, while 0.7 of the limit
/// were left.
#[test]
fn many_senders_with_little_each_use_what_is_there() {
    let (in_time, refused) = means(|seed| {
        let (partners, rates) = partners(0.6);
        let mut world = World::new(48, partners, seed);
        world.run_at(20.0, &rates);
        world
    });
    assert!(in_time >= 0.86, "{in_time:.3} in time");
    assert!(refused <= 0.10, "{refused:.3} refused");
}

/// Some senders carry ten times what the others do, and clients hand in clumps for one partner at one sender.
#[test]
fn a_busy_sender_uses_what_idle_ones_leave() {
    for (asked, clumps, least) in [(0.45, 1, 0.80), (0.36, 3, 0.79), (0.6, 1, 0.745)] {
        let (in_time, refused) = means(|seed| {
            let (partners, rates) = partners(asked);
            let mut world = World::new(48, partners, seed);
            world.traffic(|sender| if sender % 6 == 0 { 5.0 } else { 0.5 });
            let mut rng = fastrand::Rng::with_seed(seed);
            for (partner, rate) in rates.iter().enumerate() {
                for _ in 0..clumps {
                    world.clump(partner, (rate * 2.0) as usize, rng.f64() * 18.0, 2.0);
                }
            }
            world.run_at(20.0, &rates);
            world
        });
        assert!(in_time >= least, "{in_time:.3} in time with {clumps} clumps");
        assert!(refused <= 0.10, "{refused:.3} refused");
    }
}

/// A dozen senders share a limit that is asked for in clumps beyond it: their parts find back to it after each shortage.
#[test]
fn parts_grow_back_after_a_shortage() {
    let (in_time, refused) = means(|seed| {
        let partner =
            Partner { limit: 57.0, limit_model: LimitModel::FixedWindow, depth: 1.5, ..Partner::default() };
        let mut world = World::new(12, vec![partner], seed);
        for stretch in 0..10 {
            world.run(2.5, 57.0 * 0.9 * if stretch % 2 == 0 { 0.7 } else { 1.5 });
        }
        world
    });
    assert!(in_time >= 0.78, "{in_time:.3} in time");
    assert!(refused <= 0.15, "{refused:.3} refused");
}

/// After a release few of the senders hold all the work: an even part is too little for them.
#[test]
fn after_a_release_those_that_hold_the_work_use_the_limits() {
    let (in_time, refused) = means(|seed| {
        let (partners, rates) = partners(0.6);
        let mut world = World::new(48, partners, seed);
        world.run_at(6.0, &rates);
        world.release(34, 3.0, 4);
        world.run_at(18.0, &rates);
        world
    });
    assert!(in_time >= 0.85, "{in_time:.3} in time");
    assert!(refused <= 0.10, "{refused:.3} refused");
}
