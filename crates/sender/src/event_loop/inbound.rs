//! Turns messages from other tasks into events for the decision module.

use admin::gate::AdmissionGate;
use decision::interface::{Event, MessageId};
use sharding::ShardId;

use super::{EventLoop, SHUTDOWN_TIMEOUT, endpoints_of_attempts};
use crate::config;
use crate::discovery::endpoint_list::{EndpointList, EndpointUpdate};
use crate::ports::Inbound;

impl EventLoop {
    /// Handles one message of another task, or forwards it to the shard that has to handle it.
    pub(super) fn handle_inbound(&mut self, inbound: Inbound, events: &mut Vec<Event>) {
        if self.is_of_former_discovery(&inbound) {
            return;
        }
        let Some(inbound) = self.route_inbound(inbound) else { return };
        match inbound {
            Inbound::Submitted(message) => self.accept_submission(message, events),
            Inbound::Withdrawn { id, request, .. } => self.withdraw(&id, request, events),
            Inbound::CallCompleted(attempts) => {
                events.extend(attempts.into_iter().map(|attempt| self.attempt_completed(attempt)));
            }
            Inbound::Event(event) => events.push(event),
            Inbound::Successor(link) => {
                self.request_gather();
                self.successor = Some(link);
            }
            Inbound::EndpointsUpdated(update) => self.endpoints_updated(update, events),
            Inbound::NotificationsAcknowledged(messages) => self.notifications_acknowledged(messages),
            Inbound::AdminRequest(request, answer) => self.answer_admin_request(request, answer, events),
            Inbound::Status => self.log_status(),
            Inbound::Reload => self.reload(),
            Inbound::Terminate => self.shut_down(events),
        }
    }

    /// Whether this is an endpoint list that another instance of discovery answered before the address changed. The first
    /// shard decides that for all.
    fn is_of_former_discovery(&self, inbound: &Inbound) -> bool {
        let Inbound::EndpointsUpdated(update) = inbound else { return false };
        self.shard_id() == ShardId(0) && update.source != *self.discovery.borrow()
    }

    /// Applies an endpoint list or its changes. Long ones are applied in slices, over several iterations.
    fn endpoints_updated(&mut self, update: EndpointUpdate, events: &mut Vec<Event>) {
        let EndpointUpdate { list, source } = update;
        (self.list_version, self.list_is_current) = (list.index, true);
        if list.snapshot {
            self.list_source = Some(source);
        }
        if !self.directory.needs_slicing(&list) {
            events.push(self.apply_list(&list));
        } else if self.directory.enqueue(list).is_err() {
            eprintln!(
                "endpoint list: updates arrive faster than they can be applied, fetching the full list"
            );
            self.list_source = None;
            self.refetch_endpoints.notify_one();
        }
    }

    /// Applies an endpoint list at once.
    pub(super) fn apply_list(&mut self, list: &EndpointList) -> Event {
        self.directory.apply(list, || endpoints_of_attempts(&self.journal))
    }

    /// Completes the messages whose notifications the platform has acknowledged.
    fn notifications_acknowledged(&mut self, messages: Vec<MessageId>) {
        for MessageId(number) in messages {
            let id = self.journal.live().get(&number).map(|pending| pending.message.id.clone());
            if let Some(id) = id {
                self.complete(number, false);
                self.forget(number, &id);
            }
        }
    }

    /// Logs the status line, which tools parse.
    fn log_status(&self) {
        let open: Vec<_> = self.policy.open_breakers().iter().map(|destination| destination.0).collect();
        let (active, idle) = self.policy.active_and_idle();
        let label = self.shard.as_ref().map_or(String::new(), |shard| format!(" core={}", shard.id().0));
        let pending = self.policy.pending_messages();
        eprintln!("status{label} held={pending} awake={active} asleep={idle} open={open:?}");
    }

    /// Reads the configuration again. Only a change of discovery's address takes effect.
    fn reload(&mut self) {
        match config::reload_discovery() {
            Ok(address) => self.set_discovery_address(address),
            Err(error) => {
                eprintln!("the configuration stays as it was: {}", error.replace(['\n', '\r'], " "));
            }
        }
    }

    /// Begins the shutdown. Further requests have no effect.
    fn shut_down(&mut self, events: &mut Vec<Event>) {
        if self.shutdown_deadline.is_some() {
            return;
        }
        let deadline = self.clock.now() + SHUTDOWN_TIMEOUT;
        self.shutdown_deadline = Some(deadline);
        self.gate.send_replace(AdmissionGate::Closing);
        events.push(Event::ShuttingDown(deadline));
    }
}
