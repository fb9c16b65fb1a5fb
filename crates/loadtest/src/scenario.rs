//! Command-line options, the sender program and the message accounting that the scenarios share.

use std::collections::HashMap;
use std::path::PathBuf;
use std::sync::OnceLock;
use std::time::{Duration, Instant};

use test_doubles::{ClientAnswer, Effects, Program, Submission};

/// First argument that makes this program run as the sender.
pub const RUN_AS_SENDER: &str = "run-as-sender";

/// Options of the command line.
#[derive(Debug, clap::Args)]
pub struct Options {
    /// Seed of the random draws; repeats a run as far as real processes allow.
    #[arg(long)]
    seed: Option<u64>,
    /// Runs the short form that the tests use.
    #[arg(long)]
    pub short: bool,
    /// Number of faults that a fault scenario injects.
    #[arg(long)]
    pub points: Option<usize>,
    /// Number of destinations.
    #[arg(long)]
    pub destinations: Option<u16>,
    /// Number of times that a scenario kills its sender, where it supports that.
    #[arg(long)]
    pub restarts: Option<usize>,
    /// Number of cores of the sender.
    #[arg(long)]
    pub cores: Option<u8>,
    /// Number of senders.
    #[arg(long)]
    pub senders: Option<usize>,
    /// Sender executable to use instead of this program: another version, or a wrapper that alternates between versions.
    #[arg(long, value_name = "FILE")]
    pub sender: Option<PathBuf>,
    #[arg(skip)]
    random_seed: OnceLock<u64>,
}

impl Options {
    /// Returns the seed of the command line, or else one drawn at random once per process.
    pub fn seed(&self) -> u64 {
        self.seed.unwrap_or_else(|| *self.random_seed.get_or_init(|| fastrand::u64(..)))
    }
}

/// A named scenario. It returns its figures, or as an error what failed.
pub struct Scenario {
    /// Name on the command line.
    pub name: &'static str,
    /// Description of one line for `loadtest list`.
    pub about: &'static str,
    /// Runs the scenario.
    pub run: fn(&Options) -> Result<String, String>,
}

/// Sender executable of the command line, if not this program.
pub static OTHER_SENDER: OnceLock<PathBuf> = OnceLock::new();

/// Returns the sender to run: the one of the command line, or else the one that is built into this program.
pub fn sender_program() -> Program {
    if let Some(other) = OTHER_SENDER.get() {
        return Program::new(other);
    }
    Program::new(std::env::current_exe().expect("the path of the current executable is known"))
        .arg(RUN_AS_SENDER)
}

/// Outcomes of the messages of a run.
#[derive(Debug, Default)]
pub struct Outcomes {
    /// Messages that were accepted and answered with 200 by a partner.
    pub delivered: usize,
    /// Messages that were accepted and ended by a notification.
    pub notified: usize,
    /// Messages that were accepted and have neither.
    pub lost: Vec<String>,
    /// Non-idempotent messages that took effect more than once, whatever response their clients received.
    pub duplicated: Vec<String>,
}

impl Outcomes {
    /// Waits until each accepted message has an outcome, or until the timeout.
    pub fn wait(timeout: Duration, observe: impl Fn() -> Self) -> Self {
        let end = Instant::now() + timeout;
        let mut outcomes = observe();
        while !outcomes.lost.is_empty() && Instant::now() < end {
            std::thread::sleep(Duration::from_millis(20));
            outcomes = observe();
        }
        outcomes
    }

    /// Compares the responses to clients with the effects at partners and the notifications to the platform.
    pub fn count(
        submissions: &HashMap<String, Submission>,
        effects: &HashMap<String, Effects>,
        notifications: &HashMap<String, Vec<String>>,
    ) -> Self {
        let mut outcomes = Self::default();
        for (id, message) in submissions {
            let effect = effects.get(id).copied().unwrap_or_default();
            // Duplicates are counted whatever response the client received, and also if it received none.
            if message.class == "order" && effect.ran > 1 {
                outcomes.duplicated.push(id.clone());
            }
            if message.answer == ClientAnswer::Accepted {
                match (effect.answered > 0, notifications.contains_key(id)) {
                    (true, _) => outcomes.delivered += 1,
                    (false, true) => outcomes.notified += 1,
                    (false, false) => outcomes.lost.push(id.clone()),
                }
            }
        }
        outcomes
    }
}
