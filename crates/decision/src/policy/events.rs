//! Applies events to the state: messages, outcomes, endpoint lists, load reports. No decisions are made here.
//! Where an event calls for one (a breaker that opens, a message to reject, an implausible report), the
//! policy's files make it.

use super::{Policy, RESTART_DURATION, REUSE_SAMPLES, arrival_margin};
use crate::call_table::CompletedAttempt;
use crate::estimate::message_rng;
use crate::health::{MAX_RESET_TIMEOUT, Tick, outage_of_failures};
use crate::interface::{
    Action, DestinationKind, EndpointEntry, EndpointId, Event, Idempotency, Message, MessageId, Micros,
    Outcome,
};
use crate::message_table::PendingMessage;

/// Divisor of a class's deadline that gives the longest time by which its messages are answered before their
/// deadline, unless two periods are longer.
const ANSWER_SLACK_DIVISOR: Micros = 64;

impl Policy {
    /// Applies events and everything that has fallen due.
    pub(super) fn apply_events(&mut self, now: Micros, events: &[Event], actions: &mut Vec<Action>) {
        self.now = now;
        for event in events {
            match event {
                Event::Accepted(message) => {
                    self.accept(message, None);
                    self.gossip.iter_mut().for_each(gossip::Gossip::message_accepted);
                    self.message_accepted(message, actions);
                    self.recall_gossip(message.destination);
                }
                Event::Recovered { message, attempts, may_have_run, idempotency } => {
                    self.recover(message, *attempts, may_have_run, *idempotency);
                    self.recall_gossip(message.destination);
                }
                Event::ShuttingDown(at) => {
                    self.shutdown_at = Some(*at);
                    self.messages.queues.touch_all();
                    let windows = self.settings.classes.iter().filter_map(|class| class.idempotency.window());
                    self.repeat_boundaries =
                        windows.map(|window| (at + RESTART_DURATION + 1).saturating_sub(window)).collect();
                }
                Event::RetryAfter { endpoint, wait } => {
                    let Some(id) = self.endpoints.route(*endpoint) else { continue };
                    self.routes.activate(id.0, &self.endpoints, now);
                    if let Some(route) = self.routes.get_mut(&id) {
                        route.wait_until_at_least(now + wait);
                    }
                    self.share_wait(id, now + wait);
                }
                Event::AttemptCompleted { message, attempt, endpoint, outcome, terminal, report, .. } => {
                    self.record_report(*endpoint, report);
                    self.attempt_completed(*message, *attempt, *outcome, *terminal);
                }
                Event::Withdrawn(message) => self.forget(*message),
                Event::EndpointList(entries) => {
                    self.endpoints.begin_full_list();
                    self.apply_list(entries);
                    // Endpoints that the full list omits are removed without an entry of their own.
                    self.messages.all_endpoints_changed();
                }
                Event::EndpointChanges(entries) => self.apply_list(entries),
                Event::DiscoveryFailed if self.settings.polling_only => {
                    // Retries well within the poll interval, the longest time allowed without asking.
                    let every = self.settings.rules.poll_interval.unwrap_or(MAX_RESET_TIMEOUT);
                    self.poll_at = Some(now + every / 8 + self.rng.u64(0..=every / 8));
                }
                Event::ConnectionReused { lost } => {
                    self.reuse_loss_rate +=
                        (f64::from(u8::from(*lost)) - self.reuse_loss_rate) / REUSE_SAMPLES;
                }
                Event::SnapshotRestored { route, snapshot } => {
                    self.routes.restored(*route, *snapshot, &self.endpoints, now);
                }
                Event::CapacityChanged { max_calls: calls, max_messages: messages } => {
                    (self.settings.max_calls, self.settings.max_messages) = (*calls, *messages);
                }
                Event::FailuresRecovered { route, failures } => {
                    if let Some(snapshot) = outage_of_failures(failures, &self.settings.rules) {
                        self.routes.restored(*route, snapshot, &self.endpoints, now);
                    }
                }
                Event::SnapshotLost => self.routes.snapshot_lost(),
                Event::HealthChecked { endpoint, report, .. } => self.record_report(*endpoint, report),
                Event::GossipReceived { from, content } => self.receive_gossip(*from, content, actions),
                Event::Streaming { .. } | Event::DiscoveryFailed | Event::TimerFired(_) => {}
            }
        }
        if self.poll_at.is_some_and(|at| at <= now) {
            self.poll_at = None;
            actions.push(Action::WatchEndpoints);
        }
        self.open_silent();
        self.messages.advance(now);
        while self.repeat_boundaries.first().is_some_and(|at| *at <= now) {
            self.repeat_boundaries.pop_first();
            self.messages.queues.touch_all();
        }
        for first in self.lanes.take_resumed(now) {
            self.reconsider(Some(first));
        }
        for id in self.activations.take_granted(now, |id| self.messages.queues.count(id.0) > 0) {
            self.messages.queues.touch(id.0);
        }
    }

    /// Marks the message's destination as changed, so that it is examined in this iteration: it may be the
    /// message's turn in its lane.
    pub(super) fn reconsider(&mut self, message: Option<MessageId>) {
        if let Some(pending) = message.and_then(|id| self.messages.get(&id)) {
            let destination = pending.message.destination;
            self.messages.queues.touch(destination);
        }
    }

    /// Takes over a message that an earlier process accepted. Attempts from then that may have run still
    /// restrict how it may be repeated: `may_have_run` holds the age and the endpoint of each.
    fn recover(
        &mut self,
        message: &Message,
        attempts: u32,
        may_have_run: &[(Micros, EndpointId)],
        idempotency: Option<Idempotency>,
    ) {
        self.accept(message, idempotency);
        self.routes.activate(message.destination, &self.endpoints, self.now);
        let may_have_run =
            may_have_run.iter().map(|attempt| (0, self.now.saturating_sub(attempt.0), attempt.1)).collect();
        self.messages.recovered(message.id, attempts, may_have_run);
    }

    fn accept(&mut self, message: &Message, recovered_idempotency: Option<Idempotency>) {
        let Some(class) = self.settings.classes.get(message.class) else { return };
        let deadline = self.now + message.remaining_time;
        if let Some(rate) = self.tenants.get_mut(message.tenant) {
            *rate = rate.after(1.0, self.now, class.latency_objective);
        }
        if let (true, Some(key)) = (class.in_order, message.key) {
            self.lanes.push(key, message.id);
        }
        let objective_at = (deadline + class.latency_objective).saturating_sub(class.deadline);
        // A message must be answered before its deadline by two periods or by the slack for final answers,
        // whichever is longer: the sender knows when it read the message, not when the client sent it. An
        // answer to a call that arrives after this end does not count as the final answer.
        let slack = self.settings.rules.answer_slack.min(class.deadline / ANSWER_SLACK_DIVISOR);
        let end = deadline.saturating_sub(slack.max(2 * self.settings.period));
        let idempotency =
            recovered_idempotency.map_or(class.idempotency, |before| before.stricter(class.idempotency));
        let repeatable_for =
            idempotency.window().map(|window| window - arrival_margin(&self.settings, window));
        self.messages.insert(PendingMessage::new(
            message.clone(),
            (deadline, objective_at, end),
            idempotency,
            repeatable_for,
        ));
    }

    fn apply_list(&mut self, entries: &[EndpointEntry]) {
        for entry in entries {
            let default_kind = DestinationKind { separate_routes: false, max_batch: 1 };
            let kind = self.settings.kinds.get(entry.kind).copied().unwrap_or(default_kind);
            let calls_per_second = self.settings.weights.calls(entry.weight);
            let id = self.endpoints.apply_entry(entry, kind, calls_per_second, self.now);
            self.routes.limit_listed(id, calls_per_second, &self.endpoints, self.now);
            self.messages.endpoints_changed(entry.destination);
        }
        for (destination, endpoint) in self.endpoints.prune(|| self.messages.endpoints()) {
            self.routes.endpoint_removed(destination, endpoint, self.now);
            self.messages.endpoints_changed(destination);
        }
    }

    fn record_report(&mut self, endpoint: EndpointId, report: &[f32]) {
        let field = |at: Option<usize>| Some(f64::from(*report.get(at?)?)).filter(|field| field.is_finite());
        let (remaining, limit) = (field(self.settings.report.0), field(self.settings.report.1));
        let latency_objective = self.settings.shortest_latency_objective();
        let Some(id) = self.endpoints.route(endpoint) else { return };
        let (Some(limit), Some(route)) = (limit, self.routes.get_mut(&id)) else { return };
        let remaining = remaining.unwrap_or(0.0).clamp(0.0, 1.0);
        if route.record_report(limit, remaining, latency_objective, self.now) {
            self.share_limit(id, limit);
            self.messages.queues.touch(id.0);
        }
    }

    fn attempt_completed(&mut self, id: MessageId, attempt: u16, outcome: Outcome, terminal: bool) {
        let Some(CompletedAttempt { number, call, key, first, call_completed }) =
            self.calls.complete_attempt(id, attempt, outcome)
        else {
            return;
        };
        let (now, sent) = (self.now, call.sent);
        let jitter = message_rng(self.seed, now, id, call.endpoint).f64();
        self.messages.queues.touch(call.route.0);
        if call_completed {
            self.activations.call_completed(number);
        }
        let latency_objective = self.settings.shortest_latency_objective();
        let tick = Tick { settings: &self.settings, now, latency_objective, jitter };
        if let Some(route) = self.routes.get_mut(&call.route) {
            if call_completed {
                route.call_completed();
            }
            // Each message of a call may be rejected with a wait of its own.
            if let Outcome::Rejected(Some(wait)) = outcome {
                route.wait_until_at_least(now + wait);
            }
            if first {
                route.record_latency(sent, outcome, now);
                let before = route.failure_counts();
                route.record(&tick, number, sent, outcome);
                let after = route.failure_counts();
                self.share_outcome(call.route, sent, outcome, before, after);
            }
        }
        if let Some(endpoint) = self.endpoints.get_mut(&call.endpoint) {
            endpoint.attempt_completed(outcome, first, call_completed);
        }
        if first && outcome == Outcome::ConnectionRejected {
            self.connection_rejected(call.endpoint, jitter);
        }
        if let Some(key) = key {
            let unclear = matches!(outcome, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled);
            let pause = unclear.then_some(now + self.settings.rules.ordering_pause);
            let first = self.lanes.attempt_completed(key, id, attempt, pause, now);
            self.reconsider(first);
        }
        self.messages.attempt_completed(id, attempt, outcome.never_ran());
        if terminal {
            // Only the outcome of a call shows at what age clients abandon their messages.
            if let Some(pending) = self.messages.get(&id) {
                self.abandonment_age.note(sent.saturating_sub(self.accepted_at(pending)), outcome);
            }
            self.forget(id);
        }
    }

    /// Returns when the delivery time of a message began: its deadline minus that of its class. This is
    /// before its acceptance if it was accepted with less than the full time.
    pub(super) fn accepted_at(&self, pending: &PendingMessage) -> Micros {
        pending.objective_at.saturating_sub(self.settings.classes[pending.message.class].latency_objective)
    }

    /// Removes a message that has its final answer or was withdrawn. Attempts in flight keep their slots
    /// until they complete.
    pub(super) fn forget(&mut self, id: MessageId) {
        let Some(pending) = self.messages.remove(id) else { return };
        if let Some(key) = pending.message.key {
            let first = self.lanes.remove(key, id, self.now);
            self.reconsider(first);
        }
    }
}
