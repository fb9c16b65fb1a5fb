//! Encodes what is retained of one idle destination in 28 bytes.

use serde::{Deserialize, Serialize};

use crate::Micros;

#[cfg(test)]
mod tests;

/// Resolution of encoded times. The end of a Retry-After is rounded up, other times are rounded down.
const TIME_UNIT: Micros = 100_000;
/// Encoded times count from this long before the table's creation; 32 bits reach ten years beyond the creation.
const HISTORY: Micros = 3 * 365 * 86_400_000_000;
/// Number of encoded rates per factor of two, which gives a resolution of 0.07%.
const RATE_STEPS: f64 = 1_000.0;
/// The code of a rate of one per second.
const UNIT_RATE: f64 = 32_768.0;

/// The worst outcome of a destination's most recent calls. Serialized by name.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Condition {
    /// The calls succeeded.
    #[default]
    #[serde(rename = "Well")]
    Healthy,
    /// The destination rejected calls because there were too many, and has accepted none since.
    #[serde(rename = "Full")]
    Rejecting,
    /// A call failed or got no response, and none has succeeded since.
    #[serde(rename = "Failed")]
    Failing,
}

/// What is retained of an idle destination.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RetainedHealth {
    /// The end of its Retry-After; 0 for none.
    pub wait_until: Micros,
    /// When an outage that may not have ended was first observed.
    pub unhealthy_since: Option<Micros>,
    /// When its last outage ended.
    pub cold_since: Option<Micros>,
    /// When a call last succeeded.
    pub last_success_at: Micros,
    /// Its reported limit, in calls per second of all senders together; 0 if none was reported.
    pub limit: f64,
    /// Successful calls per second of this sender.
    pub success_rate: f64,
    /// Calls per second at which it stopped rejecting calls; 0 if it never rejected any.
    pub send_rate: f64,
    /// The worst outcome of its most recent calls.
    pub condition: Condition,
}

/// The encoded form of [`RetainedHealth`]. A time of 0 means none. Serialized by name.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct Packed {
    #[serde(rename = "wait")]
    wait_until: u32,
    #[serde(rename = "ill")]
    unhealthy_since: u32,
    #[serde(rename = "cold")]
    cold_since: u32,
    #[serde(rename = "well")]
    last_success_at: u32,
    #[serde(rename = "slept")]
    idle_since: u32,
    limit: u16,
    #[serde(rename = "rate")]
    success_rate: u16,
    #[serde(rename = "pace")]
    send_rate: u16,
    #[serde(rename = "worst")]
    pub(crate) condition: Condition,
}

/// Encodes times relative to a base, and rates logarithmically.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct Encoding {
    base: Micros,
}

/// Encodes a rate. Rounds down, so that the decoded rate never exceeds the original.
fn encode_rate(rate: f64) -> u16 {
    if rate <= 0.0 || rate.is_nan() {
        return 0;
    }
    let code = (rate.log2() * RATE_STEPS).floor() + UNIT_RATE;
    code.clamp(1.0, u16::MAX.into()) as u16
}

fn decode_rate(code: u16) -> f64 {
    if code == 0 { 0.0 } else { ((f64::from(code) - UNIT_RATE) / RATE_STEPS).exp2() }
}

/// Returns the code of a time. It is at least 1, because 0 means none; times beyond the range get the largest code.
fn saturating_code(units: u64) -> u32 {
    u32::try_from(units).unwrap_or(u32::MAX).max(1)
}

impl Encoding {
    /// Returns the encoding for a table that is created now.
    pub(crate) fn new(now: Micros) -> Self {
        Self { base: now.saturating_sub(HISTORY) }
    }

    fn round_down(self, at: Micros) -> u32 {
        saturating_code(at.saturating_sub(self.base) / TIME_UNIT)
    }

    fn round_up(self, at: Micros) -> u32 {
        saturating_code(at.saturating_sub(self.base).div_ceil(TIME_UNIT))
    }

    fn decode_time(self, code: u32) -> Micros {
        self.base + Micros::from(code) * TIME_UNIT
    }

    /// Encodes the health of a destination that becomes idle now. A Retry-After that has ended is dropped.
    pub(crate) fn pack(self, health: &RetainedHealth, now: Micros) -> Packed {
        let retry_after_active = health.wait_until > now;
        Packed {
            wait_until: if retry_after_active { self.round_up(health.wait_until) } else { 0 },
            unhealthy_since: health.unhealthy_since.map_or(0, |at| self.round_down(at)),
            cold_since: health.cold_since.map_or(0, |at| self.round_down(at)),
            last_success_at: self.round_down(health.last_success_at),
            idle_since: self.round_down(now),
            limit: encode_rate(health.limit),
            success_rate: encode_rate(health.success_rate),
            send_rate: encode_rate(health.send_rate),
            condition: health.condition,
        }
    }

    /// Decodes an entry.
    pub(crate) fn unpack(self, packed: &Packed) -> RetainedHealth {
        let time = |code: u32| (code > 0).then(|| self.decode_time(code));
        RetainedHealth {
            wait_until: self.wait_until(packed),
            unhealthy_since: time(packed.unhealthy_since),
            cold_since: time(packed.cold_since),
            last_success_at: self.decode_time(packed.last_success_at),
            limit: decode_rate(packed.limit),
            success_rate: decode_rate(packed.success_rate),
            send_rate: decode_rate(packed.send_rate),
            condition: packed.condition,
        }
    }

    /// Returns the end of an entry's Retry-After; 0 for none.
    pub(crate) fn wait_until(self, packed: &Packed) -> Micros {
        if packed.wait_until > 0 { self.decode_time(packed.wait_until) } else { 0 }
    }

    /// Returns when an entry's destination became idle.
    pub(crate) fn idle_since(self, packed: &Packed) -> Micros {
        self.decode_time(packed.idle_since)
    }
}
