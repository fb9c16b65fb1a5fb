//! What a journal needs of a disk, and the folder of a real one.

use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

/// A folder of files that are appended to. Names are plain, with no separators.
///
/// What was appended outlasts the process as soon as the call returned, in the order of the calls. It outlasts the
/// machine once [`Disk::sync`] returned, and a name once [`Disk::sync_names`] did; before that, any part of it may be
/// there without the parts before it.
pub trait Disk: Send {
    /// The files' names and lengths, in no order.
    ///
    /// # Errors
    /// Fails when the folder can't be read.
    fn names(&mut self) -> io::Result<Vec<(String, u64)>>;

    /// Reads a file's first bytes, so many at most, in the place of what `into` held.
    ///
    /// # Errors
    /// Fails when it is not there or can't be read.
    fn read(&mut self, name: &str, most: u64, into: &mut Vec<u8>) -> io::Result<()>;

    /// Makes a new, empty file.
    ///
    /// # Errors
    /// Fails when there is one of that name, or none can be made.
    fn create(&mut self, name: &str) -> io::Result<()>;

    /// Writes at a file's end.
    ///
    /// # Errors
    /// Fails when not all could be written; any first part of it may stand there.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Cuts a file off behind its first `length` bytes.
    ///
    /// # Errors
    /// Fails when it can't be cut; it is as it was.
    fn cut(&mut self, name: &str, length: u64) -> io::Result<()>;

    /// Gives a file another name, in the place of any that has it.
    ///
    /// # Errors
    /// Fails when it has the old name still.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    /// Fails when it is there still, or was not there.
    fn remove(&mut self, name: &str) -> io::Result<()>;

    /// Waits until a file's bytes outlast the machine.
    ///
    /// # Errors
    /// Fails when that is not known.
    fn sync(&mut self, name: &str) -> io::Result<()>;

    /// Waits until the names outlast the machine.
    ///
    /// # Errors
    /// Fails when that is not known.
    fn sync_names(&mut self) -> io::Result<()>;
}

/// A folder of the system's.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    /// The file that was appended to last.
    open: Option<(String, File)>,
    /// Held for as long as the folder is written to.
    _lock: Option<File>,
}

/// The file whose lock says that a process writes to the folder. It is empty.
pub const LOCK: &str = "lock";

impl Folder {
    /// Opens a folder to write in it, and makes it if it is not there. None where another process does so already.
    ///
    /// # Errors
    /// Fails when it can't be made or locked.
    pub fn lock(path: &Path) -> io::Result<Option<Self>> {
        fs::create_dir_all(path)?;
        // Guards against two processes that write to one journal. The system drops the lock with its process.
        let lock = OpenOptions::new().create(true).truncate(false).write(true).open(path.join(LOCK))?;
        match lock.try_lock() {
            Ok(()) => Ok(Some(Self { path: path.to_owned(), open: None, _lock: Some(lock) })),
            Err(TryLockError::WouldBlock) => Ok(None),
            Err(TryLockError::Error(e)) => Err(e),
        }
    }

    /// A folder that is only read, whoever else writes to it.
    pub fn reader(path: &Path) -> Self {
        Self { path: path.to_owned(), open: None, _lock: None }
    }

    /// A folder that another part of this process has locked: for files that stand beside what it writes.
    pub fn beside(path: &Path) -> Self {
        Self::reader(path)
    }

    fn file(&mut self, name: &str) -> io::Result<&mut File> {
        if self.open.as_ref().is_none_or(|open| open.0 != name) {
            let file = OpenOptions::new().append(true).open(self.path.join(name))?;
            self.open = Some((name.to_owned(), file));
        }
        self.open.as_mut().map(|open| &mut open.1).ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    fn close(&mut self, name: &str) {
        self.open.take_if(|open| open.0 == name);
    }
}

impl Disk for Folder {
    fn names(&mut self) -> io::Result<Vec<(String, u64)>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            let entry = entry?;
            let metadata = match entry.metadata() {
                Ok(metadata) => metadata,
                // Another process may remove files while this one reads.
                Err(e) if e.kind() == io::ErrorKind::NotFound => continue,
                Err(e) => return Err(e),
            };
            if let (true, Ok(name)) = (metadata.is_file(), entry.file_name().into_string()) {
                names.push((name, metadata.len()));
            }
        }
        Ok(names)
    }

    fn read(&mut self, name: &str, most: u64, into: &mut Vec<u8>) -> io::Result<()> {
        into.clear();
        let file = File::open(self.path.join(name))?;
        let length = file.metadata()?.len().min(most);
        into.reserve_exact(usize::try_from(length).map_err(io::Error::other)?);
        file.take(most).read_to_end(into)?;
        Ok(())
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        let file = OpenOptions::new().append(true).create_new(true).open(self.path.join(name))?;
        self.open = Some((name.to_owned(), file));
        Ok(())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.file(name)?.write_all(bytes)
    }

    fn cut(&mut self, name: &str, length: u64) -> io::Result<()> {
        OpenOptions::new().write(true).open(self.path.join(name))?.set_len(length)
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.close(from);
        self.close(to);
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.close(name);
        fs::remove_file(self.path.join(name))
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.file(name)?.sync_data()
    }

    fn sync_names(&mut self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}
