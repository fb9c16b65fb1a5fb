//! The list of endpoints, as discovery writes it and as the configuration has it from the last process.

use std::sync::Arc;

use serde::Deserialize;

/// The list of endpoints, whole or changes of it, as discovery writes it.
#[derive(Debug, Default, Clone, Deserialize)]
pub struct EndpointList {
    /// Its version.
    #[serde(default)]
    pub index: u64,
    /// Whether it is the whole list.
    #[serde(default)]
    pub snapshot: bool,
    /// Its entries.
    #[serde(default)]
    pub endpoints: Vec<EndpointListing>,
}

/// One entry.
#[derive(Debug, Clone, Deserialize)]
pub struct EndpointListing {
    /// The same at every sender.
    pub name: String,
    /// Where this sender dials it.
    #[serde(default)]
    pub address: String,
    /// Its zone, by name.
    #[serde(default)]
    pub zone: String,
    /// Its kind, by name.
    #[serde(default, rename = "type")]
    pub kind: String,
    /// Its destination.
    pub group: u16,
    /// `active`, `leaving` or `left`.
    pub status: String,
    /// Its weight.
    #[serde(default)]
    pub weight: f64,
}

/// An update of the list: one list for all shards, which each applies for itself.
#[derive(Debug, Clone)]
pub struct EndpointUpdate(pub Arc<EndpointList>);
