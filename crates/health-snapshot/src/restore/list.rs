//! The rule for the endpoint list.

use super::time::TimeMapping;
use super::{Config, NewerList, RestoredList};
use crate::replay::Snapshot;
use crate::{EndpointStatus, ListVersion, Micros};

/// How long the list is trusted after discovery last confirmed it: well within the time in which each sender must know of a
/// change, such as a drain.
pub const LIST_TRUST_SPAN: Micros = 4_000_000;

pub(super) fn restore(
    snapshot: &Snapshot,
    time: &TimeMapping,
    careful: bool,
    index: u64,
    config: &Config,
) -> RestoredList {
    let drains_alone = || RestoredList { drains: drains(snapshot), ..RestoredList::default() };
    let Some(ListVersion { index: version, confirmed_at }) = snapshot.list else {
        return drains_alone();
    };
    let age = time.age(confirmed_at).filter(|age| *age <= config.span);
    match age {
        Some(age) if !careful && version >= index => RestoredList {
            newer: (version > index).then(|| newer(version, snapshot)),
            drains: Vec::new(),
            good_for: LIST_TRUST_SPAN.saturating_sub(age),
        },
        // The configuration's list is newer, and has its own draining endpoints.
        _ if version <= index && !careful => RestoredList::default(),
        _ => drains_alone(),
    }
}

/// Returns the whole list of the snapshot.
fn newer(index: u64, snapshot: &Snapshot) -> NewerList {
    let destinations = snapshot.destinations.iter();
    let listed = destinations.map(|(destination, record)| (*destination, record.listed.clone()));
    NewerList { index, destinations: listed.collect() }
}

/// Returns the names of the endpoints that were draining or removed.
fn drains(snapshot: &Snapshot) -> Vec<String> {
    let endpoints = snapshot.destinations.values().flat_map(|record| &record.listed);
    let drains = endpoints.filter(|listed| listed.status != EndpointStatus::Active);
    drains.map(|listed| listed.name.clone()).collect()
}
