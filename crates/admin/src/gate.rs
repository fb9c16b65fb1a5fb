//! The admission gate: whether clients are admitted, and when their connections are closed.
//!
//! A sender that enters standby reports this to the load balancer, which continues to assign connections for a
//! moment. On a persistent connection one more request is answered, with an answer that announces the end of the
//! connection. A connection without an open request is closed after [`IDLE_CLOSE_DELAY`], so that no message is
//! submitted over it later.

use crate::Micros;

/// Time until connections without an open request are closed. It is longer than the load balancer needs to notice the
/// standby and to stop assigning connections. A client that sends a message at the moment of the close must submit it
/// again over another connection.
pub const IDLE_CLOSE_DELAY: Micros = 1_000_000;

/// Whether clients are admitted, and what happens to their connections.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum AdmissionGate {
    /// Clients are admitted, and their connections are kept.
    #[default]
    Open,
    /// On standby since this time. Open requests are answered; connections without one are closed after
    /// [`IDLE_CLOSE_DELAY`].
    Standby(Micros),
    /// The successor admits clients since it took over. Open requests of this process are answered; connections
    /// without one are closed after [`IDLE_CLOSE_DELAY`].
    Relinquished {
        /// When the successor took over.
        since: Micros,
        /// The readiness that is reported to the load balancer, the same for both processes.
        ready: bool,
    },
    /// The process is shutting down: connections are closed as soon as their requests are answered.
    Closing,
}

impl AdmissionGate {
    /// Enters standby. Has no effect on a gate that is on standby already or is closing.
    #[must_use]
    pub fn standby(self, now: Micros) -> Self {
        match self {
            Self::Open => Self::Standby(now),
            Self::Relinquished { since, .. } => Self::Relinquished { since, ready: false },
            other => other,
        }
    }

    /// Leaves standby, so that clients are admitted again. Has no effect on a gate that is closing.
    #[must_use]
    pub fn active(self) -> Self {
        match self {
            Self::Standby(_) => Self::Open,
            Self::Relinquished { since, .. } => Self::Relinquished { since, ready: true },
            other => other,
        }
    }

    /// Returns whether the sender reports to the load balancer that clients are admitted.
    pub fn ready(self) -> bool {
        matches!(self, Self::Open | Self::Relinquished { ready: true, .. })
    }

    /// Returns whether this process accepts new connections.
    pub fn accepts(self) -> bool {
        !matches!(self, Self::Relinquished { .. })
    }

    /// Returns whether each answer is the last on its connection.
    pub fn last_answer(self) -> bool {
        self != Self::Open
    }

    /// Returns when connections without an open request are closed, on standby or after a hand-over.
    pub fn close_idle_at(self) -> Option<Micros> {
        match self {
            Self::Standby(since) | Self::Relinquished { since, .. } => Some(since + IDLE_CLOSE_DELAY),
            Self::Open | Self::Closing => None,
        }
    }
}
