//! Evidence from this sender's own calls.

use super::{Gossip, SeenFailure};
use crate::counts::Count;
use crate::evidence::{self, Evidence, Failure, FailureKind, Limit};
use crate::{MemberIndex, Micros};

/// Minimum time between two clearances of one destination, and between two limits of it, that this sender publishes.
const PUBLISH_INTERVAL: Micros = 1_000_000;
/// A limit is an update if it differs from the believed one by more than this share of that.
const LIMIT_CHANGE: f32 = 0.2;

/// The outcome of a call of this sender.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Observation {
    /// It succeeded; holds when it started.
    Success(Micros),
    /// It failed; holds the number of consecutive failures, including this one.
    Failure(FailureKind, u32),
    /// It was rejected at a limit, which is no evidence of an outage.
    Rejected,
}

impl Gossip {
    /// Records a completed call of this sender.
    pub fn observe(&mut self, destination: u16, outcome: Observation, now: Micros) {
        let rejected = u32::from(outcome == Observation::Rejected);
        let failed = u32::from(matches!(outcome, Observation::Failure(..)));
        self.counts.record(destination, Count { calls: 1, rejected, failed, ..Count::default() }, now);
        match outcome {
            Observation::Success(started) => self.observe_success(destination, started, now),
            Observation::Failure(kind, calls) => self.observe_failure(destination, kind, calls, now),
            Observation::Rejected => {}
        }
    }

    fn observe_success(&mut self, destination: u16, started: Micros, now: Micros) {
        let Some(set) = self.evidence.sets.get(&destination) else { return };
        let Some(local) = self.local.get_mut(&destination) else { return };
        // The success outranks failures that this sender had evidence of when the call started, independently of clocks.
        let outranked: Vec<_> = local
            .seen_failures
            .iter()
            .filter(|seen| seen.since <= started)
            .map(|seen| (seen.origin, seen.number))
            .collect();
        if !set.would_clear(&outranked, now) || now < local.clearance_published_at + PUBLISH_INTERVAL {
            return;
        }
        let was_unhealthy = set.belief(now).unhealthy.is_some();
        local.clearance_published_at = now;
        local.seen_failures.retain(|seen| seen.since > started);
        for (origin, number) in outranked {
            let clearance = Evidence::Cleared(origin, number, now);
            self.evidence.join(destination, clearance);
            // Failures that did not add up to an outage expire without a clearance: nothing has to be published.
            if was_unhealthy {
                self.publish_evidence(destination, clearance);
            }
        }
        self.activate(now);
    }

    fn observe_failure(&mut self, destination: u16, kind: FailureKind, calls: u32, now: Micros) {
        if !self.has_capacity_for(destination) {
            return;
        }
        let before = self.evidence.belief(destination, now);
        // An outage that is already believed needs no further evidence, unless its evidence expires soon.
        let expiring_after = evidence::SINGLE_FAILURE_EXPIRY / 2;
        if before.unhealthy.is_some_and(|outage| now < outage.at + expiring_after) {
            return;
        }
        let number = self.next_number();
        let origin: MemberIndex = self.config.member;
        let calls = calls.clamp(1, u8::MAX.into()) as u8;
        let failure = Evidence::Failure(origin, Failure { number, at: now, kind, calls });
        self.evidence.join(destination, failure);
        let local = self.local.entry(destination).or_default();
        local.seen_failures.retain(|seen| seen.origin != origin);
        local.seen_failures.push(SeenFailure { since: now, origin, number });
        self.publish_evidence(destination, failure);
        self.activate(now);
    }

    /// Returns the number for new evidence of this sender.
    fn next_number(&mut self) -> evidence::Number {
        self.sequence += 1;
        evidence::number(self.membership.incarnation(), self.sequence)
    }

    /// Records a limit from a load report, in calls per second.
    pub fn observe_limit(&mut self, destination: u16, rate: f32, now: Micros) {
        if !(rate.is_finite() && rate > 0.0 && self.has_capacity_for(destination)) {
            return;
        }
        let believed = self.evidence.sets.get(&destination).and_then(|set| set.belief(now).limit);
        let local = self.local.entry(destination).or_default();
        let is_first = local.reported_limit.is_none();
        local.reported_limit = Some(rate);
        let differs = |before: f32| (rate - before).abs() > LIMIT_CHANGE * before;
        // The first report mostly repeats what the endpoint list's weight implies, so it is not published.
        let is_update = believed.map_or(!is_first, |believed| differs(believed.rate));
        if believed.is_some() && !is_update || now < local.limit_published_at + PUBLISH_INTERVAL {
            return;
        }
        local.limit_published_at = now;
        let number = self.next_number();
        let limit = Evidence::Limit(Limit { origin: self.config.member, number, at: now, rate });
        self.evidence.join(destination, limit);
        if is_update {
            self.publish_evidence(destination, limit);
            self.activate(now);
        }
    }

    /// Records a Retry-After that a destination sent to this sender and that ends at `until`.
    pub fn observe_wait(&mut self, destination: u16, until: Micros, now: Micros) {
        let wait = Evidence::Wait(until);
        if self.has_capacity_for(destination) && self.evidence.join(destination, wait) {
            self.publish_evidence(destination, wait);
            self.activate(now);
        }
    }

    /// Counts a retry.
    pub fn count_retry(&mut self, destination: u16, now: Micros) {
        self.counts.record(destination, Count { retries: 1, ..Count::default() }, now);
    }
}
