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

impl Count {
    /// Part of the messages that were delivered within their aim.
    pub fn part_in_time(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.offered.max(1))
    }

    /// Part of the calls that were refused above the limit.
    pub fn part_refused(&self) -> f64 {
        f64::from(self.refused) / f64::from(self.calls.max(1))
    }
}

impl std::iter::Sum for Count {
    fn sum<I: Iterator<Item = Self>>(counts: I) -> Self {
        counts.fold(Self::default(), |a, b| Self {
            calls: a.calls + b.calls,
            refused: a.refused + b.refused,
            failed: a.failed + b.failed,
            delivered: a.delivered + b.delivered,
            in_time: a.in_time + b.in_time,
            offered: a.offered + b.offered,
        })
    }
}

/// How a limit is counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitModel {
    /// What is left grows evenly, up to [`Partner::depth`] seconds of the limit.
    TokenBucket,
    /// So many calls in each span of [`Partner::depth`] seconds.
    FixedWindow,
}

/// What a partner that was down bears when it is back: the share of its capacity at first, how long until it has all, the
/// multiple of what it has that it bears, and the seconds in which that is counted.
pub const SLOW_START: (f64, f64, f64, f64) = (0.18, 14.0, 2.0, 3.0);

/// A destination with one endpoint.
#[derive(Debug, Clone)]
pub struct Partner {
    /// Calls a second that it takes from all senders together.
    pub limit: f64,
    /// What its listing says of that, as a factor: the list is rough.
    pub listed: f64,
    /// How the limit is counted.
    pub limit_model: LimitModel,
    /// Seconds of the limit that may come at once, or that are counted together.
    pub depth: f64,
    /// Whether refused calls use the limit up like any other, also beyond what is left.
    pub refused_count: bool,
    /// Calls a second that it can do when it is warm.
    pub capacity: f64,
    /// Stretches of time, in seconds from the start, with the part of the limit that holds then.
    pub lowered: Vec<(f64, f64, f64)>,
    /// Stretches of time, in seconds from the start, in which it refuses connections.
    pub down: Vec<(f64, f64)>,
    /// Messages that one call carries at most.
    pub max_batch: usize,
    /// How long a call takes, in seconds.
    pub call_seconds: f64,
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
    /// Most that came while it was cold, as a part of what it bore then: over 1, it falls over.
    pub overload: f64,
    /// When calls came since it is back, in seconds from the start.
    pub cold_calls: VecDeque<f64>,
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
            limit_model: LimitModel::TokenBucket,
            depth: 0.7,
            refused_count: true,
            capacity: f64::INFINITY,
            lowered: vec![],
            down: vec![],
            max_batch: 1,
            call_seconds: 0.08,
            reports_every: 0.5,
            reports_late: 0.18,
            reports: VecDeque::new(),
            count: Count::default(),
            seconds: vec![],
            overload: 0.0,
            cold_calls: VecDeque::new(),
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

    /// Weighs a call against what the partner bears while it is cold.
    fn bear(&mut self, at: f64) {
        let (share, warm, multiple, window) = SLOW_START;
        let back =
            self.down.iter().map(|span| span.1).filter(|end| *end <= at).fold(f64::NEG_INFINITY, f64::max);
        if at >= back + warm {
            return;
        }
        self.cold_calls.push_back(at);
        while self.cold_calls.front().is_some_and(|first| *first < (at - window).max(back)) {
            self.cold_calls.pop_front();
        }
        let has = self.capacity * (share + (1.0 - share) * (at - back) / warm);
        self.overload = self.overload.max(self.cold_calls.len() as f64 / (multiple * has * window));
    }

    /// What is left of the limit once more time has passed.
    fn refill(&mut self, at: f64, limit: f64) {
        let depth = limit * self.depth;
        let gained = match self.limit_model {
            LimitModel::TokenBucket => limit * (at - self.at),
            LimitModel::FixedWindow => depth * ((at / self.depth).floor() - (self.at / self.depth).floor()),
        };
        self.tokens = (self.tokens + gained).min(depth);
        self.at = at;
    }

    /// A call arrives, at a time that is not before the last one's. Tells how it ends, and the report beside the answer: the share of the limit that is left and
    /// the limit.
    pub fn call(&mut self, now: Micros) -> (Outcome, Vec<f32>) {
        let at = now as f64 / SECOND;
        self.count(now, |count| count.calls += 1);
        if self.down.iter().any(|span| (span.0..span.1).contains(&at)) {
            self.count(now, |count| count.failed += 1);
            return (Outcome::ConnectFailed, vec![]);
        }
        self.bear(at);
        let limit = self.limit_at(at);
        let depth = limit * self.depth;
        self.refill(at, limit);
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
            self.tokens += f64::from(u8::from(!self.refused_count));
            self.count(now, |count| count.refused += 1);
            return (Outcome::Rejected(None), report);
        }
        (Outcome::Delivered, report)
    }
}
