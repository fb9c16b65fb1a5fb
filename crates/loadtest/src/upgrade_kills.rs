//! A real sender that is upgraded time and again under traffic; the old process, the new one or both are killed or paused at a
//! random moment of the hand-over, and a third one is started into it.

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

use crate::scenario::{Ends, Options, Scenario, program};

/// The scenario.
pub const SCENARIO: Scenario = Scenario {
    name: "upgrade-kills",
    about: "a sender upgraded under traffic, old and new process killed or paused at --points random moments (300)",
    run,
};

/// The same with another number of cores in each process, and destinations that are moved meanwhile.
pub const CORES: Scenario = Scenario {
    name: "cores-kills",
    about: "the same with 1 to 5 cores, another number in each process, and destinations that move (300)",
    run: |options| run_with(options, Some(MOST_CORES)),
};

/// Cores of a process at most.
const MOST_CORES: u8 = 5;
/// Senders that are upgraded side by side.
const LANES: usize = 4;
/// The third process has to be ready within that.
const READY_WITHIN: Duration = Duration::from_secs(6);
const PAUSE: Duration = Duration::from_secs(2);
/// From SIGTERM until an old process is killed.
const END_WITHIN: Duration = Duration::from_millis(1_500);
/// A figure may be so late, and off by a hundredth or by so many.
const LATE: Duration = Duration::from_millis(500);
const OFF_BY: i64 = 3;
/// Callers at the second address that never finish a call.
const SILENT: usize = 3;

/// What is done to a hand-over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fire {
    Kill { old: bool, new: bool },
    Pause { old: bool, new: bool },
}

const FIRES: [Fire; 6] = [
    Fire::Kill { old: true, new: false },
    Fire::Kill { old: false, new: true },
    Fire::Kill { old: true, new: true },
    Fire::Pause { old: true, new: false },
    Fire::Pause { old: false, new: true },
    Fire::Pause { old: true, new: true },
];

/// What a lane came to.
#[derive(Debug, Default)]
struct Came {
    taken: usize,
    orders: usize,
    delivered: usize,
    noticed: usize,
    /// Hand-overs in which the new process was ready before the fire, or took over in spite of it.
    handed_over: usize,
    /// Comparisons of figures.
    figures: usize,
    /// Destinations that were told to go to another core.
    moves: usize,
    slowest: Duration,
}

struct Lane {
    partners: Vec<Partner>,
    rng: fastrand::Rng,
    node: Node,
    came: Came,
    operators: PathBuf,
    /// Cores of a process at most, where their number changes.
    cores: Option<u8>,
}

/// What the next process is told to switch on.
fn switch_on(operators: &Path, cores: Option<u8>) -> Result<(), String> {
    // What is known is written all the time, and taken over or believed; several cores don't write it yet.
    let text = match cores {
        None => "[known]\non = true\nclock = \"boot\"\n".to_owned(),
        Some(cores) => format!("[cores]\ncount = {cores}\n"),
    };
    std::fs::write(operators, text).map_err(|e| e.to_string())
}

/// Processes of which all but the last are told to end.
fn end(mut node: Node) {
    if node.has_ended() {
        return;
    }
    node.signal("-TERM");
    let until = Instant::now() + END_WITHIN;
    while !node.has_ended() && Instant::now() < until {
        std::thread::sleep(Duration::from_millis(5));
    }
}

impl Lane {
    fn answered(&self) -> i64 {
        self.partners.iter().map(|partner| partner.answered() as i64).sum()
    }

    /// One hand-over under fire, and a third process into it.
    fn point(mut self) -> Result<Self, String> {
        let fire = FIRES[self.rng.usize(..FIRES.len())];
        let mut old = self.node;
        let another = |rng: &mut fastrand::Rng| self.cores.map(|most| rng.u8(1..=most));
        if let Some(most) = self.cores {
            for destination in 7..10 {
                let core = self.rng.u8(..most);
                let told =
                    old.try_admin("POST", &format!("/cores/move?destination={destination}&core={core}"));
                self.came.moves += usize::from(told.is_some_and(|told| told.status() == 202));
            }
        }
        switch_on(&self.operators, another(&mut self.rng))?;
        let mut new = old.spawn_successor();
        std::thread::sleep(Duration::from_micros(self.rng.u64(..60_000)));
        let (kills, pauses) = match fire {
            Fire::Kill { old, new } => ((old, new), (false, false)),
            Fire::Pause { old, new } => ((false, false), (old, new)),
        };
        let signals = |name: &str, of: (bool, bool), old: &Node, new: &StartingNode| {
            if of.0 {
                old.signal(name);
            }
            if of.1 {
                new.signal(name);
            }
        };
        signals("-KILL", kills, &old, &new);
        signals("-STOP", pauses, &old, &new);
        switch_on(&self.operators, another(&mut self.rng))?;
        let (mut third, began) = (old.spawn_successor(), Instant::now());
        let mut paused = pauses != (false, false);
        let mut termed = false;
        while !third.is_ready() && began.elapsed() < READY_WITHIN {
            if paused && began.elapsed() >= PAUSE {
                paused = false;
                signals("-CONT", pauses, &old, &new);
            }
            // As on the platform: once the new one says yes, the old one is told to end.
            if !paused && !termed && new.is_ready() && !old.has_ended() {
                termed = true;
                old.signal("-TERM");
            }
            if third.has_ended() {
                break;
            }
            std::thread::sleep(Duration::from_millis(2));
        }
        if paused {
            std::thread::sleep(PAUSE.saturating_sub(began.elapsed()));
            signals("-CONT", pauses, &old, &new);
        }
        let took = began.elapsed();
        self.came.handed_over += usize::from(new.is_ready());
        let third = match third.ready(Duration::ZERO) {
            Ok(third) => third,
            Err(failed) => {
                let (third, log) = *failed;
                third.end();
                let logs = (old.log(), new.end(), log);
                return Err(format!("{fire:?}: the third is not ready after {took:?}: {logs:?}"));
            }
        };
        self.came.slowest = self.came.slowest.max(took);
        // Two that decide: both say that they take clients, one of them before and after the other did.
        let decides = |node: &Node| {
            node.try_admin("GET", "/status").is_some_and(|told| told.body == b"taking clients\n")
        };
        let new = if new.is_ready() {
            new.ready(Duration::ZERO).map_err(|_| ()).ok()
        } else {
            drop(new.end());
            None
        };
        let mut others: Vec<Node> = [Some(old), new].into_iter().flatten().collect();
        for other in &mut others {
            if !other.has_ended() && decides(other) && decides(&third) && decides(other) {
                return Err(format!("{fire:?}: two decide"));
            }
        }
        others.into_iter().for_each(end);
        self.node = third;
        Ok(self)
    }

    /// Holds the figures against what partners counted, with callers that finish no call.
    fn compare(&mut self) -> Result<(), String> {
        let Some(ops) = self.node.admin else { return Err("there is no second address".into()) };
        let silent: Vec<_> = (0..SILENT)
            .filter_map(|_| {
                let mut caller = TcpStream::connect(ops).ok()?;
                caller.write_all(b"GET /status HT").ok()?;
                Some(caller)
            })
            .collect();
        let before = self.answered();
        std::thread::sleep(LATE);
        let first = self.fulfilled()?;
        let after = self.answered();
        std::thread::sleep(LATE);
        let before_last = self.answered();
        std::thread::sleep(LATE);
        let last = self.fulfilled()?;
        let at_last = self.answered();
        drop(silent);
        let counted = last - first;
        let (least, most) = (before_last - after, at_last - before);
        let off = |counted: i64| OFF_BY.max(counted / 100);
        self.came.figures += 1;
        if counted < least - off(least) || counted > most + off(most) {
            return Err(format!("figures count {counted}, partners {least} to {most}"));
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

fn lane(seed: u64, points: usize, cores: Option<u8>) -> Result<Came, String> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut platform = Platform::new();
    let notices = Notifications::collect(&mut platform);
    let well = |ms| Behavior::Healthy(Duration::from_millis(ms));
    let partners = vec![Partner::new(well(2)), Partner::new(well(40)), Partner::new(well(5))];
    let endpoints: Vec<_> = partners
        .iter()
        .zip(7..)
        .map(|(p, dest)| listing(&format!("e{dest}"), dest, "plain", p.address))
        .collect();
    let held = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
    let address = held.local_addr().map_err(|e| e.to_string())?;
    let folder = tempfile::tempdir().map_err(|e| e.to_string())?;
    let operators = folder.path().join("operators.toml");
    switch_on(&operators, cores)?;
    let program = program().arg("--operators").arg(&operators).inheriting(&held);
    let node = Node::start(&program, &platform, &endpoints, |config| {
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
    let (partners_of, came) = (partners.clone(), Came::default());
    let mut lane = Lane { partners: partners_of, rng: rng.fork(), node, came, operators, cores };
    for point in 1..=points {
        std::thread::sleep(Duration::from_millis(rng.u64(50..250)));
        let ill = [Behavior::Silent, Behavior::Failing, Behavior::Rejecting, well(5)];
        partners[2].set(ill[rng.usize(..ill.len())]);
        lane = lane.point().map_err(|e| format!("point {point}: {e}"))?;
        if point % 5 == 0 {
            lane.compare().map_err(|e| format!("point {point}: {e}"))?;
        }
    }
    partners[2].set(well(5));
    let said = load.stop();
    let patience = Duration::from_millis(u64::from(plan.within_ms) + 3_000);
    let ends = Ends::wait(patience, || Ends::of(&said, &effects(), &notices.all()));
    if !ends.lost.is_empty() || !ends.twice.is_empty() {
        let some = |ids: &[String]| ids.iter().take(5).cloned().collect::<Vec<_>>();
        return Err(format!("{:?} have no end, {:?} took effect twice", some(&ends.lost), some(&ends.twice)));
    }
    let mut came = lane.came;
    (came.delivered, came.noticed, came.taken) =
        (ends.delivered, ends.noticed, ends.delivered + ends.noticed);
    came.orders = said.values().filter(|m| m.class == "order" && m.answer == ClientAnswer::Accepted).count();
    Ok(came)
}

fn run(options: &Options) -> Result<String, String> {
    run_with(options, None)
}

fn run_with(options: &Options, most: Option<u8>) -> Result<String, String> {
    let points = options.points.unwrap_or(if options.short { 12 } else { 300 });
    let seed = options.seed();
    let lanes: Vec<_> = (0..LANES)
        .map(|lane| {
            let part = points / LANES + usize::from(lane < points % LANES);
            std::thread::spawn(move || self::lane(seed.wrapping_add(lane as u64), part, most))
        })
        .collect();
    let mut all = Came::default();
    for lane in lanes {
        let came = lane.join().map_err(|_| "a lane failed, as it said above".to_owned())??;
        all.taken += came.taken;
        all.orders += came.orders;
        all.delivered += came.delivered;
        all.noticed += came.noticed;
        all.handed_over += came.handed_over;
        all.figures += came.figures;
        all.moves += came.moves;
        all.slowest = all.slowest.max(came.slowest);
    }
    if all.orders == 0 || all.handed_over == 0 || (most.is_some() && all.moves == 0) {
        return Err(format!("{all:?}: too little came to pass"));
    }
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    let each = most.map_or(String::new(), |most| {
        format!(", 1 to {most} in a process, {} destinations told to move", all.moves)
    });
    Ok(format!(
        "{points} hand-overs under fire in {LANES} lanes on {cores} cores{each}, {} of them came about all the same; {} messages taken \
         on ({} orders), {} delivered, {} ended by a notice, none without an end, no order twice, never two that decide; ready \
         after {} ms at the latest; figures as partners counted, {} times",
        all.handed_over,
        all.taken,
        all.orders,
        all.delivered,
        all.noticed,
        all.slowest.as_millis(),
        all.figures,
    ))
}
