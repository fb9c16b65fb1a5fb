//! Every decision of a sender. Its settings, events and actions are defined in `src/interface.rs`. In normal
//! operation a three-state circuit breaker per destination decides whether a message is sent. All sends pass
//! through `Policy::dispatch` and `Policy::admit`, all final answers through `Policy::answer`.

use std::collections::BTreeMap;

use crate::health::{MAX_RESET_TIMEOUT, MAX_SILENT_CALLS, SMALL_FLEET_SENDERS};
use crate::interface::{
    Action, EndpointId, Idempotency, IdempotencyScope, Message, Micros, RouteId, Settings,
};
use crate::message_table::PendingMessage;

mod admission;
mod answers;
mod candidate;
mod dispatch;
mod events;
mod gossip;
mod hand_over;
mod inspection;
pub mod migration;
mod state;
#[cfg(test)]
mod tests;
mod timers;
mod weights;

pub use state::Policy;

/// Delay before the last byte of a request that is not idempotent is sent. It is longer than a round trip, so
/// that a connection that the other side has closed is noticed before the request is complete.
const LAST_BYTE_DELAY: Micros = 5_000;
/// Loss rate of reused connections above which a non-idempotent message gets a new connection. The rate is
/// averaged over about the last [`REUSE_SAMPLES`] reuses; a single loss keeps it above the limit for the next
/// thirty reuses.
const REUSE_LOSS_LIMIT: f64 = 0.01;
/// Number of reused connections that the loss rate is averaged over.
const REUSE_SAMPLES: f64 = 64.0;

/// Connection slots per second that are assumed to become free at an endpoint whose connection table was
/// full.
const SLOTS_FREED_PER_SECOND: f64 = 2.0;
/// Backoff from an endpoint that rejected a connection while this sender had no other call there; doubled
/// with each further rejection.
const CONNECTION_BACKOFF: Micros = 80_000;

/// Time from the end of a process until the next one repeats the calls that were in flight, including the
/// time to connect.
const RESTART_DURATION: Micros = 2_000_000;

impl Policy {
    /// Activates the destination of an accepted message. Rejects the message if that destination is idle and
    /// the maximum number of destinations is active. This bounds the memory of the sender, which cannot drop
    /// the state of an active destination: one has to become idle first.
    pub(super) fn message_accepted(&mut self, message: &Message, actions: &mut Vec<Action>) {
        match self.routes.capacity_wait(message.destination, self.now) {
            Some(wait) => self.answer(message.id, wait.max(MAX_RESET_TIMEOUT), actions),
            None => self.routes.activate(message.destination, &self.endpoints, self.now),
        }
    }

    /// Returns whether a message must be sent over a new connection: it is non-idempotent and reused
    /// connections are lost too often. A connection that either side, or a proxy, closes while it is idle
    /// is lost with the next request, which then may have run and cannot be repeated. Costs handshakes,
    /// and gains nothing where new connections are lost as often.
    pub(super) fn needs_new_connection(&self, idempotency: Idempotency) -> bool {
        idempotency == Idempotency::NonIdempotent && self.reuse_loss_rate > REUSE_LOSS_LIMIT
    }

    /// Opens the breaker of each route on which at least [`MAX_SILENT_CALLS`] calls in flight are silent,
    /// that is, past their usual latency with no answer to any call since they were sent.
    pub(super) fn open_silent(&mut self) {
        let (now, latency_objective) = (self.now, self.settings.shortest_latency_objective());
        let mut silent: BTreeMap<RouteId, u32> = BTreeMap::new();
        for (id, sent) in self.calls.unanswered() {
            if self.routes.get(&id).is_some_and(|route| route.is_silent(sent, latency_objective, now)) {
                *silent.entry(id).or_default() += 1;
            }
        }
        for (id, count) in silent {
            let Some(route) = self.routes.get_mut(&id) else { continue };
            if route.is_breaker_closed() && count >= MAX_SILENT_CALLS {
                route.open_breaker(now, latency_objective);
                self.messages.queues.touch(id.0);
            }
        }
    }

    /// Records that an endpoint rejected a connection because its connection table is full. From then on this
    /// sender keeps no more calls in flight there than had connection slots, plus [`SLOTS_FREED_PER_SECOND`].
    /// If none of its calls was in flight there, the endpoint gets no call for a random time that doubles
    /// with each rejection, up to four times; another endpoint may take the message meanwhile. Costs time
    /// where slots are free again at once.
    pub(super) fn connection_rejected(&mut self, id: EndpointId, jitter: f64) {
        let Some(endpoint) = self.endpoints.get_mut(&id) else { return };
        endpoint.connection_slots.record_rejection(endpoint.in_flight, self.now);
        if endpoint.in_flight == 0 {
            let backoff = CONNECTION_BACKOFF << endpoint.connection_rejections.min(4);
            endpoint.backoff_until = self.now + backoff / 2 + (backoff as f64 * jitter) as Micros;
            endpoint.connection_rejections += 1;
        }
    }

    /// Returns whether a further attempt at this endpoint is safe: the message cannot take effect twice. A
    /// keyed message may be repeated only at endpoints that know its key, and only if the repeat arrives
    /// within the key's window. Each entry of `may_have_run` is an attempt's number, when it was sent, and
    /// its endpoint.
    fn repeat_allowed(&self, pending: &PendingMessage, endpoint: EndpointId) -> bool {
        let Some(first) = pending.may_have_run.iter().min_by_key(|attempt| attempt.1) else { return true };
        match pending.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => false,
            Idempotency::Keyed { scope, window } => {
                let margin = arrival_margin(&self.settings, window);
                let zone = |e: EndpointId| self.endpoints.get(&e).map(|e| e.zone);
                self.now + margin < first.1 + window
                    && pending.may_have_run.iter().all(|attempt| match scope {
                        IdempotencyScope::All => true,
                        IdempotencyScope::Zone => zone(attempt.2) == zone(endpoint),
                        IdempotencyScope::Endpoint => attempt.2 == endpoint,
                    })
            }
        }
    }
}

/// Returns the initial value of `Policy::idle_connection_limit`. Beyond [`SMALL_FLEET_SENDERS`] senders it is
/// shorter the more there are, so that the idle connections of many senders do not fill the endpoints'
/// connection tables. Costs handshakes where those tables are large.
fn initial_idle_limit(settings: &Settings) -> Micros {
    let (few, senders) = (SMALL_FLEET_SENDERS as Micros, settings.senders as Micros);
    if senders > few { settings.idle_timeout / senders * few } else { settings.idle_timeout }
}

/// Returns the time that a repeat is allowed to take, including the time to connect, to arrive while its key
/// is still remembered. Connecting may take longer than that: [`send_margin`] limits when the last byte may
/// leave.
fn arrival_margin(settings: &Settings, window: Micros) -> Micros {
    settings.connect_timeout.min(window / 4)
}

/// Returns the time that a repeat is allowed to take once the connection is established.
fn send_margin(settings: &Settings, window: Micros) -> Micros {
    arrival_margin(settings, window) / 4
}
