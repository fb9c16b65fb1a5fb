//! What all shards of a sender share: who owns which destination, what belongs to the whole process, and
//! published figures.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use admin::figures::{Gauges, OutcomeCounts};
use arc_swap::ArcSwap;
use sharding::{LeasePool, OwnershipMap, ShardId};

use super::mailbox::Mailbox;

/// What belongs to the whole process, leased to shards.
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
    /// Final outcomes there.
    pub ends: Option<OutcomeCounts>,
    /// Its gauges; of endpoints out of rotation those whose breakers are open.
    pub now: Gauges,
    /// Calls in flight.
    pub out: usize,
    /// Destinations attached, and detached.
    pub moves: (u64, u64),
}

/// What all shards share.
pub struct ShardGroup {
    owners: ArcSwap<OwnershipMap>,
    mailboxes: Vec<Mailbox>,
    room: Mutex<ShardQuotas>,
    figures: Vec<Mutex<Figures>>,
    /// Events by destination since the planner last asked.
    work: Vec<Mutex<HashMap<u16, u32>>>,
    /// Clients' connections of each shard, with those that are on their way to it.
    clients: Vec<AtomicUsize>,
    /// Which shard has nothing left to do.
    done: Vec<AtomicBool>,
    moves: AtomicU64,
    failed: AtomicU64,
}

fn lock<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().unwrap_or_else(PoisonError::into_inner)
}

impl ShardGroup {
    /// As many shards as the map has, with mailboxes of so many messages.
    pub fn new(owners: OwnershipMap, room: ShardQuotas, queue: usize) -> Arc<Self> {
        let count = owners.shards();
        Arc::new(Self {
            owners: ArcSwap::from_pointee(owners),
            mailboxes: (0..count).map(|_| Mailbox::new(queue)).collect(),
            room: Mutex::new(room),
            figures: (0..count).map(|_| Mutex::default()).collect(),
            work: (0..count).map(|_| Mutex::default()).collect(),
            clients: (0..count).map(|_| AtomicUsize::new(0)).collect(),
            done: (0..count).map(|_| AtomicBool::new(false)).collect(),
            moves: AtomicU64::new(0),
            failed: AtomicU64::new(0),
        })
    }

    /// How many shards there are.
    pub fn count(&self) -> usize {
        self.mailboxes.len()
    }

    /// All of them.
    pub fn all(&self) -> impl Iterator<Item = ShardId> + use<> {
        (0..self.count() as u8).map(ShardId)
    }

    /// The ownership map, as one version.
    pub fn owners(&self) -> Arc<OwnershipMap> {
        self.owners.load_full()
    }

    /// A destination's owner.
    pub fn owner(&self, destination: u16) -> ShardId {
        self.owners.load().owner(destination)
    }

    /// Records that a destination's owner has sent it to another shard: to be called after that, and by the
    /// owner alone.
    pub fn migrated(&self, destination: u16, to: ShardId) {
        self.owners.rcu(|owners| owners.with(destination, to));
        self.moves.fetch_add(1, Ordering::Relaxed);
    }

    /// Records that all that a shard owned is the first's: to be called after its migrations, and by the
    /// shard alone.
    pub fn gathered(&self, core: ShardId) {
        self.owners.rcu(|owners| owners.with_drained(core));
    }

    /// Clients' connections of all shards but one.
    pub fn clients_of_others(&self, core: ShardId) -> usize {
        let others = self.clients.iter().enumerate().filter(|(other, _)| *other != core.index());
        others.map(|(_, clients)| clients.load(Ordering::Relaxed)).sum()
    }

    /// Counts a migration that did not happen.
    pub fn migration_failed(&self) {
        self.failed.fetch_add(1, Ordering::Relaxed);
    }

    /// Migrations that happened, and those that did not.
    pub fn migration_counts(&self) -> (u64, u64) {
        (self.moves.load(Ordering::Relaxed), self.failed.load(Ordering::Relaxed))
    }

    /// A shard's mailbox.
    pub fn mailbox(&self, core: ShardId) -> &Mailbox {
        &self.mailboxes[core.index()]
    }

    /// What belongs to the whole process. Locked for arithmetic alone, never over I/O.
    pub fn quotas(&self) -> MutexGuard<'_, ShardQuotas> {
        lock(&self.room)
    }

    /// Publishes a shard's figures.
    pub fn show(&self, core: ShardId, figures: Figures) {
        *lock(&self.figures[core.index()]) = figures;
    }

    /// The figures that each shard published last.
    pub fn figures(&self) -> Vec<Figures> {
        self.figures.iter().map(|figures| lock(figures).clone()).collect()
    }

    /// Counts a shard's events of each of these destinations.
    pub fn worked(&self, core: ShardId, work: impl Iterator<Item = (u16, u32)>) {
        let mut of = lock(&self.work[core.index()]);
        work.for_each(|(destination, events)| *of.entry(destination).or_default() += events);
    }

    /// All events since this was last asked, by destination.
    pub fn take_work(&self) -> HashMap<u16, u32> {
        let mut all = HashMap::new();
        for of in &self.work {
            lock(of).drain().for_each(|(destination, events)| *all.entry(destination).or_default() += events);
        }
        all
    }

    /// Picks the shard with the fewest clients for one more.
    pub fn deal(&self) -> ShardId {
        let fewest = self.all().min_by_key(|core| self.clients[core.index()].load(Ordering::Relaxed));
        let fewest = fewest.unwrap_or(ShardId(0));
        self.clients[fewest.index()].fetch_add(1, Ordering::Relaxed);
        fewest
    }

    /// A client of a shard is gone, or never arrived there.
    pub fn client_gone(&self, core: ShardId) {
        self.clients[core.index()].fetch_sub(1, Ordering::Relaxed);
    }

    /// Records whether a shard has nothing left to do; returns whether none has.
    pub fn done(&self, core: ShardId, done: bool) -> bool {
        self.done[core.index()].store(done, Ordering::Release);
        self.done.iter().all(|done| done.load(Ordering::Acquire))
    }
}
