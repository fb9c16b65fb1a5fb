//! Final answers that this sender gives itself: to messages that cannot be delivered any more, and to those
//! that are shed when the buffer fills.

use std::collections::BTreeMap;

use super::Policy;
use crate::interface::{Action, DestinationId, Idempotency, MessageId, Micros};
use crate::message_table::PendingMessage;

impl Policy {
    /// Gives a message its final answer: rejected if submitting it again is safe, otherwise failed. All final
    /// answers of this sender are given here.
    pub(super) fn answer(&mut self, id: MessageId, retry_after: Micros, actions: &mut Vec<Action>) {
        let Some(pending) = self.messages.get(&id) else { return };
        let repeatable = pending.idempotency == Idempotency::Idempotent;
        actions.push(if pending.may_have_run.is_empty() || repeatable {
            Action::Reject { message: id, retry_after: retry_after.min(self.settings.max_retry_after) }
        } else {
            Action::Fail(id)
        });
        self.forget(id);
    }

    /// Answers messages that cannot be delivered any more. Examines only those that have expired and those
    /// affected by what changed or fell due in this iteration.
    pub(super) fn settle(&mut self, actions: &mut Vec<Action>) {
        let now = self.now;
        let mut unsendable: BTreeMap<MessageId, Micros> =
            self.messages.expired(now).map(|id| (id, 0)).collect();
        for id in self.messages.take_unsettled() {
            let Some(pending) = self.messages.get(&id).filter(|p| p.in_flight == 0) else { continue };
            if pending.attempts >= self.settings.max_attempts || self.cannot_be_attempted(pending) {
                let trial_at = self.first_trial_at(pending.message.destination);
                unsendable.entry(id).or_insert(trial_at.saturating_sub(now));
            }
        }
        for destination in self.messages.queues.touched() {
            // Messages wait for the breaker's trial call, unless they must be answered before it.
            let trial_at = self.first_trial_at(destination);
            for id in self.messages.queues.ending(destination, trial_at) {
                unsendable.entry(id).or_insert(trial_at.saturating_sub(now));
            }
        }
        for (id, retry_after) in unsendable {
            self.answer(id, retry_after, actions);
        }
    }

    /// Returns whether no further attempt of the message is safe at any endpoint.
    pub(super) fn cannot_be_attempted(&self, pending: &PendingMessage) -> bool {
        match pending.idempotency {
            Idempotency::NonIdempotent => !pending.may_have_run.is_empty(),
            Idempotency::Keyed { .. } if !pending.may_have_run.is_empty() => {
                !self.endpoints.of(pending.message.destination).any(|(e, _)| self.repeat_allowed(pending, e))
            }
            _ => false,
        }
    }

    /// Rejects queued messages when less than a sixteenth of the buffer is free: if it fills with messages
    /// that a few destinations cannot take, those for all others are rejected on submission. Sheds the
    /// messages of the least weight at the time they can expect to be sent. Messages recovered unattempted
    /// after a restart stay, since they were accepted and have had no call yet; newer ones are shed instead.
    pub(super) fn shed(&mut self, actions: &mut Vec<Action>) {
        let headroom = (self.settings.max_messages / 16).max(1);
        let excess = (self.messages.len() + headroom).saturating_sub(self.settings.max_messages);
        if excess == 0 {
            return;
        }
        let now = self.now;
        let mut candidates = Vec::new();
        let mut waits: BTreeMap<DestinationId, Micros> = BTreeMap::new();
        for (destination, queue) in self.messages.queues.queues() {
            let wait = *waits.entry(destination).or_insert_with(|| self.expected_wait(destination));
            // Within a queue the oldest message has the least weight.
            let unattempted =
                queue.iter().map(|entry| entry.1).filter(|id| !self.messages.was_attempted(*id));
            for id in unattempted.take(excess) {
                let Some(pending) = self.messages.get(&id).filter(|pending| !pending.is_owed_attempt())
                else {
                    continue;
                };
                let weight = self.weight_at(pending, now.saturating_add(wait));
                candidates.push(((weight * 1e6) as u64, pending.objective_at, id, wait));
            }
        }
        candidates.sort_unstable();
        for (_, _, id, wait) in candidates.into_iter().take(excess) {
            self.answer(id, wait, actions);
        }
    }
}
