//! The `known` subcommands: what a sender that starts now would restore from a health snapshot, and how two snapshots differ.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::path::Path;

use health_snapshot::replay::Snapshot;
use health_snapshot::restore::{Config, Reason, RestoreTime, RestoredRoute, RestoredState, restore};
use health_snapshot::{EndpointStatus, Micros};
use journal::disk::Folder;
use operator_config::SnapshotClock;

use crate::cli::journal::{printable, seconds};
use crate::persistence::snapshot::current_timestamp;
use crate::ports::Clock;

/// How long observed limits are restored by default: one hour.
const LIMIT_SPAN: Micros = 3_600_000_000;
/// A latency objective that is typical of the platform's classes; only the restored latencies depend on it.
const LATENCY_OBJECTIVE: Micros = 4_000_000;

/// Loads the snapshot of a folder, and restores it as a sender that starts now would.
fn read(folder: &Path) -> Result<(Snapshot, RestoredState), String> {
    // A mistyped path would otherwise look like a folder without a snapshot.
    if !folder.is_dir() {
        return Err(format!("{}: there is no such folder", folder.display()));
    }
    let mut disk = Folder::reader(folder);
    let error = |e: std::io::Error| format!("{}: {e}", folder.display());
    let owner = health_snapshot::store::owner(&mut disk).map_err(error)?.unwrap_or_default();
    let snapshot = health_snapshot::store::load(&mut disk, &owner).map_err(error)?;
    let clock = if snapshot.timestamp.boot.is_some() { SnapshotClock::Boot } else { SnapshotClock::Wall };
    let start = RestoreTime {
        now: Clock::after(snapshot.timestamp.wall).0.now(),
        timestamp: current_timestamp(clock),
    };
    let restored =
        restore(&snapshot, &start, 0, &Config { span: LIMIT_SPAN, latency_objective: LATENCY_OBJECTIVE });
    Ok((snapshot, restored))
}

/// Formats the destination of a route, and its endpoint if the route belongs to one.
fn route_name(route: &RestoredRoute) -> String {
    match &route.endpoint {
        Some(endpoint) => format!("destination {} at {}", route.destination, printable(endpoint)),
        None => format!("destination {}", route.destination),
    }
}

/// Formats the age of a route's data.
fn age(route: &RestoredRoute) -> String {
    route.age.map_or_else(|| "of unknown age".to_owned(), |age| format!("{} s old", seconds(age)))
}

/// Formats the reasons, separated by semicolons.
fn reasons_text(reasons: &[Reason]) -> String {
    if reasons.is_empty() {
        return "no restriction applies".to_owned();
    }
    reasons.iter().map(Reason::to_string).collect::<Vec<_>>().join("; ")
}

/// Runs `known show`.
pub fn show(folder: &Path) -> Result<Vec<String>, String> {
    let (snapshot, restored) = read(folder)?;
    let mut lines: Vec<_> = restored.warnings.iter().map(|warning| printable(warning)).collect();
    if !snapshot.found {
        lines.push("nothing is known: a sender that starts now relies on the endpoint list alone".to_owned());
        return Ok(lines);
    }
    for route in &restored.routes {
        lines.push(format!("{}, {}: {}", route_name(route), age(route), reasons_text(&route.reasons)));
    }
    let endpoints = snapshot.destinations.values().flat_map(|stored| &stored.listed);
    let drains: Vec<_> = endpoints.clone().filter(|listed| listed.status != EndpointStatus::Active).collect();
    let mut list = match snapshot.list {
        Some(list) => format!("endpoint list at version {}", list.index),
        None => "endpoint list at an uncertain version".to_owned(),
    };
    let _ = write!(list, ": {} endpoints, {} of them draining or removed", endpoints.count(), drains.len());
    if restored.list.good_for > 0 {
        let _ = write!(list, "; valid for another {} s", seconds(restored.list.good_for));
    }
    lines.push(list);
    lines.extend(drains.iter().map(|listed| format!("{}: {:?}", printable(&listed.name), listed.status)));
    if snapshot.omitted > 0 {
        lines.push(format!(
            "{} destinations did not fit into the snapshot: see [health_snapshot] size",
            snapshot.omitted
        ));
    }
    Ok(lines)
}

/// Runs `known diff`.
pub fn diff(folder: &Path, other: &Path) -> Result<Vec<String>, String> {
    let by_place = |restored: &RestoredState| -> BTreeMap<_, _> {
        let all = restored.routes.iter().map(|route| {
            let key = (route.destination, route.endpoint.clone());
            (key, (route_name(route), reasons_text(&route.reasons)))
        });
        all.collect()
    };
    let (one, two) = (by_place(&read(folder)?.1), by_place(&read(other)?.1));
    let mut keys: Vec<_> = one.keys().chain(two.keys()).collect();
    keys.sort_unstable();
    keys.dedup();
    let absent = || "nothing".to_owned();
    let lines = keys.into_iter().filter_map(|key| {
        let (a, b) = (one.get(key), two.get(key));
        let description = |of: Option<&(String, String)>| of.map_or_else(absent, |of| of.1.clone());
        let route_name = a.or(b).map(|of| of.0.clone())?;
        (description(a) != description(b))
            .then(|| format!("{route_name}: {} -> {}", description(a), description(b)))
    });
    Ok(lines.collect())
}
