//! The endpoint list, in the format of discovery, which the configuration also uses for the list as last known.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;

/// The full endpoint list, or changes of it.
#[derive(Debug, Default, Clone, Deserialize)]
pub struct EndpointList {
    /// Version of the list.
    #[serde(default)]
    pub index: u64,
    /// Whether this is the full list and not changes of it.
    #[serde(default)]
    pub snapshot: bool,
    /// The entries.
    #[serde(default)]
    pub endpoints: Vec<EndpointListing>,
}

/// One entry of the endpoint list.
#[derive(Debug, Clone, Deserialize)]
pub struct EndpointListing {
    /// Name of the endpoint, the same at every sender.
    pub name: String,
    /// The address at which this sender connects to it.
    #[serde(default)]
    pub address: String,
    /// Name of its zone.
    #[serde(default)]
    pub zone: String,
    /// Name of its kind.
    #[serde(default, rename = "type")]
    pub kind: String,
    /// Number of its destination.
    pub group: u16,
    /// `active`, `leaving` or `left`.
    pub status: String,
    /// Weight in the distribution of calls.
    #[serde(default)]
    pub weight: f64,
}

/// An update of the endpoint list.
#[derive(Debug, Clone)]
pub struct EndpointUpdate {
    /// The full list or changes. All shards share one list, and each applies it for itself.
    pub list: Arc<EndpointList>,
    /// The address of the discovery instance that it comes from.
    pub source: SocketAddr,
}
