//! From the attempts that the module decided on to the calls that carry them.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};

use admin::figures::FinalOutcome;
use decision::interface::{Action, EndpointId, Event, MessageId, Micros, Outcome};
use journal::{AcceptedMessage, Record};

use super::{EventLoop, PendingSubmission, RETRY_AFTER_JOURNAL_FULL};
use crate::ports::{Answer, AttemptCompleted, CallMessage, Inbound, WriteOptions};

/// An attempt that the module decided on.
pub(super) struct PlannedAttempt {
    message: MessageId,
    attempt: u16,
    endpoint: EndpointId,
    timeout: Micros,
    send_within: Micros,
    write_options: WriteOptions,
}

/// Messages that travel to an endpoint together.
struct PlannedCall {
    endpoint: EndpointId,
    messages: Vec<CallMessage>,
    write_options: WriteOptions,
}

impl EventLoop {
    /// The attempt of an [`Action::Attempt`]; none if its message is not pending any more.
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

    /// The number of a message's next attempt, if it is pending.
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

    /// The record that an attempt may have run from now on.
    pub(super) fn attempt_record(&self, attempt: &PlannedAttempt) -> Record {
        Record::AttemptStarted {
            message: attempt.message.0,
            attempt: attempt.attempt,
            endpoint: self.directory.name(attempt.endpoint),
            at: self.iteration_time,
        }
    }

    /// Starts the calls of an iteration: attempts at one endpoint travel together as far as its kind allows.
    pub(super) fn start_calls(&mut self, now: Micros, attempts: Vec<PlannedAttempt>) {
        for call in self.plan_calls(now, attempts) {
            self.start_call(call);
        }
    }

    /// The calls, in the order of their first attempts.
    fn plan_calls(&self, now: Micros, attempts: Vec<PlannedAttempt>) -> Vec<PlannedCall> {
        let mut calls: Vec<PlannedCall> = Vec::new();
        let mut latest: HashMap<EndpointId, usize> = HashMap::new();
        for planned in attempts {
            let (endpoint, write_options) = (planned.endpoint, planned.write_options);
            let Some(message) = self.call_message(now, &planned) else { continue };
            let max_batch = self.directory.max_batch(endpoint);
            let call = latest.get(&endpoint).copied().and_then(|at| calls.get_mut(at));
            match call.filter(|call| call.messages.len() < max_batch) {
                Some(call) => {
                    call.messages.push(message);
                    call.write_options = call.write_options.stricter(write_options);
                }
                None => {
                    latest.insert(endpoint, calls.len());
                    calls.push(PlannedCall { endpoint, messages: vec![message], write_options });
                }
            }
        }
        calls
    }

    /// A message as a call carries it. Its times run from when the attempt was decided on: the module gives the message
    /// its final answer no sooner.
    fn call_message(&self, now: Micros, planned: &PlannedAttempt) -> Option<CallMessage> {
        let pending = self.journal.live().get(&planned.message.0)?;
        let AcceptedMessage { id, key, body, .. } = (*pending.message).clone();
        let send_within = planned.send_within.min(planned.timeout);
        Some(CallMessage {
            message: planned.message,
            attempt: planned.attempt,
            id,
            key,
            body,
            answer_deadline: self.clock.instant(now.saturating_add(planned.timeout)),
            send_deadline: self.clock.instant(now.saturating_add(send_within)),
        })
    }

    fn start_call(&self, call: PlannedCall) {
        let PlannedCall { endpoint, mut messages, write_options } = call;
        // Guards the others of a call against the end of its first message, by which the platform may count the call:
        // where that one had expired before the answer came, the answer counted for none of them. The first is the one
        // that is waited for longest.
        messages.sort_by_key(|message| Reverse(message.answer_deadline));
        let target = self.directory.transport(endpoint).zip(self.directory.route(endpoint));
        if let Some((transport, route)) = target {
            transport.start((route, endpoint), messages, write_options);
            return;
        }
        // An address that cannot be parsed is one that cannot be connected to.
        let failed = |message: &CallMessage| {
            AttemptCompleted::unsent(message.message, message.attempt, endpoint, Outcome::ConnectFailed)
        };
        let _ = self.inbound.send(Inbound::CallCompleted(messages.iter().map(failed).collect()));
    }

    /// Undoes an iteration whose records could not be written. Guards the promise that accepted messages outlast the
    /// process: without the journal nothing is accepted and no call starts.
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
