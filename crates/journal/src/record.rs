//! The data that the journal stores.

use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// A point in time (Unix time) or a span, in microseconds.
pub type Micros = u64;

/// An event of one message, or an entry of the ledger.
///
/// Versions before 0.2 stored this type in postcard: no variant or field may move or change its type.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// The sender accepted the message and is responsible for it until its outcome. No other pending message has its
    /// number.
    #[serde(rename = "Taken")]
    Accepted(u32, Arc<AcceptedMessage>),
    /// An attempt is about to start.
    #[serde(rename = "Begun")]
    AttemptStarted {
        /// The message.
        message: u32,
        /// The attempt's number, from 0.
        attempt: u16,
        /// The endpoint's name.
        endpoint: Arc<str>,
        /// When it starts.
        at: Micros,
    },
    /// An attempt ended, and the message stays pending.
    #[serde(rename = "Ended")]
    AttemptEnded {
        /// The message.
        message: u32,
        /// The attempt's number, from 0.
        attempt: u16,
        /// Whether it is known not to have run.
        never_ran: bool,
    },
    /// The decision module abandoned the message; the platform is still to be notified.
    #[serde(rename = "GivenUp")]
    Abandoned(u32, Abandonment),
    /// The message reached its outcome, and the platform was notified.
    #[serde(rename = "Over")]
    Completed(u32),
    /// The outcome of a message that must never be sent again, kept for the ledger's span. It precedes the message's
    /// [`Record::Completed`] in the same batch.
    #[serde(rename = "Remembered")]
    LedgerEntry(LedgerEntry),
}

/// A message as it was submitted.
///
/// Part of [`Record`]: no field may move or change its type.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AcceptedMessage {
    /// Its `Req-Id`.
    pub id: String,
    /// Its `Idempotency-Key`.
    pub key: Option<String>,
    /// Its class, by name.
    pub class: Arc<str>,
    /// Its destination.
    pub destination: u16,
    /// Its deadline.
    pub deadline: Micros,
    /// Its body.
    pub body: Bytes,
}

/// An outcome of which the platform is still to be notified.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Abandonment {
    /// Rejected, with advice on how long to wait before submitting it again.
    Deferred(Micros),
    /// Failed.
    Undeliverable,
}

/// An entry of the ledger: the outcome of a message that must never be sent again.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerEntry {
    /// The message's `Req-Id`.
    pub id: String,
    /// Whether it was delivered; otherwise it failed and may have taken effect.
    pub delivered: bool,
    /// When it reached its outcome.
    pub at: Micros,
}

/// An attempt as the journal has recorded it.
#[derive(Debug, Clone, PartialEq)]
pub struct Attempt {
    /// Its number. The number of an attempt that could not be recorded, and so never started, is missing.
    pub number: u16,
    /// The endpoint's name; empty for an attempt that was added because damage may hide one.
    pub endpoint: Arc<str>,
    /// When it started; 0 if unknown.
    pub at: Micros,
    /// Whether it is known not to have run.
    pub never_ran: bool,
}

/// A message that has not reached its outcome.
#[derive(Debug, Clone)]
pub struct PendingMessage {
    /// As it was submitted.
    pub message: Arc<AcceptedMessage>,
    /// Its attempts, in order.
    pub attempts: Vec<Attempt>,
    /// Its outcome, if only the notification of the platform is pending.
    pub abandoned: Option<Abandonment>,
    /// Sequence number of the segment in which its records begin.
    pub(crate) segment: u64,
}

impl PendingMessage {
    /// Creates a message without attempts whose records begin in `segment`.
    pub(crate) fn new(message: Arc<AcceptedMessage>, segment: u64) -> Self {
        Self { message, attempts: Vec::new(), abandoned: None, segment }
    }

    /// Returns whether one of its attempts may have taken effect.
    pub fn may_have_run(&self) -> bool {
        self.attempts.iter().any(|attempt| !attempt.never_ran)
    }
}

/// Messages are equal wherever their records are stored.
impl PartialEq for PendingMessage {
    fn eq(&self, other: &Self) -> bool {
        (&self.message, &self.attempts, self.abandoned) == (&other.message, &other.attempts, other.abandoned)
    }
}
