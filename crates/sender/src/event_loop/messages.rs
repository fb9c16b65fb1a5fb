//! The life cycle of a message: submission, withdrawal, outcomes of its attempts, notification and completion.

use admin::metrics::FinalOutcome;
use decision::interface::{DestinationId, Event, Message, MessageId, Micros, Outcome};
use journal::{Abandonment, AcceptedMessage, LedgerEntry, Record, Shortage};

use super::{EventLoop, NO_REQUEST, PendingSubmission, RETRY_AFTER_JOURNAL_FULL, RETRY_AFTER_UNLISTED};
use crate::notifications::Notification;
use crate::persistence::journal::JournalStore;
use crate::ports::{Answer, AttemptCompleted, Submission};

impl EventLoop {
    /// Accepts a submitted message for this iteration, or answers it at once if it is a repeat or can't be accepted.
    pub(super) fn accept_submission(&mut self, submission: Submission, events: &mut Vec<Event>) {
        let Submission { message, class, request, answer } = submission;
        if let Some((number, submitted_by)) = self.pending_by_id.get_mut(&message.id) {
            // The client did not receive its answer and repeats the submission. The end of its earlier connection
            // may be noticed only later and would withdraw the message, so that no request may withdraw it from
            // now on.
            *submitted_by = NO_REQUEST;
            match self.submissions.get_mut(number) {
                Some(pending) => pending.waiters.push((request, answer)),
                None => drop(answer.send(Answer::Accepted)),
            }
            return;
        }
        // The message of this id has completed. It must not be sent again, whatever the repeated submission's class,
        // destination and body are: the answer is the outcome.
        if let Some(outcome) = self.outcome(&message.id) {
            let _ = answer.send(outcome);
            return;
        }
        // A message for a destination that no list has named would only use up capacity. The client is asked to retry,
        // since the first list with a new destination may be about to arrive.
        if !self.directory.names_destination(message.destination) {
            self.outcome_counts.count(&message.class, FinalOutcome::Throttled);
            let _ = answer.send(Answer::Rejected(RETRY_AFTER_UNLISTED));
            return;
        }
        if let Some(shortage) = self.journal.shortage(&message, self.submitted_space) {
            if shortage == Shortage::Ledger {
                self.warn_ledger_full();
            }
            self.outcome_counts.count(&message.class, FinalOutcome::Throttled);
            let _ = answer.send(Answer::Rejected(RETRY_AFTER_JOURNAL_FULL));
            return;
        }
        let Some(number) = self.assign_number() else {
            self.outcome_counts.count(&message.class, FinalOutcome::Throttled);
            let _ = answer.send(Answer::Rejected(RETRY_AFTER_JOURNAL_FULL));
            return;
        };
        events.push(Event::Accepted(decision_message(number, class, &message, self.iteration_time)));
        self.pending_by_id.insert(message.id.clone(), (number, request));
        self.submitted_space += self.journal.space_needed(&message);
        self.submissions.insert(number, PendingSubmission { message, waiters: vec![(request, answer)] });
    }

    /// Returns the answer to a repeated submission of a message that has completed, as long as its outcome is kept. The
    /// record of the outcome may not be written yet: both may arrive in one iteration.
    fn outcome(&self, id: &str) -> Option<Answer> {
        let now = self.clock.now();
        let delivered = self
            .unwritten_outcomes
            .get(id)
            .copied()
            .or_else(|| self.journal.ledger_entry(id, now).map(|entry| entry.delivered))?;
        Some(if delivered { Answer::Delivered } else { Answer::Failed })
    }

    /// Returns a message number that is not in use, or none while another process has the journal that the shards
    /// share.
    fn assign_number(&mut self) -> Option<u32> {
        if let JournalStore::Sharded(part) = &mut self.journal {
            return part.next_message_number().ok();
        }
        let mut number = self.next_message;
        // After a wrap-around, a message may still be pending under the next number.
        while self.journal.live().contains_key(&number) || self.submissions.contains_key(&number) {
            number = number.wrapping_add(1);
        }
        self.next_message = number.wrapping_add(1);
        Some(number)
    }

    /// Withdraws a message, if this request submitted it: another client may have used the same id.
    pub(super) fn withdraw(&mut self, id: &str, request: u64, events: &mut Vec<Event>) {
        let Some((number, submitted_by)) = self.pending_by_id.get(id).copied() else { return };
        if let Some(submission) = self.submissions.get_mut(&number) {
            submission.waiters.retain(|waiter| waiter.0 != request);
            if !submission.waiters.is_empty() {
                return;
            }
            self.submitted_space -= self.journal.space_needed(&submission.message);
            self.submissions.remove(&number);
        } else if submitted_by == request {
            self.complete(number, false);
        } else {
            return;
        }
        events.push(Event::Withdrawn(MessageId(number)));
        self.forget(number, id);
    }

    /// Records the outcome of an attempt. Returns the event for the decision module.
    pub(super) fn attempt_completed(&mut self, completed: AttemptCompleted) -> Event {
        let number = completed.message.0;
        let pending = self.journal.live().get(&number);
        let pending_message =
            pending.filter(|pending| pending.abandoned.is_none()).map(|pending| pending.message.clone());
        // If the message is completed or abandoned already, the outcome changes nothing.
        let mut terminal = true;
        if let Some(message) = pending_message
            .filter(|message| self.pending_by_id.get(&message.id).is_some_and(|known| known.0 == number))
        {
            terminal = completed.message_completed || completed.outcome == Outcome::Delivered;
            if terminal {
                if completed.outcome == Outcome::Delivered {
                    self.outcome_counts.count(&message.class, FinalOutcome::Fulfilled);
                }
                self.complete(number, completed.outcome == Outcome::Delivered);
                self.forget(number, &message.id);
            } else {
                let never_ran = completed.outcome.never_ran();
                self.unwritten_records.push(Record::AttemptEnded {
                    message: number,
                    attempt: completed.attempt,
                    never_ran,
                });
            }
        }
        Event::AttemptCompleted {
            message: completed.message,
            attempt: completed.attempt,
            endpoint: completed.endpoint,
            outcome: completed.outcome,
            terminal,
            took: completed.took,
            report: completed.report,
        }
    }

    /// Records that a message is completed. If its class has a ledger, its outcome goes into the ledger, since the
    /// message must not be sent again. A message whose client withdrew it before any attempt may be submitted again.
    pub(super) fn complete(&mut self, number: u32, delivered: bool) {
        if let Some(pending) = self.journal.live().get(&number)
            && self.journal.retains(&pending.message.class)
            && (delivered || pending.may_have_run() || pending.abandoned.is_some())
        {
            let (id, at) = (pending.message.id.clone(), self.clock.now());
            self.unwritten_outcomes.insert(id.clone(), delivered);
            self.unwritten_records.push(Record::LedgerEntry(LedgerEntry { id, delivered, at }));
        }
        self.unwritten_records.push(Record::Completed(number));
    }

    /// Removes a message from the indexes of pending messages.
    pub(super) fn forget(&mut self, number: u32, id: &str) {
        self.attempts.remove(&number);
        self.pending_by_id.remove(id);
    }

    fn queue_notification(&self, number: u32, outcome: Abandonment, id: String) {
        let _ = self.notifications.send(Notification { message: MessageId(number), id, outcome });
    }

    /// Notifies the platform of outcomes whose records are written. An outcome that could not be written is sent too
    /// once the message's deadline has passed, because no later process would send it. Before the deadline this could
    /// lead to two answers: if this process ended now, the next one might deliver the message.
    pub(super) fn send_notifications(&mut self, now: Micros, written: bool) {
        for (number, outcome, id) in std::mem::take(&mut self.pending_notifications) {
            let expired =
                self.journal.live().get(&number).is_none_or(|pending| pending.message.deadline <= now);
            if written || expired {
                self.queue_notification(number, outcome, id);
            } else {
                self.pending_notifications.push((number, outcome, id));
            }
        }
    }
}

/// Returns an accepted message as input for the decision module, with its remaining time as of `now`.
pub(super) fn decision_message(
    number: u32,
    class: usize,
    accepted: &AcceptedMessage,
    now: Micros,
) -> Message {
    Message {
        id: MessageId(number),
        class,
        tenant: 0,
        key: None,
        remaining_time: accepted.deadline.saturating_sub(now),
        hint: None,
        destination: DestinationId(accepted.destination),
    }
}
