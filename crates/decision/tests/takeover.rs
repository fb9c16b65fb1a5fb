//! A process that takes over decides as the one before would have.

mod common;

use common::*;
use decision::interface::*;
use decision::policy::Policy;

/// A day of messages, refusals, waits, failures and silence; handed over now and then, where that is asked for.
fn day(seed: u64, hands_over: bool) -> Sender {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut s = Sender::new(settings(), &[entry(1, 0), entry(2, 0), entry(3, 0)]);
    for _ in 0..400 {
        match rng.u8(..12) {
            0..4 => drop(s.accept_keyed(rng.usize(..4), Some(rng.u64(1..4)))),
            4..8 if !s.out.is_empty() => {
                let at = rng.usize(..s.out.len());
                let out = s.out.remove(at);
                let outcomes = [
                    Outcome::Delivered,
                    Outcome::Delivered,
                    Outcome::Rejected(Some(rng.u64(..SECOND))),
                    Outcome::Rejected(None),
                    Outcome::Error,
                    Outcome::Reset,
                    Outcome::ConnectFailed,
                ];
                let event = s.ended(out, outcomes[rng.usize(..outcomes.len())]);
                s.tell(vec![event]);
            }
            8 => {
                let listing =
                    [Listing::Ready, Listing::Ready, Listing::Draining, Listing::Gone][rng.usize(..4)];
                s.tell(vec![Event::EndpointChanges(vec![EndpointEntry {
                    listing,
                    ..entry(rng.u8(1..4), 0)
                }])]);
            }
            9 if hands_over => s.hand_over(settings()),
            9 => s.tell(vec![]),
            _ => s.pass(rng.u64(..SECOND / 2)),
        }
    }
    s.pass(30 * SECOND);
    s
}

/// The same attempts at the same endpoints, and the same answers. Another first seed in TAKEOVER_SEED gives other days.
#[test]
fn a_day_with_hand_overs_is_the_same_day() {
    let first = std::env::var("TAKEOVER_SEED").ok().and_then(|seed| seed.parse().ok()).unwrap_or(1);
    let mut sent = 0;
    for seed in first..first + 100 {
        let (plain, handed) = (day(seed, false), day(seed, true));
        assert_eq!(plain.sent, handed.sent, "seed {seed}");
        assert_eq!(plain.refused, handed.refused, "seed {seed}");
        assert_eq!(plain.failed, handed.failed, "seed {seed}");
        sent += plain.sent.len();
    }
    assert!(sent > 1_000, "the days have calls: {sent}");
}

#[test]
fn an_end_that_was_announced_is_not_the_next_ones() {
    let mut s = Sender::new(settings(), &[entry(1, 0)]);
    s.tell(vec![Event::ShuttingDown(s.now + SECOND / 100)]);
    s.accept(ONCE);
    assert!(s.out.is_empty(), "it could be out at the end");
    s.hand_over(settings());
    assert_eq!(s.out.len(), 1);
}

#[test]
fn what_is_no_state_is_not_taken() {
    let policy = Policy::new(settings(), 42, START);
    let state = policy.state().unwrap();
    assert!(Policy::from_state(&state[..state.len() - 1], settings(), 42, START).is_err());
    assert!(Policy::from_state(b"", settings(), 42, START).is_err());
    // A field that this version needs is not there.
    let other = state.windows(6).position(|w| w == b"routes").map(|at| {
        let mut state = state.clone();
        state[at] = b'x';
        state
    });
    assert!(Policy::from_state(&other.unwrap(), settings(), 42, START).is_err());
}
