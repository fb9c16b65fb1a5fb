//! An accepted message.

use serde::{Deserialize, Serialize};

use super::{DestinationId, MessageId, Micros};

/// A message that this sender accepted and owes one final answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// Its identifier.
    pub id: MessageId,
    /// Its class, an index into [`Settings::classes`](super::Settings::classes).
    pub class: usize,
    /// Its tenant, an index into [`Settings::tenants`](super::Settings::tenants).
    pub tenant: usize,
    /// Key of the messages that it is delivered in order with, if any.
    pub key: Option<u64>,
    /// Time that remains to deliver it.
    #[serde(rename = "time_left")]
    pub remaining_time: Micros,
    /// Estimated duration of the call, if any.
    pub hint: Option<Micros>,
    /// Its destination.
    pub destination: DestinationId,
}
