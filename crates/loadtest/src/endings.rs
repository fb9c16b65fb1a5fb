//! A real sender under traffic of which something ends at each of many random moments: the process (asked, killed, asked and
//! then killed, stopped and going on), an endpoint (drained, away, silent, refusing), the configuration. Whatever was
//! taken on has its one end after it, and what a restart found untried is tried.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use test_doubles::{
    Behavior, ClientAnswer, Load, Node, Notifications, Partner, Plan, Platform, draining, listing,
};

use crate::scenario::{Ends, Options, Scenario, program};

/// The scenario.
pub const SCENARIO: Scenario = Scenario {
    name: "endings",
    about: "a sender under traffic whose process, endpoints or configuration end at --points random moments (300)",
    run,
};

/// Senders side by side, each with partners, clients and a platform of its own.
const LANES: usize = 4;
/// From SIGTERM until the process is killed, as on the platform.
const END_WITHIN: Duration = Duration::from_millis(3_700);
/// From its end until the next one starts.
const DOWN: Duration = Duration::from_millis(100);
/// Destinations of the partners.
const FIRST: u16 = 7;

/// What ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Ending {
    /// SIGTERM, and SIGKILL if it is still there in the end.
    Asked,
    /// SIGTERM twice, and SIGKILL within its drain.
    AskedAndKilled,
    Killed,
    /// SIGSTOP, and SIGCONT after a while.
    Stopped,
    /// The same, and SIGKILL in place of SIGCONT.
    StoppedAndKilled,
    /// SIGHUP.
    Reread,
    /// The list says that an endpoint wants nothing new, and later that it does.
    Drained,
    /// A partner changes its mood.
    Mood(usize),
}

const ENDINGS: [Ending; 10] = [
    Ending::Asked,
    Ending::AskedAndKilled,
    Ending::Killed,
    Ending::Killed,
    Ending::Stopped,
    Ending::StoppedAndKilled,
    Ending::Reread,
    Ending::Drained,
    Ending::Mood(0),
    Ending::Mood(1),
];

/// What a lane came to.
#[derive(Debug, Default)]
struct Came {
    taken: usize,
    delivered: usize,
    noticed: usize,
    unheard: usize,
    points: BTreeMap<String, usize>,
    /// Untried messages that restarts found, those that were called, and those that were given up before their time.
    untried: [usize; 3],
}

struct Lane {
    partners: Vec<Partner>,
    platform: Platform,
    place: Arc<Mutex<Option<std::net::SocketAddr>>>,
    node: Node,
    rng: fastrand::Rng,
    came: Came,
}

/// The list, with one of them draining.
fn listings(partners: &[Partner], drained: Option<usize>) -> Vec<Value> {
    let entry = |(at, partner): (usize, &Partner)| {
        let (name, destination) = (format!("e{at}"), FIRST + at as u16);
        if drained == Some(at) {
            draining(&name, destination)
        } else {
            listing(&name, destination, if at == 2 { "bulk" } else { "plain" }, partner.address)
        }
    };
    partners.iter().enumerate().map(entry).collect()
}

impl Lane {
    /// Counts what the process said of what it found untried.
    fn count_untried(&mut self) {
        for line in
            self.node.log().iter().filter(|line| line.contains(" untried messages of the process before "))
        {
            let numbers: Vec<usize> =
                line.split(|c: char| !c.is_ascii_digit()).filter_map(|digits| digits.parse().ok()).collect();
            if let [found, called, _, _, given_up, _] = numbers[..] {
                let counts = self.came.untried.iter_mut().zip([found, called, given_up]);
                counts.for_each(|(sum, count)| *sum += count);
            }
        }
    }

    fn restart(mut self) -> Self {
        *self.place.lock().unwrap() = None;
        self.count_untried();
        let node = self.node.kill_and_restart_after(|| std::thread::sleep(DOWN));
        *self.place.lock().unwrap() = Some(node.address);
        Self { node, ..self }
    }

    fn point(mut self) -> Self {
        let ending = ENDINGS[self.rng.usize(..ENDINGS.len())];
        *self.came.points.entry(format!("{ending:?}")).or_default() += 1;
        let moment = Duration::from_millis(self.rng.u64(1..600));
        match ending {
            Ending::Asked => {
                self.node.signal("-TERM");
                let until = Instant::now() + END_WITHIN;
                while !self.node.has_ended() && Instant::now() < until {
                    std::thread::sleep(Duration::from_millis(5));
                }
                self.restart()
            }
            Ending::AskedAndKilled => {
                self.node.signal("-TERM");
                std::thread::sleep(moment);
                if !self.node.has_ended() {
                    self.node.signal("-TERM");
                }
                std::thread::sleep(moment / 2);
                self.restart()
            }
            Ending::Killed => self.restart(),
            Ending::Stopped => {
                self.node.stop();
                std::thread::sleep(moment);
                self.node.signal("-CONT");
                self
            }
            Ending::StoppedAndKilled => {
                self.node.stop();
                std::thread::sleep(moment);
                self.restart()
            }
            Ending::Reread => {
                self.node.signal("-HUP");
                self
            }
            Ending::Drained => {
                let drained = self.rng.usize(..self.partners.len());
                self.platform.publish(&listings(&self.partners, Some(drained)));
                std::thread::sleep(moment);
                self.platform.publish(&listings(&self.partners, None));
                self
            }
            Ending::Mood(at) => {
                let well = Behavior::Healthy(Duration::from_millis(self.rng.u64(1..80)));
                let moods = [
                    Behavior::Silent,
                    Behavior::Failing,
                    Behavior::Rejecting,
                    Behavior::Unreachable,
                    well,
                    well,
                ];
                self.partners[at].set(moods[self.rng.usize(..moods.len())]);
                self
            }
        }
    }
}

fn lane(seed: u64, points: usize) -> Result<Came, String> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut platform = Platform::new();
    let notices = Notifications::collect(&mut platform);
    let well = |ms| Behavior::Healthy(Duration::from_millis(ms));
    let partners = vec![Partner::new(well(5)), Partner::new(well(60)), Partner::new(well(20))];
    let endpoints = listings(&partners, None);
    let node = Node::start(&program(), &platform, &endpoints, |config| {
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
    let place = Arc::new(Mutex::new(Some(node.address)));
    let load = Load::start(&plan, &place);
    let (moods, came) = (partners.clone(), Came::default());
    let mut lane = Lane { partners, platform, place, node, rng: rng.fork(), came };
    for _ in 0..points {
        std::thread::sleep(Duration::from_millis(rng.u64(20..400)));
        lane = lane.point();
    }
    moods.iter().for_each(|partner| partner.set(well(5)));
    let said = load.stop();
    let effects = || moods.iter().flat_map(Partner::effects).collect::<HashMap<_, _>>();
    let patience = Duration::from_millis(u64::from(plan.within_ms) + 3_000);
    let ends = Ends::wait(patience, || Ends::of(&said, &effects(), &notices.all()));
    if !ends.lost.is_empty() || !ends.twice.is_empty() {
        let some = |ids: &[String]| ids.iter().take(5).cloned().collect::<Vec<_>>();
        let (lost, twice) = (some(&ends.lost), some(&ends.twice));
        return Err(format!(
            "seed {seed}: {lost:?} have no end, {twice:?} took effect twice; {:?}",
            lane.came.points
        ));
    }
    lane.count_untried();
    let mut came = lane.came;
    (came.delivered, came.noticed) = (ends.delivered, ends.noticed);
    came.taken = ends.delivered + ends.noticed;
    came.unheard = said.values().filter(|message| message.answer == ClientAnswer::NoAnswer).count();
    Ok(came)
}

fn run(options: &Options) -> Result<String, String> {
    let points = options.points.unwrap_or(if options.short { 24 } else { 300 });
    let seed = options.seed();
    let lanes: Vec<_> = (0..LANES)
        .map(|lane| {
            let part = points / LANES + usize::from(lane < points % LANES);
            std::thread::spawn(move || self::lane(seed.wrapping_add(lane as u64), part))
        })
        .collect();
    let mut all = Came::default();
    for lane in lanes {
        let came = lane.join().map_err(|_| "a lane failed, as it said above".to_owned())??;
        all.taken += came.taken;
        all.delivered += came.delivered;
        all.noticed += came.noticed;
        all.unheard += came.unheard;
        came.points.into_iter().for_each(|(ending, count)| *all.points.entry(ending).or_default() += count);
        all.untried.iter_mut().zip(came.untried).for_each(|(sum, count)| *sum += count);
    }
    if all.taken == 0 || all.points.len() < 2 {
        return Err(format!("{all:?}: too little came to pass"));
    }
    let [found, called, given_up] = all.untried;
    if 2 * given_up > found {
        return Err(format!(
            "of {found} messages that restarts found untried {given_up} were given up before their time"
        ));
    }
    Ok(format!(
        "{points} endings in {LANES} lanes, {:?}; {} messages taken on, {} delivered, {} ended by a notice, none without an end, no \
         order twice; {} asked and heard nothing; of {found} that restarts found untried {called} were called, {given_up} \
         given up before their time",
        all.points, all.taken, all.delivered, all.noticed, all.unheard,
    ))
}
