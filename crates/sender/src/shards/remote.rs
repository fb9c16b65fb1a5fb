//! What other shards still have for a process that has handed over: their clients, and calls on their
//! connections.

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

/// The other shards, as a frontend and a transport of the first. They own nothing any more: what they receive
/// they send to the first, as ever.
pub struct RemoteShards {
    post: Rc<ShardHandle>,
    outs: RefCell<BTreeMap<(MessageId, u16), (ShardId, EndpointId)>>,
    /// Endpoints by their names, as the successor was told.
    ids: HashMap<String, EndpointId>,
}

impl RemoteShards {
    /// Attempts in flight on connections of other shards.
    pub fn new(
        post: Rc<ShardHandle>,
        outs: BTreeMap<(MessageId, u16), (ShardId, EndpointId)>,
        ids: &[(String, EndpointId)],
    ) -> Self {
        Self { post, outs: RefCell::new(outs), ids: ids.iter().cloned().collect() }
    }

    /// Forwards what the other shards send, until the process ends.
    pub fn follow(self: Rc<Self>, inbound: UnboundedSender<Inbound>) {
        tokio::task::spawn_local(async move {
            let mailbox = self.post.group().mailbox(self.post.id());
            loop {
                for say in mailbox.drain() {
                    if let Some(said) = self.heard(say) {
                        let _ = inbound.send(said);
                    }
                }
                self.post.flush();
                mailbox.notified().await;
            }
        });
    }

    fn heard(&self, say: ShardMessage) -> Option<Inbound> {
        let id = |name: &str| self.ids.get(name).copied();
        Some(match say {
            ShardMessage::Submitted(message) => Inbound::Submitted(message),
            ShardMessage::Withdrawn { id, request, destination } => {
                Inbound::Withdrawn { id, request, destination }
            }
            ShardMessage::AttemptCompleted { name, mut attempt, .. } => {
                let known = self.outs.borrow_mut().remove(&(attempt.message, attempt.attempt));
                attempt.endpoint =
                    known.map(|known| known.1).or_else(|| id(&name)).unwrap_or(attempt.endpoint);
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
        self.post.group().clients_of_others(self.post.id())
    }

    fn set_max_clients(&self, most: usize) {
        let team = self.post.group();
        let others = team.all().filter(|core| *core != self.post.id());
        others.for_each(|core| self.post.send(core, ShardMessage::MaxConnections(most)));
    }

    /// It has no connections of its own: the client finds it closed, and comes again.
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

    /// No address is known here, so that no call starts here.
    fn start(&self, _: (RouteId, EndpointId), _: Vec<CallMessage>, _: WriteOptions) {}

    fn cancel(&self, message: MessageId, attempt: u16) {
        if let Some((core, _)) = self.outs.borrow().get(&(message, attempt)) {
            self.post.send(*core, ShardMessage::Cancel(message, attempt));
        }
    }

    fn probe(&self, _: EndpointId) {}

    fn close_idle(&self, _: EndpointId) {}

    fn messages_written(&self) -> u64 {
        let figures = self.post.group().figures();
        let others = figures.iter().enumerate().filter(|(core, _)| *core != self.post.id().index());
        others.map(|(_, figures)| figures.now.relayed).sum()
    }

    fn attempts_in_flight(&self) -> usize {
        self.outs.borrow().len()
    }

    fn outstanding_attempts(&self) -> Vec<(MessageId, u16, EndpointId)> {
        self.outs
            .borrow()
            .iter()
            .map(|((message, attempt), (_, endpoint))| (*message, *attempt, *endpoint))
            .collect()
    }
}
