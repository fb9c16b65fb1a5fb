//! Endpoints as the list has them, by destination.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use serde::{Deserialize, Serialize};

use crate::estimate::Places;
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
    gone: bool,
    /// The last whole list that named it, or change since.
    named: u64,
    listed: ListedLimit,
    pub out: usize,
    pub bad_run: u32,
    /// Connections of ours that there were places for.
    #[serde(default)]
    pub places: Places,
    /// Calls in a row that found no place, with none of ours there, and until when none goes for that.
    #[serde(default)]
    pub crowded: u32,
    #[serde(default)]
    pub rest_until: Micros,
    /// A connection was lost or failed since the last success.
    pub lost: bool,
    /// When the last call was sent, and how long after the one before.
    pub sent_at: Micros,
    pub gap: Micros,
}

impl Endpoint {
    /// The outcome of an attempt there: the first that its call got, and the last that is out.
    pub fn ended(&mut self, outcome: Outcome, first: bool, done: bool) {
        self.out -= usize::from(done);
        match outcome {
            Outcome::Delivered => (self.bad_run, self.lost, self.crowded) = (0, false, 0),
            // Turned away only where it happens again: one connection is not the endpoint.
            Outcome::Reset | Outcome::ConnectFailed if first && !self.lost => self.lost = true,
            Outcome::Rejected(_) | Outcome::ConnectionRejected => {}
            Outcome::InvalidResponse | Outcome::Cancelled | Outcome::NotSent { .. } => {}
            _ => self.bad_run += u32::from(first),
        }
    }
}

/// The endpoints of a destination, and the listing of its common route: calls a second that it promises, and since when.
#[derive(Debug, Serialize, Deserialize)]
struct Cell {
    ids: BTreeSet<EndpointId>,
    listed: ListedLimit,
}

/// All that lists named and that something refers to.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct Endpoints {
    all: HashMap<EndpointId, Endpoint>,
    /// By destination, so that no tick looks at those that nothing is held for.
    cells: BTreeMap<DestinationId, Cell>,
    gone: BTreeSet<EndpointId>,
    /// Whole lists so far, and whether the last one has been seen to its end.
    lists: u64,
    whole: bool,
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
        self.all.iter().filter(|(_, e)| !e.gone).map(|(id, e)| (*id, e.ready))
    }

    /// A whole list begins. What it has not named by the next [`Self::prune`] is gone.
    pub fn none_listed(&mut self) {
        self.lists += 1;
        self.whole = true;
    }

    /// What a list says of an endpoint, with the calls a second that its weight promises. Tells the route that leads to it.
    pub fn listed(
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
            gone: false,
            named: 0,
            listed: ListedLimit { calls_per_second: calls, since: now },
            out: 0,
            bad_run: 0,
            places: Places::default(),
            crowded: 0,
            rest_until: 0,
            lost: false,
            sent_at: 0,
            gap: Micros::MAX,
        });
        (endpoint.ready, endpoint.gone) = (entry.listing == Listing::Ready, entry.listing == Listing::Gone);
        endpoint.named = self.lists;
        endpoint.listed.calls_per_second = calls;
        if endpoint.gone {
            self.gone.insert(entry.endpoint)
        } else {
            self.gone.remove(&entry.endpoint)
        };
        let listed = ListedLimit { calls_per_second: calls, since: now };
        let new = || Cell { ids: BTreeSet::new(), listed };
        let cell = self.cells.entry(endpoint.destination).or_insert_with(new);
        cell.ids.insert(entry.endpoint);
        if !kind.separate_routes {
            cell.listed.calls_per_second = calls;
        }
        (entry.destination, kind.separate_routes.then_some(entry.endpoint))
    }

    /// Endpoints of a destination, in any state.
    pub fn of(&self, destination: DestinationId) -> impl Iterator<Item = (EndpointId, &Endpoint)> {
        let ids = self.cells.get(&destination).into_iter().flat_map(|cell| &cell.ids);
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
            None => self.cells.get(&route.0).map(|cell| cell.listed),
        };
        listed.unwrap_or_default()
    }

    /// What is known of a destination's endpoints, for another module; here they are as if no call had ever gone there.
    pub fn part(&mut self, destination: DestinationId) -> Vec<(EndpointId, Endpoint)> {
        let ids: Vec<_> = self.of(destination).map(|(id, _)| id).collect();
        let known = ids.into_iter().filter_map(|id| {
            let known = self.all.get_mut(&id)?;
            let unused = Endpoint {
                out: 0,
                bad_run: 0,
                places: Places::default(),
                crowded: 0,
                rest_until: 0,
                lost: false,
                sent_at: 0,
                gap: Micros::MAX,
                ..known.clone()
            };
            Some((id, std::mem::replace(known, unused)))
        });
        known.collect()
    }

    /// What another module knew of a destination's endpoints. What lists said here of them holds; one that none has named is
    /// kept for the calls that are out there, as one that is gone.
    pub fn join(&mut self, destination: DestinationId, endpoints: Vec<(EndpointId, Endpoint)>) {
        for (id, theirs) in endpoints {
            if let Some(ours) = self.all.get_mut(&id) {
                // Guards a drain against what is older: the list as this module was told it is what binds it.
                *ours = Endpoint {
                    destination: ours.destination,
                    zone: ours.zone,
                    kind: ours.kind,
                    ready: ours.ready,
                    gone: ours.gone,
                    named: ours.named,
                    listed: ListedLimit { since: ours.listed.since.min(theirs.listed.since), ..ours.listed },
                    ..theirs
                };
                continue;
            }
            let listed = theirs.listed;
            self.cells
                .entry(destination)
                .or_insert_with(|| Cell { ids: BTreeSet::new(), listed })
                .ids
                .insert(id);
            self.gone.insert(id);
            self.all.insert(id, Endpoint { destination, ready: false, gone: true, named: 0, ..theirs });
        }
    }

    /// Forgets endpoints that are gone and that nothing refers to: under churn there are ever new ones. Tells which.
    pub fn prune(
        &mut self,
        referred: impl FnOnce() -> BTreeSet<EndpointId>,
    ) -> Vec<(DestinationId, EndpointId)> {
        let mut left = Vec::new();
        if std::mem::take(&mut self.whole) {
            for (id, e) in self.all.iter_mut().filter(|(_, e)| e.named != self.lists) {
                (e.ready, e.gone) = (false, true);
                self.gone.insert(*id);
            }
        }
        if self.gone.is_empty() {
            return left;
        }
        let referred = referred();
        let (all, cells) = (&mut self.all, &mut self.cells);
        self.gone.retain(|id| {
            let Some(e) = all.get(id).filter(|e| e.out == 0 && !referred.contains(id)) else {
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
