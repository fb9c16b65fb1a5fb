//! Bytes on sockets: to endpoints, the platform, peers, clients and the simulator, and the texts that people and tests read.
//!
//! Each kind is one file of text. What changes from run to run is replaced in `scripted::normal` and nowhere else;
//! header names, their letter case and their order are kept as they were written.

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

/// What makes one kind's text.
pub type Source = fn() -> String;

/// All kinds: the name of the file, and what makes its text.
pub const KINDS: [(&str, Source); 10] = [
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

/// The text of a kind as the code of today makes it; none where there is no such kind.
pub fn today(kind: &str) -> Option<String> {
    KINDS.iter().find(|(name, _)| *name == kind).map(|(_, make)| make())
}

/// Writes the golden files of this kind into the folder.
///
/// # Errors
/// Fails when a file cannot be written.
pub fn record(to: &Path) -> io::Result<()> {
    let folder = to.join("wire");
    fs::create_dir_all(&folder)?;
    KINDS.iter().try_for_each(|(name, make)| fs::write(folder.join(format!("{name}.txt")), make()))
}
