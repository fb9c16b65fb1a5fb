//! Settings of the gossip protocol.

use serde::{Deserialize, Serialize};

use crate::MemberIndex;

/// Limits the bytes that this sender publishes, counted once for each peer that receives them. Serialized as the array
/// `[per_message, per_second]`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "(f64, f64)", into = "(f64, f64)")]
pub struct ByteBudget {
    /// Bytes for each message that a client submits to this sender.
    pub per_message: f64,
    /// Additional bytes for each second.
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

/// The fleet, this sender's place in it, and what it may publish.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// This sender's index.
    #[serde(rename = "me")]
    pub member: MemberIndex,
    /// This process's incarnation: higher than that of any previous process of this sender, as far as is known locally. Where
    /// peers know a higher one, their messages raise it.
    #[serde(rename = "run")]
    pub incarnation: u32,
    /// Number of senders in the fleet.
    pub senders: MemberIndex,
    /// Whether one message can be sent to all peers at once.
    pub broadcast: bool,
    /// Bytes that this sender may publish.
    #[serde(rename = "bytes")]
    pub byte_budget: ByteBudget,
    /// Whether senders transfer quota to one another.
    #[serde(rename = "lends")]
    pub quota_transfer: bool,
}
