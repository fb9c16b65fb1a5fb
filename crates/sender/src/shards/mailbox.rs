//! Messages between shards, and the bounded mailboxes that carry them.

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

/// All state of a destination that migrates to another shard.
#[derive(Debug)]
pub struct MigratedDestination {
    /// The decision module's state.
    pub state: MigratedState,
    /// Names of the endpoints that the state refers to. Endpoint ids differ between shards, names do not.
    pub names: BTreeMap<EndpointId, Arc<str>>,
    /// The pending messages by number, as the journal has them.
    pub messages: Vec<(u32, PendingMessage)>,
    /// For each message its `Req-Id`, its number, and the number of the request that submitted it.
    pub requests: Vec<(String, u32, u64)>,
    /// How many attempts of each message were started.
    pub attempts: Vec<(u32, u16)>,
    /// The shard that has the connection of each attempt in flight.
    pub connections: Vec<ForeignAttempt>,
}

/// A message from one shard to another.
#[derive(Debug)]
pub enum ShardMessage {
    /// A client submitted a message to the sending shard's frontend.
    Submitted(Submission),
    /// A client closed its connection before its request was answered.
    Withdrawn {
        /// The message's `Req-Id`.
        id: String,
        /// The request's number.
        request: u64,
        /// The message's destination.
        destination: u16,
    },
    /// An attempt completed on a connection of the sending shard.
    AttemptCompleted {
        /// The destination, whose owner handles the message.
        destination: u16,
        /// The endpoint's name. Its id differs between shards.
        name: Arc<str>,
        /// The result of the attempt.
        attempt: AttemptCompleted,
    },
    /// The sending shard received a Retry-After.
    RetryAfter {
        /// The destination, whose owner handles the message.
        destination: u16,
        /// The endpoint's name.
        name: Arc<str>,
        /// How long it applies.
        wait: Micros,
    },
    /// The receiving shard owns this destination from now on.
    Migrate(Box<MigratedDestination>),
    /// The receiving shard is to migrate a destination to another shard.
    MigrateTo {
        /// The destination.
        destination: u16,
        /// The shard to migrate it to.
        to: ShardId,
    },
    /// The receiving shard is to migrate all its destinations to the first.
    Gather,
    /// The new limit of clients' connections.
    MaxConnections(usize),
    /// An attempt on a connection of the receiving shard is to be cancelled.
    Cancel(MessageId, u16),
    /// Discovery sent an endpoint list or changes of it.
    EndpointsUpdated(EndpointUpdate),
    /// Discovery failed.
    DiscoveryFailed,
    /// The ejected endpoints. The receiving shard answers once it has applied them.
    Ejections(Ejections, oneshot::Sender<()>),
    /// A client's connection, which the receiving shard serves.
    Client(std::net::TcpStream),
    /// Discovery's new address.
    Discovery(std::net::SocketAddr),
    /// The status is to be logged.
    Status,
    /// The process is to shut down.
    Terminate,
}

/// The bounded queue of messages from other shards to one shard.
pub struct Mailbox {
    queue: ArrayQueue<ShardMessage>,
    /// Whether the shard was notified of the messages in the queue and has not drained it yet.
    notified: AtomicBool,
    wake: Notify,
    /// How often the shard was notified.
    notifications: AtomicU64,
    /// How many messages were put into the queue.
    sent: AtomicU64,
}

impl Mailbox {
    /// Creates a mailbox with this capacity, in messages.
    pub fn new(capacity: usize) -> Self {
        Self {
            queue: ArrayQueue::new(capacity.max(8)),
            notified: AtomicBool::new(false),
            wake: Notify::new(),
            notifications: AtomicU64::new(0),
            sent: AtomicU64::new(0),
        }
    }

    /// Wakes its shard. Until the shard drains the mailbox, further calls have no effect.
    pub fn wake(&self) {
        if !self.notified.swap(true, Ordering::AcqRel) {
            self.notifications.fetch_add(1, Ordering::Relaxed);
            self.wake.notify_one();
        }
    }

    /// Waits until its shard is woken.
    pub async fn notified(&self) {
        self.wake.notified().await;
    }

    /// Removes and returns all messages.
    pub fn drain(&self) -> Vec<ShardMessage> {
        // Cleared before draining: a message that arrives from now on wakes the shard again.
        self.notified.store(false, Ordering::Release);
        let count = self.queue.len();
        (0..count).map_while(|_| self.queue.pop()).collect()
    }

    /// Returns how many messages were sent to it, and how often its shard was woken.
    pub fn figures(&self) -> (u64, u64) {
        (self.sent.load(Ordering::Relaxed), self.notifications.load(Ordering::Relaxed))
    }

    fn push(&self, message: ShardMessage) -> Result<(), ShardMessage> {
        self.queue.push(message)?;
        self.sent.fetch_add(1, Ordering::Relaxed);
        self.wake();
        Ok(())
    }
}

/// A shard's handle for sending messages to other shards. Messages to the same shard arrive in order.
pub struct ShardHandle {
    id: ShardId,
    group: Arc<ShardGroup>,
    /// Messages that must arrive and for which the mailbox was full, by receiving shard. Their number is bounded by
    /// calls in flight, open connections and list entries. Later messages to the same shard wait here too, to keep the
    /// order.
    outbox: RefCell<Vec<VecDeque<ShardMessage>>>,
}

impl ShardHandle {
    /// Creates a handle.
    pub fn new(id: ShardId, group: Arc<ShardGroup>) -> Self {
        let outbox = (0..group.count()).map(|_| VecDeque::new()).collect();
        Self { id, group, outbox: RefCell::new(outbox) }
    }

    /// The id of the shard that the handle belongs to.
    pub fn id(&self) -> ShardId {
        self.id
    }

    /// The state that all shards share.
    pub fn group(&self) -> &Arc<ShardGroup> {
        &self.group
    }

    /// Sends a message that must arrive. It waits here if the mailbox is full.
    pub fn send(&self, to: ShardId, message: ShardMessage) {
        let mut outbox = self.outbox.borrow_mut();
        let queue = &mut outbox[to.index()];
        match if queue.is_empty() { self.group.mailbox(to).push(message) } else { Err(message) } {
            Ok(()) => {}
            Err(message) => queue.push_back(message),
        }
    }

    /// Sends a message that may be rejected. Such messages use at most half of a mailbox, so that a shard that stalls
    /// or is slow keeps the other half free for messages that must arrive.
    ///
    /// # Errors
    /// Returns the message if that half is full or other messages wait for the mailbox already.
    pub fn try_send(&self, to: ShardId, message: ShardMessage) -> Result<(), ShardMessage> {
        let mailbox = self.group.mailbox(to);
        let half_full = mailbox.queue.len() * 2 >= mailbox.queue.capacity();
        if half_full || !self.outbox.borrow()[to.index()].is_empty() {
            return Err(message);
        }
        mailbox.push(message)
    }

    /// Sends a message now or not at all.
    ///
    /// # Errors
    /// Returns the message if the mailbox is full or other messages wait for it already.
    pub fn send_now(&self, to: ShardId, message: ShardMessage) -> Result<(), ShardMessage> {
        if self.outbox.borrow()[to.index()].is_empty() {
            self.group.mailbox(to).push(message)
        } else {
            Err(message)
        }
    }

    /// Returns whether messages wait for a full mailbox.
    pub fn has_unsent(&self) -> bool {
        self.outbox.borrow().iter().any(|waiting| !waiting.is_empty())
    }

    /// Sends waiting messages until their mailboxes are full.
    pub fn flush(&self) {
        for (to, queue) in self.outbox.borrow_mut().iter_mut().enumerate() {
            while let Some(message) = queue.pop_front() {
                if let Err(message) = self.group.mailbox(ShardId(to as u8)).push(message) {
                    queue.push_front(message);
                    break;
                }
            }
        }
    }
}
