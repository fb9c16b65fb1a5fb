//! The directory of endpoints by their names in the endpoint list: their ids for the decision module, and their transports.

mod hand_over;
mod updates;

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::rc::Rc;
use std::sync::Arc;

use admin::ejections::{EjectError, Ejections, RetiredNames};
use decision::interface::{
    DestinationId, DestinationKind, EndpointEntry, EndpointId, Event, Listing, RouteId,
};

use crate::config::Names;
use crate::ports::Transport;

use updates::PendingList;
pub use updates::{SLICE_ENTRIES, TooManyPending};

/// An endpoint as the list has it.
struct EndpointRecord {
    name: Arc<str>,
    destination: u16,
    kind: usize,
    /// The transport that calls it; `None` if no transport can parse its address.
    transport: Option<Rc<dyn Transport>>,
    max_batch: usize,
    /// Its status in the list. An ejected endpoint gets no new calls, even if it is `Ready` here.
    listing: Listing,
    zone: u16,
    weight: f64,
    /// A hash of its address, by which a move of the endpoint is detected.
    address_hash: u32,
    /// Whether it is no longer in the list.
    unlisted: bool,
    /// The number of the last full list that named it, or after which a change named it.
    last_listed: u64,
}

/// The endpoint list as this sender knows it.
pub struct Directory {
    names: Names,
    kinds: Vec<DestinationKind>,
    transports: Vec<Rc<dyn Transport>>,
    endpoints: HashMap<EndpointId, EndpointRecord>,
    /// The id of each name.
    ids: HashMap<String, EndpointId>,
    /// How many ids were assigned.
    ids_assigned: u64,
    /// Destinations that a list has named.
    destinations: BTreeSet<u16>,
    /// Unlisted endpoints that are not forgotten yet.
    unlisted: BTreeSet<EndpointId>,
    /// Names that no list has, only attempts.
    attempt_only_names: BTreeSet<String>,
    /// Endpoints that an operator has ejected, also those that the list has as active.
    ejections: Ejections,
    /// Names that the list had formerly.
    retired_names: RetiredNames,
    /// Number of full lists so far.
    lists: u64,
    /// Whether the last full list is not applied completely yet.
    full_list_pending: bool,
    /// Lists and changes that wait to be applied.
    pending: VecDeque<PendingList>,
    /// Endpoints that wait to be removed, since the last full list does not have them.
    pending_removals: Vec<EndpointId>,
    /// Destinations whose listing changed since the last [`Directory::take_changed`].
    changed: BTreeSet<u16>,
}

impl Directory {
    /// Creates an empty directory. An endpoint is called by the first transport that can parse its address.
    pub fn new(
        names: Names,
        kinds: Vec<DestinationKind>,
        carriers: Vec<Rc<dyn Transport>>,
        ejections: Ejections,
    ) -> Self {
        Self {
            ejections,
            retired_names: RetiredNames::default(),
            names,
            kinds,
            transports: carriers,
            endpoints: HashMap::new(),
            ids: HashMap::new(),
            ids_assigned: 0,
            destinations: BTreeSet::new(),
            unlisted: BTreeSet::new(),
            attempt_only_names: BTreeSet::new(),
            lists: 0,
            full_list_pending: false,
            pending: VecDeque::new(),
            pending_removals: Vec::new(),
            changed: BTreeSet::new(),
        }
    }

    /// The id of an endpoint in the directory. Names that only attempts refer to have none here.
    pub fn listed_id(&self, name: &str) -> Option<EndpointId> {
        self.ids.get(name).copied().filter(|id| self.endpoints.contains_key(id))
    }

    /// The destination of an endpoint, if it is in the directory.
    pub fn destination(&self, endpoint: EndpointId) -> Option<u16> {
        self.endpoints.get(&endpoint).map(|record| record.destination)
    }

    /// The destinations of all endpoints in the directory; one appears once per endpoint.
    pub fn destinations(&self) -> impl Iterator<Item = u16> {
        self.endpoints.values().map(|record| record.destination)
    }

    /// Returns the destinations whose listing changed since the last call.
    pub fn take_changed(&mut self) -> BTreeSet<u16> {
        std::mem::take(&mut self.changed)
    }

    /// An endpoint as the list has it, without regard to ejections.
    pub fn describe(&self, endpoint: EndpointId) -> Option<health_snapshot::ListedEndpoint> {
        let record = self.endpoints.get(&endpoint)?;
        let text = |names: &[String], at: usize| names.get(at).cloned().unwrap_or_default();
        let address = record.transport.as_ref().and_then(|transport| transport.address(endpoint));
        Some(health_snapshot::ListedEndpoint {
            name: record.name.to_string(),
            address: address.unwrap_or_default(),
            zone: text(&self.names.zones, record.zone.into()),
            kind: text(&self.names.kinds, record.kind),
            status: match record.listing {
                _ if record.unlisted => health_snapshot::EndpointStatus::Removed,
                Listing::Ready => health_snapshot::EndpointStatus::Active,
                Listing::Draining => health_snapshot::EndpointStatus::Draining,
                Listing::Gone => health_snapshot::EndpointStatus::Removed,
            },
            weight: record.weight,
        })
    }

    /// Whether a list has named the destination.
    pub fn names_destination(&self, destination: u16) -> bool {
        self.destinations.contains(&destination)
    }

    /// The names of classes, kinds and zones, by position.
    pub fn names(&self) -> [Vec<String>; 3] {
        [self.names.classes.clone(), self.names.kinds.clone(), self.names.zones.clone()]
    }

    /// The position of a class in the settings.
    pub fn class(&self, name: &str) -> Option<usize> {
        self.names.classes.iter().position(|class| class == name)
    }

    /// The name of an endpoint; empty if it is not in the directory any more.
    pub fn name(&self, endpoint: EndpointId) -> Arc<str> {
        self.endpoints.get(&endpoint).map_or_else(|| "".into(), |record| record.name.clone())
    }

    /// The maximum number of messages that one call to an endpoint carries.
    pub fn max_batch(&self, endpoint: EndpointId) -> usize {
        self.endpoints.get(&endpoint).map_or(1, |record| record.max_batch)
    }

    /// All transports.
    pub fn transports(&self) -> &[Rc<dyn Transport>] {
        &self.transports
    }

    /// The transport that calls an endpoint.
    pub fn transport(&self, endpoint: EndpointId) -> Option<&Rc<dyn Transport>> {
        self.endpoints.get(&endpoint)?.transport.as_ref()
    }

    /// The route of an endpoint: its destination's, or its own where its kind has separate routes.
    pub fn route(&self, endpoint: EndpointId) -> Option<RouteId> {
        let record = self.endpoints.get(&endpoint)?;
        let separate = self.kinds.get(record.kind).is_some_and(|kind| kind.separate_routes);
        Some((DestinationId(record.destination), separate.then_some(endpoint)))
    }

    /// The number of endpoints in the list.
    pub fn listed_endpoints(&self) -> usize {
        self.endpoints.values().filter(|record| !record.unlisted).count()
    }

    /// The ejected endpoints.
    pub fn ejections(&self) -> &Ejections {
        &self.ejections
    }

    /// Returns the ejections as they would be with this endpoint ejected or reinstated. Changes nothing itself.
    ///
    /// # Errors
    /// Fails when the name was never in the list, or too many endpoints are ejected.
    pub fn plan_ejection(&self, name: &str, eject: bool) -> Result<Ejections, EjectError> {
        let listed = self.ids.get(name).is_some_and(|id| self.endpoints.contains_key(id));
        if !listed && !self.retired_names.contains(name) && !self.ejections.contains(name) {
            return Err(EjectError::Unknown);
        }
        let mut ejections = self.ejections.clone();
        if eject {
            ejections.eject(name)?;
        } else {
            ejections.reinstate(name);
        }
        Ok(ejections)
    }

    /// Applies ejections. Returns the list entries that change by them.
    pub fn apply_ejections(&mut self, ejections: Ejections) -> Event {
        let before = std::mem::replace(&mut self.ejections, ejections);
        let changed =
            |record: &&EndpointRecord| before.contains(&record.name) != self.ejections.contains(&record.name);
        let listed = self.endpoints.iter().filter(|(_, record)| !record.unlisted);
        let changes = listed.filter(|(_, record)| changed(record)).map(|(id, record)| {
            let listing =
                if self.ejections.contains(&record.name) { Listing::Draining } else { record.listing };
            if let Some(transport) = &record.transport {
                transport.set_accepting(*id, listing == Listing::Ready);
                if listing == Listing::Draining {
                    transport.close_idle(*id);
                }
            }
            let destination = DestinationId(record.destination);
            let (zone, kind, weight) = (record.zone, record.kind, record.weight);
            EndpointEntry { endpoint: *id, destination, zone, kind, weight, listing }
        });
        Event::EndpointChanges(changes.collect())
    }

    /// Returns the id of the endpoint of an attempt, which need not be in the list; assigns one if it has none.
    pub fn id_of_attempt(&mut self, name: &str) -> EndpointId {
        self.attempt_only_names.insert(name.to_owned());
        self.id_of(name)
    }

    /// Returns the id of a name; assigns the next one if it has none.
    fn id_of(&mut self, name: &str) -> EndpointId {
        if let Some(id) = self.ids.get(name) {
            return *id;
        }
        self.ids_assigned += 1;
        let mut bytes = [0; 6];
        bytes.copy_from_slice(&self.ids_assigned.to_be_bytes()[2..]);
        self.ids.insert(name.to_owned(), EndpointId(bytes));
        EndpointId(bytes)
    }
}

#[cfg(test)]
mod tests;
