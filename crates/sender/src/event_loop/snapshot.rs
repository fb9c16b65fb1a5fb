//! Restores the health snapshot at startup, and writes it as the event loop runs.

use decision::interface::{DestinationId, EndpointId, Event, Outcome};
use health_snapshot::restore::RestoredState;

use super::EventLoop;
use crate::persistence::snapshot::SnapshotSource;

impl EventLoop {
    /// Returns the events that restore an earlier process's snapshot. They come after the endpoint list.
    pub(super) fn restore_snapshot(&self, restored: &RestoredState) -> Vec<Event> {
        restored.warnings.iter().for_each(|warning| eprintln!("health snapshot: {warning}"));
        let mut events: Vec<_> = restored
            .routes
            .iter()
            .map(|restored_route| {
                let destination = DestinationId(restored_route.destination);
                // The Retry-After of an endpoint that is not listed still applies to its destination, under an id that
                // no list has.
                let unlisted = EndpointId([u8::MAX; 6]);
                let id = |name: &String| self.directory.listed_id(name).unwrap_or(unlisted);
                let route = (destination, restored_route.endpoint.as_ref().map(id));
                Event::SnapshotRestored { route, snapshot: restored_route.snapshot }
            })
            .collect();
        events.extend(restored.incomplete.then_some(Event::SnapshotLost));
        events
    }

    /// Marks the destinations whose health these events may change, before the decision module handles them.
    pub(super) fn record_observations(&mut self, events: &[Event]) {
        if self.snapshot_store.is_none() {
            return;
        }
        let now = self.clock.now();
        for event in events {
            let (endpoint, urgent) = match event {
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
            match (urgent, &mut self.snapshot_store) {
                (true, Some(store)) => store.mark_urgent(destination, false, now),
                _ => self.touched_destinations.push(destination),
            }
        }
        for destination in self.directory.take_changed() {
            self.snapshot_store.iter_mut().for_each(|store| store.mark_urgent(destination, true, now));
        }
        if self.list_is_current {
            self.list_confirmed_at = now;
        }
    }

    /// Marks the destination of a call as changed: the snapshot stores the recent calls to a destination, by which the
    /// next process limits its own while the destination recovers from an outage.
    pub(super) fn record_call(&mut self, endpoint: EndpointId) {
        if self.snapshot_store.is_some() {
            self.touched_destinations.extend(self.directory.destination(endpoint));
        }
    }

    /// Writes the part of the snapshot that is due, after answers, calls and the journal.
    pub(super) fn write_snapshot(&mut self) {
        let Some(store) = &mut self.snapshot_store else { return };
        let now = self.clock.now();
        self.touched_destinations.sort_unstable();
        self.touched_destinations.dedup();
        self.touched_destinations.drain(..).for_each(|destination| store.mark_changed(destination, now));
        // While a list is applied in part, there is no version to record.
        if self.directory.has_pending() {
            return;
        }
        let list = (self.list_version, self.list_confirmed_at);
        let source = SnapshotSource { policy: &self.policy, directory: &self.directory, list, now };
        store.write_slice(self.journal.free_reserved_bytes(), &source);
        self.journal.set_reserved_bytes(store.used());
    }

    /// Releases the snapshot's disk space to the journal, which takes precedence. Returns whether there was any.
    pub(super) fn release_snapshot_space(&mut self) -> bool {
        let Some(store) = self.snapshot_store.as_mut().filter(|store| store.used() > 0) else {
            return false;
        };
        store.release(self.clock.now());
        self.journal.set_reserved_bytes(store.used());
        true
    }
}
