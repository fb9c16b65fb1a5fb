//! Simulates senders, each with a clock of its own, on a network that loses, duplicates and delays messages and that can be
//! partitioned. A simulation is determined by its seed.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;

use gossip::escrow::EVEN_SHARE;
use gossip::{Belief, Config, FailureKind, Gossip, MemberIndex, Micros, Observation, OutgoingMessage};

pub const SECOND: Micros = 1_000_000;
/// Senders are polled at this interval.
const TICK: Micros = 20_000;

/// How the network treats messages.
#[derive(Clone, Copy, Debug)]
pub struct Conditions {
    pub loss: f64,
    pub duplication: f64,
    pub min_latency: Micros,
    pub max_latency: Micros,
}

pub const LOSSLESS: Conditions =
    Conditions { loss: 0.0, duplication: 0.0, min_latency: 4_000, max_latency: 32_000 };

struct Node {
    gossip: Gossip,
    /// Its clock is ahead of the simulation's by this much.
    clock_offset: Micros,
    is_running: bool,
    /// It is paused until then.
    paused_until: Micros,
}

/// A message on the network, ordered by when it is delivered, then by when it was sent.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct InFlight {
    deliver_at: Micros,
    number: u64,
    from: MemberIndex,
    to: MemberIndex,
    content: Vec<u8>,
}

pub struct Net {
    pub now: Micros,
    pub conditions: Conditions,
    pub bytes: u64,
    pub messages: u64,
    config: Config,
    nodes: Vec<Node>,
    in_flight: BinaryHeap<Reverse<InFlight>>,
    copies_sent: u64,
    pub rng: fastrand::Rng,
    /// Returns whether messages from the first member can't reach the second.
    pub cut: Box<dyn Fn(MemberIndex, MemberIndex) -> bool>,
    /// Largest share of a watched limit that was in use.
    pub max_in_use: f64,
    /// Destinations whose quota in use is summed up.
    pub watched: Vec<u16>,
}

pub fn config(senders: MemberIndex, broadcast: bool) -> Config {
    Config {
        member: 0,
        incarnation: 1,
        senders,
        broadcast,
        byte_budget: (25.0, 100.0).into(),
        quota_transfer: true,
    }
}

impl Net {
    pub fn new(senders: MemberIndex, broadcast: bool, seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let config = config(senders, broadcast);
        let begin = 100 * SECOND;
        let node = |member: MemberIndex| {
            let clock_offset = rng.u64(0..1_000 * SECOND);
            let gossip = Gossip::new(Config { member, ..config }, rng.u64(..), begin + clock_offset);
            Node { gossip, clock_offset, is_running: true, paused_until: 0 }
        };
        let nodes = (0..senders).map(node).collect();
        Self {
            now: begin,
            conditions: LOSSLESS,
            bytes: 0,
            messages: 0,
            config,
            nodes,
            in_flight: BinaryHeap::new(),
            copies_sent: 0,
            rng,
            cut: Box::new(|_, _| false),
            max_in_use: 0.0,
            watched: vec![],
        }
    }

    pub fn clock(&self, member: MemberIndex) -> Micros {
        self.now + self.nodes[usize::from(member)].clock_offset
    }

    pub fn observe(&mut self, member: MemberIndex, destination: u16, outcome: Observation) {
        let now = self.clock(member);
        let outcome = match outcome {
            // The caller uses the simulation's clock.
            Observation::Success(started) => {
                Observation::Success(started + self.nodes[usize::from(member)].clock_offset)
            }
            other => other,
        };
        if self.is_scheduled(member) {
            self.nodes[usize::from(member)].gossip.observe(destination, outcome, now);
        }
    }

    pub fn with<T>(&mut self, member: MemberIndex, action: impl FnOnce(&mut Gossip, Micros) -> T) -> T {
        let now = self.clock(member);
        action(&mut self.nodes[usize::from(member)].gossip, now)
    }

    pub fn belief(&self, member: MemberIndex, destination: u16) -> Belief {
        self.nodes[usize::from(member)].gossip.belief(destination, self.clock(member))
    }

    pub fn gossip(&self, member: MemberIndex) -> &Gossip {
        &self.nodes[usize::from(member)].gossip
    }

    pub fn senders(&self) -> MemberIndex {
        self.nodes.len() as MemberIndex
    }

    /// Returns the share of the running senders that believe the destination to be unhealthy.
    pub fn share_believing(&self, destination: u16) -> f64 {
        let running: Vec<MemberIndex> =
            (0..self.senders()).filter(|member| self.nodes[usize::from(*member)].is_running).collect();
        let believing =
            running.iter().filter(|member| self.belief(**member, destination).unhealthy.is_some()).count();
        believing as f64 / running.len() as f64
    }

    pub fn kill(&mut self, member: MemberIndex) {
        self.nodes[usize::from(member)].is_running = false;
    }

    pub fn start(&mut self, member: MemberIndex) {
        let (config, seed) = (Config { member, ..self.config }, self.rng.u64(..));
        let node = &mut self.nodes[usize::from(member)];
        // The incarnation is not higher: messages of its peers make the sender raise it.
        node.is_running = true;
        node.gossip = Gossip::new(config, seed, self.now + node.clock_offset);
    }

    pub fn pause(&mut self, member: MemberIndex, span: Micros) {
        self.nodes[usize::from(member)].paused_until = self.now + span;
    }

    fn is_scheduled(&self, member: MemberIndex) -> bool {
        let node = &self.nodes[usize::from(member)];
        node.is_running && node.paused_until <= self.now
    }

    fn send(&mut self, from: MemberIndex, to: MemberIndex, message: &[u8]) {
        let copies = 1 + usize::from(self.rng.f64() < self.conditions.duplication);
        self.messages += 1;
        for _ in 0..copies {
            if self.rng.f64() < self.conditions.loss || (self.cut)(from, to) {
                continue;
            }
            self.bytes += message.len() as u64;
            self.copies_sent += 1;
            let deliver_at =
                self.now + self.rng.u64(self.conditions.min_latency..=self.conditions.max_latency);
            let (number, content) = (self.copies_sent, message.to_vec());
            self.in_flight.push(Reverse(InFlight { deliver_at, number, from, to, content }));
        }
    }

    /// Advances the simulation by a span, and calls `on_tick` in every tick.
    pub fn run(&mut self, span: Micros, mut on_tick: impl FnMut(&mut Self)) {
        let until = self.now + span;
        while self.now < until {
            self.now += TICK;
            self.deliver();
            on_tick(self);
            self.poll_senders();
            self.count_in_use();
        }
    }

    /// Delivers the messages that are due; a paused sender receives them when it continues.
    fn deliver(&mut self) {
        let mut deferred = Vec::new();
        while self.in_flight.peek().is_some_and(|next| next.0.deliver_at <= self.now) {
            let Some(Reverse(mut message)) = self.in_flight.pop() else { break };
            let to = message.to;
            let node = &self.nodes[usize::from(to)];
            if node.is_running && node.paused_until > self.now {
                message.deliver_at = message.deliver_at.max(node.paused_until);
                deferred.push(Reverse(message));
            } else if node.is_running {
                let now = self.clock(to);
                let _ = self.nodes[usize::from(to)].gossip.receive(message.from, &message.content, now);
            }
        }
        self.in_flight.extend(deferred);
    }

    /// Lets every scheduled sender publish what is due.
    fn poll_senders(&mut self) {
        for member in 0..self.senders() {
            if !self.is_scheduled(member) {
                continue;
            }
            let now = self.clock(member);
            let node = &mut self.nodes[usize::from(member)];
            node.gossip.take_changes(now);
            for OutgoingMessage { to, content: message } in node.gossip.publish(now) {
                assert!(message.len() <= gossip::MAX_MESSAGE_BYTES);
                match to {
                    Some(to) => self.send(member, to, &message),
                    None => (0..self.senders())
                        .filter(|to| *to != member)
                        .for_each(|to| self.send(member, to, &message)),
                }
            }
        }
    }

    /// Records the largest share of the watched limits in use. Paused senders count, since they may continue at any moment, with
    /// their clocks as they are then.
    fn count_in_use(&mut self) {
        for destination in self.watched.clone() {
            let units: u64 = (0..self.senders())
                .filter(|member| self.nodes[usize::from(*member)].is_running)
                .map(|member| {
                    u64::from(self.gossip(member).escrow().usable_units(destination, self.clock(member)))
                })
                .sum();
            let share = units as f64 / (f64::from(EVEN_SHARE) * f64::from(self.senders()));
            self.max_in_use = self.max_in_use.max(share);
        }
    }
}

/// Simulates random calls to a destination: each sender makes `per_second` calls on average and observes their outcomes.
pub struct Calls {
    pub destination: u16,
    pub per_second: f64,
    failures: BTreeMap<MemberIndex, u32>,
    succeeded_at: BTreeMap<MemberIndex, Micros>,
    pub calls_during_outage: u64,
}

impl Calls {
    pub fn new(destination: u16, per_second: f64) -> Self {
        Self {
            destination,
            per_second,
            failures: BTreeMap::new(),
            succeeded_at: BTreeMap::new(),
            calls_during_outage: 0,
        }
    }

    /// Returns whether a sender backs off: it believes in an outage, and none of its calls succeeded for three seconds.
    pub fn is_backing_off(&self, net: &Net, member: MemberIndex) -> bool {
        let recently_succeeded = self.succeeded_at.get(&member).is_some_and(|at| net.now < at + 3 * SECOND);
        !recently_succeeded && net.belief(member, self.destination).unhealthy.is_some()
    }

    /// Makes the calls of one tick. They fail for the senders that `is_unhealthy` selects, and for the others with probability
    /// `noise`. Senders that back off call a tenth as often.
    pub fn tick(
        &mut self,
        net: &mut Net,
        is_unhealthy: impl Fn(MemberIndex) -> bool,
        noise: f64,
        backs_off: bool,
    ) {
        for member in 0..net.senders() {
            let is_backing_off = backs_off && self.is_backing_off(net, member);
            let rate = self.per_second * if is_backing_off { 0.1 } else { 1.0 };
            if net.rng.f64() >= rate * TICK as f64 / SECOND as f64 {
                continue;
            }
            self.calls_during_outage += u64::from(is_unhealthy(member));
            net.with(member, |gossip, _| gossip.message_accepted());
            if is_unhealthy(member) || net.rng.f64() < noise {
                let failures = self.failures.entry(member).or_default();
                *failures += 1;
                let failures = *failures;
                net.observe(
                    member,
                    self.destination,
                    Observation::Failure(FailureKind::Unreachable, failures),
                );
            } else {
                self.failures.remove(&member);
                self.succeeded_at.insert(member, net.now);
                let started = net.now;
                net.observe(member, self.destination, Observation::Success(started));
            }
        }
    }
}
