//! The command line, and the assembly of a sender process from its configuration.

use std::ffi::OsString;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Command, ExitCode};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use clap::{Parser, Subcommand};
use decision::interface::{GossipConfig, IdlePolicy, Micros, RouteId};
use operator_config::{GOSSIP_BYTES_PER_MESSAGE, GossipTable, IdleDestinationsTable, Operators};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;

mod journal;
mod snapshot;

use crate::config::{self, Config};
use crate::ports::Inbound;
use crate::process;
use crate::stall_detector;

/// Default of `[idle_destinations]` `retain`: 30 days, in microseconds.
const DEFAULT_RETENTION: Micros = 30 * 86_400_000_000;
/// Default of `[idle_destinations]` `memory`, in bytes.
const DEFAULT_IDLE_BYTES: u64 = 8_000_000;
/// Default of `[idle_destinations]` `activations`, per second.
const DEFAULT_ACTIVATIONS: u32 = 200;

/// Accepts donation messages over HTTP and delivers them to partners' endpoints.
///
/// Without a subcommand, runs one sender. NODE_CONFIG names its configuration file, NODE_STATE the folder for its state.
#[derive(Parser)]
#[command(name = "myrtleyard", version, args_conflicts_with_subcommands = true)]
struct Arguments {
    /// The operators' file, which enables optional features; without it all of them are off.
    #[arg(long, value_name = "FILE")]
    operators: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Task>,
}

#[derive(Subcommand)]
enum Task {
    /// Inspects a journal. Changes nothing, and may be run while the sender is running.
    Journal {
        #[command(subcommand)]
        command: JournalCommand,
    },
    /// Shows the health snapshot of partners, and what a sender that starts now would restore from it. Changes nothing.
    Known {
        #[command(subcommand)]
        command: SnapshotCommand,
    },
    /// Checks an operators' file. Reports errors and renamed tables and keys with their lines.
    Check {
        /// The operators' file.
        file: PathBuf,
    },
}

#[derive(Subcommand)]
enum JournalCommand {
    /// Reads every file of the journal; reports sizes, record counts and damage. Fails if anything is damaged.
    Verify {
        /// The sender's state folder (NODE_STATE).
        folder: PathBuf,
    },
    /// Prints one line for each pending message: the time left, what is still to be done, and its attempts with their age and
    /// whether they may have run.
    List {
        /// The sender's state folder (NODE_STATE).
        folder: PathBuf,
    },
    /// Prints one line of JSON for each pending message, with its body, and for each entry of the ledger.
    Export {
        /// The sender's state folder (NODE_STATE).
        folder: PathBuf,
    },
}

#[derive(Subcommand)]
enum SnapshotCommand {
    /// Prints one line for each destination: the age of its data, and the reasons why they count.
    Show {
        /// The sender's state folder (NODE_STATE).
        folder: PathBuf,
    },
    /// Prints the destinations for which two folders would be restored differently.
    Diff {
        /// The sender's state folder (NODE_STATE).
        folder: PathBuf,
        /// The folder to compare with.
        other: PathBuf,
    },
}

/// Runs the program with its command line, of which the first element is the program's name.
pub fn main(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    let arguments = match Arguments::try_parse_from(arguments) {
        Ok(arguments) => arguments,
        // Also used for --help and --version, which are printed to standard output and succeed.
        Err(e) => {
            let _ = e.print();
            return if e.use_stderr() { ExitCode::FAILURE } else { ExitCode::SUCCESS };
        }
    };
    let result = match arguments.command {
        Some(Task::Journal { command }) => match command {
            JournalCommand::Verify { folder } => journal::verify(&folder),
            JournalCommand::List { folder } => journal::list(&folder),
            JournalCommand::Export { folder } => journal::export(&folder),
        },
        Some(Task::Known { command }) => match command {
            SnapshotCommand::Show { folder } => snapshot::show(&folder),
            SnapshotCommand::Diff { folder, other } => snapshot::diff(&folder, &other),
        }
        .and_then(journal::print),
        Some(Task::Check { file }) => operators(&file).map(|_| println!("{}: well", file.display())),
        None => {
            arguments.operators.as_deref().map_or_else(|| Ok(Operators::default()), operators).and_then(run)
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("myrtleyard: {}", e.replace(['\n', '\r'], " "));
            ExitCode::FAILURE
        }
    }
}

/// Reads an operators' file, and prints a warning for each renamed table or key.
fn operators(file: &Path) -> Result<Operators, String> {
    let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
    let operators = Operators::parse(&text).map_err(|e| format!("{}:{e}", file.display()))?;
    operators.warnings.iter().for_each(|warning| eprintln!("myrtleyard: {}:{warning}", file.display()));
    Ok(operators)
}

/// The listening socket that the platform keeps open for all processes of this sender, if there is one: its descriptor is
/// given in `NODE_LISTEN_FD`. The `listenfd` crate expects the variables of systemd's socket activation; if they are not
/// set, the program sets them and executes itself again as the same process.
fn inherited() -> Result<Option<std::net::TcpListener>, String> {
    let Ok(number) = std::env::var("NODE_LISTEN_FD") else { return Ok(None) };
    let error = |e: std::io::Error| format!("NODE_LISTEN_FD={number}: {e}");
    if std::env::var_os("LISTEN_FDS_FIRST_FD").is_none() {
        let mut command = Command::new(std::env::current_exe().map_err(error)?);
        command.args(std::env::args_os().skip(1)).env_remove("LISTEN_PID");
        return Err(error(command.env("LISTEN_FDS", "1").env("LISTEN_FDS_FIRST_FD", &number).exec()));
    }
    let socket = listenfd::ListenFd::from_env().take_tcp_listener(0).map_err(error)?;
    socket.map(Some).ok_or_else(|| format!("NODE_LISTEN_FD={number}: no listening socket at this descriptor"))
}

/// Runs a sender until it ends.
fn run(operators: Operators) -> Result<(), String> {
    let inherited = inherited()?;
    let mut config = config::read()?;
    config.settings.idle = idle_policy(&operators.idle_destinations);
    config.settings.gossip = gossip_config(&operators.gossip, &config)?;
    let runtime = stall_detector::observe(tokio::runtime::Builder::new_current_thread().enable_all()).build();
    let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
    tokio::task::LocalSet::new().block_on(&runtime, async {
        tokio::task::spawn_local(stall_detector::keep_awake());
        let (inbound, events) = mpsc::unbounded_channel();
        for kind in [SignalKind::terminate(), SignalKind::interrupt(), SignalKind::hangup()] {
            let mut signals = signal(kind).map_err(|e| format!("signals: {e}"))?;
            let inbound = inbound.clone();
            tokio::task::spawn_local(async move {
                while signals.recv().await.is_some() {
                    let reload = kind == SignalKind::hangup();
                    let _ = inbound.send(if reload { Inbound::Reload } else { Inbound::Terminate });
                }
            });
        }
        if let Some(every) = operators.status.every {
            let inbound = inbound.clone();
            tokio::task::spawn_local(async move {
                let mut tick = tokio::time::interval(Duration::from_micros(every.micros));
                tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
                loop {
                    tick.tick().await;
                    let _ = inbound.send(Inbound::Status);
                }
            });
        }
        process::run(config, &operators, inherited, (inbound, events)).await
    })
}

/// The gossip configuration; `None` unless the operators' file enables gossip. Fails if the platform's configuration does not
/// allow it.
fn gossip_config(table: &GossipTable, config: &Config) -> Result<Option<GossipConfig>, String> {
    if !table.on {
        return Ok(None);
    }
    let own_rank = config.peer_listen.and_then(|own| config.peers.iter().position(|peer| *peer == own));
    let rank = config.rank.or_else(|| own_rank.and_then(|rank| u16::try_from(rank).ok()));
    let (Some(member), Some(_)) = (rank, config.peer_listen) else {
        return Err(
            "[gossip] on = true: the platform's configuration has no peer_listen or no rank for this sender"
                .into(),
        );
    };
    let senders =
        u16::try_from(config.settings.senders).map_err(|_| "[gossip] on = true: more than 65535 senders")?;
    // Higher than that of an earlier process, unless the clock was set back; then gossip from other senders raises it.
    let started_at_s = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_secs() as u32);
    let byte_budget = (GOSSIP_BYTES_PER_MESSAGE, table.bytes.map_or(100.0, |size| size.bytes as f64)).into();
    let (broadcast, transfers) = (config.peers_all.is_some(), table.transfers);
    Ok(Some(GossipConfig {
        member,
        incarnation: started_at_s,
        senders,
        broadcast,
        byte_budget,
        quota_transfer: transfers,
    }))
}

/// The policy for idle destinations, with defaults for the keys that the table leaves out; `None` without `after`.
fn idle_policy(table: &IdleDestinationsTable) -> Option<IdlePolicy> {
    let idle_after = table.after?.micros;
    let memory_bytes = table.memory.map_or(DEFAULT_IDLE_BYTES, |size| size.bytes);
    let max_retained = usize::try_from(memory_bytes / idle_destinations::bytes_per_entry::<RouteId>() as u64)
        .unwrap_or(usize::MAX);
    Some(IdlePolicy {
        idle_after,
        retain_for: table.retain.map_or(DEFAULT_RETENTION, |span| span.micros).max(idle_after),
        max_retained: max_retained.max(1),
        max_active: table.active.map_or(usize::MAX, |active| active as usize),
        activations_per_second: f64::from(table.activations.unwrap_or(DEFAULT_ACTIVATIONS)),
    })
}
