use super::*;

/// Which of an answer and the end of the wait for it is seen first can't be forced from outside.
#[test]
fn a_delivery_that_is_read_after_the_end_of_the_wait_is_none() {
    let until = Instant::now();
    let all = [(Outcome::Delivered, false), (Outcome::Rejected(None), false), (Outcome::Delivered, false)];
    let read = |now| {
        let mut ends = all;
        expire_late_deliveries(&mut ends, now, until);
        ends
    };
    assert_eq!(read(until), all);
    let late = (Outcome::TimedOut, false);
    assert_eq!(read(until + Duration::from_micros(1)), [late, all[1], late]);
}
