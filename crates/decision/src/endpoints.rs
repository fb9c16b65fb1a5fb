//! Endpoints as the list has them, by destination.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use serde::{Deserialize, Serialize};

use crate::estimate::ConnectionSlots;
use crate::interface::{
    DestinationId, DestinationKind, EndpointEntry, EndpointId, Listing, Micros, Outcome, RouteId,
};

/// What the endpoint list promises of a route; stored as a pair.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
#[serde(from = "(f64, Micros)", into = "(f64, Micros)")]
pub(crate) struct ListedLimit {
    /// Calls a second from all senders; 0 where none are promised.
    pub calls_per_second: f64,
    /// When it was first listed.
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

/// An endpoint.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Endpoint {
    pub destination: DestinationId,
    pub zone: u16,
    pub kind: DestinationKind,
    pub ready: bool,
    /// No list names it any more.
    #[serde(rename = "gone")]
    unlisted: bool,
    /// The last whole list that named it, or change since.
    #[serde(rename = "named")]
    last_listed: u64,
    listed: ListedLimit,
    #[serde(rename = "out")]
    pub in_flight: usize,
    #[serde(rename = "bad_run")]
    pub consecutive_failures: u32,
    /// Connections of ours that there were places for.
    #[serde(default)]
    #[serde(rename = "places")]
    pub connection_slots: ConnectionSlots,
    /// Calls in a row that found no place, with none of ours there, and until when none goes for that.
    #[serde(default)]
    #[serde(rename = "crowded")]
    pub connection_rejections: u32,
    #[serde(default)]
    #[serde(rename = "rest_until")]
    pub backoff_until: Micros,
    /// A connection was lost or failed since the last success.
    pub lost: bool,
    /// When the last call was sent, and how long after the one before.
    pub sent_at: Micros,
    #[serde(rename = "gap")]
    pub call_interval: Micros,
}

impl Endpoint {
    /// The outcome of an attempt there: the first that its call got, and the last that is out.
    pub fn attempt_completed(&mut self, outcome: Outcome, first: bool, done: bool) {
        self.in_flight -= usize::from(done);
        match outcome {
            Outcome::Delivered => {
                (self.consecutive_failures, self.lost, self.connection_rejections) = (0, false, 0);
            }
            // Turned away only where it happens again: one connection is not the endpoint.
            Outcome::Reset | Outcome::ConnectFailed if first && !self.lost => self.lost = true,
            Outcome::Rejected(_) | Outcome::ConnectionRejected => {}
            Outcome::InvalidResponse | Outcome::Cancelled | Outcome::NotSent { .. } => {}
            _ => self.consecutive_failures += u32::from(first),
        }
    }
}

/// The endpoints of a destination, and the listing of its common route: calls a second that it promises, and since when.
#[derive(Debug, Serialize, Deserialize)]
struct DestinationEndpoints {
    ids: BTreeSet<EndpointId>,
    listed: ListedLimit,
}

/// All that lists named and that something refers to.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct Endpoints {
    all: HashMap<EndpointId, Endpoint>,
    /// By destination, so that no tick looks at those that nothing is held for.
    #[serde(rename = "cells")]
    by_destination: BTreeMap<DestinationId, DestinationEndpoints>,
    #[serde(rename = "gone")]
    unlisted: BTreeSet<EndpointId>,
    /// Whole lists so far, and whether the last one has been seen to its end.
    lists: u64,
    #[serde(rename = "whole")]
    full_list_pending: bool,
}

impl Endpoints {
    pub fn get(&self, id: &EndpointId) -> Option<&Endpoint> {
        self.all.get(id)
    }

    pub fn get_mut(&mut self, id: &EndpointId) -> Option<&mut Endpoint> {
        self.all.get_mut(id)
    }

    /// Endpoints in the list, and whether they take what is new.
    pub fn in_list(&self) -> impl Iterator<Item = (EndpointId, bool)> {
        self.all.iter().filter(|(_, e)| !e.unlisted).map(|(id, e)| (*id, e.ready))
    }

    /// A whole list begins. What it has not named by the next [`Self::prune`] is gone.
    pub fn begin_full_list(&mut self) {
        self.lists += 1;
        self.full_list_pending = true;
    }

    /// What a list says of an endpoint, with the calls a second that its weight promises. Tells the route that leads to it.
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
        let new = || DestinationEndpoints { ids: BTreeSet::new(), listed };
        let cell = self.by_destination.entry(endpoint.destination).or_insert_with(new);
        cell.ids.insert(entry.endpoint);
        if !kind.separate_routes {
            cell.listed.calls_per_second = calls;
        }
        (entry.destination, kind.separate_routes.then_some(entry.endpoint))
    }

    /// Endpoints of a destination, in any state.
    pub fn of(&self, destination: DestinationId) -> impl Iterator<Item = (EndpointId, &Endpoint)> {
        let ids = self.by_destination.get(&destination).into_iter().flat_map(|cell| &cell.ids);
        ids.filter_map(|id| Some((*id, self.all.get(id)?)))
    }

    /// The route that leads to an endpoint.
    pub fn route(&self, id: EndpointId) -> Option<RouteId> {
        let e = self.all.get(&id)?;
        Some((e.destination, e.kind.separate_routes.then_some(id)))
    }

    /// Calls a second that the listing of a route promises, and since when it is listed.
    pub fn listing(&self, route: RouteId) -> ListedLimit {
        let listed = match route.1 {
            Some(endpoint) => self.all.get(&endpoint).map(|e| e.listed),
            None => self.by_destination.get(&route.0).map(|cell| cell.listed),
        };
        listed.unwrap_or_default()
    }

    /// What is known of a destination's endpoints, for another module; here they are as if no call had ever gone there.
    pub fn detach(&mut self, destination: DestinationId) -> Vec<(EndpointId, Endpoint)> {
        let ids: Vec<_> = self.of(destination).map(|(id, _)| id).collect();
        let known = ids.into_iter().filter_map(|id| {
            let known = self.all.get_mut(&id)?;
            let unused = Endpoint {
                in_flight: 0,
                consecutive_failures: 0,
                connection_slots: ConnectionSlots::default(),
                connection_rejections: 0,
                backoff_until: 0,
                lost: false,
                sent_at: 0,
                call_interval: Micros::MAX,
                ..known.clone()
            };
            Some((id, std::mem::replace(known, unused)))
        });
        known.collect()
    }

    /// What another module knew of a destination's endpoints. What lists said here of them holds; one that none has named is
    /// kept for the calls that are out there, as one that is gone.
    pub fn attach(&mut self, destination: DestinationId, endpoints: Vec<(EndpointId, Endpoint)>) {
        for (id, theirs) in endpoints {
            if let Some(ours) = self.all.get_mut(&id) {
                // Guards a drain against what is older: the list as this module was told it is what binds it.
                *ours = Endpoint {
                    destination: ours.destination,
                    zone: ours.zone,
                    kind: ours.kind,
                    ready: ours.ready,
                    unlisted: ours.unlisted,
                    last_listed: ours.last_listed,
                    listed: ListedLimit { since: ours.listed.since.min(theirs.listed.since), ..ours.listed },
                    ..theirs
                };
                continue;
            }
            let listed = theirs.listed;
            self.by_destination
                .entry(destination)
                .or_insert_with(|| DestinationEndpoints { ids: BTreeSet::new(), listed })
                .ids
                .insert(id);
            self.unlisted.insert(id);
            self.all
                .insert(id, Endpoint { destination, ready: false, unlisted: true, last_listed: 0, ..theirs });
        }
    }

    /// Forgets endpoints that are gone and that nothing refers to: under churn there are ever new ones. Tells which.
    pub fn prune(
        &mut self,
        referred: impl FnOnce() -> BTreeSet<EndpointId>,
    ) -> Vec<(DestinationId, EndpointId)> {
        let mut left = Vec::new();
        if std::mem::take(&mut self.full_list_pending) {
            for (id, e) in self.all.iter_mut().filter(|(_, e)| e.last_listed != self.lists) {
                (e.ready, e.unlisted) = (false, true);
                self.unlisted.insert(*id);
            }
        }
        if self.unlisted.is_empty() {
            return left;
        }
        let referred = referred();
        let (all, cells) = (&mut self.all, &mut self.by_destination);
        self.unlisted.retain(|id| {
            let Some(e) = all.get(id).filter(|e| e.in_flight == 0 && !referred.contains(id)) else {
                return all.contains_key(id);
            };
            let destination = e.destination;
            left.push((destination, *id));
            if let Some(cell) = cells.get_mut(&destination) {
                cell.ids.remove(id);
                if cell.ids.is_empty() {
                    cells.remove(&destination);
                }
            }
            all.remove(id);
            false
        });
        left
    }
}
