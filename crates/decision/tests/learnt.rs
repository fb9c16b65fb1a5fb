//! What an earlier process learnt, told to a new one: it may make it more careful, never bolder.

mod common;

use common::*;
use decision::interface::*;
use proptest::prelude::*;

fn new_with(
    settings: Settings,
    entries: &[EndpointEntry],
    learnt: &[(Option<EndpointId>, RouteSnapshot)],
) -> Sender {
    let mut sender = Sender::new(settings, entries);
    let events = learnt
        .iter()
        .map(|(endpoint, learnt)| Event::SnapshotRestored { route: (DEST, *endpoint), snapshot: *learnt });
    sender.tell(events.collect());
    sender
}

fn ill() -> RouteSnapshot {
    RouteSnapshot {
        condition: Condition::Failing,
        unhealthy_since: Some(START - SECOND),
        success_rate: 10.0,
        ..RouteSnapshot::default()
    }
}

#[test]
fn a_wait_counts_to_its_end() {
    let learnt = RouteSnapshot { wait_until: START + 3 * SECOND, ..RouteSnapshot::default() };
    let mut sender = new_with(settings(), &[entry(1, 0)], &[(None, learnt)]);
    sender.accept(SAFE);
    sender.pass(3 * SECOND - 1_000);
    assert!(sender.sent.is_empty());
    sender.pass(10_000);
    assert_eq!(sender.sent.len(), 1);
}

#[test]
fn a_wait_of_an_endpoint_that_is_no_more_is_its_destinations() {
    let learnt = RouteSnapshot { wait_until: START + 3 * SECOND, limit: 5.0, ..RouteSnapshot::default() };
    // Its routes are apart, and the list has another endpoint by now, which comes to be known before or after.
    for late in [false, true] {
        let entries = [entry(2, 1)];
        let mut sender =
            new_with(settings(), if late { &[] } else { &entries }, &[(Some(endpoint(1)), learnt)]);
        if late {
            sender.tell(vec![Event::EndpointChanges(entries.to_vec())]);
        }
        sender.accept(SAFE);
        sender.pass(3 * SECOND - 1_000);
        assert!(sender.sent.is_empty(), "late {late}");
        sender.pass(10_000);
        assert_eq!(sender.sent.len(), 1, "late {late}");
    }
}

#[test]
fn who_was_ill_gets_one_call_and_then_the_ramp() {
    let mut sender = new_with(settings(), &[entry(1, 0)], &[(None, ill())]);
    for _ in 0..20 {
        sender.accept(SAFE);
    }
    sender.pass(SECOND / 2);
    assert_eq!(sender.sent.len(), 1, "a trial alone");
    sender.end(Outcome::Delivered);
    sender.pass(SECOND);
    // 10 calls a second went well; a fifth of that twice, for three seconds.
    assert!((2..=12).contains(&sender.sent.len()), "{}", sender.sent.len());
}

#[test]
fn a_trial_that_is_due_later_waits_for_its_time() {
    let learnt = RouteSnapshot { trial: Some((START + 2 * SECOND, 4 * SECOND)), ..ill() };
    let mut sender = new_with(settings(), &[entry(1, 0)], &[(None, learnt)]);
    sender.accept(SAFE);
    sender.pass(2 * SECOND - 10_000);
    assert!(sender.sent.is_empty());
    sender.pass(20_000);
    assert_eq!(sender.sent.len(), 1);
    // It fails: the next one comes after twice the time that was learnt.
    sender.end(Outcome::ConnectFailed);
    sender.accept(SAFE);
    sender.pass(4 * SECOND);
    assert_eq!(sender.sent.len(), 1);
}

#[test]
fn what_was_sent_while_cold_counts_in_the_ramp() {
    let cold =
        RouteSnapshot { cold_since: Some(START - 100_000), success_rate: 1.0, ..RouteSnapshot::default() };
    let sent_by = |learnt| {
        let mut sender = new_with(settings(), &[entry(1, 0)], &[(None, learnt)]);
        for _ in 0..30 {
            sender.accept(SAFE);
            sender.pass(20_000);
            while !sender.out.is_empty() {
                sender.end(Outcome::Delivered);
            }
        }
        sender.sent.len()
    };
    assert_eq!(sent_by(RouteSnapshot { recent_calls: (6.0, START), ..cold }), 0, "its span is used up");
    assert!(sent_by(cold) > 0);
}

#[test]
fn what_is_lost_begins_with_one_call() {
    for sleeps in [
        None,
        Some(IdlePolicy {
            idle_after: 600 * SECOND,
            retain_for: SECOND,
            max_retained: 10,
            max_active: 10,
            activations_per_second: 100.0,
        }),
    ] {
        let mut sender = Sender::new(Settings { idle: sleeps, ..settings() }, &[entry(1, 0)]);
        sender.tell(vec![Event::SnapshotLost]);
        for _ in 0..5 {
            sender.accept(SAFE);
        }
        sender.pass(SECOND);
        assert_eq!(sender.sent.len(), 1);
    }
}

/// Known to all of a hundred senders that come back together with a message each: a limit of 50 calls a second.
#[test]
fn those_that_come_back_together_keep_to_the_limit_together() {
    let limit = 50.0;
    let learnt = RouteSnapshot { limit, ..RouteSnapshot::default() };
    let mut times = Vec::new();
    for seed in 0..100 {
        let mut sender = Sender::new(Settings { senders: 100, ..settings() }, &[entry(1, 0)]);
        sender.policy = decision::policy::Policy::new(Settings { senders: 100, ..settings() }, seed, START);
        sender.tell(vec![
            Event::EndpointList(vec![entry(1, 0)]),
            Event::SnapshotRestored { route: (DEST, None), snapshot: learnt },
        ]);
        for _ in 0..3 {
            sender.accept(SAFE);
        }
        sender.pass(4 * SECOND);
        times.extend(sender.sent.iter().map(|sent| sent.sent));
    }
    times.sort_unstable();
    assert!(times.len() >= 100, "{} calls in four seconds", times.len());
    let most = times.iter().map(|at| times.iter().filter(|t| (*at..at + SECOND).contains(t)).count()).max();
    assert!(most <= Some(60), "{most:?} calls in a second, at a limit of {limit}");
}

#[test]
fn a_limit_follows_a_list_that_promises_less_by_now() {
    let part = |listed: f64| {
        let learnt = RouteSnapshot { limit: 100.0, ..RouteSnapshot::default() };
        let settings = Settings { senders: 10, weights: Weights::Nominal, ..settings() };
        let mut sender = Sender::new(settings, &[EndpointEntry { weight: listed, ..entry(1, 0) }]);
        sender.tell(vec![Event::SnapshotRestored { route: (DEST, None), snapshot: learnt }]);
        for _ in 0..60 {
            sender.accept(SAFE);
        }
        sender.pass(SECOND);
        sender.policy.route_snapshots(DEST)[0].1.limit
    };
    assert_eq!(part(100.0), 100.0);
    assert_eq!(part(50.0), 50.0);
    assert_eq!(part(200.0), 100.0, "more is promised: what was told is known, more is not");
}

#[test]
fn what_was_learnt_is_known_to_the_process_after_the_next_too() {
    let learnt = RouteSnapshot {
        wait_until: START + 100 * SECOND,
        limit: 40.0,
        send_rate: 3.0,
        shortage_at: Some(START - SECOND),
        ..ill()
    };
    let sender = new_with(settings(), &[entry(1, 0)], &[(None, learnt)]);
    assert_eq!(sender.policy.route_snapshots(DEST), vec![((DEST, None), learnt)]);
    assert_eq!(sender.policy.observed_destinations(), vec![DEST]);
    let mut woken = new_with(settings(), &[entry(1, 0)], &[(None, learnt)]);
    woken.accept(SAFE);
    let known = woken.policy.route_snapshots(DEST)[0].1;
    assert_eq!(
        (known.wait_until, known.limit, known.condition),
        (learnt.wait_until, 40.0, Condition::Failing)
    );
    assert_eq!(known.shortage_at, learnt.shortage_at);
}

fn any_learnt() -> impl Strategy<Value = RouteSnapshot> {
    let around = || -30_000_000i64..10_000_000;
    let time = move || around().prop_map(|d| START.saturating_add_signed(d));
    let past = move || prop::option::of((0u64..40_000_000).prop_map(|d| START - d));
    let figure = || prop_oneof![Just(0.0), 0.01f64..200.0];
    let worst = prop_oneof![Just(Condition::Healthy), Just(Condition::Rejecting), Just(Condition::Failing)];
    let first = (time(), figure(), past(), figure(), figure());
    let second =
        (worst, past(), past(), past(), prop::option::of((time(), 0u64..6_000_000)), figure(), time());
    (first, second).prop_map(|(a, b)| RouteSnapshot {
        wait_until: a.0,
        limit: a.1,
        shortage_at: a.2,
        send_rate: a.3,
        success_rate: a.4,
        condition: b.0,
        failures: u32::from(b.1.is_some()),
        unhealthy_since: b.1,
        cold_since: b.2,
        last_success_at: b.3.unwrap_or(0),
        trial: b.4,
        recent_calls: (b.5, b.6.min(START)),
        latency: None,
    })
}

/// Plays the same with and without what was learnt, at a partner that ends each call in the same way: times of the calls.
fn calls(
    settings: &Settings,
    learnt: Option<RouteSnapshot>,
    gaps: &[u64],
    outcome: Outcome,
    kind: usize,
) -> Vec<Micros> {
    let entries = [entry(1, kind)];
    let route = (kind == 1).then(|| endpoint(1));
    let learnt: Vec<_> = learnt.into_iter().map(|learnt| (route, learnt)).collect();
    let mut sender = new_with(settings.clone(), &entries, &learnt);
    for gap in gaps {
        sender.accept(SAFE);
        sender.pass(*gap);
        while !sender.out.is_empty() {
            sender.end(outcome);
        }
    }
    for _ in 0..300 {
        sender.pass(SECOND / 20);
        while !sender.out.is_empty() {
            sender.end(outcome);
        }
    }
    sender.sent.iter().map(|sent| sent.sent).collect()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    /// Whatever was learnt: nothing goes before a wait's end, nor sooner than without; and where all goes well, no more has
    /// gone at any time than without.
    #[test]
    fn nothing_goes_sooner_than_without(
        learnt in any_learnt(),
        gaps in prop::collection::vec(1_000u64..400_000, 1..25),
        senders in prop_oneof![Just(1usize), Just(3), Just(12), Just(100)],
        kind in 0usize..3,
        well in any::<bool>(),
    ) {
        let settings = Settings { senders, weights: Weights::Rough, ..settings() };
        let outcome = if well { Outcome::Delivered } else { Outcome::Rejected(None) };
        let with = calls(&settings, Some(learnt), &gaps, outcome, kind);
        let without = calls(&settings, None, &gaps, outcome, kind);
        prop_assert!(with.iter().all(|at| *at >= learnt.wait_until), "{with:?}");
        if let (Some(with), Some(without)) = (with.first(), without.first()) {
            prop_assert!(with >= without, "first at {with} with, {without} without");
        }
        if well {
            for (n, (with, without)) in with.iter().zip(&without).enumerate() {
                prop_assert!(with >= without, "call {n}: {with} with, {without} without");
            }
            prop_assert!(with.len() <= without.len(), "{} and {}", with.len(), without.len());
        }
    }
}
