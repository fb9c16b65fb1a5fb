//! Active Retry-After waits, checked right before a call is sent. The decision module learns of a wait in its next iteration
//! and starts no calls from then on; but calls that it started before may not have been sent yet, because their connection
//! took long to open or because the process stalled. Reads no clock: callers pass the time.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use decision::interface::RouteId;
use tokio::time::Instant;

/// Expired waits are removed once this many entries are stored.
const CLEANUP_THRESHOLD: usize = 256;

/// For each route, the time until which nothing may be sent.
#[derive(Debug, Default)]
pub struct ActiveWaits(RefCell<HashMap<RouteId, Instant>>);

impl ActiveWaits {
    /// Records a wait of a route. It never shortens one that was recorded before.
    pub fn record(&self, route: RouteId, now: Instant, wait: Duration) {
        let mut until = self.0.borrow_mut();
        if until.len() >= CLEANUP_THRESHOLD {
            until.retain(|_, until| *until > now);
        }
        let end = now + wait;
        until.entry(route).and_modify(|until| *until = end.max(*until)).or_insert(end);
    }

    /// Whether a wait of the route is active.
    pub fn is_active(&self, route: RouteId, now: Instant) -> bool {
        self.0.borrow().get(&route).is_some_and(|until| now < *until)
    }
}

#[cfg(test)]
mod tests;
