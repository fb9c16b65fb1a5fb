//! The evidence on one destination, as a join semilattice (a state-based CRDT): joining the same items gives the same state,
//! in any order, any number of times and by any path.
//!
//! - A [`Failure`] is numbered by the sender that observed it. The higher number replaces the lower; of the same number the
//!   earlier time counts, which is that of the shortest path.
//! - A clearance names a sender's evidence up to a number: a call that *started* at a sender that had this evidence succeeded.
//!   Success thus outranks failure by causality rather than by clocks, and a delayed message can't outrank later evidence.
//! - Of limits the newest report counts, of Retry-After the longest.

use std::collections::BTreeMap;

use crate::evidence::{
    Belief, BelievedLimit, EXPIRY, Evidence, Failure, Limit, Number, Outage, SINGLE_FAILURE_EXPIRY,
};
use crate::{MemberIndex, Micros};

/// Maximum number of senders whose failures are retained: as many as an outage takes, and one more.
pub const MAX_ORIGINS: usize = 4;
/// Minimum weight of evidence for a destination to be considered unhealthy; that of a single sender is always less.
pub const OUTAGE_WEIGHT: u32 = 3;

/// Outranks a sender's evidence up to a number.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Clearance {
    number: Number,
    at: Micros,
}

impl Clearance {
    /// Returns the one with the higher number; of the same number with the earlier time.
    fn join(self, other: Self) -> Self {
        match self.number.cmp(&other.number) {
            std::cmp::Ordering::Less => other,
            std::cmp::Ordering::Greater => self,
            std::cmp::Ordering::Equal => Self { number: self.number, at: self.at.min(other.at) },
        }
    }
}

/// A failure that is neither outranked nor expired.
struct Counted<'a> {
    origin: MemberIndex,
    failure: &'a Failure,
    weight: u32,
}

/// The evidence on one destination.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EvidenceSet {
    /// By sender; at most [`MAX_ORIGINS`], the newest.
    failures: BTreeMap<MemberIndex, Failure>,
    /// By sender; at most twice as many, since a clearance may arrive before the evidence that it names.
    clearances: BTreeMap<MemberIndex, Clearance>,
    limit: Option<Limit>,
    /// The end of the longest Retry-After; 0 if there is none.
    wait_until: Micros,
}

impl EvidenceSet {
    /// Joins one item and returns whether the set has changed.
    pub fn join(&mut self, item: Evidence) -> bool {
        match item {
            Evidence::Failure(origin, failure) => self.join_failure(origin, failure),
            Evidence::Cleared(origin, number, at) => self.join_clearance(origin, Clearance { number, at }),
            Evidence::Limit(limit) => {
                let before = self.limit;
                self.limit = Some(before.map_or(limit, |before| before.join(limit)));
                self.limit != before
            }
            Evidence::Wait(until) => {
                let longer = until > self.wait_until;
                self.wait_until = self.wait_until.max(until);
                longer
            }
        }
    }

    fn join_failure(&mut self, origin: MemberIndex, failure: Failure) -> bool {
        let before = self.failures.get(&origin).copied();
        self.failures.insert(origin, before.map_or(failure, |before| before.join(failure)));
        while self.failures.len() > MAX_ORIGINS {
            let oldest = self.failures.iter().min_by_key(|(origin, failure)| (failure.at, **origin));
            let oldest = oldest.map(|(origin, _)| *origin);
            oldest.map(|origin| self.failures.remove(&origin));
        }
        self.failures.get(&origin).copied() != before
    }

    fn join_clearance(&mut self, origin: MemberIndex, clearance: Clearance) -> bool {
        let before = self.clearances.get(&origin).copied();
        self.clearances.insert(origin, before.map_or(clearance, |before| before.join(clearance)));
        while self.clearances.len() > 2 * MAX_ORIGINS {
            let oldest = self.clearances.iter().min_by_key(|(origin, clearance)| (clearance.at, **origin));
            let oldest = oldest.map(|(origin, _)| *origin);
            oldest.map(|origin| self.clearances.remove(&origin));
        }
        self.clearances.get(&origin).copied() != before
    }

    /// Joins all items of another set and returns whether this one has changed.
    pub fn join_all(&mut self, other: &Self) -> bool {
        let items: Vec<_> = other.items().collect();
        items.into_iter().fold(false, |changed, item| self.join(item) | changed)
    }

    /// Returns the items that the set consists of.
    pub fn items(&self) -> impl Iterator<Item = Evidence> + '_ {
        let failures = self.failures.iter().map(|(origin, failure)| Evidence::Failure(*origin, *failure));
        let clearances = self
            .clearances
            .iter()
            .map(|(origin, clearance)| Evidence::Cleared(*origin, clearance.number, clearance.at));
        let wait = (self.wait_until > 0).then_some(Evidence::Wait(self.wait_until));
        failures.chain(clearances).chain(self.limit.map(Evidence::Limit)).chain(wait)
    }

    /// Returns the failures that count: neither outranked nor expired.
    fn counted(&self, now: Micros) -> impl Iterator<Item = Counted<'_>> {
        self.failures.iter().filter_map(move |(origin, failure)| {
            let outranked =
                self.clearances.get(origin).is_some_and(|clearance| clearance.number >= failure.number);
            let weight = failure.weight(now);
            (!outranked && weight > 0).then_some(Counted { origin: *origin, failure, weight })
        })
    }

    /// Returns the belief that follows from the evidence. The evidence of a single sender always weighs less than
    /// [`OUTAGE_WEIGHT`]: a sender whose own network is faulty can't cause an outage that no other sender confirms.
    pub fn belief(&self, now: Micros) -> Belief {
        let weight: u32 = self.counted(now).map(|counted| counted.weight).sum();
        let newest = self
            .counted(now)
            .map(|counted| Outage { at: counted.failure.at, kind: counted.failure.kind })
            .max();
        Belief {
            unhealthy: newest.filter(|_| weight >= OUTAGE_WEIGHT),
            limit: self.limit.map(|limit| BelievedLimit { rate: limit.rate, at: limit.at }),
            wait_until: self.wait_until,
        }
    }

    /// Returns whether clearances up to these numbers would outrank any failure that counts.
    pub fn would_clear(&self, outranked: &[(MemberIndex, Number)], now: Micros) -> bool {
        let covers = |origin: MemberIndex, number: Number| {
            outranked.iter().any(|covered| covered.0 == origin && covered.1 >= number)
        };
        self.counted(now).any(|counted| covers(counted.origin, counted.failure.number))
    }

    /// Drops expired evidence and returns whether the set is empty.
    pub fn expire(&mut self, now: Micros, limit_retention: Micros) -> bool {
        self.failures.retain(|_, failure| now.saturating_sub(failure.at) < EXPIRY);
        // A clearance outlives what it outranks: delayed evidence must not take effect again.
        self.clearances.retain(|_, clearance| now.saturating_sub(clearance.at) < 2 * EXPIRY);
        self.limit = self.limit.filter(|limit| now.saturating_sub(limit.at) < limit_retention);
        if self.wait_until <= now {
            self.wait_until = 0;
        }
        let no_failures = self.failures.is_empty() && self.clearances.is_empty();
        no_failures && self.limit.is_none() && self.wait_until == 0
    }

    /// Returns when the belief may change next without new evidence.
    pub fn next_change(&self, now: Micros) -> Option<Micros> {
        let expiry = |failure: &Failure| if failure.calls > 1 { EXPIRY } else { SINGLE_FAILURE_EXPIRY };
        let expiries = self.failures.values().map(|failure| failure.at + expiry(failure));
        expiries.chain((self.wait_until > 0).then_some(self.wait_until)).filter(|at| *at > now).min()
    }

    /// Returns a checksum of the belief; 0 if there is none. The evidence itself is left out: which items a sender retains, and
    /// with which times, depends on the paths that they took.
    pub fn digest(&self, now: Micros) -> u32 {
        let belief = self.belief(now);
        let limit = belief.limit.map_or(0, |limit| limit.rate.to_bits());
        let flags = u32::from(belief.unhealthy.is_some()) | u32::from(belief.wait_until > now) << 1;
        if flags == 0 && limit == 0 { 0 } else { limit.rotate_left(7) ^ (flags + 1) }
    }
}
