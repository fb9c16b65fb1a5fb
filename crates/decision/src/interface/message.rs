//! An accepted message.

use serde::{Deserialize, Serialize};

use super::{DestinationId, MessageId, Micros};

/// A message handed to this sender, which owes it one final answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// Its id.
    pub id: MessageId,
    /// Its class, a position in [`Settings::classes`](super::Settings::classes).
    pub class: usize,
    /// Its tenant, a position in [`Settings::tenants`](super::Settings::tenants).
    pub tenant: usize,
    /// The key of its order, if any.
    pub key: Option<u64>,
    /// How long it may still be delivered.
    #[serde(rename = "time_left")]
    pub remaining_time: Micros,
    /// A guess of the call's time.
    pub hint: Option<Micros>,
    /// Where it goes.
    pub destination: DestinationId,
}
