//! The state that one process hands to the next, and what the two say to one another.
//!
//! States of the decision module are taken from days of drawn events, so that as many of their fields as possible are not
//! at their defaults; days, like all else here, are the same each time.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::{fs, io};

use admin::call::AdminRequest;
use decision::interface::*;
use decision::policy::Policy;
use handover::{
    Answer, AttemptCompleted, HandoverEndpoint, HandoverState, ToPredecessor, ToSuccessor, frame,
};
use journal::AcceptedMessage;
use rmpv::Value;

const SECOND: Micros = 1_000_000;
/// When a day begins.
const START: Micros = 1_800_000_000 * SECOND;
/// Batches of events in a day.
const STEPS: usize = 360;
/// Destinations that there are.
const DESTINATIONS: u16 = 12;
/// Days that snapshots are chosen from.
const DAYS: u64 = 9;
/// Names of classes, in order.
const CLASSES: [&str; 4] = ["keyed", "once", "safe", "ordered"];

/// Everything that is recorded of a hand-over: by file name, bytes.
///
/// # Errors
/// Fails when a state can't be written or read.
pub fn files() -> io::Result<BTreeMap<String, Vec<u8>>> {
    let policies = policies()?;
    let mut files = BTreeMap::new();
    let biggest = policies.iter().max_by_key(|policy| policy.len()).cloned().unwrap_or_default();
    for (number, policy) in policies.into_iter().enumerate() {
        files.insert(format!("policy-{number}.msgpack"), policy);
    }
    for (number, parcel) in parcels()?.into_iter().enumerate() {
        files.insert(format!("parcel-{number}.msgpack"), parcel);
    }
    files.insert("state.msgpack".to_owned(), named(&state(biggest))?);
    files.insert("to_old.frames".to_owned(), frames(&to_old())?);
    files.insert("to_new.frames".to_owned(), frames(&to_new())?);
    files.insert("names.txt".to_owned(), listing(&names(&files)?).into_bytes());
    Ok(files)
}

/// Writes the golden files of this kind into the folder.
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

/// Every key path of recorded files, and whether the value there was ever other than its default.
///
/// # Errors
/// Fails when a file is no MessagePack.
pub fn names(files: &BTreeMap<String, Vec<u8>>) -> io::Result<BTreeMap<String, bool>> {
    let mut names = BTreeMap::new();
    for (file, bytes) in files {
        let (stem, kind) = file.split_once('.').unwrap_or((file, ""));
        let root = stem.split('-').next().unwrap_or(stem);
        match kind {
            "msgpack" => walk(&decode(bytes)?, root, &mut names),
            "frames" => {
                for body in bodies(bytes)? {
                    walk(&decode(body)?, root, &mut names);
                }
            }
            _ => {}
        }
    }
    Ok(names)
}

/// The listing of key paths as text, one a line.
pub fn listing(names: &BTreeMap<String, bool>) -> String {
    names.keys().map(|name| format!("{name}\n")).collect()
}

/// The bodies of frames that follow each other.
///
/// # Errors
/// Fails when the last one is not whole.
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

/// A state with the entries of hash maps and hash sets in order; fields stay in the order in which they were written.
///
/// # Errors
/// Fails when the bytes are no MessagePack.
pub fn canonical(bytes: &[u8]) -> io::Result<Vec<u8>> {
    encode(&sorted(decode(bytes)?, ""))
}

/// A value of MessagePack, with nothing behind it.
fn decode(mut bytes: &[u8]) -> io::Result<Value> {
    let value = rmpv::decode::read_value(&mut bytes).map_err(io::Error::other)?;
    if bytes.is_empty() { Ok(value) } else { Err(io::Error::other("something stands behind the value")) }
}

fn encode(value: &Value) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    rmpv::encode::write_value(&mut bytes, value).map_err(io::Error::other)?;
    Ok(bytes)
}

fn named<T: serde::Serialize>(value: &T) -> io::Result<Vec<u8>> {
    rmp_serde::to_vec_named(value).map_err(io::Error::other)
}

fn frames<T: serde::Serialize>(messages: &[T]) -> io::Result<Vec<u8>> {
    let frames: Result<Vec<_>, _> = messages.iter().map(frame::write).collect();
    Ok(frames.map_err(io::Error::other)?.concat())
}

/// Arrays that are hash sets, whose order is nobody's.
const SETS: [&str; 3] = [".routes.awake.awake", ".waking.granted", ".waking.out"];

fn sorted(value: Value, path: &str) -> Value {
    let bytes = |value: &Value| encode(value).unwrap_or_default();
    match value {
        Value::Map(entries) => {
            let fields = entries.iter().all(|entry| entry.0.is_str());
            let mut entries: Vec<_> = entries
                .into_iter()
                .map(|(key, value)| {
                    let path = format!("{path}.{}", key.as_str().unwrap_or("{}"));
                    (key, sorted(value, &path))
                })
                .collect();
            if !fields {
                entries.sort_by_key(|entry| bytes(&entry.0));
            }
            Value::Map(entries)
        }
        Value::Array(items) => {
            let mut items: Vec<_> = items.into_iter().map(|item| sorted(item, path)).collect();
            if SETS.contains(&path) {
                items.sort_by_key(bytes);
            }
            Value::Array(items)
        }
        other => other,
    }
}

/// Notes each path below a value. Variants without data are strings, and are listed as what stands there.
fn walk(value: &Value, path: &str, names: &mut BTreeMap<String, bool>) {
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
            items.iter().for_each(|item| walk(item, &format!("{path}[]"), names));
            !items.is_empty()
        }
        Value::Map(entries) => {
            for (key, value) in entries {
                match key.as_str() {
                    Some(key) => walk(value, &format!("{path}.{key}"), names),
                    None => {
                        walk(key, &format!("{path}{{key}}"), names);
                        walk(value, &format!("{path}{{}}"), names);
                    }
                }
            }
            !entries.is_empty()
        }
        Value::Ext(..) => true,
    };
    *names.entry(path.to_owned()).or_default() |= set;
}

/// A hand-over with no field at its default.
fn state(policy: Vec<u8>) -> HandoverState {
    let texts = |texts: &[&str]| texts.iter().map(|text| (*text).to_owned()).collect::<Vec<_>>();
    let listed = |n: u8, listing, gone| HandoverEndpoint {
        id: endpoint(n, 1),
        name: format!("endpoint-{n}"),
        address: Some(format!("10.0.0.{n}:7000")),
        zone: 1,
        kind: Some(2),
        group: n.into(),
        listing,
        weight: 12.5,
        unlisted: gone,
    };
    HandoverState {
        stopped_at: START + 17,
        names: [texts(&CLASSES), texts(&["plain", "apart", "bundled"]), texts(&["near", "far"])].into(),
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
        index: 41,
        messages: vec![("request-1".to_owned(), 7, 70).into(), ("request-2".to_owned(), 8, 80).into()],
        attempts: vec![(7, 2).into(), (8, 1).into()],
        next_message: 9,
        requests: 81,
        attempts_in_flight: vec![(MessageId(7), 1, endpoint(1, 1)).into()],
        waits: vec![("endpoint-2".to_owned(), START + SECOND).into()],
        standby: Some(START + 5),
    }
}

/// One of each message that the new process says, and of each answer.
fn to_old() -> Vec<ToPredecessor> {
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

/// One of each message that the old process says, with each outcome of an attempt and each call of on-call staff.
fn to_new() -> Vec<ToSuccessor> {
    let taken = AcceptedMessage {
        id: "request-1".to_owned(),
        key: Some("key-1".to_owned()),
        class: CLASSES[0].into(),
        destination: 3,
        deadline: START + 20 * SECOND,
        body: b"body"[..].into(),
    };
    let over = |(outcome, n): (Outcome, u16)| AttemptCompleted {
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
    let calls = [
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
        ToSuccessor::State(Box::new(state(b"policy".to_vec()))),
        ToSuccessor::Drained,
        ToSuccessor::Submitted { number: 4, message: taken, request: 40 },
        ToSuccessor::Withdrawn { id: "request-2".to_owned(), request: 41, destination: 3 },
        ToSuccessor::CallCompleted(outcomes.into_iter().zip(1..).map(over).collect()),
        ToSuccessor::RetryAfter(endpoint(2, 1), 700_000),
        ToSuccessor::ConnectionReused { lost: true },
    ];
    all.extend(calls.into_iter().zip(1..).map(|(call, number)| ToSuccessor::AdminRequest { number, call }));
    all
}

/// Settings under which everything may happen, with no figure at its default.
pub fn settings(me: u16) -> Settings {
    let class = |effect, in_order| Class {
        idempotency: effect,
        latency_objective: 4 * SECOND,
        deadline: 20 * SECOND,
        priority_weight: 1.5,
        late_weight: 0.5,
        in_order,
    };
    let keyed = |group| Idempotency::Keyed { scope: group, window: 6 * SECOND };
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

/// An attempt that has no outcome yet.
#[derive(Clone, Copy)]
struct Out {
    message: MessageId,
    attempt: u16,
    endpoint: EndpointId,
    sent: Micros,
    until: Micros,
}

/// A decision module and its attempts.
struct Sender {
    policy: Policy,
    out: Vec<Out>,
    attempts: BTreeMap<MessageId, u16>,
    notes: Vec<Vec<u8>>,
}

impl Sender {
    fn new(settings: Settings, seed: u64) -> Self {
        let policy = Policy::new(settings, seed, START);
        Self { policy, out: Vec::new(), attempts: BTreeMap::new(), notes: Vec::new() }
    }

    fn tell(&mut self, now: Micros, events: &[Event]) {
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
                    self.out.push(Out { message, attempt, endpoint, sent: now, until: now + timeout });
                }
                Action::SendGossip { content, .. } => self.notes.push(content),
                _ => {}
            }
        }
    }

    fn ended(&mut self, at: usize, outcome: Outcome, now: Micros, report: Vec<f32>, over: bool) -> Event {
        let Out { message, attempt, endpoint, sent, .. } = self.out.remove(at);
        let terminal = over || outcome == Outcome::Delivered;
        Event::AttemptCompleted { message, attempt, endpoint, outcome, terminal, took: now - sent, report }
    }
}

/// Two senders that hear each other, and what happens to them.
struct Day {
    rng: fastrand::Rng,
    now: Micros,
    senders: [Sender; 2],
    next: u32,
    /// Messages in order are among what is handed in.
    ordered: bool,
}

impl Day {
    fn new(seed: u64, ordered: bool) -> Self {
        let senders = [1, 2].map(|me| {
            let decay = [Decay::Halving, Decay::Linear][(seed % 2) as usize];
            let weights = [Weights::Rough, Weights::Nominal, Weights::None][(seed % 3) as usize];
            Sender::new(Settings { decay, weights, ..settings(me) }, seed + u64::from(me))
        });
        let mut day = Self { rng: fastrand::Rng::with_seed(seed), now: START, senders, next: 0, ordered };
        for sender in &mut day.senders {
            sender.tell(START, &[Event::EndpointList(entries())]);
        }
        day
    }

    fn message(&mut self, step: usize) -> Message {
        self.next += 1;
        let rng = &mut self.rng;
        // A few are busy at a time, so that others fall asleep.
        let busy = (step / 60 * 3) as u16;
        let destination = (busy + rng.u16(..4)) % DESTINATIONS + 1;
        Message {
            id: MessageId(self.next),
            class: rng.usize(..if self.ordered { 4 } else { 3 }),
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

    fn learnt(&mut self) -> Event {
        let now = self.now;
        let worst = [Condition::Healthy, Condition::Rejecting, Condition::Failing][self.rng.usize(..3)];
        let learnt = RouteSnapshot {
            wait_until: now + self.rng.u64(1..40) * SECOND,
            limit: 20.0,
            shortage_at: Some(now - SECOND),
            send_rate: 7.0,
            success_rate: 3.0,
            condition: worst,
            failures: 1,
            unhealthy_since: Some(now - 9 * SECOND),
            cold_since: Some(now - 2 * SECOND),
            last_success_at: now - 3 * SECOND,
            trial: Some((now + SECOND, 2 * SECOND)),
            recent_calls: (2.0, now - SECOND),
            latency: Some((20_000.0, 5_000.0)),
        };
        let destination = self.rng.u16(1..=DESTINATIONS);
        let apart = destination % 3 == 1;
        Event::SnapshotRestored {
            route: (DestinationId(destination), apart.then(|| endpoint(destination as u8, 1))),
            snapshot: learnt,
        }
    }

    /// What happens to a sender in one batch.
    fn events(&mut self, of: usize, step: usize) -> Vec<Event> {
        let now = self.now;
        let mut events = Vec::new();
        while let Some(at) = self.senders[of].out.iter().position(|out| out.until <= now) {
            events.push(self.senders[of].ended(at, Outcome::TimedOut, now, vec![], false));
        }
        match self.rng.u8(..24) {
            0..8 => {
                for _ in 0..self.rng.u8(1..4) {
                    events.push(Event::Accepted(self.message(step)));
                }
            }
            8..15 if !self.senders[of].out.is_empty() => {
                let at = self.rng.usize(..self.senders[of].out.len());
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
                let over = matches!(outcome, Outcome::NotSent { .. }) && self.rng.bool();
                events.push(self.senders[of].ended(at, outcome, now, report, over));
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
            19 => events.extend((0..4).map(|_| self.learnt()).collect::<Vec<_>>()),
            20 => {
                let message = self.message(step);
                let attempts = self.rng.u32(..3);
                let at = endpoint(message.destination.0 as u8, 1);
                let may_have_run = if attempts > 0 { vec![(SECOND, at)] } else { vec![] };
                let group = [IdempotencyScope::All, IdempotencyScope::Zone, IdempotencyScope::Endpoint]
                    [self.rng.usize(..3)];
                let effect = Some(Idempotency::Keyed { scope: group, window: 5 * SECOND });
                events.push(Event::Recovered { message, attempts, may_have_run, idempotency: effect });
            }
            21 => events.push(Event::DiscoveryFailed),
            22 if step > 40 => events.push(Event::SnapshotLost),
            _ if self.next > 3 => {
                let message = MessageId(self.rng.u32(1..self.next));
                events.push(Event::Withdrawn(message));
            }
            _ => {}
        }
        if of == 0 && step + 6 == STEPS {
            events.push(Event::ShuttingDown(now + 5 * SECOND));
        }
        events
    }

    fn step(&mut self, step: usize) {
        self.now += match self.rng.u8(..8) {
            0 => self.rng.u64(SECOND..2 * SECOND),
            _ => self.rng.u64(1_000..120_000),
        };
        for of in 0..2 {
            let mut events = self.events(of, step);
            let notes = std::mem::take(&mut self.senders[1 - of].notes);
            events.extend(
                notes.into_iter().map(|content| Event::GossipReceived { from: (2 - of) as u16, content }),
            );
            self.senders[of].tell(self.now, &events);
        }
    }

    fn state(&self) -> io::Result<Vec<u8>> {
        canonical(&self.senders[0].policy.state().map_err(io::Error::other)?)
    }
}

/// A recorded value, and the paths in it that are not at their defaults.
type Moment = (BTreeSet<String>, Vec<u8>);

fn moment(bytes: Vec<u8>) -> io::Result<Moment> {
    let mut names = BTreeMap::new();
    walk(&decode(&bytes)?, "", &mut names);
    Ok((names.into_iter().filter(|name| name.1).map(|name| name.0).collect(), bytes))
}

/// Few of them that together have each path at other than its default, as far as any of them has it so.
fn fewest(mut moments: Vec<Moment>) -> Vec<Vec<u8>> {
    let (mut covered, mut chosen) = (BTreeSet::new(), Vec::new());
    loop {
        let gain = |moment: &Moment| moment.0.difference(&covered).count();
        let best = moments.iter().enumerate().map(|(at, moment)| (gain(moment), usize::MAX - at)).max();
        let Some((1.., at)) = best else { return chosen };
        let (set, bytes) = moments.swap_remove(usize::MAX - at);
        covered.extend(set);
        chosen.push(bytes);
    }
}

/// States of the decision module.
fn policies() -> io::Result<Vec<Vec<u8>>> {
    let mut moments = Vec::new();
    for seed in 1..=DAYS {
        let mut day = Day::new(seed, true);
        for step in 0..STEPS {
            day.step(step);
            if step >= 60 && (step % 4 == 0 || step + 6 >= STEPS) {
                moments.push(moment(day.state()?)?);
            }
        }
        // What the next process has of it, before its first batch.
        let taken_over = Policy::from_state(&day.state()?, settings(1), seed, day.now);
        let state = taken_over.map_err(io::Error::other)?.state().map_err(io::Error::other)?;
        moments.push(moment(canonical(&state)?)?);
    }
    Ok(fewest(moments))
}

/// Destinations that go to another core.
fn parcels() -> io::Result<Vec<Vec<u8>>> {
    let mut moments = Vec::new();
    for seed in 1..=3 * DAYS {
        let mut day = Day::new(seed, false);
        for step in 0..100 {
            day.step(step);
        }
        let policy = &mut day.senders[0].policy;
        for destination in policy.observed_destinations() {
            let parcel = policy.detach(destination).map_err(|stays| io::Error::other(stays.to_string()))?;
            moments.push(moment(named(&parcel)?)?);
        }
    }
    Ok(fewest(moments))
}
