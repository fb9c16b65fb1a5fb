//! The health snapshot of this process: connects the package `health-snapshot` to the process's clocks, state folder
//! and endpoint list.

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

/// Default age up to which limits and response times are restored, in microseconds.
const DEFAULT_SPAN: Micros = 3_600_000_000;
/// By default the snapshot may use the disk quota divided by this.
const DEFAULT_DISK_DIVISOR: u64 = 8;
/// Minimum interval between two log lines about a snapshot that can't be written, in microseconds.
const WARNING_INTERVAL: Micros = 60_000_000;

/// How the snapshot is written and restored.
#[derive(Debug, Clone, Copy)]
pub struct SnapshotOptions {
    options: Options,
    clock: SnapshotClock,
    /// How the snapshot is restored.
    pub restore: Config,
}

impl SnapshotOptions {
    /// Creates the options from the operators' table, with defaults. Returns none if the table does not enable the
    /// snapshot.
    pub fn from_table(
        table: &HealthSnapshotTable,
        disk: u64,
        sync: bool,
        latency_objective: Micros,
    ) -> Option<Self> {
        if !table.on {
            return None;
        }
        let size = table.size.map_or(disk / DEFAULT_DISK_DIVISOR, |size| size.bytes.min(disk));
        let span = table.span.map_or(DEFAULT_SPAN, |span| span.micros);
        Some(Self {
            options: Options { size, sync },
            clock: table.clock,
            restore: Config { span, latency_objective },
        })
    }
}

/// Returns the time since the machine booted, if the settings use it and the system provides it.
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

/// Returns the current time by the system's clocks.
pub fn current_timestamp(clock: SnapshotClock) -> Timestamp {
    Timestamp { wall: Clock::new().now(), boot: boot(clock) }
}

/// The snapshot's files. Only the process that has the journal writes them.
pub struct SnapshotStore {
    store: Store,
    clock: SnapshotClock,
    next_warning_at: Micros,
}

/// Opens the snapshot of an earlier process. If this fails, it is logged and the process runs without a snapshot.
pub fn open(
    state: &Path,
    owner: &str,
    options: &SnapshotOptions,
) -> Option<(SnapshotStore, health_snapshot::replay::Snapshot)> {
    let disk = Box::new(Folder::companion(state));
    match Store::open(disk, owner, options.options) {
        Ok((store, snapshot)) => {
            Some((SnapshotStore { store, clock: options.clock, next_warning_at: 0 }, snapshot))
        }
        Err(error) => {
            eprintln!(
                "health snapshot can't be opened: destinations start without known health, \
                 and no snapshot is written: {error}"
            );
            None
        }
    }
}

/// Returns the state that a process restores from this snapshot if its endpoint list has version `index`.
pub fn restore(
    snapshot: &health_snapshot::replay::Snapshot,
    options: &SnapshotOptions,
    now: Micros,
    index: u64,
) -> RestoredState {
    let start = RestoreTime { now, timestamp: current_timestamp(options.clock) };
    restore::restore(snapshot, &start, index, &options.restore)
}

/// The state of an event loop that the snapshot is written from.
pub struct SnapshotSource<'a> {
    /// The decision module.
    pub policy: &'a Policy,
    /// The endpoint list.
    pub directory: &'a Directory,
    /// The list's version, and when discovery last confirmed it.
    pub list: (u64, Micros),
    /// The current time.
    pub now: Micros,
}

impl Source for SnapshotSource<'_> {
    fn destinations(&self) -> Vec<u16> {
        let mut destinations: Vec<_> =
            self.policy.observed_destinations().into_iter().map(|destination| destination.0).collect();
        destinations.extend(self.directory.destinations());
        destinations.sort_unstable();
        destinations.dedup();
        destinations
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
            .filter(|(_, snapshot)| has_observations(snapshot))
            .filter_map(|((_, endpoint), snapshot)| match endpoint {
                None => Some(RouteRecord { endpoint: None, snapshot }),
                Some(endpoint) => {
                    let name = self.directory.name(endpoint);
                    (!name.is_empty()).then(|| RouteRecord { endpoint: Some(name.to_string()), snapshot })
                }
            })
            .collect();
        let has_record = !listed.is_empty() || !routes.is_empty();
        has_record.then_some(DestinationRecord { at: self.now, listed, routes })
    }

    fn list(&self) -> ListVersion {
        ListVersion { index: self.list.0, confirmed_at: self.list.1 }
    }
}

impl SnapshotStore {
    /// Sets how far this process's clock is ahead of the one by which the snapshot was written. Stored times are
    /// shifted by this.
    pub fn set_clock_shift(&mut self, shift: i64) {
        self.store.set_clock_shift(shift);
    }

    /// Returns the disk space that is used, in bytes of whole blocks.
    pub fn used(&self) -> u64 {
        self.store.used()
    }

    /// Records that the observed health of a destination may have changed.
    pub fn mark_changed(&mut self, destination: u16, now: Micros) {
        self.store.mark_changed(destination, now);
    }

    /// Records that a destination sent a Retry-After or, if `listed`, that its endpoints changed.
    pub fn mark_urgent(&mut self, destination: u16, listed: bool, now: Micros) {
        self.store.mark_urgent(destination, listed, now);
    }

    /// Returns when there is something to write.
    pub fn next_due(&self, now: Micros) -> Option<Micros> {
        self.store.next_due(now)
    }

    /// Writes the part that is due. The files may use this many bytes of disk space.
    pub fn write_slice(&mut self, space: u64, source: &SnapshotSource) {
        if self.store.next_due(source.now).is_none_or(|due| due > source.now) {
            return;
        }
        let stamp = Timestamp { wall: source.now, boot: boot(self.clock) };
        if let Err(error) = self.store.write_slice(&stamp, space, source) {
            self.warn(source.now, &error);
        }
    }

    /// Deletes files to release disk space to the journal.
    pub fn release(&mut self, now: Micros) {
        if let Err(error) = self.store.release(now) {
            self.warn(now, &error);
        }
    }

    fn warn(&mut self, now: Micros, error: &std::io::Error) {
        if now >= self.next_warning_at {
            self.next_warning_at = now + WARNING_INTERVAL;
            eprintln!("health snapshot can't be written, retrying later: {error}");
        }
    }
}

/// Returns the endpoint list that a process starts with: the snapshot's if it is newer, else the configuration's. In
/// the latter, endpoints that may have begun to drain since are marked as draining. Also returns the version to watch
/// the list from, or none if the full list has to be fetched.
pub fn initial_list(configured: EndpointList, restored: &mut RestoredState) -> (EndpointList, Option<u64>) {
    if let Some(restore::NewerList { index, destinations }) = restored.list.newer.take() {
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
    let drains = std::mem::take(&mut restored.list.drains);
    if drains.is_empty() {
        let index = configured.index;
        return (configured, Some(index));
    }
    let mut list = configured;
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
