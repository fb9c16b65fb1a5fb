//! Measurements and faults against the real sender, on loopback: one scenario a name, each bounded in time, its last
//! line `held: …` with the figures or `broken: …` with what did not hold.

#![allow(clippy::unwrap_used, reason = "a load test that fails ends in `broken`")]

mod compaction_kills;
mod cores;
mod demo;
mod endings;
mod herd;
mod idle;
mod journal_bench;
mod known_cost;
mod limited;
mod proxy;
mod scenario;
mod stores;
mod stream;
mod throughput;
mod upgrade_kills;

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::process::ExitCode;

use clap::Parser;
use scenario::{Options, Scenario};

const SCENARIOS: &[Scenario] = &[
    cores::SCENARIO,
    demo::SCENARIO,
    endings::SCENARIO,
    herd::SCENARIO,
    idle::SCENARIO,
    journal_bench::SCENARIO,
    known_cost::SCENARIO,
    compaction_kills::SCENARIO,
    throughput::SCENARIO,
    upgrade_kills::SCENARIO,
    upgrade_kills::CORES,
];

/// Runs a measurement or a fault run by its name; `list` names them all.
#[derive(Parser)]
#[command(name = "loadtest", version)]
struct Arguments {
    /// Its name, or `list`.
    name: String,
    #[command(flatten)]
    options: Options,
}

fn main() -> ExitCode {
    let mut arguments = std::env::args_os();
    if let (Some(first), Some(second)) = (std::env::args().nth(1), std::env::args().nth(2)) {
        let run = match first.as_str() {
            journal_bench::READER => Some(journal_bench::reader(second.as_ref())),
            proxy::PROXY => {
                let cores = std::env::args().nth(3).and_then(|cores| cores.parse().ok());
                Some(proxy::run(&second, cores.unwrap_or(1)))
            }
            _ => None,
        };
        if let Some(run) = run {
            return run.map_or(ExitCode::FAILURE, |()| ExitCode::SUCCESS);
        }
    }
    // The program is the sender too, so that what it starts is always the code that it was built with.
    if arguments.nth(1).is_some_and(|first| first == scenario::SENDER) {
        return sender::cli::main(std::iter::once("myrtleyard".into()).chain(arguments));
    }
    let Arguments { name, options } = Arguments::parse();
    if name == "list" {
        for Scenario { name, about, .. } in SCENARIOS {
            println!("{name:<20} {about}");
        }
        return ExitCode::SUCCESS;
    }
    let Some(scenario) = SCENARIOS.iter().find(|scenario| scenario.name == name) else {
        println!("broken: there is no scenario {name}; `loadtest list` names them");
        return ExitCode::FAILURE;
    };
    if let Some(sender) = &options.sender {
        scenario::OTHER_SENDER.get_or_init(|| sender.clone());
    }
    println!("{name}, seed {}", options.seed());
    let run = catch_unwind(AssertUnwindSafe(|| (scenario.run)(&options)));
    match run.unwrap_or_else(|_| Err("the load test itself failed, as it said above".into())) {
        Ok(figures) => {
            println!("held: {figures}");
            ExitCode::SUCCESS
        }
        Err(what) => {
            println!("broken: {what}");
            ExitCode::FAILURE
        }
    }
}
