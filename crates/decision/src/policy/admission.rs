//! The guards that every send passes, each by its name, and the terms that an attempt goes under.

use idle_destinations::ActivationLimiter;

use super::candidate::{Candidate, Refusal};
use super::{LAST_BYTE_DELAY, Policy, RESTART, SLOTS_FREED_PER_SECOND, send_margin};
use crate::dispatch_round::{StartedCalls, Verdict};
use crate::health::{RouteHealth, Tick};
use crate::interface::{Action, EndpointId, Idempotency, MessageId, Micros, RouteId};

/// What each further message adds to the weight of a call at a cold destination.
pub(super) const BATCHED_WEIGHT: f64 = 0.25;

impl Policy {
    /// The one gate of every send: sends if all guards agree.
    pub(super) fn admit(
        &mut self,
        id: MessageId,
        endpoint: EndpointId,
        backlog: f64,
        begun: &mut StartedCalls,
        actions: &mut Vec<Action>,
    ) -> Verdict {
        let candidate = self.candidate(id, endpoint, backlog, begun).ok_or(Refusal::Unknown);
        match candidate.and_then(|candidate| self.check(&candidate).map(|()| candidate)) {
            Ok(candidate) => {
                let attempt = self.attempt(&candidate);
                self.track_attempt(&candidate, begun);
                actions.push(attempt);
                Verdict::Sent
            }
            Err(refusal) => refusal.verdict(),
        }
    }

    /// Every guard on a send. The circuit breaker decides last, since it counts what it admits.
    fn check(&mut self, candidate: &Candidate) -> Result<(), Refusal> {
        self.check_message(candidate)?;
        self.check_endpoint(candidate)?;
        self.check_effect(candidate)?;
        self.check_order(candidate)?;
        let (now, end_by) = (self.now, self.must_end_by(candidate));
        let tick = candidate.tick(&self.settings, now);
        let route = self.routes.get_mut(&candidate.route).ok_or(Refusal::Unknown)?;
        if now.saturating_add(route.patience(candidate.latency_objective)) > end_by {
            return Err(Refusal::ShuttingDown);
        }
        route.refill_tokens(now);
        // What was transferred of the limit; a sender that has more to send than its share asks for more.
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

    /// No message lost, nothing after its end; never two attempts at once.
    fn check_message(&self, candidate: &Candidate) -> Result<(), Refusal> {
        let held = self.messages.get(&candidate.message).ok_or(Refusal::Unknown)?;
        let may_go = self.now < held.end && held.attempts < self.settings.max_attempts && held.in_flight == 0;
        if may_go { Ok(()) } else { Err(Refusal::MessageDone) }
    }

    /// Drains kept; no more connections to a full table.
    fn check_endpoint(&self, candidate: &Candidate) -> Result<(), Refusal> {
        let endpoint = self.endpoints.get(&candidate.endpoint).ok_or(Refusal::Unknown)?;
        if !endpoint.ready || endpoint.destination != candidate.destination {
            return Err(Refusal::NotListed);
        }
        let rest_until = endpoint
            .backoff_until
            .max(endpoint.connection_slots.allow_at(endpoint.in_flight, SLOTS_FREED_PER_SECOND));
        if self.now < rest_until { Err(Refusal::NoConnection) } else { Ok(()) }
    }

    /// No effect twice.
    fn check_effect(&self, candidate: &Candidate) -> Result<(), Refusal> {
        let held = self.messages.get(&candidate.message).ok_or(Refusal::Unknown)?;
        if self.repeat_allowed(held, candidate.endpoint) { Ok(()) } else { Err(Refusal::UnsafeRepeat) }
    }

    /// Order kept.
    fn check_order(&self, candidate: &Candidate) -> Result<(), Refusal> {
        let in_order = |key| self.lanes.allows(key, candidate.message, self.now);
        if candidate.key.is_none_or(in_order) { Ok(()) } else { Err(Refusal::OutOfOrder) }
    }

    /// Nothing may be in flight at the end of the process that the next one must not repeat.
    fn must_end_by(&self, candidate: &Candidate) -> Micros {
        let binds = |end: &Micros| match candidate.effect {
            Idempotency::Idempotent => false,
            Idempotency::NonIdempotent => true,
            Idempotency::Keyed { window, .. } => end + RESTART >= candidate.first_sent + window,
        };
        self.shutdown_at.filter(binds).unwrap_or(Micros::MAX)
    }

    /// Nor may a repeat leave, once its connection is up, so late that its key may be forgotten by there.
    fn must_leave_by(&self, candidate: &Candidate) -> Micros {
        match candidate.effect {
            Idempotency::Keyed { window, .. } if candidate.first_sent < self.now => {
                candidate.first_sent + window - send_margin(&self.settings, window)
            }
            _ => Micros::MAX,
        }
    }

    /// What may be repeated is called off once its answer would be most unusual. Guards the slots, and the
    /// message's time, against calls that hang or lose their answers one by one. It costs repeats where
    /// answer times jump; a destination that is cold or rejects calls gets the latency objective's time.
    fn answer_timeout(&self, candidate: &Candidate) -> Micros {
        let objective = candidate.latency_objective;
        let healthy = |route: &&RouteHealth| {
            !route.is_rejecting() && route.cold_share(&self.settings.rules, self.now).is_none()
        };
        match self.routes.get(&candidate.route).filter(healthy) {
            Some(route) if candidate.effect != Idempotency::NonIdempotent => {
                (2 * route.patience(objective)).min(objective)
            }
            _ => objective,
        }
    }

    /// The terms of an attempt that all guards admitted.
    fn attempt(&self, candidate: &Candidate) -> Action {
        let (now, effect) = (self.now, candidate.effect);
        let patience = self.answer_timeout(candidate);
        let timeout = patience.min(candidate.end - now).min(self.must_end_by(candidate) - now).max(1);
        Action::Attempt {
            message: candidate.message,
            endpoint: candidate.endpoint,
            timeout,
            send_within: timeout.min(self.must_leave_by(candidate).saturating_sub(now)),
            // Safe to repeat: nothing is lost with the connection but time.
            last_byte_delay: if effect == Idempotency::Idempotent { 0 } else { LAST_BYTE_DELAY },
            new_connection: self.needs_new_connection(effect),
        }
    }
}

/// The send rate; waits heeded, our own backoff too, and one call at a time until a rejecting destination
/// accepts.
fn check_rate(route: &RouteHealth, candidate: &Candidate, now: Micros) -> Result<(), Refusal> {
    if candidate.joined.is_none() && !route.has_token() {
        return Err(Refusal::RateLimited);
    }
    let backs_off = now < route.wait_until() || (route.is_rejecting() && route.in_flight() > 0);
    if backs_off { Err(Refusal::BackingOff) } else { Ok(()) }
}

/// Slow start after an outage.
fn check_slow_start(route: &mut RouteHealth, candidate: &Candidate, tick: &Tick) -> Result<(), Refusal> {
    let allows = route.slow_start_allows(tick, candidate.weight(), candidate.backlog);
    if allows { Ok(()) } else { Err(Refusal::SlowStart) }
}

/// Slots: all of them, and the destination's share. What joins a call needs none, but its breaker has to be
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

/// Those that are activated begin with one call each, so many a second, the highest priority first. Guards
/// descriptors, slots and the busy against a crowd. One that is activated with much to send loses a call's
/// time by it.
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
