//! What a sender has taken on, in files that outlast its process.
//!
//! The log is a row of segments. A turn's records are appended to the last one in one write, and only then count. The
//! oldest segment goes once what is live in it has been written anew at the log's end, in slices between the turns; so
//! there is one order of all that happened, and reading it from the first segment that counts to the last brings back
//! what was live, wherever the process or the machine ended. `docs/journal.md` tells why it is built so.
//!
//! It must never decide what is taken on, sent or answered, and knows neither sockets nor the module. Its parts without
//! I/O are [`record`], `format`, `replay` and `state`; files are reached through [`disk::Disk`] alone, of which
//! [`sim::SimDisk`] is one that fails as it is told to.

pub mod disk;
mod error;
mod format;
mod inspect;
mod legacy;
mod load;
mod open;
mod record;
mod replay;
mod segment;
mod shared;
pub mod sim;
mod state;
mod store;

pub use error::{AppendError, OpenError};
pub use inspect::{FileFigures, Inspection, inspect};
pub use load::DamagedFile;
pub use open::OpenReport;
pub use record::{Abandonment, AcceptedMessage, Attempt, LedgerEntry, Micros, PendingMessage, Record};
pub use replay::Stretch;
pub use segment::SNAPSHOT_PREFIX;
pub use shared::JournalPart;
pub use state::ByNumber;
pub use store::{
    Capacity, Damage, Figures, Journal, LedgerOptions, Options, SLICE_BYTES, SLICE_CUT, SLICE_MESSAGES,
};
