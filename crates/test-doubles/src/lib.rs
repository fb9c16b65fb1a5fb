//! Test doubles for everything a sender process talks to, on loopback sockets: a platform, endpoints and clients that a
//! test or load test controls, and a handle on the sender process itself. They wait for events rather than for fixed
//! times, and every wait has a timeout, so that a failure ends the test. They record what happened; the tests decide
//! whether the sender behaved correctly.

#![allow(clippy::unwrap_used, reason = "a failure in a test double fails the test")]

mod copying_partner;
mod discovery;
mod http;
mod load;
mod lossy_network;
mod many_partners;
mod node;
mod partner;
mod partner_limits;
mod platform;
mod timestamped_stream;

use std::thread;
use std::time::Duration;

pub use copying_partner::{CopyInstant, CopyingPartner, Effect, PlannedAnswer, RecordedCall};
pub use discovery::{AnswerPace, Discovery, ListRequest};
pub use http::{Http, PendingRequest, Reply, ScriptedServer, status};
pub use load::{ClientAddress, ClientAnswer, Load, Notifications, Plan, Submission};
pub use lossy_network::{Fault, LossyNetwork};
pub use many_partners::{CallBehavior, ManyPartners, Observations};
pub use node::{Client, Node, Program, StartingNode, submission, submission_with};
pub use partner::{Behavior, CallCounts, Effects, Partner};
pub use partner_limits::{PartnerLimits, Violation};
pub use platform::{Platform, draining, listing};

/// The timeout of every wait for an event.
pub const TIMEOUT: Duration = Duration::from_secs(30);

/// Polls the condition until it is true.
///
/// # Panics
/// If the condition is still false after [`TIMEOUT`].
pub fn wait_until(mut condition: impl FnMut() -> bool) {
    let started_at = std::time::Instant::now();
    while !condition() {
        assert!(started_at.elapsed() < TIMEOUT, "the condition was not met within {TIMEOUT:?}");
        thread::yield_now();
    }
}
