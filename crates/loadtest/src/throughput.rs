//! Messages a second through one sender, and what each costs, beside a proxy that decides and journals nothing.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use serde_json::json;
use test_doubles::{Behavior, Client, Node, Partner, Platform, Program, listing, submission_with};

use crate::proxy::PROXY;
use crate::scenario::{Options, Scenario, program};

/// The scenario.
pub const SCENARIO: Scenario = Scenario {
    name: "throughput",
    about: "messages a second through one sender and the CPU for each, beside a bare proxy",
    run,
};

/// Partners that the messages go to in turn.
pub const PARTNERS: u16 = 8;
/// Bytes of a body.
const BODY: usize = 330;
/// The aim: so many times the proxy's CPU for each message.
const AIM: f64 = 2.0;

/// A process that is ended with its value.
pub struct Process(pub Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// CPU that a process has used, in the system's ticks of 10 ms.
pub fn cpu(pid: u32) -> Duration {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    // The name may hold spaces: what counts comes behind its bracket.
    let fields: Vec<&str> = text.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let ticks = |at: usize| fields.get(at).and_then(|field| field.parse::<u64>().ok()).unwrap_or(0);
    Duration::from_millis(10 * (ticks(11) + ticks(12)))
}

/// What a run of some time came to.
pub struct Figures {
    /// Messages that were taken on.
    pub taken: u64,
    /// Turned away, or without an answer.
    other: u64,
    /// Delivered while it ran.
    pub delivered: u64,
    pub seconds: f64,
    cpu: Duration,
}

impl Figures {
    /// CPU for each message that was delivered, in microseconds.
    pub fn each(&self) -> f64 {
        self.cpu.as_secs_f64() * 1e6 / (self.delivered.max(1) as f64)
    }
}

/// So many clients that hand in one message after the other, without a rest.
pub fn load(address: SocketAddr, pid: u32, partners: &[Partner], clients: u64, time: Duration) -> Figures {
    let (stop, taken, other) = (AtomicBool::new(false), AtomicU64::new(0), AtomicU64::new(0));
    let delivered = || partners.iter().map(Partner::answered).sum::<u64>();
    std::thread::scope(|scope| {
        for client in 0..clients {
            let (stop, taken, other) = (&stop, &taken, &other);
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
                        Some(answer) if answer.status() == 202 => taken.fetch_add(1, Ordering::Relaxed),
                        Some(_) => {
                            // Turned away for want of room: it would be turned away again at once.
                            std::thread::sleep(Duration::from_millis(1));
                            other.fetch_add(1, Ordering::Relaxed)
                        }
                        None => return,
                    };
                }
            });
        }
        // Connections are made and caches warm before it counts.
        std::thread::sleep(time / 4);
        let (begun, before, cpu_before) = (Instant::now(), delivered(), cpu(pid));
        let (taken_before, other_before) = (taken.load(Ordering::Relaxed), other.load(Ordering::Relaxed));
        std::thread::sleep(time);
        let figures = Figures {
            taken: taken.load(Ordering::Relaxed) - taken_before,
            other: other.load(Ordering::Relaxed) - other_before,
            delivered: delivered() - before,
            seconds: begun.elapsed().as_secs_f64(),
            cpu: cpu(pid).saturating_sub(cpu_before),
        };
        stop.store(true, Ordering::Relaxed);
        figures
    })
}

/// A bare proxy to these partners, on so many cores.
pub fn proxy(partners: &[Partner], cores: usize) -> Result<(Process, SocketAddr), String> {
    let places: Vec<_> = partners.iter().map(|partner| partner.address.to_string()).collect();
    let mut command = Command::new(std::env::current_exe().map_err(|e| e.to_string())?);
    let command = command.arg(PROXY).arg(places.join(",")).arg(cores.to_string()).stdout(Stdio::piped());
    let mut proxy = Process(command.spawn().map_err(|e| e.to_string())?);
    let mut line = String::new();
    let out = proxy.0.stdout.take().ok_or("the proxy has no output")?;
    BufReader::new(out).read_line(&mut line).map_err(|e| e.to_string())?;
    let address = line.trim().parse().map_err(|e| format!("{line}: {e}"))?;
    Ok((proxy, address))
}

/// Partners that are well, and answer at once.
pub fn partners() -> Vec<Partner> {
    (0..PARTNERS).map(|_| Partner::new(Behavior::Healthy(Duration::ZERO))).collect()
}

/// A sender with room for all that comes, and these partners.
pub fn node(program: &Program, platform: &Platform, partners: &[Partner]) -> Node {
    let endpoints: Vec<_> = partners
        .iter()
        .zip(7..)
        .map(|(p, dest)| listing(&format!("e{dest}"), dest, "plain", p.address))
        .collect();
    Node::start(program, platform, &endpoints, |config| {
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
        "connections", "delivered/s", "refused/s", "CPU each, µs", "proxy's/s", "CPU each, µs", "ratio"
    );
    let well = Behavior::Healthy(Duration::ZERO);
    let (mut worst, mut best) = (0.0f64, 0.0f64);
    for clients in counts {
        let (partners, platform) = (partners(), Platform::new());
        let node = node(&program(), &platform, &partners);
        let sender = load(node.address, node.pid(), &partners, *clients, time);
        drop(node);
        // The proxy knows one partner: where messages go is no part of what it does.
        let upstream = Partner::new(well);
        let (proxy, address) = proxy(std::slice::from_ref(&upstream), 1)?;
        let bare = load(address, proxy.0.id(), std::slice::from_ref(&upstream), *clients, time);
        let ratio = sender.each() / bare.each();
        println!(
            "{clients:>11} {:>14.0} {:>12.0} {:>14.1} {:>14.0} {:>12.1} {ratio:>7.2}",
            sender.delivered as f64 / sender.seconds,
            sender.other as f64 / sender.seconds,
            sender.each(),
            bare.delivered as f64 / bare.seconds,
            bare.each(),
        );
        if sender.taken == 0 || sender.delivered == 0 || bare.delivered == 0 {
            return Err(format!("with {clients} connections nothing passes"));
        }
        let twice = partners.iter().flat_map(Partner::effects).filter(|(_, effects)| effects.ran > 1).count();
        if twice > 0 {
            return Err(format!(
                "with {clients} connections {twice} messages came twice to healthy partners"
            ));
        }
        worst = worst.max(ratio);
        best = best.max(sender.delivered as f64 / sender.seconds);
    }
    let figures =
        format!("{best:.0} messages/s at most, {worst:.2} times the bare proxy's CPU for each at worst");
    if worst > AIM && !options.short {
        return Err(format!("{figures}; the aim is {AIM}"));
    }
    Ok(figures)
}
