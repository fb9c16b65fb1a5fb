//! The schedule of polls of discovery. No I/O and no clock.

use std::time::Duration;

/// Delay after a broken connection or a missing response. The discovery agent runs on this machine, so that polling it is
/// cheap, and a watch continues if the agent is back within 200 ms.
const BROKEN_DELAY: Duration = Duration::from_millis(50);
/// About the time that a discovery service for all senders needs to answer the poll of one.
const SPREAD_PER_SENDER: Duration = Duration::from_millis(25);
/// Maximum spread of first polls without a valid list.
const MAX_FIRST_SPREAD: Duration = Duration::from_secs(2);
/// Maximum delay after a rejected poll. Discovery may be reachable right after it, and takes up to 2 s for an answer; a
/// change is binding 6 s after discovery could be reached, with 2 s to obey it.
const MAX_DELAY: Duration = Duration::from_millis(5_500);
/// Maximum delay after the first poll of a new address was rejected: a change is binding 4 s after the move.
const MAX_DELAY_AFTER_MOVE: Duration = Duration::from_millis(3_500);
/// The range of the first delay after an answer begins at most this late, so that senders that were rejected together
/// spread over most of [`MAX_DELAY`].
const MAX_FIRST_DELAY_START: Duration = Duration::from_secs(2);
/// The range of a further delay begins at most this late. Close to [`MAX_DELAY`], since senders that are spread already
/// need little jitter, and the fewer polls discovery has to reject, the more it can answer.
const MAX_DELAY_START: Duration = Duration::from_secs(5);

/// How a poll failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PollFailure {
    /// No connection was established, no response arrived in time, or it can't be parsed.
    Broken,
    /// The connection ended under the poll: the next one may reach another instance of discovery.
    Disconnected,
    /// Discovery rejected the poll: it gets more polls than it can answer.
    Rejected,
}

/// Spreads the polls of all senders so that they don't overload discovery. Rejecting a poll takes discovery time as well,
/// so that many senders that retry at once would never get a list. The delay after a rejected poll is proportional to the
/// number of senders, doubles with each further rejection up to a limit, and is jittered, so that senders that started
/// together don't stay synchronized. The limit keeps each list in time, however long discovery rejected polls. Costs a list
/// that arrives some seconds later when a single poll was rejected by chance.
#[derive(Debug)]
pub struct PollSchedule {
    senders: u32,
    /// Time within which a drain in the list has to be known.
    grace: Duration,
    rejected_polls: u32,
    /// Whether no poll of the present address of discovery has been answered or rejected, and it had another one before.
    moved: bool,
    rng: fastrand::Rng,
}

impl PollSchedule {
    /// Creates a schedule for one of this many senders, which have to know of drains within `grace`.
    pub fn new(senders: usize, grace: Duration, seed: u64) -> Self {
        let senders = u32::try_from(senders).unwrap_or(u32::MAX).max(1);
        Self { senders, grace, rejected_polls: 0, moved: false, rng: fastrand::Rng::with_seed(seed) }
    }

    /// Random delay before the first poll, so that senders that start together don't poll together. They spread over up to
    /// twice the time if their known list remains valid for that long. A single sender doesn't wait. Without a valid list
    /// the delay is at most half of `grace`: drains from before the start are binding from the beginning, and the other
    /// half is left for the start and the response.
    pub fn first_delay(&mut self, good_for: Duration) -> Duration {
        let spread =
            SPREAD_PER_SENDER.saturating_mul(self.senders - 1).min(MAX_FIRST_SPREAD).min(self.grace / 2);
        spread.max(good_for.min(2 * spread)).mul_f64(self.rng.f64())
    }

    /// Records that a list was received.
    pub fn answered(&mut self) {
        self.rejected_polls = 0;
        self.moved = false;
    }

    /// Records that discovery has another address. What the former one rejected says nothing of the new one.
    pub fn moved(&mut self) {
        self.rejected_polls = 0;
        self.moved = true;
    }

    /// Delay before the next poll after this failure. After a rejection it counts from when discovery decided on that.
    pub fn backoff(&mut self, failure: PollFailure) -> Duration {
        match failure {
            PollFailure::Broken | PollFailure::Disconnected => BROKEN_DELAY,
            PollFailure::Rejected => self.rejection_delay(),
        }
    }

    fn rejection_delay(&mut self) -> Duration {
        let multiple = 1u32.checked_shl(self.rejected_polls).unwrap_or(u32::MAX);
        let mean = SPREAD_PER_SENDER.saturating_mul(self.senders).max(BROKEN_DELAY).saturating_mul(multiple);
        let latest_start = if self.rejected_polls == 0 { MAX_FIRST_DELAY_START } else { MAX_DELAY_START };
        let longest = if self.moved { MAX_DELAY_AFTER_MOVE } else { MAX_DELAY };
        let shortest = (mean / 2).min(latest_start);
        let longest = mean.saturating_add(mean / 2).min(longest);
        self.rejected_polls = self.rejected_polls.saturating_add(1);
        self.moved = false;
        shortest + (longest - shortest).mul_f64(self.rng.f64())
    }
}

#[cfg(test)]
mod tests;
