//! The endpoints that an operator ejected, kept over the end of the process.

use std::fs;
use std::io;
use std::path::Path;

use admin::ejections::Ejections;

const FILE: &str = "held-out";
const NEW: &str = "held-out.new";
/// Most bytes of the file. While it is replaced there are two.
pub const MAX_BYTES: usize = 8 * 1024;
/// Disk space to reserve for both, in whole blocks.
pub const RESERVED: u64 = 2 * MAX_BYTES as u64 + 1024;

/// Reads what the last process wrote; nothing is ejected without a file.
///
/// # Errors
/// Fails when the file can't be read.
pub fn read(state: &Path) -> io::Result<Ejections> {
    match fs::read_to_string(state.join(FILE)) {
        Ok(text) => Ok(Ejections::read(&text, MAX_BYTES)),
        Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(Ejections::new(MAX_BYTES)),
        Err(e) => Err(e),
    }
}

/// Replaces the file; a process that ends meanwhile leaves the old or the new one.
///
/// # Errors
/// Fails when it can't be written; then the old one holds.
pub fn write(state: &Path, held_out: &Ejections) -> io::Result<()> {
    fs::write(state.join(NEW), held_out.text())?;
    fs::rename(state.join(NEW), state.join(FILE))
}
