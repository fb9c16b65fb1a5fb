//! A crash-safe journal of the messages that a sender has accepted.
//!
//! The journal is a log of segments. The records of a batch are appended to the last segment in one write, and are
//! committed once it has returned. Compaction copies the live records of the oldest segment to the end of the log, in
//! slices between batches, and then removes the segment. The log is therefore totally ordered: replaying it from its
//! first segment to its last restores the pending messages, at whatever point the process or the machine stopped.
//! `docs/journal.md` explains the design.
//!
//! [`Journal`] is the entry point; [`JournalPart`] shares one among shards, and [`inspect`] only reads one.
//!
//! The crate does not decide what is accepted, sent or answered, and knows neither sockets nor the decision module. Its
//! parts without I/O are `record`, `format`, `replay` and `state`. Files are reached through [`disk::Disk`] alone, of
//! which [`sim::SimDisk`] is an implementation with injected faults.

pub mod disk;
mod error;
mod format;
mod inspect;
mod legacy;
mod load;
mod migration;
mod open;
mod record;
mod replay;
mod segment;
mod shards;
pub mod sim;
mod state;
mod store;

pub use error::{AppendError, JournalClosed, OpenError};
pub use format::RecordTooLong;
pub use inspect::{FileFigures, Inspection, inspect};
pub use load::DamagedFile;
pub use open::OpenReport;
pub use record::{Abandonment, AcceptedMessage, Attempt, LedgerEntry, Micros, PendingMessage, Record};
pub use replay::DamagedRange;
pub use segment::SNAPSHOT_PREFIX;
pub use shards::JournalPart;
pub use state::{ByNumber, LastDeliveries, SpaceNeeded};
pub use store::{
    Capacity, Damage, Figures, Journal, LedgerOptions, Options, SLICE_BYTES, SLICE_MESSAGES,
    SLICE_TRUNCATION, Shortage,
};
