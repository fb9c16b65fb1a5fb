//! A look at a journal from outside: it changes nothing, and may be taken while a sender writes.

use std::collections::BTreeMap;
use std::io;

use crate::disk::Disk;
use crate::error::OpenError;
use crate::load::{DamagedFile, Loaded, load};
use crate::record::{LedgerEntry, PendingMessage};
use crate::replay::Follows;
use crate::segment::Segment;

/// How often it is begun anew when files go while they are read.
const TRIES: usize = 10;

/// A file that counts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FileFigures {
    /// The file.
    pub file: String,
    /// Its bytes, up to a torn end.
    pub bytes: u64,
    /// Its records.
    pub records: u32,
    /// Messages that are owed their end and begin in it.
    pub live: usize,
}

/// What was seen.
#[derive(Debug)]
pub struct Inspection {
    /// Files that count, oldest first.
    pub files: Vec<FileFigures>,
    /// Files that count for nothing and have not gone yet.
    pub dying: usize,
    /// Bytes of all files in the folder, in whole blocks of 512.
    pub used: u64,
    /// What is damaged.
    pub damaged: Vec<DamagedFile>,
    /// Messages that may be affected by the damage.
    pub suspected: usize,
    /// Bytes at the end that are no whole append: torn, or being written at that moment.
    pub torn: u64,
    /// Messages that are owed their end, by number.
    pub live: BTreeMap<u32, PendingMessage>,
    /// The ledger of orders, oldest first.
    pub ledger: Vec<LedgerEntry>,
}

/// Looks at what a disk holds.
///
/// # Errors
/// Fails when the system does, or a newer version wrote it. Damage is no error here.
pub fn inspect(disk: &mut dyn Disk) -> Result<Inspection, OpenError> {
    let mut tries = 0;
    let loaded = loop {
        tries += 1;
        match load(disk, Follows::NothingInAnyOrder) {
            // A running sender has dropped a file between two looks; or one was met whose head it was just writing.
            Err(OpenError::Io { source, .. })
                if source.kind() == io::ErrorKind::NotFound && tries < TRIES => {}
            Ok(loaded) if !loaded.damaged.is_empty() && tries < TRIES => {}
            loaded => break loaded?,
        }
    };
    let Loaded { state, segments, dying, used, damaged, suspected, torn, .. } = loaded;
    let figures = |s: &Segment| FileFigures {
        file: s.name.clone(),
        bytes: s.length,
        records: s.records,
        live: s.residents.len(),
    };
    Ok(Inspection {
        files: segments.iter().map(figures).collect(),
        dying: dying.len(),
        used,
        damaged,
        suspected,
        torn,
        ledger: state.ledger().map(|(_, entry)| entry.remembered.clone()).collect(),
        live: state.live().iter().map(|(number, live)| (*number, live.clone())).collect(),
    })
}
