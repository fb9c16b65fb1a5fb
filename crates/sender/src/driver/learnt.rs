//! What was learnt of partners, between the module and what is kept of it.

use decision::interface::*;
use health_snapshot::restore::RestoredState;

use super::Driver;
use crate::known::View;

impl Driver {
    /// What an earlier process learnt, as far as it is believed: to be told behind the list.
    pub(super) fn recall(&self, belief: &RestoredState) -> Vec<Event> {
        belief.warnings.iter().for_each(|told| eprintln!("known: {told}"));
        let mut said: Vec<_> = belief
            .routes
            .iter()
            .map(|believed| {
                let destination = DestinationId(believed.destination);
                // One that is not listed leaves its wait to the destination, under an id that no list has.
                let unlisted = EndpointId([u8::MAX; 6]);
                let id = |name: &String| self.directory.listed_id(name).unwrap_or(unlisted);
                let route = (destination, believed.endpoint.as_ref().map(id));
                Event::SnapshotRestored { route, snapshot: believed.snapshot }
            })
            .collect();
        said.extend(belief.incomplete.then_some(Event::SnapshotLost));
        said
    }

    /// Notes what a turn may have taught, before the module decides.
    pub(super) fn note_learning(&mut self, said: &[Event]) {
        if self.memory.is_none() {
            return;
        }
        let now = self.clock.now();
        for event in said {
            let (endpoint, pressing) = match event {
                Event::AttemptCompleted { endpoint, outcome, .. } => {
                    (endpoint, matches!(outcome, Outcome::Rejected(Some(_))))
                }
                Event::RetryAfter { endpoint, .. } => (endpoint, true),
                Event::HealthChecked { endpoint, .. } => (endpoint, false),
                Event::DiscoveryFailed => {
                    self.list_is_good = false;
                    continue;
                }
                _ => continue,
            };
            let Some(destination) = self.directory.destination(*endpoint) else { continue };
            match (pressing, &mut self.memory) {
                (true, Some(memory)) => memory.pressing(destination, false, now),
                _ => self.touched.push(destination),
            }
        }
        for destination in self.directory.take_changed() {
            self.memory.iter_mut().for_each(|memory| memory.pressing(destination, true, now));
        }
        if self.list_is_good {
            self.list_seen = now;
        }
    }

    /// A call goes to an endpoint: what goes to a cold partner is known to the next process.
    pub(super) fn note_call(&mut self, endpoint: EndpointId) {
        if self.memory.is_some() {
            self.touched.extend(self.directory.destination(endpoint));
        }
    }

    /// Writes what is due of what is known, once answers and calls are out and the journal had its turn.
    pub(super) fn keep_known(&mut self) {
        let Some(memory) = &mut self.memory else { return };
        let now = self.clock.now();
        self.touched.sort_unstable();
        self.touched.dedup();
        self.touched.drain(..).for_each(|destination| memory.touched(destination, now));
        // A list that is half taken in has no version.
        if self.directory.is_behind() {
            return;
        }
        let list = (self.index, self.list_seen);
        let view = View { policy: &self.policy, directory: &self.directory, list, now };
        memory.slice(self.journal.room_beside(), &view);
        self.journal.set_beside(memory.used());
    }

    /// Guards what is owed to messages: what is known makes room for it. Tells whether there was any to make.
    pub(super) fn give_room_back(&mut self) -> bool {
        let Some(memory) = self.memory.as_mut().filter(|memory| memory.used() > 0) else { return false };
        memory.give_back(self.clock.now());
        self.journal.set_beside(memory.used());
        true
    }
}
