//! Final answers: what can't be delivered any more, and what makes way.

use std::collections::BTreeMap;

use super::Policy;
use crate::interface::{Action, DestinationId, Idempotency, MessageId, Micros};
use crate::message_table::PendingMessage;

impl Policy {
    /// The one place for final answers that this sender gives: refused where that is harmless, else failed.
    pub(super) fn answer(&mut self, id: MessageId, retry_after: Micros, actions: &mut Vec<Action>) {
        let Some(held) = self.messages.get(&id) else { return };
        let repeatable = held.idempotency == Idempotency::Idempotent;
        actions.push(if held.may_have_run.is_empty() || repeatable {
            Action::Reject { message: id, retry_after: retry_after.min(self.settings.max_retry_after) }
        } else {
            Action::Fail(id)
        });
        self.forget(id);
    }

    /// Answers what cannot be delivered any more: of what happened or fell due.
    pub(super) fn settle(&mut self, actions: &mut Vec<Action>) {
        let now = self.now;
        let mut over: BTreeMap<MessageId, Micros> = self.messages.expired(now).map(|id| (id, 0)).collect();
        for id in self.messages.take_unsettled() {
            let Some(held) = self.messages.get(&id).filter(|held| held.in_flight == 0) else { continue };
            if held.attempts >= self.settings.max_attempts || self.cannot_be_attempted(held) {
                let trial = self.trial(held.message.destination);
                over.entry(id).or_insert(trial.saturating_sub(now));
            }
        }
        for destination in self.messages.queues.touched() {
            // Held for the trial, unless the deadline comes first.
            let trial = self.trial(destination);
            for id in self.messages.queues.ending(destination, trial) {
                over.entry(id).or_insert(trial.saturating_sub(now));
            }
        }
        for (id, retry_after) in over {
            self.answer(id, retry_after, actions);
        }
    }

    /// Whether nothing can be tried any more without harm.
    pub(super) fn cannot_be_attempted(&self, held: &PendingMessage) -> bool {
        match held.idempotency {
            Idempotency::NonIdempotent => !held.may_have_run.is_empty(),
            Idempotency::Keyed { .. } if !held.may_have_run.is_empty() => {
                !self.endpoints.of(held.message.destination).any(|(e, _)| self.repeat_allowed(held, e))
            }
            _ => false,
        }
    }

    /// Guards the buffer: where it fills with what a few destinations cannot take, messages for the others
    /// would be turned away at the door. Refuses those of least worth at the time they can expect to go. What
    /// a restart found untried stays: it was taken on, and has had no call yet; newer ones make way for it.
    pub(super) fn shed(&mut self, actions: &mut Vec<Action>) {
        let room = (self.settings.max_messages / 16).max(1);
        let excess = (self.messages.len() + room).saturating_sub(self.settings.max_messages);
        if excess == 0 {
            return;
        }
        let now = self.now;
        let mut least = Vec::new();
        let mut waits: BTreeMap<DestinationId, Micros> = BTreeMap::new();
        for (destination, queue) in self.messages.queues.queues() {
            let wait = *waits.entry(destination).or_insert_with(|| self.expected_wait(destination));
            // In one queue the oldest is worth least.
            let idle = queue.iter().map(|place| place.1).filter(|id| !self.messages.was_attempted(*id));
            for id in idle.take(excess) {
                let Some(held) = self.messages.get(&id).filter(|held| !held.is_owed_attempt()) else {
                    continue;
                };
                let worth = self.weight_at(held, now.saturating_add(wait));
                least.push(((worth * 1e6) as u64, held.objective_at, id, wait));
            }
        }
        least.sort_unstable();
        for (_, _, id, wait) in least.into_iter().take(excess) {
            self.answer(id, wait, actions);
        }
    }
}
