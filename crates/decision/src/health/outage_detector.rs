//! Evidence of an outage, as this sender saw it.

use crate::estimate::AnswerLatency;
use crate::interface::{Micros, Rules};

use super::circuit_breaker::MAX_FAILURES;

mod state;

/// Consecutive failures, with no success, after which a success is taken for a return from an outage.
pub(super) const OUTAGE_FAILURES: u32 = 2;

/// Tells an outage from single faults, from a limit and from a path that loses calls.
///
/// *Input*: outcomes of calls and what other senders publish; times in microseconds. *Rule*:
/// [`OUTAGE_FAILURES`] consecutive failures are an outage, one where the destination is warming up; so are
/// [`MAX_FAILURES`] rejections that no reported limit explains, over an overload's span. After that span
/// without a sign of work, one failure makes it suspected. *Guards against* holding back for a fault that is
/// the path's or one call's, and against a sender of little traffic that never sees a run of failures.
#[derive(Debug, Default)]
pub(super) struct OutageDetector {
    pub(super) consecutive_failures: u32,
    /// Rejections since the last success.
    pub(super) rejections: u32,
    /// Consecutive rejections beside which no report showed a limit that was used up.
    pub(super) unattributed_rejections: u32,
    /// Calls since the last success that found no place for their connection.
    pub(super) connection_rejections: u32,
    pub(super) rejected_at: Micros,
    /// When what may be an outage was first seen.
    pub(super) unhealthy_since: Micros,
    /// When it was last seen to work: a success, or a rejection at its usual limit.
    pub(super) working_at: Micros,
    pub(super) delivered_at: Micros,
    pub(super) answered_at: Micros,
    pub(super) latency: AnswerLatency,
    /// When the first connection since the last answer was lost under a call.
    pub(super) connection_lost_at: Micros,
    /// A call timed out that was sent before the last answer.
    pub(super) has_late_call: bool,
    /// It was unhealthy, or unknown, when it was activated: until it is warm, its outage counts as begun
    /// then.
    pub(super) activated_unhealthy: bool,
    /// Other senders hold evidence enough that it is unhealthy.
    pub(super) reported_unhealthy: bool,
}

impl OutageDetector {
    /// Consecutive failures that look like an outage. Where it is cold already, one is enough: at
    /// half-failing destinations successes come between, and the warm-up counts from the end of the outage.
    pub(super) fn outage_threshold(&self, is_warming: bool) -> u32 {
        if is_warming { 1 } else { OUTAGE_FAILURES }
    }

    /// Rejections without any success for longer than a limit's span: a destination that is shut shows as
    /// full.
    pub(super) fn is_shut(&self, rules: &Rules, now: Micros) -> bool {
        self.unattributed_rejections >= MAX_FAILURES && now >= self.unhealthy_since + rules.overload_for
    }

    /// A sender that sends little sees no run: one failure, or rejection that nothing explains, with the
    /// destination not seen to work for an overload's span holds it back until the next success.
    pub(super) fn is_suspected(&self, rules: &Rules, now: Micros) -> bool {
        let failed = self.consecutive_failures + self.unattributed_rejections > 0;
        (self.connection_lost() || failed || self.reported_unhealthy)
            && now >= self.working_at + rules.overload_for
    }

    /// Guards against a destination that takes calls and answers none, whatever the cause, long before
    /// time-outs show it: a call out past our patience, sent since it last answered. A slow one answers.
    pub(super) fn is_silent(&self, sent: Micros, latency_objective: Micros, now: Micros) -> bool {
        sent >= self.answered_at && sent + self.latency.longest(latency_objective) <= now
    }

    /// One table that is full is no outage; nothing but that, time and again, may be one.
    pub(super) fn record_connection_rejection(&mut self) {
        self.connection_rejections += 1;
        if self.connection_rejections >= MAX_FAILURES {
            self.unattributed_rejections = self.unattributed_rejections.max(self.connection_rejections);
        }
    }
}
