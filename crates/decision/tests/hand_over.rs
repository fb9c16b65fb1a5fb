//! Tests that the successor in a hand-over decides as its predecessor would have.

mod common;

use common::*;
use decision::interface::*;
use decision::policy::Policy;

/// Runs a random sequence of messages, rejections, waits, failures and pauses, with hand-overs in between if
/// `hands_over`.
fn run(seed: u64, hands_over: bool) -> Sender {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut s = Sender::new(settings(), &[entry(1, 0), entry(2, 0), entry(3, 0)]);
    for _ in 0..400 {
        match rng.u8(..12) {
            0..4 => drop(s.accept_keyed(rng.usize(..4), Some(rng.u64(1..4)))),
            4..8 if !s.in_flight.is_empty() => {
                let at = rng.usize(..s.in_flight.len());
                let attempt = s.in_flight.remove(at);
                let outcomes = [
                    Outcome::Delivered,
                    Outcome::Delivered,
                    Outcome::Rejected(Some(rng.u64(..SECOND))),
                    Outcome::Rejected(None),
                    Outcome::Error,
                    Outcome::Reset,
                    Outcome::ConnectFailed,
                ];
                let event = s.ended(attempt, outcomes[rng.usize(..outcomes.len())]);
                s.handle(vec![event]);
            }
            8 => {
                let listing =
                    [Listing::Ready, Listing::Ready, Listing::Draining, Listing::Gone][rng.usize(..4)];
                s.handle(vec![Event::EndpointChanges(vec![EndpointEntry {
                    listing,
                    ..entry(rng.u8(1..4), 0)
                }])]);
            }
            9 if hands_over => s.hand_over(settings()),
            9 => s.handle(vec![]),
            _ => s.advance(rng.u64(..SECOND / 2)),
        }
    }
    s.advance(30 * SECOND);
    s
}

/// With and without hand-overs, the same attempts go to the same endpoints and messages get the same answers.
/// TAKEOVER_SEED sets the first of the 100 seeds.
#[test]
fn hand_overs_do_not_change_decisions() {
    let first = std::env::var("TAKEOVER_SEED").ok().and_then(|seed| seed.parse().ok()).unwrap_or(1);
    let mut sent = 0;
    for seed in first..first + 100 {
        let (plain, handed_over) = (run(seed, false), run(seed, true));
        assert_eq!(plain.sent, handed_over.sent, "seed {seed}");
        assert_eq!(plain.rejected, handed_over.rejected, "seed {seed}");
        assert_eq!(plain.failed, handed_over.failed, "seed {seed}");
        sent += plain.sent.len();
    }
    assert!(sent > 1_000, "only {sent} attempts in all runs");
}

#[test]
fn announced_shutdown_does_not_apply_to_the_successor() {
    let mut s = Sender::new(settings(), &[entry(1, 0)]);
    s.handle(vec![Event::ShuttingDown(s.now + SECOND / 100)]);
    s.accept(NON_IDEMPOTENT);
    assert!(s.in_flight.is_empty(), "its call could still be in flight at the end");
    s.hand_over(settings());
    assert_eq!(s.in_flight.len(), 1);
}

#[test]
fn rejects_truncated_and_incompatible_state() {
    let policy = Policy::new(settings(), 42, START);
    let state = policy.state().unwrap();
    assert!(Policy::from_state(&state[..state.len() - 1], settings(), 42, START).is_err());
    assert!(Policy::from_state(b"", settings(), 42, START).is_err());
    // A required field is missing.
    let other = state.windows(6).position(|w| w == b"routes").map(|at| {
        let mut state = state.clone();
        state[at] = b'x';
        state
    });
    assert!(Policy::from_state(&other.unwrap(), settings(), 42, START).is_err());
}
