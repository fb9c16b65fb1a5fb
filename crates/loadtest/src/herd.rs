//! Most of a fleet of real senders is killed within a second, while discovery is overbooked and a partner is down: with what
//! they learnt and without, side by side.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use fleet_sim::{LimitModel, Partner};
use serde_json::json;
use test_doubles::{ClientAnswer, Load, Node, Notifications, Plan, Platform, Submission, listing};

use crate::limited::Limited;
use crate::scenario::{Options, Scenario, program};

/// The scenario.
pub const SCENARIO: Scenario = Scenario {
    name: "herd",
    about: "most of --senders (48) killed in one second, discovery overbooked, with what they learnt and without",
    run,
};

/// Limits of the partners, in calls a second; the third and the sixth take five messages in a call, and so on.
const LIMITS: [f64; 16] =
    [38.0, 26.0, 22.0, 14.0, 12.0, 11.0, 10.0, 9.0, 8.0, 8.0, 7.0, 6.5, 5.5, 5.0, 5.0, 4.0];
/// Part of the limits that is asked for.
const ASKED: f64 = 0.6;
/// The partner that is down, and when.
const DOWN: (usize, (f64, f64)) = (1, (7.0, 12.0));
/// When the release begins, how long it takes, and how many of a dozen it leaves.
const RELEASE: Duration = Duration::from_secs(8);
const SPARED: usize = 12;
const SECONDS: u64 = 24;
const AIM: Duration = Duration::from_secs(4);
/// A call for the list takes discovery so long, and is turned away where it would wait longer.
const LIST_TAKES: Duration = Duration::from_millis(60);
const LIST_WAITS: Duration = Duration::from_secs(1);

/// What a run came to.
#[derive(Debug, Clone, Copy, Default)]
struct Came {
    asked: f64,
    worth: f64,
    /// Of messages handed in within ten seconds of the release.
    asked_after: f64,
    worth_after: f64,
    refused_at_the_door: usize,
    handed_back: usize,
    failed: usize,
    calls: u32,
    refused: u32,
    down: u32,
    pushed: f64,
    list_calls: (u64, u64),
    lost: usize,
    twice: usize,
}

fn partners() -> Vec<Partner> {
    let partner = |(at, limit): (usize, &f64)| Partner {
        limit: *limit,
        limit_model: LimitModel::FixedWindow,
        window_seconds: if at % 2 == 0 { 2.0 } else { 1.0 },
        rejected_calls_use_limit: at % 4 == 0,
        max_batch: if at % 3 == 2 { 5 } else { 1 },
        capacity: limit * 1.5,
        report_interval: 0.4,
        call_seconds: 0.15,
        outages: if at == DOWN.0 { vec![DOWN.1] } else { vec![] },
        ..Partner::default()
    };
    LIMITS.iter().enumerate().map(partner).collect()
}

/// A message is worth its class's worth in time, and half with each further aim.
fn worth(message: &Submission, after: Option<Duration>) -> f64 {
    let full = if message.class == "note" { 2.0 } else { 1.0 };
    let late = |after: Duration| (after.as_secs_f64() / AIM.as_secs_f64() - 1.0).max(0.0);
    after.map_or(0.0, |after| full * 0.5f64.powf(late(after)).max(0.3))
}

fn play(seed: u64, senders: usize, known: bool) -> Result<Came, String> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut platform = Platform::new();
    let notices = Notifications::collect(&mut platform);
    let limited = Limited::new(partners())?;
    let endpoints: Vec<_> = limited
        .addresses
        .iter()
        .enumerate()
        .map(|(at, address)| {
            let mut entry =
                listing(&format!("e{at}"), at as u16, if at % 3 == 2 { "bulk" } else { "plain" }, *address);
            entry["weight"] = json!(LIMITS[at] * (0.8 + 0.4 * rng.f64()));
            entry
        })
        .collect();
    let folder = tempfile::tempdir().map_err(|e| e.to_string())?;
    let operators = folder.path().join("operators.toml");
    std::fs::write(&operators, if known { "[known]\non = true\n" } else { "" }).map_err(|e| e.to_string())?;
    let program = program().arg("--operators").arg(&operators);
    platform.limit_list_capacity(LIST_TAKES, LIST_WAITS);
    let mut nodes: Vec<Node> = (0..senders)
        .map(|_| {
            Node::start(&program, &platform, &endpoints, |config| {
                config["settings"]["balancers"] = json!(senders);
                config["settings"]["family_info"]["calls_out"] = json!(5);
                config["settings"]["weights"] = json!("rough");
            })
        })
        .collect();
    let rate: f64 = LIMITS.iter().sum::<f64>() * ASKED;
    // Partners get messages in proportion to their limits.
    let mix: Vec<_> = (0..200)
        .map(|_| {
            let mut at = rng.f64() * LIMITS.iter().sum::<f64>();
            let partner = LIMITS.iter().position(|limit| {
                at -= limit;
                at < 0.0
            });
            (if rng.f64() < 0.7 { "note" } else { "order" }, partner.unwrap_or(0) as u16)
        })
        .collect();
    let places: Vec<_> = nodes.iter().map(|node| Arc::new(Mutex::new(Some(node.address)))).collect();
    let offset = limited.now();
    let loads: Vec<_> = places
        .iter()
        .enumerate()
        .map(|(at, place)| {
            let mut mix = mix.clone();
            mix.rotate_left(at * 37 % 200);
            // One in six carries ten times what the others do.
            let part = if at % 6 == 0 { 4.0 } else { 0.4 };
            let prefix = format!("{seed:x}-{known}-{at}");
            let plan = Plan { prefix, rate: 1, clients: 2, mix, body: 200, within_ms: 12_000 };
            let period = Duration::from_secs_f64(2.0 * senders as f64 / (rate * part));
            Load::start_every(&plan, place, period)
        })
        .collect();
    let release = RELEASE.saturating_sub(limited.now().saturating_sub(offset));
    std::thread::sleep(release);
    let released = limited.now();
    // All are killed within a second, side by side; each comes back as soon as it can.
    let killed: Vec<_> = nodes.drain(senders / SPARED..).collect();
    let back: Vec<_> = std::thread::scope(|scope| {
        let back: Vec<_> = killed
            .into_iter()
            .zip(&places[senders / SPARED..])
            .map(|(node, place)| {
                let after = Duration::from_micros(rng.u64(..1_000_000));
                scope.spawn(move || {
                    std::thread::sleep(after);
                    *place.lock().unwrap_or_else(std::sync::PoisonError::into_inner) = None;
                    let node = node.kill_and_restart_after(|| std::thread::sleep(Duration::from_millis(600)));
                    *place.lock().unwrap_or_else(std::sync::PoisonError::into_inner) = Some(node.address);
                    node
                })
            })
            .collect();
        back.into_iter().filter_map(|node| node.join().ok()).collect()
    });
    nodes.extend(back);
    std::thread::sleep(Duration::from_secs(SECONDS).saturating_sub(limited.now().saturating_sub(offset)));
    let said: Vec<_> = loads.into_iter().map(Load::stop).collect();
    std::thread::sleep(Duration::from_secs(13));
    let (messages, told) = (limited.messages(), notices.all());
    let mut came = Came { list_calls: platform.list_request_counts(), ..Came::default() };
    for (id, message) in said.into_iter().flatten() {
        let at = offset + message.at;
        let of = messages.get(&id).copied().unwrap_or_default();
        let worth_of = worth(&message, of.at.map(|end| end.saturating_sub(at)));
        let full = worth(&message, Some(Duration::ZERO));
        (came.asked, came.worth) = (came.asked + full, came.worth + worth_of);
        if (released..released + Duration::from_secs(10)).contains(&at) {
            (came.asked_after, came.worth_after) = (came.asked_after + full, came.worth_after + worth_of);
        }
        came.twice += usize::from(message.class == "order" && of.ran > 1);
        match message.answer {
            ClientAnswer::Accepted if of.at.is_none() && !told.contains_key(&id) => came.lost += 1,
            ClientAnswer::Accepted if of.at.is_none() => {
                let back = told[&id].iter().any(|status| status == "deferred");
                if back { came.handed_back += 1 } else { came.failed += 1 }
            }
            ClientAnswer::Rejected => came.refused_at_the_door += 1,
            _ => {}
        }
    }
    for partner in limited.partners() {
        came.calls += partner.count.calls;
        came.refused += partner.count.refused;
        came.down += partner.count.failed;
        came.pushed = came.pushed.max(partner.overload);
    }
    drop(nodes);
    Ok(came)
}

fn run(options: &Options) -> Result<String, String> {
    let senders = options.senders.unwrap_or(if options.short { 12 } else { 48 }).max(SPARED);
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    println!(
        "{cores} cores, {senders} senders, {} partners, one of them down from {} s to {} s",
        LIMITS.len(),
        DOWN.1.0,
        DOWN.1.1
    );
    let mut runs = Vec::new();
    for known in [true, false] {
        let came = play(options.seed(), senders, known)?;
        println!(
            "{}: worth {:.3} of what was asked for, {:.3} of that of the ten seconds after the release; {} refused at the door, \
             {} handed back, {} failed; {} calls, {} refused, {} at the one that was down, {:.2} of what a cold one bears; list \
             calls {} answered, {} turned away; {} without an end, {} orders twice",
            if known { "with what was learnt" } else { "without" },
            came.worth / came.asked,
            came.worth_after / came.asked_after,
            came.refused_at_the_door,
            came.handed_back,
            came.failed,
            came.calls,
            came.refused,
            came.down,
            came.pushed,
            came.list_calls.0,
            came.list_calls.1,
            came.lost,
            came.twice
        );
        runs.push(came);
    }
    let (with, without) = (runs[0], runs[1]);
    if with.lost + without.lost + with.twice + without.twice > 0 {
        return Err("a message has no end, or took effect twice".into());
    }
    if with.pushed > 1.0 {
        return Err(format!("a cold partner got {:.2} of what it bears", with.pushed));
    }
    Ok(format!(
        "{senders} senders on {cores} cores; worth {:.3} with and {:.3} without, calls at the partner that was down {} and {}, \
         refused {} and {}",
        with.worth / with.asked,
        without.worth / without.asked,
        with.down,
        without.down,
        with.refused,
        without.refused
    ))
}
