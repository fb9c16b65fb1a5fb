//! Reads generations back. No I/O.
//!
//! Later frames replace earlier ones, within a generation and across generations. Generations before the newest complete one
//! are obsolete. Whatever the bytes are, reading terminates, and allocates no more than a small multiple of their size.

mod fault;

use std::collections::BTreeMap;

use crate::format::{Entry, Head, VERSION, frame_at, is_truncated, next_timestamp};
use crate::timestamp::Timestamp;
use crate::{DestinationRecord, ListVersion, Micros, RouteKey};

pub use fault::ReplayFault;

/// A file shorter than this plus the owner's name has no complete head.
const MIN_HEAD_BYTES: usize = 32;

/// A file of a generation, in memory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GenerationFile {
    /// Its name.
    pub name: String,
    /// Its content.
    pub bytes: Vec<u8>,
}

/// All that could be read of an owner's files.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Snapshot {
    /// When the last append was written.
    pub timestamp: Timestamp,
    /// The list's version, if all of its endpoints are included.
    pub list: Option<ListVersion>,
    /// The records, by destination.
    pub destinations: BTreeMap<u16, DestinationRecord>,
    /// The ends of waits (a Retry-After, or the sender's own backoff).
    pub waits: BTreeMap<RouteKey, Micros>,
    /// Destinations that there was no space for.
    pub omitted: u32,
    /// Whether a generation was found, complete or not.
    pub found: bool,
    /// Faults that were found.
    pub faults: Vec<ReplayFault>,
}

impl Snapshot {
    /// Returns whether records may be lost.
    pub fn is_incomplete(&self) -> bool {
        self.faults.iter().any(ReplayFault::loses_records)
    }

    /// Converts all times to another clock.
    fn shift(&mut self, by: i64) {
        if by == 0 {
            return;
        }
        let shift = |at: &mut Micros| {
            if *at > 0 {
                *at = at.saturating_add_signed(by).max(1);
            }
        };
        shift(&mut self.timestamp.wall);
        self.list.iter_mut().for_each(|list| shift(&mut list.confirmed_at));
        self.waits.values_mut().for_each(shift);
        for record in self.destinations.values_mut() {
            shift(&mut record.at);
            for route in &mut record.routes {
                let snapshot = &mut route.snapshot;
                let optional =
                    [&mut snapshot.shortage_at, &mut snapshot.unhealthy_since, &mut snapshot.cold_since];
                optional.into_iter().flatten().for_each(shift);
                snapshot.trial.iter_mut().for_each(|trial| shift(&mut trial.0));
                shift(&mut snapshot.last_success_at);
                shift(&mut snapshot.recent_calls.1);
            }
        }
    }

    /// Adds a wait, or extends it: the later end counts.
    fn add_wait(&mut self, route: RouteKey, until: Micros) {
        let wait = self.waits.entry(route).or_default();
        *wait = until.max(*wait);
    }

    fn apply(&mut self, entry: Entry) {
        match entry {
            Entry::Timestamp(timestamp) => self.timestamp = timestamp,
            Entry::Wait { route, until } => self.add_wait(route, until),
            Entry::Routes { destination, first, routes } => {
                let record = self.destinations.entry(destination).or_default();
                record.at = self.timestamp.wall;
                if first {
                    record.routes.clear();
                }
                record.routes.extend(routes);
            }
            Entry::Endpoints { destination, first, listed } => {
                let record = self.destinations.entry(destination).or_default();
                if first {
                    record.listed.clear();
                }
                record.listed.extend(listed);
            }
            Entry::List(list) => self.list = Some(list),
            Entry::BaselineComplete { omitted } => self.omitted = omitted,
            // Its waits stay active.
            Entry::Removed(destination) => drop(self.destinations.remove(&destination)),
            Entry::Unknown => {}
        }
    }

    /// Adds the content of a newer, incomplete generation.
    fn merge(&mut self, newer: Self) {
        for (route, until) in newer.waits {
            self.add_wait(route, until);
        }
        self.destinations.extend(newer.destinations);
        self.faults.extend(newer.faults);
        self.list = newer.list.or(self.list);
        if newer.timestamp != Timestamp::default() {
            self.timestamp = newer.timestamp;
        }
        self.found = true;
    }
}

/// Reads the files of an owner, in the order of their sequence.
pub fn read(owner: &str, files: &[GenerationFile]) -> Snapshot {
    let mut snapshot = Snapshot::default();
    for file in files {
        let Some((head, start)) = Head::read(&file.bytes) else {
            snapshot.faults.push(missing_head(owner, file));
            continue;
        };
        if head.owner != owner {
            snapshot.faults.push(ReplayFault::Foreign { file: file.name.clone(), owner: head.owner });
            continue;
        }
        snapshot.shift(head.shift);
        snapshot = read_generation(file, &head, start, snapshot);
    }
    snapshot
}

/// Returns the fault of a file without a valid head. The process may have ended while it created the file.
fn missing_head(owner: &str, file: &GenerationFile) -> ReplayFault {
    let (name, bytes) = (file.name.clone(), file.bytes.len());
    if bytes < MIN_HEAD_BYTES + owner.len() {
        ReplayFault::Torn { file: name, bytes }
    } else {
        ReplayFault::Damaged { file: name, at: 0 }
    }
}

/// Reads a generation on top of the earlier ones. If it is complete they are obsolete, as are their faults.
fn read_generation(file: &GenerationFile, head: &Head, start: usize, earlier: Snapshot) -> Snapshot {
    let GenerationFile { name, bytes } = file;
    let mut own = Snapshot { found: true, ..Snapshot::default() };
    let mut earlier = earlier;
    let mut is_complete = false;
    if head.version != VERSION {
        own.faults.push(ReplayFault::OtherVersion { file: name.clone(), version: head.version });
    }
    let mut at = start;
    while at < bytes.len() {
        if let Some(frame) = frame_at(head.sequence, bytes, at) {
            let entry = frame.read(head.version, own.timestamp.wall);
            is_complete |= matches!(entry, Entry::BaselineComplete { .. });
            if let (Entry::Removed(destination), false) = (&entry, is_complete) {
                earlier.destinations.remove(destination);
            }
            own.apply(entry);
            at = frame.end;
            continue;
        }
        let next = next_timestamp(head.sequence, bytes, at + 1);
        // Nothing is appended to a failed write: the next generation is started.
        if next.is_none() && is_truncated(&bytes[at..]) {
            own.faults.push(ReplayFault::Torn { file: name.clone(), bytes: bytes.len() - at });
            break;
        }
        own.faults.push(ReplayFault::Damaged { file: name.clone(), at });
        let Some(next) = next else { break };
        at = next;
    }
    if is_complete {
        return own;
    }
    earlier.merge(own);
    earlier
}
