//! Model checking of quota transfers over all orders in which messages are received, duplicated, delayed or lost and in which
//! a process ends: the shares in use never exceed the limit, and no transfer is used beyond its span.

use std::collections::BTreeSet;

use gossip::escrow::{EVEN_SHARE, QuotaEscrow, QuotaRequest, SPAN};
use stateright::{Checker, Model, Property};

const SENDERS: usize = 3;
const DESTINATION: u16 = 7;
/// Time advances by this much: a quarter of a span.
const TIME_STEP: u64 = SPAN / 4;
const STARTED_AT: u64 = 2 * SPAN;

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    Request { from: usize, to: usize, request: u32, units: u32 },
    Grant { from: usize, to: usize, request: u32, units: u32 },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    now: u64,
    escrows: Vec<QuotaEscrow>,
    /// Messages that were sent. Each may be delivered any number of times, at any time, or never.
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
            now: STARTED_AT,
            escrows,
            network: BTreeSet::new(),
            requests: 0,
            is_killed: false,
            deliveries: 0,
        }]
    }

    fn actions(&self, world: &World, actions: &mut Vec<Step>) {
        if world.now < STARTED_AT + self.steps * TIME_STEP {
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
            Step::Advance => world.now += TIME_STEP,
            Step::Request(from) => {
                world.requests += 1;
                let request = world.escrows[from].request(DESTINATION, EVEN_SHARE / 2, world.now)?;
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
                        let quota_request =
                            QuotaRequest { from: from as u16, request, destination: DESTINATION, units };
                        let granted = world.escrows[to].grant(quota_request, EVEN_SHARE, world.now)?;
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
                let all: u32 =
                    world.escrows.iter().map(|escrow| escrow.usable_units(DESTINATION, world.now)).sum();
                all <= SENDERS as u32 * EVEN_SHARE
            }),
            Property::always("no transfer is used beyond its span", |_, world: &World| {
                let later = world.now + SPAN;
                world.escrows.iter().all(|escrow| escrow.usable_units(DESTINATION, later) <= EVEN_SHARE)
            }),
            Property::sometimes("a transfer is used", |_, world: &World| {
                world.escrows.iter().any(|escrow| escrow.usable_units(DESTINATION, world.now) > EVEN_SHARE)
            }),
        ]
    }
}

#[test]
fn shares_in_use_never_exceed_the_limit_in_any_order_of_messages_and_kills() {
    let checker =
        EscrowModel { steps: 5, requests: 2, deliveries: 4 }.checker().threads(2).spawn_bfs().join();
    println!("{} states", checker.unique_state_count());
    checker.assert_properties();
}
