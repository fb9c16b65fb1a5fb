//! The state that a predecessor hands over to its successor, and the messages between the two.
//!
//! States of the decision module come from simulations with random events, so that as many fields as possible differ from their
//! defaults. All random draws have fixed seeds, so that the files are the same each time.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::{fs, io};

use admin::request::AdminRequest;
use decision::interface::*;
use decision::policy::Policy;
use handover::{
    Answer, AttemptCompleted, HandoverEndpoint, HandoverState, ToPredecessor, ToSuccessor, frame,
};
use journal::AcceptedMessage;
use rmpv::Value;

const SECOND: Micros = 1_000_000;
/// Time at which a simulation begins.
const START: Micros = 1_800_000_000 * SECOND;
/// When the predecessor of the recorded state stopped deciding.
const STOPPED_AT: Micros = START + 17;
/// Number of event batches in a simulation.
const BATCHES: usize = 360;
/// Number of destinations.
const DESTINATIONS: u16 = 12;
/// Number of simulations from which states are selected.
const SIMULATIONS: u64 = 9;
/// Names of the classes, in their order.
const CLASSES: [&str; 4] = ["keyed", "once", "safe", "ordered"];

/// Returns the golden files of a hand-over by name.
///
/// # Errors
/// Fails when a state can't be serialized or deserialized.
pub fn files() -> io::Result<BTreeMap<String, Vec<u8>>> {
    let policy_states = policy_states()?;
    let mut files = BTreeMap::new();
    let has_open_calls = |policy: &&Vec<u8>| {
        Policy::from_state(policy, settings(1), 1, STOPPED_AT)
            .is_ok_and(|policy| !policy.messages().is_empty() && policy.calls_in_flight() > 0)
    };
    let with_open_calls = policy_states.iter().filter(has_open_calls);
    let largest = with_open_calls.max_by_key(|policy| policy.len()).cloned().unwrap_or_default();
    for (number, policy) in policy_states.into_iter().enumerate() {
        files.insert(format!("policy-{number}.msgpack"), policy);
    }
    for (number, migrated) in migrated_states()?.into_iter().enumerate() {
        files.insert(format!("parcel-{number}.msgpack"), migrated);
    }
    files.insert("state.msgpack".to_owned(), to_message_pack(&handover_state(largest))?);
    files.insert("to_old.frames".to_owned(), encode_frames(&messages_to_predecessor())?);
    files.insert("to_new.frames".to_owned(), encode_frames(&messages_to_successor())?);
    files.insert("names.txt".to_owned(), listing(&names(&files)?).into_bytes());
    Ok(files)
}

/// Writes the golden files to the folder `handover` in `to`.
///
/// # Errors
/// Fails when a file cannot be written.
pub fn record(to: &Path) -> io::Result<()> {
    let folder = to.join("handover");
    if folder.is_dir() {
        fs::remove_dir_all(&folder)?;
    }
    fs::create_dir_all(&folder)?;
    for (name, bytes) in files()? {
        fs::write(folder.join(name), bytes)?;
    }
    Ok(())
}

/// Returns each key path in the files, and whether any value at this path differs from its default (nil, false, 0 or empty).
///
/// # Errors
/// Fails when a file is not valid MessagePack.
pub fn names(files: &BTreeMap<String, Vec<u8>>) -> io::Result<BTreeMap<String, bool>> {
    let mut names = BTreeMap::new();
    for (file, bytes) in files {
        let (stem, kind) = file.split_once('.').unwrap_or((file, ""));
        let root = stem.split('-').next().unwrap_or(stem);
        match kind {
            "msgpack" => collect_paths(&decode(bytes)?, root, &mut names),
            "frames" => {
                for body in bodies(bytes)? {
                    collect_paths(&decode(body)?, root, &mut names);
                }
            }
            _ => {}
        }
    }
    Ok(names)
}

/// Returns the key paths as text, one per line.
pub fn listing(names: &BTreeMap<String, bool>) -> String {
    names.keys().map(|name| format!("{name}\n")).collect()
}

/// Splits consecutive frames into their bodies.
///
/// # Errors
/// Fails when the last frame is incomplete.
pub fn bodies(mut bytes: &[u8]) -> io::Result<Vec<&[u8]>> {
    let mut bodies = Vec::new();
    while let Some((head, rest)) = bytes.split_first_chunk() {
        let length = frame::body_length(*head).map_err(io::Error::other)?;
        let (body, rest) = rest.split_at_checked(length).ok_or(io::ErrorKind::UnexpectedEof)?;
        bodies.push(body);
        bytes = rest;
    }
    if bytes.is_empty() { Ok(bodies) } else { Err(io::ErrorKind::UnexpectedEof.into()) }
}

/// Returns a state with the entries of hash maps and hash sets sorted. Fields keep the order in which they were written.
///
/// # Errors
/// Fails when the bytes are not valid MessagePack.
pub fn canonical(bytes: &[u8]) -> io::Result<Vec<u8>> {
    encode(&sort_sets(decode(bytes)?, ""))
}

/// Decodes a MessagePack value that takes up all of the bytes.
fn decode(mut bytes: &[u8]) -> io::Result<Value> {
    let value = rmpv::decode::read_value(&mut bytes).map_err(io::Error::other)?;
    if bytes.is_empty() {
        Ok(value)
    } else {
        Err(io::Error::other("trailing bytes after the MessagePack value"))
    }
}

fn encode(value: &Value) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    rmpv::encode::write_value(&mut bytes, value).map_err(io::Error::other)?;
    Ok(bytes)
}

fn to_message_pack<T: serde::Serialize>(value: &T) -> io::Result<Vec<u8>> {
    rmp_serde::to_vec_named(value).map_err(io::Error::other)
}

fn encode_frames<T: serde::Serialize>(messages: &[T]) -> io::Result<Vec<u8>> {
    let frames: Result<Vec<_>, _> = messages.iter().map(frame::write).collect();
    Ok(frames.map_err(io::Error::other)?.concat())
}

/// Paths of arrays that hold hash sets, the order of which is arbitrary.
const SETS: [&str; 3] = [".routes.awake.awake", ".waking.granted", ".waking.out"];

fn sort_sets(value: Value, path: &str) -> Value {
    let bytes = |value: &Value| encode(value).unwrap_or_default();
    match value {
        Value::Map(entries) => {
            let has_field_names = entries.iter().all(|entry| entry.0.is_str());
            let mut entries: Vec<_> = entries
                .into_iter()
                .map(|(key, value)| {
                    let path = format!("{path}.{}", key.as_str().unwrap_or("{}"));
                    (key, sort_sets(value, &path))
                })
                .collect();
            if !has_field_names {
                entries.sort_by_key(|entry| bytes(&entry.0));
            }
            Value::Map(entries)
        }
        Value::Array(items) => {
            let mut items: Vec<_> = items.into_iter().map(|item| sort_sets(item, path)).collect();
            if SETS.contains(&path) {
                items.sort_by_key(bytes);
            }
            Value::Array(items)
        }
        other => other,
    }
}

/// Adds the path of a value and each path below it, with whether a value there is set: neither nil, false, 0 nor empty. The path of
/// a string is also listed with its text, since an enum variant without data is stored as a string.
fn collect_paths(value: &Value, path: &str, names: &mut BTreeMap<String, bool>) {
    let set = match value {
        Value::Nil => false,
        Value::Boolean(set) => *set,
        Value::Integer(number) => number.as_u64() != Some(0),
        Value::F32(number) => *number != 0.0,
        Value::F64(number) => *number != 0.0,
        Value::String(text) => {
            names.insert(format!("{path} = {}", text.as_str().unwrap_or_default()), true);
            !text.as_bytes().is_empty()
        }
        Value::Binary(bytes) => !bytes.is_empty(),
        Value::Array(items) => {
            items.iter().for_each(|item| collect_paths(item, &format!("{path}[]"), names));
            !items.is_empty()
        }
        Value::Map(entries) => {
            for (key, value) in entries {
                match key.as_str() {
                    Some(key) => collect_paths(value, &format!("{path}.{key}"), names),
                    None => {
                        collect_paths(key, &format!("{path}{{key}}"), names);
                        collect_paths(value, &format!("{path}{{}}"), names);
                    }
                }
            }
            !entries.is_empty()
        }
        Value::Ext(..) => true,
    };
    *names.entry(path.to_owned()).or_default() |= set;
}

/// Returns a hand-over state in which no field has its default value.
fn handover_state(policy: Vec<u8>) -> HandoverState {
    let strings = |strings: &[&str]| strings.iter().map(|text| (*text).to_owned()).collect::<Vec<_>>();
    let listed = |n: u8, listing, unlisted| HandoverEndpoint {
        id: endpoint(n, 1),
        name: format!("endpoint-{n}"),
        address: Some(format!("10.0.0.{n}:7000")),
        zone: 1,
        kind: Some(2),
        destination: n.into(),
        listing,
        weight: 12.5,
        unlisted,
    };
    HandoverState {
        stopped_at: STOPPED_AT,
        names: [strings(&CLASSES), strings(&["plain", "apart", "bundled"]), strings(&["near", "far"])].into(),
        policy: policy.into(),
        endpoints: vec![
            listed(1, Listing::Ready, false),
            listed(2, Listing::Draining, false),
            listed(3, Listing::Gone, true),
        ],
        ids: vec![
            ("endpoint-1".to_owned(), endpoint(1, 1)).into(),
            ("past".to_owned(), endpoint(9, 1)).into(),
        ],
        ids_assigned: 9,
        list_version: 41,
        list_source: None,
        messages: vec![("request-1".to_owned(), 7, 70).into(), ("request-2".to_owned(), 8, 80).into()],
        attempts: vec![(7, 2).into(), (8, 1).into()],
        next_message: 9,
        requests: 81,
        attempts_in_flight: vec![(MessageId(7), 1, endpoint(1, 1)).into()],
        waits: vec![("endpoint-2".to_owned(), START + SECOND).into()],
        standby: Some(START + 5),
    }
}

/// Returns one of each message from the successor, with each kind of answer.
fn messages_to_predecessor() -> Vec<ToPredecessor> {
    let answers = [Answer::Accepted, Answer::Rejected(1_500), Answer::Failed, Answer::Delivered];
    let mut all = vec![
        ToPredecessor::RequestTakeover,
        ToPredecessor::TakeoverCompleted { understood: true },
        ToPredecessor::TakeoverCompleted { understood: false },
    ];
    all.extend(answers.into_iter().zip(1..).map(|(answer, number)| ToPredecessor::Answer(number, answer)));
    all.extend([
        ToPredecessor::AdminResponse(5, 200, "ready\n".to_owned()),
        ToPredecessor::Cancel(MessageId(7), 2),
    ]);
    all
}

/// Returns one of each message from the predecessor, with each outcome of an attempt and each admin request.
fn messages_to_successor() -> Vec<ToSuccessor> {
    let accepted = AcceptedMessage {
        id: "request-1".to_owned(),
        key: Some("key-1".to_owned()),
        class: CLASSES[0].into(),
        destination: 3,
        deadline: START + 20 * SECOND,
        body: b"body"[..].into(),
    };
    let completed = |(outcome, n): (Outcome, u16)| AttemptCompleted {
        message: MessageId(u32::from(n)),
        attempt: n,
        endpoint: endpoint(1, 1),
        outcome,
        message_completed: true,
        took: 1_250,
        report: vec![0.5, 100.0],
    };
    let outcomes = [
        Outcome::Delivered,
        Outcome::Error,
        Outcome::Reset,
        Outcome::TimedOut,
        Outcome::ConnectFailed,
        Outcome::InvalidResponse,
        Outcome::Rejected(None),
        Outcome::Rejected(Some(300_000)),
        Outcome::ConnectionRejected,
        Outcome::Cancelled,
        Outcome::NotSent { no_slot: true },
        Outcome::NotSent { no_slot: false },
    ];
    let requests = [
        AdminRequest::Status,
        AdminRequest::Metrics,
        AdminRequest::Gossip,
        AdminRequest::Eject("endpoint-1".to_owned()),
        AdminRequest::Reinstate("endpoint-2".to_owned()),
        AdminRequest::Standby,
        AdminRequest::Active,
        AdminRequest::Move { destination: 3, core: 1 },
    ];
    let mut all = vec![
        ToSuccessor::State(Box::new(handover_state(b"policy".to_vec()))),
        ToSuccessor::Drained,
        ToSuccessor::Submitted { number: 4, message: accepted, request: 40 },
        ToSuccessor::Withdrawn { id: "request-2".to_owned(), request: 41, destination: 3 },
        ToSuccessor::CallCompleted(outcomes.into_iter().zip(1..).map(completed).collect()),
        ToSuccessor::RetryAfter(endpoint(2, 1), 700_000),
        ToSuccessor::ConnectionReused { lost: true },
    ];
    all.extend(
        requests.into_iter().zip(1..).map(|(request, number)| ToSuccessor::AdminRequest { number, request }),
    );
    all
}

/// Returns settings that enable every feature, with no number at its default.
pub fn settings(me: u16) -> Settings {
    let class = |idempotency, in_order| Class {
        idempotency,
        latency_objective: 4 * SECOND,
        deadline: 20 * SECOND,
        priority_weight: 1.5,
        late_weight: 0.5,
        in_order,
    };
    let keyed = |scope| Idempotency::Keyed { scope, window: 6 * SECOND };
    Settings {
        classes: vec![
            class(keyed(IdempotencyScope::Zone), false),
            class(Idempotency::NonIdempotent, false),
            class(Idempotency::Idempotent, false),
            class(keyed(IdempotencyScope::All), true),
        ],
        tenants: vec![Tenant { quota: 5.0 }, Tenant { quota: 0.01 }],
        kinds: vec![
            DestinationKind { separate_routes: false, max_batch: 1 },
            DestinationKind { separate_routes: true, max_batch: 1 },
            DestinationKind { separate_routes: false, max_batch: 5 },
        ],
        zone_fees: vec![0.05, 0.1],
        decay: Decay::Halving,
        max_calls: 12,
        max_messages: 96,
        max_attempts: 6,
        hedging: true,
        cancellation: true,
        health_checks: true,
        health_check_price: 0.01,
        rejection_price: 0.1,
        connect_timeout: SECOND,
        idle_timeout: 5 * SECOND,
        max_retry_after: 3 * SECOND,
        polling_only: true,
        weights: Weights::Rough,
        over_quota_weight: 0.1,
        report: (Some(0), Some(1)),
        senders: 5,
        period: 5_000,
        idle: Some(IdlePolicy {
            idle_after: 3 * SECOND,
            retain_for: 600 * SECOND,
            max_retained: 5,
            max_active: 9,
            activations_per_second: 1.0,
        }),
        gossip: Some(GossipConfig {
            member: me,
            incarnation: 3,
            senders: 5,
            broadcast: true,
            byte_budget: (25.0, 100.0).into(),
            quota_transfer: true,
        }),
        rules: Rules {
            answer_slack: 20_000,
            poll_interval: Some(10 * SECOND),
            cold_share: 0.2,
            warm_within: 14 * SECOND,
            overload_multiple: 2.0,
            overload_for: 3 * SECOND,
            drain_timeout: 2 * SECOND,
            ordering_pause: SECOND,
        },
    }
}

fn endpoint(destination: u8, n: u8) -> EndpointId {
    EndpointId([10, 0, destination, n, 0x1b, 0x58])
}

fn entries() -> Vec<EndpointEntry> {
    let all = (1..=DESTINATIONS).flat_map(|destination| [1, 2].map(|n| (destination, n)));
    all.map(|(destination, n)| EndpointEntry {
        endpoint: endpoint(destination as u8, n),
        destination: DestinationId(destination),
        zone: u16::from(n % 2),
        kind: usize::from(destination % 3),
        weight: if destination % 4 == 0 { 0.0 } else { 30.0 },
        listing: Listing::Ready,
    })
    .collect()
}

/// An attempt in flight.
#[derive(Clone, Copy)]
struct InFlightAttempt {
    message: MessageId,
    attempt: u16,
    endpoint: EndpointId,
    sent: Micros,
    until: Micros,
}

/// A decision module with its attempts in flight.
struct Sender {
    policy: Policy,
    in_flight: Vec<InFlightAttempt>,
    attempts: BTreeMap<MessageId, u16>,
    gossip_messages: Vec<Vec<u8>>,
}

impl Sender {
    fn new(settings: Settings, seed: u64) -> Self {
        let policy = Policy::new(settings, seed, START);
        Self { policy, in_flight: Vec::new(), attempts: BTreeMap::new(), gossip_messages: Vec::new() }
    }

    fn handle(&mut self, now: Micros, events: &[Event]) {
        for event in events {
            if let Event::Recovered { message, attempts, .. } = event {
                self.attempts.insert(message.id, *attempts as u16);
            }
        }
        let mut actions = Vec::new();
        self.policy.handle(now, events, &mut actions);
        for action in actions {
            match action {
                Action::Attempt { message, endpoint, timeout, .. } => {
                    let attempts = self.attempts.entry(message).or_default();
                    let attempt = *attempts;
                    *attempts += 1;
                    self.in_flight.push(InFlightAttempt {
                        message,
                        attempt,
                        endpoint,
                        sent: now,
                        until: now + timeout,
                    });
                }
                Action::SendGossip { content, .. } => self.gossip_messages.push(content),
                _ => {}
            }
        }
    }

    fn complete_attempt(
        &mut self,
        at: usize,
        outcome: Outcome,
        now: Micros,
        report: Vec<f32>,
        terminal: bool,
    ) -> Event {
        let InFlightAttempt { message, attempt, endpoint, sent, .. } = self.in_flight.remove(at);
        let terminal = terminal || outcome == Outcome::Delivered;
        Event::AttemptCompleted { message, attempt, endpoint, outcome, terminal, took: now - sent, report }
    }
}

/// Simulation of two senders that exchange gossip.
struct Simulation {
    rng: fastrand::Rng,
    now: Micros,
    senders: [Sender; 2],
    next_message: u32,
    /// Whether messages of the ordered class are submitted too.
    with_ordered_class: bool,
}

impl Simulation {
    fn new(seed: u64, with_ordered_class: bool) -> Self {
        let senders = [1, 2].map(|me| {
            let decay = [Decay::Halving, Decay::Linear][(seed % 2) as usize];
            let weights = [Weights::Rough, Weights::Nominal, Weights::None][(seed % 3) as usize];
            Sender::new(Settings { decay, weights, ..settings(me) }, seed + u64::from(me))
        });
        let mut simulation = Self {
            rng: fastrand::Rng::with_seed(seed),
            now: START,
            senders,
            next_message: 0,
            with_ordered_class,
        };
        for sender in &mut simulation.senders {
            sender.handle(START, &[Event::EndpointList(entries())]);
        }
        simulation
    }

    fn message(&mut self, step: usize) -> Message {
        self.next_message += 1;
        let rng = &mut self.rng;
        // Only a few destinations are busy at a time, so that the others become idle.
        let first_busy = (step / 60 * 3) as u16;
        let destination = (first_busy + rng.u16(..4)) % DESTINATIONS + 1;
        Message {
            id: MessageId(self.next_message),
            class: rng.usize(..if self.with_ordered_class { 4 } else { 3 }),
            tenant: rng.usize(..2),
            key: Some(rng.u64(1..4)),
            remaining_time: rng.u64(6..20) * SECOND,
            hint: Some(30_000),
            destination: DestinationId(destination),
        }
    }

    fn any_endpoint(&mut self) -> EndpointId {
        endpoint(self.rng.u8(1..=DESTINATIONS as u8), self.rng.u8(1..3))
    }

    fn snapshot_restored(&mut self) -> Event {
        let now = self.now;
        let condition = [Condition::Healthy, Condition::Rejecting, Condition::Failing][self.rng.usize(..3)];
        let snapshot = RouteSnapshot {
            wait_until: now + self.rng.u64(1..40) * SECOND,
            limit: 20.0,
            shortage_at: Some(now - SECOND),
            send_rate: 7.0,
            success_rate: 3.0,
            condition,
            failures: 1,
            unhealthy_since: Some(now - 9 * SECOND),
            cold_since: Some(now - 2 * SECOND),
            last_success_at: now - 3 * SECOND,
            trial: Some((now + SECOND, 2 * SECOND)),
            recent_calls: (2.0, now - SECOND),
            latency: Some((20_000.0, 5_000.0)),
        };
        let destination = self.rng.u16(1..=DESTINATIONS);
        let separate_routes = destination % 3 == 1;
        Event::SnapshotRestored {
            route: (DestinationId(destination), separate_routes.then(|| endpoint(destination as u8, 1))),
            snapshot,
        }
    }

    /// Draws the events of one batch for a sender.
    fn events(&mut self, sender_index: usize, step: usize) -> Vec<Event> {
        let now = self.now;
        let mut events = Vec::new();
        while let Some(at) =
            self.senders[sender_index].in_flight.iter().position(|attempt| attempt.until <= now)
        {
            events.push(self.senders[sender_index].complete_attempt(
                at,
                Outcome::TimedOut,
                now,
                vec![],
                false,
            ));
        }
        match self.rng.u8(..24) {
            0..8 => {
                for _ in 0..self.rng.u8(1..4) {
                    events.push(Event::Accepted(self.message(step)));
                }
            }
            8..15 if !self.senders[sender_index].in_flight.is_empty() => {
                let at = self.rng.usize(..self.senders[sender_index].in_flight.len());
                let outcomes = [
                    Outcome::Delivered,
                    Outcome::Delivered,
                    Outcome::Delivered,
                    Outcome::Rejected(Some(self.rng.u64(..SECOND))),
                    Outcome::Rejected(None),
                    Outcome::Error,
                    Outcome::Reset,
                    Outcome::ConnectFailed,
                    Outcome::ConnectionRejected,
                    Outcome::InvalidResponse,
                    Outcome::NotSent { no_slot: self.rng.bool() },
                ];
                let outcome = outcomes[self.rng.usize(..outcomes.len())];
                let report = vec![self.rng.f32(), 20.0 + 20.0 * self.rng.f32()];
                let terminal = matches!(outcome, Outcome::NotSent { .. }) && self.rng.bool();
                events.push(self.senders[sender_index].complete_attempt(at, outcome, now, report, terminal));
            }
            15 => {
                let listing = [Listing::Ready, Listing::Draining, Listing::Gone][self.rng.usize(..3)];
                let at = self.rng.usize(..2 * usize::from(DESTINATIONS));
                events.push(Event::EndpointChanges(vec![EndpointEntry { listing, ..entries()[at].clone() }]));
            }
            16 => events.push(Event::EndpointList(entries())),
            17 => events.push(Event::ConnectionReused { lost: self.rng.bool() }),
            18 => {
                let endpoint = self.any_endpoint();
                events.push(Event::RetryAfter { endpoint, wait: self.rng.u64(1..30) * SECOND });
            }
            19 => events.extend((0..4).map(|_| self.snapshot_restored()).collect::<Vec<_>>()),
            20 => {
                let message = self.message(step);
                let attempts = self.rng.u32(..3);
                let at = endpoint(message.destination.0 as u8, 1);
                let may_have_run = if attempts > 0 { vec![(SECOND, at)] } else { vec![] };
                let scope = [IdempotencyScope::All, IdempotencyScope::Zone, IdempotencyScope::Endpoint]
                    [self.rng.usize(..3)];
                let idempotency = Some(Idempotency::Keyed { scope, window: 5 * SECOND });
                events.push(Event::Recovered { message, attempts, may_have_run, idempotency });
            }
            21 => events.push(Event::DiscoveryFailed),
            22 if step > 40 => events.push(Event::SnapshotLost),
            _ if self.next_message > 3 => {
                let message = MessageId(self.rng.u32(1..self.next_message));
                events.push(Event::Withdrawn(message));
            }
            _ => {}
        }
        if sender_index == 0 && step + 6 == BATCHES {
            events.push(Event::ShuttingDown(now + 5 * SECOND));
        }
        events
    }

    fn step(&mut self, step: usize) {
        self.now += match self.rng.u8(..8) {
            0 => self.rng.u64(SECOND..2 * SECOND),
            _ => self.rng.u64(1_000..120_000),
        };
        for sender_index in 0..2 {
            let mut events = self.events(sender_index, step);
            let gossip_messages = std::mem::take(&mut self.senders[1 - sender_index].gossip_messages);
            events.extend(
                gossip_messages
                    .into_iter()
                    .map(|content| Event::GossipReceived { from: (2 - sender_index) as u16, content }),
            );
            self.senders[sender_index].handle(self.now, &events);
        }
    }

    fn state(&self) -> io::Result<Vec<u8>> {
        canonical(&self.senders[0].policy.state().map_err(io::Error::other)?)
    }
}

/// The paths of a recorded value that differ from their defaults, and its bytes.
type RecordedValue = (BTreeSet<String>, Vec<u8>);

fn record_value(bytes: Vec<u8>) -> io::Result<RecordedValue> {
    let mut names = BTreeMap::new();
    collect_paths(&decode(&bytes)?, "", &mut names);
    Ok((names.into_iter().filter(|name| name.1).map(|name| name.0).collect(), bytes))
}

/// Selects a small number of values that together cover each path at which any of them differs from the default.
fn select_covering(mut values: Vec<RecordedValue>) -> Vec<Vec<u8>> {
    let (mut covered, mut chosen) = (BTreeSet::new(), Vec::new());
    loop {
        let gain = |recorded: &RecordedValue| recorded.0.difference(&covered).count();
        let best = values.iter().enumerate().map(|(at, recorded)| (gain(recorded), usize::MAX - at)).max();
        let Some((1.., at)) = best else { return chosen };
        let (set, bytes) = values.swap_remove(usize::MAX - at);
        covered.extend(set);
        chosen.push(bytes);
    }
}

/// Returns serialized states of the decision module.
fn policy_states() -> io::Result<Vec<Vec<u8>>> {
    let mut values = Vec::new();
    for seed in 1..=SIMULATIONS {
        let mut simulation = Simulation::new(seed, true);
        for step in 0..BATCHES {
            simulation.step(step);
            if step >= 60 && (step % 4 == 0 || step + 6 >= BATCHES) {
                values.push(record_value(simulation.state()?)?);
            }
        }
        // The state in the successor before its first batch.
        let taken_over = Policy::from_state(&simulation.state()?, settings(1), seed, simulation.now);
        let state = taken_over.map_err(io::Error::other)?.state().map_err(io::Error::other)?;
        values.push(record_value(canonical(&state)?)?);
    }
    Ok(select_covering(values))
}

/// Returns serialized states of destinations that move to another core.
fn migrated_states() -> io::Result<Vec<Vec<u8>>> {
    let mut values = Vec::new();
    for seed in 1..=3 * SIMULATIONS {
        let mut simulation = Simulation::new(seed, false);
        for step in 0..100 {
            simulation.step(step);
        }
        let policy = &mut simulation.senders[0].policy;
        for destination in policy.observed_destinations() {
            let migrated = policy.detach(destination).map_err(|error| io::Error::other(error.to_string()))?;
            values.push(record_value(to_message_pack(&migrated)?)?);
        }
    }
    Ok(select_covering(values))
}
