//! Quota transfers, checked over all orders in which messages are received, duplicated, delayed or lost, and processes end: at
//! no moment do the shares in use exceed the limit, and none is used beyond its span.

use std::collections::BTreeSet;

use gossip::escrow::{EVEN_SHARE, QuotaEscrow, QuotaRequest, SPAN};
use stateright::{Checker, Model, Property};

const SENDERS: usize = 3;
const DEST: u16 = 7;
/// Time advances by this much: a quarter of a span.
const STEP: u64 = SPAN / 4;
const BEGIN: u64 = 2 * SPAN;

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    Request { from: usize, to: usize, request: u32, units: u32 },
    Grant { from: usize, to: usize, request: u32, units: u32 },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    now: u64,
    escrows: Vec<QuotaEscrow>,
    /// Messages that were sent: each may be delivered any number of times, at any time, or never.
    network: BTreeSet<Message>,
    requests: usize,
    is_killed: bool,
    deliveries: usize,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Advance,
    Request(usize),
    Deliver(Message),
    Kill(usize),
}

struct EscrowModel {
    steps: u64,
    requests: usize,
    deliveries: usize,
}

impl Model for EscrowModel {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let escrows = (0..SENDERS).map(|n| QuotaEscrow::new(0, 1_000 * n as u32)).collect();
        vec![World {
            now: BEGIN,
            escrows,
            network: BTreeSet::new(),
            requests: 0,
            is_killed: false,
            deliveries: 0,
        }]
    }

    fn actions(&self, world: &World, actions: &mut Vec<Step>) {
        if world.now < BEGIN + self.steps * STEP {
            actions.push(Step::Advance);
        }
        if world.requests < self.requests {
            actions.extend((0..2).map(Step::Request));
        }
        if world.deliveries < self.deliveries {
            actions.extend(world.network.iter().cloned().map(Step::Deliver));
        }
        if !world.is_killed {
            actions.extend((0..SENDERS).map(Step::Kill));
        }
    }

    fn next_state(&self, world: &World, step: Step) -> Option<World> {
        let mut world = world.clone();
        match step {
            Step::Advance => world.now += STEP,
            Step::Request(from) => {
                world.requests += 1;
                let request = world.escrows[from].request(DEST, EVEN_SHARE / 2, world.now)?;
                let others = (0..SENDERS).filter(|to| *to != from);
                world.network.extend(others.map(|to| Message::Request {
                    from,
                    to,
                    request,
                    units: EVEN_SHARE / 2,
                }));
            }
            Step::Deliver(message) => {
                world.deliveries += 1;
                match message {
                    Message::Request { from, to, request, units } => {
                        let wanted = QuotaRequest { from: from as u16, request, destination: DEST, units };
                        let granted = world.escrows[to].grant(wanted, EVEN_SHARE, world.now)?;
                        world.network.insert(Message::Grant { from: to, to: from, request, units: granted });
                    }
                    Message::Grant { from, to, request, units } => {
                        world.escrows[to].grant_received(from as u16, request, units, world.now);
                    }
                }
            }
            Step::Kill(sender) => {
                world.is_killed = true;
                world.escrows[sender] = QuotaEscrow::new(world.now, 100_000);
            }
        }
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("the shares in use do not exceed the limit", |_, world: &World| {
                let all: u32 = world.escrows.iter().map(|escrow| escrow.usable_units(DEST, world.now)).sum();
                all <= SENDERS as u32 * EVEN_SHARE
            }),
            Property::always("no transfer is used beyond its span", |_, world: &World| {
                let later = world.now + SPAN;
                world.escrows.iter().all(|escrow| escrow.usable_units(DEST, later) <= EVEN_SHARE)
            }),
            Property::sometimes("a transfer is used", |_, world: &World| {
                world.escrows.iter().any(|escrow| escrow.usable_units(DEST, world.now) > EVEN_SHARE)
            }),
        ]
    }
}

#[test]
fn no_order_of_messages_and_ends_exceeds_the_limit() {
    let checker =
        EscrowModel { steps: 5, requests: 2, deliveries: 4 }.checker().threads(2).spawn_bfs().join();
    println!("{} states", checker.unique_state_count());
    checker.assert_properties();
}
