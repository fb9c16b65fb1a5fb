//! Times, and identifiers of messages, endpoints, destinations and routes.

use serde::{Deserialize, Serialize};

/// A point in time or a span, in microseconds.
pub type Micros = u64;

/// Identifies a message at this sender; never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MessageId(pub u32);

/// Identifies an endpoint: its address and port. It carries no meaning.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EndpointId(pub [u8; 6]);

/// Identifies a destination.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct DestinationId(pub u16);

/// What a breaker guards: a destination, or one endpoint of it where its routes are apart.
pub type RouteId = (DestinationId, Option<EndpointId>);
