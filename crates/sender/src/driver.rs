//! The loop round the module: events are collected into a turn, the module decides, the journal is
//! written, and only then are clients answered and calls started.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use admin::door::AdmissionGate;
use admin::figures::{FinalOutcome, OutcomeCounts};
use admin::held_out::Ejections;
use decision::interface::*;
use decision::policy::Policy;
use handover::HandoverState;
use health_snapshot::restore::RestoredState;
use journal::{Abandonment, AcceptedMessage, Record};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::{Notify, oneshot, watch};

use crate::again::Again;
use crate::config::{self, Config};
use crate::cores::Elsewhere;
use crate::directory::{Directory, SLICE};
use crate::handover::Before;
use crate::http;
use crate::known::Memory;
use crate::link::Link;
use crate::list::{ListBody, Listed};
use crate::meanings::Meanings;
use crate::peers::Peers;
use crate::platform::{self, Notice};
use crate::ports::{Answer, AttemptOver, CallMessage, Clock, Frontend, Inbound, Transport, WriteOptions};
use crate::store::Store;

mod begin;
mod duty;
mod learnt;
mod left;
mod taking;
mod team;

pub use team::Member;

use left::Untried;

/// From SIGTERM until the process may be killed.
const STOP_WITHIN: Micros = 3_700_000;
/// From SIGTERM until clients have learnt to go elsewhere.
const STILL_CALLED: Micros = 1_000_000;
/// Advice to clients while the journal has no room.
const NO_ROOM_AGAIN: Micros = 1_000_000;
/// Advice to clients whose destination no list has named yet.
const UNLISTED_AGAIN: Micros = 1_000_000;
/// Stands for the request by which a message came where none may take it back; requests are counted from 1.
const NO_REQUEST: u64 = 0;

/// A message handed in within this turn.
struct Fresh {
    taken: Arc<AcceptedMessage>,
    /// Those who wait for the answer, by their requests' numbers: more than one where it was said once more.
    answers: Vec<(u64, oneshot::Sender<Answer>)>,
}

impl Fresh {
    fn answer(self, answer: Answer) {
        for (_, waiting) in self.answers {
            // Who does not wait any more has said so.
            let _ = waiting.send(answer);
        }
    }
}

/// An attempt that the module wants made.
struct Send {
    message: MessageId,
    attempt: u16,
    endpoint: EndpointId,
    timeout: Micros,
    leave_within: Micros,
    pace: WriteOptions,
}

struct Driver {
    clock: Clock,
    /// The time of this turn, read once before anything is folded in. Guards a message's deadline against moving: what
    /// the module is told of the time that is left, it counts from the time at which it decides. Told as of one instant
    /// and counted from a later one, a message lived on after its time by what lay between (up to 44 ms at a start), and
    /// an answer to its call in that gap was no end of it any more, nor was a notice on its way.
    at: Micros,
    policy: Policy,
    journal: Store,
    directory: Directory,
    peers: Option<Peers>,
    notices: UnboundedSender<Notice>,
    whole_list: Rc<Notify>,
    discovery: watch::Sender<SocketAddr>,
    inbound: UnboundedSender<Inbound>,
    /// The list's version; and when discovery last said that there is nothing newer, which it goes on to say while the watch
    /// stands.
    index: u64,
    list_seen: Micros,
    list_is_good: bool,
    /// What was learnt, for the next process.
    memory: Option<Memory>,
    /// Destinations that a turn may have taught something of.
    touched: Vec<u16>,
    /// Who asks to take over, and what is left of the process before this one.
    successor: Option<Link>,
    before: Option<Rc<Before>>,
    door: watch::Sender<AdmissionGate>,
    ends: OutcomeCounts,
    /// Where it is kept who is held out.
    state: PathBuf,
    stop_at: Option<Micros>,
    timers: BTreeSet<(Micros, u64)>,
    next_message: u32,
    /// By their `Req-Id`: numbers of the messages that are held, and of the requests by which they came.
    held: HashMap<String, (u32, u64)>,
    /// Attempts begun for each message that is held.
    attempts: HashMap<u32, u16>,
    /// Handed in since the last turn, or in it.
    fresh: BTreeMap<u32, Fresh>,
    /// Records that could not be written yet; they promise nothing to anybody.
    unwritten: Vec<Record>,
    /// When the journal may be complained of again.
    complain_at: Micros,
    /// Notices whose records are not written yet.
    unsaid: Vec<(u32, Abandonment, String)>,
    /// One of several cores; none where there is one.
    member: Option<Member>,
    /// A destination came in this turn.
    joined: bool,
    /// What the process before left untried.
    untried: Untried,
    /// What binds what was taken on before, by its class.
    meanings: Arc<Meanings>,
    /// Other cores that wait for the end of this turn.
    when_turned: Vec<oneshot::Sender<()>>,
}

/// What the driver is put together with.
pub struct Parts {
    /// The time.
    pub clock: Clock,
    /// What was taken on.
    pub journal: Store,
    /// What one of several cores has beside.
    pub member: Option<Member>,
    /// Take messages on.
    pub fronts: Vec<Rc<dyn Frontend>>,
    /// Make calls; the first that can read an endpoint's address makes those to it.
    pub carriers: Vec<Rc<dyn Transport>>,
    /// Notes to other senders.
    pub peers: Option<Peers>,
    /// Tells the fronts whether clients may come.
    pub door: watch::Sender<AdmissionGate>,
    /// Who is held out by hand.
    pub held_out: Ejections,
    /// The fronts have begun.
    pub begun: bool,
    /// What another process knew, which this one goes on with.
    pub taken_over: Option<(HandoverState, Policy)>,
    /// What is left of the process before.
    pub before: Option<Rc<Before>>,
    /// Endpoints of destinations that told another process a wait, and until when.
    pub waits: Vec<(String, Micros)>,
    /// Ends so far.
    pub ends: Option<OutcomeCounts>,
    /// The system's clock was set back since the last process.
    pub set_back: bool,
    /// Keeps what is learnt for the next process.
    pub memory: Option<Memory>,
    /// What the last process learnt, as far as it is believed.
    pub belief: RestoredState,
    /// What binds what was taken on, by its class.
    pub meanings: Arc<Meanings>,
}

/// What is left of the first of several cores once all is handed over: for going on after all, and for what the others have.
pub struct Left {
    /// As it was.
    pub member: Member,
    /// Its part of the journal, which is closed.
    pub part: journal::JournalPart,
    /// The other cores' clients and calls.
    pub elsewhere: Rc<Elsewhere>,
}

/// How the sender ended.
pub enum Ended {
    /// It was asked to, and has nothing left to do that the next process can't.
    Done,
    /// A process that was started beside it is to take over: what it is to be told, and what is left here.
    HandsOver {
        /// Who asks.
        successor: Link,
        /// What it is told.
        state: Box<HandoverState>,
        /// Ends so far.
        ends: OutcomeCounts,
        /// Notes to other senders, which the other process is to have.
        peers: Option<Peers>,
        /// What is left of one of several cores.
        member: Option<Box<Left>>,
    },
}

/// Runs the sender until it is asked to end and has, or another process is to take over.
///
/// # Errors
/// Fails when a front can't begin.
pub async fn run(
    config: &Config,
    parts: Parts,
    inbound: UnboundedSender<Inbound>,
    events: &mut UnboundedReceiver<Inbound>,
) -> Result<Ended, String> {
    let Parts {
        clock,
        journal,
        member,
        fronts,
        carriers,
        peers,
        door,
        held_out,
        set_back,
        begun,
        memory,
        ..
    } = parts;
    let (from, before, waits, ends) = (parts.taken_over, parts.before, parts.waits, parts.ends);
    let mut belief = parts.belief;
    let me = member.as_ref().map_or(sharding::ShardId(0), Member::me);
    let new = || Policy::new(config.settings.clone(), config.seed.wrapping_add(me.0.into()), clock.now());
    let (from, mut policy) = from.map_or_else(|| (None, new()), |(state, policy)| (Some(state), policy));
    policy.count_calls_from(u64::from(me.0) << 48);
    let (notices, owed) = unbounded_channel();
    let whole_list = Rc::new(Notify::new());
    let (discovery, found) = watch::channel(config.discovery);
    let mut driver = Driver {
        clock,
        at: clock.now(),
        next_message: journal.live().keys().max().map_or(0, |last| last.wrapping_add(1)),
        journal,
        directory: Directory::new(config.names.clone(), config.settings.kinds.clone(), carriers, held_out),
        peers,
        notices,
        whole_list: whole_list.clone(),
        discovery,
        inbound: inbound.clone(),
        index: config.known.index,
        list_seen: 0,
        list_is_good: false,
        memory,
        touched: Vec::new(),
        successor: None,
        before,
        door,
        ends: ends.unwrap_or_else(|| OutcomeCounts::new(config.names.classes.iter().cloned())),
        state: config.state.clone(),
        stop_at: None,
        timers: BTreeSet::new(),
        held: HashMap::new(),
        attempts: HashMap::new(),
        fresh: BTreeMap::new(),
        unwritten: Vec::new(),
        complain_at: 0,
        unsaid: Vec::new(),
        member,
        joined: false,
        untried: Untried::new(&config.settings),
        meanings: parts.meanings,
        when_turned: Vec::new(),
        policy,
    };
    let (mut first, from) = match from {
        Some(state) => {
            let first = driver.go_on(state);
            (first, Some(driver.index))
        }
        None => driver.start(config.known.clone(), set_back, waits, &mut belief),
    };
    driver.lease(&mut first);
    driver.turn(first);

    let mut places = Vec::new();
    for front in fronts.iter().filter(|_| !begun) {
        places.push(front.clone().start().map_err(|e| format!("listen: {e}"))?.to_string());
    }
    // On-call staff learn of a process that takes clients from when on it does.
    if let (Some(address), false) = (config.ops, begun) {
        let place = http::ops::listen(address, inbound.clone()).map_err(|e| format!("ops: {e}"))?;
        eprintln!("{} answers on-call staff on {place}", config.name);
    }
    tokio::task::spawn_local(platform::notices(found.clone(), owed, inbound.clone()));
    let grace = Duration::from_micros(config.settings.rules.drain_timeout);
    let again = Again::new(config.settings.senders, grace, config.seed);
    let good_for = Duration::from_micros(belief.list.good_for);
    // One core watches the list for all.
    let watch = (me == sharding::ShardId(0)).then(|| {
        tokio::task::spawn_local(platform::watch(found, from, whole_list, again, good_for, inbound))
    });
    if me == sharding::ShardId(0) {
        driver.say_ready(&config.name, &places);
    }

    let period = Duration::from_micros(config.settings.period);
    let mut turned = tokio::time::Instant::now();
    loop {
        let due = driver.timers.first().map_or(Micros::MAX / 2, |timer| timer.0);
        // What is looked at now and then: an end that is near, who asks to take over, a journal that could not be
        // written.
        let watchful = driver.stop_at.is_some() || driver.successor.is_some() || !driver.unwritten.is_empty();
        let due = if watchful { due.min(clock.now() + 50_000) } else { due };
        let due = if driver.directory.is_behind() { 0 } else { due };
        let with_others = driver.member.as_ref().map(|member| member.looks_at(clock.now()));
        let due = due.min(with_others.unwrap_or(due));
        let to_write = driver.memory.as_ref().and_then(|memory| memory.next_due(clock.now()));
        let due = due.min(to_write.unwrap_or(due));
        let first = tokio::select! {
            first = events.recv() => first,
            () = team::woken(driver.member.as_ref()) => None,
            () = tokio::time::sleep_until(clock.instant(due.min(clock.now() + 60_000_000))) => None,
        };
        // Turns are a period apart at least, as the module is told.
        tokio::time::sleep_until(turned + period).await;
        turned = tokio::time::Instant::now();
        driver.at = clock.now();
        let mut said: Vec<Event> = Vec::new();
        driver.hear_cores(&fronts, &mut said);
        first.into_iter().for_each(|inbound| driver.fold(inbound, &mut said));
        while let Ok(inbound) = events.try_recv() {
            driver.fold(inbound, &mut said);
        }
        if driver.directory.is_behind() {
            said.push(driver.directory.slice(SLICE, || endpoints_of_attempts(&driver.journal)));
        }
        let now = driver.at;
        while let Some(timer) = driver.timers.pop_first() {
            if timer.0 > now {
                driver.timers.insert(timer);
                break;
            }
            said.push(Event::TimerFired(timer.1));
        }
        driver.lease(&mut said);
        if !said.is_empty() || !driver.unwritten.is_empty() || std::mem::take(&mut driver.joined) {
            driver.turn(said);
        }
        driver.after_turn();
        driver.keep_known();
        let may_end = driver.may_end(fronts.iter().map(|front| front.open_connections()).sum());
        if driver.member.as_ref().map_or(may_end, |member| member.team().done(me, may_end)) {
            return Ok(Ended::Done);
        }
        // Guards the end of a call that is on its way here, and out nowhere any more: it must not get lost between the
        // two processes.
        let now = events.is_empty() && driver.may_hand_over();
        if let Some(successor) = driver.successor.take_if(|_| now) {
            match driver.state(fronts.iter().map(|front| front.requests()).max().unwrap_or(0)) {
                Ok(state) => {
                    watch.iter().for_each(tokio::task::JoinHandle::abort);
                    let left = match (driver.member, driver.journal) {
                        (Some(member), Store::Part(mut part)) => {
                            part.close();
                            let elsewhere = Rc::new(member.elsewhere(&state.attempts_in_flight, &state.ids));
                            Some(Box::new(Left { member, part, elsewhere }))
                        }
                        _ => None,
                    };
                    let (state, ends, peers) = (Box::new(state), driver.ends, driver.peers);
                    return Ok(Ended::HandsOver { successor, state, ends, peers, member: left });
                }
                Err(e) => eprintln!("the state can't be handed over: {e}"),
            }
        }
    }
}

impl Driver {
    /// Turns what a task says into events for the module.
    fn fold(&mut self, inbound: Inbound, said: &mut Vec<Event>) {
        let Some(inbound) = self.sorted(inbound) else { return };
        if let Inbound::EndpointsUpdated(Listed(list)) = &inbound {
            (self.index, self.list_is_good) = (list.index, true);
        }
        match inbound {
            Inbound::Submitted(message) => self.handed_in(message, said),
            Inbound::Withdrawn { id, request, .. } => self.withdrawn(&id, request, said),
            Inbound::CallCompleted(ends) => ends.into_iter().for_each(|end| said.push(self.ended(end))),
            Inbound::Event(event) => said.push(event),
            Inbound::Successor(link) => {
                self.gather_all();
                self.successor = Some(link);
            }
            Inbound::EndpointsUpdated(Listed(list)) if self.directory.wants_slices(&list) => {
                if self.directory.put_off(list).is_err() {
                    eprintln!("the list changes faster than it can be taken in: it is asked for as a whole");
                    self.whole_list.notify_one();
                }
            }
            Inbound::EndpointsUpdated(Listed(list)) => said.push(self.listed(&list)),
            Inbound::NotificationsAcknowledged(messages) => {
                for MessageId(number) in messages {
                    if let Some(id) = self.journal.live().get(&number).map(|l| l.message.id.clone()) {
                        self.over(number, false);
                        self.forget(number, &id);
                    }
                }
            }
            Inbound::AdminRequest(call, answer) => self.answer_staff(call, answer, said),
            Inbound::Status => {
                let open: Vec<_> = self.policy.open_breakers().iter().map(|d| d.0).collect();
                let (awake, asleep) = self.policy.awake_and_asleep();
                let core =
                    self.member.as_ref().map_or(String::new(), |member| format!(" core={}", member.me().0));
                let held = self.policy.held();
                eprintln!("status{core} held={held} awake={awake} asleep={asleep} open={open:?}");
            }
            Inbound::Reload => match config::discovery_again() {
                Ok(address) => self.discovery_is_at(address),
                Err(e) => eprintln!("the configuration stays as it was: {}", e.replace(['\n', '\r'], " ")),
            },
            Inbound::Terminate if self.stop_at.is_some() => {}
            Inbound::Terminate => {
                let at = self.clock.now() + STOP_WITHIN;
                self.stop_at = Some(at);
                self.door.send_replace(AdmissionGate::Closing);
                said.push(Event::ShuttingDown(at));
            }
        }
    }

    fn listed(&mut self, list: &ListBody) -> Event {
        self.directory.listed(list, || endpoints_of_attempts(&self.journal))
    }

    fn notify(&self, number: u32, how: Abandonment, id: String) {
        let _ = self.notices.send(Notice { message: MessageId(number), id, how });
    }

    /// One turn: the module decides, the journal is written, then clients hear and calls begin.
    fn turn(&mut self, said: Vec<Event>) {
        let now = self.at;
        debug_assert!(said.iter().all(|event| self.is_as_of_now(event)), "time left as of another instant");
        let mut actions = Vec::new();
        self.note_learning(&said);
        self.policy.handle(now, &said, &mut actions);
        let mut records = std::mem::take(&mut self.unwritten);
        let mut fresh = std::mem::take(&mut self.fresh);
        // Answered in the turn that took them: the journal never hears of these.
        let mut given_up = Vec::new();
        let mut sends: Vec<Send> = Vec::new();
        for action in actions {
            match action {
                Action::Attempt {
                    message,
                    endpoint,
                    timeout,
                    send_within: leave_within,
                    last_byte_delay: hold,
                    new_connection: new,
                } => {
                    if let Some(attempt) = self.attempts_of(message, &fresh) {
                        self.note_call(endpoint);
                        self.untried.called(message.0);
                        self.note_out(message, attempt, endpoint);
                        let pace = WriteOptions { last_byte_delay: hold, new_connection: new };
                        sends.push(Send { message, attempt, endpoint, timeout, leave_within, pace });
                    }
                }
                Action::Reject { message, retry_after } => {
                    given_up.push((message.0, Abandonment::Deferred(retry_after)));
                }
                Action::Fail(message) => given_up.push((message.0, Abandonment::Undeliverable)),
                Action::Cancel { message, attempt } => self.call_off(message, attempt),
                Action::HealthCheck(endpoint) => match self.directory.carrier(endpoint) {
                    Some(carrier) => carrier.probe(endpoint),
                    None => {
                        let outcome = Outcome::ConnectFailed;
                        let event = Event::HealthChecked { endpoint, outcome, report: vec![] };
                        let _ = self.inbound.send(Inbound::Event(event));
                    }
                },
                Action::CloseIdleConnections(endpoint) => {
                    if let Some(carrier) = self.directory.carrier(endpoint) {
                        carrier.close_idle(endpoint);
                    }
                }
                // The watch goes on all the time.
                Action::WatchEndpoints => {}
                Action::FetchEndpoints => self.whole_list.notify_one(),
                Action::SendGossip { to, content } => {
                    if let Some(peers) = &self.peers {
                        peers.tell(to, &content);
                    }
                }
                Action::SetTimer { at, token } => {
                    self.timers.insert((at, token));
                }
                Action::Log(line) => eprintln!("{line}"),
            }
        }
        for (number, how) in given_up {
            let end = match how {
                Abandonment::Deferred(_) => FinalOutcome::Throttled,
                Abandonment::Undeliverable => FinalOutcome::Faulted,
            };
            if let Some(fresh) = fresh.remove(&number) {
                self.ends.count(&fresh.taken.class, end);
                self.forget(number, &fresh.taken.id);
                fresh.answer(match how {
                    Abandonment::Deferred(again) => Answer::Rejected(again),
                    Abandonment::Undeliverable => Answer::Failed,
                });
            } else if let Some(taken) = self.journal.live().get(&number).map(|live| live.message.clone()) {
                self.untried.given_up(number, taken.deadline.saturating_sub(now));
                self.ends.count(&taken.class, end);
                records.push(Record::Abandoned(number, how));
                self.unsaid.push((number, how, taken.id.clone()));
            }
        }
        let kept = records.len();
        records.extend(fresh.iter().map(|(number, fresh)| Record::Accepted(*number, fresh.taken.clone())));
        records.extend(sends.iter().map(|send| Record::AttemptStarted {
            message: send.message.0,
            attempt: send.attempt,
            endpoint: self.directory.name(send.endpoint),
            at: now,
        }));
        let mut written = self.journal.append(now, &mut records);
        if written.is_err() && self.give_room_back() {
            written = self.journal.append(now, &mut records);
        }
        if let Err(e) = written {
            self.complain("written", &e);
            records.truncate(kept);
            // Ends alone take little room, and have some kept for them.
            let ends_written = self.journal.append(now, &mut records).is_ok();
            self.say_ends(now, ends_written);
            self.withhold(records, fresh, &sends);
        } else {
            for fresh in fresh.into_values() {
                fresh.answer(Answer::Accepted);
            }
            self.say_ends(now, true);
            self.begin(now, sends);
        }
        self.untried.told().into_iter().for_each(|line| eprintln!("{line}"));
        // Once answers and calls are out.
        if let Err(e) = self.journal.tidy(now) {
            // Compaction has its room first too; it goes on in the next turn.
            if !self.give_room_back() {
                self.complain("compacted", &e);
            }
        }
    }

    /// Tells the platform of ends that are written. One that could not be written is told all the same once the
    /// message's time is up: no later process would send it then. Before that it would be a second answer, should
    /// this process end here and the next one deliver.
    fn say_ends(&mut self, now: Micros, written: bool) {
        for (number, how, id) in std::mem::take(&mut self.unsaid) {
            let late = self.journal.live().get(&number).is_none_or(|live| live.message.deadline <= now);
            if written || late {
                self.notify(number, how, id);
            } else {
                self.unsaid.push((number, how, id));
            }
        }
    }

    /// Whether the module is told of the time that is left to a message as of this turn.
    fn is_as_of_now(&self, event: &Event) -> bool {
        let (Event::Accepted(message) | Event::Recovered { message, .. }) = event else { return true };
        let MessageId(number) = message.id;
        let fresh = self.fresh.get(&number).map(|fresh| &fresh.taken);
        let taken =
            fresh.cloned().or_else(|| self.journal.live().get(&number).map(|live| live.message.clone()));
        taken.is_none_or(|taken| message.remaining_time == taken.deadline.saturating_sub(self.at))
    }

    fn say_ready(&self, name: &str, places: &[String]) {
        let cores = self.member.as_ref().map_or(String::new(), |m| format!(", {} cores", m.team().count()));
        let hand = self.journal.live().len();
        eprintln!("{name} is ready on {} with {hand} messages in hand{cores}", places.join(" and "));
    }

    /// At most once a second, for it is tried again in every turn.
    fn complain(&mut self, what: &str, why: &dyn std::fmt::Display) {
        let now = self.clock.now();
        if now >= self.complain_at {
            self.complain_at = now + 1_000_000;
            eprintln!("the journal can't be {what}: {why}");
        }
    }

    /// Guards the promise that what is taken on outlasts the process: with no journal nothing is taken on
    /// and no call begins.
    fn withhold(&mut self, records: Vec<Record>, fresh: BTreeMap<u32, Fresh>, sends: &[Send]) {
        self.unwritten = records;
        for &Send { message, attempt, endpoint, .. } in sends {
            let outcome = Outcome::NotSent { no_slot: false };
            let end = AttemptOver::unsent(message, attempt, endpoint, outcome);
            let _ = self.inbound.send(Inbound::CallCompleted(vec![end]));
        }
        for (number, fresh) in fresh {
            self.forget(number, &fresh.taken.id);
            self.ends.count(&fresh.taken.class, FinalOutcome::Throttled);
            let _ = self.inbound.send(Inbound::Event(Event::Withdrawn(MessageId(number))));
            fresh.answer(Answer::Rejected(NO_ROOM_AGAIN));
        }
    }

    /// The number of a message's next attempt, if it is held.
    fn attempts_of(&mut self, message: MessageId, fresh: &BTreeMap<u32, Fresh>) -> Option<u16> {
        if !fresh.contains_key(&message.0) && !self.journal.live().contains_key(&message.0) {
            return None;
        }
        let count = self.attempts.entry(message.0).or_default();
        *count += 1;
        Some(*count - 1)
    }

    /// Starts the calls of a turn: what goes to one endpoint travels together as far as its kind allows.
    fn begin(&mut self, now: Micros, sends: Vec<Send>) {
        let mut calls: Vec<(EndpointId, Vec<CallMessage>, WriteOptions)> = Vec::new();
        let mut last: HashMap<EndpointId, usize> = HashMap::new();
        for Send { message, attempt, endpoint, timeout, leave_within, pace } in sends {
            let Some(live) = self.journal.live().get(&message.0) else { continue };
            let AcceptedMessage { id, key, body, .. } = (*live.message).clone();
            // From when it was decided: the module answers for it at its end, which comes no sooner.
            let until = self.clock.instant(now.saturating_add(timeout));
            let leave = self.clock.instant(now.saturating_add(leave_within.min(timeout)));
            let part =
                CallMessage { message, attempt, id, key, body, answer_deadline: until, send_deadline: leave };
            let bundle = self.directory.bundle(endpoint);
            let call = last.get(&endpoint).copied().and_then(|at| calls.get_mut(at));
            match call.filter(|call| call.1.len() < bundle) {
                Some(call) => {
                    call.1.push(part);
                    call.2 = call.2.stricter(pace);
                }
                None => {
                    last.insert(endpoint, calls.len());
                    calls.push((endpoint, vec![part], pace));
                }
            }
        }
        for (endpoint, mut parts, pace) in calls {
            // Guards those that travel along against the end of the first, by which a call may be told: where that one was
            // over before the answer came, the answer was taken for none of theirs. The one that is waited for longest
            // lives as long as its call does.
            parts.sort_by_key(|part| std::cmp::Reverse(part.answer_deadline));
            let place = self.directory.carrier(endpoint).zip(self.directory.route(endpoint));
            let Some((carrier, route)) = place else {
                // An address that can't be read is one where no connection can be made.
                let over = |part: &CallMessage| {
                    AttemptOver::unsent(part.message, part.attempt, endpoint, Outcome::ConnectFailed)
                };
                let _ = self.inbound.send(Inbound::CallCompleted(parts.iter().map(over).collect()));
                continue;
            };
            carrier.start((route, endpoint), parts, pace);
        }
    }

    /// Whether a process that was asked to end has nothing left to do that the next one can't.
    fn may_end(&self, clients: usize) -> bool {
        let Some(at) = self.stop_at else { return false };
        let now = self.clock.now();
        let idle = self.journal.live().is_empty() && clients == 0;
        let called = now < at - STOP_WITHIN + STILL_CALLED;
        (idle && !called && self.unwritten.is_empty())
            || (now >= at
                && self.directory.carriers().iter().all(|carrier| carrier.attempts_in_flight() == 0))
    }
}

/// Names of endpoints at which attempts of messages that are held may have run.
fn endpoints_of_attempts(journal: &Store) -> impl Iterator<Item = &str> {
    let attempts = journal.live().values().flat_map(|live| &live.attempts);
    attempts.filter(|attempt| !attempt.never_ran).map(|attempt| &*attempt.endpoint)
}

fn message(number: u32, class: usize, taken: &AcceptedMessage, now: Micros) -> Message {
    Message {
        id: MessageId(number),
        class,
        tenant: 0,
        key: None,
        remaining_time: taken.deadline.saturating_sub(now),
        hint: None,
        destination: DestinationId(taken.destination),
    }
}
