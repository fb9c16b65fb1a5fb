//! Migration of destinations between instances of the policy in one process: no health, pending message or
//! attempt in flight is lost, and several instances keep the same guarantees as one. MOVING_SEED sets the
//! first seed of the random runs.

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

/// Plays a random run with one destination, which migrates back and forth between two instances if `migrate`
/// is set.
fn random_run(seed: u64, migrate: bool) -> Sender {
    let mut rng = fastrand::Rng::with_seed(seed);
    let entries = [entry(1, 0), entry(2, 0), entry(3, 0), entry(4, 0)];
    let mut s = Sender::new(settings(), &entries);
    let mut spare = Policy::new(settings(), 42, START);
    spare.handle(START, &[Event::EndpointList(entries.to_vec())], &mut vec![]);
    spare.count_calls_from(1 << 48);
    let mut last_changes: BTreeMap<u8, EndpointEntry> = BTreeMap::new();
    for _ in 0..400 {
        match rng.u8(..12) {
            0..4 => drop(s.accept(rng.usize(..3))),
            4..8 if !s.in_flight.is_empty() => {
                let at = rng.usize(..s.in_flight.len());
                let attempt = s.in_flight.remove(at);
                let outcomes = [
                    Outcome::Delivered,
                    Outcome::Delivered,
                    Outcome::Rejected(Some(rng.u64(..SECOND))),
                    Outcome::Rejected(None),
                    Outcome::Error,
                    Outcome::Reset,
                ];
                let event = s.ended(attempt, outcomes[rng.usize(..outcomes.len())]);
                s.handle(vec![event]);
            }
            8 => {
                let listing =
                    [Listing::Ready, Listing::Ready, Listing::Draining, Listing::Gone][rng.usize(..4)];
                let n = rng.u8(1..4);
                let changed = EndpointEntry { listing, ..entry(n, 0) };
                last_changes.insert(n, changed.clone());
                let event = Event::EndpointChanges(vec![changed]);
                spare.handle(s.now, std::slice::from_ref(&event), &mut vec![]);
                s.handle(vec![event]);
            }
            9 => {
                // Each tick adds a step of decay, which changes floating-point results. The changes are
                // therefore sent in both runs, so that both have the same ticks.
                let repeated =
                    Event::EndpointChanges(last_changes.values().cloned().chain([entry(4, 0)]).collect());
                spare.handle(s.now, std::slice::from_ref(&repeated), &mut vec![]);
                if migrate {
                    spare.attach(s.policy.detach(DEST).unwrap());
                    std::mem::swap(&mut s.policy, &mut spare);
                }
                s.handle(vec![repeated]);
            }
            _ => s.advance(rng.u64(..SECOND / 2)),
        }
    }
    s.advance(30 * SECOND);
    s
}

/// A run with migrations has the same attempts at the same endpoints, and the same final answers, as one
/// without.
#[test]
fn run_with_migrations_matches_run_without() {
    let mut sent = 0;
    let first = first_seed();
    for seed in first..first + 100 {
        let (plain, migrated) = (random_run(seed, false), random_run(seed, true));
        assert_eq!(plain.sent, migrated.sent, "seed {seed}");
        assert_eq!(plain.rejected, migrated.rejected, "seed {seed}");
        assert_eq!(plain.failed, migrated.failed, "seed {seed}");
        sent += plain.sent.len();
    }
    assert!(sent > 1_000, "too few calls in all runs: {sent}");
}

const INSTANCES: usize = 3;
const DESTINATIONS: u16 = 4;
const SLOTS: usize = 12;

fn endpoint_of(destination: u16, n: u8) -> EndpointId {
    EndpointId([10, 0, destination as u8, n, 0x1b, 0x58])
}

/// Several instances with a part of the call slots each, and destinations that migrate between them.
struct InstanceGroup {
    instances: Vec<Policy>,
    owner: BTreeMap<u16, usize>,
    now: Micros,
    in_flight: Vec<(Attempt, DestinationId)>,
    attempts: BTreeMap<MessageId, u16>,
    messages: BTreeMap<MessageId, (usize, DestinationId)>,
    /// Attempts of each message that may have taken effect.
    may_have_run: BTreeMap<MessageId, usize>,
    finished: BTreeSet<MessageId>,
    waits: BTreeMap<DestinationId, Micros>,
    draining: BTreeSet<EndpointId>,
    calls: usize,
    next_id: u32,
}

impl InstanceGroup {
    fn new() -> Self {
        let settings = Settings { max_calls: SLOTS, ..settings() };
        let mut instances: Vec<_> =
            (0..INSTANCES).map(|n| Policy::new(settings.clone(), 42 + n as u64, START)).collect();
        for (n, instance) in instances.iter_mut().enumerate() {
            instance.count_calls_from((n as u64) << 48);
        }
        let owner = (0..DESTINATIONS).map(|d| (d, usize::from(d) % INSTANCES)).collect();
        let mut group = Self {
            instances,
            owner,
            now: START,
            in_flight: vec![],
            attempts: BTreeMap::new(),
            messages: BTreeMap::new(),
            may_have_run: BTreeMap::new(),
            finished: BTreeSet::new(),
            waits: BTreeMap::new(),
            draining: BTreeSet::new(),
            calls: 0,
            next_id: 0,
        };
        let entries =
            (0..DESTINATIONS).flat_map(|d| [1, 2].map(|n| group.entry(d, n, Listing::Ready))).collect();
        let capacity = Event::CapacityChanged { max_calls: SLOTS / INSTANCES, max_messages: 100 };
        group.handle_all(&[Event::EndpointList(entries), capacity]);
        group
    }

    fn entry(&self, destination: u16, n: u8, listing: Listing) -> EndpointEntry {
        EndpointEntry {
            endpoint: endpoint_of(destination, n),
            destination: DestinationId(destination),
            listing,
            ..entry(n, 0)
        }
    }

    fn handle_all(&mut self, events: &[Event]) {
        (0..INSTANCES).for_each(|instance| self.handle(instance, events));
    }

    fn handle(&mut self, instance: usize, events: &[Event]) {
        let mut actions = vec![];
        self.instances[instance].handle(self.now, events, &mut actions);
        for action in actions {
            match action {
                Action::Attempt { message, endpoint, timeout, .. } => {
                    let (class, destination) = self.messages[&message];
                    assert_eq!(self.owner[&destination.0], instance, "only the owner sends");
                    assert!(!self.finished.contains(&message), "no attempt after the final answer");
                    assert!(
                        self.in_flight.iter().all(|o| o.0.message != message),
                        "never two attempts in flight"
                    );
                    assert!(
                        self.now >= self.waits.get(&destination).copied().unwrap_or(0),
                        "waits are respected"
                    );
                    assert!(!self.draining.contains(&endpoint), "no attempt at a draining endpoint");
                    let may_have_run = self.may_have_run.entry(message).or_default();
                    assert!(
                        class != NON_IDEMPOTENT || *may_have_run == 0,
                        "a non-idempotent message is not repeated"
                    );
                    *may_have_run += 1;
                    let attempt = self.attempts.entry(message).or_default();
                    let until = self.now + timeout;
                    let started = Attempt { message, attempt: *attempt, endpoint, sent: self.now, until };
                    *attempt += 1;
                    self.in_flight.push((started, destination));
                    self.calls += 1;
                    let in_flight_there = self.in_flight.iter().filter(|o| o.1 == destination).count();
                    assert!(
                        in_flight_there <= SLOTS * 3 / 4,
                        "destinations keep to their share of the slots"
                    );
                    assert!(self.in_flight.len() <= SLOTS, "all instances keep to the slots");
                }
                Action::Reject { message, .. } | Action::Fail(message) => {
                    assert!(self.finished.insert(message), "one final answer");
                }
                _ => {}
            }
        }
    }

    fn accept(&mut self, class: usize, destination: u16) {
        self.next_id += 1;
        let id = MessageId(self.next_id);
        let destination = DestinationId(destination);
        self.messages.insert(id, (class, destination));
        let message =
            Message { id, class, tenant: 0, key: None, remaining_time: 20 * SECOND, hint: None, destination };
        self.handle(self.owner[&destination.0], &[Event::Accepted(message)]);
    }

    fn end(&mut self, at: usize, outcome: Outcome) {
        let (ended, destination) = self.in_flight.remove(at);
        if outcome.never_ran() {
            *self.may_have_run.entry(ended.message).or_default() -= 1;
        }
        if let Outcome::Rejected(Some(wait)) = outcome {
            let until = self.waits.entry(destination).or_default();
            *until = (*until).max(self.now + wait);
        }
        let terminal = outcome == Outcome::Delivered;
        if terminal && !self.finished.contains(&ended.message) {
            self.finished.insert(ended.message);
        }
        let (message, attempt, endpoint) = (ended.message, ended.attempt, ended.endpoint);
        let took = self.now - ended.sent;
        let event =
            Event::AttemptCompleted { message, attempt, endpoint, outcome, terminal, took, report: vec![] };
        self.handle(self.owner[&destination.0], &[event]);
    }

    fn advance(&mut self, span: Micros) {
        let until = self.now + span;
        while self.now < until {
            self.now = (self.now + SECOND / 50).min(until);
            while let Some(at) = self.in_flight.iter().position(|o| o.0.until <= self.now) {
                self.end(at, Outcome::TimedOut);
            }
            self.handle_all(&[Event::TimerFired(0)]);
        }
    }

    fn step(&mut self, rng: &mut fastrand::Rng) {
        match rng.u8(..13) {
            0..5 => self.accept(rng.usize(..3), rng.u16(..DESTINATIONS)),
            5..8 if !self.in_flight.is_empty() => {
                let outcomes = [
                    Outcome::Delivered,
                    Outcome::Delivered,
                    Outcome::Rejected(Some(rng.u64(..2 * SECOND))),
                    Outcome::Rejected(None),
                    Outcome::Error,
                    Outcome::Reset,
                ];
                self.end(rng.usize(..self.in_flight.len()), outcomes[rng.usize(..outcomes.len())]);
            }
            8 => {
                let (destination, n) = (rng.u16(..DESTINATIONS), rng.u8(1..3));
                let listing = if rng.bool() { Listing::Ready } else { Listing::Draining };
                if listing == Listing::Ready {
                    self.draining.remove(&endpoint_of(destination, n));
                } else {
                    self.draining.insert(endpoint_of(destination, n));
                }
                self.handle_all(&[Event::EndpointChanges(vec![self.entry(destination, n, listing)])]);
            }
            9..11 => {
                let (destination, to) = (rng.u16(..DESTINATIONS), rng.usize(..INSTANCES));
                let from = self.owner[&destination];
                if from == to {
                    return;
                }
                let migrated = self.instances[from].detach(DestinationId(destination)).unwrap();
                let in_flight = self.in_flight.iter().filter(|o| o.1.0 == destination).count();
                assert_eq!(
                    migrated.attempts_in_flight().count(),
                    in_flight,
                    "all attempts in flight migrate"
                );
                self.instances[to].attach(migrated);
                self.owner.insert(destination, to);
                self.handle_all(&[]);
            }
            _ => self.advance(rng.u64(..SECOND / 2)),
        }
    }
}

#[test]
fn instances_with_migrations_keep_delivery_guarantees() {
    let (mut calls, mut messages) = (0, 0);
    let first = first_seed();
    for seed in first..first + 60 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut group = InstanceGroup::new();
        for _ in 0..500 {
            group.step(&mut rng);
        }
        group.advance(40 * SECOND);
        let unfinished: Vec<_> = group.messages.keys().filter(|id| !group.finished.contains(id)).collect();
        assert!(unfinished.is_empty(), "seed {seed}: without a final answer: {unfinished:?}");
        assert!(
            group.instances.iter().all(|i| i.pending_messages() == 0 && i.calls_in_flight() == 0),
            "seed {seed}"
        );
        (calls, messages) = (calls + group.calls, messages + group.messages.len());
    }
    println!("{messages} messages, {calls} calls");
    assert!(calls > 3_000, "too few calls in all runs: {calls}");
}

/// An open breaker and the pending messages migrate with a destination; nothing of it stays with the instance
/// that it leaves.
#[test]
fn state_migrates_and_nothing_stays() {
    let mut s = Sender::new(settings(), &[entry(1, 0)]);
    s.end_calls(5, Outcome::Error);
    let id = s.accept(IDEMPOTENT);
    assert_eq!(s.policy.open_breakers(), [DEST]);
    let mut other = Policy::new(settings(), 43, s.now);
    other.handle(s.now, &[Event::EndpointList(vec![entry(1, 0)])], &mut vec![]);
    let migrated = s.policy.detach(DEST).unwrap();
    assert!(migrated.messages().any(|message| message == id));
    assert_eq!((s.policy.pending_messages(), s.policy.open_breakers()), (0, vec![]));
    other.attach(migrated);
    assert!(other.pending_messages() > 0 && other.open_breakers() == [DEST]);
}

/// The new owner knows of a drain that the old one does not: it still applies to the messages that migrate.
#[test]
fn drain_known_to_new_owner_applies_to_migrated_messages() {
    let mut s = Sender::new(settings(), &[entry(1, 0)]);
    s.accept(IDEMPOTENT);
    s.end(Outcome::Rejected(None));
    let mut other = Policy::new(settings(), 43, s.now);
    let draining = EndpointEntry { listing: Listing::Draining, ..entry(1, 0) };
    other.handle(s.now, &[Event::EndpointList(vec![draining])], &mut vec![]);
    other.attach(s.policy.detach(DEST).unwrap());
    let mut actions = vec![];
    (1..40).for_each(|n| other.handle(s.now + n * SECOND / 4, &[Event::TimerFired(0)], &mut actions));
    assert!(!actions.iter().any(|action| matches!(action, Action::Attempt { .. })), "{actions:?}");
}

/// The wait of a destination that has had no message since the start, and so is not active, migrates with it.
#[test]
fn wait_of_inactive_destination_migrates() {
    let wait_until = START + 5 * SECOND;
    let mut s = Sender::new(settings(), &[entry(1, 0)]);
    let snapshot = RouteSnapshot { wait_until, ..RouteSnapshot::default() };
    s.handle(vec![Event::SnapshotRestored { route: (DEST, None), snapshot }]);
    let mut other = Policy::new(settings(), 43, s.now);
    other.handle(s.now, &[Event::EndpointList(vec![entry(1, 0)])], &mut vec![]);
    other.attach(s.policy.detach(DEST).unwrap());
    s.policy = other;
    s.accept(IDEMPOTENT);
    assert!(s.in_flight.is_empty(), "the wait has not ended");
    s.advance(6 * SECOND);
    assert!(s.sent.iter().all(|attempt| attempt.sent >= wait_until) && !s.sent.is_empty());
}

/// The other instance may know the same endpoint by another id.
#[test]
fn endpoints_are_renamed_to_ids_of_new_owner() {
    let mut s = Sender::new(settings(), &[entry(1, 0)]);
    let id = s.accept(NON_IDEMPOTENT);
    let attempt = s.in_flight.remove(0);
    let renamed = EndpointId([9; 6]);
    let mut other = Policy::new(settings(), 43, s.now);
    other.handle(
        s.now,
        &[Event::EndpointList(vec![EndpointEntry { endpoint: renamed, ..entry(1, 0) }])],
        &mut vec![],
    );
    let migrated = s.policy.detach(DEST).unwrap();
    assert_eq!(migrated.endpoints(), BTreeSet::from([endpoint(1)]));
    other.attach(migrated.rename(&BTreeMap::from([(endpoint(1), renamed)])));
    let mut actions = vec![];
    let ended = Event::AttemptCompleted {
        message: id,
        attempt: attempt.attempt,
        endpoint: renamed,
        outcome: Outcome::Rejected(Some(SECOND)),
        terminal: false,
        took: 0,
        report: vec![],
    };
    other.handle(s.now, &[ended], &mut actions);
    other.handle(s.now + 2 * SECOND, &[Event::TimerFired(0)], &mut actions);
    let sent =
        actions.iter().filter(|a| matches!(a, Action::Attempt { endpoint, .. } if *endpoint == renamed));
    assert_eq!(sent.count(), 1, "{actions:?}");
}

#[test]
fn destination_with_ordered_messages_does_not_migrate() {
    let mut s = Sender::new(settings(), &[entry(1, 0)]);
    s.accept_keyed(ORDERED, Some(1));
    assert_eq!(s.policy.detach(DEST).err(), Some(MigrationRefused::Ordered));
    assert_eq!(s.policy.pending_messages(), 1, "nothing has changed");
    s.handle(vec![Event::ShuttingDown(s.now + 3 * SECOND)]);
    s.end(Outcome::Delivered);
    assert_eq!(s.policy.detach(DEST).err(), Some(MigrationRefused::ShuttingDown));
}
