//! What an event loop is built from, and what remains of it when it returns.

use std::rc::Rc;
use std::sync::Arc;

use admin::ejections::Ejections;
use admin::figures::OutcomeCounts;
use admin::gate::AdmissionGate;
use decision::interface::Micros;
use decision::policy::Policy;
use handover::HandoverState;
use health_snapshot::restore::RestoredState;
use tokio::sync::watch;

use super::Shard;
use crate::gossip_socket::GossipSocket;
use crate::hand_over::Predecessor;
use crate::hand_over::socket::HandoverLink;
use crate::persistence::class_idempotency::ClassIdempotency;
use crate::persistence::journal::JournalStore;
use crate::persistence::snapshot::SnapshotStore;
use crate::ports::{Clock, Frontend, Transport};
use crate::shards::RemoteShards;

/// What an event loop is built from.
pub struct EventLoopParts {
    /// The time.
    pub clock: Clock,
    /// The accepted messages.
    pub journal: JournalStore,
    /// The state of one of several shards; none where there is one event loop.
    pub shard: Option<Shard>,
    /// Accept messages from clients.
    pub frontends: Vec<Rc<dyn Frontend>>,
    /// Call endpoints; the first that can parse an endpoint's address makes the calls to it.
    pub transports: Vec<Rc<dyn Transport>>,
    /// Gossip with other senders.
    pub gossip_socket: Option<GossipSocket>,
    /// Tells the frontends whether clients are admitted.
    pub gate: watch::Sender<AdmissionGate>,
    /// Endpoints that an operator ejected.
    pub ejections: Ejections,
    /// The frontends accept connections already.
    pub frontends_started: bool,
    /// The state that the predecessor handed over.
    pub predecessor_state: Option<(HandoverState, Policy)>,
    /// The connections that the predecessor still carries.
    pub predecessor: Option<Rc<Predecessor>>,
    /// Endpoints whose destinations sent the predecessor a Retry-After, and until when it binds.
    pub waits: Vec<(String, Micros)>,
    /// Final outcomes so far.
    pub outcome_counts: Option<OutcomeCounts>,
    /// The system's clock was set back since the last process: ages of its attempts are unknown.
    pub clock_set_back: bool,
    /// Writes the health snapshot for the next process.
    pub snapshot_store: Option<SnapshotStore>,
    /// What is restored of the last process's health snapshot.
    pub restored: RestoredState,
    /// The idempotency that binds accepted messages, by class.
    pub class_idempotency: Arc<ClassIdempotency>,
}

/// The first of several shards after a hand-over: it can resume, and it carries what the other shards still have.
pub struct HandedOverShard {
    /// Its state.
    pub shard: Shard,
    /// Its part of the journal, closed.
    pub journal_part: journal::JournalPart,
    /// Clients and calls of the other shards.
    pub remote_shards: Rc<RemoteShards>,
}

/// Why an event loop returned.
pub enum ExitReason {
    /// It was asked to shut down and has nothing left that the next process could not do.
    Finished,
    /// A successor takes over.
    HandOver {
        /// The connection to it.
        successor: HandoverLink,
        /// The state that it goes on with.
        state: Box<HandoverState>,
        /// Final outcomes so far.
        outcome_counts: OutcomeCounts,
        /// The gossip socket, whose address the successor needs.
        gossip_socket: Option<GossipSocket>,
        /// What remains of the first shard, where there are several.
        shard: Option<Box<HandedOverShard>>,
    },
}
