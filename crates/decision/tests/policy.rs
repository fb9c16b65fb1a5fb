//! The module alone: the breaker, each rule, and each failure found on the bench.

mod common;

use std::collections::BTreeSet;

use common::*;
use decision::interface::*;

fn one() -> Sender {
    Sender::new(settings(), &[entry(1, 0)])
}

#[test]
fn five_failures_open_and_a_success_closes() {
    let mut s = one();
    s.serve(20);
    s.suffer(5, Outcome::Error);
    let before = s.sent.len();
    s.accept(SAFE);
    s.pass(SECOND);
    assert_eq!(s.sent.len(), before, "held while open");
    s.pass(2 * SECOND);
    assert_eq!(s.sent.len(), before + 1, "one trial once half an aim is over");
    s.accept(SAFE);
    s.pass(SECOND);
    assert_eq!(s.sent.len(), before + 1, "one trial at a time");
    s.end(Outcome::Delivered);
    s.pass(4 * SECOND);
    assert!(s.sent.len() > before + 1, "closed by its success");
}

#[test]
fn a_success_clears_the_count() {
    let mut s = one();
    s.serve(20);
    for _ in 0..4 {
        s.accept(SAFE);
        s.end(Outcome::Error);
        // Its repeat, or after two failures the next one, is served once the ramp lets it go.
        s.pass(4 * SECOND);
        while !s.out.is_empty() {
            s.end(Outcome::Delivered);
        }
    }
    let before = s.sent.len();
    s.accept(SAFE);
    s.pass(3 * SECOND);
    assert!(s.sent.len() > before, "never open");
}

#[test]
fn refusals_as_full_do_not_open_but_slow_down() {
    let mut s = one();
    s.serve(20);
    let before = s.sent.len();
    for _ in 0..8 {
        s.accept(SAFE);
    }
    while s.out.iter().any(|o| o.sent == s.now) {
        s.end(Outcome::Rejected(None));
    }
    assert!(s.sent.len() - before <= 8);
    let refused = s.sent.len();
    s.pass(SECOND / 10);
    assert_eq!(s.sent.len(), refused, "pauses after a refusal");
    s.pass(SECOND);
    assert!(s.sent.len() > refused, "and goes on, closed");
}

#[test]
fn silence_opens_long_before_time_outs() {
    let mut s = one();
    s.serve(20);
    // These are waited for; what may be repeated would be called off.
    for _ in 0..2 {
        s.accept(ONCE);
    }
    assert_eq!(s.out.len(), 2);
    s.pass(3 * SECOND / 2);
    let before = s.sent.len();
    s.accept(SAFE);
    assert_eq!(s.sent.len(), before, "two silent calls: nothing more goes there");
    s.end(Outcome::Delivered);
    s.pass(4 * SECOND);
    assert!(s.sent.len() > before, "a late answer closes");
}

#[test]
fn one_destination_keeps_within_its_share_of_slots() {
    let mut s = one();
    s.serve(1);
    for _ in 0..20 {
        s.accept(SAFE);
    }
    assert_eq!(s.out.len(), 6, "three quarters of eight slots");
}

#[test]
fn half_of_the_slots_while_failing() {
    let mut s = one();
    s.serve(20);
    s.accept(ONCE);
    s.end(Outcome::Error);
    for _ in 0..20 {
        s.accept(SAFE);
    }
    assert_eq!(s.out.len(), 4);
}

#[test]
fn messages_of_one_tick_share_a_call_where_they_may() {
    let mut s = Sender::new(settings(), &[entry(1, 2)]);
    s.serve(1);
    let batch = (0..40).map(|_| Event::Accepted(s.message(SAFE, None, 20 * SECOND))).collect();
    s.tell(batch);
    assert_eq!(s.out.len(), 30, "six calls of five");
}

#[test]
fn every_message_is_answered_once_in_time() {
    let mut s = Sender::new(settings(), &[]);
    let id = s.accept(SAFE);
    s.pass(19 * SECOND);
    assert!(s.refused.is_empty(), "held for news of its destination");
    s.pass(SECOND);
    assert_eq!(s.refused, [(id, 0)]);
    s.pass(10 * SECOND);
    assert_eq!((s.refused.len(), s.failed.len(), s.sent.len()), (1, 0, 0));
}

#[test]
fn a_call_that_times_out_at_the_end_is_failed_in_time() {
    let mut s = one();
    let message = s.message(ONCE, None, 2 * SECOND);
    let id = message.id;
    s.tell(vec![Event::Accepted(message)]);
    s.pass(2 * SECOND);
    assert_eq!(s.failed, [id]);
}

#[test]
fn nothing_goes_out_after_the_client_has_left() {
    let mut s = one();
    s.accept(SAFE);
    let left = s.out[0].message;
    s.tell(vec![Event::Withdrawn(left)]);
    s.end(Outcome::Error);
    s.pass(30 * SECOND);
    assert_eq!((s.sent.len(), s.refused.len(), s.failed.len()), (1, 0, 0));
}

#[test]
fn time_left_of_nothing_is_answered_at_once() {
    let mut s = one();
    let message = s.message(SAFE, None, 0);
    s.tell(vec![Event::Accepted(message)]);
    assert_eq!((s.refused.len(), s.sent.len()), (1, 0));
}

#[test]
fn once_is_failed_after_an_attempt_that_may_have_run() {
    for outcome in [Outcome::Error, Outcome::TimedOut, Outcome::Reset, Outcome::Cancelled] {
        let mut s = one();
        let id = s.accept(ONCE);
        s.end(outcome);
        s.pass(25 * SECOND);
        assert_eq!((s.sent.len(), &s.failed[..], s.refused.len()), (1, &[id][..], 0), "{outcome:?}");
    }
}

#[test]
fn once_is_tried_again_when_it_never_ran() {
    for outcome in [Outcome::Rejected(None), Outcome::ConnectFailed, Outcome::NotSent { no_slot: true }] {
        let mut s = one();
        s.accept(ONCE);
        s.end(outcome);
        s.pass(5 * SECOND);
        assert_eq!(s.sent.len(), 2, "{outcome:?}");
    }
}

#[test]
fn keyed_is_repeated_within_its_window_only() {
    let mut s = one();
    s.accept(KEYED);
    s.end(Outcome::Error);
    s.pass(SECOND);
    assert!(s.sent.len() >= 2, "repeated inside");
    // The window counts from the first attempt that may have run.
    s.pass(SECOND);
    s.end(Outcome::Error);
    s.pass(25 * SECOND);
    assert!(s.sent.iter().all(|o| o.sent < START + 6 * SECOND));
    assert_eq!((s.failed.len(), s.refused.len()), (1, 0));
}

#[test]
fn keyed_window_forgets_attempts_that_never_ran() {
    let mut s = one();
    s.accept(KEYED);
    s.pass(3 * SECOND);
    s.end(Outcome::ConnectFailed);
    s.pass(SECOND);
    s.end(Outcome::Error);
    s.pass(4 * SECOND);
    assert!(s.sent.len() >= 3, "the second attempt opened the window");
}

#[test]
fn keyed_stays_in_its_zone() {
    let mut settings = settings();
    settings.classes[KEYED].idempotency =
        Idempotency::Keyed { scope: IdempotencyScope::Zone, window: 6 * SECOND };
    let mut s = Sender::new(settings, &[entry(1, 0), entry(2, 0)]);
    for _ in 0..10 {
        s.accept(KEYED);
        while let Some(first) = s.out.first().copied() {
            s.end(Outcome::Error);
            s.pass(SECOND / 2);
            assert!(
                s.sent.iter().filter(|o| o.message == first.message).all(|o| o.endpoint == first.endpoint)
            );
        }
        s.pass(10 * SECOND);
    }
}

#[test]
fn the_limit_on_tries_is_kept() {
    let mut s = one();
    s.accept(SAFE);
    for _ in 0..10 {
        if !s.out.is_empty() {
            s.end(Outcome::ConnectFailed);
        }
        s.pass(SECOND * 3 / 2);
    }
    assert_eq!((s.sent.len(), s.refused.len()), (4, 1));
}

#[test]
fn drains_are_kept_at_once() {
    let mut s = one();
    let mut drained = entry(1, 0);
    drained.listing = Listing::Draining;
    s.tell(vec![Event::EndpointChanges(vec![drained])]);
    s.accept(SAFE);
    s.pass(SECOND);
    assert!(s.sent.is_empty());
    s.tell(vec![Event::EndpointChanges(vec![entry(1, 0)])]);
    assert_eq!(s.sent.len(), 1, "and undone when it comes back");
    s.tell(vec![Event::EndpointList(vec![])]);
    s.accept(SAFE);
    assert_eq!(s.sent.len(), 1, "what a full list leaves out is gone");
}

#[test]
fn a_list_that_must_be_asked_for_is_asked_for_again_after_failures() {
    let mut settings = settings();
    settings.polling_only = true;
    let mut s = Sender::new(settings, &[entry(1, 0)]);
    assert_eq!(s.other, [Action::WatchEndpoints]);
    s.tell(vec![Event::DiscoveryFailed]);
    s.pass(10 * SECOND);
    assert_eq!(s.other, [Action::WatchEndpoints, Action::WatchEndpoints]);
}

#[test]
fn waits_hold_for_every_message_and_endpoint() {
    let mut s = Sender::new(settings(), &[entry(1, 0), entry(2, 0)]);
    s.accept(SAFE);
    s.end(Outcome::Rejected(Some(2 * SECOND)));
    for _ in 0..5 {
        s.accept(ONCE);
    }
    s.pass(2 * SECOND - 1);
    assert_eq!(s.sent.len(), 1);
    s.pass(2 * SECOND);
    assert!(s.sent.len() > 1);
}

/// Found on the bench: the messages of one call were told different waits, and only the first was read.
#[test]
fn each_message_of_a_call_may_be_told_a_wait() {
    let mut s = Sender::new(settings(), &[entry(1, 2)]);
    let batch = (0..2).map(|_| Event::Accepted(s.message(SAFE, None, 20 * SECOND))).collect();
    s.tell(batch);
    assert_eq!(s.out.len(), 2);
    let ends = vec![
        s.ended(s.out[0], Outcome::Rejected(Some(SECOND / 2))),
        s.ended(s.out[1], Outcome::Rejected(Some(2 * SECOND))),
    ];
    s.out.clear();
    s.tell(ends);
    s.pass(2 * SECOND - 1);
    assert_eq!(s.sent.len(), 2);
}

#[test]
fn waits_and_breakers_are_apart_where_routes_are() {
    let mut s = Sender::new(settings(), &[entry(1, 1), entry(2, 1)]);
    s.accept(SAFE);
    let waits = s.out[0].endpoint;
    s.end(Outcome::Rejected(Some(2 * SECOND)));
    assert_eq!(s.sent.len(), 2, "the other route takes it");
    assert_ne!(s.out[0].endpoint, waits);
}

#[test]
fn order_is_kept_by_key() {
    let mut s = one();
    let first = s.accept_keyed(ORDERED, Some(9));
    let second = s.accept_keyed(ORDERED, Some(9));
    s.accept_keyed(ORDERED, Some(10));
    assert_eq!(s.out.len(), 2, "another key goes");
    s.end(Outcome::Delivered);
    assert!(s.out.iter().any(|o| o.message == second));
    assert!(s.sent.iter().filter(|o| o.message == first).count() == 1);
}

#[test]
fn a_key_rests_after_an_unclear_end() {
    let mut s = one();
    let first = s.accept_keyed(ORDERED, Some(9));
    let second = s.accept_keyed(ORDERED, Some(9));
    s.tell(vec![Event::Withdrawn(first)]);
    s.pass(SECOND);
    assert_eq!(s.sent.len(), 1, "an attempt of the earlier one is out");
    s.end(Outcome::Reset);
    s.pass(SECOND - 1);
    assert_eq!(s.sent.len(), 1);
    s.pass(SECOND);
    assert_eq!(s.sent.last().map(|o| o.message), Some(second));
}

/// Most calls sent within any three seconds from a time on.
fn busiest_span(s: &Sender, from: Micros) -> usize {
    let sent: Vec<_> = s.sent.iter().map(|o| o.sent).filter(|at| *at >= from).collect();
    let span = |at: &Micros| sent.iter().filter(|o| (*at..*at + 3 * SECOND).contains(*o)).count();
    sent.iter().map(span).max().unwrap_or(0)
}

/// Serves all that comes for so long, with a message every quarter of a second.
fn recover(s: &mut Sender, seconds: u64) {
    for _ in 0..seconds * 4 {
        s.accept(SAFE);
        s.pass(SECOND / 4);
        while !s.out.is_empty() {
            s.end(Outcome::Delivered);
        }
    }
}

#[test]
fn a_returning_destination_is_not_pushed_over() {
    let mut s = one();
    s.serve(80);
    s.suffer(12, Outcome::ConnectFailed);
    let back = s.now;
    recover(&mut s, 4);
    // Four a second were usual: twice a fifth of that for three seconds, and the ramp's rise.
    assert!(busiest_span(&s, back) <= 8, "{}", busiest_span(&s, back));
    let warm = s.now + 14 * SECOND;
    recover(&mut s, 20);
    assert!(s.sent.iter().filter(|o| o.sent > warm).count() > 20, "and the ramp ends");
}

/// Found on the bench: a shut destination shows as full only; its return is as cold as any.
#[test]
fn a_shut_destination_comes_back_cold() {
    let mut s = one();
    s.serve(80);
    for _ in 0..40 {
        s.accept(SAFE);
        while !s.out.is_empty() {
            s.end(Outcome::Rejected(None));
        }
        s.pass(SECOND / 4);
    }
    let back = s.now;
    recover(&mut s, 4);
    assert!(busiest_span(&s, back) <= 8, "{}", busiest_span(&s, back));
}

/// Found on the bench: at a half-failing destination the warm-up counted from a success amid the outage.
#[test]
fn a_failure_while_cold_starts_the_warm_up_anew() {
    let mut s = one();
    s.serve(80);
    s.suffer(4, Outcome::ConnectFailed);
    recover(&mut s, 10);
    s.suffer(1, Outcome::ConnectFailed);
    let back = s.now;
    recover(&mut s, 5);
    assert!(busiest_span(&s, back) <= 12, "{}", busiest_span(&s, back));
}

/// Found on the bench: messages of a destination that is down filled the buffer for all others.
#[test]
fn a_full_buffer_sheds_what_cannot_go() {
    let mut other = entry(2, 0);
    other.destination = DestinationId(8);
    let mut s = Sender::new(settings(), &[entry(1, 0), other]);
    s.serve(20);
    s.suffer(12, Outcome::ConnectFailed);
    for _ in 0..64 {
        s.accept(SAFE);
    }
    assert!(!s.refused.is_empty());
    let mut message = s.message(SAFE, None, 20 * SECOND);
    message.destination = DestinationId(8);
    let id = message.id;
    s.tell(vec![Event::Accepted(message)]);
    assert!(s.refused.iter().all(|r| r.0 != id));
    assert!(s.sent.iter().any(|o| o.message == id));
}

#[test]
fn equal_events_give_equal_actions() {
    let run = || {
        let mut s = Sender::new(settings(), &[entry(1, 0), entry(2, 0), entry(3, 0)]);
        s.serve(30);
        s.suffer(10, Outcome::Error);
        recover(&mut s, 10);
        s.sent
    };
    assert_eq!(run(), run());
}

/// Found on the bench: one hanging call among answered ones made its destination ramp as cold.
#[test]
fn a_time_out_with_answers_since_does_not_count() {
    let mut s = one();
    s.serve(40);
    for _ in 0..3 {
        s.accept(ONCE);
    }
    for _ in 0..20 {
        s.accept(SAFE);
        s.pass(SECOND / 20);
        let answered = s.out.remove(s.out.len() - 1);
        let event = s.ended(answered, Outcome::Delivered);
        s.tell(vec![event]);
        s.pass(SECOND / 5);
    }
    assert!(s.failed.len() == 3, "the three have timed out");
    let before = s.sent.len();
    for _ in 0..4 {
        s.accept(SAFE);
    }
    assert_eq!(s.sent.len(), before + 4, "no ramp");
}

/// Hundreds of senders that each hold a message must not all try a destination that just failed.
#[test]
fn among_many_senders_one_failure_spaces_out_the_next_calls() {
    let calls = |senders| {
        let mut settings = settings();
        settings.senders = senders;
        let mut s = Sender::new(settings, &[entry(1, 0)]);
        s.pass(10 * SECOND);
        s.accept(SAFE);
        for _ in 0..8 {
            if !s.out.is_empty() {
                s.end(Outcome::ConnectFailed);
            }
            s.pass(SECOND);
        }
        s.sent.len()
    };
    assert!(calls(400) < calls(2), "{} {}", calls(400), calls(2));
}

/// Idle connections of many senders fill an endpoint's table.
#[test]
fn a_connection_that_would_close_unused_is_closed_after_use() {
    let mut s = one();
    let close = Action::CloseIdleConnections(endpoint(1));
    s.accept(SAFE);
    s.end(Outcome::Delivered);
    assert!(s.other.contains(&close), "no second use is in sight");
    s.other.clear();
    s.pass(SECOND);
    s.accept(SAFE);
    s.end(Outcome::Delivered);
    assert!(!s.other.contains(&close), "used again within the time that an idle one lives");
}

fn resumed(s: &mut Sender, class: usize, attempts: u32, ran: &[Micros]) -> MessageId {
    let message = s.message(class, None, 20 * SECOND);
    let id = message.id;
    let may_have_run = ran.iter().map(|age| (*age, endpoint(1))).collect();
    s.tell(vec![Event::Recovered { message, attempts, may_have_run, idempotency: None }]);
    id
}

/// Guards against a restart that repeats an effect.
#[test]
fn a_resumed_message_is_bound_by_what_may_have_run() {
    let mut s = one();
    let unsafe_one = resumed(&mut s, ONCE, 1, &[SECOND]);
    assert_eq!(s.failed, [unsafe_one]);
    let late = resumed(&mut s, KEYED, 1, &[5 * SECOND]);
    assert_eq!(s.failed, [unsafe_one, late], "the key is remembered for too short a time");
    assert!(s.sent.is_empty());
    resumed(&mut s, KEYED, 1, &[2 * SECOND]);
    resumed(&mut s, ONCE, 1, &[]);
    assert_eq!(s.sent.len(), 2, "both can do no harm");
    let used_up = resumed(&mut s, ONCE, 4, &[]);
    assert_eq!(s.refused.iter().map(|r| r.0).collect::<Vec<_>>(), [used_up]);
}

/// What was taken on is tried, though a restart came between and all that comes now is worth more.
#[test]
fn what_a_restart_found_untried_goes_first_and_does_not_make_way() {
    let mut draining = entry(1, 0);
    draining.listing = Listing::Draining;
    let mut s = Sender::new(settings(), std::slice::from_ref(&draining));
    let before: BTreeSet<_> = (0..40)
        .map(|_| {
            // Late already.
            let message = s.message(SAFE, None, 10 * SECOND);
            s.tell(vec![Event::Recovered {
                message: message.clone(),
                attempts: 0,
                may_have_run: vec![],
                idempotency: None,
            }]);
            message.id
        })
        .collect();
    for _ in 0..64 {
        s.accept(SAFE);
    }
    assert!(!s.refused.is_empty() && s.refused.iter().all(|refused| !before.contains(&refused.0)));
    s.tell(vec![Event::EndpointChanges(vec![entry(1, 0)])]);
    s.serve(40);
    let called: BTreeSet<_> = s.sent[..40].iter().map(|out| out.message).collect();
    assert_eq!(called, before);
    // One that had a call is as any other.
    s.tell(vec![Event::EndpointChanges(vec![draining])]);
    let message = s.message(SAFE, None, 10 * SECOND);
    let id = message.id;
    s.tell(vec![Event::Recovered { message, attempts: 1, may_have_run: vec![], idempotency: None }]);
    for _ in 0..64 {
        s.accept(SAFE);
    }
    assert!(s.refused.iter().any(|refused| refused.0 == id));
}

/// Guards against a call that is cut off by the end of the process and must not be repeated.
#[test]
fn nothing_unsafe_is_out_when_the_process_ends() {
    let mut s = one();
    s.serve(20);
    let end = s.now + 3 * SECOND;
    s.tell(vec![Event::ShuttingDown(end)]);
    s.accept(ONCE);
    assert!(s.out[0].until <= end);
    s.end(Outcome::Delivered);
    s.pass(29 * SECOND / 10);
    let before = s.sent.len();
    s.accept(ONCE);
    assert_eq!(s.sent.len(), before, "its answer would come too late");
    s.accept(KEYED);
    assert_eq!(s.sent.len(), before + 1, "the next process may repeat it");
    resumed(&mut s, KEYED, 1, &[9 * SECOND / 2]);
    assert_eq!(s.sent.len(), before + 1, "its window would be over then");
}

#[test]
fn a_wait_in_any_answer_binds() {
    let mut s = one();
    s.tell(vec![Event::RetryAfter { endpoint: endpoint(1), wait: SECOND }]);
    s.accept(SAFE);
    s.pass(SECOND - 10_000);
    assert!(s.sent.is_empty());
    s.pass(20_000);
    assert_eq!(s.sent.len(), 1);
}

/// Guards against a call whose answer counts for nothing since its first message was over already.
#[test]
fn a_message_that_was_not_sent_does_not_judge_its_call() {
    let mut s = Sender::new(settings(), &[]);
    for _ in 0..10 {
        s.accept(SAFE);
    }
    s.tell(vec![Event::EndpointList(vec![entry(1, 2)])]);
    for _ in 0..5 {
        let call: Vec<_> = s.out.drain(..s.out.len().min(5)).collect();
        let ends = call.iter().enumerate().map(|(n, out)| {
            s.ended(*out, if n == 0 { Outcome::NotSent { no_slot: false } } else { Outcome::Error })
        });
        let ends = ends.collect();
        s.tell(ends);
    }
    let before = s.sent.len();
    s.accept(SAFE);
    s.pass(SECOND / 2);
    assert_eq!(s.sent.len(), before, "five failed calls have opened the breaker");
}

/// Calls that go within ten seconds after a refusal at a destination with this report, each served in 0.1 s.
fn calls_after_a_refusal(left: f32, limit: f32) -> usize {
    let mut s = Sender::new(Settings { senders: 2, weights: Weights::Nominal, ..settings() }, &[]);
    s.tell(vec![Event::EndpointList(vec![EndpointEntry { weight: 20.0, ..entry(1, 0) }])]);
    s.serve(20);
    s.suffer(1, Outcome::Rejected(None));
    let before = s.sent.len();
    for _ in 0..200 {
        s.accept(SAFE);
        s.pass(SECOND / 20);
        let over: Vec<_> = s.out.iter().filter(|o| o.sent + SECOND / 10 <= s.now).copied().collect();
        s.out.retain(|o| !over.contains(o));
        for out in over {
            let mut event = s.ended(out, Outcome::Delivered);
            if let Event::AttemptCompleted { report, .. } = &mut event {
                *report = vec![left, limit];
            }
            s.tell(vec![event]);
        }
    }
    s.sent.len() - before
}

/// Guards a sender with most of the traffic against keeping to its equal part of a limit that others leave.
#[test]
fn the_pace_grows_where_reports_say_that_room_is_left() {
    let (full, room) = (calls_after_a_refusal(0.1, 20.0), calls_after_a_refusal(0.9, 20.0));
    assert!(room * 2 > full * 3, "{room} calls with room, {full} without");
}

/// Guards the pace against reports that are spoilt: the list is rough, but not by that much.
#[test]
fn a_report_far_from_the_list_is_not_believed() {
    let plain = calls_after_a_refusal(0.9, 0.0);
    for limit in [1e9, 1e-9, -20.0] {
        assert_eq!(calls_after_a_refusal(0.9, limit), plain, "{limit}");
    }
}

/// Guards against taking spoilt answers for failures of the destination.
#[test]
fn spoilt_answers_are_no_failures_but_may_have_run() {
    let mut s = one();
    s.serve(20);
    for _ in 0..8 {
        let once = s.accept(ONCE);
        assert_eq!(s.out.last().map(|out| out.message), Some(once), "sent at once");
        s.end(Outcome::InvalidResponse);
        assert_eq!(s.failed.last(), Some(&once), "it may have run");
    }
}
