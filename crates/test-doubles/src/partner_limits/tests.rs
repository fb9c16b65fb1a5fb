use super::*;
use std::time::UNIX_EPOCH;

fn at(ms: u64) -> SystemTime {
    UNIX_EPOCH + Duration::from_secs(1_000_000) + Duration::from_millis(ms)
}

fn written(from: u64, to: u64) -> WriteInterval {
    WriteInterval { start: at(from), end: at(to) }
}

fn violations_of_retry_after(calls: &[u64], (from, to): (u64, u64)) -> Vec<Violation> {
    let limits = PartnerLimits { waits: Some((1_000, Duration::from_secs(1))), limit: None };
    let mut history = CallHistory::new(limits);
    for ms in calls {
        history.call_arrived(at(*ms));
    }
    let required = RequiredAnswer { retry_after: Some(Duration::from_secs(1)), ..RequiredAnswer::default() };
    history.answer_written(&required, written(from, to));
    history.violations()
}

#[test]
fn reports_call_during_retry_after() {
    assert_eq!(violations_of_retry_after(&[500, 600], (0, 1)).len(), 2);
    let violation = Violation { arrived: at(500), answer: written(0, 1), wait: Some(Duration::from_secs(1)) };
    assert_eq!(violations_of_retry_after(&[500], (0, 1)), [violation]);
}

#[test]
fn accepts_call_in_grace_period_or_after_retry_after() {
    assert_eq!(violations_of_retry_after(&[0, 50, 101, 1_000, 1_200], (0, 1)), []);
}

/// A thread that was not scheduled around its write may have written at either end of the interval: a call is a violation
/// only if it is one for both.
#[test]
fn accepts_call_that_may_have_preceded_the_answer() {
    assert_eq!(violations_of_retry_after(&[300, 350, 1_050], (0, 300)), []);
    assert_eq!(violations_of_retry_after(&[450], (0, 300)).len(), 1);
}

#[test]
fn applies_limit_by_arrival_time_after_first_report() {
    let mut history = CallHistory::new(PartnerLimits { waits: None, limit: Some(2) });
    let required: Vec<_> = [0, 10, 20].map(|ms| history.call_arrived(at(ms))).into();
    assert_eq!(required[1].report, Some((0.0, 1.0)));
    assert_eq!(required[2].status, Some(503));
    history.answer_written(&required[0], written(30, 40));
    assert_eq!(history.violations(), [], "no caller could know the limit yet");
    // The call that arrived at 2,005 ms is recorded after a later one. It is counted by its own time of arrival.
    assert_eq!(history.call_arrived(at(2_015)).status, None);
    assert_eq!(history.call_arrived(at(2_005)).status, Some(503));
    let violation = Violation { arrived: at(2_005), answer: written(30, 40), wait: None };
    assert_eq!(history.violations(), [violation]);
}
