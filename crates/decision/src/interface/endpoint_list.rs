//! Entries of the endpoint list.

use serde::{Deserialize, Serialize};

use super::{DestinationId, EndpointId};

/// State of an endpoint in the list. It says nothing of health.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Listing {
    /// Listed.
    Ready,
    /// Nothing new may be sent.
    Draining,
    /// Removed.
    Gone,
}

/// An entry of the list of endpoints.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointEntry {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The destination it belongs to.
    pub destination: DestinationId,
    /// Its zone.
    pub zone: u16,
    /// Its kind, a position in [`Settings::kinds`](super::Settings::kinds).
    pub kind: usize,
    /// Its weight; see [`Weights`](super::Weights).
    pub weight: f64,
    /// Its state.
    pub listing: Listing,
}
