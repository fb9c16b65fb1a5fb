//! A real sender that is killed at random moments while its journal compacts, with the disk full in some rounds.

use std::collections::HashMap;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde_json::json;
use test_doubles::{Behavior, ClientAnswer, Load, Node, Notifications, Partner, Plan, Platform, listing};

use crate::scenario::{Ends, Options, Scenario, program};

/// The scenario.
pub const SCENARIO: Scenario = Scenario {
    name: "compaction-kills",
    about: "a sender killed at --points random moments (1000) while its journal compacts, its disk full in some",
    run,
};

/// The journal's room: segments of some 9 kB, so that hardly a moment is without compaction.
const DISK_MB: f64 = 0.15;
/// Blocks of 512 bytes beyond which no file grows in the rounds in which the disk is full.
const FULL_BLOCKS: u32 = 18;

/// The number of the newest segment: each that came before it was compacted away, or is one of the last.
fn newest(state: &Path) -> u64 {
    let names = std::fs::read_dir(state).into_iter().flatten().flatten();
    let numbers =
        names.filter_map(|entry| entry.file_name().to_str()?.strip_prefix("journal-")?.parse().ok());
    numbers.max().unwrap_or(0)
}

fn run(options: &Options) -> Result<String, String> {
    let points = options.points.unwrap_or(if options.short { 20 } else { 1_000 });
    let mut rng = fastrand::Rng::with_seed(options.seed());
    let mut platform = Platform::new();
    let notices = Notifications::collect(&mut platform);
    let well = |ms| Behavior::Healthy(Duration::from_millis(ms));
    let partners = [Partner::new(well(2)), Partner::new(well(30)), Partner::new(well(5))];
    let endpoints: Vec<_> = partners
        .iter()
        .zip(7..)
        .map(|(p, dest)| listing(&format!("e{dest}"), dest, "plain", p.address))
        .collect();
    let mut node = Node::start(&program(), &platform, &endpoints, |config| {
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
    let place = Arc::new(Mutex::new(Some(node.address)));
    let load = Load::start(&plan, &place);
    let effects = || partners.iter().flat_map(Partner::effects).collect::<HashMap<_, _>>();
    let mut full = 0;
    for point in 1..=points {
        std::thread::sleep(Duration::from_millis(rng.u64(5..120)));
        // One partner takes its turn at being ill, so that there is always something that may have run.
        let ill = [Behavior::Silent, Behavior::Failing, Behavior::Rejecting, well(5)];
        partners[2].set(ill[rng.usize(..ill.len())]);
        let blocks = (rng.u8(..8) == 0).then(|| rng.u32(1..FULL_BLOCKS));
        full += usize::from(blocks.is_some());
        *place.lock().map_err(|e| e.to_string())? = None;
        node = node.kill_and_restart_with(blocks);
        *place.lock().map_err(|e| e.to_string())? = Some(node.address);
        if point % 50 == 0 || point == points {
            let tally = load.tally();
            let heard = |heard| tally.get(&heard).copied().unwrap_or_default();
            println!(
                "{point:>5} kills, {full} with a full disk after them: {} taken on, {} refused, {} failed, {} unheard; \
                 segment {}",
                heard(ClientAnswer::Accepted),
                heard(ClientAnswer::Rejected),
                heard(ClientAnswer::Failed),
                heard(ClientAnswer::NoAnswer),
                newest(&node.state()),
            );
        }
    }
    node = node.kill_and_restart();
    *place.lock().map_err(|e| e.to_string())? = Some(node.address);
    partners[2].set(well(5));
    let said = load.stop();
    let patience = Duration::from_millis(u64::from(plan.within_ms) + 3_000);
    let ends = Ends::wait(patience, || Ends::of(&said, &effects(), &notices.all()));
    let segments = newest(&node.state());
    let slowest = said
        .values()
        .filter(|m| m.answer == ClientAnswer::Accepted)
        .map(|m| m.latency)
        .max()
        .unwrap_or_default();
    let orders = said.values().filter(|m| m.class == "order" && m.answer == ClientAnswer::Accepted).count();
    let damaged = node.log().iter().any(|line| line.contains("damaged"));
    if !ends.lost.is_empty() || !ends.twice.is_empty() || damaged {
        let some = |ids: &[String]| ids.iter().take(5).cloned().collect::<Vec<_>>();
        return Err(format!(
            "of {} taken on {} have no end (as {:?}), {} orders took effect twice (as {:?}), damage told: {damaged}",
            ends.delivered + ends.noticed + ends.lost.len(),
            ends.lost.len(),
            some(&ends.lost),
            ends.twice.len(),
            some(&ends.twice),
        ));
    }
    if orders == 0 || ends.delivered == 0 || ends.noticed == 0 || segments < points as u64 / 4 {
        return Err(format!("{orders} orders, {ends:?}, {segments} segments: too little came to pass"));
    }
    Ok(format!(
        "{points} kills, {full} rounds with a full disk, {segments} segments; {} messages taken on ({orders} orders), \
         {} delivered, {} ended by a notice, none without an end, no order applied twice; slowest 202 after {} ms",
        ends.delivered + ends.noticed,
        ends.delivered,
        ends.noticed,
        slowest.as_millis(),
    ))
}
