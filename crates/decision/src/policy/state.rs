//! The state of a sender, and its order of work in an iteration. No decisions are made here.

use std::collections::BTreeSet;

use gossip::Gossip;
use idle_destinations::ActivationLimiter;
use serde::{Deserialize, Serialize};

use super::initial_idle_limit;
use crate::call_table::CallTable;
use crate::endpoints::Endpoints;
use crate::estimate::{AbandonmentAge, DecayingRate};
use crate::health::RouteHealth;
use crate::interface::{Action, DestinationId, EndpointId, Event, Micros, RouteId, Settings};
use crate::message_table::MessageTable;
use crate::ordering::OrderingLanes;
use crate::route_table::RouteTable;

/// The decision logic of one sender, with all of its state.
#[derive(Serialize, Deserialize)]
pub struct Policy {
    pub(super) settings: Settings,
    #[serde(skip)]
    pub(super) rng: fastrand::Rng,
    pub(super) now: Micros,
    pub(super) endpoints: Endpoints,
    pub(super) routes: RouteTable,
    /// Limits how many destinations may be activated at a time.
    #[serde(rename = "waking")]
    pub(super) activations: ActivationLimiter<RouteId>,
    #[serde(rename = "book")]
    pub(super) messages: MessageTable,
    pub(super) calls: CallTable,
    #[serde(rename = "lines")]
    pub(super) lanes: OrderingLanes,
    pub(super) seed: u64,
    /// When to request the endpoint list next, where it has to be polled.
    #[serde(rename = "ask_at")]
    pub(super) poll_at: Option<Micros>,
    /// When the last requested timer fires.
    #[serde(rename = "reminder")]
    pub(super) timer: Option<Micros>,
    /// Idle connections to an endpoint are closed after use if its calls are further apart than this.
    #[serde(rename = "keep")]
    pub(super) idle_connection_limit: Micros,
    /// The age from which messages are assumed to be abandoned by their clients.
    #[serde(rename = "given_up_from")]
    pub(super) abandonment_age: AbandonmentAge,
    /// The abandonment age, and which tenants exceeded their quota, when destinations waiting for a slot were
    /// last sorted.
    #[serde(rename = "sorted_for")]
    pub(super) sorted_under: (Micros, Vec<bool>),
    /// Smoothed share of reused connections that were lost under the call that reused them.
    #[serde(rename = "kept_lost")]
    pub(super) reuse_loss_rate: f64,
    /// When this process ends, once its shutdown is announced.
    #[serde(rename = "stop_at")]
    pub(super) shutdown_at: Option<Micros>,
    /// For each idempotency window, the earliest time at which a message's first attempt can be sent so that
    /// the next process may still repeat it. Such an attempt need not end before this process does.
    #[serde(rename = "unbound")]
    pub(super) repeat_boundaries: BTreeSet<Micros>,
    /// Recent messages per second from each tenant at this sender.
    pub(super) tenants: Vec<DecayingRate>,
    /// What senders share by gossip. A successor starts without it and receives it from the other senders.
    #[serde(skip)]
    #[serde(rename = "shared")]
    pub(super) gossip: Option<Gossip>,
    /// When the next warning about rejected gossip messages may be logged.
    #[serde(skip)]
    #[serde(rename = "complain_at")]
    pub(super) next_gossip_warning_at: Micros,
}

impl Policy {
    /// Applies all events of an iteration, then makes all decisions once. Each step is in a file of its own.
    pub fn handle(&mut self, now: Micros, events: &[Event], actions: &mut Vec<Action>) {
        self.apply_events(now, events, actions);
        self.apply_gossip(now);
        self.settle(actions);
        self.shed(actions);
        self.dispatch(actions);
        self.close_idle(events, actions);
        self.routes.retire_idle(now, |destination| self.messages.queues.count(destination) > 0);
        self.publish_gossip(now, actions);
        self.set_timer(actions);
    }

    /// Creates a sender with no state but its settings.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Self {
        Self {
            gossip: settings.gossip.map(|config| Gossip::new(config, seed, now)),
            next_gossip_warning_at: 0,
            routes: RouteTable::new(&settings, now),
            activations: ActivationLimiter::new(
                settings.idle.map(|idle| idle.activations_per_second),
                settings.max_calls / 2,
                now,
            ),
            poll_at: settings.polling_only.then_some(now),
            tenants: vec![DecayingRate { per_second: 0.0, as_of: now }; settings.tenants.len()],
            idle_connection_limit: initial_idle_limit(&settings),
            abandonment_age: AbandonmentAge(Micros::MAX),
            sorted_under: (Micros::MAX, vec![]),
            reuse_loss_rate: 0.0,
            settings,
            rng: fastrand::Rng::with_seed(seed),
            now,
            endpoints: Endpoints::default(),
            messages: MessageTable::default(),
            calls: CallTable::default(),
            lanes: OrderingLanes::default(),
            seed,
            timer: None,
            shutdown_at: None,
            repeat_boundaries: BTreeSet::new(),
        }
    }

    /// Returns the ready endpoints of a destination with the health of their routes.
    pub(super) fn ready_routes(
        &self,
        destination: DestinationId,
    ) -> impl Iterator<Item = (EndpointId, &RouteHealth)> {
        self.endpoints.of(destination).filter(|(_, e)| e.ready).filter_map(|(id, _)| {
            let route = self.endpoints.route(id)?;
            Some((id, self.routes.get(&route)?))
        })
    }

    /// Returns when the first trial call is due at any of a destination's endpoints; 0 if one of them needs
    /// no trial.
    pub(super) fn first_trial_at(&self, destination: DestinationId) -> Micros {
        self.ready_routes(destination).map(|(_, r)| r.trial_at()).min().unwrap_or(0)
    }
}
