//! When discovery is asked again. No I/O and no clock.

use std::time::Duration;

/// Rest after a connection that broke or an answer that did not come: the agent is on this machine, asking it costs
/// nobody anything, and a watch goes on if it comes back within 200 ms.
const BROKEN: Duration = Duration::from_millis(50);
/// What a sender's call takes of the time of a discovery that serves all senders, about.
const SPREAD_PER_SENDER: Duration = Duration::from_millis(25);
/// The longest mean rest after a call was turned away: every sender gets a turn within that.
const LONGEST: Duration = Duration::from_secs(8);

/// How a call ended that brought no list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unanswered {
    /// The connection broke, nothing came in time, or what came can't be read.
    Broken,
    /// Discovery turned the call away: it has more of them than it can answer.
    Rejected,
}

/// Guards discovery against all its senders: each call that it turns away costs it too, so that many senders that ask
/// again at once get nothing, all of them, for good. The rest after a call that was turned away is in proportion to the
/// number of senders, twice as long with each, and by chance, so that those who begin together don't go on together. It
/// costs a list that comes some seconds later where a single call was turned away by chance.
#[derive(Debug)]
pub struct PollSchedule {
    senders: u32,
    /// What the list says of drains has to be known so soon.
    grace: Duration,
    turned_away: u32,
    rng: fastrand::Rng,
}

impl PollSchedule {
    /// For one of so many senders, which keep drains within that time.
    pub fn new(senders: usize, grace: Duration, seed: u64) -> Self {
        let senders = u32::try_from(senders).unwrap_or(u32::MAX).max(1);
        Self { senders, grace, turned_away: 0, rng: fastrand::Rng::with_seed(seed) }
    }

    /// How long before the first call: senders that are started together don't ask together, and take twice the time where
    /// the list that they have is good for so long. One alone doesn't wait. Guards drains that were told before the process
    /// began, which bind it from its first moment: half of their time is left for the start and the answer.
    pub fn first(&mut self, good_for: Duration) -> Duration {
        let apart = SPREAD_PER_SENDER.saturating_mul(self.senders - 1).min(LONGEST / 4).min(self.grace / 2);
        apart.max(good_for.min(2 * apart)).mul_f64(self.rng.f64())
    }

    /// A list came.
    pub fn answered(&mut self) {
        self.turned_away = 0;
    }

    /// How long to rest before the next call.
    pub fn backoff(&mut self, how: Unanswered) -> Duration {
        if how == Unanswered::Broken {
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
