//! Outcomes of attempts.

use serde::{Deserialize, Serialize};

use super::Micros;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Delivered.
    Delivered,
    /// The destination answered with an error.
    Error,
    /// Rejected before processing, with the Retry-After if one was stated.
    #[serde(rename = "Full")]
    Rejected(Option<Micros>),
    /// No answer in time.
    TimedOut,
    /// No connection was established.
    ConnectFailed,
    /// The connection broke.
    Reset,
    /// A response arrived that is not valid: the endpoint is reachable, and the attempt may have taken
    /// effect.
    #[serde(rename = "Spoilt")]
    InvalidResponse,
    /// Rejected before processing together with its connection: the endpoint already has as many connections
    /// as it accepts.
    #[serde(rename = "Crowded")]
    ConnectionRejected,
    /// Cancelled by this sender.
    Cancelled,
    /// Not sent.
    #[serde(rename = "Moot")]
    NotSent {
        /// Whether that was because no call slot was free.
        no_slot: bool,
    },
}

impl Outcome {
    /// Returns whether the destination answered, with any result.
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

    /// Returns whether the outcome proves that the attempt never took effect.
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            Self::Rejected(_) | Self::ConnectionRejected | Self::ConnectFailed | Self::NotSent { .. }
        )
    }
}
