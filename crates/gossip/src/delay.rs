//! How long messages were delayed beyond the usual, without synchronized clocks: each carries its sender's time, and the least
//! difference to the local clock stands for the path itself. What exceeds it is a delay: of the network, or because one of the
//! two processes was stopped.

use std::collections::BTreeMap;

use crate::{MemberIndex, Micros};

#[cfg(test)]
mod tests;

/// A message that was delayed by more is rejected.
pub(crate) const MAX_DELAY: Micros = 1_000_000;
/// Clocks drift apart by at most one part in so many.
const DRIFT_DIVISOR: i64 = 5_000;
const MICROS_PER_MILLI: u64 = 1_000;

#[derive(Clone, Copy, Debug)]
struct Link {
    incarnation: u32,
    /// Least difference between the clocks that a message showed, in microseconds.
    least_difference: i64,
    /// When it showed that.
    at: Micros,
}

/// The delay of one message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Delay {
    /// It is the first of its sender's process: there is nothing to compare it with.
    Unknown,
    /// It took so much longer than the fastest.
    Beyond(Micros),
    /// It took longer by more than [`MAX_DELAY`].
    Stale,
}

/// The fastest message of each peer.
#[derive(Clone, Debug, Default)]
pub(crate) struct DelayEstimator(BTreeMap<MemberIndex, Link>);

impl DelayEstimator {
    /// Records a message that was sent at `sent_ms`, milliseconds on its sender's clock, which wrap.
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
        if delay > MAX_DELAY { Delay::Stale } else { Delay::Beyond(delay) }
    }
}
