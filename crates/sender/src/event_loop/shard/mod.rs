//! The event loop of one of several shards: messages between shards, leases of shared capacity, and migrations.

mod admin_broadcast;
mod figures;
mod leases;
mod messages;
mod migration;

use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use decision::interface::{EndpointId, MessageId, Micros};
use sharding::{AttemptId, AttemptRouter, OwnershipMap, Planner, ShardId};

use crate::shards::{RemoteShards, ShardGroup, ShardHandle, ShardMessage};

/// Time after which a migration that could not happen is cancelled.
const MIGRATION_TIMEOUT: Micros = 1_000_000;
/// How long an administrative request waits until all shards have applied it. After that its answer is an error.
const BROADCAST_TIMEOUT: Duration = Duration::from_millis(800);
/// Interval between two rounds of the migration planner.
const PLAN_INTERVAL: Micros = 250_000;
/// Interval at which a shard's figures are published while they change.
const PUBLISH_INTERVAL: Micros = 100_000;

/// A destination that migrates as soon as it can be detached.
struct PendingMigration {
    destination: u16,
    to: ShardId,
    deadline: Micros,
}

/// Additional state of an event loop that runs one of several shards.
pub struct Shard {
    handle: Rc<ShardHandle>,
    /// Which shard has the connection of each attempt in flight.
    router: AttemptRouter<EndpointId>,
    /// The ownership map as of this iteration.
    owners: Arc<OwnershipMap>,
    /// The maximum numbers of calls and messages that were last announced to the decision module.
    announced_capacity: (usize, usize),
    leased_connections: usize,
    /// Events by destination since the last iteration ended.
    work: HashMap<u16, u32>,
    pending_migration: Option<PendingMigration>,
    /// Whether all destinations migrate to the first shard, before a hand-over.
    gathering: bool,
    /// When the figures are published again.
    publish_at: Micros,
    /// How many destinations migrated to this shard.
    attached: u64,
    /// How many destinations migrated away from this shard.
    detached: u64,
    /// The migration planner and when it is due next. Only the first shard has one.
    planner: Option<(Planner, Micros)>,
    /// Whether it was logged that no migration can balance the load. It is logged once until the load changes.
    imbalance_logged: bool,
}

impl Shard {
    /// Creates a shard without any attempt in flight.
    pub fn new(handle: Rc<ShardHandle>) -> Self {
        let (id, group) = (handle.id(), handle.group());
        let planner = (id == ShardId(0)).then(|| (Planner::new(group.count()), 0));
        let owners = group.owners();
        Self {
            router: AttemptRouter::new(id),
            owners,
            announced_capacity: (0, 0),
            leased_connections: 0,
            work: HashMap::new(),
            pending_migration: None,
            gathering: false,
            publish_at: 0,
            attached: 0,
            detached: 0,
            planner,
            imbalance_logged: false,
            handle,
        }
    }

    /// The state that all shards share.
    pub fn group(&self) -> &Arc<ShardGroup> {
        self.handle.group()
    }

    /// The shard's id.
    pub fn id(&self) -> ShardId {
        self.handle.id()
    }

    fn owns(&self, destination: u16) -> bool {
        self.owners.owner(destination) == self.id()
    }

    fn send_to_owner(&self, destination: u16, message: ShardMessage) {
        self.handle.send(self.owners.owner(destination), message);
    }

    fn others(&self) -> impl Iterator<Item = ShardId> {
        let own_id = self.id();
        self.group().all().filter(move |id| *id != own_id)
    }

    fn record_work(&mut self, destination: u16) {
        *self.work.entry(destination).or_default() += 1;
    }

    fn schedule_migration(&mut self, destination: u16, to: ShardId, now: Micros) {
        let deadline = now + MIGRATION_TIMEOUT;
        if self.pending_migration.replace(PendingMigration { destination, to, deadline }).is_some() {
            self.group().migration_failed();
        }
    }

    /// Records an attempt that the predecessor started and carries on its connection.
    pub(super) fn adopt_attempt(&mut self, attempt: (u32, u16), destination: u16, endpoint: EndpointId) {
        // A process that resumes after a failed hand-over has recorded its own attempts already.
        let attempt = AttemptId::new(attempt.0, attempt.1);
        if !self.router.contains(attempt) {
            self.router.attempt_started(attempt, destination, endpoint);
        }
    }

    /// Returns the other shards as a frontend and a transport, with the attempts in flight on their connections.
    pub(super) fn remote_shards(
        &self,
        attempts_in_flight: &[(MessageId, u16, EndpointId)],
        ids: &[(String, EndpointId)],
    ) -> RemoteShards {
        let remote_attempt = |(message, attempt, endpoint): &(MessageId, u16, EndpointId)| {
            let shard = self.router.connection(AttemptId::new(message.0, *attempt));
            (shard != self.id()).then_some(((*message, *attempt), (shard, *endpoint)))
        };
        RemoteShards::new(
            self.handle.clone(),
            attempts_in_flight.iter().filter_map(remote_attempt).collect(),
            ids,
        )
    }

    /// Returns whether an iteration is needed soon even if nothing arrives.
    fn needs_polling(&self) -> bool {
        self.pending_migration.is_some() || self.gathering || self.handle.has_unsent()
    }

    /// Returns when the next iteration is needed if nothing arrives.
    pub(super) fn next_due(&self, now: Micros) -> Micros {
        let next_poll = if self.needs_polling() { now + 5_000 } else { Micros::MAX };
        // Figures are published once more after the last change, so that they are never older than the interval.
        let next_publication = if self.router.local_attempts() > 0 || self.publish_at > now {
            self.publish_at.max(now + 1)
        } else {
            Micros::MAX
        };
        self.planner.as_ref().map_or(Micros::MAX, |planner| planner.1).min(next_poll).min(next_publication)
    }
}

/// Waits until another shard has sent a message. With a single event loop it waits forever.
pub(super) async fn wait_for_messages(shard: Option<&Shard>) {
    match shard {
        Some(shard) => shard.group().mailbox(shard.id()).notified().await,
        None => std::future::pending().await,
    }
}

/// Id of an endpoint that no list has.
const UNLISTED: EndpointId = EndpointId([u8::MAX; 6]);
