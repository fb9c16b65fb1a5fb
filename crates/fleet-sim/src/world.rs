//! The world: senders, partners, clients that hand messages in, and one queue of what happens when.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use decision::interface::{
    Action, Class, Decay, DestinationId, DestinationKind, EndpointEntry, EndpointId, Event, GossipConfig,
    Idempotency, IdempotencyScope, Listing, Message, MessageId, Micros, Outcome, RouteSnapshot, Rules,
    Settings, Weights,
};
use decision::policy::Policy;

use health_snapshot::replay::Snapshot;
use health_snapshot::restore::{Config, RestoreTime, restore};
use health_snapshot::timestamp::Timestamp;
use health_snapshot::{DestinationRecord, RouteKey, RouteRecord};

use crate::partner::{Count, Partner};

const SECOND: Micros = 1_000_000;

/// What happens to a sender.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum SimEvent {
    /// A client hands in a message for that partner, to a sender that is drawn then.
    Submitted(usize),
    /// The same, to that sender while it is up.
    SubmittedTo(usize),
    /// A call arrives at its partner with these messages and attempts.
    Arrives(usize, Vec<(u32, u16)>),
    /// The answers to them arrive: delivered, refused with what is left and the limit, or not connected.
    Answered(usize, Vec<(u32, u16)>, Answer),
    /// A reminder that the module asked for.
    TimerFired(u64),
    /// Its process is killed.
    Killed,
    /// A new process begins with what is owed to messages, and the list.
    Restarted,
    /// A note of that sender comes to this one.
    Gossip(u16, Vec<u8>),
}

/// The world begins then, by the clock on the wall that snapshots are kept by.
const WALL: Micros = 1_000_000 * SECOND;

/// What was learnt, with its times on the wall's clock.
fn on_the_wall(learnt: RouteSnapshot) -> RouteSnapshot {
    let at = |at: Micros| if at > 0 { WALL + at } else { 0 };
    RouteSnapshot {
        wait_until: at(learnt.wait_until),
        shortage_at: learnt.shortage_at.map(at),
        unhealthy_since: learnt.unhealthy_since.map(at),
        cold_since: learnt.cold_since.map(at),
        last_success_at: at(learnt.last_success_at),
        trial: learnt.trial.map(|(due, reset)| (at(due), reset)),
        recent_calls: (learnt.recent_calls.0, at(learnt.recent_calls.1)),
        ..learnt
    }
}

/// From the end of a killed process until the next one.
const RESTART: Micros = 600_000;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Answer {
    Delivered,
    Rejected,
    Failed,
}

/// A message that a sender has in hand.
#[derive(Debug)]
struct PendingMessage {
    partner: usize,
    class: usize,
    end: Micros,
    objective_at: Micros,
    /// When the call that is out began.
    in_flight_since: Option<Micros>,
    /// When the first call took effect that its sender does not know of.
    ran: Option<Micros>,
    /// Calls that were out when a process ended: when they began.
    unclear: Vec<Micros>,
    attempts: u16,
}

impl PendingMessage {
    /// Whether a further call, or advice to come again, could do harm.
    fn harmed_by_more(&self, settings: &Settings, now: Micros) -> bool {
        let Some(ran) = self.ran else { return false };
        match settings.classes[self.class].idempotency {
            Idempotency::Idempotent => false,
            Idempotency::Keyed { window, .. } => now > ran + window,
            Idempotency::NonIdempotent => true,
        }
    }
}

/// What a judge found against the rules that this world shows.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Verdicts {
    /// Messages with no final answer when their time was up.
    pub lost: u32,
    /// Messages with two attempts at once, or sent or refused again after one that had run.
    pub duplicates: u32,
}

struct Node {
    policy: Policy,
    pending: BTreeMap<u32, PendingMessage>,
    next: u32,
    /// Processes so far.
    process: u32,
    up: bool,
    /// When its process began.
    since: Micros,
    /// Its part of what clients hand in, in proportion.
    traffic: f64,
    /// What it had learnt when it was last kept.
    snapshot: Option<Snapshot>,
}

/// What senders say to one another.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GossipFaults {
    /// The part of the notes that is lost.
    pub lost: f64,
    /// Parts of limits are lent.
    pub quota_transfer: bool,
}

/// What happens when, with its number, and to which process of which sender; the earliest first.
type Due = Reverse<(Micros, u64, usize, u32, SimEvent)>;

/// Senders and partners on one clock.
pub struct World {
    /// The partners; their destinations are numbered in this order.
    pub partners: Vec<Partner>,
    /// What broke a rule.
    pub verdicts: Verdicts,
    /// Messages that were handed back, or failed.
    pub abandoned: u32,
    /// Whether processes that end leave what they learnt to the next.
    pub keeps_snapshots: bool,
    /// Senders send one another notes; none without it.
    shares: Option<GossipFaults>,
    /// Bytes of notes that came.
    pub bytes: u64,
    nodes: Vec<Node>,
    settings: Settings,
    entries: Vec<EndpointEntry>,
    queue: BinaryHeap<Due>,
    reports: BTreeMap<u64, Vec<f32>>,
    made: u64,
    now: Micros,
    rng: fastrand::Rng,
}

/// Settings of a large fleet: two kinds of destination, the second of which takes five messages in a call.
pub fn settings(senders: usize) -> Settings {
    let class = |effect, worth| Class {
        idempotency: effect,
        latency_objective: 4 * SECOND,
        deadline: 12 * SECOND,
        priority_weight: worth,
        late_weight: 0.3,
        in_order: false,
    };
    let keyed = Idempotency::Keyed { scope: IdempotencyScope::All, window: 3 * SECOND };
    Settings {
        classes: vec![class(keyed, 2.0), class(Idempotency::NonIdempotent, 1.0)],
        tenants: vec![],
        kinds: vec![
            DestinationKind { separate_routes: false, max_batch: 1 },
            DestinationKind { separate_routes: false, max_batch: 5 },
        ],
        zone_fees: vec![0.0],
        decay: Decay::Halving,
        max_calls: 5,
        max_messages: 64,
        max_attempts: 6,
        hedging: false,
        cancellation: true,
        health_checks: true,
        health_check_price: 0.01,
        rejection_price: 0.1,
        connect_timeout: SECOND,
        idle_timeout: 5 * SECOND,
        max_retry_after: 3 * SECOND,
        polling_only: false,
        weights: Weights::Rough,
        over_quota_weight: 0.1,
        report: (Some(0), Some(1)),
        senders,
        period: 1_000,
        idle: None,
        gossip: None,
        rules: Rules {
            answer_slack: 5_000,
            poll_interval: None,
            cold_share: 0.18,
            warm_within: 14 * SECOND,
            overload_multiple: 2.0,
            overload_for: 3 * SECOND,
            drain_timeout: 2 * SECOND,
            ordering_pause: 0,
        },
    }
}

/// What a sender of that rank is told.
fn settings_of(me: usize, senders: usize, notes: Option<GossipFaults>) -> Settings {
    let (me, all) = (me as u16, senders as u16);
    let byte_budget = (25.0, 100.0).into();
    let law = |notes: GossipFaults| GossipConfig {
        member: me,
        incarnation: 1,
        senders: all,
        broadcast: true,
        byte_budget,
        quota_transfer: notes.quota_transfer,
    };
    Settings { gossip: notes.map(law), ..settings(senders) }
}

fn new_held(partner: usize, class: usize, end: Micros, aim: Micros) -> PendingMessage {
    PendingMessage {
        partner,
        class,
        end,
        objective_at: aim,
        in_flight_since: None,
        ran: None,
        unclear: vec![],
        attempts: 0,
    }
}

/// A message as it is handed in, or picked up again.
fn message(id: u32, held: &PendingMessage, now: Micros) -> Message {
    Message {
        id: MessageId(id),
        class: held.class,
        tenant: 0,
        key: None,
        remaining_time: held.end.saturating_sub(now),
        hint: None,
        destination: DestinationId(held.partner as u16),
    }
}

fn endpoint(partner: usize) -> EndpointId {
    EndpointId([10, 0, 0, partner as u8, 0x1b, 0x58])
}

impl World {
    /// So many senders that were told of all partners, at time 0.
    pub fn new(senders: usize, partners: Vec<Partner>, seed: u64) -> Self {
        Self::with_notes(senders, partners, seed, None)
    }

    /// The same with notes between them.
    pub fn with_notes(
        senders: usize,
        partners: Vec<Partner>,
        seed: u64,
        shares: Option<GossipFaults>,
    ) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let entries: Vec<_> = partners
            .iter()
            .enumerate()
            .map(|(at, partner)| EndpointEntry {
                endpoint: endpoint(at),
                destination: DestinationId(at as u16),
                zone: 0,
                kind: usize::from(partner.max_batch > 1),
                weight: partner.limit * partner.listed,
                listing: Listing::Ready,
            })
            .collect();
        let node = |me| Node {
            policy: Policy::new(settings_of(me, senders, shares), rng.u64(..), 0),
            pending: BTreeMap::new(),
            next: 0,
            process: 0,
            up: true,
            since: 0,
            traffic: 1.0,
            snapshot: None,
        };
        let nodes = (0..senders).map(node).collect();
        let mut world = Self {
            partners,
            verdicts: Verdicts::default(),
            abandoned: 0,
            keeps_snapshots: false,
            shares,
            bytes: 0,
            nodes,
            settings: settings(senders),
            entries,
            queue: BinaryHeap::new(),
            reports: BTreeMap::new(),
            made: 0,
            now: 0,
            rng,
        };
        for sender in 0..senders {
            let list = Event::EndpointList(world.entries.clone());
            world.tell(sender, &[list]);
        }
        world
    }

    /// What happened at all partners together.
    pub fn total(&self) -> Count {
        self.partners.iter().map(|partner| partner.count).sum()
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
                self.later(at as Micros, 0, SimEvent::Submitted(partner));
            }
        }
        while self.queue.peek().is_some_and(|next| next.0.0 <= until) {
            let Some(Reverse((at, number, sender, process, what))) = self.queue.pop() else { break };
            self.now = at;
            self.handle(number, sender, process, what);
        }
        self.now = until;
    }

    /// A release: within so many seconds from now the first `killed` senders are killed, each at a time by chance, and are
    /// back soon. Clients go on with those that they went to meanwhile: of the killed only every `kept`th gets messages.
    pub fn release(&mut self, killed: usize, seconds: f64, kept: usize) {
        for sender in 0..killed {
            let at = self.now + (self.rng.f64() * seconds * SECOND as f64) as Micros;
            self.later(at, sender, SimEvent::Killed);
            self.later(at + RESTART, sender, SimEvent::Restarted);
            self.nodes[sender].traffic = f64::from(u8::from(sender % kept == 0));
        }
    }

    /// Each sender's part of what clients hand in from now on, in proportion.
    pub fn traffic(&mut self, part: impl Fn(usize) -> f64) {
        self.nodes.iter_mut().enumerate().for_each(|(sender, node)| node.traffic = part(sender));
    }

    /// A clump: one client hands in so many messages for one partner within so many seconds from `at`, all to one sender.
    pub fn clump(&mut self, partner: usize, count: usize, at: f64, seconds: f64) {
        let sender = self.rng.usize(..self.nodes.len());
        for _ in 0..count {
            let at = self.now as f64 + (at + self.rng.f64() * seconds) * SECOND as f64;
            self.later(at as Micros, sender, SimEvent::SubmittedTo(partner));
        }
    }

    /// Who gets a message that is handed in now; nobody where all are down.
    fn draw_sender(&mut self) -> Option<usize> {
        let part = |node: &Node| if node.up { node.traffic } else { 0.0 };
        let mut at = self.rng.f64() * self.nodes.iter().map(part).sum::<f64>();
        self.nodes.iter().position(|node| {
            at -= part(node);
            at < 0.0
        })
    }

    fn later(&mut self, at: Micros, sender: usize, what: SimEvent) -> u64 {
        self.made += 1;
        let process = self.nodes[sender].process;
        self.queue.push(Reverse((at, self.made, sender, process, what)));
        self.made
    }

    fn handle(&mut self, number: u64, sender: usize, process: u32, what: SimEvent) {
        let now = self.now;
        match what {
            SimEvent::Submitted(partner) => {
                if let Some(sender) = self.draw_sender() {
                    self.hand_in(sender, partner);
                }
            }
            SimEvent::SubmittedTo(partner) => {
                let sender = if self.nodes[sender].up { Some(sender) } else { self.draw_sender() };
                if let Some(sender) = sender {
                    self.hand_in(sender, partner);
                }
            }
            SimEvent::Arrives(partner, parts) => {
                let (outcome, report) = self.partners[partner].call(now);
                let takes = self.partners[partner].call_seconds * (0.5 + self.rng.f64());
                let (answer, takes) = match outcome {
                    Outcome::Delivered => (Answer::Delivered, takes),
                    Outcome::Rejected(_) => (Answer::Rejected, 0.0),
                    _ => (Answer::Failed, 0.0),
                };
                for (id, _) in parts.iter().filter(|_| answer == Answer::Delivered) {
                    if let Some(held) = self.nodes[sender].pending.get_mut(id) {
                        held.ran.get_or_insert(now);
                    }
                }
                let at = now + ((0.01 + takes) * SECOND as f64) as Micros;
                self.made += 1;
                self.queue.push(Reverse((
                    at,
                    self.made,
                    sender,
                    process,
                    SimEvent::Answered(partner, parts, answer),
                )));
                self.reports.insert(self.made, report);
            }
            SimEvent::Answered(partner, parts, answer) => {
                let report = self.reports.remove(&number).unwrap_or_default();
                if process != self.nodes[sender].process {
                    return;
                }
                let events: Vec<_> = parts
                    .iter()
                    .map(|(id, attempt)| self.outcome(sender, partner, (*id, *attempt), answer, &report))
                    .collect();
                self.tell(sender, &events);
            }
            SimEvent::TimerFired(token) if process == self.nodes[sender].process => {
                self.tell(sender, &[Event::TimerFired(token)]);
            }
            SimEvent::TimerFired(_) => {}
            SimEvent::Killed => {
                if self.keeps_snapshots {
                    self.keep(sender);
                }
                let node = &mut self.nodes[sender];
                (node.up, node.process) = (false, node.process + 1);
                for held in node.pending.values_mut() {
                    held.unclear.extend(held.in_flight_since.take());
                }
            }
            SimEvent::Restarted => self.back(sender),
            SimEvent::Gossip(from, content) if self.nodes[sender].up => {
                self.bytes += content.len() as u64;
                self.tell(sender, &[Event::GossipReceived { from, content }]);
            }
            SimEvent::Gossip(..) => {}
        }
    }

    /// What all senders have learnt is kept as it is now, for those that are killed later with [`World::keeps_snapshots`] off.
    pub fn keep_all(&mut self) {
        (0..self.nodes.len()).for_each(|sender| self.keep(sender));
    }

    fn keep(&mut self, sender: usize) {
        let node = &mut self.nodes[sender];
        let timestamp = Timestamp { wall: WALL + self.now, boot: None };
        let mut snapshot = Snapshot { timestamp, found: true, ..Snapshot::default() };
        for destination in node.policy.observed_destinations() {
            let routes = node
                .policy
                .route_snapshots(destination)
                .into_iter()
                .map(|(_, learnt)| RouteRecord { endpoint: None, snapshot: on_the_wall(learnt) });
            let kept = DestinationRecord { at: timestamp.wall, listed: vec![], routes: routes.collect() };
            for route in kept.routes.iter().filter(|route| route.snapshot.wait_until > timestamp.wall) {
                let key = RouteKey { destination: destination.0, endpoint: None };
                snapshot.waits.insert(key, route.snapshot.wait_until);
            }
            snapshot.destinations.insert(destination.0, kept);
        }
        node.snapshot = Some(snapshot);
    }

    /// What a sender believes that comes back now.
    fn believed(&self, sender: usize) -> Vec<Event> {
        let Some(snapshot) = &self.nodes[sender].snapshot else { return vec![] };
        let timestamp = Timestamp { wall: WALL + self.now, boot: None };
        let law = Config { span: 3_600 * SECOND, latency_objective: 4 * SECOND };
        let belief = restore(snapshot, &RestoreTime { now: self.now, timestamp }, 0, &law);
        let told = |believed: health_snapshot::restore::RestoredRoute| Event::SnapshotRestored {
            route: (DestinationId(believed.destination), None),
            snapshot: believed.snapshot,
        };
        belief.routes.into_iter().map(told).collect()
    }

    /// A client hands a message in.
    fn hand_in(&mut self, sender: usize, partner: usize) {
        let now = self.now;
        let class = usize::from(self.rng.f64() < 0.2);
        let node = &mut self.nodes[sender];
        node.next += 1;
        let (id, end, aim) = (node.next, now + 12 * SECOND, now + 4 * SECOND);
        node.pending.insert(id, new_held(partner, class, end, aim));
        self.partners[partner].count(now, |count| count.offered += 1);
        let message = message(id, &self.nodes[sender].pending[&id], now);
        self.tell(sender, &[Event::Accepted(message)]);
    }

    /// A new process of a sender, with the list and what is owed to messages.
    fn back(&mut self, sender: usize) {
        let (now, seed) = (self.now, self.rng.u64(..));
        let settings = settings_of(sender, self.nodes.len(), self.shares);
        let believed = self.believed(sender);
        let node = &mut self.nodes[sender];
        (node.up, node.since, node.policy) = (true, now, Policy::new(settings, seed, now));
        let mut events = vec![Event::EndpointList(self.entries.clone())];
        events.extend(believed);
        events.extend(node.pending.iter().map(|(id, held)| Event::Recovered {
            message: message(*id, held, now),
            attempts: held.attempts.into(),
            may_have_run: held.unclear.iter().map(|began| (now - began, endpoint(held.partner))).collect(),
            idempotency: None,
        }));
        self.tell(sender, &events);
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
        let held = self.nodes[sender].pending.get_mut(&id);
        if let Some(held) = held {
            held.in_flight_since = None;
            if delivered {
                let in_time = now <= held.objective_at;
                self.nodes[sender].pending.remove(&id);
                self.partners[partner].count(now, |count| {
                    count.delivered += 1;
                    count.in_time += u32::from(in_time);
                });
            }
        }
        Event::AttemptCompleted {
            message: MessageId(id),
            attempt,
            endpoint: endpoint(partner),
            outcome: match answer {
                Answer::Delivered => Outcome::Delivered,
                Answer::Rejected => Outcome::Rejected(None),
                Answer::Failed => Outcome::ConnectFailed,
            },
            terminal: delivered,
            took: 0,
            report: report.to_vec(),
        }
    }

    /// A note goes to one, or to all, late or not at all.
    fn send_note(&mut self, sender: usize, to: Option<u16>, content: &[u8]) {
        let Some(GossipFaults { lost, .. }) = self.shares else { return };
        let all =
            (0..self.nodes.len()).filter(|other| to.map_or(*other != sender, |to| *other == usize::from(to)));
        for other in all.collect::<Vec<_>>() {
            if self.rng.f64() >= lost {
                let at = self.now + self.rng.u64(4_200..32_000);
                let what = SimEvent::Gossip(sender as u16, content.to_vec());
                self.made += 1;
                self.queue.push(Reverse((at, self.made, other, 0, what)));
            }
        }
    }

    fn tell(&mut self, sender: usize, events: &[Event]) {
        let (now, mut actions, process) = (self.now, vec![], self.nodes[sender].process);
        self.nodes[sender].policy.handle(now, events, &mut actions);
        let mut calls: BTreeMap<usize, Vec<(u32, u16)>> = BTreeMap::new();
        for action in actions {
            match action {
                Action::Attempt { message: MessageId(id), .. } => {
                    let Some(held) = self.nodes[sender].pending.get_mut(&id) else {
                        self.verdicts.duplicates += 1;
                        continue;
                    };
                    let harm = held.in_flight_since.is_some() || held.harmed_by_more(&self.settings, now);
                    self.verdicts.duplicates += u32::from(harm);
                    self.verdicts.lost += u32::from(now > held.end);
                    held.in_flight_since = Some(now);
                    held.attempts += 1;
                    calls.entry(held.partner).or_default().push((id, held.attempts - 1));
                }
                Action::Reject { message: MessageId(id), .. } | Action::Fail(MessageId(id)) => {
                    if let Some(held) = self.nodes[sender].pending.remove(&id) {
                        let refused = matches!(action, Action::Reject { .. });
                        let harm = refused && held.harmed_by_more(&self.settings, now);
                        self.verdicts.duplicates += u32::from(harm);
                        // No end is overdue until so long after its sender is back.
                        let restarted = self.nodes[sender].since + if process > 0 { 1_500_000 } else { 0 };
                        self.verdicts.lost += u32::from(now > held.end.max(restarted) + 5_000);
                        self.abandoned += 1;
                    }
                }
                Action::SendGossip { to, content } => self.send_note(sender, to, &content),
                Action::SetTimer { at, token } => {
                    self.later(at.max(now + 1), sender, SimEvent::TimerFired(token));
                }
                _ => {}
            }
        }
        for (partner, parts) in calls {
            let bundle = self.partners[partner].max_batch;
            for call in parts.chunks(bundle) {
                let at = now + self.rng.u64(4_000..15_000);
                self.later(at, sender, SimEvent::Arrives(partner, call.to_vec()));
            }
        }
    }
}
