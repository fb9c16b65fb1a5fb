//! The admission checks that every send has to pass, and the parameters that an attempt is sent with.

use idle_destinations::ActivationLimiter;

use super::candidate::{Candidate, Refusal};
use super::{LAST_BYTE_DELAY, Policy, RESTART_DURATION, SLOTS_FREED_PER_SECOND, send_margin};
use crate::dispatch_round::{StartedCalls, Verdict};
use crate::health::{RouteHealth, Tick};
use crate::interface::{Action, EndpointId, Idempotency, MessageId, Micros, RouteId};

/// Weight in slow start that each further message adds to a call.
pub(super) const BATCHED_WEIGHT: f64 = 0.25;

impl Policy {
    /// Sends the message to the endpoint if all checks pass. Every send goes through this gate.
    pub(super) fn admit(
        &mut self,
        id: MessageId,
        endpoint: EndpointId,
        backlog: f64,
        started: &mut StartedCalls,
        actions: &mut Vec<Action>,
    ) -> Verdict {
        let candidate = self.candidate(id, endpoint, backlog, started).ok_or(Refusal::Unknown);
        match candidate.and_then(|candidate| self.check(&candidate).map(|()| candidate)) {
            Ok(candidate) => {
                let attempt = self.attempt(&candidate);
                self.track_attempt(&candidate, started);
                actions.push(attempt);
                Verdict::Sent
            }
            Err(refusal) => refusal.verdict(),
        }
    }

    /// Runs all checks on a send. The circuit breaker comes last, since it counts what it admits.
    fn check(&mut self, candidate: &Candidate) -> Result<(), Refusal> {
        self.check_message(candidate)?;
        self.check_endpoint(candidate)?;
        self.check_idempotency(candidate)?;
        self.check_order(candidate)?;
        let (now, end_by) = (self.now, self.must_end_by(candidate));
        let tick = candidate.tick(&self.settings, now);
        let route = self.routes.get_mut(&candidate.route).ok_or(Refusal::Unknown)?;
        if now.saturating_add(route.silence_timeout(candidate.latency_objective)) > end_by {
            return Err(Refusal::ShuttingDown);
        }
        route.refill_tokens(now);
        // Applies the quota shares that senders have transferred; a sender with more to send than its share
        // asks the others for more.
        if let (Some(gossip), None) = (&mut self.gossip, candidate.route.1) {
            route.set_escrow(gossip.quota_share(candidate.route.0.0, now));
            let demand = route.demand(&tick, candidate.backlog);
            gossip.report_demand(candidate.route.0.0, demand.shares, demand.is_short, now);
        }
        route.apply_quota(&tick, candidate.backlog / candidate.max_batch as f64);
        check_rate(route, candidate, now)?;
        check_slow_start(route, candidate, &tick)?;
        check_slots(route, candidate, self.calls.len(), self.settings.max_calls)?;
        check_activation(route, candidate, &mut self.activations, now)?;
        let breaker_allows = candidate.joined.is_some() || route.breaker_allows(now);
        if breaker_allows { Ok(()) } else { Err(Refusal::BreakerOpen) }
    }

    /// Checks that the message is still pending, before its end, has attempts left and none in flight.
    fn check_message(&self, candidate: &Candidate) -> Result<(), Refusal> {
        let pending = self.messages.get(&candidate.message).ok_or(Refusal::Unknown)?;
        let may_go =
            self.now < pending.end && pending.attempts < self.settings.max_attempts && pending.in_flight == 0;
        if may_go { Ok(()) } else { Err(Refusal::MessageDone) }
    }

    /// Checks that the endpoint is listed as ready and, as far as known, has a slot for a connection.
    fn check_endpoint(&self, candidate: &Candidate) -> Result<(), Refusal> {
        let endpoint = self.endpoints.get(&candidate.endpoint).ok_or(Refusal::Unknown)?;
        if !endpoint.ready || endpoint.destination != candidate.destination {
            return Err(Refusal::NotListed);
        }
        let backoff_until = endpoint
            .backoff_until
            .max(endpoint.connection_slots.allow_at(endpoint.in_flight, SLOTS_FREED_PER_SECOND));
        if self.now < backoff_until { Err(Refusal::NoConnection) } else { Ok(()) }
    }

    /// Checks that the attempt cannot make the message take effect twice.
    fn check_idempotency(&self, candidate: &Candidate) -> Result<(), Refusal> {
        let pending = self.messages.get(&candidate.message).ok_or(Refusal::Unknown)?;
        if self.repeat_allowed(pending, candidate.endpoint) { Ok(()) } else { Err(Refusal::UnsafeRepeat) }
    }

    /// Checks that it is the message's turn in its ordering lane.
    fn check_order(&self, candidate: &Candidate) -> Result<(), Refusal> {
        let in_order = |key| self.lanes.allows(key, candidate.message, self.now);
        if candidate.key.is_none_or(in_order) { Ok(()) } else { Err(Refusal::OutOfOrder) }
    }

    /// Returns when the attempt must have ended; `Micros::MAX` if there is no such limit. At the end of the
    /// process, no call may be in flight that the next process is not allowed to repeat.
    fn must_end_by(&self, candidate: &Candidate) -> Micros {
        let applies = |end: &Micros| match candidate.idempotency {
            Idempotency::Idempotent => false,
            Idempotency::NonIdempotent => true,
            Idempotency::Keyed { window, .. } => end + RESTART_DURATION >= candidate.first_sent + window,
        };
        self.shutdown_at.filter(applies).unwrap_or(Micros::MAX)
    }

    /// Returns when the last byte of the attempt must have left: a keyed repeat must arrive, once its
    /// connection is established, before its key may be forgotten. `Micros::MAX` if there is no such limit.
    fn must_leave_by(&self, candidate: &Candidate) -> Micros {
        match candidate.idempotency {
            Idempotency::Keyed { window, .. } if candidate.first_sent < self.now => {
                candidate.first_sent + window - send_margin(&self.settings, window)
            }
            _ => Micros::MAX,
        }
    }

    /// Returns how long to wait for the answer: twice the longest usual latency for a message that may be
    /// repeated, at most its latency objective. This frees the slot, and leaves the message time for another
    /// attempt, when single calls hang or their answers are lost. Costs repeats where latency rises suddenly.
    /// A destination that is cold or rejects calls, and a non-idempotent message, gets the whole objective.
    fn answer_timeout(&self, candidate: &Candidate) -> Micros {
        let objective = candidate.latency_objective;
        let healthy = |route: &&RouteHealth| {
            !route.is_rejecting() && route.cold_share(&self.settings.rules, self.now).is_none()
        };
        match self.routes.get(&candidate.route).filter(healthy) {
            Some(route) if candidate.idempotency != Idempotency::NonIdempotent => {
                (2 * route.silence_timeout(objective)).min(objective)
            }
            _ => objective,
        }
    }

    /// Builds the action for an attempt that has passed all checks.
    fn attempt(&self, candidate: &Candidate) -> Action {
        let (now, idempotency) = (self.now, candidate.idempotency);
        let answer_timeout = self.answer_timeout(candidate);
        let timeout = answer_timeout.min(candidate.end - now).min(self.must_end_by(candidate) - now).max(1);
        Action::Attempt {
            message: candidate.message,
            endpoint: candidate.endpoint,
            timeout,
            send_within: timeout.min(self.must_leave_by(candidate).saturating_sub(now)),
            // An idempotent message is safe to repeat: a lost connection costs only time.
            last_byte_delay: if idempotency == Idempotency::Idempotent { 0 } else { LAST_BYTE_DELAY },
            new_connection: self.needs_new_connection(idempotency),
        }
    }
}

/// Checks the send rate, any Retry-After and this sender's own backoff. A destination that rejects calls gets
/// one at a time until it accepts again.
fn check_rate(route: &RouteHealth, candidate: &Candidate, now: Micros) -> Result<(), Refusal> {
    if candidate.joined.is_none() && !route.has_token() {
        return Err(Refusal::RateLimited);
    }
    let backs_off = now < route.wait_until() || (route.is_rejecting() && route.in_flight() > 0);
    if backs_off { Err(Refusal::BackingOff) } else { Ok(()) }
}

/// Checks that slow start after an outage admits the send.
fn check_slow_start(route: &mut RouteHealth, candidate: &Candidate, tick: &Tick) -> Result<(), Refusal> {
    let allows = route.slow_start_allows(tick, candidate.weight(), candidate.backlog);
    if allows { Ok(()) } else { Err(Refusal::SlowStart) }
}

/// Checks that a slot is free and that the destination stays within its share: three quarters of all slots,
/// or half of them while it fails. A message that joins a call needs no slot, but its breaker has to be
/// closed.
fn check_slots(route: &RouteHealth, candidate: &Candidate, used: usize, slots: usize) -> Result<(), Refusal> {
    if candidate.joined.is_some() {
        return if route.is_breaker_closed() { Ok(()) } else { Err(Refusal::BreakerOpen) };
    }
    let share = if route.is_failing() { slots / 2 } else { slots * 3 / 4 }.max(1);
    if route.in_flight() >= share {
        return Err(Refusal::DestinationShare);
    }
    if used >= slots { Err(Refusal::NoSlot) } else { Ok(()) }
}

/// Checks that a destination that is being activated may make its first call: each starts with a single one,
/// the highest priority first, and the number started per second is limited. This protects file descriptors,
/// slots and busy destinations when many are activated together. A destination that is activated with many
/// messages is delayed by one call.
fn check_activation(
    route: &RouteHealth,
    candidate: &Candidate,
    limiter: &mut ActivationLimiter<RouteId>,
    now: Micros,
) -> Result<(), Refusal> {
    if candidate.joined.is_some() || !route.is_activating() {
        return Ok(());
    }
    let allows = route.in_flight() == 0 && limiter.allows(candidate.route, candidate.priority, now);
    if allows { Ok(()) } else { Err(Refusal::Activating) }
}
