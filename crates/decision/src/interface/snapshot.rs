//! Health snapshot of a route, which outlives the process.

use serde::{Deserialize, Serialize};

use super::{Condition, Micros};

/// Calls on a route that failed since the last one that delivered a message, as the journal of an earlier process shows them:
/// how they failed is not recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecoveredFailures {
    /// Number of calls.
    pub count: u32,
    /// When the first one started.
    pub first_at: Micros,
    /// When the last one started.
    pub last_at: Micros,
}

/// Health snapshot of a route, for the next process of this sender or from the previous one. Times are on the
/// clock of the events; 0 or `None` stands for an unknown value.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RouteSnapshot {
    /// No call may start before this time: the end of a Retry-After or of this sender's own backoff.
    pub wait_until: Micros,
    /// Limit for all senders together, in calls a second, from load reports or the endpoint list.
    pub limit: f64,
    /// When the limit was last seen used up or lowered.
    #[serde(rename = "short_at")]
    pub shortage_at: Option<Micros>,
    /// Send rate in calls a second at which it rejected no more; 0 if it never rejected.
    #[serde(rename = "pace")]
    pub send_rate: f64,
    /// Rate of successful calls from this sender, in calls a second.
    #[serde(rename = "rate")]
    pub success_rate: f64,
    /// Worst condition that its last calls indicate.
    #[serde(rename = "worst")]
    pub condition: Condition,
    /// Consecutive failures that are not an outage yet.
    pub failures: u32,
    /// When an outage that may not be over was first seen.
    #[serde(rename = "ill_since")]
    pub unhealthy_since: Option<Micros>,
    /// When it first answered after an outage.
    pub cold_since: Option<Micros>,
    /// When a call last succeeded.
    #[serde(rename = "well_at")]
    pub last_success_at: Micros,
    /// When the next trial call is due if the breaker is open, and the time from a failure to the trial.
    pub trial: Option<(Micros, Micros)>,
    /// Weight of the calls sent within the last overload span, and when the last one was sent.
    #[serde(rename = "spent")]
    pub recent_calls: (f64, Micros),
    /// Mean latency of answers and its mean deviation, in microseconds.
    #[serde(rename = "answers")]
    pub latency: Option<(f64, f64)>,
}

impl RouteSnapshot {
    /// Returns the snapshot of a route whose own snapshot is lost: it may be unhealthy.
    pub fn unknown() -> Self {
        Self { condition: Condition::Failing, ..Self::default() }
    }
}
