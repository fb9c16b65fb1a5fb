//! Transferred units are used by one side at a time, even where messages are duplicated or delayed.

use super::*;

/// Returns the units that two senders together may use.
fn usable_by_both(a: &QuotaEscrow, b: &QuotaEscrow, now: Micros) -> u32 {
    a.usable_units(7, now) + b.usable_units(7, now)
}

#[test]
fn transferred_units_are_used_by_one_side_at_most() {
    let (mut a, mut b) = (QuotaEscrow::new(0, 0), QuotaEscrow::new(0, 0));
    let now = SPAN;
    let request = a.request(7, 300, now).unwrap();
    let units =
        b.grant(QuotaRequest { from: 0, request, destination: 7, units: 300 }, EVEN_SHARE, now + 10).unwrap();
    assert_eq!((units, b.usable_units(7, now + 10)), (300, EVEN_SHARE - 300));
    assert!(a.grant_received(1, request, units, now + 20));
    assert_eq!(a.usable_units(7, now + 20), EVEN_SHARE + 300);
    for at in (0..3 * SPAN).step_by(10_000) {
        assert!(usable_by_both(&a, &b, now + at) <= 2 * EVEN_SHARE, "{at}");
    }
    assert_eq!(usable_by_both(&a, &b, now + SPAN + 10), 2 * EVEN_SHARE);
}

/// The grant arrives after its span has ended, when the granting sender uses its units itself again.
#[test]
fn a_delayed_grant_has_no_effect() {
    let (mut a, mut b) = (QuotaEscrow::new(0, 0), QuotaEscrow::new(0, 0));
    let request = a.request(7, 300, SPAN).unwrap();
    let units =
        b.grant(QuotaRequest { from: 0, request, destination: 7, units: 300 }, EVEN_SHARE, SPAN).unwrap();
    let late = 2 * SPAN;
    assert_eq!(b.usable_units(7, late), EVEN_SHARE);
    assert!(!a.grant_received(1, request, units, late));
    assert_eq!(a.usable_units(7, late), EVEN_SHARE);
}

#[test]
fn duplicate_requests_and_grants_count_once() {
    let (mut a, mut b) = (QuotaEscrow::new(0, 0), QuotaEscrow::new(0, 0));
    let request = a.request(7, 300, SPAN).unwrap();
    assert_eq!(
        b.grant(QuotaRequest { from: 0, request, destination: 7, units: 300 }, EVEN_SHARE, SPAN),
        Some(300)
    );
    assert_eq!(
        b.grant(QuotaRequest { from: 0, request, destination: 7, units: 300 }, EVEN_SHARE, SPAN + 5),
        Some(300)
    );
    assert_eq!(b.usable_units(7, SPAN + 5), EVEN_SHARE - 300);
    assert!(a.grant_received(1, request, 300, SPAN + 9) && !a.grant_received(1, request, 300, SPAN + 9));
    assert_eq!(a.usable_units(7, SPAN + 9), EVEN_SHARE + 300);
    assert!(!a.grant_received(1, request + 1, 300, SPAN + 9), "never requested");
}

#[test]
fn a_new_process_accounts_for_grants_of_its_predecessor() {
    let new = QuotaEscrow::new(9 * SPAN, 0);
    assert_eq!(new.usable_units(7, 9 * SPAN), RETAINED_UNITS);
    assert_eq!(new.usable_units(7, 10 * SPAN), EVEN_SHARE);
    assert_eq!(
        QuotaEscrow::new(9 * SPAN, 0).grant(
            QuotaRequest { from: 1, request: 1, destination: 7, units: 5 },
            EVEN_SHARE,
            9 * SPAN
        ),
        None
    );
}

#[test]
fn transfers_are_bounded() {
    let mut a = QuotaEscrow::new(0, 0);
    for to in 0..20 {
        a.grant(QuotaRequest { from: to, request: 1, destination: 7, units: 100 }, EVEN_SHARE, SPAN);
    }
    assert_eq!(a.usable_units(7, SPAN), RETAINED_UNITS);
    let requests: Vec<_> = (0..100).filter_map(|_| a.request(7, EVEN_SHARE, SPAN)).collect();
    assert_eq!(requests.len() as u32, MAX_RECEIVED / EVEN_SHARE);
    for request in requests {
        a.grant_received(30, request, EVEN_SHARE, SPAN);
        assert!(!a.grant_received(31, request, EVEN_SHARE + 1, SPAN), "more than was requested");
    }
    assert!(a.transferred(7, SPAN).received <= MAX_RECEIVED);
}
