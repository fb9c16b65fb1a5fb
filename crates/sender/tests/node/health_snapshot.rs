//! The health snapshot: a process starts with the observations of destinations and endpoints that the previous process saved.

use std::process::Command;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use tempfile::TempDir;
use test_doubles::*;

use super::program;

/// Starts a sender that writes a health snapshot, with these further settings in that table.
fn start(
    platform: &Platform,
    endpoints: &[Value],
    extra_settings: &str,
    change: impl FnOnce(&mut Value),
) -> (Node, TempDir) {
    let folder = tempfile::tempdir().unwrap();
    let operators_file = folder.path().join("operators.toml");
    std::fs::write(&operators_file, format!("[known]\non = true\n{extra_settings}")).unwrap();
    (Node::start(&program().arg("--operators").arg(operators_file), platform, endpoints, change), folder)
}

fn show_snapshot(node: &Node) -> String {
    let output = Command::new(program().path).args(["known", "show"]).arg(node.state()).output().unwrap();
    assert!(output.status.success(), "{output:?}");
    String::from_utf8(output.stdout).unwrap()
}

/// A destination's Retry-After (here 2.5 s) must bind the next process when the sender is killed during the wait.
#[test]
fn retry_after_outlasts_a_kill() {
    let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
    let (node, _folder) =
        start(&platform, &[listing("e1", 7, "plain", endpoint.address)], "clock = \"boot\"\n", |_| {});
    assert_eq!(node.submit("a", "order", 7, 20_000).status(), 202);
    let replied_at = Instant::now();
    endpoint.next().reply(Reply::Answer(429, vec![("retry-after", "2.5".into())], "".into()));
    wait_until(|| {
        show_snapshot(&node).contains("destination 7, ")
            && show_snapshot(&node).contains("a wait runs for 2.")
    });
    let node = node.kill_and_restart();
    assert_eq!(node.submit("b", "order", 7, 20_000).status(), 202);
    let call = endpoint.next();
    assert!(replied_at.elapsed() >= Duration::from_millis(2_450), "{:?}", replied_at.elapsed());
    call.reply(status(200));
}

/// A destination that was down before a restart must get one trial call at a time, not all the calls that a process without a
/// snapshot would make until it detects the outage.
#[test]
fn destination_that_was_down_gets_one_trial_call_after_restart() {
    let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
    let (node, _folder) =
        start(&platform, &[listing("e1", 7, "plain", endpoint.address)], "clock = \"boot\"\n", |_| {});
    for n in 0..5 {
        assert_eq!(node.submit(&format!("a{n}"), "note", 7, 20_000).status(), 202);
    }
    for _ in 0..5 {
        endpoint.next().reply(status(500));
    }
    wait_until(|| show_snapshot(&node).contains("it was ill"));
    // Calls of the killed process must not count as the next one's.
    let node = node.kill_and_restart_after(|| while endpoint.has_unread_request() {});
    for n in 0..5 {
        assert_eq!(node.submit(&format!("b{n}"), "note", 7, 20_000).status(), 202);
    }
    let trial = endpoint.next();
    std::thread::sleep(Duration::from_millis(300));
    assert!(!endpoint.has_unread_request(), "one trial call at a time");
    trial.reply(status(200));
    endpoint.next().reply(status(200));
}

/// An endpoint must stay draining although the list in the configuration is older than the one that the previous process had
/// received.
#[test]
fn draining_state_is_restored_before_discovery_answers() {
    let (platform, draining_endpoint, active_endpoint) =
        (Platform::new(), ScriptedServer::new(), ScriptedServer::new());
    let mut entries = [
        listing("e1", 7, "plain", draining_endpoint.address),
        listing("e2", 7, "plain", active_endpoint.address),
    ];
    let (node, _folder) = start(&platform, &entries, "", |_| {});
    entries[0]["status"] = json!("leaving");
    let version = platform.publish(&entries);
    wait_until(|| show_snapshot(&node).contains("e1: Draining"));
    while platform.watched.try_recv().is_ok() {}
    let node = node.kill_and_restart();
    for n in 0..6 {
        assert_eq!(node.submit(&format!("a{n}"), "order", 7, 20_000).status(), 202);
        active_endpoint.next().reply(status(200));
    }
    assert!(!draining_endpoint.has_unread_request());
    let path = platform.watched.recv_timeout(TIMEOUT).unwrap();
    assert!(
        path.contains(&format!("from={version}&")),
        "{path}: the watch resumes from the latest known list version"
    );
}

#[test]
fn no_snapshot_without_the_setting() {
    let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
    let node = Node::start(&program(), &platform, &[listing("e1", 7, "plain", endpoint.address)], |_| {});
    for id in ["a", "b"] {
        assert_eq!(node.submit(id, "order", 7, 20_000).status(), 202);
        endpoint.next().reply(status(200));
    }
    assert_eq!(node.length_of("known-"), 0);
    assert!(show_snapshot(&node).contains("nothing is known"));
}

/// The journal has priority on the disk: the snapshot is removed to make room for messages, and is written again when there is
/// space.
#[test]
fn snapshot_releases_its_space_for_the_journal() {
    let (platform, endpoint) = (Platform::new(), Partner::new(Behavior::Healthy(Duration::ZERO)));
    let endpoints: Vec<_> =
        (7..307).map(|d| listing(&format!("e{d}"), d, "plain", endpoint.address)).collect();
    let limit = 64_000;
    let (node, _folder) = start(&platform, &endpoints, "size = \"48KiB\"\n", |config| {
        config["limits"]["disk_mb"] = json!(0.064);
        config["settings"]["limits"]["max_open"] = json!(10_000);
    });
    wait_until(|| node.length_of("known-") > 0);
    let mut accepted = 0;
    let mut snapshot_removed = false;
    for n in 0..300 {
        let answer = node.ask(&submission_with(&format!("m{n}"), "note", 7, 20_000, &[b'x'; 8_000]));
        accepted += usize::from(answer.status() == 202);
        let used: u64 = std::fs::read_dir(node.state())
            .unwrap()
            .filter_map(|file| Some(file.ok()?.metadata().ok()?.len().next_multiple_of(512)))
            .sum();
        assert!(used <= limit, "{used} bytes of {limit}");
        snapshot_removed |= node.length_of("known-") == 0;
        if snapshot_removed {
            break;
        }
    }
    assert!(accepted > 3, "{accepted} accepted");
    assert!(snapshot_removed, "the journal has needed the snapshot's space");
}
