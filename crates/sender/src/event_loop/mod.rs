//! The event loop of a sender: one task that owns the decision module, the journal and the endpoint directory.
//!
//! An iteration collects what has arrived into events, lets the decision module decide once, appends the records to the
//! journal in one write, and only then answers clients and starts calls. Iterations are at least the settings' period apart.
//! Invariants: nothing is answered or called before the journal has it, and all events of an iteration are as of one time.

mod admin_requests;
mod calls;
mod inbound;
mod iteration;
mod messages;
mod parts;
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

use admin::figures::OutcomeCounts;
use admin::gate::AdmissionGate;
use decision::interface::Micros;
use decision::policy::Policy;
use journal::{Abandonment, AcceptedMessage, Record};
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

/// From SIGTERM until the process may be killed.
const SHUTDOWN_TIMEOUT: Micros = 3_700_000;
/// From SIGTERM until clients have noticed and connect elsewhere.
const CLIENT_GRACE: Micros = 1_000_000;
/// Retry-After for clients while the journal is full.
const RETRY_AFTER_JOURNAL_FULL: Micros = 1_000_000;
/// Retry-After for clients whose destination is in no endpoint list yet.
const RETRY_AFTER_UNLISTED: Micros = 1_000_000;
/// Stands for the request that a message came with where no request may withdraw it; requests are counted from 1.
const NO_REQUEST: u64 = 0;

/// A message that was submitted since the last iteration and has no answer yet.
struct PendingSubmission {
    message: Arc<AcceptedMessage>,
    /// The waiting requests, by number: more than one where the client repeated its submission.
    waiters: Vec<(u64, oneshot::Sender<Answer>)>,
}

impl PendingSubmission {
    fn answer(self, answer: Answer) {
        for (_, waiter) in self.waiters {
            // A client that has gone has been reported as withdrawn.
            let _ = waiter.send(answer);
        }
    }
}

/// The state of one event loop.
struct EventLoop {
    clock: Clock,
    /// The time of this iteration, read once before any event is collected. Guards a message's deadline: remaining time is
    /// told to the decision module as of the same instant at which it decides. With two readings of the clock a message
    /// outlived its deadline by the time between them (up to 44 ms at a start), and an answer in that gap was lost.
    iteration_time: Micros,
    policy: Policy,
    journal: JournalStore,
    directory: Directory,
    gossip_socket: Option<GossipSocket>,
    notifications: UnboundedSender<Notification>,
    /// Asks the endpoint watch for the full list.
    refetch_endpoints: Rc<Notify>,
    /// The address of discovery, for the tasks that talk to it.
    discovery: watch::Sender<SocketAddr>,
    inbound: UnboundedSender<Inbound>,
    /// The version of the endpoint list.
    list_version: u64,
    /// When discovery last confirmed that there is no newer list; it goes on to confirm while the watch is open.
    list_confirmed_at: Micros,
    list_is_current: bool,
    /// Writes the health snapshot for the next process.
    snapshot_store: Option<SnapshotStore>,
    /// Destinations whose observed health may have changed in this iteration.
    touched_destinations: Vec<u16>,
    /// The process that asks to take over.
    successor: Option<HandoverLink>,
    /// The connections that the predecessor still carries.
    predecessor: Option<Rc<Predecessor>>,
    gate: watch::Sender<AdmissionGate>,
    outcome_counts: OutcomeCounts,
    /// `NODE_STATE`, where ejections are stored.
    state_folder: PathBuf,
    /// When the process may be killed, once it was asked to shut down.
    shutdown_deadline: Option<Micros>,
    timers: BTreeSet<(Micros, u64)>,
    next_message: u32,
    /// By `Req-Id`: the number of each pending message, and of the request that it came with.
    pending_by_id: HashMap<String, (u32, u64)>,
    /// Attempts started for each pending message.
    attempts: HashMap<u32, u16>,
    /// Submitted since the last iteration, or in it.
    submissions: BTreeMap<u32, PendingSubmission>,
    /// Records that could not be written yet; nothing that they promise has been told to anybody.
    unwritten_records: Vec<Record>,
    /// No journal failure is logged before then.
    next_journal_warning_at: Micros,
    /// Notifications whose records are not written yet.
    pending_notifications: Vec<(u32, Abandonment, String)>,
    /// The state of one of several shards; none where there is one event loop.
    shard: Option<Shard>,
    /// A destination migrated here in this iteration.
    destination_attached: bool,
    /// What became of messages that the last process had not attempted.
    recovery_report: RecoveryReport,
    /// The idempotency that binds accepted messages, by class.
    class_idempotency: Arc<ClassIdempotency>,
    /// Other shards that wait for the end of this iteration.
    iteration_waiters: Vec<oneshot::Sender<()>>,
}

/// Names of endpoints at which an attempt of a pending message may have run.
fn endpoints_of_attempts(journal: &JournalStore) -> impl Iterator<Item = &str> {
    let attempts = journal.live().values().flat_map(|live| &live.attempts);
    attempts.filter(|attempt| !attempt.never_ran).map(|attempt| &*attempt.endpoint)
}
