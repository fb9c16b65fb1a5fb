//! What arrives from other tasks, turned into events for the decision module.

use admin::gate::AdmissionGate;
use decision::interface::{Event, MessageId};

use super::{EventLoop, SHUTDOWN_TIMEOUT, endpoints_of_attempts};
use crate::config;
use crate::discovery::endpoint_list::{EndpointList, EndpointUpdate};
use crate::ports::Inbound;

impl EventLoop {
    /// Handles one message of another task, unless another shard has to.
    pub(super) fn handle_inbound(&mut self, inbound: Inbound, events: &mut Vec<Event>) {
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
            Inbound::AdminRequest(call, answer) => self.answer_staff(call, answer, events),
            Inbound::Status => self.log_status(),
            Inbound::Reload => self.reload(),
            Inbound::Terminate => self.shut_down(events),
        }
    }

    /// Long lists are applied in slices, over several iterations.
    fn endpoints_updated(&mut self, EndpointUpdate(list): EndpointUpdate, events: &mut Vec<Event>) {
        (self.list_version, self.list_is_current) = (list.index, true);
        if !self.directory.needs_slicing(&list) {
            events.push(self.apply_list(&list));
        } else if self.directory.enqueue(list).is_err() {
            eprintln!("the list changes faster than it can be taken in: it is asked for as a whole");
            self.refetch_endpoints.notify_one();
        }
    }

    pub(super) fn apply_list(&mut self, list: &EndpointList) -> Event {
        self.directory.apply(list, || endpoints_of_attempts(&self.journal))
    }

    /// The platform has answered these notifications: their messages are complete.
    fn notifications_acknowledged(&mut self, messages: Vec<MessageId>) {
        for MessageId(number) in messages {
            let id = self.journal.live().get(&number).map(|pending| pending.message.id.clone());
            if let Some(id) = id {
                self.complete(number, false);
                self.forget(number, &id);
            }
        }
    }

    fn log_status(&self) {
        let open: Vec<_> = self.policy.open_breakers().iter().map(|destination| destination.0).collect();
        let (awake, asleep) = self.policy.active_and_idle();
        let core = self.shard.as_ref().map_or(String::new(), |shard| format!(" core={}", shard.id().0));
        let held = self.policy.pending_messages();
        eprintln!("status{core} held={held} awake={awake} asleep={asleep} open={open:?}");
    }

    /// Reads the configuration again; discovery's address alone takes effect.
    fn reload(&mut self) {
        match config::reload_discovery() {
            Ok(address) => self.discovery_is_at(address),
            Err(error) => {
                eprintln!("the configuration stays as it was: {}", error.replace(['\n', '\r'], " "));
            }
        }
    }

    /// Begins the shutdown; a second request changes nothing.
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
