//! Every decision of a sender. The types, events and actions it works with are in `src/interface.rs`.
//! A three-state breaker per destination decides the ordinary path of every message. All sends pass
//! `Policy::dispatch` and `Policy::admit`; all final answers pass `Policy::answer`.

use std::collections::BTreeMap;

use crate::health::{FEW_SENDERS, MAX_SILENT, RESET_TIMEOUT};
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

/// What may not be repeated at will keeps its last byte back so long: longer than the way there and back.
const LAST_BYTE_DELAY: Micros = 5_000;
/// Share of kept connections lost under a further call, of the latest [`KEPT_SEEN`] or so, from which on what
/// must not run twice gets new ones. One loss is enough for the next thirty.
const REUSE_LOSS_LIMIT: f64 = 0.01;
const REUSE_SAMPLES: f64 = 64.0;

/// Places for connections that come free a second, where a table was full.
const SLOTS_FREED_PER_SECOND: f64 = 2.0;
/// Rest before an endpoint that had no place for a connection; twice as long with each further time.
const CONNECTION_BACKOFF: Micros = 80_000;

/// From the end of a process until the next one repeats what was out, connection and all.
const RESTART: Micros = 2_000_000;

impl Policy {
    /// Guards the memory of a sender that can't forget: what sleeps has to make room first.
    pub(super) fn message_accepted(&mut self, message: &Message, actions: &mut Vec<Action>) {
        match self.routes.capacity_wait(message.destination, self.now) {
            Some(again) => self.answer(message.id, again.max(RESET_TIMEOUT), actions),
            None => self.routes.activate(message.destination, &self.endpoints, self.now),
        }
    }

    /// Guards what must not run twice against connections that are closed while they stand idle
    /// and lost with the next request, whoever closes them. It hurts where handshakes are dear, or
    /// where new connections are lost as often.
    pub(super) fn needs_new_connection(&self, effect: Idempotency) -> bool {
        effect == Idempotency::NonIdempotent && self.reuse_loss_rate > REUSE_LOSS_LIMIT
    }

    /// Opens the breakers of destinations with several calls out that are silent.
    pub(super) fn open_silent(&mut self) {
        let (now, aim) = (self.now, self.settings.shortest_latency_objective());
        let mut silent: BTreeMap<RouteId, u32> = BTreeMap::new();
        for (id, sent) in self.calls.unanswered() {
            if self.routes.get(&id).is_some_and(|route| route.is_silent(sent, aim, now)) {
                *silent.entry(id).or_default() += 1;
            }
        }
        for (id, count) in silent {
            let Some(route) = self.routes.get_mut(&id) else { continue };
            if route.is_breaker_closed() && count >= MAX_SILENT {
                route.open_breaker(now, aim);
                self.messages.queues.touch(id.0);
            }
        }
    }

    /// Guards an endpoint's table of connections: no more than had places there go at once, and one
    /// that found none comes again by chance, ever more seldom, unless the other endpoint takes it. It
    /// costs time where places are free again at once.
    pub(super) fn connection_rejected(&mut self, id: EndpointId, luck: f64) {
        let Some(endpoint) = self.endpoints.get_mut(&id) else { return };
        endpoint.connection_slots.record_rejection(endpoint.in_flight, self.now);
        if endpoint.in_flight == 0 {
            let rest = CONNECTION_BACKOFF << endpoint.connection_rejections.min(4);
            endpoint.backoff_until = self.now + rest / 2 + (rest as f64 * luck) as Micros;
            endpoint.connection_rejections += 1;
        }
    }

    /// Guards the rule on effects: whether a further attempt at this endpoint can do no harm.
    fn repeat_allowed(&self, held: &PendingMessage, endpoint: EndpointId) -> bool {
        let Some(first) = held.may_have_run.iter().min_by_key(|a| a.1) else { return true };
        match held.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => false,
            Idempotency::Keyed { scope: group, window } => {
                let margin = arrival_margin(&self.settings, window);
                let zone = |e: EndpointId| self.endpoints.get(&e).map(|e| e.zone);
                self.now + margin < first.1 + window
                    && held.may_have_run.iter().all(|a| match group {
                        IdempotencyScope::All => true,
                        IdempotencyScope::Zone => zone(a.2) == zone(endpoint),
                        IdempotencyScope::Endpoint => a.2 == endpoint,
                    })
            }
        }
    }
}

/// Guards endpoints' tables of connections against the idle ones of many senders: the more there are, the
/// sooner each connection must be used again to be kept. It costs handshakes where the tables are large.
fn initial_idle_limit(settings: &Settings) -> Micros {
    let (few, senders) = (FEW_SENDERS as Micros, settings.senders as Micros);
    if senders > few { settings.idle_timeout / senders * few } else { settings.idle_timeout }
}

/// A repeat must get there, connection and all, while its key is remembered. A connection may take
/// longer than that: [`way`] bounds when its bytes leave.
fn arrival_margin(settings: &Settings, window: Micros) -> Micros {
    settings.connect_timeout.min(window / 4)
}

/// The way there alone, once the connection is up.
fn send_margin(settings: &Settings, window: Micros) -> Micros {
    arrival_margin(settings, window) / 4
}
