//! What scenarios have in common.

use std::collections::HashMap;
use std::path::PathBuf;
use std::sync::OnceLock;
use std::time::{Duration, Instant};

use test_doubles::{ClientAnswer, Effects, Program, Submission};

/// The first argument with which the program is the sender.
pub const SENDER: &str = "run-as-sender";

/// What the command line says.
#[derive(Debug, clap::Args)]
pub struct Options {
    /// Repeats a run, as far as real processes allow.
    #[arg(long)]
    seed: Option<u64>,
    /// The short form that the tests run.
    #[arg(long)]
    pub short: bool,
    /// How many points a fault run has.
    #[arg(long)]
    pub points: Option<usize>,
    /// How many destinations there are.
    #[arg(long)]
    pub destinations: Option<u16>,
    /// How often a run kills its senders, where it can.
    #[arg(long)]
    pub restarts: Option<usize>,
    /// How many cores the sender has.
    #[arg(long)]
    pub cores: Option<u8>,
    /// How many senders there are.
    #[arg(long)]
    pub senders: Option<usize>,
    /// The program that is the sender, in place of this one: another version, or one that runs several by turns.
    #[arg(long, value_name = "FILE")]
    pub sender: Option<PathBuf>,
    #[arg(skip)]
    drawn: OnceLock<u64>,
}

impl Options {
    /// The seed that was told, or one that was drawn.
    pub fn seed(&self) -> u64 {
        self.seed.unwrap_or_else(|| *self.drawn.get_or_init(|| fastrand::u64(..)))
    }
}

/// A run by its name. It ends with its figures, or with what did not hold.
pub struct Scenario {
    /// Its name.
    pub name: &'static str,
    /// What it shows, in a line.
    pub about: &'static str,
    /// Runs it.
    pub run: fn(&Options) -> Result<String, String>,
}

/// The program that is the sender, where it is not this one.
pub static OTHER_SENDER: OnceLock<PathBuf> = OnceLock::new();

/// The sender that the program was built with, or the one that the command line names.
pub fn program() -> Program {
    if let Some(other) = OTHER_SENDER.get() {
        return Program::new(other);
    }
    Program::new(std::env::current_exe().expect("the program's own file")).arg(SENDER)
}

/// How the messages of a run ended.
#[derive(Debug, Default)]
pub struct Ends {
    /// Taken on, and answered 200 by a partner.
    pub delivered: usize,
    /// Taken on, and ended by a notice.
    pub noticed: usize,
    /// Taken on, with neither.
    pub lost: Vec<String>,
    /// Of a class that must not take effect twice, and took effect twice, whatever their clients heard.
    pub twice: Vec<String>,
}

impl Ends {
    /// Waits until each message that was taken on has its end, or the patience is over.
    pub fn wait(patience: Duration, look: impl Fn() -> Self) -> Self {
        let until = Instant::now() + patience;
        let mut ends = look();
        while !ends.lost.is_empty() && Instant::now() < until {
            std::thread::sleep(Duration::from_millis(20));
            ends = look();
        }
        ends
    }

    /// Holds what clients heard against what partners did and what the platform was told.
    pub fn of(
        said: &HashMap<String, Submission>,
        effects: &HashMap<String, Effects>,
        notices: &HashMap<String, Vec<String>>,
    ) -> Self {
        let mut ends = Self::default();
        for (id, message) in said {
            let of = effects.get(id).copied().unwrap_or_default();
            // Whatever its client heard: it must not take effect twice.
            if message.class == "order" && of.ran > 1 {
                ends.twice.push(id.clone());
            }
            if message.answer == ClientAnswer::Accepted {
                match (of.answered > 0, notices.contains_key(id)) {
                    (true, _) => ends.delivered += 1,
                    (false, true) => ends.noticed += 1,
                    (false, false) => ends.lost.push(id.clone()),
                }
            }
        }
        ends
    }
}
