//! What is remembered, for how long and how much of it; who sleeps; and who wakes first.

use std::collections::HashMap;

use idle_destinations::{
    ActivationLimiter, ActiveSet, Condition, IdleTable, IdleTableFull, Micros, RetainedHealth,
};

const SECOND: Micros = 1_000_000;
const DAY: Micros = 86_400 * SECOND;

fn waits(until: Micros) -> RetainedHealth {
    RetainedHealth { wait_until: until, ..RetainedHealth::default() }
}

fn bad() -> RetainedHealth {
    RetainedHealth { condition: Condition::Failing, ..RetainedHealth::default() }
}

#[test]
fn what_slept_longer_than_is_remembered_is_unknown_but_for_its_wait() {
    let mut memory = IdleTable::new(10, DAY, 0);
    memory.insert(1, RetainedHealth { limit: 4.0, ..waits(3 * DAY) }, SECOND).unwrap();
    memory.insert(2, bad(), SECOND).unwrap();
    let Some(facts) = memory.take(2, DAY - SECOND) else { panic!() };
    assert_eq!(facts.condition, Condition::Failing);
    assert_eq!(memory.wait_until(1, DAY), 3 * DAY);
    assert_eq!(memory.wait_until(1, 3 * DAY), 0);
    assert_eq!(memory.take(1, DAY + SECOND), Some(RetainedHealth { wait_until: 3 * DAY, ..bad() }));
    assert_eq!(memory.take(1, DAY), None);
    assert!(memory.is_empty());
}

#[test]
fn a_longer_wait_is_not_replaced_by_a_shorter() {
    let mut memory = IdleTable::new(10, DAY, 0);
    memory.insert(1, waits(50 * SECOND), 0).unwrap();
    memory.insert(1, waits(20 * SECOND), 0).unwrap();
    assert_eq!(memory.wait_until(1, SECOND), 50 * SECOND);
}

#[test]
fn a_clock_set_back_makes_nothing_unknown_and_ends_no_wait() {
    let mut memory = IdleTable::new(10, DAY, 10 * DAY);
    memory.insert(1, RetainedHealth { limit: 4.0, ..waits(11 * DAY) }, 10 * DAY).unwrap();
    let Some(facts) = memory.take(1, DAY) else { panic!() };
    assert_eq!(facts.wait_until, 11 * DAY);
}

/// Against a list of all that was kept, at random.
#[test]
fn no_wait_that_runs_is_dropped_and_the_bound_holds() {
    for seed in 0..200 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let most = rng.usize(1..60);
        let mut memory = IdleTable::new(most, 1_000 * SECOND, 0);
        let mut waiting: HashMap<u16, Micros> = HashMap::new();
        let mut now = 0;
        for _ in 0..400 {
            now += rng.u64(..10 * SECOND);
            let key = rng.u16(..100);
            if rng.u8(..4) == 0 {
                let until = memory.take(key, now).map_or(0, |facts| facts.wait_until);
                let known = waiting.remove(&key).unwrap_or(0);
                assert!(
                    known <= now || until >= known,
                    "seed {seed}: {known} at {now}, and it tells {until}"
                );
                continue;
            }
            let until = if rng.bool() { now + rng.u64(..300 * SECOND) } else { 0 };
            match memory.insert(key, RetainedHealth { condition: Condition::Rejecting, ..waits(until) }, now)
            {
                Ok(()) => {
                    let known = waiting.entry(key).or_default();
                    *known = until.max(*known);
                }
                Err(IdleTableFull) => {
                    // Waits are rounded up to a tenth of a second.
                    let run = waiting.values().filter(|until| **until + SECOND > now).count();
                    assert!(run >= most, "seed {seed}: refused with {run} waits of {most}");
                }
            }
            assert!(memory.len() <= most);
        }
    }
}

#[test]
fn what_is_worth_least_is_dropped_first_and_then_nobody_is_taken_for_new() {
    let mut memory = IdleTable::new(4, 100 * SECOND, 0);
    memory.insert("long forgotten", bad(), 0).unwrap();
    memory.insert("ill", bad(), 50 * SECOND).unwrap();
    memory.insert("well", RetainedHealth::default(), 60 * SECOND).unwrap();
    memory.insert("waits", waits(DAY), 60 * SECOND).unwrap();
    assert_eq!(memory.take("new", 110 * SECOND), None);
    memory.insert("another", waits(DAY), 110 * SECOND).unwrap();
    assert_eq!(memory.take("long forgotten", 110 * SECOND), Some(bad()));
    memory.insert("a third", waits(DAY), 111 * SECOND).unwrap();
    assert_eq!(memory.take("well", 111 * SECOND), Some(bad()));
    memory.insert("a fourth", waits(DAY), 111 * SECOND).unwrap();
    assert_eq!(memory.insert("a fifth", RetainedHealth::default(), 111 * SECOND), Err(IdleTableFull));
    assert_eq!((memory.len(), memory.wait_until("waits", 111 * SECOND)), (4, DAY));
}

#[test]
fn who_is_awake_is_looked_at_once_in_a_while() {
    let mut awake = ActiveSet::new(Some(10));
    awake.activate(1, 0);
    awake.activate(1, 5);
    awake.activate(2, 3);
    assert_eq!((awake.next_due(), awake.take_due(9), awake.len()), (Some(10), None, 2));
    assert_eq!((awake.take_due(10), awake.take_due(10), awake.contains(1)), (Some(1), None, false));
    awake.activate(1, 10);
    assert_eq!((awake.take_due(13), awake.next_due()), (Some(2), Some(20)));
    let mut never = ActiveSet::new(None);
    never.activate(1, 0);
    assert_eq!((never.take_due(Micros::MAX), never.contains(1)), (None, true));
}

#[test]
fn without_a_rate_all_wake_at_once() {
    let mut waking = ActivationLimiter::new(None, 1, 0);
    assert!((0..1_000).all(|key| waking.allows(key, 1.0, 0)));
    assert_eq!((waking.queued(), waking.next_due()), (0, None));
}

#[test]
fn a_thousand_wake_at_the_pace_the_fullest_first() {
    let mut waking = ActivationLimiter::new(Some(100.0), 1_000, 0);
    let asked: Vec<u32> = (0..1_000).filter(|key| waking.allows(*key, f64::from(*key), 0)).collect();
    // What was saved up goes at once, whoever comes first.
    assert_eq!(asked, (0..25).collect::<Vec<_>>());
    let (mut now, mut order) = (0, vec![]);
    while let Some(at) = waking.next_due() {
        assert!(at > now, "it is due at {at}, and it is {now}");
        now = at;
        for key in waking.take_granted(now, |_| true) {
            assert!(waking.allows(key, 1.0, now));
            order.push(key);
        }
    }
    assert_eq!(order, (25..1_000).rev().collect::<Vec<_>>());
    assert!((9_700_000..9_800_000).contains(&now), "{now}");
}

#[test]
fn so_many_first_calls_are_out_at_most() {
    let mut waking = ActivationLimiter::new(Some(1_000.0), 3, 0);
    let mut calls = 0;
    let mut begin = |waking: &mut ActivationLimiter<u32>, key, now| {
        let allowed = waking.allows(key, 1.0, now);
        if allowed {
            waking.call_started(u64::from(key));
            calls += 1;
        }
        allowed
    };
    assert_eq!((0..10).filter(|key| begin(&mut waking, *key, 0)).count(), 3);
    assert_eq!((waking.take_granted(SECOND, |_| true), waking.next_due()), (vec![], None));
    waking.call_completed(1);
    waking.call_completed(77);
    let turns = waking.take_granted(2 * SECOND, |_| true);
    assert_eq!(turns, [9]);
    assert!(begin(&mut waking, 9, 2 * SECOND));
    assert_eq!((waking.take_granted(3 * SECOND, |_| true), calls), (vec![], 4));
}

#[test]
fn a_turn_that_is_not_used_is_over_and_what_waits_for_nothing_leaves_the_line() {
    let mut waking = ActivationLimiter::new(Some(10.0), 1, 0);
    assert!(waking.allows(0, 1.0, 0));
    waking.call_started(0);
    for key in 1..5 {
        assert!(!waking.allows(key, f64::from(key), 0));
    }
    waking.call_completed(0);
    assert_eq!(waking.take_granted(SECOND, |_| true), [4]);
    // It was not tried: its place is free again, and it has to ask again.
    assert_eq!(waking.take_granted(2 * SECOND, |key| key != 3), [2]);
    assert!(!waking.allows(4, 9.0, 2 * SECOND));
    assert!(waking.allows(2, 9.0, 2 * SECOND));
    assert_eq!(waking.queued(), 2);
    // Worth that is no number is none.
    assert!(!waking.allows(6, f64::NAN, 2 * SECOND) && !waking.allows(7, -1.0, 2 * SECOND));
    assert_eq!(waking.take_granted(3 * SECOND, |_| true), [4]);
}
