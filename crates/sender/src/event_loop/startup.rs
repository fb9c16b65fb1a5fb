//! Builds an event loop, runs its first iteration and starts its tasks.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use admin::metrics::OutcomeCounts;
use decision::interface::Micros;
use decision::policy::Policy;
use handover::HandoverState;
use health_snapshot::restore::RestoredState;
use journal::SpaceNeeded;
use sharding::ShardId;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::{Notify, watch};
use tokio::task::JoinHandle;

use super::recovery_report::RecoveryReport;
use super::{EventLoop, EventLoopParts, Shard};
use crate::config::Config;
use crate::discovery::directory::Directory;
use crate::discovery::poll_schedule::PollSchedule;
use crate::discovery::watch::{FirstPoll, InitialList, watch_endpoints};
use crate::http;
use crate::notifications::{self, Notification};
use crate::ports::{Frontend, Inbound};

/// A shard's call numbers start at its id shifted left by this many bits.
const SHARD_CALL_BITS: u32 = 48;

/// The inputs of the startup besides the event loop.
pub(super) struct Startup {
    pub(super) recovery: Recovery,
    pub(super) frontends: Vec<Rc<dyn Frontend>>,
    pub(super) frontends_started: bool,
    pub(super) receivers: Receivers,
}

/// State that earlier processes left.
pub(super) struct Recovery {
    /// The state that the predecessor handed over.
    pub(super) predecessor_state: Option<HandoverState>,
    /// Retry-After deadlines that the predecessor received: the endpoint name and when the deadline ends.
    pub(super) retry_after_deadlines: Vec<(String, Micros)>,
    /// Whether the system's clock was set back since the previous process.
    pub(super) clock_set_back: bool,
    /// The state restored from the health snapshot.
    pub(super) restored: RestoredState,
}

/// The receiving ends of the channels to the tasks that connect to the platform.
pub(super) struct Receivers {
    notifications: UnboundedReceiver<Notification>,
    discovery: watch::Receiver<SocketAddr>,
    refetch_endpoints: Rc<Notify>,
}

impl EventLoop {
    /// Creates an event loop that has not run yet. Returns it with the inputs of its startup.
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
            list_source: None,
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
            submitted_space: SpaceNeeded::default(),
            unwritten_records: Vec::new(),
            unwritten_outcomes: HashMap::new(),
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
            retry_after_deadlines: parts.retry_after_deadlines,
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

    /// Continues from the predecessor's state or recovers, and runs one iteration before anything arrives. Returns the
    /// list to watch from.
    pub(super) fn first_iteration(&mut self, config: &Config, recovery: &mut Recovery) -> InitialList {
        let (mut events, initial_list) = match recovery.predecessor_state.take() {
            Some(state) => {
                let events = self.resume_from_predecessor(state);
                // The versions of two instances of discovery can't be compared.
                let same_instance = self.list_source == Some(config.discovery);
                let version = same_instance.then_some(self.list_version);
                (events, InitialList { version, first_poll: FirstPoll::AtOnce })
            }
            None => {
                let (events, version) = self.recover(config.initial_list.clone(), recovery);
                self.list_source = version.map(|_| config.discovery);
                let good_for = Duration::from_micros(recovery.restored.list.good_for);
                (events, InitialList { version, first_poll: FirstPoll::Spread { good_for } })
            }
        };
        self.update_leases(&mut events);
        self.run_iteration(events);
        initial_list
    }

    /// Starts to listen for clients and at the administrative address, unless that was done already, and logs that
    /// the sender is ready.
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
        // After the frontends have started: a process that answers administrative requests must already accept clients.
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

    /// Starts the task that sends notifications and, in the first shard, the endpoint watch, which is returned.
    pub(super) fn spawn_platform_tasks(
        &self,
        config: &Config,
        receivers: Receivers,
        initial_list: InitialList,
    ) -> Option<JoinHandle<()>> {
        let Receivers { notifications, discovery, refetch_endpoints } = receivers;
        tokio::task::spawn_local(notifications::send_all(
            discovery.clone(),
            notifications,
            self.inbound.clone(),
        ));
        let drain_timeout = Duration::from_micros(config.settings.rules.drain_timeout);
        let schedule = PollSchedule::new(config.settings.senders, drain_timeout, config.seed);
        // The first shard watches the list for all shards.
        (self.shard_id() == ShardId(0)).then(|| {
            tokio::task::spawn_local(watch_endpoints(
                discovery,
                initial_list,
                refetch_endpoints,
                schedule,
                self.inbound.clone(),
            ))
        })
    }

    /// Logs that the sender is ready, in a line that tools parse.
    fn log_ready(&self, name: &str, addresses: &[String]) {
        let cores =
            self.shard.as_ref().map_or(String::new(), |shard| format!(", {} cores", shard.group().count()));
        let pending = self.journal.live().len();
        eprintln!("{name} is ready on {} with {pending} messages in hand{cores}", addresses.join(" and "));
    }
}

/// Creates the decision module of a process that does not continue from a predecessor's state. Each shard has a
/// random seed of its own.
fn new_policy(config: &Config, shard: ShardId, now: Micros) -> Policy {
    Policy::new(config.settings.clone(), config.seed.wrapping_add(shard.0.into()), now)
}
