//! Tests what is retained of idle destinations, for how long, and in what order they are activated.

use std::collections::HashMap;

use idle_destinations::{
    ActivationLimiter, ActiveSet, Condition, IdleTable, IdleTableFull, Micros, RetainedHealth,
};

const SECOND: Micros = 1_000_000;
const DAY: Micros = 86_400 * SECOND;

fn with_retry_after(until: Micros) -> RetainedHealth {
    RetainedHealth { wait_until: until, ..RetainedHealth::default() }
}

fn failing() -> RetainedHealth {
    RetainedHealth { condition: Condition::Failing, ..RetainedHealth::default() }
}

#[test]
fn expired_entry_counts_as_failing_and_retains_its_retry_after() {
    let mut table = IdleTable::new(10, DAY, 0);
    table.insert(1, RetainedHealth { limit: 4.0, ..with_retry_after(3 * DAY) }, SECOND).unwrap();
    table.insert(2, failing(), SECOND).unwrap();
    let Some(health) = table.take(2, DAY - SECOND) else { panic!() };
    assert_eq!(health.condition, Condition::Failing);
    assert_eq!(table.wait_until(1, DAY), 3 * DAY);
    assert_eq!(table.wait_until(1, 3 * DAY), 0);
    assert_eq!(table.take(1, DAY + SECOND), Some(RetainedHealth { wait_until: 3 * DAY, ..failing() }));
    assert_eq!(table.take(1, DAY), None);
    assert!(table.is_empty());
}

#[test]
fn longer_retry_after_is_not_replaced_by_a_shorter_one() {
    let mut table = IdleTable::new(10, DAY, 0);
    table.insert(1, with_retry_after(50 * SECOND), 0).unwrap();
    table.insert(1, with_retry_after(20 * SECOND), 0).unwrap();
    assert_eq!(table.wait_until(1, SECOND), 50 * SECOND);
}

#[test]
fn clock_set_back_expires_no_entry_and_no_retry_after() {
    let mut table = IdleTable::new(10, DAY, 10 * DAY);
    table.insert(1, RetainedHealth { limit: 4.0, ..with_retry_after(11 * DAY) }, 10 * DAY).unwrap();
    let Some(health) = table.take(1, DAY) else { panic!() };
    assert_eq!(health.wait_until, 11 * DAY);
}

/// Applies random operations and compares the table with a map of all active Retry-After deadlines.
#[test]
fn active_retry_after_is_never_evicted_and_capacity_never_exceeded() {
    for seed in 0..200 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let capacity = rng.usize(1..60);
        let mut table = IdleTable::new(capacity, 1_000 * SECOND, 0);
        let mut waiting: HashMap<u16, Micros> = HashMap::new();
        let mut now = 0;
        for _ in 0..400 {
            now += rng.u64(..10 * SECOND);
            let key = rng.u16(..100);
            if rng.u8(..4) == 0 {
                let until = table.take(key, now).map_or(0, |health| health.wait_until);
                let expected = waiting.remove(&key).unwrap_or(0);
                assert!(
                    expected <= now || until >= expected,
                    "seed {seed}: expected {expected} at {now}, got {until}"
                );
                continue;
            }
            let until = if rng.bool() { now + rng.u64(..300 * SECOND) } else { 0 };
            match table.insert(
                key,
                RetainedHealth { condition: Condition::Rejecting, ..with_retry_after(until) },
                now,
            ) {
                Ok(()) => {
                    let expected = waiting.entry(key).or_default();
                    *expected = until.max(*expected);
                }
                Err(IdleTableFull) => {
                    // The end of a Retry-After is rounded up to a tenth of a second.
                    let active = waiting.values().filter(|until| **until + SECOND > now).count();
                    assert!(
                        active >= capacity,
                        "seed {seed}: rejected with {active} active Retry-After, capacity {capacity}"
                    );
                }
            }
            assert!(table.len() <= capacity);
        }
    }
}

#[test]
fn entries_are_evicted_by_rank_and_then_missing_ones_count_as_failing() {
    let mut table = IdleTable::new(4, 100 * SECOND, 0);
    table.insert("expired", failing(), 0).unwrap();
    table.insert("unhealthy", failing(), 50 * SECOND).unwrap();
    table.insert("healthy", RetainedHealth::default(), 60 * SECOND).unwrap();
    table.insert("waiting", with_retry_after(DAY), 60 * SECOND).unwrap();
    assert_eq!(table.take("new", 110 * SECOND), None);
    table.insert("another", with_retry_after(DAY), 110 * SECOND).unwrap();
    assert_eq!(table.take("expired", 110 * SECOND), Some(failing()));
    table.insert("a third", with_retry_after(DAY), 111 * SECOND).unwrap();
    assert_eq!(table.take("healthy", 111 * SECOND), Some(failing()));
    table.insert("a fourth", with_retry_after(DAY), 111 * SECOND).unwrap();
    assert_eq!(table.insert("a fifth", RetainedHealth::default(), 111 * SECOND), Err(IdleTableFull));
    assert_eq!((table.len(), table.wait_until("waiting", 111 * SECOND)), (4, DAY));
}

#[test]
fn active_destinations_are_checked_at_intervals() {
    let mut active = ActiveSet::new(Some(10));
    active.activate(1, 0);
    active.activate(1, 5);
    active.activate(2, 3);
    assert_eq!((active.next_due(), active.take_due(9), active.len()), (Some(10), None, 2));
    assert_eq!((active.take_due(10), active.take_due(10), active.contains(1)), (Some(1), None, false));
    active.activate(1, 10);
    assert_eq!((active.take_due(13), active.next_due()), (Some(2), Some(20)));
    let mut without_idle_time = ActiveSet::new(None);
    without_idle_time.activate(1, 0);
    assert_eq!((without_idle_time.take_due(Micros::MAX), without_idle_time.contains(1)), (None, true));
}

#[test]
fn without_a_rate_all_destinations_are_activated_at_once() {
    let mut limiter = ActivationLimiter::new(None, 1, 0);
    assert!((0..1_000).all(|key| limiter.allows(key, 1.0, 0)));
    assert_eq!((limiter.queued(), limiter.next_due()), (0, None));
}

#[test]
fn queued_destinations_are_activated_at_the_rate_by_priority() {
    let mut limiter = ActivationLimiter::new(Some(100.0), 1_000, 0);
    let allowed: Vec<u32> = (0..1_000).filter(|key| limiter.allows(*key, f64::from(*key), 0)).collect();
    // The accumulated tokens are used at once, in the order of the requests.
    assert_eq!(allowed, (0..25).collect::<Vec<_>>());
    let (mut now, mut activated) = (0, vec![]);
    while let Some(at) = limiter.next_due() {
        assert!(at > now, "the next activation is due at {at}, which is not after {now}");
        now = at;
        for key in limiter.take_granted(now, |_| true) {
            assert!(limiter.allows(key, 1.0, now));
            activated.push(key);
        }
    }
    assert_eq!(activated, (25..1_000).rev().collect::<Vec<_>>());
    assert!((9_700_000..9_800_000).contains(&now), "{now}");
}

#[test]
fn first_calls_in_flight_are_limited() {
    let mut limiter = ActivationLimiter::new(Some(1_000.0), 3, 0);
    let mut calls_started = 0;
    let mut start = |limiter: &mut ActivationLimiter<u32>, key, now| {
        let allowed = limiter.allows(key, 1.0, now);
        if allowed {
            limiter.call_started(u64::from(key));
            calls_started += 1;
        }
        allowed
    };
    assert_eq!((0..10).filter(|key| start(&mut limiter, *key, 0)).count(), 3);
    assert_eq!((limiter.take_granted(SECOND, |_| true), limiter.next_due()), (vec![], None));
    limiter.call_completed(1);
    limiter.call_completed(77);
    let granted = limiter.take_granted(2 * SECOND, |_| true);
    assert_eq!(granted, [9]);
    assert!(start(&mut limiter, 9, 2 * SECOND));
    assert_eq!((limiter.take_granted(3 * SECOND, |_| true), calls_started), (vec![], 4));
}

#[test]
fn unused_grants_expire_and_destinations_without_messages_leave_the_queue() {
    let mut limiter = ActivationLimiter::new(Some(10.0), 1, 0);
    assert!(limiter.allows(0, 1.0, 0));
    limiter.call_started(0);
    for key in 1..5 {
        assert!(!limiter.allows(key, f64::from(key), 0));
    }
    limiter.call_completed(0);
    assert_eq!(limiter.take_granted(SECOND, |_| true), [4]);
    // Destination 4 was not attempted: its grant expires, and it has to be queued again.
    assert_eq!(limiter.take_granted(2 * SECOND, |key| key != 3), [2]);
    assert!(!limiter.allows(4, 9.0, 2 * SECOND));
    assert!(limiter.allows(2, 9.0, 2 * SECOND));
    assert_eq!(limiter.queued(), 2);
    // NaN and negative priorities count as 0.
    assert!(!limiter.allows(6, f64::NAN, 2 * SECOND) && !limiter.allows(7, -1.0, 2 * SECOND));
    assert_eq!(limiter.take_granted(3 * SECOND, |_| true), [4]);
}
