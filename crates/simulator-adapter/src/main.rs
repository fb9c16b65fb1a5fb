//! Runs many instances of the decision module for the simulator: reads input frames from standard input, and writes one reply
//! frame for each to standard output.

use std::collections::BTreeMap;
use std::io::{self, BufReader, Write};
use std::process::ExitCode;

use decision::interface::{Action, Event};
use decision::policy::Policy;
use simulator_adapter::{Decoder, Input, encode, read_frame};

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("myrtleyard-adapter: {e}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), Box<dyn std::error::Error>> {
    let mut input = BufReader::with_capacity(1 << 16, io::stdin().lock());
    let mut output = io::stdout().lock();
    let mut decoder = Decoder::default();
    let mut instances: BTreeMap<u16, Policy> = BTreeMap::new();
    while let Some(frame) = read_frame(&mut input)? {
        let mut events: BTreeMap<u16, Vec<Event>> = BTreeMap::new();
        for (instance, instance_input) in decoder.decode(&frame)? {
            match instance_input {
                Input::Boot { seed, settings } => {
                    instances.insert(instance, Policy::new(*settings, seed, frame.now));
                    events.insert(instance, Vec::new());
                }
                Input::Teardown => {
                    instances.remove(&instance);
                    events.remove(&instance);
                }
                Input::Event(event) => events.entry(instance).or_default().push(event),
            }
        }
        let mut reply: Vec<(u16, Vec<Action>)> = Vec::new();
        for (instance, events) in events {
            if let Some(policy) = instances.get_mut(&instance) {
                let mut actions = Vec::new();
                policy.handle(frame.now, &events, &mut actions);
                reply.push((instance, actions));
            }
        }
        output.write_all(&encode(&reply))?;
        output.flush()?;
    }
    Ok(())
}
