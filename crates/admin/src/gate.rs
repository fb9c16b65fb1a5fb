//! The admission gate: whether clients are admitted, and when their connections are closed.
//!
//! A sender on standby reports that to the load balancer first, which goes on assigning connections for a moment. A
//! persistent connection gets one more answer, which announces that it is the last. A connection without a request is
//! closed after [`LINGER`], so that no message is submitted over it later.

use crate::Micros;

/// Time until connections without an open request are closed: longer than the load balancer takes to notice and to stop
/// assigning them. A client that writes at that very moment has to submit its message over another connection.
pub const LINGER: Micros = 1_000_000;

/// What is done with clients.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum AdmissionGate {
    /// Clients are admitted, and their connections are kept.
    #[default]
    Open,
    /// Clients are sent away since this time; open requests are answered, and connections closed from [`LINGER`] on.
    Standby(Micros),
    /// Another process admits clients since it took over; open requests of this process are answered, and connections
    /// closed from [`LINGER`] on.
    Relinquished {
        /// When the other process took over.
        since: Micros,
        /// What the load balancer is told, which is the same of both processes.
        ready: bool,
    },
    /// The process is shutting down: connections are closed as soon as their requests are answered.
    Closing,
}

impl AdmissionGate {
    /// Sends clients away. Has no effect on a gate that does so already or is closing.
    #[must_use]
    pub fn standby(self, now: Micros) -> Self {
        match self {
            Self::Open => Self::Standby(now),
            Self::Relinquished { since, .. } => Self::Relinquished { since, ready: false },
            other => other,
        }
    }

    /// Admits clients again. Has no effect on a gate that is closing.
    #[must_use]
    pub fn active(self) -> Self {
        match self {
            Self::Standby(_) => Self::Open,
            Self::Relinquished { since, .. } => Self::Relinquished { since, ready: true },
            other => other,
        }
    }

    /// Whether the load balancer is told that clients are admitted.
    pub fn ready(self) -> bool {
        matches!(self, Self::Open | Self::Relinquished { ready: true, .. })
    }

    /// Whether this process accepts new connections.
    pub fn accepts(self) -> bool {
        !matches!(self, Self::Relinquished { .. })
    }

    /// Whether each answer is the last on its connection.
    pub fn last_answer(self) -> bool {
        self != Self::Open
    }

    /// When connections without an open request are closed, while clients are sent away.
    pub fn close_idle_at(self) -> Option<Micros> {
        match self {
            Self::Standby(since) | Self::Relinquished { since, .. } => Some(since + LINGER),
            Self::Open | Self::Closing => None,
        }
    }
}
