//! Times, and identifiers of messages, endpoints, destinations and routes.

use serde::{Deserialize, Serialize};

/// A point in time or a duration, in microseconds.
pub type Micros = u64;

/// Identifies a message at this sender; never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MessageId(pub u32);

/// Identifies an endpoint: its address and port. It is compared only, never interpreted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EndpointId(pub [u8; 6]);

/// Identifies a destination.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct DestinationId(pub u16);

/// Identifies a route, the unit that a circuit breaker protects: a destination, or one of its endpoints where
/// its routes are separate.
pub type RouteId = (DestinationId, Option<EndpointId>);
