//! What of a snapshot is believed by a process that starts. One rule, for all that is kept:
//!
//! > What was learnt may make a sender more careful than one that knows nothing, never bolder. What binds (a wait, an outage,
//! > a cold time, a limit, a shortage, what was sent to a cold partner) counts as if as little time had passed as may be.
//! > What is good news (calls that went well, and how fast) counts as if as much had passed as may be, and not at all where
//! > that is not known.
//!
//! - A **wait** counts to its end, whatever its age, version, or damage beside it.
//! - An **outage** is over when a call has gone well, not when time has passed; a trial that is due waits for its time, half
//!   an aim at most.
//! - A **limit that was told** is a bound on what the list promises, until a report or an answer tells more.
//! - A **limit that was found** by refusals doubles every [`FADE`] seconds and is forgotten at [`FORGET`] times what it was.
//! - The **rate that went well**, by which a ramp is measured, halves every [`DOUBT`].
//! - **Answer times** count for the span where they are longer than what is taken for an unknown partner's.
//! - Where something is **lost** (damage, another version, room given back), or the clocks tell nothing, each destination
//!   begins with one call, its trial; limits count as bounds alone.
//! - The **list** counts where its version is newer than the configuration's; of what is lost or too old only drains count.

use std::collections::BTreeMap;
use std::fmt;

use decision::interface::{Condition, RouteSnapshot};

use crate::replay::{ReplayFault, Snapshot};
use crate::stamp::{Elapsed, Timestamp, WallClock, elapsed};
use crate::{DestinationRecord, EndpointStatus, ListedEndpoint, Micros};

/// A limit that was found by refusals counts for twice as much after so long.
pub const FADE: Micros = 30_000_000;
/// At so many times what it was found to be it counts no more.
pub const FORGET: f64 = 64.0;
/// The rate of calls that went well counts for half after so long.
pub const DOUBT: Micros = 600_000_000;
/// How long the list may be gone by after discovery last said that there is nothing newer: well inside the time after which
/// what it has to say counts as told.
pub const LIST_GOOD_FOR: Micros = 4_000_000;

/// What the belief depends on beside the snapshot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Config {
    /// For how long refusals, answer times and the list are believed.
    pub span: Micros,
    /// The shortest aim: an unknown partner's answers are taken to need half of it at most.
    pub latency_objective: Micros,
}

/// Why something is believed, or is not.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Reason {
    /// A wait that was told runs for so long.
    WaitRuns(Micros),
    /// It was ill: one call first, and the ramp; so long until the trial.
    Unhealthy(Micros),
    /// It refused last: one call at a time until it takes one.
    Rejected,
    /// It is back from an outage for so long, and may be cold.
    Cold(Micros),
    /// A limit that was told, in calls a second: a bound on what the list promises.
    Limit(f64),
    /// A limit that was found, in calls a second, as far as it has faded.
    ObservedLimit(f64),
    /// A limit that was found counts no more.
    ObservedLimitExpired,
    /// The limit was used up so long ago.
    Shortage(Micros),
    /// Weight of what was sent while it was cold, so long ago.
    RecentCalls(f64, Micros),
    /// Its answers take long: their mean.
    Slow(Micros),
    /// Something is lost: it begins with one call.
    Incomplete,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let s = |span: &Micros| *span as f64 / 1e6;
        match self {
            Self::WaitRuns(left) => write!(f, "a wait runs for {:.1} s", s(left)),
            Self::Unhealthy(0) => f.write_str("it was ill: one call first"),
            Self::Unhealthy(left) => write!(f, "it was ill: a trial in {:.1} s", s(left)),
            Self::Rejected => f.write_str("it refused last: one call at a time"),
            Self::Cold(since) => write!(f, "back from an outage for {:.1} s", s(since)),
            Self::Limit(limit) => write!(f, "no more than {limit:.1} calls a second, as was told"),
            Self::ObservedLimit(pace) => write!(f, "a limit of {pace:.1} calls a second was found"),
            Self::ObservedLimitExpired => f.write_str("the limit that was found has faded"),
            Self::Shortage(ago) => write!(f, "its limit was used up {:.1} s ago", s(ago)),
            Self::RecentCalls(weight, ago) => write!(f, "{weight:.1} calls while cold, {:.1} s ago", s(ago)),
            Self::Slow(mean) => write!(f, "answers take {:.0} ms", *mean as f64 / 1e3),
            Self::Incomplete => f.write_str("something is lost: one call first"),
        }
    }
}

/// What is believed of a route.
#[derive(Debug, Clone, PartialEq)]
pub struct RestoredRoute {
    /// The destination.
    pub destination: u16,
    /// The endpoint, where routes are apart.
    pub endpoint: Option<String>,
    /// What the module is told, on the clock of the process that starts.
    pub snapshot: RouteSnapshot,
    /// How old it is, at most; none where that is not known.
    pub age: Option<Micros>,
    /// Why.
    pub reasons: Vec<Reason>,
}

/// What is believed of the list.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RestoredList {
    /// The version to go on from, with all of its endpoints by destination, where it is newer than the configuration's.
    pub newer: Option<(u64, BTreeMap<u16, Vec<ListedEndpoint>>)>,
    /// Names of endpoints that were told to drain or be gone: nothing new goes there until discovery says so.
    pub drains: Vec<String>,
    /// For how long discovery need not be asked.
    pub good_for: Micros,
}

/// All that is believed.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RestoredState {
    /// By destination and endpoint.
    pub routes: Vec<RestoredRoute>,
    /// Something is lost: who is not among these may be ill.
    pub incomplete: bool,
    /// The list.
    pub list: RestoredList,
    /// So far is this process's clock ahead of the writer's.
    pub shift: i64,
    /// What a person should know.
    pub warnings: Vec<String>,
}

/// The clocks of the process that starts: the one that its times are on, and the moment by the system's.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RestoreTime {
    /// On the process's clock, which shows no time before what was written last.
    pub now: Micros,
    /// By the system's clocks.
    pub stamp: Timestamp,
}

/// Moves times of the writer's clock to that of the process that starts.
struct Moved {
    now: Micros,
    written: Micros,
    passed: Elapsed,
}

impl Moved {
    /// So long ago at least, and what lies ahead, which binds.
    fn binds(&self, at: Micros) -> Micros {
        let ago = i128::from(self.written) - i128::from(at) + i128::from(self.passed.least);
        (i128::from(self.now) - ago).clamp(0, Micros::MAX.into()) as Micros
    }

    /// The same for what lies behind: it can't be later than now.
    fn past(&self, at: Micros) -> Micros {
        self.binds(at).min(self.now)
    }

    /// So long ago at most; 0 where that is not known.
    fn good_news(&self, at: Micros) -> Micros {
        match self.passed.most {
            Some(most) if at > 0 => {
                self.now.saturating_sub(self.written.saturating_sub(at)).saturating_sub(most)
            }
            _ => 0,
        }
    }

    /// How old that is at most.
    fn age(&self, at: Micros) -> Option<Micros> {
        Some(self.written.saturating_sub(at).saturating_add(self.passed.most?))
    }
}

/// How much of something is left that changes by half or by double in `span`.
fn halved(span: Micros, after: Micros) -> f64 {
    (-(after as f64) / span as f64).exp2()
}

/// What is believed of a snapshot, by a process whose configuration has the list at version `index`.
pub fn restore(snapshot: &Snapshot, start: &RestoreTime, index: u64, law: &Config) -> RestoredState {
    let mut belief = RestoredState { incomplete: snapshot.lost(), ..RestoredState::default() };
    belief.warnings.extend(snapshot.troubles.iter().map(ReplayFault::to_string));
    let passed = elapsed(&snapshot.stamp, &start.stamp);
    let unsure = matches!(passed.wall, WallClock::Impossible) || passed.most.is_none();
    if snapshot.found {
        belief.warnings.extend(clock_told(passed.wall));
    }
    let moved = Moved { now: start.now, written: snapshot.stamp.wall, passed };
    let shift = i128::from(moved.now) - i128::from(moved.written) - i128::from(passed.least);
    belief.shift = if snapshot.found { shift.clamp(i64::MIN.into(), i64::MAX.into()) as i64 } else { 0 };
    let careful = belief.incomplete || unsure;
    let mut waits = snapshot.waits.clone();
    for (destination, kept) in &snapshot.destinations {
        for (endpoint, learnt) in &kept.routes {
            let until = waits.remove(&(*destination, endpoint.clone())).unwrap_or(0);
            let learnt = RouteSnapshot { wait_until: until, ..*learnt };
            let (learnt, reasons) = route(&learnt, kept, &moved, careful, law);
            let (destination, endpoint, age) = (*destination, endpoint.clone(), moved.age(kept.at));
            belief.routes.push(RestoredRoute { destination, endpoint, snapshot: learnt, age, reasons });
        }
    }
    // Waits of which nothing else is left.
    for ((destination, endpoint), until) in waits {
        let wait_until = moved.binds(until);
        if wait_until > moved.now {
            let learnt = RouteSnapshot { wait_until, ..RouteSnapshot::default() };
            let reasons = vec![Reason::WaitRuns(wait_until - moved.now)];
            belief.routes.push(RestoredRoute { destination, endpoint, snapshot: learnt, age: None, reasons });
        }
    }
    belief.list = list(snapshot, &moved, careful, index, law);
    belief
}

fn clock_told(wall: WallClock) -> Option<String> {
    let s = |span: Micros| span as f64 / 1e6;
    match wall {
        WallClock::Steady | WallClock::Unchecked | WallClock::Restarted => None,
        WallClock::SetForward(by) => Some(format!(
            "the clock was set forward by {:.1} s since the last process: waits count by the time that passed",
            s(by)
        )),
        WallClock::SetBack(by) => Some(format!(
            "the clock was set back by {:.1} s since the last process: what it learnt makes more careful alone",
            s(by)
        )),
        WallClock::Impossible => Some(
            "the machine's clock ran backwards: what the last process learnt makes more careful alone"
                .to_owned(),
        ),
    }
}

/// What is believed of one route, and why.
fn route(
    kept: &RouteSnapshot,
    of: &DestinationRecord,
    moved: &Moved,
    careful: bool,
    law: &Config,
) -> (RouteSnapshot, Vec<Reason>) {
    let now = moved.now;
    let old = moved.age(of.at).is_none_or(|age| age > law.span);
    let mut reasons = Vec::new();
    let mut learnt = RouteSnapshot::default();
    let wait = if kept.wait_until > 0 { moved.binds(kept.wait_until) } else { 0 };
    if wait > now {
        learnt.wait_until = wait;
        reasons.push(Reason::WaitRuns(wait - now));
    }
    let ill = kept.condition == Condition::Failing || kept.trial.is_some();
    learnt.condition = match kept.condition {
        _ if ill || careful => Condition::Failing,
        Condition::Rejecting if !old => Condition::Rejecting,
        _ => Condition::Healthy,
    };
    if ill {
        learnt.unhealthy_since = kept.unhealthy_since.map(|at| moved.past(at));
        // No later than a breaker's first trial, and from there on as if it were the first: how it is by now is not known, and
        // an outage that was over while no process ran would be found out last by those who knew of it. Guards against a time
        // that can't be meant, too.
        let longest = law.latency_objective / 2;
        let due = kept.trial.map(|(due, reset)| (moved.binds(due).min(now + longest), reset.min(longest)));
        learnt.trial = due.filter(|trial| trial.0 > now);
        reasons.push(Reason::Unhealthy(learnt.trial.map_or(0, |trial| trial.0 - now)));
    } else if careful {
        reasons.push(Reason::Incomplete);
    } else if learnt.condition == Condition::Rejecting {
        reasons.push(Reason::Rejected);
    }
    learnt.failures = kept.failures;
    learnt.cold_since = kept.cold_since.map(|at| moved.past(at));
    reasons.extend(learnt.cold_since.map(|at| Reason::Cold(now - at)));
    if kept.limit > 0.0 {
        learnt.limit = kept.limit;
        reasons.push(Reason::Limit(kept.limit));
    }
    learnt.shortage_at = kept.shortage_at.map(|at| moved.past(at));
    reasons.extend(learnt.shortage_at.map(|at| Reason::Shortage(now - at)));
    if kept.send_rate > 0.0 {
        let since = moved.passed.least.saturating_add(moved.written.saturating_sub(of.at));
        let faded = if careful { 1.0 } else { 1.0 / halved(FADE, since) };
        if faded < FORGET {
            learnt.send_rate = kept.send_rate * faded;
            reasons.push(Reason::ObservedLimit(learnt.send_rate));
        } else {
            reasons.push(Reason::ObservedLimitExpired);
        }
    }
    if kept.recent_calls.0 > 0.0 {
        learnt.recent_calls = (kept.recent_calls.0, moved.past(kept.recent_calls.1));
        if learnt.cold_since.is_some() || ill {
            reasons.push(Reason::RecentCalls(learnt.recent_calls.0, now - learnt.recent_calls.1));
        }
    }
    if !careful {
        learnt.last_success_at = moved.good_news(kept.last_success_at);
        learnt.success_rate = moved.age(of.at).map_or(0.0, |age| kept.success_rate * halved(DOUBT, age));
        // Guards calls against being taken for lost sooner than an unknown partner's would be.
        let slow = |answers: &(f64, f64)| answers.0 + 5.0 * answers.1 > law.latency_objective as f64 / 2.0;
        learnt.latency = kept.latency.filter(|answers| !old && slow(answers));
        reasons.extend(learnt.latency.map(|answers| Reason::Slow(answers.0 as Micros)));
    }
    (learnt, reasons)
}

fn list(snapshot: &Snapshot, moved: &Moved, careful: bool, index: u64, law: &Config) -> RestoredList {
    let listed = |kept: &DestinationRecord| kept.listed.clone();
    let drains = || {
        let all = snapshot.destinations.values().flat_map(|kept| &kept.listed);
        all.filter(|listed| listed.status != EndpointStatus::Active)
            .map(|listed| listed.name.clone())
            .collect()
    };
    let Some((version, seen)) = snapshot.list else {
        return RestoredList { drains: drains(), ..RestoredList::default() };
    };
    let age = moved.age(seen).filter(|age| *age <= law.span);
    match age {
        Some(age) if !careful && version >= index => RestoredList {
            newer: (version > index).then(|| {
                (
                    version,
                    snapshot.destinations.iter().map(|(number, kept)| (*number, listed(kept))).collect(),
                )
            }),
            drains: Vec::new(),
            good_for: LIST_GOOD_FOR.saturating_sub(age),
        },
        // The configuration's is the newer word: drains are among its own.
        _ if version <= index && !careful => RestoredList::default(),
        _ => RestoredList { drains: drains(), ..RestoredList::default() },
    }
}
