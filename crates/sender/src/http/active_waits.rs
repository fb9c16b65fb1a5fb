//! Waits that destinations told, as far as calls that are about to leave are concerned. The module knows of a wait from
//! its next turn on and sends nothing then; what it sent before may still stand here, because its connection took long to
//! come up or because the process stood still. No clock is asked: the time is handed in.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use decision::interface::RouteId;
use tokio::time::Instant;

/// Waits that are over are dropped once so many stand here.
const TIDY_AT: usize = 256;

/// Until when nothing may leave for each route.
#[derive(Debug, Default)]
pub struct ActiveWaits(RefCell<HashMap<RouteId, Instant>>);

impl ActiveWaits {
    /// A route told a wait. It never shortens one that was told before.
    pub fn record(&self, route: RouteId, now: Instant, wait: Duration) {
        let mut until = self.0.borrow_mut();
        if until.len() >= TIDY_AT {
            until.retain(|_, until| *until > now);
        }
        let end = now + wait;
        until.entry(route).and_modify(|until| *until = end.max(*until)).or_insert(end);
    }

    /// Whether a wait runs that the route told.
    pub fn is_active(&self, route: RouteId, now: Instant) -> bool {
        self.0.borrow().get(&route).is_some_and(|until| now < *until)
    }
}

#[cfg(test)]
mod tests;
