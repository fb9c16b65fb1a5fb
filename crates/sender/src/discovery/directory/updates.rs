//! Applies endpoint lists to the directory, at once or in slices.

use std::collections::HashSet;
use std::rc::Rc;
use std::sync::Arc;

use decision::interface::{DestinationId, EndpointEntry, EndpointId, Event, Listing};

use super::{Directory, EndpointRecord};
use crate::discovery::endpoint_list::{EndpointList, EndpointListing as Listed};
use crate::ports::Transport;

/// Entries of a long list that are applied in one iteration, which bounds the time that a list delays the event loop.
pub const SLICE_ENTRIES: usize = 1_000;
/// Maximum number of entries that wait to be applied: over twice the possible number of destinations.
pub(super) const MAX_PENDING_ENTRIES: usize = 200_000;

/// A list that is applied in slices. All shards share one list, and each applies it for itself.
pub(super) struct PendingList {
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
