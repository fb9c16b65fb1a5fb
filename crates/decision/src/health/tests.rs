//! Unit tests of a route's health, without a policy around it.

use super::*;
use crate::test_support::settings;

/// Returns a route whose calls were rejected `rejections` times, half a second apart, then once with a report
/// of a used-up limit, and then succeeded. With `reported`, every rejection comes with such a report.
fn route_after_rejections(rejections: u32, reported: bool) -> RouteHealth {
    let settings = settings::settings();
    let latency_objective = settings.shortest_latency_objective();
    let tick = |now| Tick { settings: &settings, now, latency_objective, jitter: 0.5 };
    let mut now = settings::SECOND;
    let mut route = RouteHealth::new(now);
    for call in 0..u64::from(rejections) + 1 {
        now += settings::SECOND / 2;
        if reported || call == u64::from(rejections) {
            assert!(
                route.record_report(10.0, 0.0, latency_objective, now),
                "the reported limit is plausible"
            );
        }
        route.record(&tick(now), call, now - 1_000, Outcome::Rejected(None));
    }
    now += settings::SECOND;
    route.record(&tick(now), u64::MAX, now - 1_000, Outcome::Delivered);
    assert!(route.is_breaker_closed());
    route
}

/// A destination that was shut counts as cold when it returns. A further rejection at its usual limit, after
/// the outage, does not make it warm.
#[test]
fn rejection_at_limit_does_not_clear_outage() {
    let cold_since = |route: RouteHealth| route.slow_start.cold_since();
    assert!(cold_since(route_after_rejections(MAX_FAILURES + 3, false)).is_some());
    assert!(
        cold_since(route_after_rejections(MAX_FAILURES + 3, true)).is_none(),
        "its limit alone is no outage"
    );
    assert!(cold_since(route_after_rejections(1, false)).is_none());
}
