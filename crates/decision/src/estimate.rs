//! Small sums that the decisions are made from. Nothing is decided here.

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
    /// When it was last counted.
    pub as_of: Micros,
}

impl DecayingRate {
    /// What it is after further events, where those before decay with a time constant of `span`.
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

/// Numbers that look random, and are the same however often they are asked for in a tick: what is looked at in it, and
/// how often, makes no difference to what is drawn.
pub(crate) fn message_rng(seed: u64, now: Micros, message: MessageId, endpoint: EndpointId) -> Rng {
    let endpoint = endpoint.0.iter().fold(0u64, |sum, byte| sum << 8 | u64::from(*byte));
    let mix = |sum: u64, next: u64| (sum ^ next).wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(29);
    Rng::with_seed([now, u64::from(message.0), endpoint].into_iter().fold(seed, mix))
}

/// Mean time of an answer and its mean deviation.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(crate) struct AnswerLatency(Option<(f64, f64)>);

impl AnswerLatency {
    pub fn record(&mut self, took: Micros) {
        let took = took as f64;
        let (mean, dev) = self.0.unwrap_or((took, took / 2.0));
        self.0 = Some((mean + (took - mean) / 8.0, dev + ((took - mean).abs() - dev) / 8.0));
    }

    /// As another process knew it.
    pub fn known(mean_and_deviation: (f64, f64)) -> Self {
        Self(Some(mean_and_deviation))
    }

    /// The mean and its mean deviation, if there was an answer.
    pub fn mean_and_deviation(&self) -> Option<(f64, f64)> {
        self.0
    }

    /// The longest that is usual, between parts of a latency objective.
    pub fn longest(&self, latency_objective: Micros) -> Micros {
        let (least, most) = (latency_objective / 16, latency_objective);
        let usual = |(mean, deviation): (f64, f64)| ((mean + 5.0 * deviation) as Micros).clamp(least, most);
        self.0.map_or(latency_objective / 2, usual)
    }
}

/// Calls that succeeded while the destination was warm, over the seconds that took, both decaying; and when last counted.
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

    /// What it is after that span at a rate that is reckoned with that doubt.
    pub fn at_rate(rate: f64, span: Micros, doubt: Micros, at: Micros) -> Self {
        let seconds = span as f64 / 1e6;
        Self { calls: rate * (seconds + doubt as f64 / 1e6), seconds, at }
    }

    /// One more succeeded; the time before counts where the destination was warm.
    pub fn record(&mut self, now: Micros, span: Micros, warm: bool) {
        if warm {
            let span = span.max(1) as f64 / 1e6;
            let fade = (-((now - self.at) as f64) / 1e6 / span).exp();
            self.calls = self.calls * fade + 1.0;
            self.seconds = self.seconds * fade + span * (1.0 - fade);
        }
        self.at = now;
    }

    /// Calls a second, as if none had succeeded for `doubt` more.
    pub fn rate(&self, doubt: Micros) -> f64 {
        self.calls / (self.seconds + doubt as f64 / 1e6)
    }
}

/// Weights of what was sent within a span.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(crate) struct SentWindow(VecDeque<(Micros, f64)>);

impl SentWindow {
    pub fn push(&mut self, now: Micros, weight: f64) {
        self.0.push_back((now, weight));
    }

    /// Forgets what is older than a span.
    pub fn forget_before(&mut self, span: Micros, now: Micros) {
        while self.0.front().is_some_and(|sent| sent.0 + span <= now) {
            self.0.pop_front();
        }
    }

    pub fn sum(&self) -> f64 {
        self.0.iter().map(|sent| sent.1).sum()
    }

    /// The weight of what was sent within a span before now, and when the last of it was.
    pub fn recent(&self, span: Micros, now: Micros) -> (f64, Micros) {
        let late = self.0.iter().rev().take_while(|sent| sent.0 + span > now);
        let last = self.0.back().map_or(0, |sent| sent.0);
        let weight = late.map(|sent| sent.1).sum();
        if weight > 0.0 { (weight, last) } else { (0.0, 0) }
    }
}

/// A token bucket: a call takes a token. Without bound at first; a full one has a quarter of a second's calls and one.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct TokenBucket {
    /// Tokens a second.
    pub rate: f64,
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

    pub fn refill(&mut self, now: Micros) {
        let gained = self.rate * (now - self.refilled_at) as f64 / 1e6;
        let most = 1.0 + self.rate / 4.0;
        self.tokens = if self.rate.is_finite() { (self.tokens + gained).min(most) } else { 1.0 };
        self.refilled_at = now;
    }

    /// When it allows a call.
    pub fn allows_at(&self) -> Micros {
        self.refilled_at.saturating_add(((1.0 - self.tokens).max(0.0) / self.rate * 1e6).ceil() as Micros)
    }
}

/// Connections that an endpoint had places for when it had no more, and when that was; without bound at first.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub(crate) struct ConnectionSlots(Option<(f64, Micros)>);

impl ConnectionSlots {
    /// There was no place beside so many.
    pub fn record_rejection(&mut self, beside: usize, now: Micros) {
        self.0 = Some((beside as f64, now));
    }

    /// When there may be one beside so many, where places come free at that rate; one alone may be had at any time.
    pub fn allow_at(&self, beside: usize, rate: f64) -> Micros {
        let after =
            |(had, at): (f64, Micros)| at + ((beside as f64 + 1.0 - had).max(0.0) / rate * 1e6) as Micros;
        self.0.filter(|_| beside > 0).map_or(0, after)
    }
}

/// The age from which on messages are given up by those who handed them in, as far as calls told.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct AbandonmentAge(pub Micros);

impl AbandonmentAge {
    /// How the call of a message ended that had that age when it was sent.
    pub fn note(&mut self, age: Micros, outcome: Outcome) {
        match outcome {
            Outcome::NotSent { .. } => self.0 = self.0.min(age),
            Outcome::Delivered if age > self.0 => self.0 += (age - self.0) / 8,
            _ => {}
        }
    }
}

/// Part of its worth that is left to a message at that time.
pub(crate) fn remaining_weight(
    decay: Decay,
    class: &Class,
    aim: Micros,
    deadline: Micros,
    at: Micros,
) -> f64 {
    let late = at.saturating_sub(aim) as f64;
    let span = (deadline - aim).max(1) as f64;
    match decay {
        _ if at >= deadline => 0.0,
        Decay::Halving => 0.5f64.powf(late / class.latency_objective.max(1) as f64).max(class.late_weight),
        Decay::Linear => 1.0 - (1.0 - class.late_weight) * late / span,
    }
}
