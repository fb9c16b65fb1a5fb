//! The whole protocol on simulated faulty networks. The environment variable GOSSIP_SEED sets the first seed.

mod net;

use gossip::membership::State;
use gossip::{FailureKind, MemberIndex, Observation};
use net::{Calls, Conditions, LOSSLESS, Net, SECOND};

const DESTINATION: u16 = 7;

fn seeds(count: u64) -> std::ops::Range<u64> {
    let first = std::env::var("GOSSIP_SEED").ok().and_then(|seed| seed.parse().ok()).unwrap_or(1);
    println!("GOSSIP_SEED={first}");
    first..first + count
}

fn lossy(loss: f64) -> Conditions {
    Conditions { loss, duplication: 0.1, ..LOSSLESS }
}

/// How fast and at which cost an outage is disseminated.
struct Dissemination {
    /// Seconds from the start of the outage until half, 99% and all of the senders believe in it.
    times: [f64; 3],
    /// Bytes that each sender received.
    bytes: f64,
}

fn disseminate(senders: MemberIndex, broadcast: bool, loss: f64, seed: u64) -> Dissemination {
    let mut net = Net::new(senders, broadcast, seed);
    net.conditions = lossy(loss);
    net.run(2 * SECOND, |_| {});
    let (started, bytes_before) = (net.now, net.bytes);
    let mut calls = Calls::new(DESTINATION, 30.0 / f64::from(senders));
    let mut times = [f64::INFINITY; 3];
    for _ in 0..250 {
        net.run(20_000, |net| calls.tick(net, |_| true, 0.0, true));
        let share_believing = net.share_believing(DESTINATION);
        for (time, share) in times.iter_mut().zip([0.5, 0.99, 1.0]) {
            if share_believing >= share && time.is_infinite() {
                *time = (net.now - started) as f64 / SECOND as f64;
            }
        }
    }
    Dissemination { times, bytes: (net.bytes - bytes_before) as f64 / f64::from(senders) }
}

/// Two or three senders observe an outage; the others believe in it within the time of a few calls of the whole fleet.
#[test]
fn an_outage_that_few_senders_observe_is_disseminated_to_all() {
    for senders in [24, 100, 300] {
        for loss in [0.0, 0.2] {
            for seed in seeds(2) {
                let Dissemination { times, bytes } = disseminate(senders, true, loss, seed);
                println!("{senders} senders, {loss} lost, seed {seed}: {times:?} s, {bytes:.0} bytes each");
                assert!(times[0] < 0.5 && times[1] < 2.0, "{senders}, {loss}, seed {seed}: {times:?}");
                assert!(bytes < 1_800.0, "{senders}, {loss}, seed {seed}: {bytes}");
            }
        }
    }
}

#[test]
fn without_broadcast_updates_spread_by_fan_out() {
    for seed in seeds(2) {
        let Dissemination { times, bytes } = disseminate(100, false, 0.05, seed);
        println!("seed {seed}: {times:?} s, {bytes:.0} bytes each");
        assert!(times[0] < 1.0 && times[1] < 4.0, "seed {seed}: {times:?}");
    }
}

/// One sender's own network is faulty, so that it publishes evidence against every destination.
#[test]
fn evidence_of_one_faulty_sender_alone_is_not_believed() {
    for seed in seeds(4) {
        let mut net = Net::new(24, true, seed);
        let mut calls = Calls::new(DESTINATION, 2.0);
        net.run(10 * SECOND, |net| {
            calls.tick(net, |member| member == 3, 0.0, true);
            for destination in 20..40 {
                net.observe(3, destination, Observation::Failure(FailureKind::Unreachable, 9));
            }
            for destination in std::iter::once(DESTINATION).chain(20..40) {
                for member in (0..24).filter(|member| *member != 3) {
                    assert!(net.belief(member, destination).unhealthy.is_none(), "seed {seed}");
                }
            }
        });
    }
}

/// Failures of one call in a hundred make no outage, and an outage that has ended is cleared at all senders.
#[test]
fn an_ended_outage_is_cleared_at_all_senders_and_noise_makes_none() {
    for seed in seeds(3) {
        let mut net = Net::new(100, true, seed);
        net.conditions = lossy(0.05);
        let mut calls = Calls::new(DESTINATION, 0.3);
        let (mut believed, mut ticks) = (0.0, 0.0);
        net.run(30 * SECOND, |net| {
            calls.tick(net, |_| false, 0.01, true);
            (believed, ticks) = (believed + net.share_believing(DESTINATION), ticks + 1.0);
        });
        println!(
            "seed {seed}: senders believed in an outage because of noise for {:.4} of the time",
            believed / ticks
        );
        assert!(believed / ticks < 0.02, "seed {seed}: {}", believed / ticks);
        net.run(5 * SECOND, |net| calls.tick(net, |_| true, 0.0, true));
        assert!(net.share_believing(DESTINATION) > 0.95, "seed {seed}: {}", net.share_believing(DESTINATION));
        net.run(4 * SECOND, |net| calls.tick(net, |_| false, 0.0, true));
        assert!(
            net.share_believing(DESTINATION) < 0.02,
            "seed {seed}: {} still believe it",
            net.share_believing(DESTINATION)
        );
    }
}

/// An outage that no sender confirms again ends at all senders, even without calls.
#[test]
fn an_outage_that_is_not_confirmed_again_expires() {
    let mut net = Net::new(24, true, 1);
    for member in 0..3 {
        net.observe(member, DESTINATION, Observation::Failure(FailureKind::Silent, 4));
    }
    net.run(2 * SECOND, |_| {});
    assert!(net.share_believing(DESTINATION) > 0.9);
    net.run(9 * SECOND, |_| {});
    assert_eq!(net.share_believing(DESTINATION), 0.0);
}

/// The destination is unreachable for the senders of one zone only: those of the others do not back off for long.
#[test]
fn an_outage_in_one_zone_hardly_affects_the_others() {
    for seed in seeds(3) {
        let mut net = Net::new(30, true, seed);
        let mut calls = Calls::new(DESTINATION, 2.0);
        let is_unhealthy = |member: MemberIndex| member < 10;
        let (mut backing_off, mut ticks) = (0u32, 0u32);
        net.run(20 * SECOND, |net| {
            calls.tick(net, is_unhealthy, 0.0, true);
            backing_off += (10..30).map(|member| u32::from(calls.is_backing_off(net, member))).sum::<u32>();
            ticks += 20;
        });
        let share = f64::from(backing_off) / f64::from(ticks);
        println!("seed {seed}: backed off for {share:.3} of the time");
        assert!(share < 0.05, "seed {seed}: {share}");
    }
}

/// How much of a limit a fleet uses, at most.
struct QuotaUse {
    /// The largest share of the limit that was in use.
    max_in_use: f64,
    /// The largest quota of a sender with a high demand, in even shares.
    max_quota: f64,
}

/// Injects faults into a fleet that transfers quota.
fn quota_use(senders: MemberIndex, seed: u64, mut faults: impl FnMut(&mut Net, u64)) -> QuotaUse {
    let mut net = Net::new(senders, true, seed);
    net.conditions = Conditions { loss: 0.1, duplication: 0.2, min_latency: 4_000, max_latency: 300_000 };
    net.watched = vec![DESTINATION];
    net.run(5 * SECOND, |_| {});
    let (mut tick, mut max_quota) = (0, 0.0f64);
    net.run(40 * SECOND, |net| {
        tick += 1;
        faults(net, tick);
        for member in 0..senders {
            // A third of the senders have a high demand, the others a low one.
            let share = if member % 3 == 0 { 4.0 } else { 0.1 };
            net.with(member, |gossip, now| gossip.report_demand(DESTINATION, share, member % 3 == 0, now));
        }
        max_quota = max_quota.max(net.gossip(0).quota_share(DESTINATION, net.clock(0)));
    });
    QuotaUse { max_in_use: net.max_in_use, max_quota }
}

#[test]
fn the_quota_in_use_never_exceeds_the_limit() {
    for seed in seeds(4) {
        let QuotaUse { max_in_use, max_quota } = quota_use(12, seed, |_, _| {});
        assert!(max_in_use <= 1.0, "seed {seed}: {max_in_use} of the limit in use");
        assert!(
            max_quota > 1.3,
            "seed {seed}: a sender with a high demand has {max_quota} even shares at most"
        );
    }
}

#[test]
fn the_quota_in_use_never_exceeds_the_limit_under_partitions_pauses_and_kills() {
    for seed in seeds(6) {
        let QuotaUse { max_in_use, .. } = quota_use(12, seed, |net, tick| {
            let member = (tick * 7 % 12) as MemberIndex;
            match tick % 97 {
                0 => net.kill(member),
                20 => (0..12).for_each(|member| {
                    if net.rng.bool() {
                        net.start(member)
                    }
                }),
                40 => net.pause(member, 20 * SECOND),
                60 => net.cut = Box::new(|from, to| (from < 6) != (to < 6)),
                75 => net.cut = Box::new(|from, to| from == 2 || to == 5),
                90 => net.cut = Box::new(|_, _| false),
                _ => {}
            }
        });
        assert!(max_in_use <= 1.0, "seed {seed}: {max_in_use} of the limit in use");
    }
}

/// The fleet is partitioned into halves, each of which observes another outage; after healing all agree on both.
#[test]
fn partitioned_halves_agree_after_healing() {
    for seed in seeds(3) {
        let mut net = Net::new(24, true, seed);
        net.conditions = lossy(0.05);
        net.cut = Box::new(|from, to| (from < 12) != (to < 12));
        let (mut a, mut b) = (Calls::new(7, 4.0), Calls::new(8, 4.0));
        net.run(20 * SECOND, |net| {
            a.tick(net, |member| member < 12, 0.0, true);
            b.tick(net, |member| member >= 12, 0.0, true);
        });
        net.cut = Box::new(|_, _| false);
        // Both destinations are unhealthy for all now.
        net.run(3 * SECOND, |net| {
            a.tick(net, |_| true, 0.0, true);
            b.tick(net, |_| true, 0.0, true);
        });
        for destination in [7, 8] {
            assert!(
                net.share_believing(destination) > 0.95,
                "seed {seed}: {} believe in the outage of {destination}",
                net.share_believing(destination)
            );
        }
    }
}

/// A sender is stopped for twenty seconds, in which an outage ends. Neither the messages that wait for it nor those that it
/// sends afterwards spread the outage again.
#[test]
fn a_stopped_sender_spreads_no_stale_evidence() {
    let mut net = Net::new(12, true, 5);
    let mut calls = Calls::new(DESTINATION, 3.0);
    // All senders have received messages from one another, so that the usual delays are known.
    net.run(6 * SECOND, |net| calls.tick(net, |_| false, 0.02, true));
    for member in 0..3 {
        net.observe(member, DESTINATION, Observation::Failure(FailureKind::Silent, 5));
    }
    net.pause(5, 20 * SECOND);
    net.run(15 * SECOND, |net| calls.tick(net, |_| false, 0.0, true));
    assert_eq!(net.share_believing(DESTINATION), 0.0);
    net.run(6 * SECOND, |net| calls.tick(net, |_| false, 0.0, true));
    assert!(net.belief(5, DESTINATION).unhealthy.is_none());
}

/// Returns a fleet with continuous updates, so that all members ping one another.
fn active_fleet(senders: MemberIndex, seed: u64, loss: f64) -> Net {
    let mut net = Net::new(senders, true, seed);
    net.conditions = lossy(loss);
    net.run(5 * SECOND, observe_random_limit);
    net
}

/// Occasionally observes a limit of a destination that the test does not use, as an update.
fn observe_random_limit(net: &mut Net) {
    let member = net.rng.u16(0..net.senders());
    if net.rng.u8(..50) == 0 {
        let rate = 10.0 + f32::from(net.rng.u8(..100));
        net.with(member, |gossip, now| gossip.observe_limit(99, rate, now));
    }
}

#[test]
fn a_killed_member_is_gone_within_the_bound_and_no_other_is() {
    for seed in seeds(2) {
        let mut net = active_fleet(24, seed, 0.2);
        net.kill(4);
        net.run(60 * SECOND, observe_random_limit);
        for member in (0..24).filter(|member| *member != 4) {
            let membership = net.gossip(member).membership();
            assert_eq!(membership.state(4), State::Gone, "seed {seed}: at {member}");
            let wrongly_gone: Vec<_> =
                membership.unavailable().filter(|m| m.member != 4 && m.state == State::Gone).collect();
            assert!(wrongly_gone.is_empty(), "seed {seed}: {member} considers {wrongly_gone:?} gone");
        }
        // It is restarted with an incarnation that is not higher.
        net.start(4);
        net.run(20 * SECOND, observe_random_limit);
        let alive =
            (0..24).filter(|member| net.gossip(*member).membership().state(4) == State::Alive).count();
        assert!(alive >= 22, "seed {seed}: {alive} of 24 consider it alive");
    }
}

/// A member that is cut off in both directions, or that receives nothing, considers itself isolated and not the others gone.
#[test]
fn an_isolated_member_considers_itself_isolated_and_not_the_others_gone() {
    for one_way in [false, true] {
        let mut net = active_fleet(12, 3, 0.0);
        net.cut = Box::new(move |from, to| to == 5 || (!one_way && from == 5));
        // An update makes it ping others.
        net.with(5, |gossip, now| gossip.observe_wait(98, now + 5 * SECOND, now));
        net.run(15 * SECOND, observe_random_limit);
        assert!(net.gossip(5).is_isolated(net.clock(5)));
        let gone = net.gossip(5).membership().unavailable().filter(|m| m.state == State::Gone).count();
        assert!(gone <= 1, "one way {one_way}: it considers {gone} gone");
        assert!(!net.gossip(6).is_isolated(net.clock(6)));
        net.cut = Box::new(|_, _| false);
        net.run(5 * SECOND, observe_random_limit);
        assert!(!net.gossip(5).is_isolated(net.clock(5)));
    }
}

#[test]
fn a_new_process_is_synchronized_within_a_second() {
    for seed in seeds(3) {
        let mut net = Net::new(50, true, seed);
        for member in 0..4 {
            net.observe(member, DESTINATION, Observation::Failure(FailureKind::Unreachable, 4));
        }
        net.run(SECOND, |_| {});
        net.kill(30);
        net.run(SECOND / 2, |_| {});
        net.start(30);
        net.run(SECOND, |_| {});
        assert!(net.belief(30, DESTINATION).unhealthy.is_some(), "seed {seed}");
    }
}

/// Senders send no messages unless there are updates.
#[test]
fn a_fleet_without_updates_sends_no_messages() {
    let mut net = Net::new(50, true, 1);
    let mut calls = Calls::new(DESTINATION, 1.0);
    net.run(5 * SECOND, |net| calls.tick(net, |_| false, 0.0, true));
    let before = net.messages;
    net.run(60 * SECOND, |net| calls.tick(net, |_| false, 0.0, true));
    assert_eq!(net.messages, before);
}

/// Messages with a flipped bit and random bytes are rejected without a panic.
#[test]
fn damaged_messages_are_rejected() {
    let mut rng = fastrand::Rng::with_seed(9);
    let mut net = Net::new(4, true, 2);
    let valid = {
        let mut writer = gossip::message::Writer::new(1, net.clock(0));
        let failure = gossip::evidence::Failure {
            number: 1 << 32,
            at: net.clock(0),
            kind: FailureKind::Silent,
            calls: 3,
        };
        assert!(writer.add(&gossip::message::Part::Evidence(
            DESTINATION,
            gossip::evidence::Evidence::Failure(0, failure)
        )));
        writer.finish()
    };
    for _ in 0..20_000 {
        let mut message = valid.clone();
        let at = rng.usize(..message.len());
        message[at] ^= 1 << rng.u8(..8);
        assert!(net.with(1, |gossip, now| gossip.receive(0, &message, now)).is_err());
        let random_bytes: Vec<u8> = (0..rng.usize(..300)).map(|_| rng.u8(..)).collect();
        assert!(net.with(1, |gossip, now| gossip.receive(0, &random_bytes, now)).is_err());
    }
    assert!(net.with(1, |gossip, now| gossip.receive(0, &valid, now)).is_ok());
    assert!(net.with(1, |gossip, now| gossip.receive(9, &valid, now)).is_err(), "not a member");
}
