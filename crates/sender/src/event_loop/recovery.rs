//! Recovery at startup from the journal or a predecessor's state, and the state for a successor.

use std::collections::{BTreeSet, HashMap};

use admin::gate::AdmissionGate;
use decision::interface::{Event, MessageId, Micros};
use handover::{AttemptInFlight, HandoverState, RetryAfterDeadline};
use health_snapshot::restore::LIST_TRUST_SPAN;
use journal::{Abandonment, PendingMessage, Record};

use super::messages::decision_message;
use super::recovered_failures::failures_by_route;
use super::recovery_report::UncalledReason;
use super::startup::Recovery;
use super::{EventLoop, NO_REQUEST};
use crate::discovery::endpoint_list::EndpointList;
use crate::persistence::journal::JournalStore;
use crate::persistence::snapshot::initial_list;

impl EventLoop {
    /// Continues from a predecessor's state and the journal that it released. Returns the first events.
    pub(super) fn resume_from_predecessor(&mut self, state: HandoverState) -> Vec<Event> {
        let HandoverState {
            endpoints,
            ids,
            ids_assigned: assigned,
            list_version,
            list_source,
            messages: pending_requests,
            next_message,
            attempts,
            attempts_in_flight: in_flight,
            ..
        } = state;
        self.directory.restore(endpoints, ids.into_iter().map(Into::into).collect(), assigned);
        (self.list_version, self.list_source) = (list_version, list_source);
        self.next_message = next_message;
        if let JournalStore::Sharded(journal_part) = &mut self.journal {
            journal_part.skip_numbers_below(next_message);
        }
        for AttemptInFlight { message, attempt, endpoint } in in_flight {
            if let (Some(shard), Some(destination)) = (&mut self.shard, self.directory.destination(endpoint))
            {
                shard.adopt_attempt((message.0, attempt), destination, endpoint);
            }
        }
        self.attempts = attempts.into_iter().map(Into::into).collect();
        let requests: HashMap<u32, u64> =
            pending_requests.iter().map(|pending| (pending.message, pending.request)).collect();
        let mut pending_numbers = BTreeSet::new();
        for (number, entry) in self.journal.live().iter() {
            let request = requests.get(number).copied().unwrap_or(0);
            self.pending_by_id.insert(entry.message.id.clone(), (*number, request));
            match entry.abandoned {
                Some(ending) => self.pending_notifications.push((*number, ending, entry.message.id.clone())),
                None => drop(pending_numbers.insert(*number)),
            }
        }
        // If the decision module and the journal disagree, the journal is authoritative.
        let module_messages = self.policy.messages();
        let mut events: Vec<_> = module_messages
            .iter()
            .filter(|id| !pending_numbers.contains(&id.0))
            .map(|id| Event::Withdrawn(*id))
            .collect();
        for number in pending_numbers {
            if self.policy.holds(MessageId(number)) {
                continue;
            }
            let Some(pending) = self.journal.live().get(&number).cloned() else { continue };
            events.extend(self.recovered_event(number, &pending, false));
        }
        events
    }

    /// Returns whether a successor may take over now: all records are written, the predecessor has exited, no
    /// endpoint list is applied in part, and this shard has all destinations.
    pub(super) fn can_hand_over(&self) -> bool {
        let written = self.unwritten_records.is_empty()
            && self.pending_notifications.is_empty()
            && self.submissions.is_empty();
        let predecessor_exited = self.predecessor.as_ref().is_none_or(|predecessor| predecessor.has_exited());
        written && predecessor_exited && !self.directory.has_pending() && self.has_all_destinations()
    }

    /// Returns the state for a successor: everything that is not in the journal.
    pub(super) fn handover_state(&self, requests: u64) -> Result<HandoverState, String> {
        let (endpoints, ids, ids_assigned) = self.directory.save();
        let messages =
            self.pending_by_id.iter().map(|(id, (number, request))| (id.clone(), *number, *request).into());
        let waits = self.policy.waits().into_iter();
        let (next_message, attempts_in_flight) = match &self.journal {
            JournalStore::Exclusive(_) => {
                let outstanding = self
                    .directory
                    .transports()
                    .iter()
                    .flat_map(|transport| transport.outstanding_attempts())
                    .collect();
                (self.next_message, outstanding)
            }
            // Includes attempts on connections of other shards.
            JournalStore::Sharded(journal_part) => {
                (journal_part.next_number(), self.policy.attempts_in_flight())
            }
        };
        let standby = match *self.gate.borrow() {
            AdmissionGate::Standby(since) => Some(since),
            _ => None,
        };
        Ok(HandoverState {
            stopped_at: self.clock.now(),
            names: self.directory.names().into(),
            policy: self.policy.state().map_err(|e| e.to_string())?.into(),
            endpoints,
            ids: ids.into_iter().map(Into::into).collect(),
            ids_assigned,
            list_version: self.list_version,
            list_source: self.list_source,
            messages: messages.collect(),
            attempts: self.attempts.iter().map(|(number, count)| (*number, *count).into()).collect(),
            next_message,
            requests,
            attempts_in_flight: attempts_in_flight.into_iter().map(Into::into).collect(),
            waits: waits
                .map(|(id, until)| RetryAfterDeadline {
                    endpoint: self.directory.name(id).to_string(),
                    until,
                })
                .collect(),
            standby,
        })
    }

    /// Starts from the last known endpoint list, the health snapshot and the journal. Returns the first events, and the
    /// version to watch the list from: none if the full list has to be fetched.
    pub(super) fn recover(
        &mut self,
        configured_list: EndpointList,
        recovery: &mut Recovery,
    ) -> (Vec<Event>, Option<u64>) {
        let now = self.iteration_time;
        let (clock_set_back, retry_after_deadlines) =
            (recovery.clock_set_back, std::mem::take(&mut recovery.retry_after_deadlines));
        let restored = &mut recovery.restored;
        let (list, list_version) = initial_list(configured_list, restored);
        self.list_version = list.index;
        self.list_confirmed_at = (now + restored.list.good_for).saturating_sub(LIST_TRUST_SPAN);
        let mut events = vec![self.apply_list(&EndpointList { snapshot: true, ..list })];
        events.extend(self.restore_snapshot(restored));
        // A snapshot tells more, and its times are right also if the clock was set back.
        if self.snapshot_store.is_none() && !clock_set_back {
            events.extend(self.recovered_failures());
        }
        // A Retry-After that the predecessor received applies to this process too.
        for (name, until) in retry_after_deadlines {
            let endpoint = self.directory.listed_id(&name).filter(|_| until > now);
            events.extend(endpoint.map(|endpoint| Event::RetryAfter { endpoint, wait: until - now }));
        }
        let mut pending: Vec<(u32, PendingMessage)> =
            self.journal.live().iter().map(|(number, pending)| (*number, pending.clone())).collect();
        pending.sort_unstable_by_key(|pending| pending.0);
        for (number, pending) in pending {
            self.pending_by_id.insert(pending.message.id.clone(), (number, NO_REQUEST));
            let unattempted = pending.abandoned.is_none() && pending.attempts.is_empty();
            if unattempted {
                self.recovery_report.resumed(number);
            }
            if pending.abandoned.is_none()
                && let Some(event) = self.recovered_event(number, &pending, clock_set_back)
            {
                events.push(event);
                continue;
            }
            let abandonment = match pending.abandoned {
                Some(abandonment) => abandonment,
                // Its class was removed from the settings, so that the decision module cannot decide on it.
                None if !pending.may_have_run() => Abandonment::Deferred(0),
                None => Abandonment::Undeliverable,
            };
            self.recovery_report.completed(number, UncalledReason::UnknownClass);
            self.unwritten_records.push(Record::Abandoned(number, abandonment));
            self.pending_notifications.push((number, abandonment, pending.message.id.clone()));
        }
        (events, list_version)
    }

    /// Returns the events for the failed calls of an earlier process.
    fn recovered_failures(&self) -> Vec<Event> {
        let route_of = |endpoint: &str| self.directory.route(self.directory.listed_id(endpoint)?);
        let failures =
            failures_by_route(self.journal.live().values(), self.journal.last_deliveries(), route_of);
        failures.into_iter().map(|(route, failures)| Event::FailuresRecovered { route, failures }).collect()
    }

    /// Returns the event for a message that an earlier process accepted, or none if its class is not in the settings
    /// any more.
    fn recovered_event(
        &mut self,
        number: u32,
        pending: &PendingMessage,
        clock_set_back: bool,
    ) -> Option<Event> {
        let now = self.iteration_time;
        let class = self.directory.class(&pending.message.class)?;
        // An unknown age counts as beyond any idempotency window, so that there is no retry after the window.
        let age = |at: Micros| if clock_set_back { now } else { now.saturating_sub(at) };
        let ran = pending.attempts.iter().filter(|attempt| !attempt.never_ran);
        let may_have_run =
            ran.map(|attempt| (age(attempt.at), self.directory.id_of_attempt(&attempt.endpoint))).collect();
        let attempts = pending.attempts.last().map_or(0, |last| last.number + 1);
        self.attempts.insert(number, attempts);
        let message = decision_message(number, class, &pending.message, now);
        let idempotency = self.class_idempotency.get(&*pending.message.class).copied();
        Some(Event::Recovered { message, attempts: attempts.into(), may_have_run, idempotency })
    }
}
