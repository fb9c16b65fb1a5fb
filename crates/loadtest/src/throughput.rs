//! Measures the messages per second through one sender and the CPU time of each, compared with a proxy that neither makes decisions
//! nor writes a journal.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use serde_json::json;
use test_doubles::{Behavior, Client, Node, Partner, Platform, Program, listing, submission_with};

use crate::proxy::RUN_AS_PROXY;
use crate::scenario::{Options, Scenario, sender_program};

/// Scenario `throughput`: capacity of one sender.
pub const SCENARIO: Scenario = Scenario {
    name: "throughput",
    about: "messages per second through one sender and the CPU time for each, compared with a bare proxy",
    run,
};

/// Number of partners; messages go to them in rotation.
pub const PARTNERS: u16 = 8;
/// Size of a message body, in bytes.
const BODY: usize = 330;
/// Target for the sender's CPU time for each message, as a multiple of the proxy's.
const CPU_RATIO_TARGET: f64 = 2.0;

/// A child process that is killed when this value is dropped.
pub struct Process(pub Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Returns the CPU time of a process, which the system counts in ticks of 10 ms.
pub fn cpu(pid: u32) -> Duration {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    // The process name may contain spaces, so the fields are counted from its closing parenthesis.
    let fields: Vec<&str> = text.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let ticks = |at: usize| fields.get(at).and_then(|field| field.parse::<u64>().ok()).unwrap_or(0);
    Duration::from_millis(10 * (ticks(11) + ticks(12)))
}

/// Result of one load run.
pub struct LoadResult {
    /// Messages that were accepted.
    pub accepted: u64,
    /// Messages that were rejected.
    rejected: u64,
    /// Messages delivered during the run.
    pub delivered: u64,
    /// Duration of the run.
    pub seconds: f64,
    cpu: Duration,
}

impl LoadResult {
    /// Returns the CPU time for each delivered message, in microseconds.
    pub fn cpu_per_message_us(&self) -> f64 {
        self.cpu.as_secs_f64() * 1e6 / (self.delivered.max(1) as f64)
    }
}

/// Runs this number of clients, each of which submits messages one after the other without a pause.
pub fn load(address: SocketAddr, pid: u32, partners: &[Partner], clients: u64, time: Duration) -> LoadResult {
    let (stop, accepted, rejected) = (AtomicBool::new(false), AtomicU64::new(0), AtomicU64::new(0));
    let delivered = || partners.iter().map(Partner::answered).sum::<u64>();
    std::thread::scope(|scope| {
        for client in 0..clients {
            let (stop, accepted, rejected) = (&stop, &accepted, &rejected);
            scope.spawn(move || {
                let Ok(mut connection) = Client::connect(address, Duration::from_secs(5)) else { return };
                for n in 0u64.. {
                    if stop.load(Ordering::Relaxed) {
                        return;
                    }
                    let dest = 7 + (n % u64::from(PARTNERS)) as u16;
                    let id = format!("{pid}-{client}-{n}");
                    connection.write(&submission_with(&id, "note", dest, 20_000, &[b'x'; BODY]));
                    match connection.answer() {
                        Some(answer) if answer.status() == 202 => accepted.fetch_add(1, Ordering::Relaxed),
                        Some(_) => {
                            // Rejected because the sender is full; an immediate retry would be rejected too.
                            std::thread::sleep(Duration::from_millis(1));
                            rejected.fetch_add(1, Ordering::Relaxed)
                        }
                        None => return,
                    };
                }
            });
        }
        // Excludes the time in which connections are opened and caches warm up.
        std::thread::sleep(time / 4);
        let (started, before, cpu_before) = (Instant::now(), delivered(), cpu(pid));
        let (accepted_before, rejected_before) =
            (accepted.load(Ordering::Relaxed), rejected.load(Ordering::Relaxed));
        std::thread::sleep(time);
        let figures = LoadResult {
            accepted: accepted.load(Ordering::Relaxed) - accepted_before,
            rejected: rejected.load(Ordering::Relaxed) - rejected_before,
            delivered: delivered() - before,
            seconds: started.elapsed().as_secs_f64(),
            cpu: cpu(pid).saturating_sub(cpu_before),
        };
        stop.store(true, Ordering::Relaxed);
        figures
    })
}

/// Starts a bare proxy to these partners on this number of cores.
pub fn proxy(partners: &[Partner], cores: usize) -> Result<(Process, SocketAddr), String> {
    let addresses: Vec<_> = partners.iter().map(|partner| partner.address.to_string()).collect();
    let mut command = Command::new(std::env::current_exe().map_err(|e| e.to_string())?);
    let command =
        command.arg(RUN_AS_PROXY).arg(addresses.join(",")).arg(cores.to_string()).stdout(Stdio::piped());
    let mut proxy = Process(command.spawn().map_err(|e| e.to_string())?);
    let mut line = String::new();
    let stdout = proxy.0.stdout.take().ok_or("the output of the proxy is not piped")?;
    BufReader::new(stdout).read_line(&mut line).map_err(|e| e.to_string())?;
    let address = line.trim().parse().map_err(|e| format!("{line}: {e}"))?;
    Ok((proxy, address))
}

/// Returns healthy partners that answer at once.
pub fn healthy_partners() -> Vec<Partner> {
    (0..PARTNERS).map(|_| Partner::new(Behavior::Healthy(Duration::ZERO))).collect()
}

/// Starts a sender with capacity for the whole load, and with these partners as its endpoints.
pub fn start_sender(sender_program: &Program, platform: &Platform, partners: &[Partner]) -> Node {
    let endpoints: Vec<_> = partners
        .iter()
        .zip(7..)
        .map(|(p, dest)| listing(&format!("e{dest}"), dest, "plain", p.address))
        .collect();
    Node::start(sender_program, platform, &endpoints, |config| {
        config["limits"]["disk_mb"] = json!(200);
        config["settings"]["family_info"]["calls_out"] = json!(256);
        config["settings"]["limits"]["max_open"] = json!(4_000);
    })
}

fn run(options: &Options) -> Result<String, String> {
    let time = Duration::from_millis(if options.short { 500 } else { 4_000 });
    let counts: &[u64] = if options.short { &[8] } else { &[1, 8, 32, 128] };
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    println!("{cores} cores; bodies of {BODY} bytes, {PARTNERS} partners, {time:?} a run");
    println!(
        "{:>11} {:>14} {:>12} {:>14} {:>14} {:>12} {:>7}",
        "connections", "delivered/s", "refused/s", "CPU each, µs", "proxy/s", "CPU each, µs", "ratio"
    );
    let healthy = Behavior::Healthy(Duration::ZERO);
    let (mut worst, mut best) = (0.0f64, 0.0f64);
    for clients in counts {
        let (partners, platform) = (healthy_partners(), Platform::new());
        let node = start_sender(&sender_program(), &platform, &partners);
        let sender = load(node.address, node.pid(), &partners, *clients, time);
        drop(node);
        // The proxy has one partner, since routing is no part of what it does.
        let upstream = Partner::new(healthy);
        let (proxy, address) = proxy(std::slice::from_ref(&upstream), 1)?;
        let proxy_result = load(address, proxy.0.id(), std::slice::from_ref(&upstream), *clients, time);
        let ratio = sender.cpu_per_message_us() / proxy_result.cpu_per_message_us();
        println!(
            "{clients:>11} {:>14.0} {:>12.0} {:>14.1} {:>14.0} {:>12.1} {ratio:>7.2}",
            sender.delivered as f64 / sender.seconds,
            sender.rejected as f64 / sender.seconds,
            sender.cpu_per_message_us(),
            proxy_result.delivered as f64 / proxy_result.seconds,
            proxy_result.cpu_per_message_us(),
        );
        if sender.accepted == 0 || sender.delivered == 0 || proxy_result.delivered == 0 {
            return Err(format!("with {clients} connections no message is delivered"));
        }
        let duplicated =
            partners.iter().flat_map(Partner::effects).filter(|(_, effects)| effects.ran > 1).count();
        if duplicated > 0 {
            return Err(format!(
                "with {clients} connections {duplicated} messages reached healthy partners twice"
            ));
        }
        worst = worst.max(ratio);
        best = best.max(sender.delivered as f64 / sender.seconds);
    }
    let figures = format!(
        "{best:.0} messages/s at most, up to {worst:.2} times the bare proxy's CPU time for each message"
    );
    if worst > CPU_RATIO_TARGET && !options.short {
        return Err(format!("{figures}; the target is {CPU_RATIO_TARGET}"));
    }
    Ok(figures)
}
