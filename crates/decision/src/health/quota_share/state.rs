//! Construction of, access to and serialized form of the quota share; no decisions are made here.

use super::{QuotaShare, RECENT_SHORTAGE_OBJECTIVES};
use crate::health::record::{EscrowShare, RemainingCapacity, RouteHealthRecord};
use crate::health::{Demand, Tick};
use crate::interface::{Micros, Settings};

impl QuotaShare {
    /// Creates a share of the limit that the endpoint list states; 0 if it states none.
    pub(in crate::health) fn listed(limit: f64) -> Self {
        Self {
            limit,
            listed_limit: limit,
            remaining: 0.0,
            last_report: RemainingCapacity::default(),
            log_boost: 0.0,
            short_at: None,
            used_up_at: 0,
            restored: false,
            first_call_drawn: false,
            escrow: EscrowShare::default(),
        }
    }

    /// Continues with the limit that was known before the destination became idle; 0 if none was.
    pub(in crate::health) fn retain_limit(&mut self, limit: f64) {
        self.limit = if limit > 0.0 { limit } else { self.limit };
    }

    /// Records that a call of this process succeeded: the state no longer comes from an earlier process
    /// alone.
    pub(in crate::health) fn confirm(&mut self) {
        self.restored = false;
    }

    /// Returns whether the random moment of the first call after a restart is still to be drawn; true once
    /// only.
    pub(in crate::health) fn take_first_draw(&mut self) -> bool {
        self.restored && !std::mem::replace(&mut self.first_call_drawn, true)
    }

    /// Returns the limit for all senders together, in calls a second; 0 if none is known.
    pub(in crate::health) fn limit(&self) -> f64 {
        self.limit
    }

    /// Returns the limit that the endpoint list states; 0 if it states none.
    pub(in crate::health) fn listed_limit(&self) -> f64 {
        self.listed_limit
    }

    /// Sets the limit that the endpoint list states from now on.
    pub(in crate::health) fn list_limit(&mut self, limit: f64) {
        (self.listed_limit, self.limit) = (limit, limit);
    }

    /// Sets the part of an even share that this sender has, including transferred quota.
    pub(in crate::health) fn set_escrow(&mut self, share: f64) {
        self.escrow.0 = share;
    }

    /// Returns when a shortage was last observed.
    pub(in crate::health) fn short_at(&self) -> Option<Micros> {
        self.short_at
    }

    /// Returns when the last load report was received.
    pub(in crate::health) fn reported_at(&self) -> Micros {
        self.last_report.at
    }

    /// Returns whether a report received in this tick shows a limit that is used up enough to explain a
    /// rejection.
    pub(in crate::health) fn was_used_up_at(&self, now: Micros) -> bool {
        self.used_up_at == now
    }

    /// Returns an even share of the limit, in calls a second.
    pub(in crate::health) fn even_share(&self, settings: &Settings) -> f64 {
        self.limit / settings.senders as f64
    }

    /// Returns the part of the limit that this sender needs: twice the rate that sends the queued messages
    /// within the latency objective.
    pub(in crate::health) fn demand(&self, tick: &Tick, queued: f64) -> Demand {
        let even_share = self.even_share(tick.settings);
        if even_share <= 0.0 {
            return Demand { shares: 0.0, is_short: false };
        }
        let objective = tick.latency_objective.max(1) as f64;
        let recent = RECENT_SHORTAGE_OBJECTIVES * tick.latency_objective;
        let is_short = self.short_at.is_some_and(|at| tick.now < at + recent);
        Demand { shares: 2.0 * queued * 1e6 / (even_share * objective), is_short }
    }
}

/// Serialized form.
impl QuotaShare {
    pub(in crate::health) fn load(record: &RouteHealthRecord) -> Self {
        Self {
            limit: record.told,
            listed_limit: record.listed,
            remaining: record.left,
            last_report: record.left_told,
            log_boost: record.lift,
            short_at: record.short_at,
            used_up_at: record.used_up_at,
            restored: record.returned,
            first_call_drawn: record.drawn,
            escrow: record.share,
        }
    }

    pub(in crate::health) fn store(&self, record: &mut RouteHealthRecord) {
        (record.told, record.listed, record.left) = (self.limit, self.listed_limit, self.remaining);
        (record.left_told, record.lift, record.short_at) = (self.last_report, self.log_boost, self.short_at);
        (record.used_up_at, record.returned) = (self.used_up_at, self.restored);
        (record.drawn, record.share) = (self.first_call_drawn, self.escrow);
    }
}
