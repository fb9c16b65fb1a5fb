//! Construction of, access to and serialized form of slow start; no decisions are made here.

use super::SlowStart;
use crate::estimate::{SentWindow, SuccessRate};
use crate::health::record::RouteHealthRecord;
use crate::interface::{Micros, Rules};

/// Capacity of a cold destination to count on.
pub(in crate::health) struct ColdCapacity {
    /// Share of its usual capacity, between 0 and 1.
    pub share: f64,
    /// This sender's usual traffic to the destination, in calls a second.
    pub own_rate: f64,
}

impl SlowStart {
    /// Creates the slow start of a destination that counts as warm.
    pub(in crate::health) fn new(now: Micros) -> Self {
        Self {
            cold_since: None,
            rate: 0.0,
            calls_until_next: 0.0,
            checked_at: 0,
            sent: SentWindow::default(),
            successes: SuccessRate::since(now),
        }
    }

    /// Returns when the destination first answered after an outage.
    pub(in crate::health) fn cold_since(&self) -> Option<Micros> {
        self.cold_since
    }

    /// Sets when the destination first answered after an outage; `None` if it was never in one.
    pub(in crate::health) fn set_cold_since(&mut self, since: Option<Micros>) {
        self.cold_since = since;
    }

    /// Returns the rate of successful calls while the destination was warm, in calls a second.
    pub(in crate::health) fn usual_rate(&self, rules: &Rules) -> f64 {
        self.successes.rate(rules.overload_for)
    }

    /// Continues with the usual rate that an earlier process observed or that was retained.
    pub(in crate::health) fn restore_rate(&mut self, rate: f64, rules: &Rules, now: Micros) {
        self.successes = SuccessRate::at_rate(rate, rules.warm_within, rules.overload_for, now);
    }

    /// Records a successful call; it and the time since the previous one count only if the destination was
    /// warm.
    pub(in crate::health) fn record_success(&mut self, rules: &Rules, warm: bool, now: Micros) {
        self.successes.record(now, rules.warm_within, warm);
    }

    /// Records the weight of a message that is sent.
    pub(in crate::health) fn record_sent(&mut self, weight: f64, now: Micros) {
        self.sent.push(now, weight);
    }

    /// Returns the weight sent within the last `span`, and when the last of it was sent.
    pub(in crate::health) fn recently_sent(&self, span: Micros, now: Micros) -> (f64, Micros) {
        self.sent.recent(span, now)
    }

    /// Returns when the last check took place.
    pub(in crate::health) fn checked_at(&self) -> Micros {
        self.checked_at
    }
}

/// Serialized form.
impl SlowStart {
    pub(in crate::health) fn load(record: &RouteHealthRecord) -> Self {
        Self {
            cold_since: record.cold_since,
            rate: record.ramp,
            calls_until_next: record.turn,
            checked_at: record.turn_at,
            sent: record.sent.clone(),
            successes: record.served.clone(),
        }
    }

    pub(in crate::health) fn store(&self, record: &mut RouteHealthRecord) {
        record.cold_since = self.cold_since;
        (record.ramp, record.turn, record.turn_at) = (self.rate, self.calls_until_next, self.checked_at);
        (record.sent, record.served) = (self.sent.clone(), self.successes.clone());
    }
}
