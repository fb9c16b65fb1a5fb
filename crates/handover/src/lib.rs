//! The protocol by which a running sender hands over to its successor, while clients submit messages and attempts are
//! in flight.
//!
//! Only one process makes decisions at any time. The predecessor stops between two event loop iterations, releases
//! the journal and sends its [`HandoverState`]; the successor opens the journal, restores the state and makes the
//! decisions from then on. The predecessor drains its clients' connections and its attempts in flight on the
//! successor's behalf: it forwards submissions and completed attempts ([`ToSuccessor`]) and receives answers
//! ([`ToPredecessor`]). No call is interrupted, and no message has two attempts in flight.
//!
//! The crate has no I/O and no clock. [`frame`] encodes messages, and [`step`] determines what each process does next.
//! `docs/handover.md` explains the design.
#![forbid(unsafe_code)]

pub mod frame;
mod outstanding;
mod state;
pub mod step;

pub use outstanding::OutstandingAttempts;
pub use state::{
    AttemptCount, AttemptInFlight, EndpointName, HandoverEndpoint, HandoverState, PendingRequest,
    RetryAfterDeadline, SettingsNames,
};

use decision::interface::{EndpointId, MessageId, Micros, Outcome};
use journal::AcceptedMessage;
use serde::{Deserialize, Serialize};

/// A message from the successor to its predecessor. Variants and fields are encoded by name.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ToPredecessor {
    /// Requests the hand-over.
    #[serde(rename = "Ask")]
    RequestTakeover,
    /// The successor has opened the journal and makes the decisions from now on.
    #[serde(rename = "Took")]
    TakeoverCompleted {
        /// Whether the successor continues from the predecessor's state. If not, it starts from the journal as after a
        /// kill, and the predecessor cancels all outstanding attempts before it sends [`ToSuccessor::Drained`].
        understood: bool,
    },
    /// The answer to the [`ToSuccessor::Submitted`] with this number.
    Answer(u64, Answer),
    /// The answer to the [`ToSuccessor::AdminRequest`] with this number: status and text.
    #[serde(rename = "Told")]
    AdminResponse(u64, u16, String),
    /// Cancels this attempt of a message.
    Cancel(MessageId, u16),
}

/// A message from the predecessor to its successor. Variants and fields are encoded by name.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ToSuccessor {
    /// The predecessor's state. The predecessor makes no further decisions unless the successor fails.
    State(Box<HandoverState>),
    /// The predecessor has no outstanding attempts left.
    #[serde(rename = "Silent")]
    Drained,
    /// A client submits a message.
    #[serde(rename = "HandedIn")]
    Submitted {
        /// Identifies the answer.
        number: u64,
        /// The message.
        #[serde(rename = "taken")]
        message: AcceptedMessage,
        /// The number of the client's request.
        request: u64,
    },
    /// A client closed its connection before the request was answered.
    Withdrawn {
        /// The message's `Req-Id`.
        id: String,
        /// The number of the client's request.
        request: u64,
        /// The message's destination; 0 if the predecessor's version does not send it.
        #[serde(default)]
        destination: u16,
    },
    /// All attempts of one call have completed.
    #[serde(rename = "CallOver")]
    CallCompleted(Vec<AttemptCompleted>),
    /// An endpoint answered with Retry-After.
    #[serde(rename = "Wait")]
    RetryAfter(EndpointId, Micros),
    /// A persistent connection was reused for another call, or failed during it.
    #[serde(rename = "Kept")]
    ConnectionReused {
        /// Whether the connection failed.
        lost: bool,
    },
    /// On-call staff sent a request.
    #[serde(rename = "Ops")]
    AdminRequest {
        /// Identifies the answer.
        number: u64,
        /// The request.
        #[serde(rename = "call")]
        request: admin::request::AdminRequest,
    },
}

/// The result of one attempt.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AttemptCompleted {
    /// The message.
    pub message: MessageId,
    /// The attempt's number.
    pub attempt: u16,
    /// The endpoint to which it was sent.
    pub endpoint: EndpointId,
    /// The result.
    pub outcome: Outcome,
    /// Whether the endpoint reported the message as completed.
    #[serde(rename = "gone")]
    pub message_completed: bool,
    /// Duration of the call.
    pub took: Micros,
    /// The load report of the endpoint; empty if it sent none.
    pub report: Vec<f32>,
}

impl AttemptCompleted {
    /// Returns the result of an attempt of which no byte was sent.
    pub fn unsent(message: MessageId, attempt: u16, endpoint: EndpointId, outcome: Outcome) -> Self {
        Self { message, attempt, endpoint, outcome, message_completed: false, took: 0, report: vec![] }
    }
}

/// The answer to a submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// The message was accepted: the sender is responsible for its delivery from now on.
    #[serde(rename = "Taken")]
    Accepted,
    /// The message was not accepted. It may safely be submitted again, preferably after this many microseconds.
    #[serde(rename = "Refused")]
    Rejected(Micros),
    /// The message was submitted before and failed.
    Failed,
    /// The message was submitted before and was delivered.
    Delivered,
}
