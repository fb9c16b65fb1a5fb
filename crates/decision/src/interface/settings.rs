//! What a decision module is configured with: classes, tenants, kinds of destination, limits and rules.

use serde::{Deserialize, Serialize};

use super::{GossipConfig, Micros};

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
