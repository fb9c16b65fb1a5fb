//! Short forms of the scenarios.

use std::process::Command;
use std::sync::{PoisonError, RwLock};

/// Held exclusively by a test whose result depends on timing, so that the load of other tests does not falsify it; held shared by
/// the others.
static MACHINE_LOCK: RwLock<()> = RwLock::new(());

/// Runs a scenario and returns the last line of its output.
fn last_line(arguments: &[&str]) -> String {
    let _shared = MACHINE_LOCK.read().unwrap_or_else(PoisonError::into_inner);
    run(arguments)
}

/// Runs a scenario while no other test of this file runs, and returns the last line of its output.
fn last_line_exclusive(arguments: &[&str]) -> String {
    let _exclusive = MACHINE_LOCK.write().unwrap_or_else(PoisonError::into_inner);
    run(arguments)
}

fn run(arguments: &[&str]) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_loadtest")).args(arguments).output().unwrap();
    let text = String::from_utf8(output.stdout).unwrap();
    let last = text.lines().last().unwrap_or_default().to_owned();
    assert_eq!(output.status.success(), last.starts_with("held: "), "{text}");
    last
}

#[test]
fn demo_passes() {
    let last = last_line(&["demo", "--short"]);
    assert!(last.starts_with("held: "), "{last}");
}

#[test]
fn reports_unknown_scenario_name() {
    let last = last_line(&["none"]);
    assert!(last.starts_with("broken: ") && last.contains("loadtest list"), "{last}");
}

#[test]
fn kills_during_compaction_lose_and_duplicate_no_message() {
    let last = last_line(&["compaction-kills", "--short"]);
    assert!(last.starts_with("held: "), "{last}");
}

#[test]
fn journal_bench_passes() {
    let last = last_line(&["journal-bench", "--short"]);
    assert!(last.starts_with("held: "), "{last}");
}

#[test]
fn throughput_of_sender_and_proxy_is_measured() {
    let last = last_line(&["throughput", "--short"]);
    assert!(last.starts_with("held: "), "{last}");
}

#[test]
fn retry_after_of_idle_destinations_survives_kills() {
    let last = last_line(&["idle", "--destinations", "1000", "--restarts", "4"]);
    assert!(last.starts_with("held: "), "{last}");
}

#[test]
fn health_snapshot_cost_is_measured() {
    let last = last_line(&["known-cost", "--short"]);
    assert!(last.starts_with("held: "), "{last}");
}

#[test]
fn killed_fleet_loses_no_message() {
    let last = last_line(&["herd", "--short"]);
    assert!(last.starts_with("held: "), "{last}");
}

#[test]
fn each_message_has_one_outcome_after_random_faults() {
    let last = last_line(&["endings", "--short"]);
    assert!(last.starts_with("held: "), "{last}");
}

#[test]
fn faults_during_hand_overs_lose_and_duplicate_no_message() {
    let last = last_line(&["upgrade-kills", "--short"]);
    assert!(last.starts_with("held: "), "{last}");
}

#[test]
fn several_cores_respect_waits_limits_and_quota_shares() {
    let last = last_line_exclusive(&["cores", "--short"]);
    assert!(last.starts_with("held: "), "{last}");
}

#[test]
fn kills_with_moving_destinations_lose_and_duplicate_no_message() {
    let last = last_line(&["cores-kills", "--short"]);
    assert!(last.starts_with("held: "), "{last}");
}

#[test]
fn idle_destinations_respect_waits_and_activate_with_one_call() {
    let last = last_line(&["idle", "--short"]);
    assert!(last.starts_with("held: "), "{last}");
}
