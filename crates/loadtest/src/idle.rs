//! Many destinations with little traffic each, by a heavy-tailed distribution, and a wave that activates many at once.

use std::collections::{HashMap, HashSet};
use std::net::{SocketAddr, TcpListener};
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use serde_json::json;
use test_doubles::{
    CallBehavior, Client, ManyPartners, Node, Notifications, Observations, Platform, listing,
    submission_with, wait_until,
};

use crate::scenario::{Options, Scenario, sender_program};

/// Scenario `idle`: a large number of destinations, most of them idle.
pub const SCENARIO: Scenario = Scenario {
    name: "idle",
    about: "twenty thousand destinations that are idle most of the time, and a thousand that become active at once",
    run,
};

/// A destination becomes idle after this time without a message.
const IDLE_AFTER: Duration = Duration::from_secs(2);
/// Number of the busiest destinations, whose delivery times are compared.
const BUSIEST: u16 = 10;
/// Messages per second.
const RATE: u32 = 400;
/// Number of clients that submit them.
const CLIENTS: u32 = 8;
/// Size of a message body, in bytes.
const BODY_BYTES: usize = 330;
/// Deadline of a message.
const DEADLINE_MS: u32 = 20_000;
/// Limit of the sender's memory in the run with the wave, beyond which the scenario fails.
const MAX_MEMORY_KB: u64 = 200_000;
/// Target for the sender's memory.
const MEMORY_TARGET_KB: u64 = 60_000;
/// Highest delay that a complete endpoint list may cause.
const MAX_LIST_DELAY: Duration = Duration::from_millis(10);
/// Highest time from a kill until the next process is ready.
const MAX_STARTUP_TIME: Duration = Duration::from_secs(1);
/// Highest ratio of the busiest destinations' p99 during the wave to that without it.
const MAX_P99_RATIO: f64 = 1.10;

/// Result of one run.
struct RunResult {
    /// Memory before any message, without an endpoint list.
    bare_kb: u64,
    /// Memory before any message, with the endpoint list.
    listed_kb: u64,
    /// Highest memory.
    memory_kb: u64,
    accepted: usize,
    rejected: usize,
    /// Idle destinations before the second half.
    idle: usize,
    /// 99th percentile of the busiest destinations' delivery times in the second half.
    p99: Duration,
    /// Time until each healthy destination of the wave had its first call.
    activation_time: Duration,
    /// Highest number of connections.
    connections: usize,
}

/// Responses to clients: the ids of accepted messages, and how many messages were rejected or got no response.
#[derive(Default)]
struct Responses {
    accepted: HashSet<String>,
    rejected: usize,
    unanswered: usize,
}

/// Submits a message, and returns whether the client got a response.
fn submit(
    partners: &ManyPartners,
    client: &mut Client,
    destination: u16,
    n: &str,
    responses: &Mutex<Responses>,
) -> bool {
    let id = partners.id(destination, n);
    client.write(&submission_with(&id, "note", destination, DEADLINE_MS, &[b'x'; BODY_BYTES]));
    let status = client.answer().map(|answer| answer.status());
    let mut responses = responses.lock().unwrap();
    match status {
        Some(202) => drop(responses.accepted.insert(id)),
        Some(_) => responses.rejected += 1,
        None => responses.unanswered += 1,
    }
    status.is_some()
}

/// Cumulative weights of the destinations, by Zipf's law: the weight of the n-th destination is 1/n.
struct ZipfDistribution(Vec<f64>);

impl ZipfDistribution {
    fn new(count: u16) -> Self {
        let mut sum = 0.0;
        Self(
            (1..=count)
                .map(|rank| {
                    sum += 1.0 / f64::from(rank);
                    sum
                })
                .collect(),
        )
    }

    fn draw(&self, rng: &mut fastrand::Rng) -> u16 {
        let position = rng.f64() * self.0.last().copied().unwrap_or(1.0);
        (self.0.partition_point(|sum| *sum < position)).min(self.0.len() - 1) as u16
    }
}

/// Draws the destinations of the wave from the three quarters of all destinations with the least traffic. Some of them reject calls,
/// don't answer, or close connections.
fn wave(partners: &ManyPartners, rng: &mut fastrand::Rng, count: u16, size: usize) -> Vec<u16> {
    let mut wave: Vec<u16> = (count / 4..count).collect();
    rng.shuffle(&mut wave);
    wave.truncate(size);
    for (n, destination) in wave.iter().enumerate() {
        let behavior = match n % 50 {
            0..10 => CallBehavior::RetryAfter(Duration::from_millis(rng.u64(500..4_000))),
            10 => CallBehavior::Silent,
            11 => CallBehavior::Closes,
            _ => CallBehavior::Healthy,
        };
        partners.set(*destination, behavior);
    }
    wave
}

/// Load of the second half of a run.
#[derive(Clone, Copy, PartialEq, Eq)]
enum SecondHalf {
    /// The same as in the first half.
    Steady,
    /// This number of destinations become active at once.
    Wave(usize),
    /// The complete endpoint list is published once a second.
    Lists,
}

fn run_halves(
    options: &Options,
    count: u16,
    second_half: SecondHalf,
    duration: Duration,
) -> Result<RunResult, String> {
    let (seed, cores) = (options.seed(), options.cores.unwrap_or(1));
    let mut rng = fastrand::Rng::with_seed(seed);
    let partners = ManyPartners::new(count, 500.min(count), 3 * IDLE_AFTER, count);
    let mut platform = Platform::new();
    let notifications = Notifications::collect(&mut platform);
    let endpoints: Vec<_> =
        (0..count).map(|d| listing(&format!("e{d}"), d, "plain", partners.address(d))).collect();
    let folder = tempfile::tempdir().map_err(|e| e.to_string())?;
    let operators = folder.path().join("operators.toml");
    let after = IDLE_AFTER.as_secs();
    let text =
        format!("[status]\nevery = \"100ms\"\n[dormant]\nafter = \"{after}s\"\n[cores]\ncount = {cores}\n");
    std::fs::write(&operators, text).map_err(|e| e.to_string())?;
    let bare_kb = Node::start(&sender_program(), &platform, &[], |_| {}).memory_kb();
    let node =
        Node::start(&sender_program().arg("--operators").arg(&operators), &platform, &endpoints, |config| {
            config["limits"]["disk_mb"] = json!(200);
            config["settings"]["family_info"]["calls_out"] = json!(128);
            config["settings"]["limits"]["max_open"] = json!(8_000);
        });
    let listed_kb = node.memory_kb();
    // Some of the destinations with occasional calls answer with a Retry-After.
    for destination in (50..count / 4).step_by(7) {
        partners.set(destination, CallBehavior::RetryAfter(Duration::from_millis(rng.u64(500..4_000))));
    }
    let (weights, responses, stop) =
        (ZipfDistribution::new(count), Mutex::new(Responses::default()), AtomicBool::new(false));
    let field = |name: &str| -> usize {
        let log = node.log();
        // Uses the latest status line of each core.
        let of = |core: u8| {
            let begins = if cores > 1 { format!("status core={core} ") } else { "status ".to_owned() };
            let line = log.iter().rev().find(|line| line.starts_with(&begins))?;
            line.split(name).nth(1)?.split(' ').next()?.parse::<usize>().ok()
        };
        (0..cores).filter_map(of).sum()
    };
    let mut memory_kb = 0;
    let (idle, from, healthy) = std::thread::scope(|scope| {
        for client in 0..CLIENTS {
            let mut rng = rng.fork();
            let (partners, weights, responses, stop, address) =
                (&partners, &weights, &responses, &stop, node.address);
            scope.spawn(move || run_client(partners, weights, responses, stop, address, client, &mut rng));
        }
        std::thread::sleep(duration / 2);
        let (idle, from, started) = (field("asleep="), partners.now(), Instant::now());
        memory_kb = node.memory_kb().max(memory_kb);
        let size = if let SecondHalf::Wave(size) = second_half { size } else { 0 };
        let wave = wave(&partners, &mut rng, count, size);
        // Each of them gets three messages, as fast as they are accepted.
        let targets: Vec<_> = wave.iter().copied().cycle().take(3 * wave.len()).collect();
        for (part, chunk) in targets.chunks(targets.len().div_ceil(CLIENTS as usize).max(1)).enumerate() {
            let (chunk, partners, responses, address) = (chunk.to_vec(), &partners, &responses, node.address);
            scope.spawn(move || {
                let Ok(mut client) = Client::connect(address, Duration::from_secs(5)) else { return };
                for (n, destination) in chunk.iter().enumerate() {
                    submit(partners, &mut client, *destination, &format!("w{part}.{n}"), responses);
                }
            });
        }
        let mut listed = 0;
        while started.elapsed() < duration / 2 {
            if second_half == SecondHalf::Lists && started.elapsed().as_secs() >= listed {
                listed += 1;
                platform.publish(&endpoints);
            }
            std::thread::sleep(Duration::from_millis(100));
            memory_kb = node.memory_kb().max(memory_kb);
        }
        stop.store(true, Ordering::Relaxed);
        // Waits until the healthy ones have received their messages.
        let healthy: HashSet<u16> =
            wave.iter().enumerate().filter(|(n, _)| n % 50 >= 12).map(|(_, d)| *d).collect();
        wait_for_wave(&partners, &healthy);
        (idle, from, healthy)
    });
    let responses = responses.into_inner().unwrap();
    // Each message has its outcome by its deadline, and its notification soon after that.
    let until = Instant::now() + Duration::from_millis(u64::from(DEADLINE_MS) + 2_000);
    let missing = |observations: &Observations, notified: &HashMap<String, Vec<String>>| {
        let answered: HashSet<&String> = observations.answered.iter().collect();
        responses.accepted.iter().filter(|id| !answered.contains(id) && !notified.contains_key(*id)).count()
    };
    while missing(&partners.observations(), &notifications.all()) > 0 && Instant::now() < until {
        std::thread::sleep(Duration::from_millis(100));
    }
    let observations = partners.observations();
    let lost = missing(&observations, &notifications.all());
    if lost > 0 || responses.unanswered > 0 || responses.accepted.is_empty() {
        return Err(format!(
            "{lost} of {} without an outcome, {} without a response",
            responses.accepted.len(),
            responses.unanswered
        ));
    }
    if !observations.early.is_empty() || !observations.concurrent.is_empty() {
        return Err(describe_violations(&observations.early, &observations.concurrent));
    }
    let mut times: Vec<_> =
        observations.times.iter().filter(|t| t.0 < BUSIEST && t.1 >= from).map(|t| t.2).collect();
    times.sort_unstable();
    let p99 = times.get(times.len() * 99 / 100).copied().unwrap_or_default();
    let activation_time = time_to_activate(&observations, &healthy, from);
    let (accepted, rejected, connections) =
        (responses.accepted.len(), responses.rejected, observations.connections.0);
    Ok(RunResult {
        bare_kb,
        listed_kb,
        memory_kb,
        accepted,
        rejected,
        idle,
        p99,
        activation_time,
        connections,
    })
}

fn describe_violations(early_calls: &[(u16, Duration)], concurrent: &[u16]) -> String {
    format!(
        "{} calls before the end of a wait ({:?}), {} concurrent with a first call ({:?})",
        early_calls.len(),
        &early_calls[..early_calls.len().min(5)],
        concurrent.len(),
        &concurrent[..concurrent.len().min(5)]
    )
}

/// Runs one client, which submits messages at its share of the rate on one connection.
fn run_client(
    partners: &ManyPartners,
    weights: &ZipfDistribution,
    responses: &Mutex<Responses>,
    stop: &AtomicBool,
    address: SocketAddr,
    number: u32,
    rng: &mut fastrand::Rng,
) {
    let period = Duration::from_secs(1) * CLIENTS / RATE;
    let Ok(mut client) = Client::connect(address, Duration::from_secs(5)) else { return };
    let mut due = Instant::now();
    for n in 0u64.. {
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
        due = (due + period).max(Instant::now());
        if stop.load(Ordering::Relaxed) {
            return;
        }
        if !submit(partners, &mut client, weights.draw(rng), &format!("s{number}.{n}"), responses) {
            // The sender was killed.
            match Client::connect(address, Duration::from_secs(5)) {
                Ok(again) => client = again,
                Err(_) => return,
            }
        }
    }
}

/// Waits until each of these destinations has answered a message of the wave.
fn wait_for_wave(partners: &ManyPartners, healthy: &HashSet<u16>) {
    wait_until(|| {
        let observations = partners.observations();
        let of = |id: &String| id.strip_prefix('d')?.split("-w").next()?.parse::<u16>().ok();
        let waves = observations.answered.iter().filter(|id| id.contains("-w"));
        let answered: HashSet<u16> = waves.filter_map(of).collect();
        std::thread::sleep(Duration::from_millis(50));
        healthy.iter().all(|destination| answered.contains(destination))
    });
}

/// Returns how long after `from` the last of these destinations had its first call.
fn time_to_activate(observations: &Observations, healthy: &HashSet<u16>, from: Duration) -> Duration {
    let mut first: HashMap<u16, Duration> = HashMap::new();
    for (destination, came, _) in observations.times.iter().filter(|t| t.1 >= from && healthy.contains(&t.0))
    {
        first.entry(*destination).or_insert(*came);
    }
    first.into_values().max().unwrap_or(from).saturating_sub(from)
}

/// Result of a run with kills.
struct KillResult {
    accepted: usize,
    waits: u64,
    memory_kb: u64,
    /// Longest time from a kill until the next process was ready.
    slowest: Duration,
    /// Size of the health snapshot in bytes.
    snapshot_bytes: u64,
}

/// Kills the sender at random moments while most destinations are idle and many have sent a `Retry-After`.
fn run_with_kills(seed: u64, count: u16, kills: usize) -> Result<KillResult, String> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let partners = ManyPartners::new(count, 500.min(count), 3 * IDLE_AFTER, 0);
    let mut platform = Platform::new();
    let notifications = Notifications::collect(&mut platform);
    let endpoints: Vec<_> =
        (0..count).map(|d| listing(&format!("e{d}"), d, "plain", partners.address(d))).collect();
    let folder = tempfile::tempdir().map_err(|e| e.to_string())?;
    let operators = folder.path().join("operators.toml");
    let text =
        format!("[dormant]\nafter = \"{}s\"\n[known]\non = true\nclock = \"boot\"\n", IDLE_AFTER.as_secs());
    std::fs::write(&operators, text).map_err(|e| e.to_string())?;
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
    let address = listener.local_addr().map_err(|e| e.to_string())?;
    let sender_program = sender_program().arg("--operators").arg(&operators).inheriting(&listener);
    let mut node = Node::start(&sender_program, &platform, &endpoints, |config| {
        config["listen"] = json!(address.to_string());
        config["limits"]["disk_mb"] = json!(200);
        config["settings"]["family_info"]["calls_out"] = json!(128);
        config["settings"]["limits"]["max_open"] = json!(8_000);
    });
    let (weights, responses, stop) =
        (ZipfDistribution::new(count), Mutex::new(Responses::default()), AtomicBool::new(false));
    let (mut memory_kb, mut slowest, mut waits) = (0, Duration::ZERO, 0);
    // The last process runs until all accepted messages have an outcome.
    let node = std::thread::scope(|scope| {
        for client in 0..CLIENTS {
            let mut rng = rng.fork();
            let (partners, weights, responses, stop) = (&partners, &weights, &responses, &stop);
            scope.spawn(move || run_client(partners, weights, responses, stop, address, client, &mut rng));
        }
        for _ in 0..kills {
            // Some of the destinations with occasional calls answer with waits that outlast one or two kills.
            for _ in 0..count / 20 {
                partners.set(
                    rng.u16(..count / 4),
                    CallBehavior::RetryAfter(Duration::from_millis(rng.u64(2_000..8_000))),
                );
                waits += 1;
            }
            std::thread::sleep(Duration::from_millis(rng.u64(200..2_500)));
            memory_kb = node.memory_kb().max(memory_kb);
            let killed = Instant::now();
            node = node.kill_and_restart();
            slowest = slowest.max(killed.elapsed());
            memory_kb = node.memory_kb().max(memory_kb);
        }
        std::thread::sleep(2 * IDLE_AFTER);
        memory_kb = node.memory_kb().max(memory_kb);
        stop.store(true, Ordering::Relaxed);
        node
    });
    let responses = responses.into_inner().map_err(|e| e.to_string())?;
    let missing = || {
        let (observations, notified) = (partners.observations(), notifications.all());
        let answered: HashSet<&String> = observations.answered.iter().collect();
        responses.accepted.iter().filter(|id| !answered.contains(id) && !notified.contains_key(*id)).count()
    };
    let until = Instant::now() + Duration::from_millis(u64::from(DEADLINE_MS) + 2_000);
    while missing() > 0 && Instant::now() < until {
        std::thread::sleep(Duration::from_millis(100));
    }
    let observations = partners.observations();
    if missing() > 0 {
        return Err(format!("{} of {} without an outcome", missing(), responses.accepted.len()));
    }
    // A wait that was received in the last second before a kill may be lost with the process.
    let early_calls: Vec<_> =
        observations.early.iter().copied().filter(|early| early.1 > Duration::from_secs(1)).collect();
    if !early_calls.is_empty() || !observations.concurrent.is_empty() {
        return Err(describe_violations(&early_calls, &observations.concurrent));
    }
    let snapshot_bytes = node.length_of("known-");
    Ok(KillResult { accepted: responses.accepted.len(), waits, memory_kb, slowest, snapshot_bytes })
}

fn run_restarts(options: &Options, count: u16, kills: usize) -> Result<String, String> {
    let KillResult { accepted, waits, memory_kb, slowest, snapshot_bytes } =
        run_with_kills(options.seed(), count, kills)?;
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    let figures = format!(
        "{kills} kills, {count} destinations on {cores} cores, {accepted} messages accepted, {waits} destinations set to send a \
         Retry-After; no call before the end of a wait received more than a second before, none concurrent with a first call, no \
         message lost; memory {memory_kb} kB at most, ready {} ms after the kill at the latest, health snapshot of {snapshot_bytes} bytes",
        slowest.as_millis()
    );
    if memory_kb > MEMORY_TARGET_KB || slowest > MAX_STARTUP_TIME {
        return Err(figures);
    }
    Ok(figures)
}

fn run(options: &Options) -> Result<String, String> {
    let count = options.destinations.unwrap_or(if options.short { 1_000 } else { 20_000 }).max(100);
    if let Some(kills) = options.restarts {
        return run_restarts(options, count, kills);
    }
    let size = usize::from(count / 20).max(10);
    let duration = Duration::from_secs(if options.short { 6 } else { 30 });
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    println!(
        "{cores} cores, {count} destinations, {RATE} messages per second, a wave of {size} with 3 messages each"
    );
    let steady_run =
        if options.short { None } else { Some(run_halves(options, count, SecondHalf::Steady, duration)?) };
    let wave_run = run_halves(options, count, SecondHalf::Wave(size), duration)?;
    let lists_run =
        if options.short { None } else { Some(run_halves(options, count, SecondHalf::Lists, duration)?) };
    let others = [("calm", steady_run.as_ref()), ("lists", lists_run.as_ref())];
    let others = others.into_iter().filter_map(|(name, run)| Some((name, run?)));
    for (name, f) in others.chain([("wave", &wave_run)]) {
        println!(
            "{name}: {} accepted, {} rejected, {} idle before the wave, {} connections at most, memory {} kB, \
             p99 of the busiest {:?}, all healthy destinations of the wave called after {:?}",
            f.accepted, f.rejected, f.idle, f.connections, f.memory_kb, f.p99, f.activation_time
        );
    }
    let listed = (wave_run.listed_kb.saturating_sub(wave_run.bare_kb)) * 1000 / u64::from(count);
    println!(
        "the sender without an endpoint list {} kB, with it {} kB: {listed} bytes for a destination that is only listed",
        wave_run.bare_kb, wave_run.listed_kb
    );
    if wave_run.idle == 0 {
        return Err("no destination became idle, so the run shows nothing".into());
    }
    if wave_run.memory_kb > MAX_MEMORY_KB {
        return Err(format!("the sender used {} kB of memory", wave_run.memory_kb));
    }
    if let (Some(steady_run), Some(lists_run)) = (&steady_run, &lists_run)
        && lists_run.p99 > steady_run.p99 + MAX_LIST_DELAY
    {
        return Err(format!(
            "p99 of the busiest destinations is {:?} with complete lists and {:?} without",
            lists_run.p99, steady_run.p99
        ));
    }
    let ratio =
        steady_run.map(|steady_run| wave_run.p99.as_secs_f64() / steady_run.p99.as_secs_f64().max(1e-6));
    if let Some(ratio) = ratio.filter(|ratio| *ratio > MAX_P99_RATIO) {
        return Err(format!("p99 of the busiest destinations is {ratio:.2} times that without the wave"));
    }
    let verdict = if wave_run.memory_kb <= MEMORY_TARGET_KB { "within" } else { "over" };
    let ratio = ratio.map_or_else(String::new, |ratio| {
        format!(", p99 of the busiest destinations {ratio:.2} times that of the calm run")
    });
    Ok(format!(
        "no call before the end of a wait, none concurrent with a first call, no message lost; memory {} kB, {verdict} the target of \
         {MEMORY_TARGET_KB}{ratio}",
        wave_run.memory_kb
    ))
}
