//! Stores the endpoints that an operator ejected, for the next process.

use std::fs;
use std::io;
use std::path::Path;

use admin::ejections::Ejections;

const FILE: &str = "held-out";
const NEW_FILE: &str = "held-out.new";
/// Size limit of the file, in bytes. While it is replaced there are two.
pub const MAX_BYTES: usize = 8 * 1024;
/// Disk space to reserve for both files, in bytes, in whole blocks.
pub const RESERVED_BYTES: u64 = 2 * MAX_BYTES as u64 + 1024;

/// Reads the file of the previous process. Without a file nothing is ejected.
///
/// # Errors
/// Fails when the file can't be read.
pub fn read(state: &Path) -> io::Result<Ejections> {
    match fs::read_to_string(state.join(FILE)) {
        Ok(text) => Ok(Ejections::read(&text, MAX_BYTES)),
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(Ejections::new(MAX_BYTES)),
        Err(error) => Err(error),
    }
}

/// Replaces the file atomically: a process that ends meanwhile leaves the old or the new one.
///
/// # Errors
/// Fails when the file can't be written. Then the old one stays.
pub fn write(state: &Path, ejections: &Ejections) -> io::Result<()> {
    fs::write(state.join(NEW_FILE), ejections.text())?;
    fs::rename(state.join(NEW_FILE), state.join(FILE))
}
