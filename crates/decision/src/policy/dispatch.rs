//! Chooses the message to send next and its endpoint. Every send goes through here.

use super::Policy;
use crate::destination_queues::QueuePosition;
use crate::dispatch_round::{DispatchRound, StartedCalls, Verdict};
use crate::estimate::message_rng;
use crate::health::SMALL_FLEET_SENDERS;
use crate::interface::{Action, DestinationId, EndpointId, Event, MessageId, Micros, Outcome};

/// Maximum number of destinations waiting for a slot whose positions are recomputed when fewer messages count
/// as late; if there are more, each keeps its position until something changes there.
const MAX_RESORTED: usize = 256;

impl Policy {
    /// Sends all messages that may be sent now; every send goes through here. Examines only destinations with
    /// a change since the last iteration and those that lack nothing but a slot, and at each of them the
    /// messages in order until nothing more can be sent there.
    pub(super) fn dispatch(&mut self, actions: &mut Vec<Action>) {
        let late = self.late_before();
        self.resort_if_fewer_late();
        for destination in self.messages.queues.take_touched() {
            self.messages.queues.set_ready(destination, self.messages.queues.next(destination, None, &late));
        }
        let mut round = DispatchRound::default();
        while let Some((position, destination)) = self.first_ready(&round) {
            let next = self.messages.queues.next(destination, round.after(destination), &late);
            if next != Some(position) {
                self.messages.queues.set_ready(destination, next);
                if next.is_none() {
                    self.schedule_check(destination, &round);
                }
                continue;
            }
            match self.send(position.2, destination, &mut round, actions) {
                Verdict::Sent => {}
                Verdict::Skipped { slot } => round.skipped(destination, position, slot),
                Verdict::NoSlot => {
                    round.wants_slot(destination, true);
                    self.schedule_check(destination, &round);
                }
                Verdict::EndpointClosed => self.schedule_check(destination, &round),
            }
        }
        for destination in round.unfinished(&self.messages.queues) {
            self.messages.queues.set_ready(destination, self.messages.queues.next(destination, None, &late));
        }
    }

    /// Recomputes the positions of destinations that wait for a slot when fewer messages count as late than
    /// before, which may move them forward. With more than [`MAX_RESORTED`] of them each keeps its position
    /// until something changes at the destination.
    fn resort_if_fewer_late(&mut self) {
        let current = (self.abandonment_age.0, self.tenants_over_quota());
        let previous = std::mem::replace(&mut self.sorted_under, current);
        let back_within_quota =
            previous.1.iter().zip(&self.sorted_under.1).any(|(before, now)| *before && !now);
        if self.sorted_under.0 > previous.0 || back_within_quota {
            self.messages.queues.touch_ready(MAX_RESORTED);
        }
    }

    /// Returns the next message to try. With no slot left, a message may still join a call started in this
    /// iteration.
    fn first_ready(&self, round: &DispatchRound) -> Option<(QueuePosition, DestinationId)> {
        if self.calls.len() < self.settings.max_calls {
            return self.messages.queues.first_ready();
        }
        round.started.first_joining(&self.endpoints, &self.messages.queues)
    }

    /// Returns a function from class and tenant to a time: a message whose latency objective is missed before
    /// that time counts as late. Messages in time are sent before late and abandoned ones. With oldest-first
    /// order alone, a destination that is behind would get each message when its client no longer waits for
    /// it. Costs the messages that have waited longest an even longer wait. All messages of a tenant over its
    /// quota count as late.
    pub(super) fn late_before(&self) -> impl Fn(usize, usize) -> Micros + use<> {
        let (now, abandonment_age) = (self.now, self.abandonment_age.0);
        let objectives: Vec<_> = self.settings.classes.iter().map(|class| class.latency_objective).collect();
        let over_quota = self.tenants_over_quota();
        move |class, tenant| match over_quota.get(tenant) {
            Some(true) => Micros::MAX,
            _ if abandonment_age < now => now.max(now - abandonment_age + objectives[class]),
            _ => now,
        }
    }

    /// Tries to send a message to its destination's endpoints, the best first.
    fn send(
        &mut self,
        id: MessageId,
        destination: DestinationId,
        round: &mut DispatchRound,
        actions: &mut Vec<Action>,
    ) -> Verdict {
        let backlog = round.backlog(destination, &self.messages.queues);
        let mut verdict = Verdict::EndpointClosed;
        for endpoint in self.ranked_endpoints(id, destination, &round.started) {
            verdict = match (self.admit(id, endpoint, backlog, &mut round.started, actions), verdict) {
                (Verdict::Sent, _) => return Verdict::Sent,
                (Verdict::Skipped { .. }, before) => Verdict::Skipped { slot: before.wants_slot() },
                (Verdict::NoSlot, Verdict::Skipped { .. }) => Verdict::Skipped { slot: true },
                (Verdict::NoSlot, _) => Verdict::NoSlot,
                (Verdict::EndpointClosed, before) => before,
            };
        }
        verdict
    }

    /// Returns the destination's ready endpoints, the best first: those with a call to join, then by
    /// consecutive failures, zone fee and calls in flight; ties are broken by a random draw.
    pub(super) fn ranked_endpoints(
        &self,
        id: MessageId,
        destination: DestinationId,
        started: &StartedCalls,
    ) -> Vec<EndpointId> {
        let mut ranked: Vec<_> = self
            .endpoints
            .of(destination)
            .filter(|(_, e)| e.ready)
            .map(|(endpoint, e)| {
                let joins = started.joinable(endpoint, e.kind.max_batch).is_some();
                let fee = self.settings.zone_fees.get(e.zone as usize).copied().unwrap_or(0.0);
                let fee = if e.kind.separate_routes { (fee * 1e6) as u64 } else { 0 };
                let jitter = message_rng(self.seed, self.now, id, endpoint).usize(0..256);
                (!joins, e.consecutive_failures, fee, e.in_flight * 256 + jitter, endpoint)
            })
            .collect();
        ranked.sort_unstable();
        ranked.into_iter().map(|ranked| ranked.4).collect()
    }

    /// Closes idle connections to endpoints where the last interval between calls exceeds the limit, since
    /// they would otherwise occupy the endpoint's connection table until they time out unused. A failed or
    /// rejected connect halves the limit, each success raises it a little. Costs handshakes.
    pub(super) fn close_idle(&mut self, events: &[Event], actions: &mut Vec<Action>) {
        let (max_limit, few) = (self.settings.idle_timeout, SMALL_FLEET_SENDERS as Micros);
        let senders = self.settings.senders.max(1) as Micros;
        for event in events {
            let Event::AttemptCompleted { endpoint: id, outcome, .. } = event else { continue };
            if matches!(outcome, Outcome::ConnectFailed | Outcome::ConnectionRejected) {
                self.idle_connection_limit = (self.idle_connection_limit / 2)
                    .max(max_limit / (senders * senders) * few * few)
                    .min(max_limit);
            } else if *outcome == Outcome::Delivered {
                let increase = self.idle_connection_limit / 32 * few / senders.max(few) + 1;
                self.idle_connection_limit =
                    self.idle_connection_limit.saturating_add(increase).min(max_limit);
            }
            if self
                .endpoints
                .get(id)
                .is_some_and(|e| e.in_flight == 0 && e.call_interval > self.idle_connection_limit)
            {
                actions.push(Action::CloseIdleConnections(*id));
            }
        }
    }
}
