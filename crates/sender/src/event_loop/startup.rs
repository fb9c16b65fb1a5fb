//! Building an event loop, its first iteration, and the tasks that it starts.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use admin::figures::OutcomeCounts;
use decision::interface::Micros;
use decision::policy::Policy;
use handover::HandoverState;
use health_snapshot::restore::RestoredState;
use sharding::ShardId;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::{Notify, watch};
use tokio::task::JoinHandle;

use super::recovery_report::RecoveryReport;
use super::{EventLoop, EventLoopParts, Shard};
use crate::config::Config;
use crate::discovery::directory::Directory;
use crate::discovery::poll_schedule::PollSchedule;
use crate::discovery::watch::watch_endpoints;
use crate::http;
use crate::notifications::{self, Notification};
use crate::ports::{Frontend, Inbound};

/// Calls are counted from a number of its own in each shard, this many bits up.
const SHARD_CALL_BITS: u32 = 48;

/// What a start needs beside the event loop.
pub(super) struct Startup {
    pub(super) recovery: Recovery,
    pub(super) frontends: Vec<Rc<dyn Frontend>>,
    pub(super) frontends_started: bool,
    pub(super) receivers: Receivers,
}

/// What earlier processes left.
pub(super) struct Recovery {
    /// The state that the predecessor handed over.
    pub(super) predecessor_state: Option<HandoverState>,
    /// Retry-Afters that the predecessor was sent, by endpoint name, and until when they bind.
    pub(super) waits: Vec<(String, Micros)>,
    /// The system's clock was set back since the last process.
    pub(super) clock_set_back: bool,
    /// What is restored of the health snapshot.
    pub(super) restored: RestoredState,
}

/// The receiving ends of the channels to the tasks that talk to the platform.
pub(super) struct Receivers {
    notifications: UnboundedReceiver<Notification>,
    discovery: watch::Receiver<SocketAddr>,
    refetch_endpoints: Rc<Notify>,
}

impl EventLoop {
    /// An event loop that has not run yet, and what its start needs.
    pub(super) fn new(
        config: &Config,
        parts: EventLoopParts,
        inbound: UnboundedSender<Inbound>,
    ) -> (Self, Startup) {
        let clock = parts.clock;
        let shard_id = parts.shard.as_ref().map_or(ShardId(0), Shard::id);
        let (predecessor_state, mut policy) = match parts.predecessor_state {
            Some((state, policy)) => (Some(state), policy),
            None => (None, new_policy(config, shard_id, clock.now())),
        };
        policy.count_calls_from(u64::from(shard_id.0) << SHARD_CALL_BITS);
        let (notifications, pending_notifications) = unbounded_channel();
        let refetch_endpoints = Rc::new(Notify::new());
        let (discovery, discovery_address) = watch::channel(config.discovery);
        let kinds = config.settings.kinds.clone();
        let outcome_counts = parts.outcome_counts;
        let event_loop = Self {
            clock,
            iteration_time: clock.now(),
            next_message: parts.journal.live().keys().max().map_or(0, |last| last.wrapping_add(1)),
            journal: parts.journal,
            directory: Directory::new(config.names.clone(), kinds, parts.transports, parts.ejections),
            gossip_socket: parts.gossip_socket,
            notifications,
            refetch_endpoints: refetch_endpoints.clone(),
            discovery,
            inbound,
            list_version: config.initial_list.index,
            list_confirmed_at: 0,
            list_is_current: false,
            snapshot_store: parts.snapshot_store,
            touched_destinations: Vec::new(),
            successor: None,
            predecessor: parts.predecessor,
            gate: parts.gate,
            outcome_counts: outcome_counts
                .unwrap_or_else(|| OutcomeCounts::new(config.names.classes.iter().cloned())),
            state_folder: config.state.clone(),
            shutdown_deadline: None,
            timers: BTreeSet::new(),
            pending_by_id: HashMap::new(),
            attempts: HashMap::new(),
            submissions: BTreeMap::new(),
            unwritten_records: Vec::new(),
            next_journal_warning_at: 0,
            pending_notifications: Vec::new(),
            shard: parts.shard,
            destination_attached: false,
            recovery_report: RecoveryReport::new(&config.settings),
            class_idempotency: parts.class_idempotency,
            iteration_waiters: Vec::new(),
            policy,
        };
        let recovery = Recovery {
            predecessor_state,
            waits: parts.waits,
            clock_set_back: parts.clock_set_back,
            restored: parts.restored,
        };
        let receivers = Receivers {
            notifications: pending_notifications,
            discovery: discovery_address,
            refetch_endpoints,
        };
        let (frontends, frontends_started) = (parts.frontends, parts.frontends_started);
        (event_loop, Startup { recovery, frontends, frontends_started, receivers })
    }

    /// Resumes or recovers, and decides once before anything arrives. Returns the list version to watch from; none where the
    /// full list has to be fetched.
    pub(super) fn first_iteration(&mut self, config: &Config, recovery: &mut Recovery) -> Option<u64> {
        let (mut events, list_version) = match recovery.predecessor_state.take() {
            Some(state) => {
                let events = self.resume_from_predecessor(state);
                (events, Some(self.list_version))
            }
            None => self.recover(config.initial_list.clone(), recovery),
        };
        self.update_leases(&mut events);
        self.run_iteration(events);
        list_version
    }

    /// Starts the frontends and the administrative address, unless they run already, and says that the sender is ready.
    pub(super) fn listen(
        &self,
        config: &Config,
        frontends: &[Rc<dyn Frontend>],
        started: bool,
    ) -> Result<(), String> {
        let mut addresses = Vec::new();
        for frontend in frontends.iter().filter(|_| !started) {
            let address = frontend.clone().start().map_err(|error| format!("listen: {error}"))?;
            addresses.push(address.to_string());
        }
        // Only from now on: a process that answers on-call staff accepts clients.
        if let (Some(address), false) = (config.ops, started) {
            let address = http::admin::listen(address, self.inbound.clone())
                .map_err(|error| format!("ops: {error}"))?;
            eprintln!("{} answers on-call staff on {address}", config.name);
        }
        if self.shard_id() == ShardId(0) {
            self.log_ready(&config.name, &addresses);
        }
        Ok(())
    }

    /// Starts the notifications and, in the first shard, the endpoint watch, which it returns.
    pub(super) fn spawn_platform_tasks(
        &self,
        config: &Config,
        receivers: Receivers,
        list_version: Option<u64>,
        restored: &RestoredState,
    ) -> Option<JoinHandle<()>> {
        let Receivers { notifications, discovery, refetch_endpoints } = receivers;
        tokio::task::spawn_local(notifications::send_all(
            discovery.clone(),
            notifications,
            self.inbound.clone(),
        ));
        let drain_timeout = Duration::from_micros(config.settings.rules.drain_timeout);
        let schedule = PollSchedule::new(config.settings.senders, drain_timeout, config.seed);
        let list_good_for = Duration::from_micros(restored.list.good_for);
        // One shard watches the list for all.
        (self.shard_id() == ShardId(0)).then(|| {
            tokio::task::spawn_local(watch_endpoints(
                discovery,
                list_version,
                refetch_endpoints,
                schedule,
                list_good_for,
                self.inbound.clone(),
            ))
        })
    }

    fn log_ready(&self, name: &str, places: &[String]) {
        let cores = self.shard.as_ref().map_or(String::new(), |m| format!(", {} cores", m.group().count()));
        let hand = self.journal.live().len();
        eprintln!("{name} is ready on {} with {hand} messages in hand{cores}", places.join(" and "));
    }
}

/// The decision module of a process that goes on with nobody's state. Shards draw different random numbers.
fn new_policy(config: &Config, shard: ShardId, now: Micros) -> Policy {
    Policy::new(config.settings.clone(), config.seed.wrapping_add(shard.0.into()), now)
}
