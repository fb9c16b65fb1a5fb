//! The state that a predecessor sends to its successor.
//!
//! Fields are encoded by name: a field that is renamed must keep its encoded name, and a new field needs a default. The
//! structs of list entries are encoded as tuples.

use std::net::SocketAddr;

use bytes::Bytes;
use decision::interface::{EndpointId, Listing, MessageId, Micros};
use serde::{Deserialize, Serialize};

/// The predecessor's state at the time when it stopped deciding, except for what the journal contains.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct HandoverState {
    /// When the predecessor stopped deciding, on its clock.
    #[serde(rename = "at")]
    pub stopped_at: Micros,
    /// Names from the settings to which positions in the state refer. A successor whose settings have other names can't
    /// restore the rest of the state.
    pub names: SettingsNames,
    /// The encoded state of the decision module.
    pub policy: Bytes,
    /// Endpoints in the endpoint list, and unlisted ones that may still be referred to.
    pub endpoints: Vec<HandoverEndpoint>,
    /// The ids of all endpoint names, including those to which only attempts refer.
    pub ids: Vec<EndpointName>,
    /// The number of endpoint ids that have been assigned so far.
    #[serde(rename = "given")]
    pub ids_assigned: u64,
    /// Version of the endpoint list.
    #[serde(rename = "index")]
    pub list_version: u64,
    /// The address of the discovery instance that the version is of, or none if the list is incomplete: then only the
    /// full list continues it. Versions of the program before this field leave it out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub list_source: Option<SocketAddr>,
    /// The pending messages.
    #[serde(rename = "held")]
    pub messages: Vec<PendingRequest>,
    /// The number of attempts of each pending message that were started, including unsent ones.
    pub attempts: Vec<AttemptCount>,
    /// The number of the next message.
    pub next_message: u32,
    /// The number of client requests so far. The successor numbers its own requests from far above it, because the
    /// predecessor's clients continue to send requests.
    pub requests: u64,
    /// Attempts that are in flight.
    #[serde(rename = "out")]
    pub attempts_in_flight: Vec<AttemptInFlight>,
    /// Active Retry-After deadlines, for a successor that can't read the rest.
    pub waits: Vec<RetryAfterDeadline>,
    /// When the standby began, if the predecessor is on standby.
    pub standby: Option<Micros>,
}

/// Names of the settings' classes, kinds and zones, in the settings' order. Encoded as an array of three arrays.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "[Vec<String>; 3]", into = "[Vec<String>; 3]")]
pub struct SettingsNames {
    /// Names of message classes.
    pub classes: Vec<String>,
    /// Names of endpoint kinds.
    pub kinds: Vec<String>,
    /// Names of zones.
    pub zones: Vec<String>,
}

impl From<[Vec<String>; 3]> for SettingsNames {
    fn from([classes, kinds, zones]: [Vec<String>; 3]) -> Self {
        Self { classes, kinds, zones }
    }
}

impl From<SettingsNames> for [Vec<String>; 3] {
    fn from(names: SettingsNames) -> Self {
        [names.classes, names.kinds, names.zones]
    }
}

/// The name and the id of an endpoint. Encoded as a tuple.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(String, EndpointId)", into = "(String, EndpointId)")]
pub struct EndpointName {
    /// The name in the endpoint list.
    pub name: String,
    /// The id.
    pub id: EndpointId,
}

/// A pending message, and the client's request that submitted it. Encoded as a tuple.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(String, u32, u64)", into = "(String, u32, u64)")]
pub struct PendingRequest {
    /// The message's `Req-Id`.
    pub id: String,
    /// The message's number.
    pub message: u32,
    /// The number of the client's request.
    pub request: u64,
}

/// The number of attempts of a pending message that were started. Encoded as a tuple.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u32, u16)", into = "(u32, u16)")]
pub struct AttemptCount {
    /// The message's number.
    pub message: u32,
    /// The number of attempts.
    pub started: u16,
}

/// An attempt that is in flight. Encoded as a tuple.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(MessageId, u16, EndpointId)", into = "(MessageId, u16, EndpointId)")]
pub struct AttemptInFlight {
    /// The message.
    pub message: MessageId,
    /// The attempt's number.
    pub attempt: u16,
    /// The endpoint to which it was sent.
    pub endpoint: EndpointId,
}

/// A time before which an endpoint's destination must not be called. Encoded as a tuple.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(String, Micros)", into = "(String, Micros)")]
pub struct RetryAfterDeadline {
    /// The endpoint's name.
    pub endpoint: String,
    /// The time, on the predecessor's clock.
    pub until: Micros,
}

/// Implements the conversions between a struct and the tuple that encodes it.
macro_rules! tuple_encoding {
    ($type:ident { $($field:ident: $kind:ty),+ }) => {
        impl From<($($kind),+)> for $type {
            fn from(($($field),+): ($($kind),+)) -> Self {
                Self { $($field),+ }
            }
        }

        impl From<$type> for ($($kind),+) {
            fn from(value: $type) -> Self {
                ($(value.$field),+)
            }
        }
    };
}

tuple_encoding!(EndpointName { name: String, id: EndpointId });
tuple_encoding!(PendingRequest { id: String, message: u32, request: u64 });
tuple_encoding!(AttemptCount { message: u32, started: u16 });
tuple_encoding!(AttemptInFlight { message: MessageId, attempt: u16, endpoint: EndpointId });
tuple_encoding!(RetryAfterDeadline { endpoint: String, until: Micros });

/// An endpoint as the predecessor knows it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HandoverEndpoint {
    /// Its id.
    pub id: EndpointId,
    /// Its name in the endpoint list.
    pub name: String,
    /// Its address, if the predecessor could parse it.
    pub address: Option<String>,
    /// The position of its zone in the settings.
    pub zone: u16,
    /// The position of its kind in the settings.
    pub kind: Option<u16>,
    /// Its destination.
    #[serde(rename = "group")]
    pub destination: u16,
    /// Its state in the list.
    pub listing: Listing,
    /// Its weight.
    pub weight: f64,
    /// Whether it is no longer in the endpoint list.
    #[serde(rename = "gone")]
    pub unlisted: bool,
}
