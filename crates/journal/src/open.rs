//! Opening a journal: reads the files of earlier processes and prepares them for appending.

use std::fmt;
use std::path::Path;

use crate::disk::{Disk, Folder};
use crate::error::OpenError;
use crate::format::HEADER_SIZE;
use crate::legacy;
use crate::load::{DamagedFile, Loaded, load};
use crate::migration;
use crate::record::Micros;
use crate::replay::Successor;
use crate::segment::{Segment, StoredFile, parse_sequence, size_on_disk};
use crate::store::{Damage, Journal, Options};

/// What an operator should know about the opening of a journal.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OpenReport {
    /// What is damaged. Each file is preserved under a name that begins with `damaged-` once its records are copied.
    pub damaged: Vec<DamagedFile>,
    /// Messages that the damage may affect, which count as possibly applied.
    pub suspected: usize,
    /// Bytes of a torn last write, which are truncated. They belong to an append that never succeeded.
    pub torn: u64,
    /// Whether the file of an earlier version was migrated.
    pub migrated: bool,
}

impl fmt::Display for OpenReport {
    /// Writes one line for each finding, and nothing if there are none.
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        if self.migrated {
            writeln!(f, "journal: migrated the file of an earlier version")?;
        }
        if self.torn > 0 {
            writeln!(f, "journal: truncated {} bytes of a torn write", self.torn)?;
        }
        for DamagedFile { file, range } in &self.damaged {
            match range {
                Some(range) => {
                    writeln!(f, "journal: {file} is damaged, {range}; it is kept as damaged-{file}")?;
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
    /// Opens the journal in a folder, which is created if it does not exist and locked against other processes.
    ///
    /// # Errors
    /// Fails when the folder can't be written, another process has locked it, a newer version wrote it, or it is
    /// damaged and the options refuse damage.
    pub fn open(folder: &Path, options: Options, now: Micros) -> Result<(Self, OpenReport), OpenError> {
        let disk = Folder::lock(folder).map_err(OpenError::io(""))?;
        Self::open_on(Box::new(disk.ok_or(OpenError::Locked)?), options, now)
    }

    /// Opens the journal on a disk that nothing else writes to.
    ///
    /// # Errors
    /// As [`Journal::open`].
    pub fn open_on(
        mut disk: Box<dyn Disk>,
        options: Options,
        now: Micros,
    ) -> Result<(Self, OpenReport), OpenError> {
        if options.ledger_limit() > Options::max_ledger_bytes(options.limit) {
            return Err(OpenError::LedgerTooLarge);
        }
        let newest = if options.sync { Successor::NoneUnordered } else { Successor::NoneInOrder };
        let mut loaded = load(&mut *disk, newest)?;
        if let (Damage::Refuse, Some(DamagedFile { file, range })) = (options.damage, loaded.damaged.first())
        {
            return Err(OpenError::Damaged { file: file.clone(), range: *range });
        }
        let report = OpenReport {
            damaged: std::mem::take(&mut loaded.damaged),
            suspected: loaded.suspected,
            torn: loaded.torn,
            migrated: loaded.legacy && loaded.segments.is_empty(),
        };
        let journal = Recovery { disk, options, loaded, now }.run()?;
        Ok((journal, report))
    }
}

/// Prepares a loaded folder for appending. The folder can be opened again after every step.
struct Recovery {
    disk: Box<dyn Disk>,
    options: Options,
    loaded: Loaded,
    now: Micros,
}

impl Recovery {
    fn run(mut self) -> Result<Journal, OpenError> {
        self.remove_unfinished_migration()?;
        if self.loaded.legacy {
            self.migrate_legacy()?;
        }
        self.truncate_torn_write()?;
        self.remove_unused_segments()?;
        let durable_bytes = self.sync_last_segment()?;
        let needs_new_segment = self.loaded.segments.last().is_none_or(|last| last.header_unreadable);
        let mut journal = Journal::new(self.disk, self.options, self.loaded.state);
        journal.segments = self.loaded.segments.into();
        journal.retired = self.loaded.retired.into();
        journal.used_bytes = self.loaded.used;
        journal.records_before_active = self.loaded.records_before_last;
        journal.durable_bytes = durable_bytes;
        if needs_new_segment {
            journal.roll(self.now).map_err(OpenError::io(""))?;
        }
        Ok(journal)
    }

    /// Removes the incomplete file of a process that ended while it migrated an earlier version's file.
    fn remove_unfinished_migration(&mut self) -> Result<(), OpenError> {
        let names = self.disk.names().map_err(OpenError::io(""))?;
        if let Some((_, length)) = names.iter().find(|(name, _)| name == migration::FILE_NAME) {
            self.disk.remove(migration::FILE_NAME).map_err(OpenError::io(migration::FILE_NAME))?;
            self.loaded.used -= size_on_disk(*length);
        }
        Ok(())
    }

    /// Migrates an earlier version's file unless a previous process did so, and retires it.
    fn migrate_legacy(&mut self) -> Result<(), OpenError> {
        let names = self.disk.names().map_err(OpenError::io(""))?;
        let length =
            names.iter().find(|(name, _)| name == legacy::FILE_NAME).map_or(0, |(_, length)| *length);
        if self.loaded.segments.is_empty() {
            // A segment that was created and never used may have the name of the new one.
            for file in std::mem::take(&mut self.loaded.retired) {
                self.remove(&file)?;
            }
            let segment = self.migrate().map_err(OpenError::io(migration::FILE_NAME))?;
            self.loaded.used += size_on_disk(segment.length);
            self.loaded.segments.push(segment);
        }
        self.loaded.retired.push(StoredFile { name: legacy::FILE_NAME.to_owned(), length });
        Ok(())
    }

    fn migrate(&mut self) -> std::io::Result<Segment> {
        let Loaded { state, used, .. } = &self.loaded;
        migration::write_first_segment(&mut *self.disk, &self.options, state, *used, self.now)
    }

    /// Truncates the torn write at the end of the last segment, if there is one.
    fn truncate_torn_write(&mut self) -> Result<(), OpenError> {
        let torn = self.loaded.torn;
        let Some(last) = self.loaded.segments.last().filter(|_| torn > 0) else { return Ok(()) };
        self.disk.truncate(&last.file, last.length).map_err(OpenError::io(&last.file))?;
        self.loaded.used -= size_on_disk(last.length + torn) - size_on_disk(last.length);
        Ok(())
    }

    /// Removes segments that were created and never used, because the next segment may need their names.
    fn remove_unused_segments(&mut self) -> Result<(), OpenError> {
        let last = self.loaded.segments.last().map_or(0, |last| last.sequence);
        let is_unused = |file: &StoredFile| parse_sequence(&file.name) > Some(last);
        while let Some(index) = self.loaded.retired.iter().position(is_unused) {
            let file = self.loaded.retired.remove(index);
            self.remove(&file)?;
        }
        Ok(())
    }

    /// Syncs the last segment and returns how many of its bytes are durable. The previous process may have ended before
    /// its sync, and this process is going to act on the records.
    fn sync_last_segment(&mut self) -> Result<u64, OpenError> {
        let (true, Some(last)) = (self.options.sync, self.loaded.segments.last()) else {
            return Ok(HEADER_SIZE as u64);
        };
        self.disk.sync(&last.file).map_err(OpenError::io(&last.file))?;
        self.disk.sync_names().map_err(OpenError::io(""))?;
        Ok(last.length)
    }

    fn remove(&mut self, file: &StoredFile) -> Result<(), OpenError> {
        self.disk.remove(&file.name).map_err(OpenError::io(&file.name))?;
        self.loaded.used -= size_on_disk(file.length);
        Ok(())
    }
}
