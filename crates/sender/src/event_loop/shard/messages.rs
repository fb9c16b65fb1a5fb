//! Handles messages between shards, and routes messages of other tasks to the shard that they belong to.

use std::net::SocketAddr;
use std::rc::Rc;

use decision::interface::{DestinationId, EndpointId, Event, MessageId, Micros, RouteSnapshot};
use sharding::{AttemptId, ShardId};

use super::UNLISTED;
use crate::event_loop::EventLoop;
use crate::ports::{Answer, AttemptCompleted, Frontend, Inbound};
use crate::shards::{RETRY_AFTER_MAILBOX_FULL, ShardMessage};

impl EventLoop {
    /// Receives the other shards' messages.
    ///
    /// The order ensures that a destination has one owner at any time; the package `sharding` checks it in all
    /// interleavings. First the ownership map is read, then all messages are taken, then the migrated destinations
    /// among them are attached, and only then the other messages are handled according to that map. So a destination
    /// that this shard owns by the map is attached here, and messages for any other are forwarded.
    pub(in crate::event_loop) fn receive_shard_messages(
        &mut self,
        frontends: &[Rc<dyn Frontend>],
        events: &mut Vec<Event>,
    ) {
        let Some(shard) = &mut self.shard else { return };
        shard.owners = shard.group().owners();
        let received = shard.group().mailbox(shard.id()).drain();
        let (migrations, others): (Vec<_>, Vec<_>) =
            received.into_iter().partition(|message| matches!(message, ShardMessage::Migrate(_)));
        for message in migrations {
            if let ShardMessage::Migrate(migration) = message {
                self.attach_destination(*migration);
            }
        }
        for message in others {
            self.handle_shard_message(message, frontends, events);
        }
    }

    /// Handles a message of another shard, or forwards it to the owner of its destination.
    fn handle_shard_message(
        &mut self,
        message: ShardMessage,
        frontends: &[Rc<dyn Frontend>],
        events: &mut Vec<Event>,
    ) {
        let Some(shard) = &mut self.shard else { return };
        match message {
            ShardMessage::Submitted(message) => self.handle_inbound(Inbound::Submitted(message), events),
            ShardMessage::Withdrawn { id, request, destination } => {
                self.handle_inbound(Inbound::Withdrawn { id, request, destination }, events);
            }
            ShardMessage::AttemptCompleted { destination, .. } if !shard.owns(destination) => {
                shard.send_to_owner(destination, message);
            }
            ShardMessage::AttemptCompleted { destination, name, mut attempt } => {
                shard.record_work(destination);
                shard.router.foreign_attempt_ended(AttemptId::new(attempt.message.0, attempt.attempt));
                attempt.endpoint = self.directory.listed_id(&name).unwrap_or(UNLISTED);
                events.push(self.attempt_completed(attempt));
            }
            ShardMessage::RetryAfter { destination, .. } if !shard.owns(destination) => {
                shard.send_to_owner(destination, message);
            }
            ShardMessage::RetryAfter { destination, name, wait } => {
                events.push(self.retry_after_event(destination, &name, wait));
            }
            ShardMessage::Migrate(migration) => self.attach_destination(*migration),
            ShardMessage::MigrateTo { destination, to } => {
                shard.schedule_migration(destination, to, self.clock.now());
            }
            ShardMessage::Gather => shard.gathering = true,
            ShardMessage::MaxConnections(max_connections) => {
                frontends.iter().for_each(|frontend| frontend.set_max_clients(max_connections));
                if shard.owners.all_drained() {
                    // This process makes no more calls: idle connections are closed.
                    self.directory.transports().iter().for_each(|transport| transport.set_max_connections(0));
                }
            }
            ShardMessage::Cancel(message, attempt) => {
                self.directory.transports().iter().for_each(|transport| transport.cancel(message, attempt));
            }
            ShardMessage::EndpointsUpdated(list) => {
                self.handle_inbound(Inbound::EndpointsUpdated(list), events);
            }
            ShardMessage::DiscoveryFailed => events.push(Event::DiscoveryFailed),
            ShardMessage::Ejections(ejections, done) => {
                events.push(self.directory.apply_ejections(ejections));
                self.iteration_waiters.push(done);
            }
            ShardMessage::Client(stream) => match frontends.first() {
                Some(frontend) => frontend.clone().adopt(stream),
                None => shard.group().client_gone(shard.id()),
            },
            ShardMessage::Discovery(address) => self.set_discovery_address(address),
            ShardMessage::Status => self.handle_inbound(Inbound::Status, events),
            ShardMessage::Terminate => self.handle_inbound(Inbound::Terminate, events),
        }
    }

    /// Sets discovery's address. The first shard forwards it to all others.
    pub(in crate::event_loop) fn set_discovery_address(&mut self, address: SocketAddr) {
        self.discovery.send_if_modified(|current| std::mem::replace(current, address) != address);
        if let Some(shard) = self.shard.as_ref().filter(|shard| shard.id() == ShardId(0)) {
            shard.others().for_each(|id| shard.handle.send(id, ShardMessage::Discovery(address)));
        }
    }

    /// Returns the event for a Retry-After. If the endpoint is not listed any more, it applies to its destination.
    fn retry_after_event(&self, destination: u16, name: &str, wait: Micros) -> Event {
        match self.directory.listed_id(name) {
            Some(endpoint) => Event::RetryAfter { endpoint, wait },
            None => {
                let snapshot =
                    RouteSnapshot { wait_until: self.clock.now() + wait, ..RouteSnapshot::default() };
                Event::SnapshotRestored { route: (DestinationId(destination), Some(UNLISTED)), snapshot }
            }
        }
    }

    /// Forwards completed attempts of other shards' destinations to their owners. Returns those of this shard.
    fn route_completed(&mut self, completed: Vec<AttemptCompleted>) -> Vec<AttemptCompleted> {
        let Some(shard) = &mut self.shard else { return completed };
        let mut own_attempts = Vec::new();
        for attempt in completed {
            let id = AttemptId::new(attempt.message.0, attempt.attempt);
            let destination = shard.router.attempt_ended(id);
            if let Some(destination) = destination.filter(|destination| !shard.owns(*destination)) {
                let name = self.directory.name(attempt.endpoint);
                shard.send_to_owner(
                    destination,
                    ShardMessage::AttemptCompleted { destination, name, attempt },
                );
                continue;
            }
            if let Some(destination) = self.directory.destination(attempt.endpoint) {
                shard.record_work(destination);
            }
            shard.router.foreign_attempt_ended(id);
            own_attempts.push(attempt);
        }
        own_attempts
    }

    /// Forwards a message that belongs to another shard. Returns one that this shard has to handle.
    pub(in crate::event_loop) fn route_inbound(&mut self, inbound: Inbound) -> Option<Inbound> {
        let Some(shard) = &mut self.shard else { return Some(inbound) };
        match inbound {
            Inbound::Submitted(submission) if !shard.owns(submission.message.destination) => {
                let destination = submission.message.destination;
                if let Err(ShardMessage::Submitted(submission)) = shard
                    .handle
                    .try_send(shard.owners.owner(destination), ShardMessage::Submitted(submission))
                {
                    let _ = submission.answer.send(Answer::Rejected(RETRY_AFTER_MAILBOX_FULL));
                }
                None
            }
            Inbound::Submitted(submission) => {
                shard.record_work(submission.message.destination);
                Some(Inbound::Submitted(submission))
            }
            Inbound::Withdrawn { id, request, destination } if !shard.owns(destination) => {
                shard.send_to_owner(destination, ShardMessage::Withdrawn { id, request, destination });
                None
            }
            Inbound::CallCompleted(completed) => {
                let own_attempts = self.route_completed(completed);
                (!own_attempts.is_empty()).then_some(Inbound::CallCompleted(own_attempts))
            }
            Inbound::Event(Event::RetryAfter { endpoint, wait }) => {
                let listed = self.directory.destination(endpoint);
                let destination = listed.or_else(|| shard.router.destination(endpoint));
                match destination.filter(|destination| !shard.owns(*destination)) {
                    Some(destination) => {
                        let name = self.directory.name(endpoint);
                        shard
                            .send_to_owner(destination, ShardMessage::RetryAfter { destination, name, wait });
                        None
                    }
                    None => Some(Inbound::Event(Event::RetryAfter { endpoint, wait })),
                }
            }
            // From here on: messages that the first shard receives for all.
            Inbound::EndpointsUpdated(list) if shard.id() == ShardId(0) => {
                shard
                    .others()
                    .for_each(|id| shard.handle.send(id, ShardMessage::EndpointsUpdated(list.clone())));
                Some(Inbound::EndpointsUpdated(list))
            }
            Inbound::Event(Event::DiscoveryFailed) if shard.id() == ShardId(0) => {
                shard.others().for_each(|id| shard.handle.send(id, ShardMessage::DiscoveryFailed));
                Some(Inbound::Event(Event::DiscoveryFailed))
            }
            Inbound::Terminate if shard.id() == ShardId(0) => {
                shard.others().for_each(|id| shard.handle.send(id, ShardMessage::Terminate));
                Some(Inbound::Terminate)
            }
            Inbound::Status if shard.id() == ShardId(0) => {
                shard.others().for_each(|id| shard.handle.send(id, ShardMessage::Status));
                Some(Inbound::Status)
            }
            inbound => Some(inbound),
        }
    }

    /// Records that an attempt starts on a connection of this shard.
    pub(in crate::event_loop) fn record_attempt(
        &mut self,
        message: MessageId,
        attempt: u16,
        endpoint: EndpointId,
    ) {
        if let (Some(shard), Some(destination)) = (&mut self.shard, self.directory.destination(endpoint)) {
            shard.router.attempt_started(AttemptId::new(message.0, attempt), destination, endpoint);
        }
    }

    /// Cancels an attempt of this shard's decision module, also on another shard's connection.
    pub(in crate::event_loop) fn cancel_attempt(&self, message: MessageId, attempt: u16) {
        if let Some(shard) = &self.shard {
            let connection_shard = shard.router.connection(AttemptId::new(message.0, attempt));
            if connection_shard != shard.id() {
                return shard.handle.send(connection_shard, ShardMessage::Cancel(message, attempt));
            }
        }
        self.directory.transports().iter().for_each(|transport| transport.cancel(message, attempt));
    }

    /// Ends an iteration: notifies the shards that wait for it, continues migrations, publishes figures and flushes
    /// messages to other shards.
    pub(in crate::event_loop) fn finish_iteration(&mut self) {
        for done in self.iteration_waiters.drain(..) {
            let _ = done.send(());
        }
        let now = self.clock.now();
        self.plan_migrations(now);
        self.run_pending_migration(now);
        self.publish_figures(now);
        let Some(shard) = &mut self.shard else { return };
        let id = shard.id();
        shard.handle.group().add_work(id, shard.work.drain());
        shard.handle.flush();
    }
}
