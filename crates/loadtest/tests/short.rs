//! The scenarios' short forms.

use std::process::Command;
use std::sync::{PoisonError, RwLock};

/// What counts moments runs alone: guards its verdict against the others' load.
static MACHINE: RwLock<()> = RwLock::new(());

/// Runs one, and tells its last line.
fn last_line(arguments: &[&str]) -> String {
    let _shared = MACHINE.read().unwrap_or_else(PoisonError::into_inner);
    run(arguments)
}

/// The same with nothing else running here.
fn last_line_alone(arguments: &[&str]) -> String {
    let _alone = MACHINE.write().unwrap_or_else(PoisonError::into_inner);
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
fn the_demo_holds() {
    let last = last_line(&["demo", "--short"]);
    assert!(last.starts_with("held: "), "{last}");
}

#[test]
fn a_name_that_is_not_known_is_told() {
    let last = last_line(&["none"]);
    assert!(last.starts_with("broken: ") && last.contains("loadtest list"), "{last}");
}

#[test]
fn a_sender_that_is_killed_while_it_compacts_loses_nothing_and_applies_nothing_twice() {
    let last = last_line(&["compaction-kills", "--short"]);
    assert!(last.starts_with("held: "), "{last}");
}

#[test]
fn the_journal_bench_runs() {
    let last = last_line(&["journal-bench", "--short"]);
    assert!(last.starts_with("held: "), "{last}");
}

#[test]
fn messages_pass_a_sender_and_a_proxy() {
    let last = last_line(&["throughput", "--short"]);
    assert!(last.starts_with("held: "), "{last}");
}

#[test]
fn waits_of_sleepers_outlast_kills() {
    let last = last_line(&["idle", "--destinations", "1000", "--restarts", "4"]);
    assert!(last.starts_with("held: "), "{last}");
}

#[test]
fn what_is_known_costs_little() {
    let last = last_line(&["known-cost", "--short"]);
    assert!(last.starts_with("held: "), "{last}");
}

#[test]
fn a_fleet_that_is_killed_loses_nothing() {
    let last = last_line(&["herd", "--short"]);
    assert!(last.starts_with("held: "), "{last}");
}

#[test]
fn whatever_ends_nothing_is_left_owed() {
    let last = last_line(&["endings", "--short"]);
    assert!(last.starts_with("held: "), "{last}");
}

#[test]
fn hand_overs_under_fire_lose_nothing_and_apply_nothing_twice() {
    let last = last_line(&["upgrade-kills", "--short"]);
    assert!(last.starts_with("held: "), "{last}");
}

#[test]
fn several_cores_keep_waits_limits_and_shares_together() {
    let last = last_line_alone(&["cores", "--short"]);
    assert!(last.starts_with("held: "), "{last}");
}

#[test]
fn cores_that_move_destinations_and_are_killed_lose_nothing_and_apply_nothing_twice() {
    let last = last_line(&["cores-kills", "--short"]);
    assert!(last.starts_with("held: "), "{last}");
}

#[test]
fn sleepers_wake_within_their_waits_and_one_call_first() {
    let last = last_line(&["idle", "--short"]);
    assert!(last.starts_with("held: "), "{last}");
}
