//! The inputs of an event loop, and what it returns when it ends.

use std::rc::Rc;
use std::sync::Arc;

use admin::ejections::Ejections;
use admin::gate::AdmissionGate;
use admin::metrics::OutcomeCounts;
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

/// The inputs of an event loop.
pub struct EventLoopParts {
    /// The process's clock.
    pub clock: Clock,
    /// The journal, with the accepted messages.
    pub journal: JournalStore,
    /// The state of this shard, or none if the process has a single event loop.
    pub shard: Option<Shard>,
    /// The frontends, which accept messages from clients.
    pub frontends: Vec<Rc<dyn Frontend>>,
    /// The transports, which call endpoints. An endpoint is called by the first one that can parse its address.
    pub transports: Vec<Rc<dyn Transport>>,
    /// The socket for gossip with other senders.
    pub gossip_socket: Option<GossipSocket>,
    /// Tells the frontends whether clients are admitted.
    pub gate: watch::Sender<AdmissionGate>,
    /// Endpoints that an operator ejected.
    pub ejections: Ejections,
    /// Whether the frontends already accept connections.
    pub frontends_started: bool,
    /// The state that the predecessor handed over.
    pub predecessor_state: Option<(HandoverState, Policy)>,
    /// The connections that the predecessor still drains.
    pub predecessor: Option<Rc<Predecessor>>,
    /// Retry-After deadlines that the predecessor received: the endpoint name and when the deadline ends.
    pub retry_after_deadlines: Vec<(String, Micros)>,
    /// Final outcomes so far.
    pub outcome_counts: Option<OutcomeCounts>,
    /// Whether the system's clock was set back since the previous process: then the ages of its attempts are unknown.
    pub clock_set_back: bool,
    /// Writes the health snapshot for the next process.
    pub snapshot_store: Option<SnapshotStore>,
    /// The state restored from the previous process's health snapshot.
    pub restored: RestoredState,
    /// The idempotency that applies to accepted messages, by class.
    pub class_idempotency: Arc<ClassIdempotency>,
}

/// The first of several shards after a hand-over. It can resume, and until it ends it forwards for the other shards.
pub struct HandedOverShard {
    /// Its state.
    pub shard: Shard,
    /// Its part of the journal, closed.
    pub journal_part: journal::JournalPart,
    /// The other shards' clients and calls.
    pub remote_shards: Rc<RemoteShards>,
}

/// Why an event loop returned.
pub enum ExitReason {
    /// It was asked to shut down, and nothing is left that the next process could not do.
    Finished,
    /// A successor asked to take over.
    HandOver {
        /// The connection to it.
        successor: HandoverLink,
        /// The state that the successor continues from.
        state: Box<HandoverState>,
        /// Final outcomes so far.
        outcome_counts: OutcomeCounts,
        /// The gossip socket, whose address the successor needs.
        gossip_socket: Option<GossipSocket>,
        /// The first shard, if there are several.
        shard: Option<Box<HandedOverShard>>,
    },
}
