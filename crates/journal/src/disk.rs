//! The storage that a journal needs, and its implementation on a folder of the file system.

use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

/// A folder of append-only files. Names contain no separators.
///
/// An append survives the end of the process once the call has returned, in the order of the calls. It survives a loss
/// of power once [`Disk::sync`] has returned, and a change of names once [`Disk::sync_names`] has. Until then a loss of
/// power may keep any part of it without the parts before.
pub trait Disk: Send {
    /// The files' names and lengths in bytes, in no particular order.
    ///
    /// # Errors
    /// Fails when the folder can't be read.
    fn names(&mut self) -> io::Result<Vec<(String, u64)>>;

    /// Reads a file's first `limit` bytes, or all if there are fewer, and replaces the contents of `into`.
    ///
    /// # Errors
    /// Fails when the file does not exist or can't be read.
    fn read(&mut self, name: &str, limit: u64, into: &mut Vec<u8>) -> io::Result<()>;

    /// Creates an empty file.
    ///
    /// # Errors
    /// Fails when a file of that name exists or none can be created.
    fn create(&mut self, name: &str) -> io::Result<()>;

    /// Writes at the end of a file.
    ///
    /// # Errors
    /// Fails when not all bytes could be written. Any prefix of them may have been.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Truncates a file to its first `length` bytes.
    ///
    /// # Errors
    /// Fails when it can't be truncated. The file is unchanged then.
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()>;

    /// Renames a file and replaces any file of the new name.
    ///
    /// # Errors
    /// Fails when the file still has its old name.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    /// Fails when the file still exists, or did not exist.
    fn remove(&mut self, name: &str) -> io::Result<()>;

    /// Waits until a file's bytes would survive a loss of power.
    ///
    /// # Errors
    /// Fails when that is not certain.
    fn sync(&mut self, name: &str) -> io::Result<()>;

    /// Waits until all changes of names would survive a loss of power.
    ///
    /// # Errors
    /// Fails when that is not certain.
    fn sync_names(&mut self) -> io::Result<()>;
}

/// An open file of a [`Folder`].
#[derive(Debug)]
struct OpenFile {
    name: String,
    file: File,
}

/// A folder of the file system.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    /// The file that was written last, kept open.
    open: Option<OpenFile>,
    /// Keeps other processes from writing to the folder.
    _lock: Option<File>,
}

/// Name of the empty file that a process keeps locked while it writes to the folder.
pub const LOCK_FILE: &str = "lock";

impl Folder {
    /// Opens a folder for writing and creates it if it does not exist. Returns `None` if another process has it open.
    ///
    /// # Errors
    /// Fails when the folder can't be created or locked.
    pub fn lock(path: &Path) -> io::Result<Option<Self>> {
        fs::create_dir_all(path)?;
        // Prevents two processes from writing to one journal. The system releases the lock when its process ends.
        let lock = OpenOptions::new().create(true).truncate(false).write(true).open(path.join(LOCK_FILE))?;
        match lock.try_lock() {
            Ok(()) => Ok(Some(Self { path: path.to_owned(), open: None, _lock: Some(lock) })),
            Err(TryLockError::WouldBlock) => Ok(None),
            Err(TryLockError::Error(e)) => Err(e),
        }
    }

    /// Opens a folder for reading, whether or not a process writes to it.
    pub fn reader(path: &Path) -> Self {
        Self { path: path.to_owned(), open: None, _lock: None }
    }

    /// Opens a folder that another part of this process has locked, to write other files to it.
    pub fn companion(path: &Path) -> Self {
        Self::reader(path)
    }

    /// Returns the file of this name, opened for appending.
    fn file(&mut self, name: &str) -> io::Result<&mut File> {
        if self.open.as_ref().is_none_or(|open| open.name != name) {
            let file = OpenOptions::new().append(true).open(self.path.join(name))?;
            self.open = Some(OpenFile { name: name.to_owned(), file });
        }
        self.open.as_mut().map(|open| &mut open.file).ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    /// Closes the file if it is the one that is kept open.
    fn close(&mut self, name: &str) {
        self.open.take_if(|open| open.name == name);
    }
}

impl Disk for Folder {
    fn names(&mut self) -> io::Result<Vec<(String, u64)>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            let entry = entry?;
            let metadata = match entry.metadata() {
                Ok(metadata) => metadata,
                // The process that writes to the folder may have removed the file since it was listed.
                Err(e) if e.kind() == io::ErrorKind::NotFound => continue,
                Err(e) => return Err(e),
            };
            if let (true, Ok(name)) = (metadata.is_file(), entry.file_name().into_string()) {
                names.push((name, metadata.len()));
            }
        }
        Ok(names)
    }

    fn read(&mut self, name: &str, limit: u64, into: &mut Vec<u8>) -> io::Result<()> {
        into.clear();
        let file = File::open(self.path.join(name))?;
        let length = file.metadata()?.len().min(limit);
        into.reserve_exact(usize::try_from(length).map_err(io::Error::other)?);
        file.take(limit).read_to_end(into)?;
        Ok(())
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        let file = OpenOptions::new().append(true).create_new(true).open(self.path.join(name))?;
        self.open = Some(OpenFile { name: name.to_owned(), file });
        Ok(())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.file(name)?.write_all(bytes)
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
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
