//! A snapshot of what a sender has observed of its partners' health, in files beside its journal, and what of it a restarted
//! process trusts.
//!
//! The journal stores what accepted messages depend on. Nothing depends on the snapshot, which may be lost at any time. So it
//! is written in slices after the answers and calls of an event loop iteration are sent, it uses only disk space that the
//! journal leaves and releases it as soon as the journal needs it, and what is restored may make a sender more careful than one
//! without a snapshot, never bolder. [`restore`] alone decides what is restored, [`schedule`] what is worth writing, and when;
//! both do no I/O and read no clock, nor do [`timestamp`], [`mod@format`] and [`replay`]. [`store`] accesses files through
//! [`journal::disk::Disk`] alone.
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
