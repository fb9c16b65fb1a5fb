//! One iteration: the decision module decides, the journal is written, then clients are answered and calls start.

use std::collections::BTreeMap;

use admin::figures::FinalOutcome;
use decision::interface::{Action, EndpointId, Event, MessageId, Micros, Outcome};
use journal::{Abandonment, AppendError, Record};

use super::calls::PlannedAttempt;
use super::{EventLoop, PendingSubmission};
use crate::ports::{Answer, Inbound};

/// Between two log lines of a journal that fails.
const JOURNAL_WARNING_INTERVAL: Micros = 1_000_000;

/// What the module decided that the journal has to have before it takes effect.
#[derive(Default)]
struct Decisions {
    /// Messages that get a final answer from this sender.
    abandoned: Vec<(u32, Abandonment)>,
    attempts: Vec<PlannedAttempt>,
}

impl EventLoop {
    /// Has the module decide on these events, and carries its decisions out.
    pub(super) fn run_iteration(&mut self, events: Vec<Event>) {
        let now = self.iteration_time;
        debug_assert!(
            events.iter().all(|event| self.is_as_of_now(event)),
            "remaining time as of another instant"
        );
        let mut actions = Vec::new();
        self.record_observations(&events);
        self.policy.handle(now, &events, &mut actions);
        let mut records = std::mem::take(&mut self.unwritten_records);
        let mut submissions = std::mem::take(&mut self.submissions);
        let Decisions { abandoned, attempts } = self.carry_out(actions, &submissions);
        for (number, how) in abandoned {
            self.abandon(number, how, &mut submissions, &mut records);
        }
        let outcomes = records.len();
        let accepted = submissions.iter();
        records.extend(
            accepted.map(|(number, submission)| Record::Accepted(*number, submission.message.clone())),
        );
        records.extend(attempts.iter().map(|attempt| self.attempt_record(attempt)));
        match self.append(now, &mut records) {
            Ok(()) => {
                for submission in submissions.into_values() {
                    submission.answer(Answer::Accepted);
                }
                self.send_notifications(now, true);
                self.start_calls(now, attempts);
            }
            Err(error) => {
                self.warn_journal("written", &error);
                records.truncate(outcomes);
                // Outcomes alone need little space, and some is reserved for them.
                let outcomes_written = self.journal.append(now, &mut records).is_ok();
                self.send_notifications(now, outcomes_written);
                self.reject_unwritten(records, submissions, &attempts);
            }
        }
        self.recovery_report.take_summary().into_iter().for_each(|line| eprintln!("{line}"));
        self.compact(now);
    }

    /// Carries out what needs no record, and collects what does.
    fn carry_out(
        &mut self,
        actions: Vec<Action>,
        submissions: &BTreeMap<u32, PendingSubmission>,
    ) -> Decisions {
        let mut decisions = Decisions::default();
        for action in actions {
            match action {
                Action::Attempt { .. } => decisions.attempts.extend(self.plan_attempt(&action, submissions)),
                Action::Reject { message, retry_after } => {
                    decisions.abandoned.push((message.0, Abandonment::Deferred(retry_after)));
                }
                Action::Fail(message) => decisions.abandoned.push((message.0, Abandonment::Undeliverable)),
                Action::Cancel { message, attempt } => self.cancel_attempt(message, attempt),
                Action::HealthCheck(endpoint) => self.check_health(endpoint),
                Action::CloseIdleConnections(endpoint) => {
                    if let Some(transport) = self.directory.transport(endpoint) {
                        transport.close_idle(endpoint);
                    }
                }
                // The watch is open all the time.
                Action::WatchEndpoints => {}
                Action::FetchEndpoints => self.refetch_endpoints.notify_one(),
                Action::SendGossip { to, content } => {
                    if let Some(socket) = &self.gossip_socket {
                        socket.send(to, &content);
                    }
                }
                Action::SetTimer { at, token } => {
                    self.timers.insert((at, token));
                }
                Action::Log(line) => eprintln!("{line}"),
            }
        }
        decisions
    }

    /// An endpoint that no transport knows counts as one that cannot be connected to.
    fn check_health(&self, endpoint: EndpointId) {
        match self.directory.transport(endpoint) {
            Some(transport) => transport.probe(endpoint),
            None => {
                let outcome = Outcome::ConnectFailed;
                let event = Event::HealthChecked { endpoint, outcome, report: vec![] };
                let _ = self.inbound.send(Inbound::Event(event));
            }
        }
    }

    /// Gives a message its final answer: to its client, where that still waits, else to the platform once it is written.
    fn abandon(
        &mut self,
        number: u32,
        how: Abandonment,
        submissions: &mut BTreeMap<u32, PendingSubmission>,
        records: &mut Vec<Record>,
    ) {
        let outcome = match how {
            Abandonment::Deferred(_) => FinalOutcome::Throttled,
            Abandonment::Undeliverable => FinalOutcome::Faulted,
        };
        // Answered in the iteration that it was submitted in: the journal never hears of it.
        if let Some(submission) = submissions.remove(&number) {
            self.outcome_counts.count(&submission.message.class, outcome);
            self.forget(number, &submission.message.id);
            submission.answer(match how {
                Abandonment::Deferred(retry_after) => Answer::Rejected(retry_after),
                Abandonment::Undeliverable => Answer::Failed,
            });
            return;
        }
        let pending = self.journal.live().get(&number).map(|pending| pending.message.clone());
        if let Some(message) = pending {
            let remaining = message.deadline.saturating_sub(self.iteration_time);
            self.recovery_report.abandoned(number, remaining);
            self.outcome_counts.count(&message.class, outcome);
            records.push(Record::Abandoned(number, how));
            self.pending_notifications.push((number, how, message.id.clone()));
        }
    }

    /// Appends records; where the journal is full, the health snapshot makes space for them.
    fn append(&mut self, now: Micros, records: &mut Vec<Record>) -> Result<(), AppendError> {
        let written = self.journal.append(now, records);
        if written.is_err() && self.release_snapshot_space() {
            return self.journal.append(now, records);
        }
        written
    }

    /// One step of the journal's compaction, once answers and calls are out.
    fn compact(&mut self, now: Micros) {
        if let Err(error) = self.journal.compact_step(now) {
            // Compaction goes before the snapshot too; it goes on in the next iteration.
            if !self.release_snapshot_space() {
                self.warn_journal("compacted", &error);
            }
        }
    }

    /// Whether the event tells of a message's remaining time as of this iteration.
    fn is_as_of_now(&self, event: &Event) -> bool {
        let (Event::Accepted(message) | Event::Recovered { message, .. }) = event else { return true };
        let MessageId(number) = message.id;
        let fresh = self.submissions.get(&number).map(|fresh| &fresh.message);
        let taken =
            fresh.cloned().or_else(|| self.journal.live().get(&number).map(|live| live.message.clone()));
        taken.is_none_or(|taken| message.remaining_time == taken.deadline.saturating_sub(self.iteration_time))
    }

    /// At most once a second, for it is tried again in every iteration.
    fn warn_journal(&mut self, what: &str, why: &dyn std::fmt::Display) {
        let now = self.clock.now();
        if now >= self.next_journal_warning_at {
            self.next_journal_warning_at = now + JOURNAL_WARNING_INTERVAL;
            eprintln!("the journal can't be {what}: {why}");
        }
    }
}
