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
use sharding::{AttemptId, AttemptRouter, DestinationLoad, OwnershipMap, Plan, Planner, ShardId};
use tokio::sync::oneshot;

use super::Driver;
use crate::cores::{BUSY_AGAIN, Bundle, Elsewhere, Figures, Post, Say, Team};
use crate::ports::{AdminResponse, Answer, Frontend, Inbound};
use crate::store::Store;

/// A destination that can't go for so long stays.
const DEPART_WITHIN: Micros = 1_000_000;
/// What binds all cores does so within this time, or on-call staff are told that it does not yet.
const BINDS_WITHIN: Duration = Duration::from_millis(800);
/// The planner looks so often.
const PLAN_EVERY: Micros = 250_000;
/// A core shows its figures so often at most, and at least while anything changes them.
const SHOW_EVERY: Micros = 100_000;

/// A destination that was told to go.
struct Departing {
    destination: u16,
    to: ShardId,
    until: Micros,
}

/// What a driver has beside what one of a single core has.
pub struct Member {
    post: Rc<Post>,
    router: AttemptRouter<EndpointId>,
    /// As of this turn.
    owners: Arc<OwnershipMap>,
    /// What the module may use, as it was last told.
    told: (usize, usize),
    connections: usize,
    work: HashMap<u16, u32>,
    departing: Option<Departing>,
    /// All that it has is to go to the first core.
    gathers: bool,
    /// Figures are shown again then.
    show_at: Micros,
    came: u64,
    went: u64,
    /// The first core plans for all.
    planner: Option<(Planner, Micros)>,
    /// The planner has said that no move helps.
    stuck: bool,
}

impl Member {
    /// Nothing is out.
    pub fn new(post: Rc<Post>) -> Self {
        let (me, team) = (post.me(), post.team());
        let planner = (me == ShardId(0)).then(|| (Planner::new(team.count()), 0));
        let owners = team.owners();
        Self {
            router: AttemptRouter::new(me),
            owners,
            told: (0, 0),
            connections: 0,
            work: HashMap::new(),
            departing: None,
            gathers: false,
            show_at: 0,
            came: 0,
            went: 0,
            planner,
            stuck: false,
            post,
        }
    }

    /// What all share.
    pub fn team(&self) -> &Arc<Team> {
        self.post.team()
    }

    /// Which core this is.
    pub fn me(&self) -> ShardId {
        self.post.me()
    }

    fn is_mine(&self, destination: u16) -> bool {
        self.owners.owner(destination) == self.me()
    }

    fn to_owner(&self, destination: u16, say: Say) {
        self.post.say(self.owners.owner(destination), say);
    }

    fn others(&self) -> impl Iterator<Item = ShardId> {
        let me = self.me();
        self.team().all().filter(move |core| *core != me)
    }

    fn worked(&mut self, destination: u16) {
        *self.work.entry(destination).or_default() += 1;
    }

    fn let_depart(&mut self, destination: u16, to: ShardId, now: Micros) {
        let until = now + DEPART_WITHIN;
        if self.departing.replace(Departing { destination, to, until }).is_some() {
            self.team().stayed();
        }
    }

    /// Attempts that were begun by an earlier process, on connections that it has.
    pub(super) fn began_before(&mut self, attempt: (u32, u16), destination: u16, endpoint: EndpointId) {
        // One that goes on after all knows its own.
        let attempt = AttemptId::new(attempt.0, attempt.1);
        if !self.router.contains(attempt) {
            self.router.attempt_started(attempt, destination, endpoint);
        }
    }

    /// What is out on connections of other cores.
    pub(super) fn elsewhere(
        &self,
        out: &[(MessageId, u16, EndpointId)],
        ids: &[(String, EndpointId)],
    ) -> Elsewhere {
        let on = |(message, attempt, endpoint): &(MessageId, u16, EndpointId)| {
            let core = self.router.connection(AttemptId::new(message.0, *attempt));
            (core != self.me()).then_some(((*message, *attempt), (core, *endpoint)))
        };
        Elsewhere::new(self.post.clone(), out.iter().filter_map(on).collect(), ids)
    }

    /// Whether it is to be looked at soon though nothing happens.
    fn is_watchful(&self) -> bool {
        self.departing.is_some() || self.gathers || self.post.is_behind()
    }

    /// When it is to be looked at, though nothing happens.
    pub(super) fn looks_at(&self, now: Micros) -> Micros {
        let soon = if self.is_watchful() { now + 5_000 } else { Micros::MAX };
        // Once more behind the last change: figures are as old as that at most.
        let shows = if self.router.local_attempts() > 0 || self.show_at > now {
            self.show_at.max(now + 1)
        } else {
            Micros::MAX
        };
        self.planner.as_ref().map_or(Micros::MAX, |planner| planner.1).min(soon).min(shows)
    }
}

/// Other cores said something to this one.
pub(super) async fn woken(member: Option<&Member>) {
    match member {
        Some(member) => member.team().mailbox(member.me()).woken().await,
        None => std::future::pending().await,
    }
}

impl Driver {
    /// Takes in what other cores said. Guards the one owner of each destination in this order, which the package `cores`
    /// checks in all interleavings: the owners are read, then all that came is taken, parcels first, and only then is
    /// anything judged by those owners. So what is this core's by them is here, and all else is sent on.
    pub(super) fn hear_cores(&mut self, fronts: &[Rc<dyn Frontend>], said: &mut Vec<Event>) {
        let Some(member) = &mut self.member else { return };
        member.owners = member.team().owners();
        let came = member.team().mailbox(member.me()).drain();
        let (parcels, others): (Vec<_>, Vec<_>) =
            came.into_iter().partition(|say| matches!(say, Say::Parcel(_)));
        for say in parcels {
            if let Say::Parcel(bundle) = say {
                self.join(*bundle);
            }
        }
        for say in others {
            self.hear(say, fronts, said);
        }
    }

    fn hear(&mut self, say: Say, fronts: &[Rc<dyn Frontend>], said: &mut Vec<Event>) {
        let Some(member) = &mut self.member else { return };
        match say {
            Say::HandedIn(message) => self.fold(Inbound::Submitted(message), said),
            Say::Withdrawn { id, request, destination } => {
                self.fold(Inbound::Withdrawn { id, request, destination }, said);
            }
            Say::Ended { destination, .. } if !member.is_mine(destination) => {
                member.to_owner(destination, say)
            }
            Say::Ended { destination, name, mut over } => {
                member.worked(destination);
                member.router.foreign_attempt_ended(AttemptId::new(over.message.0, over.attempt));
                over.endpoint = self.directory.listed_id(&name).unwrap_or(UNLISTED);
                said.push(self.ended(over));
            }
            Say::Wait { destination, .. } if !member.is_mine(destination) => {
                member.to_owner(destination, say)
            }
            Say::Wait { destination, name, wait } => said.push(self.wait(destination, &name, wait)),
            Say::Parcel(bundle) => self.join(*bundle),
            Say::Depart { destination, to } => member.let_depart(destination, to, self.clock.now()),
            Say::Gather => member.gathers = true,
            Say::Places(most) => {
                fronts.iter().for_each(|front| front.set_max_clients(most));
                if member.owners.all_drained() {
                    // Another process calls from now on: what stands idle is closed.
                    self.directory.carriers().iter().for_each(|carrier| carrier.set_max_connections(0));
                }
            }
            Say::Cancel(message, attempt) => {
                self.directory.carriers().iter().for_each(|carrier| carrier.cancel(message, attempt));
            }
            Say::Listed(list) => self.fold(Inbound::EndpointsUpdated(list), said),
            Say::ListFailed => said.push(Event::DiscoveryFailed),
            Say::HeldOut(held_out, done) => {
                said.push(self.directory.hold_out(held_out));
                self.when_turned.push(done);
            }
            Say::Client(stream) => match fronts.first() {
                Some(front) => front.clone().adopt(stream),
                None => member.team().client_gone(member.me()),
            },
            Say::Discovery(address) => self.discovery_is_at(address),
            Say::Status => self.fold(Inbound::Status, said),
            Say::Terminate => self.fold(Inbound::Terminate, said),
        }
    }

    /// Discovery moved, for this core and, where it is the first, for all.
    pub(super) fn discovery_is_at(&mut self, address: SocketAddr) {
        self.discovery.send_if_modified(|at| std::mem::replace(at, address) != address);
        if let Some(member) = self.member.as_ref().filter(|member| member.me() == ShardId(0)) {
            member.others().for_each(|core| member.post.say(core, Say::Discovery(address)));
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
    pub(super) fn sorted(&mut self, inbound: Inbound) -> Option<Inbound> {
        let Some(member) = &mut self.member else { return Some(inbound) };
        match inbound {
            Inbound::Submitted(message) if !member.is_mine(message.message.destination) => {
                let destination = message.message.destination;
                if let Err(Say::HandedIn(message)) =
                    member.post.try_say(member.owners.owner(destination), Say::HandedIn(message))
                {
                    let _ = message.answer.send(Answer::Rejected(BUSY_AGAIN));
                }
                None
            }
            Inbound::Submitted(message) => {
                member.worked(message.message.destination);
                Some(Inbound::Submitted(message))
            }
            Inbound::Withdrawn { id, request, destination } if !member.is_mine(destination) => {
                member.to_owner(destination, Say::Withdrawn { id, request, destination });
                None
            }
            Inbound::CallCompleted(ends) => {
                let mut ours = Vec::new();
                for over in ends {
                    let attempt = AttemptId::new(over.message.0, over.attempt);
                    match member
                        .router
                        .attempt_ended(attempt)
                        .filter(|destination| !member.is_mine(*destination))
                    {
                        Some(destination) => {
                            let name = self.directory.name(over.endpoint);
                            member.to_owner(destination, Say::Ended { destination, name, over });
                        }
                        None => {
                            self.directory
                                .destination(over.endpoint)
                                .into_iter()
                                .for_each(|d| member.worked(d));
                            member.router.foreign_attempt_ended(attempt);
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
                match destination.filter(|destination| !member.is_mine(*destination)) {
                    Some(destination) => {
                        let name = self.directory.name(endpoint);
                        member.to_owner(destination, Say::Wait { destination, name, wait });
                        None
                    }
                    None => Some(Inbound::Event(Event::RetryAfter { endpoint, wait })),
                }
            }
            // What one core hears for all.
            Inbound::EndpointsUpdated(list) if member.me() == ShardId(0) => {
                member.others().for_each(|core| member.post.say(core, Say::Listed(list.clone())));
                Some(Inbound::EndpointsUpdated(list))
            }
            Inbound::Event(Event::DiscoveryFailed) if member.me() == ShardId(0) => {
                member.others().for_each(|core| member.post.say(core, Say::ListFailed));
                Some(Inbound::Event(Event::DiscoveryFailed))
            }
            Inbound::Terminate if member.me() == ShardId(0) => {
                member.others().for_each(|core| member.post.say(core, Say::Terminate));
                Some(Inbound::Terminate)
            }
            Inbound::Status if member.me() == ShardId(0) => {
                member.others().for_each(|core| member.post.say(core, Say::Status));
                Some(Inbound::Status)
            }
            inbound => Some(inbound),
        }
    }

    /// Tells the other cores who is held out; the answer comes once each has done it.
    fn held_out_everywhere(&self, held_out: &Ejections) -> Vec<oneshot::Receiver<()>> {
        let Some(member) = &self.member else { return Vec::new() };
        let tell = |core| {
            let (done, heard) = oneshot::channel();
            member.post.say(core, Say::HeldOut(held_out.clone(), done));
            heard
        };
        member.others().map(tell).collect()
    }

    /// Answers on-call staff; a yes to what binds all cores comes once it does.
    pub(super) fn answer_staff(
        &mut self,
        call: AdminRequest,
        answer: oneshot::Sender<AdminResponse>,
        said: &mut Vec<Event>,
    ) {
        let binds = matches!(call, AdminRequest::Eject(_) | AdminRequest::Reinstate(_));
        let told = self.asked(call, said);
        if !binds || told.status != 200 || self.member.is_none() {
            let _ = answer.send(told);
            return;
        }
        let waits = self.held_out_everywhere(self.directory.held_out());
        tokio::task::spawn_local(async move {
            let all = async {
                for heard in waits {
                    let _ = heard.await;
                }
            };
            let told = match tokio::time::timeout(BINDS_WITHIN, all).await {
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
    pub(super) fn lease(&mut self, said: &mut Vec<Event>) {
        let Some(member) = &mut self.member else { return };
        let come =
            said.iter().filter(|event| matches!(event, Event::Accepted(_) | Event::Recovered { .. })).count();
        let (held, out, waiting) = (self.policy.held(), self.policy.calls_out(), self.policy.waiting());
        // The module begins to shed a sixteenth ahead of its room.
        let room_for = (held + come) * 16 / 15 + 2;
        let used: usize = self.directory.carriers().iter().map(|carrier| carrier.connections()).sum();
        let (slots, messages, connections) = {
            let mut room = member.team().room();
            let slots = room.slots.update(member.me(), out, out + waiting + come);
            let messages = room.held.update(member.me(), held, room_for);
            let more = slots.lease.saturating_sub(out).min(waiting + come);
            (slots, messages, room.connections.update(member.me(), used, used + more))
        };
        for leased in [&slots, &messages, &connections] {
            leased.concerned.iter().for_each(|core| member.team().mailbox(*core).wake());
        }
        if std::mem::replace(&mut member.connections, connections.lease) != connections.lease {
            self.directory
                .carriers()
                .iter()
                .for_each(|carrier| carrier.set_max_connections(connections.lease));
        }
        if member.told != (slots.lease, messages.lease) {
            member.told = (slots.lease, messages.lease);
            said.push(Event::CapacityChanged { max_calls: slots.lease, max_messages: messages.lease });
        }
    }

    /// A call begins on a connection of this core.
    pub(super) fn note_out(&mut self, message: MessageId, attempt: u16, endpoint: EndpointId) {
        if let (Some(member), Some(destination)) = (&mut self.member, self.directory.destination(endpoint)) {
            member.router.attempt_started(AttemptId::new(message.0, attempt), destination, endpoint);
        }
    }

    /// An attempt of this core's module is called off, wherever its connection is.
    pub(super) fn call_off(&self, message: MessageId, attempt: u16) {
        if let Some(member) = &self.member {
            let at = member.router.connection(AttemptId::new(message.0, attempt));
            if at != member.me() {
                return member.post.say(at, Say::Cancel(message, attempt));
            }
        }
        self.directory.carriers().iter().for_each(|carrier| carrier.cancel(message, attempt));
    }

    /// What is left to do once a turn is over: what it came to is shown, and destinations go.
    pub(super) fn after_turn(&mut self) {
        for done in self.when_turned.drain(..) {
            let _ = done.send(());
        }
        let now = self.clock.now();
        self.plan(now);
        self.depart(now);
        self.show(now);
        let Some(member) = &mut self.member else { return };
        let me = member.me();
        member.post.team().worked(me, member.work.drain());
        member.post.flush();
    }

    /// Shows what this core counts. Guards turns against figures that take a look at all endpoints: once in a while.
    fn show(&mut self, now: Micros) {
        let Some(member) = self.member.as_mut().filter(|member| member.show_at <= now) else { return };
        member.show_at = now + SHOW_EVERY;
        let (me, team, moves) = (member.me(), member.team().clone(), (member.came, member.went));
        let now = Gauges { out_of_rotation: self.policy.shut(), ..self.figures() };
        team.show(me, Figures { ends: Some(self.ends.clone()), now, out: self.policy.calls_out(), moves });
    }

    /// Says once in a while which destination should go where, on the first core.
    fn plan(&mut self, now: Micros) {
        let Some(member) = &mut self.member else { return };
        let Some((planner, at)) = member.planner.as_mut().filter(|planner| planner.1 <= now) else { return };
        *at = now + PLAN_EVERY;
        let owners = &member.owners;
        let loads: Vec<DestinationLoad> = member
            .post
            .team()
            .take_work()
            .into_iter()
            .map(|(destination, events)| DestinationLoad {
                destination,
                shard: owners.owner(destination),
                work: events.into(),
            })
            .collect();
        match planner.round(now, &loads) {
            Plan::Migrate(advised) => {
                planner.migrated(advised);
                member.stuck = false;
                let say = Say::Depart { destination: advised.destination, to: advised.to };
                if advised.from == member.post.me() {
                    member.let_depart(advised.destination, advised.to, now);
                } else {
                    member.post.say(advised.from, say);
                }
            }
            Plan::Hotspot { shard: core, destination, share } if !member.stuck => {
                member.stuck = true;
                eprintln!(
                    "core {} is busier than the others and no move helps: {:.0}% of its work is for destination {destination}",
                    core.0,
                    share * 100.0
                );
            }
            Plan::Hotspot { .. } => {}
            Plan::Stay => member.stuck = false,
        }
    }

    /// On-call staff want a destination on another core.
    pub(super) fn asked_to_move(&mut self, destination: u16, core: u8) -> AdminResponse {
        let told = |status, text: &str| AdminResponse { status, text: text.to_owned() };
        let to = ShardId(core);
        let Some(member) = &mut self.member else { return told(409, "there is one core\n") };
        if to.index() >= member.team().count() {
            return told(404, "there is no such core\n");
        }
        let from = member.team().owner(destination);
        if from == to {
            return told(200, "it is there\n");
        }
        if from == member.me() {
            member.let_depart(destination, to, self.clock.now());
        } else {
            member.post.say(from, Say::Depart { destination, to });
        }
        told(202, "it is told to go; the figures say when it has\n")
    }

    /// Parts with what was told to go, as soon as it can be.
    fn depart(&mut self, now: Micros) {
        let Some(member) = &mut self.member else { return };
        if let Some(Departing { destination, to, until }) = member.departing.take() {
            let to_itself = to == member.me() || to.index() >= member.team().count();
            if to_itself || !member.is_mine(destination) || self.stop_at.is_some() {
                member.team().stayed();
            } else if !self.goes(destination, to) {
                let Some(member) = &mut self.member else { return };
                if now < until {
                    member.departing = Some(Departing { destination, to, until });
                } else {
                    eprintln!("destination {destination} stays: something of it is not written or said yet");
                    member.team().stayed();
                }
            }
        }
        self.gather();
    }

    /// Gives all that this core has to the first, which is to hand over: what it knows first, and then what it never heard
    /// of, by one change of the owners.
    fn gather(&mut self) {
        let Some(member) = self.member.as_ref().filter(|member| member.gathers) else { return };
        let owners = member.team().owners();
        let of_module = self.policy.known_destinations().into_iter().map(|destination| destination.0);
        let held = self.journal.live().values().map(|live| live.message.destination);
        let all: BTreeSet<u16> = of_module.chain(held).filter(|d| owners.owner(*d) == member.me()).collect();
        if all.into_iter().all(|destination| self.goes(destination, ShardId(0)))
            && let Some(member) = &mut self.member
        {
            member.gathers = false;
            member.team().has_gathered(member.me());
            eprintln!("core {} has given all it had to core 0", member.me().0);
        }
    }

    /// Whether all that other cores had is here, so that another process can be told.
    pub(super) fn has_all(&self) -> bool {
        self.member.as_ref().is_none_or(|member| member.owners.all_drained() && member.departing.is_none())
    }

    /// The others are to give this core all that they have.
    pub(super) fn gather_all(&mut self) {
        let Some(member) = &self.member else { return };
        member.others().for_each(|core| member.post.say(core, Say::Gather));
    }

    /// Parts with a destination, if that can be now.
    fn goes(&mut self, destination: u16, to: ShardId) -> bool {
        // Guards what is written or said half: a message that was given up stays until its notice is kept.
        let given_up = |live: &journal::PendingMessage| {
            live.message.destination == destination && live.abandoned.is_some()
        };
        let written = self.unwritten.is_empty() && self.fresh.is_empty() && self.unsaid.is_empty();
        if !written || self.directory.is_behind() || self.journal.live().values().any(given_up) {
            return false;
        }
        let Some(member) = &mut self.member else { return false };
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
        if let Store::Part(part) = &mut self.journal {
            lives = part.detach(numbers.iter().copied());
        }
        let mut held = Vec::new();
        for (number, live) in &lives {
            if let Some((_, request)) = self.held.remove(&live.message.id) {
                held.push((live.message.id.clone(), *number, request));
            }
        }
        let attempts = numbers.iter().filter_map(|n| Some((*n, self.attempts.remove(n)?))).collect();
        let connections = member
            .router
            .detach(parcel.out().map(|(message, attempt, _)| AttemptId::new(message.0, attempt)));
        let (calls, messages) = (parcel.calls(), numbers.len());
        {
            let mut room = member.team().room();
            room.slots.transfer(member.me(), to, calls);
            room.held.transfer(member.me(), to, messages);
        }
        let bundle = Bundle { parcel, names, lives, held, attempts, connections };
        match member.post.say_now(to, Say::Parcel(Box::new(bundle))) {
            // Behind the parcel: whoever reads the new owner finds the parcel there.
            Ok(()) => {
                member.went += 1;
                member.show_at = 0;
                member.team().has_gone(destination, to);
                let me = member.me().0;
                eprintln!(
                    "core {me} hands destination {destination} to core {}: {messages} messages, {calls} calls out",
                    to.0
                );
                true
            }
            Err(Say::Parcel(bundle)) => {
                let mut room = member.team().room();
                room.slots.transfer(to, member.me(), calls);
                room.held.transfer(to, member.me(), messages);
                drop(room);
                self.join(*bundle);
                false
            }
            Err(_) => false,
        }
    }

    /// Goes on with a destination that another core parted with.
    fn join(&mut self, bundle: Bundle) {
        let Bundle { parcel, names, lives, held, attempts, connections } = bundle;
        let Some(member) = &mut self.member else { return };
        let mut ids = BTreeMap::new();
        for (id, name) in names {
            // One that its own core has no name for any more is like no other here.
            let stray = || format!("?{id:?} of core {}", member.me().0);
            let ours = match name.is_empty() {
                true => self.directory.id_of_attempt(&stray()),
                false => {
                    self.directory.listed_id(&name).unwrap_or_else(|| self.directory.id_of_attempt(&name))
                }
            };
            ids.insert(id, ours);
        }
        if let Store::Part(part) = &mut self.journal {
            part.attach(lives);
        }
        self.held.extend(held.into_iter().map(|(id, number, request)| (id, (number, request))));
        self.attempts.extend(attempts);
        member.router.attach(connections);
        member.came += 1;
        member.show_at = 0;
        self.policy.join(parcel.rename(&ids));
        self.joined = true;
    }

    /// The figures of all cores.
    pub(super) fn figures_of_all(&self) -> (OutcomeCounts, Gauges) {
        let Some(member) = &self.member else { return (self.ends.clone(), self.figures()) };
        let all = member.team().figures();
        let mut ends = self.ends.clone();
        let mut now = self.figures();
        now.out_of_rotation = self.policy.avoided();
        for figures in all.iter().enumerate().filter(|(core, _)| *core != member.me().index()).map(|of| of.1)
        {
            figures.ends.iter().for_each(|theirs| ends.add(theirs));
            now.relayed += figures.now.relayed;
            now.open += figures.now.open;
            now.out_of_rotation += figures.now.out_of_rotation;
        }
        (ends, now)
    }

    /// The figures of each core, as text.
    pub(super) fn figures_by_core(&self) -> String {
        use std::fmt::Write;
        let Some(member) = &self.member else { return String::new() };
        let team = member.team();
        let mut text = String::new();
        let room = team.room();
        for (core, figures) in team.figures().iter().enumerate() {
            let of = ShardId(core as u8);
            let (said, wakes) = team.mailbox(of).figures();
            let label = format!("{{core=\"{core}\"}}");
            let _ = writeln!(text, "svc_core_open_requests{label} {}", figures.now.open);
            let _ = writeln!(text, "svc_core_calls_out{label} {}", figures.out);
            let _ = writeln!(text, "svc_core_relayed{label} {}", figures.now.relayed);
            let _ = writeln!(text, "svc_core_slots{label} {}", room.slots.lease(of));
            let _ = writeln!(text, "svc_core_room{label} {}", room.held.lease(of));
            let _ = writeln!(text, "svc_core_connections{label} {}", room.connections.lease(of));
            let _ = writeln!(text, "svc_core_said_to{label} {said}\nsvc_core_woken{label} {wakes}");
            let _ = writeln!(
                text,
                "svc_core_came{label} {}\nsvc_core_went{label} {}",
                figures.moves.0, figures.moves.1
            );
        }
        let (moved, stayed) = team.moves();
        let _ = writeln!(text, "svc_destinations_moved {moved}\nsvc_destinations_stayed {stayed}");
        text
    }
}

/// An id that no list has.
const UNLISTED: EndpointId = EndpointId([u8::MAX; 6]);
