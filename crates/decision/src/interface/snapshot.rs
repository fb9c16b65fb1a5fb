//! A route's health in plain form, as it outlasts the process.

use serde::{Deserialize, Serialize};

use super::{Condition, Micros};

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
