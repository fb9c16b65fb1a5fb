//! Endpoints from the endpoint list, grouped by destination.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use serde::{Deserialize, Serialize};

use crate::estimate::ConnectionSlots;
use crate::interface::{
    DestinationId, DestinationKind, EndpointEntry, EndpointId, Listing, Micros, Outcome, RouteId,
};

/// Limit of a route that the endpoint list states; stored as a pair.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
#[serde(from = "(f64, Micros)", into = "(f64, Micros)")]
pub(crate) struct ListedLimit {
    /// Calls a second from all senders; 0 if the list states none.
    pub calls_per_second: f64,
    /// When the route was first listed.
    pub since: Micros,
}

impl From<(f64, Micros)> for ListedLimit {
    fn from((calls_per_second, since): (f64, Micros)) -> Self {
        Self { calls_per_second, since }
    }
}

impl From<ListedLimit> for (f64, Micros) {
    fn from(listed: ListedLimit) -> Self {
        (listed.calls_per_second, listed.since)
    }
}

/// An endpoint that was listed, with the state of the calls to it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Endpoint {
    pub destination: DestinationId,
    pub zone: u16,
    pub kind: DestinationKind,
    /// Whether the list allows new calls to it.
    pub ready: bool,
    /// The endpoint is no longer in the list.
    #[serde(rename = "gone")]
    unlisted: bool,
    /// Number of complete lists received when the endpoint was last listed, in a complete list or a change.
    #[serde(rename = "named")]
    last_listed: u64,
    listed: ListedLimit,
    /// Number of attempts in flight.
    #[serde(rename = "out")]
    pub in_flight: usize,
    /// Consecutive calls that failed.
    #[serde(rename = "bad_run")]
    pub consecutive_failures: u32,
    /// Connection slots that the endpoint had for this sender when it last rejected a connection.
    #[serde(default)]
    #[serde(rename = "places")]
    pub connection_slots: ConnectionSlots,
    /// Consecutive calls whose connection was rejected while this sender had no other connection there.
    #[serde(default)]
    #[serde(rename = "crowded")]
    pub connection_rejections: u32,
    /// No call goes to the endpoint before this time because of those rejections.
    #[serde(default)]
    #[serde(rename = "rest_until")]
    pub backoff_until: Micros,
    /// A connection was lost, or could not be established, since the last success.
    pub lost: bool,
    /// When the last call was sent.
    pub sent_at: Micros,
    /// Time between the last two calls.
    #[serde(rename = "gap")]
    pub call_interval: Micros,
}

impl Endpoint {
    /// Records the outcome of an attempt. `first` means that this outcome counts for its call, `done` that no
    /// other attempt of the call is in flight any more.
    pub fn attempt_completed(&mut self, outcome: Outcome, first: bool, done: bool) {
        self.in_flight -= usize::from(done);
        match outcome {
            Outcome::Delivered => {
                (self.consecutive_failures, self.lost, self.connection_rejections) = (0, false, 0);
            }
            // The first lost or failed connection does not count as a failure: one connection says nothing
            // about the endpoint. The next one counts.
            Outcome::Reset | Outcome::ConnectFailed if first && !self.lost => self.lost = true,
            Outcome::Rejected(_) | Outcome::ConnectionRejected => {}
            Outcome::InvalidResponse | Outcome::Cancelled | Outcome::NotSent { .. } => {}
            _ => self.consecutive_failures += u32::from(first),
        }
    }
}

/// The endpoints of a destination, and the limit that the list states for its common route.
#[derive(Debug, Serialize, Deserialize)]
struct DestinationEndpoints {
    ids: BTreeSet<EndpointId>,
    listed: ListedLimit,
}

/// All endpoints that are listed or that something still refers to.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct Endpoints {
    all: HashMap<EndpointId, Endpoint>,
    /// Endpoints by destination, so that a tick does not visit destinations without pending messages.
    #[serde(rename = "cells")]
    by_destination: BTreeMap<DestinationId, DestinationEndpoints>,
    #[serde(rename = "gone")]
    unlisted: BTreeSet<EndpointId>,
    /// Number of complete lists received so far.
    lists: u64,
    /// A complete list was received, and endpoints missing from it have not been marked yet.
    #[serde(rename = "whole")]
    full_list_pending: bool,
}

impl Endpoints {
    /// Returns an endpoint.
    pub fn get(&self, id: &EndpointId) -> Option<&Endpoint> {
        self.all.get(id)
    }

    /// Returns an endpoint for changes.
    pub fn get_mut(&mut self, id: &EndpointId) -> Option<&mut Endpoint> {
        self.all.get_mut(id)
    }

    /// Returns the endpoints in the list, and whether the list allows new calls to them.
    pub fn in_list(&self) -> impl Iterator<Item = (EndpointId, bool)> {
        self.all.iter().filter(|(_, e)| !e.unlisted).map(|(id, e)| (*id, e.ready))
    }

    /// Begins a complete list. Endpoints that it does not list by the next [`Self::prune`] are gone.
    pub fn begin_full_list(&mut self) {
        self.lists += 1;
        self.full_list_pending = true;
    }

    /// Applies an entry of the endpoint list, with the calls a second that its weight guarantees. Returns the
    /// route of the endpoint.
    pub fn apply_entry(
        &mut self,
        entry: &EndpointEntry,
        kind: DestinationKind,
        calls: f64,
        now: Micros,
    ) -> RouteId {
        let endpoint = self.all.entry(entry.endpoint).or_insert(Endpoint {
            destination: entry.destination,
            zone: entry.zone,
            kind,
            ready: false,
            unlisted: false,
            last_listed: 0,
            listed: ListedLimit { calls_per_second: calls, since: now },
            in_flight: 0,
            consecutive_failures: 0,
            connection_slots: ConnectionSlots::default(),
            connection_rejections: 0,
            backoff_until: 0,
            lost: false,
            sent_at: 0,
            call_interval: Micros::MAX,
        });
        (endpoint.ready, endpoint.unlisted) =
            (entry.listing == Listing::Ready, entry.listing == Listing::Gone);
        endpoint.last_listed = self.lists;
        endpoint.listed.calls_per_second = calls;
        if endpoint.unlisted {
            self.unlisted.insert(entry.endpoint)
        } else {
            self.unlisted.remove(&entry.endpoint)
        };
        let listed = ListedLimit { calls_per_second: calls, since: now };
        let new_group = || DestinationEndpoints { ids: BTreeSet::new(), listed };
        let group = self.by_destination.entry(endpoint.destination).or_insert_with(new_group);
        group.ids.insert(entry.endpoint);
        if !kind.separate_routes {
            group.listed.calls_per_second = calls;
        }
        (entry.destination, kind.separate_routes.then_some(entry.endpoint))
    }

    /// Returns the endpoints of a destination, in any state.
    pub fn of(&self, destination: DestinationId) -> impl Iterator<Item = (EndpointId, &Endpoint)> {
        let ids = self.by_destination.get(&destination).into_iter().flat_map(|group| &group.ids);
        ids.filter_map(|id| Some((*id, self.all.get(id)?)))
    }

    /// Returns the route of an endpoint.
    pub fn route(&self, id: EndpointId) -> Option<RouteId> {
        let e = self.all.get(&id)?;
        Some((e.destination, e.kind.separate_routes.then_some(id)))
    }

    /// Returns the limit that the list states for a route, and since when the route is listed.
    pub fn listing(&self, route: RouteId) -> ListedLimit {
        let listed = match route.1 {
            Some(endpoint) => self.all.get(&endpoint).map(|e| e.listed),
            None => self.by_destination.get(&route.0).map(|group| group.listed),
        };
        listed.unwrap_or_default()
    }

    /// Detaches the state of a destination's endpoints for a migration to another instance. The endpoints
    /// stay here as if no call had ever been sent to them.
    pub fn detach(&mut self, destination: DestinationId) -> Vec<(EndpointId, Endpoint)> {
        let ids: Vec<_> = self.of(destination).map(|(id, _)| id).collect();
        let detached = ids.into_iter().filter_map(|id| {
            let endpoint = self.all.get_mut(&id)?;
            let unused = Endpoint {
                in_flight: 0,
                consecutive_failures: 0,
                connection_slots: ConnectionSlots::default(),
                connection_rejections: 0,
                backoff_until: 0,
                lost: false,
                sent_at: 0,
                call_interval: Micros::MAX,
                ..endpoint.clone()
            };
            Some((id, std::mem::replace(endpoint, unused)))
        });
        detached.collect()
    }

    /// Attaches the state of a destination's endpoints from another instance. The list that this instance
    /// received takes precedence; an endpoint that is not in it is kept, as gone, for the calls in flight
    /// there.
    pub fn attach(&mut self, destination: DestinationId, endpoints: Vec<(EndpointId, Endpoint)>) {
        for (id, attached) in endpoints {
            if let Some(own) = self.all.get_mut(&id) {
                // This instance follows the list that it received itself: the attached state may be older and
                // must not end a drain.
                *own = Endpoint {
                    destination: own.destination,
                    zone: own.zone,
                    kind: own.kind,
                    ready: own.ready,
                    unlisted: own.unlisted,
                    last_listed: own.last_listed,
                    listed: ListedLimit { since: own.listed.since.min(attached.listed.since), ..own.listed },
                    ..attached
                };
                continue;
            }
            let listed = attached.listed;
            self.by_destination
                .entry(destination)
                .or_insert_with(|| DestinationEndpoints { ids: BTreeSet::new(), listed })
                .ids
                .insert(id);
            self.unlisted.insert(id);
            self.all.insert(
                id,
                Endpoint { destination, ready: false, unlisted: true, last_listed: 0, ..attached },
            );
        }
    }

    /// Removes endpoints that are gone and that nothing refers to, and returns them. Without this the table
    /// would grow without bound, since endpoints are replaced all the time.
    pub fn prune(
        &mut self,
        referenced: impl FnOnce() -> BTreeSet<EndpointId>,
    ) -> Vec<(DestinationId, EndpointId)> {
        let mut removed = Vec::new();
        if std::mem::take(&mut self.full_list_pending) {
            for (id, e) in self.all.iter_mut().filter(|(_, e)| e.last_listed != self.lists) {
                (e.ready, e.unlisted) = (false, true);
                self.unlisted.insert(*id);
            }
        }
        if self.unlisted.is_empty() {
            return removed;
        }
        let referenced = referenced();
        let (all, by_destination) = (&mut self.all, &mut self.by_destination);
        self.unlisted.retain(|id| {
            let Some(e) = all.get(id).filter(|e| e.in_flight == 0 && !referenced.contains(id)) else {
                return all.contains_key(id);
            };
            let destination = e.destination;
            removed.push((destination, *id));
            if let Some(group) = by_destination.get_mut(&destination) {
                group.ids.remove(id);
                if group.ids.is_empty() {
                    by_destination.remove(&destination);
                }
            }
            all.remove(id);
            false
        });
        removed
    }
}
