//! When what waits is looked at again, and when the module asks to be woken. Nothing is decided here: a look that comes
//! too soon finds everything as it was, one that comes too late costs time.

use super::{Policy, SLOTS_FREED_PER_SECOND};
use crate::dispatch_round::DispatchRound;
use crate::health::CALM_OBJECTIVES;
use crate::interface::{Action, DestinationId, Micros};

/// A ramp is looked at every so many ticks.
const RAMP_TICKS: Micros = 1;

impl Policy {
    /// Nothing more goes to the destination in this tick: it is looked at when that can change by itself.
    pub(super) fn schedule_check(&mut self, destination: DestinationId, round: &DispatchRound) {
        self.messages.queues.set_ready(destination, None);
        if !round.lacks_slot(destination) {
            self.messages.queues.check_at(destination, self.next_check(destination));
        }
    }

    /// When a destination that nothing may go to now can change that by itself. A ramp rises all the time: it
    /// is looked at every few ticks, the fewer the more destinations wait.
    fn next_check(&self, destination: DestinationId) -> Option<Micros> {
        let (now, rules, aim) = (self.now, &self.settings.rules, self.settings.shortest_latency_objective());
        let often = self.settings.period * (RAMP_TICKS + self.messages.queues.destinations() as Micros / 64);
        let ready = self.endpoints.of(destination).filter(|(_, e)| e.ready);
        let rests = ready.map(|(_, e)| {
            e.backoff_until.max(e.connection_slots.allow_at(e.in_flight, SLOTS_FREED_PER_SECOND))
        });
        let chances = self.usable(destination).flat_map(|(_, r)| {
            let ramp = if r.cold_share(rules, now).is_some() { now + often } else { 0 };
            let part = r.short_at().map_or([0, 0], |at| [at + aim, at + CALM_OBJECTIVES * aim]);
            [r.wait_until(), r.trial_at(), ramp, r.rate_allows_at(), part[0], part[1]]
        });
        chances.chain(rests).filter(|at| *at > now).min()
    }

    /// Asks to be woken when the next decision can fall due without an event.
    pub(super) fn set_timer(&mut self, actions: &mut Vec<Action>) {
        let now = self.now;
        let aim = self.settings.shortest_latency_objective();
        let silent = self.calls.unanswered();
        let silent = silent.filter_map(|(id, sent)| Some(sent + self.routes.get(&id)?.patience(aim)));
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
            .chain(self.gossip.as_ref().and_then(|shared| shared.next_due(now)))
            .chain(silent);
        let Some(next) = all.filter(|at| *at > now).min() else { return };
        if self.timer.is_none_or(|at| at <= now || next < at) {
            self.timer = Some(next);
            actions.push(Action::SetTimer { at: next, token: 0 });
        }
    }
}
