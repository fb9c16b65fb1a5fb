//! Gossip between senders: datagrams that may be lost.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use decision::interface::Event;
use tokio::net::UdpSocket;
use tokio::sync::mpsc::UnboundedSender;
use tokio::task::JoinHandle;

use crate::config::Config;
use crate::ports::Inbound;

/// A longer message is not sent.
const MAX_MESSAGE_BYTES: usize = 256;

/// The socket to the other senders.
pub struct GossipSocket {
    socket: Rc<UdpSocket>,
    peers: Vec<SocketAddr>,
    all: Option<SocketAddr>,
    receiving: JoinHandle<()>,
}

impl GossipSocket {
    /// Binds the socket, where the deployment has one.
    ///
    /// # Errors
    /// Fails when the address cannot be listened on.
    pub async fn open(config: &Config, inbound: UnboundedSender<Inbound>) -> io::Result<Option<Self>> {
        let Some(listen) = config.peer_listen else { return Ok(None) };
        let socket = Rc::new(UdpSocket::bind(listen).await?);
        let (receiving, peers) = (socket.clone(), config.peers.clone());
        let task = tokio::task::spawn_local(async move {
            let mut note = [0; MAX_MESSAGE_BYTES + 1];
            loop {
                // An error here is an earlier note's that did not arrive.
                let Ok((size, from)) = receiving.recv_from(&mut note).await else {
                    tokio::task::yield_now().await;
                    continue;
                };
                let rank = peers.iter().position(|peer| *peer == from);
                let (Some(rank), true) =
                    (rank.and_then(|r| u16::try_from(r).ok()), size <= MAX_MESSAGE_BYTES)
                else {
                    continue;
                };
                let event = Event::GossipReceived { from: rank, content: note[..size].to_vec() };
                if inbound.send(Inbound::Event(event)).is_err() {
                    return;
                }
            }
        });
        Ok(Some(Self { socket, peers: config.peers.clone(), all: config.peers_all, receiving: task }))
    }

    /// Closes the socket; its address is free once this returns.
    pub async fn close(self) {
        self.receiving.abort();
        let _ = self.receiving.await;
    }

    /// Sends a message to one sender, or to all; it may be lost.
    pub fn send(&self, to: Option<u16>, content: &[u8]) {
        let address = match to {
            Some(rank) => self.peers.get(usize::from(rank)).copied(),
            None => self.all,
        };
        if let (Some(address), true) = (address, content.len() <= MAX_MESSAGE_BYTES) {
            let _ = self.socket.try_send_to(content, address);
        }
    }
}
