//! One iteration: the decision module decides, the journal is written, and only then clients are answered and calls
//! start.

use std::collections::BTreeMap;

use admin::metrics::FinalOutcome;
use decision::interface::{Action, EndpointId, Event, MessageId, Micros, Outcome};
use journal::{Abandonment, AppendError, Record, SpaceNeeded};

use super::calls::PlannedAttempt;
use super::{EventLoop, PendingSubmission};
use crate::ports::{Answer, Inbound};

/// Minimum interval between two log lines about journal failures.
const JOURNAL_WARNING_INTERVAL: Micros = 1_000_000;

/// Decisions that have to be in the journal before they take effect.
#[derive(Default)]
struct Decisions {
    /// Messages that this sender abandons, each with its final answer.
    abandoned: Vec<(u32, Abandonment)>,
    /// The attempts to start.
    attempts: Vec<PlannedAttempt>,
}

impl EventLoop {
    /// Passes these events to the decision module, and carries out its decisions.
    pub(super) fn run_iteration(&mut self, events: Vec<Event>) {
        let now = self.iteration_time;
        debug_assert!(
            events.iter().all(|event| self.is_as_of_now(event)),
            "a remaining time is not as of the time of this iteration"
        );
        let mut actions = Vec::new();
        self.record_observations(&events);
        self.policy.handle(now, &events, &mut actions);
        let mut records = std::mem::take(&mut self.unwritten_records);
        let mut submissions = std::mem::take(&mut self.submissions);
        self.submitted_space = SpaceNeeded::default();
        let Decisions { abandoned, attempts } = self.carry_out(actions, &submissions);
        for (number, abandonment) in abandoned {
            self.abandon(number, abandonment, &mut submissions, &mut records);
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
                self.warn_journal(
                    "written, new messages are rejected and no call starts until it can",
                    &error,
                );
                records.truncate(outcomes);
                // Outcomes alone need little space, and the journal reserves some for them.
                let outcomes_written = self.journal.append(now, &mut records).is_ok();
                self.send_notifications(now, outcomes_written);
                self.reject_unwritten(records, submissions, &attempts);
            }
        }
        if self.unwritten_records.is_empty() {
            self.unwritten_outcomes.clear();
        }
        self.recovery_report.take_summary().into_iter().for_each(|summary| eprintln!("{summary}"));
        self.compact(now);
    }

    /// Carries out the decisions that need no record, and collects those that do.
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
                // The endpoint watch is always open.
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

    /// Checks an endpoint's health. The check fails like a failed connection if no transport knows the endpoint.
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

    /// Gives a message its final answer: to its client if that still waits, else to the platform after the record is
    /// written.
    fn abandon(
        &mut self,
        number: u32,
        abandonment: Abandonment,
        submissions: &mut BTreeMap<u32, PendingSubmission>,
        records: &mut Vec<Record>,
    ) {
        let outcome = match abandonment {
            Abandonment::Deferred(_) => FinalOutcome::Throttled,
            Abandonment::Undeliverable => FinalOutcome::Faulted,
        };
        // Answered in the iteration in which it was submitted: nothing is recorded.
        if let Some(submission) = submissions.remove(&number) {
            self.outcome_counts.count(&submission.message.class, outcome);
            self.forget(number, &submission.message.id);
            submission.answer(match abandonment {
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
            records.push(Record::Abandoned(number, abandonment));
            self.pending_notifications.push((number, abandonment, message.id.clone()));
        }
    }

    /// Appends records to the journal. If this fails, the disk space of the health snapshot is released and the
    /// append repeated.
    fn append(&mut self, now: Micros, records: &mut Vec<Record>) -> Result<(), AppendError> {
        let written = self.journal.append(now, records);
        if written.is_err() && self.release_snapshot_space() {
            return self.journal.append(now, records);
        }
        written
    }

    /// Runs one step of the journal's compaction, after answers and calls.
    fn compact(&mut self, now: Micros) {
        if let Err(error) = self.journal.compact_step(now) {
            // Compaction takes precedence over the snapshot too: once the snapshot's space is released, it continues in
            // the next iteration.
            if !self.release_snapshot_space() {
                self.warn_journal("compacted, retrying in the next iteration", &error);
            }
        }
    }

    /// Returns whether the remaining time in an event, if it has one, is as of this iteration.
    fn is_as_of_now(&self, event: &Event) -> bool {
        let (Event::Accepted(message) | Event::Recovered { message, .. }) = event else { return true };
        let MessageId(number) = message.id;
        let submission = self.submissions.get(&number).map(|submission| &submission.message);
        let accepted = submission
            .cloned()
            .or_else(|| self.journal.live().get(&number).map(|pending| pending.message.clone()));
        accepted.is_none_or(|accepted| {
            message.remaining_time == accepted.deadline.saturating_sub(self.iteration_time)
        })
    }

    /// Logs a journal failure, at most once a second: the operation is repeated in every iteration.
    fn warn_journal(&mut self, operation: &str, error: &dyn std::fmt::Display) {
        self.log_journal_warning(|| format!("the journal can't be {operation}: {error}"));
    }

    /// Logs that new messages are rejected because no further outcome can be kept.
    pub(super) fn warn_ledger_full(&mut self) {
        self.log_journal_warning(|| {
            "the ledger of outcomes is full, new messages are rejected until older outcomes have expired"
                .to_owned()
        });
    }

    /// Logs a warning about the journal, at most one a second.
    fn log_journal_warning(&mut self, warning: impl FnOnce() -> String) {
        let now = self.clock.now();
        if now >= self.next_journal_warning_at {
            self.next_journal_warning_at = now + JOURNAL_WARNING_INTERVAL;
            eprintln!("{}", warning());
        }
    }
}
