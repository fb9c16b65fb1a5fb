//! What cores say to one another, and the bounded queues that it goes through.

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use admin::held_out::Ejections;
use crossbeam_queue::ArrayQueue;
use decision::interface::{EndpointId, MessageId, Micros};
use decision::policy::moving::Parcel;
use journal::PendingMessage;
use sharding::{ForeignAttempt, ShardId};
use tokio::sync::{Notify, oneshot};

use super::Team;
use crate::list::Listed;
use crate::ports::{AttemptOver, Submission};

/// A destination that goes to another core, with all that is known, held and out.
#[derive(Debug)]
pub struct Bundle {
    /// What the module knows.
    pub parcel: Parcel,
    /// The endpoints that it names, by the names that all cores know.
    pub names: BTreeMap<EndpointId, Arc<str>>,
    /// Its messages as the journal has them.
    pub lives: Vec<(u32, PendingMessage)>,
    /// Their ids, and the requests by which they came.
    pub held: Vec<(String, u32, u64)>,
    /// Attempts begun for each.
    pub attempts: Vec<(u32, u16)>,
    /// Who has the connection of each attempt that is out.
    pub connections: Vec<ForeignAttempt>,
}

/// What one core says to another.
#[derive(Debug)]
pub enum Say {
    /// A client handed a message in at that core's front.
    HandedIn(Submission),
    /// A client closed before its request was answered.
    Withdrawn {
        /// The message's `Req-Id`.
        id: String,
        /// The request's number.
        request: u64,
        /// Where it was to go.
        destination: u16,
    },
    /// An attempt ended on that core's connection.
    Ended {
        /// Whose owner has to hear of it.
        destination: u16,
        /// The endpoint's name; its id is another one here.
        name: Arc<str>,
        /// How it ended.
        over: AttemptOver,
    },
    /// An endpoint told that core a wait.
    Wait {
        /// Whose owner has to hear of it.
        destination: u16,
        /// The endpoint's name.
        name: Arc<str>,
        /// How long.
        wait: Micros,
    },
    /// A destination is this core's from now on.
    Parcel(Box<Bundle>),
    /// A destination is to go to another core.
    Depart {
        /// Which.
        destination: u16,
        /// Where to.
        to: ShardId,
    },
    /// All that this core has is to go to the first.
    Gather,
    /// So many places for clients from now on.
    Places(usize),
    /// An attempt on this core's connection is to be called off.
    Cancel(MessageId, u16),
    /// Discovery told that.
    Listed(Listed),
    /// Discovery could not be asked.
    ListFailed,
    /// These endpoints are held out by hand, from when it is answered.
    HeldOut(Ejections, oneshot::Sender<()>),
    /// A client's connection.
    Client(std::net::TcpStream),
    /// Discovery is there from now on.
    Discovery(std::net::SocketAddr),
    /// A line on the state is to be written to the log.
    Status,
    /// The process was asked to end.
    Terminate,
}

/// What came for one core from the others.
pub struct Mailbox {
    queue: ArrayQueue<Say>,
    /// The core was woken for what is in the queue, and has not looked yet.
    told: AtomicBool,
    wake: Notify,
    wakes: AtomicU64,
    said: AtomicU64,
}

impl Mailbox {
    /// With room for so much.
    pub fn new(room: usize) -> Self {
        Self {
            queue: ArrayQueue::new(room.max(8)),
            told: AtomicBool::new(false),
            wake: Notify::new(),
            wakes: AtomicU64::new(0),
            said: AtomicU64::new(0),
        }
    }

    /// Wakes its core, once for all that comes until it looks.
    pub fn wake(&self) {
        if !self.told.swap(true, Ordering::AcqRel) {
            self.wakes.fetch_add(1, Ordering::Relaxed);
            self.wake.notify_one();
        }
    }

    /// Something came.
    pub async fn woken(&self) {
        self.wake.notified().await;
    }

    /// All that is there.
    pub fn drain(&self) -> Vec<Say> {
        // Before it looks: what comes from now on wakes it again.
        self.told.store(false, Ordering::Release);
        let most = self.queue.len();
        (0..most).map_while(|_| self.queue.pop()).collect()
    }

    /// How much was said to it, and how often it was woken for that.
    pub fn figures(&self) -> (u64, u64) {
        (self.said.load(Ordering::Relaxed), self.wakes.load(Ordering::Relaxed))
    }

    fn push(&self, say: Say) -> Result<(), Say> {
        self.queue.push(say)?;
        self.said.fetch_add(1, Ordering::Relaxed);
        self.wake();
        Ok(())
    }
}

/// One core's way to the others. What it says to one of them arrives in order.
pub struct Post {
    me: ShardId,
    team: Arc<Team>,
    /// What found no room in a queue and may not be turned away: bounded by what is out, open or listed. It goes in order, so
    /// that whatever is said behind it waits here too.
    outbox: RefCell<Vec<VecDeque<Say>>>,
}

impl Post {
    /// Nothing was said yet.
    pub fn new(me: ShardId, team: Arc<Team>) -> Self {
        let outbox = (0..team.count()).map(|_| VecDeque::new()).collect();
        Self { me, team, outbox: RefCell::new(outbox) }
    }

    /// Whose it is.
    pub fn me(&self) -> ShardId {
        self.me
    }

    /// What all cores share.
    pub fn team(&self) -> &Arc<Team> {
        &self.team
    }

    /// Says what must arrive.
    pub fn say(&self, to: ShardId, say: Say) {
        let mut outbox = self.outbox.borrow_mut();
        let waiting = &mut outbox[to.index()];
        match if waiting.is_empty() { self.team.mailbox(to).push(say) } else { Err(say) } {
            Ok(()) => {}
            Err(say) => waiting.push_back(say),
        }
    }

    /// Says what can be turned away. Guards the queue of a core that stands still, or is slow, against all that others would
    /// put there: half of it is for what must arrive.
    ///
    /// # Errors
    /// Gives it back where there is no room.
    pub fn try_say(&self, to: ShardId, say: Say) -> Result<(), Say> {
        let mailbox = self.team.mailbox(to);
        let busy = mailbox.queue.len() * 2 >= mailbox.queue.capacity();
        if busy || !self.outbox.borrow()[to.index()].is_empty() {
            return Err(say);
        }
        mailbox.push(say)
    }

    /// Says what must arrive at once or not at all.
    ///
    /// # Errors
    /// Gives it back where there is no room, or something waits for some.
    pub fn say_now(&self, to: ShardId, say: Say) -> Result<(), Say> {
        if self.outbox.borrow()[to.index()].is_empty() { self.team.mailbox(to).push(say) } else { Err(say) }
    }

    /// Whether something waits for room.
    pub fn is_behind(&self) -> bool {
        self.outbox.borrow().iter().any(|waiting| !waiting.is_empty())
    }

    /// Sends what waits for room, as far as there is some.
    pub fn flush(&self) {
        for (to, waiting) in self.outbox.borrow_mut().iter_mut().enumerate() {
            while let Some(say) = waiting.pop_front() {
                if let Err(say) = self.team.mailbox(ShardId(to as u8)).push(say) {
                    waiting.push_front(say);
                    break;
                }
            }
        }
    }
}
