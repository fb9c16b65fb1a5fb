//! What a process starts with, and what it leaves to its successor.

use std::collections::{BTreeSet, HashMap};

use admin::gate::AdmissionGate;
use decision::interface::{Event, MessageId, Micros};
use handover::{AttemptInFlight, HandoverState, RetryAfterDeadline};
use health_snapshot::restore::LIST_TRUST_SPAN;
use journal::{Abandonment, PendingMessage, Record};

use super::messages::decision_message;
use super::recovery_report::UncalledReason;
use super::startup::Recovery;
use super::{EventLoop, NO_REQUEST};
use crate::discovery::endpoint_list::EndpointList;
use crate::persistence::journal::JournalStore;
use crate::persistence::snapshot::initial_list;

impl EventLoop {
    /// Resumes with a predecessor's state and the journal that it released.
    pub(super) fn resume_from_predecessor(&mut self, state: HandoverState) -> Vec<Event> {
        let HandoverState {
            endpoints,
            ids,
            ids_assigned: given,
            index,
            messages: held,
            next_message,
            attempts,
            attempts_in_flight: out,
            ..
        } = state;
        self.directory.restore(endpoints, ids.into_iter().map(Into::into).collect(), given);
        (self.list_version, self.next_message) = (index, next_message);
        if let JournalStore::Sharded(part) = &mut self.journal {
            part.number_from(next_message);
        }
        for AttemptInFlight { message, attempt, endpoint } in out {
            if let (Some(member), Some(destination)) = (&mut self.shard, self.directory.destination(endpoint))
            {
                member.adopt_attempt((message.0, attempt), destination, endpoint);
            }
        }
        self.attempts = attempts.into_iter().map(Into::into).collect();
        let requests: HashMap<u32, u64> =
            held.iter().map(|pending| (pending.message, pending.request)).collect();
        let mut kept = BTreeSet::new();
        for (number, live) in self.journal.live().iter() {
            let request = requests.get(number).copied().unwrap_or(0);
            self.pending_by_id.insert(live.message.id.clone(), (*number, request));
            match live.abandoned {
                Some(how) => self.pending_notifications.push((*number, how, live.message.id.clone())),
                None => drop(kept.insert(*number)),
            }
        }
        // Where module and journal disagree, the journal binds.
        let of_module = self.policy.messages();
        let mut events: Vec<_> =
            of_module.iter().filter(|id| !kept.contains(&id.0)).map(|id| Event::Withdrawn(*id)).collect();
        for number in kept {
            if self.policy.holds(MessageId(number)) {
                continue;
            }
            let Some(live) = self.journal.live().get(&number).cloned() else { continue };
            events.extend(self.recovered_event(number, &live, false));
        }
        events
    }

    /// Whether a successor may take over now: all records are written, and nothing of a predecessor is left.
    pub(super) fn can_hand_over(&self) -> bool {
        let written = self.unwritten_records.is_empty()
            && self.pending_notifications.is_empty()
            && self.submissions.is_empty();
        let alone = self.predecessor.as_ref().is_none_or(|before| before.is_gone());
        written && alone && !self.directory.has_pending() && self.has_all_destinations()
    }

    /// All state that the journal does not hold.
    pub(super) fn handover_state(&self, requests: u64) -> Result<HandoverState, String> {
        let (endpoints, ids, given) = self.directory.save();
        let held =
            self.pending_by_id.iter().map(|(id, (number, request))| (id.clone(), *number, *request).into());
        let waits = self.policy.waits().into_iter();
        let (next_message, out) = match &self.journal {
            JournalStore::Exclusive(_) => {
                let outs = self
                    .directory
                    .transports()
                    .iter()
                    .flat_map(|carrier| carrier.outstanding_attempts())
                    .collect();
                (self.next_message, outs)
            }
            // Those on connections of other shards too.
            JournalStore::Sharded(part) => (part.next_number(), self.policy.attempts_in_flight()),
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
            ids_assigned: given,
            index: self.list_version,
            messages: held.collect(),
            attempts: self.attempts.iter().map(|(number, count)| (*number, *count).into()).collect(),
            next_message,
            requests,
            attempts_in_flight: out.into_iter().map(Into::into).collect(),
            waits: waits
                .map(|(id, until)| RetryAfterDeadline {
                    endpoint: self.directory.name(id).to_string(),
                    until,
                })
                .collect(),
            standby,
        })
    }

    /// Starts with the endpoint list as last known, the health snapshot, and the journal. Returns the version
    /// to watch the list from; none where the full list has to be fetched.
    pub(super) fn recover(
        &mut self,
        known: EndpointList,
        recovery: &mut Recovery,
    ) -> (Vec<Event>, Option<u64>) {
        let now = self.iteration_time;
        let (set_back, waits) = (recovery.clock_set_back, std::mem::take(&mut recovery.waits));
        let belief = &mut recovery.restored;
        let (list, from) = initial_list(known, belief);
        self.list_version = list.index;
        self.list_confirmed_at = (now + belief.list.good_for).saturating_sub(LIST_TRUST_SPAN);
        let mut events = vec![self.apply_list(&EndpointList { snapshot: true, ..list })];
        events.extend(self.restore_snapshot(belief));
        // A Retry-After that the predecessor was sent binds this process too.
        for (name, until) in waits {
            let endpoint = self.directory.listed_id(&name).filter(|_| until > now);
            events.extend(endpoint.map(|endpoint| Event::RetryAfter { endpoint, wait: until - now }));
        }
        let mut live: Vec<(u32, PendingMessage)> =
            self.journal.live().iter().map(|(n, l)| (*n, l.clone())).collect();
        live.sort_unstable_by_key(|live| live.0);
        for (number, live) in live {
            self.pending_by_id.insert(live.message.id.clone(), (number, NO_REQUEST));
            let untried = live.abandoned.is_none() && live.attempts.is_empty();
            if untried {
                self.recovery_report.resumed(number);
            }
            if live.abandoned.is_none()
                && let Some(event) = self.recovered_event(number, &live, set_back)
            {
                events.push(event);
                continue;
            }
            let given_up = match live.abandoned {
                Some(how) => how,
                // Its class is not in the settings any more: the module cannot decide on it.
                None if !live.may_have_run() => Abandonment::Deferred(0),
                None => Abandonment::Undeliverable,
            };
            self.recovery_report.completed(number, UncalledReason::UnknownClass);
            self.unwritten_records.push(Record::Abandoned(number, given_up));
            self.pending_notifications.push((number, given_up, live.message.id.clone()));
        }
        (events, from)
    }

    /// A message that an earlier process accepted, as the journal has it; none where its class is not in the
    /// settings any more.
    fn recovered_event(&mut self, number: u32, live: &PendingMessage, set_back: bool) -> Option<Event> {
        let now = self.iteration_time;
        let class = self.directory.class(&live.message.class)?;
        // Guards against a retry after the idempotency window: an unknown age is beyond any window.
        let ago = |at: Micros| if set_back { now } else { now.saturating_sub(at) };
        let ran = live.attempts.iter().filter(|attempt| !attempt.never_ran);
        let may_have_run =
            ran.map(|attempt| (ago(attempt.at), self.directory.id_of_attempt(&attempt.endpoint))).collect();
        let attempts = live.attempts.last().map_or(0, |last| last.number + 1);
        self.attempts.insert(number, attempts);
        let message = decision_message(number, class, &live.message, now);
        let effect = self.class_idempotency.get(&*live.message.class).copied();
        Some(Event::Recovered { message, attempts: attempts.into(), may_have_run, idempotency: effect })
    }
}
