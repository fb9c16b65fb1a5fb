//! Limits that a partner sets for all its callers together, and the check whether they kept to them. The check runs on the
//! partner's side after the test, from the times at which calls arrived and answers were written; when the partner's
//! threads were scheduled does not matter.

use std::collections::VecDeque;
use std::time::{Duration, SystemTime};

/// The limits that a partner sets for all its callers together.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PartnerLimits {
    /// `(n, wait)`: every n-th call is answered with 429 and a `Retry-After` of `wait`, which binds all callers.
    pub waits: Option<(u64, Duration)>,
    /// The number of calls accepted in two seconds; further ones get 503. Load reports in the answers announce the limit.
    pub limit: Option<u32>,
}

/// The sliding window over which calls are counted against [`PartnerLimits::limit`].
const LIMIT_WINDOW: Duration = Duration::from_secs(2);
/// A call that arrives this soon after an answer that announced a limit is no violation: the slack that the protocol allows
/// for a `Retry-After`.
const GRACE_PERIOD: Duration = Duration::from_millis(100);

/// The interval in which an answer was written. The exact time within it is not known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WriteInterval {
    /// The time right before the write.
    pub start: SystemTime,
    /// The time right after the write.
    pub end: SystemTime,
}

/// A call that arrived although a limit that its callers knew of forbade it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Violation {
    /// When the last byte of the call arrived.
    pub arrived: SystemTime,
    /// When the answer that announced the limit was written.
    pub answer: WriteInterval,
    /// The `Retry-After` that was running; `None` if the call exceeded the announced [`PartnerLimits::limit`].
    pub wait: Option<Duration>,
}

impl std::fmt::Display for Violation {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let after = |at| self.arrived.duration_since(at).unwrap_or_default().as_secs_f64() * 1e3;
        let (from, to) = (after(self.answer.start), after(self.answer.end));
        match self.wait {
            Some(wait) => {
                write!(f, "arrived {to:.1} to {from:.1} ms after a Retry-After of {wait:?} was written")
            }
            None => write!(f, "exceeded the limit, {to:.1} to {from:.1} ms after it was first reported"),
        }
    }
}

/// The calls that arrived at a partner and the limits that its answers announced.
#[derive(Debug, Clone, Default)]
pub struct CallHistory {
    limits: PartnerLimits,
    /// When the last byte of each call arrived.
    arrivals: Vec<SystemTime>,
    /// The arrivals within the latest [`LIMIT_WINDOW`], in order.
    window: VecDeque<SystemTime>,
    /// Each `Retry-After`, and when it was written.
    waits: Vec<(WriteInterval, Duration)>,
    /// When the first answer with a load report was written.
    first_report: Option<WriteInterval>,
    /// Arrivals of the calls that were rejected by [`PartnerLimits::limit`].
    over_limit: Vec<SystemTime>,
}

/// What the limits require of the answer to a call.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RequiredAnswer {
    /// A status that replaces the partner's own.
    pub status: Option<u16>,
    /// A `Retry-After`.
    pub retry_after: Option<Duration>,
    /// The load report: the unused share of the limit, and the limit in calls per second.
    pub report: Option<(f64, f64)>,
}

impl CallHistory {
    /// Returns an empty history.
    pub fn new(limits: PartnerLimits) -> Self {
        Self { limits, ..Self::default() }
    }

    /// Records a call whose last byte arrived at that time, and returns what its answer must contain.
    pub fn call_arrived(&mut self, at: SystemTime) -> RequiredAnswer {
        self.arrivals.push(at);
        let mut required = RequiredAnswer::default();
        if let Some(limit) = self.limits.limit {
            // The partner's threads may report calls in another order than that of their arrival.
            let index = self.window.partition_point(|arrival| *arrival <= at);
            self.window.insert(index, at);
            while self.window.front().is_some_and(|arrival| *arrival + LIMIT_WINDOW < at) {
                self.window.pop_front();
            }
            let left = (f64::from(limit) - self.window.len() as f64) / f64::from(limit);
            required.report = Some((left.max(0.0), f64::from(limit) / LIMIT_WINDOW.as_secs_f64()));
            if self.window.len() > limit as usize {
                self.over_limit.push(at);
                required.status = Some(503);
                return required;
            }
        }
        if let Some((every_nth, wait)) = self.limits.waits
            && (self.arrivals.len() as u64).is_multiple_of(every_nth)
        {
            (required.status, required.retry_after) = (Some(429), Some(wait));
        }
        required
    }

    /// Records that the answer with the required contents was written.
    pub fn answer_written(&mut self, required: &RequiredAnswer, written: WriteInterval) {
        if let Some(wait) = required.retry_after {
            self.waits.push((written, wait));
        }
        if required.report.is_some() && self.first_report.is_none_or(|first| written.end < first.end) {
            self.first_report = Some(written);
        }
    }

    /// Returns the number of calls.
    pub fn calls(&self) -> u64 {
        self.arrivals.len() as u64
    }

    /// Returns the number of `Retry-After`s that were written.
    pub fn waits(&self) -> u64 {
        self.waits.len() as u64
    }

    /// Returns the violations: calls that arrived over [`GRACE_PERIOD`] after a `Retry-After` was written and certainly
    /// before it ended, and calls over the limit that arrived over [`GRACE_PERIOD`] after it was first reported. Before that
    /// report no caller can know the limit.
    pub fn violations(&self) -> Vec<Violation> {
        let mut arrivals = self.arrivals.clone();
        arrivals.sort_unstable();
        let mut violations = Vec::new();
        for arrived in &arrivals {
            let broken = self.waits.iter().find(|(written, wait)| {
                *arrived > written.end + GRACE_PERIOD && *arrived < written.start + *wait
            });
            violations.extend(broken.map(|(answer, wait)| Violation {
                arrived: *arrived,
                answer: *answer,
                wait: Some(*wait),
            }));
        }
        let first_report = self.first_report.iter();
        violations.extend(first_report.flat_map(|answer| {
            let late = self.over_limit.iter().filter(|arrived| **arrived > answer.end + GRACE_PERIOD);
            late.map(|arrived| Violation { arrived: *arrived, answer: *answer, wait: None })
        }));
        violations
    }
}

#[cfg(test)]
mod tests;
