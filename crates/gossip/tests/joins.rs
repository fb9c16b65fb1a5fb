//! Evidence is a join semilattice: joining the same items in any order, any number of times and by any path gives the same
//! state.

use gossip::evidence::{EXPIRY, Evidence, Failure, FailureKind, Limit, SINGLE_FAILURE_EXPIRY};
use gossip::evidence_set::{EvidenceSet, MAX_ORIGINS, OUTAGE_WEIGHT};
use proptest::prelude::*;

const SECOND: u64 = 1_000_000;

/// Generates evidence as correct senders number it: of one sender, a higher number has a later time.
fn evidence() -> impl Strategy<Value = Evidence> {
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

fn joined(items: &[Evidence]) -> EvidenceSet {
    let mut set = EvidenceSet::default();
    for item in items {
        set.join(*item);
    }
    set
}

/// Returns the part of a state that must be equal: outranked evidence may be retained in one and evicted in the other.
fn effective(set: &EvidenceSet, now: u64) -> (bool, Option<f32>, u64) {
    let belief = set.belief(now);
    (belief.unhealthy.is_some(), belief.limit.map(|limit| limit.rate), belief.wait_until)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(3_000))]

    #[test]
    fn joins_are_commutative(a in prop::collection::vec(evidence(), 0..12), b in prop::collection::vec(evidence(), 0..12)) {
        let (mut ab, mut ba) = (joined(&a), joined(&b));
        ab.join_all(&joined(&b));
        ba.join_all(&joined(&a));
        prop_assert_eq!(ab, ba);
    }

    #[test]
    fn joins_are_associative(
        a in prop::collection::vec(evidence(), 0..9),
        b in prop::collection::vec(evidence(), 0..9),
        c in prop::collection::vec(evidence(), 0..9),
    ) {
        let (mut left, mut right) = (joined(&a), joined(&b));
        left.join_all(&joined(&b));
        left.join_all(&joined(&c));
        right.join_all(&joined(&c));
        let mut other = joined(&a);
        other.join_all(&right);
        prop_assert_eq!(left, other);
    }

    #[test]
    fn joins_are_idempotent(a in prop::collection::vec(evidence(), 0..12)) {
        let once = joined(&a);
        let mut twice = once.clone();
        prop_assert!(!twice.join_all(&once));
        prop_assert_eq!(&twice, &once);
    }

    #[test]
    fn order_and_duplicates_of_evidence_do_not_matter(
        mut items in prop::collection::vec(evidence(), 0..14), seed: u64,
    ) {
        let in_order = joined(&items);
        fastrand::Rng::with_seed(seed).shuffle(&mut items);
        items.extend_from_within(..items.len() / 2);
        prop_assert_eq!(effective(&joined(&items), 9 * SECOND), effective(&in_order, 9 * SECOND));
    }

    #[test]
    fn every_outage_expires(items in prop::collection::vec(evidence(), 0..14)) {
        let set = joined(&items);
        prop_assert!(set.belief(9 * SECOND + EXPIRY).unhealthy.is_none());
    }

    /// One sender publishes any number of failures, under any numbers.
    #[test]
    fn evidence_of_one_sender_is_never_an_outage(numbers in prop::collection::vec((1..90u64, 1..255u8), 1..30)) {
        let failure = |(number, calls): &(u64, u8)| {
            Evidence::Failure(3, Failure { number: *number, at: 90 * SECOND, kind: FailureKind::Unreachable, calls: *calls })
        };
        let set = joined(&numbers.iter().map(failure).collect::<Vec<_>>());
        prop_assert!(set.belief(90 * SECOND).unhealthy.is_none());
    }
}

fn failure(origin: u16, number: u64, at: u64, calls: u8) -> Evidence {
    Evidence::Failure(origin, Failure { number, at, kind: FailureKind::Unreachable, calls })
}

#[test]
fn two_senders_with_consecutive_failures_or_three_with_one_are_an_outage() {
    let mut set = joined(&[failure(1, 1, SECOND, 2)]);
    assert!(set.belief(SECOND).unhealthy.is_none());
    set.join(failure(2, 1, SECOND, 1));
    assert!(set.belief(SECOND).unhealthy.is_some(), "{OUTAGE_WEIGHT} in weight");
    let three = joined(&[failure(1, 1, SECOND, 1), failure(2, 1, SECOND, 1), failure(3, 1, SECOND, 1)]);
    assert!(three.belief(SECOND).unhealthy.is_some());
    assert!(three.belief(SECOND + SINGLE_FAILURE_EXPIRY).unhealthy.is_none());
}

/// A clearance outranks evidence up to the number that it names and no newer one, in whichever order they are received.
#[test]
fn a_success_outranks_the_evidence_from_before_its_call_started() {
    let mut set = joined(&[failure(1, 5, SECOND, 3), failure(2, 7, SECOND, 3)]);
    set.join(Evidence::Cleared(1, 5, SECOND));
    set.join(Evidence::Cleared(2, 6, SECOND));
    assert!(set.belief(SECOND).unhealthy.is_none(), "one sender's evidence is left, which is no outage");
    set.join(failure(1, 5, SECOND, 3));
    assert!(
        set.belief(SECOND).unhealthy.is_none(),
        "outranked evidence takes no effect when it is received again"
    );
    set.join(failure(1, 6, SECOND, 3));
    assert!(set.belief(SECOND).unhealthy.is_some(), "newer evidence takes effect");
}

#[test]
fn a_set_is_bounded() {
    let mut set = EvidenceSet::default();
    for origin in 0..500 {
        set.join(failure(origin, 1, SECOND + u64::from(origin), 3));
        set.join(Evidence::Cleared(origin, 1, SECOND));
    }
    assert!(set.items().count() <= 3 * MAX_ORIGINS);
}
