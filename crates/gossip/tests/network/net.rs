//! Senders that share, on a network that loses, doubles, holds up and cuts notes, each with a clock of its own. One seed, one
//! run.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;

use gossip::rights::EVEN;
use gossip::{Belief, Config, FailureKind, Gossip, MemberIndex, Micros, Observation};

pub const SECOND: Micros = 1_000_000;
/// Senders are looked at so often.
const TURN: Micros = 20_000;

/// What the network does to notes.
#[derive(Clone, Copy, Debug)]
pub struct Weather {
    pub loss: f64,
    pub doubles: f64,
    /// On the way at least, and at most.
    pub way: (Micros, Micros),
}

pub const FAIR: Weather = Weather { loss: 0.0, doubles: 0.0, way: (4_000, 32_000) };

struct Node {
    shared: Gossip,
    /// Its clock is ahead of the world's by so much.
    ahead: Micros,
    up: bool,
    /// It stands still until then.
    paused_until: Micros,
}

type Flying = Reverse<(Micros, u64, MemberIndex, MemberIndex, Vec<u8>)>;

pub struct Net {
    pub now: Micros,
    pub weather: Weather,
    pub bytes: u64,
    pub notes: u64,
    law: Config,
    nodes: Vec<Node>,
    flying: BinaryHeap<Flying>,
    made: u64,
    pub rng: fastrand::Rng,
    /// Whether a note from the first can't reach the second.
    pub cut: Box<dyn Fn(MemberIndex, MemberIndex) -> bool>,
    /// Most units in use of one destination, of all even parts together.
    pub most_in_use: f64,
    /// Destinations whose units are counted.
    pub watched: Vec<u16>,
}

pub fn law(senders: MemberIndex, broadcast: bool) -> Config {
    Config { member: 0, incarnation: 1, senders, broadcast, byte_budget: (25.0, 100.0), quota_transfer: true }
}

impl Net {
    pub fn new(senders: MemberIndex, broadcast: bool, seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let law = law(senders, broadcast);
        let begin = 100 * SECOND;
        let node = |me: MemberIndex| {
            let ahead = rng.u64(0..1_000 * SECOND);
            let shared = Gossip::new(Config { member: me, ..law }, rng.u64(..), begin + ahead);
            Node { shared, ahead, up: true, paused_until: 0 }
        };
        let nodes = (0..senders).map(node).collect();
        Self {
            now: begin,
            weather: FAIR,
            bytes: 0,
            notes: 0,
            law,
            nodes,
            flying: BinaryHeap::new(),
            made: 0,
            rng,
            cut: Box::new(|_, _| false),
            most_in_use: 0.0,
            watched: vec![],
        }
    }

    pub fn clock(&self, rank: MemberIndex) -> Micros {
        self.now + self.nodes[usize::from(rank)].ahead
    }

    pub fn saw(&mut self, rank: MemberIndex, destination: u16, seen: Observation) {
        let now = self.clock(rank);
        let seen = match seen {
            // Told by the world's clock.
            Observation::Success(begun) => Observation::Success(begun + self.nodes[usize::from(rank)].ahead),
            other => other,
        };
        if self.runs(rank) {
            self.nodes[usize::from(rank)].shared.observe(destination, seen, now);
        }
    }

    pub fn with<T>(&mut self, rank: MemberIndex, act: impl FnOnce(&mut Gossip, Micros) -> T) -> T {
        let now = self.clock(rank);
        act(&mut self.nodes[usize::from(rank)].shared, now)
    }

    pub fn belief(&self, rank: MemberIndex, destination: u16) -> Belief {
        self.nodes[usize::from(rank)].shared.belief(destination, self.clock(rank))
    }

    pub fn shared(&self, rank: MemberIndex) -> &Gossip {
        &self.nodes[usize::from(rank)].shared
    }

    pub fn senders(&self) -> MemberIndex {
        self.nodes.len() as MemberIndex
    }

    /// The part of those that run that believe the destination to be ill.
    pub fn knowing(&self, destination: u16) -> f64 {
        let up: Vec<MemberIndex> =
            (0..self.senders()).filter(|rank| self.nodes[usize::from(*rank)].up).collect();
        let ill = up.iter().filter(|rank| self.belief(**rank, destination).unhealthy.is_some()).count();
        ill as f64 / up.len() as f64
    }

    pub fn kill(&mut self, rank: MemberIndex) {
        self.nodes[usize::from(rank)].up = false;
    }

    pub fn start(&mut self, rank: MemberIndex) {
        let (law, seed) = (Config { member: rank, ..self.law }, self.rng.u64(..));
        let node = &mut self.nodes[usize::from(rank)];
        // A machine that forgot its runs: others raise it.
        node.up = true;
        node.shared = Gossip::new(law, seed, self.now + node.ahead);
    }

    pub fn pause(&mut self, rank: MemberIndex, span: Micros) {
        self.nodes[usize::from(rank)].paused_until = self.now + span;
    }

    fn runs(&self, rank: MemberIndex) -> bool {
        let node = &self.nodes[usize::from(rank)];
        node.up && node.paused_until <= self.now
    }

    fn send(&mut self, from: MemberIndex, to: MemberIndex, note: &[u8]) {
        let copies = 1 + usize::from(self.rng.f64() < self.weather.doubles);
        self.notes += 1;
        for _ in 0..copies {
            if self.rng.f64() < self.weather.loss || (self.cut)(from, to) {
                continue;
            }
            self.bytes += note.len() as u64;
            self.made += 1;
            let at = self.now + self.rng.u64(self.weather.way.0..=self.weather.way.1);
            self.flying.push(Reverse((at, self.made, from, to, note.to_vec())));
        }
    }

    /// Goes on for so long; what is asked of every sender each turn is done by `each`.
    pub fn run(&mut self, span: Micros, mut each: impl FnMut(&mut Self)) {
        let until = self.now + span;
        while self.now < until {
            self.now += TURN;
            let mut put_off = Vec::new();
            while self.flying.peek().is_some_and(|next| next.0.0 <= self.now) {
                let Some(Reverse((at, number, from, to, note))) = self.flying.pop() else { break };
                let node = &self.nodes[usize::from(to)];
                if node.up && node.paused_until > self.now {
                    // It lies in the socket.
                    put_off.push(Reverse((at.max(node.paused_until), number, from, to, note)));
                } else if node.up {
                    let now = self.clock(to);
                    let _ = self.nodes[usize::from(to)].shared.receive(from, &note, now);
                }
            }
            self.flying.extend(put_off);
            each(self);
            for rank in 0..self.senders() {
                if !self.runs(rank) {
                    continue;
                }
                let now = self.clock(rank);
                let node = &mut self.nodes[usize::from(rank)];
                node.shared.take_changes(now);
                for (to, note) in node.shared.publish(now) {
                    assert!(note.len() <= gossip::NOTE_LIMIT);
                    match to {
                        Some(to) => self.send(rank, to, &note),
                        None => (0..self.senders())
                            .filter(|to| *to != rank)
                            .for_each(|to| self.send(rank, to, &note)),
                    }
                }
            }
            self.count_in_use();
        }
    }

    /// Units that are in use now: those who stand still use nothing, and may go on at any moment by the clock as it is then.
    fn count_in_use(&mut self) {
        for destination in self.watched.clone() {
            let units: u64 = (0..self.senders())
                .filter(|rank| self.nodes[usize::from(*rank)].up)
                .map(|rank| u64::from(self.shared(rank).escrow().may_use(destination, self.clock(rank))))
                .sum();
            let part = units as f64 / (f64::from(EVEN) * f64::from(self.senders()));
            self.most_in_use = self.most_in_use.max(part);
        }
    }
}

/// Calls at a destination by chance: each sender calls about so often a second, and sees what the world has for it.
pub struct Calls {
    pub destination: u16,
    pub a_second: f64,
    failures: BTreeMap<MemberIndex, u32>,
    well_at: BTreeMap<MemberIndex, Micros>,
    pub at_ill: u64,
}

impl Calls {
    pub fn new(destination: u16, a_second: f64) -> Self {
        Self { destination, a_second, failures: BTreeMap::new(), well_at: BTreeMap::new(), at_ill: 0 }
    }

    /// Whether a sender holds back: others say so, and its own calls have not gone well for three seconds, as the module has it.
    pub fn holds_back(&self, net: &Net, rank: MemberIndex) -> bool {
        let well = self.well_at.get(&rank).is_some_and(|at| net.now < at + 3 * SECOND);
        !well && net.belief(rank, self.destination).unhealthy.is_some()
    }

    /// A turn of calls, at a destination that is ill for those that `ill` says. Those who believe it is ill call a tenth as often.
    pub fn turn(&mut self, net: &mut Net, ill: impl Fn(MemberIndex) -> bool, noise: f64, heeds: bool) {
        for rank in 0..net.senders() {
            let careful = heeds && self.holds_back(net, rank);
            let rate = self.a_second * if careful { 0.1 } else { 1.0 };
            if net.rng.f64() >= rate * TURN as f64 / SECOND as f64 {
                continue;
            }
            self.at_ill += u64::from(ill(rank));
            net.with(rank, |shared, _| shared.message_accepted());
            if ill(rank) || net.rng.f64() < noise {
                let failures = self.failures.entry(rank).or_default();
                *failures += 1;
                let failures = *failures;
                net.saw(rank, self.destination, Observation::Failure(FailureKind::Unreachable, failures));
            } else {
                self.failures.remove(&rank);
                self.well_at.insert(rank, net.now);
                let begun = net.now;
                net.saw(rank, self.destination, Observation::Success(begun));
            }
        }
    }
}
