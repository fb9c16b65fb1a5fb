//! Read-only views of the state for operators.

use super::Policy;
use crate::interface::DestinationId;

impl Policy {
    /// Returns the destinations with an open breaker, or a half-open one whose trial call has not completed;
    /// each once, in ascending order.
    pub fn open_breakers(&self) -> Vec<DestinationId> {
        let open = self.routes.iter().filter(|(_, route)| !route.is_breaker_closed());
        let mut open: Vec<_> = open.map(|((destination, _), _)| *destination).collect();
        open.dedup();
        open
    }

    /// Counts the listed endpoints that receive no new calls, or at most a trial call: draining, or with a
    /// breaker that is not closed.
    pub fn unavailable_endpoints(&self) -> usize {
        let route_of = |id| self.endpoints.route(id).and_then(|route| self.routes.get(&route));
        let avoided = |id, ready: bool| !ready || route_of(id).is_some_and(|r| !r.is_breaker_closed());
        self.endpoints.in_list().filter(|(id, ready)| avoided(*id, *ready)).count()
    }

    /// Counts the listed endpoints that are ready but whose breaker is not closed, so that they receive at
    /// most a trial call.
    pub fn open_breaker_endpoints(&self) -> usize {
        let route_of = |id| self.endpoints.route(id).and_then(|route| self.routes.get(&route));
        let has_open_breaker = |id| route_of(id).is_some_and(|route| !route.is_breaker_closed());
        self.endpoints.in_list().filter(|(id, ready)| *ready && has_open_breaker(*id)).count()
    }

    /// Returns the number of active destinations and the number of idle routes that are remembered.
    pub fn active_and_idle(&self) -> (usize, usize) {
        self.routes.active_and_idle()
    }

    /// Returns the number of pending messages.
    pub fn pending_messages(&self) -> usize {
        self.messages.len()
    }
}
