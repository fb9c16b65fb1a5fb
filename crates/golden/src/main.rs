//! Records new golden files: `cargo run -p golden -- record`.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};

/// Records the golden files with which the tests of this package compare.
#[derive(Parser)]
#[command(name = "golden", version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Writes the golden files of the current code.
    Record {
        /// The folder to write to.
        #[arg(long, default_value = concat!(env!("CARGO_MANIFEST_DIR"), "/data"))]
        to: PathBuf,
    },
}

fn main() -> ExitCode {
    let Command::Record { to } = Arguments::parse().command;
    let recorded = golden::stored::record(&to)
        .and_then(|()| golden::handover::record(&to))
        .and_then(|()| golden::wire::record(&to));
    match recorded {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("could not record the golden files in {}: {error}", to.display());
            ExitCode::FAILURE
        }
    }
}
