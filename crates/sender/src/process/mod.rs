//! The life cycle of a sender process: startup, takeover from a predecessor, event loop, hand-over to a successor.
//!
//! A process may run several event loops in sequence: a hand-over ends one, and if the successor fails to take over,
//! another one resumes. With several shards this is the event loop of the first one; the others run on threads of
//! their own.

mod journal;
mod shards;
mod sockets;

use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;

use ::journal::Journal;
use admin::gate::AdmissionGate;
use admin::metrics::OutcomeCounts;
use decision::interface::Micros;
use decision::policy::Policy;
use handover::HandoverState;
use handover::step::{self, PredecessorStep};
use health_snapshot::replay::Snapshot;
use health_snapshot::restore::RestoredState;
use operator_config::Operators;
use sharding::ShardId;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::sync::watch;

use crate::config::{self, Config};
use crate::event_loop::{self, EventLoopParts, ExitReason, HandedOverShard, Shard};
use crate::gossip_socket::GossipSocket;
use crate::hand_over::socket::HandoverLink;
use crate::hand_over::{self, DrainingConnections, OfferError, Predecessor};
use crate::persistence::class_idempotency::ClassIdempotency;
use crate::persistence::ejections;
use crate::persistence::journal::JournalStore;
use crate::persistence::snapshot::{self, SnapshotOptions, SnapshotStore};
use crate::ports::{Clock, Frontend, Inbound, Transport};
use crate::shards::ShardHandle;

use journal::{open_journal, open_or_take_over, record_class_idempotency, reopen_journal, restore_policy};
use shards::{ShardThread, divide_by_shards, shard_group};
use sockets::{HANDOVER_DIVISOR, Sockets, follow_predecessor};

/// A successor's request numbers start this far beyond its predecessor's.
const REQUEST_NUMBER_GAP: u64 = 1 << 32;
/// A shard's request numbers start at its id shifted left by this many bits.
const SHARD_REQUEST_BITS: u32 = 40;

/// Runs a sender until it has shut down on request or has handed over.
///
/// # Errors
/// Fails when the sender can't start or continue. The message is one line.
pub async fn run(
    config: Config,
    operators: &Operators,
    inherited: Option<TcpListener>,
    (inbound, mut events): (UnboundedSender<Inbound>, UnboundedReceiver<Inbound>),
) -> Result<(), String> {
    let (mut process, mut start) = Process::start(config, operators, inherited, inbound).await?;
    while let Some(handing_over) = process.run_event_loop(start, &mut events).await? {
        start = match process.hand_over(handing_over, &mut events).await? {
            Some(resumed) => resumed,
            None => return Ok(()),
        };
    }
    Ok(())
}

/// The state that all event loops of a process have in common.
struct Process<'a> {
    config: Config,
    operators: &'a Operators,
    inbound: UnboundedSender<Inbound>,
    clock: Clock,
    sockets: Sockets,
    /// The first shard's handle, if there are several shards.
    shard: Option<Rc<ShardHandle>>,
    snapshot_options: Option<SnapshotOptions>,
    class_idempotency: Arc<ClassIdempotency>,
    /// Whether the platform starts a successor while this process runs, which it does if it passes the listening
    /// socket.
    accepts_successor: bool,
}

/// The inputs of one event loop.
struct EventLoopStart {
    journal: JournalStore,
    shard: Option<Shard>,
    /// The health snapshot, if it is open already.
    snapshot: Option<(SnapshotStore, Snapshot)>,
    predecessor: TakenOver,
    outcome_counts: Option<OutcomeCounts>,
    frontends_started: bool,
    clock_set_back: bool,
}

/// State taken over from a predecessor.
#[derive(Default)]
struct TakenOver {
    /// The state, if this version can read it.
    state: Option<(HandoverState, Policy)>,
    /// The connections that it still drains.
    process: Option<Rc<Predecessor>>,
    /// Retry-After deadlines that it received, if the rest of its state can't be read: endpoint names and ends.
    retry_after_deadlines: Vec<(String, Micros)>,
}

/// A hand-over in progress. The event loop has ended.
struct HandingOver {
    successor: HandoverLink,
    state: HandoverState,
    outcome_counts: OutcomeCounts,
    shard: Option<Box<HandedOverShard>>,
}

impl<'a> Process<'a> {
    /// Opens the journal or takes it over, and prepares the inputs of the first event loop.
    async fn start(
        mut config: Config,
        operators: &'a Operators,
        inherited: Option<TcpListener>,
        inbound: UnboundedSender<Inbound>,
    ) -> Result<(Self, EventLoopStart), String> {
        let accepts_successor = inherited.is_some();
        let (journal, predecessor) = open_or_take_over(&config, operators, accepts_successor).await?;
        let class_idempotency = Arc::new(record_class_idempotency(&config, &journal));
        let snapshot_options = snapshot_options(&config, operators);
        let snapshot =
            snapshot_options.and_then(|options| snapshot::open(&config.state, &config.name, &options));
        let (clock, clock_set_back) =
            start_clock(&journal, predecessor.as_ref().map(|(_, state)| state), snapshot.as_ref());
        let group = shard_group(&config, operators, predecessor.is_some())?;
        divide_by_shards(&mut config.settings, group.as_ref().map_or(1, |group| group.count()));
        let shard = group.map(|group| Rc::new(ShardHandle::new(ShardId(0), group)));
        let gate = watch::Sender::new(AdmissionGate::default());
        let sockets = Sockets::new(&config, clock, inherited, &inbound, shard.clone(), gate);
        let process = Self {
            config,
            operators,
            inbound,
            clock,
            sockets,
            shard,
            snapshot_options,
            class_idempotency,
            accepts_successor,
        };
        let predecessor = match predecessor {
            Some((link, state)) => process.take_over(link, state, journal.latest_time()).await,
            None => TakenOver::default(),
        };
        let journal = process.share_journal(journal, &predecessor.retry_after_deadlines, clock_set_back)?;
        let start = EventLoopStart {
            journal,
            shard: process.shard.clone().map(Shard::new),
            snapshot,
            predecessor,
            outcome_counts: None,
            frontends_started: false,
            clock_set_back,
        };
        Ok((process, start))
    }

    /// Continues from a predecessor's state, and follows the connections that it still drains. This process has the journal,
    /// so that it needs nothing more of the predecessor, which may have exited. `journal_time` is that of the latest records
    /// in the journal.
    async fn take_over(
        &self,
        mut link: HandoverLink,
        state: HandoverState,
        journal_time: Micros,
    ) -> TakenOver {
        let mut policy = restore_policy(&self.config, &state, self.clock.now());
        if let Err(error) = hand_over::confirm_takeover(&mut link, policy.is_some()).await {
            eprintln!("hand-over: continuing without the predecessor, which does not respond: {error}");
            if step::is_superseded(state.stopped_at, journal_time) {
                eprintln!(
                    "hand-over: the predecessor resumed after it sent its state, continuing from the journal"
                );
                policy = None;
            }
        }
        self.sockets.frontend.set_request_count(state.requests.saturating_add(REQUEST_NUMBER_GAP));
        if let Some(since) = state.standby {
            self.sockets.gate.send_replace(AdmissionGate::Standby(since));
        }
        let in_flight = match &policy {
            Some(_) => state.attempts_in_flight.iter().copied().map(Into::into).collect(),
            None => Vec::new(),
        };
        let shard = self.shard.clone();
        let process = follow_predecessor(&self.sockets, &self.config, link, in_flight, &self.inbound, shard);
        let (state, retry_after_deadlines) = match policy {
            Some(policy) => (Some((state, policy)), Vec::new()),
            None => (None, state.waits.into_iter().map(Into::into).collect()),
        };
        TakenOver { state, process: Some(process), retry_after_deadlines }
    }

    /// Returns the journal for the first event loop. With several shards it divides the journal and starts the other
    /// shards.
    fn share_journal(
        &self,
        journal: Journal,
        retry_after_deadlines: &[(String, Micros)],
        clock_set_back: bool,
    ) -> Result<JournalStore, String> {
        let Some(shard) = &self.shard else { return Ok(JournalStore::Exclusive(Box::new(journal))) };
        let group = shard.group();
        let owners = group.owners();
        let mut parts =
            journal.share(group.count(), |destination| owners.owner(destination).index()).into_iter();
        let first = parts.next().ok_or("the journal was divided into no parts")?;
        for (id, journal_part) in (1..).map(ShardId).zip(parts) {
            let thread = ShardThread {
                id,
                group: group.clone(),
                config: self.config.clone(),
                clock: self.clock,
                journal_part,
                ejections: self.ejections()?,
                gate: self.sockets.gate.clone(),
                retry_after_deadlines: retry_after_deadlines.to_vec(),
                clock_set_back,
                requests: u64::from(id.0) << SHARD_REQUEST_BITS,
                class_idempotency: self.class_idempotency.clone(),
            };
            thread.start()?;
        }
        Ok(JournalStore::Sharded(first))
    }

    fn ejections(&self) -> Result<admin::ejections::Ejections, String> {
        let state = &self.config.state;
        ejections::read(state).map_err(|error| format!("{}: {error}", state.display()))
    }

    /// Runs an event loop until it ends. Returns the hand-over, or none if the process is finished.
    async fn run_event_loop(
        &self,
        start: EventLoopStart,
        events: &mut UnboundedReceiver<Inbound>,
    ) -> Result<Option<HandingOver>, String> {
        let resumes = start.predecessor.state.is_some();
        let (snapshot_store, restored) = self.restore_snapshot(start.snapshot, resumes);
        let listening = match self.accepts_successor {
            true => Some(
                hand_over::listen(&self.config.state, self.inbound.clone())
                    .map_err(|error| format!("successor: {error}"))?,
            ),
            false => None,
        };
        let gossip_socket = GossipSocket::open(&self.config, self.inbound.clone())
            .await
            .map_err(|error| format!("peer_listen: {error}"))?;
        let mut transports = self.sockets.transports();
        transports.extend(start.predecessor.process.clone().map(|process| process as Rc<dyn Transport>));
        let parts = EventLoopParts {
            clock: self.clock,
            journal: start.journal,
            shard: start.shard,
            frontends: self.sockets.frontends(),
            transports,
            gossip_socket,
            gate: self.sockets.gate.clone(),
            ejections: self.ejections()?,
            frontends_started: start.frontends_started,
            predecessor_state: start.predecessor.state,
            predecessor: start.predecessor.process,
            retry_after_deadlines: start.predecessor.retry_after_deadlines,
            outcome_counts: start.outcome_counts,
            clock_set_back: start.clock_set_back,
            snapshot_store,
            restored,
            class_idempotency: self.class_idempotency.clone(),
        };
        match event_loop::run(&self.config, parts, self.inbound.clone(), events).await? {
            ExitReason::Finished => Ok(None),
            ExitReason::HandOver { successor, state, outcome_counts, gossip_socket, shard } => {
                if let Some(socket) = gossip_socket {
                    socket.close().await;
                }
                listening.inspect(|listening| listening.abort());
                Ok(Some(HandingOver { successor, state: *state, outcome_counts, shard }))
            }
        }
    }

    /// Opens the health snapshot unless it is open. Returns it with the state to restore: none if the process
    /// continues from a predecessor's state, which is more complete.
    fn restore_snapshot(
        &self,
        snapshot: Option<(SnapshotStore, Snapshot)>,
        resumes: bool,
    ) -> (Option<SnapshotStore>, RestoredState) {
        let Some(options) = self.snapshot_options else { return (None, RestoredState::default()) };
        // A process that resumes opens it again, because another process had it in between.
        let snapshot = snapshot.or_else(|| snapshot::open(&self.config.state, &self.config.name, &options));
        let Some((mut store, snapshot)) = snapshot else { return (None, RestoredState::default()) };
        let list_version = self.config.initial_list.index;
        let restored = snapshot::restore(&snapshot, &options, self.clock.now(), list_version);
        store.set_clock_shift(restored.shift);
        (Some(store), if resumes { RestoredState::default() } else { restored })
    }

    /// Offers the state to the successor. Returns none if it took over and the connections here are drained, else the
    /// inputs of the event loop that resumes.
    ///
    /// # Errors
    /// Fails when another process has the journal and can't be reached, or the successor closes the connection.
    async fn hand_over(
        &mut self,
        handing_over: HandingOver,
        events: &mut UnboundedReceiver<Inbound>,
    ) -> Result<Option<EventLoopStart>, String> {
        let HandingOver { successor, state, outcome_counts, shard } = handing_over;
        let offered = hand_over::offer_state(successor, &state).await;
        let journal = match &offered {
            Ok(_) => None,
            // A process that exits closes its connections before it releases its locks.
            Err(OfferError::LinkFailed(_)) => reopen_journal(&self.config, self.operators).await?,
            Err(OfferError::TimedOut) => open_journal(&self.config, self.operators)?,
        };
        match (step::predecessor_step(offered.is_ok(), journal.is_some()), offered, journal) {
            (PredecessorStep::Drain, Ok((link, understood)), _) => {
                eprintln!("{} has handed over", self.config.name);
                let draining = self.draining_connections(outcome_counts, shard);
                hand_over::drain(link, understood, draining, events).await.map(|()| None)
            }
            (PredecessorStep::Resume, Err(error), Some(journal)) => {
                eprintln!(
                    "hand-over failed, this process continues: the successor did not take over: {error}"
                );
                self.resume(journal, state, outcome_counts, shard).map(Some)
            }
            _ => Err("hand-over failed: another process has the journal and does not respond".to_owned()),
        }
    }

    /// Returns the connections that this process drains for its successor: clients' connections and calls in flight.
    /// Their limits are lowered, since both processes share the descriptors.
    fn draining_connections(
        &self,
        outcome_counts: OutcomeCounts,
        shard: Option<Box<HandedOverShard>>,
    ) -> DrainingConnections {
        let sockets = &self.sockets;
        let max_connections = sockets.max_connections / HANDOVER_DIVISOR;
        sockets.transport.close_all_idle();
        sockets.frontend.limit_connections(max_connections);
        let (mut frontends, mut transports) = (sockets.frontends(), sockets.transports());
        if let Some(shard) = shard {
            shard.remote_shards.set_max_clients(max_connections);
            shard.remote_shards.clone().follow(self.inbound.clone());
            frontends.push(shard.remote_shards.clone());
            transports.push(shard.remote_shards);
        }
        DrainingConnections {
            clock: self.clock,
            frontends,
            transports,
            gate: sockets.gate.clone(),
            outcome_counts,
        }
    }

    /// Returns the inputs of an event loop that resumes from this process's own state after a failed hand-over.
    fn resume(
        &mut self,
        journal: Journal,
        state: HandoverState,
        outcome_counts: OutcomeCounts,
        shard: Option<Box<HandedOverShard>>,
    ) -> Result<EventLoopStart, String> {
        let (journal, shard) = match shard {
            Some(handed_over) => {
                let HandedOverShard { shard, mut journal_part, .. } = *handed_over;
                journal_part.reopen(journal);
                (JournalStore::Sharded(journal_part), Some(shard))
            }
            None => (JournalStore::Exclusive(Box::new(journal)), None),
        };
        let policy = restore_policy(&self.config, &state, self.clock.now());
        let policy =
            policy.ok_or("resuming after a failed hand-over: this process can't read its own state")?;
        // Its address may have changed since the start.
        self.config.discovery = config::reload_discovery().unwrap_or(self.config.discovery);
        Ok(EventLoopStart {
            journal,
            shard,
            snapshot: None,
            predecessor: TakenOver { state: Some((state, policy)), ..TakenOver::default() },
            outcome_counts: Some(outcome_counts),
            frontends_started: true,
            clock_set_back: false,
        })
    }
}

/// Returns the options of the health snapshot, or none if the operators' file does not enable it.
fn snapshot_options(config: &Config, operators: &Operators) -> Option<SnapshotOptions> {
    let objectives = config.settings.classes.iter().map(|class| class.latency_objective);
    let sync = operators.journal.sync == operator_config::Sync::Group;
    SnapshotOptions::from_table(&operators.health_snapshot, config.disk, sync, objectives.min().unwrap_or(0))
}

/// Returns a clock that never shows a time before the latest that an earlier process recorded, and whether the system's
/// clock was set back since then.
fn start_clock(
    journal: &Journal,
    predecessor: Option<&HandoverState>,
    snapshot: Option<&(SnapshotStore, Snapshot)>,
) -> (Clock, bool) {
    let snapshot_at = snapshot.map_or(0, |(_, snapshot)| snapshot.timestamp.wall);
    let latest = predecessor.map_or(0, |state| state.stopped_at).max(journal.latest_time()).max(snapshot_at);
    let (clock, set_back) = Clock::after(latest);
    if set_back {
        eprintln!(
            "the clock was set back since the previous process: the ages of its attempts are unknown \
             and count as beyond any idempotency window"
        );
    }
    (clock, set_back)
}
