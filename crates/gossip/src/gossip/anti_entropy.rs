//! Handles evidence and member states from peers, and anti-entropy: a ping and its acknowledgement carry a digest of the
//! beliefs; if the two differ, both sides send their evidence.

use super::{
    Addressed, EXTRA_MEMBER_ROUNDS, FORWARDED_MEMBER_ROUNDS, Gossip, PendingMemberUpdate, RelayedPing,
    SeenFailure,
};
use crate::evidence::{Belief, Evidence};
use crate::evidence_set::MAX_ORIGINS;
use crate::membership::{MemberUpdate, PingNumber, State};
use crate::message::Part;
use crate::outbox::urgency;
use crate::{MemberIndex, Micros};

/// Number of destinations whose counts are published along with a ping or its acknowledgement.
const PUBLISHED_COUNTS: usize = 4;
/// Maximum number of messages in response to a request for all evidence.
const SYNC_MESSAGES: usize = 4;
/// Items of evidence in each of these messages; about 13 fit.
const SYNC_ITEMS: usize = 12;
/// Maximum number of pending pings on behalf of other members.
const MAX_RELAYED_PINGS: usize = 64;
/// Distinguishes the numbers of relayed pings from those of this sender's own pings.
const RELAYED_PING_BIT: PingNumber = 1 << 31;

impl Gossip {
    pub(super) fn evidence_received(&mut self, destination: u16, evidence: Evidence, now: Micros) {
        if self.is_own(evidence) {
            return;
        }
        let before = self.evidence.belief(destination, now);
        if !self.has_capacity_for(destination) || !self.evidence.join(destination, evidence) {
            return;
        }
        self.record_failure(destination, evidence, now);
        let after = self.evidence.belief(destination, now);
        if !is_update(evidence, &before, &after) {
            return;
        }
        if !self.config.broadcast {
            self.publish_evidence(destination, evidence);
        }
        self.activate(now);
    }

    /// Returns whether evidence is a failure that this sender published, in this incarnation or a higher one.
    fn is_own(&self, evidence: Evidence) -> bool {
        let incarnation = u64::from(self.membership.incarnation());
        matches!(evidence, Evidence::Failure(origin, failure)
            if origin == self.config.member && failure.number >> 32 >= incarnation)
    }

    /// Records when a failure became known here; the latest of each origin.
    fn record_failure(&mut self, destination: u16, evidence: Evidence, now: Micros) {
        let local = self.local.entry(destination).or_default();
        if let Evidence::Failure(origin, failure) = evidence {
            local.seen_failures.retain(|seen| seen.origin != origin);
            local.seen_failures.push(SeenFailure { since: now, origin, number: failure.number });
            if local.seen_failures.len() > MAX_ORIGINS + 1 {
                local.seen_failures.remove(0);
            }
        }
    }

    pub(super) fn ping_received(&mut self, from: MemberIndex, number: PingNumber, digest: u32, now: Micros) {
        let own_digest = self.evidence.digest(now);
        let mut parts = vec![Part::Ack { number, digest: own_digest }];
        if digest != own_digest {
            parts.extend(self.evidence_by_urgency(now));
            self.activate(now);
        }
        parts.extend(self.counts_to_publish(now));
        self.ready.push(Addressed { to: from, parts });
    }

    pub(super) fn ack_received(&mut self, from: MemberIndex, number: PingNumber, digest: u32, now: Micros) {
        let own_digest = self.evidence.digest(now);
        if let Some(RelayedPing { requester, number }) = self.relayed_pings.remove(&number) {
            let ack = Part::Ack { number, digest: own_digest };
            self.ready.push(Addressed { to: requester, parts: vec![ack] });
            return;
        }
        if self.membership.ack_received(number, now) && digest != own_digest {
            self.send_evidence(from, 1, now);
        }
    }

    /// Pings the target on behalf of the requester, under a new number.
    pub(super) fn ping_request_received(
        &mut self,
        requester: MemberIndex,
        target: MemberIndex,
        number: PingNumber,
        now: Micros,
    ) {
        // Bounded, since some pings are never acknowledged.
        if self.relayed_pings.len() >= MAX_RELAYED_PINGS {
            self.relayed_pings.pop_first();
        }
        let own_number = self.rng.u32(..) | RELAYED_PING_BIT;
        self.relayed_pings.insert(own_number, RelayedPing { requester, number });
        let ping = Part::Ping { number: own_number, digest: self.evidence.digest(now) };
        self.ready.push(Addressed { to: target, parts: vec![ping] });
    }

    pub(super) fn member_update_received(&mut self, update: MemberUpdate, now: Micros) {
        if !self.membership.update_received(update, now) {
            return;
        }
        let pending = if update.member == self.config.member {
            let incarnation = self.membership.incarnation();
            let refutation = MemberUpdate { member: update.member, incarnation, state: State::Alive };
            let remaining_rounds = self.dissemination_rounds() + EXTRA_MEMBER_ROUNDS;
            PendingMemberUpdate { update: refutation, remaining_rounds }
        } else {
            PendingMemberUpdate { update, remaining_rounds: FORWARDED_MEMBER_ROUNDS }
        };
        self.member_updates.retain(|other| other.update.member != update.member);
        self.member_updates.push(pending);
        self.activate(now);
    }

    pub(super) fn sync_request_received(&mut self, from: MemberIndex, now: Micros) {
        self.send_evidence(from, SYNC_MESSAGES, now);
    }

    /// Sends the most urgent evidence to one peer, in at most `messages` messages.
    fn send_evidence(&mut self, to: MemberIndex, messages: usize, now: Micros) {
        let parts = self.evidence_by_urgency(now);
        for parts in parts.chunks(SYNC_ITEMS).take(messages) {
            self.ready.push(Addressed { to, parts: parts.to_vec() });
        }
    }

    /// Returns all evidence except ended Retry-Afters, the most urgent and newest first.
    fn evidence_by_urgency(&self, now: Micros) -> Vec<Part> {
        let mut items: Vec<(u8, Micros, Part)> = Vec::new();
        for (destination, set) in &self.evidence.sets {
            for item in set.items() {
                let at = match item {
                    Evidence::Failure(_, failure) => failure.at,
                    Evidence::Cleared(_, _, at) => at,
                    Evidence::Limit(limit) => limit.at,
                    Evidence::Wait(until) if until > now => now,
                    Evidence::Wait(_) => continue,
                };
                let age = now.saturating_sub(at);
                items.push((urgency(&item), age, Part::Evidence(*destination, item)));
            }
        }
        items.sort_by_key(|(urgency, age, _)| (*urgency, *age));
        items.into_iter().map(|(_, _, part)| part).collect()
    }

    /// Returns this sender's counts at its busiest destinations.
    pub(super) fn counts_to_publish(&mut self, now: Micros) -> Vec<Part> {
        let busiest = self.counts.own(now).into_iter().take(PUBLISHED_COUNTS);
        busiest.map(|(destination, count)| Part::Counts(destination, count)).collect()
    }
}

/// Returns whether evidence changed a belief, or may yet add up to an outage; other evidence is not forwarded.
fn is_update(evidence: Evidence, before: &Belief, after: &Belief) -> bool {
    let outage_changed = before.unhealthy.is_some() != after.unhealthy.is_some();
    let limit_changed = before.limit.map(|limit| limit.rate) != after.limit.map(|limit| limit.rate);
    let adds_up = matches!(evidence, Evidence::Failure(..)) && after.unhealthy.is_none();
    outage_changed || limit_changed || adds_up
}
