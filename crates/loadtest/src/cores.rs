//! One sender on one, two, four and eight cores, beside a bare proxy on as many: messages a second, answer times under an
//! open loop, and what partners counted of their terms.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use serde_json::json;
use test_doubles::{
    Behavior, Client, Node, Partner, PartnerLimits, Platform, Violation, listing, submission_with, wait_until,
};

use crate::scenario::{Options, Scenario, program};
use crate::throughput::{cpu, proxy};

/// The scenario.
pub const SCENARIO: Scenario = Scenario {
    name: "cores",
    about: "one sender on 1, 2, 4 and 8 cores: speed, answer times, and waits, limits and slots as partners counted",
    run,
};

const PARTNERS: u16 = 32;
const CLIENTS: u64 = 384;
/// Of the short form: so few, and so little at partners with terms, that a slow machine keeps up.
const FEW_CLIENTS: u64 = 32;
const SHORT_RATE: f64 = 200.0;
const SHORT_WAIT: (u64, Duration) = (5, Duration::from_millis(800));
/// Breaches that are shown.
const SHOWN: usize = 20;
const SLOTS: usize = 1_024;
const BODY: usize = 330;
/// Share of what a row can do at which its answer times are measured.
const SHARE: f64 = 0.6;
/// Partners with terms: every other one tells a wait each so many calls, every fourth has a limit of so many in two seconds,
/// which is less than what comes for it.
const WAIT: (u64, Duration) = (40, Duration::from_millis(800));
const LIMIT: u32 = 40;
/// Messages a second while terms are counted, and senders that are said to share the partners.
const TERMS_RATE: f64 = 3_000.0;
const SENDERS: u32 = 4;
/// Aims: so many times one core's messages a second.
const AIMS: [(usize, f64); 2] = [(2, 1.8), (4, 3.2)];

/// Which partner a message goes to.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Traffic {
    Uniform,
    /// The first gets a quarter, each further one less.
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

    /// The destinations of so many messages.
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

/// What a span of load came to.
struct Came {
    taken: u64,
    delivered: u64,
    refused: u64,
    seconds: f64,
    cpu: Duration,
    answers: Histogram<u64>,
}

impl Came {
    fn rate(&self) -> f64 {
        self.delivered as f64 / self.seconds
    }

    fn each(&self) -> f64 {
        self.cpu.as_secs_f64() * 1e6 / self.delivered.max(1) as f64
    }

    fn at(&self, share: f64) -> f64 {
        self.answers.value_at_quantile(share) as f64 / 1e3
    }
}

/// Clients for so long; each hands in one message after the other, or at moments of its own at so many a second together.
/// Answer times count from the moment that was meant, so that a client which has to wait does not hide it.
fn load(
    (address, pid, prefix): (SocketAddr, u32, &str),
    partners: &[Partner],
    table: &[u16],
    (clients, rate): (u64, Option<f64>),
    time: Duration,
) -> Came {
    let delivered = || partners.iter().map(Partner::answered).sum::<u64>();
    let (taken, refused) = (AtomicU64::new(0), AtomicU64::new(0));
    let answers = Mutex::new(Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).expect("bounds"));
    let warm = time / 4;
    let start = Instant::now();
    let end = start + warm + time;
    let (seconds, delivered, cpu) = std::thread::scope(|scope| {
        for client in 0..clients {
            let (taken, refused, answers) = (&taken, &refused, &answers);
            scope.spawn(move || {
                let Ok(mut connection) = Client::connect(address, Duration::from_secs(5)) else { return };
                let mut rng = fastrand::Rng::with_seed(client);
                let mut own = Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).expect("bounds");
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
                    connection.write(&submission_with(&id, "order", dest, 20_000, &[b'x'; BODY]));
                    let Some(answer) = connection.answer() else { break };
                    if due >= start + warm {
                        let count = if answer.status() == 202 { taken } else { refused };
                        count.fetch_add(1, Ordering::Relaxed);
                        let _ = own.record((due.elapsed().as_micros() as u64).max(1));
                    }
                    if answer.status() != 202 {
                        std::thread::sleep(Duration::from_millis(1));
                    }
                    due += Duration::from_secs_f64(-mean * (1.0 - rng.f64()).ln());
                }
                let _ = answers.lock().map(|mut all| all.add(own));
            });
        }
        std::thread::sleep(warm);
        let (begun, before, cpu_before) = (Instant::now(), delivered(), cpu(pid));
        std::thread::sleep(end.saturating_duration_since(Instant::now()));
        (begun.elapsed().as_secs_f64(), delivered() - before, cpu(pid).saturating_sub(cpu_before))
    });
    let answers = answers.into_inner().unwrap_or_else(std::sync::PoisonError::into_inner);
    let (taken, refused) = (taken.into_inner(), refused.into_inner());
    Came { taken, delivered, refused, seconds, cpu, answers }
}

fn partners(terms: Option<(u64, Duration)>) -> Vec<Partner> {
    let terms = |n: u16| PartnerLimits {
        waits: terms.filter(|_| n % 2 == 1),
        limit: terms.filter(|_| n.is_multiple_of(4)).map(|_| LIMIT),
    };
    (0..PARTNERS)
        .map(|n| Partner::with_limits(Behavior::Healthy(Duration::from_millis(2)), terms(n)))
        .collect()
}

fn node(file: &std::path::Path, platform: &Platform, partners: &[Partner], senders: u32) -> Node {
    let endpoints: Vec<_> = partners
        .iter()
        .zip(7..)
        .map(|(partner, dest)| listing(&format!("e{dest}"), dest, "plain", partner.address))
        .collect();
    Node::start(&program().arg("--operators").arg(file), platform, &endpoints, |config| {
        config["limits"]["disk_mb"] = json!(1_000);
        config["limits"]["sockets"] = json!(4_096);
        config["ops"] = json!("127.0.0.1:0");
        config["settings"]["balancers"] = json!(senders);
        config["settings"]["family_info"]["calls_out"] = json!(SLOTS);
        config["settings"]["limits"]["max_open"] = json!(16_000);
    })
}

/// What partners counted.
#[derive(Debug, Default)]
struct Judged {
    calls: u64,
    waits: u64,
    /// Calls beyond a limit or before a wait was over: none may be.
    overshoot: Vec<(u16, Violation)>,
    /// Calls at once at one partner, at most.
    at_once: usize,
    twice: usize,
}

impl Judged {
    fn of(partners: &[Partner]) -> Self {
        let mut all = Self::default();
        for (partner, dest) in partners.iter().zip(7..) {
            let counted = partner.counts();
            all.calls += counted.calls;
            all.waits += counted.waits;
            all.overshoot.extend(partner.violations().into_iter().map(|breach| (dest, breach)));
            all.at_once = all.at_once.max(counted.at_once);
            all.twice += partner.effects().values().filter(|effects| effects.ran > 1).count();
        }
        all
    }

    /// What no core may do, in words.
    fn breach(&self) -> Option<String> {
        let share = SLOTS * 3 / 4;
        match self {
            Self { twice: 1.., .. } => Some(format!("{} orders took effect twice", self.twice)),
            Self { overshoot, .. } if !overshoot.is_empty() => {
                for (dest, breach) in overshoot.iter().take(SHOWN) {
                    println!("destination {dest}: a call {breach}");
                }
                Some(format!("{} calls beyond limits or before waits were over", overshoot.len()))
            }
            Self { at_once, .. } if *at_once > share => {
                Some(format!("{at_once} calls at once, {share} are a share"))
            }
            _ => None,
        }
    }
}

fn run(options: &Options) -> Result<String, String> {
    let time = Duration::from_millis(if options.short { 1_500 } else { 4_000 });
    let (clients, terms_rate, wait) =
        if options.short { (FEW_CLIENTS, SHORT_RATE, SHORT_WAIT) } else { (CLIENTS, TERMS_RATE, WAIT) };
    let rows: &[usize] = if options.short { &[1, 2] } else { &[1, 2, 4, 8] };
    let there = std::thread::available_parallelism().map_or(0, usize::from);
    let mut rng = fastrand::Rng::with_seed(options.seed());
    let folder = tempfile::tempdir().map_err(|e| e.to_string())?;
    let file = folder.path().join("operators.toml");
    println!(
        "{there} cores, which {clients} clients and {PARTNERS} partners use too; orders of {BODY} bytes, {time:?} a run;\n\
         answers at {SHARE} of what the row can do; then {terms_rate} a second at partners of which every other one tells a wait of {:?}\n\
         each {} calls and every fourth has a limit of {LIMIT} calls in 2 s",
        wait.1, wait.0
    );
    println!(
        "{:>10} {:>5} {:>9} {:>6} {:>8} {:>9} {:>6} {:>8} {:>8} {:>8} {:>6} {:>6} {:>9}",
        "traffic",
        "cores",
        "msgs/s",
        "times",
        "CPU, µs",
        "proxy's",
        "times",
        "p50, ms",
        "p99",
        "p99.9",
        "moves",
        "waits",
        "overshoot"
    );
    let mut missed = Vec::new();
    let mut best = 0.0f64;
    for traffic in [Traffic::Uniform, Traffic::HeavyTail] {
        let table = traffic.table(&mut rng);
        let (mut one, mut proxys_one, mut one_p99) = (0.0, 0.0, 0.0);
        for cores in rows {
            std::fs::write(&file, format!("[cores]\ncount = {cores}\n")).map_err(|e| e.to_string())?;
            let (platform, stand) = (Platform::new(), partners(None));
            let node_at = node(&file, &platform, &stand, 1);
            let place = |prefix| (node_at.address, node_at.pid(), prefix);
            let fast = load(place("f"), &stand, &table, (clients, None), time);
            // What the clients of before left is over first.
            wait_until(|| node_at.metric("svc_open_requests") == 0);
            let open = load(place("o"), &stand, &table, (clients, Some(SHARE * fast.rate())), time);
            let moves = if *cores > 1 { node_at.metric("svc_destinations_moved") } else { 0 };
            drop(node_at);
            let judged = Judged::of(&stand);
            let (platform, stand) = (Platform::new(), partners(Some(wait)));
            let node_at = node(&file, &platform, &stand, SENDERS);
            let kept = load(
                (node_at.address, node_at.pid(), "t"),
                &stand,
                &table,
                (clients, Some(terms_rate)),
                time,
            );
            drop(node_at);
            let terms = Judged::of(&stand);
            if let Some(wrong) = judged.breach().or_else(|| terms.breach()) {
                return Err(format!("{traffic:?}, {cores} cores: {wrong}"));
            }
            if fast.delivered == 0 || open.taken == 0 || kept.delivered == 0 || terms.waits == 0 {
                return Err(format!(
                    "{traffic:?}, {cores} cores: nothing passes, or no partner tells a wait"
                ));
            }
            let stand = partners(None);
            let (bare, address) = proxy(&stand, *cores)?;
            let bare = load((address, bare.0.id(), "p"), &stand, &table, (clients, None), time);
            if *cores == 1 {
                (one, proxys_one, one_p99) = (fast.rate(), bare.rate(), open.at(0.99));
            }
            let (times, proxys) = (fast.rate() / one, bare.rate() / proxys_one);
            println!(
                "{:>10} {cores:>5} {:>9.0} {times:>6.2} {:>8.1} {:>9.0} {proxys:>6.2} {:>8.1} {:>8.1} {:>8.1} {moves:>6} {:>6} {:>9}{}",
                format!("{traffic:?}"),
                fast.rate(),
                fast.each(),
                bare.rate(),
                open.at(0.5),
                open.at(0.99),
                open.at(0.999),
                terms.waits,
                judged.overshoot.len() + terms.overshoot.len(),
                if fast.refused > 0 { format!("  ({} refused)", fast.refused) } else { String::new() },
            );
            best = best.max(times);
            if let Some((_, aim)) = AIMS.iter().find(|aim| aim.0 == *cores)
                && times < *aim
            {
                missed.push(format!("{traffic:?}: {times:.2} times at {cores}, the aim is {aim}"));
            }
            if open.at(0.99) > 1.5 * one_p99 && *cores < there {
                missed.push(format!(
                    "{traffic:?}: p99 {:.1} ms at {cores}, {one_p99:.1} with one",
                    open.at(0.99)
                ));
            }
        }
    }
    if !missed.is_empty() && !options.short {
        return Err(missed.join("; "));
    }
    Ok(format!("{best:.2} times one core's messages a second at best, overshoot 0, {there} cores for all"))
}
