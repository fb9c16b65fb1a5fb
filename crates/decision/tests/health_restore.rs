//! Restoring the health snapshots of an earlier process: they may make the new process send less or later,
//! never more or sooner.

mod common;

use common::*;
use decision::interface::*;
use proptest::prelude::*;

fn sender_with_snapshots(
    settings: Settings,
    entries: &[EndpointEntry],
    snapshots: &[(Option<EndpointId>, RouteSnapshot)],
) -> Sender {
    let mut sender = Sender::new(settings, entries);
    let events = snapshots.iter().map(|(endpoint, snapshot)| Event::SnapshotRestored {
        route: (DEST, *endpoint),
        snapshot: *snapshot,
    });
    sender.handle(events.collect());
    sender
}

fn unhealthy_snapshot() -> RouteSnapshot {
    RouteSnapshot {
        condition: Condition::Failing,
        unhealthy_since: Some(START - SECOND),
        success_rate: 10.0,
        ..RouteSnapshot::default()
    }
}

#[test]
fn restored_wait_applies_until_its_end() {
    let snapshot = RouteSnapshot { wait_until: START + 3 * SECOND, ..RouteSnapshot::default() };
    let mut sender = sender_with_snapshots(settings(), &[entry(1, 0)], &[(None, snapshot)]);
    sender.accept(IDEMPOTENT);
    sender.advance(3 * SECOND - 1_000);
    assert!(sender.sent.is_empty());
    sender.advance(10_000);
    assert_eq!(sender.sent.len(), 1);
}

#[test]
fn wait_of_removed_endpoint_applies_to_destination() {
    let snapshot = RouteSnapshot { wait_until: START + 3 * SECOND, limit: 5.0, ..RouteSnapshot::default() };
    // The routes are separate, and the list has another endpoint by now, which becomes known before or after
    // the snapshot is restored.
    for listed_later in [false, true] {
        let entries = [entry(2, 1)];
        let mut sender = sender_with_snapshots(
            settings(),
            if listed_later { &[] } else { &entries },
            &[(Some(endpoint(1)), snapshot)],
        );
        if listed_later {
            sender.handle(vec![Event::EndpointChanges(entries.to_vec())]);
        }
        sender.accept(IDEMPOTENT);
        sender.advance(3 * SECOND - 1_000);
        assert!(sender.sent.is_empty(), "listed later: {listed_later}");
        sender.advance(10_000);
        assert_eq!(sender.sent.len(), 1, "listed later: {listed_later}");
    }
}

#[test]
fn unhealthy_destination_gets_trial_then_slow_start() {
    let mut sender = sender_with_snapshots(settings(), &[entry(1, 0)], &[(None, unhealthy_snapshot())]);
    for _ in 0..20 {
        sender.accept(IDEMPOTENT);
    }
    sender.advance(SECOND / 2);
    assert_eq!(sender.sent.len(), 1, "only the trial call");
    sender.end(Outcome::Delivered);
    sender.advance(SECOND);
    // 10 calls a second succeeded before; a fifth of that (`cold_share`), twice (`overload_multiple`), for
    // three seconds.
    assert!((2..=12).contains(&sender.sent.len()), "{}", sender.sent.len());
}

#[test]
fn restored_trial_waits_until_due() {
    let snapshot = RouteSnapshot { trial: Some((START + 2 * SECOND, 4 * SECOND)), ..unhealthy_snapshot() };
    let mut sender = sender_with_snapshots(settings(), &[entry(1, 0)], &[(None, snapshot)]);
    sender.accept(IDEMPOTENT);
    sender.advance(2 * SECOND - 10_000);
    assert!(sender.sent.is_empty());
    sender.advance(20_000);
    assert_eq!(sender.sent.len(), 1);
    // The trial fails: the next one comes after twice the time in the snapshot.
    sender.end(Outcome::ConnectFailed);
    sender.accept(IDEMPOTENT);
    sender.advance(4 * SECOND);
    assert_eq!(sender.sent.len(), 1);
}

#[test]
fn recent_calls_count_in_slow_start() {
    let cold =
        RouteSnapshot { cold_since: Some(START - 100_000), success_rate: 1.0, ..RouteSnapshot::default() };
    let sent_by = |snapshot| {
        let mut sender = sender_with_snapshots(settings(), &[entry(1, 0)], &[(None, snapshot)]);
        for _ in 0..30 {
            sender.accept(IDEMPOTENT);
            sender.advance(20_000);
            while !sender.in_flight.is_empty() {
                sender.end(Outcome::Delivered);
            }
        }
        sender.sent.len()
    };
    assert_eq!(
        sent_by(RouteSnapshot { recent_calls: (6.0, START), ..cold }),
        0,
        "the allowance of the overload span is used up"
    );
    assert!(sent_by(cold) > 0);
}

#[test]
fn destination_with_lost_snapshot_begins_with_one_call() {
    for idle in [
        None,
        Some(IdlePolicy {
            idle_after: 600 * SECOND,
            retain_for: SECOND,
            max_retained: 10,
            max_active: 10,
            activations_per_second: 100.0,
        }),
    ] {
        let mut sender = Sender::new(Settings { idle, ..settings() }, &[entry(1, 0)]);
        sender.handle(vec![Event::SnapshotLost]);
        for _ in 0..5 {
            sender.accept(IDEMPOTENT);
        }
        sender.advance(SECOND);
        assert_eq!(sender.sent.len(), 1);
    }
}

/// A hundred senders restart together, each with a snapshot of the same limit of 50 calls a second and with
/// three messages; together they stay near the limit.
#[test]
fn restarted_fleet_stays_within_limit() {
    let limit = 50.0;
    let snapshot = RouteSnapshot { limit, ..RouteSnapshot::default() };
    let mut times = Vec::new();
    for seed in 0..100 {
        let mut sender = Sender::new(Settings { senders: 100, ..settings() }, &[entry(1, 0)]);
        sender.policy = decision::policy::Policy::new(Settings { senders: 100, ..settings() }, seed, START);
        sender.handle(vec![
            Event::EndpointList(vec![entry(1, 0)]),
            Event::SnapshotRestored { route: (DEST, None), snapshot },
        ]);
        for _ in 0..3 {
            sender.accept(IDEMPOTENT);
        }
        sender.advance(4 * SECOND);
        times.extend(sender.sent.iter().map(|sent| sent.sent));
    }
    times.sort_unstable();
    assert!(times.len() >= 100, "{} calls in four seconds", times.len());
    let max_per_second =
        times.iter().map(|at| times.iter().filter(|t| (*at..at + SECOND).contains(t)).count()).max();
    assert!(max_per_second <= Some(60), "{max_per_second:?} calls within a second at a limit of {limit}");
}

#[test]
fn restored_limit_is_bounded_by_listed_limit() {
    let restored_limit = |listed: f64| {
        let snapshot = RouteSnapshot { limit: 100.0, ..RouteSnapshot::default() };
        let settings = Settings { senders: 10, weights: Weights::Nominal, ..settings() };
        let mut sender = Sender::new(settings, &[EndpointEntry { weight: listed, ..entry(1, 0) }]);
        sender.handle(vec![Event::SnapshotRestored { route: (DEST, None), snapshot }]);
        for _ in 0..60 {
            sender.accept(IDEMPOTENT);
        }
        sender.advance(SECOND);
        sender.policy.route_snapshots(DEST)[0].1.limit
    };
    assert_eq!(restored_limit(100.0), 100.0);
    assert_eq!(restored_limit(50.0), 50.0);
    assert_eq!(restored_limit(200.0), 100.0, "a higher listed limit does not raise the restored one");
}

#[test]
fn snapshot_survives_two_restarts() {
    let snapshot = RouteSnapshot {
        wait_until: START + 100 * SECOND,
        limit: 40.0,
        send_rate: 3.0,
        shortage_at: Some(START - SECOND),
        ..unhealthy_snapshot()
    };
    let sender = sender_with_snapshots(settings(), &[entry(1, 0)], &[(None, snapshot)]);
    assert_eq!(sender.policy.route_snapshots(DEST), vec![((DEST, None), snapshot)]);
    assert_eq!(sender.policy.observed_destinations(), vec![DEST]);
    let mut activated = sender_with_snapshots(settings(), &[entry(1, 0)], &[(None, snapshot)]);
    activated.accept(IDEMPOTENT);
    let restored = activated.policy.route_snapshots(DEST)[0].1;
    assert_eq!(
        (restored.wait_until, restored.limit, restored.condition),
        (snapshot.wait_until, 40.0, Condition::Failing)
    );
    assert_eq!(restored.shortage_at, snapshot.shortage_at);
}

fn any_snapshot() -> impl Strategy<Value = RouteSnapshot> {
    let around = || -30_000_000i64..10_000_000;
    let time = move || around().prop_map(|d| START.saturating_add_signed(d));
    let past = move || prop::option::of((0u64..40_000_000).prop_map(|d| START - d));
    let rate = || prop_oneof![Just(0.0), 0.01f64..200.0];
    let condition =
        prop_oneof![Just(Condition::Healthy), Just(Condition::Rejecting), Just(Condition::Failing)];
    let first = (time(), rate(), past(), rate(), rate());
    let second =
        (condition, past(), past(), past(), prop::option::of((time(), 0u64..6_000_000)), rate(), time());
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

/// Returns the times at which calls were sent in a run where the partner ends every call with `outcome`. Runs
/// with and without a snapshot are otherwise the same.
fn call_times(
    settings: &Settings,
    snapshot: Option<RouteSnapshot>,
    gaps: &[u64],
    outcome: Outcome,
    kind: usize,
) -> Vec<Micros> {
    let entries = [entry(1, kind)];
    let route = (kind == 1).then(|| endpoint(1));
    let snapshots: Vec<_> = snapshot.into_iter().map(|snapshot| (route, snapshot)).collect();
    let mut sender = sender_with_snapshots(settings.clone(), &entries, &snapshots);
    for gap in gaps {
        sender.accept(IDEMPOTENT);
        sender.advance(*gap);
        while !sender.in_flight.is_empty() {
            sender.end(outcome);
        }
    }
    for _ in 0..300 {
        sender.advance(SECOND / 20);
        while !sender.in_flight.is_empty() {
            sender.end(outcome);
        }
    }
    sender.sent.iter().map(|sent| sent.sent).collect()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    /// For any snapshot, no call starts before the end of its wait, and the first call starts no sooner than
    /// without a snapshot. Where all calls succeed, this holds for each call, and there are no more calls
    /// than without a snapshot.
    #[test]
    fn snapshot_never_sends_calls_sooner(
        snapshot in any_snapshot(),
        gaps in prop::collection::vec(1_000u64..400_000, 1..25),
        senders in prop_oneof![Just(1usize), Just(3), Just(12), Just(100)],
        kind in 0usize..3,
        succeeds in any::<bool>(),
    ) {
        let settings = Settings { senders, weights: Weights::Rough, ..settings() };
        let outcome = if succeeds { Outcome::Delivered } else { Outcome::Rejected(None) };
        let with = call_times(&settings, Some(snapshot), &gaps, outcome, kind);
        let without = call_times(&settings, None, &gaps, outcome, kind);
        prop_assert!(with.iter().all(|at| *at >= snapshot.wait_until), "{with:?}");
        if let (Some(with), Some(without)) = (with.first(), without.first()) {
            prop_assert!(with >= without, "first at {with} with, {without} without");
        }
        if succeeds {
            for (n, (with, without)) in with.iter().zip(&without).enumerate() {
                prop_assert!(with >= without, "call {n}: {with} with, {without} without");
            }
            prop_assert!(with.len() <= without.len(), "{} and {}", with.len(), without.len());
        }
    }
}
