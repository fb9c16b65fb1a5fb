//! Detection of outages from what this sender observes.

use crate::estimate::AnswerLatency;
use crate::interface::{Micros, Rules};

use super::circuit_breaker::MAX_FAILURES;

mod state;

/// Number of consecutive failures after which the next success counts as a return from an outage.
pub(super) const OUTAGE_FAILURES: u32 = 2;

/// Distinguishes an outage from single faults, from a limit and from a path that loses calls.
///
/// *Input*: outcomes of calls and what other senders publish; times in microseconds. *Rule*:
/// [`OUTAGE_FAILURES`] consecutive failures are an outage, one failure where the destination is warming up;
/// so are [`MAX_FAILURES`] rejections that no reported limit explains, over an overload span
/// (`overload_for`). After a span of that length without a sign of work, one failure makes the destination
/// suspected. *Reason*: a sender must not hold back for a fault of the path or of a single call, and one with
/// little traffic, which never sees several failures in a row, must still notice an outage.
#[derive(Debug, Default)]
pub(super) struct OutageDetector {
    /// Failures since the last success.
    pub(super) consecutive_failures: u32,
    /// Rejections since the last success.
    pub(super) rejections: u32,
    /// Consecutive rejections for which no load report showed the limit as used up.
    pub(super) unattributed_rejections: u32,
    /// Calls since the last success whose connection was rejected because the endpoint had no free connection
    /// slot.
    pub(super) connection_rejections: u32,
    /// When the last rejection was recorded.
    pub(super) rejected_at: Micros,
    /// When the first sign of a possible outage was seen. Kept until the destination is warm again.
    pub(super) unhealthy_since: Micros,
    /// When the destination was last seen to work: a success, or a rejection at its usual limit.
    pub(super) working_at: Micros,
    /// When the last call succeeded.
    pub(super) delivered_at: Micros,
    /// When the last answer arrived.
    pub(super) answered_at: Micros,
    /// Latency of answers and time-outs.
    pub(super) latency: AnswerLatency,
    /// When a connection was lost under a call, for the first time since the last answer.
    pub(super) connection_lost_at: Micros,
    /// A call that was sent before the last answer has timed out.
    pub(super) has_late_call: bool,
    /// The destination was unhealthy, or unknown, when it was activated. Part of the state that is handed
    /// over to processes of earlier versions.
    pub(super) activated_unhealthy: bool,
    /// The evidence of other senders suffices to consider the destination unhealthy.
    pub(super) reported_unhealthy: bool,
}

impl OutageDetector {
    /// Returns the number of consecutive failures that indicates an outage. One is enough while the
    /// destination is warming up: where half of the calls fail, successes interrupt the count, and the
    /// warm-up must count from the end of the outage, not from a success during it.
    pub(super) fn outage_threshold(&self, is_warming: bool) -> u32 {
        if is_warming { 1 } else { OUTAGE_FAILURES }
    }

    /// Returns whether calls have been rejected for an overload span (`overload_for`) without any success and
    /// without a limit that explains it. A destination that is shut only rejects calls, like one whose limit
    /// is used up.
    pub(super) fn is_shut(&self, rules: &Rules, now: Micros) -> bool {
        let rejecting_since = self.unhealthy_since.max(self.delivered_at);
        self.unattributed_rejections >= MAX_FAILURES && now >= rejecting_since + rules.overload_for
    }

    /// Returns whether the destination is suspected, which limits calls until the next success: it has not
    /// been seen to work for an overload span, and there was one failure, one unexplained rejection, one lost
    /// connection or evidence from other senders. A single sign is enough because a sender with little
    /// traffic sees no consecutive failures that it could count.
    pub(super) fn is_suspected(&self, rules: &Rules, now: Micros) -> bool {
        let failed = self.consecutive_failures + self.unattributed_rejections > 0;
        (self.connection_lost() || failed || self.reported_unhealthy)
            && now >= self.working_at + rules.overload_for
    }

    /// Returns whether a call has gone unanswered for longer than the longest usual latency, with no answer
    /// to any other call since it was sent. Detects a destination that accepts calls and answers none,
    /// whatever the cause, long before time-outs show it. A slow destination is not affected, because it
    /// answers.
    pub(super) fn is_silent(&self, sent: Micros, latency_objective: Micros, now: Micros) -> bool {
        sent >= self.answered_at && sent + self.latency.longest_usual(latency_objective) <= now
    }

    /// Records a connection that was rejected because no connection slot was free. One full connection table
    /// is not an outage; [`MAX_FAILURES`] such rejections without a success in between may be one.
    pub(super) fn record_connection_rejection(&mut self) {
        self.connection_rejections += 1;
        if self.connection_rejections >= MAX_FAILURES {
            self.unattributed_rejections = self.unattributed_rejections.max(self.connection_rejections);
        }
    }
}
