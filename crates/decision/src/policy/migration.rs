//! A destination that another module of the same process goes on with: all that is known of it, held for it and out to it,
//! as one value. Nothing is decided here; the other one goes on as this one would have.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::Policy;
use crate::call_table::MigratedCall;
use crate::endpoints::Endpoint;
use crate::health::RouteHealth;
use crate::interface::{DestinationId, EndpointId, MessageId, Micros, RouteId, RouteSnapshot};
use crate::message_table::PendingMessage;

/// All that a module knew of a destination. It is in one place at a time: parted from one module, joined to another.
#[must_use = "what is held for the destination is lost with it"]
#[derive(Debug, Serialize, Deserialize)]
pub struct MigratedState {
    destination: DestinationId,
    /// When it was parted, on the clock of the events.
    at: Micros,
    messages: Vec<PendingMessage>,
    routes: Vec<(RouteId, RouteHealth)>,
    #[serde(rename = "asleep")]
    idle: Vec<(RouteId, RouteSnapshot)>,
    endpoints: Vec<(EndpointId, Endpoint)>,
    calls: Vec<MigratedCall>,
}

/// Why a destination stays where it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MigrationRefused {
    /// Messages are kept in order by keys here, and a key may have messages of several destinations.
    Ordered,
    /// The process ends.
    ShuttingDown,
}

impl std::fmt::Display for MigrationRefused {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str(match self {
            Self::Ordered => "messages with keys are held in order here",
            Self::ShuttingDown => "the process ends",
        })
    }
}

impl MigratedState {
    /// Whose it is.
    pub fn destination(&self) -> DestinationId {
        self.destination
    }

    /// Messages that are held for it.
    pub fn messages(&self) -> impl Iterator<Item = MessageId> {
        self.messages.iter().map(|held| held.message.id)
    }

    /// Attempts that are out.
    pub fn attempts_in_flight(&self) -> impl Iterator<Item = (MessageId, u16, EndpointId)> {
        self.calls.iter().flat_map(|moved| {
            moved.attempts.iter().map(|(message, attempt, _)| (*message, *attempt, moved.call.endpoint))
        })
    }

    /// Calls that are out, each of which needs a slot where it is joined.
    pub fn calls(&self) -> usize {
        self.calls.len()
    }

    /// Endpoints that it names.
    pub fn endpoints(&self) -> BTreeSet<EndpointId> {
        let tried = self.messages.iter().flat_map(|held| &held.may_have_run).map(|attempt| attempt.2);
        let routes = self.routes.iter().filter_map(|route| route.0.1);
        let asleep = self.idle.iter().filter_map(|route| route.0.1);
        let calls = self.calls.iter().map(|moved| moved.call.endpoint);
        let known = self.endpoints.iter().map(|endpoint| endpoint.0);
        tried.chain(routes).chain(asleep).chain(calls).chain(known).collect()
    }

    /// Calls endpoints by other ids, where the other module knows them by others. It must be told of each that
    /// [`MigratedState::endpoints`] names.
    pub fn rename(mut self, ids: &BTreeMap<EndpointId, EndpointId>) -> Self {
        let name = |id: &mut EndpointId| *id = ids.get(id).copied().unwrap_or(*id);
        let route = |id: &mut RouteId| id.1.iter_mut().for_each(name);
        for attempt in self.messages.iter_mut().flat_map(|held| &mut held.may_have_run) {
            name(&mut attempt.2);
        }
        self.routes.iter_mut().for_each(|known| route(&mut known.0));
        self.idle.iter_mut().for_each(|known| route(&mut known.0));
        self.endpoints.iter_mut().for_each(|known| name(&mut known.0));
        for MigratedCall { call, .. } in &mut self.calls {
            name(&mut call.endpoint);
            route(&mut call.route);
        }
        self
    }
}

impl Policy {
    /// Counts calls from there: guards calls that are out in several modules of a process, one of which may come to this
    /// one, against calls under the same numbers. To be told before the first event.
    pub fn count_calls_from(&mut self, first: u64) {
        self.calls.count_from(first);
    }

    /// Parts with a destination. From now on nothing goes there from here, and what ends of it is the other module's to hear.
    ///
    /// # Errors
    /// Fails where it has to stay; then nothing has changed.
    pub fn detach(&mut self, destination: DestinationId) -> Result<MigratedState, MigrationRefused> {
        if !self.lanes.is_empty() {
            return Err(MigrationRefused::Ordered);
        }
        if self.shutdown_at.is_some() {
            return Err(MigrationRefused::ShuttingDown);
        }
        let (routes, asleep) = self.routes.detach(destination, &self.endpoints, self.now);
        let mut calls = self.calls.detach(destination);
        calls.iter_mut().for_each(|moved| moved.activating = self.activations.call_completed(moved.number));
        Ok(MigratedState {
            destination,
            at: self.now,
            messages: self.messages.detach(destination),
            routes,
            idle: asleep,
            endpoints: self.endpoints.detach(destination),
            calls,
        })
    }

    /// Goes on with a destination that another module parted with. What the lists said here of its endpoints holds.
    pub fn attach(&mut self, parcel: MigratedState) {
        let MigratedState { destination, at, messages, routes, idle: asleep, endpoints, calls } = parcel;
        // Guards reckoning with time against what is younger than the last event here.
        self.now = self.now.max(at);
        self.endpoints.attach(destination, endpoints);
        self.routes.attach(destination, routes, asleep, &self.endpoints, self.now);
        for moved in calls {
            if moved.activating {
                self.activations.call_started(moved.number);
            }
            self.calls.attach(moved);
        }
        messages.into_iter().for_each(|held| self.messages.attach(held));
        self.messages.endpoints_changed(destination);
        self.timer = None;
    }

    /// Attempts that are out, and where.
    pub fn attempts_in_flight(&self) -> Vec<(MessageId, u16, EndpointId)> {
        self.calls.attempts_in_flight().collect()
    }

    /// Calls that are out.
    pub fn calls_in_flight(&self) -> usize {
        self.calls.len()
    }

    /// Messages that wait for a call.
    pub fn queued_messages(&self) -> usize {
        self.messages.queues.len()
    }
}
