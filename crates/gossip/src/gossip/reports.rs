//! State of the gossip protocol as operators inspect it.

use std::collections::BTreeSet;

use super::Gossip;
use crate::Micros;
use crate::evidence::{Belief, Evidence};

/// The gossip state of one destination.
#[derive(Clone, Debug, PartialEq)]
pub struct DestinationReport {
    /// The destination.
    pub destination: u16,
    /// The belief about it.
    pub belief: Belief,
    /// The evidence that the belief follows from.
    pub evidence: Vec<Evidence>,
    /// Units of its quota that this sender may use.
    pub usable_units: u32,
    /// Usable units that were received from other senders.
    pub received_units: u32,
    /// Units that are granted to other senders.
    pub granted_units: u32,
}

/// Totals since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Bytes sent to peers; a broadcast counts once for each peer.
    pub sent_bytes: u64,
    /// Messages from peers that were rejected.
    pub rejected_messages: u64,
}

impl Gossip {
    /// Returns the bytes sent and the messages rejected since the process started.
    pub fn traffic(&self) -> Traffic {
        self.traffic
    }

    /// Returns all destinations that there is evidence on, or whose quota is transferred.
    pub fn inspect(&self, now: Micros) -> Vec<DestinationReport> {
        let with_evidence = self.evidence.sets.keys().copied();
        let destinations: BTreeSet<u16> = with_evidence.chain(self.escrow.destinations(now)).collect();
        destinations.into_iter().map(|destination| self.inspect_destination(destination, now)).collect()
    }

    fn inspect_destination(&self, destination: u16, now: Micros) -> DestinationReport {
        let transferred = self.escrow.transferred(destination, now);
        let evidence = self.evidence.sets.get(&destination);
        DestinationReport {
            destination,
            belief: self.belief(destination, now),
            evidence: evidence.map_or(vec![], |set| set.items().collect()),
            usable_units: self.escrow.usable_units(destination, now),
            received_units: transferred.received,
            granted_units: transferred.granted,
        }
    }
}
