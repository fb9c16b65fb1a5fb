//! The encoded form of a route's observations.

use decision::interface::{Condition, RouteSnapshot};
use serde::{Deserialize, Serialize};

use crate::{Micros, RouteRecord};

/// A route's observations, with times as distances from the timestamp before the frame, which are shorter to encode. Encoded by
/// position: neither order nor types may change.
#[derive(Serialize, Deserialize)]
pub(super) struct EncodedRoute {
    endpoint: Option<String>,
    limit: f32,
    shortage_at: Option<i64>,
    send_rate: f32,
    success_rate: f32,
    condition: Condition,
    failures: u32,
    unhealthy_since: Option<i64>,
    cold_since: Option<i64>,
    last_success_at: Option<i64>,
    trial: Option<(i64, Micros)>,
    recent_calls: Option<(f32, i64)>,
    latency: Option<(f32, f32)>,
}

impl EncodedRoute {
    pub(super) fn encode(route: &RouteRecord, base: Micros) -> Self {
        let snapshot = &route.snapshot;
        let relative = |at: Micros| distance(at, base);
        let (calls, last_call_at) = snapshot.recent_calls;
        Self {
            endpoint: route.endpoint.clone(),
            limit: snapshot.limit as f32,
            shortage_at: snapshot.shortage_at.map(relative),
            send_rate: snapshot.send_rate as f32,
            success_rate: snapshot.success_rate as f32,
            condition: snapshot.condition,
            failures: snapshot.failures,
            unhealthy_since: snapshot.unhealthy_since.map(relative),
            cold_since: snapshot.cold_since.map(relative),
            last_success_at: (snapshot.last_success_at > 0).then(|| relative(snapshot.last_success_at)),
            trial: snapshot.trial.map(|(due, reset)| (relative(due), reset)),
            recent_calls: (calls > 0.0).then(|| (calls as f32, relative(last_call_at))),
            latency: snapshot.latency.map(|(mean, deviation)| (mean as f32, deviation as f32)),
        }
    }

    pub(super) fn decode(self, base: Micros) -> RouteRecord {
        let absolute = |distance: i64| base.saturating_add_signed(distance);
        let latency = self.latency.map(|(mean, deviation)| (positive(mean), positive(deviation)));
        let snapshot = RouteSnapshot {
            wait_until: 0,
            limit: positive(self.limit),
            shortage_at: self.shortage_at.map(absolute),
            send_rate: positive(self.send_rate),
            success_rate: positive(self.success_rate),
            condition: self.condition,
            failures: self.failures,
            unhealthy_since: self.unhealthy_since.map(absolute),
            cold_since: self.cold_since.map(absolute),
            last_success_at: self.last_success_at.map_or(0, absolute),
            trial: self.trial.map(|(due, reset)| (absolute(due), reset)),
            recent_calls: self
                .recent_calls
                .map_or((0.0, 0), |(calls, last)| (positive(calls), absolute(last))),
            latency: latency.filter(|(mean, _)| *mean > 0.0),
        };
        RouteRecord { endpoint: self.endpoint, snapshot }
    }
}

/// Returns a time relative to the base, saturating.
fn distance(at: Micros, base: Micros) -> i64 {
    let distance = i128::from(at) - i128::from(base);
    distance.clamp(i64::MIN.into(), i64::MAX.into()) as i64
}

/// Returns a positive number as it is, and 0, which stands for unknown, in place of any other.
fn positive(number: f32) -> f64 {
    if number.is_finite() && number > 0.0 { f64::from(number) } else { 0.0 }
}
