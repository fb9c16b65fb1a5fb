//! The one path of every send: which message is tried next, and at which endpoint.

use super::Policy;
use crate::destination_queues::QueuePosition;
use crate::dispatch_round::{DispatchRound, StartedCalls, Verdict};
use crate::estimate::message_rng;
use crate::health::FEW_SENDERS;
use crate::interface::{Action, DestinationId, EndpointId, Event, MessageId, Micros, Outcome};

/// More destinations that wait for a slot than this are a crowd.
const MANY_READY: usize = 256;

impl Policy {
    /// The one path of every send. It looks at the destinations that something happened to, or that wait for
    /// a slot alone; of each, at its messages in order, until no more can go there.
    pub(super) fn dispatch(&mut self, actions: &mut Vec<Action>) {
        let late = self.late_before();
        self.resort_if_less_is_late();
        for destination in self.messages.queues.take_touched() {
            self.messages.queues.set_ready(destination, self.messages.queues.next(destination, None, &late));
        }
        let mut round = DispatchRound::default();
        while let Some((place, destination)) = self.first_ready(&round) {
            let next = self.messages.queues.next(destination, round.after(destination), &late);
            if next != Some(place) {
                self.messages.queues.set_ready(destination, next);
                if next.is_none() {
                    self.schedule_check(destination, &round);
                }
                continue;
            }
            match self.send(place.2, destination, &mut round, actions) {
                Verdict::Sent => {}
                Verdict::Skipped { slot } => round.skipped(destination, place, slot),
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

    /// Where less is late than before, those that wait for a slot may have a better place. A crowd of them
    /// keeps what it has until something happens there.
    fn resort_if_less_is_late(&mut self) {
        let sort_for = (self.abandonment_age.0, self.tenants_over_quota());
        let sorted_for = std::mem::replace(&mut self.sorted_under, sort_for);
        let within = sorted_for.1.iter().zip(&self.sorted_under.1).any(|(before, now)| *before && !now);
        if self.sorted_under.0 > sorted_for.0 || within {
            self.messages.queues.touch_ready(MANY_READY);
        }
    }

    /// The next message to try. With no slot left one may still travel along with a call of this tick.
    fn first_ready(&self, round: &DispatchRound) -> Option<(QueuePosition, DestinationId)> {
        if self.calls.len() < self.settings.max_calls {
            return self.messages.queues.first_ready();
        }
        round.started.first_joining(&self.endpoints, &self.messages.queues)
    }

    /// Of each class and tenant, the aim before which messages are late. Guards what is in time against what
    /// is late or given up: oldest first, a destination that is behind would get each message when nobody
    /// waits for it any more. It hurts those that wait longer than others.
    pub(super) fn late_before(&self) -> impl Fn(usize, usize) -> Micros + use<> {
        let (now, given_up_from) = (self.now, self.abandonment_age.0);
        let aims: Vec<_> = self.settings.classes.iter().map(|class| class.latency_objective).collect();
        let beyond = self.tenants_over_quota();
        move |class, tenant| match beyond.get(tenant) {
            Some(true) => Micros::MAX,
            _ if given_up_from < now => now.max(now - given_up_from + aims[class]),
            _ => now,
        }
    }

    /// Tries a message at its destination's endpoints, the best first.
    fn send(
        &mut self,
        id: MessageId,
        destination: DestinationId,
        round: &mut DispatchRound,
        actions: &mut Vec<Action>,
    ) -> Verdict {
        let backlog = round.backlog(destination, &self.messages.queues);
        let mut verdict = Verdict::EndpointClosed;
        for endpoint in self.choices(id, destination, &round.started) {
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

    /// The endpoints that are listed, the best first.
    pub(super) fn choices(
        &self,
        id: MessageId,
        destination: DestinationId,
        begun: &StartedCalls,
    ) -> Vec<EndpointId> {
        let mut choices: Vec<_> = self
            .endpoints
            .of(destination)
            .filter(|(_, e)| e.ready)
            .map(|(endpoint, e)| {
                let joins = begun.open(endpoint, e.kind.max_batch).is_some();
                let toll = self.settings.zone_fees.get(e.zone as usize).copied().unwrap_or(0.0);
                let toll = if e.kind.separate_routes { (toll * 1e6) as u64 } else { 0 };
                let luck = message_rng(self.seed, self.now, id, endpoint).usize(0..256);
                (!joins, e.consecutive_failures, toll, e.in_flight * 256 + luck, endpoint)
            })
            .collect();
        choices.sort_unstable();
        choices.into_iter().map(|choice| choice.4).collect()
    }

    /// Guards an endpoint's table of connections against idle ones: closes what is not used again before it
    /// closes by itself; a failed connect, or one that found no place, halves what is kept. Costs handshakes.
    pub(super) fn close_idle(&mut self, events: &[Event], actions: &mut Vec<Action>) {
        let (longest, few) = (self.settings.idle_timeout, FEW_SENDERS as Micros);
        let senders = self.settings.senders.max(1) as Micros;
        for event in events {
            let Event::AttemptCompleted { endpoint: id, outcome, .. } = event else { continue };
            if matches!(outcome, Outcome::ConnectFailed | Outcome::ConnectionRejected) {
                self.idle_connection_limit = (self.idle_connection_limit / 2)
                    .max(longest / (senders * senders) * few * few)
                    .min(longest);
            } else if *outcome == Outcome::Delivered {
                let more = self.idle_connection_limit / 32 * few / senders.max(few) + 1;
                self.idle_connection_limit = self.idle_connection_limit.saturating_add(more).min(longest);
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
