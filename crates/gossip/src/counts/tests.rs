//! Counts of this sender cover the last span; samples of other senders are deduplicated, expire and are bounded.

use super::*;

fn calls(calls: u32) -> Count {
    Count { calls, ..Count::default() }
}

#[test]
fn own_counts_cover_the_last_span() {
    let mut counts = Counts::default();
    for step in 0..10 {
        counts.record(7, calls(5), step * 500_000);
    }
    assert_eq!(counts.own(9 * 500_000), [(7, calls(20))]);
    assert_eq!(counts.own(9 * 500_000 + SPAN), []);
}

#[test]
fn duplicate_samples_count_once_and_expired_ones_are_dropped() {
    let mut counts = Counts::default();
    for _ in 0..3 {
        counts.received(1, 7, calls(10), 0, SPAN);
    }
    counts.received(1, 7, calls(900), SPAN / 2, SPAN);
    counts.received(2, 7, calls(20), 0, SPAN);
    let estimate = counts.estimate(7, 30, SPAN);
    assert_eq!((estimate.count.calls, estimate.samples), (300, 3));
    assert_eq!(counts.estimate(7, 30, SPAN + SAMPLE_EXPIRY).samples, 1);
}

#[test]
fn samples_are_bounded() {
    let mut counts = Counts::default();
    for n in 0..u16::MAX {
        counts.received(n, 7, calls(1), 0, u64::from(n) + SPAN);
        counts.received(1, n, calls(1), 0, SPAN);
    }
    assert_eq!(counts.samples[&7].len(), MAX_SAMPLES);
    assert!(counts.samples.len() <= MAX_DESTINATIONS);
}
