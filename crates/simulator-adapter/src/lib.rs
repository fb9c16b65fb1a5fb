//! The simulator's wire format: frames, records and the settings in JSON. Decisions are made in `decision`.

use std::collections::BTreeMap;
use std::fmt;
use std::io::{self, Read};

use serde::Deserialize;

use decision::interface::{
    Action, Class, Decay, DestinationId, DestinationKind, EndpointEntry, EndpointId, Event, Idempotency,
    IdempotencyScope, Listing, Message, MessageId, Micros, Outcome, Rules, Settings, Tenant, Weights,
};

/// The size of an event record in bytes.
const EVENT_SIZE: usize = 48;
/// The size of an action record in bytes.
const ACTION_SIZE: usize = 24;
/// The size of an endpoint list entry in bytes.
const ENTRY_SIZE: usize = 24;
/// The number of endpoint lists that can be stored.
const MAX_LISTS: usize = 16;
/// The recipient of a gossip message that goes to all peers.
const ALL_PEERS: u16 = u16::MAX;

/// An error in the input, described in one line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WireError(String);

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for WireError {}

fn wire_error<T>(text: impl Into<String>) -> Result<T, WireError> {
    Err(WireError(text.into().replace(['\n', '\r'], " ")))
}

/// An input frame: a batch of records with the time of the batch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Frame {
    /// The time of the batch.
    pub now: Micros,
    /// The number of event records.
    pub count: usize,
    /// The event records, followed by the variable-length data that they refer to.
    pub body: Vec<u8>,
}

/// What a record means for one instance of the decision module.
#[derive(Debug, Clone, PartialEq)]
pub enum Input {
    /// The instance starts.
    Boot {
        /// The seed of its random numbers.
        seed: u64,
        /// Its settings.
        settings: Box<Settings>,
    },
    /// The instance is killed.
    Teardown,
    /// An event for the instance.
    Event(Event),
}

/// Reads one frame; `None` at the end of the input.
///
/// # Errors
/// Fails when the input ends within a frame or cannot be read.
pub fn read_frame(input: &mut impl Read) -> Result<Option<Frame>, WireError> {
    let mut header = Vec::with_capacity(16);
    let read = |e: io::Error| WireError(format!("input cannot be read: {e}"));
    input.take(16).read_to_end(&mut header).map_err(read)?;
    if header.is_empty() {
        return Ok(None);
    }
    if header.len() < 16 {
        return wire_error(format!("truncated frame header: {} of 16 bytes", header.len()));
    }
    let header = Bytes(&header);
    let (length, count, now) = (header.u32(0) as usize, header.u32(4) as usize, header.u64(8));
    if count.checked_mul(EVENT_SIZE).is_none_or(|n| n > length) {
        return wire_error(format!("frame of {length} bytes cannot hold {count} records"));
    }
    let mut body = Vec::new();
    input.take(length as u64).read_to_end(&mut body).map_err(read)?;
    if body.len() < length {
        return wire_error(format!("truncated frame: {} of {length} bytes", body.len()));
    }
    Ok(Some(Frame { now, count, body }))
}

/// Reads little-endian fields at byte positions, which the caller must know to be in range.
struct Bytes<'a>(&'a [u8]);

impl Bytes<'_> {
    fn array<const N: usize>(&self, at: usize) -> [u8; N] {
        let mut bytes = [0; N];
        bytes.copy_from_slice(&self.0[at..at + N]);
        bytes
    }
    fn u16(&self, at: usize) -> u16 {
        u16::from_le_bytes(self.array(at))
    }
    fn u32(&self, at: usize) -> u32 {
        u32::from_le_bytes(self.array(at))
    }
    fn u64(&self, at: usize) -> u64 {
        u64::from_le_bytes(self.array(at))
    }
    fn f32(&self, at: usize) -> f32 {
        f32::from_le_bytes(self.array(at))
    }
    fn message(&self, at: usize) -> MessageId {
        MessageId(self.u32(at))
    }
    fn endpoint(&self, at: usize) -> EndpointId {
        EndpointId(self.array(at))
    }
    fn report(&self, at: usize) -> Result<Vec<f32>, WireError> {
        match self.0[at] {
            n @ 0..=4 => Ok((0..n as usize).map(|k| self.f32(at + 1 + 4 * k)).collect()),
            n => wire_error(format!("load report with {n} values")),
        }
    }
}

fn outcome(code: u16, detail: u32) -> Result<Outcome, WireError> {
    Ok(match code {
        0 => Outcome::Delivered,
        1 => Outcome::Error,
        2 => Outcome::Rejected((detail > 0).then_some(Micros::from(detail) * 1000)),
        3 => Outcome::TimedOut,
        4 => Outcome::ConnectFailed,
        5 => Outcome::Reset,
        6 => Outcome::Cancelled,
        7 => Outcome::NotSent { no_slot: detail == 1 },
        n => return wire_error(format!("unknown outcome {n}")),
    })
}

/// Decodes frames, and stores the numbered endpoint lists that they define.
#[derive(Debug, Default)]
pub struct Decoder {
    lists: [Option<Vec<EndpointEntry>>; MAX_LISTS],
    /// The number of classes of each instance that was ever started.
    classes: BTreeMap<u16, usize>,
}

impl Decoder {
    /// Decodes a frame into the inputs of the instances, in order.
    ///
    /// # Errors
    /// Fails if anything in the frame is malformed.
    pub fn decode(&mut self, frame: &Frame) -> Result<Vec<(u16, Input)>, WireError> {
        if frame.count.checked_mul(EVENT_SIZE).is_none_or(|n| n > frame.body.len()) {
            return wire_error("frame shorter than its records");
        }
        let (records, tail) = frame.body.split_at(frame.count * EVENT_SIZE);
        let mut data_end = 0;
        let mut inputs = Vec::with_capacity(frame.count);
        for record in records.chunks_exact(EVENT_SIZE) {
            let r = Bytes(record);
            let mut data = |at: usize, size: usize| {
                let (start, n) = (r.u32(at) as usize, r.u32(at + 4) as usize);
                let end = n.checked_mul(size).and_then(|n| n.checked_add(start));
                match end.and_then(|end| tail.get(start..end)) {
                    Some(bytes) => {
                        data_end = data_end.max(start + bytes.len());
                        Ok(bytes)
                    }
                    None => wire_error(format!("data at {start} for {n} lies outside the tail")),
                }
            };
            let event = match record[0] {
                4 => {
                    let id = r.u32(1) as usize;
                    let entries = data(5, ENTRY_SIZE)?;
                    let list = entries
                        .chunks_exact(ENTRY_SIZE)
                        .map(|e| entry(&Bytes(e)))
                        .collect::<Result<_, _>>()?;
                    match self.lists.get_mut(id) {
                        Some(slot) => *slot = Some(list),
                        None => return wire_error(format!("list number {id} out of range")),
                    }
                    continue;
                }
                8 => {
                    let settings = Box::new(settings(data(11, 1)?)?);
                    self.classes.insert(r.u16(1), settings.classes.len());
                    inputs.push((r.u16(1), Input::Boot { seed: r.u64(3), settings }));
                    continue;
                }
                9 => {
                    inputs.push((r.u16(1), Input::Teardown));
                    continue;
                }
                1 => Event::GossipReceived { from: r.u16(3), content: data(5, 1)?.to_vec() },
                2 => Event::Streaming { message: r.message(3) },
                3 => {
                    let known = self.classes.get(&r.u16(1)).copied().unwrap_or(0);
                    match r.u16(7) {
                        class if usize::from(class) < known => accepted(&r)?,
                        class => {
                            return wire_error(format!(
                                "message of class {class}; its instance knows {known}"
                            ));
                        }
                    }
                }
                5 => Event::Withdrawn(r.message(3)),
                6 => self.list_update(&r)?,
                7 => Event::AttemptCompleted {
                    message: r.message(3),
                    attempt: r.u16(13),
                    endpoint: r.endpoint(15),
                    outcome: outcome(r.u16(7), r.u32(9))?,
                    terminal: record[21] != 0,
                    took: r.u32(22).into(),
                    report: r.report(26)?,
                },
                10 => Event::TimerFired(r.u64(3)),
                11 => Event::HealthChecked {
                    endpoint: r.endpoint(3),
                    outcome: outcome(r.u16(13), 0)?,
                    report: r.report(15)?,
                },
                code => return wire_error(format!("unknown event code {code}")),
            };
            if !self.classes.contains_key(&r.u16(1)) {
                return wire_error(format!("event for instance {}, which was never started", r.u16(1)));
            }
            inputs.push((r.u16(1), Input::Event(event)));
        }
        if data_end < tail.len() {
            return wire_error(format!(
                "over-long frame: {} bytes belong to no record",
                tail.len() - data_end
            ));
        }
        Ok(inputs)
    }

    fn list_update(&self, r: &Bytes) -> Result<Event, WireError> {
        let kind = r.0[3];
        if kind == 1 {
            return Ok(Event::DiscoveryFailed);
        }
        let id = r.u32(4) as usize;
        let Some(Some(list)) = self.lists.get(id) else {
            return wire_error(format!("news refers to list {id}, which was never told"));
        };
        match kind {
            0 => Ok(Event::EndpointChanges(list.clone())),
            2 | 3 => Ok(Event::EndpointList(list.clone())),
            n => wire_error(format!("unknown kind of list news {n}")),
        }
    }
}

fn accepted(r: &Bytes) -> Result<Event, WireError> {
    let destination = r.f32(29);
    if destination.fract() != 0.0 || !(0.0..=f32::from(u16::MAX)).contains(&destination) {
        return wire_error(format!("destination {destination} is no number of one"));
    }
    let (key, options) = (r.u64(13), r.u16(33));
    Ok(Event::Accepted(Message {
        id: r.message(3),
        class: r.u16(7).into(),
        tenant: r.u32(9) as usize,
        key: (key != 0).then_some(key),
        remaining_time: r.u32(21).into(),
        hint: (options & 1 != 0).then(|| r.u32(25).into()),
        destination: DestinationId(destination as u16),
    }))
}

fn entry(e: &Bytes) -> Result<EndpointEntry, WireError> {
    Ok(EndpointEntry {
        zone: e.u16(0),
        kind: e.0[2].into(),
        weight: f64::from(e.f32(3)),
        endpoint: e.endpoint(7),
        destination: DestinationId(e.u16(13)),
        listing: match e.0[15] {
            0 => Listing::Gone,
            1 => Listing::Ready,
            2 => Listing::Draining,
            n => return wire_error(format!("unknown status {n} in a list")),
        },
    })
}

/// Encodes the reply to a batch: the actions of each instance, in order.
pub fn encode(reply: &[(u16, Vec<Action>)]) -> Vec<u8> {
    let (mut records, mut tail) = (Vec::new(), Vec::new());
    for (instance, action) in reply.iter().flat_map(|(i, actions)| actions.iter().map(move |a| (i, a))) {
        let mut r = Vec::with_capacity(ACTION_SIZE);
        let mut begin_record = |code: u8| {
            r.push(code);
            r.extend(instance.to_le_bytes());
        };
        match action {
            Action::Attempt { message, endpoint, timeout, .. } => {
                begin_record(65);
                r.extend(message.0.to_le_bytes());
                r.extend(endpoint.0);
                r.extend(micros_u32(*timeout).to_le_bytes());
            }
            Action::Reject { message, retry_after } => {
                begin_record(66);
                r.extend(message.0.to_le_bytes());
                r.extend(micros_u32(*retry_after).to_le_bytes());
            }
            Action::Fail(message) => {
                begin_record(67);
                r.extend(message.0.to_le_bytes());
            }
            Action::Cancel { message, attempt } => {
                begin_record(68);
                r.extend(message.0.to_le_bytes());
                r.extend(attempt.to_le_bytes());
            }
            Action::SetTimer { at, token } => {
                begin_record(69);
                r.extend(at.to_le_bytes());
                r.extend(token.to_le_bytes());
            }
            Action::HealthCheck(endpoint) => {
                begin_record(70);
                r.extend(endpoint.0);
            }
            Action::CloseIdleConnections(endpoint) => {
                begin_record(71);
                r.extend(endpoint.0);
            }
            Action::SendGossip { to, content } => {
                begin_record(72);
                r.extend(to.unwrap_or(ALL_PEERS).to_le_bytes());
                append_data(&mut r, &mut tail, content);
            }
            Action::Log(text) => {
                begin_record(73);
                append_data(&mut r, &mut tail, text.as_bytes());
            }
            Action::WatchEndpoints => {
                begin_record(75);
                r.push(1);
            }
            Action::FetchEndpoints => begin_record(76),
        }
        r.resize(ACTION_SIZE, 0);
        records.extend(r);
    }
    let count = records.len() / ACTION_SIZE;
    let mut frame = Vec::with_capacity(8 + records.len() + tail.len());
    frame.extend(((records.len() + tail.len()) as u32).to_le_bytes());
    frame.extend((count as u32).to_le_bytes());
    frame.extend(records);
    frame.extend(tail);
    frame
}

/// Converts a time or duration to 32 bits; larger values become `u32::MAX`.
fn micros_u32(time: Micros) -> u32 {
    u32::try_from(time).unwrap_or(u32::MAX)
}

/// Appends data to the tail, and its position and length to the record.
fn append_data(record: &mut Vec<u8>, tail: &mut Vec<u8>, data: &[u8]) {
    record.extend((tail.len() as u32).to_le_bytes());
    record.extend((data.len() as u32).to_le_bytes());
    tail.extend(data);
}

#[derive(Deserialize)]
struct RawClass {
    effect: String,
    #[serde(default)]
    group: Option<String>,
    #[serde(default)]
    dedup_window_us: Option<f64>,
    on_time_us: f64,
    hard_limit_us: f64,
    #[serde(default = "default_one")]
    importance: f64,
    #[serde(default)]
    late_worth: Option<f64>,
    #[serde(default)]
    in_order: Option<bool>,
}

#[derive(Deserialize)]
struct RawRealm {
    quota_per_s: f64,
}

#[derive(Deserialize)]
struct RawFamily {
    calls_out: usize,
    #[serde(default)]
    own_limits: Vec<bool>,
    #[serde(default)]
    bundle_max: Vec<usize>,
    #[serde(default)]
    decay: Option<String>,
    #[serde(default)]
    turned_away_price: Option<f64>,
    #[serde(default)]
    toll: Vec<f64>,
}

#[derive(Deserialize)]
struct RawLimits {
    #[serde(default)]
    cancelling: bool,
    #[serde(default)]
    probing: bool,
    #[serde(default)]
    second_copies: bool,
    #[serde(default)]
    connect_timeout_us: f64,
    #[serde(default)]
    idle_close_us: Option<f64>,
    max_open: usize,
    #[serde(default)]
    max_retry_after_us: f64,
    try_limit: u32,
}

#[derive(Deserialize)]
struct RawObligations {
    answer_slack_us: f64,
    #[serde(default)]
    ask_every_us: Option<f64>,
    cold_share: f64,
    warm_within_us: f64,
    fall_multiple: f64,
    overload_for_us: f64,
    stop_sending_within_us: f64,
    #[serde(default)]
    order_pause_us: Option<f64>,
}

#[derive(Deserialize, Default)]
struct RawReport {
    #[serde(default)]
    fields: Vec<String>,
}

#[derive(Deserialize, Default)]
struct RawCharges {
    #[serde(default)]
    probe: f64,
}

/// The settings with the simulator's own keys.
#[derive(Deserialize)]
struct RawSettings {
    classes: Vec<RawClass>,
    #[serde(default)]
    realms: Vec<RawRealm>,
    #[serde(default)]
    skus: Vec<serde_json::Value>,
    family_info: RawFamily,
    limits: RawLimits,
    obligations: RawObligations,
    #[serde(default)]
    load_report: RawReport,
    #[serde(default)]
    charges: RawCharges,
    #[serde(default)]
    balancers: Option<usize>,
    #[serde(default)]
    discovery: Option<String>,
    #[serde(default)]
    weights: Option<String>,
    #[serde(default = "default_one")]
    over_share_worth: f64,
    period_us: f64,
}

fn default_one() -> f64 {
    1.0
}

/// Converts to whole microseconds; negative values and NaN become 0.
fn micros(value: f64) -> Micros {
    value as Micros
}

/// Parses the settings from JSON; unknown keys are ignored.
///
/// # Errors
/// Fails if the text is not valid JSON, or lacks a required key, or has an unknown value.
pub fn settings(json: &[u8]) -> Result<Settings, WireError> {
    let raw: RawSettings = match serde_json::from_slice(json) {
        Ok(raw) => raw,
        Err(e) => return wire_error(format!("settings: {e}")),
    };
    let field = |name: &str| raw.load_report.fields.iter().position(|f| f == name);
    let family = &raw.family_info;
    let kinds = raw.skus.len().max(family.own_limits.len()).max(family.bundle_max.len());
    let o = &raw.obligations;
    Ok(Settings {
        classes: raw.classes.iter().map(class).collect::<Result<_, _>>()?,
        tenants: raw.realms.iter().map(|r| Tenant { quota: r.quota_per_s }).collect(),
        kinds: (0..kinds)
            .map(|k| DestinationKind {
                separate_routes: family.own_limits.get(k).copied().unwrap_or(false),
                max_batch: family.bundle_max.get(k).copied().unwrap_or(1).max(1),
            })
            .collect(),
        zone_fees: family.toll.clone(),
        decay: match family.decay.as_deref() {
            None | Some("line") => Decay::Linear,
            Some("halves") => Decay::Halving,
            Some(other) => return wire_error(format!("settings: unknown decay {other:?}")),
        },
        max_calls: family.calls_out,
        max_messages: raw.limits.max_open,
        max_attempts: raw.limits.try_limit,
        hedging: raw.limits.second_copies,
        cancellation: raw.limits.cancelling,
        health_checks: raw.limits.probing,
        health_check_price: raw.charges.probe,
        rejection_price: family.turned_away_price.unwrap_or(0.0),
        connect_timeout: micros(raw.limits.connect_timeout_us),
        idle_timeout: raw.limits.idle_close_us.map_or(Micros::MAX, micros),
        max_retry_after: micros(raw.limits.max_retry_after_us),
        polling_only: raw.discovery.as_deref() == Some("ask"),
        weights: match raw.weights.as_deref() {
            Some("nominal") => Weights::Nominal,
            Some("rough") => Weights::Rough,
            _ => Weights::None,
        },
        over_quota_weight: raw.over_share_worth,
        report: (field("x0"), field("x1")),
        senders: raw.balancers.unwrap_or(1).max(1),
        period: micros(raw.period_us).max(1),
        idle: None,
        gossip: None,
        rules: Rules {
            answer_slack: micros(o.answer_slack_us),
            poll_interval: o.ask_every_us.map(micros),
            cold_share: o.cold_share,
            warm_within: micros(o.warm_within_us),
            overload_multiple: o.fall_multiple,
            overload_for: micros(o.overload_for_us),
            drain_timeout: micros(o.stop_sending_within_us),
            ordering_pause: micros(o.order_pause_us.unwrap_or(0.0)),
        },
    })
}

fn class(raw: &RawClass) -> Result<Class, WireError> {
    let effect = match raw.effect.as_str() {
        "repeatable" => Idempotency::Idempotent,
        "once" => Idempotency::NonIdempotent,
        "by_key" => Idempotency::Keyed {
            scope: match raw.group.as_deref() {
                None | Some("all") => IdempotencyScope::All,
                Some("zone") => IdempotencyScope::Zone,
                Some(_) => IdempotencyScope::Endpoint,
            },
            window: micros(raw.dedup_window_us.unwrap_or(0.0)),
        },
        other => return wire_error(format!("settings: unknown effect {other:?}")),
    };
    Ok(Class {
        idempotency: effect,
        latency_objective: micros(raw.on_time_us),
        deadline: micros(raw.hard_limit_us),
        priority_weight: raw.importance,
        late_weight: raw.late_worth.unwrap_or(0.0),
        in_order: raw.in_order.unwrap_or(false),
    })
}
