//! Whether clients may come, and when their connections must be closed.
//!
//! A sender that sends its clients away says so to the front first, which goes on dealing connections out for a
//! moment. A kept connection gets one more answer, which says that it is the last; one that asks nothing is closed
//! once the front has had its moment, so that no message comes over it later.

use crate::Micros;

/// From the call until connections without an open request are closed: longer than the front takes to notice and
/// to stop. A client may write at that moment, and then hands the message in over another connection.
pub const LINGER: Micros = 1_000_000;

/// What the front does with clients.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum AdmissionGate {
    /// Clients come and stay.
    #[default]
    Open,
    /// Clients are sent away since then; connections are answered, and closed from [`LINGER`] on.
    Standby(Micros),
    /// Another process takes clients since then; connections that are here are answered, and closed from [`LINGER`] on.
    HandedOver {
        /// Since when.
        since: Micros,
        /// What the front is told, which is so of both.
        ready: bool,
    },
    /// The process ends: connections that were answered are closed as soon as they are idle.
    Closing,
}

impl AdmissionGate {
    /// Clients are to be sent away. Once more changes nothing, and a process that ends does not come back.
    #[must_use]
    pub fn standby(self, now: Micros) -> Self {
        match self {
            Self::Open => Self::Standby(now),
            Self::HandedOver { since, .. } => Self::HandedOver { since, ready: false },
            other => other,
        }
    }

    /// Clients may come again.
    #[must_use]
    pub fn active(self) -> Self {
        match self {
            Self::Standby(_) => Self::Open,
            Self::HandedOver { since, .. } => Self::HandedOver { since, ready: true },
            other => other,
        }
    }

    /// Whether the front is told that clients may come.
    pub fn ready(self) -> bool {
        matches!(self, Self::Open | Self::HandedOver { ready: true, .. })
    }

    /// Whether this process takes new connections.
    pub fn accepts(self) -> bool {
        !matches!(self, Self::HandedOver { .. })
    }

    /// Whether an answer is the last on its connection.
    pub fn last_answer(self) -> bool {
        self != Self::Open
    }

    /// From when on connections without an open request are closed, while clients are sent away.
    pub fn close_idle_at(self) -> Option<Micros> {
        match self {
            Self::Standby(since) | Self::HandedOver { since, .. } => Some(since + LINGER),
            Self::Open | Self::Closing => None,
        }
    }
}
