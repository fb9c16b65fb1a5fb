//! The state that all shards of a sender share: the ownership map, mailboxes, capacity of the whole process, and
//! published figures.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use admin::metrics::{Gauges, OutcomeCounts};
use arc_swap::ArcSwap;
use sharding::{LeasePool, OwnershipMap, ShardId};

use super::mailbox::Mailbox;

/// Capacity of the whole process, which is leased to shards.
#[derive(Debug)]
pub struct ShardQuotas {
    /// Calls in flight.
    pub calls: LeasePool,
    /// Pending messages.
    pub messages: LeasePool,
    /// Connections to endpoints.
    pub connections: LeasePool,
}

/// The published figures of a shard.
#[derive(Debug, Clone, Default)]
pub struct Figures {
    /// Final outcomes of messages, once the shard has published any.
    pub outcome_counts: Option<OutcomeCounts>,
    /// The gauges. Their `out_of_rotation` counts the endpoints whose breakers are open.
    pub gauges: Gauges,
    /// Calls in flight.
    pub calls_in_flight: usize,
    /// Number of destinations that migrated to this shard, and of those that migrated away.
    pub migrations: (u64, u64),
}

/// The state that all shards share.
pub struct ShardGroup {
    owners: ArcSwap<OwnershipMap>,
    mailboxes: Vec<Mailbox>,
    quotas: Mutex<ShardQuotas>,
    figures: Vec<Mutex<Figures>>,
    /// Events by destination since the planner last read them, for each shard.
    work: Vec<Mutex<HashMap<u16, u32>>>,
    /// Number of clients' connections of each shard, including those that are being sent to it.
    clients: Vec<AtomicUsize>,
    /// Whether each shard has nothing left to do and may end.
    done: Vec<AtomicBool>,
    /// How many migrations happened.
    migrations: AtomicU64,
    /// How many migrations were requested and did not happen.
    failed_migrations: AtomicU64,
}

/// Locks a mutex, also after a panic of another shard.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl ShardGroup {
    /// Creates the state for the shards of this map. `queue` is the capacity of each mailbox, in messages.
    pub fn new(owners: OwnershipMap, quotas: ShardQuotas, queue: usize) -> Arc<Self> {
        let count = owners.shards();
        Arc::new(Self {
            owners: ArcSwap::from_pointee(owners),
            mailboxes: (0..count).map(|_| Mailbox::new(queue)).collect(),
            quotas: Mutex::new(quotas),
            figures: (0..count).map(|_| Mutex::default()).collect(),
            work: (0..count).map(|_| Mutex::default()).collect(),
            clients: (0..count).map(|_| AtomicUsize::new(0)).collect(),
            done: (0..count).map(|_| AtomicBool::new(false)).collect(),
            migrations: AtomicU64::new(0),
            failed_migrations: AtomicU64::new(0),
        })
    }

    /// The number of shards.
    pub fn count(&self) -> usize {
        self.mailboxes.len()
    }

    /// The ids of all shards.
    pub fn all(&self) -> impl Iterator<Item = ShardId> + use<> {
        (0..self.count() as u8).map(ShardId)
    }

    /// The current version of the ownership map.
    pub fn owners(&self) -> Arc<OwnershipMap> {
        self.owners.load_full()
    }

    /// The shard that owns a destination.
    pub fn owner(&self, destination: u16) -> ShardId {
        self.owners.load().owner(destination)
    }

    /// Records that a destination has migrated. Must be called by its former owner only, after that one has sent the
    /// destination to the new owner.
    pub fn migrated(&self, destination: u16, to: ShardId) {
        self.owners.rcu(|owners| owners.with(destination, to));
        self.migrations.fetch_add(1, Ordering::Relaxed);
    }

    /// Records that the first shard owns all destinations of this one from now on. Must be called by this shard only,
    /// after its migrations.
    pub fn gathered(&self, shard: ShardId) {
        self.owners.rcu(|owners| owners.with_drained(shard));
    }

    /// The number of clients' connections of all shards but this one.
    pub fn clients_of_others(&self, shard: ShardId) -> usize {
        let others = self.clients.iter().enumerate().filter(|(index, _)| *index != shard.index());
        others.map(|(_, clients)| clients.load(Ordering::Relaxed)).sum()
    }

    /// Counts a migration that did not happen.
    pub fn migration_failed(&self) {
        self.failed_migrations.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns how many migrations happened, and how many did not.
    pub fn migration_counts(&self) -> (u64, u64) {
        (self.migrations.load(Ordering::Relaxed), self.failed_migrations.load(Ordering::Relaxed))
    }

    /// A shard's mailbox.
    pub fn mailbox(&self, shard: ShardId) -> &Mailbox {
        &self.mailboxes[shard.index()]
    }

    /// Locks the capacity of the whole process. The lock must be held for arithmetic only, never during I/O.
    pub fn quotas(&self) -> MutexGuard<'_, ShardQuotas> {
        lock(&self.quotas)
    }

    /// Publishes a shard's figures.
    pub fn publish_figures(&self, shard: ShardId, figures: Figures) {
        *lock(&self.figures[shard.index()]) = figures;
    }

    /// Returns the last published figures of each shard.
    pub fn figures(&self) -> Vec<Figures> {
        self.figures.iter().map(|figures| lock(figures).clone()).collect()
    }

    /// Adds a shard's numbers of events by destination, for the planner.
    pub fn add_work(&self, shard: ShardId, work: impl Iterator<Item = (u16, u32)>) {
        let mut total = lock(&self.work[shard.index()]);
        work.for_each(|(destination, events)| *total.entry(destination).or_default() += events);
    }

    /// Returns the events of all shards by destination since the last call.
    pub fn take_work(&self) -> HashMap<u16, u32> {
        let mut total = HashMap::new();
        for work in &self.work {
            lock(work)
                .drain()
                .for_each(|(destination, events)| *total.entry(destination).or_default() += events);
        }
        total
    }

    /// Assigns a new client to the shard with the fewest clients.
    pub fn assign_client(&self) -> ShardId {
        let fewest = self.all().min_by_key(|shard| self.clients[shard.index()].load(Ordering::Relaxed));
        let fewest = fewest.unwrap_or(ShardId(0));
        self.clients[fewest.index()].fetch_add(1, Ordering::Relaxed);
        fewest
    }

    /// Records that a client of a shard has disconnected, or could not be sent to it.
    pub fn client_gone(&self, shard: ShardId) {
        self.clients[shard.index()].fetch_sub(1, Ordering::Relaxed);
    }

    /// Records whether a shard has nothing left to do. Returns whether this is true of all shards.
    pub fn set_done(&self, shard: ShardId, done: bool) -> bool {
        self.done[shard.index()].store(done, Ordering::Release);
        self.done.iter().all(|done| done.load(Ordering::Acquire))
    }
}
