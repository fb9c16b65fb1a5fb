//! How it begins, what it shows, and its stored form: nothing is decided here.

use super::{CALM_OBJECTIVES, QuotaShare};
use crate::health::record::{EscrowShare, RemainingCapacity, RouteHealthRecord};
use crate::health::{Demand, Tick};
use crate::interface::{Micros, Settings};

impl QuotaShare {
    /// With the limit that the endpoint list promises; 0 where it promises none.
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

    /// With a limit that was known before an idle time; 0 where none was.
    pub(in crate::health) fn retain_limit(&mut self, limit: f64) {
        self.limit = if limit > 0.0 { limit } else { self.limit };
    }

    /// A call of this process went well, so that not all is an earlier process's.
    pub(in crate::health) fn confirm(&mut self) {
        self.restored = false;
    }

    /// Whether the moment of the first call after a restart has to be drawn, which it is once.
    pub(in crate::health) fn take_first_draw(&mut self) -> bool {
        self.restored && !std::mem::replace(&mut self.first_call_drawn, true)
    }

    pub(in crate::health) fn limit(&self) -> f64 {
        self.limit
    }

    pub(in crate::health) fn listed_limit(&self) -> f64 {
        self.listed_limit
    }

    /// The list states that limit from now on.
    pub(in crate::health) fn list_limit(&mut self, limit: f64) {
        (self.listed_limit, self.limit) = (limit, limit);
    }

    pub(in crate::health) fn set_escrow(&mut self, share: f64) {
        self.escrow.0 = share;
    }

    pub(in crate::health) fn short_at(&self) -> Option<Micros> {
        self.short_at
    }

    pub(in crate::health) fn reported_at(&self) -> Micros {
        self.last_report.at
    }

    /// Whether a report of just now shows that most of the limit is used up.
    pub(in crate::health) fn was_used_up_at(&self, now: Micros) -> bool {
        self.used_up_at == now
    }

    /// An even share of the limit, in calls a second.
    pub(in crate::health) fn even_share(&self, settings: &Settings) -> f64 {
        self.limit / settings.senders as f64
    }

    /// What this sender needs of the limit with so many queued messages, at twice the rate that empties the queue in time.
    pub(in crate::health) fn demand(&self, tick: &Tick, queued: f64) -> Demand {
        let even = self.even_share(tick.settings);
        if even <= 0.0 {
            return Demand { shares: 0.0, is_short: false };
        }
        let objective = tick.latency_objective.max(1) as f64;
        let calm = CALM_OBJECTIVES * tick.latency_objective;
        let is_short = self.short_at.is_some_and(|at| tick.now < at + calm);
        Demand { shares: 2.0 * queued * 1e6 / (even * objective), is_short }
    }
}

/// The stored form.
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
