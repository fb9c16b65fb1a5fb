//! Entries of the endpoint list.

use serde::{Deserialize, Serialize};

use super::{DestinationId, EndpointId};

/// State of an endpoint in the list, independent of its health.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Listing {
    /// Listed, and open to new calls.
    Ready,
    /// No new call may be sent.
    Draining,
    /// Removed from the list.
    Gone,
}

/// An entry of the endpoint list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointEntry {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The destination it belongs to.
    pub destination: DestinationId,
    /// The zone of the endpoint.
    pub zone: u16,
    /// The kind of its destination, an index into [`Settings::kinds`](super::Settings::kinds).
    pub kind: usize,
    /// The weight of the endpoint; [`Weights`](super::Weights) gives its meaning.
    pub weight: f64,
    /// Its state in the list.
    pub listing: Listing,
}
