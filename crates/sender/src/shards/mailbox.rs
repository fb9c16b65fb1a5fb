//! What shards send one another, and the bounded mailboxes for it.

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use admin::ejections::Ejections;
use crossbeam_queue::ArrayQueue;
use decision::interface::{EndpointId, MessageId, Micros};
use decision::policy::migration::MigratedState;
use journal::PendingMessage;
use sharding::{ForeignAttempt, ShardId};
use tokio::sync::{Notify, oneshot};

use super::ShardGroup;
use crate::discovery::endpoint_list::EndpointUpdate;
use crate::ports::{AttemptCompleted, Submission};

/// A destination that migrates to another shard, with all its state.
#[derive(Debug)]
pub struct MigratedDestination {
    /// The decision module's state.
    pub state: MigratedState,
    /// The endpoints that it refers to, by the names that all shards know.
    pub names: BTreeMap<EndpointId, Arc<str>>,
    /// Its messages as the journal has them.
    pub messages: Vec<(u32, PendingMessage)>,
    /// Their ids, numbers, and the requests that they came with.
    pub requests: Vec<(String, u32, u64)>,
    /// Attempts started for each.
    pub attempts: Vec<(u32, u16)>,
    /// Which shard has the connection of each attempt in flight.
    pub connections: Vec<ForeignAttempt>,
}

/// What one shard sends to another.
#[derive(Debug)]
pub enum ShardMessage {
    /// A client submitted a message to that shard's frontend.
    Submitted(Submission),
    /// A client closed before its request was answered.
    Withdrawn {
        /// The message's `Req-Id`.
        id: String,
        /// The request's number.
        request: u64,
        /// Its destination.
        destination: u16,
    },
    /// An attempt completed on that shard's connection.
    AttemptCompleted {
        /// The destination, whose owner has to know.
        destination: u16,
        /// The endpoint's name; its id differs between shards.
        name: Arc<str>,
        /// How it ended.
        attempt: AttemptCompleted,
    },
    /// An endpoint sent that shard a Retry-After.
    RetryAfter {
        /// The destination, whose owner has to know.
        destination: u16,
        /// The endpoint's name.
        name: Arc<str>,
        /// How long it binds.
        wait: Micros,
    },
    /// A destination is this shard's from now on.
    Migrate(Box<MigratedDestination>),
    /// A destination is to migrate to another shard.
    MigrateTo {
        /// Which.
        destination: u16,
        /// Where to.
        to: ShardId,
    },
    /// All that this shard has is to migrate to the first.
    Gather,
    /// The most connections of clients from now on.
    MaxConnections(usize),
    /// An attempt on this shard's connection is to be cancelled.
    Cancel(MessageId, u16),
    /// Discovery sent a list, or changes of it.
    EndpointsUpdated(EndpointUpdate),
    /// Discovery failed.
    DiscoveryFailed,
    /// The ejected endpoints, from when it is answered.
    Ejections(Ejections, oneshot::Sender<()>),
    /// A client's connection.
    Client(std::net::TcpStream),
    /// Discovery's address from now on.
    Discovery(std::net::SocketAddr),
    /// The status is to be logged.
    Status,
    /// The process is to shut down.
    Terminate,
}

/// The messages for one shard from the others.
pub struct Mailbox {
    queue: ArrayQueue<ShardMessage>,
    /// The shard was notified of what is in the queue, and has not drained it yet.
    notified: AtomicBool,
    wake: Notify,
    notifications: AtomicU64,
    sent: AtomicU64,
}

impl Mailbox {
    /// A mailbox with capacity for so many messages.
    pub fn new(room: usize) -> Self {
        Self {
            queue: ArrayQueue::new(room.max(8)),
            notified: AtomicBool::new(false),
            wake: Notify::new(),
            notifications: AtomicU64::new(0),
            sent: AtomicU64::new(0),
        }
    }

    /// Notifies its shard, once for all that arrives until it drains the mailbox.
    pub fn wake(&self) {
        if !self.notified.swap(true, Ordering::AcqRel) {
            self.notifications.fetch_add(1, Ordering::Relaxed);
            self.wake.notify_one();
        }
    }

    /// Waits until something arrives.
    pub async fn notified(&self) {
        self.wake.notified().await;
    }

    /// Takes all messages.
    pub fn drain(&self) -> Vec<ShardMessage> {
        // Before it drains: what arrives from now on notifies it again.
        self.notified.store(false, Ordering::Release);
        let most = self.queue.len();
        (0..most).map_while(|_| self.queue.pop()).collect()
    }

    /// How many messages were sent to it, and how often it was notified.
    pub fn figures(&self) -> (u64, u64) {
        (self.sent.load(Ordering::Relaxed), self.notifications.load(Ordering::Relaxed))
    }

    fn push(&self, say: ShardMessage) -> Result<(), ShardMessage> {
        self.queue.push(say)?;
        self.sent.fetch_add(1, Ordering::Relaxed);
        self.wake();
        Ok(())
    }
}

/// One shard's way to the others. Messages to one of them arrive in order.
pub struct ShardHandle {
    me: ShardId,
    team: Arc<ShardGroup>,
    /// What a full mailbox had no capacity for and must arrive: bounded by what is in flight, open or listed.
    /// Sent in order, so that whatever follows waits here too.
    outbox: RefCell<Vec<VecDeque<ShardMessage>>>,
}

impl ShardHandle {
    /// A handle that has sent nothing yet.
    pub fn new(me: ShardId, team: Arc<ShardGroup>) -> Self {
        let outbox = (0..team.count()).map(|_| VecDeque::new()).collect();
        Self { me, team, outbox: RefCell::new(outbox) }
    }

    /// The shard that it belongs to.
    pub fn id(&self) -> ShardId {
        self.me
    }

    /// What all shards share.
    pub fn group(&self) -> &Arc<ShardGroup> {
        &self.team
    }

    /// Sends what must arrive.
    pub fn send(&self, to: ShardId, say: ShardMessage) {
        let mut outbox = self.outbox.borrow_mut();
        let waiting = &mut outbox[to.index()];
        match if waiting.is_empty() { self.team.mailbox(to).push(say) } else { Err(say) } {
            Ok(()) => {}
            Err(say) => waiting.push_back(say),
        }
    }

    /// Sends what may be rejected. Guards the mailbox of a shard that stalls or is slow against all that
    /// others would put there: half of it is for what must arrive.
    ///
    /// # Errors
    /// Returns the message where the mailbox is full.
    pub fn try_send(&self, to: ShardId, say: ShardMessage) -> Result<(), ShardMessage> {
        let mailbox = self.team.mailbox(to);
        let busy = mailbox.queue.len() * 2 >= mailbox.queue.capacity();
        if busy || !self.outbox.borrow()[to.index()].is_empty() {
            return Err(say);
        }
        mailbox.push(say)
    }

    /// Sends what must arrive at once or not at all.
    ///
    /// # Errors
    /// Returns the message where the mailbox is full, or something waits already.
    pub fn send_now(&self, to: ShardId, say: ShardMessage) -> Result<(), ShardMessage> {
        if self.outbox.borrow()[to.index()].is_empty() { self.team.mailbox(to).push(say) } else { Err(say) }
    }

    /// Whether something waits for capacity.
    pub fn is_behind(&self) -> bool {
        self.outbox.borrow().iter().any(|waiting| !waiting.is_empty())
    }

    /// Sends what waits, as far as there is capacity.
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
