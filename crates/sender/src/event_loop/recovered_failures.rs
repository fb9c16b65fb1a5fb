//! What the journal of an earlier process shows of the health of routes. No I/O and no clock.

use std::collections::BTreeMap;

use decision::interface::{Micros, RecoveredFailures, RouteId};
use journal::{LastDeliveries, PendingMessage};

/// Returns the failed calls of each route since its last delivery. The last attempt of a message may still have been in flight
/// when the process ended, unless it is known not to have run.
pub(super) fn failures_by_route<'a>(
    pending: impl Iterator<Item = &'a PendingMessage>,
    last_deliveries: &LastDeliveries,
    route_of: impl Fn(&str) -> Option<RouteId>,
) -> BTreeMap<RouteId, RecoveredFailures> {
    let mut delivered_at: BTreeMap<RouteId, Micros> = BTreeMap::new();
    for (endpoint, started_at) in last_deliveries {
        if let Some(route) = route_of(endpoint) {
            let latest = delivered_at.entry(route).or_default();
            *latest = started_at.max(latest).to_owned();
        }
    }
    let mut failures: BTreeMap<RouteId, RecoveredFailures> = BTreeMap::new();
    for message in pending {
        let last = message.attempts.len().saturating_sub(1);
        for (index, attempt) in message.attempts.iter().enumerate() {
            let failed = attempt.never_ran || index < last;
            // The time is 0 for an attempt that was added because damage may hide one.
            let Some(route) = route_of(&attempt.endpoint).filter(|_| failed && attempt.at > 0) else {
                continue;
            };
            if delivered_at.get(&route).is_some_and(|delivered_at| attempt.at <= *delivered_at) {
                continue;
            }
            let first = RecoveredFailures { count: 0, first_at: attempt.at, last_at: attempt.at };
            let route_failures = failures.entry(route).or_insert(first);
            route_failures.count += 1;
            route_failures.first_at = route_failures.first_at.min(attempt.at);
            route_failures.last_at = route_failures.last_at.max(attempt.at);
        }
    }
    failures
}

#[cfg(test)]
mod tests;
