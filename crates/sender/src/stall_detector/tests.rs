use super::*;

/// Which of a long turn and a request comes first can't be held from outside.
#[test]
fn what_is_read_came_after_the_last_look_at_the_soonest() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let ms = Duration::from_millis;
    let pulse = ReadTimes::default();
    assert_eq!(pulse.read_delay(at(0)), ms(0));
    let pulse = pulse.waits(at(0)).wakes(at(90));
    assert_eq!(pulse.read_delay(at(91)), ms(1), "it came and was read");
    let pulse = pulse.waits(at(130)).wakes(at(130));
    assert_eq!(pulse.read_delay(at(130)), ms(40), "it may have come as a turn began that took long");
    let pulse = pulse.waits(at(131)).wakes(at(200));
    assert_eq!(pulse.read_delay(at(200)), ms(0));
    let pulse = pulse.waits(at(210)).wakes(at(600));
    assert_eq!(pulse.read_delay(at(600)), ms(390), "no wait takes so long: it stood still");
    let pulse = pulse.waits(at(601)).wakes(at(601));
    assert_eq!(pulse.read_delay(at(601)), ms(391), "the wait before may have read nothing");
    let pulse = pulse.waits(at(640)).wakes(at(641));
    assert_eq!(pulse.read_delay(at(641)), ms(0), "that is over");
}
