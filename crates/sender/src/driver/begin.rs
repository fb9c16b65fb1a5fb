//! What a process begins with, and what it leaves to the next one.

use std::collections::{BTreeSet, HashMap};

use admin::door::AdmissionGate;
use decision::interface::*;
use handover::HandoverState;
use health_snapshot::restore::{LIST_TRUST_SPAN, RestoredState};
use journal::{Abandonment, PendingMessage, Record};

use super::left::Without;
use super::{Driver, NO_REQUEST, message};
use crate::known::first_list;
use crate::list::ListBody;
use crate::store::Store;

impl Driver {
    /// What another process knew, with what is in the journal that it gave up.
    pub(super) fn go_on(&mut self, state: HandoverState) -> Vec<Event> {
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
        self.directory.restore(endpoints, ids, given);
        (self.index, self.next_message) = (index, next_message);
        if let Store::Part(part) = &mut self.journal {
            part.number_from(next_message);
        }
        for (message, attempt, endpoint) in out {
            if let (Some(member), Some(destination)) =
                (&mut self.member, self.directory.destination(endpoint))
            {
                member.began_before((message.0, attempt), destination, endpoint);
            }
        }
        self.attempts = attempts.into_iter().collect();
        let requests: HashMap<u32, u64> =
            held.iter().map(|(_, number, request)| (*number, *request)).collect();
        let mut kept = BTreeSet::new();
        for (number, live) in self.journal.live().iter() {
            let request = requests.get(number).copied().unwrap_or(0);
            self.held.insert(live.message.id.clone(), (*number, request));
            match live.abandoned {
                Some(how) => self.unsaid.push((*number, how, live.message.id.clone())),
                None => drop(kept.insert(*number)),
            }
        }
        // Guards against a module and a journal that don't agree: the journal is what binds.
        let of_module = self.policy.messages();
        let mut said: Vec<_> =
            of_module.iter().filter(|id| !kept.contains(&id.0)).map(|id| Event::Withdrawn(*id)).collect();
        for number in kept {
            if self.policy.holds(MessageId(number)) {
                continue;
            }
            let Some(live) = self.journal.live().get(&number).cloned() else { continue };
            said.extend(self.resumed(number, &live, false));
        }
        said
    }

    /// Whether another process may take over now: all that is said is written, and nothing is left of the one before.
    pub(super) fn may_hand_over(&self) -> bool {
        let written = self.unwritten.is_empty() && self.unsaid.is_empty() && self.fresh.is_empty();
        let alone = self.before.as_ref().is_none_or(|before| before.is_gone());
        written && alone && !self.directory.is_behind() && self.has_all()
    }

    /// All that the journal does not hold.
    pub(super) fn state(&self, requests: u64) -> Result<HandoverState, String> {
        let (endpoints, ids, given) = self.directory.save();
        let held = self.held.iter().map(|(id, (number, request))| (id.clone(), *number, *request));
        let waits = self.policy.waits().into_iter();
        let (next_message, out) = match &self.journal {
            Store::Whole(_) => {
                let outs = self
                    .directory
                    .carriers()
                    .iter()
                    .flat_map(|carrier| carrier.outstanding_attempts())
                    .collect();
                (self.next_message, outs)
            }
            // Those on connections of other cores too.
            Store::Part(part) => (part.next_number(), self.policy.out()),
        };
        let standby = match *self.door.borrow() {
            AdmissionGate::Standby(since) => Some(since),
            _ => None,
        };
        Ok(HandoverState {
            stopped_at: self.clock.now(),
            names: self.directory.names(),
            policy: self.policy.state().map_err(|e| e.to_string())?.into(),
            endpoints,
            ids,
            ids_assigned: given,
            index: self.index,
            messages: held.collect(),
            attempts: self.attempts.iter().map(|(number, count)| (*number, *count)).collect(),
            next_message,
            requests,
            attempts_in_flight: out,
            waits: waits.map(|(id, until)| (self.directory.name(id).to_string(), until)).collect(),
            standby,
        })
    }

    /// The list as last known, what an earlier process learnt, and what it left in the journal. Tells the version to watch the
    /// list from, if the whole of it need not be asked for.
    pub(super) fn start(
        &mut self,
        known: ListBody,
        set_back: bool,
        waits: Vec<(String, Micros)>,
        belief: &mut RestoredState,
    ) -> (Vec<Event>, Option<u64>) {
        let now = self.at;
        let (list, from) = first_list(known, belief);
        self.index = list.index;
        self.list_seen = (now + belief.list.good_for).saturating_sub(LIST_TRUST_SPAN);
        let mut said = vec![self.listed(&ListBody { snapshot: true, ..list })];
        said.extend(self.recall(belief));
        // A wait that the process before was told binds this one too.
        for (name, until) in waits {
            let endpoint = self.directory.listed_id(&name).filter(|_| until > now);
            said.extend(endpoint.map(|endpoint| Event::RetryAfter { endpoint, wait: until - now }));
        }
        let mut live: Vec<(u32, PendingMessage)> =
            self.journal.live().iter().map(|(n, l)| (*n, l.clone())).collect();
        live.sort_unstable_by_key(|live| live.0);
        for (number, live) in live {
            self.held.insert(live.message.id.clone(), (number, NO_REQUEST));
            let untried = live.abandoned.is_none() && live.attempts.is_empty();
            if untried {
                self.untried.resumed(number);
            }
            if live.abandoned.is_none()
                && let Some(event) = self.resumed(number, &live, set_back)
            {
                said.push(event);
                continue;
            }
            let given_up = match live.abandoned {
                Some(how) => how,
                // Its class is not one of the settings' any more, so that the module can't judge it.
                None if !live.may_have_run() => Abandonment::Deferred(0),
                None => Abandonment::Undeliverable,
            };
            self.untried.ended(number, Without::Unknown);
            self.unwritten.push(Record::Abandoned(number, given_up));
            self.unsaid.push((number, given_up, live.message.id.clone()));
        }
        (said, from)
    }

    /// A message that an earlier process took on, as the journal has it; none where its class is not one of the
    /// settings' any more.
    fn resumed(&mut self, number: u32, live: &PendingMessage, set_back: bool) -> Option<Event> {
        let now = self.at;
        let class = self.directory.class(&live.message.class)?;
        // Guards against a repeat outside the time for which it would be dropped: an age that is not known is beyond
        // any such time.
        let ago = |at: Micros| if set_back { now } else { now.saturating_sub(at) };
        let ran = live.attempts.iter().filter(|attempt| !attempt.never_ran);
        let may_have_run =
            ran.map(|attempt| (ago(attempt.at), self.directory.id_of_attempt(&attempt.endpoint))).collect();
        let attempts = live.attempts.last().map_or(0, |last| last.number + 1);
        self.attempts.insert(number, attempts);
        let message = message(number, class, &live.message, now);
        let effect = self.meanings.get(&*live.message.class).copied();
        Some(Event::Recovered { message, attempts: attempts.into(), may_have_run, idempotency: effect })
    }
}
