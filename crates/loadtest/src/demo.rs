//! A sender at work, to be looked at: four partners, of which one falls ill half-way and one is full now and then.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use test_doubles::{Behavior, ClientAnswer, Load, Node, Notifications, Partner, Plan, Platform, listing};

use crate::scenario::{Ends, Options, Scenario, program};

/// The scenario.
pub const SCENARIO: Scenario = Scenario {
    name: "demo",
    about: "a sender between clients and partners, one of which falls ill: second by second, then in sum",
    run,
};

const WELL: Behavior = Behavior::Healthy(Duration::from_millis(10));

fn run(options: &Options) -> Result<String, String> {
    let seconds: u64 = if options.short { 4 } else { 20 };
    let mut platform = Platform::new();
    let notices = Notifications::collect(&mut platform);
    let partners: Vec<Partner> = (0..4).map(|_| Partner::new(WELL)).collect();
    let endpoints: Vec<_> = partners
        .iter()
        .zip(7..)
        .map(|(p, dest)| listing(&format!("e{dest}"), dest, "plain", p.address))
        .collect();
    let folder = tempfile::tempdir().map_err(|e| e.to_string())?;
    let operators = folder.path().join("operators.toml");
    std::fs::write(&operators, "[status]\nevery = \"200ms\"\n").map_err(|e| e.to_string())?;
    let program = program().arg("--operators").arg(&operators);
    let node = Node::start(&program, &platform, &endpoints, |_| {});
    let plan = Plan {
        prefix: format!("{:x}", options.seed()),
        rate: 80,
        clients: 8,
        mix: vec![
            ("note", 7),
            ("order", 8),
            ("note", 9),
            ("order", 7),
            ("note", 8),
            ("note", 10),
            ("order", 9),
        ],
        body: 200,
        within_ms: 4_000,
    };
    println!(
        "partners 7 to 10, 80 messages a second; 8 falls ill half-way, 10 is full for a third of the time"
    );
    println!(
        "{:>6} {:>7} {:>10} {:>8} {:>7} {:>7}  breakers open",
        "second", "taken", "delivered", "refused", "failed", "held"
    );
    let load = Load::start(&plan, &Arc::new(Mutex::new(Some(node.address))));
    let begun = Instant::now();
    let effects = || partners.iter().flat_map(Partner::effects).collect::<HashMap<_, _>>();
    for second in 1..=seconds {
        std::thread::sleep((begun + Duration::from_secs(second)).saturating_duration_since(Instant::now()));
        if second == seconds / 2 {
            partners[1].set(Behavior::Failing);
        }
        partners[3].set(if second % 6 < 2 { Behavior::Rejecting } else { WELL });
        let tally = load.tally();
        let told: Vec<String> =
            notices.all().into_values().filter_map(|said| said.into_iter().next()).collect();
        let count = |heard, status: &str| {
            tally.get(&heard).copied().unwrap_or_default()
                + told.iter().filter(|told| *told == status).count()
        };
        let delivered = effects().values().filter(|e| e.answered > 0).count();
        let status =
            node.log().into_iter().rev().find(|line| line.starts_with("status ")).unwrap_or_default();
        let field = |name: &str| {
            let at = status.split(name).nth(1).unwrap_or("?").to_owned();
            if name == "open=" { at } else { at.split(' ').next().unwrap_or_default().to_owned() }
        };
        println!(
            "{second:>6} {:>7} {delivered:>10} {:>8} {:>7} {:>7}  {}",
            tally.get(&ClientAnswer::Accepted).copied().unwrap_or_default(),
            count(ClientAnswer::Rejected, "deferred"),
            count(ClientAnswer::Failed, "undeliverable"),
            field("held="),
            field("open="),
        );
    }
    let said = load.stop();
    // What is held has its end at its deadline at the latest, and a notice is due 300 ms later.
    let patience = Duration::from_millis(u64::from(plan.within_ms) + 1_000);
    let ends = Ends::wait(patience, || Ends::of(&said, &effects(), &notices.all()));
    let nothing = said.values().filter(|m| m.answer == ClientAnswer::NoAnswer).count();
    if !ends.lost.is_empty() || !ends.twice.is_empty() || nothing > 0 {
        return Err(format!(
            "without an end {:?}, twice {:?}, {nothing} clients without an answer",
            ends.lost, ends.twice
        ));
    }
    if ends.delivered == 0 || ends.noticed == 0 {
        return Err(format!("{} delivered and {} told of: nothing was shown", ends.delivered, ends.noticed));
    }
    Ok(format!(
        "{} handed in, {} delivered, {} ended by a notice, none lost, no order twice",
        said.len(),
        ends.delivered,
        ends.noticed
    ))
}
