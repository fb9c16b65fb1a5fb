//! Kills most of a fleet of real senders within one second, while discovery is overloaded and one partner is down. Runs once
//! with health snapshots and once without, and compares the two runs.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use fleet_sim::{LimitModel, Partner};
use serde_json::json;
use test_doubles::{ClientAnswer, Load, Node, Notifications, Plan, Platform, Submission, listing};

use crate::limited::LimitedPartners;
use crate::scenario::{Options, Scenario, sender_program};

/// Scenario `herd`: restart of most of a fleet.
pub const SCENARIO: Scenario = Scenario {
    name: "herd",
    about: "most of --senders (48) killed in one second, discovery overloaded, with health snapshots and without",
    run,
};

/// Limits of the partners, in calls per second. Every third partner accepts five messages in one call, the others one.
const PARTNER_LIMITS: [f64; 16] =
    [38.0, 26.0, 22.0, 14.0, 12.0, 11.0, 10.0, 9.0, 8.0, 8.0, 7.0, 6.5, 5.5, 5.0, 5.0, 4.0];
/// Offered load, as a fraction of the sum of the limits.
const LOAD_FACTOR: f64 = 0.6;
/// Index of the partner that is down, with the start and end of its outage in seconds.
const OUTAGE: (usize, (f64, f64)) = (1, (7.0, 12.0));
/// Time from the start of the load to the release, which kills most senders within one second.
const RELEASE_AFTER: Duration = Duration::from_secs(8);
/// The release leaves one sender out of this many running.
const SENDERS_PER_SURVIVOR: usize = 12;
/// Duration of the load, in seconds.
const LOAD_SECONDS: u64 = 24;
/// Latency objective after which the value of a message begins to fall.
const LATENCY_OBJECTIVE: Duration = Duration::from_secs(4);
/// Time that discovery takes for one endpoint list request.
const LIST_REQUEST_DURATION: Duration = Duration::from_millis(60);
/// Discovery rejects a list request that would have to wait longer than this.
const MAX_LIST_REQUEST_WAIT: Duration = Duration::from_secs(1);

/// Result of one run.
#[derive(Debug, Clone, Copy, Default)]
struct RunResult {
    /// Value of all submitted messages, had each been delivered at once.
    max_value: f64,
    /// Value of the messages as they were delivered.
    value: f64,
    /// The same two values for messages submitted within ten seconds after the release.
    max_value_after_release: f64,
    value_after_release: f64,
    rejected_messages: usize,
    deferred: usize,
    undeliverable: usize,
    calls: u32,
    rejected_calls: u32,
    /// Calls that failed because the partner was down.
    outage_calls: u32,
    /// Highest load at a partner in its slow start, as a fraction of the load at which it becomes overloaded.
    max_overload: f64,
    /// List requests that discovery answered, and those it rejected.
    list_calls: (u64, u64),
    /// Accepted messages with neither a delivery nor a notification.
    lost: usize,
    /// Non-idempotent messages that took effect more than once.
    duplicated: usize,
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
        outages: if at == OUTAGE.0 { vec![OUTAGE.1] } else { vec![] },
        ..Partner::default()
    };
    PARTNER_LIMITS.iter().enumerate().map(partner).collect()
}

/// Returns the value of a message delivered after this time: that of its class within the latency objective, then halved for each
/// further latency objective that passes, but at least 0.3 of it. A message that was not delivered has no value.
fn value(message: &Submission, after: Option<Duration>) -> f64 {
    let full = if message.class == "note" { 2.0 } else { 1.0 };
    let late = |after: Duration| (after.as_secs_f64() / LATENCY_OBJECTIVE.as_secs_f64() - 1.0).max(0.0);
    after.map_or(0.0, |after| full * 0.5f64.powf(late(after)).max(0.3))
}

fn run_once(seed: u64, senders: usize, with_snapshots: bool) -> Result<RunResult, String> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut platform = Platform::new();
    let notification_collector = Notifications::collect(&mut platform);
    let limited = LimitedPartners::new(partners())?;
    let endpoints: Vec<_> = limited
        .addresses
        .iter()
        .enumerate()
        .map(|(at, address)| {
            let mut entry =
                listing(&format!("e{at}"), at as u16, if at % 3 == 2 { "bulk" } else { "plain" }, *address);
            entry["weight"] = json!(PARTNER_LIMITS[at] * (0.8 + 0.4 * rng.f64()));
            entry
        })
        .collect();
    let folder = tempfile::tempdir().map_err(|e| e.to_string())?;
    let operators = folder.path().join("operators.toml");
    std::fs::write(&operators, if with_snapshots { "[known]\non = true\n" } else { "" })
        .map_err(|e| e.to_string())?;
    let sender_program = sender_program().arg("--operators").arg(&operators);
    platform.limit_list_capacity(LIST_REQUEST_DURATION, MAX_LIST_REQUEST_WAIT);
    let mut nodes: Vec<Node> = (0..senders)
        .map(|_| {
            Node::start(&sender_program, &platform, &endpoints, |config| {
                config["settings"]["balancers"] = json!(senders);
                config["settings"]["family_info"]["calls_out"] = json!(5);
                config["settings"]["weights"] = json!("rough");
            })
        })
        .collect();
    let rate: f64 = PARTNER_LIMITS.iter().sum::<f64>() * LOAD_FACTOR;
    // Partners receive messages in proportion to their limits.
    let mix: Vec<_> = (0..200)
        .map(|_| {
            let mut at = rng.f64() * PARTNER_LIMITS.iter().sum::<f64>();
            let partner = PARTNER_LIMITS.iter().position(|limit| {
                at -= limit;
                at < 0.0
            });
            (if rng.f64() < 0.7 { "note" } else { "order" }, partner.unwrap_or(0) as u16)
        })
        .collect();
    let address_slots: Vec<_> = nodes.iter().map(|node| Arc::new(Mutex::new(Some(node.address)))).collect();
    let offset = limited.now();
    let loads: Vec<_> = address_slots
        .iter()
        .enumerate()
        .map(|(at, address_slot)| {
            let mut mix = mix.clone();
            mix.rotate_left(at * 37 % 200);
            // One sender in six gets ten times the load of the others.
            let relative_load = if at % 6 == 0 { 4.0 } else { 0.4 };
            let prefix = format!("{seed:x}-{with_snapshots}-{at}");
            let plan = Plan { prefix, rate: 1, clients: 2, mix, body: 200, within_ms: 12_000 };
            let period = Duration::from_secs_f64(2.0 * senders as f64 / (rate * relative_load));
            Load::start_every(&plan, address_slot, period)
        })
        .collect();
    let release = RELEASE_AFTER.saturating_sub(limited.now().saturating_sub(offset));
    std::thread::sleep(release);
    let released = limited.now();
    // All are killed concurrently within one second, and each restarts as soon as it can.
    let killed: Vec<_> = nodes.drain(senders / SENDERS_PER_SURVIVOR..).collect();
    let restarted: Vec<_> = std::thread::scope(|scope| {
        let restarted: Vec<_> = killed
            .into_iter()
            .zip(&address_slots[senders / SENDERS_PER_SURVIVOR..])
            .map(|(node, address_slot)| {
                let after = Duration::from_micros(rng.u64(..1_000_000));
                scope.spawn(move || {
                    std::thread::sleep(after);
                    *address_slot.lock().unwrap_or_else(std::sync::PoisonError::into_inner) = None;
                    let node = node.kill_and_restart_after(|| std::thread::sleep(Duration::from_millis(600)));
                    *address_slot.lock().unwrap_or_else(std::sync::PoisonError::into_inner) =
                        Some(node.address);
                    node
                })
            })
            .collect();
        restarted.into_iter().filter_map(|node| node.join().ok()).collect()
    });
    nodes.extend(restarted);
    std::thread::sleep(
        Duration::from_secs(LOAD_SECONDS).saturating_sub(limited.now().saturating_sub(offset)),
    );
    let submissions: Vec<_> = loads.into_iter().map(Load::stop).collect();
    std::thread::sleep(Duration::from_secs(13));
    let (messages, notified) = (limited.messages(), notification_collector.all());
    let mut result = RunResult { list_calls: platform.list_request_counts(), ..RunResult::default() };
    for (id, message) in submissions.into_iter().flatten() {
        let at = offset + message.at;
        let effect = messages.get(&id).copied().unwrap_or_default();
        let actual_value = value(&message, effect.at.map(|end| end.saturating_sub(at)));
        let full = value(&message, Some(Duration::ZERO));
        (result.max_value, result.value) = (result.max_value + full, result.value + actual_value);
        if (released..released + Duration::from_secs(10)).contains(&at) {
            (result.max_value_after_release, result.value_after_release) =
                (result.max_value_after_release + full, result.value_after_release + actual_value);
        }
        result.duplicated += usize::from(message.class == "order" && effect.ran > 1);
        match message.answer {
            ClientAnswer::Accepted if effect.at.is_none() && !notified.contains_key(&id) => result.lost += 1,
            ClientAnswer::Accepted if effect.at.is_none() => {
                let deferred = notified[&id].iter().any(|status| status == "deferred");
                if deferred { result.deferred += 1 } else { result.undeliverable += 1 }
            }
            ClientAnswer::Rejected => result.rejected_messages += 1,
            _ => {}
        }
    }
    for partner in limited.partners() {
        result.calls += partner.count.calls;
        result.rejected_calls += partner.count.refused;
        result.outage_calls += partner.count.failed;
        result.max_overload = result.max_overload.max(partner.overload);
    }
    drop(nodes);
    Ok(result)
}

fn run(options: &Options) -> Result<String, String> {
    let senders = options.senders.unwrap_or(if options.short { 12 } else { 48 }).max(SENDERS_PER_SURVIVOR);
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    println!(
        "{cores} cores, {senders} senders, {} partners, one of them down from {} s to {} s",
        PARTNER_LIMITS.len(),
        OUTAGE.1.0,
        OUTAGE.1.1
    );
    let mut runs = Vec::new();
    for with_snapshots in [true, false] {
        let result = run_once(options.seed(), senders, with_snapshots)?;
        println!(
            "{}: value {:.3} of the maximum, {:.3} in the ten seconds after the release; {} messages rejected at submission, \
             {} deferred, {} undeliverable; {} calls, {} rejected, {} failed in the outage, {:.2} of what a cold partner bears; list \
             requests {} answered, {} rejected; {} messages without an outcome, {} orders delivered twice",
            if with_snapshots { "with health snapshots" } else { "without" },
            result.value / result.max_value,
            result.value_after_release / result.max_value_after_release,
            result.rejected_messages,
            result.deferred,
            result.undeliverable,
            result.calls,
            result.rejected_calls,
            result.outage_calls,
            result.max_overload,
            result.list_calls.0,
            result.list_calls.1,
            result.lost,
            result.duplicated
        );
        runs.push(result);
    }
    let (with, without) = (runs[0], runs[1]);
    if with.lost + without.lost + with.duplicated + without.duplicated > 0 {
        return Err("a message has no outcome, or took effect twice".into());
    }
    if with.max_overload > 1.0 {
        return Err(format!("a cold partner received {:.2} of the load that it can bear", with.max_overload));
    }
    Ok(format!(
        "{senders} senders on {cores} cores; value {:.3} with health snapshots and {:.3} without, failed calls to the partner that was down \
         {} and {}, rejected calls {} and {}",
        with.value / with.max_value,
        without.value / without.max_value,
        with.outage_calls,
        without.outage_calls,
        with.rejected_calls,
        without.rejected_calls
    ))
}
