//! One process of a sender from its start to its end, with what it takes over from the one before and hands to the next.

use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use admin::door::AdmissionGate;
use admin::figures::OutcomeCounts;
use admin::held_out::Ejections;
use decision::interface::{EndpointId, Idempotency, MessageId, Micros, Settings};
use decision::policy::Policy;
use handover::HandoverState;
use handover::step::{self, After, Found, Start};
use health_snapshot::restore::RestoredState;
use journal::{Journal, JournalPart, OpenError};
use operator_config::Operators;
use sharding::{LeasePool, OwnershipMap, ShardId};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::sync::watch;

use crate::config::{self, Config};
use crate::cores::{Post, Room, Say, Team};
use crate::driver::{self, Ended, Left, Member, Parts};
use crate::handover::{self as link, Before, Carried};
use crate::http;
use crate::http::calls::{Calls, Limits};
use crate::http::intake::Intake;
use crate::kept;
use crate::known::{self, Keeping};
use crate::link::Link;
use crate::meanings::{self, Meanings};
use crate::peers::Peers;
use crate::ports::{Clock, Frontend, Inbound, Transport};
use crate::pulse;
use crate::store::Store;

/// Descriptors that are neither clients' nor endpoints'.
const OWN_SOCKETS: usize = 32;
/// While two processes run, each has this part of the places for clients and for endpoints: with what the old one has
/// out, both stay within the descriptors of one.
const PART: usize = 3;
/// Descriptors of a core beside the first: its runtime's, and its way to the platform.
const CORE_SOCKETS: usize = 8;
/// The requests of the next process are counted from so far beyond those of this one.
const REQUESTS_APART: u64 = 1 << 32;
/// A process that starts looks so often whether the one before is gone.
const AGAIN: Duration = Duration::from_millis(20);

fn journal_options(config: &Config, operators: &Operators) -> journal::Options {
    let table = &operators.journal;
    let retain = table.retain.zip(table.ledger).map(|(span, size)| {
        let classes = config.names.classes.iter().zip(&config.settings.classes);
        let once = classes.filter(|(_, class)| class.idempotency == Idempotency::NonIdempotent);
        journal::LedgerOptions {
            span: span.micros,
            bytes: size.bytes,
            classes: once.map(|(name, _)| name.clone()).collect(),
        }
    });
    let damage = match table.damage {
        operator_config::Damage::Refuse => journal::Damage::Refuse,
        operator_config::Damage::Suspect => journal::Damage::Suspect,
    };
    journal::Options {
        limit: config
            .disk
            .saturating_sub(if config.ops.is_some() { kept::RESERVED } else { 0 })
            .saturating_sub(meanings::reserved(config.names.classes.iter().map(String::as_str))),
        sync: table.sync == operator_config::Sync::Group,
        damage,
        retain,
        segment: None,
    }
}

fn open_journal(config: &Config, operators: &Operators) -> Result<Option<Journal>, String> {
    let options = journal_options(config, operators);
    match Journal::open(&config.state, options, Clock::new().now()) {
        Ok((journal, report)) => {
            eprint!("{report}");
            Ok(Some(journal))
        }
        Err(OpenError::Locked) => Ok(None),
        Err(e) => Err(format!("journal in {}: {e}", config.state.display())),
    }
}

/// Opens the journal, and where another process has it takes over from that one.
async fn begin(
    config: &Config,
    operators: &Operators,
    beside: bool,
) -> Result<(Journal, Option<(Link, HandoverState)>), String> {
    let locked = || format!("journal in {}: {}", config.state.display(), OpenError::Locked);
    let began = Clock::new();
    let start = began.now();
    loop {
        if let Some(journal) = open_journal(config, operators)? {
            return Ok((journal, None));
        }
        let other = if beside { link::connect(&config.state).await } else { None };
        let found = if other.is_some() { Found::Running } else { Found::Mute };
        match (step::start(found, beside, began.now() - start), other) {
            (Start::Ask, Some(other)) => match link::ask(other).await {
                // It gave the journal up before it said so.
                Ok(told) => {
                    let journal = open_journal(config, operators)?.ok_or_else(locked)?;
                    return Ok((journal, Some(told)));
                }
                Err(e) => eprintln!("the process before does not hand over: {e}"),
            },
            (Start::GiveUp, _) => return Err(locked()),
            _ => {}
        }
        tokio::time::sleep(AGAIN).await;
    }
}

/// What binds what was taken on, by its class, and is written down for the next process before this one takes anything on.
fn meanings(config: &Config, journal: &Journal) -> Meanings {
    let effects = config.settings.classes.iter().map(|class| class.idempotency);
    let now: Meanings = config.names.classes.iter().cloned().zip(effects).collect();
    let before = meanings::read(&config.state).unwrap_or_else(|e| {
        eprintln!("{e}");
        now.keys().map(|name| (name.clone(), Idempotency::NonIdempotent)).collect()
    });
    let held = journal.live().values().map(|live| live.message.class.to_string()).collect();
    let joined = meanings::joined(&before, &now, &held);
    if joined != before
        && let Err(e) = meanings::write(&config.state, &joined)
    {
        eprintln!("what the classes mean can't be written down for the next process: {e}");
    }
    joined
}

/// What another process knew, if this one can read it.
fn understood(config: &Config, state: &HandoverState, now: Micros) -> Option<Policy> {
    let names = &config.names;
    if state.names != [names.classes.clone(), names.kinds.clone(), names.zones.clone()] {
        eprintln!("the settings name other classes, kinds or zones than the process before knows");
        return None;
    }
    match Policy::taken_over(&state.policy, config.settings.clone(), config.seed, now) {
        Ok(policy) => Some(policy),
        Err(e) => {
            eprintln!("{e}");
            None
        }
    }
}

/// The sockets' sides of a process, for as long as it runs.
struct Sides {
    clock: Clock,
    intake: Rc<Intake>,
    calls: Calls,
    door: watch::Sender<AdmissionGate>,
    /// Connections of either side.
    most: usize,
}

impl Sides {
    /// Of one of so many cores.
    fn new(
        config: &Config,
        clock: Clock,
        inherited: Option<TcpListener>,
        inbound: &UnboundedSender<Inbound>,
        post: Option<Rc<Post>>,
        door: watch::Sender<AdmissionGate>,
    ) -> Self {
        let cores = post.as_ref().map_or(1, |post| post.team().count());
        let most = (places(config, cores) / cores).max(1);
        let limits = Limits {
            connect: config.settings.connect_timeout.max(1),
            idle: config.settings.idle_timeout,
            report: config.names.report.clone(),
        };
        let seen = door.subscribe();
        let longest = config.settings.classes.iter().map(|class| class.deadline);
        let classes = config.names.classes.iter().map(|name| name.as_str().into()).zip(longest).collect();
        let address = (config.listen, inherited, most);
        let intake = Intake::new(address, clock, classes, inbound.clone(), post, seen);
        let calls = Calls::new(limits, most, inbound.clone());
        Self { clock, intake: Rc::new(intake), calls, door, most }
    }

    fn fronts(&self) -> Vec<Rc<dyn Frontend>> {
        vec![self.intake.clone()]
    }

    fn carriers(&self) -> Vec<Rc<dyn Transport>> {
        vec![Rc::new(self.calls.clone())]
    }
}

/// Places for clients, and as many for endpoints, of all cores together.
fn places(config: &Config, cores: usize) -> usize {
    let own = OWN_SOCKETS + config.ops.map_or(0, |_| http::ops::CALLERS + 1);
    let own = own + if cores > 1 { cores * CORE_SOCKETS } else { 0 };
    (config.sockets.saturating_sub(own) / 2).max(1)
}

/// What settings say of the whole process and each module keeps for itself is divided: the pace and the number of those that
/// wake, and what is remembered of those that sleep.
fn divide(settings: &mut Settings, cores: usize) {
    if let Some(dormant) = &mut settings.idle {
        dormant.activations_per_second /= cores as f64;
        dormant.max_retained = (dormant.max_retained / cores).max(1);
        dormant.max_active = (dormant.max_active / cores).max(1);
    }
}

/// What several cores share, with as many as the operators' file says; none where it says one.
fn team(config: &Config, operators: &Operators, taken_over: bool) -> Result<Option<Arc<Team>>, String> {
    let count = operators.cores.count as usize;
    if count < 2 {
        return Ok(None);
    }
    // Guards order: keys are not a destination's, and a destination has one core.
    let ordered = config.settings.classes.iter().position(|class| class.in_order);
    if let Some(name) = ordered.and_then(|at| config.names.classes.get(at)) {
        return Err(format!(
            "[cores] count = {count}: class {name} keeps order over all destinations; it takes count = 1"
        ));
    }
    let settings = &config.settings;
    let room = Room {
        slots: LeasePool::new(settings.max_calls, count),
        held: LeasePool::new(settings.max_messages, count),
        connections: LeasePool::new(places(config, count) / if taken_over { PART } else { 1 }, count),
    };
    // What must arrive is bounded by what is out, held and open; as much again can be turned away.
    let queue =
        2 * (settings.max_calls * 2 + settings.max_messages.min(16_384) + places(config, count)).max(1024);
    let owners =
        if taken_over { OwnershipMap::all_on(count, ShardId(0)) } else { OwnershipMap::hashed(count) };
    Ok(Some(Team::new(owners, room, queue)))
}

/// What one core beside the first is started with.
struct Beside {
    core: ShardId,
    team: Arc<Team>,
    config: Config,
    clock: Clock,
    part: JournalPart,
    held_out: Ejections,
    door: watch::Sender<AdmissionGate>,
    waits: Vec<(String, Micros)>,
    set_back: bool,
    /// Its requests are counted from there.
    requests: u64,
    meanings: Arc<Meanings>,
}

impl Beside {
    /// Runs the core on a thread of its own. One that fails ends the process: what it had is in the journal.
    fn start(self) -> Result<(), String> {
        let name = format!("core-{}", self.core.0);
        let thread = std::thread::Builder::new().name(name.clone()).spawn(move || {
            let ran = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| self.run()));
            if let Err(e) = ran.unwrap_or_else(|_| Err("failed, as it said above".to_owned())) {
                eprintln!("myrtleyard: {name}: {e}");
                std::process::exit(1);
            }
        });
        thread.map(drop).map_err(|e| format!("no thread for a core: {e}"))
    }

    fn run(self) -> Result<(), String> {
        let runtime = pulse::notes(tokio::runtime::Builder::new_current_thread().enable_all()).build();
        let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
        tokio::task::LocalSet::new().block_on(&runtime, async {
            tokio::task::spawn_local(pulse::beat());
            let (inbound, mut events) = tokio::sync::mpsc::unbounded_channel();
            let post = Rc::new(Post::new(self.core, self.team));
            let sides =
                Sides::new(&self.config, self.clock, None, &inbound, Some(post.clone()), self.door.clone());
            sides.intake.count_from(self.requests);
            let parts = Parts {
                clock: self.clock,
                journal: Store::Part(self.part),
                member: Some(Member::new(post)),
                fronts: sides.fronts(),
                carriers: sides.carriers(),
                peers: None,
                door: self.door,
                held_out: self.held_out,
                begun: true,
                taken_over: None,
                before: None,
                waits: self.waits,
                ends: None,
                set_back: self.set_back,
                memory: None,
                belief: RestoredState::default(),
                meanings: self.meanings,
            };
            driver::run(&self.config, parts, inbound, &mut events).await.map(drop)
        })
    }
}

/// Runs a sender until it is asked to end and has, or has handed over.
///
/// # Errors
/// Fails, in one line, when it can't start or go on.
pub async fn run(
    mut config: Config,
    operators: &Operators,
    inherited: Option<TcpListener>,
    (inbound, mut events): (UnboundedSender<Inbound>, UnboundedReceiver<Inbound>),
) -> Result<(), String> {
    let beside = inherited.is_some();
    let (journal, told) = begin(&config, operators, beside).await?;
    let meanings = Arc::new(meanings(&config, &journal));
    let aim = config.settings.classes.iter().map(|class| class.latency_objective).min().unwrap_or(0);
    let sync = operators.journal.sync == operator_config::Sync::Group;
    let keeping = Keeping::of(&operators.known, config.disk, sync, aim);
    let mut memory = keeping.and_then(|keeping| known::open(&config.state, &config.name, &keeping));
    let written = memory.as_ref().map_or(0, |(_, snapshot)| snapshot.timestamp.wall);
    let latest = told.as_ref().map_or(0, |told| told.1.stopped_at).max(journal.latest()).max(written);
    let (clock, mut set_back) = Clock::after(latest);
    if set_back {
        eprintln!("the clock was set back since the last process: how old its attempts are is not known");
    }
    let team = team(&config, operators, told.is_some())?;
    divide(&mut config.settings, team.as_ref().map_or(1, |team| team.count()));
    let post = team.clone().map(|team| Rc::new(Post::new(ShardId(0), team)));
    let door = watch::Sender::new(AdmissionGate::default());
    let sides = Sides::new(&config, clock, inherited, &inbound, post.clone(), door);
    let (mut taken_over, mut before, mut waits) = (None, None, Vec::new());
    if let Some((mut other, state)) = told {
        let policy = understood(&config, &state, clock.now());
        link::took(&mut other, policy.is_some())
            .await
            .map_err(|e| format!("the process before breaks off: {e}"))?;
        sides.intake.count_from(state.requests.saturating_add(REQUESTS_APART));
        if let Some(since) = state.standby {
            sides.door.send_replace(AdmissionGate::Standby(since));
        }
        let out = if policy.is_some() { state.attempts_in_flight.clone() } else { Vec::new() };
        before = Some(share_with(&sides, &config, other, out, &inbound, post.clone()));
        match policy {
            Some(policy) => taken_over = Some((state, policy)),
            None => waits = state.waits,
        }
    }
    let (mut begun, mut ends): (bool, Option<OutcomeCounts>) = (false, None);
    let mut journal = match &team {
        None => Store::Whole(Box::new(journal)),
        Some(team) => {
            let owners = team.owners();
            let mut parts =
                journal.share(team.count(), |destination| owners.owner(destination).index()).into_iter();
            let first = parts.next().ok_or("no core has the journal")?;
            for (core, part) in (1..).map(ShardId).zip(parts) {
                let held_out = kept::read(&config.state);
                let beside = Beside {
                    core,
                    team: team.clone(),
                    config: config.clone(),
                    clock,
                    part,
                    held_out: held_out.map_err(|e| format!("{}: {e}", config.state.display()))?,
                    door: sides.door.clone(),
                    waits: waits.clone(),
                    set_back,
                    requests: u64::from(core.0) << 40,
                    meanings: meanings.clone(),
                };
                beside.start()?;
            }
            Store::Part(first)
        }
    };
    let mut member = post.clone().map(Member::new);
    loop {
        // Who goes on after all opens it once more: another process had it meanwhile.
        if memory.is_none() {
            memory = keeping.and_then(|keeping| known::open(&config.state, &config.name, &keeping));
        }
        let mut belief = RestoredState::default();
        let memory = memory.take().zip(keeping).map(|((mut memory, snapshot), keeping)| {
            let believed = known::believe(&snapshot, &keeping, clock.now(), config.known.index);
            memory.moved_by(believed.shift);
            if taken_over.is_none() {
                belief = believed;
            }
            memory
        });
        let listening = match beside {
            true => {
                Some(link::listen(&config.state, inbound.clone()).map_err(|e| format!("successor: {e}"))?)
            }
            false => None,
        };
        let peers = Peers::open(&config, inbound.clone()).await.map_err(|e| format!("peer_listen: {e}"))?;
        let mut carriers = sides.carriers();
        carriers.extend(before.clone().map(|before| before as Rc<dyn Transport>));
        let parts = Parts {
            clock,
            journal,
            member: member.take(),
            fronts: sides.fronts(),
            carriers,
            peers,
            door: sides.door.clone(),
            held_out: kept::read(&config.state).map_err(|e| format!("{}: {e}", config.state.display()))?,
            begun,
            taken_over: taken_over.take(),
            before: before.take(),
            waits: std::mem::take(&mut waits),
            ends: ends.take(),
            set_back: std::mem::take(&mut set_back),
            memory,
            belief,
            meanings: meanings.clone(),
        };
        let (successor, state, so_far, left) =
            match driver::run(&config, parts, inbound.clone(), &mut events).await? {
                Ended::Done => return Ok(()),
                Ended::HandsOver { successor, state, ends, peers, member } => {
                    if let Some(peers) = peers {
                        peers.close().await;
                    }
                    (successor, *state, ends, member)
                }
            };
        begun = true;
        listening.inspect(|listening| listening.abort());
        let offered = link::offer(successor, &state).await;
        let again = if offered.is_ok() { None } else { open_journal(&config, operators)? };
        match (step::after(offered.is_ok(), again.is_some()), offered, again) {
            (After::Carry, Ok((link, understood)), _) => {
                eprintln!("{} has handed over", config.name);
                sides.calls.close_all_idle();
                sides.intake.set_most(sides.most / PART);
                let (mut fronts, mut carriers) = (sides.fronts(), sides.carriers());
                if let Some(left) = left {
                    left.elsewhere.set_max_clients(sides.most / PART);
                    left.elsewhere.clone().follow(inbound.clone());
                    fronts.push(left.elsewhere.clone());
                    carriers.push(left.elsewhere);
                }
                let carried = Carried { clock, fronts, carriers, door: sides.door, ends: so_far };
                return link::carry(link, understood, carried, &mut events).await;
            }
            (After::GoOn, Err(e), Some(again)) => {
                eprintln!("the next process did not take over, this one goes on: {e}");
                journal = match left {
                    Some(left) => {
                        let Left { member: went, mut part, .. } = *left;
                        part.reopen(again);
                        member = Some(went);
                        Store::Part(part)
                    }
                    None => Store::Whole(Box::new(again)),
                };
                let policy = understood(&config, &state, clock.now());
                taken_over = Some((state, policy.ok_or("its own state can't be read")?));
                ends = Some(so_far);
                // It may have moved since the start.
                config.discovery = config::discovery_again().unwrap_or(config.discovery);
            }
            _ => return Err("another process has the journal, and does not answer".to_owned()),
        }
    }
}

/// Hears the process before, and keeps to a part of the descriptors until it is gone.
fn share_with(
    sides: &Sides,
    config: &Config,
    other: Link,
    out: Vec<(MessageId, u16, EndpointId)>,
    inbound: &UnboundedSender<Inbound>,
    post: Option<Rc<Post>>,
) -> Rc<Before> {
    let (intake, calls, most) = (sides.intake.clone(), sides.calls.clone(), sides.most);
    let part = (most / PART).max(1);
    intake.set_most(part);
    let post_team = post.as_ref().map(|post| post.team().clone());
    let others = move |most| {
        let Some(post) = &post else { return false };
        let others = post.team().all().filter(|core| *core != post.me());
        others.for_each(|core| post.say(core, Say::Places(most)));
        true
    };
    // Several cores lease their connections, of fewer than there will be.
    if !others(part) {
        calls.set_most(part);
    }
    let team = post_team;
    let all = places(config, team.as_ref().map_or(1, |team| team.count()));
    let names = config.names.classes.clone();
    let class = move |name: &str| names.iter().position(|class| class == name);
    Before::follow(other, out, sides.clock, class, inbound.clone(), move || {
        intake.set_most(most);
        match team.filter(|_| others(most)) {
            Some(team) => team.room().connections.grow(all),
            None => calls.set_most(most),
        }
    })
}
