//! Migration of a destination to another instance of the policy in the same process: its health, its pending
//! messages and its calls in flight as one value. No decisions are made here; the other instance decides as
//! this one would have.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::Policy;
use crate::call_table::MigratedCall;
use crate::endpoints::Endpoint;
use crate::health::RouteHealth;
use crate::interface::{DestinationId, EndpointId, MessageId, Micros, RouteId, RouteSnapshot};
use crate::message_table::PendingMessage;

/// The whole state of a destination during its migration. It exists in one place at a time: detached from one
/// instance, then attached to another.
#[must_use = "dropping it loses the destination's pending messages"]
#[derive(Debug, Serialize, Deserialize)]
pub struct MigratedState {
    destination: DestinationId,
    /// When it was detached, on the clock of the events.
    at: Micros,
    messages: Vec<PendingMessage>,
    routes: Vec<(RouteId, RouteHealth)>,
    #[serde(rename = "asleep")]
    idle: Vec<(RouteId, RouteSnapshot)>,
    endpoints: Vec<(EndpointId, Endpoint)>,
    calls: Vec<MigratedCall>,
}

/// Why a destination cannot be migrated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MigrationRefused {
    /// The instance has ordering lanes in use, and one key may have messages for several destinations.
    Ordered,
    /// The process is shutting down.
    ShuttingDown,
}

impl std::fmt::Display for MigrationRefused {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str(match self {
            Self::Ordered => "messages with ordering keys are pending in this module",
            Self::ShuttingDown => "the process is shutting down",
        })
    }
}

impl MigratedState {
    /// Returns the destination that the state belongs to.
    pub fn destination(&self) -> DestinationId {
        self.destination
    }

    /// Returns the pending messages for the destination.
    pub fn messages(&self) -> impl Iterator<Item = MessageId> {
        self.messages.iter().map(|pending| pending.message.id)
    }

    /// Returns the attempts in flight: message, attempt number, endpoint.
    pub fn attempts_in_flight(&self) -> impl Iterator<Item = (MessageId, u16, EndpointId)> {
        self.calls.iter().flat_map(|migrated| {
            migrated.attempts.iter().map(|(message, attempt, _)| (*message, *attempt, migrated.call.endpoint))
        })
    }

    /// Returns the number of calls in flight, each of which needs a slot in the instance that the state is
    /// attached to.
    pub fn calls(&self) -> usize {
        self.calls.len()
    }

    /// Returns all endpoints that the state refers to.
    pub fn endpoints(&self) -> BTreeSet<EndpointId> {
        let tried = self.messages.iter().flat_map(|pending| &pending.may_have_run).map(|attempt| attempt.2);
        let routes = self.routes.iter().filter_map(|route| route.0.1);
        let idle = self.idle.iter().filter_map(|route| route.0.1);
        let calls = self.calls.iter().map(|migrated| migrated.call.endpoint);
        let known = self.endpoints.iter().map(|endpoint| endpoint.0);
        tried.chain(routes).chain(idle).chain(calls).chain(known).collect()
    }

    /// Replaces endpoint ids by those that the other instance uses. `ids` must hold each endpoint that
    /// [`MigratedState::endpoints`] returns and that has another id there.
    pub fn rename(mut self, ids: &BTreeMap<EndpointId, EndpointId>) -> Self {
        let rename_endpoint = |id: &mut EndpointId| *id = ids.get(id).copied().unwrap_or(*id);
        let rename_route = |id: &mut RouteId| id.1.iter_mut().for_each(rename_endpoint);
        for attempt in self.messages.iter_mut().flat_map(|pending| &mut pending.may_have_run) {
            rename_endpoint(&mut attempt.2);
        }
        self.routes.iter_mut().for_each(|known| rename_route(&mut known.0));
        self.idle.iter_mut().for_each(|known| rename_route(&mut known.0));
        self.endpoints.iter_mut().for_each(|known| rename_endpoint(&mut known.0));
        for MigratedCall { call, .. } in &mut self.calls {
            rename_endpoint(&mut call.endpoint);
            rename_route(&mut call.route);
        }
        self
    }
}

impl Policy {
    /// Sets the number that call numbering starts from, so that calls in flight in several instances of a
    /// process have distinct numbers when they are migrated between them. Must be called before the first
    /// event.
    pub fn count_calls_from(&mut self, first: u64) {
        self.calls.count_from(first);
    }

    /// Detaches a destination. From then on this instance sends nothing there, and the outcomes of its calls
    /// have to be passed to the other instance.
    ///
    /// # Errors
    /// Fails if the destination cannot be migrated; nothing has changed then.
    pub fn detach(&mut self, destination: DestinationId) -> Result<MigratedState, MigrationRefused> {
        if !self.lanes.is_empty() {
            return Err(MigrationRefused::Ordered);
        }
        if self.shutdown_at.is_some() {
            return Err(MigrationRefused::ShuttingDown);
        }
        let (routes, idle) = self.routes.detach(destination, &self.endpoints, self.now);
        let mut calls = self.calls.detach(destination);
        calls
            .iter_mut()
            .for_each(|migrated| migrated.activating = self.activations.call_completed(migrated.number));
        Ok(MigratedState {
            destination,
            at: self.now,
            messages: self.messages.detach(destination),
            routes,
            idle,
            endpoints: self.endpoints.detach(destination),
            calls,
        })
    }

    /// Attaches a destination that another instance detached. Its endpoints keep the listing that this
    /// instance was given.
    pub fn attach(&mut self, state: MigratedState) {
        let MigratedState { destination, at, messages, routes, idle, endpoints, calls } = state;
        // The state may be newer than the last event here; time must not run backwards.
        self.now = self.now.max(at);
        self.endpoints.attach(destination, endpoints);
        self.routes.attach(destination, routes, idle, &self.endpoints, self.now);
        for migrated in calls {
            if migrated.activating {
                self.activations.call_started(migrated.number);
            }
            self.calls.attach(migrated);
        }
        messages.into_iter().for_each(|pending| self.messages.attach(pending));
        self.messages.endpoints_changed(destination);
        self.timer = None;
    }

    /// Returns the attempts in flight: message, attempt number, endpoint.
    pub fn attempts_in_flight(&self) -> Vec<(MessageId, u16, EndpointId)> {
        self.calls.attempts_in_flight().collect()
    }

    /// Returns the number of calls in flight.
    pub fn calls_in_flight(&self) -> usize {
        self.calls.len()
    }

    /// Returns the number of messages that wait for a call.
    pub fn queued_messages(&self) -> usize {
        self.messages.queues.len()
    }
}
