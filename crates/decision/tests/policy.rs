//! Tests of the policy on its own: the circuit breaker, each delivery rule, and regressions found on the test
//! bench.

mod common;

use std::collections::BTreeSet;

use common::*;
use decision::interface::*;

fn one() -> Sender {
    Sender::new(settings(), &[entry(1, 0)])
}

#[test]
fn five_failures_open_the_breaker_and_a_success_closes_it() {
    let mut s = one();
    s.deliver(20);
    s.end_calls(5, Outcome::Error);
    let before = s.sent.len();
    s.accept(IDEMPOTENT);
    s.advance(SECOND);
    assert_eq!(s.sent.len(), before, "an open breaker admits nothing");
    s.advance(2 * SECOND);
    assert_eq!(s.sent.len(), before + 1, "one trial call after half a latency objective");
    s.accept(IDEMPOTENT);
    s.advance(SECOND);
    assert_eq!(s.sent.len(), before + 1, "one trial call at a time");
    s.end(Outcome::Delivered);
    s.advance(4 * SECOND);
    assert!(s.sent.len() > before + 1, "closed by the successful trial");
}

#[test]
fn a_success_resets_the_failure_count() {
    let mut s = one();
    s.deliver(20);
    for _ in 0..4 {
        s.accept(IDEMPOTENT);
        s.end(Outcome::Error);
        // The retry, or after two failures the next message, succeeds once slow start admits it.
        s.advance(4 * SECOND);
        while !s.in_flight.is_empty() {
            s.end(Outcome::Delivered);
        }
    }
    let before = s.sent.len();
    s.accept(IDEMPOTENT);
    s.advance(3 * SECOND);
    assert!(s.sent.len() > before, "the breaker never opened");
}

#[test]
fn rejections_slow_down_without_opening_the_breaker() {
    let mut s = one();
    s.deliver(20);
    let before = s.sent.len();
    for _ in 0..8 {
        s.accept(IDEMPOTENT);
    }
    while s.in_flight.iter().any(|attempt| attempt.sent == s.now) {
        s.end(Outcome::Rejected(None));
    }
    assert!(s.sent.len() - before <= 8);
    let after_rejections = s.sent.len();
    s.advance(SECOND / 10);
    assert_eq!(s.sent.len(), after_rejections, "backs off after a rejection");
    s.advance(SECOND);
    assert!(s.sent.len() > after_rejections, "and continues with a closed breaker");
}

#[test]
fn silent_calls_open_the_breaker_before_they_time_out() {
    let mut s = one();
    s.deliver(20);
    // Non-idempotent calls stay in flight; idempotent ones would be cancelled after twice their usual
    // latency.
    for _ in 0..2 {
        s.accept(NON_IDEMPOTENT);
    }
    assert_eq!(s.in_flight.len(), 2);
    s.advance(3 * SECOND / 2);
    let before = s.sent.len();
    s.accept(IDEMPOTENT);
    assert_eq!(s.sent.len(), before, "two silent calls open the breaker");
    s.end(Outcome::Delivered);
    s.advance(4 * SECOND);
    assert!(s.sent.len() > before, "a late answer closes the breaker");
}

#[test]
fn one_destination_uses_at_most_its_share_of_slots() {
    let mut s = one();
    s.deliver(1);
    for _ in 0..20 {
        s.accept(IDEMPOTENT);
    }
    assert_eq!(s.in_flight.len(), 6, "three quarters of eight slots");
}

#[test]
fn failing_destination_uses_at_most_half_of_the_slots() {
    let mut s = one();
    s.deliver(20);
    s.accept(NON_IDEMPOTENT);
    s.end(Outcome::Error);
    for _ in 0..20 {
        s.accept(IDEMPOTENT);
    }
    assert_eq!(s.in_flight.len(), 4);
}

#[test]
fn batches_messages_of_one_iteration_into_calls() {
    let mut s = Sender::new(settings(), &[entry(1, 2)]);
    s.deliver(1);
    let batch = (0..40).map(|_| Event::Accepted(s.message(IDEMPOTENT, None, 20 * SECOND))).collect();
    s.handle(batch);
    assert_eq!(s.in_flight.len(), 30, "six calls of five");
}

#[test]
fn undeliverable_message_is_rejected_once_before_its_deadline() {
    let mut s = Sender::new(settings(), &[]);
    let id = s.accept(IDEMPOTENT);
    s.advance(19 * SECOND);
    assert!(s.rejected.is_empty(), "kept in case its destination is listed");
    s.advance(SECOND);
    assert_eq!(s.rejected, [(id, 0)]);
    s.advance(10 * SECOND);
    assert_eq!((s.rejected.len(), s.failed.len(), s.sent.len()), (1, 0, 0));
}

#[test]
fn message_whose_call_times_out_is_failed_before_its_deadline() {
    let mut s = one();
    let message = s.message(NON_IDEMPOTENT, None, 2 * SECOND);
    let id = message.id;
    s.handle(vec![Event::Accepted(message)]);
    s.advance(2 * SECOND);
    assert_eq!(s.failed, [id]);
}

#[test]
fn withdrawn_message_is_not_sent_again() {
    let mut s = one();
    s.accept(IDEMPOTENT);
    let withdrawn = s.in_flight[0].message;
    s.handle(vec![Event::Withdrawn(withdrawn)]);
    s.end(Outcome::Error);
    s.advance(30 * SECOND);
    assert_eq!((s.sent.len(), s.rejected.len(), s.failed.len()), (1, 0, 0));
}

#[test]
fn message_without_remaining_time_is_rejected_at_once() {
    let mut s = one();
    let message = s.message(IDEMPOTENT, None, 0);
    s.handle(vec![Event::Accepted(message)]);
    assert_eq!((s.rejected.len(), s.sent.len()), (1, 0));
}

#[test]
fn non_idempotent_message_fails_after_an_attempt_that_may_have_run() {
    for outcome in [Outcome::Error, Outcome::TimedOut, Outcome::Reset, Outcome::Cancelled] {
        let mut s = one();
        let id = s.accept(NON_IDEMPOTENT);
        s.end(outcome);
        s.advance(25 * SECOND);
        assert_eq!((s.sent.len(), &s.failed[..], s.rejected.len()), (1, &[id][..], 0), "{outcome:?}");
    }
}

#[test]
fn non_idempotent_message_is_retried_if_it_never_ran() {
    for outcome in [Outcome::Rejected(None), Outcome::ConnectFailed, Outcome::NotSent { no_slot: true }] {
        let mut s = one();
        s.accept(NON_IDEMPOTENT);
        s.end(outcome);
        s.advance(5 * SECOND);
        assert_eq!(s.sent.len(), 2, "{outcome:?}");
    }
}

#[test]
fn keyed_message_is_repeated_only_within_its_window() {
    let mut s = one();
    s.accept(KEYED);
    s.end(Outcome::Error);
    s.advance(SECOND);
    assert!(s.sent.len() >= 2, "repeated within the window");
    // The window counts from the first attempt that may have run.
    s.advance(SECOND);
    s.end(Outcome::Error);
    s.advance(25 * SECOND);
    assert!(s.sent.iter().all(|attempt| attempt.sent < START + 6 * SECOND));
    assert_eq!((s.failed.len(), s.rejected.len()), (1, 0));
}

#[test]
fn attempts_that_never_ran_do_not_start_the_keyed_window() {
    let mut s = one();
    s.accept(KEYED);
    s.advance(3 * SECOND);
    s.end(Outcome::ConnectFailed);
    s.advance(SECOND);
    s.end(Outcome::Error);
    s.advance(4 * SECOND);
    assert!(s.sent.len() >= 3, "the second attempt started the window");
}

#[test]
fn keyed_message_is_repeated_only_in_its_zone() {
    let mut settings = settings();
    settings.classes[KEYED].idempotency =
        Idempotency::Keyed { scope: IdempotencyScope::Zone, window: 6 * SECOND };
    let mut s = Sender::new(settings, &[entry(1, 0), entry(2, 0)]);
    for _ in 0..10 {
        s.accept(KEYED);
        while let Some(first) = s.in_flight.first().copied() {
            s.end(Outcome::Error);
            s.advance(SECOND / 2);
            assert!(
                s.sent
                    .iter()
                    .filter(|attempt| attempt.message == first.message)
                    .all(|attempt| attempt.endpoint == first.endpoint)
            );
        }
        s.advance(10 * SECOND);
    }
}

#[test]
fn message_is_rejected_after_the_maximum_number_of_attempts() {
    let mut s = one();
    s.accept(IDEMPOTENT);
    for _ in 0..10 {
        if !s.in_flight.is_empty() {
            s.end(Outcome::ConnectFailed);
        }
        s.advance(SECOND * 3 / 2);
    }
    assert_eq!((s.sent.len(), s.rejected.len()), (4, 1));
}

#[test]
fn draining_and_unlisted_endpoints_get_no_new_calls() {
    let mut s = one();
    let mut draining = entry(1, 0);
    draining.listing = Listing::Draining;
    s.handle(vec![Event::EndpointChanges(vec![draining])]);
    s.accept(IDEMPOTENT);
    s.advance(SECOND);
    assert!(s.sent.is_empty());
    s.handle(vec![Event::EndpointChanges(vec![entry(1, 0)])]);
    assert_eq!(s.sent.len(), 1, "sent once it is ready again");
    s.handle(vec![Event::EndpointList(vec![])]);
    s.accept(IDEMPOTENT);
    assert_eq!(s.sent.len(), 1, "an endpoint missing from a full list is removed");
}

#[test]
fn polls_the_endpoint_list_again_after_a_failure() {
    let mut settings = settings();
    settings.polling_only = true;
    let mut s = Sender::new(settings, &[entry(1, 0)]);
    assert_eq!(s.other, [Action::WatchEndpoints]);
    s.handle(vec![Event::DiscoveryFailed]);
    s.advance(10 * SECOND);
    assert_eq!(s.other, [Action::WatchEndpoints, Action::WatchEndpoints]);
}

#[test]
fn retry_after_applies_to_all_messages_and_endpoints_of_a_destination() {
    let mut s = Sender::new(settings(), &[entry(1, 0), entry(2, 0)]);
    s.accept(IDEMPOTENT);
    s.end(Outcome::Rejected(Some(2 * SECOND)));
    for _ in 0..5 {
        s.accept(NON_IDEMPOTENT);
    }
    s.advance(2 * SECOND - 1);
    assert_eq!(s.sent.len(), 1);
    s.advance(2 * SECOND);
    assert!(s.sent.len() > 1);
}

/// Found on the test bench: the messages of one call were rejected with different waits, and only the first
/// was applied.
#[test]
fn applies_the_longest_retry_after_of_a_batch() {
    let mut s = Sender::new(settings(), &[entry(1, 2)]);
    let batch = (0..2).map(|_| Event::Accepted(s.message(IDEMPOTENT, None, 20 * SECOND))).collect();
    s.handle(batch);
    assert_eq!(s.in_flight.len(), 2);
    let ends = vec![
        s.ended(s.in_flight[0], Outcome::Rejected(Some(SECOND / 2))),
        s.ended(s.in_flight[1], Outcome::Rejected(Some(2 * SECOND))),
    ];
    s.in_flight.clear();
    s.handle(ends);
    s.advance(2 * SECOND - 1);
    assert_eq!(s.sent.len(), 2);
}

#[test]
fn separate_routes_have_separate_waits() {
    let mut s = Sender::new(settings(), &[entry(1, 1), entry(2, 1)]);
    s.accept(IDEMPOTENT);
    let rejecting_endpoint = s.in_flight[0].endpoint;
    s.end(Outcome::Rejected(Some(2 * SECOND)));
    assert_eq!(s.sent.len(), 2, "sent on the other route");
    assert_ne!(s.in_flight[0].endpoint, rejecting_endpoint);
}

#[test]
fn messages_with_the_same_key_are_sent_in_order() {
    let mut s = one();
    let first = s.accept_keyed(ORDERED, Some(9));
    let second = s.accept_keyed(ORDERED, Some(9));
    s.accept_keyed(ORDERED, Some(10));
    assert_eq!(s.in_flight.len(), 2, "a message with another key is sent");
    s.end(Outcome::Delivered);
    assert!(s.in_flight.iter().any(|attempt| attempt.message == second));
    assert!(s.sent.iter().filter(|attempt| attempt.message == first).count() == 1);
}

#[test]
fn ordering_key_pauses_after_an_unclear_outcome() {
    let mut s = one();
    let first = s.accept_keyed(ORDERED, Some(9));
    let second = s.accept_keyed(ORDERED, Some(9));
    s.handle(vec![Event::Withdrawn(first)]);
    s.advance(SECOND);
    assert_eq!(s.sent.len(), 1, "an attempt of the withdrawn message is still in flight");
    s.end(Outcome::Reset);
    s.advance(SECOND - 1);
    assert_eq!(s.sent.len(), 1);
    s.advance(SECOND);
    assert_eq!(s.sent.last().map(|attempt| attempt.message), Some(second));
}

/// Returns the maximum number of calls sent within any three seconds from `from` on.
fn max_calls_in_a_window(s: &Sender, from: Micros) -> usize {
    let sent: Vec<_> = s.sent.iter().map(|attempt| attempt.sent).filter(|at| *at >= from).collect();
    let calls_from =
        |at: &Micros| sent.iter().filter(|other| (*at..*at + 3 * SECOND).contains(*other)).count();
    sent.iter().map(calls_from).max().unwrap_or(0)
}

/// Delivers all messages for `seconds`, with a new one every quarter of a second.
fn recover(s: &mut Sender, seconds: u64) {
    for _ in 0..seconds * 4 {
        s.accept(IDEMPOTENT);
        s.advance(SECOND / 4);
        while !s.in_flight.is_empty() {
            s.end(Outcome::Delivered);
        }
    }
}

#[test]
fn recovering_destination_is_ramped_up_slowly() {
    let mut s = one();
    s.deliver(80);
    s.end_calls(12, Outcome::ConnectFailed);
    let recovered_at = s.now;
    recover(&mut s, 4);
    // The usual rate was four a second: twice a fifth of that for three seconds, plus the growth of slow
    // start.
    assert!(max_calls_in_a_window(&s, recovered_at) <= 8, "{}", max_calls_in_a_window(&s, recovered_at));
    let warm_at = s.now + 14 * SECOND;
    recover(&mut s, 20);
    assert!(s.sent.iter().filter(|attempt| attempt.sent > warm_at).count() > 20, "slow start ends");
}

/// Found on the test bench: a destination that is shut only rejects calls, like one at its limit, and is as
/// cold as any other when it returns.
#[test]
fn destination_that_only_rejected_is_ramped_up_slowly() {
    let mut s = one();
    s.deliver(80);
    for _ in 0..40 {
        s.accept(IDEMPOTENT);
        while !s.in_flight.is_empty() {
            s.end(Outcome::Rejected(None));
        }
        s.advance(SECOND / 4);
    }
    let recovered_at = s.now;
    recover(&mut s, 4);
    assert!(max_calls_in_a_window(&s, recovered_at) <= 8, "{}", max_calls_in_a_window(&s, recovered_at));
}

/// Found on the test bench: at a destination that failed half of its calls, slow start was counted from a
/// success during the outage.
#[test]
fn a_failure_during_slow_start_restarts_it() {
    let mut s = one();
    s.deliver(80);
    s.end_calls(4, Outcome::ConnectFailed);
    recover(&mut s, 10);
    s.end_calls(1, Outcome::ConnectFailed);
    let recovered_at = s.now;
    recover(&mut s, 5);
    assert!(max_calls_in_a_window(&s, recovered_at) <= 12, "{}", max_calls_in_a_window(&s, recovered_at));
}

/// Found on the test bench: messages for a destination that was down filled the buffer, which left no room
/// for all others.
#[test]
fn full_buffer_sheds_messages_of_a_failed_destination() {
    let mut other = entry(2, 0);
    other.destination = DestinationId(8);
    let mut s = Sender::new(settings(), &[entry(1, 0), other]);
    s.deliver(20);
    s.end_calls(12, Outcome::ConnectFailed);
    for _ in 0..64 {
        s.accept(IDEMPOTENT);
    }
    assert!(!s.rejected.is_empty());
    let mut message = s.message(IDEMPOTENT, None, 20 * SECOND);
    message.destination = DestinationId(8);
    let id = message.id;
    s.handle(vec![Event::Accepted(message)]);
    assert!(s.rejected.iter().all(|r| r.0 != id));
    assert!(s.sent.iter().any(|attempt| attempt.message == id));
}

#[test]
fn the_same_events_give_the_same_actions() {
    let run = || {
        let mut s = Sender::new(settings(), &[entry(1, 0), entry(2, 0), entry(3, 0)]);
        s.deliver(30);
        s.end_calls(10, Outcome::Error);
        recover(&mut s, 10);
        s.sent
    };
    assert_eq!(run(), run());
}

/// Found on the test bench: one hanging call among answered ones put its destination into slow start.
#[test]
fn time_out_of_a_call_older_than_the_last_answer_is_no_failure() {
    let mut s = one();
    s.deliver(40);
    for _ in 0..3 {
        s.accept(NON_IDEMPOTENT);
    }
    for _ in 0..20 {
        s.accept(IDEMPOTENT);
        s.advance(SECOND / 20);
        let answered = s.in_flight.remove(s.in_flight.len() - 1);
        let event = s.ended(answered, Outcome::Delivered);
        s.handle(vec![event]);
        s.advance(SECOND / 5);
    }
    assert!(s.failed.len() == 3, "the three calls have timed out");
    let before = s.sent.len();
    for _ in 0..4 {
        s.accept(IDEMPOTENT);
    }
    assert_eq!(s.sent.len(), before + 4, "not in slow start");
}

/// Hundreds of senders that each have a pending message must not all try a destination that has just failed.
#[test]
fn with_many_senders_calls_after_a_failure_are_less_frequent() {
    let calls = |senders| {
        let mut settings = settings();
        settings.senders = senders;
        let mut s = Sender::new(settings, &[entry(1, 0)]);
        s.advance(10 * SECOND);
        s.accept(IDEMPOTENT);
        for _ in 0..8 {
            if !s.in_flight.is_empty() {
                s.end(Outcome::ConnectFailed);
            }
            s.advance(SECOND);
        }
        s.sent.len()
    };
    assert!(calls(400) < calls(2), "{} {}", calls(400), calls(2));
}

/// Idle connections of many senders would fill an endpoint's connection table.
#[test]
fn connection_without_reuse_in_sight_is_closed_after_use() {
    let mut s = one();
    let close = Action::CloseIdleConnections(endpoint(1));
    s.accept(IDEMPOTENT);
    s.end(Outcome::Delivered);
    assert!(s.other.contains(&close), "no reuse is expected after a first call");
    s.other.clear();
    s.advance(SECOND);
    s.accept(IDEMPOTENT);
    s.end(Outcome::Delivered);
    assert!(!s.other.contains(&close), "reused within the idle timeout");
}

fn recover_message(s: &mut Sender, class: usize, attempts: u32, ages: &[Micros]) -> MessageId {
    let message = s.message(class, None, 20 * SECOND);
    let id = message.id;
    let may_have_run = ages.iter().map(|age| (*age, endpoint(1))).collect();
    s.handle(vec![Event::Recovered { message, attempts, may_have_run, idempotency: None }]);
    id
}

/// After a restart, a message that may have run must not take effect twice.
#[test]
fn recovered_message_is_repeated_only_if_safe() {
    let mut s = one();
    let non_idempotent = recover_message(&mut s, NON_IDEMPOTENT, 1, &[SECOND]);
    assert_eq!(s.failed, [non_idempotent]);
    let window_ending = recover_message(&mut s, KEYED, 1, &[5 * SECOND]);
    assert_eq!(s.failed, [non_idempotent, window_ending], "the rest of its window is too short for a repeat");
    assert!(s.sent.is_empty());
    recover_message(&mut s, KEYED, 1, &[2 * SECOND]);
    recover_message(&mut s, NON_IDEMPOTENT, 1, &[]);
    assert_eq!(s.sent.len(), 2, "both are safe to send");
    let without_attempts_left = recover_message(&mut s, NON_IDEMPOTENT, 4, &[]);
    assert_eq!(s.rejected.iter().map(|r| r.0).collect::<Vec<_>>(), [without_attempts_left]);
}

/// Messages accepted before a restart get an attempt, even where all newer ones have a higher weight.
#[test]
fn unattempted_recovered_messages_go_first_and_are_not_shed() {
    let mut draining = entry(1, 0);
    draining.listing = Listing::Draining;
    let mut s = Sender::new(settings(), std::slice::from_ref(&draining));
    let recovered: BTreeSet<_> = (0..40)
        .map(|_| {
            // Already past its latency objective.
            let message = s.message(IDEMPOTENT, None, 10 * SECOND);
            s.handle(vec![Event::Recovered {
                message: message.clone(),
                attempts: 0,
                may_have_run: vec![],
                idempotency: None,
            }]);
            message.id
        })
        .collect();
    for _ in 0..64 {
        s.accept(IDEMPOTENT);
    }
    assert!(!s.rejected.is_empty() && s.rejected.iter().all(|rejection| !recovered.contains(&rejection.0)));
    s.handle(vec![Event::EndpointChanges(vec![entry(1, 0)])]);
    s.deliver(40);
    let first_sent: BTreeSet<_> = s.sent[..40].iter().map(|attempt| attempt.message).collect();
    assert_eq!(first_sent, recovered);
    // A recovered message that had an attempt is treated like any other.
    s.handle(vec![Event::EndpointChanges(vec![draining])]);
    let message = s.message(IDEMPOTENT, None, 10 * SECOND);
    let id = message.id;
    s.handle(vec![Event::Recovered { message, attempts: 1, may_have_run: vec![], idempotency: None }]);
    for _ in 0..64 {
        s.accept(IDEMPOTENT);
    }
    assert!(s.rejected.iter().any(|rejection| rejection.0 == id));
}

/// If the process ended during a call, a non-idempotent message could not be repeated.
#[test]
fn no_unsafe_call_is_in_flight_when_the_process_ends() {
    let mut s = one();
    s.deliver(20);
    let end = s.now + 3 * SECOND;
    s.handle(vec![Event::ShuttingDown(end)]);
    s.accept(NON_IDEMPOTENT);
    assert!(s.in_flight[0].until <= end);
    s.end(Outcome::Delivered);
    s.advance(29 * SECOND / 10);
    let before = s.sent.len();
    s.accept(NON_IDEMPOTENT);
    assert_eq!(s.sent.len(), before, "its answer could arrive after the end");
    s.accept(KEYED);
    assert_eq!(s.sent.len(), before + 1, "the next process may still repeat it");
    recover_message(&mut s, KEYED, 1, &[9 * SECOND / 2]);
    assert_eq!(s.sent.len(), before + 1, "its window would have ended by then");
}

#[test]
fn retry_after_in_any_answer_is_heeded() {
    let mut s = one();
    s.handle(vec![Event::RetryAfter { endpoint: endpoint(1), wait: SECOND }]);
    s.accept(IDEMPOTENT);
    s.advance(SECOND - 10_000);
    assert!(s.sent.is_empty());
    s.advance(20_000);
    assert_eq!(s.sent.len(), 1);
}

/// The outcome of a call must count even if its first message was not sent because it was already finished.
#[test]
fn unsent_message_does_not_count_as_the_outcome_of_its_call() {
    let mut s = Sender::new(settings(), &[]);
    for _ in 0..10 {
        s.accept(IDEMPOTENT);
    }
    s.handle(vec![Event::EndpointList(vec![entry(1, 2)])]);
    for _ in 0..5 {
        let call: Vec<_> = s.in_flight.drain(..s.in_flight.len().min(5)).collect();
        let ends = call.iter().enumerate().map(|(n, attempt)| {
            s.ended(*attempt, if n == 0 { Outcome::NotSent { no_slot: false } } else { Outcome::Error })
        });
        let ends = ends.collect();
        s.handle(ends);
    }
    let before = s.sent.len();
    s.accept(IDEMPOTENT);
    s.advance(SECOND / 2);
    assert_eq!(s.sent.len(), before, "five failed calls opened the breaker");
}

/// Returns the number of calls within ten seconds after a rejection. Each is answered after 0.1 s with a load
/// report of the given values.
fn calls_after_a_rejection(remaining: f32, limit: f32) -> usize {
    let mut s = Sender::new(Settings { senders: 2, weights: Weights::Nominal, ..settings() }, &[]);
    s.handle(vec![Event::EndpointList(vec![EndpointEntry { weight: 20.0, ..entry(1, 0) }])]);
    s.deliver(20);
    s.end_calls(1, Outcome::Rejected(None));
    let before = s.sent.len();
    for _ in 0..200 {
        s.accept(IDEMPOTENT);
        s.advance(SECOND / 20);
        let completed: Vec<_> =
            s.in_flight.iter().filter(|attempt| attempt.sent + SECOND / 10 <= s.now).copied().collect();
        s.in_flight.retain(|attempt| !completed.contains(attempt));
        for attempt in completed {
            let mut event = s.ended(attempt, Outcome::Delivered);
            if let Event::AttemptCompleted { report, .. } = &mut event {
                *report = vec![remaining, limit];
            }
            s.handle(vec![event]);
        }
    }
    s.sent.len() - before
}

/// A sender with most of the traffic must not be held to an even share of a limit that the others leave
/// unused.
#[test]
fn send_rate_grows_if_reports_show_headroom() {
    let (without_headroom, with_headroom) =
        (calls_after_a_rejection(0.1, 20.0), calls_after_a_rejection(0.9, 20.0));
    assert!(
        with_headroom * 2 > without_headroom * 3,
        "{with_headroom} calls with headroom, {without_headroom} without"
    );
}

/// Reported limits far from the listed weight are corrupt: the list is imprecise, but not by that much.
#[test]
fn implausible_reported_limit_is_ignored() {
    let plain = calls_after_a_rejection(0.9, 0.0);
    for limit in [1e9, 1e-9, -20.0] {
        assert_eq!(calls_after_a_rejection(0.9, limit), plain, "{limit}");
    }
}

/// Answers corrupted on the way must not count as failures of the destination.
#[test]
fn invalid_responses_are_no_failures_but_may_have_run() {
    let mut s = one();
    s.deliver(20);
    for _ in 0..8 {
        let id = s.accept(NON_IDEMPOTENT);
        assert_eq!(
            s.in_flight.last().map(|attempt| attempt.message),
            Some(id),
            "sent at once: no backoff or open breaker"
        );
        s.end(Outcome::InvalidResponse);
        assert_eq!(s.failed.last(), Some(&id), "failed, since it may have run");
    }
}
