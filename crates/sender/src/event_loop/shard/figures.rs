//! The figures of each shard, and of all together.

use admin::figures::{Gauges, OutcomeCounts};
use decision::interface::Micros;
use sharding::ShardId;

use super::PUBLISH_INTERVAL;
use crate::event_loop::EventLoop;
use crate::shards::Figures;

impl EventLoop {
    /// Publishes what this shard counts; now and then, since some figures take a look at all endpoints.
    pub(super) fn publish_figures(&mut self, now: Micros) {
        let Some(member) = self.shard.as_mut().filter(|member| member.publish_at <= now) else { return };
        member.publish_at = now + PUBLISH_INTERVAL;
        let (me, team, moves) = (member.id(), member.group().clone(), (member.attached, member.detached));
        let now = Gauges { out_of_rotation: self.policy.open_breaker_endpoints(), ..self.figures() };
        team.show(
            me,
            Figures {
                ends: Some(self.outcome_counts.clone()),
                now,
                out: self.policy.calls_in_flight(),
                moves,
            },
        );
    }

    /// The figures of all shards together.
    pub(in crate::event_loop) fn combined_figures(&self) -> (OutcomeCounts, Gauges) {
        let Some(member) = &self.shard else { return (self.outcome_counts.clone(), self.figures()) };
        let all = member.group().figures();
        let mut ends = self.outcome_counts.clone();
        let mut now = self.figures();
        now.out_of_rotation = self.policy.unavailable_endpoints();
        for figures in all.iter().enumerate().filter(|(core, _)| *core != member.id().index()).map(|of| of.1)
        {
            figures.ends.iter().for_each(|theirs| ends.add(theirs));
            now.relayed += figures.now.relayed;
            now.open += figures.now.open;
            now.out_of_rotation += figures.now.out_of_rotation;
        }
        (ends, now)
    }

    /// The figures of each shard, as text.
    pub(in crate::event_loop) fn figures_by_shard(&self) -> String {
        use std::fmt::Write;
        let Some(member) = &self.shard else { return String::new() };
        let team = member.group();
        let mut text = String::new();
        let room = team.quotas();
        for (core, figures) in team.figures().iter().enumerate() {
            let of = ShardId(core as u8);
            let (said, wakes) = team.mailbox(of).figures();
            let label = format!("{{core=\"{core}\"}}");
            let _ = writeln!(text, "svc_core_open_requests{label} {}", figures.now.open);
            let _ = writeln!(text, "svc_core_calls_out{label} {}", figures.out);
            let _ = writeln!(text, "svc_core_relayed{label} {}", figures.now.relayed);
            let _ = writeln!(text, "svc_core_slots{label} {}", room.calls.lease(of));
            let _ = writeln!(text, "svc_core_room{label} {}", room.messages.lease(of));
            let _ = writeln!(text, "svc_core_connections{label} {}", room.connections.lease(of));
            let _ = writeln!(text, "svc_core_said_to{label} {said}\nsvc_core_woken{label} {wakes}");
            let _ = writeln!(
                text,
                "svc_core_came{label} {}\nsvc_core_went{label} {}",
                figures.moves.0, figures.moves.1
            );
        }
        let (moved, stayed) = team.migration_counts();
        let _ = writeln!(text, "svc_destinations_moved {moved}\nsvc_destinations_stayed {stayed}");
        text
    }
}
