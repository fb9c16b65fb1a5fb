//! Demonstration of a sender with four partners, one of which fails half-way while another rejects calls from time to time.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use test_doubles::{Behavior, ClientAnswer, Load, Node, Notifications, Partner, Plan, Platform, listing};

use crate::scenario::{Options, Outcomes, Scenario, sender_program};

/// Scenario `demo`: output for people.
pub const SCENARIO: Scenario = Scenario {
    name: "demo",
    about: "a sender between clients and partners, one of which fails: counts for each second, then the totals",
    run,
};

/// Behavior of a healthy partner.
const HEALTHY: Behavior = Behavior::Healthy(Duration::from_millis(10));

fn run(options: &Options) -> Result<String, String> {
    let seconds: u64 = if options.short { 4 } else { 20 };
    let mut platform = Platform::new();
    let notifications = Notifications::collect(&mut platform);
    let partners: Vec<Partner> = (0..4).map(|_| Partner::new(HEALTHY)).collect();
    let endpoints: Vec<_> = partners
        .iter()
        .zip(7..)
        .map(|(p, dest)| listing(&format!("e{dest}"), dest, "plain", p.address))
        .collect();
    let folder = tempfile::tempdir().map_err(|e| e.to_string())?;
    let operators = folder.path().join("operators.toml");
    std::fs::write(&operators, "[status]\nevery = \"200ms\"\n").map_err(|e| e.to_string())?;
    let sender_program = sender_program().arg("--operators").arg(&operators);
    let node = Node::start(&sender_program, &platform, &endpoints, |_| {});
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
        "partners 7 to 10, 80 messages per second; 8 fails half-way, 10 rejects calls for a third of the time"
    );
    println!(
        "{:>6} {:>8} {:>10} {:>8} {:>7} {:>7}  open breakers",
        "second", "accepted", "delivered", "rejected", "failed", "pending"
    );
    let load = Load::start(&plan, &Arc::new(Mutex::new(Some(node.address))));
    let started = Instant::now();
    let effects = || partners.iter().flat_map(Partner::effects).collect::<HashMap<_, _>>();
    for second in 1..=seconds {
        std::thread::sleep((started + Duration::from_secs(second)).saturating_duration_since(Instant::now()));
        if second == seconds / 2 {
            partners[1].set(Behavior::Failing);
        }
        partners[3].set(if second % 6 < 2 { Behavior::Rejecting } else { HEALTHY });
        let tally = load.tally();
        let statuses: Vec<String> =
            notifications.all().into_values().filter_map(|statuses| statuses.into_iter().next()).collect();
        let count = |answer, status: &str| {
            tally.get(&answer).copied().unwrap_or_default()
                + statuses.iter().filter(|notified| *notified == status).count()
        };
        let delivered = effects().values().filter(|e| e.answered > 0).count();
        let status =
            node.log().into_iter().rev().find(|line| line.starts_with("status ")).unwrap_or_default();
        let field = |name: &str| {
            let value = status.split(name).nth(1).unwrap_or("?").to_owned();
            if name == "open=" { value } else { value.split(' ').next().unwrap_or_default().to_owned() }
        };
        println!(
            "{second:>6} {:>8} {delivered:>10} {:>8} {:>7} {:>7}  {}",
            tally.get(&ClientAnswer::Accepted).copied().unwrap_or_default(),
            count(ClientAnswer::Rejected, "deferred"),
            count(ClientAnswer::Failed, "undeliverable"),
            field("held="),
            field("open="),
        );
    }
    let submissions = load.stop();
    // A pending message has its outcome by its deadline at the latest, and the notification is due 300 ms later.
    let timeout = Duration::from_millis(u64::from(plan.within_ms) + 1_000);
    let outcomes =
        Outcomes::wait(timeout, || Outcomes::count(&submissions, &effects(), &notifications.all()));
    let unanswered = submissions.values().filter(|m| m.answer == ClientAnswer::NoAnswer).count();
    if !outcomes.lost.is_empty() || !outcomes.duplicated.is_empty() || unanswered > 0 {
        return Err(format!(
            "without an outcome {:?}, twice {:?}, {unanswered} submissions without a response",
            outcomes.lost, outcomes.duplicated
        ));
    }
    if outcomes.delivered == 0 || outcomes.notified == 0 {
        return Err(format!(
            "{} delivered and {} ended by a notification: too few for a demonstration",
            outcomes.delivered, outcomes.notified
        ));
    }
    Ok(format!(
        "{} submitted, {} delivered, {} ended by a notification, none lost, no order twice",
        submissions.len(),
        outcomes.delivered,
        outcomes.notified
    ))
}
