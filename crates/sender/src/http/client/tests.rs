use super::*;

/// A unit test, because no test from outside can force a response to be read after the deadline has passed.
#[test]
fn delivery_read_after_deadline_counts_as_time_out() {
    let deadline = Instant::now();
    let all = [(Outcome::Delivered, false), (Outcome::Rejected(None), false), (Outcome::Delivered, false)];
    let read_at = |now| {
        let mut outcomes = all;
        expire_late_deliveries(&mut outcomes, now, deadline);
        outcomes
    };
    assert_eq!(read_at(deadline), all);
    let late = (Outcome::TimedOut, false);
    assert_eq!(read_at(deadline + Duration::from_micros(1)), [late, all[1], late]);
}
