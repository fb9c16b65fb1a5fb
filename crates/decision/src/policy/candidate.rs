//! What the guards on a send weigh, why they refuse, and what is kept of a send. Nothing is decided here.

use super::Policy;
use super::admission::BATCHED_WEIGHT;
use crate::dispatch_round::{StartedCalls, Verdict};
use crate::estimate::message_rng;
use crate::health::Tick;
use crate::interface::{DestinationId, EndpointId, Idempotency, MessageId, Micros, RouteId, Settings};

/// A message, and an endpoint that it may go to.
pub(super) struct Candidate {
    pub message: MessageId,
    /// The message's destination.
    pub destination: DestinationId,
    pub endpoint: EndpointId,
    /// The route that leads to the endpoint.
    pub route: RouteId,
    /// Most messages in a call there.
    pub max_batch: usize,
    /// The call of this tick that the message joins.
    pub joined: Option<u64>,
    pub effect: Idempotency,
    /// Its ordering key, where its class goes in order.
    pub key: Option<u64>,
    /// When the first of its attempts was sent that may have run; now if none was.
    pub first_sent: Micros,
    /// When it must be answered.
    pub end: Micros,
    pub latency_objective: Micros,
    /// Priority weight of the message and all that is queued with it.
    pub priority: f64,
    /// Messages queued for the destination.
    pub backlog: f64,
    /// A random draw from 0 to 1.
    pub jitter: f64,
}

impl Candidate {
    /// Weight of the send in slow start.
    pub(super) fn weight(&self) -> f64 {
        if self.joined.is_some() { BATCHED_WEIGHT } else { 1.0 }
    }

    pub(super) fn tick<'a>(&self, settings: &'a Settings, now: Micros) -> Tick<'a> {
        Tick { settings, now, latency_objective: self.latency_objective, jitter: self.jitter }
    }
}

/// Why a message does not go to an endpoint now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Refusal {
    /// The message, the endpoint or its route is gone.
    Unknown,
    /// The message's time or attempts are used up, or one is in flight.
    MessageDone,
    /// A repeat might take effect twice.
    UnsafeRepeat,
    /// An older message with the same key goes first.
    OutOfOrder,
    /// The answer might come after the end of the process.
    ShuttingDown,
    /// The endpoint drains, is gone, or belongs to another destination.
    NotListed,
    /// The endpoint has no place for a connection.
    NoConnection,
    RateLimited,
    /// A Retry-After or our own backoff runs.
    BackingOff,
    SlowStart,
    /// The destination has as many slots as it may.
    DestinationShare,
    /// All slots are taken.
    NoSlot,
    /// Other destinations are activated first.
    Activating,
    BreakerOpen,
}

impl Refusal {
    /// What it means for other messages at the same endpoint.
    pub(super) fn verdict(self) -> Verdict {
        match self {
            Self::MessageDone | Self::UnsafeRepeat | Self::OutOfOrder | Self::ShuttingDown => {
                Verdict::Skipped { slot: false }
            }
            Self::NoSlot => Verdict::NoSlot,
            Self::Unknown | Self::NotListed | Self::NoConnection | Self::RateLimited | Self::BackingOff => {
                Verdict::EndpointClosed
            }
            Self::SlowStart | Self::DestinationShare | Self::Activating | Self::BreakerOpen => {
                Verdict::EndpointClosed
            }
        }
    }
}

impl Policy {
    /// All that the guards weigh, if both the message and the endpoint are known.
    pub(super) fn candidate(
        &self,
        id: MessageId,
        endpoint_id: EndpointId,
        backlog: f64,
        begun: &StartedCalls,
    ) -> Option<Candidate> {
        let (held, endpoint) = (self.messages.get(&id)?, self.endpoints.get(&endpoint_id)?);
        let class = &self.settings.classes[held.message.class];
        Some(Candidate {
            message: id,
            destination: held.message.destination,
            endpoint: endpoint_id,
            route: (endpoint.destination, endpoint.kind.separate_routes.then_some(endpoint_id)),
            max_batch: endpoint.kind.max_batch,
            joined: begun.open(endpoint_id, endpoint.kind.max_batch),
            effect: held.idempotency,
            key: held.message.key.filter(|_| class.in_order),
            first_sent: held.may_have_run.iter().map(|attempt| attempt.1).min().unwrap_or(self.now),
            end: held.end,
            latency_objective: class.latency_objective,
            priority: self.weight_at(held, self.now) * backlog,
            backlog,
            jitter: message_rng(self.seed, self.now, id, endpoint_id).f64(),
        })
    }

    /// Keeps count of an attempt that goes, and of the call that begins with it.
    pub(super) fn track_attempt(&mut self, candidate: &Candidate, begun: &mut StartedCalls) {
        let call = candidate.joined.unwrap_or(self.calls.next());
        if let Some(route) = self.routes.get_mut(&candidate.route) {
            route.record_sent(candidate.weight(), self.now);
        }
        if candidate.joined.is_none() {
            self.track_call(call, candidate);
        }
        begun.record(candidate.endpoint, call);
        if let Some(attempt) = self.messages.attempt_started(candidate.message, self.now, candidate.endpoint)
        {
            if let Some(key) = candidate.key {
                self.lanes.attempt_started(key, candidate.message, attempt);
            }
            self.calls.add_attempt(call, candidate.message, attempt, candidate.key);
        }
    }

    fn track_call(&mut self, call: u64, candidate: &Candidate) {
        if let Some(route) = self.routes.get_mut(&candidate.route) {
            route.call_started(call);
            if route.is_activating() {
                self.activations.call_started(call);
            }
        }
        self.calls.start(candidate.route, candidate.endpoint, self.now);
        if let Some(endpoint) = self.endpoints.get_mut(&candidate.endpoint) {
            endpoint.in_flight += 1;
            (endpoint.call_interval, endpoint.sent_at) = (self.now - endpoint.sent_at, self.now);
        }
    }
}
