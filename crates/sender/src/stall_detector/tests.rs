use super::*;

/// Tested here, because a test from outside can't control whether a long iteration or a request comes first.
#[test]
fn read_delay_goes_back_to_the_last_wakeup_or_stall() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let ms = Duration::from_millis;
    let times = ReadTimes::default();
    assert_eq!(times.read_delay(at(0)), ms(0));
    let times = times.park(at(0)).unpark(at(90));
    assert_eq!(times.read_delay(at(91)), ms(1), "data arrived during the park and was read at once");
    let times = times.park(at(130)).unpark(at(130));
    assert_eq!(times.read_delay(at(130)), ms(40), "data may have arrived when the long iteration began");
    let times = times.park(at(131)).unpark(at(200));
    assert_eq!(times.read_delay(at(200)), ms(0));
    let times = times.park(at(210)).unpark(at(600));
    assert_eq!(
        times.read_delay(at(600)),
        ms(390),
        "the park was longer than the tick interval: the process stalled"
    );
    let times = times.park(at(601)).unpark(at(601));
    assert_eq!(times.read_delay(at(601)), ms(391), "nothing may have been read after the first wakeup");
    let times = times.park(at(640)).unpark(at(641));
    assert_eq!(times.read_delay(at(641)), ms(0), "the stall is no longer considered");
}
