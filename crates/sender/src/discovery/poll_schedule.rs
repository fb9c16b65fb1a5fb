//! When discovery is polled again. No I/O and no clock.

use std::time::Duration;

/// Wait after a broken connection or an answer that did not come: the agent is on this machine, polling it
/// costs nobody anything, and a watch goes on if it is back within 200 ms.
const BROKEN: Duration = Duration::from_millis(50);
/// About what one sender's poll takes of the time of a discovery that serves all senders.
const SPREAD_PER_SENDER: Duration = Duration::from_millis(25);
/// The longest mean wait after a rejected poll: every sender is served within that.
const LONGEST: Duration = Duration::from_secs(8);

/// How a poll failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PollFailure {
    /// The connection broke, nothing came in time, or the answer can't be parsed.
    Broken,
    /// Discovery rejected the poll: it has more of them than it can answer.
    Rejected,
}

/// Guards discovery against all its senders: each poll that it rejects costs it too, so that many senders
/// that retry at once are all starved for good. The wait after a rejected poll is in proportion to the number
/// of senders, doubles with each further one, and is jittered, so that those who begin together don't go on
/// together. It costs a list that comes some seconds later where a single poll was rejected by chance.
#[derive(Debug)]
pub struct PollSchedule {
    senders: u32,
    /// A drain in the list has to be known within this time.
    grace: Duration,
    turned_away: u32,
    rng: fastrand::Rng,
}

impl PollSchedule {
    /// For one of so many senders, which have to know drains within that time.
    pub fn new(senders: usize, grace: Duration, seed: u64) -> Self {
        let senders = u32::try_from(senders).unwrap_or(u32::MAX).max(1);
        Self { senders, grace, turned_away: 0, rng: fastrand::Rng::with_seed(seed) }
    }

    /// How long before the first poll: senders that start together don't poll together, and spread over twice
    /// the time where their list is good for so long. A single one doesn't wait. Guards drains from before
    /// the start, which bind the process from its first moment: half of their time is left for the start and
    /// the answer.
    pub fn first(&mut self, good_for: Duration) -> Duration {
        let apart = SPREAD_PER_SENDER.saturating_mul(self.senders - 1).min(LONGEST / 4).min(self.grace / 2);
        apart.max(good_for.min(2 * apart)).mul_f64(self.rng.f64())
    }

    /// A list came.
    pub fn answered(&mut self) {
        self.turned_away = 0;
    }

    /// How long to wait before the next poll.
    pub fn backoff(&mut self, how: PollFailure) -> Duration {
        if how == PollFailure::Broken {
            return BROKEN;
        }
        let times = 1u32.checked_shl(self.turned_away).unwrap_or(u32::MAX);
        self.turned_away = self.turned_away.saturating_add(1);
        let mean =
            SPREAD_PER_SENDER.saturating_mul(self.senders).max(BROKEN).saturating_mul(times).min(LONGEST);
        mean.mul_f64(0.5 + self.rng.f64())
    }
}

#[cfg(test)]
mod tests;
