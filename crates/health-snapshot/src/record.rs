//! What is recorded of destinations.

use decision::interface::RouteSnapshot;
use serde::{Deserialize, Serialize};

use crate::Micros;

/// An endpoint's status in the endpoint list. Encoded by position.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointStatus {
    /// It accepts new messages.
    Active,
    /// It completes its calls in flight.
    #[serde(rename = "Leaving")]
    Draining,
    /// It is not in service any more.
    #[serde(rename = "Left")]
    Removed,
}

/// An entry of the endpoint list, with the list's own texts. Encoded by position.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ListedEndpoint {
    /// Its name, which is the same at every sender.
    pub name: String,
    /// The address that this sender connects to; empty if the list has none that it can use.
    pub address: String,
    /// Its zone.
    pub zone: String,
    /// Its kind.
    pub kind: String,
    /// Its status.
    pub status: EndpointStatus,
    /// Its weight.
    pub weight: f64,
}

/// What was observed of one route.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteRecord {
    /// The endpoint's name where each endpoint has a route of its own; none for the destination's common route.
    pub endpoint: Option<String>,
    /// The observations.
    pub snapshot: RouteSnapshot,
}

/// What is recorded of one destination.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct DestinationRecord {
    /// When the record was written, on the writer's clock.
    pub at: Micros,
    /// Its endpoints.
    pub listed: Vec<ListedEndpoint>,
    /// Its routes.
    pub routes: Vec<RouteRecord>,
}

/// Identifies a route across processes.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct RouteKey {
    /// The destination.
    pub destination: u16,
    /// The endpoint's name, as in [`RouteRecord`].
    pub endpoint: Option<String>,
}

/// A version of the endpoint list.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ListVersion {
    /// Its number.
    pub index: u64,
    /// When discovery last confirmed that there is no newer one.
    pub confirmed_at: Micros,
}

/// Returns whether anything but the time of the last success was observed of a route.
pub fn has_observations(snapshot: &RouteSnapshot) -> bool {
    RouteSnapshot { last_success_at: 0, ..*snapshot } != RouteSnapshot::default()
}
