//! Disturbs a real sender under traffic at many random moments: its process is terminated, killed, terminated and then killed, or
//! suspended; an endpoint is drained, unreachable, silent, failing or rejecting; the configuration is reloaded. Afterwards each
//! accepted message must have its outcome, no order may take effect twice, and at least half of the unattempted messages that
//! restarts recovered must not be abandoned before their deadline.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use test_doubles::{
    Behavior, ClientAnswer, Load, Node, Notifications, Partner, Plan, Platform, draining, listing,
};

use crate::scenario::{Options, Outcomes, Scenario, sender_program};

/// Scenario `endings`: random faults of process, endpoints and configuration.
pub const SCENARIO: Scenario = Scenario {
    name: "endings",
    about: "a sender under traffic with faults of process, endpoints or configuration at --points random moments (300)",
    run,
};

/// Senders that run concurrently, each with its own partners, clients and platform.
const LANES: usize = 4;
/// Time from SIGTERM until the process is killed, as on the platform.
const TERMINATION_TIMEOUT: Duration = Duration::from_millis(3_700);
/// Time from the end of a process until the next one starts.
const RESTART_DELAY: Duration = Duration::from_millis(100);
/// Destination of the first partner; the others follow.
const FIRST_DESTINATION: u16 = 7;

/// A fault that is injected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Fault {
    /// SIGTERM, and SIGKILL if the process is still running after `TERMINATION_TIMEOUT`.
    Terminated,
    /// SIGTERM twice, and SIGKILL while the process drains.
    TerminatedAndKilled,
    /// SIGKILL.
    Killed,
    /// SIGSTOP, and SIGCONT after a random time.
    Suspended,
    /// SIGSTOP, and SIGKILL after a random time.
    SuspendedAndKilled,
    /// SIGHUP, on which the process reloads its configuration.
    Reloaded,
    /// The endpoint list marks an endpoint as draining, and as ready again after a random time.
    Drained,
    /// The partner with this index changes its behavior.
    PartnerBehavior(usize),
}

const FAULTS: [Fault; 10] = [
    Fault::Terminated,
    Fault::TerminatedAndKilled,
    Fault::Killed,
    Fault::Killed,
    Fault::Suspended,
    Fault::SuspendedAndKilled,
    Fault::Reloaded,
    Fault::Drained,
    Fault::PartnerBehavior(0),
    Fault::PartnerBehavior(1),
];

/// Result of one lane.
#[derive(Debug, Default)]
struct LaneResult {
    /// Messages that were accepted and have an outcome.
    accepted: usize,
    delivered: usize,
    notified: usize,
    /// Messages whose client received no response.
    unanswered: usize,
    /// Number of times that each fault was injected.
    faults: BTreeMap<String, usize>,
    /// Recovered messages without an attempt: all of them, those that were then attempted, and those that were abandoned before
    /// their deadline.
    unattempted: [usize; 3],
}

struct Lane {
    partners: Vec<Partner>,
    platform: Platform,
    address_slot: Arc<Mutex<Option<std::net::SocketAddr>>>,
    node: Node,
    rng: fastrand::Rng,
    result: LaneResult,
}

/// Returns the endpoint list, with the given endpoint draining.
fn listings(partners: &[Partner], drained: Option<usize>) -> Vec<Value> {
    let entry = |(at, partner): (usize, &Partner)| {
        let (name, destination) = (format!("e{at}"), FIRST_DESTINATION + at as u16);
        if drained == Some(at) {
            draining(&name, destination)
        } else {
            listing(&name, destination, if at == 2 { "bulk" } else { "plain" }, partner.address)
        }
    };
    partners.iter().enumerate().map(entry).collect()
}

impl Lane {
    /// Adds the counts of unattempted recovered messages that the process logged.
    fn count_unattempted(&mut self) {
        for line in
            self.node.log().iter().filter(|line| line.contains(" untried messages of the process before "))
        {
            let numbers: Vec<usize> =
                line.split(|c: char| !c.is_ascii_digit()).filter_map(|digits| digits.parse().ok()).collect();
            if let [recovered, attempted, _, _, abandoned, _] = numbers[..] {
                let counts = self.result.unattempted.iter_mut().zip([recovered, attempted, abandoned]);
                counts.for_each(|(sum, count)| *sum += count);
            }
        }
    }

    fn restart(mut self) -> Self {
        *self.address_slot.lock().unwrap() = None;
        self.count_unattempted();
        let node = self.node.kill_and_restart_after(|| std::thread::sleep(RESTART_DELAY));
        *self.address_slot.lock().unwrap() = Some(node.address);
        Self { node, ..self }
    }

    fn inject_fault(mut self) -> Self {
        let fault = FAULTS[self.rng.usize(..FAULTS.len())];
        *self.result.faults.entry(format!("{fault:?}")).or_default() += 1;
        let delay = Duration::from_millis(self.rng.u64(1..600));
        match fault {
            Fault::Terminated => {
                self.node.signal("-TERM");
                let until = Instant::now() + TERMINATION_TIMEOUT;
                while !self.node.has_ended() && Instant::now() < until {
                    std::thread::sleep(Duration::from_millis(5));
                }
                self.restart()
            }
            Fault::TerminatedAndKilled => {
                self.node.signal("-TERM");
                std::thread::sleep(delay);
                if !self.node.has_ended() {
                    self.node.signal("-TERM");
                }
                std::thread::sleep(delay / 2);
                self.restart()
            }
            Fault::Killed => self.restart(),
            Fault::Suspended => {
                self.node.stop();
                std::thread::sleep(delay);
                self.node.signal("-CONT");
                self
            }
            Fault::SuspendedAndKilled => {
                self.node.stop();
                std::thread::sleep(delay);
                self.restart()
            }
            Fault::Reloaded => {
                self.node.signal("-HUP");
                self
            }
            Fault::Drained => {
                let drained = self.rng.usize(..self.partners.len());
                self.platform.publish(&listings(&self.partners, Some(drained)));
                std::thread::sleep(delay);
                self.platform.publish(&listings(&self.partners, None));
                self
            }
            Fault::PartnerBehavior(at) => {
                let healthy = Behavior::Healthy(Duration::from_millis(self.rng.u64(1..80)));
                let behaviors = [
                    Behavior::Silent,
                    Behavior::Failing,
                    Behavior::Rejecting,
                    Behavior::Unreachable,
                    healthy,
                    healthy,
                ];
                self.partners[at].set(behaviors[self.rng.usize(..behaviors.len())]);
                self
            }
        }
    }
}

fn lane(seed: u64, faults: usize) -> Result<LaneResult, String> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut platform = Platform::new();
    let notifications = Notifications::collect(&mut platform);
    let healthy = |ms| Behavior::Healthy(Duration::from_millis(ms));
    let partners = vec![Partner::new(healthy(5)), Partner::new(healthy(60)), Partner::new(healthy(20))];
    let endpoints = listings(&partners, None);
    let node = Node::start(&sender_program(), &platform, &endpoints, |config| {
        config["settings"]["family_info"]["calls_out"] = json!(16);
        config["settings"]["limits"]["max_open"] = json!(60);
        config["settings"]["classes"][0]["dedup_window_us"] = json!(2_000_000);
    });
    let plan = Plan {
        prefix: format!("{seed:x}"),
        rate: 120,
        clients: 8,
        mix: vec![("order", 7), ("note", 8), ("note", 9), ("order", 9), ("order", 8), ("note", 7)],
        body: 300,
        within_ms: 4_000,
    };
    let address_slot = Arc::new(Mutex::new(Some(node.address)));
    let load = Load::start(&plan, &address_slot);
    let (behaviors, result) = (partners.clone(), LaneResult::default());
    let mut lane = Lane { partners, platform, address_slot, node, rng: rng.fork(), result };
    for _ in 0..faults {
        std::thread::sleep(Duration::from_millis(rng.u64(20..400)));
        lane = lane.inject_fault();
    }
    behaviors.iter().for_each(|partner| partner.set(healthy(5)));
    let submissions = load.stop();
    let effects = || behaviors.iter().flat_map(Partner::effects).collect::<HashMap<_, _>>();
    let timeout = Duration::from_millis(u64::from(plan.within_ms) + 3_000);
    let outcomes =
        Outcomes::wait(timeout, || Outcomes::count(&submissions, &effects(), &notifications.all()));
    if !outcomes.lost.is_empty() || !outcomes.duplicated.is_empty() {
        let some = |ids: &[String]| ids.iter().take(5).cloned().collect::<Vec<_>>();
        let (lost, duplicated) = (some(&outcomes.lost), some(&outcomes.duplicated));
        return Err(format!(
            "seed {seed}: {lost:?} have no outcome, {duplicated:?} took effect twice; {:?}",
            lane.result.faults
        ));
    }
    lane.count_unattempted();
    let mut result = lane.result;
    (result.delivered, result.notified) = (outcomes.delivered, outcomes.notified);
    result.accepted = outcomes.delivered + outcomes.notified;
    result.unanswered =
        submissions.values().filter(|message| message.answer == ClientAnswer::NoAnswer).count();
    Ok(result)
}

fn run(options: &Options) -> Result<String, String> {
    let faults = options.points.unwrap_or(if options.short { 24 } else { 300 });
    let seed = options.seed();
    let lanes: Vec<_> = (0..LANES)
        .map(|lane| {
            let part = faults / LANES + usize::from(lane < faults % LANES);
            std::thread::spawn(move || self::lane(seed.wrapping_add(lane as u64), part))
        })
        .collect();
    let mut all = LaneResult::default();
    for lane in lanes {
        let result =
            lane.join().map_err(|_| "a lane panicked; its message is printed above".to_owned())??;
        all.accepted += result.accepted;
        all.delivered += result.delivered;
        all.notified += result.notified;
        all.unanswered += result.unanswered;
        result.faults.into_iter().for_each(|(fault, count)| *all.faults.entry(fault).or_default() += count);
        all.unattempted.iter_mut().zip(result.unattempted).for_each(|(sum, count)| *sum += count);
    }
    if all.accepted == 0 || all.faults.len() < 2 {
        return Err(format!("{all:?}: too few messages or kinds of fault for a verdict"));
    }
    let [recovered, attempted, abandoned] = all.unattempted;
    if 2 * abandoned > recovered {
        return Err(format!(
            "of {recovered} unattempted messages that restarts recovered, {abandoned} were abandoned before their deadline"
        ));
    }
    Ok(format!(
        "{faults} faults in {LANES} lanes, {:?}; {} messages accepted, {} delivered, {} ended by a notification, none without an \
         outcome, no order twice; {} submitted without a response; of {recovered} unattempted messages that restarts recovered {attempted} \
         were attempted, {abandoned} abandoned before their deadline",
        all.faults, all.accepted, all.delivered, all.notified, all.unanswered,
    ))
}
