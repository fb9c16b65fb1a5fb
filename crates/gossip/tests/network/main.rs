//! The whole of what senders share, on networks that fail. SHARED_SEED gives other runs.

mod net;

use gossip::view::State;
use gossip::{FailureKind, MemberIndex, Observation};
use net::{Calls, FAIR, Net, SECOND, Weather};

const DEST: u16 = 7;

fn seeds(count: u64) -> std::ops::Range<u64> {
    let first = std::env::var("SHARED_SEED").ok().and_then(|seed| seed.parse().ok()).unwrap_or(1);
    println!("SHARED_SEED={first}");
    first..first + count
}

fn lossy(loss: f64) -> Weather {
    Weather { loss, doubles: 0.1, ..FAIR }
}

/// Seconds from the first failure until so many know; and bytes for each sender.
fn until_known(senders: MemberIndex, broadcast: bool, loss: f64, seed: u64) -> ([f64; 3], f64) {
    let mut net = Net::new(senders, broadcast, seed);
    net.weather = lossy(loss);
    net.run(2 * SECOND, |_| {});
    let (begun, bytes) = (net.now, net.bytes);
    let mut calls = Calls::new(DEST, 30.0 / f64::from(senders));
    let mut times = [f64::INFINITY; 3];
    for _ in 0..250 {
        net.run(20_000, |net| calls.turn(net, |_| true, 0.0, true));
        let knowing = net.knowing(DEST);
        for (time, part) in times.iter_mut().zip([0.5, 0.99, 1.0]) {
            if knowing >= part && time.is_infinite() {
                *time = (net.now - begun) as f64 / SECOND as f64;
            }
        }
    }
    (times, (net.bytes - bytes) as f64 / f64::from(senders))
}

/// All know of an outage that two or three saw, within the time of a few calls of the whole fleet.
#[test]
fn an_outage_that_few_saw_is_known_to_all() {
    for senders in [24, 100, 300] {
        for loss in [0.0, 0.2] {
            for seed in seeds(2) {
                let (times, bytes) = until_known(senders, true, loss, seed);
                println!("{senders} senders, {loss} lost, seed {seed}: {times:?} s, {bytes:.0} bytes each");
                assert!(times[0] < 0.5 && times[1] < 2.0, "{senders}, {loss}, seed {seed}: {times:?}");
                assert!(bytes < 1_800.0, "{senders}, {loss}, seed {seed}: {bytes}");
            }
        }
    }
}

#[test]
fn without_a_way_to_all_it_goes_from_one_to_a_few() {
    for seed in seeds(2) {
        let (times, bytes) = until_known(100, false, 0.05, seed);
        println!("seed {seed}: {times:?} s, {bytes:.0} bytes each");
        assert!(times[0] < 1.0 && times[1] < 4.0, "seed {seed}: {times:?}");
    }
}

/// One sender's own network is ill: it calls every partner down.
#[test]
fn one_that_is_wrong_is_not_believed() {
    for seed in seeds(4) {
        let mut net = Net::new(24, true, seed);
        let mut calls = Calls::new(DEST, 2.0);
        net.run(10 * SECOND, |net| {
            calls.turn(net, |rank| rank == 3, 0.0, true);
            for dest in 20..40 {
                net.saw(3, dest, Observation::Failure(FailureKind::Unreachable, 9));
            }
            for dest in std::iter::once(DEST).chain(20..40) {
                for rank in (0..24).filter(|rank| *rank != 3) {
                    assert!(net.belief(rank, dest).unhealthy.is_none(), "seed {seed}");
                }
            }
        });
    }
}

/// Noise of a hundredth is no outage, and what is over ends for all.
#[test]
fn an_outage_ends_for_all_and_noise_is_none() {
    for seed in seeds(3) {
        let mut net = Net::new(100, true, seed);
        net.weather = lossy(0.05);
        let mut calls = Calls::new(DEST, 0.3);
        let (mut believed, mut turns) = (0.0, 0.0);
        net.run(30 * SECOND, |net| {
            calls.turn(net, |_| false, 0.01, true);
            (believed, turns) = (believed + net.knowing(DEST), turns + 1.0);
        });
        println!("seed {seed}: noise taken for an outage for {:.4} of the time", believed / turns);
        assert!(believed / turns < 0.02, "seed {seed}: {}", believed / turns);
        net.run(5 * SECOND, |net| calls.turn(net, |_| true, 0.0, true));
        assert!(net.knowing(DEST) > 0.95, "seed {seed}: {}", net.knowing(DEST));
        net.run(4 * SECOND, |net| calls.turn(net, |_| false, 0.0, true));
        assert!(net.knowing(DEST) < 0.02, "seed {seed}: {} still believe it", net.knowing(DEST));
    }
}

/// An outage that nobody renews ends everywhere, also where nobody calls any more.
#[test]
fn a_judgement_that_nobody_renews_ends() {
    let mut net = Net::new(24, true, 1);
    for rank in 0..3 {
        net.saw(rank, DEST, Observation::Failure(FailureKind::Silent, 4));
    }
    net.run(2 * SECOND, |_| {});
    assert!(net.knowing(DEST) > 0.9);
    net.run(9 * SECOND, |_| {});
    assert_eq!(net.knowing(DEST), 0.0);
}

/// The partner is well for all but one zone's senders: who reaches it is not kept from it for long.
#[test]
fn an_outage_of_one_zone_keeps_nobody_else_for_long() {
    for seed in seeds(3) {
        let mut net = Net::new(30, true, seed);
        let mut calls = Calls::new(DEST, 2.0);
        let ill = |rank: MemberIndex| rank < 10;
        let (mut kept, mut turns) = (0u32, 0u32);
        net.run(20 * SECOND, |net| {
            calls.turn(net, ill, 0.0, true);
            kept += (10..30).map(|rank| u32::from(calls.holds_back(net, rank))).sum::<u32>();
            turns += 20;
        });
        let part = f64::from(kept) / f64::from(turns);
        println!("seed {seed}: kept from it for {part:.3} of the time");
        assert!(part < 0.05, "seed {seed}: {part}");
    }
}

/// What is done to a fleet while parts of limits are lent: at no moment do all use more than the whole.
fn in_use(senders: MemberIndex, seed: u64, mut faults: impl FnMut(&mut Net, u64)) -> (f64, f64) {
    let mut net = Net::new(senders, true, seed);
    net.weather = Weather { loss: 0.1, doubles: 0.2, way: (4_000, 300_000) };
    net.watched = vec![DEST];
    net.run(5 * SECOND, |_| {});
    let (mut turn, mut best) = (0, 0.0f64);
    net.run(40 * SECOND, |net| {
        turn += 1;
        faults(net, turn);
        for rank in 0..senders {
            // A third has much to send, the others little.
            let share = if rank % 3 == 0 { 4.0 } else { 0.1 };
            net.with(rank, |shared, now| shared.report_demand(DEST, share, rank % 3 == 0, now));
        }
        best = best.max(net.shared(0).quota_share(DEST, net.clock(0)));
    });
    (net.most_in_use, best)
}

#[test]
fn at_no_moment_do_all_use_more_than_the_whole() {
    for seed in seeds(4) {
        let (most, best) = in_use(12, seed, |_, _| {});
        assert!(most <= 1.0, "seed {seed}: {most} of the whole in use");
        assert!(best > 1.3, "seed {seed}: a busy one has {best} even parts at most");
    }
}

#[test]
fn nor_with_partitions_pauses_and_kills() {
    for seed in seeds(6) {
        let (most, _) = in_use(12, seed, |net, turn| {
            let rank = (turn * 7 % 12) as MemberIndex;
            match turn % 97 {
                0 => net.kill(rank),
                20 => (0..12).for_each(|rank| {
                    if net.rng.bool() {
                        net.start(rank)
                    }
                }),
                40 => net.pause(rank, 20 * SECOND),
                60 => net.cut = Box::new(|from, to| (from < 6) != (to < 6)),
                75 => net.cut = Box::new(|from, to| from == 2 || to == 5),
                90 => net.cut = Box::new(|_, _| false),
                _ => {}
            }
        });
        assert!(most <= 1.0, "seed {seed}: {most} of the whole in use");
    }
}

/// Half of the fleet is cut off, each half sees an outage of its own; after healing all agree.
#[test]
fn halves_that_were_cut_off_agree_after_healing() {
    for seed in seeds(3) {
        let mut net = Net::new(24, true, seed);
        net.weather = lossy(0.05);
        net.cut = Box::new(|from, to| (from < 12) != (to < 12));
        let (mut a, mut b) = (Calls::new(7, 4.0), Calls::new(8, 4.0));
        net.run(20 * SECOND, |net| {
            a.turn(net, |rank| rank < 12, 0.0, true);
            b.turn(net, |rank| rank >= 12, 0.0, true);
        });
        net.cut = Box::new(|_, _| false);
        // Both are ill for all now.
        net.run(3 * SECOND, |net| {
            a.turn(net, |_| true, 0.0, true);
            b.turn(net, |_| true, 0.0, true);
        });
        for dest in [7, 8] {
            assert!(net.knowing(dest) > 0.95, "seed {seed}: {} know of {dest}", net.knowing(dest));
        }
    }
}

/// Notes of one that stood still for twenty seconds, and notes that wait for it, are not taken for news.
#[test]
fn one_that_stood_still_brings_no_old_news() {
    let mut net = Net::new(12, true, 5);
    let mut calls = Calls::new(DEST, 3.0);
    // All have heard of each other, so that the way is known.
    net.run(6 * SECOND, |net| calls.turn(net, |_| net_ill(), 0.02, true));
    for rank in 0..3 {
        net.saw(rank, DEST, Observation::Failure(FailureKind::Silent, 5));
    }
    net.pause(5, 20 * SECOND);
    net.run(15 * SECOND, |net| calls.turn(net, |_| false, 0.0, true));
    assert_eq!(net.knowing(DEST), 0.0);
    net.run(6 * SECOND, |net| calls.turn(net, |_| false, 0.0, true));
    assert!(net.belief(5, DEST).unhealthy.is_none());
}

fn net_ill() -> bool {
    false
}

/// A fleet in which something always happens, so that all ask one another.
fn busy(senders: MemberIndex, seed: u64, loss: f64) -> Net {
    let mut net = Net::new(senders, true, seed);
    net.weather = lossy(loss);
    net.run(5 * SECOND, stir);
    net
}

/// News of a kind that changes no belief of the destination that a test is about.
fn stir(net: &mut Net) {
    let rank = net.rng.u16(0..net.senders());
    if net.rng.u8(..50) == 0 {
        let rate = 10.0 + f32::from(net.rng.u8(..100));
        net.with(rank, |shared, now| shared.observe_limit(99, rate, now));
    }
}

#[test]
fn one_that_ended_is_gone_within_the_bound_and_none_that_lives_is() {
    for seed in seeds(2) {
        let mut net = busy(24, seed, 0.2);
        net.kill(4);
        net.run(60 * SECOND, stir);
        for rank in (0..24).filter(|rank| *rank != 4) {
            let view = net.shared(rank).membership();
            assert_eq!(view.state(4), State::Gone, "seed {seed}: to {rank}");
            let wrong: Vec<_> = view.missing().filter(|m| m.0 != 4 && m.1 == State::Gone).collect();
            assert!(wrong.is_empty(), "seed {seed}: {rank} takes {wrong:?} for gone");
        }
        // It comes back, in a run that it does not know to be old.
        net.start(4);
        net.run(20 * SECOND, stir);
        let back = (0..24).filter(|rank| net.shared(*rank).membership().state(4) == State::Alive).count();
        assert!(back >= 22, "seed {seed}: {back} of 24 know that it is back");
    }
}

/// One that is heard by nobody and hears nobody suspects itself, not the others; so does one that is heard and hears nobody.
#[test]
fn one_that_hears_nobody_suspects_itself() {
    for one_way in [false, true] {
        let mut net = busy(12, 3, 0.0);
        net.cut = Box::new(move |from, to| to == 5 || (!one_way && from == 5));
        // It has something to say, and so asks who is there.
        net.with(5, |shared, now| shared.observe_wait(98, now + 5 * SECOND, now));
        net.run(15 * SECOND, stir);
        assert!(net.shared(5).is_isolated(net.clock(5)));
        let gone = net.shared(5).membership().missing().filter(|m| m.1 == State::Gone).count();
        assert!(gone <= 1, "one way {one_way}: it takes {gone} for gone");
        assert!(!net.shared(6).is_isolated(net.clock(6)));
        net.cut = Box::new(|_, _| false);
        net.run(5 * SECOND, stir);
        assert!(!net.shared(5).is_isolated(net.clock(5)));
    }
}

#[test]
fn a_new_process_knows_within_a_second_what_the_others_know() {
    for seed in seeds(3) {
        let mut net = Net::new(50, true, seed);
        for rank in 0..4 {
            net.saw(rank, DEST, Observation::Failure(FailureKind::Unreachable, 4));
        }
        net.run(SECOND, |_| {});
        net.kill(30);
        net.run(SECOND / 2, |_| {});
        net.start(30);
        net.run(SECOND, |_| {});
        assert!(net.belief(30, DEST).unhealthy.is_some(), "seed {seed}");
    }
}

/// Nothing is said while nothing is new.
#[test]
fn a_fleet_with_no_news_is_silent() {
    let mut net = Net::new(50, true, 1);
    let mut calls = Calls::new(DEST, 1.0);
    net.run(5 * SECOND, |net| calls.turn(net, |_| false, 0.0, true));
    let before = net.notes;
    net.run(60 * SECOND, |net| calls.turn(net, |_| false, 0.0, true));
    assert_eq!(net.notes, before);
}

/// Whatever comes as a note, nothing ends, and what is damaged is used for nothing.
#[test]
fn rubbish_is_used_for_nothing() {
    let mut rng = fastrand::Rng::with_seed(9);
    let mut net = Net::new(4, true, 2);
    let whole = {
        let mut writer = gossip::note::Writer::new(1, net.clock(0));
        let bad = gossip::judgement::Failure {
            number: 1 << 32,
            at: net.clock(0),
            kind: FailureKind::Silent,
            calls: 3,
        };
        assert!(writer.add(&gossip::note::Part::Known(DEST, gossip::judgement::Evidence::Failure(0, bad))));
        writer.finish()
    };
    for _ in 0..20_000 {
        let mut note = whole.clone();
        let at = rng.usize(..note.len());
        note[at] ^= 1 << rng.u8(..8);
        assert!(net.with(1, |shared, now| shared.receive(0, &note, now)).is_err());
        let rubbish: Vec<u8> = (0..rng.usize(..300)).map(|_| rng.u8(..)).collect();
        assert!(net.with(1, |shared, now| shared.receive(0, &rubbish, now)).is_err());
    }
    assert!(net.with(1, |shared, now| shared.receive(0, &whole, now)).is_ok());
    assert!(net.with(1, |shared, now| shared.receive(9, &whole, now)).is_err(), "nobody's rank");
}
