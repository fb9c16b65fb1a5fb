//! What the sender is to do.

use super::{EndpointId, MessageId, Micros};

/// What the sender is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Call an endpoint with the message.
    Attempt {
        /// The message.
        message: MessageId,
        /// Where to.
        endpoint: EndpointId,
        /// Time-out of the attempt.
        timeout: Micros,
        /// Its last byte leaves within that time or not at all.
        send_within: Micros,
        /// The call's last byte goes so long after the others, so that a connection that is lost shows before.
        last_byte_delay: Micros,
        /// Over a connection of its own, not over one that was kept.
        new_connection: bool,
    },
    /// Final answer: handed back; handing it in again is harmless.
    Reject {
        /// The message.
        message: MessageId,
        /// Advice on when to return; 0 for none.
        retry_after: Micros,
    },
    /// Final answer: failed.
    Fail(MessageId),
    /// Stop waiting for an attempt.
    Cancel {
        /// The message.
        message: MessageId,
        /// The attempt's number.
        attempt: u16,
    },
    /// Probe an endpoint.
    HealthCheck(EndpointId),
    /// Close idle connections to an endpoint.
    CloseIdleConnections(EndpointId),
    /// Ask to be told of changes of the list.
    WatchEndpoints,
    /// Ask for the whole list once.
    FetchEndpoints,
    /// Send a note to one sender, or to all.
    SendGossip {
        /// Rank of the receiver; none for all.
        to: Option<u16>,
        /// At most 256 bytes.
        content: Vec<u8>,
    },
    /// Ask for a [`Event::TimerFired`](super::Event::TimerFired).
    SetTimer {
        /// When.
        at: Micros,
        /// Chosen by the module.
        token: u64,
    },
    /// A line for the operators.
    Log(String),
}
