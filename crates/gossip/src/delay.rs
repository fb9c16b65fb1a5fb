//! Estimates how much longer than usual a message took, without synchronized clocks. Each message carries its sender's time;
//! the least difference to the local clock is attributed to the path itself. What exceeds it is a delay, caused by
//! the network or because one of the two processes was stopped.

use std::collections::BTreeMap;

use crate::{MemberIndex, Micros};

#[cfg(test)]
mod tests;

/// Messages that were delayed by more are rejected.
pub(crate) const MAX_DELAY: Micros = 1_000_000;
/// Two clocks are assumed to drift apart by at most one part in this many.
const DRIFT_DIVISOR: i64 = 5_000;
const MICROS_PER_MILLI: u64 = 1_000;

#[derive(Clone, Copy, Debug)]
struct Link {
    incarnation: u32,
    /// Least difference between the local time of receipt and the sender's time in a message, in microseconds.
    least_difference: i64,
    /// When the message with that difference was received.
    at: Micros,
}

/// The delay of one message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Delay {
    /// It is the first message of its sender's process: there is nothing to compare it with.
    Unknown,
    /// It took longer than the fastest message by this much.
    Excess(Micros),
    /// It took longer than the fastest message by more than [`MAX_DELAY`].
    Stale,
}

/// Estimates delays from the fastest message of each peer.
#[derive(Clone, Debug, Default)]
pub(crate) struct DelayEstimator(BTreeMap<MemberIndex, Link>);

impl DelayEstimator {
    /// Records a message and returns its delay. `sent_ms` is when it was sent, in wrapping milliseconds of its sender's clock.
    pub(crate) fn record(&mut self, from: MemberIndex, incarnation: u32, sent_ms: u32, now: Micros) -> Delay {
        let now_ms = (now / MICROS_PER_MILLI) as u32;
        let difference = i64::from(now_ms.wrapping_sub(sent_ms) as i32) * MICROS_PER_MILLI as i64;
        let fastest = Link { incarnation, least_difference: difference, at: now };
        let link = self.0.get(&from).copied().filter(|link| link.incarnation == incarnation);
        let Some(link) = link else {
            self.0.insert(from, fastest);
            return Delay::Unknown;
        };
        let drift = now.saturating_sub(link.at) as i64 / DRIFT_DIVISOR;
        let expected = link.least_difference + drift;
        if difference < expected {
            self.0.insert(from, fastest);
        }
        let delay = (difference - expected).max(0) as Micros;
        if delay > MAX_DELAY { Delay::Stale } else { Delay::Excess(delay) }
    }
}
