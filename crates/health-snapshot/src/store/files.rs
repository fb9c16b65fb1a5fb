//! Names and reading of the generations' files.

use std::io;

use journal::SNAPSHOT_PREFIX as PREFIX;
use journal::disk::Disk;

use crate::format::Head;
use crate::replay::{GenerationFile, ReplayFault, Snapshot, read};

/// Name of an empty file: it shows that records existed, and that their space was released.
pub const RELEASED_MARKER: &str = "known-given-back";
/// Each file occupies whole blocks of this many bytes.
pub(super) const BLOCK_BYTES: u64 = 512;
/// Digits of the sequence in a file's name.
const SEQUENCE_DIGITS: usize = 12;
/// A file's head is within this many bytes.
const HEAD_READ_BYTES: u64 = 4 << 10;

/// A file on the disk.
#[derive(Debug)]
pub(super) struct File {
    pub(super) name: String,
    pub(super) length: u64,
}

impl File {
    /// Returns the bytes that it occupies.
    pub(super) fn occupied(&self) -> u64 {
        self.length.next_multiple_of(BLOCK_BYTES)
    }
}

/// A generation's file.
#[derive(Debug)]
pub(super) struct Generation {
    pub(super) sequence: u64,
    pub(super) file: File,
}

/// The files of the snapshot.
#[derive(Debug)]
pub(super) struct Directory {
    /// In the order of their sequence.
    pub(super) generations: Vec<Generation>,
    /// Whether [`RELEASED_MARKER`] exists.
    pub(super) has_marker: bool,
}

impl Directory {
    pub(super) fn read(disk: &mut dyn Disk) -> io::Result<Self> {
        let names = disk.names()?;
        let has_marker = names.iter().any(|(name, _)| name == RELEASED_MARKER);
        let generation = |(name, length): (String, u64)| {
            Some(Generation { sequence: sequence(&name)?, file: File { name, length } })
        };
        let mut generations: Vec<_> = names.into_iter().filter_map(generation).collect();
        generations.sort_by_key(|generation| generation.sequence);
        Ok(Self { generations, has_marker })
    }

    /// Returns the number after the newest generation's, if there is one.
    pub(super) fn next_sequence(&self) -> Option<u64> {
        self.generations.last().map(|generation| generation.sequence + 1)
    }
}

/// Returns the name of a generation's file.
pub(super) fn name(sequence: u64) -> String {
    format!("{PREFIX}{sequence:0SEQUENCE_DIGITS$}")
}

fn sequence(name: &str) -> Option<u64> {
    let digits = name.strip_prefix(PREFIX)?;
    let is_sequence = digits.len() == SEQUENCE_DIGITS && digits.bytes().all(|b| b.is_ascii_digit());
    is_sequence.then(|| digits.parse().ok()).flatten()
}

/// Reads the snapshot of an owner, and changes nothing.
///
/// # Errors
/// Fails if the disk does.
pub fn load(disk: &mut dyn Disk, owner: &str) -> io::Result<Snapshot> {
    let directory = Directory::read(disk)?;
    let mut files = Vec::new();
    for Generation { file, .. } in directory.generations {
        let mut bytes = Vec::new();
        match disk.read(&file.name, u64::MAX, &mut bytes) {
            // A running sender removed it meanwhile.
            Err(e) if e.kind() == io::ErrorKind::NotFound => continue,
            result => result?,
        }
        files.push(GenerationFile { name: file.name, bytes });
    }
    let mut snapshot = read(owner, &files);
    if directory.has_marker {
        snapshot.faults.push(ReplayFault::SpaceReleased);
    }
    Ok(snapshot)
}

/// Returns the owner of the newest generation that can be read.
///
/// # Errors
/// Fails if the disk does.
pub fn owner(disk: &mut dyn Disk) -> io::Result<Option<String>> {
    let directory = Directory::read(disk)?;
    for Generation { file, .. } in directory.generations.iter().rev() {
        let mut bytes = Vec::new();
        disk.read(&file.name, HEAD_READ_BYTES, &mut bytes)?;
        if let Some((head, _)) = Head::read(&bytes) {
            return Ok(Some(head.owner));
        }
    }
    Ok(None)
}
