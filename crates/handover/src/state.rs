//! What the old process knows when it stops deciding.

use bytes::Bytes;
use decision::interface::{EndpointId, Listing, MessageId, Micros};
use serde::{Deserialize, Serialize};

/// All that the journal does not hold.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct HandoverState {
    /// When it stopped, on its clock.
    #[serde(rename = "at")]
    pub stopped_at: Micros,
    /// Names of the settings' classes, kinds and zones: under others the rest means nothing.
    pub names: [Vec<String>; 3],
    /// The decision module's state.
    pub policy: Bytes,
    /// Endpoints that the list has, and those that are gone and not forgotten.
    pub endpoints: Vec<HandoverEndpoint>,
    /// The ids of names, those that attempts alone refer to among them, and how many ids were given out.
    pub ids: Vec<(String, EndpointId)>,
    /// How many ids were given out.
    #[serde(rename = "given")]
    pub ids_assigned: u64,
    /// The list's version.
    pub index: u64,
    /// By their `Req-Id`: messages that are held, and the requests by which they came.
    #[serde(rename = "held")]
    pub messages: Vec<(String, u32, u64)>,
    /// Attempts begun for each message that is held, those that were not sent among them.
    pub attempts: Vec<(u32, u16)>,
    /// The number of the next message.
    pub next_message: u32,
    /// Requests so far. The next process's begin far beyond.
    pub requests: u64,
    /// Attempts that are out.
    #[serde(rename = "out")]
    pub attempts_in_flight: Vec<(MessageId, u16, EndpointId)>,
    /// Endpoints of destinations that told a wait, by name, and until when: for a process that can't read the rest.
    pub waits: Vec<(String, Micros)>,
    /// Since when clients are sent away, if they are.
    pub standby: Option<Micros>,
}

/// An endpoint.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HandoverEndpoint {
    /// Its id.
    pub id: EndpointId,
    /// Its name in the list.
    pub name: String,
    /// Where it is dialled, as far as that could be read.
    pub address: Option<String>,
    /// Its zone's position in the settings.
    pub zone: u16,
    /// Its kind's position in the settings.
    pub kind: Option<u16>,
    /// Its destination.
    pub group: u16,
    /// What the list says of it.
    pub listing: Listing,
    /// Its weight.
    pub weight: f64,
    /// No list names it any more.
    #[serde(rename = "gone")]
    pub unlisted: bool,
}
