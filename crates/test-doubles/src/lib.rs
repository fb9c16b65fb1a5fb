//! Stand-ins for all that a real sender meets, over loopback sockets: a platform, endpoints and clients that do as a
//! test or load test says, and the sender itself as a process. All waiting is on events; a patience bounds it, so that a
//! failure ends the test. Nothing here decides whether a sender did well.

#![allow(clippy::unwrap_used, reason = "a test double that fails is a test that fails")]

mod arrival;
mod crowd;
mod http;
mod load;
mod node;
mod partner;
mod platform;
mod switch;
mod terms;

use std::thread;
use std::time::Duration;

pub use crowd::{CallBehavior, ManyPartners, Observations};
pub use http::{Asked, Http, Reply, Served, status};
pub use load::{ClientAddress, ClientAnswer, Load, Notifications, Plan, Submission};
pub use node::{Client, Node, Program, Starting, submission, submission_with};
pub use partner::{Behavior, CallCounts, Effects, Partner};
pub use platform::{Platform, draining, listing};
pub use switch::{Fault, Switch};
pub use terms::{Terms, Violation};

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
