//! What is remembered of one destination, in 28 bytes.

use serde::{Deserialize, Serialize};

use crate::Micros;

/// Times are kept in steps of this: a wait is rounded up, anything else down.
const STEP: Micros = 100_000;
/// So far before the memory's beginning times are told apart; with 32 bits for a time, ten years lie after it.
const BEFORE: Micros = 3 * 365 * 86_400_000_000;
/// Steps of the logarithm in which rates are kept: 0.07% each.
const RATE_STEPS: f64 = 1_000.0;
/// The code of a rate of one a second.
const ONE: f64 = 32_768.0;

/// The worst that a destination's last calls came to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Condition {
    /// Nothing bad.
    #[default]
    #[serde(rename = "Well")]
    Healthy,
    /// It refused calls as too many, and has taken none since.
    #[serde(rename = "Full")]
    Rejecting,
    /// It failed or kept silent, and no call has gone well since.
    #[serde(rename = "Failed")]
    Failing,
}

/// What is remembered of a destination that sleeps.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RetainedHealth {
    /// Nothing may go there before; 0 for no wait.
    pub wait_until: Micros,
    /// When the outage was first seen that may not be over.
    pub unhealthy_since: Option<Micros>,
    /// When it came back from an outage.
    pub cold_since: Option<Micros>,
    /// When a call last went well.
    pub last_success_at: Micros,
    /// Calls a second that it takes from all senders, as it told; 0 where it told nothing.
    pub limit: f64,
    /// Calls a second that went well from here.
    pub success_rate: f64,
    /// Calls a second at which it refused no more; 0 where it never refused.
    pub send_rate: f64,
    /// The worst that its last calls came to.
    pub condition: Condition,
}

/// The same, packed.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct Packed {
    wait: u32,
    ill: u32,
    cold: u32,
    well: u32,
    /// When it fell asleep.
    slept: u32,
    limit: u16,
    rate: u16,
    pace: u16,
    pub worst: Condition,
}

/// Packs and unpacks times from one beginning on.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct Scale {
    base: Micros,
}

/// Rounded down, so that what comes back is never more than what went in.
fn pack_rate(rate: f64) -> u16 {
    if rate > 0.0 { ((rate.log2() * RATE_STEPS).floor() + ONE).clamp(1.0, 65_535.0) as u16 } else { 0 }
}

fn rate(code: u16) -> f64 {
    if code == 0 { 0.0 } else { ((f64::from(code) - ONE) / RATE_STEPS).exp2() }
}

impl Scale {
    pub fn new(now: Micros) -> Self {
        Self { base: now.saturating_sub(BEFORE) }
    }

    fn down(self, at: Micros) -> u32 {
        u32::try_from(at.saturating_sub(self.base) / STEP).unwrap_or(u32::MAX).max(1)
    }

    fn up(self, at: Micros) -> u32 {
        u32::try_from(at.saturating_sub(self.base).div_ceil(STEP)).unwrap_or(u32::MAX).max(1)
    }

    fn time(self, code: u32) -> Micros {
        self.base + Micros::from(code) * STEP
    }

    /// Packs; a wait that is over by then is none.
    pub fn pack(self, facts: &RetainedHealth, now: Micros) -> Packed {
        Packed {
            wait: if facts.wait_until > now { self.up(facts.wait_until) } else { 0 },
            ill: facts.unhealthy_since.map_or(0, |at| self.down(at)),
            cold: facts.cold_since.map_or(0, |at| self.down(at)),
            well: self.down(facts.last_success_at),
            slept: self.down(now),
            limit: pack_rate(facts.limit),
            rate: pack_rate(facts.success_rate),
            pace: pack_rate(facts.send_rate),
            worst: facts.condition,
        }
    }

    pub fn unpack(self, packed: &Packed) -> RetainedHealth {
        let time = |code: u32| (code > 0).then(|| self.time(code));
        RetainedHealth {
            wait_until: self.wait(packed),
            unhealthy_since: time(packed.ill),
            cold_since: time(packed.cold),
            last_success_at: self.time(packed.well),
            limit: rate(packed.limit),
            success_rate: rate(packed.rate),
            send_rate: rate(packed.pace),
            condition: packed.worst,
        }
    }

    pub fn wait(self, packed: &Packed) -> Micros {
        if packed.wait > 0 { self.time(packed.wait) } else { 0 }
    }

    pub fn slept(self, packed: &Packed) -> Micros {
        self.time(packed.slept)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn one_takes_28_bytes() {
        assert_eq!(size_of::<Packed>(), 28);
    }

    #[test]
    fn a_wait_is_never_shortened_and_a_rate_never_raised() {
        let mut rng = fastrand::Rng::with_seed(3);
        for _ in 0..10_000 {
            let base = rng.u64(..2_000_000_000_000_000);
            let scale = Scale::new(base);
            let now = base + rng.u64(..100_000_000_000_000);
            let figure = rng.f64() * 10f64.powi(rng.i32(-6..6));
            let facts = RetainedHealth {
                wait_until: now + rng.u64(1..100_000_000_000),
                unhealthy_since: rng.bool().then_some(now),
                cold_since: rng.bool().then_some(now),
                last_success_at: now,
                limit: figure,
                success_rate: figure,
                send_rate: figure,
                condition: Condition::Rejecting,
            };
            let back = scale.unpack(&scale.pack(&facts, now));
            assert!((facts.wait_until..facts.wait_until + STEP).contains(&back.wait_until));
            let ill = back.unhealthy_since.unwrap_or(now);
            assert!(
                ill <= now
                    && ill + STEP > now
                    && back.unhealthy_since.is_some() == facts.unhealthy_since.is_some()
            );
            for back in [back.limit, back.success_rate, back.send_rate] {
                assert!(back <= figure * 1.000_000_1 && back > figure * 0.998, "{figure} {back}");
            }
            assert_eq!(back.condition, Condition::Rejecting);
        }
    }

    #[test]
    fn a_wait_beyond_all_times_is_kept_as_long_as_times_go() {
        let scale = Scale::new(0);
        let facts = RetainedHealth { wait_until: Micros::MAX, ..RetainedHealth::default() };
        assert!(scale.unpack(&scale.pack(&facts, 5)).wait_until > 10 * 365 * 86_400_000_000);
        let over = RetainedHealth { wait_until: 5, ..RetainedHealth::default() };
        assert_eq!(scale.unpack(&scale.pack(&over, 5)).wait_until, 0);
    }
}
