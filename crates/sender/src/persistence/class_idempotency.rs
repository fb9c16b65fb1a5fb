//! Stores the idempotency of each class. The journal records only the name of a message's class, and the settings of
//! the next process may give that class another idempotency.

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::io;
use std::path::Path;

use decision::interface::{Idempotency, IdempotencyScope, Micros};

const FILE: &str = "classes";
const NEW_FILE: &str = "classes.new";
/// Size limit of the file, in bytes.
const MAX_BYTES: usize = 8 * 1024;
/// Disk space is used in whole blocks of this size, in bytes.
const BLOCK_BYTES: u64 = 512;

/// Idempotency by class name.
pub type ClassIdempotency = BTreeMap<String, Idempotency>;

/// Returns the idempotency of each class: for a class with pending messages, the stricter of the recorded one, under
/// which they were accepted, and the one in the settings now. For a class that was never recorded the settings alone
/// apply, as in earlier versions.
pub fn merged(
    recorded: &ClassIdempotency,
    configured: &ClassIdempotency,
    pending_classes: &BTreeSet<String>,
) -> ClassIdempotency {
    let stricter_of_both = |(name, idempotency): (&String, &Idempotency)| {
        let recorded = recorded.get(name).filter(|_| pending_classes.contains(name));
        (name.clone(), recorded.map_or(*idempotency, |recorded| recorded.stricter(*idempotency)))
    };
    configured.iter().map(stricter_of_both).collect()
}

/// Returns the disk space to reserve for classes of these names, in whole blocks. It is that of two files, since the
/// old and the new one exist while the file is replaced.
pub fn reserved<'a>(names: impl Iterator<Item = &'a str>) -> u64 {
    let longest = Idempotency::Keyed { scope: IdempotencyScope::Endpoint, window: Micros::MAX };
    let all: ClassIdempotency = names.map(|name| (name.to_owned(), longest)).collect();
    let length = serde_json::to_vec(&all).map_or(MAX_BYTES, |text| text.len().min(MAX_BYTES));
    2 * (length as u64).next_multiple_of(BLOCK_BYTES)
}

/// Reads the file of the previous process. Returns an empty map if there is none.
///
/// # Errors
/// Fails when the file can't be read or parsed.
pub fn read(state: &Path) -> Result<ClassIdempotency, String> {
    let path = state.join(FILE);
    match fs::read(&path) {
        Ok(text) => serde_json::from_slice(&text).map_err(|error| {
            format!("{}: {error}; all accepted messages are treated as non-idempotent", path.display())
        }),
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(ClassIdempotency::new()),
        Err(error) => Err(format!("{}: {error}", path.display())),
    }
}

/// Replaces the file atomically: a process that ends meanwhile leaves the old or the new one.
///
/// # Errors
/// Fails when the file can't be written or is too long. Then the old one stays.
pub fn write(state: &Path, classes: &ClassIdempotency) -> Result<(), String> {
    let text = serde_json::to_vec(classes).map_err(|error| error.to_string())?;
    if text.len() > MAX_BYTES {
        return Err(format!(
            "{}: the classes' names need over {MAX_BYTES} bytes",
            state.join(FILE).display()
        ));
    }
    let write = || {
        fs::write(state.join(NEW_FILE), &text)?;
        fs::rename(state.join(NEW_FILE), state.join(FILE))
    };
    write().map_err(|error| format!("{}: {error}", state.join(FILE).display()))
}

#[cfg(test)]
mod tests;
