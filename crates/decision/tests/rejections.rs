//! Tests of the causes that a rejection may have: an exhausted limit, a full connection table, or an outage.

mod common;

use common::*;
use decision::interface::*;

fn one() -> Sender {
    Sender::new(settings(), &[entry(1, 0)])
}

/// Creates one of 48 senders with little traffic each.
fn one_of_many_senders(entries: &[EndpointEntry]) -> Sender {
    let settings = Settings { senders: 48, weights: Weights::Nominal, ..settings() };
    let listed: Vec<_> =
        entries.iter().map(|entry| EndpointEntry { weight: 20.0, ..entry.clone() }).collect();
    Sender::new(settings, &listed)
}

/// Ends the oldest call with a load report that states the limit and the share of it that remains.
fn end_with(s: &mut Sender, outcome: Outcome, remaining: f32, limit: f32) {
    let attempt = s.in_flight.remove(0);
    let mut event = s.ended(attempt, outcome);
    if let Event::AttemptCompleted { report, .. } = &mut event {
        *report = vec![remaining, limit];
    }
    s.handle(vec![event]);
}

/// Returns how long a message waits for its second call after `reject` has rejected the first, at a
/// destination to which nothing was delivered for the five seconds before.
fn wait_after_rejection(reject: impl FnOnce(&mut Sender)) -> Micros {
    let mut s = one_of_many_senders(&[entry(1, 0)]);
    s.advance(5 * SECOND);
    s.accept(IDEMPOTENT);
    reject(&mut s);
    let rejected_at = s.now;
    s.advance(20 * SECOND);
    s.sent[1].sent - rejected_at
}

/// Found on the test bench: with 48 senders of little traffic each, one rejection at a limit made each of
/// them hold its messages back for ten seconds, as after an outage.
#[test]
fn rejection_at_an_exhausted_limit_is_no_outage() {
    let at_limit = wait_after_rejection(|s| end_with(s, Outcome::Rejected(None), 0.2, 20.0));
    let unexplained = wait_after_rejection(|s| s.end(Outcome::Rejected(None)));
    assert!(at_limit <= 4 * SECOND, "{at_limit}");
    assert!(unexplained > at_limit, "{unexplained}: an unexplained rejection may be an outage");
}

/// A destination that is shut still reports that its limit is unused, and is cold when it returns.
#[test]
fn rejection_with_limit_remaining_may_be_an_outage() {
    let shut = wait_after_rejection(|s| end_with(s, Outcome::Rejected(None), 0.9, 20.0));
    let unexplained = wait_after_rejection(|s| s.end(Outcome::Rejected(None)));
    assert_eq!(shut, unexplained);
}

/// Found on the test bench: a partner lowered its limit to a fifth for seven seconds. It was sent three times
/// the lowered limit, and for ten seconds afterwards only a fifth of the restored one.
#[test]
fn send_rate_follows_a_limit_that_is_lowered_and_raised() {
    let mut s = Sender::new(Settings { weights: Weights::Nominal, max_messages: 10_000, ..settings() }, &[]);
    s.handle(vec![Event::EndpointList(vec![EndpointEntry { weight: 20.0, ..entry(1, 0) }])]);
    let mut calls = [0; 3];
    let (mut window, mut received) = (0, 0);
    for tick in 0..12 * 20 {
        // Messages arrive at the full limit, which is more than the lowered one.
        s.accept(IDEMPOTENT);
        let phase = tick / 80;
        let limit = if phase == 1 { 4 } else { 20 };
        if s.now / (2 * SECOND) != window {
            (window, received) = (s.now / (2 * SECOND), 0);
        }
        for _ in 0..s.in_flight.len() {
            calls[phase] += 1;
            received += 1;
            let outcome = if received <= 2 * limit { Outcome::Delivered } else { Outcome::Rejected(None) };
            let remaining = (2 * limit - received).max(0) as f32 / (2 * limit) as f32;
            end_with(&mut s, outcome, remaining, limit as f32);
        }
        s.advance(SECOND / 20);
    }
    assert!(calls[1] <= 30, "{calls:?}: the lowered limit allows 16 in that time");
    assert!(calls[2] >= 60, "{calls:?}: the restored limit allows 80");
}

/// Found on the test bench: in a run with 48 senders, two thirds of the rejections were of connections, not
/// of calls.
#[test]
fn rejected_connection_does_not_lower_the_send_rate() {
    let mut s = one_of_many_senders(&[entry(1, 0), entry(2, 0)]);
    let listed = |n| EndpointEntry { weight: 1_000.0, ..entry(n, 0) };
    s.handle(vec![Event::EndpointList(vec![listed(1), listed(2)])]);
    s.accept(IDEMPOTENT);
    let rejecting = s.in_flight[0].endpoint;
    s.end(Outcome::ConnectionRejected);
    assert_eq!(s.sent.len(), 2, "the other endpoint is tried at once");
    assert_ne!(s.in_flight[0].endpoint, rejecting);
    s.end(Outcome::Delivered);
    s.advance(SECOND);
    for _ in 0..4 {
        s.accept(IDEMPOTENT);
    }
    assert_eq!(s.in_flight.len(), 4, "neither the send rate nor slow start delays them");
}

#[test]
fn backoff_grows_with_each_rejected_connection() {
    let mut s = one_of_many_senders(&[entry(1, 0)]);
    s.accept(NON_IDEMPOTENT);
    let mut backoffs = Vec::new();
    for _ in 0..3 {
        let rejected_at = s.now;
        s.end(Outcome::ConnectionRejected);
        assert!(s.in_flight.is_empty());
        while s.in_flight.is_empty() {
            s.advance(SECOND / 200);
        }
        backoffs.push(s.now - rejected_at);
    }
    assert!(backoffs[0] <= SECOND / 5 && backoffs[2] >= backoffs[0], "{backoffs:?}");
    s.end(Outcome::Delivered);
    assert!(s.failed.is_empty() && s.rejected.is_empty(), "the rejected attempts never ran");
}

/// A partner's proxy may reject every connection while the partner is down.
#[test]
fn repeated_connection_rejections_may_be_an_outage() {
    let settings = Settings { max_attempts: 100, ..settings() };
    let mut s = Sender::new(settings, &[entry(1, 0)]);
    s.deliver(80);
    s.accept(IDEMPOTENT);
    let started_at = s.now;
    while s.now < started_at + 10 * SECOND {
        while !s.in_flight.is_empty() {
            s.end(Outcome::ConnectionRejected);
        }
        s.advance(SECOND / 20);
    }
    let (recovered_at, before) = (s.now, s.sent.len());
    while s.now < recovered_at + 3 * SECOND {
        s.accept(IDEMPOTENT);
        s.advance(SECOND / 4);
        while !s.in_flight.is_empty() {
            s.end(Outcome::Delivered);
        }
    }
    assert!(before - 80 <= 15, "{} calls in ten seconds of rejected connections", before - 80);
    assert!(s.sent.len() - before <= 10, "{} calls in the three seconds after it", s.sent.len() - before);
}

/// Found on the test bench: two senders with a large backlog for an endpoint that had become slow tried its
/// full connection table four hundred times a second, until their messages had no attempts left.
#[test]
fn calls_in_flight_are_limited_to_available_connection_slots() {
    let mut s = Sender::new(settings(), &[entry(1, 0)]);
    s.deliver(20);
    for _ in 0..40 {
        s.accept(IDEMPOTENT);
    }
    assert_eq!(s.in_flight.len(), 6, "the destination's share of the slots");
    for _ in 0..4 {
        s.end(Outcome::ConnectionRejected);
    }
    assert_eq!(s.in_flight.len(), 2, "as many as had connection slots");
    let started_at = s.now;
    let (mut max_in_flight, mut rejections) = (0, 0);
    while s.now < started_at + 4 * SECOND {
        // The endpoint has slots for two connections.
        while s.in_flight.len() > 2 {
            let attempt = s.in_flight.pop().unwrap();
            let event = s.ended(attempt, Outcome::ConnectionRejected);
            s.handle(vec![event]);
            rejections += 1;
        }
        max_in_flight = max_in_flight.max(s.in_flight.len());
        s.accept(IDEMPOTENT);
        if !s.in_flight.is_empty() {
            s.end(Outcome::Delivered);
        }
        s.advance(SECOND / 20);
    }
    assert_eq!(max_in_flight, 2);
    assert!(
        (1..=10).contains(&rejections),
        "{rejections} in four seconds: more slots are tried from time to time"
    );
}

/// A long call must not keep other calls from slots that have become free.
#[test]
fn retries_a_rejected_connection_without_other_events() {
    let mut s = one();
    s.accept(NON_IDEMPOTENT);
    s.accept(NON_IDEMPOTENT);
    let rejected = s.in_flight.pop().unwrap();
    let event = s.ended(rejected, Outcome::ConnectionRejected);
    s.handle(vec![event]);
    assert_eq!(s.in_flight.len(), 1);
    s.advance(SECOND);
    assert_eq!(s.in_flight.len(), 2);
}

/// Idle connections of many senders would fill an endpoint's connection table: each keeps only those it
/// reuses soon.
#[test]
fn many_senders_keep_few_idle_connections() {
    let closes = |senders: usize, gap: Micros| {
        let mut s = Sender::new(Settings { senders, ..settings() }, &[entry(1, 0)]);
        for _ in 0..3 {
            s.accept(IDEMPOTENT);
            s.end(Outcome::Delivered);
            s.advance(gap);
        }
        s.other.iter().filter(|action| **action == Action::CloseIdleConnections(endpoint(1))).count()
    };
    // After the first call no reuse is expected, so its connection is always closed.
    assert_eq!((closes(3, SECOND), closes(48, SECOND)), (1, 3));
    assert_eq!(closes(48, SECOND / 10), 1);
}

/// Regression: a reported limit close to zero made the time until the next call overflow if the list stated
/// no limit.
#[test]
fn invalid_reports_are_harmless() {
    for (remaining, limit) in [
        (f32::NAN, 20.0),
        (0.0, f32::NAN),
        (0.5, f32::INFINITY),
        (0.0, 1e-40),
        (-1.0, f32::MAX),
        (1e30, -5.0),
        (0.0, 0.0),
    ] {
        for weights in [Weights::None, Weights::Nominal] {
            let settings = Settings { senders: 48, weights, ..settings() };
            let mut s = Sender::new(settings, &[EndpointEntry { weight: 20.0, ..entry(1, 0) }]);
            for outcome in [Outcome::Delivered, Outcome::Rejected(None), Outcome::Delivered] {
                s.accept(IDEMPOTENT);
                if !s.in_flight.is_empty() {
                    end_with(&mut s, outcome, remaining, limit);
                }
                s.advance(SECOND);
            }
            s.advance(30 * SECOND);
            let delivered = s.sent.len() > 1;
            assert!(
                delivered || s.rejected.len() + s.failed.len() >= 2,
                "{remaining} {limit}: every message is delivered or answered"
            );
        }
    }
}
