//! The one rule: what is kept may make a sender more careful, never bolder. Whatever the clocks show.

use decision::interface::{Condition, RouteSnapshot};
use health_snapshot::belief::{
    Config, DOUBT, FADE, LIST_GOOD_FOR, Reason, RestoreTime, RestoredState, restore,
};
use health_snapshot::replay::{ReplayFault, Snapshot};
use health_snapshot::stamp::{Boot, Timestamp};
use health_snapshot::{DestinationRecord, EndpointStatus, ListedEndpoint, Micros};
use proptest::prelude::*;

const SECOND: Micros = 1_000_000;
const HOUR: Micros = 3_600 * SECOND;
const START: Micros = 400_000 * HOUR;
const LAW: Config = Config { span: HOUR, latency_objective: 4 * SECOND };

fn snapshot(learnt: RouteSnapshot) -> Snapshot {
    let listed = |name: &str, status| ListedEndpoint {
        name: name.to_owned(),
        address: "10.0.0.1:1".to_owned(),
        zone: String::new(),
        kind: String::new(),
        status,
        weight: 1.0,
    };
    let kept = DestinationRecord {
        at: START,
        listed: vec![listed("a", EndpointStatus::Active), listed("b", EndpointStatus::Draining)],
        routes: vec![(None, learnt)],
    };
    Snapshot {
        stamp: Timestamp { wall: START, boot: Some(Boot { id: 1, at: 100 * HOUR }) },
        list: Some((41, START)),
        destinations: [(7, kept)].into(),
        waits: if learnt.wait_until > 0 { [((7, None), learnt.wait_until)].into() } else { [].into() },
        found: true,
        ..Snapshot::default()
    }
}

/// A start so long after the snapshot by the machine's own clock, with a wall clock that is ahead of that by so much.
fn start(after: Micros, ahead: i64) -> RestoreTime {
    let wall = (START + after).saturating_add_signed(ahead);
    let stamp = Timestamp { wall, boot: Some(Boot { id: 1, at: 100 * HOUR + after }) };
    RestoreTime { now: wall.max(START), stamp }
}

fn after(learnt: RouteSnapshot, span: Micros) -> (RouteSnapshot, Vec<Reason>) {
    let belief = restore(&snapshot(learnt), &start(span, 0), 0, &LAW);
    (belief.routes[0].snapshot, belief.routes[0].reasons.clone())
}

#[test]
fn a_limit_that_was_found_fades_and_is_forgotten() {
    let found = RouteSnapshot { send_rate: 3.0, ..RouteSnapshot::default() };
    assert!((after(found, FADE).0.send_rate - 6.0).abs() < 1e-6);
    assert!((after(found, 3 * FADE).0.send_rate - 24.0).abs() < 1e-6);
    let (faded, reasons) = after(found, 6 * FADE);
    assert_eq!((faded.send_rate, reasons), (0.0, vec![Reason::ObservedLimitExpired]));
}

#[test]
fn what_went_well_counts_for_less_and_an_outage_for_as_much_as_ever() {
    let ill = RouteSnapshot {
        success_rate: 8.0,
        condition: Condition::Failing,
        unhealthy_since: Some(START - SECOND),
        trial: Some((START + SECOND, 5 * SECOND)),
        ..RouteSnapshot::default()
    };
    assert!((after(ill, DOUBT).0.success_rate - 4.0).abs() < 1e-6);
    let (old, reasons) = after(ill, 1_000 * HOUR);
    assert_eq!(
        (old.condition, old.trial, &reasons[..]),
        (Condition::Failing, None, &[Reason::Unhealthy(0)][..])
    );
    let (soon, _) = after(ill, SECOND / 2);
    assert_eq!(soon.trial, Some((START + SECOND, 2 * SECOND)), "no later than a breaker's first trial");
}

#[test]
fn answers_count_where_they_are_slow_and_not_for_ever() {
    let slow = RouteSnapshot { latency: Some((3e6, 1e5)), ..RouteSnapshot::default() };
    assert_eq!(after(slow, SECOND).0.latency, slow.latency);
    assert_eq!(after(slow, 2 * HOUR).0.latency, None);
    let fast = RouteSnapshot { latency: Some((2e4, 1e3)), ..RouteSnapshot::default() };
    assert_eq!(after(fast, SECOND).0.latency, None, "its calls are lost no sooner than an unknown partner's");
}

#[test]
fn with_something_lost_each_begins_with_one_call_and_waits_count() {
    let well = RouteSnapshot {
        wait_until: START + 60 * SECOND,
        success_rate: 8.0,
        send_rate: 3.0,
        last_success_at: START,
        ..RouteSnapshot::default()
    };
    let mut snapshot = snapshot(well);
    snapshot.troubles.push(ReplayFault::Damaged { file: "known-000000000001".to_owned(), at: 99 });
    let belief = restore(&snapshot, &start(SECOND, 0), 0, &LAW);
    let learnt = belief.routes[0].snapshot;
    assert!(belief.incomplete);
    assert_eq!((learnt.wait_until, learnt.condition), (START + 60 * SECOND, Condition::Failing));
    assert_eq!((learnt.success_rate, learnt.last_success_at, learnt.send_rate), (0.0, 0, 3.0));
    assert_eq!((&belief.list.newer, &belief.list.drains[..]), (&None, &["b".to_owned()][..]));
    assert_eq!(belief.warnings.len(), 1, "{:?}", belief.warnings);
}

#[test]
fn the_list_counts_where_it_is_newer_and_whole() {
    let all = snapshot(RouteSnapshot::default());
    let list =
        |snapshot: &Snapshot, after: Micros, index| restore(snapshot, &start(after, 0), index, &LAW).list;
    let newer = list(&all, SECOND, 40);
    assert_eq!(newer.newer.map(|newer| (newer.0, newer.1[&7].len())), Some((41, 2)));
    assert_eq!(newer.good_for, LIST_GOOD_FOR - SECOND);
    let same = list(&all, SECOND, 41);
    assert_eq!((same.newer, same.drains.len(), same.good_for), (None, 0, LIST_GOOD_FOR - SECOND));
    assert_eq!(
        list(&all, SECOND, 42),
        Default::default(),
        "the configuration's is newer: its drains are its own"
    );
    let old = list(&all, 2 * HOUR, 40);
    assert_eq!((old.newer, old.drains), (None, vec!["b".to_owned()]));
    let unsure = Snapshot { list: None, ..all };
    assert_eq!(list(&unsure, SECOND, 40).drains, ["b"]);
}

fn any_learnt() -> impl Strategy<Value = RouteSnapshot> {
    let past = || prop::option::of((0u64..2 * HOUR).prop_map(|ago| START - ago));
    let figure = || prop_oneof![Just(0.0), 0.01f64..500.0];
    let worst = prop_oneof![Just(Condition::Healthy), Just(Condition::Rejecting), Just(Condition::Failing)];
    let trial = prop::option::of((START - HOUR..START + HOUR, 0u64..10 * SECOND));
    ((0u64..2 * HOUR, figure(), past(), figure(), figure()), (worst, past(), past(), past(), trial, figure()))
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

/// Holds what is believed so long after, in truth, against what was so.
fn never_bolder(
    kept: &RouteSnapshot,
    belief: &RestoredState,
    now: Micros,
    truly: Micros,
) -> Result<(), TestCaseError> {
    let learnt = &belief.routes[0].snapshot;
    // How long something goes on from now, or is over for, in truth.
    let left = |until: Micros| (until - START).saturating_sub(truly);
    let ago = |at: Micros| START - at + truly;
    prop_assert!(learnt.wait_until.saturating_sub(now) >= left(kept.wait_until), "a wait is cut short");
    let times = [(kept.cold_since, learnt.cold_since), (kept.shortage_at, learnt.shortage_at)];
    for (kept, learnt) in times {
        if let (Some(kept), Some(learnt)) = (kept, learnt) {
            prop_assert!(learnt <= now && now - learnt <= ago(kept), "{kept} is further back than it is");
        }
        prop_assert_eq!(kept.is_some(), learnt.is_some());
    }
    prop_assert!(
        learnt.last_success_at == 0 || now - learnt.last_success_at >= ago(kept.last_success_at),
        "good news is fresher than it is"
    );
    prop_assert!(learnt.success_rate <= kept.success_rate + 1e-9);
    prop_assert!(learnt.send_rate == 0.0 || learnt.send_rate >= kept.send_rate);
    prop_assert!(learnt.recent_calls.0 == kept.recent_calls.0 || kept.recent_calls.0 == 0.0);
    prop_assert!(kept.condition != Condition::Failing || learnt.condition == Condition::Failing);
    prop_assert!(
        learnt.trial.is_none_or(|trial| trial.0 > now && trial.0 <= now + LAW.latency_objective / 2)
    );
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(3_000))]

    /// The machine's own clock is there: whatever the wall clock shows, waits end in time, and nothing is bolder.
    #[test]
    fn no_clock_makes_a_sender_bolder(
        kept in any_learnt(),
        truly in prop_oneof![0u64..10 * SECOND, 0u64..3 * HOUR],
        ahead in prop_oneof![Just(0i64), -(2 * HOUR as i64)..(1_000 * HOUR as i64)],
        restarted in any::<bool>(),
    ) {
        let mut start = start(truly, ahead);
        if restarted {
            // The machine was off for a part of the time, and counts from its start.
            start.stamp.boot = Some(Boot { id: 2, at: truly / 3 });
        }
        // Across a restart of the machine a wall clock that was set forward can't be told: what is good news is its word.
        prop_assume!(!restarted || ahead >= 0);
        let belief = restore(&snapshot(kept), &start, 0, &LAW);
        never_bolder(&kept, &belief, start.now, truly)?;
    }

    /// Without it the same holds unless the wall clock was set forward.
    #[test]
    fn without_the_machines_clock_one_that_is_set_back_does_no_harm(
        kept in any_learnt(),
        truly in 0u64..3 * HOUR,
        back in 0i64..(3 * HOUR as i64),
    ) {
        let mut start = start(truly, -back);
        start.stamp.boot = None;
        let mut snapshot = snapshot(kept);
        snapshot.stamp.boot = None;
        let belief = restore(&snapshot, &start, 0, &LAW);
        // What is good news is taken for as old as the clock says.
        let learnt = RouteSnapshot { last_success_at: 0, ..kept };
        let mut belief = belief;
        belief.routes[0].snapshot.last_success_at = 0;
        never_bolder(&learnt, &belief, start.now, truly)?;
    }
}
