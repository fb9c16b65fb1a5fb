//! Model checking of migrations, submissions, calls and their outcomes on a few shards, and of leases. The model checker detects
//! each safeguard of the protocol that is removed.
//!
//! Uses `stateright` rather than `loom` or `shuttle`: the risk is in the order of whole steps of different shards, which
//! interact through mailboxes and one shared value; the libraries are responsible for memory ordering.

use std::collections::BTreeMap;

use sharding::{AttemptId, AttemptRouter, ForeignAttempt, LeasePool, OwnershipMap, ShardId};
use stateright::{Checker, Model, Property};

/// The safeguard of the protocol that is removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Fault {
    None,
    /// A shard drains its mailbox before it loads the ownership map.
    DrainsBeforeLoading,
    /// Migrated state is handled in the order of the mailbox, hence after messages that were sent to the shard when it owned the
    /// destination earlier.
    MigratedStateInOrder,
    /// The new owner is published before the state is sent.
    PublishesBeforeSending,
    /// An outcome is handled by the shard that had the connection, even if it does not own the destination.
    OutcomesStay,
    /// Messages for a destination that has migrated away are handled instead of forwarded.
    ForwardsNothing,
    /// Migrated state that does not fit into the mailbox is lost.
    DropsWhenFull,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum ShardMessage {
    Submitted(u8),
    Ended(u8),
    MigratedState(u16),
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Phase {
    Idle,
    Loaded(OwnershipMap),
    Drained(Option<OwnershipMap>),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Message {
    NotSubmitted,
    Forwarded,
    Pending,
    /// Its call is on a connection of that shard.
    InFlight(ShardId),
    /// Its call has ended, and its owner has not been notified yet.
    Responded,
    Done,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    ownership: OwnershipMap,
    /// By destination: the shards that have its state, and the number of outcomes that are recorded in it.
    outcomes_by_holder: Vec<BTreeMap<ShardId, u8>>,
    mailboxes: Vec<Vec<ShardMessage>>,
    local: Vec<Vec<ShardMessage>>,
    phases: Vec<Phase>,
    /// By shard: the migration that it has started and not finished.
    active_migrations: Vec<Option<(u16, ShardId)>>,
    has_migrated: Vec<bool>,
    routers: Vec<AttemptRouter<u16>>,
    messages: Vec<Message>,
    /// By message: the shard that owns it.
    owning_shard: Vec<Option<ShardId>>,
    /// By destination: the number of outcomes recorded in state that is migrating.
    migrating_outcomes: BTreeMap<u16, u8>,
    started: Vec<u8>,
    violation: Option<&'static str>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Step {
    Submit(u8),
    Respond(u8),
    Load(ShardId),
    Drain(ShardId),
    Decide(ShardId),
    Detach(usize),
    Finish(ShardId),
}

struct MigrationModel {
    fault: Fault,
    shards: u8,
    /// By message: the shard that it is submitted to, and its destination.
    messages: Vec<(ShardId, u16)>,
    migrations: Vec<(u16, ShardId)>,
    /// Capacity of a mailbox.
    capacity: usize,
}

fn attempt(message: u8) -> AttemptId {
    AttemptId::new(message.into(), 0)
}

impl MigrationModel {
    fn destination(&self, message: u8) -> u16 {
        self.messages[usize::from(message)].1
    }

    /// Lets a shard handle a message, with the ownership map of this iteration.
    fn handle(
        &self,
        s: &mut State,
        shard_id: ShardId,
        ownership: &OwnershipMap,
        shard_message: ShardMessage,
        is_local: bool,
    ) {
        let at = shard_id.index();
        let is_owned =
            |destination| ownership.owner(destination) == shard_id || self.fault == Fault::ForwardsNothing;
        match shard_message {
            ShardMessage::MigratedState(destination) => {
                let outcomes = s.migrating_outcomes.remove(&destination).unwrap_or(0);
                s.outcomes_by_holder[usize::from(destination)].insert(shard_id, outcomes);
                let arriving = s.owning_shard.iter_mut().enumerate().filter(|(message, owning_shard)| {
                    owning_shard.is_none() && self.messages[*message].1 == destination
                });
                let mut in_flight = Vec::new();
                for (message, owning_shard) in arriving {
                    match s.messages[message] {
                        Message::Pending => *owning_shard = Some(shard_id),
                        Message::InFlight(shard) => {
                            *owning_shard = Some(shard_id);
                            in_flight.push(ForeignAttempt { attempt: attempt(message as u8), shard });
                        }
                        // Its outcome has not been handled yet.
                        Message::Responded => *owning_shard = Some(shard_id),
                        _ => {}
                    }
                }
                s.routers[at].attach(in_flight);
            }
            ShardMessage::Submitted(message) => {
                let destination = self.destination(message);
                if !is_owned(destination) {
                    s.mailboxes[ownership.owner(destination).index()].push(shard_message);
                    return;
                }
                if !s.outcomes_by_holder[usize::from(destination)].contains_key(&shard_id) {
                    s.violation =
                        Some("message submitted to a shard that does not have the destination's state");
                }
                s.messages[usize::from(message)] = Message::Pending;
                s.owning_shard[usize::from(message)] = Some(shard_id);
            }
            ShardMessage::Ended(message) => {
                let destination = self.destination(message);
                if is_local && s.routers[at].attempt_ended(attempt(message)) != Some(destination) {
                    s.violation = Some("outcome of a call that did not start on this shard");
                }
                let is_handled_locally = self.fault == Fault::OutcomesStay && is_local;
                if !is_owned(destination) && !is_handled_locally {
                    s.mailboxes[ownership.owner(destination).index()].push(shard_message);
                    return;
                }
                s.routers[at].foreign_attempt_ended(attempt(message));
                if let Some(outcomes) = s.outcomes_by_holder[usize::from(destination)].get_mut(&shard_id) {
                    *outcomes += 1;
                }
                if s.owning_shard[usize::from(message)] == Some(shard_id) {
                    s.messages[usize::from(message)] = Message::Done;
                    s.owning_shard[usize::from(message)] = None;
                }
            }
        }
    }

    fn is_complete(&self, s: &State) -> bool {
        let completed_calls = |destination| {
            let of = |m: &(usize, &(ShardId, u16))| m.1.1 == destination && s.started[m.0] > 0;
            self.messages.iter().enumerate().filter(of).count()
        };
        s.messages.iter().all(|m| *m == Message::Done)
            && (0..s.outcomes_by_holder.len()).all(|d| {
                s.outcomes_by_holder[d].values().map(|n| usize::from(*n)).sum::<usize>()
                    == completed_calls(d as u16)
            })
    }
}

impl Model for MigrationModel {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let ownership = OwnershipMap::all_on(self.shards.into(), ShardId(0));
        let shards = usize::from(self.shards);
        let destinations = usize::from(self.messages.iter().map(|m| m.1).max().unwrap_or(0)) + 1;
        vec![State {
            ownership,
            outcomes_by_holder: vec![BTreeMap::from([(ShardId(0), 0)]); destinations],
            mailboxes: vec![vec![]; shards],
            local: vec![vec![]; shards],
            phases: vec![Phase::Idle; shards],
            active_migrations: vec![None; shards],
            has_migrated: vec![false; self.migrations.len()],
            routers: (0..self.shards).map(|shard| AttemptRouter::new(ShardId(shard))).collect(),
            messages: vec![Message::NotSubmitted; self.messages.len()],
            owning_shard: vec![None; self.messages.len()],
            migrating_outcomes: BTreeMap::new(),
            started: vec![0; self.messages.len()],
            violation: None,
        }]
    }

    fn actions(&self, s: &State, steps: &mut Vec<Step>) {
        for (message, state) in s.messages.iter().enumerate() {
            match state {
                Message::NotSubmitted => steps.push(Step::Submit(message as u8)),
                Message::InFlight(_) => steps.push(Step::Respond(message as u8)),
                _ => {}
            }
        }
        for shard in (0..self.shards).map(ShardId) {
            let at = shard.index();
            if s.active_migrations[at].is_some() {
                steps.push(Step::Finish(shard));
                continue;
            }
            let has_input = !s.mailboxes[at].is_empty() || !s.local[at].is_empty();
            let first_step = |shard| {
                if self.fault == Fault::DrainsBeforeLoading { Step::Drain(shard) } else { Step::Load(shard) }
            };
            match &s.phases[at] {
                Phase::Idle if has_input => steps.push(first_step(shard)),
                Phase::Idle => {}
                Phase::Loaded(_) => steps.push(Step::Drain(shard)),
                Phase::Drained(None) => steps.push(Step::Load(shard)),
                Phase::Drained(Some(_)) => steps.push(Step::Decide(shard)),
            }
        }
        for (number, (destination, to)) in self.migrations.iter().enumerate() {
            let from = s.ownership.owner(*destination);
            let has_state = s.outcomes_by_holder[usize::from(*destination)].contains_key(&from);
            let is_idle =
                s.phases[from.index()] == Phase::Idle && s.active_migrations[from.index()].is_none();
            if !s.has_migrated[number] && from != *to && has_state && is_idle {
                steps.push(Step::Detach(number));
            }
        }
    }

    fn next_state(&self, last: &State, step: Step) -> Option<State> {
        let mut s = last.clone();
        match step {
            Step::Submit(message) => {
                let (front, destination) = self.messages[usize::from(message)];
                let to = s.ownership.owner(destination);
                s.messages[usize::from(message)] = Message::Forwarded;
                if to == front {
                    s.local[front.index()].push(ShardMessage::Submitted(message));
                } else if s.mailboxes[to.index()].len() < self.capacity {
                    s.mailboxes[to.index()].push(ShardMessage::Submitted(message));
                } else {
                    // Rejected, with Retry-After.
                    s.messages[usize::from(message)] = Message::Done;
                }
            }
            Step::Respond(message) => {
                let Message::InFlight(shard) = s.messages[usize::from(message)] else { return None };
                s.messages[usize::from(message)] = Message::Responded;
                s.local[shard.index()].push(ShardMessage::Ended(message));
            }
            Step::Load(shard) => {
                let ownership = s.ownership.clone();
                s.phases[shard.index()] = match &s.phases[shard.index()] {
                    Phase::Drained(None) => Phase::Drained(Some(ownership)),
                    _ => Phase::Loaded(ownership),
                };
            }
            Step::Drain(shard) => {
                let (ownership, next) = match s.phases[shard.index()].clone() {
                    Phase::Loaded(ownership) => (ownership.clone(), Phase::Drained(Some(ownership))),
                    _ => (s.ownership.clone(), Phase::Drained(None)),
                };
                let mut arriving = std::mem::take(&mut s.mailboxes[shard.index()]);
                if self.fault != Fault::MigratedStateInOrder {
                    arriving.sort_by_key(|shard_message| {
                        !matches!(shard_message, ShardMessage::MigratedState(_))
                    });
                }
                for shard_message in arriving {
                    self.handle(&mut s, shard, &ownership, shard_message, false);
                }
                s.phases[shard.index()] = next;
            }
            Step::Decide(shard) => {
                let Phase::Drained(Some(ownership)) = s.phases[shard.index()].clone() else { return None };
                for shard_message in std::mem::take(&mut s.local[shard.index()]) {
                    self.handle(&mut s, shard, &ownership, shard_message, true);
                }
                for message in 0..self.messages.len() {
                    if s.owning_shard[message] == Some(shard) && s.messages[message] == Message::Pending {
                        s.messages[message] = Message::InFlight(shard);
                        s.started[message] += 1;
                        let destination = self.messages[message].1;
                        s.routers[shard.index()].attempt_started(
                            attempt(message as u8),
                            destination,
                            destination,
                        );
                    }
                }
                s.phases[shard.index()] = Phase::Idle;
            }
            Step::Detach(number) => {
                let (destination, to) = self.migrations[number];
                let from = s.ownership.owner(destination);
                s.has_migrated[number] = true;
                let has_capacity = s.mailboxes[to.index()].len() < self.capacity;
                if !has_capacity && self.fault != Fault::DropsWhenFull {
                    // The destination stays with its owner.
                    return Some(s);
                }
                let outcomes = s.outcomes_by_holder[usize::from(destination)].remove(&from)?;
                s.migrating_outcomes.insert(destination, outcomes);
                let pending: Vec<usize> = (0..s.owning_shard.len())
                    .filter(|m| s.owning_shard[*m] == Some(from) && self.messages[*m].1 == destination)
                    .collect();
                pending.iter().for_each(|m| s.owning_shard[*m] = None);
                let in_flight = pending
                    .iter()
                    .filter(|m| matches!(s.messages[**m], Message::InFlight(_) | Message::Responded));
                s.routers[from.index()].detach(in_flight.map(|m| attempt(*m as u8)));
                if self.fault == Fault::PublishesBeforeSending {
                    s.ownership = s.ownership.with(destination, to);
                } else if has_capacity {
                    s.mailboxes[to.index()].push(ShardMessage::MigratedState(destination));
                }
                s.active_migrations[from.index()] = Some((destination, to));
            }
            Step::Finish(shard) => {
                let (destination, to) = s.active_migrations[shard.index()].take()?;
                if self.fault == Fault::PublishesBeforeSending {
                    s.mailboxes[to.index()].push(ShardMessage::MigratedState(destination));
                } else {
                    s.ownership = s.ownership.with(destination, to);
                }
            }
        }
        Some(s)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("each destination has one owner", |m: &MigrationModel, s: &State| {
                let in_mailboxes = |d: u16| {
                    s.mailboxes
                        .iter()
                        .flatten()
                        .filter(|shard_message| **shard_message == ShardMessage::MigratedState(d))
                        .count()
                };
                let unsent = |d: u16| {
                    m.fault == Fault::PublishesBeforeSending
                        && s.active_migrations.iter().flatten().any(|migration| migration.0 == d)
                };
                (0..s.outcomes_by_holder.len()).all(|d| {
                    s.outcomes_by_holder[d].len() + in_mailboxes(d as u16) + usize::from(unsent(d as u16))
                        == 1
                })
            }),
            Property::always("no violation", |_: &MigrationModel, s: &State| s.violation.is_none()),
            Property::always("no call starts twice", |_: &MigrationModel, s: &State| {
                s.started.iter().all(|n| *n <= 1)
            }),
            Property::always("the shard that can cancel a call is known", |_: &MigrationModel, s: &State| {
                (0..s.messages.len()).all(|m| match (s.messages[m], s.owning_shard[m]) {
                    (Message::InFlight(shard), Some(owning_shard)) => {
                        s.routers[owning_shard.index()].connection(attempt(m as u8)) == shard
                    }
                    _ => true,
                })
            }),
            Property::always(
                "when no step is left, all messages are done and each outcome was handled",
                |m: &MigrationModel, s: &State| {
                    let mut steps = Vec::new();
                    m.actions(s, &mut steps);
                    !steps.is_empty() || m.is_complete(s)
                },
            ),
        ]
    }
}

fn two_shard_model(fault: Fault) -> MigrationModel {
    MigrationModel {
        fault,
        shards: 2,
        messages: vec![(ShardId(0), 0), (ShardId(1), 0), (ShardId(1), 1)],
        migrations: vec![(0, ShardId(1)), (0, ShardId(0)), (1, ShardId(1))],
        capacity: 2,
    }
}

/// Three shards, and a destination that migrates to each of them in turn.
fn circular_model(fault: Fault) -> MigrationModel {
    MigrationModel {
        fault,
        shards: 3,
        messages: vec![(ShardId(0), 0), (ShardId(2), 0)],
        migrations: vec![(0, ShardId(1)), (0, ShardId(2)), (0, ShardId(0))],
        capacity: 2,
    }
}

#[test]
fn no_interleaving_leads_to_two_owners_or_loses_or_duplicates_a_message() {
    for model in [two_shard_model(Fault::None), circular_model(Fault::None)] {
        let checker = model.checker().threads(4).spawn_bfs().join();
        println!("{} states, {} of them unique", checker.state_count(), checker.unique_state_count());
        assert!(checker.unique_state_count() > 10_000);
        checker.assert_properties();
    }
}

#[test]
fn model_checker_detects_each_removed_safeguard() {
    let faults = [
        Fault::DrainsBeforeLoading,
        Fault::MigratedStateInOrder,
        Fault::PublishesBeforeSending,
        Fault::OutcomesStay,
        Fault::ForwardsNothing,
        Fault::DropsWhenFull,
    ];
    for fault in faults {
        // The search ends with the first violation.
        let found = [two_shard_model(fault), circular_model(fault)].into_iter().find_map(|model| {
            let when = stateright::HasDiscoveries::Any;
            let checker = model.checker().threads(4).finish_when(when).spawn_bfs().join();
            checker.discoveries().keys().next().copied()
        });
        println!("{fault:?}: {found:?}");
        assert!(found.is_some(), "{fault:?} is not detected");
    }
}

/// Shards that start and end calls, report what they want, and transfer units in use.
struct LeaseModel {
    shards: u8,
    total: usize,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct LeaseState {
    pool: LeasePool,
    used: Vec<usize>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum LeaseStep {
    Report(ShardId, usize),
    StartCall(ShardId),
    Respond(ShardId),
    Transfer(ShardId, ShardId),
}

impl Model for LeaseModel {
    type State = LeaseState;
    type Action = LeaseStep;

    fn init_states(&self) -> Vec<LeaseState> {
        vec![LeaseState {
            pool: LeasePool::new(self.total, self.shards.into()),
            used: vec![0; self.shards.into()],
        }]
    }

    fn actions(&self, s: &LeaseState, steps: &mut Vec<LeaseStep>) {
        for shard in (0..self.shards).map(ShardId) {
            let used = s.used[shard.index()];
            steps.extend((0..=2).map(|more| LeaseStep::Report(shard, used + more)));
            if used < s.pool.lease(shard) {
                steps.push(LeaseStep::StartCall(shard));
            }
            if used > 0 {
                steps.push(LeaseStep::Respond(shard));
                steps.extend(
                    (0..self.shards)
                        .map(ShardId)
                        .filter(|to| *to != shard)
                        .map(|to| LeaseStep::Transfer(shard, to)),
                );
            }
        }
    }

    fn next_state(&self, last: &LeaseState, step: LeaseStep) -> Option<LeaseState> {
        let mut s = last.clone();
        match step {
            LeaseStep::Report(shard, wanted) => {
                let _ = s.pool.update(shard, s.used[shard.index()], wanted);
            }
            LeaseStep::StartCall(shard) => s.used[shard.index()] += 1,
            LeaseStep::Respond(shard) => s.used[shard.index()] -= 1,
            LeaseStep::Transfer(from, to) => {
                s.pool.transfer(from, to, 1);
                s.used[from.index()] -= 1;
                s.used[to.index()] += 1;
            }
        }
        Some(s)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "the leases and the free capacity add up to the total",
                |m: &LeaseModel, s: &LeaseState| {
                    (0..m.shards).map(|shard| s.pool.lease(ShardId(shard))).sum::<usize>() + s.pool.free()
                        == m.total
                },
            ),
            Property::always("no lease is below the units in use", |m: &LeaseModel, s: &LeaseState| {
                (0..m.shards).all(|shard| s.used[usize::from(shard)] <= s.pool.lease(ShardId(shard)))
            }),
            // If all shards want everything, none has less than an even share, unless another uses more.
            Property::always("each shard gets an even share", |m: &LeaseModel, s: &LeaseState| {
                let even = (m.total / usize::from(m.shards)).max(1);
                if s.used.iter().any(|used| *used > even) || m.total < usize::from(m.shards) {
                    return true;
                }
                let mut pool = s.pool.clone();
                for shard in (0..3).flat_map(|_| (0..m.shards).map(ShardId)) {
                    pool.update(shard, s.used[shard.index()], m.total);
                }
                (0..m.shards).map(ShardId).all(|shard| pool.lease(shard) >= even)
            }),
            // Unused capacity is available after one report of each other shard and one of its own.
            Property::always("no shard starves", |m: &LeaseModel, s: &LeaseState| {
                (0..m.shards).map(ShardId).all(|shard| {
                    let mut pool = s.pool.clone();
                    let used = s.used[shard.index()];
                    let has_free_capacity = s.used.iter().sum::<usize>() < m.total;
                    pool.update(shard, used, used + 1);
                    for other in (0..m.shards).map(ShardId).filter(|other| *other != shard) {
                        pool.update(other, s.used[other.index()], s.used[other.index()]);
                    }
                    pool.update(shard, used, used + 1);
                    !has_free_capacity || pool.lease(shard) > used
                })
            }),
        ]
    }
}

#[test]
fn leases_never_exceed_the_total_and_no_shard_starves() {
    for (shards, total) in [(2, 3), (3, 4), (2, 5), (3, 2)] {
        let checker = LeaseModel { shards, total }.checker().threads(4).spawn_bfs().join();
        println!("{shards} shards, total {total}: {} states", checker.unique_state_count());
        assert!(checker.unique_state_count() > 20);
        checker.assert_properties();
    }
}
