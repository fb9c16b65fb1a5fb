//! Opening a journal: what an earlier process left is read, and made fit to be gone on with.

use std::fmt;
use std::path::Path;

use crate::disk::{Disk, Folder};
use crate::error::OpenError;
use crate::format::{HEAD, Head, Writer};
use crate::legacy;
use crate::load::{DamagedFile, Loaded, WHOLE, load};
use crate::record::Micros;
use crate::replay::Follows;
use crate::segment::{BLOCK, Segment, blocks, name};
use crate::state::State;
use crate::store::{Damage, Journal, Options};

/// The file that an earlier version's journal is written anew to, until it is whole.
const NEW: &str = "journal.new";
/// Bytes that are written at a time when a journal is written anew.
const CHUNK: usize = 1 << 20;

/// What was found at the opening that a person should know.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OpenReport {
    /// What is damaged. Each file is kept, under a name that begins with `damaged-` once its records are written anew.
    pub damaged: Vec<DamagedFile>,
    /// Messages that may be affected, and are treated as possibly applied.
    pub suspected: usize,
    /// Bytes of a last append that its process did not get to the end of. They were promised to nobody.
    pub torn: u64,
    /// An earlier version's file was carried over.
    pub migrated: bool,
}

impl fmt::Display for OpenReport {
    /// A line for each thing that was found; nothing where all is well.
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        if self.migrated {
            writeln!(f, "journal: the file of an earlier version is carried over")?;
        }
        if self.torn > 0 {
            writeln!(f, "journal: {} bytes of an append that was not finished are cut off", self.torn)?;
        }
        for DamagedFile { file, stretch } in &self.damaged {
            match stretch {
                Some(stretch) => {
                    writeln!(f, "journal: {file} is damaged, {stretch}; it is kept as damaged-{file}")?
                }
                None => writeln!(f, "journal: {file} is missing, or its head is damaged")?,
            }
        }
        if !self.damaged.is_empty() {
            writeln!(f, "journal: {} messages are treated as possibly applied", self.suspected)?;
        }
        Ok(())
    }
}

impl Journal {
    /// Opens the journal in a folder, which is made if it is not there and locked against other processes.
    ///
    /// # Errors
    /// Fails when it can't be written, is another process's or a newer version's, or is damaged and must not be gone
    /// on with.
    pub fn open(folder: &Path, options: Options, now: Micros) -> Result<(Self, OpenReport), OpenError> {
        let disk = Folder::lock(folder).map_err(|source| OpenError::Io { file: String::new(), source })?;
        Self::open_on(Box::new(disk.ok_or(OpenError::Locked)?), options, now)
    }

    /// The same on any disk, which nobody else writes to.
    ///
    /// # Errors
    /// As [`Journal::open`].
    pub fn open_on(
        mut disk: Box<dyn Disk>,
        options: Options,
        now: Micros,
    ) -> Result<(Self, OpenReport), OpenError> {
        if options.retain.as_ref().is_some_and(|retain| retain.bytes > options.limit / 4) {
            return Err(OpenError::LedgerTooLarge);
        }
        let newest = if options.sync { Follows::NothingInAnyOrder } else { Follows::NothingInOrder };
        let mut loaded = load(&mut *disk, newest)?;
        if let (Damage::Refuse, Some(DamagedFile { file, stretch })) =
            (options.damage, loaded.damaged.first())
        {
            return Err(OpenError::Damaged { file: file.clone(), stretch: *stretch });
        }
        let report = OpenReport {
            damaged: std::mem::take(&mut loaded.damaged),
            suspected: loaded.suspected,
            torn: loaded.torn,
            migrated: loaded.legacy && loaded.segments.is_empty(),
        };
        let journal = Self::go_on(disk, options, loaded, now);
        Ok((journal.map_err(|(file, source)| OpenError::Io { file, source })?, report))
    }

    /// Makes it fit to be gone on with. Each step leaves a folder that can be opened again.
    fn go_on(
        mut disk: Box<dyn Disk>,
        options: Options,
        loaded: Loaded,
        now: Micros,
    ) -> Result<Self, (String, std::io::Error)> {
        let Loaded { state, mut segments, mut dying, used, records, torn, legacy, .. } = loaded;
        let of = |file: &str| {
            let file = file.to_owned();
            move |source| (file, source)
        };
        let mut used = used;
        if disk.names().map_err(of(""))?.iter().any(|(file, _)| file == NEW) {
            let mut left = Vec::new();
            disk.read(NEW, WHOLE, &mut left).map_err(of(NEW))?;
            disk.remove(NEW).map_err(of(NEW))?;
            used -= blocks(left.len() as u64);
        }
        if legacy {
            let mut old = Vec::new();
            disk.read(legacy::NAME, WHOLE, &mut old).map_err(of(legacy::NAME))?;
            if segments.is_empty() {
                // A segment that was begun and never used would be in the way.
                for (file, length) in dying.drain(..) {
                    disk.remove(&file).map_err(of(&file))?;
                    used -= blocks(length);
                }
                let segment = carry_over(&mut *disk, &options, &state, used, now).map_err(of(NEW))?;
                used += blocks(segment.length);
                segments.push(segment);
            }
            // Whole segments are there: it counts for nothing.
            dying.push((legacy::NAME.to_owned(), old.len() as u64));
        }
        let headless = segments.last().is_none_or(|last| last.headless);
        if let Some(last) = segments.last().filter(|_| torn > 0) {
            let file = last.name.clone();
            disk.cut(&file, last.length).map_err(of(&file))?;
            used -= blocks(last.length + torn) - blocks(last.length);
        }
        // Files that were begun and never used are in the way of a further one.
        let last = segments.last().map_or(0, |last| last.sequence);
        while let Some(at) = dying.iter().position(|(file, _)| crate::segment::sequence(file) > Some(last)) {
            let (file, length) = dying.remove(at);
            disk.remove(&file).map_err(of(&file))?;
            used -= blocks(length);
        }
        let mut sure = HEAD as u64;
        // Guards what this process is going to act on: the one before may have ended ahead of its sync.
        if let (true, Some(last)) = (options.sync, segments.last()) {
            let file = last.name.clone();
            disk.sync(&file).map_err(of(&file))?;
            disk.sync_names().map_err(of(""))?;
            sure = last.length;
        }
        let mut journal = Self::new(disk, options, state);
        journal.segments = segments.into();
        journal.dying = dying.into();
        journal.used = used;
        journal.records = records;
        journal.sure = sure;
        if headless {
            journal.begin_segment(now).map_err(of(""))?;
        }
        Ok(journal)
    }
}

/// Writes all that an earlier version's file came to as the first segment.
fn carry_over(
    disk: &mut dyn Disk,
    options: &Options,
    state: &State,
    used: u64,
    now: Micros,
) -> std::io::Result<Segment> {
    let sequence = 1;
    let mut segment = Segment::new(sequence, 0);
    let mut writer = Writer::default();
    writer.turn(sequence, now, 0, 0);
    disk.create(NEW)?;
    disk.append(NEW, &Head { sequence, floor: sequence, records: 0, began: now }.bytes())?;
    segment.length = HEAD as u64;
    let mut flush = |writer: &mut Writer, segment: &mut Segment| -> std::io::Result<()> {
        segment.length += writer.bytes().len() as u64;
        segment.records += writer.records();
        if used + blocks(segment.length) + BLOCK > options.limit {
            return Err(std::io::ErrorKind::StorageFull.into());
        }
        disk.append(NEW, writer.bytes())?;
        writer.clear();
        Ok(())
    };
    for (message, live) in state.live() {
        let written = writer.moved(sequence, *message, live);
        written.map_err(|_| std::io::Error::other("a message that has no room in the format"))?;
        segment.residents.push(*message);
        if writer.bytes().len() > CHUNK {
            flush(&mut writer, &mut segment)?;
        }
    }
    flush(&mut writer, &mut segment)?;
    if options.sync {
        disk.sync(NEW)?;
    }
    disk.rename(NEW, &name(sequence))?;
    if options.sync {
        disk.sync_names()?;
    }
    Ok(segment)
}
