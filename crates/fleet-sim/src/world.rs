//! The simulated world: senders, partners, clients that submit messages, and one queue of events by time.

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

use crate::partner::{Counts, Partner};

/// Microseconds per second.
const SECOND: Micros = 1_000_000;

/// An event of the simulation; all but [`SimEvent::Submitted`] concern one sender.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum SimEvent {
    /// A client submits a message for that partner to a sender that is drawn at random at that time.
    Submitted(usize),
    /// A client submits a message for that partner to this sender, or to a random one while this sender is down.
    SubmittedTo(usize),
    /// A call arrives at its partner with these messages, each with its attempt.
    Arrives(usize, Vec<(u32, u16)>),
    /// The answer to a call arrives at the sender. Its load report is in [`World::reports`].
    Answered(usize, Vec<(u32, u16)>, Answer),
    /// A timer that the decision module set has expired.
    TimerFired(u64),
    /// The sender's process is killed.
    Killed,
    /// A new process of the sender starts, with the pending messages and the endpoint list.
    Restarted,
    /// A gossip message from that sender arrives.
    Gossip(u16, Vec<u8>),
}

/// The wall-clock time at the start of the simulation. Health snapshots use the wall clock.
const WALL_CLOCK_START: Micros = 1_000_000 * SECOND;

/// Converts the times of a route snapshot to the wall clock. A time of 0 means that there is none, and stays 0.
fn to_wall_clock(snapshot: RouteSnapshot) -> RouteSnapshot {
    let at = |at: Micros| if at > 0 { WALL_CLOCK_START + at } else { 0 };
    RouteSnapshot {
        wait_until: at(snapshot.wait_until),
        shortage_at: snapshot.shortage_at.map(at),
        unhealthy_since: snapshot.unhealthy_since.map(at),
        cold_since: snapshot.cold_since.map(at),
        last_success_at: at(snapshot.last_success_at),
        trial: snapshot.trial.map(|(due, reset)| (at(due), reset)),
        recent_calls: (snapshot.recent_calls.0, at(snapshot.recent_calls.1)),
        ..snapshot
    }
}

/// The time from the kill of a process to the start of the next one.
const RESTART_DELAY: Micros = 600_000;

/// How a partner answered a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Answer {
    Delivered,
    Rejected,
    Failed,
}

/// A message that a sender accepted and that has no final outcome yet.
#[derive(Debug)]
struct PendingMessage {
    partner: usize,
    class: usize,
    deadline: Micros,
    objective_at: Micros,
    /// When the call in flight was started.
    in_flight_since: Option<Micros>,
    /// When it first took effect at the partner. The answer has not arrived at its sender.
    first_executed_at: Option<Micros>,
    /// Start times of the calls that were in flight when a process of the sender was killed.
    unresolved_calls: Vec<Micros>,
    attempts: u16,
}

impl PendingMessage {
    /// Returns whether another call, or a rejection with the advice to submit it again, could make it take effect twice.
    fn repeat_is_harmful(&self, settings: &Settings, now: Micros) -> bool {
        let Some(first_executed_at) = self.first_executed_at else { return false };
        match settings.classes[self.class].idempotency {
            Idempotency::Idempotent => false,
            Idempotency::Keyed { window, .. } => now > first_executed_at + window,
            Idempotency::NonIdempotent => true,
        }
    }
}

/// Counts of violations of the rules that this simulation checks.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Violations {
    /// Attempts and final outcomes after the deadline of their message.
    pub missed_deadlines: u32,
    /// Attempts for a message that had another one in flight or was no longer pending, and attempts or rejections after an
    /// attempt that had taken effect and must not be repeated.
    pub duplicates: u32,
}

/// A simulated sender.
struct Node {
    policy: Policy,
    pending: BTreeMap<u32, PendingMessage>,
    /// The number of the latest message.
    last_message: u32,
    /// The number of its processes that have been killed.
    process: u32,
    up: bool,
    /// When its current process started.
    started_at: Micros,
    /// Its share of the messages that clients submit, relative to other senders.
    traffic_share: f64,
    /// Its latest health snapshot.
    snapshot: Option<Snapshot>,
}

/// How senders exchange gossip.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GossipOptions {
    /// The share of the gossip messages that is lost.
    pub loss_rate: f64,
    /// Whether senders transfer quota shares to one another.
    pub quota_transfer: bool,
}

/// A queued event: its time, its sequence number, the sender, the process of the sender, and the event. The earliest is
/// first.
type Due = Reverse<(Micros, u64, usize, u32, SimEvent)>;

/// A simulation of senders and partners on one clock.
pub struct World {
    /// The partners. The index of a partner is its destination number.
    pub partners: Vec<Partner>,
    /// The violations found so far.
    pub violations: Violations,
    /// The number of messages that were rejected or failed.
    pub abandoned: u32,
    /// Whether a killed process leaves a current health snapshot to its successor.
    pub saves_snapshots_on_exit: bool,
    /// How senders exchange gossip; `None` if they do not.
    gossip: Option<GossipOptions>,
    /// The number of bytes of gossip that were received.
    pub gossip_bytes: u64,
    nodes: Vec<Node>,
    settings: Settings,
    entries: Vec<EndpointEntry>,
    queue: BinaryHeap<Due>,
    /// The load reports of answers that have not arrived yet, by the sequence number of the event.
    reports: BTreeMap<u64, Vec<f32>>,
    last_sequence: u64,
    now: Micros,
    rng: fastrand::Rng,
}

/// Returns the settings of a large fleet: two kinds of destination, the second of which accepts five messages per call.
pub fn settings(senders: usize) -> Settings {
    let class = |idempotency, priority_weight| Class {
        idempotency,
        latency_objective: 4 * SECOND,
        deadline: 12 * SECOND,
        priority_weight,
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

/// Returns the settings of one sender.
fn settings_for(sender: usize, senders: usize, gossip: Option<GossipOptions>) -> Settings {
    let (member, member_count) = (sender as u16, senders as u16);
    let byte_budget = (25.0, 100.0).into();
    let config = |gossip: GossipOptions| GossipConfig {
        member,
        incarnation: 1,
        senders: member_count,
        broadcast: true,
        byte_budget,
        quota_transfer: gossip.quota_transfer,
    };
    Settings { gossip: gossip.map(config), ..settings(senders) }
}

fn new_pending(partner: usize, class: usize, deadline: Micros, objective_at: Micros) -> PendingMessage {
    PendingMessage {
        partner,
        class,
        deadline,
        objective_at,
        in_flight_since: None,
        first_executed_at: None,
        unresolved_calls: vec![],
        attempts: 0,
    }
}

/// Returns a pending message in the form in which the decision module gets it, when it is submitted or recovered.
fn message(id: u32, pending_message: &PendingMessage, now: Micros) -> Message {
    Message {
        id: MessageId(id),
        class: pending_message.class,
        tenant: 0,
        key: None,
        remaining_time: pending_message.deadline.saturating_sub(now),
        hint: None,
        destination: DestinationId(pending_message.partner as u16),
    }
}

fn endpoint(partner: usize) -> EndpointId {
    EndpointId([10, 0, 0, partner as u8, 0x1b, 0x58])
}

impl World {
    /// Creates a simulation at time 0 in which every sender has the endpoint list with all partners.
    pub fn new(senders: usize, partners: Vec<Partner>, seed: u64) -> Self {
        Self::with_gossip(senders, partners, seed, None)
    }

    /// Creates a simulation with gossip between the senders.
    pub fn with_gossip(
        senders: usize,
        partners: Vec<Partner>,
        seed: u64,
        gossip: Option<GossipOptions>,
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
                weight: partner.limit * partner.listed_factor,
                listing: Listing::Ready,
            })
            .collect();
        let node = |me| Node {
            policy: Policy::new(settings_for(me, senders, gossip), rng.u64(..), 0),
            pending: BTreeMap::new(),
            last_message: 0,
            process: 0,
            up: true,
            started_at: 0,
            traffic_share: 1.0,
            snapshot: None,
        };
        let nodes = (0..senders).map(node).collect();
        let mut world = Self {
            partners,
            violations: Violations::default(),
            abandoned: 0,
            saves_snapshots_on_exit: false,
            gossip,
            gossip_bytes: 0,
            nodes,
            settings: settings(senders),
            entries,
            queue: BinaryHeap::new(),
            reports: BTreeMap::new(),
            last_sequence: 0,
            now: 0,
            rng,
        };
        for sender in 0..senders {
            let list = Event::EndpointList(world.entries.clone());
            world.handle_events(sender, &[list]);
        }
        world
    }

    /// Returns the counts of all partners together.
    pub fn total(&self) -> Counts {
        self.partners.iter().map(|partner| partner.count).sum()
    }

    /// Runs the simulation for a number of seconds. Clients submit `rate` messages per second in total for each partner, each
    /// to a random sender.
    pub fn run(&mut self, seconds: f64, rate: f64) {
        self.run_at(seconds, &vec![rate; self.partners.len()]);
    }

    /// Runs the simulation like [`World::run`], with a message rate of its own for each partner.
    pub fn run_at(&mut self, seconds: f64, rates: &[f64]) {
        let until = self.now + (seconds * SECOND as f64) as Micros;
        for (partner, rate) in rates.iter().enumerate() {
            let mut at = self.now as f64;
            loop {
                at -= (1.0 - self.rng.f64()).ln() / rate * SECOND as f64;
                if at >= until as f64 {
                    break;
                }
                self.schedule(at as Micros, 0, SimEvent::Submitted(partner));
            }
        }
        while self.queue.peek().is_some_and(|next| next.0.0 <= until) {
            let Some(Reverse((at, sequence, sender, process, event))) = self.queue.pop() else { break };
            self.now = at;
            self.handle(sequence, sender, process, event);
        }
        self.now = until;
    }

    /// Starts a rolling restart: the first `killed` senders are killed within `seconds` from now, each at a random time, and
    /// restart soon after. Since clients stay with the senders that they switched to meanwhile, only every `with_traffic`th
    /// of the restarted ones gets messages from now on.
    pub fn rolling_restart(&mut self, killed: usize, seconds: f64, with_traffic: usize) {
        for sender in 0..killed {
            let at = self.now + (self.rng.f64() * seconds * SECOND as f64) as Micros;
            self.schedule(at, sender, SimEvent::Killed);
            self.schedule(at + RESTART_DELAY, sender, SimEvent::Restarted);
            self.nodes[sender].traffic_share = f64::from(u8::from(sender % with_traffic == 0));
        }
    }

    /// Sets each sender's share of the messages that clients submit from now on, relative to other senders.
    pub fn set_traffic(&mut self, share: impl Fn(usize) -> f64) {
        self.nodes.iter_mut().enumerate().for_each(|(sender, node)| node.traffic_share = share(sender));
    }

    /// Schedules a burst: one client submits `count` messages for one partner to one random sender, within `seconds` after
    /// `at` seconds from now.
    pub fn burst(&mut self, partner: usize, count: usize, at: f64, seconds: f64) {
        let sender = self.rng.usize(..self.nodes.len());
        for _ in 0..count {
            let at = self.now as f64 + (at + self.rng.f64() * seconds) * SECOND as f64;
            self.schedule(at as Micros, sender, SimEvent::SubmittedTo(partner));
        }
    }

    /// Draws the sender for a message that is submitted now; `None` if no sender that gets traffic is up.
    fn draw_sender(&mut self) -> Option<usize> {
        let share = |node: &Node| if node.up { node.traffic_share } else { 0.0 };
        let mut at = self.rng.f64() * self.nodes.iter().map(share).sum::<f64>();
        self.nodes.iter().position(|node| {
            at -= share(node);
            at < 0.0
        })
    }

    /// Queues an event for the current process of a sender, and returns its sequence number.
    fn schedule(&mut self, at: Micros, sender: usize, event: SimEvent) -> u64 {
        self.last_sequence += 1;
        let process = self.nodes[sender].process;
        self.queue.push(Reverse((at, self.last_sequence, sender, process, event)));
        self.last_sequence
    }

    fn handle(&mut self, sequence: u64, sender: usize, process: u32, event: SimEvent) {
        let now = self.now;
        match event {
            SimEvent::Submitted(partner) => {
                if let Some(sender) = self.draw_sender() {
                    self.submit(sender, partner);
                }
            }
            SimEvent::SubmittedTo(partner) => {
                let sender = if self.nodes[sender].up { Some(sender) } else { self.draw_sender() };
                if let Some(sender) = sender {
                    self.submit(sender, partner);
                }
            }
            SimEvent::Arrives(partner, messages) => {
                let (outcome, report) = self.partners[partner].call(now);
                let call_time = self.partners[partner].call_seconds * (0.5 + self.rng.f64());
                let (answer, call_time) = match outcome {
                    Outcome::Delivered => (Answer::Delivered, call_time),
                    Outcome::Rejected(_) => (Answer::Rejected, 0.0),
                    _ => (Answer::Failed, 0.0),
                };
                for (id, _) in messages.iter().filter(|_| answer == Answer::Delivered) {
                    if let Some(pending_message) = self.nodes[sender].pending.get_mut(id) {
                        pending_message.first_executed_at.get_or_insert(now);
                    }
                }
                let at = now + ((0.01 + call_time) * SECOND as f64) as Micros;
                self.last_sequence += 1;
                self.queue.push(Reverse((
                    at,
                    self.last_sequence,
                    sender,
                    process,
                    SimEvent::Answered(partner, messages, answer),
                )));
                self.reports.insert(self.last_sequence, report);
            }
            SimEvent::Answered(partner, messages, answer) => {
                let report = self.reports.remove(&sequence).unwrap_or_default();
                if process != self.nodes[sender].process {
                    return;
                }
                let events: Vec<_> = messages
                    .iter()
                    .map(|(id, attempt)| self.outcome(sender, partner, (*id, *attempt), answer, &report))
                    .collect();
                self.handle_events(sender, &events);
            }
            SimEvent::TimerFired(token) if process == self.nodes[sender].process => {
                self.handle_events(sender, &[Event::TimerFired(token)]);
            }
            SimEvent::TimerFired(_) => {}
            SimEvent::Killed => {
                if self.saves_snapshots_on_exit {
                    self.save_snapshot(sender);
                }
                let node = &mut self.nodes[sender];
                (node.up, node.process) = (false, node.process + 1);
                for pending_message in node.pending.values_mut() {
                    pending_message.unresolved_calls.extend(pending_message.in_flight_since.take());
                }
            }
            SimEvent::Restarted => self.restart(sender),
            SimEvent::Gossip(from, content) if self.nodes[sender].up => {
                self.gossip_bytes += content.len() as u64;
                self.handle_events(sender, &[Event::GossipReceived { from, content }]);
            }
            SimEvent::Gossip(..) => {}
        }
    }

    /// Saves a health snapshot of every sender now, for those that are killed later while
    /// [`World::saves_snapshots_on_exit`] is false.
    pub fn save_all_snapshots(&mut self) {
        (0..self.nodes.len()).for_each(|sender| self.save_snapshot(sender));
    }

    fn save_snapshot(&mut self, sender: usize) {
        let node = &mut self.nodes[sender];
        let timestamp = Timestamp { wall: WALL_CLOCK_START + self.now, boot: None };
        let mut snapshot = Snapshot { timestamp, found: true, ..Snapshot::default() };
        for destination in node.policy.observed_destinations() {
            let routes = node
                .policy
                .route_snapshots(destination)
                .into_iter()
                .map(|(_, snapshot)| RouteRecord { endpoint: None, snapshot: to_wall_clock(snapshot) });
            let record = DestinationRecord { at: timestamp.wall, listed: vec![], routes: routes.collect() };
            for route in record.routes.iter().filter(|route| route.snapshot.wait_until > timestamp.wall) {
                let key = RouteKey { destination: destination.0, endpoint: None };
                snapshot.waits.insert(key, route.snapshot.wait_until);
            }
            snapshot.destinations.insert(destination.0, record);
        }
        node.snapshot = Some(snapshot);
    }

    /// Returns the events that restore a sender's health snapshot when it starts now.
    fn restored_events(&self, sender: usize) -> Vec<Event> {
        let Some(snapshot) = &self.nodes[sender].snapshot else { return vec![] };
        let timestamp = Timestamp { wall: WALL_CLOCK_START + self.now, boot: None };
        let config = Config { span: 3_600 * SECOND, latency_objective: 4 * SECOND };
        let restored = restore(snapshot, &RestoreTime { now: self.now, timestamp }, 0, &config);
        let event = |restored: health_snapshot::restore::RestoredRoute| Event::SnapshotRestored {
            route: (DestinationId(restored.destination), None),
            snapshot: restored.snapshot,
        };
        restored.routes.into_iter().map(event).collect()
    }

    /// A client submits a message to a sender.
    fn submit(&mut self, sender: usize, partner: usize) {
        let now = self.now;
        let class = usize::from(self.rng.f64() < 0.2);
        let node = &mut self.nodes[sender];
        node.last_message += 1;
        let (id, deadline, objective_at) = (node.last_message, now + 12 * SECOND, now + 4 * SECOND);
        node.pending.insert(id, new_pending(partner, class, deadline, objective_at));
        self.partners[partner].count(now, |count| count.submitted += 1);
        let message = message(id, &self.nodes[sender].pending[&id], now);
        self.handle_events(sender, &[Event::Accepted(message)]);
    }

    /// Starts a new process of a sender, with the endpoint list, its health snapshot and the pending messages.
    fn restart(&mut self, sender: usize) {
        let (now, seed) = (self.now, self.rng.u64(..));
        let settings = settings_for(sender, self.nodes.len(), self.gossip);
        let restored = self.restored_events(sender);
        let node = &mut self.nodes[sender];
        (node.up, node.started_at, node.policy) = (true, now, Policy::new(settings, seed, now));
        let mut events = vec![Event::EndpointList(self.entries.clone())];
        events.extend(restored);
        events.extend(node.pending.iter().map(|(id, pending_message)| {
            Event::Recovered {
                message: message(*id, pending_message, now),
                attempts: pending_message.attempts.into(),
                may_have_run: pending_message
                    .unresolved_calls
                    .iter()
                    .map(|started_at| (now - started_at, endpoint(pending_message.partner)))
                    .collect(),
                idempotency: None,
            }
        }));
        self.handle_events(sender, &events);
    }

    /// Records the outcome of an attempt, and returns the event for the decision module.
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
        let pending_message = self.nodes[sender].pending.get_mut(&id);
        if let Some(pending_message) = pending_message {
            pending_message.in_flight_since = None;
            if delivered {
                let on_time = now <= pending_message.objective_at;
                self.nodes[sender].pending.remove(&id);
                self.partners[partner].count(now, |count| {
                    count.delivered += 1;
                    count.on_time += u32::from(on_time);
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

    /// Sends a gossip message to one sender or to all others; each copy is delayed or lost.
    fn send_gossip(&mut self, sender: usize, to: Option<u16>, content: &[u8]) {
        let Some(GossipOptions { loss_rate, .. }) = self.gossip else { return };
        let receivers =
            (0..self.nodes.len()).filter(|other| to.map_or(*other != sender, |to| *other == usize::from(to)));
        for other in receivers.collect::<Vec<_>>() {
            if self.rng.f64() >= loss_rate {
                let at = self.now + self.rng.u64(4_200..32_000);
                let event = SimEvent::Gossip(sender as u16, content.to_vec());
                self.last_sequence += 1;
                self.queue.push(Reverse((at, self.last_sequence, other, 0, event)));
            }
        }
    }

    /// Passes events to a sender's decision module, carries out its actions and checks them for violations.
    fn handle_events(&mut self, sender: usize, events: &[Event]) {
        let (now, mut actions, process) = (self.now, vec![], self.nodes[sender].process);
        self.nodes[sender].policy.handle(now, events, &mut actions);
        let mut calls: BTreeMap<usize, Vec<(u32, u16)>> = BTreeMap::new();
        for action in actions {
            match action {
                Action::Attempt { message: MessageId(id), .. } => {
                    let Some(pending_message) = self.nodes[sender].pending.get_mut(&id) else {
                        self.violations.duplicates += 1;
                        continue;
                    };
                    let is_harmful = pending_message.in_flight_since.is_some()
                        || pending_message.repeat_is_harmful(&self.settings, now);
                    self.violations.duplicates += u32::from(is_harmful);
                    self.violations.missed_deadlines += u32::from(now > pending_message.deadline);
                    pending_message.in_flight_since = Some(now);
                    pending_message.attempts += 1;
                    calls
                        .entry(pending_message.partner)
                        .or_default()
                        .push((id, pending_message.attempts - 1));
                }
                Action::Reject { message: MessageId(id), .. } | Action::Fail(MessageId(id)) => {
                    if let Some(pending_message) = self.nodes[sender].pending.remove(&id) {
                        let rejected = matches!(action, Action::Reject { .. });
                        let is_harmful = rejected && pending_message.repeat_is_harmful(&self.settings, now);
                        self.violations.duplicates += u32::from(is_harmful);
                        // A final outcome may come 5 ms after the deadline (the settings' `answer_slack`), and until 1.5 s after
                        // a restart.
                        let grace_until =
                            self.nodes[sender].started_at + if process > 0 { 1_500_000 } else { 0 };
                        self.violations.missed_deadlines +=
                            u32::from(now > pending_message.deadline.max(grace_until) + 5_000);
                        self.abandoned += 1;
                    }
                }
                Action::SendGossip { to, content } => self.send_gossip(sender, to, &content),
                Action::SetTimer { at, token } => {
                    self.schedule(at.max(now + 1), sender, SimEvent::TimerFired(token));
                }
                _ => {}
            }
        }
        for (partner, messages) in calls {
            let max_batch = self.partners[partner].max_batch;
            for call in messages.chunks(max_batch) {
                let at = now + self.rng.u64(4_000..15_000);
                self.schedule(at, sender, SimEvent::Arrives(partner, call.to_vec()));
            }
        }
    }
}
