//! Slow start of a destination after an outage.

use crate::estimate::{SentWindow, SuccessRate};
use crate::interface::{Micros, Rules};

use super::{SMALL_FLEET_SENDERS, Tick};

mod state;

pub(super) use state::ColdCapacity;

/// Part of the load that a cold destination can take that this sender uses.
const SAFETY_MARGIN: f64 = 0.9;
/// Allowance in calls per overload span below which single calls are spaced at random instead; 1 with a
/// margin for rounding.
const WHOLE_CALL: f64 = 0.999;

/// Limits calls to a destination that may be cold to what it can take while it warms up.
///
/// *Input*: when the destination came back, its success rate before, and the weight of each message sent.
/// *Rule*: the share of capacity to count on rises linearly from the setting `cold_share` to 1 within
/// `warm_within`. The allowed calls a second are `overload_multiple * share * own rate *` [`SAFETY_MARGIN`];
/// the weight sent within the last `overload_for` stays below that. Where this is less than one call, single
/// calls go at random moments at that rate. *Reason*: a destination that returns from an outage must not be
/// pushed back into it.
#[derive(Debug)]
pub(super) struct SlowStart {
    /// When the destination first answered after an outage.
    cold_since: Option<Micros>,
    /// Calls a second that were allowed at the last check.
    rate: f64,
    /// How far the next single call is away, in calls at that rate; 0 while none is scheduled.
    calls_until_next: f64,
    /// When the last check took place.
    checked_at: Micros,
    /// Weight sent within the last overload span.
    sent: SentWindow,
    /// Rate of successful calls while the destination was warm.
    successes: SuccessRate,
}

impl SlowStart {
    /// Returns the share of the capacity to count on, if the destination is still warming up.
    pub(super) fn warm_share(&self, rules: &Rules, now: Micros) -> Option<f64> {
        let warm = now.saturating_sub(self.cold_since?) as f64 / rules.warm_within.max(1) as f64;
        (warm < 1.0).then_some(rules.cold_share + (1.0 - rules.cold_share) * warm)
    }

    /// Returns whether the destination returned so recently that it is still warming up.
    pub(super) fn is_warming(&self, rules: &Rules, now: Micros) -> bool {
        self.cold_since.is_some_and(|since| now < since + rules.warm_within)
    }

    /// Returns whether a further call of that weight may go to a destination of that cold capacity; `None`
    /// stands for a warm one.
    pub(super) fn allows(&mut self, cold: Option<ColdCapacity>, tick: &Tick, weight: f64) -> bool {
        let (rules, now) = (&tick.settings.rules, tick.now);
        self.sent.forget_before(rules.overload_for, now);
        let last_checked_at = std::mem::replace(&mut self.checked_at, now);
        let Some(ColdCapacity { share, own_rate }) = cold else {
            self.calls_until_next = 0.0;
            return true;
        };
        let seconds = rules.overload_for as f64 / 1e6;
        let least = SMALL_FLEET_SENDERS as f64 / (tick.settings.senders as f64 * seconds);
        self.rate = (rules.overload_multiple * share * own_rate * SAFETY_MARGIN).max(least);
        if self.rate * seconds > WHOLE_CALL {
            let sent = self.sent.sum();
            return sent == 0.0 || sent + weight <= self.rate * seconds;
        }
        self.single_call_due(last_checked_at, now, tick.jitter)
    }

    /// Counts down to the next single call, or draws its moment if none is scheduled; returns whether it is
    /// due.
    fn single_call_due(&mut self, last_checked_at: Micros, now: Micros, jitter: f64) -> bool {
        if self.calls_until_next <= 0.0 {
            self.calls_until_next = 2.0 * jitter;
        } else {
            self.calls_until_next -= self.rate * (now - last_checked_at) as f64 / 1e6;
        }
        self.calls_until_next <= 0.0
    }
}
