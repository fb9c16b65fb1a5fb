//! The package's steps and messages, without processes round them.

use decision::interface::{EndpointId, MessageId, Outcome};
use handover::step::{After, CARRY, Found, Start, WAIT, after, may_end, start};
use handover::{Answer, AttemptCompleted, OutstandingAttempts, ToPredecessor, ToSuccessor, frame};
use proptest::prelude::*;

const HERE: EndpointId = EndpointId([0, 0, 0, 0, 0, 1]);

fn over(message: u32, attempt: u16) -> AttemptCompleted {
    AttemptCompleted::unsent(MessageId(message), attempt, HERE, Outcome::Delivered)
}

#[test]
fn a_second_sender_where_none_is_meant_to_be_gives_up_at_once() {
    for (found, beside, waited, expected) in [
        (Found::Free, false, 0, Start::Alone),
        (Found::Free, true, WAIT, Start::Alone),
        (Found::Running, true, WAIT - 1, Start::Ask),
        (Found::Running, true, WAIT, Start::GiveUp),
        (Found::Running, false, 0, Start::GiveUp),
        (Found::Mute, false, 0, Start::GiveUp),
        (Found::Mute, true, WAIT - 1, Start::Wait),
        (Found::Mute, true, WAIT, Start::GiveUp),
    ] {
        assert_eq!(start(found, beside, waited), expected, "{found:?} {beside} {waited}");
    }
}

/// Guards against two that decide, and against none.
#[test]
fn who_holds_the_journal_decides() {
    assert_eq!(after(true, false), After::Carry);
    assert_eq!(after(true, true), After::Carry);
    assert_eq!(after(false, true), After::GoOn);
    assert_eq!(after(false, false), After::End);
}

#[test]
fn an_old_process_ends_when_it_has_nothing_left_or_no_more_time() {
    assert!(may_end(0, 0, None, 0));
    assert!(!may_end(1, 0, None, u64::MAX) && !may_end(0, 1, None, u64::MAX));
    assert!(!may_end(1, 1, Some(7), 7 + CARRY - 1) && may_end(1, 1, Some(7), 7 + CARRY));
}

#[test]
fn each_attempt_that_was_out_ends_once() {
    let mut outs =
        OutstandingAttempts::new([(MessageId(1), 0, HERE), (MessageId(2), 3, HERE), (MessageId(3), 0, HERE)]);
    assert!(outs.contains(MessageId(2), 3) && !outs.contains(MessageId(2), 2));
    assert_eq!(outs.ended(vec![over(1, 0), over(9, 0), over(1, 0)]), [over(1, 0)]);
    assert_eq!(outs.ended(vec![over(1, 0)]), []);
    let lost = outs.lost(5);
    let seen: Vec<_> = lost.iter().map(|o| (o.message.0, o.attempt, o.outcome, o.took)).collect();
    assert_eq!(seen, [(2, 3, Outcome::Reset, 5), (3, 0, Outcome::Reset, 5)]);
    assert!(outs.is_empty() && outs.lost(6).is_empty());
}

#[test]
fn what_is_said_is_read_back() {
    for message in [
        ToSuccessor::Drained,
        ToSuccessor::CallCompleted(vec![over(1, 2)]),
        ToSuccessor::RetryAfter(HERE, 5),
        ToSuccessor::ConnectionReused { lost: true },
        ToSuccessor::AdminRequest { number: 1, call: admin::call::AdminRequest::Eject("e".into()) },
    ] {
        let written = frame::write(&message).unwrap();
        let length = frame::body_length(written[..4].try_into().unwrap()).unwrap();
        assert_eq!(length, written.len() - 4);
        assert_eq!(frame::read::<ToSuccessor>(&written[4..]).unwrap(), message);
    }
    let answer = ToPredecessor::Answer(7, Answer::Rejected(1_000));
    assert_eq!(frame::read::<ToPredecessor>(&frame::write(&answer).unwrap()[4..]).unwrap(), answer);
    assert!(frame::body_length([0xff; 4]).is_err(), "no sender says so much");
}

proptest! {
    /// Whatever comes, it is a message or it is told.
    #[test]
    fn anything_can_come(body in prop::collection::vec(any::<u8>(), 0..200)) {
        if let Ok(message) = frame::read::<ToSuccessor>(&body) {
            prop_assert!(frame::write(&message).is_ok());
        }
    }
}
