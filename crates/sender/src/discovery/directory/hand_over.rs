//! The directory's part of a hand-over's state.

use std::rc::Rc;

use decision::interface::{EndpointId, Listing};

use super::{Directory, EndpointRecord};
use crate::ports::Transport;

impl Directory {
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
}
