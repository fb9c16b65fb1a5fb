//! Bytes on sockets to endpoints, the platform, peers, clients and the simulator, and texts that operators and tests read.
//!
//! Each kind has one text file. Values that differ between runs are replaced in `scripted::normalize` and nowhere else; header names
//! keep their letter case and their order.

use std::fs;
use std::io;
use std::path::Path;

mod admin;
mod clients;
mod endpoints;
mod gossip;
mod logs;
mod operators;
mod platform;
mod programs;
mod scripted;
mod settings;
mod simulator;

/// Function that produces the text of one kind.
pub type Producer = fn() -> String;

/// All kinds: the name of the file, and the function that produces its text.
pub const KINDS: [(&str, Producer); 10] = [
    ("simulator", simulator::text),
    ("actions", simulator::actions),
    ("settings", settings::text),
    ("gossip", gossip::text),
    ("endpoints", endpoints::text),
    ("platform", platform::text),
    ("clients", clients::text),
    ("admin", admin::text),
    ("operators", operators::text),
    ("logs", logs::text),
];

/// Returns the text that the current code produces for a kind, or `None` if there is no such kind.
pub fn current_text(kind: &str) -> Option<String> {
    KINDS.iter().find(|(name, _)| *name == kind).map(|(_, produce)| produce())
}

/// Writes the golden files of all kinds to the folder `wire` in `to`.
///
/// # Errors
/// Fails when a file cannot be written.
pub fn record(to: &Path) -> io::Result<()> {
    let folder = to.join("wire");
    fs::create_dir_all(&folder)?;
    KINDS.iter().try_for_each(|(name, produce)| fs::write(folder.join(format!("{name}.txt")), produce()))
}
