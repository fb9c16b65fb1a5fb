//! Senders that share, beside the same senders that don't: 300 of them, with little each.

use fleet_sim::{Count, GossipFaults, Partner, Verdicts, World};

const SENDERS: usize = 300;

fn run(
    partner: &Partner,
    rate: f64,
    seconds: f64,
    seed: u64,
    notes: Option<GossipFaults>,
) -> (Count, f64, f64) {
    let mut world = World::with_notes(SENDERS, vec![partner.clone(), Partner::default()], seed, notes);
    world.traffic(|sender| if sender % 10 == 0 { 10.0 } else { 1.0 });
    world.run_at(seconds, &[rate, 40.0]);
    assert_eq!(world.verdicts, Verdicts::default(), "seed {seed}");
    let pushed = world.partners[0].overload;
    let bytes = world.bytes as f64 / SENDERS as f64 / seconds;
    (world.partners[0].count, pushed, bytes)
}

/// Sums over seeds, without notes, and with them.
fn side_by_side(name: &str, partner: &Partner, rate: f64, seconds: f64, notes: GossipFaults) -> [Count; 2] {
    let mut sums = [Count::default(); 2];
    for seed in 1..3 {
        for (notes, sum) in [None, Some(notes)].into_iter().zip(&mut sums) {
            let (count, pushed, bytes) = run(partner, rate, seconds, seed, notes);
            println!(
                "{name}, seed {seed}, {}: {:.3} in time, {} calls, {} failed, {} refused, pushed {pushed:.2}, \
                 {bytes:.0} bytes a second each",
                if notes.is_some() { "with" } else { "without" },
                count.part_in_time(),
                count.calls,
                count.failed,
                count.refused
            );
            assert!(pushed <= 1.0, "{name}, seed {seed}: {pushed}");
            assert!(bytes < 400.0, "{name}, seed {seed}: {bytes}");
            *sum = [*sum, count].into_iter().sum();
        }
    }
    println!("{name}: {:.3} without, {:.3} with", sums[0].part_in_time(), sums[1].part_in_time());
    sums
}

const FAIR: GossipFaults = GossipFaults { lost: 0.0, quota_transfer: false };

/// An outage is known to all from the calls of a few: a third of the calls fail. What it costs in time is in
/// `docs/gossip.md`: all are cold then, and those with little to send wait for their turn in the ramp.
#[test]
fn an_outage_costs_few_calls_where_senders_share() {
    let partner = Partner { limit: 60.0, capacity: 90.0, down: vec![(4.0, 9.0)], ..Partner::default() };
    let [without, with] = side_by_side("outage", &partner, 45.0, 15.0, GossipFaults { lost: 0.2, ..FAIR });
    assert!(2 * with.failed < without.failed, "{} and {} failed calls", with.failed, without.failed);
    assert!(with.part_in_time() > without.part_in_time() - 0.15);
}

/// A limit that is lowered is known to all from the first report.
#[test]
fn a_lowered_limit_is_known_to_all() {
    let partner = Partner { limit: 60.0, lowered: vec![(4.0, 12.0, 0.4)], ..Partner::default() };
    let [without, with] = side_by_side("lowered", &partner, 45.0, 15.0, FAIR);
    assert!(with.refused <= without.refused, "{} and {} refused calls", with.refused, without.refused);
    assert!(with.part_in_time() > without.part_in_time() - 0.02);
}

/// No note arrives: nothing is the worse for it.
#[test]
fn senders_that_hear_nobody_are_no_worse() {
    let partner = Partner { limit: 60.0, capacity: 90.0, down: vec![(4.0, 9.0)], ..Partner::default() };
    let [without, with] =
        side_by_side("all lost", &partner, 45.0, 15.0, GossipFaults { lost: 1.0, quota_transfer: true });
    assert!(with.part_in_time() > without.part_in_time() - 0.01);
    assert!(with.failed <= without.failed + without.failed / 20);
}

/// A well partner with little left over.
#[test]
fn a_well_partner_is_served_as_before() {
    let well = Partner { limit: 60.0, ..Partner::default() };
    let [without, with] = side_by_side("well", &well, 50.0, 12.0, GossipFaults { lost: 0.05, ..FAIR });
    assert!(with.part_in_time() > without.part_in_time() - 0.02);
}
