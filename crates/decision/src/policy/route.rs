//! Health and pace of what a breaker guards, as this sender saw it.

use idle_destinations::{Condition, RetainedHealth};

use serde::{Deserialize, Serialize};

use crate::estimate::{AnswerTime, Pace, Served, Spent, faded};
use crate::interface::*;
use crate::routes::packed;

/// Consecutive errors or failed connections that open a breaker.
pub(crate) const MAX_FAILURES: u32 = 5;
/// Consecutive time-outs that do.
pub(crate) const MAX_TIMEOUTS: u32 = 20;
/// The longest time from the last failure to the trial.
pub(crate) const RESET_TIMEOUT: Micros = 5_000_000;
/// Calls out far longer than usual, with no answer since, that open a breaker.
pub(crate) const MAX_SILENT: u32 = 2;
/// Failures in a row, with no success, after which a success is taken for a return from an outage.
pub(crate) const OUTAGE_RUN: u32 = 2;
/// Part of the load that a cold destination bears which this sender allows itself.
pub(crate) const RAMP_MARGIN: f64 = 0.9;
/// So many senders may each make a call a span at any cold destination and keep idle connections.
pub(crate) const FEW_SENDERS: usize = 3;
/// Cut of the pace at a refusal, and its growth in an aim's time an aim after the cut.
pub(crate) const PACE_CUT: f64 = 0.85;
pub(crate) const PACE_GROWTH: f64 = 0.3;
/// Smoothed share of a limit left at which its destination has room beyond our part. Within a span the share
/// falls evenly, so that half is left on average at a destination that is used to its limit.
pub(crate) const ROOM_LEFT: f64 = 0.6;
/// Of an even part of a limit that many senders use together: ours while the last report shows that none is
/// left, so that what went beyond it is made up for; ours else; and ours at most while shortages are seen.
pub(crate) const LEAST_PART: f64 = 0.75;
pub(crate) const PART: f64 = 0.9;
pub(crate) const MOST_PART: f64 = 3.0;
/// Growth of our part in an aim's time where all is left, and the share left from which on it grows.
pub(crate) const PART_GROWTH: f64 = 0.8;
pub(crate) const MUCH_LEFT: f64 = 0.5;
/// Calls in an aim's time that are ours in any case, up to our most, while no shortage is seen.
pub(crate) const CALLS_IN_AN_AIM: f64 = 2.0;
/// So many aims without a shortage are long.
pub(crate) const CALM_AIMS: Micros = 2;
/// Where less is left, a limit was used up.
pub(crate) const NONE_LEFT: f64 = 0.1;
/// A limit of which less is told than such a part of the one before was lowered.
pub(crate) const LOWERED: f64 = 0.75;
/// Where so much of a limit is left, it is not for the limit that a call is refused.
pub(crate) const SHUT_LEFT: f64 = 0.75;
/// What each further message adds to the weight of a call at a cold destination.
pub(crate) const BUNDLE_WEIGHT: f64 = 0.25;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum State {
    #[default]
    Closed,
    Open,
    HalfOpen,
}

/// The three-state breaker: what counts, and when a trial is due.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct Breaker {
    pub(crate) state: State,
    pub(crate) failures: u32,
    pub(crate) timeouts: u32,
    pub(crate) last_failed: Micros,
    /// Time from the last failure to the trial: grows with each trial that failed.
    pub(crate) reset: Micros,
    pub(crate) trial: Option<u64>,
}

impl Breaker {
    pub(crate) fn due(&self) -> Micros {
        if self.state == State::Open { self.last_failed + self.reset } else { 0 }
    }

    /// Whether a call may go now; an open breaker whose time is up turns half-open.
    pub(crate) fn allows(&mut self, now: Micros) -> bool {
        if self.state == State::Open && now >= self.due() {
            self.state = State::HalfOpen;
        }
        self.state == State::Closed || (self.state == State::HalfOpen && self.trial.is_none())
    }

    /// Five seconds outlast most aims: the first trial comes after half an aim, then twice the time.
    pub(crate) fn open(&mut self, now: Micros, aim: Micros) {
        let again = self.state == State::HalfOpen;
        self.reset = if again { self.reset * 2 } else { aim / 2 }.min(RESET_TIMEOUT);
        self.state = State::Open;
        self.last_failed = now;
        (self.failures, self.timeouts) = (0, 0);
    }

    pub(crate) fn record(&mut self, call: u64, outcome: Outcome, now: Micros, aim: Micros) {
        let trial = self.trial.take_if(|t| *t == call).is_some();
        match outcome {
            // A late answer to a call from before the opening proves as much as a trial's.
            Outcome::Delivered => {
                (self.failures, self.timeouts) = (0, 0);
                self.state = State::Closed;
                self.trial = None;
            }
            Outcome::Error | Outcome::ConnectFailed | Outcome::Reset => self.failures += 1,
            Outcome::TimedOut => self.timeouts += 1,
            // What is spoilt on the way tells nothing of the destination.
            Outcome::Rejected(_) | Outcome::ConnectionRejected => return,
            Outcome::InvalidResponse | Outcome::Cancelled | Outcome::NotSent { .. } => return,
        }
        if outcome != Outcome::Delivered {
            self.last_failed = now;
            if trial || self.failures >= MAX_FAILURES || self.timeouts >= MAX_TIMEOUTS {
                self.open(now, aim);
            }
        }
    }
}

/// Health and pace of what a breaker guards, as this sender saw it; as new where an older process lacks it.
#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct Route {
    pub(crate) breaker: Breaker,
    /// A wait that was told, or our own pause after a refusal that told none: nothing goes before it ends.
    pub(crate) wait_until: Micros,
    /// Refusals as full since the last success.
    pub(crate) fulls: u32,
    /// Those in a row beside which no report showed a limit that was used up.
    pub(crate) unexplained: u32,
    /// Calls since the last success that found no place for their connection.
    pub(crate) crowds: u32,
    pub(crate) full_at: Micros,
    pub(crate) bad_run: u32,
    /// When a destination back from an outage first answered.
    pub(crate) cold_since: Option<Micros>,
    /// When the outage was first seen.
    pub(crate) bad_since: Micros,
    /// Calls a second of the ramp, calls until our next turn in it, and as of when.
    pub(crate) ramp: f64,
    pub(crate) turn: f64,
    pub(crate) turn_at: Micros,
    pub(crate) out: usize,
    pub(crate) sent: Spent,
    pub(crate) served: Served,
    /// Calls a second from all senders that reports or the list tell of; 0 where nothing does.
    pub(crate) told: f64,
    /// When a report last showed a limit most of which was used up.
    pub(crate) used_up_at: Micros,
    /// When it was last seen to work: a success, or a refusal at its usual limit.
    pub(crate) well_at: Micros,
    /// The same from the list alone.
    pub(crate) listed: f64,
    /// Share of the limit that reports say is left, smoothed.
    pub(crate) left: f64,
    /// How far our part of the limit was lifted, as a logarithm, and when the limit was last seen used up.
    pub(crate) lift: f64,
    pub(crate) short_at: Option<Micros>,
    /// The same as the last report showed it, and when.
    pub(crate) left_told: (f64, Micros),
    pub(crate) pace: Pace,
    /// Calls a second served of late, and when that was last counted.
    pub(crate) granted: (f64, Micros),
    /// The pace is cut once for the refusals of calls sent before the last cut.
    pub(crate) cut_at: Micros,
    pub(crate) grown_at: Micros,
    /// Times of answers, and when the last one came.
    pub(crate) usual: AnswerTime,
    pub(crate) answered_at: Micros,
    /// When the first connection since then was lost under a call.
    pub(crate) lost_at: Micros,
    pub(crate) late: bool,
    pub(crate) delivered_at: Micros,
    /// No call was answered since it woke.
    pub(crate) waking: bool,
    /// It was ill, or unknown, when it woke: until it is warm, its outage counts as begun then.
    pub(crate) woken_ill: bool,
    /// All that is known of it is an earlier process's; and its first call's moment is drawn.
    pub(crate) returned: bool,
    pub(crate) drawn: bool,
    /// Others hold evidence enough that it is ill; and our share of an even part, with what is lent and
    /// borrowed.
    pub(crate) heard_ill: bool,
    pub(crate) share: Share,
}

/// A share of an even part.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) struct Share(pub(crate) f64);

impl Default for Share {
    fn default() -> Self {
        Self(1.0)
    }
}

impl Route {
    pub(crate) fn new(now: Micros) -> Self {
        Self {
            pace: Pace::since(now),
            served: Served::since(now),
            granted: (0.0, now),
            answered_at: now,
            delivered_at: now,
            well_at: now,
            ..Self::default()
        }
    }

    /// With what is remembered of it, and what the list promises. Guards against pushing over what changed in
    /// its sleep: what was ill, or is unknown by now, gets one call first, its trial, and then the ramp; what
    /// refused gets one call at a time until it takes one. It costs those their time that are well again.
    pub(crate) fn woken(
        remembered: Option<RetainedHealth>,
        listing: (f64, Micros),
        rules: &Rules,
        now: Micros,
    ) -> Self {
        let mut route = Self { listed: listing.0, told: listing.0, ..Self::new(listing.1) };
        let Some(facts) = remembered else { return route };
        (route.wait_until, route.cold_since) = (facts.wait_until, facts.cold_since);
        (route.delivered_at, route.answered_at, route.well_at) =
            (facts.last_success_at, facts.last_success_at, facts.last_success_at);
        (route.cut_at, route.grown_at) = (now, now);
        route.told = if facts.limit > 0.0 { facts.limit } else { listing.0 };
        route.pace.rate = if facts.send_rate > 0.0 { facts.send_rate } else { f64::INFINITY };
        route.served = Served::at_rate(facts.success_rate, rules.warm_within, rules.overload_for, now);
        route.bad_since = facts.unhealthy_since.unwrap_or(0);
        if facts.condition == Condition::Failing {
            (route.breaker.state, route.breaker.reset) = (State::HalfOpen, RESET_TIMEOUT / 4);
            (route.bad_run, route.woken_ill) = (OUTAGE_RUN, true);
        }
        route
    }

    /// With what an earlier process learnt: breaker, ramp and shortage go on where they were. Guards partners
    /// against a fleet that restarts and would learn it anew at their cost. It harms where all is well again.
    pub(crate) fn learnt(learnt: &RouteSnapshot, listing: (f64, Micros), rules: &Rules, now: Micros) -> Self {
        let mut route = Self::woken(Some(packed(learnt)), listing, rules, now);
        (route.returned, route.short_at) = (true, learnt.shortage_at);
        // Limits are lowered while a process is down; the list promises what holds in any case.
        route.told = if listing.0 > 0.0 { route.told.min(listing.0) } else { route.told };
        if let Some((due, reset)) = learnt.trial.filter(|trial| trial.0 > now) {
            route.breaker.state = State::Open;
            (route.breaker.reset, route.breaker.last_failed) = (reset.min(due), due - reset.min(due));
        }
        route.bad_run = route.bad_run.max(learnt.failures.min(1));
        if learnt.recent_calls.0 > 0.0 {
            route.sent.push(learnt.recent_calls.1.min(now), learnt.recent_calls.0);
        }
        route.usual = learnt.latency.map(AnswerTime::known).unwrap_or_default();
        route
    }

    /// Guards a limit against many senders that come back together: the first call of each goes at a moment
    /// that is drawn, so that together they keep to it. It costs that time where few come back.
    pub(crate) fn come_back_apart(&mut self, luck: f64) {
        if self.returned && !std::mem::replace(&mut self.drawn, true) {
            self.pace.credit = self.pace.credit.min(luck);
        }
    }

    pub(crate) fn failing(&self) -> bool {
        self.bad_run > 0 || self.late || self.breaker.state != State::Closed
    }

    /// Whether it is remembered as ill when it falls asleep.
    pub(crate) fn ill(&self, rules: &Rules, now: Micros) -> bool {
        self.failing() || self.down(rules, now) || self.lost_at > self.delivered_at
    }

    /// Whether what was seen since the last success looks like an outage. A shut destination shows as
    /// full without any success for longer than a limit's span; its return is as cold as any.
    pub(crate) fn down(&self, rules: &Rules, now: Micros) -> bool {
        self.bad_run >= self.outage_run(rules, now)
            || self.breaker.state != State::Closed
            || (self.unexplained >= MAX_FAILURES && now >= self.bad_since + rules.overload_for)
    }

    /// Failures in a row that look like an outage. Where it is cold already, one is enough: at half-failing
    /// destinations successes come between, and the warm-up counts from the end of the outage.
    pub(crate) fn outage_run(&self, rules: &Rules, now: Micros) -> u32 {
        let cold = self.cold_since.is_some_and(|since| now < since + rules.warm_within);
        if cold { 1 } else { OUTAGE_RUN }
    }

    /// A sender that sends little sees no run: one failure, or refusal that nothing explains, with the
    /// destination not seen to work for an overload's span holds it back until the next success.
    pub(crate) fn suspect(&self, rules: &Rules, now: Micros) -> bool {
        let lost = self.lost_at > self.delivered_at;
        (lost || self.bad_run + self.unexplained > 0 || self.heard_ill)
            && now >= self.well_at + rules.overload_for
    }

    /// Guards against pushing over a returning destination: the share of its capacity to count on,
    /// if it may be cold. It may have come back unseen while we still count failures.
    pub(crate) fn cold_share(&self, rules: &Rules, now: Micros) -> Option<f64> {
        if self.down(rules, now) || self.suspect(rules, now) {
            return Some(rules.cold_share);
        }
        let warm = now.saturating_sub(self.cold_since?) as f64 / rules.warm_within.max(1) as f64;
        (warm < 1.0).then_some(rules.cold_share + (1.0 - rules.cold_share) * warm)
    }

    /// Calls a second that were served here while all was well.
    pub(crate) fn usual_rate(&self, rules: &Rules) -> f64 {
        self.served.rate(rules.overload_for)
    }

    /// Whether the ramp after an outage leaves room for a further weight, with `backlog` messages held.
    /// Guards against many senders of little each: what all hold came since the outage began, so a message's
    /// part of the traffic is one over the time since. Less than a call a span goes at random times at that
    /// rate. It hurts where few senders have anything to send.
    pub(crate) fn ramp_allows(
        &mut self,
        settings: &Settings,
        now: Micros,
        weight: f64,
        backlog: f64,
        luck: f64,
    ) -> bool {
        let rules = &settings.rules;
        self.sent.keep(rules.overload_for, now);
        let since = std::mem::replace(&mut self.turn_at, now);
        let Some(share) = self.cold_share(rules, now) else {
            self.turn = 0.0;
            return true;
        };
        let part = backlog * 1e6 / (now.saturating_sub(self.bad_since)).max(1) as f64;
        let own = self.usual_rate(rules).max(self.told / settings.senders as f64).max(part);
        let seconds = rules.overload_for as f64 / 1e6;
        let least = FEW_SENDERS as f64 / (settings.senders as f64 * seconds);
        self.ramp = (rules.overload_multiple * share * own * RAMP_MARGIN).max(least);
        let spent = self.sent.sum();
        if self.ramp * seconds > 0.999 {
            return spent == 0.0 || spent + weight <= self.ramp * seconds;
        }
        if self.turn <= 0.0 {
            self.turn = 2.0 * luck;
        } else {
            self.turn -= self.ramp * (now - since) as f64 / 1e6;
        }
        self.turn <= 0.0
    }

    /// After how long without an answer a call here is silent.
    pub(crate) fn patience(&self, aim: Micros) -> Micros {
        self.usual.longest(aim)
    }

    /// Guards against a destination that takes calls and answers none, whatever the cause, long before
    /// time-outs tell: a call out past our patience, sent since it last answered. A slow one answers.
    pub(crate) fn silent(&self, sent: Micros, aim: Micros, now: Micros) -> bool {
        sent >= self.answered_at && sent + self.patience(aim) <= now
    }

    /// Guards against reports that can't be meant: the list is rough, and limits are lowered for a while,
    /// but not by more than this.
    pub(crate) fn believes(&self, limit: f64) -> bool {
        let meant = self.listed == 0.0 || (self.listed / 16.0..=self.listed * 4.0).contains(&limit);
        limit > 0.0 && meant
    }

    /// What others believe of it. The one place where hearsay counts, beside this sender's own guards, which
    /// it never loosens: an outage that others saw makes it suspect, until a call of its own goes well or
    /// theirs do, and then cold; a limit counts where it was told after what reports told here; a wait as if
    /// it had been told here. Guards partners against senders that each find out alone. It costs a trial's
    /// time where a partner is ill for others alone.
    pub(crate) fn heard(&mut self, belief: &gossip::Belief, now: Micros) {
        let ill = belief.unhealthy.is_some();
        if self.heard_ill && !ill && self.cold_since.is_none_or(|since| since < self.well_at) {
            self.cold_since = Some(now);
        }
        self.heard_ill = ill;
        self.wait_until = self.wait_until.max(belief.wait_until);
        if let Some(gossip::evidence::BelievedLimit { rate: limit, at }) = belief.limit
            && at > self.left_told.1
            && self.believes(limit.into())
            && self.limit_is(limit.into(), now)
        {
            self.is_short(now);
        }
    }

    /// A report tells of a limit, and what is left of it. One lowered, or raised again, by half or more takes
    /// the pace along. Guards a destination whose limit is lowered for a while against the pace from before,
    /// and what waits for it against the pace from then. It harms where such reports are wrong.
    pub(crate) fn told(&mut self, limit: f64, left: f64, now: Micros, aim: Micros) {
        let lowered = self.limit_is(limit, now);
        self.left += (left - self.left) / 8.0;
        let seen = now.saturating_sub(self.left_told.1).min(aim / 2) as f64 / aim.max(1) as f64;
        let much = ((left - MUCH_LEFT) / (1.0 - MUCH_LEFT)).max(0.0);
        self.lift = (self.lift + PART_GROWTH * seen * much).min((MOST_PART / PART).ln());
        if left < NONE_LEFT || lowered {
            self.is_short(now);
        }
        (self.left_told, self.returned) = ((left, now), false);
        if left < SHUT_LEFT {
            self.used_up_at = now;
        }
    }

    /// The limit is that from now on; tells whether it was lowered by much, which is a shortage.
    fn limit_is(&mut self, limit: f64, now: Micros) -> bool {
        if self.told > 0.0 && !(self.told / 2.0..=self.told * 2.0).contains(&limit) {
            self.pace.refill(now);
            self.pace.rate *= limit / self.told;
            self.granted.0 *= limit / self.told;
        }
        limit < LOWERED * std::mem::replace(&mut self.told, limit)
    }

    fn is_short(&mut self, now: Micros) {
        (self.lift, self.short_at) = (self.lift.min((LEAST_PART / PART).ln()), Some(now));
    }

    /// Calls a second that are our part of a limit that is told. Guards it against many senders that each see
    /// little of it: refused calls use it up, so that all who keep to it, or try again, together are refused
    /// for as long as they do. Beyond an even part only what has to go in time goes, as far as reports show,
    /// the fresher the more, that others leave room; without bound but a quarter of the limit where no
    /// shortage was seen for long. It costs refused calls where all have much at once after they had little.
    pub(crate) fn part(&self, settings: &Settings, now: Micros, aim: Micros, waiting: f64) -> Option<f64> {
        if self.told <= 0.0 || settings.senders <= FEW_SENDERS {
            return None;
        }
        let (even, aims) = (self.told / settings.senders as f64 * self.share.0, aim.max(1) as f64 / 1e6);
        let (left, at) = self.left_told;
        let (age, calm) = (now.saturating_sub(at), now.saturating_sub(self.short_at.unwrap_or(0)));
        if self.returned {
            return Some(even * PART);
        }
        if age < aim && left < NONE_LEFT {
            return Some(even * LEAST_PART);
        }
        let short = self.short_at.is_some() && calm < aim;
        let lifted = PART * (self.lift * (-(age as f64) / aim as f64).exp()).exp();
        let any = (CALLS_IN_AN_AIM / (even * aims)).clamp(PART, MOST_PART).max(lifted);
        let long = self.short_at.is_none() || calm > CALM_AIMS * aim;
        let most = match long && (left > MUCH_LEFT || at == 0) {
            _ if self.cold_share(&settings.rules, now).is_some() => lifted.min(PART),
            _ if short => lifted,
            true => any.max(settings.senders as f64 / 4.0),
            false => any,
        };
        Some(even * (2.0 * waiting.max(1.0) / (even * aims)).clamp(PART.min(most), most))
    }

    /// What this sender needs of a told limit, in even parts, with so many messages waiting; and whether the
    /// limit is short.
    pub(crate) fn needs(&self, settings: &Settings, now: Micros, aim: Micros, waiting: f64) -> (f64, bool) {
        let even = self.told / settings.senders as f64;
        let short = self.short_at.is_some_and(|at| now < at + CALM_AIMS * aim);
        if even > 0.0 { (2.0 * waiting * 1e6 / (even * aim.max(1) as f64), short) } else { (0.0, false) }
    }

    /// What a refusal tells of health. Guards those who send little against taking a limit for an outage and
    /// holding back for seconds: beside a refusal at a limit the report shows it used up; one that is shut
    /// goes on to report that all is left. It harms where reports are older than a limit's span.
    fn explain(&mut self, rules: &Rules, now: Micros) {
        if self.used_up_at != now {
            self.unexplained += 1;
        } else if !self.down(rules, now) {
            (self.unexplained, self.well_at) = (0, now);
        }
    }

    /// Learns the pace of a destination that refuses: what it granted of late, or our part of what it
    /// is told to take, then less with each refusal. Senders that cannot be seen use the same limit.
    pub(crate) fn slow_down(&mut self, settings: &Settings, now: Micros, aim: Micros, luck: f64) {
        self.pace.refill(now);
        // Guards against many that were refused together and would come again together.
        let spread = if settings.senders > FEW_SENDERS { 0.5 - luck } else { 0.0 };
        self.pace.credit = self.pace.credit.min(spread);
        (self.lift, self.short_at) = (self.lift.min(0.0), Some(now));
        if now < self.cut_at + aim / 8 {
            return;
        }
        self.cut_at = now;
        let granted = faded(self.granted, now, aim, 0.0).0.max(self.told / settings.senders as f64);
        // Where there are many, what is little for one is too much for all of them together.
        let (part, least) = (self.told / settings.senders as f64, 1e6 / aim.max(1) as f64);
        let least = if self.told > 0.0 { part.clamp(least, 2.0 * least) } else { 2.0 * least };
        self.pace.rate = (self.pace.rate.min(granted) * PACE_CUT).max(least);
    }

    pub(crate) fn record(
        &mut self,
        settings: &Settings,
        call: u64,
        sent: Micros,
        outcome: Outcome,
        now: Micros,
        luck: f64,
    ) {
        let aim = settings.classes.iter().map(|c| c.latency_objective).min().unwrap_or(0);
        if self.bad_run + self.fulls + self.crowds == 0
            && !(self.woken_ill && self.cold_share(&settings.rules, now).is_some())
        {
            self.bad_since = sent;
        }
        match outcome {
            Outcome::Delivered => {
                // A breaker that silence opened for less than an overload's span was no outage.
                let brief = self.bad_run < self.outage_run(&settings.rules, now)
                    && now < self.delivered_at + settings.rules.overload_for;
                if self.down(&settings.rules, now) && !brief {
                    self.cold_since = Some(now);
                }
                let well = self.cold_share(&settings.rules, now).is_none();
                self.served.note(now, settings.rules.warm_within, well);
                (self.delivered_at, self.well_at) = (now, now);
                (self.late, self.returned) = (false, false);
                self.granted = faded(self.granted, now, aim, 1.0);
                // First what the old pace allowed. The longer without a refusal, the faster it grows.
                self.pace.refill(now);
                let calm = now.saturating_sub(self.cut_at) as f64 / aim.max(1) as f64;
                let step = now.saturating_sub(self.grown_at.max(self.cut_at)) as f64 / aim.max(1) as f64;
                // Beyond our part of a limit that is told, little is to be gained,
                // unless reports say that the others leave room: senders carry very different traffic.
                let room = self.told > 0.0 && self.left >= ROOM_LEFT;
                let ours = self.told > 0.0 && self.pace.rate > self.told / settings.senders as f64;
                let calm = if room { 4.0 } else { calm.min(if ours { 0.5 } else { 4.0 }) };
                self.pace.rate *= 1.0 + PACE_GROWTH * calm * step.min(1.0);
                self.grown_at = now;
                (self.bad_run, self.fulls, self.unexplained, self.crowds) = (0, 0, 0, 0);
            }
            // Refusals of calls that were out together count once.
            Outcome::Rejected(wait) if sent > self.full_at => {
                self.full_at = now;
                self.slow_down(settings, now, aim, luck);
                let pause = now + ((aim / 32) << self.fulls.min(4));
                self.wait_until = self.wait_until.max(if wait.is_none() { pause } else { 0 });
                self.fulls += 1;
                self.explain(&settings.rules, now);
            }
            // Where answers came since it was sent, the call was lost, not the destination: guards against
            // taking a lossy path, or one call that hangs, for an outage.
            Outcome::TimedOut if sent < self.answered_at => {
                self.breaker.record(call, Outcome::Cancelled, now, aim);
                self.late = true;
                return;
            }
            // The first connection lost since an answer says little of the destination: guards against taking
            // connections that are cut on the way, one by one, for an outage. Where the process ended, the
            // next call tells. It harms where an outage shows in resets alone, with answers between them.
            Outcome::Reset if self.lost_at <= self.answered_at => self.lost_at = now,
            Outcome::Error | Outcome::ConnectFailed | Outcome::Reset | Outcome::TimedOut => self.bad_run += 1,
            // It used up nothing of the limit there. Guards the pace where messages are over before they go.
            Outcome::NotSent { no_slot: false } => self.pace.credit += 1.0,
            // One table that is full is no outage; nothing but that, time and again, may be one.
            Outcome::ConnectionRejected => {
                self.pace.credit += 1.0;
                self.crowds += 1;
                let many = if self.crowds >= MAX_FAILURES { self.crowds } else { 0 };
                self.unexplained = self.unexplained.max(many);
            }
            Outcome::Rejected(_) => {}
            Outcome::InvalidResponse | Outcome::Cancelled | Outcome::NotSent { .. } => {}
        }
        self.breaker.record(call, outcome, now, aim);
    }
}
