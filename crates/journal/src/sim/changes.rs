//! Files of the simulated disk with their unsynced changes, some of which a loss of power drops.

use std::collections::BTreeMap;

/// Unit in bytes that a loss of power keeps or drops as one.
pub(super) const SECTOR_SIZE: usize = 512;

/// A change of a file's bytes.
#[derive(Debug, Clone)]
pub(super) enum Change {
    Write { offset: usize, bytes: Vec<u8> },
    Truncate(usize),
}

impl Change {
    fn apply(&self, to: &mut Vec<u8>) {
        match self {
            Self::Write { offset, bytes } => {
                let end = offset + bytes.len();
                if to.len() < end {
                    to.resize(end, 0);
                }
                to[*offset..end].copy_from_slice(bytes);
            }
            Self::Truncate(length) => to.truncate(*length),
        }
    }

    /// Applies the part of the change that survives a loss of power: a random subset of a write's sectors, and a
    /// truncation with a probability of one half.
    fn apply_partially(&self, to: &mut Vec<u8>, rng: &mut fastrand::Rng) {
        match self {
            Self::Write { offset, bytes } => {
                let mut from = 0;
                while from < bytes.len() {
                    let sector_end = ((offset + from) / SECTOR_SIZE + 1) * SECTOR_SIZE - offset;
                    let end = sector_end.min(bytes.len());
                    if rng.bool() {
                        let sector = Self::Write { offset: offset + from, bytes: bytes[from..end].to_vec() };
                        sector.apply(to);
                    }
                    from = end;
                }
            }
            Self::Truncate(_) => {
                if rng.bool() {
                    self.apply(to);
                }
            }
        }
    }
}

#[derive(Debug, Clone, Default)]
pub(super) struct SimFile {
    /// The contents as processes see them.
    pub bytes: Vec<u8>,
    /// The contents as of the last sync.
    synced: Vec<u8>,
    /// Changes since the last sync.
    unsynced: Vec<Change>,
}

impl SimFile {
    pub fn synced(bytes: &[u8]) -> Self {
        Self { bytes: bytes.to_vec(), synced: bytes.to_vec(), unsynced: Vec::new() }
    }

    pub fn append(&mut self, bytes: &[u8]) {
        self.change(Change::Write { offset: self.bytes.len(), bytes: bytes.to_vec() });
    }

    pub fn sync(&mut self) {
        self.synced = self.bytes.clone();
        self.unsynced.clear();
    }

    /// Changes the bytes as damage to the medium would, synced or not.
    pub fn corrupt(&mut self, change: impl FnOnce(&mut Vec<u8>)) {
        change(&mut self.bytes);
        self.synced = self.bytes.clone();
    }

    pub fn change(&mut self, change: Change) {
        change.apply(&mut self.bytes);
        self.unsynced.push(change);
    }

    /// Reverts to the last sync and applies the parts of later changes that survive a loss of power.
    pub fn lose_power(&mut self, rng: &mut fastrand::Rng) {
        for change in std::mem::take(&mut self.unsynced) {
            change.apply_partially(&mut self.synced, rng);
        }
        self.bytes = self.synced.clone();
    }
}

/// A change of the folder's names. Files are identified by their index.
#[derive(Debug, Clone)]
pub(super) enum NameChange {
    Create(String, usize),
    Rename(String, String),
    Remove(String),
}

impl NameChange {
    pub fn apply(&self, names: &mut BTreeMap<String, usize>) {
        match self {
            Self::Create(name, file) => {
                names.insert(name.clone(), *file);
            }
            Self::Rename(from, to) => {
                if let Some(file) = names.remove(from) {
                    names.insert(to.clone(), file);
                }
            }
            Self::Remove(name) => {
                names.remove(name);
            }
        }
    }
}
