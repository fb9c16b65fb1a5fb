//! One sender's state of the gossip protocol: what it has observed, received, and still has to publish.

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

/// Time from the last update until pings cease.
const ACTIVE_SPAN: Micros = 10_000_000;
/// Time between two pings while there are updates.
const PING_INTERVAL: Micros = 500_000;
/// Number of peers that updates are sent to if they can't be broadcast.
const FAN_OUT: usize = 3;
/// Rounds in which a member's state is forwarded.
const FORWARDED_MEMBER_ROUNDS: u8 = 2;
/// Rounds, in addition to those of evidence, in which a member's state that this sender itself detected is published.
const EXTRA_MEMBER_ROUNDS: u8 = 2;
/// Number of requests for all evidence that a new process sends.
const SYNC_REQUESTS: u8 = 2;
/// Makes this package's random draws differ from those of other generators with the caller's seed.
const SEED_SALT: u64 = 0x5AED;

/// A failure that this sender has evidence of.
#[derive(Clone, Copy, Debug)]
struct SeenFailure {
    /// When this sender first had the evidence: a call that starts later and succeeds outranks it.
    since: Micros,
    origin: MemberIndex,
    number: Number,
}

/// Local state of a destination, beyond the evidence that is shared.
#[derive(Clone, Debug, Default)]
struct LocalState {
    seen_failures: Vec<SeenFailure>,
    /// The limit that a load report to this sender last stated.
    reported_limit: Option<f32>,
    limit_published_at: Micros,
    clearance_published_at: Micros,
    /// When this sender last requested units, and the units that it does not need itself.
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

/// A ping that is sent on behalf of another member.
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

/// One sender's state of the gossip protocol.
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
    /// Peers are pinged until then.
    active_until: Micros,
    ping_at: Micros,
    /// Parts that are to be sent to single peers next.
    ready: Vec<Addressed>,
    /// Keyed by the number under which this sender pings the target.
    relayed_pings: BTreeMap<PingNumber, RelayedPing>,
    /// Member states that are published along with the next pings.
    member_updates: Vec<PendingMemberUpdate>,
    remaining_sync_requests: u8,
    traffic: Traffic,
}

impl Gossip {
    /// Creates the state of a process that starts now.
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

    /// Refills the byte budget for a client's message that was accepted.
    pub fn message_accepted(&mut self) {
        self.tokens.refill(self.config.byte_budget.per_message);
    }

    /// Handles a message of a peer.
    ///
    /// # Errors
    /// Fails if the message is rejected; it is then counted and has no other effect.
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
            return Err(Rejected::UnknownSender);
        }
        let message = Message::read(bytes)?;
        let delay = match self.delays.record(from, message.incarnation, message.sent_ms, now) {
            Delay::Stale => return Err(Rejected::Stale),
            Delay::Excess(delay) => delay,
            Delay::Unknown => 0,
        };
        let parts = message.parts(now, delay)?;
        match self.membership.message_received(from, message.incarnation, now) {
            SenderStatus::AsBelieved => {}
            SenderStatus::Back => self.activate(now),
            // A new process without its last incarnation: its evidence would be outranked by that of the previous process.
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

    /// Returns whether state of a destination may be retained.
    fn has_capacity_for(&self, destination: u16) -> bool {
        self.local.len() < MAX_DESTINATIONS || self.local.contains_key(&destination)
    }

    /// Returns the rounds in which evidence is published: one if it is broadcast, else enough to reach all with a margin.
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

    /// Starts or prolongs the time in which peers are pinged, because there is an update.
    fn activate(&mut self, now: Micros) {
        if self.active_until <= now {
            self.ping_at = now + self.rng.u64(0..PING_INTERVAL);
        }
        self.active_until = now + ACTIVE_SPAN;
    }

    /// Returns the destinations whose belief differs from the one returned last, with the current one.
    pub fn take_changes(&mut self, now: Micros) -> Vec<(u16, Belief)> {
        self.evidence.take_changes(now)
    }

    /// Returns the belief about a destination.
    pub fn belief(&self, destination: u16, now: Micros) -> Belief {
        self.evidence.belief(destination, now)
    }

    /// Estimates the fleet's traffic at a destination.
    pub fn estimate(&mut self, destination: u16, now: Micros) -> Estimate {
        let present = self.membership.present();
        self.counts.estimate(destination, present, now)
    }

    /// Returns whether this sender receives nothing, so that it is probably cut off itself.
    pub fn is_isolated(&self, now: Micros) -> bool {
        self.membership.is_isolated(now)
    }

    /// Returns the members of the fleet.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Returns the transfers of quota.
    pub fn escrow(&self) -> &QuotaEscrow {
        &self.escrow
    }
}
