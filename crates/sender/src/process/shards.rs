//! The shards of a process: their shared state, and the threads of all but the first.

use std::rc::Rc;
use std::sync::Arc;

use admin::ejections::Ejections;
use admin::gate::AdmissionGate;
use decision::interface::{Micros, Settings};
use health_snapshot::restore::RestoredState;
use journal::JournalPart;
use operator_config::Operators;
use sharding::{LeasePool, OwnershipMap, ShardId};
use tokio::sync::watch;

use super::sockets::{HANDOVER_DIVISOR, Sockets, connection_limit};
use crate::config::Config;
use crate::event_loop::{self, EventLoopParts, Shard};
use crate::persistence::class_idempotency::ClassIdempotency;
use crate::persistence::journal::JournalStore;
use crate::ports::Clock;
use crate::shards::{ShardGroup, ShardHandle, ShardQuotas};
use crate::stall_detector;

/// A shard's mailbox has space for the pending messages that the settings allow, but for at most this many of them.
const MAX_QUEUED_MESSAGES: usize = 16_384;
/// Lower limit of the messages that a mailbox has space for, before it is doubled.
const MIN_QUEUED_MESSAGES: usize = 1_024;

/// Divides among the shards those settings that apply to the whole process but are enforced by each decision module:
/// the rate at which idle destinations are activated, and how many are active and retained.
pub(super) fn divide_by_shards(settings: &mut Settings, shards: usize) {
    if let Some(idle) = &mut settings.idle {
        idle.activations_per_second /= shards as f64;
        idle.max_retained = (idle.max_retained / shards).max(1);
        idle.max_active = (idle.max_active / shards).max(1);
    }
}

/// Creates the state that the shards share, for as many as the operators' file configures. Returns none if that is one.
///
/// # Errors
/// Fails when a class keeps order over all destinations, which several shards can't do.
pub(super) fn shard_group(
    config: &Config,
    operators: &Operators,
    taken_over: bool,
) -> Result<Option<Arc<ShardGroup>>, String> {
    let count = operators.cores.count as usize;
    if count < 2 {
        return Ok(None);
    }
    // Order is kept by key, and the messages of a key may have destinations on different shards.
    let ordered_class = config.settings.classes.iter().position(|class| class.in_order);
    if let Some(name) = ordered_class.and_then(|index| config.names.classes.get(index)) {
        return Err(format!(
            "[cores] count = {count}: class {name} keeps order over all destinations, which requires count = 1"
        ));
    }
    let settings = &config.settings;
    let quotas = ShardQuotas {
        calls: LeasePool::new(settings.max_calls, count),
        messages: LeasePool::new(settings.max_messages, count),
        connections: LeasePool::new(
            connection_limit(config, count) / if taken_over { HANDOVER_DIVISOR } else { 1 },
            count,
        ),
    };
    // Messages that must arrive are bounded by calls in flight, pending messages and connections. The same space
    // again is for messages that can be rejected.
    let queue = 2
        * (settings.max_calls * 2
            + settings.max_messages.min(MAX_QUEUED_MESSAGES)
            + connection_limit(config, count))
        .max(MIN_QUEUED_MESSAGES);
    let owners =
        if taken_over { OwnershipMap::all_on(count, ShardId(0)) } else { OwnershipMap::hashed(count) };
    Ok(Some(ShardGroup::new(owners, quotas, queue)))
}

/// The inputs of the thread of a shard. The first shard has none.
pub(super) struct ShardThread {
    pub(super) id: ShardId,
    pub(super) group: Arc<ShardGroup>,
    pub(super) config: Config,
    pub(super) clock: Clock,
    pub(super) journal_part: JournalPart,
    pub(super) ejections: Ejections,
    pub(super) gate: watch::Sender<AdmissionGate>,
    /// Retry-After deadlines that the predecessor received: the endpoint name and when the deadline ends.
    pub(super) retry_after_deadlines: Vec<(String, Micros)>,
    pub(super) clock_set_back: bool,
    /// The number that its requests are counted from.
    pub(super) requests: u64,
    pub(super) class_idempotency: Arc<ClassIdempotency>,
}

impl ShardThread {
    /// Runs the shard on a thread of its own. A failed shard ends the process; no message is lost, since all are in the
    /// journal.
    ///
    /// # Errors
    /// Fails when the thread can't be started.
    pub(super) fn start(self) -> Result<(), String> {
        let name = format!("core-{}", self.id.0);
        let thread = std::thread::Builder::new().name(name.clone()).spawn(move || {
            let result = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| self.run()));
            if let Err(error) =
                result.unwrap_or_else(|_| Err("the thread panicked, see the message above".to_owned()))
            {
                eprintln!("myrtleyard: {name}: {error}");
                std::process::exit(1);
            }
        });
        thread.map(drop).map_err(|error| format!("can't start the thread of a core: {error}"))
    }

    fn run(self) -> Result<(), String> {
        let runtime =
            stall_detector::observe(tokio::runtime::Builder::new_current_thread().enable_all()).build();
        let runtime = runtime.map_err(|error| format!("runtime: {error}"))?;
        tokio::task::LocalSet::new().block_on(&runtime, async {
            tokio::task::spawn_local(stall_detector::keep_awake());
            let (inbound, mut events) = tokio::sync::mpsc::unbounded_channel();
            let handle = Rc::new(ShardHandle::new(self.id, self.group));
            let sockets = Sockets::new(
                &self.config,
                self.clock,
                None,
                &inbound,
                Some(handle.clone()),
                self.gate.clone(),
            );
            sockets.frontend.set_request_count(self.requests);
            let parts = EventLoopParts {
                clock: self.clock,
                journal: JournalStore::Sharded(self.journal_part),
                shard: Some(Shard::new(handle)),
                frontends: sockets.frontends(),
                transports: sockets.transports(),
                gossip_socket: None,
                gate: self.gate,
                ejections: self.ejections,
                frontends_started: true,
                predecessor_state: None,
                predecessor: None,
                retry_after_deadlines: self.retry_after_deadlines,
                outcome_counts: None,
                clock_set_back: self.clock_set_back,
                snapshot_store: None,
                restored: RestoredState::default(),
                class_idempotency: self.class_idempotency,
            };
            event_loop::run(&self.config, parts, inbound, &mut events).await.map(drop)
        })
    }
}
