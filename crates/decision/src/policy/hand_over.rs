//! What one process of a sender hands to the next while both run. Nothing is decided here: the next one goes on as this
//! one would have.

use std::fmt;

use super::Policy;
use crate::interface::{DestinationId, EndpointId, MessageId, Micros, RouteId, RouteSnapshot, Settings};

/// Another version's state that can't be read: go on as after a kill, with the journal alone.
#[derive(Debug)]
pub struct UnreadableState(rmp_serde::decode::Error);

impl fmt::Display for UnreadableState {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "the state of the process before can't be read: {}", self.0)
    }
}

impl std::error::Error for UnreadableState {}

impl Policy {
    /// All that it knows, fields by their names, so that another version reads what it has in common.
    ///
    /// # Errors
    /// Fails when there is no memory for it.
    pub fn state(&self) -> Result<Vec<u8>, rmp_serde::encode::Error> {
        rmp_serde::to_vec_named(self)
    }

    /// Goes on where another process is, under settings of its own; an end that was announced there is not here.
    ///
    /// # Errors
    /// Fails when the state is none, or another version's.
    pub fn from_state(
        state: &[u8],
        settings: Settings,
        seed: u64,
        now: Micros,
    ) -> Result<Self, UnreadableState> {
        let mut policy: Self = rmp_serde::from_slice(state).map_err(UnreadableState)?;
        policy.routes.reconfigure(&settings);
        policy
            .activations
            .reconfigure(settings.idle.map(|dormant| dormant.activations_per_second), settings.max_calls / 2);
        policy.gossip = settings.gossip.map(|law| gossip::Gossip::new(law, seed, now));
        let effects: Vec<_> = settings.classes.iter().map(|class| class.idempotency).collect();
        policy.messages.bind_idempotency(&effects);
        policy.settings = settings;
        policy.rng = fastrand::Rng::with_seed(seed);
        policy.now = policy.now.max(now);
        policy.timer = None;
        policy.messages.queues.recount();
        policy.repeat_boundaries.clear();
        if policy.shutdown_at.take().is_some() {
            policy.messages.queues.touch_all();
        }
        Ok(policy)
    }

    /// Whether it holds a message.
    pub fn holds(&self, message: MessageId) -> bool {
        self.messages.get(&message).is_some()
    }

    /// The messages that it holds, in order.
    pub fn messages(&self) -> Vec<MessageId> {
        let mut messages: Vec<_> = self.messages.ids().collect();
        messages.sort_unstable();
        messages
    }

    /// Destinations of which anything was learnt.
    pub fn observed_destinations(&self) -> Vec<DestinationId> {
        self.routes.observed_destinations().into_iter().collect()
    }

    /// What was learnt of a destination's routes, awake or not, as [`Event::SnapshotRestored`](crate::interface::Event::SnapshotRestored) tells it to another process.
    pub fn route_snapshots(&self, destination: DestinationId) -> Vec<(RouteId, RouteSnapshot)> {
        self.routes.snapshots(destination, &self.endpoints, self.now)
    }

    /// Endpoints of a destination, as lists named them.
    pub fn endpoints(&self, destination: DestinationId) -> Vec<EndpointId> {
        self.endpoints.of(destination).map(|(id, _)| id).collect()
    }

    /// Endpoints of destinations that told a wait which still runs, and until when.
    pub fn waits(&self) -> Vec<(EndpointId, Micros)> {
        let listed = self.endpoints.in_list().filter_map(|(id, _)| {
            let route = self.routes.get(&self.endpoints.route(id)?)?;
            Some((id, route.wait_until()))
        });
        listed.filter(|(_, until)| *until > self.now).collect()
    }
}
