//! The protocol by which a running sender hands over to its successor, while clients submit messages and attempts are in
//! flight.
//!
//! One process decides at any time. The predecessor stops between two event loop iterations, releases the journal and
//! sends its [`HandoverState`]; the successor takes both and decides from then on. The predecessor drains its clients'
//! connections and its attempts in flight on the successor's behalf: it forwards submissions and completed attempts
//! ([`ToSuccessor`]) and receives answers ([`ToPredecessor`]). No call is broken off, and no message has two attempts in
//! flight.
//!
//! The crate has no I/O and no clock. [`frame`] encodes messages, and [`step`] says what each side does next.
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
    /// The successor has the journal and decides from now on.
    #[serde(rename = "Took")]
    TakeoverCompleted {
        /// Whether the successor continues from the state. If not, it starts as after a kill, and the predecessor cancels
        /// all outstanding attempts before it sends [`ToSuccessor::Drained`].
        understood: bool,
    },
    /// The answer to the [`ToSuccessor::Submitted`] of this number.
    Answer(u64, Answer),
    /// The answer to the [`ToSuccessor::AdminRequest`] of this number: status and text.
    #[serde(rename = "Told")]
    AdminResponse(u64, u16, String),
    /// Cancels this attempt of a message.
    Cancel(MessageId, u16),
}

/// A message from the predecessor to its successor. Variants and fields are encoded by name.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ToSuccessor {
    /// The predecessor's state. It decides nothing more unless the successor fails.
    State(Box<HandoverState>),
    /// No attempt of the predecessor is outstanding any more.
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
        /// The message's destination; 0 where the predecessor's version does not state it.
        #[serde(default)]
        destination: u16,
    },
    /// All attempts that were sent as one call completed.
    #[serde(rename = "CallOver")]
    CallCompleted(Vec<AttemptCompleted>),
    /// An endpoint answered with Retry-After.
    #[serde(rename = "Wait")]
    RetryAfter(EndpointId, Micros),
    /// A cached connection carried a further call, or failed under it.
    #[serde(rename = "Kept")]
    ConnectionReused {
        /// Whether it failed.
        lost: bool,
    },
    /// On-call staff sent a request.
    #[serde(rename = "Ops")]
    AdminRequest {
        /// Identifies the answer.
        number: u64,
        /// The request.
        call: admin::call::AdminRequest,
    },
}

/// The result of one attempt.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AttemptCompleted {
    /// The message.
    pub message: MessageId,
    /// The attempt's number.
    pub attempt: u16,
    /// Where it was sent.
    pub endpoint: EndpointId,
    /// The result.
    pub outcome: Outcome,
    /// Whether the endpoint reported the message as completed.
    #[serde(rename = "gone")]
    pub message_completed: bool,
    /// Duration of the call.
    pub took: Micros,
    /// The load report; empty where there was none.
    pub report: Vec<f32>,
}

impl AttemptCompleted {
    /// The result of an attempt of which no byte was sent.
    pub fn unsent(message: MessageId, attempt: u16, endpoint: EndpointId, outcome: Outcome) -> Self {
        Self { message, attempt, endpoint, outcome, message_completed: false, took: 0, report: vec![] }
    }
}

/// The answer to a submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// The message was accepted: the sender owes it an outcome.
    #[serde(rename = "Taken")]
    Accepted,
    /// The message was not accepted. Submitting it again is safe, best after this many microseconds.
    #[serde(rename = "Refused")]
    Rejected(Micros),
    /// The message failed when it was submitted before.
    Failed,
    /// The message was delivered when it was submitted before.
    Delivered,
}
