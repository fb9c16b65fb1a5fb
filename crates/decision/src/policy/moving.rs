//! A destination that another module of the same process goes on with: all that is known of it, held for it and out to it,
//! as one value. Nothing is decided here; the other one goes on as this one would have.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::Policy;
use crate::book::Held;
use crate::calls::Moved;
use crate::endpoints::Endpoint;
use crate::health::RouteHealth;
use crate::interface::*;

/// All that a module knew of a destination. It is in one place at a time: parted from one module, joined to another.
#[must_use = "what is held for the destination is lost with it"]
#[derive(Debug, Serialize, Deserialize)]
pub struct Parcel {
    destination: DestinationId,
    /// When it was parted, on the clock of the events.
    at: Micros,
    messages: Vec<Held>,
    routes: Vec<(RouteId, RouteHealth)>,
    asleep: Vec<(RouteId, RouteSnapshot)>,
    endpoints: Vec<(EndpointId, Endpoint)>,
    calls: Vec<Moved>,
}

/// Why a destination stays where it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stays {
    /// Messages are kept in order by keys here, and a key may have messages of several destinations.
    Ordered,
    /// The process ends.
    Stopping,
}

impl std::fmt::Display for Stays {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str(match self {
            Self::Ordered => "messages with keys are held in order here",
            Self::Stopping => "the process ends",
        })
    }
}

impl Parcel {
    /// Whose it is.
    pub fn destination(&self) -> DestinationId {
        self.destination
    }

    /// Messages that are held for it.
    pub fn messages(&self) -> impl Iterator<Item = MessageId> {
        self.messages.iter().map(|held| held.message.id)
    }

    /// Attempts that are out.
    pub fn out(&self) -> impl Iterator<Item = (MessageId, u16, EndpointId)> {
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
        let asleep = self.asleep.iter().filter_map(|route| route.0.1);
        let calls = self.calls.iter().map(|moved| moved.call.endpoint);
        let known = self.endpoints.iter().map(|endpoint| endpoint.0);
        tried.chain(routes).chain(asleep).chain(calls).chain(known).collect()
    }

    /// Calls endpoints by other ids, where the other module knows them by others. It must be told of each that
    /// [`Parcel::endpoints`] names.
    pub fn rename(mut self, ids: &BTreeMap<EndpointId, EndpointId>) -> Self {
        let name = |id: &mut EndpointId| *id = ids.get(id).copied().unwrap_or(*id);
        let route = |id: &mut RouteId| id.1.iter_mut().for_each(name);
        for attempt in self.messages.iter_mut().flat_map(|held| &mut held.may_have_run) {
            name(&mut attempt.2);
        }
        self.routes.iter_mut().for_each(|known| route(&mut known.0));
        self.asleep.iter_mut().for_each(|known| route(&mut known.0));
        self.endpoints.iter_mut().for_each(|known| name(&mut known.0));
        for Moved { call, .. } in &mut self.calls {
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
    pub fn part(&mut self, destination: DestinationId) -> Result<Parcel, Stays> {
        if !self.lines.is_empty() {
            return Err(Stays::Ordered);
        }
        if self.stop_at.is_some() {
            return Err(Stays::Stopping);
        }
        let (routes, asleep) = self.routes.part(destination, &self.endpoints, self.now);
        let mut calls = self.calls.part(destination);
        calls.iter_mut().for_each(|moved| moved.waking = self.waking.call_completed(moved.number));
        Ok(Parcel {
            destination,
            at: self.now,
            messages: self.book.part(destination),
            routes,
            asleep,
            endpoints: self.endpoints.part(destination),
            calls,
        })
    }

    /// Goes on with a destination that another module parted with. What the lists said here of its endpoints holds.
    pub fn join(&mut self, parcel: Parcel) {
        let Parcel { destination, at, messages, routes, asleep, endpoints, calls } = parcel;
        // Guards reckoning with time against what is younger than the last event here.
        self.now = self.now.max(at);
        self.endpoints.join(destination, endpoints);
        self.routes.join(destination, routes, asleep, &self.endpoints, self.now);
        for moved in calls {
            if moved.waking {
                self.waking.call_started(moved.number);
            }
            self.calls.join(moved);
        }
        messages.into_iter().for_each(|held| self.book.join(held));
        self.book.endpoints_changed(destination);
        self.reminder = None;
    }

    /// Attempts that are out, and where.
    pub fn out(&self) -> Vec<(MessageId, u16, EndpointId)> {
        self.calls.out().collect()
    }

    /// Calls that are out.
    pub fn calls_out(&self) -> usize {
        self.calls.len()
    }

    /// Messages that wait for a call.
    pub fn waiting(&self) -> usize {
        self.book.waiting.len()
    }
}
