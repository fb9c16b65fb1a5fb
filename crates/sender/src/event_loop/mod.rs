//! The event loop of a sender: one task that owns the decision module, the journal and the endpoint directory.
//!
//! An iteration collects everything that has arrived into events, passes them to the decision module in one call,
//! appends the resulting records to the journal in one write, and only then answers clients and starts calls.
//! Consecutive iterations are at least the settings' period apart.
//!
//! Invariants: no client is answered and no call starts before the records for it are in the journal, and all events
//! of an iteration refer to the same instant.

mod admin_requests;
mod calls;
mod inbound;
mod iteration;
mod messages;
mod parts;
mod recovered_failures;
mod recovery;
mod recovery_report;
mod run;
mod shard;
mod snapshot;
mod startup;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;

use admin::gate::AdmissionGate;
use admin::metrics::OutcomeCounts;
use decision::interface::Micros;
use decision::policy::Policy;
use journal::{Abandonment, AcceptedMessage, Record, SpaceNeeded};
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::{Notify, oneshot, watch};

use crate::discovery::directory::Directory;
use crate::gossip_socket::GossipSocket;
use crate::hand_over::Predecessor;
use crate::hand_over::socket::HandoverLink;
use crate::notifications::Notification;
use crate::persistence::class_idempotency::ClassIdempotency;
use crate::persistence::journal::JournalStore;
use crate::persistence::snapshot::SnapshotStore;
use crate::ports::{Answer, Clock, Inbound};

pub use parts::{EventLoopParts, ExitReason, HandedOverShard};
pub use run::run;
pub use shard::Shard;

use recovery_report::RecoveryReport;

/// Time from SIGTERM until the process may be killed.
const SHUTDOWN_TIMEOUT: Micros = 3_700_000;
/// Time from SIGTERM until clients have noticed the shutdown and connect elsewhere.
const CLIENT_GRACE: Micros = 1_000_000;
/// Retry-After for clients while the journal is full.
const RETRY_AFTER_JOURNAL_FULL: Micros = 1_000_000;
/// Retry-After for clients whose destination is not in the endpoint list yet.
const RETRY_AFTER_UNLISTED: Micros = 1_000_000;
/// Request number of a message that no request may withdraw. Real requests are numbered from 1.
const NO_REQUEST: u64 = 0;

/// A message that was submitted since the last iteration and is not answered yet.
struct PendingSubmission {
    message: Arc<AcceptedMessage>,
    /// The requests that wait for the answer, by request number. There are several if the client repeated its
    /// submission.
    waiters: Vec<(u64, oneshot::Sender<Answer>)>,
}

impl PendingSubmission {
    fn answer(self, answer: Answer) {
        for (_, waiter) in self.waiters {
            // Fails if the client has disconnected, which is reported separately as a withdrawal.
            let _ = waiter.send(answer);
        }
    }
}

/// The state of one event loop.
struct EventLoop {
    clock: Clock,
    /// The time of this iteration, read once before any event is collected. The decision module gets remaining times as
    /// of the instant at which it decides. With two readings of the clock, a message would outlive its deadline by the
    /// time between them (up to 44 ms at startup), and an answer that arrived in this gap would be lost.
    iteration_time: Micros,
    policy: Policy,
    journal: JournalStore,
    directory: Directory,
    gossip_socket: Option<GossipSocket>,
    notifications: UnboundedSender<Notification>,
    /// Makes the endpoint watch fetch the full list.
    refetch_endpoints: Rc<Notify>,
    /// Discovery's address, for the tasks that connect to it.
    discovery: watch::Sender<SocketAddr>,
    inbound: UnboundedSender<Inbound>,
    /// The version of the endpoint list.
    list_version: u64,
    /// The address of the discovery instance that the version is of. None if the list is incomplete.
    list_source: Option<SocketAddr>,
    /// When discovery last confirmed that there is no newer list. An open watch counts as continuous confirmation.
    list_confirmed_at: Micros,
    /// Whether no discovery failure was reported since the last update of the list.
    list_is_current: bool,
    /// Writes the health snapshot for the next process.
    snapshot_store: Option<SnapshotStore>,
    /// Destinations whose observed health may have changed in this iteration.
    touched_destinations: Vec<u16>,
    /// The process that requested to take over.
    successor: Option<HandoverLink>,
    /// The connections that the predecessor still drains.
    predecessor: Option<Rc<Predecessor>>,
    /// Whether the frontends admit clients.
    gate: watch::Sender<AdmissionGate>,
    /// Final outcomes so far, by class.
    outcome_counts: OutcomeCounts,
    /// `NODE_STATE`, where ejections are stored.
    state_folder: PathBuf,
    /// When the process may be killed, once it was asked to shut down.
    shutdown_deadline: Option<Micros>,
    /// Timers of the decision module: due time and token.
    timers: BTreeSet<(Micros, u64)>,
    /// The next message number, where this event loop has the whole journal.
    next_message: u32,
    /// The number of each pending message and of the request that submitted it, by `Req-Id`.
    pending_by_id: HashMap<String, (u32, u64)>,
    /// How many attempts were started of each pending message.
    attempts: HashMap<u32, u16>,
    /// Messages submitted since the last iteration, by message number.
    submissions: BTreeMap<u32, PendingSubmission>,
    /// The space that the submissions need in the journal.
    submitted_space: SpaceNeeded,
    /// Records that are not written yet: those of this iteration, and those of an append that failed. No client
    /// was answered and no call started on the basis of them.
    unwritten_records: Vec<Record>,
    /// Whether each message was delivered whose outcome is among the unwritten records, by `Req-Id`.
    unwritten_outcomes: HashMap<String, bool>,
    /// The earliest time at which a journal failure is logged again.
    next_journal_warning_at: Micros,
    /// Notifications that wait until their records are written.
    pending_notifications: Vec<(u32, Abandonment, String)>,
    /// The state of this shard, or none if the process has a single event loop.
    shard: Option<Shard>,
    /// Whether a destination migrated to this shard in this iteration.
    destination_attached: bool,
    /// Counts the outcomes of messages that the previous process had not attempted.
    recovery_report: RecoveryReport,
    /// The idempotency that applies to accepted messages, by class.
    class_idempotency: Arc<ClassIdempotency>,
    /// Notified at the end of this iteration: other shards wait for it.
    iteration_waiters: Vec<oneshot::Sender<()>>,
}

/// Returns the names of the endpoints at which an attempt of a pending message may have run.
fn endpoints_of_attempts(journal: &JournalStore) -> impl Iterator<Item = &str> {
    let attempts = journal.live().values().flat_map(|live| &live.attempts);
    attempts.filter(|attempt| !attempt.never_ran).map(|attempt| &*attempt.endpoint)
}
