//! Parts of a limit that are lent, checked over all orders in which notes come, come twice, late or never, and processes end:
//! at no moment do all parts in use come to more than the whole, and none is used beyond its span.

use std::collections::BTreeSet;

use gossip::rights::{EVEN, QuotaEscrow, SPAN};
use stateright::{Checker, Model, Property};

const SENDERS: usize = 3;
const DEST: u16 = 7;
/// A step of time: so many make a span.
const STEP: u64 = SPAN / 4;
const BEGIN: u64 = 2 * SPAN;

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Note {
    Borrow { from: usize, to: usize, ask: u32, units: u32 },
    Lend { from: usize, to: usize, ask: u32, units: u32 },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    now: u64,
    rights: Vec<QuotaEscrow>,
    /// Notes that were sent: each may come any number of times, at any time, or never.
    network: BTreeSet<Note>,
    asks: usize,
    killed: bool,
    notes: usize,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Time,
    Ask(usize),
    Comes(Note),
    Killed(usize),
}

struct Bounds {
    steps: u64,
    asks: usize,
    notes: usize,
}

impl Model for Bounds {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let rights = (0..SENDERS).map(|n| QuotaEscrow::new(0, 1_000 * n as u32)).collect();
        vec![World { now: BEGIN, rights, network: BTreeSet::new(), asks: 0, killed: false, notes: 0 }]
    }

    fn actions(&self, world: &World, actions: &mut Vec<Step>) {
        if world.now < BEGIN + self.steps * STEP {
            actions.push(Step::Time);
        }
        if world.asks < self.asks {
            actions.extend((0..2).map(Step::Ask));
        }
        if world.notes < self.notes {
            actions.extend(world.network.iter().cloned().map(Step::Comes));
        }
        if !world.killed {
            actions.extend((0..SENDERS).map(Step::Killed));
        }
    }

    fn next_state(&self, world: &World, step: Step) -> Option<World> {
        let mut world = world.clone();
        match step {
            Step::Time => world.now += STEP,
            Step::Ask(from) => {
                world.asks += 1;
                let ask = world.rights[from].ask(DEST, EVEN / 2, world.now)?;
                let others = (0..SENDERS).filter(|to| *to != from);
                world.network.extend(others.map(|to| Note::Borrow { from, to, ask, units: EVEN / 2 }));
            }
            Step::Comes(note) => {
                world.notes += 1;
                match note {
                    Note::Borrow { from, to, ask, units } => {
                        let lent = world.rights[to].lend(from as u16, DEST, ask, units, EVEN, world.now)?;
                        world.network.insert(Note::Lend { from: to, to: from, ask, units: lent });
                    }
                    Note::Lend { from, to, ask, units } => {
                        world.rights[to].granted(from as u16, ask, units, world.now);
                    }
                }
            }
            Step::Killed(sender) => {
                world.killed = true;
                world.rights[sender] = QuotaEscrow::new(world.now, 100_000);
            }
        }
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("all parts in use are no more than the whole", |_, world: &World| {
                let all: u32 = world.rights.iter().map(|rights| rights.may_use(DEST, world.now)).sum();
                all <= SENDERS as u32 * EVEN
            }),
            Property::always("nothing is used beyond its span", |_, world: &World| {
                let later = world.now + SPAN;
                world.rights.iter().all(|rights| rights.may_use(DEST, later) <= EVEN)
            }),
            Property::sometimes("something is lent and used", |_, world: &World| {
                world.rights.iter().any(|rights| rights.may_use(DEST, world.now) > EVEN)
            }),
        ]
    }
}

#[test]
fn no_order_of_notes_and_ends_lends_more_than_the_whole() {
    let checker = Bounds { steps: 5, asks: 2, notes: 4 }.checker().threads(2).spawn_bfs().join();
    println!("{} states", checker.unique_state_count());
    checker.assert_properties();
}
