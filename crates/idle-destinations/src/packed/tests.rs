//! Tests that decoded health never permits more calls than the health that was encoded.

use super::*;

#[test]
fn an_entry_has_28_bytes() {
    assert_eq!(size_of::<Packed>(), 28);
}

#[test]
fn encoding_never_shortens_retry_after_and_never_raises_rates() {
    let mut rng = fastrand::Rng::with_seed(3);
    for _ in 0..10_000 {
        let base = rng.u64(..2_000_000_000_000_000);
        let encoding = Encoding::new(base);
        let now = base + rng.u64(..100_000_000_000_000);
        let rate = rng.f64() * 10f64.powi(rng.i32(-6..6));
        let health = RetainedHealth {
            wait_until: now + rng.u64(1..100_000_000_000),
            unhealthy_since: rng.bool().then_some(now),
            cold_since: rng.bool().then_some(now),
            last_success_at: now,
            limit: rate,
            success_rate: rate,
            send_rate: rate,
            condition: Condition::Rejecting,
        };
        let decoded = encoding.unpack(&encoding.pack(&health, now));
        assert!((health.wait_until..health.wait_until + TIME_UNIT).contains(&decoded.wait_until));
        let unhealthy_since = decoded.unhealthy_since.unwrap_or(now);
        assert!(
            unhealthy_since <= now
                && unhealthy_since + TIME_UNIT > now
                && decoded.unhealthy_since.is_some() == health.unhealthy_since.is_some()
        );
        for decoded_rate in [decoded.limit, decoded.success_rate, decoded.send_rate] {
            assert!(
                decoded_rate <= rate * 1.000_000_1 && decoded_rate > rate * 0.998,
                "{rate} {decoded_rate}"
            );
        }
        assert_eq!(decoded.condition, Condition::Rejecting);
    }
}

#[test]
fn retry_after_beyond_the_encoded_range_saturates() {
    let encoding = Encoding::new(0);
    let health = RetainedHealth { wait_until: Micros::MAX, ..RetainedHealth::default() };
    assert!(encoding.unpack(&encoding.pack(&health, 5)).wait_until > 10 * 365 * 86_400_000_000);
    let expired = RetainedHealth { wait_until: 5, ..RetainedHealth::default() };
    assert_eq!(encoding.unpack(&encoding.pack(&expired, 5)).wait_until, 0);
}
