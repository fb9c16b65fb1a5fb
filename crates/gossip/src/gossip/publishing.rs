//! Selects what is sent to which peers at what time, within the byte budget.

use std::collections::BTreeSet;

use super::{Addressed, EXTRA_MEMBER_ROUNDS, FAN_OUT, Gossip, PING_INTERVAL, PendingMemberUpdate};
use crate::membership::{MemberUpdate, Ping, PingNumber, State};
use crate::message::{Part, Writer};
use crate::{MAX_MESSAGE_BYTES, MemberIndex, Micros};

/// Pending parts and updates are sent within this time.
const SEND_DELAY: Micros = 1_000;
/// Maximum number of random draws for each peer that is to be picked.
const DRAWS_PER_PEER: usize = 4;

/// An encoded message that is to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingMessage {
    /// The peer that it is sent to; `None` for all peers.
    pub to: Option<MemberIndex>,
    /// Its bytes.
    pub content: Vec<u8>,
}

/// A message with as many of the most urgent updates as fit.
struct UpdateMessage {
    content: Vec<u8>,
    /// Number of updates that it holds; 1 if the first has expired, which is then dropped.
    updates: usize,
    is_empty: bool,
}

impl Gossip {
    /// Returns the messages that are to be sent now.
    pub fn publish(&mut self, now: Micros) -> Vec<OutgoingMessage> {
        self.tokens.refill_until(now);
        self.request_sync();
        self.check_members(now);
        let mut messages = Vec::new();
        for Addressed { to, parts } in std::mem::take(&mut self.ready) {
            messages.extend(self.encode_for(to, &parts, now));
        }
        self.publish_updates(now, &mut messages);
        messages
    }

    /// Asks a random peer for all evidence, if this process is new.
    fn request_sync(&mut self) {
        if self.remaining_sync_requests == 0 || self.config.senders <= 1 {
            return;
        }
        self.remaining_sync_requests -= 1;
        for to in self.pick_peers(1) {
            self.ready.push(Addressed { to, parts: vec![Part::SyncRequest] });
        }
    }

    /// Handles timeouts of the failure detector, and pings the next member where one is due.
    fn check_members(&mut self, now: Micros) {
        let timeouts = self.membership.check_timeouts(now, &mut self.rng);
        let remaining_rounds = self.dissemination_rounds() + EXTRA_MEMBER_ROUNDS;
        let updates = timeouts.updates.into_iter();
        self.member_updates.extend(updates.map(|update| PendingMemberUpdate { update, remaining_rounds }));
        for ping in timeouts.pings {
            self.send_ping(ping, now);
        }
        if now < self.active_until && now >= self.ping_at {
            self.ping_at = now + PING_INTERVAL;
            if let Some(ping) = self.membership.ping_next(now, &mut self.rng) {
                self.send_ping(ping, now);
            }
        }
    }

    fn send_ping(&mut self, ping: Ping, now: Micros) {
        match ping {
            Ping::Direct(to, number) => self.send_direct_ping(to, number, now),
            Ping::Indirect { via, target, number } => {
                let request = Part::PingRequest { target, number };
                self.ready.push(Addressed { to: via, parts: vec![request] });
            }
        }
    }

    /// Pings a member, with pending member updates and counts piggybacked.
    fn send_direct_ping(&mut self, to: MemberIndex, number: PingNumber, now: Micros) {
        let mut parts = vec![Part::Ping { number, digest: self.evidence.digest(now) }];
        for pending in &mut self.member_updates {
            pending.remaining_rounds = pending.remaining_rounds.saturating_sub(1);
            parts.push(Part::Member(pending.update));
        }
        // The target receives the state that it has here, so that it can refute it.
        let state = self.membership.state(to);
        if state != State::Alive {
            let incarnation = self.membership.incarnation_of(to);
            parts.push(Part::Member(MemberUpdate { member: to, incarnation, state }));
        }
        self.member_updates.retain(|pending| pending.remaining_rounds > 0);
        parts.extend(self.counts_to_publish(now));
        self.ready.push(Addressed { to, parts });
    }

    /// Broadcasts the most urgent updates if the network and the budget allow it, else sends them to a few peers, which
    /// forward them.
    fn publish_updates(&mut self, now: Micros, messages: &mut Vec<OutgoingMessage>) {
        if self.outbox.updates.is_empty() {
            return;
        }
        let UpdateMessage { content, updates, is_empty } = self.encode_updates(now);
        let peers = usize::from(self.config.senders.saturating_sub(1));
        let may_broadcast = self.config.broadcast && peers > FAN_OUT;
        if !is_empty && may_broadcast && self.tokens.try_take(content.len() * peers) {
            self.traffic.sent_bytes += (content.len() * peers) as u64;
            messages.push(OutgoingMessage { to: None, content });
            self.outbox.updates.drain(..updates);
            return;
        }
        // If the budget does not suffice for all peers, anti-entropy disseminates what a few of them receive.
        for to in self.pick_peers(FAN_OUT) {
            if !is_empty && self.tokens.try_take(content.len()) {
                self.traffic.sent_bytes += content.len() as u64;
                messages.push(OutgoingMessage { to: Some(to), content: content.clone() });
            }
        }
        for update in self.outbox.updates.iter_mut().take(updates) {
            update.remaining_rounds = update.remaining_rounds.saturating_sub(1);
        }
        self.outbox.updates.retain(|update| update.remaining_rounds > 0);
    }

    fn encode_updates(&self, now: Micros) -> UpdateMessage {
        let mut writer = Writer::new(self.membership.incarnation(), now);
        let pending = self.outbox.updates.iter();
        let fitting = pending
            .map(|update| Part::Evidence(update.destination, update.evidence))
            .take_while(|part| writer.add(part))
            .count();
        let is_empty = writer.is_empty();
        UpdateMessage { content: writer.finish(), updates: fitting.max(1), is_empty }
    }

    /// Encodes as many of the parts as fit, and as the budget allows.
    fn encode_for(&mut self, to: MemberIndex, parts: &[Part], now: Micros) -> Option<OutgoingMessage> {
        // Failure detection ignores the budget, since a sender that did not respond for lack of tokens would be declared gone.
        // Its traffic is bounded by its interval.
        let is_exempt = |part: &&Part| {
            matches!(part, Part::Ping { .. } | Part::Ack { .. } | Part::PingRequest { .. } | Part::Member(_))
        };
        let has_budget = self.tokens.available() >= MAX_MESSAGE_BYTES as f64;
        let (exempt, budgeted): (Vec<&Part>, Vec<&Part>) = parts.iter().partition(is_exempt);
        let mut writer = Writer::new(self.membership.incarnation(), now);
        for part in exempt.into_iter().chain(budgeted.into_iter().filter(|_| has_budget)) {
            // Parts that do not fit are requested again.
            writer.add(part);
        }
        if writer.is_empty() {
            return None;
        }
        let content = writer.finish();
        self.tokens.overdraw(content.len());
        self.traffic.sent_bytes += content.len() as u64;
        Some(OutgoingMessage { to: Some(to), content })
    }

    /// Returns at most `count` random peers that are not gone.
    pub(super) fn pick_peers(&mut self, count: usize) -> Vec<MemberIndex> {
        let mut picked = BTreeSet::new();
        for _ in 0..DRAWS_PER_PEER * count {
            let member = self.rng.u16(0..self.config.senders.max(1));
            if member != self.config.member && self.membership.state(member) != State::Gone {
                picked.insert(member);
            }
            if picked.len() == count {
                break;
            }
        }
        picked.into_iter().collect()
    }

    /// Returns when there is next something to send, or a belief may change without new evidence.
    pub fn next_due(&self, now: Micros) -> Option<Micros> {
        let ping = (now < self.active_until).then_some(self.ping_at);
        let has_pending = !self.ready.is_empty() || !self.outbox.updates.is_empty();
        let pending = has_pending.then_some(now + SEND_DELAY);
        let beliefs = self.evidence.next_change(now);
        [ping, pending, self.membership.next_due(), beliefs].into_iter().flatten().min()
    }
}
