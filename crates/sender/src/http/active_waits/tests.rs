use super::*;
use decision::interface::{DestinationId, EndpointId};

#[test]
fn wait_applies_to_its_route_alone_and_is_never_shortened() {
    let (waits, now) = (ActiveWaits::default(), Instant::now());
    let second = Duration::from_secs(1);
    let (seven, eight) = ((DestinationId(7), None), (DestinationId(8), None));
    let endpoint_route = (DestinationId(7), Some(EndpointId([0; 6])));
    waits.record(seven, now, 3 * second);
    waits.record(seven, now, second);
    assert!(waits.is_active(seven, now + 3 * second - Duration::from_millis(1)));
    assert!(!waits.is_active(seven, now + 3 * second));
    assert!(!waits.is_active(eight, now) && !waits.is_active(endpoint_route, now));
}

#[test]
fn expired_waits_are_removed_and_active_ones_kept() {
    let (waits, now) = (ActiveWaits::default(), Instant::now());
    let route = |n| (DestinationId(n), None);
    waits.record(route(0), now, Duration::from_secs(9));
    for n in 1..2_000u16 {
        let at = now + Duration::from_millis(n.into());
        waits.record(route(n), at, Duration::from_millis(1));
    }
    assert!(waits.0.borrow().len() <= CLEANUP_THRESHOLD);
    assert!(waits.is_active(route(0), now + Duration::from_secs(8)));
}
