//! Who is held out by hand, in the folder that outlasts the process.

use std::fs;
use std::io;
use std::path::Path;

use admin::ejections::Ejections;

const FILE: &str = "held-out";
const NEW: &str = "held-out.new";
/// Bytes that the file may have. While it is written anew there are two.
pub const ROOM: usize = 8 * 1024;
/// What is kept free on the disk for both, in whole blocks.
pub const RESERVED: u64 = 2 * ROOM as u64 + 1024;

/// Reads what the last process wrote; without a file none is held out.
///
/// # Errors
/// Fails when the file can't be read.
pub fn read(state: &Path) -> io::Result<Ejections> {
    match fs::read_to_string(state.join(FILE)) {
        Ok(text) => Ok(Ejections::read(&text, ROOM)),
        Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(Ejections::new(ROOM)),
        Err(e) => Err(e),
    }
}

/// Writes it in the place of what stood there; a process that ends within leaves the one or the other.
///
/// # Errors
/// Fails when it can't be written; then the old one holds.
pub fn write(state: &Path, held_out: &Ejections) -> io::Result<()> {
    fs::write(state.join(NEW), held_out.text())?;
    fs::rename(state.join(NEW), state.join(FILE))
}
