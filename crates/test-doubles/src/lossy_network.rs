//! A switch between senders: all notes that go from one to another pass through it, and it loses, holds up, doubles and cuts them
//! by direction, as a test or a load test says.

use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// What happens to notes on one way.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Fault {
    /// The part that is lost; 1 for a way that is cut.
    pub lost: f64,
    /// The part that comes twice.
    pub doubled: f64,
    /// So long on the way.
    pub late: Duration,
}

struct State {
    faults: Vec<Vec<Fault>>,
    rng: u64,
}

impl State {
    /// A number from 0 to 1, the same for one seed and one order of notes.
    fn chance(&mut self) -> f64 {
        self.rng ^= self.rng << 13;
        self.rng ^= self.rng >> 7;
        self.rng ^= self.rng << 17;
        (self.rng >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// The ways between so many senders. Each sender reaches each other one at an address of that way's own, and hears it from the
/// address of the way back.
pub struct Switch {
    /// Where each sender is to listen.
    pub listens: Vec<SocketAddr>,
    /// By sender: where it reaches each of them; its own place has its own address.
    pub peers: Vec<Vec<SocketAddr>>,
    state: Arc<Mutex<State>>,
    carried: Arc<AtomicU64>,
}

impl Switch {
    /// For so many senders; chance follows from the seed.
    ///
    /// # Panics
    /// Where the system has no sockets for it.
    pub fn new(senders: usize, seed: u64) -> Self {
        let socket = || UdpSocket::bind("127.0.0.1:0").unwrap();
        // Taken and given back: the sender binds it in a moment, and the system gives out others first.
        let listens: Vec<SocketAddr> = (0..senders).map(|_| socket().local_addr().unwrap()).collect();
        let ways: Vec<Vec<Arc<UdpSocket>>> =
            (0..senders).map(|_| (0..senders).map(|_| Arc::new(socket())).collect()).collect();
        let state = Arc::new(Mutex::new(State {
            faults: vec![vec![Fault::default(); senders]; senders],
            rng: seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1,
        }));
        let carried = Arc::new(AtomicU64::new(0));
        for (from, outward) in ways.iter().enumerate() {
            for (to, here) in outward.iter().enumerate().filter(|(to, _)| *to != from) {
                let (here, back, target) = (here.clone(), ways[to][from].clone(), listens[to]);
                let (state, carried) = (state.clone(), carried.clone());
                thread::spawn(move || {
                    let mut note = [0; 2_048];
                    while let Ok((size, _)) = here.recv_from(&mut note) {
                        let (fault, lost, doubled) = {
                            let mut state = state.lock().unwrap();
                            let fault = state.faults[from][to];
                            (fault, state.chance() < fault.lost, state.chance() < fault.doubled)
                        };
                        if lost {
                            continue;
                        }
                        carried.fetch_add(size as u64, Ordering::Relaxed);
                        let (note, back) = (note[..size].to_vec(), back.clone());
                        let deliver = move || {
                            for _ in 0..1 + usize::from(doubled) {
                                let _ = back.send_to(&note, target);
                            }
                        };
                        if fault.late.is_zero() {
                            deliver();
                        } else {
                            thread::spawn(move || {
                                thread::sleep(fault.late);
                                deliver();
                            });
                        }
                    }
                });
            }
        }
        let address = |from: usize, to: usize| {
            if from == to { listens[from] } else { ways[from][to].local_addr().unwrap() }
        };
        let peers = (0..senders).map(|from| (0..senders).map(|to| address(from, to)).collect()).collect();
        Self { listens, peers, state, carried }
    }

    /// From now on notes fare so on each way, from the first sender to the second.
    pub fn set(&self, fault: impl Fn(usize, usize) -> Fault) {
        let mut state = self.state.lock().unwrap();
        for (from, ways) in state.faults.iter_mut().enumerate() {
            ways.iter_mut().enumerate().for_each(|(to, way)| *way = fault(from, to));
        }
    }

    /// Bytes that it carried.
    pub fn carried(&self) -> u64 {
        self.carried.load(Ordering::Relaxed)
    }
}

impl Fault {
    /// Nothing comes through.
    pub const CUT: Self = Self { lost: 1.0, doubled: 0.0, late: Duration::ZERO };
}
