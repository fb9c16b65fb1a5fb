//! What repeating a message of each class does to what is in the journal, in the folder that outlasts the process: the journal
//! keeps a class's name, and the next process's settings may mean something else by it.

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::io;
use std::path::Path;

use decision::interface::{Idempotency, IdempotencyScope, Micros};

const FILE: &str = "classes";
const NEW: &str = "classes.new";
/// Bytes that the file may have.
const MAX_BYTES: usize = 8 * 1024;
/// The disk counts whole blocks.
const BLOCK: u64 = 512;

/// Effects of classes, by their names.
pub type ClassIdempotency = BTreeMap<String, Idempotency>;

/// What binds messages that are held, of these classes: the stricter of what they were taken on under and what the settings
/// say now. One whose class was never written down is bound by the settings alone, as in the versions before.
pub fn merged(
    before: &ClassIdempotency,
    now: &ClassIdempotency,
    held: &BTreeSet<String>,
) -> ClassIdempotency {
    let joined = |(name, effect): (&String, &Idempotency)| {
        let before = before.get(name).filter(|_| held.contains(name));
        (name.clone(), before.map_or(*effect, |before| before.stricter(*effect)))
    };
    now.iter().map(joined).collect()
}

/// What is kept free on the disk for classes of these names, in whole blocks. While the file is written anew there are two.
pub fn reserved<'a>(names: impl Iterator<Item = &'a str>) -> u64 {
    let widest = Idempotency::Keyed { scope: IdempotencyScope::Endpoint, window: Micros::MAX };
    let all: ClassIdempotency = names.map(|name| (name.to_owned(), widest)).collect();
    let length = serde_json::to_vec(&all).map_or(MAX_BYTES, |text| text.len().min(MAX_BYTES));
    2 * (length as u64).next_multiple_of(BLOCK)
}

/// Reads what the last process wrote; without a file nothing is known.
///
/// # Errors
/// Fails when the file can't be read: tells why.
pub fn read(state: &Path) -> Result<ClassIdempotency, String> {
    let path = state.join(FILE);
    match fs::read(&path) {
        Ok(text) => serde_json::from_slice(&text).map_err(|e| {
            format!("{}: {e}; what was taken on is held to be what must not run twice", path.display())
        }),
        Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(ClassIdempotency::new()),
        Err(e) => Err(format!("{}: {e}", path.display())),
    }
}

/// Writes it in the place of what stood there; a process that ends within leaves the one or the other.
///
/// # Errors
/// Fails when it can't be written, or is too long; then the old one holds.
pub fn write(state: &Path, meanings: &ClassIdempotency) -> Result<(), String> {
    let text = serde_json::to_vec(meanings).map_err(|e| e.to_string())?;
    if text.len() > MAX_BYTES {
        return Err(format!(
            "{}: the classes' names take over {MAX_BYTES} bytes",
            state.join(FILE).display()
        ));
    }
    let write = || {
        fs::write(state.join(NEW), &text)?;
        fs::rename(state.join(NEW), state.join(FILE))
    };
    write().map_err(|e| format!("{}: {e}", state.join(FILE).display()))
}

#[cfg(test)]
mod tests;
