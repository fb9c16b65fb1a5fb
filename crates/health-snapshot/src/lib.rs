//! A snapshot of what a sender has observed of its partners' health, in files beside its journal, and what of it a restarted
//! process trusts.
//!
//! What is owed to messages is in the journal; the snapshot is owed to nobody, and may be lost at any time. So it is written in
//! slices after the answers and calls of an event loop iteration are out, its disk space is what the journal leaves and is
//! released to the journal first, and what is restored may make a sender more careful than one without a snapshot, never bolder.
//! The one rule for that is [`restore`]; what is worth writing, and when, is decided in [`schedule`]; both are without I/O and
//! clock, as are [`timestamp`], [`mod@format`] and [`replay`]. [`store`] accesses files through [`journal::disk::Disk`] alone.
//!
//! The package must not access sockets, decide on messages, or delay one. `docs/health-snapshot.md` explains the design.
#![forbid(unsafe_code)]

pub mod format;
mod record;
pub mod replay;
pub mod restore;
pub mod schedule;
pub mod store;
pub mod timestamp;

pub use decision::interface::Micros;
pub use record::{
    DestinationRecord, EndpointStatus, ListVersion, ListedEndpoint, RouteKey, RouteRecord, has_observations,
};
