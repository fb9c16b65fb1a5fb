//! Measures one sender on one, two, four and eight cores, compared with a bare proxy on the same number: messages per second,
//! response times under an open-loop load, and the breaches of `Retry-After` waits and rate limits that the partners counted.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use serde_json::json;
use test_doubles::{
    Behavior, Client, Node, Partner, PartnerLimits, Platform, Violation, listing, submission_with, wait_until,
};

use crate::scenario::{Options, Scenario, sender_program};
use crate::throughput::{cpu, proxy};

/// Scenario `cores`: scaling of one sender with its cores.
pub const SCENARIO: Scenario = Scenario {
    name: "cores",
    about: "one sender on 1, 2, 4 and 8 cores: throughput, response times, and breaches of waits, limits and slots",
    run,
};

/// Number of partners.
const PARTNERS: u16 = 32;
/// Number of clients.
const CLIENTS: u64 = 384;
/// Number of clients in the short form, low enough for a slow machine.
const SHORT_CLIENTS: u64 = 32;
/// `LIMITED_RATE` in the short form, low enough for a slow machine.
const SHORT_RATE: f64 = 200.0;
/// `WAIT` in the short form.
const SHORT_WAIT: (u64, Duration) = (5, Duration::from_millis(800));
/// Number of breaches that are printed.
const MAX_PRINTED_BREACHES: usize = 20;
/// Calls that the sender may have in flight.
const SLOTS: usize = 1_024;
/// Size of a message body, in bytes.
const BODY_BYTES: usize = 330;
/// Load at which response times are measured, as a fraction of the highest throughput with the same cores and traffic.
const LATENCY_LOAD: f64 = 0.6;
/// In the run with limits, every other partner answers each n-th call with a `Retry-After` of this duration.
const WAIT: (u64, Duration) = (40, Duration::from_millis(800));
/// In the run with limits, every fourth partner accepts this number of calls in two seconds, which is less than the load for it.
const LIMIT: u32 = 40;
/// Messages per second to all partners in the run with limits.
const LIMITED_RATE: f64 = 3_000.0;
/// Number of senders in the configuration of the run with limits; only one of them runs.
const SENDERS: u32 = 4;
/// Targets: number of cores, and the throughput on them as a multiple of that of one core.
const SPEEDUP_TARGETS: [(usize, f64); 2] = [(2, 1.8), (4, 3.2)];

/// Distribution of messages over partners.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Traffic {
    /// Each partner gets the same share.
    Uniform,
    /// The n-th partner gets a share in proportion to 1/n, so the first one gets a quarter of the messages.
    HeavyTail,
}

impl Traffic {
    fn weights(self) -> Vec<f64> {
        let weights: Vec<f64> = match self {
            Self::Uniform => vec![1.0; PARTNERS.into()],
            Self::HeavyTail => (0..PARTNERS).map(|n| 1.0 / f64::from(n + 1)).collect(),
        };
        let sum: f64 = weights.iter().sum();
        weights.iter().map(|weight| weight / sum).collect()
    }

    /// Draws a table of 4096 destinations.
    fn table(self, rng: &mut fastrand::Rng) -> Vec<u16> {
        let weights = self.weights();
        let draw = |mut at: f64| {
            let found = weights.iter().position(|weight| {
                at -= weight;
                at < 0.0
            });
            7 + found.unwrap_or(0) as u16
        };
        (0..4_096).map(|_| draw(rng.f64())).collect()
    }
}

/// Result of one load run.
struct LoadResult {
    accepted: u64,
    delivered: u64,
    rejected: u64,
    seconds: f64,
    cpu: Duration,
    response_times: Histogram<u64>,
}

impl LoadResult {
    fn rate(&self) -> f64 {
        self.delivered as f64 / self.seconds
    }

    fn cpu_per_message_us(&self) -> f64 {
        self.cpu.as_secs_f64() * 1e6 / self.delivered.max(1) as f64
    }

    fn quantile_ms(&self, share: f64) -> f64 {
        self.response_times.value_at_quantile(share) as f64 / 1e3
    }
}

/// Runs clients for a time. Each submits messages one after the other, or, with a rate for all clients together, at random times.
/// Response times count from the scheduled time, so that a delayed client does not hide the delay (coordinated omission).
fn load(
    (address, pid, prefix): (SocketAddr, u32, &str),
    partners: &[Partner],
    table: &[u16],
    (clients, rate): (u64, Option<f64>),
    time: Duration,
) -> LoadResult {
    let delivered = || partners.iter().map(Partner::answered).sum::<u64>();
    let (accepted, rejected) = (AtomicU64::new(0), AtomicU64::new(0));
    let response_times = Mutex::new(Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).expect("bounds"));
    let warm_up = time / 4;
    let start = Instant::now();
    let end = start + warm_up + time;
    let (seconds, delivered, cpu) = std::thread::scope(|scope| {
        for client in 0..clients {
            let (accepted, rejected, response_times) = (&accepted, &rejected, &response_times);
            scope.spawn(move || {
                let Ok(mut connection) = Client::connect(address, Duration::from_secs(5)) else { return };
                let mut rng = fastrand::Rng::with_seed(client);
                let mut client_times = Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).expect("bounds");
                let mean = rate.map_or(0.0, |rate| clients as f64 / rate);
                let mut due = start + Duration::from_secs_f64(mean * rng.f64());
                for n in 0u64.. {
                    if rate.is_some() {
                        std::thread::sleep(due.saturating_duration_since(Instant::now()));
                    } else {
                        due = Instant::now();
                    }
                    if Instant::now() >= end || due >= end {
                        break;
                    }
                    let dest = table[((client * 97 + n) % table.len() as u64) as usize];
                    let id = format!("{prefix}-{client}-{n}");
                    connection.write(&submission_with(&id, "order", dest, 20_000, &[b'x'; BODY_BYTES]));
                    let Some(answer) = connection.answer() else { break };
                    if due >= start + warm_up {
                        let counter = if answer.status() == 202 { accepted } else { rejected };
                        counter.fetch_add(1, Ordering::Relaxed);
                        let _ = client_times.record((due.elapsed().as_micros() as u64).max(1));
                    }
                    if answer.status() != 202 {
                        std::thread::sleep(Duration::from_millis(1));
                    }
                    due += Duration::from_secs_f64(-mean * (1.0 - rng.f64()).ln());
                }
                let _ = response_times.lock().map(|mut all| all.add(client_times));
            });
        }
        std::thread::sleep(warm_up);
        let (started, before, cpu_before) = (Instant::now(), delivered(), cpu(pid));
        std::thread::sleep(end.saturating_duration_since(Instant::now()));
        (started.elapsed().as_secs_f64(), delivered() - before, cpu(pid).saturating_sub(cpu_before))
    });
    let response_times = response_times.into_inner().unwrap_or_else(std::sync::PoisonError::into_inner);
    let (accepted, rejected) = (accepted.into_inner(), rejected.into_inner());
    LoadResult { accepted, delivered, rejected, seconds, cpu, response_times }
}

/// Starts the partners. With `wait`, every other one sends a `Retry-After`, and every fourth one has a limit.
fn partners(wait: Option<(u64, Duration)>) -> Vec<Partner> {
    let limits = |n: u16| PartnerLimits {
        waits: wait.filter(|_| n % 2 == 1),
        limit: wait.filter(|_| n.is_multiple_of(4)).map(|_| LIMIT),
    };
    (0..PARTNERS)
        .map(|n| Partner::with_limits(Behavior::Healthy(Duration::from_millis(2)), limits(n)))
        .collect()
}

fn start_sender(file: &std::path::Path, platform: &Platform, partners: &[Partner], senders: u32) -> Node {
    let endpoints: Vec<_> = partners
        .iter()
        .zip(7..)
        .map(|(partner, dest)| listing(&format!("e{dest}"), dest, "plain", partner.address))
        .collect();
    Node::start(&sender_program().arg("--operators").arg(file), platform, &endpoints, |config| {
        config["limits"]["disk_mb"] = json!(1_000);
        config["limits"]["sockets"] = json!(4_096);
        config["ops"] = json!("127.0.0.1:0");
        config["settings"]["balancers"] = json!(senders);
        config["settings"]["family_info"]["calls_out"] = json!(SLOTS);
        config["settings"]["limits"]["max_open"] = json!(16_000);
    })
}

/// Counts of all partners.
#[derive(Debug, Default)]
struct PartnerCounts {
    calls: u64,
    /// `Retry-After` answers.
    waits: u64,
    /// Calls beyond a limit or before the end of a wait; there must be none.
    overshoot: Vec<(u16, Violation)>,
    /// Highest number of concurrent calls at one partner.
    max_concurrent: usize,
    /// Messages that took effect more than once.
    duplicated: usize,
}

impl PartnerCounts {
    fn collect(partners: &[Partner]) -> Self {
        let mut counts = Self::default();
        for (partner, dest) in partners.iter().zip(7..) {
            let counted = partner.counts();
            counts.calls += counted.calls;
            counts.waits += counted.waits;
            counts.overshoot.extend(partner.violations().into_iter().map(|violation| (dest, violation)));
            counts.max_concurrent = counts.max_concurrent.max(counted.at_once);
            counts.duplicated += partner.effects().values().filter(|effects| effects.ran > 1).count();
        }
        counts
    }

    /// Describes the first rule that was broken, if any.
    fn violation(&self) -> Option<String> {
        let max_allowed = SLOTS * 3 / 4;
        match self {
            Self { duplicated: 1.., .. } => Some(format!("{} orders took effect twice", self.duplicated)),
            Self { overshoot, .. } if !overshoot.is_empty() => {
                for (dest, violation) in overshoot.iter().take(MAX_PRINTED_BREACHES) {
                    println!("destination {dest}: a call {violation}");
                }
                Some(format!("{} calls beyond limits or before the end of waits", overshoot.len()))
            }
            Self { max_concurrent, .. } if *max_concurrent > max_allowed => {
                Some(format!("{max_concurrent} concurrent calls at one partner, {max_allowed} are allowed"))
            }
            _ => None,
        }
    }
}

fn run(options: &Options) -> Result<String, String> {
    let time = Duration::from_millis(if options.short { 1_500 } else { 4_000 });
    let (clients, limited_rate, wait) =
        if options.short { (SHORT_CLIENTS, SHORT_RATE, SHORT_WAIT) } else { (CLIENTS, LIMITED_RATE, WAIT) };
    let rows: &[usize] = if options.short { &[1, 2] } else { &[1, 2, 4, 8] };
    let machine_cores = std::thread::available_parallelism().map_or(0, usize::from);
    let mut rng = fastrand::Rng::with_seed(options.seed());
    let folder = tempfile::tempdir().map_err(|e| e.to_string())?;
    let file = folder.path().join("operators.toml");
    println!(
        "{machine_cores} cores, shared with {clients} clients and {PARTNERS} partners; orders of {BODY_BYTES} bytes, {time:?} per run;\n\
         response times at {LATENCY_LOAD} of the row's throughput; then {limited_rate} per second to partners of which every other one answers\n\
         with a Retry-After of {:?} every {} calls, and every fourth has a limit of {LIMIT} calls in 2 s",
        wait.1, wait.0
    );
    println!(
        "{:>10} {:>5} {:>9} {:>6} {:>8} {:>9} {:>6} {:>8} {:>8} {:>8} {:>6} {:>6} {:>9}",
        "traffic",
        "cores",
        "msgs/s",
        "times",
        "CPU, µs",
        "proxy",
        "times",
        "p50, ms",
        "p99",
        "p99.9",
        "moves",
        "waits",
        "overshoot"
    );
    let mut missed_targets = Vec::new();
    let mut best_speedup = 0.0f64;
    for traffic in [Traffic::Uniform, Traffic::HeavyTail] {
        let table = traffic.table(&mut rng);
        let (mut one_core_rate, mut one_core_proxy_rate, mut one_core_p99) = (0.0, 0.0, 0.0);
        for cores in rows {
            std::fs::write(&file, format!("[cores]\ncount = {cores}\n")).map_err(|e| e.to_string())?;
            let (platform, stubs) = (Platform::new(), partners(None));
            let sender = start_sender(&file, &platform, &stubs, 1);
            let load_target = |prefix| (sender.address, sender.pid(), prefix);
            let closed = load(load_target("f"), &stubs, &table, (clients, None), time);
            // Waits until the messages of the previous load have their outcomes.
            wait_until(|| sender.metric("svc_open_requests") == 0);
            let open =
                load(load_target("o"), &stubs, &table, (clients, Some(LATENCY_LOAD * closed.rate())), time);
            let moves = if *cores > 1 { sender.metric("svc_destinations_moved") } else { 0 };
            drop(sender);
            let counts = PartnerCounts::collect(&stubs);
            let (platform, stubs) = (Platform::new(), partners(Some(wait)));
            let sender = start_sender(&file, &platform, &stubs, SENDERS);
            let limited_load = load(
                (sender.address, sender.pid(), "t"),
                &stubs,
                &table,
                (clients, Some(limited_rate)),
                time,
            );
            drop(sender);
            let limited_counts = PartnerCounts::collect(&stubs);
            if let Some(violation) = counts.violation().or_else(|| limited_counts.violation()) {
                return Err(format!("{traffic:?}, {cores} cores: {violation}"));
            }
            if closed.delivered == 0
                || open.accepted == 0
                || limited_load.delivered == 0
                || limited_counts.waits == 0
            {
                return Err(format!(
                    "{traffic:?}, {cores} cores: no message is delivered, or no partner sends a Retry-After"
                ));
            }
            let stubs = partners(None);
            let (proxy, address) = proxy(&stubs, *cores)?;
            let proxy_load = load((address, proxy.0.id(), "p"), &stubs, &table, (clients, None), time);
            if *cores == 1 {
                (one_core_rate, one_core_proxy_rate, one_core_p99) =
                    (closed.rate(), proxy_load.rate(), open.quantile_ms(0.99));
            }
            let (speedup, proxy_speedup) =
                (closed.rate() / one_core_rate, proxy_load.rate() / one_core_proxy_rate);
            println!(
                "{:>10} {cores:>5} {:>9.0} {speedup:>6.2} {:>8.1} {:>9.0} {proxy_speedup:>6.2} {:>8.1} {:>8.1} {:>8.1} {moves:>6} {:>6} {:>9}{}",
                format!("{traffic:?}"),
                closed.rate(),
                closed.cpu_per_message_us(),
                proxy_load.rate(),
                open.quantile_ms(0.5),
                open.quantile_ms(0.99),
                open.quantile_ms(0.999),
                limited_counts.waits,
                counts.overshoot.len() + limited_counts.overshoot.len(),
                if closed.rejected > 0 { format!("  ({} rejected)", closed.rejected) } else { String::new() },
            );
            best_speedup = best_speedup.max(speedup);
            if let Some((_, target)) = SPEEDUP_TARGETS.iter().find(|target| target.0 == *cores)
                && speedup < *target
            {
                missed_targets.push(format!(
                    "{traffic:?}: {speedup:.2} times the throughput at {cores} cores, the target is {target}"
                ));
            }
            if open.quantile_ms(0.99) > 1.5 * one_core_p99 && *cores < machine_cores {
                missed_targets.push(format!(
                    "{traffic:?}: p99 {:.1} ms with {cores} cores, {one_core_p99:.1} with one",
                    open.quantile_ms(0.99)
                ));
            }
        }
    }
    if !missed_targets.is_empty() && !options.short {
        return Err(missed_targets.join("; "));
    }
    Ok(format!(
        "up to {best_speedup:.2} times the throughput of one core, overshoot 0, {machine_cores} cores on the machine"
    ))
}
