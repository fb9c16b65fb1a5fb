//! Base settings for tests and benchmarks.

use super::*;

pub const SECOND: Micros = 1_000_000;

pub fn settings() -> Settings {
    let class = |idempotency, in_order| Class {
        idempotency,
        latency_objective: 4 * SECOND,
        deadline: 20 * SECOND,
        priority_weight: 1.0,
        late_weight: 0.5,
        in_order,
    };
    let keyed = Idempotency::Keyed { scope: IdempotencyScope::All, window: 6 * SECOND };
    Settings {
        classes: vec![
            class(keyed, false),
            class(Idempotency::NonIdempotent, false),
            class(Idempotency::Idempotent, false),
            class(Idempotency::Idempotent, true),
        ],
        tenants: vec![],
        kinds: vec![
            DestinationKind { separate_routes: false, max_batch: 1 },
            DestinationKind { separate_routes: true, max_batch: 1 },
            DestinationKind { separate_routes: false, max_batch: 5 },
        ],
        zone_fees: vec![0.0, 0.1],
        decay: Decay::Linear,
        max_calls: 8,
        max_messages: 64,
        max_attempts: 4,
        hedging: false,
        cancellation: true,
        health_checks: false,
        health_check_price: 0.0,
        rejection_price: 0.0,
        connect_timeout: SECOND,
        idle_timeout: 5 * SECOND,
        max_retry_after: 3 * SECOND,
        polling_only: false,
        weights: Weights::None,
        over_quota_weight: 0.1,
        report: (Some(0), Some(1)),
        senders: 1,
        period: 5_000,
        idle: None,
        gossip: None,
        rules: Rules {
            answer_slack: 20_000,
            poll_interval: Some(10 * SECOND),
            cold_share: 0.2,
            warm_within: 14 * SECOND,
            overload_multiple: 2.0,
            overload_for: 3 * SECOND,
            drain_timeout: 2 * SECOND,
            ordering_pause: SECOND,
        },
    }
}
