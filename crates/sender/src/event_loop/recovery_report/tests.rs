use super::*;

#[test]
fn each_is_counted_once_and_all_are_told_of_once() {
    let mut untried = RecoveryReport::default();
    assert_eq!(untried.take_summary(), None, "nothing was left");
    (0..4).for_each(|number| untried.resumed(number));
    untried.called(0);
    untried.called(0);
    untried.completed(0, UncalledReason::Expired);
    untried.completed(9, UncalledReason::Expired);
    untried.abandoned(1, 0);
    untried.abandoned(2, 1);
    assert_eq!(untried.take_summary(), None, "one is open");
    untried.completed(3, UncalledReason::UnknownClass);
    let told = untried.take_summary().unwrap();
    assert!(told.starts_with("of 4 untried messages of the process before 1 were called"), "{told}");
    assert!(told.contains("3 (1 out of time, 1 given up, 1 of an unknown class)"), "{told}");
    assert_eq!(untried.take_summary(), None);
}
