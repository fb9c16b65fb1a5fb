//! What a partner asks of all its callers together, and what they made of it, judged from the partner's side when all is
//! over: by when calls came and when answers were written, not by when the partner's threads had their turn.

use std::collections::VecDeque;
use std::time::{Duration, SystemTime};

/// What a partner asks of all its callers together, and counts.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Terms {
    /// Each so many calls one is told to wait so long, of all that are out to it.
    pub waits: Option<(u64, Duration)>,
    /// So many calls in two seconds; more are turned away. Reports tell of it.
    pub limit: Option<u32>,
}

/// Calls are counted against a limit over so long.
const SPAN: Duration = Duration::from_secs(2);
/// Calls that come so soon after an answer that tells callers something are let through: the protocol's slack for waits.
const LET_THROUGH: Duration = Duration::from_millis(100);

/// An answer that told something, written between these two moments: which of them it was is not known any closer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Written {
    /// Before the write.
    pub from: SystemTime,
    /// After it.
    pub to: SystemTime,
}

/// A call that came when it might not have.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Violation {
    /// When its last byte came.
    pub arrived: SystemTime,
    /// The answer that told its sender better.
    pub answer: Written,
    /// The wait that ran; none where it was beyond the limit that the first report told of.
    pub wait: Option<Duration>,
}

impl std::fmt::Display for Violation {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let after = |at| self.arrived.duration_since(at).unwrap_or_default().as_secs_f64() * 1e3;
        let (from, to) = (after(self.answer.from), after(self.answer.to));
        match self.wait {
            Some(wait) => write!(f, "came {to:.1} to {from:.1} ms after a wait of {wait:?} was written"),
            None => write!(f, "came beyond the limit, {to:.1} to {from:.1} ms after the first report of it"),
        }
    }
}

/// All that came and was told.
#[derive(Debug, Clone, Default)]
pub struct Record {
    terms: Terms,
    /// When the last byte of each call came.
    came: Vec<SystemTime>,
    /// Those of the limit's span.
    latest: VecDeque<SystemTime>,
    waits: Vec<(Written, Duration)>,
    /// The first answer with a report of the limit.
    reported: Option<Written>,
    /// Calls that were turned away for the limit.
    beyond: Vec<SystemTime>,
}

/// What a call's answer is to say by the terms.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct AnswerTerms {
    /// A status in place of what the partner would say.
    pub status: Option<u16>,
    /// A wait.
    pub wait: Option<Duration>,
    /// The share of the limit that is left, and the limit in calls a second.
    pub report: Option<(f64, f64)>,
}

impl Record {
    /// Nothing has come yet.
    pub fn new(terms: Terms) -> Self {
        Self { terms, ..Self::default() }
    }

    /// A call's last byte came then.
    pub fn call_arrived(&mut self, at: SystemTime) -> AnswerTerms {
        self.came.push(at);
        let mut says = AnswerTerms::default();
        if let Some(limit) = self.terms.limit {
            // Threads may be heard in another order than calls came.
            let place = self.latest.partition_point(|came| *came <= at);
            self.latest.insert(place, at);
            while self.latest.front().is_some_and(|came| *came + SPAN < at) {
                self.latest.pop_front();
            }
            let left = (f64::from(limit) - self.latest.len() as f64) / f64::from(limit);
            says.report = Some((left.max(0.0), f64::from(limit) / SPAN.as_secs_f64()));
            if self.latest.len() > limit as usize {
                self.beyond.push(at);
                says.status = Some(503);
                return says;
            }
        }
        if let Some((every, wait)) = self.terms.waits
            && (self.came.len() as u64).is_multiple_of(every)
        {
            (says.status, says.wait) = (Some(429), Some(wait));
        }
        says
    }

    /// The answer that says so has been written.
    pub fn answer_written(&mut self, says: &AnswerTerms, written: Written) {
        if let Some(wait) = says.wait {
            self.waits.push((written, wait));
        }
        if says.report.is_some() && self.reported.is_none_or(|first| written.to < first.to) {
            self.reported = Some(written);
        }
    }

    /// Calls.
    pub fn calls(&self) -> u64 {
        self.came.len() as u64
    }

    /// Waits that were told.
    pub fn waits(&self) -> u64 {
        self.waits.len() as u64
    }

    /// Calls that came over a tenth of a second after a wait was written and surely before it was over; and those beyond
    /// the limit that came over a tenth of a second after the first report of it: before that no caller can know it.
    pub fn violations(&self) -> Vec<Violation> {
        let mut came = self.came.clone();
        came.sort_unstable();
        let mut breaches = Vec::new();
        for came in &came {
            let told = self
                .waits
                .iter()
                .find(|(written, wait)| *came > written.to + LET_THROUGH && *came < written.from + *wait);
            breaches.extend(told.map(|(told, wait)| Violation {
                arrived: *came,
                answer: *told,
                wait: Some(*wait),
            }));
        }
        let reported = self.reported.iter();
        breaches.extend(reported.flat_map(|told| {
            let late = self.beyond.iter().filter(|came| **came > told.to + LET_THROUGH);
            late.map(|came| Violation { arrived: *came, answer: *told, wait: None })
        }));
        breaches
    }
}

#[cfg(test)]
mod tests;
