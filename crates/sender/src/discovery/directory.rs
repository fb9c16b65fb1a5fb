//! Endpoints by the names that the list gives them: ids for the decision module, and the transport for each.

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

/// Entries of a long list that are applied in one iteration: bounds the pause that a list causes.
pub const SLICE_ENTRIES: usize = 1_000;
/// Most entries that wait to be applied: over twice what there can be of destinations.
const MAX_PENDING_ENTRIES: usize = 200_000;

/// An endpoint as the list has it.
struct EndpointRecord {
    name: Arc<str>,
    destination: u16,
    kind: usize,
    /// Calls it; none where its address cannot be parsed.
    transport: Option<Rc<dyn Transport>>,
    max_batch: usize,
    /// What the list says of it; an ejected endpoint gets nothing new besides.
    listing: Listing,
    zone: u16,
    weight: f64,
    /// A hash of its address: another number after the endpoint moved.
    address_hash: u32,
    /// No list names it any more.
    unlisted: bool,
    /// The last full list that named it, or change since.
    last_listed: u64,
}

/// The endpoint list as this sender knows it.
pub struct Directory {
    names: Names,
    kinds: Vec<DestinationKind>,
    transports: Vec<Rc<dyn Transport>>,
    endpoints: HashMap<EndpointId, EndpointRecord>,
    /// The id of each name, and how many ids were assigned.
    ids: HashMap<String, EndpointId>,
    ids_assigned: u64,
    /// Destinations that a list has named.
    destinations: BTreeSet<u16>,
    /// Unlisted endpoints that are not forgotten yet, and names that attempts alone refer to.
    unlisted: BTreeSet<EndpointId>,
    attempt_only_names: BTreeSet<String>,
    /// Ejected by an operator, whatever the list says; and names that the list had.
    ejections: Ejections,
    retired_names: RetiredNames,
    /// Full lists so far; the last one may not be applied to its end yet.
    lists: u64,
    full_list_pending: bool,
    /// Lists that wait to be applied, and endpoints that are to be removed.
    pending: VecDeque<PendingList>,
    pending_removals: Vec<EndpointId>,
    /// Destinations whose listing changed since this was last asked.
    changed: BTreeSet<u16>,
}

/// The rest of a list that is applied in slices. All shards share one list, and each applies it for itself.
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

/// More entries wait than are kept: the full list must be fetched.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TooManyPending;

impl Directory {
    /// An empty directory. The first transport that can parse an endpoint's address calls it.
    pub fn new(
        names: Names,
        kinds: Vec<DestinationKind>,
        carriers: Vec<Rc<dyn Transport>>,
        held_out: Ejections,
    ) -> Self {
        Self {
            ejections: held_out,
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

    /// Restores a predecessor's directory.
    pub fn restore(
        &mut self,
        endpoints: Vec<handover::HandoverEndpoint>,
        ids: Vec<(String, EndpointId)>,
        given: u64,
    ) {
        self.ids_assigned = given;
        for known in endpoints {
            let handover::HandoverEndpoint {
                id,
                name,
                address,
                zone,
                kind,
                group,
                listing,
                weight,
                unlisted: gone,
            } = known;
            let place =
                |carrier: &&Rc<dyn Transport>| address.as_ref().is_some_and(|a| carrier.set_address(id, a));
            let carrier = self.transports.iter().find(place).cloned();
            let kind = kind.map_or(usize::MAX, usize::from);
            let bundle = self.kinds.get(kind).map_or(1, |kind| kind.max_batch);
            if gone {
                self.unlisted.insert(id);
            }
            let open = listing == Listing::Ready && !gone && !self.ejections.contains(&name);
            carrier.iter().for_each(|carrier| carrier.set_accepting(id, open));
            self.destinations.insert(group);
            let (name, named) = (name.into(), self.lists);
            let place = crc32fast::hash(address.as_deref().unwrap_or_default().as_bytes());
            let known = EndpointRecord {
                name,
                destination: group,
                kind,
                transport: carrier,
                max_batch: bundle,
                listing,
                zone,
                weight,
                address_hash: place,
                unlisted: gone,
                last_listed: named,
            };
            self.endpoints.insert(id, known);
        }
        let strays = ids.iter().filter(|(_, id)| !self.endpoints.contains_key(id));
        self.attempt_only_names = strays.map(|(name, _)| name.clone()).collect();
        self.ids = ids.into_iter().collect();
    }

    /// The directory for a successor: endpoints, ids by name, and how many ids were assigned.
    pub fn save(&self) -> (Vec<handover::HandoverEndpoint>, Vec<(String, EndpointId)>, u64) {
        let saved = |(id, known): (&EndpointId, &EndpointRecord)| handover::HandoverEndpoint {
            id: *id,
            name: known.name.to_string(),
            address: known.transport.as_ref().and_then(|carrier| carrier.address(*id)),
            zone: known.zone,
            kind: u16::try_from(known.kind).ok(),
            group: known.destination,
            listing: known.listing,
            weight: known.weight,
            unlisted: known.unlisted,
        };
        let ids = self.ids.iter().map(|(name, id)| (name.clone(), *id));
        (self.endpoints.iter().map(saved).collect(), ids.collect(), self.ids_assigned)
    }

    /// The id of an endpoint that is listed.
    pub fn listed_id(&self, name: &str) -> Option<EndpointId> {
        self.ids.get(name).copied().filter(|id| self.endpoints.contains_key(id))
    }

    /// The destination of an endpoint that is known.
    pub fn destination(&self, endpoint: EndpointId) -> Option<u16> {
        self.endpoints.get(&endpoint).map(|known| known.destination)
    }

    /// Destinations of endpoints that are known.
    pub fn destinations(&self) -> impl Iterator<Item = u16> {
        self.endpoints.values().map(|known| known.destination)
    }

    /// Destinations whose listing changed since this was last asked.
    pub fn take_changed(&mut self) -> BTreeSet<u16> {
        std::mem::take(&mut self.changed)
    }

    /// An endpoint as the list has it, whether ejected or not.
    pub fn describe(&self, endpoint: EndpointId) -> Option<health_snapshot::ListedEndpoint> {
        let known = self.endpoints.get(&endpoint)?;
        let text = |names: &[String], at: usize| names.get(at).cloned().unwrap_or_default();
        let address = known.transport.as_ref().and_then(|carrier| carrier.address(endpoint));
        Some(health_snapshot::ListedEndpoint {
            name: known.name.to_string(),
            address: address.unwrap_or_default(),
            zone: text(&self.names.zones, known.zone.into()),
            kind: text(&self.names.kinds, known.kind),
            status: match known.listing {
                _ if known.unlisted => health_snapshot::EndpointStatus::Removed,
                Listing::Ready => health_snapshot::EndpointStatus::Active,
                Listing::Draining => health_snapshot::EndpointStatus::Draining,
                Listing::Gone => health_snapshot::EndpointStatus::Removed,
            },
            weight: known.weight,
        })
    }

    /// Whether a list has named the destination.
    pub fn names_destination(&self, destination: u16) -> bool {
        self.destinations.contains(&destination)
    }

    /// Names of classes, kinds and zones, which positions refer to.
    pub fn names(&self) -> [Vec<String>; 3] {
        [self.names.classes.clone(), self.names.kinds.clone(), self.names.zones.clone()]
    }

    /// The position of a class among the settings'.
    pub fn class(&self, name: &str) -> Option<usize> {
        self.names.classes.iter().position(|class| class == name)
    }

    /// An endpoint's name; nothing for one that is not known any more.
    pub fn name(&self, endpoint: EndpointId) -> Arc<str> {
        self.endpoints.get(&endpoint).map_or_else(|| "".into(), |known| known.name.clone())
    }

    /// Messages that one call to an endpoint carries at most.
    pub fn max_batch(&self, endpoint: EndpointId) -> usize {
        self.endpoints.get(&endpoint).map_or(1, |known| known.max_batch)
    }

    /// All transports.
    pub fn carriers(&self) -> &[Rc<dyn Transport>] {
        &self.transports
    }

    /// The transport that calls an endpoint.
    pub fn transport(&self, endpoint: EndpointId) -> Option<&Rc<dyn Transport>> {
        self.endpoints.get(&endpoint)?.transport.as_ref()
    }

    /// The route of an endpoint: its destination's, or its own where its kind has separate routes.
    pub fn route(&self, endpoint: EndpointId) -> Option<RouteId> {
        let known = self.endpoints.get(&endpoint)?;
        let apart = self.kinds.get(known.kind).is_some_and(|kind| kind.separate_routes);
        Some((DestinationId(known.destination), apart.then_some(endpoint)))
    }

    /// Endpoints in the list.
    pub fn listed_endpoints(&self) -> usize {
        self.endpoints.values().filter(|known| !known.unlisted).count()
    }

    /// The ejected endpoints.
    pub fn held_out(&self) -> &Ejections {
        &self.ejections
    }

    /// The ejections once this endpoint is ejected or reinstated. Nothing changes by it.
    ///
    /// # Errors
    /// Fails when no list has named it, or there are too many.
    pub fn plan_ejection(&self, name: &str, out: bool) -> Result<Ejections, EjectError> {
        let known = self.ids.get(name).is_some_and(|id| self.endpoints.contains_key(id));
        if !known && !self.retired_names.contains(name) && !self.ejections.contains(name) {
            return Err(EjectError::Unknown);
        }
        let mut held_out = self.ejections.clone();
        if out {
            held_out.enter(name)?;
        } else {
            held_out.exit(name);
        }
        Ok(held_out)
    }

    /// Applies ejections; returns the entries that change.
    pub fn apply_ejections(&mut self, held_out: Ejections) -> Event {
        let before = std::mem::replace(&mut self.ejections, held_out);
        let changed =
            |known: &&EndpointRecord| before.contains(&known.name) != self.ejections.contains(&known.name);
        let listed = self.endpoints.iter().filter(|(_, known)| !known.unlisted);
        let changes = listed.filter(|(_, known)| changed(known)).map(|(id, known)| {
            let listing =
                if self.ejections.contains(&known.name) { Listing::Draining } else { known.listing };
            if let Some(carrier) = &known.transport {
                carrier.set_accepting(*id, listing == Listing::Ready);
                if listing == Listing::Draining {
                    carrier.close_idle(*id);
                }
            }
            let destination = DestinationId(known.destination);
            let (zone, kind, weight) = (known.zone, known.kind, known.weight);
            EndpointEntry { endpoint: *id, destination, zone, kind, weight, listing }
        });
        Event::EndpointChanges(changes.collect())
    }

    /// The id of the endpoint that an attempt went to, which no list need have named.
    pub fn id_of_attempt(&mut self, name: &str) -> EndpointId {
        self.attempt_only_names.insert(name.to_owned());
        self.id_of(name)
    }

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

    /// Applies a list, or changes of it, at once. Unlisted endpoints are forgotten, with their connections
    /// and names, unless one of these attempts refers to one: under churn there are ever new ones.
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

    /// Whether a list is to be applied in slices: it is long, removes much, or comes behind one that is.
    pub fn needs_slicing(&self, list: &EndpointList) -> bool {
        let going = if list.snapshot { self.endpoints.len() } else { 0 };
        self.has_pending() || list.endpoints.len().max(going) > SLICE_ENTRIES
    }

    /// Queues a long list to be applied in slices; a full one replaces all that waits.
    ///
    /// # Errors
    /// Fails when too much waits; then nothing does any more, and the full list must be fetched.
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

    /// Whether something waits to be applied.
    pub fn has_pending(&self) -> bool {
        self.full_list_pending || !self.pending.is_empty() || !self.pending_removals.is_empty()
    }

    /// Applies the next slice of what waits, of so many entries. What a full list did not name is removed
    /// once it is at its end.
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

    /// Collects what the last full list did not name, nor a change since.
    fn collect_removals(&mut self) {
        let going =
            self.endpoints.iter().filter(|(_, known)| !known.unlisted && known.last_listed != self.lists);
        self.pending_removals = going.map(|(id, _)| *id).collect();
    }

    /// Removes an endpoint that no list names any more.
    fn remove_endpoint(&mut self, endpoint: EndpointId) -> Option<EndpointEntry> {
        let known = self.endpoints.get_mut(&endpoint).filter(|known| known.last_listed != self.lists)?;
        known.unlisted = true;
        known.transport.iter().for_each(|carrier| carrier.set_accepting(endpoint, false));
        self.retired_names.insert(&known.name);
        self.unlisted.insert(endpoint);
        self.changed.insert(known.destination);
        let destination = DestinationId(known.destination);
        Some(EndpointEntry {
            endpoint,
            destination,
            zone: u16::MAX,
            kind: known.kind,
            weight: 0.0,
            listing: Listing::Gone,
        })
    }

    fn apply_entry(&mut self, listing: &Listed, entries: &mut Vec<EndpointEntry>) {
        let position = |names: &[String], name: &str| names.iter().position(|n| n == name);
        let zone = position(&self.names.zones, &listing.zone).map_or(u16::MAX, |zone| zone as u16);
        let kind = position(&self.names.kinds, &listing.kind).unwrap_or(usize::MAX);
        let mut endpoint = self.id_of(&listing.name);
        let before = self.endpoints.get(&endpoint).filter(|known| known.destination != listing.group);
        let mut entry = |endpoint, group, listing| {
            let destination = DestinationId(group);
            entries.push(EndpointEntry { endpoint, destination, zone, kind, weight: 0.0, listing });
        };
        if let Some(group) = before.map(|known| known.destination) {
            // Guards against a name that moves to another destination: it is another endpoint there.
            entry(endpoint, group, Listing::Gone);
            if let Some(known) = self.endpoints.get_mut(&endpoint) {
                known.unlisted = true;
                known.transport.iter().for_each(|carrier| carrier.set_accepting(endpoint, false));
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
        // Whatever the list says, an ejected endpoint is reinstated by an operator alone.
        let held_out = listed == Listing::Ready && self.ejections.contains(&listing.name);
        let state = if held_out { Listing::Draining } else { listed };
        entry(endpoint, listing.group, state);
        self.destinations.insert(listing.group);
        let weight = if listing.weight.is_finite() { listing.weight.max(0.0) } else { 0.0 };
        if let Some(entry) = entries.last_mut() {
            entry.weight = weight;
        }
        let bundle = self.kinds.get(kind).map_or(1, |kind| kind.max_batch);
        let gone = state == Listing::Gone;
        let place = crc32fast::hash(listing.address.as_bytes());
        if gone {
            self.retired_names.insert(&listing.name);
            self.unlisted.insert(endpoint)
        } else {
            self.unlisted.remove(&endpoint)
        };
        let carrier =
            self.transports.iter().find(|carrier| carrier.set_address(endpoint, &listing.address)).cloned();
        let keeps = |other: &&Rc<dyn Transport>| carrier.as_ref().is_some_and(|c| Rc::ptr_eq(c, other));
        // A transport that called it at its former address forgets it.
        self.transports.iter().filter(|other| !keeps(other)).for_each(|other| other.forget(endpoint));
        if let Some(carrier) = &carrier {
            carrier.set_accepting(endpoint, state == Listing::Ready);
            if state != Listing::Ready {
                carrier.close_idle(endpoint);
            }
        }
        let (name, group, named) = (listing.name.as_str().into(), listing.group, self.lists);
        let listing = listed;
        let known = EndpointRecord {
            name,
            destination: group,
            kind,
            transport: carrier,
            max_batch: bundle,
            listing,
            zone,
            weight,
            address_hash: place,
            unlisted: gone,
            last_listed: named,
        };
        let same = |before: &EndpointRecord| {
            let all = |k: &EndpointRecord| {
                (k.kind, k.listing, k.zone, k.weight.to_bits(), k.address_hash, k.unlisted)
            };
            all(before) == all(&known)
        };
        if !self.endpoints.get(&endpoint).is_some_and(same) {
            self.changed.insert(group);
        }
        self.endpoints.insert(endpoint, known);
    }

    fn prune<'a, I: Iterator<Item = &'a str>>(&mut self, attempts: impl FnOnce() -> I) {
        if self.unlisted.is_empty() && self.attempt_only_names.is_empty() {
            return;
        }
        let referred: HashSet<&str> = attempts().collect();
        let (endpoints, ids) = (&mut self.endpoints, &mut self.ids);
        self.unlisted.retain(|id| {
            let Some(known) = endpoints.get(id) else { return false };
            let keep = referred.contains(&*known.name);
            if let Some(carrier) = &known.transport {
                if keep { carrier.close_idle(*id) } else { carrier.forget(*id) }
            }
            if !keep {
                // Its name may be another endpoint's by now.
                if ids.get(&*known.name) == Some(id) {
                    ids.remove(&*known.name);
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
