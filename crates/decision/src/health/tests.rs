//! Tests of a route's health that need no policy round it.

use super::*;
use crate::test_support::settings;

/// A route that rejected so often, half a second apart, before a rejection at the limit that is reported, and then served.
fn served_after(rejections: u32, reported: bool) -> RouteHealth {
    let settings = settings::settings();
    let latency_objective = settings.shortest_latency_objective();
    let tick = |now| Tick { settings: &settings, now, latency_objective, jitter: 0.5 };
    let mut now = settings::SECOND;
    let mut route = RouteHealth::new(now);
    for call in 0..u64::from(rejections) + 1 {
        now += settings::SECOND / 2;
        if reported || call == u64::from(rejections) {
            assert!(route.record_report(10.0, 0.0, latency_objective, now), "the report counts");
        }
        route.record(&tick(now), call, now - 1_000, Outcome::Rejected(None));
    }
    now += settings::SECOND;
    route.record(&tick(now), u64::MAX, now - 1_000, Outcome::Delivered);
    assert!(route.is_breaker_closed());
    route
}

/// Guards a destination that was shut: that it rejects at its usual limit again does not make it warm.
#[test]
fn a_rejection_at_the_limit_does_not_undo_an_outage() {
    let cold_since = |route: RouteHealth| route.slow_start.cold_since();
    assert!(cold_since(served_after(MAX_FAILURES + 3, false)).is_some());
    assert!(cold_since(served_after(MAX_FAILURES + 3, true)).is_none(), "its limit alone is no outage");
    assert!(cold_since(served_after(1, false)).is_none());
}
