//! How it begins, what it shows, and its stored form: nothing is decided here.

use super::OutageDetector;
use crate::health::record::RouteHealthRecord;
use crate::interface::Micros;

impl OutageDetector {
    pub(in crate::health) fn new(now: Micros) -> Self {
        Self { working_at: now, delivered_at: now, answered_at: now, ..Self::default() }
    }

    /// Goes on where its last success was that.
    pub(in crate::health) fn restore_success(&mut self, last_success_at: Micros) {
        (self.delivered_at, self.answered_at, self.working_at) =
            (last_success_at, last_success_at, last_success_at);
    }

    /// Neither failed nor rejected since the last success.
    pub(in crate::health) fn is_clear(&self) -> bool {
        self.consecutive_failures + self.rejections + self.connection_rejections == 0
    }

    pub(in crate::health) fn connection_lost(&self) -> bool {
        self.connection_lost_at > self.delivered_at
    }

    pub(in crate::health) fn record_success(&mut self, now: Micros) {
        (self.delivered_at, self.working_at, self.has_late_call) = (now, now, false);
        (self.consecutive_failures, self.rejections) = (0, 0);
        (self.unattributed_rejections, self.connection_rejections) = (0, 0);
    }
}

/// The stored form.
impl OutageDetector {
    pub(in crate::health) fn load(record: &RouteHealthRecord) -> Self {
        Self {
            consecutive_failures: record.bad_run,
            rejections: record.fulls,
            unattributed_rejections: record.unexplained,
            connection_rejections: record.crowds,
            rejected_at: record.full_at,
            unhealthy_since: record.bad_since,
            working_at: record.well_at,
            delivered_at: record.delivered_at,
            answered_at: record.answered_at,
            latency: record.usual.clone(),
            connection_lost_at: record.lost_at,
            has_late_call: record.late,
            activated_unhealthy: record.woken_ill,
            reported_unhealthy: record.heard_ill,
        }
    }

    pub(in crate::health) fn store(&self, record: &mut RouteHealthRecord) {
        (record.bad_run, record.fulls) = (self.consecutive_failures, self.rejections);
        (record.unexplained, record.crowds) = (self.unattributed_rejections, self.connection_rejections);
        (record.full_at, record.bad_since) = (self.rejected_at, self.unhealthy_since);
        (record.well_at, record.delivered_at) = (self.working_at, self.delivered_at);
        (record.answered_at, record.usual) = (self.answered_at, self.latency.clone());
        (record.lost_at, record.late) = (self.connection_lost_at, self.has_late_call);
        (record.woken_ill, record.heard_ill) = (self.activated_unhealthy, self.reported_unhealthy);
    }
}
