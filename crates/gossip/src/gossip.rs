//! One sender's part in the gossip: what it observed, what it received, and what it publishes when.

mod anti_entropy;
mod observation;
mod publishing;
mod quota;
mod reports;

use std::collections::BTreeMap;

use crate::counts::{Counts, Estimate};
use crate::delay::{Delay, DelayEstimator};
use crate::escrow::QuotaEscrow;
use crate::evidence::{Belief, Evidence, Number};
use crate::evidence_table::{EvidenceTable, MAX_DESTINATIONS};
use crate::membership::{MemberUpdate, Membership, PingNumber, SenderStatus, State};
use crate::message::{Message, Part, Rejected};
use crate::outbox::Outbox;
use crate::token_bucket::TokenBucket;
use crate::{Config, MemberIndex, Micros};

pub use observation::Observation;
pub use publishing::OutgoingMessage;
pub use reports::{DestinationReport, Traffic};

/// From the last update until pings cease.
const ACTIVE_SPAN: Micros = 10_000_000;
/// Between two pings while there are updates.
const PING_INTERVAL: Micros = 500_000;
/// Peers that updates go to where they can't be broadcast.
const FAN_OUT: usize = 3;
/// Rounds in which a state of a member is forwarded.
const FORWARDED_MEMBER_ROUNDS: u8 = 2;
/// Rounds beyond those of evidence in which a state that this sender itself found is published.
const EXTRA_MEMBER_ROUNDS: u8 = 2;
/// Requests for all evidence that a new process sends.
const SYNC_REQUESTS: u8 = 2;
/// Distinguishes the generator of this package from others with the caller's seed.
const SEED_SALT: u64 = 0x5AED;

/// A failure that this sender has evidence of.
#[derive(Clone, Copy, Debug)]
struct SeenFailure {
    /// Since when: a call that starts later and succeeds outranks it.
    since: Micros,
    origin: MemberIndex,
    number: Number,
}

/// What this sender itself has of a destination, beyond the evidence that it shares.
#[derive(Clone, Debug, Default)]
struct LocalState {
    seen_failures: Vec<SeenFailure>,
    /// The limit that was reported to this sender last.
    reported_limit: Option<f32>,
    limit_published_at: Micros,
    clearance_published_at: Micros,
    /// When it last requested units, and what it does not need of its own.
    quota_requested_at: Option<Micros>,
    spare_units: u32,
    spare_at: Micros,
}

/// Parts for one peer.
#[derive(Clone, Debug)]
struct Addressed {
    to: MemberIndex,
    parts: Vec<Part>,
}

/// A ping that is sent for another member.
#[derive(Clone, Copy, Debug)]
struct RelayedPing {
    requester: MemberIndex,
    /// The number of the requester's ping.
    number: PingNumber,
}

/// A member's state that is still to be published.
#[derive(Clone, Copy, Debug)]
struct PendingMemberUpdate {
    update: MemberUpdate,
    remaining_rounds: u8,
}

/// One sender's part in the gossip.
#[derive(Clone, Debug)]
pub struct Gossip {
    config: Config,
    rng: fastrand::Rng,
    membership: Membership,
    delays: DelayEstimator,
    evidence: EvidenceTable,
    local: BTreeMap<u16, LocalState>,
    escrow: QuotaEscrow,
    counts: Counts,
    outbox: Outbox,
    tokens: TokenBucket,
    /// Numbers this sender's evidence within its incarnation.
    sequence: u32,
    /// Until when peers are pinged.
    active_until: Micros,
    ping_at: Micros,
    /// What is to be sent to single peers next.
    ready: Vec<Addressed>,
    /// By this sender's own numbers.
    relayed_pings: BTreeMap<PingNumber, RelayedPing>,
    /// Published along with the next pings.
    member_updates: Vec<PendingMemberUpdate>,
    remaining_sync_requests: u8,
    traffic: Traffic,
}

impl Gossip {
    /// Of a process that starts now.
    pub fn new(config: Config, seed: u64, now: Micros) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed ^ SEED_SALT);
        let first_request = rng.u32(..);
        Self {
            membership: Membership::new(config.member, config.senders, config.incarnation, now),
            delays: DelayEstimator::default(),
            evidence: EvidenceTable::default(),
            local: BTreeMap::new(),
            escrow: QuotaEscrow::new(now, first_request),
            counts: Counts::default(),
            outbox: Outbox::default(),
            tokens: TokenBucket::new(&config, now),
            sequence: 0,
            active_until: 0,
            ping_at: now,
            ready: Vec::new(),
            relayed_pings: BTreeMap::new(),
            member_updates: Vec::new(),
            remaining_sync_requests: SYNC_REQUESTS,
            traffic: Traffic::default(),
            rng,
            config,
        }
    }

    /// A client's message was accepted, which refills the byte budget.
    pub fn message_accepted(&mut self) {
        self.tokens.refill(self.config.byte_budget.per_message);
    }

    /// Handles a message of a peer.
    ///
    /// # Errors
    /// Fails where the message is rejected; it then has no effect but to be counted.
    pub fn receive(&mut self, from: MemberIndex, bytes: &[u8], now: Micros) -> Result<(), Rejected> {
        let received = self.decode(from, bytes, now);
        self.traffic.rejected_messages += u64::from(received.is_err());
        for part in received? {
            self.handle(from, part, now);
        }
        Ok(())
    }

    fn decode(&mut self, from: MemberIndex, bytes: &[u8], now: Micros) -> Result<Vec<Part>, Rejected> {
        if from == self.config.member || from >= self.config.senders {
            return Err(Rejected::Unknown);
        }
        let message = Message::read(bytes)?;
        let delay = match self.delays.record(from, message.incarnation, message.sent_ms, now) {
            Delay::Stale => return Err(Rejected::Stale),
            Delay::Beyond(delay) => delay,
            Delay::Unknown => 0,
        };
        let parts = message.parts(now, delay)?;
        match self.membership.message_received(from, message.incarnation, now) {
            SenderStatus::AsBelieved => {}
            SenderStatus::Back => self.activate(now),
            // A new process that lost its incarnation: its evidence would rank below that of its predecessor.
            SenderStatus::Behind => {
                let incarnation = self.membership.incarnation_of(from);
                let update = MemberUpdate { member: from, incarnation, state: State::Gone };
                self.ready.push(Addressed { to: from, parts: vec![Part::Member(update)] });
            }
        }
        Ok(parts)
    }

    fn handle(&mut self, from: MemberIndex, part: Part, now: Micros) {
        match part {
            Part::Evidence(destination, evidence) => self.evidence_received(destination, evidence, now),
            Part::Ping { number, digest } => self.ping_received(from, number, digest, now),
            Part::Ack { number, digest } => self.ack_received(from, number, digest, now),
            Part::PingRequest { target, number } => self.ping_request_received(from, target, number, now),
            Part::Member(update) => self.member_update_received(update, now),
            Part::QuotaRequest { destination, request, units } => {
                self.quota_request_received(from, destination, request, units, now);
            }
            Part::QuotaGrant { request, units } => {
                self.escrow.grant_received(from, request, units, now);
            }
            Part::Counts(destination, count) => self.counts.received(from, destination, count, 0, now),
            Part::SyncRequest => self.sync_request_received(from, now),
        }
    }

    /// Whether state of a destination may be retained.
    fn has_capacity_for(&self, destination: u16) -> bool {
        self.local.len() < MAX_DESTINATIONS || self.local.contains_key(&destination)
    }

    /// Rounds in which evidence is published where it can't be broadcast: enough to reach all with a margin.
    fn dissemination_rounds(&self) -> u8 {
        if self.config.broadcast {
            return 1;
        }
        let log2 = u16::BITS - self.config.senders.leading_zeros();
        log2 as u8 / 2 + 1
    }

    /// Queues evidence for publishing.
    fn publish_evidence(&mut self, destination: u16, evidence: Evidence) {
        let rounds = self.dissemination_rounds();
        self.outbox.push(destination, evidence, rounds);
    }

    /// There is an update: peers are pinged for a while.
    fn activate(&mut self, now: Micros) {
        if self.active_until <= now {
            self.ping_at = now + self.rng.u64(0..PING_INTERVAL);
        }
        self.active_until = now + ACTIVE_SPAN;
    }

    /// Destinations whose belief may differ from what was returned last, with what is believed now.
    pub fn take_changes(&mut self, now: Micros) -> Vec<(u16, Belief)> {
        self.evidence.take_changes(now)
    }

    /// What is believed of a destination.
    pub fn belief(&self, destination: u16, now: Micros) -> Belief {
        self.evidence.belief(destination, now)
    }

    /// The fleet's traffic at a destination.
    pub fn estimate(&mut self, destination: u16, now: Micros) -> Estimate {
        let present = self.membership.present();
        self.counts.estimate(destination, present, now)
    }

    /// Whether this sender receives nothing, as far as it can tell.
    pub fn is_isolated(&self, now: Micros) -> bool {
        self.membership.is_isolated(now)
    }

    /// The members of the fleet.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// The transfers of quota.
    pub fn escrow(&self) -> &QuotaEscrow {
        &self.escrow
    }
}
