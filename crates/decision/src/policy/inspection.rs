//! What the module shows of itself to operators. Nothing is decided here and nothing is changed.

use super::Policy;
use crate::interface::DestinationId;

impl Policy {
    /// Destinations with a breaker that is open, or half-open until its trial has come back; each once, in order.
    pub fn open_breakers(&self) -> Vec<DestinationId> {
        let open = self.routes.iter().filter(|(_, route)| !route.is_breaker_closed());
        let mut open: Vec<_> = open.map(|((destination, _), _)| *destination).collect();
        open.dedup();
        open
    }

    /// Endpoints in the list that nothing new goes to now, or no more than a trial.
    pub fn unavailable_endpoints(&self) -> usize {
        let shut = |id| self.endpoints.route(id).and_then(|route| self.routes.get(&route));
        let avoided = |id, ready: bool| !ready || shut(id).is_some_and(|r| !r.is_breaker_closed());
        self.endpoints.in_list().filter(|(id, ready)| avoided(*id, *ready)).count()
    }

    /// Endpoints in the list that may take something new, and get no more than a trial.
    pub fn open_breaker_endpoints(&self) -> usize {
        let of = |id| self.endpoints.route(id).and_then(|route| self.routes.get(&route));
        let shut = |id| of(id).is_some_and(|route| !route.is_breaker_closed());
        self.endpoints.in_list().filter(|(id, ready)| *ready && shut(*id)).count()
    }

    /// Destinations that are awake, and routes that are remembered asleep.
    pub fn active_and_idle(&self) -> (usize, usize) {
        self.routes.active_and_idle()
    }

    /// Messages that are held.
    pub fn pending_messages(&self) -> usize {
        self.messages.len()
    }
}
