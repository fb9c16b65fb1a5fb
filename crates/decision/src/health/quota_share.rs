//! This sender's share of a limit that all senders share.

use crate::interface::Micros;

use super::record::{EscrowShare, RemainingCapacity};
use super::{SMALL_FLEET_SENDERS, Tick};

mod state;

/// Smoothed remaining share of a limit at or above which the destination has headroom. The remaining share
/// falls evenly over the interval in which the limit is counted, so that it averages half where the limit is
/// just used up.
const HEADROOM_REMAINING: f64 = 0.6;
/// Part of an even share that this sender uses while the last report shows that nothing remains; less than
/// [`NORMAL_SHARE`], to make up for the calls beyond the limit.
const SCARCE_SHARE: f64 = 0.75;
/// Part of an even share that this sender uses otherwise, and where only the limit itself is known.
const NORMAL_SHARE: f64 = 0.9;
/// Largest multiple of an even share that this sender uses while shortages are observed.
const MAX_SHARE: f64 = 3.0;
/// Growth of this sender's share per latency objective where all of the limit remains.
const SHARE_GROWTH: f64 = 0.8;
/// Remaining share of the limit above which this sender's share grows.
const AMPLE_REMAINING: f64 = 0.5;
/// Calls per latency objective that this sender may make in any case, up to [`MAX_SHARE`], while no shortage
/// is observed.
const MIN_CALLS_PER_OBJECTIVE: f64 = 2.0;
/// Number of latency objectives after which a shortage no longer counts as recent.
pub(crate) const RECENT_SHORTAGE_OBJECTIVES: Micros = 2;
/// Remaining share below which a limit counts as used up.
const EXHAUSTED_BELOW: f64 = 0.1;
/// A new limit below this part of the previous one counts as lowered, which is a shortage.
const LOWERED_BELOW_FACTOR: f64 = 0.75;
/// Remaining share at or above which a rejection is not attributed to the limit.
const UNUSED_LIMIT_ABOVE: f64 = 0.75;
/// Factor between the new and the previous limit beyond which the send rate is scaled with the limit.
const RATE_SCALING_FACTOR: f64 = 2.0;
/// Range of plausible limits, as multiples of the listed limit.
const PLAUSIBLE_LIMIT_FACTORS: std::ops::RangeInclusive<f64> = 1.0 / 16.0..=4.0;

/// Keeps this sender within its share of a limit that load reports or the endpoint list state for all senders
/// together.
///
/// *Input*: the limit in calls a second, the share of it that remains according to reports, and quota
/// transferred between senders. *Rule*: an even share times a factor. The factor is [`SCARCE_SHARE`] while
/// nothing remains; it grows while reports show that much remains, and that growth fades with the age of the
/// last report; where no shortage was observed for long, only a quarter of the limit bounds it. Beyond
/// [`NORMAL_SHARE`] only the rate is used that the queued messages need to be delivered in time. *Reason*:
/// many senders that each see little of a limit exceed it together, and rejected calls use it up, so that
/// senders that keep to it are rejected with those that do not. Costs rejections where all senders have much
/// to send at once after they had little.
#[derive(Debug)]
pub(super) struct QuotaShare {
    /// Limit for all senders together, in calls a second, from load reports or the endpoint list; 0 if
    /// neither states one.
    limit: f64,
    /// The limit that the endpoint list alone states.
    listed_limit: f64,
    /// Share of the limit that remains according to reports, smoothed.
    remaining: f64,
    /// Share of the limit that remained according to the last report.
    last_report: RemainingCapacity,
    /// How far this sender's share was raised or lowered, as a natural logarithm of the factor.
    log_boost: f64,
    /// When a shortage was last observed: the limit was used up or lowered, or a call was rejected.
    short_at: Option<Micros>,
    /// When a report last showed less than [`UNUSED_LIMIT_ABOVE`] of the limit remaining.
    used_up_at: Micros,
    /// The state comes from an earlier process, and nothing has confirmed it since.
    restored: bool,
    /// The random moment of the first call after a restart has been drawn.
    first_call_drawn: bool,
    /// Part of an even share that this sender has, including transferred quota.
    escrow: EscrowShare,
}

impl QuotaShare {
    /// Continues from the snapshot of an earlier process. The limit may have been lowered while no process
    /// ran, so it is bounded by the listed one, which is current.
    pub(super) fn restore(&mut self, short_at: Option<Micros>) {
        (self.restored, self.short_at) = (true, short_at);
        self.limit = if self.listed_limit > 0.0 { self.limit.min(self.listed_limit) } else { self.limit };
    }

    /// Returns whether, according to reports, the senders together stay well below the limit.
    pub(super) fn has_headroom(&self) -> bool {
        self.limit > 0.0 && self.remaining >= HEADROOM_REMAINING
    }

    /// Returns whether a reported limit is plausible: the listed limit is approximate, and limits are lowered
    /// for a while, but never by more than [`PLAUSIBLE_LIMIT_FACTORS`] allows. Rejects reports that are
    /// evidently wrong.
    pub(super) fn is_plausible(&self, limit: f64) -> bool {
        let (least, most) = (
            self.listed_limit * PLAUSIBLE_LIMIT_FACTORS.start(),
            self.listed_limit * PLAUSIBLE_LIMIT_FACTORS.end(),
        );
        limit > 0.0 && (self.listed_limit == 0.0 || (least..=most).contains(&limit))
    }

    /// Returns the factor by which the send rate has to be scaled for a new limit, if that is far from the
    /// previous one.
    pub(super) fn rate_factor(&self, limit: f64) -> Option<f64> {
        let near = self.limit / RATE_SCALING_FACTOR..=self.limit * RATE_SCALING_FACTOR;
        (self.limit > 0.0 && !near.contains(&limit)).then(|| limit / self.limit)
    }

    /// Sets the limit; returns whether it was lowered so far that this counts as a shortage.
    pub(super) fn set_limit(&mut self, limit: f64) -> bool {
        limit < LOWERED_BELOW_FACTOR * std::mem::replace(&mut self.limit, limit)
    }

    /// Records that the limit is used up or was lowered.
    pub(super) fn record_shortage(&mut self, now: Micros) {
        self.log_boost = self.log_boost.min((SCARCE_SHARE / NORMAL_SHARE).ln());
        self.short_at = Some(now);
    }

    /// Records a rejected call, which is a shortage too.
    pub(super) fn record_rejection(&mut self, now: Micros) {
        (self.log_boost, self.short_at) = (self.log_boost.min(0.0), Some(now));
    }

    /// Records the share of the limit that remains according to a report, which may have lowered the limit.
    pub(super) fn observe(&mut self, remaining: f64, lowered: bool, latency_objective: Micros, now: Micros) {
        self.remaining += (remaining - self.remaining) / 8.0;
        let objective = latency_objective.max(1) as f64;
        let since_report =
            now.saturating_sub(self.last_report.at).min(latency_objective / 2) as f64 / objective;
        let excess = ((remaining - AMPLE_REMAINING) / (1.0 - AMPLE_REMAINING)).max(0.0);
        let most = (MAX_SHARE / NORMAL_SHARE).ln();
        self.log_boost = (self.log_boost + SHARE_GROWTH * since_report * excess).min(most);
        if remaining < EXHAUSTED_BELOW || lowered {
            self.record_shortage(now);
        }
        (self.last_report, self.restored) = (RemainingCapacity { share: remaining, at: now }, false);
        if remaining < UNUSED_LIMIT_ABOVE {
            self.used_up_at = now;
        }
    }

    /// Returns the calls a second that this sender may make with `queued` messages waiting for a destination
    /// that may be cold; `None` where nothing has to be shared.
    pub(super) fn rate(&self, tick: &Tick, queued: f64, cold: bool) -> Option<f64> {
        let Tick { settings, now, latency_objective, .. } = *tick;
        if self.limit <= 0.0 || settings.senders <= SMALL_FLEET_SENDERS {
            return None;
        }
        let even_share = self.even_share(settings) * self.escrow.0;
        if self.restored {
            return Some(even_share * NORMAL_SHARE);
        }
        let age = now.saturating_sub(self.last_report.at);
        if age < latency_objective && self.last_report.share < EXHAUSTED_BELOW {
            return Some(even_share * SCARCE_SHARE);
        }
        let calls_per_objective = even_share * (latency_objective.max(1) as f64 / 1e6);
        let most = self.max_share(tick, calls_per_objective, cold);
        let needed = 2.0 * queued.max(1.0) / calls_per_objective;
        Some(even_share * needed.clamp(NORMAL_SHARE.min(most), most))
    }

    /// Returns the most that this sender may use, as a multiple of an even share; an even share allows
    /// `calls_per_objective` calls per latency objective.
    fn max_share(&self, tick: &Tick, calls_per_objective: f64, cold: bool) -> f64 {
        let Tick { settings, now, latency_objective, .. } = *tick;
        let age = now.saturating_sub(self.last_report.at);
        let decay = (-(age as f64) / latency_objective as f64).exp();
        let boosted = NORMAL_SHARE * (self.log_boost * decay).exp();
        let since_shortage = now.saturating_sub(self.short_at.unwrap_or(0));
        if cold {
            return boosted.min(NORMAL_SHARE);
        }
        if self.short_at.is_some() && since_shortage < latency_objective {
            return boosted;
        }
        let without_shortage =
            (MIN_CALLS_PER_OBJECTIVE / calls_per_objective).clamp(NORMAL_SHARE, MAX_SHARE).max(boosted);
        let no_recent_shortage =
            self.short_at.is_none() || since_shortage > RECENT_SHORTAGE_OBJECTIVES * latency_objective;
        let ample = self.last_report.share > AMPLE_REMAINING || self.last_report.at == 0;
        if no_recent_shortage && ample {
            without_shortage.max(settings.senders as f64 / 4.0)
        } else {
            without_shortage
        }
    }
}
