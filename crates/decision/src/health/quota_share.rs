//! This sender's share of a reported limit.

use crate::interface::Micros;

use super::record::{EscrowShare, RemainingCapacity};
use super::{SMALL_FLEET_SENDERS, Tick};

mod state;

/// Smoothed share of a limit left at which its destination has headroom. Within a span the share falls
/// evenly, so that half is left on average at a destination that is used to its limit.
const HEADROOM_REMAINING: f64 = 0.6;
/// Of an even share: ours while the last report shows that nothing is left, so that what went beyond the
/// limit is made up for.
const SCARCE_SHARE: f64 = 0.75;
/// Ours else, and where nothing but the limit itself is known.
const NORMAL_SHARE: f64 = 0.9;
/// Ours at most while shortages are seen.
const MAX_SHARE: f64 = 3.0;
/// Growth of our share in a latency objective's time where all is left.
const SHARE_GROWTH: f64 = 0.8;
/// Share left from which on ours grows.
const AMPLE_REMAINING: f64 = 0.5;
/// Calls in a latency objective's time that are ours in any case, up to our most, while no shortage is seen.
const CALLS_IN_AN_OBJECTIVE: f64 = 2.0;
/// So many latency objectives without a shortage are long.
pub(crate) const CALM_OBJECTIVES: Micros = 2;
/// Where less is left, a limit was used up.
const EXHAUSTED_BELOW: f64 = 0.1;
/// A limit that falls below such a part of the one before was lowered.
const LOWERED: f64 = 0.75;
/// Where so much of a limit is left, it is not for the limit that a call is rejected.
const UNUSED_ABOVE: f64 = 0.75;
/// A limit further than this factor from the one before takes the send rate along.
const RATE_FOLLOWS: f64 = 2.0;
/// Largest and smallest limit to be believed, as multiples of the listed one.
const BELIEVABLE: std::ops::RangeInclusive<f64> = 1.0 / 16.0..=4.0;

/// Keeps to this sender's share of a limit that reports or the endpoint list state for all senders together.
///
/// *Input*: the limit in calls a second, the share of it that reports say is left, and quota transferred
/// between senders. *Rule*: an even share times a factor. The factor is [`SCARCE_SHARE`] while nothing is
/// left; it grows while reports show much left and fades with their age; and it is without bound but a
/// quarter of the limit where no shortage was seen for long. Beyond [`NORMAL_SHARE`] only what has to go in
/// time goes. *Guards against* many senders that each see little of a limit: rejected calls use it up, so
/// that all who keep to it are rejected with those who don't. It costs rejections where all senders have much
/// to send at once after they had little.
#[derive(Debug)]
pub(super) struct QuotaShare {
    /// Calls a second from all senders that reports or the list state; 0 where nothing does.
    limit: f64,
    /// The same from the list alone.
    listed_limit: f64,
    /// Share of the limit that reports say is left, smoothed.
    remaining: f64,
    /// The same as the last report showed it.
    last_report: RemainingCapacity,
    /// How far our share was raised, as a logarithm.
    log_boost: f64,
    /// When the limit was last seen used up.
    short_at: Option<Micros>,
    /// When a report last showed a limit most of which was used up.
    used_up_at: Micros,
    /// What is known is an earlier process's.
    restored: bool,
    /// The moment of the first call after a restart was drawn.
    first_call_drawn: bool,
    /// Our part of an even share, with what was transferred.
    escrow: EscrowShare,
}

impl QuotaShare {
    /// What is known is an earlier process's. Limits are lowered while a process is down; the list promises
    /// what holds in any case.
    pub(super) fn restore(&mut self, short_at: Option<Micros>) {
        (self.restored, self.short_at) = (true, short_at);
        self.limit = if self.listed_limit > 0.0 { self.limit.min(self.listed_limit) } else { self.limit };
    }

    /// Whether reports say that the senders together leave room below the limit.
    pub(super) fn has_headroom(&self) -> bool {
        self.limit > 0.0 && self.remaining >= HEADROOM_REMAINING
    }

    /// Guards against reports that can't be meant: the list is rough, and limits are lowered for a while, but
    /// not by more than this.
    pub(super) fn believes(&self, limit: f64) -> bool {
        let (least, most) = (self.listed_limit * BELIEVABLE.start(), self.listed_limit * BELIEVABLE.end());
        limit > 0.0 && (self.listed_limit == 0.0 || (least..=most).contains(&limit))
    }

    /// The factor by which the send rate has to follow a new limit, where that is far from the one before.
    pub(super) fn rate_factor(&self, limit: f64) -> Option<f64> {
        let near = self.limit / RATE_FOLLOWS..=self.limit * RATE_FOLLOWS;
        (self.limit > 0.0 && !near.contains(&limit)).then(|| limit / self.limit)
    }

    /// The limit is that from now on; returns whether it was lowered by much, which is a shortage.
    pub(super) fn set_limit(&mut self, limit: f64) -> bool {
        limit < LOWERED * std::mem::replace(&mut self.limit, limit)
    }

    /// The limit is used up, or was lowered.
    pub(super) fn record_shortage(&mut self, now: Micros) {
        self.log_boost = self.log_boost.min((SCARCE_SHARE / NORMAL_SHARE).ln());
        self.short_at = Some(now);
    }

    pub(super) fn record_rejection(&mut self, now: Micros) {
        (self.log_boost, self.short_at) = (self.log_boost.min(0.0), Some(now));
    }

    /// A report says what is left of the limit, which it may have lowered.
    pub(super) fn observe(&mut self, left: f64, lowered: bool, latency_objective: Micros, now: Micros) {
        self.remaining += (left - self.remaining) / 8.0;
        let objective = latency_objective.max(1) as f64;
        let seen = now.saturating_sub(self.last_report.at).min(latency_objective / 2) as f64 / objective;
        let much = ((left - AMPLE_REMAINING) / (1.0 - AMPLE_REMAINING)).max(0.0);
        let most = (MAX_SHARE / NORMAL_SHARE).ln();
        self.log_boost = (self.log_boost + SHARE_GROWTH * seen * much).min(most);
        if left < EXHAUSTED_BELOW || lowered {
            self.record_shortage(now);
        }
        (self.last_report, self.restored) = (RemainingCapacity { share: left, at: now }, false);
        if left < UNUSED_ABOVE {
            self.used_up_at = now;
        }
    }

    /// Calls a second that are ours, with so many messages queued at a destination that may be cold; none
    /// where nothing has to be shared.
    pub(super) fn rate(&self, tick: &Tick, queued: f64, cold: bool) -> Option<f64> {
        let Tick { settings, now, latency_objective, .. } = *tick;
        if self.limit <= 0.0 || settings.senders <= SMALL_FLEET_SENDERS {
            return None;
        }
        let even = self.even_share(settings) * self.escrow.0;
        if self.restored {
            return Some(even * NORMAL_SHARE);
        }
        let age = now.saturating_sub(self.last_report.at);
        if age < latency_objective && self.last_report.share < EXHAUSTED_BELOW {
            return Some(even * SCARCE_SHARE);
        }
        let in_an_objective = even * (latency_objective.max(1) as f64 / 1e6);
        let most = self.most(tick, in_an_objective, cold);
        let needed = 2.0 * queued.max(1.0) / in_an_objective;
        Some(even * needed.clamp(NORMAL_SHARE.min(most), most))
    }

    /// Our share at most, in even shares, of which each allows so many calls in a latency objective's time.
    fn most(&self, tick: &Tick, in_an_objective: f64, cold: bool) -> f64 {
        let Tick { settings, now, latency_objective, .. } = *tick;
        let age = now.saturating_sub(self.last_report.at);
        let fade = (-(age as f64) / latency_objective as f64).exp();
        let boosted = NORMAL_SHARE * (self.log_boost * fade).exp();
        let calm = now.saturating_sub(self.short_at.unwrap_or(0));
        if cold {
            return boosted.min(NORMAL_SHARE);
        }
        if self.short_at.is_some() && calm < latency_objective {
            return boosted;
        }
        let any = (CALLS_IN_AN_OBJECTIVE / in_an_objective).clamp(NORMAL_SHARE, MAX_SHARE).max(boosted);
        let long_calm = self.short_at.is_none() || calm > CALM_OBJECTIVES * latency_objective;
        let plenty = self.last_report.share > AMPLE_REMAINING || self.last_report.at == 0;
        if long_calm && plenty { any.max(settings.senders as f64 / 4.0) } else { any }
    }
}
