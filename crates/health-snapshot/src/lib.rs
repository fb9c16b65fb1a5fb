//! What a sender has learnt of its partners, in files beside its journal, and what of it is believed when it starts again.
//!
//! What is owed to messages is the journal's; what is kept here is owed to nobody, and may be lost at any time. So it is
//! written in slices after a turn's answers and calls are out, its room comes after the journal's and is given back to it
//! first, and what is read back may make a sender more careful than one that knows nothing, never bolder. The one rule for
//! that is [`belief`]; what is worth writing, and when, is decided in [`keep`]; both are without I/O and clock, as are
//! [`stamp`], [`format`] and [`replay`]. [`store`] reaches files through the journal's [`journal::disk::Disk`] alone.
//!
//! It must never know sockets, decide on messages, or keep a message back. `docs/known.md` tells why it is built so.
#![forbid(unsafe_code)]

pub mod belief;
pub mod format;
pub mod keep;
pub mod replay;
pub mod stamp;
pub mod store;

use decision::interface::RouteSnapshot;
use serde::{Deserialize, Serialize};

pub use decision::interface::Micros;

/// What the list said of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointStatus {
    /// It takes what is new.
    Active,
    /// It finishes what it has.
    #[serde(rename = "Leaving")]
    Draining,
    /// It is gone.
    #[serde(rename = "Left")]
    Removed,
}

/// An endpoint, as the list had it. Names and addresses are the list's own texts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ListedEndpoint {
    /// The same at every sender.
    pub name: String,
    /// Where this sender dials it; empty where that could not be read.
    pub address: String,
    /// Its zone.
    pub zone: String,
    /// Its kind.
    pub kind: String,
    /// What the list said of it.
    pub status: EndpointStatus,
    /// Its weight.
    pub weight: f64,
}

/// All that is kept of a destination.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct DestinationRecord {
    /// When it was written, on its writer's clock.
    pub at: Micros,
    /// Its endpoints.
    pub listed: Vec<ListedEndpoint>,
    /// What was learnt of its routes: the common one, or each endpoint's by name where they are apart.
    pub routes: Vec<(Option<String>, RouteSnapshot)>,
}
