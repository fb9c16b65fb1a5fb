//! Turns the attempts that the decision module decided on into calls, and starts them.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};

use admin::metrics::FinalOutcome;
use decision::interface::{Action, EndpointId, Event, Idempotency, MessageId, Micros, Outcome};
use journal::{AcceptedMessage, Record};

use super::{EventLoop, PendingSubmission, RETRY_AFTER_JOURNAL_FULL};
use crate::ports::{Answer, AttemptCompleted, CallMessage, Inbound, WriteOptions};

/// An attempt that the decision module decided on.
pub(super) struct PlannedAttempt {
    message: MessageId,
    attempt: u16,
    endpoint: EndpointId,
    timeout: Micros,
    send_within: Micros,
    write_options: WriteOptions,
}

/// A call to an endpoint, with one message or a batch.
struct PlannedCall {
    endpoint: EndpointId,
    messages: Vec<CallMessage>,
    write_options: WriteOptions,
}

impl EventLoop {
    /// Records the attempt of an [`Action::Attempt`] and returns it, or none if its message is not pending any more.
    pub(super) fn plan_attempt(
        &mut self,
        action: &Action,
        submissions: &BTreeMap<u32, PendingSubmission>,
    ) -> Option<PlannedAttempt> {
        let &Action::Attempt { message, endpoint, timeout, send_within, last_byte_delay, new_connection } =
            action
        else {
            return None;
        };
        let attempt = self.next_attempt(message, submissions)?;
        self.record_call(endpoint);
        self.recovery_report.called(message.0);
        self.record_attempt(message, attempt, endpoint);
        let write_options = WriteOptions { last_byte_delay, new_connection };
        Some(PlannedAttempt { message, attempt, endpoint, timeout, send_within, write_options })
    }

    /// Assigns the number of a message's next attempt, if the message is pending.
    fn next_attempt(
        &mut self,
        message: MessageId,
        submissions: &BTreeMap<u32, PendingSubmission>,
    ) -> Option<u16> {
        if !submissions.contains_key(&message.0) && !self.journal.live().contains_key(&message.0) {
            return None;
        }
        let count = self.attempts.entry(message.0).or_default();
        *count += 1;
        Some(*count - 1)
    }

    /// Returns the journal record of an attempt: from now on it counts as one that may have run.
    pub(super) fn attempt_record(&self, attempt: &PlannedAttempt) -> Record {
        Record::AttemptStarted {
            message: attempt.message.0,
            attempt: attempt.attempt,
            endpoint: self.directory.name(attempt.endpoint),
            at: self.iteration_time,
        }
    }

    /// Starts the calls of an iteration. Attempts at the same endpoint share a call, up to the batch size of the
    /// endpoint's kind.
    pub(super) fn start_calls(&mut self, now: Micros, attempts: Vec<PlannedAttempt>) {
        for call in self.plan_calls(now, attempts) {
            self.start_call(call);
        }
    }

    /// Groups attempts into calls, in the order of the first attempt of each.
    fn plan_calls(&self, now: Micros, attempts: Vec<PlannedAttempt>) -> Vec<PlannedCall> {
        let mut calls: Vec<PlannedCall> = Vec::new();
        let mut latest_calls: HashMap<EndpointId, usize> = HashMap::new();
        for planned in attempts {
            let (endpoint, write_options) = (planned.endpoint, planned.write_options);
            let Some(message) = self.call_message(now, &planned) else { continue };
            let max_batch = self.directory.max_batch(endpoint);
            let call = latest_calls.get(&endpoint).copied().and_then(|index| calls.get_mut(index));
            match call.filter(|call| call.messages.len() < max_batch) {
                Some(call) => {
                    call.messages.push(message);
                    call.write_options = call.write_options.stricter(write_options);
                }
                None => {
                    latest_calls.insert(endpoint, calls.len());
                    calls.push(PlannedCall { endpoint, messages: vec![message], write_options });
                }
            }
        }
        calls
    }

    /// Returns a message for a call. Its deadlines count from the time of the decision on the attempt: the decision
    /// module does not abandon the message before they have passed.
    fn call_message(&self, now: Micros, planned: &PlannedAttempt) -> Option<CallMessage> {
        let pending = self.journal.live().get(&planned.message.0)?;
        let AcceptedMessage { id, key, body, class, .. } = (*pending.message).clone();
        let idempotency = self.class_idempotency.get(&*class);
        let send_within = planned.send_within.min(planned.timeout);
        Some(CallMessage {
            message: planned.message,
            attempt: planned.attempt,
            id,
            key,
            body,
            repeatable: idempotency.is_some_and(|idempotency| *idempotency != Idempotency::NonIdempotent),
            answer_deadline: self.clock.instant(now.saturating_add(planned.timeout)),
            send_deadline: self.clock.instant(now.saturating_add(send_within)),
        })
    }

    /// Starts a call, or reports a failed connection if no transport knows the endpoint.
    fn start_call(&self, call: PlannedCall) {
        let PlannedCall { endpoint, mut messages, write_options } = call;
        // The message with the latest deadline comes first. The platform may attribute a call to its first message: if
        // that one expired before the answer arrived, the answer would count for none of the messages.
        messages.sort_by_key(|message| Reverse(message.answer_deadline));
        let target = self.directory.transport(endpoint).zip(self.directory.route(endpoint));
        if let Some((transport, route)) = target {
            transport.start((route, endpoint), messages, write_options);
            return;
        }
        // An address that cannot be parsed counts as one that cannot be connected to.
        let connect_failed = |message: &CallMessage| {
            AttemptCompleted::unsent(message.message, message.attempt, endpoint, Outcome::ConnectFailed)
        };
        let _ = self.inbound.send(Inbound::CallCompleted(messages.iter().map(connect_failed).collect()));
    }

    /// Undoes an iteration whose records could not be written: its submissions are rejected and its attempts reported
    /// as not sent. Nothing is accepted and no call starts without its record in the journal, because an accepted
    /// message must survive the process.
    pub(super) fn reject_unwritten(
        &mut self,
        records: Vec<Record>,
        submissions: BTreeMap<u32, PendingSubmission>,
        attempts: &[PlannedAttempt],
    ) {
        self.unwritten_records = records;
        for &PlannedAttempt { message, attempt, endpoint, .. } in attempts {
            let outcome = Outcome::NotSent { no_slot: false };
            let completed = AttemptCompleted::unsent(message, attempt, endpoint, outcome);
            let _ = self.inbound.send(Inbound::CallCompleted(vec![completed]));
        }
        for (number, submission) in submissions {
            self.forget(number, &submission.message.id);
            self.outcome_counts.count(&submission.message.class, FinalOutcome::Throttled);
            let _ = self.inbound.send(Inbound::Event(Event::Withdrawn(MessageId(number))));
            submission.answer(Answer::Rejected(RETRY_AFTER_JOURNAL_FULL));
        }
    }
}
