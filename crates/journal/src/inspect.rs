//! Reads a journal without changing it, also while a sender writes to it.

use std::collections::BTreeMap;
use std::io;

use crate::disk::Disk;
use crate::error::OpenError;
use crate::load::{DamagedFile, Loaded, load};
use crate::record::{LedgerEntry, PendingMessage};
use crate::replay::Successor;
use crate::segment::Segment;

/// How often the files are read at most if a running sender changes them in the meantime.
const MAX_READS: usize = 10;

/// A segment of the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FileFigures {
    /// The file.
    pub file: String,
    /// Its length in bytes, without a torn write at the end.
    pub bytes: u64,
    /// The number of its records.
    pub records: u32,
    /// The number of pending messages whose records it holds.
    pub live: usize,
}

/// What a journal holds.
#[derive(Debug)]
pub struct Inspection {
    /// The segments of the log, oldest first.
    pub files: Vec<FileFigures>,
    /// The number of files that are no longer part of the log and not removed yet.
    pub retired: usize,
    /// Bytes of all files in the folder, in whole blocks of 512.
    pub used: u64,
    /// What is damaged.
    pub damaged: Vec<DamagedFile>,
    /// Messages that the damage may affect.
    pub suspected: usize,
    /// Bytes at the end that are not a complete write: torn, or still being written.
    pub torn: u64,
    /// The pending messages by number.
    pub live: BTreeMap<u32, PendingMessage>,
    /// The ledger, oldest entry first.
    pub ledger: Vec<LedgerEntry>,
}

/// Reads the journal on a disk.
///
/// # Errors
/// Fails when the system does, or a newer version wrote the files. Damage is not an error here.
pub fn inspect(disk: &mut dyn Disk) -> Result<Inspection, OpenError> {
    let loaded = load_stable(disk)?;
    Ok(Inspection {
        files: loaded.segments.iter().map(figures).collect(),
        retired: loaded.retired.len(),
        used: loaded.used,
        damaged: loaded.damaged,
        suspected: loaded.suspected,
        torn: loaded.torn,
        ledger: loaded.state.ledger().map(|(_, stored)| stored.entry.clone()).collect(),
        live: loaded.state.live().iter().map(|(number, pending)| (*number, pending.clone())).collect(),
    })
}

/// Loads the files, and loads them again if a running sender may have changed them in the meantime: it removed a file
/// between listing and reading, or was writing a header that looked damaged.
fn load_stable(disk: &mut dyn Disk) -> Result<Loaded, OpenError> {
    let mut reads = 0;
    loop {
        reads += 1;
        match load(disk, Successor::NoneUnordered) {
            Err(OpenError::Io { source, .. })
                if source.kind() == io::ErrorKind::NotFound && reads < MAX_READS => {}
            Ok(loaded) if !loaded.damaged.is_empty() && reads < MAX_READS => {}
            loaded => return loaded,
        }
    }
}

fn figures(segment: &Segment) -> FileFigures {
    FileFigures {
        file: segment.file.clone(),
        bytes: segment.length,
        records: segment.records,
        live: segment.messages.len(),
    }
}
