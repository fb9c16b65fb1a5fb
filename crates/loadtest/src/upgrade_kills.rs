//! Upgrades a real sender repeatedly under traffic. At a random moment of each hand-over the predecessor, the successor or both are
//! killed or suspended, and a third process is started that has to take over from whatever is left.

use std::collections::HashMap;
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::json;
use test_doubles::{
    Behavior, ClientAnswer, Load, Node, Notifications, Partner, Plan, Platform, StartingNode, listing,
};

use crate::scenario::{Options, Outcomes, Scenario, sender_program};

/// Scenario `upgrade-kills`: faults during hand-overs.
pub const SCENARIO: Scenario = Scenario {
    name: "upgrade-kills",
    about: "a sender upgraded under traffic, predecessor and successor killed or suspended at --points random moments (300)",
    run,
};

/// Scenario `cores-kills`: the same with a random number of cores in each process, and destinations that move between cores.
pub const CORES: Scenario = Scenario {
    name: "cores-kills",
    about: "upgrade-kills with 1 to 5 cores, a random number in each process, and destinations that move (300)",
    run: |options| run_with(options, Some(MAX_CORES)),
};

/// Maximum number of cores of a process.
const MAX_CORES: u8 = 5;
/// Senders that are upgraded concurrently.
const LANES: usize = 4;
/// The third process has to be ready within this time.
const READY_WITHIN: Duration = Duration::from_secs(6);
/// Time for which a process is suspended.
const SUSPENSION: Duration = Duration::from_secs(2);
/// Time from SIGTERM until a predecessor is killed.
const TERMINATION_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time after which a metric has to include an answer of a partner.
const METRICS_DELAY: Duration = Duration::from_millis(500);
/// A metric may differ from the partners' count by this number, or by one percent where that is more.
const COUNT_TOLERANCE: i64 = 3;
/// Clients of the admin address that never complete their request.
const STALLED_CLIENTS: usize = 3;

/// A fault that is injected into a hand-over, by the processes that it hits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    /// SIGKILL.
    Kill { predecessor: bool, successor: bool },
    /// SIGSTOP, and SIGCONT after `SUSPENSION`.
    Suspend { predecessor: bool, successor: bool },
}

const FAULTS: [Fault; 6] = [
    Fault::Kill { predecessor: true, successor: false },
    Fault::Kill { predecessor: false, successor: true },
    Fault::Kill { predecessor: true, successor: true },
    Fault::Suspend { predecessor: true, successor: false },
    Fault::Suspend { predecessor: false, successor: true },
    Fault::Suspend { predecessor: true, successor: true },
];

/// Result of one lane.
#[derive(Debug, Default)]
struct LaneResult {
    accepted: usize,
    orders: usize,
    delivered: usize,
    notified: usize,
    /// Hand-overs in which the successor became ready before the fault or in spite of it.
    handed_over: usize,
    /// Number of times that the metrics were compared with the partners' counts.
    comparisons: usize,
    /// Accepted requests to move a destination to another core.
    moves: usize,
    /// Longest time from the start of a third process until it was ready.
    slowest: Duration,
}

struct Lane {
    partners: Vec<Partner>,
    rng: fastrand::Rng,
    node: Node,
    result: LaneResult,
    operators: PathBuf,
    /// Maximum number of cores of a process, where their number changes.
    cores: Option<u8>,
}

/// Writes the operators' file of the next process: the health snapshot, or the number of cores.
fn write_operators_file(operators: &Path, cores: Option<u8>) -> Result<(), String> {
    // The snapshot is written continuously, and the next process adopts or loads it. It can't be combined with several cores.
    let text = match cores {
        None => "[known]\non = true\nclock = \"boot\"\n".to_owned(),
        Some(cores) => format!("[cores]\ncount = {cores}\n"),
    };
    std::fs::write(operators, text).map_err(|e| e.to_string())
}

/// Terminates a predecessor, and kills it when it is still running after `TERMINATION_TIMEOUT`.
fn terminate(mut node: Node) {
    if node.has_ended() {
        return;
    }
    node.signal("-TERM");
    let until = Instant::now() + TERMINATION_TIMEOUT;
    while !node.has_ended() && Instant::now() < until {
        std::thread::sleep(Duration::from_millis(5));
    }
}

impl Lane {
    fn answered(&self) -> i64 {
        self.partners.iter().map(|partner| partner.answered() as i64).sum()
    }

    /// Runs one hand-over with a fault, and starts a third process during it.
    fn interrupted_hand_over(mut self) -> Result<Self, String> {
        let fault = FAULTS[self.rng.usize(..FAULTS.len())];
        let mut predecessor = self.node;
        let random_cores = |rng: &mut fastrand::Rng| self.cores.map(|maximum| rng.u8(1..=maximum));
        if let Some(maximum) = self.cores {
            for destination in 7..10 {
                let core = self.rng.u8(..maximum);
                let response = predecessor
                    .try_admin("POST", &format!("/cores/move?destination={destination}&core={core}"));
                self.result.moves += usize::from(response.is_some_and(|response| response.status() == 202));
            }
        }
        write_operators_file(&self.operators, random_cores(&mut self.rng))?;
        let mut successor = predecessor.spawn_successor();
        std::thread::sleep(Duration::from_micros(self.rng.u64(..60_000)));
        let (kills, suspensions) = match fault {
            Fault::Kill { predecessor, successor } => ((predecessor, successor), (false, false)),
            Fault::Suspend { predecessor, successor } => ((false, false), (predecessor, successor)),
        };
        let signals = |name: &str, of: (bool, bool), predecessor: &Node, successor: &StartingNode| {
            if of.0 {
                predecessor.signal(name);
            }
            if of.1 {
                successor.signal(name);
            }
        };
        signals("-KILL", kills, &predecessor, &successor);
        signals("-STOP", suspensions, &predecessor, &successor);
        write_operators_file(&self.operators, random_cores(&mut self.rng))?;
        let (mut third, started) = (predecessor.spawn_successor(), Instant::now());
        let mut suspended = suspensions != (false, false);
        let mut terminated = false;
        while !third.is_ready() && started.elapsed() < READY_WITHIN {
            if suspended && started.elapsed() >= SUSPENSION {
                suspended = false;
                signals("-CONT", suspensions, &predecessor, &successor);
            }
            // As on the platform: the predecessor gets SIGTERM once the successor is ready.
            if !suspended && !terminated && successor.is_ready() && !predecessor.has_ended() {
                terminated = true;
                predecessor.signal("-TERM");
            }
            if third.has_ended() {
                break;
            }
            std::thread::sleep(Duration::from_millis(2));
        }
        if suspended {
            std::thread::sleep(SUSPENSION.saturating_sub(started.elapsed()));
            signals("-CONT", suspensions, &predecessor, &successor);
        }
        let startup_time = started.elapsed();
        self.result.handed_over += usize::from(successor.is_ready());
        let third = match third.ready(Duration::ZERO) {
            Ok(third) => third,
            Err(failed) => {
                let (third, log) = *failed;
                third.end();
                let logs = (predecessor.log(), successor.end(), log);
                return Err(format!(
                    "{fault:?}: the third process is not ready after {startup_time:?}: {logs:?}"
                ));
            }
        };
        self.result.slowest = self.result.slowest.max(startup_time);
        // Two processes are active at once if both report that they take clients, and one of them does so before and after the
        // other one.
        let is_active = |node: &Node| {
            node.try_admin("GET", "/status").is_some_and(|response| response.body == b"taking clients\n")
        };
        let successor = if successor.is_ready() {
            successor.ready(Duration::ZERO).map_err(|_| ()).ok()
        } else {
            drop(successor.end());
            None
        };
        let mut others: Vec<Node> = [Some(predecessor), successor].into_iter().flatten().collect();
        for other in &mut others {
            if !other.has_ended() && is_active(other) && is_active(&third) && is_active(other) {
                return Err(format!("{fault:?}: two processes are active at once"));
            }
        }
        others.into_iter().for_each(terminate);
        self.node = third;
        Ok(self)
    }

    /// Compares the metrics with the partners' counts while some admin clients never complete their request.
    fn compare(&mut self) -> Result<(), String> {
        let Some(admin) = self.node.admin else { return Err("the sender has no admin address".into()) };
        let stalled: Vec<_> = (0..STALLED_CLIENTS)
            .filter_map(|_| {
                let mut client = TcpStream::connect(admin).ok()?;
                client.write_all(b"GET /status HT").ok()?;
                Some(client)
            })
            .collect();
        let before = self.answered();
        std::thread::sleep(METRICS_DELAY);
        let first = self.fulfilled()?;
        let after = self.answered();
        std::thread::sleep(METRICS_DELAY);
        let before_last = self.answered();
        std::thread::sleep(METRICS_DELAY);
        let last = self.fulfilled()?;
        let at_last = self.answered();
        drop(stalled);
        let counted = last - first;
        let (minimum, maximum) = (before_last - after, at_last - before);
        let tolerance = |counted: i64| COUNT_TOLERANCE.max(counted / 100);
        self.result.comparisons += 1;
        if counted < minimum - tolerance(minimum) || counted > maximum + tolerance(maximum) {
            return Err(format!("metrics count {counted} deliveries, partners {minimum} to {maximum}"));
        }
        Ok(())
    }

    fn fulfilled(&self) -> Result<i64, String> {
        let text =
            String::from_utf8(self.node.ops("GET", "/status/metrics").body).map_err(|e| e.to_string())?;
        let counts = text.lines().filter(|line| line.contains("status=\"fulfilled\""));
        Ok(counts.filter_map(|line| line.rsplit(' ').next()?.parse::<i64>().ok()).sum())
    }
}

fn lane(seed: u64, points: usize, cores: Option<u8>) -> Result<LaneResult, String> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut platform = Platform::new();
    let notifications = Notifications::collect(&mut platform);
    let healthy = |ms| Behavior::Healthy(Duration::from_millis(ms));
    let partners = vec![Partner::new(healthy(2)), Partner::new(healthy(40)), Partner::new(healthy(5))];
    let endpoints: Vec<_> = partners
        .iter()
        .zip(7..)
        .map(|(p, dest)| listing(&format!("e{dest}"), dest, "plain", p.address))
        .collect();
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
    let address = listener.local_addr().map_err(|e| e.to_string())?;
    let folder = tempfile::tempdir().map_err(|e| e.to_string())?;
    let operators = folder.path().join("operators.toml");
    write_operators_file(&operators, cores)?;
    let sender_program = sender_program().arg("--operators").arg(&operators).inheriting(&listener);
    let node = Node::start(&sender_program, &platform, &endpoints, |config| {
        (config["listen"], config["ops"]) = (json!(address.to_string()), json!("127.0.0.1:0"));
        config["settings"]["family_info"]["calls_out"] = json!(32);
        config["settings"]["limits"]["max_open"] = json!(300);
    });
    let plan = Plan {
        prefix: format!("{seed:x}"),
        rate: 160,
        clients: 8,
        mix: vec![("order", 7), ("order", 8), ("note", 9), ("order", 9), ("order", 8)],
        body: 300,
        within_ms: 6_000,
    };
    let load = Load::start(&plan, &Arc::new(Mutex::new(Some(address))));
    let effects = || partners.iter().flat_map(Partner::effects).collect::<HashMap<_, _>>();
    let (partners_of, result) = (partners.clone(), LaneResult::default());
    let mut lane = Lane { partners: partners_of, rng: rng.fork(), node, result, operators, cores };
    for number in 1..=points {
        std::thread::sleep(Duration::from_millis(rng.u64(50..250)));
        let behaviors = [Behavior::Silent, Behavior::Failing, Behavior::Rejecting, healthy(5)];
        partners[2].set(behaviors[rng.usize(..behaviors.len())]);
        lane = lane.interrupted_hand_over().map_err(|e| format!("point {number}: {e}"))?;
        if number % 5 == 0 {
            lane.compare().map_err(|e| format!("point {number}: {e}"))?;
        }
    }
    partners[2].set(healthy(5));
    let submissions = load.stop();
    let timeout = Duration::from_millis(u64::from(plan.within_ms) + 3_000);
    let outcomes =
        Outcomes::wait(timeout, || Outcomes::count(&submissions, &effects(), &notifications.all()));
    if !outcomes.lost.is_empty() || !outcomes.duplicated.is_empty() {
        let some = |ids: &[String]| ids.iter().take(5).cloned().collect::<Vec<_>>();
        return Err(format!(
            "{:?} have no outcome, {:?} took effect twice",
            some(&outcomes.lost),
            some(&outcomes.duplicated)
        ));
    }
    let mut result = lane.result;
    (result.delivered, result.notified, result.accepted) =
        (outcomes.delivered, outcomes.notified, outcomes.delivered + outcomes.notified);
    result.orders =
        submissions.values().filter(|m| m.class == "order" && m.answer == ClientAnswer::Accepted).count();
    Ok(result)
}

fn run(options: &Options) -> Result<String, String> {
    run_with(options, None)
}

fn run_with(options: &Options, maximum: Option<u8>) -> Result<String, String> {
    let points = options.points.unwrap_or(if options.short { 12 } else { 300 });
    let seed = options.seed();
    let lanes: Vec<_> = (0..LANES)
        .map(|lane| {
            let part = points / LANES + usize::from(lane < points % LANES);
            std::thread::spawn(move || self::lane(seed.wrapping_add(lane as u64), part, maximum))
        })
        .collect();
    let mut all = LaneResult::default();
    for lane in lanes {
        let result =
            lane.join().map_err(|_| "a lane panicked; its message is printed above".to_owned())??;
        all.accepted += result.accepted;
        all.orders += result.orders;
        all.delivered += result.delivered;
        all.notified += result.notified;
        all.handed_over += result.handed_over;
        all.comparisons += result.comparisons;
        all.moves += result.moves;
        all.slowest = all.slowest.max(result.slowest);
    }
    if all.orders == 0 || all.handed_over == 0 || (maximum.is_some() && all.moves == 0) {
        return Err(format!("{all:?}: too few orders, hand-overs or moves for a verdict"));
    }
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    let each = maximum.map_or(String::new(), |maximum| {
        format!(", 1 to {maximum} per process, {} destinations moved on request", all.moves)
    });
    Ok(format!(
        "{points} hand-overs with a fault in {LANES} lanes on {cores} cores{each}, {} of them completed; {} messages accepted ({} \
         orders), {} delivered, {} ended by a notification, none without an outcome, no order twice, never two active processes; \
         ready after {} ms at the latest; metrics matched the partners' counts {} times",
        all.handed_over,
        all.accepted,
        all.orders,
        all.delivered,
        all.notified,
        all.slowest.as_millis(),
        all.comparisons,
    ))
}
