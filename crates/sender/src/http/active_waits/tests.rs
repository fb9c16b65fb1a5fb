use super::*;
use decision::interface::{DestinationId, EndpointId};

#[test]
fn a_wait_holds_for_its_route_alone_and_is_never_shortened() {
    let (waits, now) = (ActiveWaits::default(), Instant::now());
    let second = Duration::from_secs(1);
    let (seven, eight) = ((DestinationId(7), None), (DestinationId(8), None));
    let apart = (DestinationId(7), Some(EndpointId([0; 6])));
    waits.record(seven, now, 3 * second);
    waits.record(seven, now, second);
    assert!(waits.is_active(seven, now + 3 * second - Duration::from_millis(1)));
    assert!(!waits.is_active(seven, now + 3 * second));
    assert!(!waits.is_active(eight, now) && !waits.is_active(apart, now));
}

#[test]
fn waits_that_are_over_are_dropped_and_those_that_run_stay() {
    let (waits, now) = (ActiveWaits::default(), Instant::now());
    let route = |n| (DestinationId(n), None);
    waits.record(route(0), now, Duration::from_secs(9));
    for n in 1..2_000u16 {
        let at = now + Duration::from_millis(n.into());
        waits.record(route(n), at, Duration::from_millis(1));
    }
    assert!(waits.0.borrow().len() <= TIDY_AT);
    assert!(waits.is_active(route(0), now + Duration::from_secs(8)));
}
