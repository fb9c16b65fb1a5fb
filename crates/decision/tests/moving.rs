//! Destinations that go from one module to another of the same process: nothing that was known, held or out is lost, and
//! several modules take the same care as one. Another first seed in MOVING_SEED gives other days.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::*;
use decision::interface::*;
use decision::policy::Policy;
use decision::policy::migration::MigrationRefused;

fn first_seed() -> u64 {
    let first = std::env::var("MOVING_SEED").ok().and_then(|seed| seed.parse().ok()).unwrap_or(1);
    println!("MOVING_SEED={first}");
    first
}

/// A day at one destination, which goes back and forth between two modules where that is asked for.
fn day(seed: u64, moves: bool) -> Sender {
    let mut rng = fastrand::Rng::with_seed(seed);
    let entries = [entry(1, 0), entry(2, 0), entry(3, 0), entry(4, 0)];
    let mut s = Sender::new(settings(), &entries);
    let mut spare = Policy::new(settings(), 42, START);
    spare.handle(START, &[Event::EndpointList(entries.to_vec())], &mut vec![]);
    spare.count_calls_from(1 << 48);
    let mut said: BTreeMap<u8, EndpointEntry> = BTreeMap::new();
    for _ in 0..400 {
        match rng.u8(..12) {
            0..4 => drop(s.accept(rng.usize(..3))),
            4..8 if !s.out.is_empty() => {
                let at = rng.usize(..s.out.len());
                let out = s.out.remove(at);
                let outcomes = [
                    Outcome::Delivered,
                    Outcome::Delivered,
                    Outcome::Rejected(Some(rng.u64(..SECOND))),
                    Outcome::Rejected(None),
                    Outcome::Error,
                    Outcome::Reset,
                ];
                let event = s.ended(out, outcomes[rng.usize(..outcomes.len())]);
                s.tell(vec![event]);
            }
            8 => {
                let listing =
                    [Listing::Ready, Listing::Ready, Listing::Draining, Listing::Gone][rng.usize(..4)];
                let n = rng.u8(1..4);
                let changed = EndpointEntry { listing, ..entry(n, 0) };
                said.insert(n, changed.clone());
                let event = Event::EndpointChanges(vec![changed]);
                spare.handle(s.now, std::slice::from_ref(&event), &mut vec![]);
                s.tell(vec![event]);
            }
            9 => {
                // What is looked at once more is reckoned in one step more: said again, so that both are.
                let again = Event::EndpointChanges(said.values().cloned().chain([entry(4, 0)]).collect());
                spare.handle(s.now, std::slice::from_ref(&again), &mut vec![]);
                if moves {
                    spare.attach(s.policy.detach(DEST).unwrap());
                    std::mem::swap(&mut s.policy, &mut spare);
                }
                s.tell(vec![again]);
            }
            _ => s.pass(rng.u64(..SECOND / 2)),
        }
    }
    s.pass(30 * SECOND);
    s
}

/// The same attempts at the same endpoints, and the same answers.
#[test]
fn a_day_with_moves_is_the_same_day() {
    let mut sent = 0;
    let first = first_seed();
    for seed in first..first + 100 {
        let (plain, moved) = (day(seed, false), day(seed, true));
        assert_eq!(plain.sent, moved.sent, "seed {seed}");
        assert_eq!(plain.refused, moved.refused, "seed {seed}");
        assert_eq!(plain.failed, moved.failed, "seed {seed}");
        sent += plain.sent.len();
    }
    assert!(sent > 1_000, "the days have calls: {sent}");
}

const MODULES: usize = 3;
const DESTINATIONS: u16 = 4;
const SLOTS: usize = 12;

fn of(destination: u16, n: u8) -> EndpointId {
    EndpointId([10, 0, destination as u8, n, 0x1b, 0x58])
}

/// Several modules with a part of the slots each, and destinations that go from one to another.
struct Team {
    modules: Vec<Policy>,
    owner: BTreeMap<u16, usize>,
    now: Micros,
    out: Vec<(Out, DestinationId)>,
    tries: BTreeMap<MessageId, u16>,
    held: BTreeMap<MessageId, (usize, DestinationId)>,
    /// Attempts of each that may have run.
    ran: BTreeMap<MessageId, usize>,
    over: BTreeSet<MessageId>,
    waits: BTreeMap<DestinationId, Micros>,
    drained: BTreeSet<EndpointId>,
    calls: usize,
    next: u32,
}

impl Team {
    fn new() -> Self {
        let settings = Settings { max_calls: SLOTS, ..settings() };
        let mut modules: Vec<_> =
            (0..MODULES).map(|n| Policy::new(settings.clone(), 42 + n as u64, START)).collect();
        for (n, module) in modules.iter_mut().enumerate() {
            module.count_calls_from((n as u64) << 48);
        }
        let owner = (0..DESTINATIONS).map(|d| (d, usize::from(d) % MODULES)).collect();
        let mut team = Self {
            modules,
            owner,
            now: START,
            out: vec![],
            tries: BTreeMap::new(),
            held: BTreeMap::new(),
            ran: BTreeMap::new(),
            over: BTreeSet::new(),
            waits: BTreeMap::new(),
            drained: BTreeSet::new(),
            calls: 0,
            next: 0,
        };
        let entries =
            (0..DESTINATIONS).flat_map(|d| [1, 2].map(|n| team.entry(d, n, Listing::Ready))).collect();
        let room = Event::CapacityChanged { max_calls: SLOTS / MODULES, max_messages: 100 };
        team.tell_all(&[Event::EndpointList(entries), room]);
        team
    }

    fn entry(&self, destination: u16, n: u8, listing: Listing) -> EndpointEntry {
        EndpointEntry {
            endpoint: of(destination, n),
            destination: DestinationId(destination),
            listing,
            ..entry(n, 0)
        }
    }

    fn tell_all(&mut self, events: &[Event]) {
        (0..MODULES).for_each(|module| self.tell(module, events));
    }

    fn tell(&mut self, module: usize, events: &[Event]) {
        let mut actions = vec![];
        self.modules[module].handle(self.now, events, &mut actions);
        for action in actions {
            match action {
                Action::Attempt { message, endpoint, timeout, .. } => {
                    let (class, destination) = self.held[&message];
                    assert_eq!(self.owner[&destination.0], module, "it is the owner's alone to send");
                    assert!(!self.over.contains(&message), "nothing goes out after the end");
                    assert!(self.out.iter().all(|o| o.0.message != message), "never two at once");
                    assert!(
                        self.now >= self.waits.get(&destination).copied().unwrap_or(0),
                        "waits are heeded"
                    );
                    assert!(!self.drained.contains(&endpoint), "drains are kept");
                    let ran = self.ran.entry(message).or_default();
                    assert!(class != ONCE || *ran == 0, "no effect twice");
                    *ran += 1;
                    let attempt = self.tries.entry(message).or_default();
                    let until = self.now + timeout;
                    let out = Out { message, attempt: *attempt, endpoint, sent: self.now, until };
                    *attempt += 1;
                    self.out.push((out, destination));
                    self.calls += 1;
                    let there = self.out.iter().filter(|o| o.1 == destination).count();
                    assert!(there <= SLOTS * 3 / 4, "its share of the slots");
                    assert!(self.out.len() <= SLOTS, "all slots together");
                }
                Action::Reject { message, .. } | Action::Fail(message) => {
                    assert!(self.over.insert(message), "one end");
                }
                _ => {}
            }
        }
    }

    fn accept(&mut self, class: usize, destination: u16) {
        self.next += 1;
        let id = MessageId(self.next);
        let destination = DestinationId(destination);
        self.held.insert(id, (class, destination));
        let message =
            Message { id, class, tenant: 0, key: None, remaining_time: 20 * SECOND, hint: None, destination };
        self.tell(self.owner[&destination.0], &[Event::Accepted(message)]);
    }

    fn end(&mut self, at: usize, outcome: Outcome) {
        let (out, destination) = self.out.remove(at);
        if outcome.never_ran() {
            *self.ran.entry(out.message).or_default() -= 1;
        }
        if let Outcome::Rejected(Some(wait)) = outcome {
            let until = self.waits.entry(destination).or_default();
            *until = (*until).max(self.now + wait);
        }
        let terminal = outcome == Outcome::Delivered;
        if terminal && !self.over.contains(&out.message) {
            self.over.insert(out.message);
        }
        let (message, attempt, endpoint) = (out.message, out.attempt, out.endpoint);
        let took = self.now - out.sent;
        let event =
            Event::AttemptCompleted { message, attempt, endpoint, outcome, terminal, took, report: vec![] };
        self.tell(self.owner[&destination.0], &[event]);
    }

    fn pass(&mut self, span: Micros) {
        let until = self.now + span;
        while self.now < until {
            self.now = (self.now + SECOND / 50).min(until);
            while let Some(at) = self.out.iter().position(|o| o.0.until <= self.now) {
                self.end(at, Outcome::TimedOut);
            }
            self.tell_all(&[Event::TimerFired(0)]);
        }
    }

    fn step(&mut self, rng: &mut fastrand::Rng) {
        match rng.u8(..13) {
            0..5 => self.accept(rng.usize(..3), rng.u16(..DESTINATIONS)),
            5..8 if !self.out.is_empty() => {
                let outcomes = [
                    Outcome::Delivered,
                    Outcome::Delivered,
                    Outcome::Rejected(Some(rng.u64(..2 * SECOND))),
                    Outcome::Rejected(None),
                    Outcome::Error,
                    Outcome::Reset,
                ];
                self.end(rng.usize(..self.out.len()), outcomes[rng.usize(..outcomes.len())]);
            }
            8 => {
                let (destination, n) = (rng.u16(..DESTINATIONS), rng.u8(1..3));
                let listing = if rng.bool() { Listing::Ready } else { Listing::Draining };
                if listing == Listing::Ready {
                    self.drained.remove(&of(destination, n));
                } else {
                    self.drained.insert(of(destination, n));
                }
                self.tell_all(&[Event::EndpointChanges(vec![self.entry(destination, n, listing)])]);
            }
            9..11 => {
                let (destination, to) = (rng.u16(..DESTINATIONS), rng.usize(..MODULES));
                let from = self.owner[&destination];
                if from == to {
                    return;
                }
                let parcel = self.modules[from].detach(DestinationId(destination)).unwrap();
                let out = self.out.iter().filter(|o| o.1.0 == destination).count();
                assert_eq!(parcel.attempts_in_flight().count(), out, "all that is out goes along");
                self.modules[to].attach(parcel);
                self.owner.insert(destination, to);
                self.tell_all(&[]);
            }
            _ => self.pass(rng.u64(..SECOND / 2)),
        }
    }
}

#[test]
fn several_modules_with_moves_take_the_same_care_as_one() {
    let (mut calls, mut held) = (0, 0);
    let first = first_seed();
    for seed in first..first + 60 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut team = Team::new();
        for _ in 0..500 {
            team.step(&mut rng);
        }
        team.pass(40 * SECOND);
        let left: Vec<_> = team.held.keys().filter(|id| !team.over.contains(id)).collect();
        assert!(left.is_empty(), "seed {seed}: without an end: {left:?}");
        assert!(
            team.modules.iter().all(|module| module.pending_messages() == 0 && module.calls_in_flight() == 0),
            "seed {seed}"
        );
        (calls, held) = (calls + team.calls, held + team.held.len());
    }
    println!("{held} messages, {calls} calls");
    assert!(calls > 3_000, "the days have calls: {calls}");
}

/// A breaker that is open, a wait, and what is held go along; the module that it leaves knows nothing more of it.
#[test]
fn what_is_known_goes_along_and_nothing_stays() {
    let mut s = Sender::new(settings(), &[entry(1, 0)]);
    s.suffer(5, Outcome::Error);
    let id = s.accept(SAFE);
    assert_eq!(s.policy.open_breakers(), [DEST]);
    let mut other = Policy::new(settings(), 43, s.now);
    other.handle(s.now, &[Event::EndpointList(vec![entry(1, 0)])], &mut vec![]);
    let parcel = s.policy.detach(DEST).unwrap();
    assert!(parcel.messages().any(|message| message == id));
    assert_eq!((s.policy.pending_messages(), s.policy.open_breakers()), (0, vec![]));
    other.attach(parcel);
    assert!(other.pending_messages() > 0 && other.open_breakers() == [DEST]);
}

/// Guards a drain that the new owner has heard of and the old one has not.
#[test]
fn a_drain_that_was_told_here_binds_what_comes() {
    let mut s = Sender::new(settings(), &[entry(1, 0)]);
    s.accept(SAFE);
    s.end(Outcome::Rejected(None));
    let mut other = Policy::new(settings(), 43, s.now);
    let draining = EndpointEntry { listing: Listing::Draining, ..entry(1, 0) };
    other.handle(s.now, &[Event::EndpointList(vec![draining])], &mut vec![]);
    other.attach(s.policy.detach(DEST).unwrap());
    let mut actions = vec![];
    (1..40).for_each(|n| other.handle(s.now + n * SECOND / 4, &[Event::TimerFired(0)], &mut actions));
    assert!(!actions.iter().any(|action| matches!(action, Action::Attempt { .. })), "{actions:?}");
}

/// Guards the wait of a destination that sleeps, or that nothing came for since the start.
#[test]
fn a_wait_goes_along_though_nothing_is_awake() {
    let wait_until = START + 5 * SECOND;
    let mut s = Sender::new(settings(), &[entry(1, 0)]);
    let learnt = RouteSnapshot { wait_until, ..RouteSnapshot::default() };
    s.tell(vec![Event::SnapshotRestored { route: (DEST, None), snapshot: learnt }]);
    let mut other = Policy::new(settings(), 43, s.now);
    other.handle(s.now, &[Event::EndpointList(vec![entry(1, 0)])], &mut vec![]);
    other.attach(s.policy.detach(DEST).unwrap());
    s.policy = other;
    s.accept(SAFE);
    assert!(s.out.is_empty(), "the wait runs");
    s.pass(6 * SECOND);
    assert!(s.sent.iter().all(|out| out.sent >= wait_until) && !s.sent.is_empty());
}

/// Guards ids: the other core may know the same endpoint by another one.
#[test]
fn endpoints_are_known_by_other_ids_where_they_come_to() {
    let mut s = Sender::new(settings(), &[entry(1, 0)]);
    let id = s.accept(ONCE);
    let out = s.out.remove(0);
    let theirs = EndpointId([9; 6]);
    let mut other = Policy::new(settings(), 43, s.now);
    other.handle(
        s.now,
        &[Event::EndpointList(vec![EndpointEntry { endpoint: theirs, ..entry(1, 0) }])],
        &mut vec![],
    );
    let parcel = s.policy.detach(DEST).unwrap();
    assert_eq!(parcel.endpoints(), BTreeSet::from([endpoint(1)]));
    other.attach(parcel.rename(&BTreeMap::from([(endpoint(1), theirs)])));
    let mut actions = vec![];
    let ended = Event::AttemptCompleted {
        message: id,
        attempt: out.attempt,
        endpoint: theirs,
        outcome: Outcome::Rejected(Some(SECOND)),
        terminal: false,
        took: 0,
        report: vec![],
    };
    other.handle(s.now, &[ended], &mut actions);
    other.handle(s.now + 2 * SECOND, &[Event::TimerFired(0)], &mut actions);
    let sent =
        actions.iter().filter(|a| matches!(a, Action::Attempt { endpoint, .. } if *endpoint == theirs));
    assert_eq!(sent.count(), 1, "{actions:?}");
}

#[test]
fn messages_in_order_stay_where_they_are() {
    let mut s = Sender::new(settings(), &[entry(1, 0)]);
    s.accept_keyed(ORDERED, Some(1));
    assert_eq!(s.policy.detach(DEST).err(), Some(MigrationRefused::Ordered));
    assert_eq!(s.policy.pending_messages(), 1, "nothing has changed");
    s.tell(vec![Event::ShuttingDown(s.now + 3 * SECOND)]);
    s.end(Outcome::Delivered);
    assert_eq!(s.policy.detach(DEST).err(), Some(MigrationRefused::ShuttingDown));
}
