//! Updates that are still to be disseminated, the most urgent first.

use std::collections::VecDeque;

use crate::evidence::Evidence;

/// Evidence that is still to be sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Update {
    pub(crate) destination: u16,
    pub(crate) evidence: Evidence,
    /// Number of rounds in which it is still to be sent.
    pub(crate) remaining_rounds: u8,
}

/// Pending updates, ordered by [`urgency`].
#[derive(Clone, Debug, Default)]
pub(crate) struct Outbox {
    pub(crate) updates: VecDeque<Update>,
}

impl Outbox {
    /// Maximum number of queued updates; beyond it the least urgent are dropped.
    const CAPACITY: usize = 256;

    /// Queues an update and removes those that it supersedes.
    pub(crate) fn push(&mut self, destination: u16, evidence: Evidence, remaining_rounds: u8) {
        let superseded =
            |update: &Update| update.destination == destination && supersedes(&evidence, &update.evidence);
        self.updates.retain(|update| !superseded(update));
        self.updates.push_back(Update { destination, evidence, remaining_rounds });
        self.updates.make_contiguous().sort_by_key(|update| urgency(&update.evidence));
        self.updates.truncate(Self::CAPACITY);
    }
}

/// Returns the position in the order of dissemination: outages and Retry-After first, then clearances, then limits.
pub(crate) fn urgency(evidence: &Evidence) -> u8 {
    match evidence {
        Evidence::Failure(..) | Evidence::Wait(_) => 0,
        Evidence::Cleared(..) => 1,
        Evidence::Limit(_) => 2,
    }
}

/// Returns whether new evidence makes older evidence on the same destination redundant.
fn supersedes(new: &Evidence, old: &Evidence) -> bool {
    match (new, old) {
        (Evidence::Failure(a, new), Evidence::Failure(b, old)) => a == b && new.number >= old.number,
        (Evidence::Cleared(a, new, _), Evidence::Cleared(b, old, _)) => a == b && new >= old,
        (Evidence::Cleared(a, new, _), Evidence::Failure(b, old)) => a == b && *new >= old.number,
        (Evidence::Limit(_), Evidence::Limit(_)) => true,
        (Evidence::Wait(new), Evidence::Wait(old)) => new >= old,
        _ => false,
    }
}
