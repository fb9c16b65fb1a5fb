//! Reads a folder's files into a state, and changes nothing.

use std::collections::BTreeMap;
use std::io;

use crate::disk::Disk;
use crate::error::OpenError;
use crate::format::{BadHead, HEAD, Head};
use crate::legacy;
use crate::replay::{Follows, Replay, Stretch, Unreadable, floor};
use crate::segment::{ASIDE, SNAPSHOT_PREFIX, Segment, blocks, name, sequence};
use crate::state::State;

/// A file with a damaged stretch; without one it is missing, or has no head.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DamagedFile {
    /// The file.
    pub file: String,
    /// Where it is damaged.
    pub stretch: Option<Stretch>,
}

/// What a folder holds.
#[derive(Debug, Default)]
pub struct Loaded {
    /// What the records come to.
    pub(crate) state: State,
    /// Files that count, oldest first, as far as they can be read.
    pub(crate) segments: Vec<Segment>,
    /// Files that count for nothing any more.
    pub(crate) dying: Vec<(String, u64)>,
    /// Bytes of all files, in whole blocks.
    pub used: u64,
    /// Records written ahead of the last segment.
    pub(crate) records: u64,
    /// Segments before this one count for nothing.
    pub(crate) floor: u64,
    /// What is damaged.
    pub damaged: Vec<DamagedFile>,
    /// Messages that may be affected by damage, and are treated as possibly applied.
    pub suspected: usize,
    /// Bytes at the end of the last file that its process did not get to the end of, and promised to nobody.
    pub torn: u64,
    /// The file of an earlier version is there, and was read.
    pub(crate) legacy: bool,
}

/// All of a file.
pub const WHOLE: u64 = u64::MAX;

fn told<T>(file: &str, result: io::Result<T>) -> Result<T, OpenError> {
    result.map_err(|source| OpenError::Io { file: file.to_owned(), source })
}

/// Reads all that is there.
///
/// # Errors
/// Fails when the system does, or a newer version wrote it. Damage is no error here.
pub fn load(disk: &mut dyn Disk, newest: Follows) -> Result<Loaded, OpenError> {
    let mut loaded = Loaded::default();
    let mut files: BTreeMap<u64, (String, u64)> = BTreeMap::new();
    let mut names = told("", disk.names())?;
    // A file that was kept aside and still counts is found under either name.
    names.sort();
    for (file, length) in names.into_iter().filter(|(file, _)| !file.starts_with(SNAPSHOT_PREFIX)) {
        loaded.used += blocks(length);
        if file == legacy::NAME {
            loaded.legacy = true;
        } else if let Some(number) = sequence(file.strip_prefix(ASIDE).unwrap_or(&file)) {
            files.insert(number, (file, length));
        }
    }
    let mut bytes = Vec::new();
    let mut heads = BTreeMap::new();
    // The newest that was ever used tells what counts.
    let mut told_floor = None;
    while let Some((&number, (file, length))) = files.last_key_value() {
        told(file, disk.read(file, WHOLE, &mut bytes))?;
        match Head::read(&bytes) {
            Ok(head) => {
                told_floor = Some(floor(&bytes).unwrap_or(head.floor));
                break;
            }
            Err(BadHead::Version(version)) => {
                return Err(OpenError::Newer { file: file.clone(), version: Some(version) });
            }
            // Its process ended while it was made.
            Err(_) if bytes.len() <= HEAD => {
                loaded.dying.push((file.clone(), *length));
                files.remove(&number);
            }
            Err(_) => break,
        }
    }
    for (number, (file, _)) in &files {
        if !heads.contains_key(number) {
            told(file, disk.read(file, HEAD as u64, &mut bytes))?;
            if let Ok(head) = Head::read(&bytes) {
                heads.insert(*number, head);
            }
        }
    }
    let known = told_floor.or_else(|| heads.values().next_back().map(|head| head.floor));
    loaded.floor = known.or(files.keys().next().copied()).unwrap_or(0);
    let Some(last) = files.keys().next_back().copied() else {
        if loaded.legacy {
            told(legacy::NAME, disk.read(legacy::NAME, WHOLE, &mut bytes))?;
            legacy::read(&bytes, &mut loaded.state);
        }
        return Ok(loaded);
    };
    for (_, (file, length)) in files.range(..loaded.floor) {
        // What was kept aside stays.
        if !file.starts_with(ASIDE) {
            loaded.dying.push((file.clone(), *length));
        }
    }
    let mut replay = Replay::default();
    for number in loaded.floor..=last {
        let Some((file, _)) = files.get(&number) else {
            loaded.damaged.push(DamagedFile { file: name(number), stretch: None });
            loaded.suspected += loaded.state.suspect();
            continue;
        };
        told(file, disk.read(file, WHOLE, &mut bytes))?;
        let follows = match heads.get(&(number + 1)) {
            Some(head) => Follows::Segment(head.records),
            None if number < last => Follows::NothingInAnyOrder,
            None => newest,
        };
        let mut segment = Segment::new(number, bytes.len() as u64);
        match replay.segment(&bytes, follows, &mut loaded.state) {
            Ok(found) => {
                segment.length = found.length;
                segment.records = found.records;
                segment.damaged = !found.damaged.is_empty();
                loaded.torn = found.torn;
                loaded.suspected += found.suspected;
                let damaged = |stretch: &Stretch| DamagedFile { file: file.clone(), stretch: Some(*stretch) };
                loaded.damaged.extend(found.damaged.iter().map(damaged));
            }
            Err(Unreadable::Head(BadHead::Version(version))) => {
                return Err(OpenError::Newer { file: file.clone(), version: Some(version) });
            }
            Err(Unreadable::Unknown(_)) => {
                return Err(OpenError::Newer { file: file.clone(), version: None });
            }
            Err(Unreadable::Head(_)) => {
                segment.damaged = true;
                segment.headless = true;
                loaded.damaged.push(DamagedFile { file: file.clone(), stretch: None });
                loaded.suspected += loaded.state.suspect();
            }
        }
        loaded.segments.push(segment);
    }
    // Each message's beginning is where its segment says.
    let places: BTreeMap<u64, usize> =
        loaded.segments.iter().enumerate().map(|(at, s)| (s.sequence, at)).collect();
    for (message, live) in loaded.state.live() {
        if let Some(at) = places.get(&live.home) {
            loaded.segments[*at].residents.push(*message);
        }
    }
    for (number, entry) in loaded.state.ledger() {
        if let Some(at) = places.get(&entry.home) {
            loaded.segments[*at].entries.push(number);
        }
    }
    loaded.records = heads.get(&last).map_or(0, |head| head.records);
    Ok(loaded)
}
