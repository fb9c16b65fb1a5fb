use super::*;
use std::time::UNIX_EPOCH;

fn at(ms: u64) -> SystemTime {
    UNIX_EPOCH + Duration::from_secs(1_000_000) + Duration::from_millis(ms)
}

fn written(from: u64, to: u64) -> Written {
    Written { from: at(from), to: at(to) }
}

fn waiting(calls: &[u64], (from, to): (u64, u64)) -> Vec<Violation> {
    let terms = Terms { waits: Some((1_000, Duration::from_secs(1))), limit: None };
    let mut record = Record::new(terms);
    for ms in calls {
        record.call_arrived(at(*ms));
    }
    let says = AnswerTerms { wait: Some(Duration::from_secs(1)), ..AnswerTerms::default() };
    record.answer_written(&says, written(from, to));
    record.violations()
}

#[test]
fn a_call_within_a_wait_is_found_however_late_it_is_read() {
    assert_eq!(waiting(&[500, 600], (0, 1)).len(), 2);
    let one = Violation { arrived: at(500), answer: written(0, 1), wait: Some(Duration::from_secs(1)) };
    assert_eq!(waiting(&[500], (0, 1)), [one]);
}

#[test]
fn a_call_in_the_slack_or_after_the_wait_is_none() {
    assert_eq!(waiting(&[0, 50, 101, 1_000, 1_200], (0, 1)), []);
}

/// A thread that stood still beside its write may have written at either moment: only what is wrong for both counts.
#[test]
fn what_may_have_been_in_time_is_no_breach() {
    assert_eq!(waiting(&[300, 350, 1_050], (0, 300)), []);
    assert_eq!(waiting(&[450], (0, 300)).len(), 1);
}

#[test]
fn a_limit_counts_by_when_calls_came_and_from_its_first_report_on() {
    let mut record = Record::new(Terms { waits: None, limit: Some(2) });
    let says: Vec<_> = [0, 10, 20].map(|ms| record.call_arrived(at(ms))).into();
    assert_eq!(says[1].report, Some((0.0, 1.0)));
    assert_eq!(says[2].status, Some(503));
    record.answer_written(&says[0], written(30, 40));
    assert_eq!(record.violations(), [], "nobody could know it");
    // Heard after a later one, it still counts in its own span.
    assert_eq!(record.call_arrived(at(2_015)).status, None);
    assert_eq!(record.call_arrived(at(2_005)).status, Some(503));
    let one = Violation { arrived: at(2_005), answer: written(30, 40), wait: None };
    assert_eq!(record.violations(), [one]);
}
