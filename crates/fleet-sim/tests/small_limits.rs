//! Many senders with little traffic each and partners with small limits, for several seeds. Each failure names its seed.

use fleet_sim::{LimitModel, Partner, Violations, World};

const SEEDS: [u64; 4] = [1, 2, 3, 4];

/// Returns partners with limits as in a realistic load: 4 to 38 calls per second, counted in fixed windows; and the message
/// rate of each, which is `load` times its limit.
fn partners(load: f64) -> (Vec<Partner>, Vec<f64>) {
    let limits = [38.0, 26.0, 22.0, 14.0, 12.0, 11.0, 10.0, 9.0, 8.0, 8.0, 7.0, 6.5, 5.5, 5.0, 5.0, 4.0];
    let partner = |(at, limit): (usize, &f64)| Partner {
        limit: *limit,
        limit_model: LimitModel::FixedWindow,
        window_seconds: if at % 2 == 0 { 2.0 } else { 1.0 },
        rejected_calls_use_limit: at % 4 == 0,
        max_batch: if at % 3 == 2 { 5 } else { 1 },
        report_interval: 0.4,
        call_seconds: 0.25,
        ..Partner::default()
    };
    (limits.iter().enumerate().map(partner).collect(), limits.iter().map(|limit| limit * load).collect())
}

/// Runs a case for each seed, asserts that no rule is violated, and returns the means of the share of messages delivered on
/// time and of the share of rejected calls.
fn means(run: impl Fn(u64) -> World) -> (f64, f64) {
    let worlds = SEEDS.map(|seed| {
        let world = run(seed);
        assert_eq!(world.violations, Violations::default(), "seed {seed}");
        let total = world.total();
        println!("seed {seed}: {:.3} on time, {:.3} rejected", total.on_time_share(), total.rejected_share());
        (total.on_time_share(), total.rejected_share())
    });
    let seeds = SEEDS.len() as f64;
    (worlds.iter().map(|w| w.0).sum::<f64>() / seeds, worlds.iter().map(|w| w.1).sum::<f64>() / seeds)
}

/// In a benchmark each of 48 senders kept to an equal share of a limit of 8 calls per second, which is one call in six seconds,
/// while 0.7 of the limit was unused.
#[test]
fn many_senders_with_little_traffic_use_the_limits() {
    let (on_time, rejected) = means(|seed| {
        let (partners, rates) = partners(0.6);
        let mut world = World::new(48, partners, seed);
        world.run_at(20.0, &rates);
        world
    });
    assert!(on_time >= 0.86, "{on_time:.3} on time");
    assert!(rejected <= 0.10, "{rejected:.3} rejected");
}

/// One sender in six has ten times the traffic of the others, and clients submit bursts for one partner to one sender.
#[test]
fn busy_senders_use_quota_left_by_idle_ones() {
    for (load, bursts, min_on_time) in [(0.45, 1, 0.80), (0.36, 3, 0.79), (0.6, 1, 0.745)] {
        let (on_time, rejected) = means(|seed| {
            let (partners, rates) = partners(load);
            let mut world = World::new(48, partners, seed);
            world.set_traffic(|sender| if sender % 6 == 0 { 5.0 } else { 0.5 });
            let mut rng = fastrand::Rng::with_seed(seed);
            for (partner, rate) in rates.iter().enumerate() {
                for _ in 0..bursts {
                    world.burst(partner, (rate * 2.0) as usize, rng.f64() * 18.0, 2.0);
                }
            }
            world.run_at(20.0, &rates);
            world
        });
        assert!(on_time >= min_on_time, "{on_time:.3} on time with {bursts} bursts");
        assert!(rejected <= 0.10, "{rejected:.3} rejected");
    }
}

/// The load on a dozen senders exceeds the limit in bursts. Their quota shares must grow back to it after each shortage.
#[test]
fn quota_shares_recover_after_a_shortage() {
    let (on_time, rejected) = means(|seed| {
        let partner = Partner {
            limit: 57.0,
            limit_model: LimitModel::FixedWindow,
            window_seconds: 1.5,
            ..Partner::default()
        };
        let mut world = World::new(12, vec![partner], seed);
        for period in 0..10 {
            world.run(2.5, 57.0 * 0.9 * if period % 2 == 0 { 0.7 } else { 1.5 });
        }
        world
    });
    assert!(on_time >= 0.78, "{on_time:.3} on time");
    assert!(rejected <= 0.15, "{rejected:.3} rejected");
}

/// After a rolling restart a few of the senders have all the traffic, and an equal share of the limit is too little for them.
#[test]
fn senders_with_traffic_use_the_limits_after_rolling_restart() {
    let (on_time, rejected) = means(|seed| {
        let (partners, rates) = partners(0.6);
        let mut world = World::new(48, partners, seed);
        world.run_at(6.0, &rates);
        world.rolling_restart(34, 3.0, 4);
        world.run_at(18.0, &rates);
        world
    });
    assert!(on_time >= 0.85, "{on_time:.3} on time");
    assert!(rejected <= 0.10, "{rejected:.3} rejected");
}
