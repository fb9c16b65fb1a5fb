//! Generations of what is known, on a disk: written in slices, given back to the journal when that needs the room.
//!
//! A generation is a file `known-000000000001` and so on: its head, a whole, and differences behind it. A further one is begun
//! when the differences have grown; until its whole is at its end the one before counts for what it does not say yet, then it
//! goes. Nothing is ever written behind a write that failed: the file is cut back, or a further generation is begun.

use std::io;

use journal::SNAPSHOT_PREFIX as PREFIX;
use journal::disk::Disk;

use crate::format::{Head, VERSION, Writer};
use crate::keep::{SLICE, Step, WriteScheduler};
use crate::replay::{ReplayFault, Snapshot, read};
use crate::stamp::Timestamp;
use crate::{DestinationRecord, Micros};

/// An empty file that says that something was known, and its room was given back.
pub const RELEASED_MARKER: &str = "known-given-back";
/// A slice appends so many bytes at most, and one destination more.
pub const SLICE_BYTES: usize = 16 << 10;
/// With less room than that nothing is kept.
pub const LEAST_ROOM: u64 = 4 << 10;
/// After room was given back, or a write failed, nothing is tried for so long; twice as long with each further time.
const REST: Micros = 2_000_000;
/// The longest rest.
const LONGEST_REST: Micros = 60_000_000;
/// Each file counts in whole blocks of so many bytes.
const BLOCK: u64 = 512;

fn name(sequence: u64) -> String {
    format!("{PREFIX}{sequence:012}")
}

fn sequence(name: &str) -> Option<u64> {
    let digits = name.strip_prefix(PREFIX)?;
    (digits.len() == 12 && digits.bytes().all(|b| b.is_ascii_digit())).then(|| digits.parse().ok()).flatten()
}

fn blocks(length: u64) -> u64 {
    length.next_multiple_of(BLOCK)
}

/// How it is kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// Bytes that the files may take up at most, in whole blocks.
    pub size: u64,
    /// What binds is synced.
    pub sync: bool,
}

/// A file.
#[derive(Debug)]
struct File {
    name: String,
    length: u64,
}

/// What a slice did.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SliceResult {
    /// Destinations written.
    pub destinations: usize,
    /// Bytes appended.
    pub bytes: u64,
}

/// Where what is known comes from, one destination at a time.
pub trait Source {
    /// All destinations of which anything is known.
    fn destinations(&self) -> Vec<u16>;

    /// What is known of one; none where that is nothing.
    fn kept(&self, destination: u16) -> Option<DestinationRecord>;

    /// The list's version, and when discovery last said that there is nothing newer.
    fn list(&self) -> (u64, Micros);
}

/// The files, and what is in them.
pub struct Store {
    disk: Box<dyn Disk>,
    options: Options,
    owner: String,
    keeper: WriteScheduler,
    writer: Writer,
    /// Earlier generations, which count until this one's whole is at its end.
    before: Vec<File>,
    active: Option<File>,
    next: u64,
    /// What the times of earlier generations are to be moved by.
    shift: i64,
    /// Nothing is tried before, and how often in a row that was so.
    rest_until: Micros,
    rests: u32,
    /// The marker is there.
    marked: bool,
    /// The list's version that was written last.
    list: (u64, Micros),
    written: u64,
}

impl std::fmt::Debug for Store {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.debug_struct("Store").field("used", &self.used()).field("next", &self.next).finish()
    }
}

/// Reads what is there, and changes nothing.
///
/// # Errors
/// Fails when the system does.
pub fn load(disk: &mut dyn Disk, owner: &str) -> io::Result<Snapshot> {
    let (files, marked) = names(disk)?;
    let mut read_files = Vec::new();
    for (_, file, _) in &files {
        let mut bytes = Vec::new();
        match disk.read(file, u64::MAX, &mut bytes) {
            // A running sender has dropped it meanwhile.
            Err(e) if e.kind() == io::ErrorKind::NotFound => continue,
            read => read?,
        }
        read_files.push((file.clone(), bytes));
    }
    let mut snapshot = read(owner, &read_files);
    if marked {
        snapshot.troubles.push(ReplayFault::GivenBack);
    }
    Ok(snapshot)
}

/// Whose knowledge the newest readable generation is.
///
/// # Errors
/// Fails when the system does.
pub fn owner(disk: &mut dyn Disk) -> io::Result<Option<String>> {
    let (files, _) = names(disk)?;
    for (_, file, _) in files.iter().rev() {
        let mut bytes = Vec::new();
        disk.read(file, 4 << 10, &mut bytes)?;
        if let Some((head, _)) = Head::read(&bytes) {
            return Ok(Some(head.owner));
        }
    }
    Ok(None)
}

/// Generations' files with their lengths, in order, and whether the marker is there.
type Names = (Vec<(u64, String, u64)>, bool);

fn names(disk: &mut dyn Disk) -> io::Result<Names> {
    let names = disk.names()?;
    let marked = names.iter().any(|(name, _)| name == RELEASED_MARKER);
    let mut files: Vec<_> =
        names.into_iter().filter_map(|(name, length)| Some((sequence(&name)?, name, length))).collect();
    files.sort();
    Ok((files, marked))
}

impl Store {
    /// Opens what is there, and tells what it comes to. Only who holds the journal's lock may.
    ///
    /// # Errors
    /// Fails when the system does; the sender can do without.
    pub fn open(mut disk: Box<dyn Disk>, owner: &str, options: Options) -> io::Result<(Self, Snapshot)> {
        let snapshot = load(&mut *disk, owner)?;
        let (files, marked) = names(&mut *disk)?;
        let store = Self {
            disk,
            options,
            owner: owner.to_owned(),
            keeper: WriteScheduler::default(),
            writer: Writer::default(),
            next: files.last().map_or(1, |last| last.0 + 1),
            before: files.into_iter().map(|(_, name, length)| File { name, length }).collect(),
            active: None,
            shift: 0,
            rest_until: 0,
            rests: 0,
            marked,
            list: (0, 0),
            written: 0,
        };
        Ok((store, snapshot))
    }

    /// This process's clock is so far ahead of the one that what was read was written by.
    pub fn moved_by(&mut self, shift: i64) {
        self.shift = shift;
    }

    /// Bytes that the files take up, in whole blocks.
    pub fn used(&self) -> u64 {
        self.before.iter().chain(&self.active).map(|file| blocks(file.length)).sum()
    }

    /// Bytes appended since it was opened.
    pub fn written(&self) -> u64 {
        self.written
    }

    /// Something may have changed that was learnt of a destination.
    pub fn touched(&mut self, destination: u16, now: Micros) {
        self.keeper.touched(destination, now);
    }

    /// It told a wait, or the list says something else of it.
    pub fn pressing(&mut self, destination: u16, listed: bool, now: Micros) {
        self.keeper.pressing(destination, listed, now);
    }

    /// When there is something to write.
    pub fn next_due(&self, now: Micros) -> Option<Micros> {
        let due = if self.active.is_none() { Some(now) } else { self.keeper.next_due(now) };
        due.map(|due| due.max(self.rest_until))
    }

    /// One slice, to be called after a turn whose answers and calls are out. `room` is what the files may take up now beside
    /// the journal's.
    ///
    /// # Errors
    /// Fails when the system does: nothing that is promised is touched, and it is tried again later.
    pub fn slice(&mut self, stamp: &Timestamp, room: u64, source: &dyn Source) -> io::Result<SliceResult> {
        let now = stamp.wall;
        if now < self.rest_until {
            return Ok(SliceResult::default());
        }
        let room = room.min(self.options.size);
        if room < LEAST_ROOM {
            self.rest(now);
            return Ok(SliceResult::default());
        }
        let done = self.write_slice(stamp, room, source);
        match &done {
            Ok(_) => self.rests = 0,
            Err(_) => {
                // What is in the file behind the last whole write must not be followed.
                self.active = None;
                self.forget_files();
                self.rest(now);
            }
        }
        done
    }

    /// What is on the disk, after a failure.
    fn forget_files(&mut self) {
        if let Ok((files, marked)) = names(&mut *self.disk) {
            self.next = files.last().map_or(self.next, |last| self.next.max(last.0 + 1));
            self.before = files.into_iter().map(|(_, name, length)| File { name, length }).collect();
            self.marked = marked;
        }
    }

    fn rest(&mut self, now: Micros) {
        self.rest_until = now + (REST << self.rests.min(5)).min(LONGEST_REST);
        self.rests += 1;
    }

    fn write_slice(&mut self, stamp: &Timestamp, room: u64, source: &dyn Source) -> io::Result<SliceResult> {
        let now = stamp.wall;
        if self.active.is_none() || self.keeper.wants_whole() {
            // Two generations have their room beside one another.
            if self.used() + LEAST_ROOM > room {
                self.make_room()?;
            }
            self.begin(source)?;
        }
        let Some(sequence) = self.next.checked_sub(1) else { return Ok(SliceResult::default()) };
        let left = room.saturating_sub(self.used() + BLOCK) as usize;
        self.writer.begin(sequence, stamp);
        let mut did = SliceResult::default();
        let mut binds = false;
        let mut wrote: Vec<(u16, DestinationRecord)> = Vec::new();
        for _ in 0..SLICE {
            if self.writer.bytes().len() > SLICE_BYTES {
                break;
            }
            let (destination, of_whole) = match self.keeper.next(now) {
                Some(destination) => (destination, false),
                None => match self.keeper.next_of_whole() {
                    Some(destination) => (destination, true),
                    None => break,
                },
            };
            let Some(kept) = source.kept(destination) else {
                if self.keeper.is_gone(destination) {
                    self.writer.gone(destination);
                }
                continue;
            };
            let step = if of_whole {
                self.keeper.judge_of_whole(destination, &kept)
            } else {
                self.keeper.judge(destination, &kept, now)
            };
            if step == Step::Pass {
                continue;
            }
            let before = self.writer.bytes().len();
            self.writer.destination(destination, &kept.listed, &kept.routes);
            // What binds may have all of the room, the rest half of it: differences come behind.
            let most = if step == Step::Write { left } else { left / 2 };
            if self.writer.bytes().len() > most {
                self.writer.cut(before);
                if of_whole {
                    self.keeper.left_out();
                }
                continue;
            }
            binds |= step == Step::Write;
            did.destinations += 1;
            self.keeper.wrote(destination, &kept);
            wrote.push((destination, kept));
        }
        let list = source.list();
        let whole = self.keeper.whole_is_done();
        if (whole.is_some() || self.keeper.has_list())
            && (list.0 != self.list.0 || list.1 > self.list.1 + SEEN)
        {
            self.writer.list(list.0, list.1);
            self.list = list;
        }
        if let Some(left_out) = whole {
            self.writer.whole(left_out);
        }
        if self.writer.is_empty() {
            return Ok(did);
        }
        did.bytes = self.append()?;
        if self.options.sync && (binds || whole.is_some()) {
            self.sync()?;
        }
        if whole.is_some() {
            self.keeper.whole_is_written();
            self.drop_before()?;
        }
        Ok(did)
    }

    /// Begins a further generation.
    fn begin(&mut self, source: &dyn Source) -> io::Result<()> {
        let sequence = self.next;
        self.next += 1;
        let head = Head { version: VERSION, sequence, shift: self.shift, owner: self.owner.clone() }.bytes();
        let name = name(sequence);
        self.disk.create(&name)?;
        self.before.extend(self.active.take());
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
        self.list = (0, 0);
        self.keeper.begin(source.destinations());
        Ok(())
    }

    fn append(&mut self) -> io::Result<u64> {
        let Some(active) = &mut self.active else { return Ok(0) };
        let bytes = self.writer.bytes();
        if let Err(e) = self.disk.append(&active.name, bytes) {
            // Guards what comes later against standing behind a write that is not whole.
            let _ = self.disk.truncate(&active.name, active.length);
            return Err(e);
        }
        let size = bytes.len() as u64;
        active.length += size;
        self.written += size;
        self.keeper.appended(size);
        Ok(size)
    }

    fn sync(&mut self) -> io::Result<()> {
        match &self.active {
            Some(active) => self.disk.sync(&active.name),
            None => Ok(()),
        }
    }

    /// Earlier generations count for nothing any more, and what was given back is there again.
    fn drop_before(&mut self) -> io::Result<()> {
        while let Some(file) = self.before.pop() {
            if let Err(e) = self.disk.remove(&file.name) {
                self.before.push(file);
                return Err(e);
            }
        }
        if self.marked {
            self.disk.remove(RELEASED_MARKER)?;
            self.marked = false;
        }
        Ok(())
    }

    /// There is no room for a further generation beside the last one: it goes first, and a process that starts meanwhile
    /// knows that something is lost.
    fn make_room(&mut self) -> io::Result<()> {
        if !self.marked {
            self.disk.create(RELEASED_MARKER)?;
            self.marked = true;
        }
        if self.options.sync {
            self.disk.sync_names()?;
        }
        self.before.extend(self.active.take());
        while let Some(file) = self.before.pop() {
            self.disk.remove(&file.name)?;
        }
        Ok(())
    }

    /// Gives all of its room back: the journal needs it. A process that starts before it is written anew knows that something
    /// is lost.
    ///
    /// # Errors
    /// Fails when the system does; what could not go is still counted.
    pub fn release(&mut self, now: Micros) -> io::Result<()> {
        self.rest(now);
        let done = self.make_room();
        if done.is_err() {
            self.forget_files();
        }
        done
    }
}

/// That the list is still good is written so often at most.
const SEEN: Micros = 1_000_000;
