use super::*;

const COPY: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
const OTHER: &[u8] = b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n";
/// The endpoint answers in 100 to 200 ms.
const EARLY: Duration = Duration::from_millis(99);
const NOT_EARLY: Duration = Duration::from_millis(100);

fn answer(pieces: &[&[u8]]) -> AnswerBytes {
    let mut answer = AnswerBytes::default();
    pieces.iter().for_each(|piece| answer.push(piece));
    answer
}

/// The filter after an answer [`COPY`].
fn filter() -> CopyFilter {
    let mut times = AnswerTimes::new(Duration::from_millis(100));
    times.add(Duration::from_millis(200));
    let criteria = CopyCriteria::new(times, Duration::from_millis(1000), true);
    let mut history = AnswerHistory::default();
    assert!(history.filter(criteria).is_none(), "a first answer is no copy");
    history.add(answer(&[COPY]));
    history.filter(criteria).unwrap()
}

#[test]
fn answer_that_equals_the_one_before_it_may_be_a_copy() {
    let (a, b) = (answer(&[b"a"]), answer(&[b"b"]));
    let mut history = AnswerHistory::default();
    let added = [&a, &b, &a, &a, &a, &b].map(|answer| history.add(answer.clone()));
    assert_eq!(added, [false, false, false, true, true, false]);
    // A copy may arrive in other pieces than the answer did.
    assert_eq!(answer(&[b"a", b"", b"b"]), answer(&[b"ab"]));
}

/// An answer that is too long to be compared may be a copy.
#[test]
fn long_answer_may_be_a_copy() {
    let long = vec![b'x'; MAX_COMPARED_BYTES];
    let mut history = AnswerHistory::default();
    assert!(!history.add(answer(&[&long])));
    assert!(history.add(answer(&[&long, b"x"])));
    assert!(history.add(answer(&[&long, b"y"])));
}

#[test]
fn early_copy_is_held_until_another_answer_arrives() {
    let mut filter = filter();
    assert_eq!(filter.arrived(&COPY[..7], EARLY), Filtered::Incomplete);
    assert_eq!(filter.arrived(&COPY[7..], EARLY), Filtered::Held);
    assert_eq!((filter.held(), filter.hold()), (COPY, Duration::from_millis(400)));
    assert_eq!(filter.arrived(&OTHER[..3], NOT_EARLY), Filtered::Read(OTHER[..3].to_vec()));
}

#[test]
fn answer_right_behind_a_copy_is_read() {
    let both = [COPY, OTHER].concat();
    assert_eq!(filter().arrived(&both, EARLY), Filtered::Read(OTHER.to_vec()));
}

#[test]
fn other_answer_is_read_at_once() {
    assert_eq!(filter().arrived(OTHER, EARLY), Filtered::Read(OTHER.to_vec()));
    let mut filter = filter();
    assert_eq!(filter.arrived(&OTHER[..10], EARLY), Filtered::Read(OTHER[..10].to_vec()));
}

/// An equal answer in the usual time is taken for the call's own.
#[test]
fn equal_answer_in_usual_time_is_read_at_once() {
    assert_eq!(filter().arrived(COPY, NOT_EARLY), Filtered::Read(COPY.to_vec()));
    let mut filter = filter();
    assert_eq!(filter.arrived(&COPY[..20], EARLY), Filtered::Incomplete);
    assert_eq!(filter.arrived(&COPY[20..], NOT_EARLY), Filtered::Read(COPY.to_vec()));
}

/// A held answer that comes too early for the endpoint proves nothing, and a message that must not be sent again waits for its
/// own answer until the deadline.
#[test]
fn answer_that_is_too_early_for_the_endpoint_is_unconfirmed() {
    let ms = Duration::from_millis;
    let held = |shortest, after, repeatable| {
        let mut times = AnswerTimes::new(ms(200));
        times.add(ms(shortest));
        let mut history = AnswerHistory::default();
        history.add(answer(&[COPY]));
        let mut filter = history.filter(CopyCriteria::new(times, ms(1000), repeatable)).unwrap();
        assert_eq!(filter.arrived(COPY, after), Filtered::Held);
        (filter.is_unconfirmed(), filter.hold())
    };
    assert_eq!(held(100, ms(24), true), (true, ms(400)));
    assert_eq!(held(100, ms(24), false), (true, ms(1000)));
    // A call over a connection that is open may be faster by the handshake.
    for repeatable in [true, false] {
        assert_eq!(held(100, ms(25), repeatable), (false, ms(400)));
        assert_eq!(held(19, ms(0), repeatable), (false, ms(400)), "too short to be compared");
    }
}

/// After a rejection a connection is closed, since a copy of it would be taken for the rejection of the next call.
#[test]
fn only_answers_that_prove_no_rejection_allow_reuse() {
    let done = (Outcome::Delivered, false);
    assert!(allows_reuse(
        StatusCode::OK,
        &[done, (Outcome::Error, false), (Outcome::InvalidResponse, false)]
    ));
    let rejections = [
        (Outcome::Rejected(None), false),
        (Outcome::Rejected(Some(1)), false),
        (Outcome::NotSent { no_slot: false }, true),
    ];
    for rejection in rejections {
        assert!(!allows_reuse(StatusCode::OK, &[done, rejection]), "{rejection:?}");
    }
    for status in [400, 410, 413, 429, 500, 503, 504] {
        let status = StatusCode::from_u16(status).unwrap();
        assert!(!allows_reuse(status, &[(Outcome::Error, false)]), "{status}");
    }
}
