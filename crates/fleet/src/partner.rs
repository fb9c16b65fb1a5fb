//! A partner's side: what it takes, what it turns away, and what it counts.

use std::collections::VecDeque;

use decision::interface::{Micros, Outcome};

const SECOND: f64 = 1e6;

/// What happened at a partner.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Count {
    /// Calls that reached it, refused ones too.
    pub calls: u32,
    /// Calls refused above the limit.
    pub refused: u32,
    /// Calls that failed while it was down.
    pub failed: u32,
    /// Messages delivered.
    pub delivered: u32,
    /// Messages delivered within their aim.
    pub in_time: u32,
    /// Messages handed in for it.
    pub offered: u32,
}

/// A destination with one endpoint.
#[derive(Debug, Clone)]
pub struct Partner {
    /// Calls a second that it takes from all senders together.
    pub limit: f64,
    /// What its listing says of that, as a factor: the list is rough.
    pub listed: f64,
    /// Seconds of the limit that may come at once.
    pub depth: f64,
    /// Stretches of time, in seconds from the start, with the part of the limit that holds then.
    pub lowered: Vec<(f64, f64, f64)>,
    /// Stretches of time, in seconds from the start, in which it refuses connections.
    pub down: Vec<(f64, f64)>,
    /// Messages that one call carries at most.
    pub bundle: usize,
    /// How long a call takes, in seconds.
    pub takes: f64,
    /// Seconds after which a report is made anew.
    pub reports_every: f64,
    /// Seconds by which it is late.
    pub reports_late: f64,
    /// Reports of late, with the number of their span.
    pub reports: VecDeque<(u64, Vec<f32>)>,
    /// All that happened.
    pub count: Count,
    /// What happened in each second.
    pub seconds: Vec<Count>,
    /// Calls that are left of the limit; less than none where refused calls used it up.
    pub tokens: f64,
    /// When that was so, in seconds from the start.
    pub at: f64,
}

impl Default for Partner {
    fn default() -> Self {
        Self {
            limit: 60.0,
            listed: 1.0,
            depth: 0.7,
            lowered: vec![],
            down: vec![],
            bundle: 1,
            takes: 0.08,
            reports_every: 0.5,
            reports_late: 0.18,
            reports: VecDeque::new(),
            count: Count::default(),
            seconds: vec![],
            tokens: 0.0,
            at: 0.0,
        }
    }
}

impl Partner {
    /// The limit that holds then.
    fn limit_at(&self, at: f64) -> f64 {
        let lowered = self.lowered.iter().find(|span| (span.0..span.1).contains(&at));
        self.limit * lowered.map_or(1.0, |span| span.2)
    }

    /// Counts in all and in that second.
    pub(crate) fn count(&mut self, now: Micros, change: impl Fn(&mut Count)) {
        let second = (now as f64 / SECOND) as usize;
        if self.seconds.len() <= second {
            self.seconds.resize(second + 1, Count::default());
        }
        change(&mut self.seconds[second]);
        change(&mut self.count);
    }

    /// A call arrives. Tells how it ends, and the report beside the answer: the share of the limit that is left and
    /// the limit. A refused call uses the limit up like any other, also beyond what is left.
    pub(crate) fn call(&mut self, now: Micros) -> (Outcome, Vec<f32>) {
        let at = now as f64 / SECOND;
        self.count(now, |count| count.calls += 1);
        if self.down.iter().any(|span| (span.0..span.1).contains(&at)) {
            self.count(now, |count| count.failed += 1);
            return (Outcome::ConnectFailed, vec![]);
        }
        let limit = self.limit_at(at);
        let depth = limit * self.depth;
        self.tokens = (self.tokens + limit * (at - self.at)).min(depth);
        self.at = at;
        self.tokens -= 1.0;
        let fresh = vec![(self.tokens / depth).max(0.0) as f32, limit as f32];
        let span = (at / self.reports_every) as u64;
        if self.reports.back().is_none_or(|last| last.0 < span) {
            self.reports.push_back((span, fresh));
        }
        // What was so when the latest span but the report's delay began.
        let seen = ((at - self.reports_late) / self.reports_every) as u64;
        while self.reports.len() > 1 && self.reports[1].0 <= seen {
            self.reports.pop_front();
        }
        let report = self.reports.front().map(|first| first.1.clone()).unwrap_or_default();
        if self.tokens < 0.0 {
            self.count(now, |count| count.refused += 1);
            return (Outcome::Full(None), report);
        }
        (Outcome::Delivered, report)
    }
}
