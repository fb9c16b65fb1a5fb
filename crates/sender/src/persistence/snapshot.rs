//! The health snapshot beside the journal: the package `health-snapshot` with this process's clocks, folder
//! and list.

use std::fs;
use std::path::Path;

use decision::interface::{DestinationId, Micros};
use decision::policy::Policy;
use health_snapshot::restore::{self, Config, RestoreTime, RestoredState};
use health_snapshot::store::{Options, Source, Store};
use health_snapshot::timestamp::{Boot, Timestamp};
use health_snapshot::{
    DestinationRecord, EndpointStatus, ListVersion, ListedEndpoint, RouteRecord, has_observations,
};
use journal::disk::Folder;
use operator_config::{HealthSnapshotTable, SnapshotClock};

use crate::discovery::directory::Directory;
use crate::discovery::endpoint_list::{EndpointList, EndpointListing};
use crate::ports::Clock;

/// For how long limits and answer times are restored by default, in microseconds.
const SPAN: Micros = 3_600_000_000;
/// The default share of the disk quota: one part in so many.
const PART_OF_DISK: u64 = 8;
/// Between two log lines of a snapshot that can't be written.
const COMPLAIN_EVERY: Micros = 60_000_000;

/// How the snapshot is kept; none where the operators' file does not switch it on.
#[derive(Debug, Clone, Copy)]
pub struct SnapshotOptions {
    options: Options,
    clock: SnapshotClock,
    /// How it is restored.
    pub restore: Config,
}

impl SnapshotOptions {
    /// The options of the operators' table, with its defaults.
    pub fn of(table: &HealthSnapshotTable, disk: u64, sync: bool, aim: Micros) -> Option<Self> {
        if !table.on {
            return None;
        }
        let size = table.size.map_or(disk / PART_OF_DISK, |size| size.bytes.min(disk));
        let span = table.span.map_or(SPAN, |span| span.micros);
        Some(Self {
            options: Options { size, sync },
            clock: table.clock,
            restore: Config { span, latency_objective: aim },
        })
    }
}

/// The machine's time since its start, where that is used and the system has it.
fn boot(clock: SnapshotClock) -> Option<Boot> {
    if clock == SnapshotClock::Wall {
        return None;
    }
    let id = fs::read_to_string("/proc/sys/kernel/random/boot_id").ok()?;
    let id = u128::from_str_radix(&id.trim().replace('-', ""), 16).ok()?;
    let uptime = fs::read_to_string("/proc/uptime").ok()?;
    let seconds: f64 = uptime.split_whitespace().next()?.parse().ok()?;
    Some(Boot { id, at: (seconds * 1e6) as Micros })
}

/// The current moment by the system's clocks.
pub fn stamp(clock: SnapshotClock) -> Timestamp {
    Timestamp { wall: Clock::new().now(), boot: boot(clock) }
}

/// The snapshot's files, while this process has the journal.
pub struct SnapshotStore {
    store: Store,
    clock: SnapshotClock,
    complain_at: Micros,
}

/// Opens the snapshot of an earlier process. Without it, which is logged, the process runs on.
pub fn open(
    state: &Path,
    owner: &str,
    keeping: &SnapshotOptions,
) -> Option<(SnapshotStore, health_snapshot::replay::Snapshot)> {
    let disk = Box::new(Folder::companion(state));
    match Store::open(disk, owner, keeping.options) {
        Ok((store, snapshot)) => {
            Some((SnapshotStore { store, clock: keeping.clock, complain_at: 0 }, snapshot))
        }
        Err(e) => {
            eprintln!("what was known of partners can't be read, and nothing is kept: {e}");
            None
        }
    }
}

/// What a process restores that starts with this snapshot and the list at that version.
pub fn restore(
    snapshot: &health_snapshot::replay::Snapshot,
    keeping: &SnapshotOptions,
    now: Micros,
    index: u64,
) -> RestoredState {
    let start = RestoreTime { now, timestamp: stamp(keeping.clock) };
    restore::restore(snapshot, &start, index, &keeping.restore)
}

/// What the event loop shows the snapshot of its state.
pub struct SnapshotSource<'a> {
    /// The decision module.
    pub policy: &'a Policy,
    /// The endpoint list.
    pub directory: &'a Directory,
    /// Its version, and when discovery last confirmed it.
    pub list: (u64, Micros),
    /// The time.
    pub now: Micros,
}

impl Source for SnapshotSource<'_> {
    fn destinations(&self) -> Vec<u16> {
        let mut all: Vec<_> = self.policy.observed_destinations().into_iter().map(|d| d.0).collect();
        all.extend(self.directory.destinations());
        all.sort_unstable();
        all.dedup();
        all
    }

    fn record(&self, destination: u16) -> Option<DestinationRecord> {
        let id = DestinationId(destination);
        let listed: Vec<ListedEndpoint> = self
            .policy
            .endpoints(id)
            .into_iter()
            .filter_map(|endpoint| self.directory.describe(endpoint))
            .collect();
        let routes: Vec<_> = self
            .policy
            .route_snapshots(id)
            .into_iter()
            .filter(|(_, learnt)| has_observations(learnt))
            .filter_map(|((_, endpoint), learnt)| match endpoint {
                None => Some(RouteRecord { endpoint: None, snapshot: learnt }),
                Some(endpoint) => {
                    let name = self.directory.name(endpoint);
                    (!name.is_empty())
                        .then(|| RouteRecord { endpoint: Some(name.to_string()), snapshot: learnt })
                }
            })
            .collect();
        let known = !listed.is_empty() || !routes.is_empty();
        known.then_some(DestinationRecord { at: self.now, listed, routes })
    }

    fn list(&self) -> ListVersion {
        ListVersion { index: self.list.0, confirmed_at: self.list.1 }
    }
}

impl SnapshotStore {
    /// Moves stored times: this process's clock is so far ahead of the writer's.
    pub fn moved_by(&mut self, shift: i64) {
        self.store.set_clock_shift(shift);
    }

    /// Bytes on the disk, in whole blocks.
    pub fn used(&self) -> u64 {
        self.store.used()
    }

    /// The observed health of a destination may have changed.
    pub fn mark_touched(&mut self, destination: u16, now: Micros) {
        self.store.mark_changed(destination, now);
    }

    /// A destination sent a Retry-After, or its listing changed.
    pub fn mark_urgent(&mut self, destination: u16, listed: bool, now: Micros) {
        self.store.mark_urgent(destination, listed, now);
    }

    /// When there is something to write.
    pub fn next_due(&self, now: Micros) -> Option<Micros> {
        self.store.next_due(now)
    }

    /// Writes what is due, into so many bytes of disk.
    pub fn write_slice(&mut self, room: u64, view: &SnapshotSource) {
        if self.store.next_due(view.now).is_none_or(|due| due > view.now) {
            return;
        }
        let stamp = Timestamp { wall: view.now, boot: boot(self.clock) };
        if let Err(e) = self.store.write_slice(&stamp, room, view) {
            self.complain(view.now, &e);
        }
    }

    /// Releases its disk space to the journal.
    pub fn release(&mut self, now: Micros) {
        if let Err(e) = self.store.release(now) {
            self.complain(now, &e);
        }
    }

    fn complain(&mut self, now: Micros, why: &std::io::Error) {
        if now >= self.complain_at {
            self.complain_at = now + COMPLAIN_EVERY;
            eprintln!("what is known of partners can't be kept just now: {why}");
        }
    }
}

/// The list that a process starts with: the snapshot's where that is newer, else the configuration's, with
/// the drains that may have been listed since. And the version to watch it from; none where the full list has
/// to be fetched.
pub fn initial_list(known: EndpointList, belief: &mut RestoredState) -> (EndpointList, Option<u64>) {
    if let Some(restore::NewerList { index, destinations }) = belief.list.newer.take() {
        let endpoints = destinations.into_iter().flat_map(|(group, listed)| {
            listed.into_iter().map(move |listed| EndpointListing {
                name: listed.name,
                address: listed.address,
                zone: listed.zone,
                kind: listed.kind,
                group,
                status: status(listed.status).to_owned(),
                weight: listed.weight,
            })
        });
        let list = EndpointList { index, snapshot: true, endpoints: endpoints.collect() };
        return (list, Some(index));
    }
    let drains = std::mem::take(&mut belief.list.drains);
    if drains.is_empty() {
        let index = known.index;
        return (known, Some(index));
    }
    let mut list = known;
    for listing in list.endpoints.iter_mut().filter(|listing| drains.contains(&listing.name)) {
        listing.status = status(EndpointStatus::Draining).to_owned();
    }
    (list, None)
}

fn status(status: EndpointStatus) -> &'static str {
    match status {
        EndpointStatus::Active => "active",
        EndpointStatus::Draining => "leaving",
        EndpointStatus::Removed => "left",
    }
}
