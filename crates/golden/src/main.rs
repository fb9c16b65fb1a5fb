//! Records the golden files anew: `cargo run -p golden -- record`.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};

/// Records the golden files that the tests of this package compare with.
#[derive(Parser)]
#[command(name = "golden", version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Writes the golden files of this version.
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
            eprintln!("golden files could not be recorded in {}: {error}", to.display());
            ExitCode::FAILURE
        }
    }
}
