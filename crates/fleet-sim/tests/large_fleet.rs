//! A scaled-down model of the whole fleet: 300 senders and 30 partners in the scenarios of the acceptance gate, as far as the
//! simulation models them, checked against the gate's conditions. Each failure names its seed.

use fleet_sim::{Counts, Partner, Violations, World};

const SENDERS: usize = 300;
/// The load of a partner, as a share of its limit.
const LOAD: f64 = 0.7;

/// Returns partners with limits of 10 to 80 calls per second, a third of which accept five messages per call, and the
/// message rate of each.
fn partners(change: impl Fn(usize, &mut Partner)) -> (Vec<Partner>, Vec<f64>) {
    let partner = |at: usize| {
        let limit = 80.0 / (1.0 + at as f64 * 0.25);
        let max_batch = if at % 3 == 2 { 5 } else { 1 };
        let capacity = limit * 1.6;
        let mut partner = Partner {
            limit,
            max_batch,
            capacity,
            rejected_calls_use_limit: at.is_multiple_of(2),
            ..Partner::default()
        };
        change(at, &mut partner);
        (partner, limit * LOAD)
    };
    (0..30).map(partner).unzip()
}

/// Creates a fleet in which one sender in ten has ten times the traffic of the others.
fn world(partners: Vec<Partner>, seed: u64) -> World {
    let mut world = World::new(SENDERS, partners, seed);
    world.set_traffic(|sender| if sender % 10 == 0 { 10.0 } else { 1.0 });
    world
}

/// Checks the gate's conditions: no rule is violated, no partner is overloaded, and the shares of messages delivered on time
/// and of rejected calls are within bounds.
fn check(world: &World, seed: u64, min_on_time: f64, max_rejected: f64) -> Counts {
    assert_eq!(world.violations, Violations::default(), "seed {seed}");
    for (at, partner) in world.partners.iter().enumerate() {
        assert!(
            partner.overload <= 1.0,
            "seed {seed}: partner {at} got {:.2} of the load it can bear",
            partner.overload
        );
    }
    let total = world.total();
    let (on_time, rejected) = (total.on_time_share(), total.rejected_share());
    println!(
        "seed {seed}: {on_time:.3} on time, {rejected:.3} rejected, {} failed, {} calls",
        total.failed, total.calls
    );
    assert!(on_time >= min_on_time, "seed {seed}: {on_time:.3} on time");
    assert!(rejected <= max_rejected, "seed {seed}: {rejected:.3} rejected");
    total
}

/// The scenario "calm": no faults.
#[test]
fn steady_load() {
    for seed in 1..2 {
        let (partners, rates) = partners(|_, _| {});
        let mut world = world(partners, seed);
        world.run_at(15.0, &rates);
        check(&world, seed, 0.86, 0.05);
    }
}

/// The scenario "herd": seven in ten senders are killed within two seconds, three in ten again near the end, and some partners
/// lower their limits.
#[test]
fn rolling_restarts_with_lowered_limits() {
    for seed in 1..2 {
        let (partners, rates) = partners(|at, partner| {
            if at.is_multiple_of(3) {
                partner.limit_reductions = vec![(8.0, 14.0, 0.6)];
            }
        });
        let mut world = world(partners, seed);
        world.run_at(5.0, &rates);
        world.rolling_restart(SENDERS * 7 / 10, 2.0, 3);
        world.run_at(10.0, &rates);
        world.rolling_restart(SENDERS * 3 / 10, 1.0, 1);
        world.run_at(5.0, &rates);
        check(&world, seed, 0.72, 0.12);
    }
}

/// The scenario "zone": two in five partners are down for some seconds and recover with a slow start.
#[test]
fn outage_of_two_in_five_partners() {
    for seed in 1..2 {
        let (partners, rates) = partners(|at, partner| {
            if at % 5 < 2 {
                partner.outages = vec![(5.0, 10.0)];
            }
        });
        let mut world = world(partners, seed);
        world.run_at(22.0, &rates);
        let total = check(&world, seed, 0.6, 0.08);
        assert!(total.failed <= 4_500, "seed {seed}: {} failed calls", total.failed);
    }
}

/// The scenario "join": two in five partners lower their limits by half.
#[test]
fn lowered_limits_at_two_in_five_partners() {
    for seed in 1..2 {
        let (partners, rates) = partners(|at, partner| {
            if at % 5 < 2 {
                partner.limit_reductions = vec![(5.0, 14.0, 0.5)];
            }
        });
        let mut world = world(partners, seed);
        world.run_at(18.0, &rates);
        check(&world, seed, 0.7, 0.12);
    }
}
