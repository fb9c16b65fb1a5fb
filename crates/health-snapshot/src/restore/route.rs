//! The rule for one route.

use decision::interface::{Condition, RouteSnapshot};

use super::time::TimeMapping;
use super::{Config, Reason};
use crate::Micros;

/// A limit observed by rejections doubles after this time.
pub const OBSERVED_LIMIT_DOUBLING: Micros = 30_000_000;
/// A limit that has grown to this many times what was observed does not count any more.
pub const MAX_OBSERVED_LIMIT_GROWTH: f64 = 64.0;
/// The rate of successful calls halves after this time.
pub const SUCCESS_RATE_HALVING: Micros = 600_000_000;
/// A response is expected within the mean latency and this many mean deviations.
const LATENCY_DEVIATIONS: f64 = 5.0;

/// What the rule depends on besides the observations.
pub(super) struct Context<'a> {
    pub(super) time: &'a TimeMapping,
    /// When the observations were written.
    pub(super) written_at: Micros,
    /// Records may be lost, or the clocks are unreliable.
    pub(super) careful: bool,
    pub(super) config: &'a Config,
}

/// Returns what is trusted of the observations, and why.
pub(super) fn restore(observed: &RouteSnapshot, context: &Context) -> (RouteSnapshot, Vec<Reason>) {
    let mut restoring =
        Restoring { observed, context, restored: RouteSnapshot::default(), reasons: Vec::new() };
    restoring.wait();
    restoring.condition();
    restoring.slow_start();
    restoring.reported_limit();
    restoring.observed_limit();
    restoring.recent_calls();
    if !context.careful {
        restoring.successes();
    }
    (restoring.restored, restoring.reasons)
}

/// One route's observations and what is trusted of them so far.
struct Restoring<'a> {
    observed: &'a RouteSnapshot,
    context: &'a Context<'a>,
    restored: RouteSnapshot,
    reasons: Vec<Reason>,
}

impl Restoring<'_> {
    fn now(&self) -> Micros {
        self.context.time.now
    }

    fn was_unhealthy(&self) -> bool {
        self.observed.condition == Condition::Failing || self.observed.trial.is_some()
    }

    /// Returns whether the observations are older than the configured span, or of unknown age.
    fn is_expired(&self) -> bool {
        let age = self.context.time.age(self.context.written_at);
        age.is_none_or(|age| age > self.context.config.span)
    }

    fn wait(&mut self) {
        if self.observed.wait_until == 0 {
            return;
        }
        let until = self.context.time.restriction(self.observed.wait_until);
        if until > self.now() {
            self.restored.wait_until = until;
            self.reasons.push(Reason::WaitRuns(until - self.now()));
        }
    }

    fn condition(&mut self) {
        let unhealthy = self.was_unhealthy();
        self.restored.condition = match self.observed.condition {
            _ if unhealthy || self.context.careful => Condition::Failing,
            Condition::Rejecting if !self.is_expired() => Condition::Rejecting,
            _ => Condition::Healthy,
        };
        if unhealthy {
            self.outage();
        } else if self.context.careful {
            self.reasons.push(Reason::Incomplete);
        } else if self.restored.condition == Condition::Rejecting {
            self.reasons.push(Reason::Rejected);
        }
        self.restored.failures = self.observed.failures;
    }

    /// Restores an outage. The trial is due no later than a breaker's first one, and the backoff continues as after that: the
    /// outage may have ended while no process was running, and a sender with a snapshot must not find out later than one
    /// without. The limit also bounds implausible times.
    fn outage(&mut self) {
        let (time, now) = (self.context.time, self.now());
        self.restored.unhealthy_since = self.observed.unhealthy_since.map(|at| time.past_restriction(at));
        let longest = self.context.config.latency_objective / 2;
        let trial = self.observed.trial.map(|(due, reset)| {
            let due = time.restriction(due).min(now + longest);
            (due, reset.min(longest))
        });
        self.restored.trial = trial.filter(|(due, _)| *due > now);
        let remaining = self.restored.trial.map_or(0, |(due, _)| due - now);
        self.reasons.push(Reason::Unhealthy(remaining));
    }

    fn slow_start(&mut self) {
        let (time, now) = (self.context.time, self.now());
        self.restored.cold_since = self.observed.cold_since.map(|at| time.past_restriction(at));
        self.reasons.extend(self.restored.cold_since.map(|at| Reason::Cold(now - at)));
    }

    fn reported_limit(&mut self) {
        let (time, now) = (self.context.time, self.now());
        if self.observed.limit > 0.0 {
            self.restored.limit = self.observed.limit;
            self.reasons.push(Reason::Limit(self.observed.limit));
        }
        self.restored.shortage_at = self.observed.shortage_at.map(|at| time.past_restriction(at));
        self.reasons.extend(self.restored.shortage_at.map(|at| Reason::Shortage(now - at)));
    }

    fn observed_limit(&mut self) {
        if self.observed.send_rate <= 0.0 || self.observed.send_rate.is_nan() {
            return;
        }
        let age = self.context.time.least_age(self.context.written_at);
        let growth = if self.context.careful { 1.0 } else { 1.0 / decay(OBSERVED_LIMIT_DOUBLING, age) };
        if growth < MAX_OBSERVED_LIMIT_GROWTH {
            self.restored.send_rate = self.observed.send_rate * growth;
            self.reasons.push(Reason::ObservedLimit(self.restored.send_rate));
        } else {
            self.reasons.push(Reason::ObservedLimitExpired);
        }
    }

    fn recent_calls(&mut self) {
        let (weight, last_at) = self.observed.recent_calls;
        if weight <= 0.0 || weight.is_nan() {
            return;
        }
        let last_at = self.context.time.past_restriction(last_at);
        self.restored.recent_calls = (weight, last_at);
        if self.restored.cold_since.is_some() || self.was_unhealthy() {
            self.reasons.push(Reason::RecentCalls(weight, self.now() - last_at));
        }
    }

    fn successes(&mut self) {
        let time = self.context.time;
        self.restored.last_success_at = time.success(self.observed.last_success_at);
        let age = time.age(self.context.written_at);
        let success_rate = self.observed.success_rate;
        self.restored.success_rate = age.map_or(0.0, |age| success_rate * decay(SUCCESS_RATE_HALVING, age));
        // A shorter latency is not restored, so that no call counts as lost sooner than one to an unknown destination.
        let assumed = self.context.config.latency_objective as f64 / 2.0;
        let is_slow = |(mean, deviation): &(f64, f64)| mean + LATENCY_DEVIATIONS * deviation > assumed;
        let is_expired = self.is_expired();
        self.restored.latency = self.observed.latency.filter(|latency| !is_expired && is_slow(latency));
        self.reasons.extend(self.restored.latency.map(|(mean, _)| Reason::Slow(mean as Micros)));
    }
}

/// Returns the share that is left after that time of a quantity that halves in each `half_life`.
fn decay(half_life: Micros, after: Micros) -> f64 {
    (-(after as f64) / half_life as f64).exp2()
}
