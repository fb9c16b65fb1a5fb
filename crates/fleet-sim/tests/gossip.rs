//! Compares 300 senders with little traffic each, with and without gossip.

use fleet_sim::{Counts, GossipOptions, Partner, Violations, World};

const SENDERS: usize = 300;

/// Runs a case, and returns the counts and the overload of its partner, and the bytes of gossip that a sender received per second.
fn run(
    partner: &Partner,
    rate: f64,
    seconds: f64,
    seed: u64,
    gossip: Option<GossipOptions>,
) -> (Counts, f64, f64) {
    let mut world = World::with_gossip(SENDERS, vec![partner.clone(), Partner::default()], seed, gossip);
    world.set_traffic(|sender| if sender % 10 == 0 { 10.0 } else { 1.0 });
    world.run_at(seconds, &[rate, 40.0]);
    assert_eq!(world.violations, Violations::default(), "seed {seed}");
    let overload = world.partners[0].overload;
    let bytes = world.gossip_bytes as f64 / SENDERS as f64 / seconds;
    (world.partners[0].count, overload, bytes)
}

/// Runs a case for each seed without and with gossip, and returns the sums of the counts without and with it.
fn compare(name: &str, partner: &Partner, rate: f64, seconds: f64, gossip: GossipOptions) -> [Counts; 2] {
    let mut sums = [Counts::default(); 2];
    for seed in 1..3 {
        for (gossip, sum) in [None, Some(gossip)].into_iter().zip(&mut sums) {
            let (count, overload, bytes) = run(partner, rate, seconds, seed, gossip);
            println!(
                "{name}, seed {seed}, {}: {:.3} on time, {} calls, {} failed, {} rejected, overload {overload:.2}, \
                 {bytes:.0} bytes per second and sender",
                if gossip.is_some() { "with" } else { "without" },
                count.on_time_share(),
                count.calls,
                count.failed,
                count.refused
            );
            assert!(overload <= 1.0, "{name}, seed {seed}: {overload}");
            assert!(bytes < 400.0, "{name}, seed {seed}: {bytes}");
            *sum = [*sum, count].into_iter().sum();
        }
    }
    println!("{name}: {:.3} without, {:.3} with", sums[0].on_time_share(), sums[1].on_time_share());
    sums
}

const LOSSLESS: GossipOptions = GossipOptions { loss_rate: 0.0, quota_transfer: false };

/// All senders learn of an outage from the calls of a few, so that about a third as many calls fail. The cost in time is given
/// in `docs/gossip.md`: all senders are in slow start then, and those with few messages wait longer for a call in the ramp.
#[test]
fn outage_fails_fewer_calls_with_gossip() {
    let partner = Partner { limit: 60.0, capacity: 90.0, outages: vec![(4.0, 9.0)], ..Partner::default() };
    let [without, with] =
        compare("outage", &partner, 45.0, 15.0, GossipOptions { loss_rate: 0.2, ..LOSSLESS });
    assert!(2 * with.failed < without.failed, "{} and {} failed calls", with.failed, without.failed);
    assert!(with.on_time_share() > without.on_time_share() - 0.15);
}

/// All senders learn of a lowered limit from the first load report that has it.
#[test]
fn lowered_limit_is_known_to_all_senders() {
    let partner = Partner { limit: 60.0, limit_reductions: vec![(4.0, 12.0, 0.4)], ..Partner::default() };
    let [without, with] = compare("lowered limit", &partner, 45.0, 15.0, LOSSLESS);
    assert!(with.refused <= without.refused, "{} and {} rejected calls", with.refused, without.refused);
    assert!(with.on_time_share() > without.on_time_share() - 0.02);
}

/// With gossip switched on but every message lost, results are no worse than without it.
#[test]
fn senders_without_incoming_gossip_are_no_worse() {
    let partner = Partner { limit: 60.0, capacity: 90.0, outages: vec![(4.0, 9.0)], ..Partner::default() };
    let [without, with] = compare(
        "all gossip lost",
        &partner,
        45.0,
        15.0,
        GossipOptions { loss_rate: 1.0, quota_transfer: true },
    );
    assert!(with.on_time_share() > without.on_time_share() - 0.01);
    assert!(with.failed <= without.failed + without.failed / 20);
}

/// A healthy partner with little spare capacity.
#[test]
fn healthy_partner_is_served_as_well_as_without_gossip() {
    let healthy = Partner { limit: 60.0, ..Partner::default() };
    let [without, with] =
        compare("healthy", &healthy, 50.0, 12.0, GossipOptions { loss_rate: 0.05, ..LOSSLESS });
    assert!(with.on_time_share() > without.on_time_share() - 0.02);
}
