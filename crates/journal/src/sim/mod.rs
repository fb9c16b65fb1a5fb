//! A simulated disk in memory with injected faults, deterministic for a given seed.
//!
//! It distinguishes two kinds of crash. When the *process* is killed, everything written before is kept, in order, and
//! any prefix of the write in progress. When the *machine* loses power, any subset of the unsynced sectors and of the
//! unsynced changes of names is kept.

mod changes;

use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use changes::{Change, NameChange, SECTOR_SIZE, SimFile};

use crate::disk::Disk;

/// A fault that is injected into one operation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The disk is full: a write keeps at most this many of its bytes, any other operation has no effect.
    StorageFull(usize),
    /// The device fails: a write keeps at most this many of its bytes, any other operation has no effect.
    Device(usize),
    /// The process is killed: a write keeps at most this many of its bytes, any other operation takes effect unless
    /// this is 0. All later operations fail too, until [`SimDisk::restart`].
    Kill(usize),
}

/// The error of an operation with a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
enum SimError {
    #[error("the process was killed")]
    Killed,
    #[error("simulated device error")]
    Device,
}

impl From<SimError> for io::Error {
    fn from(error: SimError) -> Self {
        Self::other(error)
    }
}

#[derive(Debug, Default)]
struct Inner {
    /// All files that were ever created, including removed ones.
    files: Vec<SimFile>,
    /// Indices of files by name.
    names: BTreeMap<String, usize>,
    synced_names: BTreeMap<String, usize>,
    unsynced_names: Vec<NameChange>,
    /// The number of modifying operations so far.
    operations: u64,
    /// Faults by the number of their operation.
    faults: BTreeMap<u64, Fault>,
    /// Most bytes that all files may have together; `None` without a limit.
    capacity: Option<usize>,
    killed: bool,
}

/// A simulated disk. Clones share the same files.
#[derive(Debug, Clone, Default)]
pub struct SimDisk(Arc<Mutex<Inner>>);

impl SimDisk {
    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Creates an empty disk without faults.
    pub fn new() -> Self {
        Self::default()
    }

    /// The number of modifying operations so far, including failed ones.
    pub fn operations(&self) -> u64 {
        self.inner().operations
    }

    /// Injects a fault into the operation of this number, from 0.
    pub fn inject(&self, operation: u64, fault: Fault) {
        self.inner().faults.insert(operation, fault);
    }

    /// Removes all injected faults.
    pub fn clear_faults(&self) {
        self.inner().faults.clear();
    }

    /// Sets the most bytes that all files may have together; `None` removes the limit.
    pub fn set_capacity(&self, capacity: Option<usize>) {
        self.inner().capacity = capacity;
    }

    /// Returns whether the process was killed and no other has been started since.
    pub fn is_killed(&self) -> bool {
        self.inner().killed
    }

    /// Starts the next process.
    pub fn restart(&self) {
        self.inner().killed = false;
    }

    /// Simulates a loss of power. The next process starts with the changes that survive.
    pub fn lose_power(&self, rng: &mut fastrand::Rng) {
        let inner = &mut *self.inner();
        for file in &mut inner.files {
            file.lose_power(rng);
        }
        for change in std::mem::take(&mut inner.unsynced_names) {
            if rng.bool() {
                change.apply(&mut inner.synced_names);
            }
        }
        inner.names = inner.synced_names.clone();
        inner.killed = false;
    }

    /// A file's bytes, if it exists.
    pub fn bytes(&self, name: &str) -> Option<Vec<u8>> {
        let inner = self.inner();
        inner.names.get(name).map(|file| inner.files[*file].bytes.clone())
    }

    /// Changes a file's bytes as damage to the medium does.
    pub fn corrupt(&self, name: &str, change: impl FnOnce(&mut Vec<u8>)) {
        let inner = &mut *self.inner();
        if let Some(file) = inner.names.get(name).copied() {
            inner.files[file].corrupt(change);
        }
    }

    /// Creates a synced file.
    pub fn put(&self, name: &str, bytes: &[u8]) {
        let inner = &mut *self.inner();
        let file = inner.files.len();
        inner.files.push(SimFile::synced(bytes));
        inner.names.insert(name.to_owned(), file);
        inner.synced_names.insert(name.to_owned(), file);
    }

    /// Bytes that the files occupy, each counted in whole sectors.
    pub fn used(&self) -> u64 {
        let inner = self.inner();
        inner
            .names
            .values()
            .map(|file| inner.files[*file].bytes.len().next_multiple_of(SECTOR_SIZE) as u64)
            .sum()
    }
}

/// The outcome of an operation other than a write. If the process is killed, the operation may take effect and still
/// return an error.
struct Operation {
    takes_effect: bool,
    result: io::Result<()>,
}

impl Operation {
    fn failed(error: io::Error) -> Self {
        Self { takes_effect: false, result: Err(error) }
    }
}

impl Inner {
    /// Counts an operation and returns its fault.
    fn begin(&mut self) -> io::Result<Option<Fault>> {
        if self.killed {
            return Err(SimError::Killed.into());
        }
        let fault = self.faults.get(&self.operations).copied();
        self.operations += 1;
        Ok(fault)
    }

    /// Counts an operation other than a write.
    fn begin_atomic(&mut self) -> Operation {
        match self.begin() {
            Ok(None) => Operation { takes_effect: true, result: Ok(()) },
            Ok(Some(Fault::StorageFull(_))) => Operation::failed(io::ErrorKind::StorageFull.into()),
            Ok(Some(Fault::Device(_))) => Operation::failed(SimError::Device.into()),
            Ok(Some(Fault::Kill(effect))) => {
                self.killed = true;
                Operation { takes_effect: effect > 0, result: Err(SimError::Killed.into()) }
            }
            Err(error) => Operation::failed(error),
        }
    }

    /// Counts a write and returns how many of its bytes are kept at most, and its result.
    fn begin_write(&mut self, length: usize) -> io::Result<(usize, io::Result<()>)> {
        let fault = self.begin()?;
        let used: usize = self.names.values().map(|file| self.files[*file].bytes.len()).sum();
        let free = self.capacity.map_or(usize::MAX, |capacity| capacity.saturating_sub(used));
        Ok(match fault {
            None if length > free => (free, Err(io::ErrorKind::StorageFull.into())),
            None => (usize::MAX, Ok(())),
            Some(Fault::StorageFull(kept)) => (kept, Err(io::ErrorKind::StorageFull.into())),
            Some(Fault::Device(kept)) => (kept, Err(SimError::Device.into())),
            Some(Fault::Kill(kept)) => {
                self.killed = true;
                (kept, Err(SimError::Killed.into()))
            }
        })
    }

    fn check_alive(&self) -> io::Result<()> {
        if self.killed { Err(SimError::Killed.into()) } else { Ok(()) }
    }

    fn file(&mut self, name: &str) -> io::Result<&mut SimFile> {
        let file = self.names.get(name).copied().ok_or(io::ErrorKind::NotFound)?;
        Ok(&mut self.files[file])
    }

    fn rename(&mut self, change: NameChange) {
        change.apply(&mut self.names);
        self.unsynced_names.push(change);
    }
}

impl Disk for SimDisk {
    fn names(&mut self) -> io::Result<Vec<(String, u64)>> {
        let inner = self.inner();
        inner.check_alive()?;
        Ok(inner
            .names
            .iter()
            .map(|(name, file)| (name.clone(), inner.files[*file].bytes.len() as u64))
            .collect())
    }

    fn read(&mut self, name: &str, limit: u64, into: &mut Vec<u8>) -> io::Result<()> {
        let inner = &mut *self.inner();
        inner.check_alive()?;
        into.clear();
        let bytes = &inner.file(name)?.bytes;
        into.extend_from_slice(&bytes[..bytes.len().min(limit as usize)]);
        Ok(())
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        let inner = &mut *self.inner();
        if inner.names.contains_key(name) {
            return Err(io::ErrorKind::AlreadyExists.into());
        }
        let operation = inner.begin_atomic();
        if operation.takes_effect {
            inner.files.push(SimFile::default());
            let file = inner.files.len() - 1;
            inner.rename(NameChange::Create(name.to_owned(), file));
        }
        operation.result
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let inner = &mut *self.inner();
        inner.file(name)?;
        let (kept, result) = inner.begin_write(bytes.len())?;
        inner.file(name)?.append(&bytes[..bytes.len().min(kept)]);
        result
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        let inner = &mut *self.inner();
        inner.file(name)?;
        let operation = inner.begin_atomic();
        if operation.takes_effect {
            inner.file(name)?.change(Change::Truncate(length as usize));
        }
        operation.result
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let inner = &mut *self.inner();
        inner.file(from)?;
        let operation = inner.begin_atomic();
        if operation.takes_effect {
            inner.rename(NameChange::Rename(from.to_owned(), to.to_owned()));
        }
        operation.result
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let inner = &mut *self.inner();
        inner.file(name)?;
        let operation = inner.begin_atomic();
        if operation.takes_effect {
            inner.rename(NameChange::Remove(name.to_owned()));
        }
        operation.result
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let inner = &mut *self.inner();
        inner.file(name)?;
        let operation = inner.begin_atomic();
        if operation.takes_effect {
            inner.file(name)?.sync();
        }
        operation.result
    }

    fn sync_names(&mut self) -> io::Result<()> {
        let inner = &mut *self.inner();
        let operation = inner.begin_atomic();
        if operation.takes_effect {
            inner.synced_names = inner.names.clone();
            inner.unsynced_names.clear();
        }
        operation.result
    }
}
