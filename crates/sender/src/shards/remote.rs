//! The other shards of a process that has handed over: their clients' connections, and calls on their connections.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use decision::interface::{EndpointId, Event, MessageId, RouteId};
use sharding::ShardId;
use tokio::sync::mpsc::UnboundedSender;

use super::mailbox::{ShardHandle, ShardMessage};
use crate::ports::{CallMessage, Frontend, Inbound, Transport, WriteOptions};

/// The other shards as a frontend and a transport of the first one. They own no destination any more, so that they
/// forward everything they receive to the first shard.
pub struct RemoteShards {
    handle: Rc<ShardHandle>,
    outstanding: RefCell<BTreeMap<(MessageId, u16), (ShardId, EndpointId)>>,
    /// Endpoint ids by name, as in the state that the successor got.
    ids: HashMap<String, EndpointId>,
}

impl RemoteShards {
    /// Creates the frontend and transport with the attempts that are in flight on connections of other shards.
    pub fn new(
        handle: Rc<ShardHandle>,
        outstanding: BTreeMap<(MessageId, u16), (ShardId, EndpointId)>,
        ids: &[(String, EndpointId)],
    ) -> Self {
        Self { handle, outstanding: RefCell::new(outstanding), ids: ids.iter().cloned().collect() }
    }

    /// Forwards messages of the other shards to `inbound` until the process ends.
    pub fn follow(self: Rc<Self>, inbound: UnboundedSender<Inbound>) {
        tokio::task::spawn_local(async move {
            let mailbox = self.handle.group().mailbox(self.handle.id());
            loop {
                for message in mailbox.drain() {
                    if let Some(forwarded) = self.forward(message) {
                        let _ = inbound.send(forwarded);
                    }
                }
                self.handle.flush();
                mailbox.notified().await;
            }
        });
    }

    /// Turns a message of another shard into one for the task that drains the connections, if it concerns the
    /// successor.
    fn forward(&self, message: ShardMessage) -> Option<Inbound> {
        let id = |name: &str| self.ids.get(name).copied();
        Some(match message {
            ShardMessage::Submitted(message) => Inbound::Submitted(message),
            ShardMessage::Withdrawn { id, request, destination } => {
                Inbound::Withdrawn { id, request, destination }
            }
            ShardMessage::AttemptCompleted { name, mut attempt, .. } => {
                let recorded = self.outstanding.borrow_mut().remove(&(attempt.message, attempt.attempt));
                attempt.endpoint =
                    recorded.map(|recorded| recorded.1).or_else(|| id(&name)).unwrap_or(attempt.endpoint);
                Inbound::CallCompleted(vec![attempt])
            }
            ShardMessage::RetryAfter { name, wait, .. } => {
                Inbound::Event(Event::RetryAfter { endpoint: id(&name)?, wait })
            }
            _ => return None,
        })
    }
}

impl Frontend for RemoteShards {
    fn start(self: Rc<Self>) -> io::Result<SocketAddr> {
        Err(io::ErrorKind::Unsupported.into())
    }

    fn requests(&self) -> u64 {
        0
    }

    fn open_connections(&self) -> usize {
        self.handle.group().clients_of_others(self.handle.id())
    }

    fn set_max_clients(&self, limit: usize) {
        let group = self.handle.group();
        let others = group.all().filter(|shard| *shard != self.handle.id());
        others.for_each(|shard| self.handle.send(shard, ShardMessage::MaxConnections(limit)));
    }

    /// Closes the connection, since this frontend serves none itself; the client connects again.
    fn adopt(self: Rc<Self>, stream: std::net::TcpStream) {
        drop(stream);
    }
}

impl Transport for RemoteShards {
    fn set_address(&self, _: EndpointId, _: &str) -> bool {
        false
    }

    fn address(&self, _: EndpointId) -> Option<String> {
        None
    }

    fn forget(&self, _: EndpointId) {}

    /// Never called: no address is known here, so that no call starts.
    fn start(&self, _: (RouteId, EndpointId), _: Vec<CallMessage>, _: WriteOptions) {}

    fn cancel(&self, message: MessageId, attempt: u16) {
        if let Some((shard, _)) = self.outstanding.borrow().get(&(message, attempt)) {
            self.handle.send(*shard, ShardMessage::Cancel(message, attempt));
        }
    }

    fn probe(&self, _: EndpointId) {}

    fn close_idle(&self, _: EndpointId) {}

    fn messages_written(&self) -> u64 {
        let figures = self.handle.group().figures();
        let others = figures.iter().enumerate().filter(|(shard, _)| *shard != self.handle.id().index());
        others.map(|(_, figures)| figures.gauges.relayed).sum()
    }

    fn attempts_in_flight(&self) -> usize {
        self.outstanding.borrow().len()
    }

    fn outstanding_attempts(&self) -> Vec<(MessageId, u16, EndpointId)> {
        self.outstanding
            .borrow()
            .iter()
            .map(|((message, attempt), (_, endpoint))| (*message, *attempt, *endpoint))
            .collect()
    }
}
