//! The whole fleet in small: 300 senders, 30 partners, the page's days as far as this world has them, and the gate's conditions
//! as the judge. Each failure names its seed.

use fleet_sim::{Count, Partner, Verdicts, World};

const SENDERS: usize = 300;
/// What is asked of a partner, as a part of its limit.
const ASKED: f64 = 0.7;

/// Partners with limits of 10 to 80 calls a second, a third of which take five messages in a call; and what is asked of each.
fn partners(change: impl Fn(usize, &mut Partner)) -> (Vec<Partner>, Vec<f64>) {
    let one = |at: usize| {
        let limit = 80.0 / (1.0 + at as f64 * 0.25);
        let bundle = if at % 3 == 2 { 5 } else { 1 };
        let capacity = limit * 1.6;
        let mut partner = Partner {
            limit,
            max_batch: bundle,
            capacity,
            refused_count: at.is_multiple_of(2),
            ..Partner::default()
        };
        change(at, &mut partner);
        (partner, limit * ASKED)
    };
    (0..30).map(one).unzip()
}

/// One sender in ten has ten times the traffic of the others.
fn world(partners: Vec<Partner>, seed: u64) -> World {
    let mut world = World::new(SENDERS, partners, seed);
    world.traffic(|sender| if sender % 10 == 0 { 10.0 } else { 1.0 });
    world
}

/// The gate: no rule is broken, nobody is pushed over, and so much of what was asked for is served.
fn judge(world: &World, seed: u64, least: f64, refused: f64) -> Count {
    assert_eq!(world.verdicts, Verdicts::default(), "seed {seed}");
    for (at, partner) in world.partners.iter().enumerate() {
        assert!(
            partner.overload <= 1.0,
            "seed {seed}: partner {at} got {:.2} of what it bears",
            partner.overload
        );
    }
    let total = world.total();
    let (in_time, part_refused) = (total.part_in_time(), total.part_refused());
    println!(
        "seed {seed}: {in_time:.3} in time, {part_refused:.3} refused, {} failed, {} calls",
        total.failed, total.calls
    );
    assert!(in_time >= least, "seed {seed}: {in_time:.3} in time");
    assert!(part_refused <= refused, "seed {seed}: {part_refused:.3} refused");
    total
}

#[test]
fn calm() {
    for seed in 1..2 {
        let (partners, rates) = partners(|_, _| {});
        let mut world = world(partners, seed);
        world.run_at(15.0, &rates);
        judge(&world, seed, 0.86, 0.05);
    }
}

/// Seven in ten are killed within two seconds, three in ten again near the end, and destinations lower their limits.
#[test]
fn herd() {
    for seed in 1..2 {
        let (partners, rates) = partners(|at, partner| {
            if at.is_multiple_of(3) {
                partner.lowered = vec![(8.0, 14.0, 0.6)];
            }
        });
        let mut world = world(partners, seed);
        world.run_at(5.0, &rates);
        world.release(SENDERS * 7 / 10, 2.0, 3);
        world.run_at(10.0, &rates);
        world.release(SENDERS * 3 / 10, 1.0, 1);
        world.run_at(5.0, &rates);
        judge(&world, seed, 0.72, 0.12);
    }
}

/// Four in ten partners are down for some seconds, and come back cold.
#[test]
fn zone() {
    for seed in 1..2 {
        let (partners, rates) = partners(|at, partner| {
            if at % 5 < 2 {
                partner.down = vec![(5.0, 10.0)];
            }
        });
        let mut world = world(partners, seed);
        world.run_at(22.0, &rates);
        let total = judge(&world, seed, 0.6, 0.08);
        assert!(total.failed <= 4_500, "seed {seed}: {} failed calls", total.failed);
    }
}

/// Limits are lowered by half at two in five.
#[test]
fn join() {
    for seed in 1..2 {
        let (partners, rates) = partners(|at, partner| {
            if at % 5 < 2 {
                partner.lowered = vec![(5.0, 14.0, 0.5)];
            }
        });
        let mut world = world(partners, seed);
        world.run_at(18.0, &rates);
        judge(&world, seed, 0.7, 0.12);
    }
}
