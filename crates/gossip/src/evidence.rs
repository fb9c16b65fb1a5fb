//! Evidence on destinations, as gossip messages carry it, and the beliefs that follow from it. Times are on the local clock:
//! messages carry ages, which the receiver converts to times.

use crate::{MemberIndex, Micros};

/// Numbers the evidence of one sender, with its incarnation in the upper half and a sequence number in the lower. A higher
/// number is newer.
pub type Number = u64;

/// Evidence of a single failure expires after this time, that of consecutive failures after [`EXPIRY`].
pub const SINGLE_FAILURE_EXPIRY: Micros = 3_000_000;
/// All evidence of failures expires after this time, so that an outage that no sender confirms again ends.
pub const EXPIRY: Micros = 10_000_000;

/// Composes the number of an item of evidence from an incarnation and a sequence number.
pub(crate) fn number(incarnation: u32, sequence: u32) -> Number {
    Number::from(incarnation) << 32 | Number::from(sequence)
}

/// How calls to a destination failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FailureKind {
    /// No connection was established, or it was lost.
    Unreachable,
    /// It responded with errors.
    Failing,
    /// It did not respond in time.
    Silent,
    /// It rejected calls although its limit was not exhausted.
    Shut,
}

/// One sender's evidence that a destination is unhealthy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Its number among the evidence of the sender that observed it.
    pub number: Number,
    /// When the last of the calls failed, on the local clock; possibly later than it did, never earlier.
    pub at: Micros,
    /// How they failed.
    pub kind: FailureKind,
    /// Consecutive calls that failed.
    pub calls: u8,
}

impl Failure {
    /// Returns the newer of two failures of the same sender. For the same number the earlier time counts, since it came by the
    /// shorter path.
    pub(crate) fn join(self, other: Self) -> Self {
        match self.number.cmp(&other.number) {
            std::cmp::Ordering::Less => other,
            std::cmp::Ordering::Greater => self,
            std::cmp::Ordering::Equal => Self {
                number: self.number,
                at: self.at.min(other.at),
                kind: self.kind.max(other.kind),
                calls: self.calls.max(other.calls),
            },
        }
    }

    /// Returns its weight as evidence of an outage; 0 once it has expired.
    pub(crate) fn weight(&self, now: Micros) -> u32 {
        let age = now.saturating_sub(self.at);
        match self.calls {
            _ if age >= EXPIRY => 0,
            2.. => 2,
            _ if age < SINGLE_FAILURE_EXPIRY => 1,
            _ => 0,
        }
    }
}

/// A destination's limit, as a load report stated it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// The sender that received the report.
    pub origin: MemberIndex,
    /// The evidence's number at that sender.
    pub number: Number,
    /// When it was reported, on the local clock; possibly later than it was, never earlier.
    pub at: Micros,
    /// Calls per second, of all senders together.
    pub rate: f32,
}

impl Limit {
    /// Returns the newer of two limits; of the same one with the earlier time and the lower rate.
    pub(crate) fn join(self, other: Self) -> Self {
        let same = (self.origin, self.number) == (other.origin, other.number);
        let order = |limit: &Self| (limit.at, limit.origin, limit.number);
        match same {
            true => Self { at: self.at.min(other.at), rate: self.rate.min(other.rate), ..self },
            false if order(&self) >= order(&other) => self,
            false => other,
        }
    }
}

/// An item of evidence: an element of the lattice that [`crate::evidence_set::EvidenceSet`] joins.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Evidence {
    /// A sender observed failures.
    Failure(MemberIndex, Failure),
    /// A sender's evidence up to that number is outranked, as of that time.
    Cleared(MemberIndex, Number, Micros),
    /// A limit.
    Limit(Limit),
    /// A Retry-After that ends at that time.
    Wait(Micros),
}

/// An outage that the evidence shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Outage {
    /// When the newest failure was observed.
    pub at: Micros,
    /// How that call failed.
    pub kind: FailureKind,
}

/// A limit that is believed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BelievedLimit {
    /// Calls per second, of all senders together.
    pub rate: f32,
    /// When it was reported.
    pub at: Micros,
}

/// What a sender believes about a destination at one time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Belief {
    /// Set if the evidence suffices to consider it unhealthy.
    pub unhealthy: Option<Outage>,
    /// Its limit.
    pub limit: Option<BelievedLimit>,
    /// The end of the longest Retry-After.
    pub wait_until: Micros,
}
