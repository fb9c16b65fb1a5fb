//! The command line, and what one process is put together from.

use std::ffi::OsString;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Command, ExitCode};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use clap::{Parser, Subcommand};
use decision::interface::{GossipConfig, IdlePolicy, Micros, RouteId};
use operator_config::{BYTES_EACH, GossipTable, IdleDestinationsTable, Operators};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;

mod journal;
mod snapshot;

use crate::config::{self, Config};
use crate::ports::Inbound;
use crate::process;
use crate::stall_detector;

/// What `[dormant]` has where it says no more than `after`.
const DEFAULT_RETENTION: Micros = 30 * 86_400_000_000;
const DEFAULT_IDLE_BYTES: u64 = 8_000_000;
const DEFAULT_ACTIVATIONS: u32 = 200;

/// Takes donation messages on over HTTP and delivers them to partners' endpoints.
///
/// Without a command it runs one sender, which NODE_CONFIG and NODE_STATE describe.
#[derive(Parser)]
#[command(name = "myrtleyard", version, args_conflicts_with_subcommands = true)]
struct Arguments {
    /// What this installation switches on; without it, nothing.
    #[arg(long, value_name = "FILE")]
    operators: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Task>,
}

#[derive(Subcommand)]
enum Task {
    /// Looks at a journal, from outside: it changes nothing, and may be run beside the sender.
    Journal {
        #[command(subcommand)]
        command: JournalCommand,
    },
    /// Shows what was learnt of partners, and what of it a start now would believe. It changes nothing.
    Known {
        #[command(subcommand)]
        command: SnapshotCommand,
    },
    /// Checks an operators' file and says what is wrong with it, by line.
    Check {
        /// The file.
        file: PathBuf,
    },
}

#[derive(Subcommand)]
enum JournalCommand {
    /// Reads every file, and says what is damaged and what it takes up. Fails where something is damaged.
    Verify {
        /// The folder, as NODE_STATE names it.
        folder: PathBuf,
    },
    /// A line for each message that is owed its end: since when, until when, and which attempts may have run.
    List {
        /// The folder, as NODE_STATE names it.
        folder: PathBuf,
    },
    /// The same as a line of JSON for each message, with its body, and for each entry of the ledger.
    Export {
        /// The folder, as NODE_STATE names it.
        folder: PathBuf,
    },
}

#[derive(Subcommand)]
enum SnapshotCommand {
    /// A line for each destination, with the age of what is known and the reason why it counts.
    Show {
        /// The folder, as NODE_STATE names it.
        folder: PathBuf,
    },
    /// What would be believed with one folder and not with the other.
    Diff {
        /// The folder, as NODE_STATE names it.
        folder: PathBuf,
        /// The other one.
        other: PathBuf,
    },
}

/// The program, with its command line, name first.
pub fn main(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    let arguments = match Arguments::try_parse_from(arguments) {
        Ok(arguments) => arguments,
        // Help and version come this way too, on standard output and with success.
        Err(e) => {
            let _ = e.print();
            return if e.use_stderr() { ExitCode::FAILURE } else { ExitCode::SUCCESS };
        }
    };
    let done = match arguments.command {
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
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("myrtleyard: {}", e.replace(['\n', '\r'], " "));
            ExitCode::FAILURE
        }
    }
}

fn operators(file: &Path) -> Result<Operators, String> {
    let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
    let operators = Operators::parse(&text).map_err(|e| format!("{}:{e}", file.display()))?;
    operators.warnings.iter().for_each(|warning| eprintln!("myrtleyard: {}:{warning}", file.display()));
    Ok(operators)
}

/// The listening socket that the platform holds for all processes of this sender, if it does: its descriptor's number
/// stands in `NODE_LISTEN_FD`. Where the program was not started in the way that the library for it knows, it starts
/// itself once more in that way, as the same process.
fn inherited() -> Result<Option<std::net::TcpListener>, String> {
    let Ok(number) = std::env::var("NODE_LISTEN_FD") else { return Ok(None) };
    let wrong = |e: std::io::Error| format!("NODE_LISTEN_FD={number}: {e}");
    if std::env::var_os("LISTEN_FDS_FIRST_FD").is_none() {
        let mut again = Command::new(std::env::current_exe().map_err(wrong)?);
        again.args(std::env::args_os().skip(1)).env_remove("LISTEN_PID");
        return Err(wrong(again.env("LISTEN_FDS", "1").env("LISTEN_FDS_FIRST_FD", &number).exec()));
    }
    let socket = listenfd::ListenFd::from_env().take_tcp_listener(0).map_err(wrong)?;
    socket.map(Some).ok_or_else(|| format!("NODE_LISTEN_FD={number}: there is no such descriptor"))
}

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
            let mut asked = signal(kind).map_err(|e| format!("signals: {e}"))?;
            let inbound = inbound.clone();
            tokio::task::spawn_local(async move {
                while asked.recv().await.is_some() {
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

/// What the table says, with what it leaves out.
/// The gossip configuration, where the operators' file and the platform have it.
fn gossip_config(table: &GossipTable, config: &Config) -> Result<Option<GossipConfig>, String> {
    if !table.on {
        return Ok(None);
    }
    let own = config.peer_listen.and_then(|own| config.peers.iter().position(|peer| *peer == own));
    let rank = config.rank.or_else(|| own.and_then(|own| u16::try_from(own).ok()));
    let (Some(me), Some(_)) = (rank, config.peer_listen) else {
        return Err(
            "[shared] on = true: the platform gives this sender no peer_listen, or no rank among peers"
                .into(),
        );
    };
    let senders =
        u16::try_from(config.settings.senders).map_err(|_| "[shared] on = true: too many senders")?;
    // Higher than an earlier process's, unless the clock was set back: then others raise it.
    let run = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_secs() as u32);
    let byte_budget = (BYTES_EACH, table.bytes.map_or(100.0, |size| size.bytes as f64)).into();
    let (broadcast, lends) = (config.peers_all.is_some(), table.transfers);
    Ok(Some(GossipConfig {
        member: me,
        incarnation: run,
        senders,
        broadcast,
        byte_budget,
        quota_transfer: lends,
    }))
}

fn idle_policy(table: &IdleDestinationsTable) -> Option<IdlePolicy> {
    let after = table.after?.micros;
    let memory = table.memory.map_or(DEFAULT_IDLE_BYTES, |size| size.bytes);
    let most = usize::try_from(memory / idle_destinations::bytes_per_entry::<RouteId>() as u64)
        .unwrap_or(usize::MAX);
    Some(IdlePolicy {
        idle_after: after,
        retain_for: table.retain.map_or(DEFAULT_RETENTION, |span| span.micros).max(after),
        max_retained: most.max(1),
        max_active: table.active.map_or(usize::MAX, |active| active as usize),
        activations_per_second: f64::from(table.activations.unwrap_or(DEFAULT_ACTIVATIONS)),
    })
}
