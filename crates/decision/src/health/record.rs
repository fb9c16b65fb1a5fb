//! Serialized form of a route's health. It is part of the state that a process hands over to its successor,
//! which finds the fields by name. The names and their order are therefore a format: they stay as they are,
//! whatever the fields in memory are called.

use serde::{Deserialize, Serialize};

use super::RouteHealth;
use super::circuit_breaker::CircuitBreaker;
use super::outage_detector::OutageDetector;
use super::quota_share::QuotaShare;
use super::rate_limiter::RateLimiter;
use super::slow_start::SlowStart;
use crate::estimate::{AnswerLatency, DecayingRate, SentWindow, SuccessRate, TokenBucket};
use crate::interface::Micros;

/// All fields of [`RouteHealth`]; a field that an older process did not write gets the value of a new route.
/// The fields are documented at the types that own them.
#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub(super) struct RouteHealthRecord {
    pub breaker: CircuitBreaker,
    pub wait_until: Micros,
    pub fulls: u32,
    pub unexplained: u32,
    pub crowds: u32,
    pub full_at: Micros,
    pub bad_run: u32,
    pub cold_since: Option<Micros>,
    pub bad_since: Micros,
    pub ramp: f64,
    pub turn: f64,
    pub turn_at: Micros,
    pub out: usize,
    pub sent: SentWindow,
    pub served: SuccessRate,
    pub told: f64,
    pub used_up_at: Micros,
    pub well_at: Micros,
    pub listed: f64,
    pub left: f64,
    pub lift: f64,
    pub short_at: Option<Micros>,
    pub left_told: RemainingCapacity,
    pub pace: TokenBucket,
    pub granted: DecayingRate,
    pub cut_at: Micros,
    pub grown_at: Micros,
    pub usual: AnswerLatency,
    pub answered_at: Micros,
    pub lost_at: Micros,
    pub late: bool,
    pub delivered_at: Micros,
    pub waking: bool,
    pub woken_ill: bool,
    pub returned: bool,
    pub drawn: bool,
    pub heard_ill: bool,
    pub share: EscrowShare,
}

/// Part of an even share that this sender has, including quota transferred between senders; 1 without
/// transfers.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(super) struct EscrowShare(pub f64);

impl Default for EscrowShare {
    fn default() -> Self {
        Self(1.0)
    }
}

/// Share of a limit that a report showed as remaining, and when it was received; stored as a pair.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
#[serde(from = "(f64, Micros)", into = "(f64, Micros)")]
pub(super) struct RemainingCapacity {
    /// Between 0 and 1.
    #[serde(rename = "left")]
    pub share: f64,
    /// When the report was received.
    pub at: Micros,
}

impl From<(f64, Micros)> for RemainingCapacity {
    fn from((left, at): (f64, Micros)) -> Self {
        Self { share: left, at }
    }
}

impl From<RemainingCapacity> for (f64, Micros) {
    fn from(RemainingCapacity { share: left, at }: RemainingCapacity) -> Self {
        (left, at)
    }
}

impl From<RouteHealthRecord> for RouteHealth {
    fn from(record: RouteHealthRecord) -> Self {
        Self {
            outage: OutageDetector::load(&record),
            slow_start: SlowStart::load(&record),
            limiter: RateLimiter::load(&record),
            quota: QuotaShare::load(&record),
            wait_until: record.wait_until,
            in_flight: record.out,
            activating: record.waking,
            breaker: record.breaker,
        }
    }
}

impl From<&RouteHealth> for RouteHealthRecord {
    fn from(health: &RouteHealth) -> Self {
        let mut record = Self {
            breaker: health.breaker.clone(),
            wait_until: health.wait_until,
            out: health.in_flight,
            waking: health.activating,
            ..Self::default()
        };
        health.outage.store(&mut record);
        health.slow_start.store(&mut record);
        health.limiter.store(&mut record);
        health.quota.store(&mut record);
        record
    }
}

impl Serialize for RouteHealth {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        RouteHealthRecord::from(self).serialize(serializer)
    }
}
