//! The one path of every send, and when to look again.

use super::{HOLD, PLACES_FREE, Policy, RESTART, way};
use crate::estimate::chance;
use crate::health::{FEW_SENDERS, Tick};
use crate::interface::*;
use crate::round::{Begun, Round, Verdict};

/// What each further message adds to the weight of a call at a cold destination.
const BATCHED_WEIGHT: f64 = 0.25;
/// More destinations that wait for a slot than this are a crowd.
const CROWD: usize = 256;

impl Policy {
    /// The one path of every send. It looks at the destinations that something happened to, or that wait for
    /// a slot alone; of each, at its messages in order, until no more can go there.
    pub(super) fn dispatch(&mut self, actions: &mut Vec<Action>) {
        let late = self.late_before();
        // Where less is late than before, those that wait for a slot may have a better place. A crowd of them
        // keeps what it has until something happens there.
        let sort_for = (self.given_up_from.0, self.beyond());
        let sorted_for = std::mem::replace(&mut self.sorted_for, sort_for);
        let within = sorted_for.1.iter().zip(&self.sorted_for.1).any(|(before, now)| *before && !now);
        if self.sorted_for.0 > sorted_for.0 || within {
            self.book.waiting.touch_ready(CROWD);
        }
        for destination in self.book.waiting.take_touched() {
            self.book.waiting.set_ready(destination, self.book.waiting.next(destination, None, &late));
        }
        let mut round = Round::default();
        loop {
            let (full, waiting) = (self.calls.len() >= self.settings.max_calls, &self.book.waiting);
            // With no slot left a message may still travel along with a call of this tick.
            let joining = || round.begun.first_joining(&self.endpoints, waiting);
            let Some((place, destination)) = (if full { joining() } else { waiting.first_ready() }) else {
                break;
            };
            let next = waiting.next(destination, round.after(destination), &late);
            if next != Some(place) {
                self.book.waiting.set_ready(destination, next);
                if next.is_none() {
                    self.rest(destination, &round);
                }
                continue;
            }
            match self.send(place.2, destination, &mut round, actions) {
                Verdict::Sent => {}
                Verdict::Passed { slot } => round.passed(destination, place, slot),
                Verdict::NoSlot => {
                    round.wants_slot(destination, true);
                    self.rest(destination, &round);
                }
                Verdict::Closed => self.rest(destination, &round),
            }
        }
        for destination in round.unfinished(&self.book.waiting) {
            self.book.waiting.set_ready(destination, self.book.waiting.next(destination, None, &late));
        }
    }

    /// Of each class and tenant, the aim before which messages are late. Guards what is in time against what
    /// is late or given up: oldest first, a destination that is behind would get each message when nobody
    /// waits for it any more. It hurts those that wait longer than others.
    pub(super) fn late_before(&self) -> impl Fn(usize, usize) -> Micros + use<> {
        let (now, given_up_from) = (self.now, self.given_up_from.0);
        let aims: Vec<_> = self.settings.classes.iter().map(|class| class.latency_objective).collect();
        let beyond = self.beyond();
        move |class, tenant| match beyond.get(tenant) {
            Some(true) => Micros::MAX,
            _ if given_up_from < now => now.max(now - given_up_from + aims[class]),
            _ => now,
        }
    }

    /// Tenants most of whose messages may be beyond their share.
    fn beyond(&self) -> Vec<bool> {
        (0..self.tenants.len()).map(|tenant| self.within_share(tenant) < 0.5).collect()
    }

    /// Tries a message at its destination's endpoints, the best first.
    fn send(
        &mut self,
        id: MessageId,
        destination: DestinationId,
        round: &mut Round,
        actions: &mut Vec<Action>,
    ) -> Verdict {
        let backlog = round.backlog(destination, &self.book.waiting);
        let mut verdict = Verdict::Closed;
        for endpoint in self.choices(id, destination, &round.begun) {
            verdict = match (self.admit(id, endpoint, backlog, &mut round.begun, actions), verdict) {
                (Verdict::Sent, _) => return Verdict::Sent,
                (Verdict::Passed { .. }, before) => Verdict::Passed { slot: before.wants_slot() },
                (Verdict::NoSlot, Verdict::Passed { .. }) => Verdict::Passed { slot: true },
                (Verdict::NoSlot, _) => Verdict::NoSlot,
                (Verdict::Closed, before) => before,
            };
        }
        verdict
    }

    /// The endpoints that are listed, the best first.
    pub(super) fn choices(
        &self,
        id: MessageId,
        destination: DestinationId,
        begun: &Begun,
    ) -> Vec<EndpointId> {
        let mut choices: Vec<_> = self
            .endpoints
            .of(destination)
            .filter(|(_, e)| e.ready)
            .map(|(endpoint, e)| {
                let joins = begun.open(endpoint, e.kind.max_batch).is_some();
                let toll = self.settings.zone_fees.get(e.zone as usize).copied().unwrap_or(0.0);
                let toll = if e.kind.separate_routes { (toll * 1e6) as u64 } else { 0 };
                let luck = chance(self.seed, self.now, id, endpoint).usize(0..256);
                (!joins, e.bad_run, toll, e.out * 256 + luck, endpoint)
            })
            .collect();
        choices.sort_unstable();
        choices.into_iter().map(|choice| choice.4).collect()
    }

    /// Every guard on a send, each in this one spot; sends if all agree.
    pub(super) fn admit(
        &mut self,
        id: MessageId,
        endpoint_id: EndpointId,
        backlog: f64,
        begun: &mut Begun,
        actions: &mut Vec<Action>,
    ) -> Verdict {
        let now = self.now;
        let luck = chance(self.seed, now, id, endpoint_id).f64();
        let (Some(held), Some(endpoint)) = (self.book.get(&id), self.endpoints.get(&endpoint_id)) else {
            return Verdict::Closed;
        };
        let (class, effect) = (&self.settings.classes[held.message.class], held.effect);
        let worth = self.worth_at(held, now) * backlog;
        // No message lost, nothing after its end; drains kept; never two attempts at once.
        if now >= held.end || held.attempts >= self.settings.max_attempts || held.out > 0 {
            return Verdict::Passed { slot: false };
        }
        if !endpoint.ready || endpoint.destination != held.message.destination {
            return Verdict::Closed;
        }
        if now < endpoint.rest_until.max(endpoint.places.allow_at(endpoint.out, PLACES_FREE)) {
            return Verdict::Closed;
        }
        // No effect twice.
        if !self.repeat_allowed(held, endpoint_id) {
            return Verdict::Passed { slot: false };
        }
        // Order kept.
        let key = held.message.key.filter(|_| class.in_order);
        if key.is_some_and(|key| !self.lines.allows(key, id, now)) {
            return Verdict::Passed { slot: false };
        }
        let route_id = (endpoint.destination, endpoint.kind.separate_routes.then_some(endpoint_id));
        let Some(route) = self.routes.get_mut(&route_id) else { return Verdict::Closed };
        // Nothing may be out at the end of the process that the next one must not repeat.
        let first = held.may_have_run.iter().map(|a| a.1).min().unwrap_or(now);
        let binds = |end: &Micros| match effect {
            Idempotency::Idempotent => false,
            Idempotency::NonIdempotent => true,
            Idempotency::Keyed { window, .. } => end + RESTART >= first + window,
        };
        let until = self.stop_at.filter(binds).unwrap_or(Micros::MAX);
        // Nor may a repeat leave, once its connection is up, so late that its key may be forgotten by there.
        let leave = match effect {
            Idempotency::Keyed { window, .. } if first < now => first + window - way(&self.settings, window),
            _ => Micros::MAX,
        };
        if now.saturating_add(route.patience(class.latency_objective)) > until {
            return Verdict::Passed { slot: false };
        }
        let joined = begun.open(endpoint_id, endpoint.kind.max_batch);
        let tick =
            Tick { settings: &self.settings, now, latency_objective: class.latency_objective, jitter: luck };
        route.refill_tokens(now);
        // What is lent and borrowed of the limit; a sender that has more to send than its part asks for more.
        if let (Some(shared), None) = (&mut self.shared, route_id.1) {
            route.set_escrow(shared.quota_share(route_id.0.0, now));
            let demand = route.demand(&tick, backlog);
            shared.report_demand(route_id.0.0, demand.shares, demand.is_short, now);
        }
        let queued_calls = backlog / endpoint.kind.max_batch as f64;
        route.apply_quota(&tick, queued_calls);
        if joined.is_none() && !route.has_token() {
            return Verdict::Closed;
        }
        // Waits heeded; our own pauses, and one call at a time until a refusing destination accepts.
        if now < route.wait_until() || (route.is_rejecting() && route.in_flight() > 0) {
            return Verdict::Closed;
        }
        // The ramp after an outage.
        let weight = if joined.is_some() { BATCHED_WEIGHT } else { 1.0 };
        if !route.slow_start_allows(&tick, weight, backlog) {
            return Verdict::Closed;
        }
        if joined.is_none() {
            // Slots: all of them, and the destination's share.
            let slots = self.settings.max_calls;
            let share = if route.is_failing() { slots / 2 } else { slots * 3 / 4 }.max(1);
            if route.in_flight() >= share {
                return Verdict::Closed;
            }
            if self.calls.len() >= slots {
                return Verdict::NoSlot;
            }
        } else if !route.is_breaker_closed() {
            return Verdict::Closed;
        }
        // Those that wake begin with one call each, so many a second, the fullest worth first. Guards
        // descriptors, slots and the busy against a crowd. One that wakes with much to send loses a call's
        // time by it.
        if joined.is_none()
            && route.is_activating()
            && (route.in_flight() > 0 || !self.waking.allows(route_id, worth, now))
        {
            return Verdict::Closed;
        }
        // The breaker decides last, since it counts what it admits.
        if joined.is_none() && !route.breaker_allows(now) {
            return Verdict::Closed;
        }
        let call = joined.unwrap_or(self.calls.next());
        let well = !route.is_rejecting() && route.cold_share(&self.settings.rules, now).is_none();
        let patience = if well {
            (2 * route.patience(class.latency_objective)).min(class.latency_objective)
        } else {
            class.latency_objective
        };
        route.record_sent(weight, now);
        if joined.is_none() {
            route.call_started(call);
            if route.is_activating() {
                self.waking.call_started(call);
            }
            self.calls.begin(route_id, endpoint_id, now);
        }
        begun.note(endpoint_id, call);
        if let (true, Some(e)) = (joined.is_none(), self.endpoints.get_mut(&endpoint_id)) {
            e.out += 1;
            (e.gap, e.sent_at) = (now - e.sent_at, now);
        }
        let last_call = held.end;
        if let Some(attempt) = self.book.begun(id, now, endpoint_id) {
            if let Some(key) = key {
                self.lines.begun(key, id, attempt);
            }
            self.calls.carry(call, id, attempt, key);
            // What may be repeated is called off once its answer would be most unusual. Guards the slots, and
            // the message's time, against calls that hang or lose their answers one by one. It costs repeats
            // where answer times jump; a destination that is cold or turns calls away gets the aim's time.
            let patience =
                if effect == Idempotency::NonIdempotent { class.latency_objective } else { patience };
            let timeout = patience.min(last_call - now).min(until - now).max(1);
            // Safe to repeat: nothing is lost with the connection but time.
            let hold = if effect == Idempotency::Idempotent { 0 } else { HOLD };
            let fresh = self.fresh_connection(effect);
            let (endpoint, leave_within) = (endpoint_id, timeout.min(leave.saturating_sub(now)));
            actions.push(Action::Attempt {
                message: id,
                endpoint,
                timeout,
                send_within: leave_within,
                last_byte_delay: hold,
                new_connection: fresh,
            });
        }
        Verdict::Sent
    }

    /// Guards an endpoint's table of connections against idle ones: closes what is not used again before it
    /// closes by itself; a failed connect, or one that found no place, halves what is kept. Costs handshakes.
    pub(super) fn close_idle(&mut self, events: &[Event], actions: &mut Vec<Action>) {
        let (longest, few) = (self.settings.idle_timeout, FEW_SENDERS as Micros);
        let senders = self.settings.senders.max(1) as Micros;
        for event in events {
            let Event::AttemptCompleted { endpoint: id, outcome, .. } = event else { continue };
            if matches!(outcome, Outcome::ConnectFailed | Outcome::ConnectionRejected) {
                self.keep = (self.keep / 2).max(longest / (senders * senders) * few * few).min(longest);
            } else if *outcome == Outcome::Delivered {
                let more = self.keep / 32 * few / senders.max(few) + 1;
                self.keep = self.keep.saturating_add(more).min(longest);
            }
            if self.endpoints.get(id).is_some_and(|e| e.out == 0 && e.gap > self.keep) {
                actions.push(Action::CloseIdleConnections(*id));
            }
        }
    }
}
