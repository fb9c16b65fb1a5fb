//! Construction of, access to and serialized form of the outage detector; no decisions are made here.

use super::OutageDetector;
use crate::health::record::RouteHealthRecord;
use crate::interface::Micros;

impl OutageDetector {
    /// Creates a detector without observations. The destination counts as working until now.
    pub(in crate::health) fn new(now: Micros) -> Self {
        Self { working_at: now, delivered_at: now, answered_at: now, ..Self::default() }
    }

    /// Sets the time of the last success.
    pub(in crate::health) fn restore_success(&mut self, last_success_at: Micros) {
        (self.delivered_at, self.answered_at, self.working_at) =
            (last_success_at, last_success_at, last_success_at);
    }

    /// Returns whether no call has failed or been rejected since the last success.
    pub(in crate::health) fn is_clear(&self) -> bool {
        self.consecutive_failures + self.rejections + self.connection_rejections == 0
    }

    /// Returns whether a connection was lost under a call since the last success.
    pub(in crate::health) fn connection_lost(&self) -> bool {
        self.connection_lost_at > self.delivered_at
    }

    /// Records a success, which resets all counts.
    pub(in crate::health) fn record_success(&mut self, now: Micros) {
        (self.delivered_at, self.working_at, self.has_late_call) = (now, now, false);
        (self.consecutive_failures, self.rejections) = (0, 0);
        (self.unattributed_rejections, self.connection_rejections) = (0, 0);
    }
}

/// Serialized form.
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
