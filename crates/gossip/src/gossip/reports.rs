//! What operators are shown of the gossip.

use std::collections::BTreeSet;

use super::Gossip;
use crate::Micros;
use crate::evidence::{Belief, Evidence};

/// What is known of one destination.
#[derive(Clone, Debug, PartialEq)]
pub struct DestinationReport {
    /// The destination.
    pub destination: u16,
    /// What is believed of it.
    pub belief: Belief,
    /// The evidence that the belief follows from.
    pub evidence: Vec<Evidence>,
    /// Units of its quota that this sender may use.
    pub usable_units: u32,
    /// Of them, received from other senders.
    pub received_units: u32,
    /// Units that are granted to other senders.
    pub granted_units: u32,
}

/// Totals since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Bytes that peers were sent; a broadcast counts once for each.
    pub sent_bytes: u64,
    /// Messages of peers that were rejected.
    pub rejected_messages: u64,
}

impl Gossip {
    /// Bytes sent, and messages rejected.
    pub fn traffic(&self) -> Traffic {
        self.traffic
    }

    /// All destinations that there is evidence on, or whose quota is transferred.
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
