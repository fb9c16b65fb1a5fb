//! Reads a folder's files into a [`State`] without changing them.

use std::collections::BTreeMap;

use crate::disk::Disk;
use crate::error::OpenError;
use crate::format::{HEADER_SIZE, HeaderError, SegmentHeader};
use crate::legacy;
use crate::replay::{DamagedRange, Replay, ReplayedSegment, Successor, Unreadable, floor};
use crate::segment::{
    DAMAGED_PREFIX, SNAPSHOT_PREFIX, Segment, StoredFile, file_name, parse_sequence, size_on_disk,
};
use crate::state::State;

/// A file that is damaged or missing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DamagedFile {
    /// The file.
    pub file: String,
    /// Where it is damaged; `None` if it is missing or its header is damaged.
    pub range: Option<DamagedRange>,
}

/// What a folder holds.
#[derive(Debug, Default)]
pub struct Loaded {
    /// The state that results from the records.
    pub(crate) state: State,
    /// The segments of the log, oldest first, as far as they can be read.
    pub(crate) segments: Vec<Segment>,
    /// Files that are no longer part of the log.
    pub(crate) retired: Vec<StoredFile>,
    /// Bytes of all files, in whole blocks.
    pub used: u64,
    /// Records written to all segments before the last one.
    pub(crate) records_before_last: u64,
    /// What is damaged.
    pub damaged: Vec<DamagedFile>,
    /// Messages that the damage may affect, which count as possibly applied.
    pub suspected: usize,
    /// Bytes of a torn write at the end of the last segment. They belong to an append that never succeeded.
    pub torn: u64,
    /// Whether there is a file of a version before 0.2.
    pub(crate) legacy: bool,
}

/// Reads a file without a limit on its length.
pub const WHOLE_FILE: u64 = u64::MAX;

/// Reads everything that a folder holds. `newest` states which of the last segment's latest writes may be missing.
///
/// # Errors
/// Fails when the system does, or a newer version wrote the files. Damage is not an error here.
pub fn load(disk: &mut dyn Disk, newest: Successor) -> Result<Loaded, OpenError> {
    let mut loader = Loader::list(disk)?;
    let stated_floor = loader.find_newest_segment()?;
    loader.read_headers()?;
    let Some(last) = loader.files.keys().next_back().copied() else {
        loader.replay_legacy()?;
        return Ok(loader.loaded);
    };
    let floor = loader.floor(stated_floor);
    loader.retire_below(floor);
    loader.replay(floor, last, newest)?;
    loader.assign_to_segments();
    loader.loaded.records_before_last = loader.headers.get(&last).map_or(0, |header| header.records_before);
    Ok(loader.loaded)
}

/// The steps of [`load`] and what they share.
struct Loader<'a> {
    disk: &'a mut dyn Disk,
    /// Segment files by sequence number.
    files: BTreeMap<u64, StoredFile>,
    /// Headers that can be read, by sequence number.
    headers: BTreeMap<u64, SegmentHeader>,
    /// Bytes of the file read last.
    buffer: Vec<u8>,
    loaded: Loaded,
}

impl<'a> Loader<'a> {
    /// Lists the folder's files.
    fn list(disk: &'a mut dyn Disk) -> Result<Self, OpenError> {
        let mut names = disk.names().map_err(OpenError::io(""))?;
        // A damaged segment may have been renamed while it was still part of the log, so that it may have either name.
        // If there are files of both names, the one without the prefix takes precedence, as it sorts last.
        names.sort();
        let mut loaded = Loaded::default();
        let mut files = BTreeMap::new();
        for (name, length) in names.into_iter().filter(|(name, _)| !name.starts_with(SNAPSHOT_PREFIX)) {
            loaded.used += size_on_disk(length);
            if name == legacy::FILE_NAME {
                loaded.legacy = true;
            } else if let Some(sequence) = parse_sequence(name.strip_prefix(DAMAGED_PREFIX).unwrap_or(&name))
            {
                files.insert(sequence, StoredFile { name, length });
            }
        }
        Ok(Self { disk, files, headers: BTreeMap::new(), buffer: Vec::new(), loaded })
    }

    /// Finds the newest segment that was ever used and returns the floor that it states. Retires newer files, which a
    /// process was creating when it ended.
    fn find_newest_segment(&mut self) -> Result<Option<u64>, OpenError> {
        while let Some(newest) = self.files.last_entry() {
            let file = newest.get();
            self.disk.read(&file.name, WHOLE_FILE, &mut self.buffer).map_err(OpenError::io(&file.name))?;
            match SegmentHeader::read(&self.buffer) {
                Ok(header) => return Ok(Some(floor(&self.buffer).unwrap_or(header.floor))),
                Err(HeaderError::UnsupportedVersion(version)) => {
                    return Err(OpenError::Newer { file: file.name.clone(), version: Some(version) });
                }
                Err(_) if self.buffer.len() <= HEADER_SIZE => self.loaded.retired.push(newest.remove()),
                Err(_) => return Ok(None),
            }
        }
        Ok(None)
    }

    /// Reads the headers of all segment files.
    fn read_headers(&mut self) -> Result<(), OpenError> {
        for (sequence, file) in &self.files {
            let read = self.disk.read(&file.name, HEADER_SIZE as u64, &mut self.buffer);
            read.map_err(OpenError::io(&file.name))?;
            if let Ok(header) = SegmentHeader::read(&self.buffer) {
                self.headers.insert(*sequence, header);
            }
        }
        Ok(())
    }

    /// Reads the file of a version before 0.2, if there is one.
    fn replay_legacy(&mut self) -> Result<(), OpenError> {
        if self.loaded.legacy {
            let read = self.disk.read(legacy::FILE_NAME, WHOLE_FILE, &mut self.buffer);
            read.map_err(OpenError::io(legacy::FILE_NAME))?;
            legacy::read(&self.buffer, &mut self.loaded.state);
        }
        Ok(())
    }

    /// Returns the sequence number of the log's first segment, from the newest segment if it states one, else from the
    /// newest header that can be read, else from the name of the first file.
    fn floor(&self, stated: Option<u64>) -> u64 {
        let in_header = || self.headers.values().next_back().map(|header| header.floor);
        stated.or_else(in_header).or(self.files.keys().next().copied()).unwrap_or(0)
    }

    /// Retires the files that are no longer part of the log. Preserved damaged files stay.
    fn retire_below(&mut self, floor: u64) {
        let below = self.files.range(..floor).map(|(_, file)| file);
        self.loaded.retired.extend(below.filter(|file| !file.name.starts_with(DAMAGED_PREFIX)).cloned());
    }

    /// Replays the segments from `floor` to `last`. A missing one counts as damaged.
    fn replay(&mut self, floor: u64, last: u64, newest: Successor) -> Result<(), OpenError> {
        let mut replay = Replay::default();
        for sequence in floor..=last {
            let Some(file) = self.files.get(&sequence).map(|file| file.name.clone()) else {
                self.loaded.add_unreadable(file_name(sequence));
                continue;
            };
            self.disk.read(&file, WHOLE_FILE, &mut self.buffer).map_err(OpenError::io(&file))?;
            let successor = match self.headers.get(&(sequence + 1)) {
                Some(header) => Successor::Segment { records_before: header.records_before },
                None if sequence < last => Successor::NoneUnordered,
                None => newest,
            };
            let mut segment = Segment::new(sequence, self.buffer.len() as u64);
            match replay.segment(&self.buffer, successor, &mut self.loaded.state) {
                Ok(found) => self.loaded.add_replayed(&file, &mut segment, &found),
                Err(Unreadable::Header(HeaderError::UnsupportedVersion(version))) => {
                    return Err(OpenError::Newer { file, version: Some(version) });
                }
                Err(Unreadable::UnknownRecord) => return Err(OpenError::Newer { file, version: None }),
                Err(Unreadable::Header(_)) => {
                    segment.damaged = true;
                    segment.header_unreadable = true;
                    self.loaded.add_unreadable(file);
                }
            }
            self.loaded.segments.push(segment);
        }
        Ok(())
    }

    /// Adds each pending message and ledger entry to the list of the segment that holds it.
    fn assign_to_segments(&mut self) {
        let Loaded { state, segments, .. } = &mut self.loaded;
        let index_of: BTreeMap<u64, usize> =
            segments.iter().enumerate().map(|(index, segment)| (segment.sequence, index)).collect();
        for (message, pending) in state.live() {
            if let Some(index) = index_of.get(&pending.segment) {
                segments[*index].messages.push(*message);
            }
        }
        for (number, stored) in state.ledger() {
            if let Some(index) = index_of.get(&stored.segment) {
                segments[*index].ledger_entries.push(number);
            }
        }
    }
}

impl Loaded {
    /// Adds a file that is missing or whose header can't be read.
    fn add_unreadable(&mut self, file: String) {
        self.damaged.push(DamagedFile { file, range: None });
        self.suspected += self.state.mark_possibly_applied();
    }

    /// Adds the result of replaying a segment.
    fn add_replayed(&mut self, file: &str, segment: &mut Segment, found: &ReplayedSegment) {
        segment.length = found.length;
        segment.records = found.records;
        segment.damaged = !found.damaged.is_empty();
        self.torn = found.torn;
        self.suspected += found.suspected;
        let damaged = |range: &DamagedRange| DamagedFile { file: file.to_owned(), range: Some(*range) };
        self.damaged.extend(found.damaged.iter().map(damaged));
    }
}
