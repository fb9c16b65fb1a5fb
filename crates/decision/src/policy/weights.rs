//! What messages are worth, and how long they can expect to wait: estimates that the decisions are made from.

use super::Policy;
use crate::estimate::remaining_weight;
use crate::interface::{DestinationId, Micros};
use crate::message_table::PendingMessage;

impl Policy {
    /// Part of the worth that is left to a tenant's message when it may be beyond the tenant's share, as
    /// far as one sender can tell.
    pub(super) fn quota_weight(&self, tenant: usize) -> f64 {
        let (Some(rate), Some(t)) = (self.tenants.get(tenant), self.settings.tenants.get(tenant)) else {
            return 1.0;
        };
        let total = rate.per_second * self.settings.senders as f64;
        let within = if total > t.quota { t.quota / total } else { 1.0 };
        within + (1.0 - within) * self.settings.over_quota_weight
    }

    /// Tenants most of whose messages may be beyond their share.
    pub(super) fn tenants_over_quota(&self) -> Vec<bool> {
        (0..self.tenants.len()).map(|tenant| self.quota_weight(tenant) < 0.5).collect()
    }

    /// What a message is worth if it is delivered at that time.
    pub(super) fn weight_at(&self, held: &PendingMessage, at: Micros) -> f64 {
        let class = &self.settings.classes[held.message.class];
        let left = remaining_weight(self.settings.decay, class, held.objective_at, held.deadline, at);
        class.priority_weight * left * self.quota_weight(held.message.tenant)
    }

    /// How long a destination's messages can expect to wait.
    pub(super) fn expected_wait(&self, destination: DestinationId) -> Micros {
        let (now, backlog) = (self.now, self.messages.queues.count(destination) as f64);
        // An outage is taken to last as long again as it has; a backlog to go at the pace of late.
        let wait = self.usable(destination).map(|(_, r)| {
            let down =
                if r.in_outage(&self.settings.rules, now) { now - r.answered_at().min(now) } else { 0 };
            down + (backlog / r.granted_rate().max(r.usual_rate(&self.settings.rules)).max(0.1) * 1e6)
                as Micros
        });
        wait.min().unwrap_or(Micros::MAX / 4)
    }
}
