//! Tests of the rule for restoring: a snapshot may make a sender more careful, never bolder, whatever the clocks show.

use decision::interface::{Condition, RouteSnapshot};
use health_snapshot::replay::{ReplayFault, Snapshot};
use health_snapshot::restore::{
    Config, LIST_TRUST_SPAN, OBSERVED_LIMIT_DOUBLING, Reason, RestoreTime, RestoredState,
    SUCCESS_RATE_HALVING, restore,
};
use health_snapshot::timestamp::{Boot, Timestamp};
use health_snapshot::{
    DestinationRecord, EndpointStatus, ListVersion, ListedEndpoint, Micros, RouteKey, RouteRecord,
};
use proptest::prelude::*;

const SECOND: Micros = 1_000_000;
const HOUR: Micros = 3_600 * SECOND;
const START: Micros = 400_000 * HOUR;
const CONFIG: Config = Config { span: HOUR, latency_objective: 4 * SECOND };

fn snapshot_of(observed: RouteSnapshot) -> Snapshot {
    let listed = |name: &str, status| ListedEndpoint {
        name: name.to_owned(),
        address: "10.0.0.1:1".to_owned(),
        zone: String::new(),
        kind: String::new(),
        status,
        weight: 1.0,
    };
    let record = DestinationRecord {
        at: START,
        listed: vec![listed("a", EndpointStatus::Active), listed("b", EndpointStatus::Draining)],
        routes: vec![RouteRecord { endpoint: None, snapshot: observed }],
    };
    let route = RouteKey { destination: 7, endpoint: None };
    let has_wait = observed.wait_until > 0;
    Snapshot {
        timestamp: Timestamp { wall: START, boot: Some(Boot { id: 1, at: 100 * HOUR }) },
        list: Some(ListVersion { index: 41, confirmed_at: START }),
        destinations: [(7, record)].into(),
        waits: has_wait.then_some((route, observed.wait_until)).into_iter().collect(),
        found: true,
        ..Snapshot::default()
    }
}

/// A start `after` the snapshot by the monotonic clock, with a wall clock that is `ahead` of it.
fn start(after: Micros, ahead: i64) -> RestoreTime {
    let wall = (START + after).saturating_add_signed(ahead);
    let timestamp = Timestamp { wall, boot: Some(Boot { id: 1, at: 100 * HOUR + after }) };
    RestoreTime { now: wall.max(START), timestamp }
}

/// Returns what is restored of a route after that time.
fn restored_after(observed: RouteSnapshot, span: Micros) -> (RouteSnapshot, Vec<Reason>) {
    let restored = restore(&snapshot_of(observed), &start(span, 0), 0, &CONFIG);
    (restored.routes[0].snapshot, restored.routes[0].reasons.clone())
}

#[test]
fn an_observed_limit_doubles_and_expires() {
    let observed = RouteSnapshot { send_rate: 3.0, ..RouteSnapshot::default() };
    assert!((restored_after(observed, OBSERVED_LIMIT_DOUBLING).0.send_rate - 6.0).abs() < 1e-6);
    assert!((restored_after(observed, 3 * OBSERVED_LIMIT_DOUBLING).0.send_rate - 24.0).abs() < 1e-6);
    let (expired, reasons) = restored_after(observed, 6 * OBSERVED_LIMIT_DOUBLING);
    assert_eq!((expired.send_rate, reasons), (0.0, vec![Reason::ObservedLimitExpired]));
}

#[test]
fn successes_decay_and_an_outage_does_not() {
    let unhealthy = RouteSnapshot {
        success_rate: 8.0,
        condition: Condition::Failing,
        unhealthy_since: Some(START - SECOND),
        trial: Some((START + SECOND, 5 * SECOND)),
        ..RouteSnapshot::default()
    };
    assert!((restored_after(unhealthy, SUCCESS_RATE_HALVING).0.success_rate - 4.0).abs() < 1e-6);
    let (old, reasons) = restored_after(unhealthy, 1_000 * HOUR);
    assert_eq!(
        (old.condition, old.trial, &reasons[..]),
        (Condition::Failing, None, &[Reason::Unhealthy(0)][..])
    );
    let (soon, _) = restored_after(unhealthy, SECOND / 2);
    assert_eq!(soon.trial, Some((START + SECOND, 2 * SECOND)), "no later than a breaker's first trial");
}

#[test]
fn only_a_long_latency_is_restored_and_it_expires() {
    let slow = RouteSnapshot { latency: Some((3e6, 1e5)), ..RouteSnapshot::default() };
    assert_eq!(restored_after(slow, SECOND).0.latency, slow.latency);
    assert_eq!(restored_after(slow, 2 * HOUR).0.latency, None);
    let fast = RouteSnapshot { latency: Some((2e4, 1e3)), ..RouteSnapshot::default() };
    assert_eq!(
        restored_after(fast, SECOND).0.latency,
        None,
        "calls count as lost no sooner than those to an unknown destination"
    );
}

#[test]
fn after_record_loss_destinations_start_with_one_call_and_waits_are_restored() {
    let healthy = RouteSnapshot {
        wait_until: START + 60 * SECOND,
        success_rate: 8.0,
        send_rate: 3.0,
        last_success_at: START,
        ..RouteSnapshot::default()
    };
    let mut snapshot = snapshot_of(healthy);
    snapshot.faults.push(ReplayFault::Damaged { file: "known-000000000001".to_owned(), at: 99 });
    let restored = restore(&snapshot, &start(SECOND, 0), 0, &CONFIG);
    let route = restored.routes[0].snapshot;
    assert!(restored.incomplete);
    assert_eq!((route.wait_until, route.condition), (START + 60 * SECOND, Condition::Failing));
    assert_eq!((route.success_rate, route.last_success_at, route.send_rate), (0.0, 0, 3.0));
    assert_eq!((&restored.list.newer, &restored.list.drains[..]), (&None, &["b".to_owned()][..]));
    assert_eq!(restored.warnings.len(), 1, "{:?}", restored.warnings);
}

#[test]
fn the_list_is_restored_only_if_newer_complete_and_recent() {
    let complete = snapshot_of(RouteSnapshot::default());
    let list =
        |snapshot: &Snapshot, after: Micros, index| restore(snapshot, &start(after, 0), index, &CONFIG).list;
    let newer = list(&complete, SECOND, 40);
    assert_eq!(newer.newer.map(|newer| (newer.index, newer.destinations[&7].len())), Some((41, 2)));
    assert_eq!(newer.good_for, LIST_TRUST_SPAN - SECOND);
    let same = list(&complete, SECOND, 41);
    assert_eq!((same.newer, same.drains.len(), same.good_for), (None, 0, LIST_TRUST_SPAN - SECOND));
    assert_eq!(
        list(&complete, SECOND, 42),
        Default::default(),
        "the configuration's list is newer and has its own draining endpoints"
    );
    let old = list(&complete, 2 * HOUR, 40);
    assert_eq!((old.newer, old.drains), (None, vec!["b".to_owned()]));
    let unknown = Snapshot { list: None, ..complete };
    assert_eq!(list(&unknown, SECOND, 40).drains, ["b"]);
}

fn any_observations() -> impl Strategy<Value = RouteSnapshot> {
    let past = || prop::option::of((0u64..2 * HOUR).prop_map(|ago| START - ago));
    let figure = || prop_oneof![Just(0.0), 0.01f64..500.0];
    let condition =
        prop_oneof![Just(Condition::Healthy), Just(Condition::Rejecting), Just(Condition::Failing)];
    let trial = prop::option::of((START - HOUR..START + HOUR, 0u64..10 * SECOND));
    (
        (0u64..2 * HOUR, figure(), past(), figure(), figure()),
        (condition, past(), past(), past(), trial, figure()),
    )
        .prop_map(|(a, b)| RouteSnapshot {
            wait_until: START + a.0,
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
            recent_calls: (b.5, START - SECOND),
            latency: None,
        })
}

/// Checks that what is restored after `elapsed`, the time that really passed, is no bolder than what was observed.
fn check_not_bolder(
    observed: &RouteSnapshot,
    restored: &RestoredState,
    now: Micros,
    elapsed: Micros,
) -> Result<(), TestCaseError> {
    let route = &restored.routes[0].snapshot;
    // How much of a time really remains, or how long ago it really was.
    let remaining = |until: Micros| (until - START).saturating_sub(elapsed);
    let ago = |at: Micros| START - at + elapsed;
    prop_assert!(
        route.wait_until.saturating_sub(now) >= remaining(observed.wait_until),
        "a Retry-After is shortened"
    );
    let times = [(observed.cold_since, route.cold_since), (observed.shortage_at, route.shortage_at)];
    for (observed, restored) in times {
        if let (Some(observed), Some(restored)) = (observed, restored) {
            let is_later = restored <= now && now - restored <= ago(observed);
            prop_assert!(is_later, "{observed} is restored as longer ago than it was");
        }
        prop_assert_eq!(observed.is_some(), restored.is_some());
    }
    prop_assert!(
        route.last_success_at == 0 || now - route.last_success_at >= ago(observed.last_success_at),
        "a success is restored as more recent than it was"
    );
    prop_assert!(route.success_rate <= observed.success_rate + 1e-9);
    prop_assert!(route.send_rate == 0.0 || route.send_rate >= observed.send_rate);
    prop_assert!(route.recent_calls.0 == observed.recent_calls.0 || observed.recent_calls.0 == 0.0);
    prop_assert!(observed.condition != Condition::Failing || route.condition == Condition::Failing);
    prop_assert!(
        route.trial.is_none_or(|trial| trial.0 > now && trial.0 <= now + CONFIG.latency_objective / 2)
    );
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(3_000))]

    /// With the monotonic clock: whatever the wall clock shows, Retry-After is respected, and nothing is bolder.
    #[test]
    fn no_clock_makes_a_sender_bolder(
        observed in any_observations(),
        elapsed in prop_oneof![0u64..10 * SECOND, 0u64..3 * HOUR],
        ahead in prop_oneof![Just(0i64), -(2 * HOUR as i64)..(1_000 * HOUR as i64)],
        restarted in any::<bool>(),
    ) {
        let mut start = start(elapsed, ahead);
        if restarted {
            // The machine was off for a part of the time, and its clock counts from the restart.
            start.timestamp.boot = Some(Boot { id: 2, at: elapsed / 3 });
        }
        // Across a restart of the machine a wall clock that was set forward is not detected; successes age by it.
        prop_assume!(!restarted || ahead >= 0);
        let restored = restore(&snapshot_of(observed), &start, 0, &CONFIG);
        check_not_bolder(&observed, &restored, start.now, elapsed)?;
    }

    /// Without the monotonic clock the same holds unless the wall clock was set forward.
    #[test]
    fn without_the_monotonic_clock_a_wall_clock_set_back_makes_no_sender_bolder(
        observed in any_observations(),
        elapsed in 0u64..3 * HOUR,
        back in 0i64..(3 * HOUR as i64),
    ) {
        let mut start = start(elapsed, -back);
        start.timestamp.boot = None;
        let mut snapshot = snapshot_of(observed);
        snapshot.timestamp.boot = None;
        let restored = restore(&snapshot, &start, 0, &CONFIG);
        // The age of successes is what the clock shows.
        let observed = RouteSnapshot { last_success_at: 0, ..observed };
        let mut restored = restored;
        restored.routes[0].snapshot.last_success_at = 0;
        check_not_bolder(&observed, &restored, start.now, elapsed)?;
    }
}
