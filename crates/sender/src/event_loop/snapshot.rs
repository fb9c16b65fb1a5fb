//! The health snapshot: what the event loop restores from it, and what it writes to it.

use decision::interface::{DestinationId, EndpointId, Event, Outcome};
use health_snapshot::restore::RestoredState;

use super::EventLoop;
use crate::persistence::snapshot::SnapshotSource;

impl EventLoop {
    /// The events that restore an earlier process's snapshot; they follow the endpoint list.
    pub(super) fn restore_snapshot(&self, belief: &RestoredState) -> Vec<Event> {
        belief.warnings.iter().for_each(|told| eprintln!("known: {told}"));
        let mut events: Vec<_> = belief
            .routes
            .iter()
            .map(|believed| {
                let destination = DestinationId(believed.destination);
                // One that is not listed leaves its Retry-After to the destination, under an id that no list
                // has.
                let unlisted = EndpointId([u8::MAX; 6]);
                let id = |name: &String| self.directory.listed_id(name).unwrap_or(unlisted);
                let route = (destination, believed.endpoint.as_ref().map(id));
                Event::SnapshotRestored { route, snapshot: believed.snapshot }
            })
            .collect();
        events.extend(belief.incomplete.then_some(Event::SnapshotLost));
        events
    }

    /// Marks the destinations whose health these events may change, before the module decides.
    pub(super) fn record_observations(&mut self, events: &[Event]) {
        if self.snapshot_store.is_none() {
            return;
        }
        let now = self.clock.now();
        for event in events {
            let (endpoint, pressing) = match event {
                Event::AttemptCompleted { endpoint, outcome, .. } => {
                    (endpoint, matches!(outcome, Outcome::Rejected(Some(_))))
                }
                Event::RetryAfter { endpoint, .. } => (endpoint, true),
                Event::HealthChecked { endpoint, .. } => (endpoint, false),
                Event::DiscoveryFailed => {
                    self.list_is_current = false;
                    continue;
                }
                _ => continue,
            };
            let Some(destination) = self.directory.destination(*endpoint) else { continue };
            match (pressing, &mut self.snapshot_store) {
                (true, Some(memory)) => memory.mark_urgent(destination, false, now),
                _ => self.touched_destinations.push(destination),
            }
        }
        for destination in self.directory.take_changed() {
            self.snapshot_store.iter_mut().for_each(|memory| memory.mark_urgent(destination, true, now));
        }
        if self.list_is_current {
            self.list_confirmed_at = now;
        }
    }

    /// Marks the destination of a call: calls to a cold one count for the next process.
    pub(super) fn record_call(&mut self, endpoint: EndpointId) {
        if self.snapshot_store.is_some() {
            self.touched_destinations.extend(self.directory.destination(endpoint));
        }
    }

    /// Writes what is due of the snapshot, after answers, calls and the journal.
    pub(super) fn write_snapshot(&mut self) {
        let Some(memory) = &mut self.snapshot_store else { return };
        let now = self.clock.now();
        self.touched_destinations.sort_unstable();
        self.touched_destinations.dedup();
        self.touched_destinations.drain(..).for_each(|destination| memory.mark_touched(destination, now));
        // A list that is applied in part has no version.
        if self.directory.has_pending() {
            return;
        }
        let list = (self.list_version, self.list_confirmed_at);
        let view = SnapshotSource { policy: &self.policy, directory: &self.directory, list, now };
        memory.write_slice(self.journal.free_reserved_bytes(), &view);
        self.journal.set_reserved_bytes(memory.used());
    }

    /// Releases the snapshot's disk space for the journal, which goes first. Returns whether there was any.
    pub(super) fn release_snapshot_space(&mut self) -> bool {
        let Some(memory) = self.snapshot_store.as_mut().filter(|memory| memory.used() > 0) else {
            return false;
        };
        memory.release(self.clock.now());
        self.journal.set_reserved_bytes(memory.used());
        true
    }
}
