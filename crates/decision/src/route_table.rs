//! The routes of destinations that are awake, and what is remembered of those that sleep. It keeps and forgets; what a
//! route may do, woken or not, is decided in `health`.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use idle_destinations::{ActiveSet, IdleTable, RetainedHealth};

use serde::{Deserialize, Serialize};

use crate::endpoints::Endpoints;
use crate::health::{RouteHealth, from_retained, to_retained};
use crate::interface::{
    DestinationId, EndpointId, IdlePolicy, Micros, RouteId, RouteSnapshot, Rules, Settings,
};

/// So many destinations may fall asleep in a tick.
const SLEEP_AT_ONCE: usize = 64;

/// What is remembered of a route that sleeps.
pub(crate) type IdleRoute = (RouteId, RouteSnapshot);

/// All routes.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct RouteTable {
    #[serde(rename = "dormant")]
    idle_policy: Option<IdlePolicy>,
    rules: Rules,
    routes: BTreeMap<RouteId, RouteHealth>,
    #[serde(rename = "awake")]
    active: ActiveSet<DestinationId>,
    #[serde(rename = "memory")]
    idle: IdleTable<RouteId>,
    /// What an earlier process learnt of routes that nothing has come for since; bounded by what it had.
    #[serde(default)]
    #[serde(rename = "learnt")]
    restore: HashMap<RouteId, RouteSnapshot>,
    /// Something that it learnt is lost: who is not known may be ill.
    #[serde(default)]
    #[serde(rename = "learnt_lost")]
    mark_snapshot_lost: bool,
}

impl RouteTable {
    /// None is known.
    pub fn new(settings: &Settings, now: Micros) -> Self {
        let dormant = settings.idle;
        let (most, remember) = dormant.map_or((0, 0), |d| (d.max_retained, d.retain_for));
        Self {
            idle_policy: dormant,
            rules: settings.rules.clone(),
            routes: BTreeMap::new(),
            active: ActiveSet::new(dormant.map(|d| d.idle_after)),
            idle: IdleTable::new(most, remember, now),
            restore: HashMap::new(),
            mark_snapshot_lost: false,
        }
    }

    /// An earlier process learnt that of a route. Where destinations sleep it is remembered as of one that does, so that
    /// the bound on what sleeps counts for it too.
    pub fn restored(&mut self, id: RouteId, learnt: RouteSnapshot, endpoints: &Endpoints, now: Micros) {
        if let Some(route) = self.routes.get_mut(&id) {
            route.wait_until_at_least(learnt.wait_until);
            return;
        }
        // Guards a wait against a destination that is back under other endpoints.
        let listed = id.1.is_none_or(|endpoint| endpoints.route(endpoint) == Some(id));
        let (id, learnt) = if listed {
            (id, learnt)
        } else {
            ((id.0, None), RouteSnapshot { wait_until: learnt.wait_until, ..RouteSnapshot::default() })
        };
        if !listed && learnt.wait_until <= now {
            return;
        }
        if let Some(route) = self.routes.get_mut(&id).filter(|_| !listed) {
            route.wait_until_at_least(learnt.wait_until);
            return;
        }
        let before = self.restore.get(&id).map_or(0, |before| before.wait_until);
        let wait_until = learnt.wait_until.max(before);
        let learnt = match self.restore.get(&id).filter(|_| !listed) {
            Some(before) => RouteSnapshot { wait_until, ..*before },
            None => RouteSnapshot { wait_until, ..learnt },
        };
        if self.idle_policy.is_none() || self.idle.insert(id, to_retained(&learnt), now).is_err() {
            self.restore.insert(id, learnt);
        }
    }

    /// What an earlier process learnt is lost.
    pub fn snapshot_lost(&mut self) {
        self.mark_snapshot_lost = true;
        self.idle.mark_incomplete();
    }

    /// What is known of a destination's routes, awake or not, for another process.
    pub fn snapshots(
        &self,
        destination: DestinationId,
        endpoints: &Endpoints,
        now: Micros,
    ) -> Vec<(RouteId, RouteSnapshot)> {
        let all = (destination, None)..=(destination, Some(EndpointId([u8::MAX; 6])));
        let mut known: BTreeMap<RouteId, RouteSnapshot> =
            self.routes.range(all).map(|(id, route)| (*id, route.snapshot(&self.rules, now))).collect();
        let mut asleep: BTreeSet<RouteId> =
            endpoints.of(destination).filter_map(|(id, _)| endpoints.route(id)).collect();
        asleep.insert((destination, None));
        for id in asleep {
            let remembered =
                || self.restore.get(&id).copied().or_else(|| self.idle.peek(id).map(from_retained));
            if let (false, Some(learnt)) = (known.contains_key(&id), remembered()) {
                known.insert(id, learnt);
            }
        }
        known.into_iter().collect()
    }

    /// Takes a destination's routes out: those that are awake, and what is remembered of others.
    pub fn detach(
        &mut self,
        destination: DestinationId,
        endpoints: &Endpoints,
        now: Micros,
    ) -> (Vec<(RouteId, RouteHealth)>, Vec<IdleRoute>) {
        let known = self.snapshots(destination, endpoints, now);
        let (mut awake, mut asleep) = (Vec::new(), Vec::new());
        for (id, learnt) in known {
            match self.routes.remove(&id) {
                Some(route) => awake.push((id, route)),
                None => asleep.push((id, learnt)),
            }
            self.restore.remove(&id);
            self.idle.remove(id);
        }
        self.active.forget(destination);
        (awake, asleep)
    }

    /// Goes on with a destination's routes as another module knew them.
    pub fn attach(
        &mut self,
        destination: DestinationId,
        awake: Vec<(RouteId, RouteHealth)>,
        asleep: Vec<IdleRoute>,
        endpoints: &Endpoints,
        now: Micros,
    ) {
        for (id, learnt) in asleep {
            self.restored(id, learnt, endpoints, now);
        }
        if awake.is_empty() {
            return;
        }
        for (id, mut route) in awake {
            let ours = self.routes.get(&id).map_or(0, |ours| ours.wait_until());
            route.wait_until_at_least(ours);
            let listed = endpoints.listing(id).calls_per_second;
            // A list that this module heard alone.
            if listed > 0.0 {
                route.list_limit(listed);
            }
            self.routes.insert(id, route);
        }
        self.activate(destination, endpoints, now);
    }

    /// Destinations of which anything is known.
    pub fn observed_destinations(&self) -> BTreeSet<DestinationId> {
        let awake = self.routes.keys().map(|id| id.0);
        awake.chain(self.restore.keys().map(|id| id.0)).chain(self.idle.keys().map(|id| id.0)).collect()
    }

    /// The rules and the sleep that are so from now on.
    pub fn reconfigure(&mut self, settings: &Settings) {
        (self.idle_policy, self.rules) = (settings.idle, settings.rules.clone());
    }

    pub fn get(&self, id: &RouteId) -> Option<&RouteHealth> {
        self.routes.get(id)
    }

    pub fn get_mut(&mut self, id: &RouteId) -> Option<&mut RouteHealth> {
        self.routes.get_mut(id)
    }

    /// Those that are awake, in order.
    pub fn iter(&self) -> impl Iterator<Item = (&RouteId, &RouteHealth)> {
        self.routes.iter()
    }

    /// Destinations that are awake, and routes that are remembered asleep.
    pub fn active_and_idle(&self) -> (usize, usize) {
        (self.active.len(), self.idle.len())
    }

    /// In how long there may be room for a destination to wake, if it sleeps and there is none now.
    pub fn capacity_wait(&self, destination: DestinationId, now: Micros) -> Option<Micros> {
        let full = self.idle_policy.is_some_and(|d| self.active.len() >= d.max_active);
        let next = || self.active.next_due().map_or(0, |at| at.saturating_sub(now));
        (full && !self.active.contains(destination)).then(next)
    }

    /// Something comes for a destination: it is awake from now on.
    pub fn activate(&mut self, destination: DestinationId, endpoints: &Endpoints, now: Micros) {
        if !self.active.contains(destination) {
            self.active.activate(destination, now);
            for id in endpoints.of(destination).filter_map(|(id, _)| endpoints.route(id)) {
                self.activate_route(id, endpoints, now);
            }
        }
    }

    /// The list says that of a route, new or not. What reports told since is finer than a list that says the same as
    /// before.
    pub fn limit_listed(&mut self, id: RouteId, calls: f64, endpoints: &Endpoints, now: Micros) {
        match self.routes.get_mut(&id) {
            Some(route) => route.list_limit(calls),
            None if self.active.contains(id.0) => self.activate_route(id, endpoints, now),
            _ => {}
        }
    }

    /// An endpoint is gone, and with it the route that it may have had of its own. Guards that route's wait against a
    /// destination that is back under other endpoints.
    pub fn endpoint_removed(&mut self, destination: DestinationId, endpoint: EndpointId, now: Micros) {
        let id = (destination, Some(endpoint));
        let asleep = self.idle.wait_until(id, now);
        let wait = self.routes.remove(&id).map_or(asleep, |route| route.wait_until());
        self.idle.remove(id);
        let facts = RetainedHealth { wait_until: wait, ..RetainedHealth::default() };
        if self.idle_policy.is_none()
            || wait <= now
            || self.idle.insert((destination, None), facts, now).is_ok()
        {
            return;
        }
        let route = self.routes.entry((destination, None)).or_insert_with(|| RouteHealth::new(now));
        route.wait_until_at_least(wait);
    }

    /// Gives a route back what is remembered of it, and the wait of its destination.
    fn activate_route(&mut self, id: RouteId, endpoints: &Endpoints, now: Micros) {
        if self.routes.contains_key(&id) {
            return;
        }
        let common = (id.0, None);
        let wait =
            self.idle.wait_until(common, now).max(self.routes.get(&common).map_or(0, |r| r.wait_until()));
        let wait = wait.max(self.restore.get(&common).map_or(0, |learnt| learnt.wait_until));
        let listing = endpoints.listing(id);
        let lost = self.mark_snapshot_lost.then(RouteSnapshot::unknown);
        let mut route = match self.restore.remove(&id).or(lost.filter(|_| self.idle_policy.is_none())) {
            Some(learnt) => RouteHealth::restored(&learnt, listing, &self.rules, now),
            None => RouteHealth::activated(self.idle.take(id, now), listing, &self.rules, now),
        };
        route.wait_until_at_least(wait);
        route.begin_activation(self.idle_policy.is_some());
        self.routes.insert(id, route);
    }

    /// Lets destinations sleep at which nothing was tried for long and for which nothing waits; what can't be remembered
    /// stays awake.
    pub fn retire_idle(&mut self, now: Micros, waits: impl Fn(DestinationId) -> bool) {
        let Some(dormant) = self.idle_policy else { return };
        for _ in 0..SLEEP_AT_ONCE {
            let Some(destination) = self.active.take_due(now) else { return };
            let all = (destination, None)..=(destination, Some(EndpointId([u8::MAX; 6])));
            let facts = self.routes.range(all).map(|(id, route)| {
                let idle = route.in_flight() == 0 && route.checked_at() + dormant.idle_after <= now;
                idle.then(|| (*id, route.retained(&self.rules, now)))
            });
            let facts = facts.collect::<Option<Vec<_>>>().filter(|_| !waits(destination));
            let memory = &mut self.idle;
            match facts {
                Some(facts) if facts.iter().all(|f| memory.insert(f.0, f.1, now).is_ok()) => {
                    facts.iter().for_each(|f| drop(self.routes.remove(&f.0)));
                }
                _ => self.active.activate(destination, now),
            }
        }
    }

    /// When a destination may be idle; what more is due than may fall asleep at once, has to wait for the next tick.
    pub fn next_due(&self, next_tick: Micros) -> Option<Micros> {
        Some(self.active.next_due()?.max(next_tick))
    }
}
