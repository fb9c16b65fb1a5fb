//! A disk in memory that fails as it is told to, the same for the same seed.
//!
//! It tells two ends apart. When a *process* dies, all that was written before stays, in order, and of the write that
//! it died in any first part. When the *machine* dies, of what was not synced any sectors stay without the others, and
//! any changes of names.

use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::disk::Disk;

/// What is written at once or not at all.
const SECTOR: usize = 512;

/// What goes wrong with one operation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// No room: a write leaves so many bytes of its own behind, as far as it has them.
    NoRoom(usize),
    /// An error of the device: a write leaves so many bytes of its own behind, anything else does nothing.
    Device(usize),
    /// The process ends within it: a write leaves so many bytes behind; anything else is done if that is not 0. All
    /// that comes later fails too, until [`SimDisk::restart`].
    Kill(usize),
}

#[derive(Debug, Clone)]
enum Change {
    Write { at: usize, bytes: Vec<u8> },
    Cut(usize),
}

impl Change {
    fn apply(&self, to: &mut Vec<u8>) {
        match self {
            Self::Write { at, bytes } => {
                let end = at + bytes.len();
                if to.len() < end {
                    to.resize(end, 0);
                }
                to[*at..end].copy_from_slice(bytes);
            }
            Self::Cut(length) => to.truncate(*length),
        }
    }
}

#[derive(Debug, Clone, Default)]
struct SimFile {
    /// As processes see it.
    bytes: Vec<u8>,
    /// As it outlasts the machine.
    synced: Vec<u8>,
    unsynced: Vec<Change>,
}

#[derive(Debug, Clone)]
enum NameChange {
    Create(String, usize),
    Rename(String, String),
    Remove(String),
}

impl NameChange {
    fn apply(&self, names: &mut BTreeMap<String, usize>) {
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

#[derive(Debug, Default)]
struct Inner {
    files: Vec<SimFile>,
    names: BTreeMap<String, usize>,
    synced_names: BTreeMap<String, usize>,
    unsynced_names: Vec<NameChange>,
    /// Operations that change something, so far.
    operations: u64,
    /// Faults by the operation that they come with.
    faults: BTreeMap<u64, Fault>,
    /// Bytes that all files may come to.
    room: Option<usize>,
    killed: bool,
}

/// A disk in memory. Copies of it are the same disk.
#[derive(Debug, Clone, Default)]
pub struct SimDisk(Arc<Mutex<Inner>>);

fn killed() -> io::Error {
    io::Error::other("the process was killed")
}

impl SimDisk {
    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// An empty disk without faults.
    pub fn new() -> Self {
        Self::default()
    }

    /// Operations so far that change something, failed ones included.
    pub fn operations(&self) -> u64 {
        self.inner().operations
    }

    /// The operation of that number, from 0, will fail so.
    pub fn fail(&self, operation: u64, fault: Fault) {
        self.inner().faults.insert(operation, fault);
    }

    /// No operation fails any more.
    pub fn mend(&self) {
        self.inner().faults.clear();
    }

    /// So many bytes have room on it from now on, in all files together; without a number any.
    pub fn set_room(&self, room: Option<usize>) {
        self.inner().room = room;
    }

    /// Whether a process was killed on it that was not followed by another yet.
    pub fn is_killed(&self) -> bool {
        self.inner().killed
    }

    /// The next process begins.
    pub fn restart(&self) {
        self.inner().killed = false;
    }

    /// The machine loses power, and the next process begins on what is left.
    pub fn lose_power(&self, rng: &mut fastrand::Rng) {
        let inner = &mut *self.inner();
        for file in &mut inner.files {
            let mut left = file.synced.clone();
            for change in std::mem::take(&mut file.unsynced) {
                match change {
                    Change::Write { at, bytes } => {
                        let mut from = 0;
                        while from < bytes.len() {
                            let to = ((at + from) / SECTOR + 1) * SECTOR - at;
                            let to = to.min(bytes.len());
                            if rng.bool() {
                                Change::Write { at: at + from, bytes: bytes[from..to].to_vec() }
                                    .apply(&mut left);
                            }
                            from = to;
                        }
                    }
                    Change::Cut(_) if rng.bool() => change.apply(&mut left),
                    Change::Cut(_) => {}
                }
            }
            (file.bytes, file.synced) = (left.clone(), left);
        }
        for change in std::mem::take(&mut inner.unsynced_names) {
            if rng.bool() {
                change.apply(&mut inner.synced_names);
            }
        }
        inner.names = inner.synced_names.clone();
        inner.killed = false;
    }

    /// A file's bytes, if it is there.
    pub fn bytes(&self, name: &str) -> Option<Vec<u8>> {
        let inner = self.inner();
        inner.names.get(name).map(|file| inner.files[*file].bytes.clone())
    }

    /// Changes a file's bytes behind the back of everybody.
    pub fn spoil(&self, name: &str, change: impl FnOnce(&mut Vec<u8>)) {
        let inner = &mut *self.inner();
        if let Some(file) = inner.names.get(name).copied() {
            change(&mut inner.files[file].bytes);
            inner.files[file].synced = inner.files[file].bytes.clone();
        }
    }

    /// Puts a file there, synced.
    pub fn put(&self, name: &str, bytes: &[u8]) {
        let inner = &mut *self.inner();
        let file = inner.files.len();
        inner.files.push(SimFile { bytes: bytes.to_vec(), synced: bytes.to_vec(), unsynced: vec![] });
        inner.names.insert(name.to_owned(), file);
        inner.synced_names.insert(name.to_owned(), file);
    }

    /// Bytes that the files take up, each counted in whole sectors.
    pub fn used(&self) -> u64 {
        let inner = self.inner();
        inner.names.values().map(|file| inner.files[*file].bytes.len().next_multiple_of(SECTOR) as u64).sum()
    }
}

impl Inner {
    /// Counts an operation, and tells what goes wrong with it.
    fn begin(&mut self) -> io::Result<Option<Fault>> {
        if self.killed {
            return Err(killed());
        }
        let fault = self.faults.get(&self.operations).copied();
        self.operations += 1;
        Ok(fault)
    }

    /// An operation that is no write: whether it is done, and what it says.
    fn whole(&mut self) -> (bool, io::Result<()>) {
        match self.begin() {
            Ok(None) => (true, Ok(())),
            Ok(Some(Fault::NoRoom(_))) => (false, Err(io::ErrorKind::StorageFull.into())),
            Ok(Some(Fault::Device(_))) => (false, Err(io::Error::other("device"))),
            Ok(Some(Fault::Kill(done))) => {
                self.killed = true;
                (done > 0, Err(killed()))
            }
            Err(e) => (false, Err(e)),
        }
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
        if inner.killed {
            return Err(killed());
        }
        Ok(inner
            .names
            .iter()
            .map(|(name, file)| (name.clone(), inner.files[*file].bytes.len() as u64))
            .collect())
    }

    fn read(&mut self, name: &str, most: u64, into: &mut Vec<u8>) -> io::Result<()> {
        let inner = &mut *self.inner();
        if inner.killed {
            return Err(killed());
        }
        into.clear();
        let bytes = &inner.file(name)?.bytes;
        into.extend_from_slice(&bytes[..bytes.len().min(most as usize)]);
        Ok(())
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        let inner = &mut *self.inner();
        if inner.names.contains_key(name) {
            return Err(io::ErrorKind::AlreadyExists.into());
        }
        let (done, said) = inner.whole();
        if done {
            inner.files.push(SimFile::default());
            let file = inner.files.len() - 1;
            inner.rename(NameChange::Create(name.to_owned(), file));
        }
        said
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let inner = &mut *self.inner();
        inner.file(name)?;
        let fault = inner.begin()?;
        let used: usize = inner.names.values().map(|file| inner.files[*file].bytes.len()).sum();
        let free = inner.room.map_or(usize::MAX, |room| room.saturating_sub(used));
        let (most, said) = match fault {
            None if bytes.len() > free => (free, Err(io::ErrorKind::StorageFull.into())),
            None => (usize::MAX, Ok(())),
            Some(Fault::NoRoom(n)) => (n, Err(io::ErrorKind::StorageFull.into())),
            Some(Fault::Device(n)) => (n, Err(io::Error::other("device"))),
            Some(Fault::Kill(n)) => {
                inner.killed = true;
                (n, Err(killed()))
            }
        };
        let file = inner.file(name)?;
        let change = Change::Write { at: file.bytes.len(), bytes: bytes[..bytes.len().min(most)].to_vec() };
        change.apply(&mut file.bytes);
        file.unsynced.push(change);
        said
    }

    fn cut(&mut self, name: &str, length: u64) -> io::Result<()> {
        let inner = &mut *self.inner();
        inner.file(name)?;
        let (done, said) = inner.whole();
        if done {
            let file = inner.file(name)?;
            let change = Change::Cut(length as usize);
            change.apply(&mut file.bytes);
            file.unsynced.push(change);
        }
        said
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let inner = &mut *self.inner();
        inner.file(from)?;
        let (done, said) = inner.whole();
        if done {
            inner.rename(NameChange::Rename(from.to_owned(), to.to_owned()));
        }
        said
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let inner = &mut *self.inner();
        inner.file(name)?;
        let (done, said) = inner.whole();
        if done {
            inner.rename(NameChange::Remove(name.to_owned()));
        }
        said
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let inner = &mut *self.inner();
        inner.file(name)?;
        let (done, said) = inner.whole();
        if done {
            let file = inner.file(name)?;
            file.synced = file.bytes.clone();
            file.unsynced.clear();
        }
        said
    }

    fn sync_names(&mut self) -> io::Result<()> {
        let inner = &mut *self.inner();
        let (done, said) = inner.whole();
        if done {
            inner.synced_names = inner.names.clone();
            inner.unsynced_names.clear();
        }
        said
    }
}
