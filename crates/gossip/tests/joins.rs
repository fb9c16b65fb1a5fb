//! What is judged is a lattice: evidence joined in any order, any number of times and over any ways comes to the same.

use gossip::judgement::{BELIEVED, Evidence, FADES, Failure, FailureKind, Judgement, KEPT, Limit, ONE_FADES};
use proptest::prelude::*;

const SECOND: u64 = 1_000_000;

/// Evidence as honest senders number it: the higher number of one sender is the later.
fn item() -> impl Strategy<Value = Evidence> {
    let kind =
        prop_oneof![Just(FailureKind::Unreachable), Just(FailureKind::Silent), Just(FailureKind::Failing)];
    prop_oneof![
        4 => (0..6u16, 1..9u64, kind).prop_map(|(origin, number, kind)| {
            let at = number * SECOND + u64::from(origin);
            Evidence::Failure(origin, Failure { number, at, kind, calls: (number % 3 + 1) as u8 })
        }),
        3 => (0..6u16, 1..9u64).prop_map(|(origin, number)| Evidence::Cleared(origin, number, number * SECOND)),
        1 => (0..3u16, 1..9u64).prop_map(|(origin, number)| {
            Evidence::Limit(Limit { origin, number, at: number * SECOND, rate: number as f32 })
        }),
        1 => (1..20u64).prop_map(|s| Evidence::Wait(s * SECOND)),
    ]
}

fn all(items: &[Evidence]) -> Judgement {
    let mut judgement = Judgement::default();
    for item in items {
        judgement.join(*item);
    }
    judgement
}

/// What counts of two states: evidence that is outranked may be kept by one and have made way at the other.
fn counts(judgement: &Judgement, now: u64) -> (bool, Option<f32>, u64) {
    let belief = judgement.belief(now);
    (belief.unhealthy.is_some(), belief.limit.map(|limit| limit.0), belief.wait_until)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(3_000))]

    #[test]
    fn joins_are_commutative(a in prop::collection::vec(item(), 0..12), b in prop::collection::vec(item(), 0..12)) {
        let (mut ab, mut ba) = (all(&a), all(&b));
        ab.join_all(&all(&b));
        ba.join_all(&all(&a));
        prop_assert_eq!(ab, ba);
    }

    #[test]
    fn joins_are_associative(
        a in prop::collection::vec(item(), 0..9),
        b in prop::collection::vec(item(), 0..9),
        c in prop::collection::vec(item(), 0..9),
    ) {
        let (mut left, mut right) = (all(&a), all(&b));
        left.join_all(&all(&b));
        left.join_all(&all(&c));
        right.join_all(&all(&c));
        let mut whole = all(&a);
        whole.join_all(&right);
        prop_assert_eq!(left, whole);
    }

    #[test]
    fn joins_are_idempotent_and_only_grow(a in prop::collection::vec(item(), 0..12)) {
        let once = all(&a);
        let mut twice = once.clone();
        prop_assert!(!twice.join_all(&once));
        prop_assert_eq!(&twice, &once);
    }

    #[test]
    fn the_order_in_which_evidence_comes_does_not_matter(
        mut items in prop::collection::vec(item(), 0..14), seed: u64,
    ) {
        let one = all(&items);
        fastrand::Rng::with_seed(seed).shuffle(&mut items);
        items.extend_from_within(..items.len() / 2);
        prop_assert_eq!(counts(&all(&items), 9 * SECOND), counts(&one, 9 * SECOND));
    }

    #[test]
    fn every_judgement_ends(items in prop::collection::vec(item(), 0..14)) {
        let judgement = all(&items);
        prop_assert!(judgement.belief(9 * SECOND + FADES).unhealthy.is_none());
    }

    /// However much one sender says, and whatever number it gives, it alone is not believed.
    #[test]
    fn one_sender_alone_is_never_believed(numbers in prop::collection::vec((1..90u64, 1..255u8), 1..30)) {
        let bad = |(number, calls): &(u64, u8)| {
            Evidence::Failure(3, Failure { number: *number, at: 90 * SECOND, kind: FailureKind::Unreachable, calls: *calls })
        };
        let judgement = all(&numbers.iter().map(bad).collect::<Vec<_>>());
        prop_assert!(judgement.belief(90 * SECOND).unhealthy.is_none());
    }
}

fn bad(origin: u16, number: u64, at: u64, calls: u8) -> Evidence {
    Evidence::Failure(origin, Failure { number, at, kind: FailureKind::Unreachable, calls })
}

#[test]
fn two_that_saw_a_run_or_three_that_saw_one_are_believed() {
    let mut judgement = all(&[bad(1, 1, SECOND, 2)]);
    assert!(judgement.belief(SECOND).unhealthy.is_none());
    judgement.join(bad(2, 1, SECOND, 1));
    assert!(judgement.belief(SECOND).unhealthy.is_some(), "{BELIEVED} in weight");
    let three = all(&[bad(1, 1, SECOND, 1), bad(2, 1, SECOND, 1), bad(3, 1, SECOND, 1)]);
    assert!(three.belief(SECOND).unhealthy.is_some());
    assert!(three.belief(SECOND + ONE_FADES).unhealthy.is_none());
}

/// Good news outranks what was known to whoever called, and nothing else, however late either comes.
#[test]
fn a_call_that_went_well_outranks_what_was_known_when_it_began() {
    let mut judgement = all(&[bad(1, 5, SECOND, 3), bad(2, 7, SECOND, 3)]);
    judgement.join(Evidence::Cleared(1, 5, SECOND));
    judgement.join(Evidence::Cleared(2, 6, SECOND));
    assert!(judgement.belief(SECOND).unhealthy.is_none(), "one is left, which alone is not believed");
    judgement.join(bad(1, 5, SECOND, 3));
    assert!(judgement.belief(SECOND).unhealthy.is_none(), "what is outranked does not rise again");
    judgement.join(bad(1, 6, SECOND, 3));
    assert!(judgement.belief(SECOND).unhealthy.is_some(), "what came after does");
}

#[test]
fn what_others_make_grow_is_bounded() {
    let mut judgement = Judgement::default();
    for origin in 0..500 {
        judgement.join(bad(origin, 1, SECOND + u64::from(origin), 3));
        judgement.join(Evidence::Cleared(origin, 1, SECOND));
    }
    assert!(judgement.items().count() <= 3 * KEPT);
}
