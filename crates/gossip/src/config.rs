//! Settings of the gossip protocol.

use serde::{Deserialize, Serialize};

use crate::MemberIndex;

/// Bytes that the fleet may receive from this sender. Serialized as the array `[per_message, per_second]`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "(f64, f64)", into = "(f64, f64)")]
pub struct ByteBudget {
    /// Bytes for each message that a client submits here.
    pub per_message: f64,
    /// Bytes for each second, in addition.
    pub per_second: f64,
}

impl From<(f64, f64)> for ByteBudget {
    fn from((per_message, per_second): (f64, f64)) -> Self {
        Self { per_message, per_second }
    }
}

impl From<ByteBudget> for (f64, f64) {
    fn from(budget: ByteBudget) -> Self {
        (budget.per_message, budget.per_second)
    }
}

/// Who takes part, and how much each may publish.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// This sender's index.
    #[serde(rename = "me")]
    pub member: MemberIndex,
    /// This process's incarnation: higher than that of any process before it, as far as is known locally. Peers raise it where
    /// they have seen a higher one.
    #[serde(rename = "run")]
    pub incarnation: u32,
    /// Senders of the fleet.
    pub senders: MemberIndex,
    /// One message can be sent to all peers at once.
    pub broadcast: bool,
    /// Bytes that may be published.
    #[serde(rename = "bytes")]
    pub byte_budget: ByteBudget,
    /// Senders transfer quota to one another.
    #[serde(rename = "lends")]
    pub quota_transfer: bool,
}
