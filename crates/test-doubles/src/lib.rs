//! Stand-ins for all that a real sender meets, over loopback sockets: a platform, endpoints and clients that do as a
//! test or load test says, and the sender itself as a process. All waiting is on events; a patience bounds it, so that a
//! failure ends the test. Nothing here decides whether a sender did well.

#![allow(clippy::unwrap_used, reason = "a test double that fails is a test that fails")]

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

pub use http::{Asked, Http, Reply, Served, status};
pub use load::{ClientAddress, ClientAnswer, Load, Notifications, Plan, Submission};
pub use lossy_network::{Fault, Switch};
pub use many_partners::{CallBehavior, ManyPartners, Observations};
pub use node::{Client, Node, Program, Starting, submission, submission_with};
pub use partner::{Behavior, CallCounts, Effects, Partner};
pub use partner_limits::{Terms, Violation};
pub use platform::{Platform, draining, listing};

/// How long anything is waited for.
pub const TIMEOUT: Duration = Duration::from_secs(30);

/// Looks again and again until it is so.
pub fn wait_until(mut so: impl FnMut() -> bool) {
    let begun = std::time::Instant::now();
    while !so() {
        assert!(begun.elapsed() < TIMEOUT, "it comes to be so");
        thread::yield_now();
    }
}
