//! Settings of the decisions: classes, tenants, kinds of destination, limits and rules.

use serde::{Deserialize, Serialize};

use super::{GossipConfig, Micros};

/// Which endpoints recognise a repeat by its idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum IdempotencyScope {
    /// All endpoints of the destination.
    All,
    /// The endpoints of the same zone.
    Zone,
    /// The same endpoint only; also assumed for a scope that is not known, as the narrowest one.
    Endpoint,
}

/// Effect of a repeated attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Idempotency {
    /// Repeats are harmless.
    #[serde(rename = "Repeatable")]
    Idempotent,
    /// The destination drops repeats by their idempotency key, for a while after the first attempt that may
    /// have taken effect.
    Keyed {
        /// Which endpoints drop repeats.
        #[serde(rename = "group")]
        scope: IdempotencyScope,
        /// Time for which they drop repeats.
        window: Micros,
    },
    /// Must never take effect twice.
    #[serde(rename = "Once")]
    NonIdempotent,
}

impl Idempotency {
    /// Returns the time for which the destination drops repeats, if it does.
    pub fn window(self) -> Option<Micros> {
        match self {
            Self::Keyed { window, .. } => Some(window),
            Self::Idempotent | Self::NonIdempotent => None,
        }
    }

    /// Returns the stricter of two rules that both apply to a message, so that one accepted by an earlier
    /// process under other settings stays protected by them.
    #[must_use]
    pub fn stricter(self, other: Self) -> Self {
        match (self, other) {
            (Self::NonIdempotent, _) | (_, Self::NonIdempotent) => Self::NonIdempotent,
            (Self::Idempotent, other) => other,
            (this, Self::Idempotent) => this,
            (Self::Keyed { scope, window }, Self::Keyed { scope: other, window: other_window }) => {
                let narrower = match (scope, other) {
                    (IdempotencyScope::All, scope) | (scope, IdempotencyScope::All) => scope,
                    (IdempotencyScope::Zone, IdempotencyScope::Zone) => IdempotencyScope::Zone,
                    _ => IdempotencyScope::Endpoint,
                };
                Self::Keyed { scope: narrower, window: window.min(other_window) }
            }
        }
    }
}

/// How the priority weight of a message falls after its latency objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Decay {
    /// Linearly, down to the late weight at the deadline.
    #[serde(rename = "Line")]
    Linear,
    /// By half with each further latency objective, but not below the late weight.
    #[serde(rename = "Halves")]
    Halving,
}

/// A class of messages.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Class {
    /// Effect of a repeated attempt.
    #[serde(rename = "effect")]
    pub idempotency: Idempotency,
    /// A message delivered within this time counts with its full priority weight.
    #[serde(rename = "aim")]
    pub latency_objective: Micros,
    /// Longest time in which a message may be delivered.
    pub deadline: Micros,
    /// Priority weight of a message delivered within its latency objective.
    #[serde(rename = "worth")]
    pub priority_weight: f64,
    /// Share of the priority weight that remains at the deadline.
    #[serde(rename = "late_worth")]
    pub late_weight: f64,
    /// Messages with the same key are delivered one at a time, in order.
    pub in_order: bool,
}

/// A tenant and its quota.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Tenant {
    /// Quota in messages a second, over all senders.
    pub quota: f64,
}

/// A kind of destination.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DestinationKind {
    /// Each of its endpoints is a separate route, with its own limit, send rate and outages.
    #[serde(rename = "routes_apart")]
    pub separate_routes: bool,
    /// Largest number of messages in one call.
    #[serde(rename = "bundle")]
    pub max_batch: usize,
}

/// Meaning of the weight in an entry of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Weights {
    /// The weight has no meaning.
    None,
    /// Calls a second that the destination accepts from all senders together.
    Nominal,
    /// The same, but up to half too high or too low.
    Rough,
}

impl Weights {
    /// Returns the calls a second that a weight guarantees at least; 0 if it guarantees none.
    pub(crate) fn calls(self, weight: f64) -> f64 {
        match self {
            Self::None => 0.0,
            Self::Nominal => weight,
            Self::Rough => weight / 1.5,
        }
    }
}

/// How destinations without traffic become idle, what is retained of them, and how they are activated again.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct IdlePolicy {
    /// A destination becomes idle when nothing has been sent to it for this time.
    #[serde(rename = "after")]
    pub idle_after: Micros,
    /// The health retained for an idle destination, except its wait, is discarded after this time.
    #[serde(rename = "remember")]
    pub retain_for: Micros,
    /// Largest number of idle routes whose health is retained.
    #[serde(rename = "most")]
    pub max_retained: usize,
    /// Largest number of active destinations; messages for a further one are rejected.
    #[serde(rename = "awake")]
    pub max_active: usize,
    /// First calls a second to destinations that are being activated.
    #[serde(rename = "wakes")]
    pub activations_per_second: f64,
}

/// Parameters of the rules that the users of the sender set.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rules {
    /// A final answer is valid for this long after the deadline.
    pub answer_slack: Micros,
    /// Longest time between two polls of the endpoint list, if it is polled.
    #[serde(rename = "ask_every")]
    pub poll_interval: Option<Micros>,
    /// Share of its capacity that a destination has at least when it returns from an outage.
    pub cold_share: f64,
    /// Time after which it has its full capacity.
    pub warm_within: Micros,
    /// A destination fails when it receives this multiple of its current capacity ...
    #[serde(rename = "fall_multiple")]
    pub overload_multiple: f64,
    /// ... for this long (an overload span).
    pub overload_for: Micros,
    /// Time after which nothing may be sent any more to an endpoint that is draining or gone.
    #[serde(rename = "drain_grace")]
    pub drain_timeout: Micros,
    /// Pause of an ordering key after an attempt that may still be executing.
    #[serde(rename = "order_pause")]
    pub ordering_pause: Micros,
}

/// Settings of an instance, given at its start.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Settings {
    /// Classes of messages.
    pub classes: Vec<Class>,
    /// Tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Kinds of destination.
    pub kinds: Vec<DestinationKind>,
    /// Fee of each zone, for messages accepted by a separate route in that zone.
    #[serde(rename = "tolls")]
    pub zone_fees: Vec<f64>,
    /// How the priority weight falls after the latency objective.
    pub decay: Decay,
    /// Largest number of calls in flight.
    #[serde(rename = "slots")]
    pub max_calls: usize,
    /// Largest number of pending messages.
    #[serde(rename = "max_open")]
    pub max_messages: usize,
    /// Largest number of attempts for one message.
    #[serde(rename = "try_limit")]
    pub max_attempts: u32,
    /// A message may have two attempts in flight at once.
    #[serde(rename = "second_copies")]
    pub hedging: bool,
    /// Attempts may be cancelled.
    #[serde(rename = "cancelling")]
    pub cancellation: bool,
    /// Endpoints may be sent health checks.
    #[serde(rename = "probing")]
    pub health_checks: bool,
    /// Price of a health check, in the unit of the priority weight.
    #[serde(rename = "probe_price")]
    pub health_check_price: f64,
    /// Price of a call that is rejected because a limit is exceeded, in the same unit.
    #[serde(rename = "refused_price")]
    pub rejection_price: f64,
    /// Time within which a connection has to be established; otherwise it has failed.
    pub connect_timeout: Micros,
    /// Time after which an idle connection closes by itself; `Micros::MAX` if it does not.
    #[serde(rename = "idle_close")]
    pub idle_timeout: Micros,
    /// Longest Retry-After that clients follow.
    pub max_retry_after: Micros,
    /// The endpoint list is available by polling only.
    #[serde(rename = "must_ask")]
    pub polling_only: bool,
    /// Meaning of an endpoint's weight.
    pub weights: Weights,
    /// Share of the priority weight of a message beyond its tenant's quota.
    #[serde(rename = "over_share_worth")]
    pub over_quota_weight: f64,
    /// Positions of `x0` (remaining share of the limit) and `x1` (limit, in calls a second) in a load report.
    pub report: (Option<usize>, Option<usize>),
    /// Number of senders in this tier.
    pub senders: usize,
    /// Shortest time between two batches of events.
    pub period: Micros,
    /// How destinations become idle; without it none does.
    #[serde(rename = "dormant")]
    pub idle: Option<IdlePolicy>,
    /// Gossip among senders; without it nothing is published, and what others publish is ignored.
    #[serde(default)]
    #[serde(rename = "shared")]
    pub gossip: Option<GossipConfig>,
    /// Parameters of the rules.
    pub rules: Rules,
}

impl Settings {
    /// Returns the shortest latency objective of all classes.
    pub fn shortest_latency_objective(&self) -> Micros {
        self.classes.iter().map(|class| class.latency_objective).min().unwrap_or(0)
    }

    /// Returns the longest deadline of all classes.
    pub fn longest_deadline(&self) -> Micros {
        self.classes.iter().map(|class| class.deadline).max().unwrap_or(0)
    }
}
