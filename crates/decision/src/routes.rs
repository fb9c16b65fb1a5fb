//! The routes of destinations that are awake, and what is remembered of those that sleep. It keeps and forgets; what a
//! route may do, woken or not, is decided in `policy/route.rs`.

use std::collections::BTreeMap;

use dormant::{Awake, Facts, Memory, Worst};

use serde::{Deserialize, Serialize};

use crate::endpoints::Endpoints;
use crate::interface::{DestinationId, Dormant, EndpointId, Micros, RouteId, Rules, Settings};
use crate::policy::route::Route;

/// So many destinations may fall asleep in a tick.
const SLEEP_AT_ONCE: usize = 64;

/// All routes.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Routes {
    dormant: Option<Dormant>,
    rules: Rules,
    routes: BTreeMap<RouteId, Route>,
    awake: Awake<DestinationId>,
    memory: Memory<RouteId>,
}

impl Routes {
    /// None is known.
    pub fn new(settings: &Settings, now: Micros) -> Self {
        let dormant = settings.dormant;
        let (most, remember) = dormant.map_or((0, 0), |d| (d.most, d.remember));
        Self {
            dormant,
            rules: settings.rules.clone(),
            routes: BTreeMap::new(),
            awake: Awake::new(dormant.map(|d| d.after)),
            memory: Memory::new(most, remember, now),
        }
    }

    /// The rules and the sleep that are so from now on.
    pub fn settle_under(&mut self, settings: &Settings) {
        (self.dormant, self.rules) = (settings.dormant, settings.rules.clone());
    }

    pub fn get(&self, id: &RouteId) -> Option<&Route> {
        self.routes.get(id)
    }

    pub fn get_mut(&mut self, id: &RouteId) -> Option<&mut Route> {
        self.routes.get_mut(id)
    }

    /// Those that are awake, in order.
    pub fn iter(&self) -> impl Iterator<Item = (&RouteId, &Route)> {
        self.routes.iter()
    }

    /// Destinations that are awake, and routes that are remembered asleep.
    pub fn awake_and_asleep(&self) -> (usize, usize) {
        (self.awake.len(), self.memory.len())
    }

    /// In how long there may be room for a destination to wake, if it sleeps and there is none now.
    pub fn no_room(&self, destination: DestinationId, now: Micros) -> Option<Micros> {
        let full = self.dormant.is_some_and(|d| self.awake.len() >= d.awake);
        let next = || self.awake.next_due().map_or(0, |at| at.saturating_sub(now));
        (full && !self.awake.contains(destination)).then(next)
    }

    /// Something comes for a destination: it is awake from now on.
    pub fn wake(&mut self, destination: DestinationId, endpoints: &Endpoints, now: Micros) {
        if !self.awake.contains(destination) {
            self.awake.wake(destination, now);
            for id in endpoints.of(destination).filter_map(|(id, _)| endpoints.route(id)) {
                self.rouse(id, endpoints, now);
            }
        }
    }

    /// The list says that of a route, new or not. What reports told since is finer than a list that says the same as
    /// before.
    pub fn listed(&mut self, id: RouteId, calls: f64, endpoints: &Endpoints, now: Micros) {
        match self.routes.get_mut(&id) {
            Some(route) if calls != route.listed => (route.listed, route.told) = (calls, calls),
            None if self.awake.contains(id.0) => self.rouse(id, endpoints, now),
            _ => {}
        }
    }

    /// An endpoint is gone, and with it the route that it may have had of its own. Guards that route's wait against a
    /// destination that is back under other endpoints.
    pub fn left(&mut self, destination: DestinationId, endpoint: EndpointId, now: Micros) {
        let id = (destination, Some(endpoint));
        let asleep = self.memory.wait(id, now);
        let wait = self.routes.remove(&id).map_or(asleep, |route| route.wait_until);
        self.memory.forget(id);
        let facts = Facts { wait_until: wait, ..Facts::default() };
        if self.dormant.is_none() || wait <= now || self.memory.keep((destination, None), facts, now).is_ok()
        {
            return;
        }
        let route = self.routes.entry((destination, None)).or_insert_with(|| Route::new(now));
        route.wait_until = route.wait_until.max(wait);
    }

    /// Gives a route back what is remembered of it, and the wait of its destination.
    fn rouse(&mut self, id: RouteId, endpoints: &Endpoints, now: Micros) {
        if self.routes.contains_key(&id) {
            return;
        }
        let common = (id.0, None);
        let wait = self.memory.wait(common, now).max(self.routes.get(&common).map_or(0, |r| r.wait_until));
        let remembered = self.memory.take(id, now);
        let mut route = Route::woken(remembered, endpoints.listing(id), &self.rules, now);
        (route.wait_until, route.waking) = (route.wait_until.max(wait), self.dormant.is_some());
        self.routes.insert(id, route);
    }

    /// Lets destinations sleep at which nothing was tried for long and for which nothing waits; what can't be remembered
    /// stays awake.
    pub fn doze(&mut self, now: Micros, waits: impl Fn(DestinationId) -> bool) {
        let Some(dormant) = self.dormant else { return };
        for _ in 0..SLEEP_AT_ONCE {
            let Some(destination) = self.awake.take_due(now) else { return };
            let all = (destination, None)..=(destination, Some(EndpointId([u8::MAX; 6])));
            let facts = self.routes.range(all).map(|(id, route)| {
                let idle = route.out == 0 && route.turn_at + dormant.after <= now;
                idle.then(|| (*id, facts(route, &self.rules, now)))
            });
            let facts = facts.collect::<Option<Vec<_>>>().filter(|_| !waits(destination));
            let memory = &mut self.memory;
            match facts {
                Some(facts) if facts.iter().all(|f| memory.keep(f.0, f.1, now).is_ok()) => {
                    facts.iter().for_each(|f| drop(self.routes.remove(&f.0)));
                }
                _ => self.awake.wake(destination, now),
            }
        }
    }

    /// When a destination may be idle; what more is due than may fall asleep at once, has to wait for the next tick.
    pub fn next_due(&self, next_tick: Micros) -> Option<Micros> {
        Some(self.awake.next_due()?.max(next_tick))
    }
}

/// What is to be remembered of a route.
fn facts(route: &Route, rules: &Rules, now: Micros) -> Facts {
    let ill = route.ill(rules, now);
    let refused = if route.fulls > 0 { Worst::Full } else { Worst::Well };
    Facts {
        wait_until: route.wait_until,
        ill_since: ill.then_some(route.bad_since),
        cold_since: route.cold_since,
        well_at: route.delivered_at,
        limit: route.told,
        rate: route.usual_rate(rules),
        pace: if route.pace.rate.is_finite() { route.pace.rate } else { 0.0 },
        worst: if ill { Worst::Failed } else { refused },
    }
}

#[cfg(test)]
use crate::interface::*;
#[cfg(test)]
#[path = "../tests/common/settings.rs"]
pub(crate) mod settings;

#[cfg(test)]
mod tests {
    use super::*;
    use crate::policy::route::{MAX_FAILURES, State};

    /// A route that was refused so often, half a second apart, before a refusal at the limit that is told, and then served.
    fn served_after(refusals: u32, told: bool) -> Route {
        let settings = settings::settings();
        let mut now = settings::SECOND;
        let mut route = Route::new(now);
        for call in 0..u64::from(refusals) + 1 {
            now += settings::SECOND / 2;
            if told || call == u64::from(refusals) {
                route.used_up_at = now;
            }
            route.record(&settings, call, now - 1_000, Outcome::Full(None), now, 0.5);
        }
        now += settings::SECOND;
        route.record(&settings, u64::MAX, now - 1_000, Outcome::Delivered, now, 0.5);
        assert_eq!(route.breaker.state, State::Closed);
        route
    }

    /// Guards a destination that was shut: that it refuses at its usual limit again does not make it warm.
    #[test]
    fn a_refusal_at_the_limit_does_not_undo_an_outage() {
        assert!(served_after(MAX_FAILURES + 3, false).cold_since.is_some());
        assert!(served_after(MAX_FAILURES + 3, true).cold_since.is_none(), "its limit alone is no outage");
        assert!(served_after(1, false).cold_since.is_none());
    }
}
