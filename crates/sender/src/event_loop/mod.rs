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
use health_snapshot::belief::RestoredState;
use journal::{Abandonment, AcceptedMessage, Record};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::{Notify, oneshot, watch};

use crate::config::{self, Config};
use crate::discovery;
use crate::discovery::directory::{Directory, SLICE_ENTRIES};
use crate::discovery::endpoint_list::{EndpointList, EndpointUpdate};
use crate::discovery::poll_schedule::PollSchedule;
use crate::gossip_socket::GossipSocket;
use crate::hand_over::Predecessor;
use crate::hand_over::socket::HandoverLink;
use crate::http;
use crate::notifications::{self, Notification};
use crate::persistence::class_idempotency::ClassIdempotency;
use crate::persistence::journal::JournalStore;
use crate::persistence::snapshot::SnapshotStore;
use crate::ports::{
    Answer, AttemptCompleted, CallMessage, Clock, Frontend, Inbound, Transport, WriteOptions,
};
use crate::shards::RemoteShards;

mod admin_requests;
mod messages;
mod recovery;
mod recovery_report;
mod shard;
mod snapshot;

pub use shard::Shard;

use recovery_report::RecoveryReport;

/// From SIGTERM until the process may be killed.
const SHUTDOWN_TIMEOUT: Micros = 3_700_000;
/// From SIGTERM until clients have learnt to go elsewhere.
const CLIENT_GRACE: Micros = 1_000_000;
/// Advice to clients while the journal has no room.
const RETRY_AFTER_JOURNAL_FULL: Micros = 1_000_000;
/// Advice to clients whose destination no list has named yet.
const RETRY_AFTER_UNLISTED: Micros = 1_000_000;
/// Stands for the request by which a message came where none may take it back; requests are counted from 1.
const NO_REQUEST: u64 = 0;

/// A message handed in within this turn.
struct PendingSubmission {
    message: Arc<AcceptedMessage>,
    /// Those who wait for the answer, by their requests' numbers: more than one where it was said once more.
    waiters: Vec<(u64, oneshot::Sender<Answer>)>,
}

impl PendingSubmission {
    fn answer(self, answer: Answer) {
        for (_, waiting) in self.waiters {
            // Who does not wait any more has said so.
            let _ = waiting.send(answer);
        }
    }
}

/// An attempt that the module wants made.
struct PlannedAttempt {
    message: MessageId,
    attempt: u16,
    endpoint: EndpointId,
    timeout: Micros,
    send_within: Micros,
    write_options: WriteOptions,
}

struct EventLoop {
    clock: Clock,
    /// The time of this turn, read once before anything is folded in. Guards a message's deadline against moving: what
    /// the module is told of the time that is left, it counts from the time at which it decides. Told as of one instant
    /// and counted from a later one, a message lived on after its time by what lay between (up to 44 ms at a start), and
    /// an answer to its call in that gap was no end of it any more, nor was a notice on its way.
    iteration_time: Micros,
    policy: Policy,
    journal: JournalStore,
    directory: Directory,
    peers: Option<GossipSocket>,
    notifications: UnboundedSender<Notification>,
    refetch_endpoints: Rc<Notify>,
    discovery: watch::Sender<SocketAddr>,
    inbound: UnboundedSender<Inbound>,
    /// The list's version; and when discovery last said that there is nothing newer, which it goes on to say while the watch
    /// stands.
    list_version: u64,
    list_confirmed_at: Micros,
    list_is_current: bool,
    /// What was learnt, for the next process.
    snapshot_store: Option<SnapshotStore>,
    /// Destinations that a turn may have taught something of.
    touched_destinations: Vec<u16>,
    /// Who asks to take over, and what is left of the process before this one.
    successor: Option<HandoverLink>,
    predecessor: Option<Rc<Predecessor>>,
    gate: watch::Sender<AdmissionGate>,
    outcome_counts: OutcomeCounts,
    /// Where it is kept who is held out.
    state_folder: PathBuf,
    shutdown_deadline: Option<Micros>,
    timers: BTreeSet<(Micros, u64)>,
    next_message: u32,
    /// By their `Req-Id`: numbers of the messages that are held, and of the requests by which they came.
    pending_by_id: HashMap<String, (u32, u64)>,
    /// Attempts begun for each message that is held.
    attempts: HashMap<u32, u16>,
    /// Handed in since the last turn, or in it.
    submissions: BTreeMap<u32, PendingSubmission>,
    /// Records that could not be written yet; they promise nothing to anybody.
    unwritten_records: Vec<Record>,
    /// When the journal may be complained of again.
    next_journal_warning_at: Micros,
    /// Notices whose records are not written yet.
    pending_notifications: Vec<(u32, Abandonment, String)>,
    /// One of several cores; none where there is one.
    shard: Option<Shard>,
    /// A destination came in this turn.
    destination_attached: bool,
    /// What the process before left untried.
    recovery_report: RecoveryReport,
    /// What binds what was taken on before, by its class.
    class_idempotency: Arc<ClassIdempotency>,
    /// Other cores that wait for the end of this turn.
    iteration_waiters: Vec<oneshot::Sender<()>>,
}

/// What the driver is put together with.
pub struct EventLoopParts {
    /// The time.
    pub clock: Clock,
    /// What was taken on.
    pub journal: JournalStore,
    /// What one of several cores has beside.
    pub shard: Option<Shard>,
    /// Take messages on.
    pub frontends: Vec<Rc<dyn Frontend>>,
    /// Make calls; the first that can read an endpoint's address makes those to it.
    pub transports: Vec<Rc<dyn Transport>>,
    /// Notes to other senders.
    pub peers: Option<GossipSocket>,
    /// Tells the fronts whether clients may come.
    pub gate: watch::Sender<AdmissionGate>,
    /// Who is held out by hand.
    pub ejections: Ejections,
    /// The fronts have begun.
    pub frontends_started: bool,
    /// What another process knew, which this one goes on with.
    pub predecessor_state: Option<(HandoverState, Policy)>,
    /// What is left of the process before.
    pub predecessor: Option<Rc<Predecessor>>,
    /// Endpoints of destinations that told another process a wait, and until when.
    pub waits: Vec<(String, Micros)>,
    /// Ends so far.
    pub outcome_counts: Option<OutcomeCounts>,
    /// The system's clock was set back since the last process.
    pub clock_set_back: bool,
    /// Keeps what is learnt for the next process.
    pub snapshot_store: Option<SnapshotStore>,
    /// What the last process learnt, as far as it is believed.
    pub restored: RestoredState,
    /// What binds what was taken on, by its class.
    pub class_idempotency: Arc<ClassIdempotency>,
}

/// What is left of the first of several cores once all is handed over: for going on after all, and for what the others have.
pub struct HandedOverShard {
    /// As it was.
    pub shard: Shard,
    /// Its part of the journal, which is closed.
    pub journal_part: journal::JournalPart,
    /// The other cores' clients and calls.
    pub remote_shards: Rc<RemoteShards>,
}

/// How the sender ended.
pub enum ExitReason {
    /// It was asked to, and has nothing left to do that the next process can't.
    Finished,
    /// A process that was started beside it is to take over: what it is to be told, and what is left here.
    HandOver {
        /// Who asks.
        successor: HandoverLink,
        /// What it is told.
        state: Box<HandoverState>,
        /// Ends so far.
        outcome_counts: OutcomeCounts,
        /// Notes to other senders, which the other process is to have.
        peers: Option<GossipSocket>,
        /// What is left of one of several cores.
        shard: Option<Box<HandedOverShard>>,
    },
}

/// Runs the sender until it is asked to end and has, or another process is to take over.
///
/// # Errors
/// Fails when a front can't begin.
pub async fn run(
    config: &Config,
    parts: EventLoopParts,
    inbound: UnboundedSender<Inbound>,
    events: &mut UnboundedReceiver<Inbound>,
) -> Result<ExitReason, String> {
    let EventLoopParts {
        clock,
        journal,
        shard: member,
        frontends: fronts,
        transports: carriers,
        peers,
        gate: door,
        ejections: held_out,
        clock_set_back: set_back,
        frontends_started: begun,
        snapshot_store: memory,
        ..
    } = parts;
    let (from, before, waits, ends) =
        (parts.predecessor_state, parts.predecessor, parts.waits, parts.outcome_counts);
    let mut belief = parts.restored;
    let me = member.as_ref().map_or(sharding::ShardId(0), Shard::id);
    let new = || Policy::new(config.settings.clone(), config.seed.wrapping_add(me.0.into()), clock.now());
    let (from, mut policy) = from.map_or_else(|| (None, new()), |(state, policy)| (Some(state), policy));
    policy.count_calls_from(u64::from(me.0) << 48);
    let (notices, owed) = unbounded_channel();
    let whole_list = Rc::new(Notify::new());
    let (discovery, found) = watch::channel(config.discovery);
    let mut driver = EventLoop {
        clock,
        iteration_time: clock.now(),
        next_message: journal.live().keys().max().map_or(0, |last| last.wrapping_add(1)),
        journal,
        directory: Directory::new(config.names.clone(), config.settings.kinds.clone(), carriers, held_out),
        peers,
        notifications: notices,
        refetch_endpoints: whole_list.clone(),
        discovery,
        inbound: inbound.clone(),
        list_version: config.initial_list.index,
        list_confirmed_at: 0,
        list_is_current: false,
        snapshot_store: memory,
        touched_destinations: Vec::new(),
        successor: None,
        predecessor: before,
        gate: door,
        outcome_counts: ends.unwrap_or_else(|| OutcomeCounts::new(config.names.classes.iter().cloned())),
        state_folder: config.state.clone(),
        shutdown_deadline: None,
        timers: BTreeSet::new(),
        pending_by_id: HashMap::new(),
        attempts: HashMap::new(),
        submissions: BTreeMap::new(),
        unwritten_records: Vec::new(),
        next_journal_warning_at: 0,
        pending_notifications: Vec::new(),
        shard: member,
        destination_attached: false,
        recovery_report: RecoveryReport::new(&config.settings),
        class_idempotency: parts.class_idempotency,
        iteration_waiters: Vec::new(),
        policy,
    };
    let (mut first, from) = match from {
        Some(state) => {
            let first = driver.resume_from_predecessor(state);
            (first, Some(driver.list_version))
        }
        None => driver.recover(config.initial_list.clone(), set_back, waits, &mut belief),
    };
    driver.update_leases(&mut first);
    driver.run_iteration(first);

    let mut places = Vec::new();
    for front in fronts.iter().filter(|_| !begun) {
        places.push(front.clone().start().map_err(|e| format!("listen: {e}"))?.to_string());
    }
    // On-call staff learn of a process that takes clients from when on it does.
    if let (Some(address), false) = (config.ops, begun) {
        let place = http::admin::listen(address, inbound.clone()).map_err(|e| format!("ops: {e}"))?;
        eprintln!("{} answers on-call staff on {place}", config.name);
    }
    tokio::task::spawn_local(notifications::send_all(found.clone(), owed, inbound.clone()));
    let grace = Duration::from_micros(config.settings.rules.drain_timeout);
    let again = PollSchedule::new(config.settings.senders, grace, config.seed);
    let good_for = Duration::from_micros(belief.list.good_for);
    // One core watches the list for all.
    let watch = (me == sharding::ShardId(0)).then(|| {
        tokio::task::spawn_local(discovery::watch::watch_endpoints(
            found, from, whole_list, again, good_for, inbound,
        ))
    });
    if me == sharding::ShardId(0) {
        driver.log_ready(&config.name, &places);
    }

    let period = Duration::from_micros(config.settings.period);
    let mut turned = tokio::time::Instant::now();
    loop {
        let due = driver.timers.first().map_or(Micros::MAX / 2, |timer| timer.0);
        // What is looked at now and then: an end that is near, who asks to take over, a journal that could not be
        // written.
        let watchful = driver.shutdown_deadline.is_some()
            || driver.successor.is_some()
            || !driver.unwritten_records.is_empty();
        let due = if watchful { due.min(clock.now() + 50_000) } else { due };
        let due = if driver.directory.has_pending() { 0 } else { due };
        let with_others = driver.shard.as_ref().map(|member| member.next_due(clock.now()));
        let due = due.min(with_others.unwrap_or(due));
        let to_write = driver.snapshot_store.as_ref().and_then(|memory| memory.next_due(clock.now()));
        let due = due.min(to_write.unwrap_or(due));
        let first = tokio::select! {
            first = events.recv() => first,
            () = shard::wait_for_messages(driver.shard.as_ref()) => None,
            () = tokio::time::sleep_until(clock.instant(due.min(clock.now() + 60_000_000))) => None,
        };
        // Turns are a period apart at least, as the module is told.
        tokio::time::sleep_until(turned + period).await;
        turned = tokio::time::Instant::now();
        driver.iteration_time = clock.now();
        let mut said: Vec<Event> = Vec::new();
        driver.receive_shard_messages(&fronts, &mut said);
        first.into_iter().for_each(|inbound| driver.handle_inbound(inbound, &mut said));
        while let Ok(inbound) = events.try_recv() {
            driver.handle_inbound(inbound, &mut said);
        }
        if driver.directory.has_pending() {
            said.push(driver.directory.apply_slice(SLICE_ENTRIES, || endpoints_of_attempts(&driver.journal)));
        }
        let now = driver.iteration_time;
        while let Some(timer) = driver.timers.pop_first() {
            if timer.0 > now {
                driver.timers.insert(timer);
                break;
            }
            said.push(Event::TimerFired(timer.1));
        }
        driver.update_leases(&mut said);
        if !said.is_empty()
            || !driver.unwritten_records.is_empty()
            || std::mem::take(&mut driver.destination_attached)
        {
            driver.run_iteration(said);
        }
        driver.finish_iteration();
        driver.write_snapshot();
        let may_end = driver.may_end(fronts.iter().map(|front| front.open_connections()).sum());
        if driver.shard.as_ref().map_or(may_end, |member| member.group().done(me, may_end)) {
            return Ok(ExitReason::Finished);
        }
        // Guards the end of a call that is on its way here, and out nowhere any more: it must not get lost between the
        // two processes.
        let now = events.is_empty() && driver.can_hand_over();
        if let Some(successor) = driver.successor.take_if(|_| now) {
            match driver.handover_state(fronts.iter().map(|front| front.requests()).max().unwrap_or(0)) {
                Ok(state) => {
                    watch.iter().for_each(tokio::task::JoinHandle::abort);
                    let left = match (driver.shard, driver.journal) {
                        (Some(member), JournalStore::Sharded(mut part)) => {
                            part.close();
                            let elsewhere =
                                Rc::new(member.remote_shards(&state.attempts_in_flight, &state.ids));
                            Some(Box::new(HandedOverShard {
                                shard: member,
                                journal_part: part,
                                remote_shards: elsewhere,
                            }))
                        }
                        _ => None,
                    };
                    let (state, ends, peers) = (Box::new(state), driver.outcome_counts, driver.peers);
                    return Ok(ExitReason::HandOver {
                        successor,
                        state,
                        outcome_counts: ends,
                        peers,
                        shard: left,
                    });
                }
                Err(e) => eprintln!("the state can't be handed over: {e}"),
            }
        }
    }
}

impl EventLoop {
    /// Turns what a task says into events for the module.
    fn handle_inbound(&mut self, inbound: Inbound, said: &mut Vec<Event>) {
        let Some(inbound) = self.route_inbound(inbound) else { return };
        if let Inbound::EndpointsUpdated(EndpointUpdate(list)) = &inbound {
            (self.list_version, self.list_is_current) = (list.index, true);
        }
        match inbound {
            Inbound::Submitted(message) => self.accept_submission(message, said),
            Inbound::Withdrawn { id, request, .. } => self.withdraw(&id, request, said),
            Inbound::CallCompleted(ends) => {
                ends.into_iter().for_each(|end| said.push(self.attempt_completed(end)))
            }
            Inbound::Event(event) => said.push(event),
            Inbound::Successor(link) => {
                self.request_gather();
                self.successor = Some(link);
            }
            Inbound::EndpointsUpdated(EndpointUpdate(list)) if self.directory.needs_slicing(&list) => {
                if self.directory.enqueue(list).is_err() {
                    eprintln!("the list changes faster than it can be taken in: it is asked for as a whole");
                    self.refetch_endpoints.notify_one();
                }
            }
            Inbound::EndpointsUpdated(EndpointUpdate(list)) => said.push(self.apply_list(&list)),
            Inbound::NotificationsAcknowledged(messages) => {
                for MessageId(number) in messages {
                    if let Some(id) = self.journal.live().get(&number).map(|l| l.message.id.clone()) {
                        self.complete(number, false);
                        self.forget(number, &id);
                    }
                }
            }
            Inbound::AdminRequest(call, answer) => self.answer_staff(call, answer, said),
            Inbound::Status => {
                let open: Vec<_> = self.policy.open_breakers().iter().map(|d| d.0).collect();
                let (awake, asleep) = self.policy.awake_and_asleep();
                let core =
                    self.shard.as_ref().map_or(String::new(), |member| format!(" core={}", member.id().0));
                let held = self.policy.held();
                eprintln!("status{core} held={held} awake={awake} asleep={asleep} open={open:?}");
            }
            Inbound::Reload => match config::reload_discovery() {
                Ok(address) => self.discovery_is_at(address),
                Err(e) => eprintln!("the configuration stays as it was: {}", e.replace(['\n', '\r'], " ")),
            },
            Inbound::Terminate if self.shutdown_deadline.is_some() => {}
            Inbound::Terminate => {
                let at = self.clock.now() + SHUTDOWN_TIMEOUT;
                self.shutdown_deadline = Some(at);
                self.gate.send_replace(AdmissionGate::Closing);
                said.push(Event::ShuttingDown(at));
            }
        }
    }

    fn apply_list(&mut self, list: &EndpointList) -> Event {
        self.directory.apply(list, || endpoints_of_attempts(&self.journal))
    }

    fn queue_notification(&self, number: u32, how: Abandonment, id: String) {
        let _ = self.notifications.send(Notification { message: MessageId(number), id, outcome: how });
    }

    /// One turn: the module decides, the journal is written, then clients hear and calls begin.
    fn run_iteration(&mut self, said: Vec<Event>) {
        let now = self.iteration_time;
        debug_assert!(said.iter().all(|event| self.is_as_of_now(event)), "time left as of another instant");
        let mut actions = Vec::new();
        self.record_observations(&said);
        self.policy.handle(now, &said, &mut actions);
        let mut records = std::mem::take(&mut self.unwritten_records);
        let mut fresh = std::mem::take(&mut self.submissions);
        // Answered in the turn that took them: the journal never hears of these.
        let mut given_up = Vec::new();
        let mut sends: Vec<PlannedAttempt> = Vec::new();
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
                    if let Some(attempt) = self.next_attempt(message, &fresh) {
                        self.record_call(endpoint);
                        self.recovery_report.called(message.0);
                        self.record_attempt(message, attempt, endpoint);
                        let pace = WriteOptions { last_byte_delay: hold, new_connection: new };
                        sends.push(PlannedAttempt {
                            message,
                            attempt,
                            endpoint,
                            timeout,
                            send_within: leave_within,
                            write_options: pace,
                        });
                    }
                }
                Action::Reject { message, retry_after } => {
                    given_up.push((message.0, Abandonment::Deferred(retry_after)));
                }
                Action::Fail(message) => given_up.push((message.0, Abandonment::Undeliverable)),
                Action::Cancel { message, attempt } => self.cancel_attempt(message, attempt),
                Action::HealthCheck(endpoint) => match self.directory.transport(endpoint) {
                    Some(carrier) => carrier.probe(endpoint),
                    None => {
                        let outcome = Outcome::ConnectFailed;
                        let event = Event::HealthChecked { endpoint, outcome, report: vec![] };
                        let _ = self.inbound.send(Inbound::Event(event));
                    }
                },
                Action::CloseIdleConnections(endpoint) => {
                    if let Some(carrier) = self.directory.transport(endpoint) {
                        carrier.close_idle(endpoint);
                    }
                }
                // The watch goes on all the time.
                Action::WatchEndpoints => {}
                Action::FetchEndpoints => self.refetch_endpoints.notify_one(),
                Action::SendGossip { to, content } => {
                    if let Some(peers) = &self.peers {
                        peers.send(to, &content);
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
                self.outcome_counts.count(&fresh.message.class, end);
                self.forget(number, &fresh.message.id);
                fresh.answer(match how {
                    Abandonment::Deferred(again) => Answer::Rejected(again),
                    Abandonment::Undeliverable => Answer::Failed,
                });
            } else if let Some(taken) = self.journal.live().get(&number).map(|live| live.message.clone()) {
                self.recovery_report.abandoned(number, taken.deadline.saturating_sub(now));
                self.outcome_counts.count(&taken.class, end);
                records.push(Record::Abandoned(number, how));
                self.pending_notifications.push((number, how, taken.id.clone()));
            }
        }
        let kept = records.len();
        records.extend(fresh.iter().map(|(number, fresh)| Record::Accepted(*number, fresh.message.clone())));
        records.extend(sends.iter().map(|send| Record::AttemptStarted {
            message: send.message.0,
            attempt: send.attempt,
            endpoint: self.directory.name(send.endpoint),
            at: now,
        }));
        let mut written = self.journal.append(now, &mut records);
        if written.is_err() && self.release_snapshot_space() {
            written = self.journal.append(now, &mut records);
        }
        if let Err(e) = written {
            self.warn_journal("written", &e);
            records.truncate(kept);
            // Ends alone take little room, and have some kept for them.
            let ends_written = self.journal.append(now, &mut records).is_ok();
            self.send_notifications(now, ends_written);
            self.reject_unwritten(records, fresh, &sends);
        } else {
            for fresh in fresh.into_values() {
                fresh.answer(Answer::Accepted);
            }
            self.send_notifications(now, true);
            self.start_calls(now, sends);
        }
        self.recovery_report.take_summary().into_iter().for_each(|line| eprintln!("{line}"));
        // Once answers and calls are out.
        if let Err(e) = self.journal.compact_step(now) {
            // Compaction has its room first too; it goes on in the next turn.
            if !self.release_snapshot_space() {
                self.warn_journal("compacted", &e);
            }
        }
    }

    /// Tells the platform of ends that are written. One that could not be written is told all the same once the
    /// message's time is up: no later process would send it then. Before that it would be a second answer, should
    /// this process end here and the next one deliver.
    fn send_notifications(&mut self, now: Micros, written: bool) {
        for (number, how, id) in std::mem::take(&mut self.pending_notifications) {
            let late = self.journal.live().get(&number).is_none_or(|live| live.message.deadline <= now);
            if written || late {
                self.queue_notification(number, how, id);
            } else {
                self.pending_notifications.push((number, how, id));
            }
        }
    }

    /// Whether the module is told of the time that is left to a message as of this turn.
    fn is_as_of_now(&self, event: &Event) -> bool {
        let (Event::Accepted(message) | Event::Recovered { message, .. }) = event else { return true };
        let MessageId(number) = message.id;
        let fresh = self.submissions.get(&number).map(|fresh| &fresh.message);
        let taken =
            fresh.cloned().or_else(|| self.journal.live().get(&number).map(|live| live.message.clone()));
        taken.is_none_or(|taken| message.remaining_time == taken.deadline.saturating_sub(self.iteration_time))
    }

    fn log_ready(&self, name: &str, places: &[String]) {
        let cores = self.shard.as_ref().map_or(String::new(), |m| format!(", {} cores", m.group().count()));
        let hand = self.journal.live().len();
        eprintln!("{name} is ready on {} with {hand} messages in hand{cores}", places.join(" and "));
    }

    /// At most once a second, for it is tried again in every turn.
    fn warn_journal(&mut self, what: &str, why: &dyn std::fmt::Display) {
        let now = self.clock.now();
        if now >= self.next_journal_warning_at {
            self.next_journal_warning_at = now + 1_000_000;
            eprintln!("the journal can't be {what}: {why}");
        }
    }

    /// Guards the promise that what is taken on outlasts the process: with no journal nothing is taken on
    /// and no call begins.
    fn reject_unwritten(
        &mut self,
        records: Vec<Record>,
        fresh: BTreeMap<u32, PendingSubmission>,
        sends: &[PlannedAttempt],
    ) {
        self.unwritten_records = records;
        for &PlannedAttempt { message, attempt, endpoint, .. } in sends {
            let outcome = Outcome::NotSent { no_slot: false };
            let end = AttemptCompleted::unsent(message, attempt, endpoint, outcome);
            let _ = self.inbound.send(Inbound::CallCompleted(vec![end]));
        }
        for (number, fresh) in fresh {
            self.forget(number, &fresh.message.id);
            self.outcome_counts.count(&fresh.message.class, FinalOutcome::Throttled);
            let _ = self.inbound.send(Inbound::Event(Event::Withdrawn(MessageId(number))));
            fresh.answer(Answer::Rejected(RETRY_AFTER_JOURNAL_FULL));
        }
    }

    /// The number of a message's next attempt, if it is held.
    fn next_attempt(&mut self, message: MessageId, fresh: &BTreeMap<u32, PendingSubmission>) -> Option<u16> {
        if !fresh.contains_key(&message.0) && !self.journal.live().contains_key(&message.0) {
            return None;
        }
        let count = self.attempts.entry(message.0).or_default();
        *count += 1;
        Some(*count - 1)
    }

    /// Starts the calls of a turn: what goes to one endpoint travels together as far as its kind allows.
    fn start_calls(&mut self, now: Micros, sends: Vec<PlannedAttempt>) {
        let mut calls: Vec<(EndpointId, Vec<CallMessage>, WriteOptions)> = Vec::new();
        let mut last: HashMap<EndpointId, usize> = HashMap::new();
        for PlannedAttempt {
            message,
            attempt,
            endpoint,
            timeout,
            send_within: leave_within,
            write_options: pace,
        } in sends
        {
            let Some(live) = self.journal.live().get(&message.0) else { continue };
            let AcceptedMessage { id, key, body, .. } = (*live.message).clone();
            // From when it was decided: the module answers for it at its end, which comes no sooner.
            let until = self.clock.instant(now.saturating_add(timeout));
            let leave = self.clock.instant(now.saturating_add(leave_within.min(timeout)));
            let part =
                CallMessage { message, attempt, id, key, body, answer_deadline: until, send_deadline: leave };
            let bundle = self.directory.max_batch(endpoint);
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
            let place = self.directory.transport(endpoint).zip(self.directory.route(endpoint));
            let Some((carrier, route)) = place else {
                // An address that can't be read is one where no connection can be made.
                let over = |part: &CallMessage| {
                    AttemptCompleted::unsent(part.message, part.attempt, endpoint, Outcome::ConnectFailed)
                };
                let _ = self.inbound.send(Inbound::CallCompleted(parts.iter().map(over).collect()));
                continue;
            };
            carrier.start((route, endpoint), parts, pace);
        }
    }

    /// Whether a process that was asked to end has nothing left to do that the next one can't.
    fn may_end(&self, clients: usize) -> bool {
        let Some(at) = self.shutdown_deadline else { return false };
        let now = self.clock.now();
        let idle = self.journal.live().is_empty() && clients == 0;
        let called = now < at - SHUTDOWN_TIMEOUT + CLIENT_GRACE;
        (idle && !called && self.unwritten_records.is_empty())
            || (now >= at
                && self.directory.carriers().iter().all(|carrier| carrier.attempts_in_flight() == 0))
    }
}

/// Names of endpoints at which attempts of messages that are held may have run.
fn endpoints_of_attempts(journal: &JournalStore) -> impl Iterator<Item = &str> {
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
