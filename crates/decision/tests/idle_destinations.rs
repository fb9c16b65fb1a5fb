//! Destinations that become idle and are activated again.

mod common;

use common::*;
use decision::interface::*;

const IDLE_POLICY: IdlePolicy = IdlePolicy {
    idle_after: 30 * SECOND,
    retain_for: 1_000 * SECOND,
    max_retained: 100,
    max_active: 100,
    activations_per_second: 1_000.0,
};

fn settings_with_idle_policy() -> Settings {
    Settings { idle: Some(IDLE_POLICY), ..settings() }
}

fn entry_of(destination: u16, endpoint: u16) -> EndpointEntry {
    let [high, low] = endpoint.to_be_bytes();
    EndpointEntry {
        endpoint: EndpointId([10, 1, high, low, 0, 80]),
        destination: DestinationId(destination),
        ..entry(1, 0)
    }
}

fn accepted_event(s: &mut Sender, class: usize, destination: u16) -> Event {
    let message = s.message(class, None, 20 * SECOND);
    Event::Accepted(Message { destination: DestinationId(destination), ..message })
}

fn accept_all(s: &mut Sender, destinations: impl Iterator<Item = u16>) {
    let events = destinations.map(|destination| accepted_event(s, IDEMPOTENT, destination)).collect();
    s.handle(events);
}

fn deliver_all(s: &mut Sender) {
    while !s.in_flight.is_empty() {
        s.end(Outcome::Delivered);
    }
}

/// Advances the time until every destination without pending messages or calls in flight is idle.
fn let_all_become_idle(s: &mut Sender) {
    s.advance(2 * IDLE_POLICY.idle_after + SECOND);
}

fn receive_retry_after(s: &mut Sender, wait: Micros) {
    s.handle(vec![Event::RetryAfter { endpoint: endpoint(1), wait }]);
}

#[test]
fn destination_becomes_idle_unless_call_is_in_flight() {
    let mut s = Sender::new(settings_with_idle_policy(), &[entry(1, 0), entry_of(8, 8), entry_of(9, 9)]);
    assert_eq!(s.policy.active_and_idle(), (0, 0), "a destination that is only listed is not counted");
    s.deliver(3);
    assert_eq!(s.policy.active_and_idle(), (1, 0));
    let_all_become_idle(&mut s);
    assert_eq!(s.policy.active_and_idle(), (0, 1));
    // A destination with a call in flight stays active all the time.
    let message = s.message(NON_IDEMPOTENT, None, 500 * SECOND);
    s.handle(vec![Event::Accepted(message)]);
    let attempt = s.in_flight.pop().unwrap();
    let_all_become_idle(&mut s);
    assert_eq!(s.policy.active_and_idle(), (1, 0));
    let end = s.ended(attempt, Outcome::Delivered);
    s.handle(vec![end]);
    let_all_become_idle(&mut s);
    assert_eq!(s.policy.active_and_idle(), (0, 1));
}

#[test]
fn without_idle_policy_destinations_stay_active() {
    let mut s = Sender::new(settings(), &[entry(1, 0)]);
    s.deliver(3);
    s.advance(10_000 * SECOND);
    assert_eq!(s.policy.active_and_idle(), (1, 0));
}

#[test]
fn wait_outlasts_idle_period() {
    let mut s = Sender::new(settings_with_idle_policy(), &[entry(1, 0)]);
    s.deliver(3);
    receive_retry_after(&mut s, 100 * SECOND);
    let until = s.now + 100 * SECOND;
    let_all_become_idle(&mut s);
    assert_eq!(s.policy.active_and_idle(), (0, 1));
    let before = s.sent.len();
    s.advance(until - s.now - 10 * SECOND);
    s.accept(IDEMPOTENT);
    s.advance(9 * SECOND);
    assert_eq!(s.sent.len(), before, "the wait has not ended");
    s.advance(2 * SECOND);
    assert_eq!(s.sent.len(), before + 1);
    assert!(s.sent[before].sent >= until);
}

#[test]
fn wait_may_end_in_tick_of_activation() {
    let mut s = Sender::new(settings_with_idle_policy(), &[entry(1, 0)]);
    s.deliver(3);
    receive_retry_after(&mut s, 100 * SECOND);
    let until = s.now + 100 * SECOND;
    let_all_become_idle(&mut s);
    s.advance(until - s.now);
    let before = s.sent.len();
    s.accept(IDEMPOTENT);
    // Waits are stored in tenths of a second, rounded up.
    s.advance(SECOND / 10);
    assert_eq!(s.sent.len(), before + 1);
}

#[test]
fn wait_received_while_idle_is_respected() {
    let mut s = Sender::new(settings_with_idle_policy(), &[entry(1, 0)]);
    s.deliver(3);
    let_all_become_idle(&mut s);
    receive_retry_after(&mut s, 15 * SECOND);
    let before = s.sent.len();
    s.accept(IDEMPOTENT);
    s.advance(14 * SECOND);
    assert_eq!(s.sent.len(), before);
    s.advance(2 * SECOND);
    assert_eq!(s.sent.len(), before + 1);
}

/// A destination, idle or active, leaves the list during a wait and comes back under another endpoint. `kind`
/// 0 has one route for all endpoints, `kind` 1 separate routes.
#[test]
fn wait_applies_after_return_under_another_endpoint() {
    for kind in [0, 1] {
        for idle in [false, true] {
            let mut s = Sender::new(settings_with_idle_policy(), &[entry(1, kind)]);
            s.deliver(3);
            receive_retry_after(&mut s, 100 * SECOND);
            let until = s.now + 100 * SECOND;
            if idle {
                let_all_become_idle(&mut s);
            }
            s.handle(vec![Event::EndpointList(vec![entry_of(8, 8)])]);
            s.advance(SECOND);
            s.handle(vec![Event::EndpointList(vec![entry(2, kind), entry_of(8, 8)])]);
            let before = s.sent.len();
            s.advance(until - s.now - 10 * SECOND);
            s.accept(IDEMPOTENT);
            s.advance(9 * SECOND);
            assert_eq!(s.sent.len(), before, "kind {kind}, idle {idle}");
            s.advance(2 * SECOND);
            assert_eq!(s.sent.len(), before + 1, "kind {kind}, idle {idle}");
        }
    }
}

/// Returns the number of calls before the first answer, and in the overload span after it, with many pending
/// messages.
fn calls_after_activation(s: &mut Sender) -> (usize, usize) {
    let before = s.sent.len();
    accept_all(s, [DEST.0; 30].into_iter());
    s.advance(SECOND);
    let first = s.sent.len() - before;
    deliver_all(s);
    for _ in 0..30 {
        s.advance(SECOND / 10);
        deliver_all(s);
    }
    (first, s.sent.len() - before - first)
}

#[test]
fn healthy_destination_gets_one_call_then_all() {
    let mut s = Sender::new(settings_with_idle_policy(), &[entry(1, 0)]);
    s.deliver(20);
    let_all_become_idle(&mut s);
    let (first, then) = calls_after_activation(&mut s);
    assert_eq!(first, 1, "an activated destination begins with one call");
    assert!(then >= 25, "{then}");
}

#[test]
fn unhealthy_destination_gets_one_call_then_slow_start() {
    let mut s = Sender::new(settings_with_idle_policy(), &[entry(1, 0)]);
    s.deliver(20);
    s.end_calls(5, Outcome::Error);
    let_all_become_idle(&mut s);
    assert_eq!(s.policy.active_and_idle(), (0, 1));
    let (first, then) = calls_after_activation(&mut s);
    assert_eq!(first, 1);
    // A fifth (`cold_share`) of about four calls a second, twice (`overload_multiple`), for three seconds.
    assert!((1..=6).contains(&then), "{then}");
}

#[test]
fn still_unhealthy_destination_gets_no_second_call_at_once() {
    let mut s = Sender::new(settings_with_idle_policy(), &[entry(1, 0)]);
    s.end_calls(5, Outcome::ConnectFailed);
    let_all_become_idle(&mut s);
    assert_eq!(s.policy.active_and_idle(), (0, 1));
    let before = s.sent.len();
    accept_all(&mut s, [DEST.0; 5].into_iter());
    s.end(Outcome::ConnectFailed);
    s.advance(2 * SECOND);
    assert_eq!(s.sent.len(), before + 1, "its single failure opened the breaker");
    // A call without an answer counts as much: no other call follows while it is in flight.
    s.advance(SECOND);
    assert_eq!(s.sent.len(), before + 2);
    s.advance(SECOND);
    assert_eq!(s.sent.len(), before + 2);
}

#[test]
fn destination_idle_beyond_retention_is_unknown() {
    let mut s = Sender::new(settings_with_idle_policy(), &[entry(1, 0)]);
    s.deliver(20);
    s.advance(IDLE_POLICY.retain_for + 2 * IDLE_POLICY.idle_after);
    let (first, then) = calls_after_activation(&mut s);
    assert_eq!(first, 1);
    assert!((1..=6).contains(&then), "slow start, as for an unhealthy destination: {then}");
}

#[test]
fn send_rate_is_retained_while_idle() {
    let mut s = Sender::new(settings_with_idle_policy(), &[entry(1, 0)]);
    s.deliver(20);
    // The destination rejects calls; after that it accepts four a second at most.
    for _ in 0..4 {
        accept_all(&mut s, [DEST.0; 4].into_iter());
        while let Some(attempt) = s.in_flight.pop() {
            let end = s.ended(attempt, Outcome::Rejected(None));
            s.handle(vec![end]);
        }
        s.advance(SECOND);
    }
    while !s.in_flight.is_empty() || s.policy.pending_messages() > 0 {
        deliver_all(&mut s);
        s.advance(SECOND / 10);
    }
    let calls = |s: &mut Sender| {
        let before = s.sent.len();
        accept_all(s, [DEST.0; 30].into_iter());
        for _ in 0..20 {
            s.advance(SECOND / 10);
            deliver_all(s);
        }
        s.sent.len() - before
    };
    let before_idle = calls(&mut s);
    // The messages that could not be sent are withdrawn.
    let withdrawn = (0..200).map(|n| Event::Withdrawn(MessageId(n))).collect();
    s.handle(withdrawn);
    deliver_all(&mut s);
    let_all_become_idle(&mut s);
    assert_eq!(s.policy.active_and_idle(), (0, 1));
    let after_idle = calls(&mut s);
    assert!(before_idle < 15 && after_idle < 15, "{before_idle} calls before, {after_idle} after");
}

#[test]
fn thousand_activations_keep_rate_without_delaying_busy_destination() {
    let entries: Vec<_> = (0..1_001).map(|n| entry_of(n, n)).collect();
    let idle_policy =
        IdlePolicy { max_retained: 2_000, max_active: 2_000, activations_per_second: 100.0, ..IDLE_POLICY };
    let settings = Settings { max_calls: 64, max_messages: 4_000, idle: Some(idle_policy), ..settings() };
    let mut s = Sender::new(settings, &entries);
    accept_all(&mut s, std::iter::once(0));
    deliver_all(&mut s);
    let started = s.now;
    accept_all(&mut s, 1..1_001);
    let mut delayed = 0;
    while s.sent.len() < 1_000 && s.now < started + 19 * SECOND {
        accept_all(&mut s, std::iter::once(0));
        delayed += u32::from(s.in_flight.iter().all(|attempt| attempt.endpoint != entry_of(0, 0).endpoint));
        assert!(s.in_flight.len() <= 33, "{}", s.in_flight.len());
        s.advance(SECOND / 20);
        deliver_all(&mut s);
        // The configured rate of 100 a second, plus the tokens that had accrued before.
        let activated = s.sent.iter().filter(|sent| sent.endpoint != entry_of(0, 0).endpoint).count();
        assert!(activated as u64 <= 26 + (s.now - started) / 10_000, "{activated} after {}", s.now - started);
    }
    assert_eq!(delayed, 0, "calls to the busy destination were delayed");
    assert!(s.now - started < 12 * SECOND && s.rejected.is_empty(), "{}", s.now - started);
}

#[test]
fn highest_priority_weight_is_activated_first() {
    let entries: Vec<_> = (0..200).map(|n| entry_of(n, n)).collect();
    let idle_policy =
        IdlePolicy { max_retained: 200, max_active: 200, activations_per_second: 4.0, ..IDLE_POLICY };
    let mut weighted = settings();
    weighted.classes[KEYED].priority_weight = 5.0;
    let settings = Settings { max_calls: 64, max_messages: 400, idle: Some(idle_policy), ..weighted };
    let mut s = Sender::new(settings, &entries);
    accept_all(&mut s, 0..100);
    let events = (100..110).map(|destination| accepted_event(&mut s, KEYED, destination)).collect();
    s.handle(events);
    assert_eq!(s.sent.len(), 1);
    s.advance(5 * SECOND / 2);
    let rest: Vec<_> = s.sent[1..].iter().map(|sent| sent.endpoint).collect();
    assert_eq!(rest.len(), 10);
    assert!(rest.iter().all(|e| (100..110).any(|n| entry_of(n, n).endpoint == *e)), "{rest:?}");
}

#[test]
fn relisting_twenty_thousand_endpoints_changes_nothing_for_their_destinations() {
    let entries: Vec<_> = (0..20_000).map(|n| entry_of(n, n)).collect();
    let idle_policy =
        IdlePolicy { max_retained: 20_000, max_active: 20_000, activations_per_second: 1e6, ..IDLE_POLICY };
    let settings = Settings { max_calls: 4_000, max_messages: 40_000, idle: Some(idle_policy), ..settings() };
    let mut s = Sender::new(settings, &entries);
    accept_all(&mut s, 0..1_000);
    deliver_all(&mut s);
    let waits = (0..1_000)
        .map(|n| Event::RetryAfter { endpoint: entry_of(n, n).endpoint, wait: 200 * SECOND })
        .collect();
    s.handle(waits);
    let_all_become_idle(&mut s);
    assert_eq!(s.policy.active_and_idle(), (0, 1_000));
    accept_all(&mut s, 0..10);
    let before = s.sent.len();
    s.handle(vec![Event::EndpointList(vec![])]);
    s.advance(SECOND);
    s.handle(vec![Event::EndpointList(entries)]);
    accept_all(&mut s, (10..20).chain(2_000..2_005));
    s.advance(SECOND);
    let sent: Vec<_> = s.sent[before..].iter().map(|sent| sent.endpoint).collect();
    assert_eq!(sent, (2_000..2_005).map(|n| entry_of(n, n).endpoint).collect::<Vec<_>>());
    assert_eq!(s.policy.active_and_idle(), (25, 980));
}

#[test]
fn full_idle_table_keeps_waits_and_rejects_further_destinations() {
    let entries: Vec<_> = (0..20).map(|n| entry_of(n, n)).collect();
    let idle_policy = IdlePolicy { max_retained: 4, max_active: 8, ..IDLE_POLICY };
    let mut s = Sender::new(Settings { idle: Some(idle_policy), ..settings() }, &entries);
    let waits = (0..10)
        .map(|n| Event::RetryAfter { endpoint: entry_of(n, n).endpoint, wait: 300 * SECOND })
        .collect();
    s.handle(waits);
    let_all_become_idle(&mut s);
    assert_eq!(
        s.policy.active_and_idle(),
        (6, 4),
        "a destination whose health cannot be retained stays active"
    );
    accept_all(&mut s, 10..13);
    assert_eq!((s.sent.len(), s.rejected.len()), (2, 1));
    let (_, retry_after) = s.rejected[0];
    assert!(retry_after > 0 && retry_after <= 3 * SECOND, "{retry_after}");
    // Nothing is sent to a destination whose wait has not ended.
    deliver_all(&mut s);
    accept_all(&mut s, 0..8);
    s.advance(15 * SECOND);
    assert_eq!(s.sent.len(), 2);
}

/// When ten thousand waits end at the same moment, no more calls are in flight than there are slots, no call
/// starts before that moment, and no message is lost.
#[test]
fn ten_thousand_waits_end_together() {
    let entries: Vec<_> = (0..10_000).map(|n| entry_of(n, n)).collect();
    let idle_policy =
        IdlePolicy { max_retained: 10_000, max_active: 10_000, activations_per_second: 1e6, ..IDLE_POLICY };
    let settings = Settings { max_calls: 500, max_messages: 20_000, idle: Some(idle_policy), ..settings() };
    let mut s = Sender::new(settings, &entries);
    let until = s.now + 10 * SECOND;
    let waits = (0..10_000)
        .map(|n| Event::RetryAfter { endpoint: entry_of(n, n).endpoint, wait: 10 * SECOND })
        .collect();
    s.handle(waits);
    accept_all(&mut s, 0..10_000);
    let mut delivered = 0;
    while s.policy.pending_messages() > 0 && s.now < until + 9 * SECOND {
        s.advance(SECOND / 20);
        assert!(s.in_flight.len() <= 500);
        delivered += s.in_flight.len();
        let ends = std::mem::take(&mut s.in_flight);
        let ends = ends.into_iter().map(|attempt| s.ended(attempt, Outcome::Delivered)).collect();
        s.handle(ends);
    }
    assert!(s.sent.iter().all(|sent| sent.sent >= until));
    assert_eq!((s.policy.pending_messages(), s.rejected.len(), s.sent.len()), (0, 0, 10_000), "{delivered}");
}

/// A destination that does not answer, refuses connections or resets them gets one call at a time until one
/// is answered, however many messages are pending.
#[test]
fn unanswered_destination_gets_one_call_at_a_time_after_activation() {
    for outcome in [Outcome::TimedOut, Outcome::ConnectFailed, Outcome::Reset] {
        let mut s = Sender::new(settings_with_idle_policy(), &[entry(1, 0)]);
        accept_all(&mut s, [DEST.0; 6].into_iter());
        for _ in 0..3 {
            assert_eq!(s.in_flight.len(), 1, "{outcome:?}");
            s.end(outcome);
            s.advance(SECOND);
        }
    }
}
