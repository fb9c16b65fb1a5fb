//! A lossy network between senders: all gossip datagrams pass through it, and it loses, delays and duplicates them on each
//! link as a test or load test sets it.

use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// What happens to the datagrams on one link, that is from one sender to another.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Fault {
    /// The share that is lost; 1 for a link that is down.
    pub loss_rate: f64,
    /// The share that is delivered twice.
    pub duplicate_rate: f64,
    /// The delay.
    pub delay: Duration,
}

struct State {
    faults: Vec<Vec<Fault>>,
    rng: u64,
}

impl State {
    /// Returns a random number from 0 to 1; the same for the same seed and order of datagrams.
    fn random(&mut self) -> f64 {
        self.rng ^= self.rng << 13;
        self.rng ^= self.rng >> 7;
        self.rng ^= self.rng << 17;
        (self.rng >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// The links between a number of senders. Each link has its own address: a sender sends to the address of the link to its
/// peer, and receives from the address of the link back to that peer.
pub struct LossyNetwork {
    /// The address that each sender has to listen on.
    pub listens: Vec<SocketAddr>,
    /// By sender: the address at which it reaches each sender; its own entry has its own address.
    pub peers: Vec<Vec<SocketAddr>>,
    state: Arc<Mutex<State>>,
    carried: Arc<AtomicU64>,
}

impl LossyNetwork {
    /// Creates a network without faults for that many senders; random numbers follow from the seed.
    ///
    /// # Panics
    /// If the system has no sockets left.
    pub fn new(senders: usize, seed: u64) -> Self {
        let bind = || UdpSocket::bind("127.0.0.1:0").unwrap();
        // These sockets are closed again at once and the senders bind their ports shortly after; the system hands out other
        // free ports first.
        let listens: Vec<SocketAddr> = (0..senders).map(|_| bind().local_addr().unwrap()).collect();
        let sockets: Vec<Vec<Arc<UdpSocket>>> =
            (0..senders).map(|_| (0..senders).map(|_| Arc::new(bind())).collect()).collect();
        let state = Arc::new(Mutex::new(State {
            faults: vec![vec![Fault::default(); senders]; senders],
            rng: seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1,
        }));
        let carried = Arc::new(AtomicU64::new(0));
        for (from, from_sockets) in sockets.iter().enumerate() {
            for (to, socket) in from_sockets.iter().enumerate().filter(|(to, _)| *to != from) {
                let (socket, reverse, target) = (socket.clone(), sockets[to][from].clone(), listens[to]);
                let (state, carried) = (state.clone(), carried.clone());
                thread::spawn(move || {
                    let mut datagram = [0; 2_048];
                    while let Ok((size, _)) = socket.recv_from(&mut datagram) {
                        let (fault, lost, doubled) = {
                            let mut state = state.lock().unwrap();
                            let fault = state.faults[from][to];
                            (fault, state.random() < fault.loss_rate, state.random() < fault.duplicate_rate)
                        };
                        if lost {
                            continue;
                        }
                        carried.fetch_add(size as u64, Ordering::Relaxed);
                        let (datagram, reverse) = (datagram[..size].to_vec(), reverse.clone());
                        let deliver = move || {
                            for _ in 0..1 + usize::from(doubled) {
                                let _ = reverse.send_to(&datagram, target);
                            }
                        };
                        if fault.delay.is_zero() {
                            deliver();
                        } else {
                            thread::spawn(move || {
                                thread::sleep(fault.delay);
                                deliver();
                            });
                        }
                    }
                });
            }
        }
        let address = |from: usize, to: usize| {
            if from == to { listens[from] } else { sockets[from][to].local_addr().unwrap() }
        };
        let peers = (0..senders).map(|from| (0..senders).map(|to| address(from, to)).collect()).collect();
        Self { listens, peers, state, carried }
    }

    /// Sets the fault of each link from now on; the arguments are the sending and the receiving sender.
    pub fn set(&self, fault: impl Fn(usize, usize) -> Fault) {
        let mut state = self.state.lock().unwrap();
        for (from, links) in state.faults.iter_mut().enumerate() {
            links.iter_mut().enumerate().for_each(|(to, link)| *link = fault(from, to));
        }
    }

    /// Returns the number of bytes of datagrams that were not lost.
    pub fn carried(&self) -> u64 {
        self.carried.load(Ordering::Relaxed)
    }
}

impl Fault {
    /// A link that is down: every datagram is lost.
    pub const CUT: Self = Self { loss_rate: 1.0, duplicate_rate: 0.0, delay: Duration::ZERO };
}
