//! One of several shards: the messages between them, the leases of what belongs to the process, and migrations.

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

/// A migration that cannot happen within this time is given up.
const MIGRATION_TIMEOUT: Micros = 1_000_000;
/// What binds all shards does so within this time, or the administrator is told that it does not yet.
const BROADCAST_TIMEOUT: Duration = Duration::from_millis(800);
/// Between two rounds of the planner.
const PLAN_INTERVAL: Micros = 250_000;
/// Between two publications of a shard's figures, while anything changes them.
const PUBLISH_INTERVAL: Micros = 100_000;

/// A destination that is to migrate as soon as it can.
struct PendingMigration {
    destination: u16,
    to: ShardId,
    deadline: Micros,
}

/// What the event loop of a shard has that one of a single-shard process has not.
pub struct Shard {
    handle: Rc<ShardHandle>,
    router: AttemptRouter<EndpointId>,
    /// As of this iteration.
    owners: Arc<OwnershipMap>,
    /// Calls and messages that the decision module may use, as it was last told.
    announced_capacity: (usize, usize),
    leased_connections: usize,
    work: HashMap<u16, u32>,
    pending_migration: Option<PendingMigration>,
    /// All destinations are to migrate to the first shard.
    gathering: bool,
    /// The figures are published again then.
    publish_at: Micros,
    attached: u64,
    detached: u64,
    /// The first shard plans migrations for all: the planner, and when it is due.
    planner: Option<(Planner, Micros)>,
    /// It was logged that no migration evens the load out.
    imbalance_logged: bool,
}

impl Shard {
    /// A shard without any attempt in flight.
    pub fn new(post: Rc<ShardHandle>) -> Self {
        let (me, team) = (post.id(), post.group());
        let planner = (me == ShardId(0)).then(|| (Planner::new(team.count()), 0));
        let owners = team.owners();
        Self {
            router: AttemptRouter::new(me),
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
            handle: post,
        }
    }

    /// What all shards share.
    pub fn group(&self) -> &Arc<ShardGroup> {
        self.handle.group()
    }

    /// Which shard this is.
    pub fn id(&self) -> ShardId {
        self.handle.id()
    }

    fn owns(&self, destination: u16) -> bool {
        self.owners.owner(destination) == self.id()
    }

    fn send_to_owner(&self, destination: u16, say: ShardMessage) {
        self.handle.send(self.owners.owner(destination), say);
    }

    fn others(&self) -> impl Iterator<Item = ShardId> {
        let me = self.id();
        self.group().all().filter(move |core| *core != me)
    }

    fn record_work(&mut self, destination: u16) {
        *self.work.entry(destination).or_default() += 1;
    }

    fn schedule_migration(&mut self, destination: u16, to: ShardId, now: Micros) {
        let until = now + MIGRATION_TIMEOUT;
        if self.pending_migration.replace(PendingMigration { destination, to, deadline: until }).is_some() {
            self.group().migration_failed();
        }
    }

    /// An attempt that a predecessor started, on a connection that it has.
    pub(super) fn adopt_attempt(&mut self, attempt: (u32, u16), destination: u16, endpoint: EndpointId) {
        // One that goes on after all knows its own.
        let attempt = AttemptId::new(attempt.0, attempt.1);
        if !self.router.contains(attempt) {
            self.router.attempt_started(attempt, destination, endpoint);
        }
    }

    /// Attempts in flight on connections of other shards.
    pub(super) fn remote_shards(
        &self,
        out: &[(MessageId, u16, EndpointId)],
        ids: &[(String, EndpointId)],
    ) -> RemoteShards {
        let on = |(message, attempt, endpoint): &(MessageId, u16, EndpointId)| {
            let core = self.router.connection(AttemptId::new(message.0, *attempt));
            (core != self.id()).then_some(((*message, *attempt), (core, *endpoint)))
        };
        RemoteShards::new(self.handle.clone(), out.iter().filter_map(on).collect(), ids)
    }

    /// Whether it needs an iteration soon though nothing arrives.
    fn needs_polling(&self) -> bool {
        self.pending_migration.is_some() || self.gathering || self.handle.is_behind()
    }

    /// When it needs an iteration, though nothing arrives.
    pub(super) fn next_due(&self, now: Micros) -> Micros {
        let soon = if self.needs_polling() { now + 5_000 } else { Micros::MAX };
        // Once more after the last change: published figures are no older than the interval.
        let shows = if self.router.local_attempts() > 0 || self.publish_at > now {
            self.publish_at.max(now + 1)
        } else {
            Micros::MAX
        };
        self.planner.as_ref().map_or(Micros::MAX, |planner| planner.1).min(soon).min(shows)
    }
}

/// Waits until another shard has sent something.
pub(super) async fn wait_for_messages(member: Option<&Shard>) {
    match member {
        Some(member) => member.group().mailbox(member.id()).notified().await,
        None => std::future::pending().await,
    }
}

/// An id that no list has.
const UNLISTED: EndpointId = EndpointId([u8::MAX; 6]);
