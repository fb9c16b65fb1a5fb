//! Many destinations with little traffic each, by a heavy-tailed law, and a wave that wakes many at once.

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

use crate::scenario::{Options, Scenario, program};

/// The scenario.
pub const SCENARIO: Scenario = Scenario {
    name: "idle",
    about: "twenty thousand destinations that sleep most of the time, and a thousand that wake at once",
    run,
};

/// A destination sleeps after this time without a message.
const AFTER: Duration = Duration::from_secs(2);
/// The busiest destinations, whose times are compared.
const BUSY: u16 = 10;
/// Messages a second, and the clients that hand them in.
const RATE: u32 = 400;
const CLIENTS: u32 = 8;
const BODY: usize = 330;
const WITHIN_MS: u32 = 20_000;
/// What the sender may take of memory; and the aim.
const MEMORY_KB: u64 = 200_000;
const MEMORY_AIM_KB: u64 = 60_000;
/// The pause that a whole list may make.
const PAUSE: Duration = Duration::from_millis(10);
/// From a kill until the next process is ready.
const READY_WITHIN: Duration = Duration::from_secs(1);
/// How much longer the busy ones' messages may take while the wave passes.
const SLOWER: f64 = 1.10;

/// What a run came to.
struct Figures {
    /// Before any message, without a list and with it; and at most.
    bare_kb: u64,
    listed_kb: u64,
    memory_kb: u64,
    taken: usize,
    refused: usize,
    asleep: usize,
    p99: Duration,
    woken: Duration,
    connections: usize,
}

/// Messages that were taken on, and how many were not.
#[derive(Default)]
struct Heard {
    taken: HashSet<String>,
    refused: usize,
    nothing: usize,
}

/// Tells whether there was an answer.
fn hand_in(
    crowd: &ManyPartners,
    client: &mut Client,
    destination: u16,
    n: &str,
    heard: &Mutex<Heard>,
) -> bool {
    let id = crowd.id(destination, n);
    client.write(&submission_with(&id, "note", destination, WITHIN_MS, &[b'x'; BODY]));
    let status = client.answer().map(|answer| answer.status());
    let mut heard = heard.lock().unwrap();
    match status {
        Some(202) => drop(heard.taken.insert(id)),
        Some(_) => heard.refused += 1,
        None => heard.nothing += 1,
    }
    status.is_some()
}

/// A destination's number is its rank: the weight of a rank is one over it.
struct Law(Vec<f64>);

impl Law {
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
        let at = rng.f64() * self.0.last().copied().unwrap_or(1.0);
        (self.0.partition_point(|sum| *sum < at)).min(self.0.len() - 1) as u16
    }
}

/// The wave's destinations, of those that have next to no traffic; some are full, silent or close.
fn wave(crowd: &ManyPartners, rng: &mut fastrand::Rng, count: u16, size: usize) -> Vec<u16> {
    let mut wave: Vec<u16> = (count / 4..count).collect();
    rng.shuffle(&mut wave);
    wave.truncate(size);
    for (n, destination) in wave.iter().enumerate() {
        let way = match n % 50 {
            0..10 => CallBehavior::RetryAfter(Duration::from_millis(rng.u64(500..4_000))),
            10 => CallBehavior::Silent,
            11 => CallBehavior::Closes,
            _ => CallBehavior::Healthy,
        };
        crowd.set(*destination, way);
    }
    wave
}

/// What happens in the second half of a run.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Half {
    /// As in the first.
    Calm,
    /// So many wake at once.
    Wave(usize),
    /// The whole list comes once a second.
    Lists,
}

fn play(options: &Options, count: u16, half: Half, time: Duration) -> Result<Figures, String> {
    let (seed, cores) = (options.seed(), options.cores.unwrap_or(1));
    let mut rng = fastrand::Rng::with_seed(seed);
    let crowd = ManyPartners::new(count, 500.min(count), 3 * AFTER, count);
    let mut platform = Platform::new();
    let notices = Notifications::collect(&mut platform);
    let endpoints: Vec<_> =
        (0..count).map(|d| listing(&format!("e{d}"), d, "plain", crowd.address(d))).collect();
    let folder = tempfile::tempdir().map_err(|e| e.to_string())?;
    let operators = folder.path().join("operators.toml");
    let after = AFTER.as_secs();
    let text =
        format!("[status]\nevery = \"100ms\"\n[dormant]\nafter = \"{after}s\"\n[cores]\ncount = {cores}\n");
    std::fs::write(&operators, text).map_err(|e| e.to_string())?;
    let bare_kb = Node::start(&program(), &platform, &[], |_| {}).memory_kb();
    let node = Node::start(&program().arg("--operators").arg(&operators), &platform, &endpoints, |config| {
        config["limits"]["disk_mb"] = json!(200);
        config["settings"]["family_info"]["calls_out"] = json!(128);
        config["settings"]["limits"]["max_open"] = json!(8_000);
    });
    let listed_kb = node.memory_kb();
    // Some of those that are called now and then tell waits.
    for destination in (50..count / 4).step_by(7) {
        crowd.set(destination, CallBehavior::RetryAfter(Duration::from_millis(rng.u64(500..4_000))));
    }
    let (law, heard, stop) = (Law::new(count), Mutex::new(Heard::default()), AtomicBool::new(false));
    let field = |name: &str| -> usize {
        let log = node.log();
        // The latest line of each core.
        let of = |core: u8| {
            let begins = if cores > 1 { format!("status core={core} ") } else { "status ".to_owned() };
            let line = log.iter().rev().find(|line| line.starts_with(&begins))?;
            line.split(name).nth(1)?.split(' ').next()?.parse::<usize>().ok()
        };
        (0..cores).filter_map(of).sum()
    };
    let mut memory_kb = 0;
    let (asleep, from, well) = std::thread::scope(|scope| {
        for client in 0..CLIENTS {
            let mut rng = rng.fork();
            let (crowd, law, heard, stop, address) = (&crowd, &law, &heard, &stop, node.address);
            scope.spawn(move || steady(crowd, law, heard, stop, address, client, &mut rng));
        }
        std::thread::sleep(time / 2);
        let (asleep, from, begun) = (field("asleep="), crowd.now(), Instant::now());
        memory_kb = node.memory_kb().max(memory_kb);
        let size = if let Half::Wave(size) = half { size } else { 0 };
        let wave = wave(&crowd, &mut rng, count, size);
        // Each of them gets three messages, as fast as they are taken on.
        let told: Vec<_> = wave.iter().copied().cycle().take(3 * wave.len()).collect();
        for (part, some) in told.chunks(told.len().div_ceil(CLIENTS as usize).max(1)).enumerate() {
            let (some, crowd, heard, address) = (some.to_vec(), &crowd, &heard, node.address);
            scope.spawn(move || {
                let Ok(mut client) = Client::connect(address, Duration::from_secs(5)) else { return };
                for (n, destination) in some.iter().enumerate() {
                    hand_in(crowd, &mut client, *destination, &format!("w{part}.{n}"), heard);
                }
            });
        }
        let mut listed = 0;
        while begun.elapsed() < time / 2 {
            if half == Half::Lists && begun.elapsed().as_secs() >= listed {
                listed += 1;
                platform.publish(&endpoints);
            }
            std::thread::sleep(Duration::from_millis(100));
            memory_kb = node.memory_kb().max(memory_kb);
        }
        stop.store(true, Ordering::Relaxed);
        // Those that are well have all of their messages.
        let well: HashSet<u16> =
            wave.iter().enumerate().filter(|(n, _)| n % 50 >= 12).map(|(_, d)| *d).collect();
        wave_done(&crowd, &well);
        (asleep, from, well)
    });
    let heard = heard.into_inner().unwrap();
    // Each has its end when its time is up, and its notice soon after that.
    let until = Instant::now() + Duration::from_millis(u64::from(WITHIN_MS) + 2_000);
    let missing = |saw: &Observations, told: &HashMap<String, Vec<String>>| {
        let answered: HashSet<&String> = saw.answered.iter().collect();
        heard.taken.iter().filter(|id| !answered.contains(id) && !told.contains_key(*id)).count()
    };
    while missing(&crowd.observations(), &notices.all()) > 0 && Instant::now() < until {
        std::thread::sleep(Duration::from_millis(100));
    }
    let saw = crowd.observations();
    let lost = missing(&saw, &notices.all());
    if lost > 0 || heard.nothing > 0 || heard.taken.is_empty() {
        return Err(format!(
            "{lost} of {} without an end, {} without an answer",
            heard.taken.len(),
            heard.nothing
        ));
    }
    if !saw.early.is_empty() || !saw.concurrent.is_empty() {
        return Err(broken_rules(&saw.early, &saw.concurrent));
    }
    let mut times: Vec<_> = saw.times.iter().filter(|t| t.0 < BUSY && t.1 >= from).map(|t| t.2).collect();
    times.sort_unstable();
    let p99 = times.get(times.len() * 99 / 100).copied().unwrap_or_default();
    let woken = woken_after(&saw, &well, from);
    let (taken, refused, connections) = (heard.taken.len(), heard.refused, saw.connections.0);
    Ok(Figures { bare_kb, listed_kb, memory_kb, taken, refused, asleep, p99, woken, connections })
}

fn broken_rules(early: &[(u16, Duration)], pushed: &[u16]) -> String {
    format!(
        "{} calls before a wait was over ({:?}), {} beside the first one ({:?})",
        early.len(),
        &early[..early.len().min(5)],
        pushed.len(),
        &pushed[..pushed.len().min(5)]
    )
}

/// One client hands messages in at its part of the rate, on one connection.
fn steady(
    crowd: &ManyPartners,
    law: &Law,
    heard: &Mutex<Heard>,
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
        if !hand_in(crowd, &mut client, law.draw(rng), &format!("s{number}.{n}"), heard) {
            // Its sender was killed.
            match Client::connect(address, Duration::from_secs(5)) {
                Ok(again) => client = again,
                Err(_) => return,
            }
        }
    }
}

/// Waits until each of these has answered a message of the wave.
fn wave_done(crowd: &ManyPartners, well: &HashSet<u16>) {
    wait_until(|| {
        let saw = crowd.observations();
        let of = |id: &String| id.strip_prefix('d')?.split("-w").next()?.parse::<u16>().ok();
        let waves = saw.answered.iter().filter(|id| id.contains("-w"));
        let answered: HashSet<u16> = waves.filter_map(of).collect();
        std::thread::sleep(Duration::from_millis(50));
        well.iter().all(|destination| answered.contains(destination))
    });
}

/// How long after that time the last of these had its first call since.
fn woken_after(saw: &Observations, well: &HashSet<u16>, from: Duration) -> Duration {
    let mut first: HashMap<u16, Duration> = HashMap::new();
    for (destination, came, _) in saw.times.iter().filter(|t| t.1 >= from && well.contains(&t.0)) {
        first.entry(*destination).or_insert(*came);
    }
    first.into_values().max().unwrap_or(from).saturating_sub(from)
}

/// What a run with kills came to.
struct Killed {
    taken: usize,
    waits: u64,
    memory_kb: u64,
    slowest: Duration,
    known: u64,
}

/// Senders that are killed at random moments while most destinations sleep and many have told waits.
fn restarts(seed: u64, count: u16, kills: usize) -> Result<Killed, String> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let crowd = ManyPartners::new(count, 500.min(count), 3 * AFTER, 0);
    let mut platform = Platform::new();
    let notices = Notifications::collect(&mut platform);
    let endpoints: Vec<_> =
        (0..count).map(|d| listing(&format!("e{d}"), d, "plain", crowd.address(d))).collect();
    let folder = tempfile::tempdir().map_err(|e| e.to_string())?;
    let operators = folder.path().join("operators.toml");
    let text = format!("[dormant]\nafter = \"{}s\"\n[known]\non = true\nclock = \"boot\"\n", AFTER.as_secs());
    std::fs::write(&operators, text).map_err(|e| e.to_string())?;
    let held = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
    let address = held.local_addr().map_err(|e| e.to_string())?;
    let program = program().arg("--operators").arg(&operators).inheriting(&held);
    let mut node = Node::start(&program, &platform, &endpoints, |config| {
        config["listen"] = json!(address.to_string());
        config["limits"]["disk_mb"] = json!(200);
        config["settings"]["family_info"]["calls_out"] = json!(128);
        config["settings"]["limits"]["max_open"] = json!(8_000);
    });
    let (law, heard, stop) = (Law::new(count), Mutex::new(Heard::default()), AtomicBool::new(false));
    let (mut memory_kb, mut slowest, mut waits) = (0, Duration::ZERO, 0);
    // It goes on until all that it has taken on is at its end.
    let node = std::thread::scope(|scope| {
        for client in 0..CLIENTS {
            let mut rng = rng.fork();
            let (crowd, law, heard, stop) = (&crowd, &law, &heard, &stop);
            scope.spawn(move || steady(crowd, law, heard, stop, address, client, &mut rng));
        }
        for _ in 0..kills {
            // Of those that are called now and then some tell waits that outlast a kill or two.
            for _ in 0..count / 20 {
                crowd.set(
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
        std::thread::sleep(2 * AFTER);
        memory_kb = node.memory_kb().max(memory_kb);
        stop.store(true, Ordering::Relaxed);
        node
    });
    let heard = heard.into_inner().map_err(|e| e.to_string())?;
    let missing = || {
        let (saw, told) = (crowd.observations(), notices.all());
        let answered: HashSet<&String> = saw.answered.iter().collect();
        heard.taken.iter().filter(|id| !answered.contains(id) && !told.contains_key(*id)).count()
    };
    let until = Instant::now() + Duration::from_millis(u64::from(WITHIN_MS) + 2_000);
    while missing() > 0 && Instant::now() < until {
        std::thread::sleep(Duration::from_millis(100));
    }
    let saw = crowd.observations();
    if missing() > 0 {
        return Err(format!("{} of {} without an end", missing(), heard.taken.len()));
    }
    // One that was told in the last second before a kill may be lost with its process.
    let early: Vec<_> = saw.early.iter().copied().filter(|early| early.1 > Duration::from_secs(1)).collect();
    if !early.is_empty() || !saw.concurrent.is_empty() {
        return Err(broken_rules(&early, &saw.concurrent));
    }
    let known = node.length_of("known-");
    Ok(Killed { taken: heard.taken.len(), waits, memory_kb, slowest, known })
}

fn run_restarts(options: &Options, count: u16, kills: usize) -> Result<String, String> {
    let Killed { taken, waits, memory_kb, slowest, known } = restarts(options.seed(), count, kills)?;
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    let figures = format!(
        "{kills} kills, {count} destinations on {cores} cores, {taken} taken on, {waits} destinations set to tell waits; no call \
         before the end of a wait given more than a second before, none beside a first one, none lost; memory {memory_kb} kB at \
         most, ready {} ms after the kill at the latest, {known} bytes known",
        slowest.as_millis()
    );
    if memory_kb > MEMORY_AIM_KB || slowest > READY_WITHIN {
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
    let time = Duration::from_secs(if options.short { 6 } else { 30 });
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    println!(
        "{cores} cores, {count} destinations, {RATE} messages a second, a wave of {size} with 3 messages each"
    );
    let calm = if options.short { None } else { Some(play(options, count, Half::Calm, time)?) };
    let rough = play(options, count, Half::Wave(size), time)?;
    let lists = if options.short { None } else { Some(play(options, count, Half::Lists, time)?) };
    let others = [("calm", calm.as_ref()), ("lists", lists.as_ref())];
    let others = others.into_iter().filter_map(|(name, run)| Some((name, run?)));
    for (name, f) in others.chain([("wave", &rough)]) {
        println!(
            "{name}: {} taken on, {} refused, {} asleep before the wave, {} connections at most, memory {} kB, \
             busy ones' p99 {:?}, all of the wave that are well called after {:?}",
            f.taken, f.refused, f.asleep, f.connections, f.memory_kb, f.p99, f.woken
        );
    }
    let listed = (rough.listed_kb.saturating_sub(rough.bare_kb)) * 1000 / u64::from(count);
    println!(
        "the sender without a list {} kB, with it {} kB: {listed} bytes for a destination that is listed only",
        rough.bare_kb, rough.listed_kb
    );
    if rough.asleep == 0 {
        return Err("none slept: nothing was shown".into());
    }
    if rough.memory_kb > MEMORY_KB {
        return Err(format!("the sender took {} kB", rough.memory_kb));
    }
    if let (Some(calm), Some(lists)) = (&calm, &lists)
        && lists.p99 > calm.p99 + PAUSE
    {
        return Err(format!(
            "lists make the busy ones' p99 {:?} where it is {:?} without",
            lists.p99, calm.p99
        ));
    }
    let ratio = calm.map(|calm| rough.p99.as_secs_f64() / calm.p99.as_secs_f64().max(1e-6));
    if let Some(ratio) = ratio.filter(|ratio| *ratio > SLOWER) {
        return Err(format!("the busy ones' p99 is {ratio:.2} times what it is without the wave"));
    }
    let aim = if rough.memory_kb <= MEMORY_AIM_KB { "within" } else { "over" };
    let ratio = ratio
        .map_or_else(String::new, |ratio| format!(", the busy ones' p99 {ratio:.2} times the calm run's"));
    Ok(format!(
        "no call before a wait was over, none beside a first one, none lost; memory {} kB, {aim} the aim of \
         {MEMORY_AIM_KB}{ratio}",
        rough.memory_kb
    ))
}
