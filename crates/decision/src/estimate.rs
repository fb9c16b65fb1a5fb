//! Estimators and small calculations that the decisions use. No decisions are made here.

use std::collections::VecDeque;

use fastrand::Rng;

use serde::{Deserialize, Serialize};

use crate::interface::{Class, Decay, EndpointId, MessageId, Micros, Outcome};

/// An exponentially weighted rate of events; stored as a pair.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
#[serde(from = "(f64, Micros)", into = "(f64, Micros)")]
pub(crate) struct DecayingRate {
    /// Events a second.
    pub per_second: f64,
    /// When the rate was last updated.
    pub as_of: Micros,
}

impl DecayingRate {
    /// Returns the rate after `events` further events, where earlier ones decay with a time constant of
    /// `span`.
    pub fn after(self, events: f64, now: Micros, span: Micros) -> Self {
        let span = span.max(1) as f64;
        let decay = (-(now.saturating_sub(self.as_of) as f64) / span).exp();
        Self { per_second: self.per_second * decay + events * 1e6 / span, as_of: now }
    }
}

impl From<(f64, Micros)> for DecayingRate {
    fn from((per_second, as_of): (f64, Micros)) -> Self {
        Self { per_second, as_of }
    }
}

impl From<DecayingRate> for (f64, Micros) {
    fn from(rate: DecayingRate) -> Self {
        (rate.per_second, rate.as_of)
    }
}

/// Returns a random number generator seeded with the tick, the message and the endpoint. Its draws therefore
/// do not depend on which other messages and endpoints are examined in the tick, nor on how often.
pub(crate) fn message_rng(seed: u64, now: Micros, message: MessageId, endpoint: EndpointId) -> Rng {
    let endpoint = endpoint.0.iter().fold(0u64, |sum, byte| sum << 8 | u64::from(*byte));
    let mix = |sum: u64, next: u64| (sum ^ next).wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(29);
    Rng::with_seed([now, u64::from(message.0), endpoint].into_iter().fold(seed, mix))
}

/// Mean latency of answers and its mean deviation, in microseconds.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(crate) struct AnswerLatency(Option<(f64, f64)>);

impl AnswerLatency {
    /// Records the latency of one answer; each weighs an eighth.
    pub fn record(&mut self, took: Micros) {
        let took = took as f64;
        let (mean, dev) = self.0.unwrap_or((took, took / 2.0));
        self.0 = Some((mean + (took - mean) / 8.0, dev + ((took - mean).abs() - dev) / 8.0));
    }

    /// Continues from the values of another process.
    pub fn known(mean_and_deviation: (f64, f64)) -> Self {
        Self(Some(mean_and_deviation))
    }

    /// Returns the mean and its mean deviation, if there was an answer.
    pub fn mean_and_deviation(&self) -> Option<(f64, f64)> {
        self.0
    }

    /// Returns the longest usual latency: the mean plus five mean deviations, but at least a sixteenth of the
    /// latency objective and at most all of it. Before the first answer it is half the latency objective.
    pub fn longest_usual(&self, latency_objective: Micros) -> Micros {
        let (least, most) = (latency_objective / 16, latency_objective);
        let usual = |(mean, deviation): (f64, f64)| ((mean + 5.0 * deviation) as Micros).clamp(least, most);
        self.0.map_or(latency_objective / 2, usual)
    }
}

/// Successful calls while the destination was warm and the seconds in which they were made, both decaying,
/// and the time of the last success.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(crate) struct SuccessRate {
    calls: f64,
    seconds: f64,
    at: Micros,
}

impl SuccessRate {
    pub fn since(at: Micros) -> Self {
        Self { at, ..Self::default() }
    }

    /// Returns the state after successes over `span` for which [`Self::rate`] returns `rate`, given the same
    /// `doubt`.
    pub fn at_rate(rate: f64, span: Micros, doubt: Micros, at: Micros) -> Self {
        let seconds = span as f64 / 1e6;
        Self { calls: rate * (seconds + doubt as f64 / 1e6), seconds, at }
    }

    /// Records a success; it and the time since the last one count only if the destination was warm.
    pub fn record(&mut self, now: Micros, span: Micros, warm: bool) {
        if warm {
            let span = span.max(1) as f64 / 1e6;
            let decay = (-((now - self.at) as f64) / 1e6 / span).exp();
            self.calls = self.calls * decay + 1.0;
            self.seconds = self.seconds * decay + span * (1.0 - decay);
        }
        self.at = now;
    }

    /// Returns the successful calls a second. The estimate is deliberately low: it assumes a further time of
    /// `doubt` without any success.
    pub fn rate(&self, doubt: Micros) -> f64 {
        self.calls / (self.seconds + doubt as f64 / 1e6)
    }
}

/// Weights of the messages sent within a span, with their times.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(crate) struct SentWindow(VecDeque<(Micros, f64)>);

impl SentWindow {
    /// Records a weight that is sent now.
    pub fn push(&mut self, now: Micros, weight: f64) {
        self.0.push_back((now, weight));
    }

    /// Removes what was sent longer ago than `span`.
    pub fn forget_before(&mut self, span: Micros, now: Micros) {
        while self.0.front().is_some_and(|sent| sent.0 + span <= now) {
            self.0.pop_front();
        }
    }

    /// Returns the sum of the recorded weights.
    pub fn sum(&self) -> f64 {
        self.0.iter().map(|sent| sent.1).sum()
    }

    /// Returns the weight sent within `span` before now, and when the last of it was sent.
    pub fn recent(&self, span: Micros, now: Micros) -> (f64, Micros) {
        let recent = self.0.iter().rev().take_while(|sent| sent.0 + span > now);
        let last = self.0.back().map_or(0, |sent| sent.0);
        let weight = recent.map(|sent| sent.1).sum();
        if weight > 0.0 { (weight, last) } else { (0.0, 0) }
    }
}

/// A token bucket from which each call takes a token. It is unlimited at first; a full one holds the calls of
/// a quarter of a second plus one.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct TokenBucket {
    /// Tokens added a second.
    pub rate: f64,
    /// Tokens available.
    #[serde(rename = "credit")]
    pub tokens: f64,
    #[serde(rename = "at")]
    refilled_at: Micros,
}

impl Default for TokenBucket {
    fn default() -> Self {
        Self { rate: f64::INFINITY, tokens: 1.0, refilled_at: 0 }
    }
}

impl TokenBucket {
    pub fn since(at: Micros) -> Self {
        Self { refilled_at: at, ..Self::default() }
    }

    /// Adds the tokens that have accrued since the last refill.
    pub fn refill(&mut self, now: Micros) {
        let gained = self.rate * (now - self.refilled_at) as f64 / 1e6;
        let most = 1.0 + self.rate / 4.0;
        self.tokens = if self.rate.is_finite() { (self.tokens + gained).min(most) } else { 1.0 };
        self.refilled_at = now;
    }

    /// Returns when the next call may start.
    pub fn allows_at(&self) -> Micros {
        self.refilled_at.saturating_add(((1.0 - self.tokens).max(0.0) / self.rate * 1e6).ceil() as Micros)
    }
}

/// Connection slots that an endpoint had for this sender when it rejected a connection, and when that was;
/// unlimited at first.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub(crate) struct ConnectionSlots(Option<(f64, Micros)>);

impl ConnectionSlots {
    /// Records that a connection was rejected while this sender had `open` others.
    pub fn record_rejection(&mut self, open: usize, now: Micros) {
        self.0 = Some((open as f64, now));
    }

    /// Returns when a connection may be opened while this sender has `open` others, where slots become free
    /// at `rate` a second; a single connection may be opened at any time.
    pub fn allow_at(&self, open: usize, rate: f64) -> Micros {
        let after =
            |(slots, at): (f64, Micros)| at + ((open as f64 + 1.0 - slots).max(0.0) / rate * 1e6) as Micros;
        self.0.filter(|_| open > 0).map_or(0, after)
    }
}

/// Age at which clients abandon their messages, estimated from the outcomes of calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct AbandonmentAge(pub Micros);

impl AbandonmentAge {
    /// Records the outcome of a call; `age` is the age of its message when the call started.
    pub fn note(&mut self, age: Micros, outcome: Outcome) {
        match outcome {
            Outcome::NotSent { .. } => self.0 = self.0.min(age),
            Outcome::Delivered if age > self.0 => self.0 += (age - self.0) / 8,
            _ => {}
        }
    }
}

/// Returns the part of its priority weight that a message has if it is delivered at time `at`.
pub(crate) fn remaining_weight(
    decay: Decay,
    class: &Class,
    objective_at: Micros,
    deadline: Micros,
    at: Micros,
) -> f64 {
    let late = at.saturating_sub(objective_at) as f64;
    let span = (deadline - objective_at).max(1) as f64;
    match decay {
        _ if at >= deadline => 0.0,
        Decay::Halving => 0.5f64.powf(late / class.latency_objective.max(1) as f64).max(class.late_weight),
        Decay::Linear => 1.0 - (1.0 - class.late_weight) * late / span,
    }
}
