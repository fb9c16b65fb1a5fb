//! Generations of the snapshot on a disk: written in slices, and removed when the journal needs their space.
//!
//! A generation is a file `known-000000000001` and so on: a head, a baseline of all records, and increments. The next one is
//! started when the increments have grown. Until its baseline is complete the previous one counts for what the new one does not
//! have yet; then the previous one is removed. Nothing is ever appended to a failed write: the file is truncated, or the next
//! generation is started.

mod files;
mod slice;

use std::io;

use journal::disk::Disk;

use crate::format::{Head, VERSION, Writer};
use crate::replay::Snapshot;
use crate::schedule::WriteScheduler;
use crate::timestamp::Timestamp;
use crate::{DestinationRecord, ListVersion, Micros};
use files::{Directory, File};

pub use files::{RELEASED_MARKER, load, owner};

/// A slice ends with the destination that exceeds this many bytes.
pub const SLICE_BYTES: usize = 16 << 10;
/// With less space than this nothing is written.
pub const MIN_SPACE: u64 = 4 << 10;
/// After space was released, or a write failed, nothing is written for this time; it doubles with each repetition.
const BACKOFF: Micros = 2_000_000;
/// The longest backoff.
const MAX_BACKOFF: Micros = 60_000_000;
/// Maximum number of times that the backoff doubles.
const MAX_BACKOFF_DOUBLINGS: u32 = 5;

/// How the snapshot is stored.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// Bytes that the files may occupy, in whole blocks.
    pub size: u64,
    /// Whether restrictions, complete baselines and the names of files are synced to the disk.
    pub sync: bool,
}

/// What a slice wrote.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SliceResult {
    /// Destinations written.
    pub destinations: usize,
    /// Bytes appended.
    pub bytes: u64,
}

/// Provides the records to write.
pub trait Source {
    /// Returns all destinations that have a record.
    fn destinations(&self) -> Vec<u16>;

    /// Returns the record of one destination, if it has one.
    fn record(&self, destination: u16) -> Option<DestinationRecord>;

    /// Returns the endpoint list's version.
    fn list(&self) -> ListVersion;
}

/// The files of a snapshot, and what is still to be written to them.
pub struct Store {
    disk: Box<dyn Disk>,
    options: Options,
    owner: String,
    scheduler: WriteScheduler,
    writer: Writer,
    /// Earlier generations, which count until the active one's baseline is complete.
    earlier: Vec<File>,
    active: Option<File>,
    next_sequence: u64,
    /// The difference that is to be added to the times of earlier generations.
    shift: i64,
    /// Nothing is written before this time.
    backoff_until: Micros,
    /// Consecutive backoffs.
    backoffs: u32,
    has_marker: bool,
    /// The list's version that was written last.
    written_list: ListVersion,
    written_bytes: u64,
}

impl std::fmt::Debug for Store {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.debug_struct("Store").field("used", &self.used()).field("next", &self.next_sequence).finish()
    }
}

impl Store {
    /// Opens the files, and reads them. Requires the journal's lock.
    ///
    /// # Errors
    /// Fails if the disk does; the sender can work without a snapshot.
    pub fn open(mut disk: Box<dyn Disk>, owner: &str, options: Options) -> io::Result<(Self, Snapshot)> {
        let snapshot = load(&mut *disk, owner)?;
        let directory = Directory::read(&mut *disk)?;
        let store = Self {
            disk,
            options,
            owner: owner.to_owned(),
            scheduler: WriteScheduler::default(),
            writer: Writer::default(),
            next_sequence: directory.next_sequence().unwrap_or(1),
            earlier: directory.generations.into_iter().map(|generation| generation.file).collect(),
            active: None,
            shift: 0,
            backoff_until: 0,
            backoffs: 0,
            has_marker: directory.has_marker,
            written_list: ListVersion::default(),
            written_bytes: 0,
        };
        Ok((store, snapshot))
    }

    /// Sets how far this process's clock is ahead of the one that the snapshot was written by.
    pub fn set_clock_shift(&mut self, shift: i64) {
        self.shift = shift;
    }

    /// Returns the bytes that the files occupy, in whole blocks.
    pub fn used(&self) -> u64 {
        self.earlier.iter().chain(&self.active).map(File::occupied).sum()
    }

    /// Returns the bytes appended since the store was opened.
    pub fn written(&self) -> u64 {
        self.written_bytes
    }

    /// Schedules the examination of a destination whose observations may have changed.
    pub fn mark_changed(&mut self, destination: u16, now: Micros) {
        self.scheduler.mark_changed(destination, now);
    }

    /// Schedules a destination for the next slice: a Retry-After was received or, if `listed`, its endpoints have changed.
    pub fn mark_urgent(&mut self, destination: u16, listed: bool, now: Micros) {
        self.scheduler.mark_urgent(destination, listed, now);
    }

    /// Returns when a slice is due.
    pub fn next_due(&self, now: Micros) -> Option<Micros> {
        let due = if self.active.is_none() { Some(now) } else { self.scheduler.next_due(now) };
        due.map(|due| due.max(self.backoff_until))
    }

    /// Writes one slice. Called after the answers and calls of an event loop iteration are sent. `space` is how many bytes the
    /// files may occupy now, besides the journal's.
    ///
    /// # Errors
    /// Fails if the disk does: no accepted message depends on the slice, and it is attempted again later.
    pub fn write_slice(
        &mut self,
        timestamp: &Timestamp,
        space: u64,
        source: &dyn Source,
    ) -> io::Result<SliceResult> {
        let now = timestamp.wall;
        if now < self.backoff_until {
            return Ok(SliceResult::default());
        }
        let space = space.min(self.options.size);
        if space < MIN_SPACE {
            self.back_off(now);
            return Ok(SliceResult::default());
        }
        let result = self.write_due(timestamp, space, source);
        match &result {
            Ok(_) => self.backoffs = 0,
            Err(_) => {
                // The file may end in a partial write, after which nothing may be appended.
                self.active = None;
                self.reread_directory();
                self.back_off(now);
            }
        }
        result
    }

    /// Reads the directory again, as a failure may have left other files than expected.
    fn reread_directory(&mut self) {
        if let Ok(directory) = Directory::read(&mut *self.disk) {
            let next_sequence = directory.next_sequence().unwrap_or(self.next_sequence);
            self.next_sequence = self.next_sequence.max(next_sequence);
            self.earlier = directory.generations.into_iter().map(|generation| generation.file).collect();
            self.has_marker = directory.has_marker;
        }
    }

    fn back_off(&mut self, now: Micros) {
        let backoff = BACKOFF << self.backoffs.min(MAX_BACKOFF_DOUBLINGS);
        self.backoff_until = now + backoff.min(MAX_BACKOFF);
        self.backoffs += 1;
    }

    /// Starts the next generation.
    fn start_generation(&mut self, source: &dyn Source) -> io::Result<()> {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let head = Head { version: VERSION, sequence, shift: self.shift, owner: self.owner.clone() }.bytes();
        let name = files::name(sequence);
        self.disk.create(&name)?;
        self.earlier.extend(self.active.take());
        self.active = Some(File { name: name.clone(), length: 0 });
        self.disk.append(&name, &head)?;
        if let Some(active) = &mut self.active {
            active.length = head.len() as u64;
        }
        if self.options.sync {
            self.disk.sync_names()?;
        }
        // Only generations of an earlier process are on another clock.
        self.shift = 0;
        self.written_list = ListVersion::default();
        self.scheduler.begin(source.destinations());
        Ok(())
    }

    /// Removes earlier generations, which are obsolete, and the marker of released space.
    fn remove_earlier(&mut self) -> io::Result<()> {
        while let Some(file) = self.earlier.pop() {
            if let Err(e) = self.disk.remove(&file.name) {
                self.earlier.push(file);
                return Err(e);
            }
        }
        if self.has_marker {
            self.disk.remove(RELEASED_MARKER)?;
            self.has_marker = false;
        }
        Ok(())
    }

    /// Removes all generations. The marker is created first, so that a process that starts meanwhile detects the lost records.
    fn remove_all(&mut self) -> io::Result<()> {
        if !self.has_marker {
            self.disk.create(RELEASED_MARKER)?;
            self.has_marker = true;
        }
        if self.options.sync {
            self.disk.sync_names()?;
        }
        self.earlier.extend(self.active.take());
        while let Some(file) = self.earlier.pop() {
            self.disk.remove(&file.name)?;
        }
        Ok(())
    }

    /// Releases all space to the journal. A process that starts before a new generation is complete detects the lost records.
    ///
    /// # Errors
    /// Fails if the disk does; files that could not be removed still count as used.
    pub fn release(&mut self, now: Micros) -> io::Result<()> {
        self.back_off(now);
        let result = self.remove_all();
        if result.is_err() {
            self.reread_directory();
        }
        result
    }
}
