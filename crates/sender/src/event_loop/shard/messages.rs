//! What shards send one another, and which shard each message of another task belongs to.

use std::net::SocketAddr;
use std::rc::Rc;

use decision::interface::{DestinationId, EndpointId, Event, MessageId, Micros, RouteSnapshot};
use sharding::{AttemptId, ShardId};

use super::UNLISTED;
use crate::event_loop::EventLoop;
use crate::ports::{Answer, AttemptCompleted, Frontend, Inbound};
use crate::shards::{RETRY_AFTER_MAILBOX_FULL, ShardMessage};

impl EventLoop {
    /// Receives the other shards' messages. Guards the one owner of each destination by this order, which the
    /// package `sharding` checks in all interleavings: the ownership map is read, then all messages are
    /// taken, migrations first, and only then is anything judged by that map. So what is this shard's by the
    /// map is here, and all else is forwarded.
    pub(in crate::event_loop) fn receive_shard_messages(
        &mut self,
        fronts: &[Rc<dyn Frontend>],
        events: &mut Vec<Event>,
    ) {
        let Some(member) = &mut self.shard else { return };
        member.owners = member.group().owners();
        let came = member.group().mailbox(member.id()).drain();
        let (parcels, others): (Vec<_>, Vec<_>) =
            came.into_iter().partition(|say| matches!(say, ShardMessage::Migrate(_)));
        for say in parcels {
            if let ShardMessage::Migrate(bundle) = say {
                self.attach_destination(*bundle);
            }
        }
        for say in others {
            self.handle_shard_message(say, fronts, events);
        }
    }

    fn handle_shard_message(
        &mut self,
        say: ShardMessage,
        fronts: &[Rc<dyn Frontend>],
        events: &mut Vec<Event>,
    ) {
        let Some(member) = &mut self.shard else { return };
        match say {
            ShardMessage::Submitted(message) => self.handle_inbound(Inbound::Submitted(message), events),
            ShardMessage::Withdrawn { id, request, destination } => {
                self.handle_inbound(Inbound::Withdrawn { id, request, destination }, events);
            }
            ShardMessage::AttemptCompleted { destination, .. } if !member.owns(destination) => {
                member.send_to_owner(destination, say);
            }
            ShardMessage::AttemptCompleted { destination, name, mut attempt } => {
                member.record_work(destination);
                member.router.foreign_attempt_ended(AttemptId::new(attempt.message.0, attempt.attempt));
                attempt.endpoint = self.directory.listed_id(&name).unwrap_or(UNLISTED);
                events.push(self.attempt_completed(attempt));
            }
            ShardMessage::RetryAfter { destination, .. } if !member.owns(destination) => {
                member.send_to_owner(destination, say);
            }
            ShardMessage::RetryAfter { destination, name, wait } => {
                events.push(self.wait(destination, &name, wait));
            }
            ShardMessage::Migrate(bundle) => self.attach_destination(*bundle),
            ShardMessage::MigrateTo { destination, to } => {
                member.schedule_migration(destination, to, self.clock.now());
            }
            ShardMessage::Gather => member.gathering = true,
            ShardMessage::MaxConnections(most) => {
                fronts.iter().for_each(|front| front.set_max_clients(most));
                if member.owners.all_drained() {
                    // Another process calls from now on: idle connections are closed.
                    self.directory.transports().iter().for_each(|carrier| carrier.set_max_connections(0));
                }
            }
            ShardMessage::Cancel(message, attempt) => {
                self.directory.transports().iter().for_each(|carrier| carrier.cancel(message, attempt));
            }
            ShardMessage::EndpointsUpdated(list) => {
                self.handle_inbound(Inbound::EndpointsUpdated(list), events);
            }
            ShardMessage::DiscoveryFailed => events.push(Event::DiscoveryFailed),
            ShardMessage::Ejections(held_out, done) => {
                events.push(self.directory.apply_ejections(held_out));
                self.iteration_waiters.push(done);
            }
            ShardMessage::Client(stream) => match fronts.first() {
                Some(front) => front.clone().adopt(stream),
                None => member.group().client_gone(member.id()),
            },
            ShardMessage::Discovery(address) => self.discovery_is_at(address),
            ShardMessage::Status => self.handle_inbound(Inbound::Status, events),
            ShardMessage::Terminate => self.handle_inbound(Inbound::Terminate, events),
        }
    }

    /// Discovery moved, for this shard and, where it is the first, for all.
    pub(in crate::event_loop) fn discovery_is_at(&mut self, address: SocketAddr) {
        self.discovery.send_if_modified(|at| std::mem::replace(at, address) != address);
        if let Some(member) = self.shard.as_ref().filter(|member| member.id() == ShardId(0)) {
            member.others().for_each(|core| member.handle.send(core, ShardMessage::Discovery(address)));
        }
    }

    /// A Retry-After of an endpoint that no list need name any more: then it is its destination's.
    fn wait(&self, destination: u16, name: &str, wait: Micros) -> Event {
        match self.directory.listed_id(name) {
            Some(endpoint) => Event::RetryAfter { endpoint, wait },
            None => {
                let learnt =
                    RouteSnapshot { wait_until: self.clock.now() + wait, ..RouteSnapshot::default() };
                Event::SnapshotRestored {
                    route: (DestinationId(destination), Some(UNLISTED)),
                    snapshot: learnt,
                }
            }
        }
    }

    /// Sends attempts of other shards' destinations to them, and returns those that are this one's.
    fn route_completed(&mut self, completed: Vec<AttemptCompleted>) -> Vec<AttemptCompleted> {
        let Some(shard) = &mut self.shard else { return completed };
        let mut ours = Vec::new();
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
            ours.push(attempt);
        }
        ours
    }

    /// Sends what belongs to another shard there, and returns what is this one's.
    pub(in crate::event_loop) fn route_inbound(&mut self, inbound: Inbound) -> Option<Inbound> {
        let Some(member) = &mut self.shard else { return Some(inbound) };
        match inbound {
            Inbound::Submitted(message) if !member.owns(message.message.destination) => {
                let destination = message.message.destination;
                if let Err(ShardMessage::Submitted(message)) =
                    member.handle.try_send(member.owners.owner(destination), ShardMessage::Submitted(message))
                {
                    let _ = message.answer.send(Answer::Rejected(RETRY_AFTER_MAILBOX_FULL));
                }
                None
            }
            Inbound::Submitted(message) => {
                member.record_work(message.message.destination);
                Some(Inbound::Submitted(message))
            }
            Inbound::Withdrawn { id, request, destination } if !member.owns(destination) => {
                member.send_to_owner(destination, ShardMessage::Withdrawn { id, request, destination });
                None
            }
            Inbound::CallCompleted(completed) => {
                let ours = self.route_completed(completed);
                (!ours.is_empty()).then_some(Inbound::CallCompleted(ours))
            }
            Inbound::Event(Event::RetryAfter { endpoint, wait }) => {
                let listed = self.directory.destination(endpoint);
                let destination = listed.or_else(|| member.router.destination(endpoint));
                match destination.filter(|destination| !member.owns(*destination)) {
                    Some(destination) => {
                        let name = self.directory.name(endpoint);
                        member
                            .send_to_owner(destination, ShardMessage::RetryAfter { destination, name, wait });
                        None
                    }
                    None => Some(Inbound::Event(Event::RetryAfter { endpoint, wait })),
                }
            }
            // What the first shard receives for all.
            Inbound::EndpointsUpdated(list) if member.id() == ShardId(0) => {
                member
                    .others()
                    .for_each(|core| member.handle.send(core, ShardMessage::EndpointsUpdated(list.clone())));
                Some(Inbound::EndpointsUpdated(list))
            }
            Inbound::Event(Event::DiscoveryFailed) if member.id() == ShardId(0) => {
                member.others().for_each(|core| member.handle.send(core, ShardMessage::DiscoveryFailed));
                Some(Inbound::Event(Event::DiscoveryFailed))
            }
            Inbound::Terminate if member.id() == ShardId(0) => {
                member.others().for_each(|core| member.handle.send(core, ShardMessage::Terminate));
                Some(Inbound::Terminate)
            }
            Inbound::Status if member.id() == ShardId(0) => {
                member.others().for_each(|core| member.handle.send(core, ShardMessage::Status));
                Some(Inbound::Status)
            }
            inbound => Some(inbound),
        }
    }

    /// An attempt starts on a connection of this shard.
    pub(in crate::event_loop) fn record_attempt(
        &mut self,
        message: MessageId,
        attempt: u16,
        endpoint: EndpointId,
    ) {
        if let (Some(member), Some(destination)) = (&mut self.shard, self.directory.destination(endpoint)) {
            member.router.attempt_started(AttemptId::new(message.0, attempt), destination, endpoint);
        }
    }

    /// Cancels an attempt of this shard's module, wherever its connection is.
    pub(in crate::event_loop) fn cancel_attempt(&self, message: MessageId, attempt: u16) {
        if let Some(member) = &self.shard {
            let at = member.router.connection(AttemptId::new(message.0, attempt));
            if at != member.id() {
                return member.handle.send(at, ShardMessage::Cancel(message, attempt));
            }
        }
        self.directory.transports().iter().for_each(|carrier| carrier.cancel(message, attempt));
    }

    /// Ends an iteration: its figures are published, and migrations go on.
    pub(in crate::event_loop) fn finish_iteration(&mut self) {
        for done in self.iteration_waiters.drain(..) {
            let _ = done.send(());
        }
        let now = self.clock.now();
        self.plan_migrations(now);
        self.run_pending_migration(now);
        self.publish_figures(now);
        let Some(member) = &mut self.shard else { return };
        let me = member.id();
        member.handle.group().worked(me, member.work.drain());
        member.handle.flush();
    }
}
