//! What a sender knows, and how it begins. Nothing is decided here.

use std::collections::BTreeSet;

use gossip::Gossip;
use idle_destinations::ActivationLimiter;
use serde::{Deserialize, Serialize};

use super::first_keep;
use crate::book::Book;
use crate::calls::Calls;
use crate::endpoints::Endpoints;
use crate::estimate::{DecayingRate, GivenUpAge};
use crate::health::RouteHealth;
use crate::interface::{DestinationId, EndpointId, Micros, RouteId, Settings};
use crate::lines::Lines;
use crate::routes::Routes;

/// The decisions of one sender.
#[derive(Serialize, Deserialize)]
pub struct Policy {
    pub(super) settings: Settings,
    #[serde(skip)]
    pub(super) rng: fastrand::Rng,
    pub(super) now: Micros,
    pub(super) endpoints: Endpoints,
    pub(super) routes: Routes,
    /// Who of those that wake may begin.
    pub(super) waking: ActivationLimiter<RouteId>,
    pub(super) book: Book,
    pub(super) calls: Calls,
    pub(super) lines: Lines,
    pub(super) seed: u64,
    /// When to ask for the list (again).
    pub(super) ask_at: Option<Micros>,
    pub(super) reminder: Option<Micros>,
    /// Connections that are used no more often than this are closed after use.
    pub(super) keep: Micros,
    pub(super) given_up_from: GivenUpAge,
    /// That, and which tenants were beyond their shares, when what waits for a slot was sorted.
    pub(super) sorted_for: (Micros, Vec<bool>),
    /// Share of kept connections that were lost under a further call, smoothed.
    pub(super) kept_lost: f64,
    /// When this process ends, once that is known.
    pub(super) stop_at: Option<Micros>,
    /// From when on the next process may repeat what is first sent then, for each window.
    pub(super) unbound: BTreeSet<Micros>,
    /// Messages a second that each tenant submitted here of late.
    pub(super) tenants: Vec<DecayingRate>,
    /// What is shared with other senders. The next process begins anew with it, and hears it from them.
    #[serde(skip)]
    pub(super) shared: Option<Gossip>,
    /// When notes that are used for nothing may be told of again.
    #[serde(skip)]
    pub(super) complain_at: Micros,
}

impl Policy {
    /// A sender that knows nothing but its settings.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Self {
        Self {
            shared: settings.gossip.map(|law| Gossip::new(law, seed, now)),
            complain_at: 0,
            routes: Routes::new(&settings, now),
            waking: ActivationLimiter::new(
                settings.idle.map(|d| d.activations_per_second),
                settings.max_calls / 2,
                now,
            ),
            ask_at: settings.polling_only.then_some(now),
            tenants: vec![DecayingRate { per_second: 0.0, as_of: now }; settings.tenants.len()],
            keep: first_keep(&settings),
            given_up_from: GivenUpAge(Micros::MAX),
            sorted_for: (Micros::MAX, vec![]),
            kept_lost: 0.0,
            settings,
            rng: fastrand::Rng::with_seed(seed),
            now,
            endpoints: Endpoints::default(),
            book: Book::default(),
            calls: Calls::default(),
            lines: Lines::default(),
            seed,
            reminder: None,
            stop_at: None,
            unbound: BTreeSet::new(),
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
