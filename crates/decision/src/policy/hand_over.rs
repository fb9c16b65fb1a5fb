//! The state that a process hands over to its successor while both run. No decisions are made here: the
//! successor decides as its predecessor would have.

use std::fmt;

use super::Policy;
use crate::interface::{DestinationId, EndpointId, MessageId, Micros, RouteId, RouteSnapshot, Settings};

/// The state, perhaps of another version, cannot be read; the successor has to start as after a crash, from
/// the journal alone.
#[derive(Debug)]
pub struct UnreadableState(rmp_serde::decode::Error);

impl fmt::Display for UnreadableState {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "cannot read the predecessor's state: {}", self.0)
    }
}

impl std::error::Error for UnreadableState {}

impl Policy {
    /// Serializes the whole state. Fields are stored by name, so that another version can read those that
    /// both have.
    ///
    /// # Errors
    /// Fails when the state cannot be serialized, for lack of memory.
    pub fn state(&self) -> Result<Vec<u8>, rmp_serde::encode::Error> {
        rmp_serde::to_vec_named(self)
    }

    /// Restores the state of a predecessor under this process's own settings. A shutdown announced to the
    /// predecessor does not apply here.
    ///
    /// # Errors
    /// Fails when the data is not a state, or one of an incompatible version.
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
            .reconfigure(settings.idle.map(|idle| idle.activations_per_second), settings.max_calls / 2);
        policy.gossip = settings.gossip.map(|config| gossip::Gossip::new(config, seed, now));
        let idempotency: Vec<_> = settings.classes.iter().map(|class| class.idempotency).collect();
        policy.messages.bind_idempotency(&idempotency);
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

    /// Returns whether a message is pending here.
    pub fn holds(&self, message: MessageId) -> bool {
        self.messages.get(&message).is_some()
    }

    /// Returns the pending messages in ascending order of id.
    pub fn messages(&self) -> Vec<MessageId> {
        let mut messages: Vec<_> = self.messages.ids().collect();
        messages.sort_unstable();
        messages
    }

    /// Returns the destinations whose health has been observed.
    pub fn observed_destinations(&self) -> Vec<DestinationId> {
        self.routes.observed_destinations().into_iter().collect()
    }

    /// Returns the health of a destination's routes, active or idle, in the form that
    /// [`Event::SnapshotRestored`](crate::interface::Event::SnapshotRestored) passes to another process.
    pub fn route_snapshots(&self, destination: DestinationId) -> Vec<(RouteId, RouteSnapshot)> {
        self.routes.snapshots(destination, &self.endpoints, self.now)
    }

    /// Returns the known endpoints of a destination, ready or not.
    pub fn endpoints(&self, destination: DestinationId) -> Vec<EndpointId> {
        self.endpoints.of(destination).map(|(id, _)| id).collect()
    }

    /// Returns the listed endpoints whose route has a wait that has not expired, and when it ends.
    pub fn waits(&self) -> Vec<(EndpointId, Micros)> {
        let listed = self.endpoints.in_list().filter_map(|(id, _)| {
            let route = self.routes.get(&self.endpoints.route(id)?)?;
            Some((id, route.wait_until()))
        });
        listed.filter(|(_, until)| *until > self.now).collect()
    }
}
