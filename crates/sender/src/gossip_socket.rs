//! The UDP socket for gossip between senders. Datagrams may be lost.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use decision::interface::Event;
use tokio::net::UdpSocket;
use tokio::sync::mpsc::UnboundedSender;
use tokio::task::JoinHandle;

use crate::config::Config;
use crate::ports::Inbound;

/// Maximum size of a gossip message, in bytes. Longer ones are not sent, and discarded when received.
const MAX_MESSAGE_BYTES: usize = 256;

/// The gossip socket.
pub struct GossipSocket {
    socket: Rc<UdpSocket>,
    peers: Vec<SocketAddr>,
    broadcast: Option<SocketAddr>,
    receive_task: JoinHandle<()>,
}

impl GossipSocket {
    /// Binds the socket and starts to receive; `None` if the deployment has no gossip.
    ///
    /// # Errors
    /// Fails when the address can't be bound.
    pub async fn open(config: &Config, inbound: UnboundedSender<Inbound>) -> io::Result<Option<Self>> {
        let Some(listen) = config.peer_listen else { return Ok(None) };
        let socket = Rc::new(UdpSocket::bind(listen).await?);
        let (receiver, peers) = (socket.clone(), config.peers.clone());
        let task = tokio::task::spawn_local(async move {
            let mut datagram = [0; MAX_MESSAGE_BYTES + 1];
            loop {
                // An error here reports that an earlier datagram from this socket was not delivered.
                let Ok((size, from)) = receiver.recv_from(&mut datagram).await else {
                    tokio::task::yield_now().await;
                    continue;
                };
                let rank = peers.iter().position(|peer| *peer == from);
                let (Some(rank), true) =
                    (rank.and_then(|r| u16::try_from(r).ok()), size <= MAX_MESSAGE_BYTES)
                else {
                    continue;
                };
                let event = Event::GossipReceived { from: rank, content: datagram[..size].to_vec() };
                if inbound.send(Inbound::Event(event)).is_err() {
                    return;
                }
            }
        });
        Ok(Some(Self {
            socket,
            peers: config.peers.clone(),
            broadcast: config.peers_all,
            receive_task: task,
        }))
    }

    /// Closes the socket. Its address can be bound again once this returns.
    pub async fn close(self) {
        self.receive_task.abort();
        let _ = self.receive_task.await;
    }

    /// Sends a message to one sender, or to all if `to` is `None`. It may be lost.
    pub fn send(&self, to: Option<u16>, content: &[u8]) {
        let address = match to {
            Some(rank) => self.peers.get(usize::from(rank)).copied(),
            None => self.broadcast,
        };
        if let (Some(address), true) = (address, content.len() <= MAX_MESSAGE_BYTES) {
            let _ = self.socket.try_send_to(content, address);
        }
    }
}
