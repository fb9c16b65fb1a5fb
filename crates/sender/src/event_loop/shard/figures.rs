//! Metrics of each shard and of all shards together.

use admin::metrics::{Gauges, OutcomeCounts};
use decision::interface::Micros;
use sharding::ShardId;

use super::PUBLISH_INTERVAL;
use crate::event_loop::EventLoop;
use crate::shards::Figures;

impl EventLoop {
    /// Publishes this shard's figures, at intervals, because some of them require a pass over all endpoints.
    pub(super) fn publish_figures(&mut self, now: Micros) {
        let Some(shard) = self.shard.as_mut().filter(|shard| shard.publish_at <= now) else { return };
        shard.publish_at = now + PUBLISH_INTERVAL;
        let (id, group, migrations) = (shard.id(), shard.group().clone(), (shard.attached, shard.detached));
        let gauges = Gauges { out_of_rotation: self.policy.open_breaker_endpoints(), ..self.figures() };
        group.publish_figures(
            id,
            Figures {
                outcome_counts: Some(self.outcome_counts.clone()),
                gauges,
                calls_in_flight: self.policy.calls_in_flight(),
                migrations,
            },
        );
    }

    /// Returns the figures of all shards together: counts of outcomes and gauges.
    pub(in crate::event_loop) fn combined_figures(&self) -> (OutcomeCounts, Gauges) {
        let Some(shard) = &self.shard else { return (self.outcome_counts.clone(), self.figures()) };
        let all = shard.group().figures();
        let mut outcome_counts = self.outcome_counts.clone();
        let mut gauges = self.figures();
        gauges.out_of_rotation = self.policy.unavailable_endpoints();
        for figures in
            all.iter().enumerate().filter(|(index, _)| *index != shard.id().index()).map(|entry| entry.1)
        {
            figures.outcome_counts.iter().for_each(|counts| outcome_counts.add(counts));
            gauges.relayed += figures.gauges.relayed;
            gauges.open += figures.gauges.open;
            gauges.out_of_rotation += figures.gauges.out_of_rotation;
        }
        (outcome_counts, gauges)
    }

    /// Returns the metrics of each shard as text.
    pub(in crate::event_loop) fn figures_by_shard(&self) -> String {
        use std::fmt::Write;
        let Some(shard) = &self.shard else { return String::new() };
        let group = shard.group();
        let mut text = String::new();
        let quotas = group.quotas();
        for (core, figures) in group.figures().iter().enumerate() {
            let id = ShardId(core as u8);
            let (sent, wakes) = group.mailbox(id).figures();
            let label = format!("{{core=\"{core}\"}}");
            let _ = writeln!(text, "svc_core_open_requests{label} {}", figures.gauges.open);
            let _ = writeln!(text, "svc_core_calls_out{label} {}", figures.calls_in_flight);
            let _ = writeln!(text, "svc_core_relayed{label} {}", figures.gauges.relayed);
            let _ = writeln!(text, "svc_core_slots{label} {}", quotas.calls.lease(id));
            let _ = writeln!(text, "svc_core_room{label} {}", quotas.messages.lease(id));
            let _ = writeln!(text, "svc_core_connections{label} {}", quotas.connections.lease(id));
            let _ = writeln!(text, "svc_core_said_to{label} {sent}\nsvc_core_woken{label} {wakes}");
            let _ = writeln!(
                text,
                "svc_core_came{label} {}\nsvc_core_went{label} {}",
                figures.migrations.0, figures.migrations.1
            );
        }
        let (migrated, failed) = group.migration_counts();
        let _ = writeln!(text, "svc_destinations_moved {migrated}\nsvc_destinations_stayed {failed}");
        text
    }
}
