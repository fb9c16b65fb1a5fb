//! Tests of the protocol's steps and messages, without processes.

use decision::interface::{EndpointId, MessageId, Outcome};
use handover::step::{
    DRAIN_TIMEOUT, JournalOwner, PredecessorStep, STARTUP_TIMEOUT, StartupStep, may_exit, predecessor_step,
    startup_step,
};
use handover::{
    Answer, AttemptCompleted, AttemptInFlight, OutstandingAttempts, ToPredecessor, ToSuccessor, frame,
};
use proptest::prelude::*;

const ENDPOINT: EndpointId = EndpointId([0, 0, 0, 0, 0, 1]);

fn delivered(message: u32, attempt: u16) -> AttemptCompleted {
    AttemptCompleted::unsent(MessageId(message), attempt, ENDPOINT, Outcome::Delivered)
}

#[test]
fn startup_step_depends_on_journal_owner_and_time_waited() {
    for (owner, concurrent, waited, expected) in [
        (JournalOwner::None, false, 0, StartupStep::Start),
        (JournalOwner::None, true, STARTUP_TIMEOUT, StartupStep::Start),
        (JournalOwner::Responsive, true, STARTUP_TIMEOUT - 1, StartupStep::RequestTakeover),
        (JournalOwner::Responsive, true, STARTUP_TIMEOUT, StartupStep::Fail),
        (JournalOwner::Responsive, false, 0, StartupStep::Fail),
        (JournalOwner::Unresponsive, false, 0, StartupStep::Fail),
        (JournalOwner::Unresponsive, true, STARTUP_TIMEOUT - 1, StartupStep::Retry),
        (JournalOwner::Unresponsive, true, STARTUP_TIMEOUT, StartupStep::Fail),
    ] {
        assert_eq!(startup_step(owner, concurrent, waited), expected, "{owner:?} {concurrent} {waited}");
    }
}

/// Exactly one of the two processes makes decisions: the one that has the journal.
#[test]
fn predecessor_resumes_only_if_the_journal_is_free() {
    assert_eq!(predecessor_step(true, false), PredecessorStep::Drain);
    assert_eq!(predecessor_step(true, true), PredecessorStep::Drain);
    assert_eq!(predecessor_step(false, true), PredecessorStep::Resume);
    assert_eq!(predecessor_step(false, false), PredecessorStep::Exit);
}

#[test]
fn predecessor_exits_when_drained_or_after_the_drain_timeout() {
    assert!(may_exit(0, 0, None, 0));
    assert!(!may_exit(1, 0, None, u64::MAX) && !may_exit(0, 1, None, u64::MAX));
    assert!(!may_exit(1, 1, Some(7), 7 + DRAIN_TIMEOUT - 1) && may_exit(1, 1, Some(7), 7 + DRAIN_TIMEOUT));
}

#[test]
fn each_outstanding_attempt_completes_only_once() {
    let in_flight =
        |message, attempt| AttemptInFlight { message: MessageId(message), attempt, endpoint: ENDPOINT };
    let mut outstanding = OutstandingAttempts::new([in_flight(1, 0), in_flight(2, 3), in_flight(3, 0)]);
    assert!(outstanding.contains(MessageId(2), 3) && !outstanding.contains(MessageId(2), 2));
    assert_eq!(
        outstanding.complete(vec![delivered(1, 0), delivered(9, 0), delivered(1, 0)]),
        [delivered(1, 0)]
    );
    assert_eq!(outstanding.complete(vec![delivered(1, 0)]), []);
    let reset = outstanding.reset_all(5);
    let completed: Vec<_> = reset.iter().map(|a| (a.message.0, a.attempt, a.outcome, a.took)).collect();
    assert_eq!(completed, [(2, 3, Outcome::Reset, 5), (3, 0, Outcome::Reset, 5)]);
    assert!(outstanding.is_empty() && outstanding.reset_all(6).is_empty());
}

#[test]
fn encoded_messages_decode_to_the_same_messages() {
    for message in [
        ToSuccessor::Drained,
        ToSuccessor::CallCompleted(vec![delivered(1, 2)]),
        ToSuccessor::RetryAfter(ENDPOINT, 5),
        ToSuccessor::ConnectionReused { lost: true },
        ToSuccessor::AdminRequest { number: 1, request: admin::request::AdminRequest::Eject("e".into()) },
    ] {
        let encoded = frame::write(&message).unwrap();
        let length = frame::body_length(encoded[..4].try_into().unwrap()).unwrap();
        assert_eq!(length, encoded.len() - 4);
        assert_eq!(frame::read::<ToSuccessor>(&encoded[4..]).unwrap(), message);
    }
    let answer = ToPredecessor::Answer(7, Answer::Rejected(1_000));
    assert_eq!(frame::read::<ToPredecessor>(&frame::write(&answer).unwrap()[4..]).unwrap(), answer);
    assert!(frame::body_length([0xff; 4]).is_err(), "the length exceeds the maximum");
}

proptest! {
    /// A body of arbitrary bytes decodes to a message that can be encoded again, or to an error; it does not panic.
    #[test]
    fn decoding_arbitrary_bytes_does_not_panic(body in prop::collection::vec(any::<u8>(), 0..200)) {
        if let Ok(message) = frame::read::<ToSuccessor>(&body) {
            prop_assert!(frame::write(&message).is_ok());
        }
    }
}
