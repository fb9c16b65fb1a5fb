//! Actions that the caller has to carry out.

use super::{EndpointId, MessageId, Micros};

/// An action that the caller has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Call an endpoint with a message.
    Attempt {
        /// The message.
        message: MessageId,
        /// The endpoint to call.
        endpoint: EndpointId,
        /// Time-out of the attempt.
        timeout: Micros,
        /// Time within which the last byte of the request must be sent; after that it must not be sent any
        /// more.
        send_within: Micros,
        /// Delay of the last byte of the request after the others, so that a lost connection is noticed
        /// before it is sent.
        last_byte_delay: Micros,
        /// Open a new connection instead of reusing one.
        new_connection: bool,
    },
    /// Final answer: the message is rejected; submitting it again is safe.
    Reject {
        /// The message.
        message: MessageId,
        /// Time after which the client should submit it again; 0 if none is advised.
        retry_after: Micros,
    },
    /// Final answer: delivery failed.
    Fail(MessageId),
    /// Cancel an attempt in flight.
    Cancel {
        /// The message.
        message: MessageId,
        /// The attempt's number.
        attempt: u16,
    },
    /// Make a health check of an endpoint.
    HealthCheck(EndpointId),
    /// Close idle connections to an endpoint.
    CloseIdleConnections(EndpointId),
    /// Subscribe to changes of the endpoint list.
    WatchEndpoints,
    /// Fetch the complete endpoint list once.
    FetchEndpoints,
    /// Send a gossip message to one sender or to all.
    SendGossip {
        /// Member index of the receiver; `None` for all.
        to: Option<u16>,
        /// At most 256 bytes.
        content: Vec<u8>,
    },
    /// Request an [`Event::TimerFired`](super::Event::TimerFired).
    SetTimer {
        /// When it is due.
        at: Micros,
        /// Identifies the timer; chosen by this crate.
        token: u64,
    },
    /// Write a line to the log for the operators.
    Log(String),
}
