//! Gossip messages: the bytes of each kind of part, and the errors for rejected messages.

use std::fmt::Write as _;

use gossip::FailureKind;
use gossip::counts::Count;
use gossip::evidence::{Evidence, Failure, Limit};
use gossip::membership::{MemberUpdate, State};
use gossip::message::{Message, Part, Rejected, Writer};

use super::scripted::hex;

const NOW: u64 = 90_123_456;
const INCARNATION: u32 = 0x0102_0304;

fn parts() -> Vec<(&'static str, Part)> {
    let failure = |kind| {
        Part::Evidence(
            7,
            Evidence::Failure(3, Failure { number: 1 << 40, at: NOW - 250_000, kind, calls: 5 }),
        )
    };
    let member = |state| Part::Member(MemberUpdate { member: 6, incarnation: 42, state });
    let limit = Limit { origin: 2, number: 9, at: NOW - 40_000, rate: 12.5 };
    let count = Count { calls: 1_000, rejected: 200, failed: 30, retries: 4, outstanding: 5 };
    vec![
        ("evidence, unreachable", failure(FailureKind::Unreachable)),
        ("evidence, failing", failure(FailureKind::Failing)),
        ("evidence, silent", failure(FailureKind::Silent)),
        ("evidence, shut", failure(FailureKind::Shut)),
        ("clearance", Part::Evidence(300, Evidence::Cleared(4, 77, NOW - 1_000_000))),
        ("limit", Part::Evidence(7, Evidence::Limit(limit))),
        ("wait", Part::Evidence(7, Evidence::Wait(NOW + 1_230_000))),
        ("ping", Part::Ping { number: 11, digest: 0xdead_beef }),
        ("acknowledgement", Part::Ack { number: 11, digest: 0xdead_beef }),
        ("indirect ping", Part::PingRequest { target: 5, number: 12 }),
        ("member, alive", member(State::Alive)),
        ("member, suspected", member(State::Suspected)),
        ("member, gone", member(State::Gone)),
        ("quota request", Part::QuotaRequest { destination: 7, request: 13, units: 2_000 }),
        ("quota transfer", Part::QuotaGrant { request: 13, units: 1_500 }),
        ("counts", Part::Counts(7, count)),
        ("request for all", Part::SyncRequest),
    ]
}

/// Returns the text of the kind `gossip`.
pub fn text() -> String {
    let mut text = String::new();
    let mut all = Writer::new(INCARNATION, NOW);
    for (name, part) in parts() {
        let mut writer = Writer::new(INCARNATION, NOW);
        assert!(writer.add(&part), "{name} does not fit into an empty message");
        let bytes = writer.finish();
        let read = Message::read(&bytes)
            .and_then(|message| message.parts(NOW, 0))
            .expect("a message that was written can be read");
        let verdict = if read == [part] { "read as written" } else { "read otherwise" };
        let _ = writeln!(text, "{name}: {} {verdict}", hex(&bytes));
        all.add(&part);
    }
    let bytes = all.finish();
    let _ = writeln!(text, "all that fits: {}", hex(&bytes));
    let mut damaged = bytes.clone();
    damaged[20] ^= 1;
    let mut other = bytes;
    other[0] = 2;
    let rejected = |bytes: &[u8]| Message::read(bytes).expect_err("the message is rejected").to_string();
    let _ = writeln!(text, "damaged: {}", rejected(&damaged));
    let _ = writeln!(text, "another version: {}", rejected(&other));
    let _ = writeln!(text, "too short: {}", rejected(b"short"));
    for reason in [Rejected::Invalid, Rejected::Stale, Rejected::UnknownSender] {
        let _ = writeln!(text, "rejected: {reason}");
    }
    text
}
