//! How urgent it is to write a record again.

use decision::interface::{Condition, RouteSnapshot};

use super::{LATE, SOON};
use crate::{DestinationRecord, Micros, RouteRecord};

/// Relative changes above which a record is written again.
const LIMIT_CHANGE: f32 = 0.05;
const SEND_RATE_CHANGE: f32 = 0.1;
const SUCCESS_RATE_CHANGE: f32 = 0.25;
const LATENCY_CHANGE: f32 = 0.5;

/// How urgent it is to write a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// What was written is still current.
    None,
    /// It is written within [`LATE`].
    Late,
    /// It is written within [`SOON`]: a restarted process would lose calls without it.
    Soon,
    /// It is written at once: a wait or the endpoint list depends on it.
    Now,
}

/// Summary of a destination's record, by which a change is detected.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(super) struct Digest {
    /// When the record was written.
    pub(super) at: Micros,
    wait_until: Micros,
    /// Sums of one flag per route, at the bit of its position modulo 32; the same for the two that follow.
    unhealthy: u32,
    failing: u32,
    rejecting: u32,
    cold_since: u64,
    shortage_at: u64,
    recent_calls: f32,
    limit: f32,
    send_rate: f32,
    success_rate: f32,
    latency: f32,
    last_success_at: Micros,
    endpoints: u32,
}

impl Digest {
    pub(super) fn of(record: &DestinationRecord) -> Self {
        let mut digest = Self { at: record.at, endpoints: endpoints(record), ..Self::default() };
        for (position, route) in record.routes.iter().enumerate() {
            digest.add(position, route);
        }
        digest
    }

    /// Adds a route. Few destinations have a route for each endpoint, and the order of the routes is stable, so that sums
    /// weighted by position show most changes.
    fn add(&mut self, position: usize, route: &RouteRecord) {
        let snapshot: &RouteSnapshot = &route.snapshot;
        let weight = (position + 1) as f32;
        let flag = |set: bool| u32::from(set) << (position % 32);
        let is_unhealthy = snapshot.condition == Condition::Failing || snapshot.trial.is_some();
        self.wait_until = self.wait_until.max(snapshot.wait_until);
        self.unhealthy += flag(is_unhealthy);
        self.failing += flag(snapshot.failures > 0);
        self.rejecting += flag(snapshot.condition == Condition::Rejecting);
        self.cold_since = self.cold_since.wrapping_add(snapshot.cold_since.unwrap_or(0));
        self.shortage_at = self.shortage_at.max(snapshot.shortage_at.unwrap_or(0));
        self.recent_calls += weight * snapshot.recent_calls.0 as f32;
        self.limit += weight * snapshot.limit as f32;
        self.send_rate += weight * snapshot.send_rate as f32;
        self.success_rate += weight * snapshot.success_rate as f32;
        self.latency += weight * snapshot.latency.map_or(0.0, |(mean, _)| mean) as f32;
        self.last_success_at = self.last_success_at.max(snapshot.last_success_at);
    }

    /// Returns how urgent it is to write this in place of what was written.
    pub(super) fn urgency(&self, written: &Self) -> Urgency {
        if self.wait_until > written.wait_until || self.endpoints != written.endpoints {
            Urgency::Now
        } else if self.changed_restriction(written) {
            Urgency::Soon
        } else if self.changed_figures(written) {
            Urgency::Late
        } else {
            Urgency::None
        }
    }

    /// Returns whether a restarted process would make too many calls without this.
    fn changed_restriction(&self, written: &Self) -> bool {
        let is_cold = self.unhealthy != 0 || self.cold_since != 0;
        self.unhealthy != written.unhealthy
            || self.failing != written.failing
            || self.rejecting != written.rejecting
            || self.cold_since != written.cold_since
            || (is_cold && self.recent_calls != written.recent_calls)
            || self.shortage_at > written.shortage_at + SOON
            || differs(LIMIT_CHANGE, self.limit, written.limit)
    }

    fn changed_figures(&self, written: &Self) -> bool {
        differs(SEND_RATE_CHANGE, self.send_rate, written.send_rate)
            || differs(SUCCESS_RATE_CHANGE, self.success_rate, written.success_rate)
            || differs(LATENCY_CHANGE, self.latency, written.latency)
            || self.last_success_at > written.last_success_at + LATE
    }

    /// Returns whether it restricts a restarted process, so that it is written before others.
    pub(super) fn is_restrictive(&self) -> bool {
        self.wait_until > 0 || self.unhealthy != 0 || self.cold_since != 0
    }
}

/// Returns whether two figures differ by more than a share of the larger one.
fn differs(share: f32, a: f32, b: f32) -> bool {
    (a - b).abs() > share * a.max(b)
}

/// Returns a checksum of the destination's endpoints.
fn endpoints(record: &DestinationRecord) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    for listed in &record.listed {
        for text in [&listed.name, &listed.address, &listed.zone, &listed.kind] {
            hasher.update(text.as_bytes());
            hasher.update(&[0xff]);
        }
        hasher.update(&[listed.status as u8]);
        hasher.update(&listed.weight.to_le_bytes());
    }
    hasher.finalize()
}
