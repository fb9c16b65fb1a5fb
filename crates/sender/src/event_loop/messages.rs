//! The life of a message: submitted, withdrawn, its attempts' outcomes, notified and completed.

use admin::figures::FinalOutcome;
use decision::interface::{DestinationId, Event, Message, MessageId, Micros, Outcome};
use journal::{Abandonment, AcceptedMessage, LedgerEntry, Record};

use super::{EventLoop, NO_REQUEST, PendingSubmission, RETRY_AFTER_JOURNAL_FULL, RETRY_AFTER_UNLISTED};
use crate::notifications::Notification;
use crate::persistence::journal::JournalStore;
use crate::ports::{Answer, AttemptCompleted, Submission};

impl EventLoop {
    pub(super) fn accept_submission(&mut self, message: Submission, events: &mut Vec<Event>) {
        let Submission { message: taken, class, request, answer } = message;
        if let Some((number, by)) = self.pending_by_id.get_mut(&taken.id) {
            // The client did not receive its answer and submits once more. Guards the new answer against the
            // end of the earlier connection, which may show later: no request can withdraw the message any
            // more.
            *by = NO_REQUEST;
            match self.submissions.get_mut(number) {
                Some(fresh) => fresh.waiters.push((request, answer)),
                None => drop(answer.send(Answer::Accepted)),
            }
            return;
        }
        // Guards capacity against messages that nobody accepts: a new destination's first list may be on its
        // way.
        if !self.directory.names_destination(taken.destination) {
            self.outcome_counts.count(&taken.class, FinalOutcome::Throttled);
            let _ = answer.send(Answer::Rejected(RETRY_AFTER_UNLISTED));
            return;
        }
        // Guards against a second effect under the same id: the recorded outcome is the answer.
        if self.journal.retains(&taken.class)
            && let Some(end) = self.journal.ledger_entry(&taken.id, self.clock.now())
        {
            let _ = answer.send(if end.delivered { Answer::Delivered } else { Answer::Failed });
            return;
        }
        let pending: u64 =
            self.submissions.values().map(|fresh| self.journal.space_needed(&fresh.message)).sum();
        if !self.journal.has_capacity(&taken, pending) {
            self.outcome_counts.count(&taken.class, FinalOutcome::Throttled);
            let _ = answer.send(Answer::Rejected(RETRY_AFTER_JOURNAL_FULL));
            return;
        }
        let Some(number) = self.number() else {
            self.outcome_counts.count(&taken.class, FinalOutcome::Throttled);
            let _ = answer.send(Answer::Rejected(RETRY_AFTER_JOURNAL_FULL));
            return;
        };
        events.push(Event::Accepted(decision_message(number, class, &taken, self.iteration_time)));
        self.pending_by_id.insert(taken.id.clone(), (number, request));
        self.submissions
            .insert(number, PendingSubmission { message: taken, waiters: vec![(request, answer)] });
    }

    /// A message number that is not in use; none while another process has the shards' journal.
    fn number(&mut self) -> Option<u32> {
        if let JournalStore::Sharded(part) = &mut self.journal {
            return part.next_message_number().ok();
        }
        let mut number = self.next_message;
        // Guards a message that has outlived all other numbers against another under its own.
        while self.journal.live().contains_key(&number) || self.submissions.contains_key(&number) {
            number = number.wrapping_add(1);
        }
        self.next_message = number.wrapping_add(1);
        Some(number)
    }

    /// Withdraws a message by its own request: guards it against another client that used its id.
    pub(super) fn withdraw(&mut self, id: &str, request: u64, events: &mut Vec<Event>) {
        let Some((number, taken_by)) = self.pending_by_id.get(id).copied() else { return };
        if let Some(fresh) = self.submissions.get_mut(&number) {
            fresh.waiters.retain(|waiting| waiting.0 != request);
            if !fresh.waiters.is_empty() {
                return;
            }
            self.submissions.remove(&number);
        } else if taken_by == request {
            self.complete(number, false);
        } else {
            return;
        }
        events.push(Event::Withdrawn(MessageId(number)));
        self.forget(number, id);
    }

    pub(super) fn attempt_completed(&mut self, end: AttemptCompleted) -> Event {
        let number = end.message.0;
        let live = self.journal.live().get(&number);
        let owed = live.filter(|live| live.abandoned.is_none()).map(|live| live.message.clone());
        // Completed or abandoned already: this outcome changes nothing.
        let mut terminal = true;
        if let Some(taken) =
            owed.filter(|taken| self.pending_by_id.get(&taken.id).is_some_and(|held| held.0 == number))
        {
            terminal = end.message_completed || end.outcome == Outcome::Delivered;
            if terminal {
                if end.outcome == Outcome::Delivered {
                    self.outcome_counts.count(&taken.class, FinalOutcome::Fulfilled);
                }
                self.complete(number, end.outcome == Outcome::Delivered);
                self.forget(number, &taken.id);
            } else {
                let never_ran = end.outcome.never_ran();
                self.unwritten_records.push(Record::AttemptEnded {
                    message: number,
                    attempt: end.attempt,
                    never_ran,
                });
            }
        }
        Event::AttemptCompleted {
            message: end.message,
            attempt: end.attempt,
            endpoint: end.endpoint,
            outcome: end.outcome,
            terminal,
            took: end.took,
            report: end.report,
        }
    }

    /// Nothing more is owed to a message. What must not take effect again, and may have, goes into the ledger
    /// where there is one; what was rejected may be submitted again.
    pub(super) fn complete(&mut self, number: u32, delivered: bool) {
        if let Some(live) = self.journal.live().get(&number)
            && self.journal.retains(&live.message.class)
            && (delivered || live.may_have_run() || live.abandoned == Some(Abandonment::Undeliverable))
        {
            let (id, at) = (live.message.id.clone(), self.clock.now());
            self.unwritten_records.push(Record::LedgerEntry(LedgerEntry { id, delivered, at }));
        }
        self.unwritten_records.push(Record::Completed(number));
    }

    pub(super) fn forget(&mut self, number: u32, id: &str) {
        self.attempts.remove(&number);
        self.pending_by_id.remove(id);
    }

    fn queue_notification(&self, number: u32, how: Abandonment, id: String) {
        let _ = self.notifications.send(Notification { message: MessageId(number), id, outcome: how });
    }

    /// Notifies the platform of outcomes that are written. One that could not be written is notified all the same once the
    /// message's deadline has passed: no later process would send it then. Before that it would be a second answer, should
    /// this process end here and the next one deliver the message.
    pub(super) fn send_notifications(&mut self, now: Micros, written: bool) {
        for (number, how, id) in std::mem::take(&mut self.pending_notifications) {
            let late = self.journal.live().get(&number).is_none_or(|live| live.message.deadline <= now);
            if written || late {
                self.queue_notification(number, how, id);
            } else {
                self.pending_notifications.push((number, how, id));
            }
        }
    }
}

/// An accepted message as the decision module knows it, with its remaining time as of `now`.
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
