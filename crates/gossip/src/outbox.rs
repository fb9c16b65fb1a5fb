//! Updates that are still to be disseminated, the most urgent first.

use std::collections::VecDeque;

use crate::evidence::Evidence;

/// Evidence that is still to be sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Update {
    pub(crate) destination: u16,
    pub(crate) evidence: Evidence,
    /// Rounds of dissemination that are left.
    pub(crate) remaining_rounds: u8,
}

/// Pending updates, ordered by [`urgency`].
#[derive(Clone, Debug, Default)]
pub(crate) struct Outbox {
    pub(crate) updates: VecDeque<Update>,
}

impl Outbox {
    /// Updates that are queued at most; the least urgent are dropped.
    const CAPACITY: usize = 256;

    /// Queues an update in place of those that it supersedes.
    pub(crate) fn push(&mut self, destination: u16, evidence: Evidence, remaining_rounds: u8) {
        let superseded =
            |update: &Update| update.destination == destination && supersedes(&evidence, &update.evidence);
        self.updates.retain(|update| !superseded(update));
        self.updates.push_back(Update { destination, evidence, remaining_rounds });
        self.updates.make_contiguous().sort_by_key(|update| urgency(&update.evidence));
        self.updates.truncate(Self::CAPACITY);
    }
}

/// Order of dissemination, the lower first: outages and Retry-After, then what ends them, then limits.
pub(crate) fn urgency(evidence: &Evidence) -> u8 {
    match evidence {
        Evidence::Failure(..) | Evidence::Wait(_) => 0,
        Evidence::Cleared(..) => 1,
        Evidence::Limit(_) => 2,
    }
}

/// Whether new evidence makes older evidence on the same destination redundant.
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
