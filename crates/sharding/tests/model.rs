//! All interleavings of moves, hand-ins, calls and their ends over a few cores, and of leases; each guard of the protocol that
//! is taken out is found missing.
//!
//! `stateright` and neither `loom` nor `shuttle`: what can go wrong here is the order in which whole steps of different cores
//! come, over queues and one shared value; the memory that these are made of is the libraries'.

use std::collections::BTreeMap;

use sharding::{Attempt, AttemptRouter, LeasePool, OwnershipMap, ShardId};
use stateright::{Checker, Model, Property};

/// What is left out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Fault {
    None,
    /// A core takes in what came to it, and reads the owners only then.
    DrainsBeforeItLoads,
    /// A parcel is taken in behind what came before it: what was said when its destination was here once before.
    ParcelsWaitTheirTurn,
    /// The new owner is named before the parcel is on its way.
    NamesBeforeItSends,
    /// A call's end is the module's whose connection it was on.
    EndsStay,
    /// What comes for a destination that has gone on is taken all the same.
    ForwardsNothing,
    /// A parcel that finds no room is gone.
    DropsWhatFindsNoRoom,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Say {
    HandedIn(u8),
    Ended(u8),
    Parcel(u16),
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Phase {
    Idle,
    Loaded(OwnershipMap),
    Drained(Option<OwnershipMap>),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Message {
    Away,
    OnItsWay,
    Held,
    /// Out on a connection of that core.
    Out(ShardId),
    /// Its call ended, and its module has not heard of it.
    Answered,
    Over,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    owners: OwnershipMap,
    /// By destination: the cores whose modules know it, and how many waits were heard of there.
    holds: Vec<BTreeMap<ShardId, u8>>,
    queues: Vec<Vec<Say>>,
    local: Vec<Vec<Say>>,
    phases: Vec<Phase>,
    /// What is left of a move that a core is at.
    moving: Vec<Option<(u16, ShardId)>>,
    moved: Vec<bool>,
    routers: Vec<AttemptRouter<u16>>,
    messages: Vec<Message>,
    /// Who holds each.
    keeper: Vec<Option<ShardId>>,
    /// Waits that went along with parcels.
    carried: BTreeMap<u16, u8>,
    begun: Vec<u8>,
    wrong: Option<&'static str>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Act {
    HandIn(u8),
    End(u8),
    Load(ShardId),
    Drain(ShardId),
    Decide(ShardId),
    Part(usize),
    Finish(ShardId),
}

struct World {
    fault: Fault,
    cores: u8,
    /// The core at whose front it is handed in, and its destination.
    messages: Vec<(ShardId, u16)>,
    moves: Vec<(u16, ShardId)>,
    /// Room of a queue.
    room: usize,
}

fn attempt(message: u8) -> Attempt {
    (message.into(), 0)
}

impl World {
    fn destination(&self, message: u8) -> u16 {
        self.messages[usize::from(message)].1
    }

    /// A core hears something, with the owners as it has them in this turn.
    fn hear(&self, s: &mut State, me: ShardId, owners: &OwnershipMap, say: Say, from_here: bool) {
        let at = me.index();
        let mine = |destination| owners.owner(destination) == me || self.fault == Fault::ForwardsNothing;
        match say {
            Say::Parcel(destination) => {
                let waits = s.carried.remove(&destination).unwrap_or(0);
                s.holds[usize::from(destination)].insert(me, waits);
                let came =
                    s.keeper.iter_mut().enumerate().filter(|(message, keeper)| {
                        keeper.is_none() && self.messages[*message].1 == destination
                    });
                let mut out = Vec::new();
                for (message, keeper) in came {
                    match s.messages[message] {
                        Message::Held => *keeper = Some(me),
                        Message::Out(core) => {
                            *keeper = Some(me);
                            out.push((attempt(message as u8), core));
                        }
                        // Its end is on its way.
                        Message::Answered => *keeper = Some(me),
                        _ => {}
                    }
                }
                s.routers[at].attach(out);
            }
            Say::HandedIn(message) => {
                let destination = self.destination(message);
                if !mine(destination) {
                    s.queues[owners.owner(destination).index()].push(say);
                    return;
                }
                if !s.holds[usize::from(destination)].contains_key(&me) {
                    s.wrong = Some("taken on by a module that does not have the destination");
                }
                s.messages[usize::from(message)] = Message::Held;
                s.keeper[usize::from(message)] = Some(me);
            }
            Say::Ended(message) => {
                let destination = self.destination(message);
                if from_here && s.routers[at].attempt_ended(attempt(message)) != Some(destination) {
                    s.wrong = Some("an end of what was not begun here");
                }
                let stays = self.fault == Fault::EndsStay && from_here;
                if !mine(destination) && !stays {
                    s.queues[owners.owner(destination).index()].push(say);
                    return;
                }
                s.routers[at].add_foreign(attempt(message));
                if let Some(waits) = s.holds[usize::from(destination)].get_mut(&me) {
                    *waits += 1;
                }
                if s.keeper[usize::from(message)] == Some(me) {
                    s.messages[usize::from(message)] = Message::Over;
                    s.keeper[usize::from(message)] = None;
                }
            }
        }
    }

    fn ends(&self, s: &State) -> bool {
        let ended = |destination| {
            let of = |m: &(usize, &(ShardId, u16))| m.1.1 == destination && s.begun[m.0] > 0;
            self.messages.iter().enumerate().filter(of).count()
        };
        s.messages.iter().all(|m| *m == Message::Over)
            && (0..s.holds.len())
                .all(|d| s.holds[d].values().map(|n| usize::from(*n)).sum::<usize>() == ended(d as u16))
    }
}

impl Model for World {
    type State = State;
    type Action = Act;

    fn init_states(&self) -> Vec<State> {
        let owners = OwnershipMap::all_on(self.cores.into(), ShardId(0));
        let cores = usize::from(self.cores);
        let destinations = usize::from(self.messages.iter().map(|m| m.1).max().unwrap_or(0)) + 1;
        vec![State {
            owners,
            holds: vec![BTreeMap::from([(ShardId(0), 0)]); destinations],
            queues: vec![vec![]; cores],
            local: vec![vec![]; cores],
            phases: vec![Phase::Idle; cores],
            moving: vec![None; cores],
            moved: vec![false; self.moves.len()],
            routers: (0..self.cores).map(|core| AttemptRouter::new(ShardId(core))).collect(),
            messages: vec![Message::Away; self.messages.len()],
            keeper: vec![None; self.messages.len()],
            carried: BTreeMap::new(),
            begun: vec![0; self.messages.len()],
            wrong: None,
        }]
    }

    fn actions(&self, s: &State, acts: &mut Vec<Act>) {
        for (message, state) in s.messages.iter().enumerate() {
            match state {
                Message::Away => acts.push(Act::HandIn(message as u8)),
                Message::Out(_) => acts.push(Act::End(message as u8)),
                _ => {}
            }
        }
        for core in (0..self.cores).map(ShardId) {
            let at = core.index();
            if s.moving[at].is_some() {
                acts.push(Act::Finish(core));
                continue;
            }
            let comes = !s.queues[at].is_empty() || !s.local[at].is_empty();
            let first = |core| {
                if self.fault == Fault::DrainsBeforeItLoads { Act::Drain(core) } else { Act::Load(core) }
            };
            match &s.phases[at] {
                Phase::Idle if comes => acts.push(first(core)),
                Phase::Idle => {}
                Phase::Loaded(_) => acts.push(Act::Drain(core)),
                Phase::Drained(None) => acts.push(Act::Load(core)),
                Phase::Drained(Some(_)) => acts.push(Act::Decide(core)),
            }
        }
        for (number, (destination, to)) in self.moves.iter().enumerate() {
            let from = s.owners.owner(*destination);
            let has = s.holds[usize::from(*destination)].contains_key(&from);
            let idle = s.phases[from.index()] == Phase::Idle && s.moving[from.index()].is_none();
            if !s.moved[number] && from != *to && has && idle {
                acts.push(Act::Part(number));
            }
        }
    }

    fn next_state(&self, last: &State, act: Act) -> Option<State> {
        let mut s = last.clone();
        match act {
            Act::HandIn(message) => {
                let (front, destination) = self.messages[usize::from(message)];
                let to = s.owners.owner(destination);
                s.messages[usize::from(message)] = Message::OnItsWay;
                if to == front {
                    s.local[front.index()].push(Say::HandedIn(message));
                } else if s.queues[to.index()].len() < self.room {
                    s.queues[to.index()].push(Say::HandedIn(message));
                } else {
                    // Refused, with advice.
                    s.messages[usize::from(message)] = Message::Over;
                }
            }
            Act::End(message) => {
                let Message::Out(core) = s.messages[usize::from(message)] else { return None };
                s.messages[usize::from(message)] = Message::Answered;
                s.local[core.index()].push(Say::Ended(message));
            }
            Act::Load(core) => {
                let owners = s.owners.clone();
                s.phases[core.index()] = match &s.phases[core.index()] {
                    Phase::Drained(None) => Phase::Drained(Some(owners)),
                    _ => Phase::Loaded(owners),
                };
            }
            Act::Drain(core) => {
                let (owners, next) = match s.phases[core.index()].clone() {
                    Phase::Loaded(owners) => (owners.clone(), Phase::Drained(Some(owners))),
                    _ => (s.owners.clone(), Phase::Drained(None)),
                };
                let mut came = std::mem::take(&mut s.queues[core.index()]);
                if self.fault != Fault::ParcelsWaitTheirTurn {
                    came.sort_by_key(|say| !matches!(say, Say::Parcel(_)));
                }
                for say in came {
                    self.hear(&mut s, core, &owners, say, false);
                }
                s.phases[core.index()] = next;
            }
            Act::Decide(core) => {
                let Phase::Drained(Some(owners)) = s.phases[core.index()].clone() else { return None };
                for say in std::mem::take(&mut s.local[core.index()]) {
                    self.hear(&mut s, core, &owners, say, true);
                }
                for message in 0..self.messages.len() {
                    if s.keeper[message] == Some(core) && s.messages[message] == Message::Held {
                        s.messages[message] = Message::Out(core);
                        s.begun[message] += 1;
                        let destination = self.messages[message].1;
                        s.routers[core.index()].attempt_started(
                            attempt(message as u8),
                            destination,
                            destination,
                        );
                    }
                }
                s.phases[core.index()] = Phase::Idle;
            }
            Act::Part(number) => {
                let (destination, to) = self.moves[number];
                let from = s.owners.owner(destination);
                s.moved[number] = true;
                let room = s.queues[to.index()].len() < self.room;
                if !room && self.fault != Fault::DropsWhatFindsNoRoom {
                    // It goes on where it was.
                    return Some(s);
                }
                let waits = s.holds[usize::from(destination)].remove(&from)?;
                s.carried.insert(destination, waits);
                let held: Vec<usize> = (0..s.keeper.len())
                    .filter(|m| s.keeper[*m] == Some(from) && self.messages[*m].1 == destination)
                    .collect();
                held.iter().for_each(|m| s.keeper[*m] = None);
                let out =
                    held.iter().filter(|m| matches!(s.messages[**m], Message::Out(_) | Message::Answered));
                s.routers[from.index()].detach(out.map(|m| attempt(*m as u8)));
                if self.fault == Fault::NamesBeforeItSends {
                    s.owners = s.owners.with(destination, to);
                } else if room {
                    s.queues[to.index()].push(Say::Parcel(destination));
                }
                s.moving[from.index()] = Some((destination, to));
            }
            Act::Finish(core) => {
                let (destination, to) = s.moving[core.index()].take()?;
                if self.fault == Fault::NamesBeforeItSends {
                    s.queues[to.index()].push(Say::Parcel(destination));
                } else {
                    s.owners = s.owners.with(destination, to);
                }
            }
        }
        Some(s)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("one owner", |m: &World, s: &State| {
                let parcels =
                    |d: u16| s.queues.iter().flatten().filter(|say| **say == Say::Parcel(d)).count();
                let late = |d: u16| {
                    m.fault == Fault::NamesBeforeItSends
                        && s.moving.iter().flatten().any(|moving| moving.0 == d)
                };
                (0..s.holds.len())
                    .all(|d| s.holds[d].len() + parcels(d as u16) + usize::from(late(d as u16)) == 1)
            }),
            Property::always("nothing goes wrong", |_: &World, s: &State| s.wrong.is_none()),
            Property::always("none begun twice", |_: &World, s: &State| s.begun.iter().all(|n| *n <= 1)),
            Property::always("who can call it off is known", |_: &World, s: &State| {
                (0..s.messages.len()).all(|m| match (s.messages[m], s.keeper[m]) {
                    (Message::Out(core), Some(keeper)) => {
                        s.routers[keeper.index()].connection(attempt(m as u8)) == core
                    }
                    _ => true,
                })
            }),
            Property::always("at rest all have their end and each wait was heard", |m: &World, s: &State| {
                let mut acts = Vec::new();
                m.actions(s, &mut acts);
                !acts.is_empty() || m.ends(s)
            }),
        ]
    }
}

fn world(fault: Fault) -> World {
    World {
        fault,
        cores: 2,
        messages: vec![(ShardId(0), 0), (ShardId(1), 0), (ShardId(1), 1)],
        moves: vec![(0, ShardId(1)), (0, ShardId(0)), (1, ShardId(1))],
        room: 2,
    }
}

/// Three cores, and a destination that goes round.
fn round(fault: Fault) -> World {
    World {
        fault,
        cores: 3,
        messages: vec![(ShardId(0), 0), (ShardId(2), 0)],
        moves: vec![(0, ShardId(1)), (0, ShardId(2)), (0, ShardId(0))],
        room: 2,
    }
}

#[test]
fn no_interleaving_makes_two_owners_or_loses_or_doubles_anything() {
    for world in [world(Fault::None), round(Fault::None)] {
        let checker = world.checker().threads(4).spawn_bfs().join();
        println!("{} states, {} of them different", checker.state_count(), checker.unique_state_count());
        assert!(checker.unique_state_count() > 10_000);
        checker.assert_properties();
    }
}

#[test]
fn each_guard_that_is_left_out_is_found_missing() {
    let faults = [
        Fault::DrainsBeforeItLoads,
        Fault::ParcelsWaitTheirTurn,
        Fault::NamesBeforeItSends,
        Fault::EndsStay,
        Fault::ForwardsNothing,
        Fault::DropsWhatFindsNoRoom,
    ];
    for fault in faults {
        // The search ends with the first that it finds.
        let found = [world(fault), round(fault)].into_iter().find_map(|world| {
            let when = stateright::HasDiscoveries::Any;
            let checker = world.checker().threads(4).finish_when(when).spawn_bfs().join();
            checker.discoveries().keys().next().copied()
        });
        println!("{fault:?}: {found:?}");
        assert!(found.is_some(), "{fault:?} is not found");
    }
}

/// Cores that begin and end calls, say what they would use, and hand on what they have in use.
struct Leases {
    cores: u8,
    whole: usize,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Leased {
    pool: LeasePool,
    used: Vec<usize>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum LeaseAct {
    Turn(ShardId, usize),
    Begin(ShardId),
    End(ShardId),
    Hand(ShardId, ShardId),
}

impl Model for Leases {
    type State = Leased;
    type Action = LeaseAct;

    fn init_states(&self) -> Vec<Leased> {
        vec![Leased { pool: LeasePool::new(self.whole, self.cores.into()), used: vec![0; self.cores.into()] }]
    }

    fn actions(&self, s: &Leased, acts: &mut Vec<LeaseAct>) {
        for core in (0..self.cores).map(ShardId) {
            let used = s.used[core.index()];
            acts.extend((0..=2).map(|more| LeaseAct::Turn(core, used + more)));
            if used < s.pool.lease(core) {
                acts.push(LeaseAct::Begin(core));
            }
            if used > 0 {
                acts.push(LeaseAct::End(core));
                acts.extend(
                    (0..self.cores).map(ShardId).filter(|to| *to != core).map(|to| LeaseAct::Hand(core, to)),
                );
            }
        }
    }

    fn next_state(&self, last: &Leased, act: LeaseAct) -> Option<Leased> {
        let mut s = last.clone();
        match act {
            LeaseAct::Turn(core, wants) => {
                let _ = s.pool.update(core, s.used[core.index()], wants);
            }
            LeaseAct::Begin(core) => s.used[core.index()] += 1,
            LeaseAct::End(core) => s.used[core.index()] -= 1,
            LeaseAct::Hand(from, to) => {
                s.pool.transfer(from, to, 1);
                s.used[from.index()] -= 1;
                s.used[to.index()] += 1;
            }
        }
        Some(s)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("the sum stays within the whole", |m: &Leases, s: &Leased| {
                (0..m.cores).map(|core| s.pool.lease(ShardId(core))).sum::<usize>() + s.pool.free() == m.whole
            }),
            Property::always("none has less than it uses", |m: &Leases, s: &Leased| {
                (0..m.cores).all(|core| s.used[usize::from(core)] <= s.pool.lease(ShardId(core)))
            }),
            // Where all want all there is, nobody has less than an even part, unless another has more in use.
            Property::always("even parts", |m: &Leases, s: &Leased| {
                let even = (m.whole / usize::from(m.cores)).max(1);
                if s.used.iter().any(|used| *used > even) || m.whole < usize::from(m.cores) {
                    return true;
                }
                let mut pool = s.pool.clone();
                for core in (0..3).flat_map(|_| (0..m.cores).map(ShardId)) {
                    pool.update(core, s.used[core.index()], m.whole);
                }
                (0..m.cores).map(ShardId).all(|core| pool.lease(core) >= even)
            }),
            // Room that another does not use is there after a turn of the others and one of its own.
            Property::always("none starves", |m: &Leases, s: &Leased| {
                (0..m.cores).map(ShardId).all(|core| {
                    let mut pool = s.pool.clone();
                    let used = s.used[core.index()];
                    let room = s.used.iter().sum::<usize>() < m.whole;
                    pool.update(core, used, used + 1);
                    for other in (0..m.cores).map(ShardId).filter(|other| *other != core) {
                        pool.update(other, s.used[other.index()], s.used[other.index()]);
                    }
                    pool.update(core, used, used + 1);
                    !room || pool.lease(core) > used
                })
            }),
        ]
    }
}

#[test]
fn leases_keep_to_the_whole_and_nobody_starves() {
    for (cores, whole) in [(2, 3), (3, 4), (2, 5), (3, 2)] {
        let checker = Leases { cores, whole }.checker().threads(4).spawn_bfs().join();
        println!("{cores} cores, {whole}: {} states", checker.unique_state_count());
        assert!(checker.unique_state_count() > 20);
        checker.assert_properties();
    }
}
