//! The `known` subcommands: what a start now would restore, and what differs between two folders.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::path::Path;

use health_snapshot::replay::Snapshot;
use health_snapshot::restore::{Config, Reason, RestoreTime, RestoredRoute, RestoredState, restore};
use health_snapshot::{EndpointStatus, Micros};
use journal::disk::Folder;
use operator_config::SnapshotClock;

use crate::cli::journal::{printed, seconds};
use crate::persistence::snapshot::stamp;
use crate::ports::Clock;

/// For how long limits are restored by default.
const SPAN: Micros = 3_600_000_000;
/// An aim as the platform's classes have it; answer times depend on it alone.
const LATENCY_OBJECTIVE: Micros = 4_000_000;

fn read(folder: &Path) -> Result<(Snapshot, RestoredState), String> {
    // Guards against a mistyped name that would pass for a folder in which nothing is known.
    if !folder.is_dir() {
        return Err(format!("{}: there is no such folder", folder.display()));
    }
    let mut disk = Folder::reader(folder);
    let told = |e: std::io::Error| format!("{}: {e}", folder.display());
    let owner = health_snapshot::store::owner(&mut disk).map_err(told)?.unwrap_or_default();
    let snapshot = health_snapshot::store::load(&mut disk, &owner).map_err(told)?;
    let clock = if snapshot.timestamp.boot.is_some() { SnapshotClock::Boot } else { SnapshotClock::Wall };
    let start = RestoreTime { now: Clock::after(snapshot.timestamp.wall).0.now(), timestamp: stamp(clock) };
    let belief = restore(&snapshot, &start, 0, &Config { span: SPAN, latency_objective: LATENCY_OBJECTIVE });
    Ok((snapshot, belief))
}

fn place(believed: &RestoredRoute) -> String {
    match &believed.endpoint {
        Some(endpoint) => format!("destination {} at {}", believed.destination, printed(endpoint)),
        None => format!("destination {}", believed.destination),
    }
}

fn age(believed: &RestoredRoute) -> String {
    believed.age.map_or_else(|| "of an age not known".to_owned(), |age| format!("{} s old", seconds(age)))
}

fn because(reasons: &[Reason]) -> String {
    if reasons.is_empty() {
        return "nothing that binds".to_owned();
    }
    reasons.iter().map(Reason::to_string).collect::<Vec<_>>().join("; ")
}

/// `known show`
pub fn show(folder: &Path) -> Result<Vec<String>, String> {
    let (snapshot, belief) = read(folder)?;
    let mut lines: Vec<_> = belief.warnings.iter().map(|told| printed(told)).collect();
    if !snapshot.found {
        lines.push("nothing is known: a start now begins with what the list says".to_owned());
        return Ok(lines);
    }
    for believed in &belief.routes {
        lines.push(format!("{}, {}: {}", place(believed), age(believed), because(&believed.reasons)));
    }
    let endpoints = snapshot.destinations.values().flat_map(|kept| &kept.listed);
    let drains: Vec<_> = endpoints.clone().filter(|listed| listed.status != EndpointStatus::Active).collect();
    let mut list = match snapshot.list {
        Some(list) => format!("the list at version {}", list.index),
        None => "the list at no version that is sure".to_owned(),
    };
    let _ = write!(list, ": {} endpoints, {} of them draining or gone", endpoints.count(), drains.len());
    if belief.list.good_for > 0 {
        let _ = write!(list, "; good for {} s more", seconds(belief.list.good_for));
    }
    lines.push(list);
    lines.extend(drains.iter().map(|listed| format!("{}: {:?}", printed(&listed.name), listed.status)));
    if snapshot.omitted > 0 {
        lines.push(format!("{} destinations had no room: [known] size", snapshot.omitted));
    }
    Ok(lines)
}

/// `known diff`
pub fn diff(folder: &Path, other: &Path) -> Result<Vec<String>, String> {
    let by_place = |belief: &RestoredState| -> BTreeMap<_, _> {
        let all = belief.routes.iter().map(|believed| {
            let key = (believed.destination, believed.endpoint.clone());
            (key, (place(believed), because(&believed.reasons)))
        });
        all.collect()
    };
    let (one, two) = (by_place(&read(folder)?.1), by_place(&read(other)?.1));
    let mut keys: Vec<_> = one.keys().chain(two.keys()).collect();
    keys.sort_unstable();
    keys.dedup();
    let nothing = || "nothing".to_owned();
    let lines = keys.into_iter().filter_map(|key| {
        let (a, b) = (one.get(key), two.get(key));
        let said = |of: Option<&(String, String)>| of.map_or_else(nothing, |of| of.1.clone());
        let place = a.or(b).map(|of| of.0.clone())?;
        (said(a) != said(b)).then(|| format!("{place}: {} -> {}", said(a), said(b)))
    });
    Ok(lines.collect())
}
