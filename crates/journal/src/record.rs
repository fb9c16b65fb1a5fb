//! What is written down, as plain data.

use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// A point in time (Unix time) or a span, in microseconds.
pub type Micros = u64;

/// One thing that happened to a message.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// The sender owes the message its end from now on. Its number is no other live message's.
    #[serde(rename = "Taken")]
    Accepted(u32, Arc<AcceptedMessage>),
    /// An attempt is about to begin.
    #[serde(rename = "Begun")]
    AttemptStarted {
        /// The message.
        message: u32,
        /// The attempt's number, from 0.
        attempt: u16,
        /// The endpoint's name.
        endpoint: Arc<str>,
        /// When.
        at: Micros,
    },
    /// An attempt ended, and the message goes on.
    #[serde(rename = "Ended")]
    AttemptEnded {
        /// The message.
        message: u32,
        /// The attempt's number, from 0.
        attempt: u16,
        /// Whether it is known not to have run.
        never_ran: bool,
    },
    /// The module gave the message up; the platform is still to be told.
    #[serde(rename = "GivenUp")]
    Abandoned(u32, Abandonment),
    /// Nothing more is owed.
    #[serde(rename = "Over")]
    Completed(u32),
    /// How a message ended that must never be sent again; kept for the ledger's time. It goes ahead of the message's
    /// [`Record::Over`] in the same append.
    #[serde(rename = "Remembered")]
    LedgerEntry(LedgerEntry),
}

/// A message as it was handed in.
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
    /// When its time is up.
    pub deadline: Micros,
    /// Its body.
    pub body: Bytes,
}

/// An end that is owed to the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Abandonment {
    /// Refused, with advice on when to return, in microseconds.
    Deferred(Micros),
    /// Failed.
    Undeliverable,
}

/// An entry of the ledger of orders.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerEntry {
    /// The message's `Req-Id`.
    pub id: String,
    /// Whether it was delivered; otherwise it failed, and may have taken effect.
    pub delivered: bool,
    /// When it ended.
    pub at: Micros,
}

/// An attempt as far as it is known.
#[derive(Debug, Clone, PartialEq)]
pub struct Attempt {
    /// Its number: one that could not be written down, and so never began, is missing.
    pub number: u16,
    /// The endpoint's name; empty where the record of it is damaged and it is not known whether there was one.
    pub endpoint: Arc<str>,
    /// When it began; 0 where that is not known.
    pub at: Micros,
    /// Whether it is known not to have run.
    pub never_ran: bool,
}

/// A message that is owed its end.
#[derive(Debug, Clone)]
pub struct PendingMessage {
    /// As it was handed in.
    pub message: Arc<AcceptedMessage>,
    /// Its attempts, in order.
    pub attempts: Vec<Attempt>,
    /// Its end, where only the notice is still owed.
    pub abandoned: Option<Abandonment>,
    /// The segment from which on all that is known of it stands.
    pub(crate) home: u64,
}

impl PendingMessage {
    /// A message that was just taken on.
    pub(crate) fn new(taken: Arc<AcceptedMessage>, home: u64) -> Self {
        Self { message: taken, attempts: Vec::new(), abandoned: None, home }
    }

    /// Whether one of its attempts may have taken effect.
    pub fn may_have_run(&self) -> bool {
        self.attempts.iter().any(|attempt| !attempt.never_ran)
    }
}

/// Where it stands on the disk is no part of what it is.
impl PartialEq for PendingMessage {
    fn eq(&self, other: &Self) -> bool {
        (&self.message, &self.attempts, self.abandoned) == (&other.message, &other.attempts, other.abandoned)
    }
}
