//! One of several cores: what it hears from the others and says to them, what it may use, and destinations that come and go.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use admin::call::AdminRequest;
use admin::figures::{Gauges, OutcomeCounts};
use admin::held_out::Ejections;
use decision::interface::*;
use sharding::{AttemptRouter, DestinationLoad, OwnershipMap, Plan, Planner, ShardId};
use tokio::sync::oneshot;

use super::EventLoop;
use crate::persistence::journal::JournalStore;
use crate::ports::{AdminResponse, Answer, Frontend, Inbound};
use crate::shards::{
    BUSY_AGAIN, Figures, MigratedDestination, RemoteShards, ShardGroup, ShardHandle, ShardMessage,
};

/// A destination that can't go for so long stays.
const MIGRATION_TIMEOUT: Micros = 1_000_000;
/// What binds all cores does so within this time, or on-call staff are told that it does not yet.
const BROADCAST_TIMEOUT: Duration = Duration::from_millis(800);
/// The planner looks so often.
const PLAN_INTERVAL: Micros = 250_000;
/// A core shows its figures so often at most, and at least while anything changes them.
const PUBLISH_INTERVAL: Micros = 100_000;

/// A destination that was told to go.
struct PendingMigration {
    destination: u16,
    to: ShardId,
    deadline: Micros,
}

/// What a driver has beside what one of a single core has.
pub struct Shard {
    handle: Rc<ShardHandle>,
    router: AttemptRouter<EndpointId>,
    /// As of this turn.
    owners: Arc<OwnershipMap>,
    /// What the module may use, as it was last told.
    announced_capacity: (usize, usize),
    leased_connections: usize,
    work: HashMap<u16, u32>,
    pending_migration: Option<PendingMigration>,
    /// All that it has is to go to the first core.
    gathering: bool,
    /// Figures are shown again then.
    publish_at: Micros,
    attached: u64,
    detached: u64,
    /// The first core plans for all.
    planner: Option<(Planner, Micros)>,
    /// The planner has said that no move helps.
    imbalance_logged: bool,
}

impl Shard {
    /// Nothing is out.
    pub fn new(post: Rc<ShardHandle>) -> Self {
        let (me, team) = (post.id(), post.group());
        let planner = (me == ShardId(0)).then(|| (Planner::new(team.count()), 0));
        let owners = team.owners();
        Self {
            router: AttemptRouter::new(me),
            owners,
            announced_capacity: (0, 0),
            leased_connections: 0,
            work: HashMap::new(),
            pending_migration: None,
            gathering: false,
            publish_at: 0,
            attached: 0,
            detached: 0,
            planner,
            imbalance_logged: false,
            handle: post,
        }
    }

    /// What all share.
    pub fn group(&self) -> &Arc<ShardGroup> {
        self.handle.group()
    }

    /// Which core this is.
    pub fn id(&self) -> ShardId {
        self.handle.id()
    }

    fn owns(&self, destination: u16) -> bool {
        self.owners.owner(destination) == self.id()
    }

    fn send_to_owner(&self, destination: u16, say: ShardMessage) {
        self.handle.send(self.owners.owner(destination), say);
    }

    fn others(&self) -> impl Iterator<Item = ShardId> {
        let me = self.id();
        self.group().all().filter(move |core| *core != me)
    }

    fn record_work(&mut self, destination: u16) {
        *self.work.entry(destination).or_default() += 1;
    }

    fn schedule_migration(&mut self, destination: u16, to: ShardId, now: Micros) {
        let until = now + MIGRATION_TIMEOUT;
        if self.pending_migration.replace(PendingMigration { destination, to, deadline: until }).is_some() {
            self.group().migration_failed();
        }
    }

    /// Attempts that were begun by an earlier process, on connections that it has.
    pub(super) fn adopt_attempt(&mut self, attempt: (u32, u16), destination: u16, endpoint: EndpointId) {
        // One that goes on after all knows its own.
        if !self.router.knows(attempt) {
            self.router.attempt_started(attempt, destination, endpoint);
        }
    }

    /// What is out on connections of other cores.
    pub(super) fn remote_shards(
        &self,
        out: &[(MessageId, u16, EndpointId)],
        ids: &[(String, EndpointId)],
    ) -> RemoteShards {
        let on = |(message, attempt, endpoint): &(MessageId, u16, EndpointId)| {
            let core = self.router.connection((message.0, *attempt));
            (core != self.id()).then_some(((*message, *attempt), (core, *endpoint)))
        };
        RemoteShards::new(self.handle.clone(), out.iter().filter_map(on).collect(), ids)
    }

    /// Whether it is to be looked at soon though nothing happens.
    fn needs_polling(&self) -> bool {
        self.pending_migration.is_some() || self.gathering || self.handle.is_behind()
    }

    /// When it is to be looked at, though nothing happens.
    pub(super) fn next_due(&self, now: Micros) -> Micros {
        let soon = if self.needs_polling() { now + 5_000 } else { Micros::MAX };
        // Once more behind the last change: figures are as old as that at most.
        let shows = if self.router.begun() > 0 || self.publish_at > now {
            self.publish_at.max(now + 1)
        } else {
            Micros::MAX
        };
        self.planner.as_ref().map_or(Micros::MAX, |planner| planner.1).min(soon).min(shows)
    }
}

/// Other cores said something to this one.
pub(super) async fn wait_for_messages(member: Option<&Shard>) {
    match member {
        Some(member) => member.group().mailbox(member.id()).notified().await,
        None => std::future::pending().await,
    }
}

impl EventLoop {
    /// Takes in what other cores said. Guards the one owner of each destination in this order, which the package `cores`
    /// checks in all interleavings: the owners are read, then all that came is taken, parcels first, and only then is
    /// anything judged by those owners. So what is this core's by them is here, and all else is sent on.
    pub(super) fn receive_shard_messages(&mut self, fronts: &[Rc<dyn Frontend>], events: &mut Vec<Event>) {
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
            ShardMessage::Ended { destination, .. } if !member.owns(destination) => {
                member.send_to_owner(destination, say)
            }
            ShardMessage::Ended { destination, name, mut over } => {
                member.record_work(destination);
                member.router.add_foreign((over.message.0, over.attempt));
                over.endpoint = self.directory.listed_id(&name).unwrap_or(UNLISTED);
                events.push(self.attempt_completed(over));
            }
            ShardMessage::Wait { destination, .. } if !member.owns(destination) => {
                member.send_to_owner(destination, say)
            }
            ShardMessage::Wait { destination, name, wait } => {
                events.push(self.wait(destination, &name, wait))
            }
            ShardMessage::Migrate(bundle) => self.attach_destination(*bundle),
            ShardMessage::Depart { destination, to } => {
                member.schedule_migration(destination, to, self.clock.now())
            }
            ShardMessage::Gather => member.gathering = true,
            ShardMessage::MaxConnections(most) => {
                fronts.iter().for_each(|front| front.set_max_clients(most));
                if member.owners.all_gathered() {
                    // Another process calls from now on: what stands idle is closed.
                    self.directory.carriers().iter().for_each(|carrier| carrier.set_max_connections(0));
                }
            }
            ShardMessage::Cancel(message, attempt) => {
                self.directory.carriers().iter().for_each(|carrier| carrier.cancel(message, attempt));
            }
            ShardMessage::Listed(list) => self.handle_inbound(Inbound::EndpointsUpdated(list), events),
            ShardMessage::ListFailed => events.push(Event::DiscoveryFailed),
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

    /// Discovery moved, for this core and, where it is the first, for all.
    pub(super) fn discovery_is_at(&mut self, address: SocketAddr) {
        self.discovery.send_if_modified(|at| std::mem::replace(at, address) != address);
        if let Some(member) = self.shard.as_ref().filter(|member| member.id() == ShardId(0)) {
            member.others().for_each(|core| member.handle.send(core, ShardMessage::Discovery(address)));
        }
    }

    /// A wait that an endpoint told, which no list need name any more: then it is its destination's.
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

    /// What belongs to another core goes there; tells what is this one's.
    pub(super) fn route_inbound(&mut self, inbound: Inbound) -> Option<Inbound> {
        let Some(member) = &mut self.shard else { return Some(inbound) };
        match inbound {
            Inbound::Submitted(message) if !member.owns(message.message.destination) => {
                let destination = message.message.destination;
                if let Err(ShardMessage::Submitted(message)) =
                    member.handle.try_send(member.owners.owner(destination), ShardMessage::Submitted(message))
                {
                    let _ = message.answer.send(Answer::Rejected(BUSY_AGAIN));
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
            Inbound::CallCompleted(ends) => {
                let mut ours = Vec::new();
                for over in ends {
                    let attempt = (over.message.0, over.attempt);
                    match member
                        .router
                        .attempt_ended(attempt)
                        .filter(|destination| !member.owns(*destination))
                    {
                        Some(destination) => {
                            let name = self.directory.name(over.endpoint);
                            member
                                .send_to_owner(destination, ShardMessage::Ended { destination, name, over });
                        }
                        None => {
                            self.directory
                                .destination(over.endpoint)
                                .into_iter()
                                .for_each(|d| member.record_work(d));
                            member.router.add_foreign(attempt);
                            ours.push(over);
                        }
                    }
                }
                Some(Inbound::CallCompleted(ours))
                    .filter(|ours| !matches!(ours, Inbound::CallCompleted(ours) if ours.is_empty()))
            }
            Inbound::Event(Event::RetryAfter { endpoint, wait }) => {
                let listed = self.directory.destination(endpoint);
                let destination = listed.or_else(|| member.router.destination(endpoint));
                match destination.filter(|destination| !member.owns(*destination)) {
                    Some(destination) => {
                        let name = self.directory.name(endpoint);
                        member.send_to_owner(destination, ShardMessage::Wait { destination, name, wait });
                        None
                    }
                    None => Some(Inbound::Event(Event::RetryAfter { endpoint, wait })),
                }
            }
            // What one core hears for all.
            Inbound::EndpointsUpdated(list) if member.id() == ShardId(0) => {
                member.others().for_each(|core| member.handle.send(core, ShardMessage::Listed(list.clone())));
                Some(Inbound::EndpointsUpdated(list))
            }
            Inbound::Event(Event::DiscoveryFailed) if member.id() == ShardId(0) => {
                member.others().for_each(|core| member.handle.send(core, ShardMessage::ListFailed));
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

    /// Tells the other cores who is held out; the answer comes once each has done it.
    fn eject_everywhere(&self, held_out: &Ejections) -> Vec<oneshot::Receiver<()>> {
        let Some(member) = &self.shard else { return Vec::new() };
        let tell = |core| {
            let (done, heard) = oneshot::channel();
            member.handle.send(core, ShardMessage::Ejections(held_out.clone(), done));
            heard
        };
        member.others().map(tell).collect()
    }

    /// Answers on-call staff; a yes to what binds all cores comes once it does.
    pub(super) fn answer_staff(
        &mut self,
        call: AdminRequest,
        answer: oneshot::Sender<AdminResponse>,
        events: &mut Vec<Event>,
    ) {
        let binds = matches!(call, AdminRequest::Eject(_) | AdminRequest::Reinstate(_));
        let told = self.handle_admin_request(call, events);
        if !binds || told.status != 200 || self.shard.is_none() {
            let _ = answer.send(told);
            return;
        }
        let waits = self.eject_everywhere(self.directory.held_out());
        tokio::task::spawn_local(async move {
            let all = async {
                for heard in waits {
                    let _ = heard.await;
                }
            };
            let told = match tokio::time::timeout(BROADCAST_TIMEOUT, all).await {
                Ok(()) => told,
                Err(_) => AdminResponse {
                    status: 503,
                    text: "it is kept, and a core has not taken it in yet\n".into(),
                },
            };
            let _ = answer.send(told);
        });
    }

    /// Asks for what this turn needs of what belongs to the whole process, before the module decides.
    pub(super) fn update_leases(&mut self, events: &mut Vec<Event>) {
        let Some(member) = &mut self.shard else { return };
        let come = events
            .iter()
            .filter(|event| matches!(event, Event::Accepted(_) | Event::Recovered { .. }))
            .count();
        let (held, out, waiting) = (self.policy.held(), self.policy.calls_out(), self.policy.waiting());
        // The module begins to shed a sixteenth ahead of its room.
        let room_for = (held + come) * 16 / 15 + 2;
        let used: usize = self.directory.carriers().iter().map(|carrier| carrier.connections()).sum();
        let (slots, messages, connections) = {
            let mut room = member.group().quotas();
            let slots = room.calls.update(member.id(), out, out + waiting + come);
            let messages = room.messages.update(member.id(), held, room_for);
            let more = slots.lease.saturating_sub(out).min(waiting + come);
            (slots, messages, room.connections.update(member.id(), used, used + more))
        };
        for leased in [&slots, &messages, &connections] {
            leased.concerned.iter().for_each(|core| member.group().mailbox(*core).wake());
        }
        if std::mem::replace(&mut member.leased_connections, connections.lease) != connections.lease {
            self.directory
                .carriers()
                .iter()
                .for_each(|carrier| carrier.set_max_connections(connections.lease));
        }
        if member.announced_capacity != (slots.lease, messages.lease) {
            member.announced_capacity = (slots.lease, messages.lease);
            events.push(Event::CapacityChanged { max_calls: slots.lease, max_messages: messages.lease });
        }
    }

    /// A call begins on a connection of this core.
    pub(super) fn record_attempt(&mut self, message: MessageId, attempt: u16, endpoint: EndpointId) {
        if let (Some(member), Some(destination)) = (&mut self.shard, self.directory.destination(endpoint)) {
            member.router.attempt_started((message.0, attempt), destination, endpoint);
        }
    }

    /// An attempt of this core's module is called off, wherever its connection is.
    pub(super) fn cancel_attempt(&self, message: MessageId, attempt: u16) {
        if let Some(member) = &self.shard {
            let at = member.router.connection((message.0, attempt));
            if at != member.id() {
                return member.handle.send(at, ShardMessage::Cancel(message, attempt));
            }
        }
        self.directory.carriers().iter().for_each(|carrier| carrier.cancel(message, attempt));
    }

    /// What is left to do once a turn is over: what it came to is shown, and destinations go.
    pub(super) fn finish_iteration(&mut self) {
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

    /// Shows what this core counts. Guards turns against figures that take a look at all endpoints: once in a while.
    fn publish_figures(&mut self, now: Micros) {
        let Some(member) = self.shard.as_mut().filter(|member| member.publish_at <= now) else { return };
        member.publish_at = now + PUBLISH_INTERVAL;
        let (me, team, moves) = (member.id(), member.group().clone(), (member.attached, member.detached));
        let now = Gauges { out_of_rotation: self.policy.shut(), ..self.figures() };
        team.show(
            me,
            Figures { ends: Some(self.outcome_counts.clone()), now, out: self.policy.calls_out(), moves },
        );
    }

    /// Says once in a while which destination should go where, on the first core.
    fn plan_migrations(&mut self, now: Micros) {
        let Some(member) = &mut self.shard else { return };
        let Some((planner, at)) = member.planner.as_mut().filter(|planner| planner.1 <= now) else { return };
        *at = now + PLAN_INTERVAL;
        let owners = &member.owners;
        let loads: Vec<DestinationLoad> = member
            .handle
            .group()
            .take_work()
            .into_iter()
            .map(|(destination, events)| DestinationLoad {
                destination,
                core: owners.owner(destination),
                work: events.into(),
            })
            .collect();
        match planner.round(now, &loads) {
            Plan::Migrate(advised) => {
                planner.migrated(advised);
                member.imbalance_logged = false;
                let say = ShardMessage::Depart { destination: advised.destination, to: advised.to };
                if advised.from == member.handle.id() {
                    member.schedule_migration(advised.destination, advised.to, now);
                } else {
                    member.handle.send(advised.from, say);
                }
            }
            Plan::Stuck { core, destination, share } if !member.imbalance_logged => {
                member.imbalance_logged = true;
                eprintln!(
                    "core {} is busier than the others and no move helps: {:.0}% of its work is for destination {destination}",
                    core.0,
                    share * 100.0
                );
            }
            Plan::Stuck { .. } => {}
            Plan::Stay => member.imbalance_logged = false,
        }
    }

    /// On-call staff want a destination on another core.
    pub(super) fn request_migration(&mut self, destination: u16, core: u8) -> AdminResponse {
        let told = |status, text: &str| AdminResponse { status, text: text.to_owned() };
        let to = ShardId(core);
        let Some(member) = &mut self.shard else { return told(409, "there is one core\n") };
        if to.index() >= member.group().count() {
            return told(404, "there is no such core\n");
        }
        let from = member.group().owner(destination);
        if from == to {
            return told(200, "it is there\n");
        }
        if from == member.id() {
            member.schedule_migration(destination, to, self.clock.now());
        } else {
            member.handle.send(from, ShardMessage::Depart { destination, to });
        }
        told(202, "it is told to go; the figures say when it has\n")
    }

    /// Parts with what was told to go, as soon as it can be.
    fn run_pending_migration(&mut self, now: Micros) {
        let Some(member) = &mut self.shard else { return };
        if let Some(PendingMigration { destination, to, deadline: until }) = member.pending_migration.take() {
            let to_itself = to == member.id() || to.index() >= member.group().count();
            if to_itself || !member.owns(destination) || self.shutdown_deadline.is_some() {
                member.group().migration_failed();
            } else if !self.detach_destination(destination, to) {
                let Some(member) = &mut self.shard else { return };
                if now < until {
                    member.pending_migration = Some(PendingMigration { destination, to, deadline: until });
                } else {
                    eprintln!("destination {destination} stays: something of it is not written or said yet");
                    member.group().migration_failed();
                }
            }
        }
        self.gather_on_first_shard();
    }

    /// Gives all that this core has to the first, which is to hand over: what it knows first, and then what it never heard
    /// of, by one change of the owners.
    fn gather_on_first_shard(&mut self) {
        let Some(member) = self.shard.as_ref().filter(|member| member.gathering) else { return };
        let owners = member.group().owners();
        let of_module = self.policy.known_destinations().into_iter().map(|destination| destination.0);
        let held = self.journal.live().values().map(|live| live.message.destination);
        let all: BTreeSet<u16> = of_module.chain(held).filter(|d| owners.owner(*d) == member.id()).collect();
        if all.into_iter().all(|destination| self.detach_destination(destination, ShardId(0)))
            && let Some(member) = &mut self.shard
        {
            member.gathering = false;
            member.group().gathered(member.id());
            eprintln!("core {} has given all it had to core 0", member.id().0);
        }
    }

    /// Whether all that other cores had is here, so that another process can be told.
    pub(super) fn has_all_destinations(&self) -> bool {
        self.shard
            .as_ref()
            .is_none_or(|member| member.owners.all_gathered() && member.pending_migration.is_none())
    }

    /// The others are to give this core all that they have.
    pub(super) fn request_gather(&mut self) {
        let Some(member) = &self.shard else { return };
        member.others().for_each(|core| member.handle.send(core, ShardMessage::Gather));
    }

    /// Parts with a destination, if that can be now.
    fn detach_destination(&mut self, destination: u16, to: ShardId) -> bool {
        // Guards what is written or said half: a message that was given up stays until its notice is kept.
        let given_up = |live: &journal::PendingMessage| {
            live.message.destination == destination && live.abandoned.is_some()
        };
        let written = self.unwritten_records.is_empty()
            && self.submissions.is_empty()
            && self.pending_notifications.is_empty();
        if !written || self.directory.has_pending() || self.journal.live().values().any(given_up) {
            return false;
        }
        let Some(member) = &mut self.shard else { return false };
        let parcel = match self.policy.part(DestinationId(destination)) {
            Ok(parcel) => parcel,
            Err(stays) => {
                eprintln!("destination {destination} stays: {stays}");
                return false;
            }
        };
        let names = parcel.endpoints().into_iter().map(|id| (id, self.directory.name(id))).collect();
        let numbers: Vec<u32> = parcel.messages().map(|message| message.0).collect();
        let mut lives = Vec::new();
        if let JournalStore::Sharded(part) = &mut self.journal {
            lives = part.detach(numbers.iter().copied());
        }
        let mut held = Vec::new();
        for (number, live) in &lives {
            if let Some((_, request)) = self.pending_by_id.remove(&live.message.id) {
                held.push((live.message.id.clone(), *number, request));
            }
        }
        let attempts = numbers.iter().filter_map(|n| Some((*n, self.attempts.remove(n)?))).collect();
        let connections =
            member.router.detach(parcel.out().map(|(message, attempt, _)| (message.0, attempt)));
        let (calls, messages) = (parcel.calls(), numbers.len());
        {
            let mut room = member.group().quotas();
            room.calls.transfer(member.id(), to, calls);
            room.messages.transfer(member.id(), to, messages);
        }
        let bundle =
            MigratedDestination { parcel, names, messages: lives, requests: held, attempts, connections };
        match member.handle.send_now(to, ShardMessage::Migrate(Box::new(bundle))) {
            // Behind the parcel: whoever reads the new owner finds the parcel there.
            Ok(()) => {
                member.detached += 1;
                member.publish_at = 0;
                member.group().migrated(destination, to);
                let me = member.id().0;
                eprintln!(
                    "core {me} hands destination {destination} to core {}: {messages} messages, {calls} calls out",
                    to.0
                );
                true
            }
            Err(ShardMessage::Migrate(bundle)) => {
                let mut room = member.group().quotas();
                room.calls.transfer(to, member.id(), calls);
                room.messages.transfer(to, member.id(), messages);
                drop(room);
                self.attach_destination(*bundle);
                false
            }
            Err(_) => false,
        }
    }

    /// Goes on with a destination that another core parted with.
    fn attach_destination(&mut self, bundle: MigratedDestination) {
        let MigratedDestination { parcel, names, messages: lives, requests: held, attempts, connections } =
            bundle;
        let Some(member) = &mut self.shard else { return };
        let mut ids = BTreeMap::new();
        for (id, name) in names {
            // One that its own core has no name for any more is like no other here.
            let stray = || format!("?{id:?} of core {}", member.id().0);
            let ours = match name.is_empty() {
                true => self.directory.id_of_attempt(&stray()),
                false => {
                    self.directory.listed_id(&name).unwrap_or_else(|| self.directory.id_of_attempt(&name))
                }
            };
            ids.insert(id, ours);
        }
        if let JournalStore::Sharded(part) = &mut self.journal {
            part.attach(lives);
        }
        self.pending_by_id.extend(held.into_iter().map(|(id, number, request)| (id, (number, request))));
        self.attempts.extend(attempts);
        member.router.attach(connections);
        member.attached += 1;
        member.publish_at = 0;
        self.policy.join(parcel.rename(&ids));
        self.destination_attached = true;
    }

    /// The figures of all cores.
    pub(super) fn combined_figures(&self) -> (OutcomeCounts, Gauges) {
        let Some(member) = &self.shard else { return (self.outcome_counts.clone(), self.figures()) };
        let all = member.group().figures();
        let mut ends = self.outcome_counts.clone();
        let mut now = self.figures();
        now.out_of_rotation = self.policy.avoided();
        for figures in all.iter().enumerate().filter(|(core, _)| *core != member.id().index()).map(|of| of.1)
        {
            figures.ends.iter().for_each(|theirs| ends.add(theirs));
            now.relayed += figures.now.relayed;
            now.open += figures.now.open;
            now.out_of_rotation += figures.now.out_of_rotation;
        }
        (ends, now)
    }

    /// The figures of each core, as text.
    pub(super) fn figures_by_shard(&self) -> String {
        use std::fmt::Write;
        let Some(member) = &self.shard else { return String::new() };
        let team = member.group();
        let mut text = String::new();
        let room = team.quotas();
        for (core, figures) in team.figures().iter().enumerate() {
            let of = ShardId(core as u8);
            let (said, wakes) = team.mailbox(of).figures();
            let label = format!("{{core=\"{core}\"}}");
            let _ = writeln!(text, "svc_core_open_requests{label} {}", figures.now.open);
            let _ = writeln!(text, "svc_core_calls_out{label} {}", figures.out);
            let _ = writeln!(text, "svc_core_relayed{label} {}", figures.now.relayed);
            let _ = writeln!(text, "svc_core_slots{label} {}", room.calls.lease(of));
            let _ = writeln!(text, "svc_core_room{label} {}", room.messages.lease(of));
            let _ = writeln!(text, "svc_core_connections{label} {}", room.connections.lease(of));
            let _ = writeln!(text, "svc_core_said_to{label} {said}\nsvc_core_woken{label} {wakes}");
            let _ = writeln!(
                text,
                "svc_core_came{label} {}\nsvc_core_went{label} {}",
                figures.moves.0, figures.moves.1
            );
        }
        let (moved, stayed) = team.migration_counts();
        let _ = writeln!(text, "svc_destinations_moved {moved}\nsvc_destinations_stayed {stayed}");
        text
    }
}

/// An id that no list has.
const UNLISTED: EndpointId = EndpointId([u8::MAX; 6]);
