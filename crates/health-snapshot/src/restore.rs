//! What of a snapshot a restarted process trusts. One rule, for all of it:
//!
//! > What was observed may make a sender more careful than one without a snapshot, never bolder. Restrictions (a Retry-After, an
//! > outage, a slow start, a limit, a shortage, calls to a destination in slow start) count as if as little time had passed as
//! > possible. Successes (calls that succeeded, and their latency) count as if as much had passed as possible, and not at all
//! > where that is unknown.
//!
//! - A **Retry-After** counts until it ends, whatever its age, its version, or damage to the file.
//! - An **outage** ends when a call has succeeded, not when time has passed; a trial waits until it is due, for half a latency
//!   objective at most.
//! - A **reported limit** bounds what the list implies, until a report or a response states another.
//! - A **limit observed** by rejections doubles every [`OBSERVED_LIMIT_DOUBLING`] and is dropped at
//!   [`MAX_OBSERVED_LIMIT_GROWTH`] times what it was.
//! - The **success rate**, by which a slow start is measured, halves every [`SUCCESS_RATE_HALVING`].
//! - **Latency** counts for the configured span where it is longer than what an unknown destination's is assumed to be.
//! - Where records may be **lost** (damage, another version, released space), or the clocks are unreliable, each destination
//!   starts with one call, its trial; limits apply as upper bounds alone.
//! - The **list** counts if its version is newer than the configuration's; of one that may be incomplete or is too old only
//!   the draining endpoints count.

mod list;
mod reason;
mod route;
mod time;

use std::collections::BTreeMap;

use decision::interface::RouteSnapshot;

use crate::replay::{ReplayFault, Snapshot};
use crate::timestamp::{Timestamp, WallClock, elapsed};
use crate::{ListedEndpoint, Micros, RouteKey};

pub use list::LIST_TRUST_SPAN;
pub use reason::Reason;
pub use route::{MAX_OBSERVED_LIMIT_GROWTH, OBSERVED_LIMIT_DOUBLING, SUCCESS_RATE_HALVING};
use time::TimeMapping;

/// What the rule depends on besides the snapshot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Config {
    /// For how long rejections, latency and the list are trusted.
    pub span: Micros,
    /// The shortest latency objective: an unknown destination is assumed to respond within half of it.
    pub latency_objective: Micros,
}

/// What is trusted of a route.
#[derive(Debug, Clone, PartialEq)]
pub struct RestoredRoute {
    /// The destination.
    pub destination: u16,
    /// The endpoint, where each has a route of its own.
    pub endpoint: Option<String>,
    /// The observations for the decision module, on the clock of the restarted process.
    pub snapshot: RouteSnapshot,
    /// Their maximum age; none if it is unknown.
    pub age: Option<Micros>,
    /// Why these are trusted, and others are not.
    pub reasons: Vec<Reason>,
}

/// An endpoint list that is newer than the configuration's.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct NewerList {
    /// Its version, from which it can be watched.
    pub index: u64,
    /// All of its endpoints.
    pub destinations: BTreeMap<u16, Vec<ListedEndpoint>>,
}

/// What is trusted of the endpoint list.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RestoredList {
    /// The whole list, if it is newer than the configuration's.
    pub newer: Option<NewerList>,
    /// Names of endpoints that were draining or removed: they get no new messages until discovery lists them as active.
    pub drains: Vec<String>,
    /// How long discovery need not be polled.
    pub good_for: Micros,
}

/// All that is trusted of a snapshot.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RestoredState {
    /// By destination and endpoint.
    pub routes: Vec<RestoredRoute>,
    /// Records may be lost: a destination that is not among the routes may be unhealthy.
    pub incomplete: bool,
    /// The endpoint list.
    pub list: RestoredList,
    /// How far this process's clock is ahead of the writer's.
    pub shift: i64,
    /// Warnings for operators.
    pub warnings: Vec<String>,
}

/// The clocks of the restarted process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RestoreTime {
    /// Its own clock, which is never behind the time of the last write.
    pub now: Micros,
    /// The system's clocks.
    pub timestamp: Timestamp,
}

/// Applies the rule to a snapshot, for a process whose configuration has the list at version `index`.
pub fn restore(snapshot: &Snapshot, start: &RestoreTime, index: u64, config: &Config) -> RestoredState {
    let passed = elapsed(&snapshot.timestamp, &start.timestamp);
    let time = TimeMapping { now: start.now, written_at: snapshot.timestamp.wall, elapsed: passed };
    let incomplete = snapshot.is_incomplete();
    let is_uncertain = passed.wall == WallClock::Impossible || passed.most.is_none();
    let careful = incomplete || is_uncertain;
    let mut warnings: Vec<_> = snapshot.faults.iter().map(ReplayFault::to_string).collect();
    if snapshot.found {
        warnings.extend(time::clock_warning(passed.wall));
    }
    RestoredState {
        routes: restore_routes(snapshot, &time, careful, config),
        incomplete,
        list: list::restore(snapshot, &time, careful, index, config),
        shift: if snapshot.found { time.shift() } else { 0 },
        warnings,
    }
}

fn restore_routes(
    snapshot: &Snapshot,
    time: &TimeMapping,
    careful: bool,
    config: &Config,
) -> Vec<RestoredRoute> {
    let mut routes = Vec::new();
    let mut waits = snapshot.waits.clone();
    for (destination, record) in &snapshot.destinations {
        for recorded in &record.routes {
            let endpoint = recorded.endpoint.clone();
            let key = RouteKey { destination: *destination, endpoint: endpoint.clone() };
            let wait_until = waits.remove(&key).unwrap_or(0);
            let observed = RouteSnapshot { wait_until, ..recorded.snapshot };
            let context = route::Context { time, written_at: record.at, careful, config };
            let (snapshot, reasons) = route::restore(&observed, &context);
            let (destination, age) = (*destination, time.age(record.at));
            routes.push(RestoredRoute { destination, endpoint, snapshot, age, reasons });
        }
    }
    let remaining = waits.into_iter().filter_map(|(key, until)| restore_wait(key, until, time));
    routes.extend(remaining);
    routes
}

/// Returns the wait of a route that has no record any more, if it is still active.
fn restore_wait(key: RouteKey, until: Micros, time: &TimeMapping) -> Option<RestoredRoute> {
    let wait_until = time.restriction(until);
    let remaining = wait_until.checked_sub(time.now).filter(|remaining| *remaining > 0)?;
    let RouteKey { destination, endpoint } = key;
    let snapshot = RouteSnapshot { wait_until, ..RouteSnapshot::default() };
    let reasons = vec![Reason::WaitRuns(remaining)];
    Some(RestoredRoute { destination, endpoint, snapshot, age: None, reasons })
}
