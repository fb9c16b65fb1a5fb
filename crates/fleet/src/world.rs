//! The world: senders, partners, clients that hand messages in, and one queue of what happens when.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use decision::interface::*;
use decision::policy::Policy;

use crate::partner::Partner;

const SECOND: Micros = 1_000_000;

/// What happens to a sender.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Happening {
    /// A client hands in a message for that partner.
    Handed(usize),
    /// A call arrives at its partner with these messages and attempts.
    Arrives(usize, Vec<(u32, u16)>),
    /// The answers to them arrive: delivered, refused with what is left and the limit, or not connected.
    Answered(usize, Vec<(u32, u16)>, Answer),
    /// A reminder that the module asked for.
    Reminder(u64),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Answer {
    Delivered,
    Full,
    Failed,
}

/// A message that a sender has in hand.
#[derive(Debug)]
struct Held {
    partner: usize,
    end: Micros,
    aim: Micros,
    out: bool,
    ran: bool,
    tries: u16,
}

/// What a judge found against the rules that this world shows.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Verdicts {
    /// Messages with no final answer when their time was up.
    pub lost: u32,
    /// Messages with two attempts at once, or sent or refused again after one that had run.
    pub twice: u32,
}

struct Node {
    policy: Policy,
    held: BTreeMap<u32, Held>,
    next: u32,
}

/// Senders and partners on one clock.
pub struct World {
    /// The partners; their destinations are numbered in this order.
    pub partners: Vec<Partner>,
    /// What broke a rule.
    pub verdicts: Verdicts,
    /// Messages that were handed back, or failed.
    pub given_up: u32,
    nodes: Vec<Node>,
    queue: BinaryHeap<Reverse<(Micros, u64, usize, Happening)>>,
    reports: BTreeMap<u64, Vec<f32>>,
    made: u64,
    now: Micros,
    rng: fastrand::Rng,
}

/// Settings of a large fleet: two kinds of destination, the second of which takes five messages in a call.
pub fn settings(senders: usize) -> Settings {
    let class = |effect, worth| Class {
        effect,
        aim: 4 * SECOND,
        deadline: 12 * SECOND,
        worth,
        late_worth: 0.3,
        in_order: false,
    };
    let keyed = Effect::Keyed { group: Group::All, window: 3 * SECOND };
    Settings {
        classes: vec![class(keyed, 2.0), class(Effect::Once, 1.0)],
        tenants: vec![],
        kinds: vec![Kind { routes_apart: false, bundle: 1 }, Kind { routes_apart: false, bundle: 5 }],
        tolls: vec![0.0],
        decay: Decay::Halves,
        slots: 5,
        max_open: 64,
        try_limit: 6,
        second_copies: false,
        cancelling: true,
        probing: true,
        probe_price: 0.01,
        refused_price: 0.1,
        connect_timeout: SECOND,
        idle_close: 5 * SECOND,
        max_retry_after: 3 * SECOND,
        must_ask: false,
        weights: Weights::Rough,
        over_share_worth: 0.1,
        report: (Some(0), Some(1)),
        senders,
        period: 1_000,
        dormant: None,
        rules: Rules {
            answer_slack: 5_000,
            ask_every: None,
            cold_share: 0.18,
            warm_within: 14 * SECOND,
            fall_multiple: 2.0,
            overload_for: 3 * SECOND,
            drain_grace: 2 * SECOND,
            order_pause: 0,
        },
    }
}

fn endpoint(partner: usize) -> EndpointId {
    EndpointId([10, 0, 0, partner as u8, 0x1b, 0x58])
}

impl World {
    /// So many senders that were told of all partners, at time 0.
    pub fn new(senders: usize, partners: Vec<Partner>, seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let entries: Vec<_> = partners
            .iter()
            .enumerate()
            .map(|(at, partner)| Entry {
                endpoint: endpoint(at),
                destination: DestinationId(at as u16),
                zone: 0,
                kind: usize::from(partner.bundle > 1),
                weight: partner.limit * partner.listed,
                listing: Listing::Ready,
            })
            .collect();
        let node = |_| Node {
            policy: Policy::new(settings(senders), rng.u64(..), 0),
            held: BTreeMap::new(),
            next: 0,
        };
        let nodes = (0..senders).map(node).collect();
        let mut world = Self {
            partners,
            verdicts: Verdicts::default(),
            given_up: 0,
            nodes,
            queue: BinaryHeap::new(),
            reports: BTreeMap::new(),
            made: 0,
            now: 0,
            rng,
        };
        for sender in 0..senders {
            world.tell(sender, &[Event::List(entries.clone())]);
        }
        world
    }

    /// Goes on for so many seconds, with so many messages a second for each partner from all clients together, each
    /// handed to a sender by chance.
    pub fn run(&mut self, seconds: f64, rate: f64) {
        self.run_at(seconds, &vec![rate; self.partners.len()]);
    }

    /// The same with a rate for each partner.
    pub fn run_at(&mut self, seconds: f64, rates: &[f64]) {
        let until = self.now + (seconds * SECOND as f64) as Micros;
        for (partner, rate) in rates.iter().enumerate() {
            let mut at = self.now as f64;
            loop {
                at -= (1.0 - self.rng.f64()).ln() / rate * SECOND as f64;
                if at >= until as f64 {
                    break;
                }
                let sender = self.rng.usize(..self.nodes.len());
                self.later(at as Micros, sender, Happening::Handed(partner));
            }
        }
        while self.queue.peek().is_some_and(|next| next.0.0 <= until) {
            let Some(Reverse((at, number, sender, what))) = self.queue.pop() else { break };
            self.now = at;
            self.happens(number, sender, what);
        }
        self.now = until;
    }

    fn later(&mut self, at: Micros, sender: usize, what: Happening) -> u64 {
        self.made += 1;
        self.queue.push(Reverse((at, self.made, sender, what)));
        self.made
    }

    fn happens(&mut self, number: u64, sender: usize, what: Happening) {
        let now = self.now;
        match what {
            Happening::Handed(partner) => {
                let class = usize::from(self.rng.f64() < 0.2);
                let node = &mut self.nodes[sender];
                node.next += 1;
                let (id, end, aim) = (node.next, now + 12 * SECOND, now + 4 * SECOND);
                node.held.insert(id, Held { partner, end, aim, out: false, ran: false, tries: 0 });
                self.partners[partner].count(now, |count| count.offered += 1);
                let message = Message {
                    id: MessageId(id),
                    class,
                    tenant: 0,
                    key: None,
                    time_left: 12 * SECOND,
                    hint: None,
                    destination: DestinationId(partner as u16),
                };
                self.tell(sender, &[Event::Accepted(message)]);
            }
            Happening::Arrives(partner, parts) => {
                let (outcome, report) = self.partners[partner].call(now);
                let takes = self.partners[partner].takes * (0.5 + self.rng.f64());
                let (answer, takes) = match outcome {
                    Outcome::Delivered => (Answer::Delivered, takes),
                    Outcome::Full(_) => (Answer::Full, 0.0),
                    _ => (Answer::Failed, 0.0),
                };
                let at = now + ((0.01 + takes) * SECOND as f64) as Micros;
                let number = self.later(at, sender, Happening::Answered(partner, parts, answer));
                self.reports.insert(number, report);
            }
            Happening::Answered(partner, parts, answer) => {
                let report = self.reports.remove(&number).unwrap_or_default();
                let events: Vec<_> = parts
                    .iter()
                    .map(|(id, attempt)| self.outcome(sender, partner, (*id, *attempt), answer, &report))
                    .collect();
                self.tell(sender, &events);
            }
            Happening::Reminder(token) => self.tell(sender, &[Event::Reminder(token)]),
        }
    }

    /// An attempt has its outcome: the event that tells it.
    fn outcome(
        &mut self,
        sender: usize,
        partner: usize,
        (id, attempt): (u32, u16),
        answer: Answer,
        report: &[f32],
    ) -> Event {
        let now = self.now;
        let delivered = answer == Answer::Delivered;
        let held = self.nodes[sender].held.get_mut(&id);
        if let Some(held) = held {
            held.out = false;
            if delivered {
                let in_time = now <= held.aim;
                self.nodes[sender].held.remove(&id);
                self.partners[partner].count(now, |count| {
                    count.delivered += 1;
                    count.in_time += u32::from(in_time);
                });
            }
        }
        Event::Ended {
            message: MessageId(id),
            attempt,
            endpoint: endpoint(partner),
            outcome: match answer {
                Answer::Delivered => Outcome::Delivered,
                Answer::Full => Outcome::Full(None),
                Answer::Failed => Outcome::ConnectFailed,
            },
            terminal: delivered,
            took: 0,
            report: report.to_vec(),
        }
    }

    fn tell(&mut self, sender: usize, events: &[Event]) {
        let (now, mut actions) = (self.now, vec![]);
        self.nodes[sender].policy.handle(now, events, &mut actions);
        let mut calls: BTreeMap<usize, Vec<(u32, u16)>> = BTreeMap::new();
        for action in actions {
            match action {
                Action::Attempt { message: MessageId(id), .. } => {
                    let Some(held) = self.nodes[sender].held.get_mut(&id) else {
                        self.verdicts.twice += 1;
                        continue;
                    };
                    self.verdicts.twice += u32::from(held.out || held.ran);
                    self.verdicts.lost += u32::from(now > held.end);
                    held.out = true;
                    held.tries += 1;
                    calls.entry(held.partner).or_default().push((id, held.tries - 1));
                }
                Action::Refuse { message: MessageId(id), .. } | Action::Fail(MessageId(id)) => {
                    if let Some(held) = self.nodes[sender].held.remove(&id) {
                        self.verdicts.lost += u32::from(now > held.end + 5_000);
                        self.given_up += 1;
                    }
                }
                Action::Remind { at, token } => {
                    self.later(at.max(now + 1), sender, Happening::Reminder(token));
                }
                _ => {}
            }
        }
        for (partner, parts) in calls {
            let bundle = self.partners[partner].bundle;
            for call in parts.chunks(bundle) {
                let at = now + self.rng.u64(4_000..15_000);
                self.later(at, sender, Happening::Arrives(partner, call.to_vec()));
            }
        }
    }
}
