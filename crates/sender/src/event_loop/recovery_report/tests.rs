use super::*;

#[test]
fn counts_each_message_once_and_reports_once() {
    let mut report = RecoveryReport::default();
    assert_eq!(report.take_summary(), None, "no message was recovered");
    (0..4).for_each(|number| report.resumed(number));
    report.called(0);
    report.called(0);
    report.completed(0, UncalledReason::Expired);
    report.completed(9, UncalledReason::Expired);
    report.abandoned(1, 0);
    report.abandoned(2, 1);
    assert_eq!(report.take_summary(), None, "one message is not accounted for");
    report.completed(3, UncalledReason::UnknownClass);
    let summary = report.take_summary().unwrap();
    assert!(summary.starts_with("of 4 untried messages of the process before 1 were called"), "{summary}");
    assert!(summary.contains("3 (1 out of time, 1 given up, 1 of an unknown class)"), "{summary}");
    assert_eq!(report.take_summary(), None);
}
