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
//! - Where something is **lost** (damage, another version, released space), or the clocks are unreliable, each destination
//!   starts with one call, its trial; limits are bounds alone.
//! - The **list** counts where its version is newer than the configuration's; of what is lost or too old only draining counts.

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
    /// What the decision module receives, on the clock of the restarted process.
    pub snapshot: RouteSnapshot,
    /// How old it is at most; none where that is unknown.
    pub age: Option<Micros>,
    /// Why.
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
    /// The whole list, where it is newer than the configuration's.
    pub newer: Option<NewerList>,
    /// Names of endpoints that were draining or removed: they get nothing new until discovery says otherwise.
    pub drains: Vec<String>,
    /// For how long discovery need not be polled.
    pub good_for: Micros,
}

/// All that is trusted.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RestoredState {
    /// By destination and endpoint.
    pub routes: Vec<RestoredRoute>,
    /// Something is lost: a destination that is not among the routes may be unhealthy.
    pub incomplete: bool,
    /// The endpoint list.
    pub list: RestoredList,
    /// How far this process's clock is ahead of the writer's.
    pub shift: i64,
    /// What operators should know.
    pub warnings: Vec<String>,
}

/// The clocks of the restarted process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RestoreTime {
    /// Its own, which is never earlier than what was written last.
    pub now: Micros,
    /// The system's.
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

/// A Retry-After of a route that has no record any more.
fn restore_wait(key: RouteKey, until: Micros, time: &TimeMapping) -> Option<RestoredRoute> {
    let wait_until = time.restriction(until);
    let remaining = wait_until.checked_sub(time.now).filter(|remaining| *remaining > 0)?;
    let RouteKey { destination, endpoint } = key;
    let snapshot = RouteSnapshot { wait_until, ..RouteSnapshot::default() };
    let reasons = vec![Reason::WaitRuns(remaining)];
    Some(RestoredRoute { destination, endpoint, snapshot, age: None, reasons })
}
