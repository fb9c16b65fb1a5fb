//! What all cores of a sender share: who owns which destination, what belongs to the whole process, and what each shows.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use admin::figures::{Gauges, OutcomeCounts};
use arc_swap::ArcSwap;
use sharding::{LeasePool, OwnershipMap, ShardId};

use super::post::Mailbox;

/// What belongs to the whole process, leased to cores.
#[derive(Debug)]
pub struct Room {
    /// Calls that may be out at once.
    pub slots: LeasePool,
    /// Messages that may be held.
    pub held: LeasePool,
    /// Connections to endpoints.
    pub connections: LeasePool,
}

/// What a core shows of itself.
#[derive(Debug, Clone, Default)]
pub struct Figures {
    /// How messages ended there.
    pub ends: Option<OutcomeCounts>,
    /// What is so at the moment; of endpoints out of rotation those that breakers shut.
    pub now: Gauges,
    /// Calls that are out, and messages that wait.
    pub out: usize,
    /// Destinations that came, and that went.
    pub moves: (u64, u64),
}

/// What all cores share.
pub struct Team {
    owners: ArcSwap<OwnershipMap>,
    mailboxes: Vec<Mailbox>,
    room: Mutex<Room>,
    figures: Vec<Mutex<Figures>>,
    /// Events by destination since the planner last asked.
    work: Vec<Mutex<HashMap<u16, u32>>>,
    /// Clients' connections of each core, with those that are on their way to it.
    clients: Vec<AtomicUsize>,
    /// Which core is done with all that it can be done with.
    done: Vec<AtomicBool>,
    moves: AtomicU64,
    failed: AtomicU64,
}

fn lock<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Team {
    /// So many cores as the owners have, and queues between them with room for so much.
    pub fn new(owners: OwnershipMap, room: Room, queue: usize) -> Arc<Self> {
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

    /// How many cores there are.
    pub fn count(&self) -> usize {
        self.mailboxes.len()
    }

    /// All of them.
    pub fn all(&self) -> impl Iterator<Item = ShardId> + use<> {
        (0..self.count() as u8).map(ShardId)
    }

    /// Who owns what, as one version.
    pub fn owners(&self) -> Arc<OwnershipMap> {
        self.owners.load_full()
    }

    /// A destination's owner.
    pub fn owner(&self, destination: u16) -> ShardId {
        self.owners.load().owner(destination)
    }

    /// A destination's owner has sent it to another core: to be called behind that, and by the owner alone.
    pub fn has_gone(&self, destination: u16, to: ShardId) {
        self.owners.rcu(|owners| owners.with(destination, to));
        self.moves.fetch_add(1, Ordering::Relaxed);
    }

    /// All that a core owned is the first's: to be called behind the parcels, and by the core alone.
    pub fn has_gathered(&self, core: ShardId) {
        self.owners.rcu(|owners| owners.with_drained(core));
    }

    /// Clients' connections of all cores but one.
    pub fn clients_of_others(&self, core: ShardId) -> usize {
        let others = self.clients.iter().enumerate().filter(|(other, _)| *other != core.index());
        others.map(|(_, clients)| clients.load(Ordering::Relaxed)).sum()
    }

    /// A move that was asked for did not come about.
    pub fn stayed(&self) {
        self.failed.fetch_add(1, Ordering::Relaxed);
    }

    /// Destinations that moved, and moves that did not come about.
    pub fn moves(&self) -> (u64, u64) {
        (self.moves.load(Ordering::Relaxed), self.failed.load(Ordering::Relaxed))
    }

    /// What comes for a core.
    pub fn mailbox(&self, core: ShardId) -> &Mailbox {
        &self.mailboxes[core.index()]
    }

    /// What belongs to the whole process. Held for a reckoning without I/O alone.
    pub fn room(&self) -> MutexGuard<'_, Room> {
        lock(&self.room)
    }

    /// What a core shows.
    pub fn show(&self, core: ShardId, figures: Figures) {
        *lock(&self.figures[core.index()]) = figures;
    }

    /// What each showed last.
    pub fn figures(&self) -> Vec<Figures> {
        self.figures.iter().map(|figures| lock(figures).clone()).collect()
    }

    /// A core's turn had so many events of each of these destinations.
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

    /// The core with the fewest clients gets one more.
    pub fn deal(&self) -> ShardId {
        let fewest = self.all().min_by_key(|core| self.clients[core.index()].load(Ordering::Relaxed));
        let fewest = fewest.unwrap_or(ShardId(0));
        self.clients[fewest.index()].fetch_add(1, Ordering::Relaxed);
        fewest
    }

    /// A client of a core is gone, or never came there.
    pub fn client_gone(&self, core: ShardId) {
        self.clients[core.index()].fetch_sub(1, Ordering::Relaxed);
    }

    /// Whether a core has nothing left to do; tells whether none has.
    pub fn done(&self, core: ShardId, done: bool) -> bool {
        self.done[core.index()].store(done, Ordering::Release);
        self.done.iter().all(|done| done.load(Ordering::Acquire))
    }
}
