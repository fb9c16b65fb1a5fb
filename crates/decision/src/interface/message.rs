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
    /// Ordering key, if any; it applies if the class is delivered in order.
    pub key: Option<u64>,
    /// Time left to deliver it.
    #[serde(rename = "time_left")]
    pub remaining_time: Micros,
    /// Estimated duration of the call, if any.
    pub hint: Option<Micros>,
    /// Its destination.
    pub destination: DestinationId,
}
