//! Times at which waiting destinations are examined again, and the timer that is requested for them. No
//! decisions are made here: an early check finds nothing to do, a late one costs time.

use super::{Policy, SLOTS_FREED_PER_SECOND};
use crate::dispatch_round::DispatchRound;
use crate::health::RECENT_SHORTAGE_OBJECTIVES;
use crate::interface::{Action, DestinationId, Micros};

/// Number of periods between two checks of a destination in slow start.
const SLOW_START_CHECK_PERIODS: Micros = 1;

impl Policy {
    /// Removes a destination that can receive nothing more in this iteration from the ready ones. Unless it
    /// only lacks a slot, schedules a check for when that can change without an event.
    pub(super) fn schedule_check(&mut self, destination: DestinationId, round: &DispatchRound) {
        self.messages.queues.set_ready(destination, None);
        if !round.lacks_slot(destination) {
            self.messages.queues.check_at(destination, self.next_check(destination));
        }
    }

    /// Returns when a destination that can receive nothing now may become available without an event. What
    /// slow start allows grows continuously, so it is checked every [`SLOW_START_CHECK_PERIODS`] periods,
    /// plus one period for each 64 waiting destinations.
    fn next_check(&self, destination: DestinationId) -> Option<Micros> {
        let (now, rules, latency_objective) =
            (self.now, &self.settings.rules, self.settings.shortest_latency_objective());
        let interval = self.settings.period
            * (SLOW_START_CHECK_PERIODS + self.messages.queues.destinations() as Micros / 64);
        let ready = self.endpoints.of(destination).filter(|(_, e)| e.ready);
        let backoffs = ready.map(|(_, e)| {
            e.backoff_until.max(e.connection_slots.allow_at(e.in_flight, SLOTS_FREED_PER_SECOND))
        });
        let route_times = self.ready_routes(destination).flat_map(|(_, route)| {
            let slow_start = if route.cold_share(rules, now).is_some() { now + interval } else { 0 };
            let shortage = route.short_at().map_or([0, 0], |at| {
                [at + latency_objective, at + RECENT_SHORTAGE_OBJECTIVES * latency_objective]
            });
            [
                route.wait_until(),
                route.trial_at(),
                slow_start,
                route.rate_allows_at(),
                shortage[0],
                shortage[1],
            ]
        });
        route_times.chain(backoffs).filter(|at| *at > now).min()
    }

    /// Requests a timer for when the next decision may fall due without an event.
    pub(super) fn set_timer(&mut self, actions: &mut Vec<Action>) {
        let now = self.now;
        let latency_objective = self.settings.shortest_latency_objective();
        let silent = self.calls.unanswered();
        let silent = silent
            .filter_map(|(id, sent)| Some(sent + self.routes.get(&id)?.silence_timeout(latency_objective)));
        let due = [
            self.messages.next_due(),
            self.lanes.next_due(),
            self.poll_at,
            self.repeat_boundaries.first().copied(),
        ];
        let all = due
            .into_iter()
            .flatten()
            .chain(self.routes.next_due(now + self.settings.period))
            .chain(self.activations.next_due())
            .chain(self.gossip.as_ref().and_then(|gossip| gossip.next_due(now)))
            .chain(silent);
        let Some(next) = all.filter(|at| *at > now).min() else { return };
        if self.timer.is_none_or(|at| at <= now || next < at) {
            self.timer = Some(next);
            actions.push(Action::SetTimer { at: next, token: 0 });
        }
    }
}
