//! Estimates that the decisions are based on: the weight of messages, and how long they can expect to wait.

use super::Policy;
use crate::estimate::remaining_weight;
use crate::interface::{DestinationId, Micros};
use crate::message_table::PendingMessage;

impl Policy {
    /// Returns the factor that lowers the weight of a tenant's messages when the tenant exceeds its quota; 1
    /// within it. The tenant's rate over all senders is estimated from the rate at this sender alone.
    pub(super) fn quota_weight(&self, tenant: usize) -> f64 {
        let (Some(rate), Some(config)) = (self.tenants.get(tenant), self.settings.tenants.get(tenant)) else {
            return 1.0;
        };
        let total = rate.per_second * self.settings.senders as f64;
        let within = if total > config.quota { config.quota / total } else { 1.0 };
        within + (1.0 - within) * self.settings.over_quota_weight
    }

    /// Returns, for each tenant, whether most of its messages are estimated to exceed its quota.
    pub(super) fn tenants_over_quota(&self) -> Vec<bool> {
        (0..self.tenants.len()).map(|tenant| self.quota_weight(tenant) < 0.5).collect()
    }

    /// Returns the weight of a message if it is delivered at `at`.
    pub(super) fn weight_at(&self, pending: &PendingMessage, at: Micros) -> f64 {
        let class = &self.settings.classes[pending.message.class];
        let remaining =
            remaining_weight(self.settings.decay, class, pending.objective_at, pending.deadline, at);
        class.priority_weight * remaining * self.quota_weight(pending.message.tenant)
    }

    /// Estimates how long a destination's messages have to wait before they are sent.
    pub(super) fn expected_wait(&self, destination: DestinationId) -> Micros {
        let (now, backlog) = (self.now, self.messages.queues.count(destination) as f64);
        // Assumes that an outage lasts as long again as it has lasted so far, and that the backlog is sent at
        // the recent rate of successes or the usual rate, whichever is higher.
        let wait = self.ready_routes(destination).map(|(_, route)| {
            let outage = if route.in_outage(&self.settings.rules, now) {
                now - route.answered_at().min(now)
            } else {
                0
            };
            outage
                + (backlog / route.granted_rate().max(route.usual_rate(&self.settings.rules)).max(0.1) * 1e6)
                    as Micros
        });
        wait.min().unwrap_or(Micros::MAX / 4)
    }
}
