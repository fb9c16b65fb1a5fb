//! Measurements and fault injection against the real sender, on loopback. Each scenario has a name and a bounded duration; its last
//! line is `held: …` with the figures, or `broken: …` with what failed.

#![allow(clippy::unwrap_used, reason = "a panic in a scenario is reported as `broken`")]

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

/// Runs a measurement or a fault scenario by name; `list` prints all of them.
#[derive(Parser)]
#[command(name = "loadtest", version)]
struct Arguments {
    /// Name of the scenario, or `list`.
    name: String,
    #[command(flatten)]
    options: Options,
}

fn main() -> ExitCode {
    let mut arguments = std::env::args_os();
    if let (Some(first), Some(second)) = (std::env::args().nth(1), std::env::args().nth(2)) {
        let run = match first.as_str() {
            journal_bench::RUN_AS_READER => Some(journal_bench::run_reader(second.as_ref())),
            proxy::RUN_AS_PROXY => {
                let cores = std::env::args().nth(3).and_then(|cores| cores.parse().ok());
                Some(proxy::run(&second, cores.unwrap_or(1)))
            }
            _ => None,
        };
        if let Some(run) = run {
            return run.map_or(ExitCode::FAILURE, |()| ExitCode::SUCCESS);
        }
    }
    // This program contains the sender too, so that the processes it starts always run the code that it was built with.
    if arguments.nth(1).is_some_and(|first| first == scenario::RUN_AS_SENDER) {
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
        println!("broken: there is no scenario {name}; `loadtest list` prints all of them");
        return ExitCode::FAILURE;
    };
    if let Some(sender) = &options.sender {
        scenario::OTHER_SENDER.get_or_init(|| sender.clone());
    }
    println!("{name}, seed {}", options.seed());
    let run = catch_unwind(AssertUnwindSafe(|| (scenario.run)(&options)));
    match run.unwrap_or_else(|_| Err("the scenario panicked; its message is printed above".into())) {
        Ok(figures) => {
            println!("held: {figures}");
            ExitCode::SUCCESS
        }
        Err(failure) => {
            println!("broken: {failure}");
            ExitCode::FAILURE
        }
    }
}
