//! Kills a real sender at random moments while its journal compacts, with a full disk in some rounds.

use std::collections::HashMap;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde_json::json;
use test_doubles::{Behavior, ClientAnswer, Load, Node, Notifications, Partner, Plan, Platform, listing};

use crate::scenario::{Options, Outcomes, Scenario, sender_program};

/// Scenario `compaction-kills`: crashes during compaction.
pub const SCENARIO: Scenario = Scenario {
    name: "compaction-kills",
    about: "a sender killed at --points random moments (1000) while its journal compacts, in some rounds with a full disk",
    run,
};

/// Disk limit of the journal: it leads to segments of about 9 kB, so that compaction runs nearly all the time.
const DISK_MB: f64 = 0.15;
/// Upper bound of the file size limit, in blocks of 512 bytes, in the rounds with a full disk.
const MAX_FILE_BLOCKS: u32 = 18;

/// Returns the number of the newest segment. All earlier segments were compacted, except for the most recent ones.
fn newest_segment(state: &Path) -> u64 {
    let names = std::fs::read_dir(state).into_iter().flatten().flatten();
    let numbers =
        names.filter_map(|entry| entry.file_name().to_str()?.strip_prefix("journal-")?.parse().ok());
    numbers.max().unwrap_or(0)
}

fn run(options: &Options) -> Result<String, String> {
    let kills = options.points.unwrap_or(if options.short { 20 } else { 1_000 });
    let mut rng = fastrand::Rng::with_seed(options.seed());
    let mut platform = Platform::new();
    let notifications = Notifications::collect(&mut platform);
    let healthy = |ms| Behavior::Healthy(Duration::from_millis(ms));
    let partners = [Partner::new(healthy(2)), Partner::new(healthy(30)), Partner::new(healthy(5))];
    let endpoints: Vec<_> = partners
        .iter()
        .zip(7..)
        .map(|(p, dest)| listing(&format!("e{dest}"), dest, "plain", p.address))
        .collect();
    let mut node = Node::start(&sender_program(), &platform, &endpoints, |config| {
        config["limits"]["disk_mb"] = json!(DISK_MB);
        config["settings"]["family_info"]["calls_out"] = json!(32);
        config["settings"]["limits"]["max_open"] = json!(300);
    });
    let plan = Plan {
        prefix: format!("{:x}", options.seed()),
        rate: 800,
        clients: 24,
        mix: vec![("order", 7), ("order", 8), ("note", 9), ("order", 9), ("order", 7)],
        body: 300,
        within_ms: 2_000,
    };
    let address_slot = Arc::new(Mutex::new(Some(node.address)));
    let load = Load::start(&plan, &address_slot);
    let effects = || partners.iter().flat_map(Partner::effects).collect::<HashMap<_, _>>();
    let mut full_disk_rounds = 0;
    for kill in 1..=kills {
        std::thread::sleep(Duration::from_millis(rng.u64(5..120)));
        // One partner is often unhealthy, so that there are always attempts that may have run.
        let behaviors = [Behavior::Silent, Behavior::Failing, Behavior::Rejecting, healthy(5)];
        partners[2].set(behaviors[rng.usize(..behaviors.len())]);
        let file_blocks = (rng.u8(..8) == 0).then(|| rng.u32(1..MAX_FILE_BLOCKS));
        full_disk_rounds += usize::from(file_blocks.is_some());
        *address_slot.lock().map_err(|e| e.to_string())? = None;
        node = node.kill_and_restart_with(file_blocks);
        *address_slot.lock().map_err(|e| e.to_string())? = Some(node.address);
        if kill % 50 == 0 || kill == kills {
            let tally = load.tally();
            let count_of = |answer| tally.get(&answer).copied().unwrap_or_default();
            println!(
                "{kill:>5} kills, {full_disk_rounds} with a full disk after them: {} accepted, {} rejected, {} failed, {} unanswered; \
                 segment {}",
                count_of(ClientAnswer::Accepted),
                count_of(ClientAnswer::Rejected),
                count_of(ClientAnswer::Failed),
                count_of(ClientAnswer::NoAnswer),
                newest_segment(&node.state()),
            );
        }
    }
    node = node.kill_and_restart();
    *address_slot.lock().map_err(|e| e.to_string())? = Some(node.address);
    partners[2].set(healthy(5));
    let submissions = load.stop();
    let timeout = Duration::from_millis(u64::from(plan.within_ms) + 3_000);
    let outcomes =
        Outcomes::wait(timeout, || Outcomes::count(&submissions, &effects(), &notifications.all()));
    let segments = newest_segment(&node.state());
    let slowest = submissions
        .values()
        .filter(|m| m.answer == ClientAnswer::Accepted)
        .map(|m| m.latency)
        .max()
        .unwrap_or_default();
    let orders =
        submissions.values().filter(|m| m.class == "order" && m.answer == ClientAnswer::Accepted).count();
    let damaged = node.log().iter().any(|line| line.contains("damaged"));
    if !outcomes.lost.is_empty() || !outcomes.duplicated.is_empty() || damaged {
        let some = |ids: &[String]| ids.iter().take(5).cloned().collect::<Vec<_>>();
        return Err(format!(
            "of {} accepted messages {} have no outcome (such as {:?}), {} orders took effect twice (such as {:?}), damage logged: {damaged}",
            outcomes.delivered + outcomes.notified + outcomes.lost.len(),
            outcomes.lost.len(),
            some(&outcomes.lost),
            outcomes.duplicated.len(),
            some(&outcomes.duplicated),
        ));
    }
    if orders == 0 || outcomes.delivered == 0 || outcomes.notified == 0 || segments < kills as u64 / 4 {
        return Err(format!("{orders} orders, {outcomes:?}, {segments} segments: too few for a verdict"));
    }
    Ok(format!(
        "{kills} kills, {full_disk_rounds} rounds with a full disk, {segments} segments; {} messages accepted ({orders} orders), \
         {} delivered, {} ended by a notification, none without an outcome, no order applied twice; slowest 202 after {} ms",
        outcomes.delivered + outcomes.notified,
        outcomes.delivered,
        outcomes.notified,
        slowest.as_millis(),
    ))
}
