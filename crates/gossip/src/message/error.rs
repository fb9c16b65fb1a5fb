//! Reasons for rejecting a message.

use std::fmt;

use super::VERSION;

/// The reason why a message is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejected {
    /// It is not a gossip message.
    Foreign,
    /// It is encoded in another version of the protocol.
    Version(u8),
    /// Its checksum does not match.
    Damaged,
    /// Its content is invalid.
    Invalid,
    /// It was delayed by more than a second.
    Stale,
    /// Its sender is not a peer in the fleet.
    UnknownSender,
}

impl fmt::Display for Rejected {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Foreign => {
                f.write_str("it is no note of a sender: is peer_listen another service's address?")
            }
            Self::Version(version) => write!(
                f,
                "it is of version {version}, this sender reads {VERSION}: harmless during a release"
            ),
            Self::Damaged => f.write_str("it was damaged on its way"),
            Self::Invalid => f.write_str("it says what can't be"),
            Self::Stale => f.write_str("it was held up for more than a second"),
            Self::UnknownSender => f.write_str("it comes from a rank that peers does not have"),
        }
    }
}

impl std::error::Error for Rejected {}
