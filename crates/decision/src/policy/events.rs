//! Takes events into what is known: messages, outcomes, lists, reports. Nothing is decided here. Where an event calls for a
//! decision (a breaker that opens, a message that is turned away, a report that can't be meant) the policy's files are asked.

use super::{Policy, RESTART, REUSE_SAMPLES, arrival_margin};
use crate::call_table::CompletedAttempt;
use crate::estimate::message_rng;
use crate::health::{RESET_TIMEOUT, Tick};
use crate::interface::{
    Action, DestinationKind, EndpointEntry, EndpointId, Event, Idempotency, Message, MessageId, Micros,
    Outcome,
};
use crate::message_table::PendingMessage;

/// A message is answered no more than this part of its class's time early.
const LEAST_OF_TIME: Micros = 64;

impl Policy {
    /// Folds in events, and what fell due.
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
                Event::Recovered { message, attempts, may_have_run, idempotency: effect } => {
                    self.recover(message, *attempts, may_have_run, *effect);
                    self.recall_gossip(message.destination);
                }
                Event::ShuttingDown(at) => {
                    self.shutdown_at = Some(*at);
                    self.messages.queues.touch_all();
                    let windows = self.settings.classes.iter().filter_map(|class| class.idempotency.window());
                    self.repeat_boundaries =
                        windows.map(|window| (at + RESTART + 1).saturating_sub(window)).collect();
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
                    // What it does not name is gone without a word.
                    self.messages.all_endpoints_changed();
                }
                Event::EndpointChanges(entries) => self.apply_list(entries),
                Event::DiscoveryFailed if self.settings.polling_only => {
                    // Asked again well inside the interval after which we would be deemed told.
                    let every = self.settings.rules.poll_interval.unwrap_or(RESET_TIMEOUT);
                    self.poll_at = Some(now + every / 8 + self.rng.u64(0..=every / 8));
                }
                Event::ConnectionReused { lost } => {
                    self.reuse_loss_rate +=
                        (f64::from(u8::from(*lost)) - self.reuse_loss_rate) / REUSE_SAMPLES;
                }
                Event::SnapshotRestored { route, snapshot: learnt } => {
                    self.routes.restored(*route, *learnt, &self.endpoints, now);
                }
                Event::CapacityChanged { max_calls: slots, max_messages: held } => {
                    (self.settings.max_calls, self.settings.max_messages) = (*slots, *held);
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

    /// It may be this message's turn.
    pub(super) fn reconsider(&mut self, message: Option<MessageId>) {
        if let Some(held) = message.and_then(|id| self.messages.get(&id)) {
            let destination = held.message.destination;
            self.messages.queues.touch(destination);
        }
    }

    /// A message that outlived the process that took it: what may have run then still binds.
    fn recover(
        &mut self,
        message: &Message,
        attempts: u32,
        may_have_run: &[(Micros, EndpointId)],
        effect: Option<Idempotency>,
    ) {
        self.accept(message, effect);
        self.routes.activate(message.destination, &self.endpoints, self.now);
        let may_have_run = may_have_run.iter().map(|a| (0, self.now.saturating_sub(a.0), a.1)).collect();
        self.messages.recovered(message.id, attempts, may_have_run);
    }

    fn accept(&mut self, message: &Message, taken_on_under: Option<Idempotency>) {
        let Some(class) = self.settings.classes.get(message.class) else { return };
        let deadline = self.now + message.remaining_time;
        if let Some(rate) = self.tenants.get_mut(message.tenant) {
            *rate = rate.after(1.0, self.now, class.latency_objective);
        }
        if let (true, Some(key)) = (class.in_order, message.key) {
            self.lanes.push(key, message.id);
        }
        let aim = (deadline + class.latency_objective).saturating_sub(class.deadline);
        // It must be answered two ticks before its time is up, and by as much before as answers are out by there: when the
        // client sent it is known by when it was read alone. An answer to a call that comes between the two is no end.
        let early = self.settings.rules.answer_slack.min(class.deadline / LEAST_OF_TIME);
        let end = deadline.saturating_sub(early.max(2 * self.settings.period));
        let effect = taken_on_under.map_or(class.idempotency, |before| before.stricter(class.idempotency));
        let repeats = effect.window().map(|window| window - arrival_margin(&self.settings, window));
        self.messages.insert(PendingMessage::new(message.clone(), (deadline, aim, end), effect, repeats));
    }

    fn apply_list(&mut self, entries: &[EndpointEntry]) {
        for entry in entries {
            let plain = DestinationKind { separate_routes: false, max_batch: 1 };
            let kind = self.settings.kinds.get(entry.kind).copied().unwrap_or(plain);
            let listed = self.settings.weights.calls(entry.weight);
            let id = self.endpoints.apply_entry(entry, kind, listed, self.now);
            self.routes.limit_listed(id, listed, &self.endpoints, self.now);
            self.messages.endpoints_changed(entry.destination);
        }
        for (destination, endpoint) in self.endpoints.prune(|| self.messages.endpoints()) {
            self.routes.endpoint_removed(destination, endpoint, self.now);
            self.messages.endpoints_changed(destination);
        }
    }

    fn record_report(&mut self, endpoint: EndpointId, report: &[f32]) {
        let field = |at: Option<usize>| Some(f64::from(*report.get(at?)?)).filter(|field| field.is_finite());
        let (left, limit) = (field(self.settings.report.0), field(self.settings.report.1));
        let aim = self.settings.shortest_latency_objective();
        let Some(id) = self.endpoints.route(endpoint) else { return };
        let (Some(limit), Some(route)) = (limit, self.routes.get_mut(&id)) else { return };
        let left = left.unwrap_or(0.0).clamp(0.0, 1.0);
        if route.record_report(limit, left, aim, self.now) {
            self.share_limit(id, limit);
            self.messages.queues.touch(id.0);
        }
    }

    fn attempt_completed(&mut self, id: MessageId, attempt: u16, outcome: Outcome, terminal: bool) {
        let Some(CompletedAttempt { number, call, key, first, call_completed: done }) =
            self.calls.complete_attempt(id, attempt, outcome)
        else {
            return;
        };
        let (now, sent) = (self.now, call.sent);
        let luck = message_rng(self.seed, now, id, call.endpoint).f64();
        self.messages.queues.touch(call.route.0);
        if done {
            self.activations.call_completed(number);
        }
        let latency_objective = self.settings.shortest_latency_objective();
        let tick = Tick { settings: &self.settings, now, latency_objective, jitter: luck };
        if let Some(route) = self.routes.get_mut(&call.route) {
            if done {
                route.call_completed();
            }
            // Each message of a call may be told a wait of its own.
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
            endpoint.attempt_completed(outcome, first, done);
        }
        if first && outcome == Outcome::ConnectionRejected {
            self.connection_rejected(call.endpoint, luck);
        }
        if let Some(key) = key {
            let unclear = matches!(outcome, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled);
            let rest = unclear.then_some(now + self.settings.rules.ordering_pause);
            let first = self.lanes.attempt_completed(key, id, attempt, rest, now);
            self.reconsider(first);
        }
        self.messages.attempt_completed(id, attempt, outcome.never_ran());
        if terminal {
            // How old messages get before those who wait for them give them up, only a call tells.
            if let Some(held) = self.messages.get(&id) {
                self.abandonment_age.note(sent.saturating_sub(self.accepted_at(held)), outcome);
            }
            self.forget(id);
        }
    }

    /// When a message was handed in.
    pub(super) fn accepted_at(&self, held: &PendingMessage) -> Micros {
        held.objective_at.saturating_sub(self.settings.classes[held.message.class].latency_objective)
    }

    /// The message is over; attempts that are out keep their slots until their outcomes come.
    pub(super) fn forget(&mut self, id: MessageId) {
        let Some(held) = self.messages.remove(id) else { return };
        if let Some(key) = held.message.key {
            let first = self.lanes.remove(key, id, self.now);
            self.reconsider(first);
        }
    }
}
