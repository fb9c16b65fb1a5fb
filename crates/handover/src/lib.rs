//! How a running sender hands over to the process that is started beside it, while clients write and calls are out.
//!
//! One process decides at any time. The old one stops between two turns, gives up the journal and tells its [`State`];
//! the new one takes up both and decides from then on. What the old one still holds, clients' connections and calls
//! that are out, it carries to their ends on the new one's behalf: what clients hand in and how calls end goes over
//! ([`ToNew`]), answers come back ([`ToOld`]). No call is broken off, and none is out twice.
//!
//! No I/O and no clock here: [`frame`] says how a message is written, [`step`] what each side does next.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod frame;
mod outs;
mod state;
pub mod step;

pub use outs::OutstandingAttempts;
pub use state::{HandoverEndpoint, HandoverState};

use decision::interface::{EndpointId, MessageId, Micros, Outcome};
use journal::AcceptedMessage;
use serde::{Deserialize, Serialize};

/// What the new process says to the old one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ToPredecessor {
    /// It is there, and asks to take over.
    #[serde(rename = "Ask")]
    RequestTakeover,
    /// It has the journal and decides from now on.
    #[serde(rename = "Took")]
    TookOver {
        /// It goes on with the state. If not it begins as after a kill, and the old process calls off all that is out
        /// before it says [`ToNew::Silent`].
        understood: bool,
    },
    /// The answer to a message that was handed in under that number.
    Answer(u64, Answer),
    /// What on-call staff are told who asked under that number: status and text.
    #[serde(rename = "Told")]
    AdminResponse(u64, u16, String),
    /// Call an attempt off.
    Cancel(MessageId, u16),
}

/// What the old process says to the new one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ToSuccessor {
    /// All that it knows. It decides nothing more unless the new one fails.
    State(Box<HandoverState>),
    /// Nothing of its is out any more.
    #[serde(rename = "Silent")]
    Drained,
    /// A client hands a message in.
    #[serde(rename = "HandedIn")]
    Submitted {
        /// Under which the answer is awaited.
        number: u64,
        /// The message.
        #[serde(rename = "taken")]
        message: AcceptedMessage,
        /// The client's request.
        request: u64,
    },
    /// A client closed before that request of its was answered.
    Withdrawn {
        /// The message's `Req-Id`.
        id: String,
        /// The client's request.
        request: u64,
        /// Where it was to go; 0 where another version does not say.
        #[serde(default)]
        destination: u16,
    },
    /// Attempts ended that travelled as one call.
    #[serde(rename = "CallOver")]
    CallCompleted(Vec<AttemptCompleted>),
    /// An endpoint told a wait.
    #[serde(rename = "Wait")]
    RetryAfter(EndpointId, Micros),
    /// A connection that was kept carried a further call, or broke under it.
    #[serde(rename = "Kept")]
    ConnectionReused {
        /// It broke.
        lost: bool,
    },
    /// On-call staff ask for something: the request line's method, path and query.
    #[serde(rename = "Ops")]
    AdminRequest {
        /// Under which the answer is awaited.
        number: u64,
        /// What is asked.
        call: admin::call::AdminRequest,
    },
}

/// How one attempt ended.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AttemptCompleted {
    /// The message.
    pub message: MessageId,
    /// The attempt's number.
    pub attempt: u16,
    /// Where it went.
    pub endpoint: EndpointId,
    /// How it ended.
    pub outcome: Outcome,
    /// The endpoint knows the message to be over.
    #[serde(rename = "gone")]
    pub message_completed: bool,
    /// Since the call began.
    pub took: Micros,
    /// The load report, if one came.
    pub report: Vec<f32>,
}

impl AttemptCompleted {
    /// The end of an attempt of which nothing was sent.
    pub fn unsent(message: MessageId, attempt: u16, endpoint: EndpointId, outcome: Outcome) -> Self {
        Self { message, attempt, endpoint, outcome, message_completed: false, took: 0, report: vec![] }
    }
}

/// What a client hears.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// The sender owes the message its end.
    #[serde(rename = "Taken")]
    Accepted,
    /// Handing it in again is harmless, best after so many microseconds.
    #[serde(rename = "Refused")]
    Rejected(Micros),
    /// Failed.
    Failed,
    /// It was delivered when it was handed in before.
    Delivered,
}
