//! What a sender knows, and how it begins. Nothing is decided here.

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

/// The decisions of one sender.
#[derive(Serialize, Deserialize)]
pub struct Policy {
    pub(super) settings: Settings,
    #[serde(skip)]
    pub(super) rng: fastrand::Rng,
    pub(super) now: Micros,
    pub(super) endpoints: Endpoints,
    pub(super) routes: RouteTable,
    /// Who of those that wake may begin.
    #[serde(rename = "waking")]
    pub(super) activations: ActivationLimiter<RouteId>,
    #[serde(rename = "book")]
    pub(super) messages: MessageTable,
    pub(super) calls: CallTable,
    #[serde(rename = "lines")]
    pub(super) lanes: OrderingLanes,
    pub(super) seed: u64,
    /// When to ask for the list (again).
    #[serde(rename = "ask_at")]
    pub(super) poll_at: Option<Micros>,
    #[serde(rename = "reminder")]
    pub(super) timer: Option<Micros>,
    /// Connections that are used no more often than this are closed after use.
    #[serde(rename = "keep")]
    pub(super) idle_connection_limit: Micros,
    #[serde(rename = "given_up_from")]
    pub(super) abandonment_age: AbandonmentAge,
    /// That, and which tenants were beyond their shares, when what waits for a slot was sorted.
    #[serde(rename = "sorted_for")]
    pub(super) sorted_under: (Micros, Vec<bool>),
    /// Share of kept connections that were lost under a further call, smoothed.
    #[serde(rename = "kept_lost")]
    pub(super) reuse_loss_rate: f64,
    /// When this process ends, once that is known.
    #[serde(rename = "stop_at")]
    pub(super) shutdown_at: Option<Micros>,
    /// From when on the next process may repeat what is first sent then, for each window.
    #[serde(rename = "unbound")]
    pub(super) repeat_boundaries: BTreeSet<Micros>,
    /// Messages a second that each tenant submitted here of late.
    pub(super) tenants: Vec<DecayingRate>,
    /// What is shared with other senders. The next process begins anew with it, and hears it from them.
    #[serde(skip)]
    #[serde(rename = "shared")]
    pub(super) gossip: Option<Gossip>,
    /// When notes that are used for nothing may be told of again.
    #[serde(skip)]
    #[serde(rename = "complain_at")]
    pub(super) next_gossip_warning_at: Micros,
}

impl Policy {
    /// Applies all events of an iteration, then decides once. Each step decides in a file of its own.
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

    /// A sender that knows nothing but its settings.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Self {
        Self {
            gossip: settings.gossip.map(|law| Gossip::new(law, seed, now)),
            next_gossip_warning_at: 0,
            routes: RouteTable::new(&settings, now),
            activations: ActivationLimiter::new(
                settings.idle.map(|d| d.activations_per_second),
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

    /// Endpoints that are listed for a destination, with their routes.
    pub(super) fn usable(
        &self,
        destination: DestinationId,
    ) -> impl Iterator<Item = (EndpointId, &RouteHealth)> {
        self.endpoints.of(destination).filter(|(_, e)| e.ready).filter_map(|(id, _)| {
            let route = self.endpoints.route(id)?;
            Some((id, self.routes.get(&route)?))
        })
    }

    /// When a trial is due at the first of a destination's endpoints; 0 where one takes calls.
    pub(super) fn trial(&self, destination: DestinationId) -> Micros {
        self.usable(destination).map(|(_, r)| r.trial_at()).min().unwrap_or(0)
    }
}
