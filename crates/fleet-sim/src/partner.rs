//! A simulated partner: which calls it accepts and rejects, and what it counts.

use std::collections::VecDeque;

use decision::interface::{Micros, Outcome};

/// Microseconds per second.
const MICROS_PER_SECOND: f64 = 1e6;

/// Counts of what happened at a partner.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Calls that arrived, including rejected and failed ones.
    pub calls: u32,
    /// Calls rejected because the limit was used up.
    pub refused: u32,
    /// Calls that failed while it was down.
    pub failed: u32,
    /// Messages delivered.
    pub delivered: u32,
    /// Messages delivered within their latency objective.
    pub on_time: u32,
    /// Messages submitted for it.
    pub submitted: u32,
}

impl Counts {
    /// Returns the share of the messages that were delivered within their latency objective.
    pub fn on_time_share(&self) -> f64 {
        f64::from(self.on_time) / f64::from(self.submitted.max(1))
    }

    /// Returns the share of the calls that were rejected because the limit was used up.
    pub fn rejected_share(&self) -> f64 {
        f64::from(self.refused) / f64::from(self.calls.max(1))
    }
}

impl std::iter::Sum for Counts {
    fn sum<I: Iterator<Item = Self>>(counts: I) -> Self {
        counts.fold(Self::default(), |a, b| Self {
            calls: a.calls + b.calls,
            refused: a.refused + b.refused,
            failed: a.failed + b.failed,
            delivered: a.delivered + b.delivered,
            on_time: a.on_time + b.on_time,
            submitted: a.submitted + b.submitted,
        })
    }
}

/// How the rate limit is counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitModel {
    /// A token bucket that refills at the limit, up to [`Partner::window_seconds`] seconds of it.
    TokenBucket,
    /// A fixed number of calls in each window of [`Partner::window_seconds`] seconds.
    FixedWindow,
}

/// The slow start of a partner after an outage: the share of its capacity that it starts with, the seconds until it has all
/// of it, the multiple of its current capacity at which it becomes overloaded, and the seconds over which its calls are
/// counted for that.
pub const SLOW_START: (f64, f64, f64, f64) = (0.18, 14.0, 2.0, 3.0);

/// A destination with one endpoint.
#[derive(Debug, Clone)]
pub struct Partner {
    /// Calls per second that it accepts from all senders together.
    pub limit: f64,
    /// The weight in the endpoint list as a multiple of the limit, since the listed weights are inexact.
    pub listed_factor: f64,
    /// How the limit is counted.
    pub limit_model: LimitModel,
    /// Seconds of the limit that a token bucket holds, or the length of a fixed window.
    pub window_seconds: f64,
    /// Whether rejected calls use up the limit like accepted ones, even below zero.
    pub rejected_calls_use_limit: bool,
    /// Calls per second that it can process after its slow start.
    pub capacity: f64,
    /// Periods with a lower limit: start and end in seconds since the start of the simulation, and the share of the limit
    /// that applies.
    pub limit_reductions: Vec<(f64, f64, f64)>,
    /// Outages: start and end in seconds since the start of the simulation. Connections fail during them.
    pub outages: Vec<(f64, f64)>,
    /// The maximum number of messages in a call.
    pub max_batch: usize,
    /// The mean time that a call takes, in seconds.
    pub call_seconds: f64,
    /// The interval in seconds at which the load report is updated.
    pub report_interval: f64,
    /// The delay in seconds until an updated load report appears in answers.
    pub report_delay: f64,
    /// The latest load reports, each with the number of its interval.
    pub reports: VecDeque<(u64, Vec<f32>)>,
    /// The counts since the start.
    pub count: Counts,
    /// The counts of each second.
    pub seconds: Vec<Counts>,
    /// The highest load during a slow start, as a share of the load at which it becomes overloaded; above 1 it was overloaded.
    pub overload: f64,
    /// Arrival times of the calls counted for the slow start, in seconds since the start of the simulation.
    pub cold_calls: VecDeque<f64>,
    /// The calls left of the limit; negative if rejected calls used it up.
    pub tokens: f64,
    /// When `tokens` was last updated, in seconds since the start of the simulation.
    pub tokens_at: f64,
}

impl Default for Partner {
    fn default() -> Self {
        Self {
            limit: 60.0,
            listed_factor: 1.0,
            limit_model: LimitModel::TokenBucket,
            window_seconds: 0.7,
            rejected_calls_use_limit: true,
            capacity: f64::INFINITY,
            limit_reductions: vec![],
            outages: vec![],
            max_batch: 1,
            call_seconds: 0.08,
            report_interval: 0.5,
            report_delay: 0.18,
            reports: VecDeque::new(),
            count: Counts::default(),
            seconds: vec![],
            overload: 0.0,
            cold_calls: VecDeque::new(),
            tokens: 0.0,
            tokens_at: 0.0,
        }
    }
}

impl Partner {
    /// Returns the limit that applies at that time.
    fn limit_at(&self, at: f64) -> f64 {
        let reduction = self.limit_reductions.iter().find(|span| (span.0..span.1).contains(&at));
        self.limit * reduction.map_or(1.0, |span| span.2)
    }

    /// Applies a change to the counts since the start and to those of the current second.
    pub(crate) fn count(&mut self, now: Micros, change: impl Fn(&mut Counts)) {
        let second = (now as f64 / MICROS_PER_SECOND) as usize;
        if self.seconds.len() <= second {
            self.seconds.resize(second + 1, Counts::default());
        }
        change(&mut self.seconds[second]);
        change(&mut self.count);
    }

    /// Records a call during a slow start in [`Partner::overload`].
    fn measure_overload(&mut self, at: f64) {
        let (initial_share, ramp, multiple, window) = SLOW_START;
        let recovered_at =
            self.outages.iter().map(|span| span.1).filter(|end| *end <= at).fold(f64::NEG_INFINITY, f64::max);
        if at >= recovered_at + ramp {
            return;
        }
        self.cold_calls.push_back(at);
        while self.cold_calls.front().is_some_and(|first| *first < (at - window).max(recovered_at)) {
            self.cold_calls.pop_front();
        }
        let capacity = self.capacity * (initial_share + (1.0 - initial_share) * (at - recovered_at) / ramp);
        self.overload = self.overload.max(self.cold_calls.len() as f64 / (multiple * capacity * window));
    }

    /// Refills the limit for the time since the last update.
    fn refill(&mut self, at: f64, limit: f64) {
        let depth = limit * self.window_seconds;
        let refilled = match self.limit_model {
            LimitModel::TokenBucket => limit * (at - self.tokens_at),
            LimitModel::FixedWindow => {
                depth * ((at / self.window_seconds).floor() - (self.tokens_at / self.window_seconds).floor())
            }
        };
        self.tokens = (self.tokens + refilled).min(depth);
        self.tokens_at = at;
    }

    /// Processes a call, which must not arrive before the previous one. Returns its outcome and the load report in the
    /// answer: the unused share of the limit, and the limit.
    pub fn call(&mut self, now: Micros) -> (Outcome, Vec<f32>) {
        let at = now as f64 / MICROS_PER_SECOND;
        self.count(now, |count| count.calls += 1);
        if self.outages.iter().any(|span| (span.0..span.1).contains(&at)) {
            self.count(now, |count| count.failed += 1);
            return (Outcome::ConnectFailed, vec![]);
        }
        self.measure_overload(at);
        let limit = self.limit_at(at);
        let depth = limit * self.window_seconds;
        self.refill(at, limit);
        self.tokens -= 1.0;
        let current = vec![(self.tokens / depth).max(0.0) as f32, limit as f32];
        let interval = (at / self.report_interval) as u64;
        if self.reports.back().is_none_or(|last| last.0 < interval) {
            self.reports.push_back((interval, current));
        }
        // Answers carry the report of the interval that was current one report delay ago.
        let visible_interval = ((at - self.report_delay) / self.report_interval) as u64;
        while self.reports.len() > 1 && self.reports[1].0 <= visible_interval {
            self.reports.pop_front();
        }
        let report = self.reports.front().map(|first| first.1.clone()).unwrap_or_default();
        if self.tokens < 0.0 {
            self.tokens += f64::from(u8::from(!self.rejected_calls_use_limit));
            self.count(now, |count| count.refused += 1);
            return (Outcome::Rejected(None), report);
        }
        (Outcome::Delivered, report)
    }
}
