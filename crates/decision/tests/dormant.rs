//! Destinations that sleep and wake, through the module alone.

mod common;

use common::*;
use decision::interface::*;

const DORMANT: IdlePolicy = IdlePolicy {
    idle_after: 30 * SECOND,
    retain_for: 1_000 * SECOND,
    max_retained: 100,
    max_active: 100,
    activations_per_second: 1_000.0,
};

fn drowsy() -> Settings {
    Settings { idle: Some(DORMANT), ..settings() }
}

fn at(destination: u16, endpoint: u16) -> EndpointEntry {
    let [high, low] = endpoint.to_be_bytes();
    EndpointEntry {
        endpoint: EndpointId([10, 1, high, low, 0, 80]),
        destination: DestinationId(destination),
        ..entry(1, 0)
    }
}

fn accepted(s: &mut Sender, class: usize, destination: u16) -> Event {
    let message = s.message(class, None, 20 * SECOND);
    Event::Accepted(Message { destination: DestinationId(destination), ..message })
}

fn accept_all(s: &mut Sender, destinations: impl Iterator<Item = u16>) {
    let events = destinations.map(|destination| accepted(s, SAFE, destination)).collect();
    s.tell(events);
}

fn deliver_all(s: &mut Sender) {
    while !s.out.is_empty() {
        s.end(Outcome::Delivered);
    }
}

/// Long enough for all to sleep.
fn night(s: &mut Sender) {
    s.pass(2 * DORMANT.idle_after + SECOND);
}

fn told(s: &mut Sender, wait: Micros) {
    s.tell(vec![Event::RetryAfter { endpoint: endpoint(1), wait }]);
}

#[test]
fn what_is_idle_sleeps_and_what_waits_or_is_out_does_not() {
    let mut s = Sender::new(drowsy(), &[entry(1, 0), at(8, 8), at(9, 9)]);
    assert_eq!(s.policy.active_and_idle(), (0, 0), "what is only listed takes up nothing");
    s.serve(3);
    assert_eq!(s.policy.active_and_idle(), (1, 0));
    night(&mut s);
    assert_eq!(s.policy.active_and_idle(), (0, 1));
    // One that has a call out all the while.
    let message = s.message(ONCE, None, 500 * SECOND);
    s.tell(vec![Event::Accepted(message)]);
    let out = s.out.pop().unwrap();
    night(&mut s);
    assert_eq!(s.policy.active_and_idle(), (1, 0));
    let end = s.ended(out, Outcome::Delivered);
    s.tell(vec![end]);
    night(&mut s);
    assert_eq!(s.policy.active_and_idle(), (0, 1));
}

#[test]
fn without_the_setting_nothing_sleeps() {
    let mut s = Sender::new(settings(), &[entry(1, 0)]);
    s.serve(3);
    s.pass(10_000 * SECOND);
    assert_eq!(s.policy.active_and_idle(), (1, 0));
}

#[test]
fn a_wait_outlasts_the_sleep() {
    let mut s = Sender::new(drowsy(), &[entry(1, 0)]);
    s.serve(3);
    told(&mut s, 100 * SECOND);
    let until = s.now + 100 * SECOND;
    night(&mut s);
    assert_eq!(s.policy.active_and_idle(), (0, 1));
    let before = s.sent.len();
    s.pass(until - s.now - 10 * SECOND);
    s.accept(SAFE);
    s.pass(9 * SECOND);
    assert_eq!(s.sent.len(), before, "the wait still runs");
    s.pass(2 * SECOND);
    assert_eq!(s.sent.len(), before + 1);
    assert!(s.sent[before].sent >= until);
}

#[test]
fn a_wait_may_end_in_the_turn_of_the_waking() {
    let mut s = Sender::new(drowsy(), &[entry(1, 0)]);
    s.serve(3);
    told(&mut s, 100 * SECOND);
    let until = s.now + 100 * SECOND;
    night(&mut s);
    s.pass(until - s.now);
    let before = s.sent.len();
    s.accept(SAFE);
    // Waits are kept in tenths of a second, rounded up.
    s.pass(SECOND / 10);
    assert_eq!(s.sent.len(), before + 1);
}

#[test]
fn a_wait_told_while_it_sleeps_is_heeded() {
    let mut s = Sender::new(drowsy(), &[entry(1, 0)]);
    s.serve(3);
    night(&mut s);
    told(&mut s, 15 * SECOND);
    let before = s.sent.len();
    s.accept(SAFE);
    s.pass(14 * SECOND);
    assert_eq!(s.sent.len(), before);
    s.pass(2 * SECOND);
    assert_eq!(s.sent.len(), before + 1);
}

/// It leaves the list while a wait runs, and is back under another endpoint; its routes are one, or apart.
#[test]
fn a_wait_is_the_destinations_wherever_it_comes_back() {
    for kind in [0, 1] {
        for asleep in [false, true] {
            let mut s = Sender::new(drowsy(), &[entry(1, kind)]);
            s.serve(3);
            told(&mut s, 100 * SECOND);
            let until = s.now + 100 * SECOND;
            if asleep {
                night(&mut s);
            }
            s.tell(vec![Event::EndpointList(vec![at(8, 8)])]);
            s.pass(SECOND);
            s.tell(vec![Event::EndpointList(vec![entry(2, kind), at(8, 8)])]);
            let before = s.sent.len();
            s.pass(until - s.now - 10 * SECOND);
            s.accept(SAFE);
            s.pass(9 * SECOND);
            assert_eq!(s.sent.len(), before, "kind {kind}, asleep {asleep}");
            s.pass(2 * SECOND);
            assert_eq!(s.sent.len(), before + 1, "kind {kind}, asleep {asleep}");
        }
    }
}

/// How many calls go in the time of an overload after the first is answered, with much to send.
fn returning(s: &mut Sender) -> (usize, usize) {
    let before = s.sent.len();
    accept_all(s, [DEST.0; 30].into_iter());
    s.pass(SECOND);
    let first = s.sent.len() - before;
    deliver_all(s);
    for _ in 0..30 {
        s.pass(SECOND / 10);
        deliver_all(s);
    }
    (first, s.sent.len() - before - first)
}

#[test]
fn what_was_well_gets_one_call_and_then_all() {
    let mut s = Sender::new(drowsy(), &[entry(1, 0)]);
    s.serve(20);
    night(&mut s);
    let (first, then) = returning(&mut s);
    assert_eq!(first, 1, "those that wake begin with one call");
    assert!(then >= 25, "{then}");
}

#[test]
fn what_was_ill_gets_one_call_and_then_the_ramp() {
    let mut s = Sender::new(drowsy(), &[entry(1, 0)]);
    s.serve(20);
    s.suffer(5, Outcome::Error);
    night(&mut s);
    assert_eq!(s.policy.active_and_idle(), (0, 1));
    let (first, then) = returning(&mut s);
    assert_eq!(first, 1);
    // A fifth of about four calls a second, twice over, for three seconds.
    assert!((1..=6).contains(&then), "{then}");
}

#[test]
fn what_is_still_ill_gets_no_second_call_for_a_while() {
    let mut s = Sender::new(drowsy(), &[entry(1, 0)]);
    s.suffer(5, Outcome::ConnectFailed);
    night(&mut s);
    assert_eq!(s.policy.active_and_idle(), (0, 1));
    let before = s.sent.len();
    accept_all(&mut s, [DEST.0; 5].into_iter());
    s.end(Outcome::ConnectFailed);
    s.pass(2 * SECOND);
    assert_eq!(s.sent.len(), before + 1, "its one failure opened the breaker");
    // Silent is as bad: nothing follows the one call while it hangs.
    s.pass(SECOND);
    assert_eq!(s.sent.len(), before + 2);
    s.pass(SECOND);
    assert_eq!(s.sent.len(), before + 2);
}

#[test]
fn what_slept_longer_than_it_is_remembered_is_unknown() {
    let mut s = Sender::new(drowsy(), &[entry(1, 0)]);
    s.serve(20);
    s.pass(DORMANT.retain_for + 2 * DORMANT.idle_after);
    let (first, then) = returning(&mut s);
    assert_eq!(first, 1);
    assert!((1..=6).contains(&then), "as careful as with one that was ill: {then}");
}

#[test]
fn a_limit_is_remembered() {
    let mut s = Sender::new(drowsy(), &[entry(1, 0)]);
    s.serve(20);
    // It refuses, and takes four calls a second at most from then on.
    for _ in 0..4 {
        accept_all(&mut s, [DEST.0; 4].into_iter());
        while let Some(out) = s.out.pop() {
            let end = s.ended(out, Outcome::Rejected(None));
            s.tell(vec![end]);
        }
        s.pass(SECOND);
    }
    while !s.out.is_empty() || s.policy.pending_messages() > 0 {
        deliver_all(&mut s);
        s.pass(SECOND / 10);
    }
    let calls = |s: &mut Sender| {
        let before = s.sent.len();
        accept_all(s, [DEST.0; 30].into_iter());
        for _ in 0..20 {
            s.pass(SECOND / 10);
            deliver_all(s);
        }
        s.sent.len() - before
    };
    let awake = calls(&mut s);
    // What could not go is withdrawn.
    let left = (0..200).map(|n| Event::Withdrawn(MessageId(n))).collect();
    s.tell(left);
    deliver_all(&mut s);
    night(&mut s);
    assert_eq!(s.policy.active_and_idle(), (0, 1));
    let woken = calls(&mut s);
    assert!(awake < 15 && woken < 15, "{awake} calls before, {woken} after");
}

#[test]
fn a_thousand_wake_at_their_pace_and_the_busy_one_does_not_wait() {
    let entries: Vec<_> = (0..1_001).map(|n| at(n, n)).collect();
    let dormant =
        IdlePolicy { max_retained: 2_000, max_active: 2_000, activations_per_second: 100.0, ..DORMANT };
    let settings = Settings { max_calls: 64, max_messages: 4_000, idle: Some(dormant), ..settings() };
    let mut s = Sender::new(settings, &entries);
    accept_all(&mut s, std::iter::once(0));
    deliver_all(&mut s);
    let begun = s.now;
    accept_all(&mut s, 1..1_001);
    let mut waited = 0;
    while s.sent.len() < 1_000 && s.now < begun + 19 * SECOND {
        accept_all(&mut s, std::iter::once(0));
        waited += u32::from(s.out.iter().all(|out| out.endpoint != at(0, 0).endpoint));
        assert!(s.out.len() <= 33, "{}", s.out.len());
        s.pass(SECOND / 20);
        deliver_all(&mut s);
        // So many a second, and what was saved up before.
        let woken = s.sent.iter().filter(|sent| sent.endpoint != at(0, 0).endpoint).count();
        assert!(woken as u64 <= 26 + (s.now - begun) / 10_000, "{woken} after {}", s.now - begun);
    }
    assert_eq!(waited, 0, "the busy one had to wait");
    assert!(s.now - begun < 12 * SECOND && s.refused.is_empty(), "{}", s.now - begun);
}

#[test]
fn the_fullest_worth_wakes_first() {
    let entries: Vec<_> = (0..200).map(|n| at(n, n)).collect();
    let dormant = IdlePolicy { max_retained: 200, max_active: 200, activations_per_second: 4.0, ..DORMANT };
    let mut rich = settings();
    rich.classes[KEYED].priority_weight = 5.0;
    let settings = Settings { max_calls: 64, max_messages: 400, idle: Some(dormant), ..rich };
    let mut s = Sender::new(settings, &entries);
    accept_all(&mut s, 0..100);
    let events = (100..110).map(|destination| accepted(&mut s, KEYED, destination)).collect();
    s.tell(events);
    assert_eq!(s.sent.len(), 1);
    s.pass(5 * SECOND / 2);
    let rest: Vec<_> = s.sent[1..].iter().map(|sent| sent.endpoint).collect();
    assert_eq!(rest.len(), 10);
    assert!(rest.iter().all(|e| (100..110).any(|n| at(n, n).endpoint == *e)), "{rest:?}");
}

#[test]
fn a_list_that_takes_twenty_thousand_away_and_brings_them_back_changes_nothing_for_them() {
    let entries: Vec<_> = (0..20_000).map(|n| at(n, n)).collect();
    let dormant =
        IdlePolicy { max_retained: 20_000, max_active: 20_000, activations_per_second: 1e6, ..DORMANT };
    let settings = Settings { max_calls: 4_000, max_messages: 40_000, idle: Some(dormant), ..settings() };
    let mut s = Sender::new(settings, &entries);
    accept_all(&mut s, 0..1_000);
    deliver_all(&mut s);
    let waits =
        (0..1_000).map(|n| Event::RetryAfter { endpoint: at(n, n).endpoint, wait: 200 * SECOND }).collect();
    s.tell(waits);
    night(&mut s);
    assert_eq!(s.policy.active_and_idle(), (0, 1_000));
    accept_all(&mut s, 0..10);
    let before = s.sent.len();
    s.tell(vec![Event::EndpointList(vec![])]);
    s.pass(SECOND);
    s.tell(vec![Event::EndpointList(entries)]);
    accept_all(&mut s, (10..20).chain(2_000..2_005));
    s.pass(SECOND);
    let sent: Vec<_> = s.sent[before..].iter().map(|sent| sent.endpoint).collect();
    assert_eq!(sent, (2_000..2_005).map(|n| at(n, n).endpoint).collect::<Vec<_>>());
    assert_eq!(s.policy.active_and_idle(), (25, 980));
}

#[test]
fn a_memory_full_of_waits_keeps_them_and_then_refuses_others() {
    let entries: Vec<_> = (0..20).map(|n| at(n, n)).collect();
    let dormant = IdlePolicy { max_retained: 4, max_active: 8, ..DORMANT };
    let mut s = Sender::new(Settings { idle: Some(dormant), ..settings() }, &entries);
    let waits =
        (0..10).map(|n| Event::RetryAfter { endpoint: at(n, n).endpoint, wait: 300 * SECOND }).collect();
    s.tell(waits);
    night(&mut s);
    assert_eq!(s.policy.active_and_idle(), (6, 4), "what can't be remembered stays awake");
    accept_all(&mut s, 10..13);
    assert_eq!((s.sent.len(), s.refused.len()), (2, 1));
    let (_, again) = s.refused[0];
    assert!(again > 0 && again <= 3 * SECOND, "{again}");
    // None of those whose wait runs is sent to.
    deliver_all(&mut s);
    accept_all(&mut s, 0..8);
    s.pass(15 * SECOND);
    assert_eq!(s.sent.len(), 2);
}

/// Ten thousand whose waits end at the same moment: no more go than there are slots, none goes before, none is lost.
#[test]
fn ten_thousand_waits_end_together() {
    let entries: Vec<_> = (0..10_000).map(|n| at(n, n)).collect();
    let dormant =
        IdlePolicy { max_retained: 10_000, max_active: 10_000, activations_per_second: 1e6, ..DORMANT };
    let settings = Settings { max_calls: 500, max_messages: 20_000, idle: Some(dormant), ..settings() };
    let mut s = Sender::new(settings, &entries);
    let until = s.now + 10 * SECOND;
    let waits =
        (0..10_000).map(|n| Event::RetryAfter { endpoint: at(n, n).endpoint, wait: 10 * SECOND }).collect();
    s.tell(waits);
    accept_all(&mut s, 0..10_000);
    let mut delivered = 0;
    while s.policy.pending_messages() > 0 && s.now < until + 9 * SECOND {
        s.pass(SECOND / 20);
        assert!(s.out.len() <= 500);
        delivered += s.out.len();
        let ends = std::mem::take(&mut s.out);
        let ends = ends.into_iter().map(|out| s.ended(out, Outcome::Delivered)).collect();
        s.tell(ends);
    }
    assert!(s.sent.iter().all(|sent| sent.sent >= until));
    assert_eq!((s.policy.pending_messages(), s.refused.len(), s.sent.len()), (0, 0, 10_000), "{delivered}");
}

/// Silent, or refusing connections: its calls go one at a time until one is answered, whatever waits for it.
#[test]
fn what_wakes_and_does_not_answer_gets_one_call_at_a_time() {
    for outcome in [Outcome::TimedOut, Outcome::ConnectFailed, Outcome::Reset] {
        let mut s = Sender::new(drowsy(), &[entry(1, 0)]);
        accept_all(&mut s, [DEST.0; 6].into_iter());
        for _ in 0..3 {
            assert_eq!(s.out.len(), 1, "{outcome:?}");
            s.end(outcome);
            s.pass(SECOND);
        }
    }
}
