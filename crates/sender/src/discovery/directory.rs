//! The directory of endpoints by their names in the endpoint list: their ids for the decision module, and their transports.

use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};
use std::rc::Rc;
use std::sync::Arc;

use admin::ejections::{EjectError, Ejections, RetiredNames};
use decision::interface::{
    DestinationId, DestinationKind, EndpointEntry, EndpointId, Event, Listing, RouteId,
};

use crate::config::Names;
use crate::discovery::endpoint_list::{EndpointList, EndpointListing as Listed};
use crate::ports::Transport;

/// Entries of a long list that are applied in one iteration, which bounds the time that a list delays the event loop.
pub const SLICE_ENTRIES: usize = 1_000;
/// Maximum number of entries that wait to be applied: over twice the possible number of destinations.
const MAX_PENDING_ENTRIES: usize = 200_000;

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

/// A list that is applied in slices. All shards share one list, and each applies it for itself.
struct PendingList {
    list: Arc<EndpointList>,
    applied: usize,
}

impl PendingList {
    fn len(&self) -> usize {
        self.list.endpoints.len() - self.applied
    }

    fn next(&mut self) -> Option<&Listed> {
        let next = self.list.endpoints.get(self.applied)?;
        self.applied += 1;
        Some(next)
    }
}

/// Too many entries wait to be applied, and all were dropped: the full list must be fetched.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TooManyPending;

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

    /// Restores the directory of the predecessor.
    pub fn restore(
        &mut self,
        endpoints: Vec<handover::HandoverEndpoint>,
        ids: Vec<(String, EndpointId)>,
        ids_assigned: u64,
    ) {
        self.ids_assigned = ids_assigned;
        for saved in endpoints {
            let handover::HandoverEndpoint {
                id,
                name,
                address,
                zone,
                kind,
                destination,
                listing,
                weight,
                unlisted: removed,
            } = saved;
            let accepts_address = |transport: &&Rc<dyn Transport>| {
                address.as_ref().is_some_and(|a| transport.set_address(id, a))
            };
            let transport = self.transports.iter().find(accepts_address).cloned();
            let kind = kind.map_or(usize::MAX, usize::from);
            let batch_limit = self.kinds.get(kind).map_or(1, |kind| kind.max_batch);
            if removed {
                self.unlisted.insert(id);
            }
            let accepting = listing == Listing::Ready && !removed && !self.ejections.contains(&name);
            transport.iter().for_each(|transport| transport.set_accepting(id, accepting));
            self.destinations.insert(destination);
            let (name, list_number) = (name.into(), self.lists);
            let hash = crc32fast::hash(address.as_deref().unwrap_or_default().as_bytes());
            let record = EndpointRecord {
                name,
                destination,
                kind,
                transport,
                max_batch: batch_limit,
                listing,
                zone,
                weight,
                address_hash: hash,
                unlisted: removed,
                last_listed: list_number,
            };
            self.endpoints.insert(id, record);
        }
        let attempt_only = ids.iter().filter(|(_, id)| !self.endpoints.contains_key(id));
        self.attempt_only_names = attempt_only.map(|(name, _)| name.clone()).collect();
        self.ids = ids.into_iter().collect();
    }

    /// Returns the directory for a successor: endpoints, ids by name, and how many ids were assigned.
    pub fn save(&self) -> (Vec<handover::HandoverEndpoint>, Vec<(String, EndpointId)>, u64) {
        let saved = |(id, record): (&EndpointId, &EndpointRecord)| handover::HandoverEndpoint {
            id: *id,
            name: record.name.to_string(),
            address: record.transport.as_ref().and_then(|transport| transport.address(*id)),
            zone: record.zone,
            kind: u16::try_from(record.kind).ok(),
            destination: record.destination,
            listing: record.listing,
            weight: record.weight,
            unlisted: record.unlisted,
        };
        let ids = self.ids.iter().map(|(name, id)| (name.clone(), *id));
        (self.endpoints.iter().map(saved).collect(), ids.collect(), self.ids_assigned)
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

    /// Applies a full list, or changes of it, at once. Unlisted endpoints are forgotten with their connections and names,
    /// unless one of these attempts refers to them; otherwise the directory would grow without bound under churn.
    pub fn apply<'a, I: Iterator<Item = &'a str>>(
        &mut self,
        list: &EndpointList,
        attempts: impl FnOnce() -> I,
    ) -> Event {
        let mut entries = Vec::with_capacity(list.endpoints.len());
        self.lists += u64::from(list.snapshot);
        for listed in &list.endpoints {
            self.apply_entry(listed, &mut entries);
        }
        if list.snapshot {
            self.collect_removals();
            for id in std::mem::take(&mut self.pending_removals) {
                self.remove_endpoint(id);
            }
        }
        self.prune(attempts);
        if list.snapshot { Event::EndpointList(entries) } else { Event::EndpointChanges(entries) }
    }

    /// Whether a list has to be applied in slices: because it is long, because it removes many endpoints, or because another
    /// one is pending.
    pub fn needs_slicing(&self, list: &EndpointList) -> bool {
        let removed = if list.snapshot { self.endpoints.len() } else { 0 };
        self.has_pending() || list.endpoints.len().max(removed) > SLICE_ENTRIES
    }

    /// Queues a list to be applied in slices. A full list replaces all that is pending.
    ///
    /// # Errors
    /// Fails when too many entries are pending. All of them are dropped, and the full list must be fetched.
    pub fn enqueue(&mut self, list: Arc<EndpointList>) -> Result<(), TooManyPending> {
        if list.snapshot {
            self.pending.clear();
            self.pending_removals.clear();
            self.lists += 1;
            self.full_list_pending = true;
        }
        if !list.endpoints.is_empty() {
            self.pending.push_back(PendingList { list, applied: 0 });
        }
        if self.pending.iter().map(PendingList::len).sum::<usize>() > MAX_PENDING_ENTRIES {
            self.pending.clear();
            self.full_list_pending = false;
            return Err(TooManyPending);
        }
        Ok(())
    }

    /// Whether a list is not applied completely yet.
    pub fn has_pending(&self) -> bool {
        self.full_list_pending || !self.pending.is_empty() || !self.pending_removals.is_empty()
    }

    /// Applies the next `size` pending entries. Once a full list is applied, the endpoints that it did not name are removed,
    /// in slices too.
    pub fn apply_slice<'a, I: Iterator<Item = &'a str>>(
        &mut self,
        size: usize,
        attempts: impl FnOnce() -> I,
    ) -> Event {
        let mut entries = Vec::new();
        for _ in 0..size {
            if let Some(mut rest) = self.pending.pop_front() {
                if let Some(listed) = rest.next() {
                    self.apply_entry(listed, &mut entries);
                }
                if rest.len() > 0 {
                    self.pending.push_front(rest);
                }
            } else if std::mem::take(&mut self.full_list_pending) {
                self.collect_removals();
            } else if let Some(id) = self.pending_removals.pop() {
                entries.extend(self.remove_endpoint(id));
            } else {
                break;
            }
        }
        self.prune(attempts);
        Event::EndpointChanges(entries)
    }

    /// Collects the endpoints that neither the last full list nor a change after it named.
    fn collect_removals(&mut self) {
        let removed =
            self.endpoints.iter().filter(|(_, record)| !record.unlisted && record.last_listed != self.lists);
        self.pending_removals = removed.map(|(id, _)| *id).collect();
    }

    /// Removes an endpoint, unless a change has named it since it was collected.
    fn remove_endpoint(&mut self, endpoint: EndpointId) -> Option<EndpointEntry> {
        let record = self.endpoints.get_mut(&endpoint).filter(|record| record.last_listed != self.lists)?;
        record.unlisted = true;
        record.transport.iter().for_each(|transport| transport.set_accepting(endpoint, false));
        self.retired_names.insert(&record.name);
        self.unlisted.insert(endpoint);
        self.changed.insert(record.destination);
        let destination = DestinationId(record.destination);
        Some(EndpointEntry {
            endpoint,
            destination,
            zone: u16::MAX,
            kind: record.kind,
            weight: 0.0,
            listing: Listing::Gone,
        })
    }

    /// Applies one entry of a list; appends the entries for the decision module.
    fn apply_entry(&mut self, listing: &Listed, entries: &mut Vec<EndpointEntry>) {
        let position = |names: &[String], name: &str| names.iter().position(|n| n == name);
        let zone = position(&self.names.zones, &listing.zone).map_or(u16::MAX, |zone| zone as u16);
        let kind = position(&self.names.kinds, &listing.kind).unwrap_or(usize::MAX);
        let mut endpoint = self.id_of(&listing.name);
        let before = self.endpoints.get(&endpoint).filter(|record| record.destination != listing.group);
        let mut entry = |endpoint, group, listing| {
            let destination = DestinationId(group);
            entries.push(EndpointEntry { endpoint, destination, zone, kind, weight: 0.0, listing });
        };
        if let Some(group) = before.map(|record| record.destination) {
            // A name that moves to another destination is treated as another endpoint, with another id.
            entry(endpoint, group, Listing::Gone);
            if let Some(record) = self.endpoints.get_mut(&endpoint) {
                record.unlisted = true;
                record.transport.iter().for_each(|transport| transport.set_accepting(endpoint, false));
                self.unlisted.insert(endpoint);
            }
            self.changed.insert(group);
            self.ids.remove(&listing.name);
            endpoint = self.id_of(&listing.name);
        }
        let listed = match listing.status.as_str() {
            "active" => Listing::Ready,
            "left" => Listing::Gone,
            _ => Listing::Draining,
        };
        // Only an operator reinstates an ejected endpoint, even if the list has it as active.
        let ejected = listed == Listing::Ready && self.ejections.contains(&listing.name);
        let state = if ejected { Listing::Draining } else { listed };
        entry(endpoint, listing.group, state);
        self.destinations.insert(listing.group);
        let weight = if listing.weight.is_finite() { listing.weight.max(0.0) } else { 0.0 };
        if let Some(entry) = entries.last_mut() {
            entry.weight = weight;
        }
        let batch_limit = self.kinds.get(kind).map_or(1, |kind| kind.max_batch);
        let removed = state == Listing::Gone;
        let hash = crc32fast::hash(listing.address.as_bytes());
        if removed {
            self.retired_names.insert(&listing.name);
            self.unlisted.insert(endpoint)
        } else {
            self.unlisted.remove(&endpoint)
        };
        let transport = self
            .transports
            .iter()
            .find(|transport| transport.set_address(endpoint, &listing.address))
            .cloned();
        let keeps = |other: &&Rc<dyn Transport>| transport.as_ref().is_some_and(|c| Rc::ptr_eq(c, other));
        // If another transport called the endpoint at its former address, that one forgets it.
        self.transports.iter().filter(|other| !keeps(other)).for_each(|other| other.forget(endpoint));
        if let Some(transport) = &transport {
            transport.set_accepting(endpoint, state == Listing::Ready);
            if state != Listing::Ready {
                transport.close_idle(endpoint);
            }
        }
        let (name, group, list_number) = (listing.name.as_str().into(), listing.group, self.lists);
        let listing = listed;
        let record = EndpointRecord {
            name,
            destination: group,
            kind,
            transport,
            max_batch: batch_limit,
            listing,
            zone,
            weight,
            address_hash: hash,
            unlisted: removed,
            last_listed: list_number,
        };
        let same = |before: &EndpointRecord| {
            let compared = |k: &EndpointRecord| {
                (k.kind, k.listing, k.zone, k.weight.to_bits(), k.address_hash, k.unlisted)
            };
            compared(before) == compared(&record)
        };
        if !self.endpoints.get(&endpoint).is_some_and(same) {
            self.changed.insert(group);
        }
        self.endpoints.insert(endpoint, record);
    }

    /// Forgets unlisted endpoints and names to which none of these attempts refers, and closes idle connections to the
    /// unlisted endpoints that remain.
    fn prune<'a, I: Iterator<Item = &'a str>>(&mut self, attempts: impl FnOnce() -> I) {
        if self.unlisted.is_empty() && self.attempt_only_names.is_empty() {
            return;
        }
        let referred: HashSet<&str> = attempts().collect();
        let (endpoints, ids) = (&mut self.endpoints, &mut self.ids);
        self.unlisted.retain(|id| {
            let Some(record) = endpoints.get(id) else { return false };
            let keep = referred.contains(&*record.name);
            if let Some(transport) = &record.transport {
                if keep { transport.close_idle(*id) } else { transport.forget(*id) }
            }
            if !keep {
                // By now its name may have been given to another endpoint.
                if ids.get(&*record.name) == Some(id) {
                    ids.remove(&*record.name);
                }
                endpoints.remove(id);
            }
            keep
        });
        self.attempt_only_names.retain(|name| {
            let listed = ids.get(name).is_none_or(|id| endpoints.contains_key(id));
            let keep = !listed && referred.contains(name.as_str());
            if !listed && !keep {
                ids.remove(name);
            }
            keep
        });
    }
}

#[cfg(test)]
mod tests;
