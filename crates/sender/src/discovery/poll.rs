//! One poll of discovery: what it asks for, when a further attempt starts, and how long the answer to an attempt is
//! waited for. No I/O and no clock.
//!
//! An attempt that has no answer in time is not given up when the next one starts: discovery may be silent, so that the
//! attempt is lost, or slow, so that its answer is still to come. Whichever attempt is answered first ends the poll. If
//! each attempt were given up for the next one, an answer that takes longer than that would never be read.

use std::time::Duration;

use super::poll_schedule::{PollFailure, PollSchedule};

/// How long discovery may hold a long poll open.
const LONG_POLL: Duration = Duration::from_secs(20);
/// Time after which a request for the full list is overdue.
const LIST_OVERDUE: Duration = Duration::from_secs(1);
/// Time after the end of its hold at which a long poll is overdue. A change that was missed because discovery does not
/// respond is binding 2 s after the end of the hold, so that the failure has to be noticed earlier.
const LONG_POLL_OVERDUE: Duration = Duration::from_millis(1_500);
/// Time after which an answer that has begun is overdue: over the longest time that discovery takes for one, and leaving
/// as much for the next request before changes are binding.
const ANSWER_OVERDUE: Duration = Duration::from_secs(3);
/// How long the answer to an attempt is waited for, from the end of its hold, and how long its end once it has begun. A
/// change is binding this long after discovery had it and could be reached, so that a later answer would not be in time.
pub const ANSWER_TIMEOUT: Duration = Duration::from_secs(6);

/// What a poll asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PollRequest {
    /// The full list as it is now.
    FullList,
    /// The changes after a version, as soon as there are any: a long poll.
    Changes {
        /// The version.
        from: u64,
    },
}

impl PollRequest {
    /// Returns the request for what follows this version, or for the full list if no version is known.
    pub fn after(version: Option<u64>) -> Self {
        version.map_or(Self::FullList, |from| Self::Changes { from })
    }

    /// The path and the query of the request.
    pub fn path(self) -> String {
        match self {
            Self::FullList => "/v1/endpoints".to_owned(),
            Self::Changes { from } => {
                format!("/v1/endpoints?from={from}&hold_ms={}", LONG_POLL.as_millis())
            }
        }
    }

    /// The time from the start of an attempt after which an answer that has not begun is not waited for any more.
    pub fn answer_timeout(self) -> Duration {
        match self {
            Self::FullList => ANSWER_TIMEOUT,
            Self::Changes { .. } => LONG_POLL + ANSWER_TIMEOUT,
        }
    }

    /// The time from the start of an attempt after which a further one starts.
    fn overdue_after(self) -> Duration {
        match self {
            Self::FullList => LIST_OVERDUE,
            Self::Changes { .. } => LONG_POLL + LONG_POLL_OVERDUE,
        }
    }
}

/// The number of an attempt within its poll, from 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptNumber(u32);

/// What is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PollStep {
    /// An attempt starts.
    StartAttempt(AttemptNumber),
    /// The latest attempt is overdue. Its answer is still waited for.
    Overdue,
}

/// The state of the latest attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LatestAttempt {
    /// It waits for its answer.
    Pending {
        started_at: Duration,
        /// When the answer began, if it has.
        answer_started_at: Option<Duration>,
        /// From this time on it is overdue.
        overdue_at: Duration,
    },
    /// It failed or is overdue, or there was none yet: the next one starts at this time.
    NextAt(Duration),
}

/// The attempts of one poll. Times are counted from any fixed instant.
#[derive(Debug)]
pub struct Poll {
    request: PollRequest,
    started: u32,
    latest: LatestAttempt,
}

impl Poll {
    /// Creates a poll whose first attempt starts now.
    pub fn new(request: PollRequest, now: Duration) -> Self {
        Self { request, started: 0, latest: LatestAttempt::NextAt(now) }
    }

    /// Number of attempts that were started.
    pub fn attempts(&self) -> u32 {
        self.started
    }

    /// When the next step is due.
    pub fn due(&self) -> Duration {
        match self.latest {
            LatestAttempt::Pending { overdue_at, .. } => overdue_at,
            LatestAttempt::NextAt(at) => at,
        }
    }

    /// Returns the step that is due, if one is.
    pub fn next_step(&mut self, now: Duration, schedule: &mut PollSchedule) -> Option<PollStep> {
        if now < self.due() {
            return None;
        }
        match self.latest {
            LatestAttempt::Pending { .. } => {
                self.latest = LatestAttempt::NextAt(now + schedule.backoff(PollFailure::Broken));
                Some(PollStep::Overdue)
            }
            LatestAttempt::NextAt(_) => {
                self.started += 1;
                self.latest = LatestAttempt::Pending {
                    started_at: now,
                    answer_started_at: None,
                    overdue_at: now + self.request.overdue_after(),
                };
                Some(PollStep::StartAttempt(AttemptNumber(self.started)))
            }
        }
    }

    /// Records that the answer to an attempt has begun: it may stop in the middle, at any time of the hold.
    pub fn answer_started(&mut self, attempt: AttemptNumber, now: Duration) {
        if let LatestAttempt::Pending { answer_started_at, overdue_at, .. } = &mut self.latest
            && attempt.0 == self.started
        {
            *answer_started_at = Some(now);
            *overdue_at = (*overdue_at).min(now + ANSWER_OVERDUE);
        }
    }

    /// Records that an attempt failed. Returns whether that delays the poll: the failure of an attempt that was overdue
    /// changes nothing, since a further one follows it anyway.
    pub fn failed(
        &mut self,
        attempt: AttemptNumber,
        failure: PollFailure,
        now: Duration,
        schedule: &mut PollSchedule,
    ) -> bool {
        let LatestAttempt::Pending { started_at, answer_started_at, .. } = self.latest else { return false };
        if attempt.0 != self.started {
            return false;
        }
        let failed_at = match failure {
            PollFailure::Rejected => rejected_at(started_at, answer_started_at.unwrap_or(now)),
            PollFailure::Broken | PollFailure::Disconnected => now,
        };
        self.latest = LatestAttempt::NextAt(now.max(failed_at + schedule.backoff(failure)));
        true
    }
}

/// The earliest time at which discovery may have decided on a rejection that began to arrive at this time: it may be slow
/// to write it, and able to answer the next poll long before it has arrived. A later one ends the hold of a long poll.
fn rejected_at(started_at: Duration, arrived_at: Duration) -> Duration {
    if arrived_at <= started_at + LIST_OVERDUE { started_at } else { arrived_at }
}

#[cfg(test)]
mod tests;
