//! Delays are measured independently of the offset between the two clocks.

use super::*;

const SECOND: Micros = 1_000_000;

#[test]
fn delayed_messages_are_detected_at_any_clock_offset() {
    for clock_offset in [0u32, 500_000, u32::MAX - 3_000] {
        let mut delays = DelayEstimator::default();
        let sent = |ms: u32| ms.wrapping_add(clock_offset);
        assert_eq!(delays.record(7, 1, sent(10_000), 10 * SECOND + 20_000), Delay::Unknown);
        assert_eq!(delays.record(7, 1, sent(11_000), 11 * SECOND + 5_000), Delay::Excess(0));
        let Delay::Excess(delay) = delays.record(7, 1, sent(12_000), 12 * SECOND + 205_000) else { panic!() };
        assert!((199_000..=200_000).contains(&delay), "{delay}");
        assert_eq!(delays.record(7, 1, sent(13_000), 15 * SECOND), Delay::Stale);
        assert_eq!(
            delays.record(7, 2, sent(13_000), 15 * SECOND),
            Delay::Unknown,
            "a new process has another clock"
        );
    }
}
