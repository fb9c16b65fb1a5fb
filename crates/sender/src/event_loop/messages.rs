//! What becomes of a message between its client and its end: handed in, withdrawn, an attempt's outcome, over.

use admin::figures::FinalOutcome;
use decision::interface::*;
use journal::{Abandonment, LedgerEntry, Record};

use super::{Driver, Fresh, NO_REQUEST, NO_ROOM_AGAIN, UNLISTED_AGAIN, message};
use crate::persistence::journal::Store;
use crate::ports::{Answer, AttemptOver, Submission};

impl Driver {
    pub(super) fn handed_in(&mut self, message: Submission, said: &mut Vec<Event>) {
        let Submission { message: taken, class, request, answer } = message;
        if let Some((number, by)) = self.held.get_mut(&taken.id) {
            // The client did not hear that it is taken on, and says it once more. Guards what it is told now against the
            // end of its earlier connection, which may show later: no request can take the message back any more.
            *by = NO_REQUEST;
            match self.fresh.get_mut(number) {
                Some(fresh) => fresh.answers.push((request, answer)),
                None => drop(answer.send(Answer::Accepted)),
            }
            return;
        }
        // Guards the room against messages that nobody takes: a new destination's first list may be on its way.
        if !self.directory.names_destination(taken.destination) {
            self.ends.count(&taken.class, FinalOutcome::Throttled);
            let _ = answer.send(Answer::Rejected(UNLISTED_AGAIN));
            return;
        }
        // Guards an effect against a second copy by the same id: how it ended is told, and it is not sent again.
        if self.journal.retains(&taken.class)
            && let Some(end) = self.journal.remembered(&taken.id, self.clock.now())
        {
            let _ = answer.send(if end.delivered { Answer::Delivered } else { Answer::Failed });
            return;
        }
        let pending: u64 = self.fresh.values().map(|fresh| self.journal.room_for(&fresh.taken)).sum();
        if !self.journal.has_room(&taken, pending) {
            self.ends.count(&taken.class, FinalOutcome::Throttled);
            let _ = answer.send(Answer::Rejected(NO_ROOM_AGAIN));
            return;
        }
        let Some(number) = self.number() else {
            self.ends.count(&taken.class, FinalOutcome::Throttled);
            let _ = answer.send(Answer::Rejected(NO_ROOM_AGAIN));
            return;
        };
        said.push(Event::Accepted(self::message(number, class, &taken, self.at)));
        self.held.insert(taken.id.clone(), (number, request));
        self.fresh.insert(number, Fresh { taken, answers: vec![(request, answer)] });
    }

    /// A number that no message has; none while the cores' journal is another process's.
    fn number(&mut self) -> Option<u32> {
        if let Store::Part(part) = &mut self.journal {
            return part.next_message_number().ok();
        }
        let mut number = self.next_message;
        // Guards a message that has lived through all numbers against another under its own.
        while self.journal.live().contains_key(&number) || self.fresh.contains_key(&number) {
            number = number.wrapping_add(1);
        }
        self.next_message = number.wrapping_add(1);
        Some(number)
    }

    /// A withdrawal belongs to its own request: guards a message against another client that used its id.
    pub(super) fn withdrawn(&mut self, id: &str, request: u64, said: &mut Vec<Event>) {
        let Some((number, taken_by)) = self.held.get(id).copied() else { return };
        if let Some(fresh) = self.fresh.get_mut(&number) {
            fresh.answers.retain(|waiting| waiting.0 != request);
            if !fresh.answers.is_empty() {
                return;
            }
            self.fresh.remove(&number);
        } else if taken_by == request {
            self.over(number, false);
        } else {
            return;
        }
        said.push(Event::Withdrawn(MessageId(number)));
        self.forget(number, id);
    }

    pub(super) fn ended(&mut self, end: AttemptOver) -> Event {
        let number = end.message.0;
        let live = self.journal.live().get(&number);
        let owed = live.filter(|live| live.abandoned.is_none()).map(|live| live.message.clone());
        // Over already, or given up: what comes now changes nothing.
        let mut terminal = true;
        if let Some(taken) =
            owed.filter(|taken| self.held.get(&taken.id).is_some_and(|held| held.0 == number))
        {
            terminal = end.message_completed || end.outcome == Outcome::Delivered;
            if terminal {
                if end.outcome == Outcome::Delivered {
                    self.ends.count(&taken.class, FinalOutcome::Fulfilled);
                }
                self.over(number, end.outcome == Outcome::Delivered);
                self.forget(number, &taken.id);
            } else {
                let never_ran = end.outcome.never_ran();
                self.unwritten.push(Record::AttemptEnded {
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

    /// Nothing more is owed to a message. What must not take effect again, and may have, is remembered where the
    /// installation keeps a ledger; what was handed back unseen may come again.
    pub(super) fn over(&mut self, number: u32, delivered: bool) {
        if let Some(live) = self.journal.live().get(&number)
            && self.journal.retains(&live.message.class)
            && (delivered || live.may_have_run() || live.abandoned == Some(Abandonment::Undeliverable))
        {
            let (id, at) = (live.message.id.clone(), self.clock.now());
            self.unwritten.push(Record::LedgerEntry(LedgerEntry { id, delivered, at }));
        }
        self.unwritten.push(Record::Completed(number));
    }

    pub(super) fn forget(&mut self, number: u32, id: &str) {
        self.attempts.remove(&number);
        self.held.remove(id);
    }
}
