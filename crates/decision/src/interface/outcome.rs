//! How an attempt ended.

use serde::{Deserialize, Serialize};

use super::Micros;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Delivered.
    Delivered,
    /// The destination answered with an error.
    Error,
    /// Turned away unseen, with the time to wait if one was told.
    #[serde(rename = "Full")]
    Rejected(Option<Micros>),
    /// No answer in time.
    TimedOut,
    /// No connection was made.
    ConnectFailed,
    /// The connection broke.
    Reset,
    /// An answer came that can't be believed: the endpoint is there, and the attempt may have run.
    #[serde(rename = "Spoilt")]
    InvalidResponse,
    /// Turned away unseen, together with its connection: the endpoint holds as many of them as it can.
    #[serde(rename = "Crowded")]
    ConnectionRejected,
    /// Called off.
    Cancelled,
    /// Not sent at all.
    #[serde(rename = "Moot")]
    NotSent {
        /// Because no slot was free.
        no_slot: bool,
    },
}

impl Outcome {
    /// Whether the destination answered, with whatever.
    pub(crate) fn answered(self) -> bool {
        matches!(
            self,
            Self::Delivered
                | Self::Error
                | Self::Rejected(_)
                | Self::ConnectionRejected
                | Self::InvalidResponse
        )
    }

    /// Whether the outcome proves that the attempt never took effect.
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            Self::Rejected(_) | Self::ConnectionRejected | Self::ConnectFailed | Self::NotSent { .. }
        )
    }
}
