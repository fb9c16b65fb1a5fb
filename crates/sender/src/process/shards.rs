//! The shards of a process: what they share, and the threads of all but the first.

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

use super::sockets::{SHARE_DURING_HANDOVER, SocketSides, connection_limit};
use crate::config::Config;
use crate::event_loop::{self, EventLoopParts, Shard};
use crate::persistence::class_idempotency::ClassIdempotency;
use crate::persistence::journal::JournalStore;
use crate::ports::Clock;
use crate::shards::{ShardGroup, ShardHandle, ShardQuotas};
use crate::stall_detector;

/// Most messages for which a shard's mailbox has space, whatever the settings allow.
const MAX_QUEUED_MESSAGES: usize = 16_384;
/// A mailbox has space for at least so many.
const MIN_QUEUE: usize = 1_024;

/// Divides among the shards what the settings say of the whole process and each decision module keeps for itself: the
/// activations of idle destinations, and how many are active and retained.
pub(super) fn divide_by_shards(settings: &mut Settings, shards: usize) {
    if let Some(idle) = &mut settings.idle {
        idle.activations_per_second /= shards as f64;
        idle.max_retained = (idle.max_retained / shards).max(1);
        idle.max_active = (idle.max_active / shards).max(1);
    }
}

/// What several shards share, as many as the operators' file says; none where it says one.
///
/// # Errors
/// Fails where a class keeps order over all destinations, which several shards can't.
pub(super) fn shard_group(
    config: &Config,
    operators: &Operators,
    taken_over: bool,
) -> Result<Option<Arc<ShardGroup>>, String> {
    let count = operators.cores.count as usize;
    if count < 2 {
        return Ok(None);
    }
    // Guards order: keys are not a destination's, and each destination has one shard.
    let ordered = config.settings.classes.iter().position(|class| class.in_order);
    if let Some(name) = ordered.and_then(|at| config.names.classes.get(at)) {
        return Err(format!(
            "[cores] count = {count}: class {name} keeps order over all destinations; it takes count = 1"
        ));
    }
    let settings = &config.settings;
    let quotas = ShardQuotas {
        calls: LeasePool::new(settings.max_calls, count),
        messages: LeasePool::new(settings.max_messages, count),
        connections: LeasePool::new(
            connection_limit(config, count) / if taken_over { SHARE_DURING_HANDOVER } else { 1 },
            count,
        ),
    };
    // What must arrive is bounded by what is in flight, pending and connected; as much again can be rejected.
    let queue = 2
        * (settings.max_calls * 2
            + settings.max_messages.min(MAX_QUEUED_MESSAGES)
            + connection_limit(config, count))
        .max(MIN_QUEUE);
    let owners =
        if taken_over { OwnershipMap::all_on(count, ShardId(0)) } else { OwnershipMap::hashed(count) };
    Ok(Some(ShardGroup::new(owners, quotas, queue)))
}

/// What each shard but the first is started with.
pub(super) struct ShardThread {
    pub(super) id: ShardId,
    pub(super) group: Arc<ShardGroup>,
    pub(super) config: Config,
    pub(super) clock: Clock,
    pub(super) journal_part: JournalPart,
    pub(super) ejections: Ejections,
    pub(super) gate: watch::Sender<AdmissionGate>,
    pub(super) waits: Vec<(String, Micros)>,
    pub(super) clock_set_back: bool,
    /// Its requests are counted from this number.
    pub(super) requests: u64,
    pub(super) class_idempotency: Arc<ClassIdempotency>,
}

impl ShardThread {
    /// Runs the shard on a thread of its own. One that fails ends the process: its messages are in the journal.
    ///
    /// # Errors
    /// Fails when there is no thread to be had.
    pub(super) fn start(self) -> Result<(), String> {
        let name = format!("core-{}", self.id.0);
        let thread = std::thread::Builder::new().name(name.clone()).spawn(move || {
            let ran = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| self.run()));
            if let Err(e) = ran.unwrap_or_else(|_| Err("failed, as it said above".to_owned())) {
                eprintln!("myrtleyard: {name}: {e}");
                std::process::exit(1);
            }
        });
        thread.map(drop).map_err(|e| format!("no thread for a core: {e}"))
    }

    fn run(self) -> Result<(), String> {
        let runtime =
            stall_detector::observe(tokio::runtime::Builder::new_current_thread().enable_all()).build();
        let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
        tokio::task::LocalSet::new().block_on(&runtime, async {
            tokio::task::spawn_local(stall_detector::keep_awake());
            let (inbound, mut events) = tokio::sync::mpsc::unbounded_channel();
            let handle = Rc::new(ShardHandle::new(self.id, self.group));
            let sockets = SocketSides::new(
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
                waits: self.waits,
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
