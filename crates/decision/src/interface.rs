//! The module's interface: settings, events and actions as plain data.
//!
//! Times are microseconds on the clock of the events; the module knows no other clock.

use serde::{Deserialize, Serialize};

pub use gossip::Config as GossipConfig;
pub use idle_destinations::Condition;

/// A point in time or a span, in microseconds.
pub type Micros = u64;

/// Identifies a message at this sender; never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MessageId(pub u32);

/// Identifies an endpoint: its address and port. It carries no meaning.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EndpointId(pub [u8; 6]);

/// Identifies a destination.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct DestinationId(pub u16);

/// What a breaker guards: a destination, or one endpoint of it where its routes are apart.
pub type RouteId = (DestinationId, Option<EndpointId>);

/// Where a keyed repeat is recognised.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum IdempotencyScope {
    /// At every endpoint of the destination.
    All,
    /// At the endpoints of one zone.
    Zone,
    /// At the one endpoint (the narrowest reading of a group that is not known).
    Endpoint,
}

/// What repeating a message does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Idempotency {
    /// Repeats do no harm.
    #[serde(rename = "Repeatable")]
    Idempotent,
    /// Repeats are dropped by the destination for a while after the first that may have run.
    Keyed {
        /// Which endpoints drop repeats.
        #[serde(rename = "group")]
        scope: IdempotencyScope,
        /// For how long they do.
        window: Micros,
    },
    /// Must never take effect twice.
    #[serde(rename = "Once")]
    NonIdempotent,
}

impl Idempotency {
    /// For how long repeats are dropped.
    pub fn window(self) -> Option<Micros> {
        match self {
            Self::Keyed { window, .. } => Some(window),
            Self::Idempotent | Self::NonIdempotent => None,
        }
    }

    /// What a message is bound by to which both applied. Guards what an earlier process took on under other settings.
    #[must_use]
    pub fn stricter(self, other: Self) -> Self {
        match (self, other) {
            (Self::NonIdempotent, _) | (_, Self::NonIdempotent) => Self::NonIdempotent,
            (Self::Idempotent, other) => other,
            (this, Self::Idempotent) => this,
            (Self::Keyed { scope: group, window }, Self::Keyed { scope: other, window: until }) => {
                let group = match (group, other) {
                    (IdempotencyScope::All, group) | (group, IdempotencyScope::All) => group,
                    (IdempotencyScope::Zone, IdempotencyScope::Zone) => IdempotencyScope::Zone,
                    _ => IdempotencyScope::Endpoint,
                };
                Self::Keyed { scope: group, window: window.min(until) }
            }
        }
    }
}

/// How worth falls once the aim has passed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Decay {
    /// Evenly, down to the late worth at the deadline.
    #[serde(rename = "Line")]
    Linear,
    /// By half with each further aim, not under the late worth.
    #[serde(rename = "Halves")]
    Halving,
}

/// A class of message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Class {
    /// What repeating does.
    #[serde(rename = "effect")]
    pub idempotency: Idempotency,
    /// Full worth is earned within this time.
    #[serde(rename = "aim")]
    pub latency_objective: Micros,
    /// The longest time to deliver in.
    pub deadline: Micros,
    /// Worth of a message in time.
    #[serde(rename = "worth")]
    pub priority_weight: f64,
    /// Share of the worth left at the deadline.
    #[serde(rename = "late_worth")]
    pub late_weight: f64,
    /// Messages sharing a key go one at a time, in order.
    pub in_order: bool,
}

/// A tenant and its share.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Tenant {
    /// Messages a second, over all senders, within its share.
    pub quota: f64,
}

/// A kind of destination.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DestinationKind {
    /// Its endpoints are routes apart, each with limit, pace and outages of its own.
    #[serde(rename = "routes_apart")]
    pub separate_routes: bool,
    /// Messages that one call carries at most.
    #[serde(rename = "bundle")]
    pub max_batch: usize,
}

/// What the weight of an endpoint's listing says.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Weights {
    /// Nothing.
    None,
    /// Calls a second that the destination takes from all senders together.
    Nominal,
    /// The same, up to half too high or too low.
    Rough,
}

impl Weights {
    /// Calls a second that a weight promises at least; 0 where it promises nothing.
    pub(crate) fn calls(self, weight: f64) -> f64 {
        match self {
            Self::None => 0.0,
            Self::Nominal => weight,
            Self::Rough => weight / 1.5,
        }
    }
}

/// How destinations that nothing is sent to for long are remembered, and woken.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct IdlePolicy {
    /// A destination sleeps when nothing was sent to it for so long.
    #[serde(rename = "after")]
    pub idle_after: Micros,
    /// What is remembered of it, its wait apart, is worth nothing after this time.
    #[serde(rename = "remember")]
    pub retain_for: Micros,
    /// Routes that are remembered asleep at most.
    #[serde(rename = "most")]
    pub max_retained: usize,
    /// Destinations that are awake at most; what is handed in for a further one is refused.
    #[serde(rename = "awake")]
    pub max_active: usize,
    /// First calls to destinations that wake, a second.
    #[serde(rename = "wakes")]
    pub activations_per_second: f64,
}

/// The figures of the rules.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rules {
    /// A final answer is valid this long after the deadline.
    pub answer_slack: Micros,
    /// Where the list is asked for: the longest time without asking.
    #[serde(rename = "ask_every")]
    pub poll_interval: Option<Micros>,
    /// A returning destination has at least this share of its capacity.
    pub cold_share: f64,
    /// It has all of it after this time.
    pub warm_within: Micros,
    /// It falls over when sent this multiple of its present capacity ...
    #[serde(rename = "fall_multiple")]
    pub overload_multiple: f64,
    /// ... for this long.
    pub overload_for: Micros,
    /// Sends to a draining or gone endpoint must have ceased after this.
    #[serde(rename = "drain_grace")]
    pub drain_timeout: Micros,
    /// Rest of an ordered key after an attempt that may still be executing.
    #[serde(rename = "order_pause")]
    pub ordering_pause: Micros,
}

/// What an instance is told at its start.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Settings {
    /// Classes of message.
    pub classes: Vec<Class>,
    /// Tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Kinds of destination.
    pub kinds: Vec<DestinationKind>,
    /// Fee for each zone, for messages that a route apart there takes on.
    #[serde(rename = "tolls")]
    pub zone_fees: Vec<f64>,
    /// How worth falls after the aim.
    pub decay: Decay,
    /// Calls that may be out at once.
    #[serde(rename = "slots")]
    pub max_calls: usize,
    /// Messages that may be held.
    #[serde(rename = "max_open")]
    pub max_messages: usize,
    /// Most attempts for one message.
    #[serde(rename = "try_limit")]
    pub max_attempts: u32,
    /// A message may have two attempts out at once.
    #[serde(rename = "second_copies")]
    pub hedging: bool,
    /// Attempts may be cancelled.
    #[serde(rename = "cancelling")]
    pub cancellation: bool,
    /// Endpoints may be probed.
    #[serde(rename = "probing")]
    pub health_checks: bool,
    /// Price of a probe, in the unit of a message's worth.
    #[serde(rename = "probe_price")]
    pub health_check_price: f64,
    /// Price of a call refused above a limit, in the same unit.
    #[serde(rename = "refused_price")]
    pub rejection_price: f64,
    /// A connection not made within this time has failed.
    pub connect_timeout: Micros,
    /// An idle connection closes by itself after this time; `Micros::MAX` if it does not.
    #[serde(rename = "idle_close")]
    pub idle_timeout: Micros,
    /// Longest advice to return later that clients heed.
    pub max_retry_after: Micros,
    /// The list of endpoints comes only when asked for.
    #[serde(rename = "must_ask")]
    pub polling_only: bool,
    /// What an endpoint's weight says.
    pub weights: Weights,
    /// Share of worth left to a message beyond its tenant's share.
    #[serde(rename = "over_share_worth")]
    pub over_quota_weight: f64,
    /// Places of `x0` (share of the limit left) and `x1` (limit, calls a second) in a load report.
    pub report: (Option<usize>, Option<usize>),
    /// Senders of this tier.
    pub senders: usize,
    /// Shortest time between two batches of events.
    pub period: Micros,
    /// Idle destinations sleep; without it none does.
    #[serde(rename = "dormant")]
    pub idle: Option<IdlePolicy>,
    /// What senders tell one another; without it nothing is said, and what others say counts for nothing.
    #[serde(default)]
    #[serde(rename = "shared")]
    pub gossip: Option<GossipConfig>,
    /// Rules of the users.
    pub rules: Rules,
}

impl Settings {
    /// The shortest latency objective of all classes.
    pub fn shortest_latency_objective(&self) -> Micros {
        self.classes.iter().map(|class| class.latency_objective).min().unwrap_or(0)
    }
}

/// State of an endpoint in the list. It says nothing of health.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Listing {
    /// Listed.
    Ready,
    /// Nothing new may be sent.
    Draining,
    /// Removed.
    Gone,
}

/// An entry of the list of endpoints.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointEntry {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The destination it belongs to.
    pub destination: DestinationId,
    /// Its zone.
    pub zone: u16,
    /// Its kind, a position in [`Settings::kinds`].
    pub kind: usize,
    /// Its weight; see [`Weights`].
    pub weight: f64,
    /// Its state.
    pub listing: Listing,
}

/// A message handed to this sender, which owes it one final answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// Its id.
    pub id: MessageId,
    /// Its class, a position in [`Settings::classes`].
    pub class: usize,
    /// Its tenant, a position in [`Settings::tenants`].
    pub tenant: usize,
    /// The key of its order, if any.
    pub key: Option<u64>,
    /// How long it may still be delivered.
    #[serde(rename = "time_left")]
    pub remaining_time: Micros,
    /// A guess of the call's time.
    pub hint: Option<Micros>,
    /// Where it goes.
    pub destination: DestinationId,
}

/// What was learnt of a route, in plain form: for the next process of this sender, or from the one before. Times are on the
/// clock of the events; 0, or nothing, stands for what is not known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RouteSnapshot {
    /// Nothing may go before: a wait that was told, or this sender's own pause.
    pub wait_until: Micros,
    /// Calls a second from all senders that reports or the list told of.
    pub limit: f64,
    /// When a limit was last seen used up, or was told to be lowered.
    #[serde(rename = "short_at")]
    pub shortage_at: Option<Micros>,
    /// Calls a second at which it refused no more; 0 where it never refused.
    #[serde(rename = "pace")]
    pub send_rate: f64,
    /// Calls a second that went well from here.
    #[serde(rename = "rate")]
    pub success_rate: f64,
    /// The worst that its last calls came to.
    #[serde(rename = "worst")]
    pub condition: Condition,
    /// Failures in a row that are no outage yet.
    pub failures: u32,
    /// When the outage was first seen that may not be over.
    #[serde(rename = "ill_since")]
    pub unhealthy_since: Option<Micros>,
    /// When it first answered after an outage.
    pub cold_since: Option<Micros>,
    /// When a call last went well.
    #[serde(rename = "well_at")]
    pub last_success_at: Micros,
    /// When the next trial is due where the breaker is open; and the time from a failure to the trial.
    pub trial: Option<(Micros, Micros)>,
    /// Weight of the calls of the last overload's span, and when the last one went.
    #[serde(rename = "spent")]
    pub recent_calls: (f64, Micros),
    /// Mean time of an answer and its mean deviation, in microseconds.
    #[serde(rename = "answers")]
    pub latency: Option<(f64, f64)>,
}

impl RouteSnapshot {
    /// Of a route of which something was known that is lost: it may be ill.
    pub fn unknown() -> Self {
        Self { condition: Condition::Failing, ..Self::default() }
    }
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Delivered.
    Delivered,
    /// The destination answered with an error.
    Error,
    /// Turned away unseen, with the time to wait if one was told.
    #[serde(rename = "Full")]
    Rejected(Option<Micros>),
    /// No answer in time.
    TimedOut,
    /// No connection was made.
    ConnectFailed,
    /// The connection broke.
    Reset,
    /// An answer came that can't be believed: the endpoint is there, and the attempt may have run.
    #[serde(rename = "Spoilt")]
    InvalidResponse,
    /// Turned away unseen, together with its connection: the endpoint holds as many of them as it can.
    #[serde(rename = "Crowded")]
    ConnectionRejected,
    /// Called off.
    Cancelled,
    /// Not sent at all.
    #[serde(rename = "Moot")]
    NotSent {
        /// Because no slot was free.
        no_slot: bool,
    },
}

impl Outcome {
    /// Whether the destination answered, with whatever.
    pub(crate) fn answered(self) -> bool {
        matches!(
            self,
            Self::Delivered
                | Self::Error
                | Self::Rejected(_)
                | Self::ConnectionRejected
                | Self::InvalidResponse
        )
    }

    /// Whether the outcome proves that the attempt never took effect.
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            Self::Rejected(_) | Self::ConnectionRejected | Self::ConnectFailed | Self::NotSent { .. }
        )
    }
}

/// What happened since the last batch.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A message was handed in.
    Accepted(Message),
    /// A message that an earlier process of this sender took on is picked up again.
    Recovered {
        /// The message, with what is left of its time.
        message: Message,
        /// Attempts used so far.
        attempts: u32,
        /// Those of them that may have run: how long ago each began, and where.
        may_have_run: Vec<(Micros, EndpointId)>,
        /// What repeating it did under the settings it was taken on under, where that is known; the stricter of that and
        /// its class's holds.
        idempotency: Option<Idempotency>,
    },
    /// This process ends at that time; what is left then is picked up by the next one.
    ShuttingDown(Micros),
    /// An endpoint told a wait, in whatever answer.
    RetryAfter {
        /// The endpoint.
        endpoint: EndpointId,
        /// Nothing may go to its destination for so long.
        wait: Micros,
    },
    /// A connection that was kept carried a further call, or broke under it.
    ConnectionReused {
        /// It broke.
        lost: bool,
    },
    /// An attempt ended.
    AttemptCompleted {
        /// The message.
        message: MessageId,
        /// The attempt's number, from 0.
        attempt: u16,
        /// The endpoint.
        endpoint: EndpointId,
        /// How it ended.
        outcome: Outcome,
        /// The message has its final answer.
        terminal: bool,
        /// Time since it was sent.
        took: Micros,
        /// The load report, if one came.
        report: Vec<f32>,
    },
    /// A streamed answer began: the attempt is now the client's.
    Streaming {
        /// The message.
        message: MessageId,
    },
    /// The client has withdrawn the message.
    Withdrawn(MessageId),
    /// The whole list of endpoints; what is not in it is gone.
    EndpointList(Vec<EndpointEntry>),
    /// Changed entries of the list.
    EndpointChanges(Vec<EndpointEntry>),
    /// Asking for the list failed, or the watch broke.
    DiscoveryFailed,
    /// A probe came back.
    HealthChecked {
        /// The endpoint.
        endpoint: EndpointId,
        /// How it ended.
        outcome: Outcome,
        /// The load report, if one came.
        report: Vec<f32>,
    },
    /// What this module may use of the sender's slots and of its room for messages, where several modules share both. Without
    /// it, all that the settings say.
    CapacityChanged {
        /// Calls that may be out at once.
        max_calls: usize,
        /// Messages that may be held.
        max_messages: usize,
    },
    /// An earlier process of this sender learnt that of a route. To be told after the list, ahead of all messages; of a
    /// destination that is awake it changes nothing but its wait.
    SnapshotRestored {
        /// The destination, and the endpoint where its routes are apart. One that is not listed leaves its wait to the
        /// destination.
        route: RouteId,
        /// What it learnt.
        snapshot: RouteSnapshot,
    },
    /// What an earlier process learnt of destinations is lost, or can't be believed: each one that nothing is told of
    /// begins with one call.
    SnapshotLost,
    /// A note from another sender.
    GossipReceived {
        /// Its rank.
        from: u16,
        /// The note.
        content: Vec<u8>,
    },
    /// A reminder came due.
    TimerFired(u64),
}

/// What the sender is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Call an endpoint with the message.
    Attempt {
        /// The message.
        message: MessageId,
        /// Where to.
        endpoint: EndpointId,
        /// Time-out of the attempt.
        timeout: Micros,
        /// Its last byte leaves within that time or not at all.
        send_within: Micros,
        /// The call's last byte goes so long after the others, so that a connection that is lost shows before.
        last_byte_delay: Micros,
        /// Over a connection of its own, not over one that was kept.
        new_connection: bool,
    },
    /// Final answer: handed back; handing it in again is harmless.
    Reject {
        /// The message.
        message: MessageId,
        /// Advice on when to return; 0 for none.
        retry_after: Micros,
    },
    /// Final answer: failed.
    Fail(MessageId),
    /// Stop waiting for an attempt.
    Cancel {
        /// The message.
        message: MessageId,
        /// The attempt's number.
        attempt: u16,
    },
    /// Probe an endpoint.
    HealthCheck(EndpointId),
    /// Close idle connections to an endpoint.
    CloseIdleConnections(EndpointId),
    /// Ask to be told of changes of the list.
    WatchEndpoints,
    /// Ask for the whole list once.
    FetchEndpoints,
    /// Send a note to one sender, or to all.
    SendGossip {
        /// Rank of the receiver; none for all.
        to: Option<u16>,
        /// At most 256 bytes.
        content: Vec<u8>,
    },
    /// Ask for a [`Event::Reminder`].
    SetTimer {
        /// When.
        at: Micros,
        /// Chosen by the module.
        token: u64,
    },
    /// A line for the operators.
    Log(String),
}
