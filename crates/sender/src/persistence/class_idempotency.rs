//! The idempotency that each class was recorded with: the journal keeps a class's name, and the next
//! process's settings may mean something else by it.

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::io;
use std::path::Path;

use decision::interface::{Idempotency, IdempotencyScope, Micros};

const FILE: &str = "classes";
const NEW: &str = "classes.new";
/// Most bytes of the file.
const MAX_BYTES: usize = 8 * 1024;
/// The disk counts whole blocks.
const BLOCK: u64 = 512;

/// Idempotency by class name.
pub type ClassIdempotency = BTreeMap<String, Idempotency>;

/// What binds pending messages of these classes: the stricter of what they were accepted under and what the
/// settings say now. A class that was never recorded is bound by the settings alone, as in earlier versions.
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

/// Disk space to reserve for classes of these names, in whole blocks. While the file is replaced there are
/// two.
pub fn reserved<'a>(names: impl Iterator<Item = &'a str>) -> u64 {
    let widest = Idempotency::Keyed { scope: IdempotencyScope::Endpoint, window: Micros::MAX };
    let all: ClassIdempotency = names.map(|name| (name.to_owned(), widest)).collect();
    let length = serde_json::to_vec(&all).map_or(MAX_BYTES, |text| text.len().min(MAX_BYTES));
    2 * (length as u64).next_multiple_of(BLOCK)
}

/// Reads what the last process wrote; empty without a file.
///
/// # Errors
/// Fails when the file can't be read or parsed; the text says why.
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

/// Replaces the file; a process that ends meanwhile leaves the old or the new one.
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
