//! The routes of active destinations, and the health retained for idle ones. This file stores and removes
//! routes; what a route may do, also after its activation, is decided in `health`.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use idle_destinations::{ActiveSet, IdleTable, RetainedHealth};

use serde::{Deserialize, Serialize};

use crate::endpoints::Endpoints;
use crate::health::{RouteHealth, from_retained, to_retained};
use crate::interface::{
    DestinationId, EndpointId, IdlePolicy, Micros, RouteId, RouteSnapshot, Rules, Settings,
};

/// Largest number of destinations that become idle in one tick.
const MAX_RETIRED_PER_TICK: usize = 64;

/// The retained health of an idle route.
pub(crate) type IdleRoute = (RouteId, RouteSnapshot);

/// All routes, active and idle.
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
    /// Health snapshots of an earlier process, for routes that have had no message since; bounded by the
    /// number of routes it had.
    #[serde(default)]
    #[serde(rename = "learnt")]
    pending_snapshots: HashMap<RouteId, RouteSnapshot>,
    /// Part of those snapshots is lost: a route without one may be unhealthy.
    #[serde(default)]
    #[serde(rename = "learnt_lost")]
    snapshots_lost: bool,
}

impl RouteTable {
    /// Creates a table without routes.
    pub fn new(settings: &Settings, now: Micros) -> Self {
        let idle_policy = settings.idle;
        let (max_retained, retain_for) = idle_policy.map_or((0, 0), |d| (d.max_retained, d.retain_for));
        Self {
            idle_policy,
            rules: settings.rules.clone(),
            routes: BTreeMap::new(),
            active: ActiveSet::new(idle_policy.map(|d| d.idle_after)),
            idle: IdleTable::new(max_retained, retain_for, now),
            pending_snapshots: HashMap::new(),
            snapshots_lost: false,
        }
    }

    /// Restores the health snapshot of a route from an earlier process. Where destinations become idle, it is
    /// retained like that of an idle destination, so that the same bound on their number applies.
    pub fn restored(&mut self, id: RouteId, snapshot: RouteSnapshot, endpoints: &Endpoints, now: Micros) {
        if let Some(route) = self.routes.get_mut(&id) {
            route.wait_until_at_least(snapshot.wait_until);
            return;
        }
        // The wait of an endpoint that is no longer listed applies to its destination, which may be back
        // under other endpoints.
        let listed = id.1.is_none_or(|endpoint| endpoints.route(endpoint) == Some(id));
        let (id, snapshot) = if listed {
            (id, snapshot)
        } else {
            ((id.0, None), RouteSnapshot { wait_until: snapshot.wait_until, ..RouteSnapshot::default() })
        };
        if !listed && snapshot.wait_until <= now {
            return;
        }
        if let Some(route) = self.routes.get_mut(&id).filter(|_| !listed) {
            route.wait_until_at_least(snapshot.wait_until);
            return;
        }
        let before = self.pending_snapshots.get(&id).map_or(0, |before| before.wait_until);
        let wait_until = snapshot.wait_until.max(before);
        let snapshot = match self.pending_snapshots.get(&id).filter(|_| !listed) {
            Some(before) => RouteSnapshot { wait_until, ..*before },
            None => RouteSnapshot { wait_until, ..snapshot },
        };
        if self.idle_policy.is_none() || self.idle.insert(id, to_retained(&snapshot), now).is_err() {
            self.pending_snapshots.insert(id, snapshot);
        }
    }

    /// Records that health snapshots of an earlier process are lost.
    pub fn snapshot_lost(&mut self) {
        self.snapshots_lost = true;
        self.idle.mark_incomplete();
    }

    /// Returns the health snapshots of a destination's routes, active or idle, for another process.
    pub fn snapshots(
        &self,
        destination: DestinationId,
        endpoints: &Endpoints,
        now: Micros,
    ) -> Vec<(RouteId, RouteSnapshot)> {
        let all = (destination, None)..=(destination, Some(EndpointId([u8::MAX; 6])));
        let mut known: BTreeMap<RouteId, RouteSnapshot> =
            self.routes.range(all).map(|(id, route)| (*id, route.snapshot(&self.rules, now))).collect();
        let mut idle: BTreeSet<RouteId> =
            endpoints.of(destination).filter_map(|(id, _)| endpoints.route(id)).collect();
        idle.insert((destination, None));
        for id in idle {
            let retained =
                || self.pending_snapshots.get(&id).copied().or_else(|| self.idle.peek(id).map(from_retained));
            if let (false, Some(snapshot)) = (known.contains_key(&id), retained()) {
                known.insert(id, snapshot);
            }
        }
        known.into_iter().collect()
    }

    /// Removes a destination's routes for a migration and returns the active ones and the health retained for
    /// the others.
    pub fn detach(
        &mut self,
        destination: DestinationId,
        endpoints: &Endpoints,
        now: Micros,
    ) -> (Vec<(RouteId, RouteHealth)>, Vec<IdleRoute>) {
        let known = self.snapshots(destination, endpoints, now);
        let (mut active, mut idle) = (Vec::new(), Vec::new());
        for (id, snapshot) in known {
            match self.routes.remove(&id) {
                Some(route) => active.push((id, route)),
                None => idle.push((id, snapshot)),
            }
            self.pending_snapshots.remove(&id);
            self.idle.remove(id);
        }
        self.active.forget(destination);
        (active, idle)
    }

    /// Adds a destination's routes as another instance detached them.
    pub fn attach(
        &mut self,
        destination: DestinationId,
        active: Vec<(RouteId, RouteHealth)>,
        idle: Vec<IdleRoute>,
        endpoints: &Endpoints,
        now: Micros,
    ) {
        for (id, snapshot) in idle {
            self.restored(id, snapshot, endpoints, now);
        }
        if active.is_empty() {
            return;
        }
        for (id, mut route) in active {
            let own = self.routes.get(&id).map_or(0, |own| own.wait_until());
            route.wait_until_at_least(own);
            let listed = endpoints.listing(id).calls_per_second;
            // This instance may have received a list that the other one did not.
            if listed > 0.0 {
                route.list_limit(listed);
            }
            self.routes.insert(id, route);
        }
        self.activate(destination, endpoints, now);
    }

    /// Returns the destinations for which any health is known.
    pub fn observed_destinations(&self) -> BTreeSet<DestinationId> {
        let active = self.routes.keys().map(|id| id.0);
        active
            .chain(self.pending_snapshots.keys().map(|id| id.0))
            .chain(self.idle.keys().map(|id| id.0))
            .collect()
    }

    /// Applies the rules and the idle policy of new settings.
    pub fn reconfigure(&mut self, settings: &Settings) {
        (self.idle_policy, self.rules) = (settings.idle, settings.rules.clone());
    }

    /// Returns an active route.
    pub fn get(&self, id: &RouteId) -> Option<&RouteHealth> {
        self.routes.get(id)
    }

    /// Returns an active route for changes.
    pub fn get_mut(&mut self, id: &RouteId) -> Option<&mut RouteHealth> {
        self.routes.get_mut(id)
    }

    /// Returns the active routes, in order.
    pub fn iter(&self) -> impl Iterator<Item = (&RouteId, &RouteHealth)> {
        self.routes.iter()
    }

    /// Returns the number of active destinations and the number of idle routes whose health is retained.
    pub fn active_and_idle(&self) -> (usize, usize) {
        (self.active.len(), self.idle.len())
    }

    /// Returns how long to wait until there may be capacity to activate a destination; `None` if it is active
    /// or there is capacity now.
    pub fn capacity_wait(&self, destination: DestinationId, now: Micros) -> Option<Micros> {
        let full = self.idle_policy.is_some_and(|d| self.active.len() >= d.max_active);
        let next = || self.active.next_due().map_or(0, |at| at.saturating_sub(now));
        (full && !self.active.contains(destination)).then(next)
    }

    /// Activates a destination, if it is idle, because a message arrived for it.
    pub fn activate(&mut self, destination: DestinationId, endpoints: &Endpoints, now: Micros) {
        if !self.active.contains(destination) {
            self.active.activate(destination, now);
            for id in endpoints.of(destination).filter_map(|(id, _)| endpoints.route(id)) {
                self.activate_route(id, endpoints, now);
            }
        }
    }

    /// Applies the limit that the endpoint list states for a route, new or not. A list that repeats the value
    /// from before changes nothing, because the load reports received since are more accurate.
    pub fn limit_listed(&mut self, id: RouteId, calls: f64, endpoints: &Endpoints, now: Micros) {
        match self.routes.get_mut(&id) {
            Some(route) => route.list_limit(calls),
            None if self.active.contains(id.0) => self.activate_route(id, endpoints, now),
            _ => {}
        }
    }

    /// Removes the separate route of an endpoint that is gone, if it has one. The route's wait goes over to
    /// the destination, which may come back under other endpoints.
    pub fn endpoint_removed(&mut self, destination: DestinationId, endpoint: EndpointId, now: Micros) {
        let id = (destination, Some(endpoint));
        let idle_wait = self.idle.wait_until(id, now);
        let wait = self.routes.remove(&id).map_or(idle_wait, |route| route.wait_until());
        self.idle.remove(id);
        let retained = RetainedHealth { wait_until: wait, ..RetainedHealth::default() };
        if self.idle_policy.is_none()
            || wait <= now
            || self.idle.insert((destination, None), retained, now).is_ok()
        {
            return;
        }
        let route = self.routes.entry((destination, None)).or_insert_with(|| RouteHealth::new(now));
        route.wait_until_at_least(wait);
    }

    /// Activates a route with the health retained for it and with the wait of its destination.
    fn activate_route(&mut self, id: RouteId, endpoints: &Endpoints, now: Micros) {
        if self.routes.contains_key(&id) {
            return;
        }
        let common = (id.0, None);
        let wait =
            self.idle.wait_until(common, now).max(self.routes.get(&common).map_or(0, |r| r.wait_until()));
        let wait = wait.max(self.pending_snapshots.get(&common).map_or(0, |snapshot| snapshot.wait_until));
        let listing = endpoints.listing(id);
        let lost = self.snapshots_lost.then(RouteSnapshot::unknown);
        let mut route =
            match self.pending_snapshots.remove(&id).or(lost.filter(|_| self.idle_policy.is_none())) {
                Some(snapshot) => RouteHealth::restored(&snapshot, listing, &self.rules, now),
                None => RouteHealth::activated(self.idle.take(id, now), listing, &self.rules, now),
            };
        route.wait_until_at_least(wait);
        route.begin_activation(self.idle_policy.is_some());
        self.routes.insert(id, route);
    }

    /// Makes destinations idle that had no attempt for the configured time and have no pending messages; one
    /// whose health cannot be retained stays active.
    pub fn retire_idle(&mut self, now: Micros, has_pending: impl Fn(DestinationId) -> bool) {
        let Some(idle_policy) = self.idle_policy else { return };
        for _ in 0..MAX_RETIRED_PER_TICK {
            let Some(destination) = self.active.take_due(now) else { return };
            let all = (destination, None)..=(destination, Some(EndpointId([u8::MAX; 6])));
            let retained = self.routes.range(all).map(|(id, route)| {
                let idle = route.in_flight() == 0 && route.checked_at() + idle_policy.idle_after <= now;
                idle.then(|| (*id, route.retained(&self.rules, now)))
            });
            let retained = retained.collect::<Option<Vec<_>>>().filter(|_| !has_pending(destination));
            let idle_table = &mut self.idle;
            match retained {
                Some(retained) if retained.iter().all(|f| idle_table.insert(f.0, f.1, now).is_ok()) => {
                    retained.iter().for_each(|f| drop(self.routes.remove(&f.0)));
                }
                _ => self.active.activate(destination, now),
            }
        }
    }

    /// Returns when a destination may become idle; those beyond the number allowed in one tick wait for the
    /// next one.
    pub fn next_due(&self, next_tick: Micros) -> Option<Micros> {
        Some(self.active.next_due()?.max(next_tick))
    }
}
