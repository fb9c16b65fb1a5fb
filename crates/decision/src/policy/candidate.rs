//! The input of the admission checks, their reasons for refusal, and the bookkeeping of a send. No decisions
//! are made here.

use super::Policy;
use super::admission::BATCHED_WEIGHT;
use crate::dispatch_round::{StartedCalls, Verdict};
use crate::estimate::message_rng;
use crate::health::Tick;
use crate::interface::{DestinationId, EndpointId, Idempotency, MessageId, Micros, RouteId, Settings};

/// A message together with an endpoint that it may be sent to.
pub(super) struct Candidate {
    pub message: MessageId,
    /// The message's destination.
    pub destination: DestinationId,
    pub endpoint: EndpointId,
    /// The endpoint's route.
    pub route: RouteId,
    /// Maximum number of messages in one call to the endpoint.
    pub max_batch: usize,
    /// The call, started in this iteration, that the message joins; `None` if it needs a call of its own.
    pub joined: Option<u64>,
    pub idempotency: Idempotency,
    /// Its ordering key, if its class is delivered in order.
    pub key: Option<u64>,
    /// When the first of its attempts that may have run was sent; the current time if there is none.
    pub first_sent: Micros,
    /// When it must have its final answer.
    pub end: Micros,
    pub latency_objective: Micros,
    /// Priority weight of the message times the destination's backlog.
    pub priority: f64,
    /// Messages queued for the destination.
    pub backlog: f64,
    /// A random draw from 0 to 1.
    pub jitter: f64,
}

impl Candidate {
    /// Returns the weight of the send in slow start.
    pub(super) fn weight(&self) -> f64 {
        if self.joined.is_some() { BATCHED_WEIGHT } else { 1.0 }
    }

    /// Returns the conditions under which the route assesses the send.
    pub(super) fn tick<'a>(&self, settings: &'a Settings, now: Micros) -> Tick<'a> {
        Tick { settings, now, latency_objective: self.latency_objective, jitter: self.jitter }
    }
}

/// Why a message is not sent to an endpoint now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Refusal {
    /// The message, the endpoint or its route is not known.
    Unknown,
    /// The message has no time or attempts left, or has an attempt in flight.
    MessageDone,
    /// A repeat might take effect a second time.
    UnsafeRepeat,
    /// An older message with the same ordering key goes first, or the key is paused.
    OutOfOrder,
    /// The answer might arrive after the process has ended.
    ShuttingDown,
    /// The endpoint is draining, no longer listed, or belongs to another destination.
    NotListed,
    /// The endpoint has no slot for a connection.
    NoConnection,
    /// The send rate of the route allows no further call yet.
    RateLimited,
    /// A Retry-After or this sender's own backoff has not expired, or the destination rejects calls and one
    /// is in flight.
    BackingOff,
    /// The destination is recovering from an outage and slow start admits nothing more now.
    SlowStart,
    /// The destination already uses its maximum share of the slots.
    DestinationShare,
    /// All slots of the sender are in use.
    NoSlot,
    /// The destination is being activated, and has its first call in flight or has to wait for others.
    Activating,
    /// The circuit breaker admits no call.
    BreakerOpen,
}

impl Refusal {
    /// Returns the verdict on the send, which states whether other messages may still be sent to the
    /// endpoint.
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
    /// Collects the input of the admission checks; `None` if the message or the endpoint is not known.
    pub(super) fn candidate(
        &self,
        id: MessageId,
        endpoint_id: EndpointId,
        backlog: f64,
        started: &StartedCalls,
    ) -> Option<Candidate> {
        let (pending, endpoint) = (self.messages.get(&id)?, self.endpoints.get(&endpoint_id)?);
        let class = &self.settings.classes[pending.message.class];
        Some(Candidate {
            message: id,
            destination: pending.message.destination,
            endpoint: endpoint_id,
            route: (endpoint.destination, endpoint.kind.separate_routes.then_some(endpoint_id)),
            max_batch: endpoint.kind.max_batch,
            joined: started.joinable(endpoint_id, endpoint.kind.max_batch),
            idempotency: pending.idempotency,
            key: pending.message.key.filter(|_| class.in_order),
            first_sent: pending.may_have_run.iter().map(|attempt| attempt.1).min().unwrap_or(self.now),
            end: pending.end,
            latency_objective: class.latency_objective,
            priority: self.weight_at(pending, self.now) * backlog,
            backlog,
            jitter: message_rng(self.seed, self.now, id, endpoint_id).f64(),
        })
    }

    /// Records an attempt that is being sent, and the call that starts with it, if any.
    pub(super) fn track_attempt(&mut self, candidate: &Candidate, started: &mut StartedCalls) {
        let call = candidate.joined.unwrap_or(self.calls.next());
        if let Some(route) = self.routes.get_mut(&candidate.route) {
            route.record_sent(candidate.weight(), self.now);
        }
        if candidate.joined.is_none() {
            self.track_call(call, candidate);
        }
        started.record(candidate.endpoint, call);
        if let Some(attempt) = self.messages.attempt_started(candidate.message, self.now, candidate.endpoint)
        {
            if let Some(key) = candidate.key {
                self.lanes.attempt_started(key, candidate.message, attempt);
            }
            self.calls.add_attempt(call, candidate.message, attempt, candidate.key);
        }
    }

    /// Records a call that starts with the candidate's message.
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
