//! What a sender learnt is known to its next process.

use std::process::Command;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use tempfile::TempDir;
use test_doubles::*;

use super::program;

/// Starts a sender that keeps what it learns, with that in the table besides.
fn start(
    platform: &Platform,
    listed: &[Value],
    table: &str,
    change: impl FnOnce(&mut Value),
) -> (Node, TempDir) {
    let folder = tempfile::tempdir().unwrap();
    let operators = folder.path().join("operators.toml");
    std::fs::write(&operators, format!("[known]\non = true\n{table}")).unwrap();
    (Node::start(&program().arg("--operators").arg(operators), platform, listed, change), folder)
}

fn show(node: &Node) -> String {
    let output = Command::new(program().path).args(["known", "show"]).arg(node.state()).output().unwrap();
    assert!(output.status.success(), "{output:?}");
    String::from_utf8(output.stdout).unwrap()
}

/// Guards a partner that told a wait against a process that was killed meanwhile.
#[test]
fn a_wait_that_was_told_outlasts_a_kill() {
    let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
    let (node, _folder) =
        start(&platform, &[listing("e1", 7, "plain", endpoint.address)], "clock = \"boot\"\n", |_| {});
    assert_eq!(node.submit("a", "order", 7, 20_000).status(), 202);
    let told = Instant::now();
    endpoint.next().reply(Reply::Answer(429, vec![("retry-after", "2.5".into())], "".into()));
    wait_until(|| show(&node).contains("destination 7, ") && show(&node).contains("a wait runs for 2."));
    let node = node.kill_and_restart();
    assert_eq!(node.submit("b", "order", 7, 20_000).status(), 202);
    let first = endpoint.next();
    assert!(told.elapsed() >= Duration::from_millis(2_450), "{:?}", told.elapsed());
    first.reply(status(200));
}

/// Guards a partner that is down against all that a process would make to find out.
#[test]
fn a_partner_that_was_down_gets_one_call_from_the_next_process() {
    let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
    let (node, _folder) =
        start(&platform, &[listing("e1", 7, "plain", endpoint.address)], "clock = \"boot\"\n", |_| {});
    for n in 0..5 {
        assert_eq!(node.submit(&format!("a{n}"), "note", 7, 20_000).status(), 202);
    }
    for _ in 0..5 {
        endpoint.next().reply(status(500));
    }
    wait_until(|| show(&node).contains("it was ill"));
    // What the killed process had out is none of the next one's.
    let node = node.kill_and_restart_after(|| while endpoint.has_unread_request() {});
    for n in 0..5 {
        assert_eq!(node.submit(&format!("b{n}"), "note", 7, 20_000).status(), 202);
    }
    let trial = endpoint.next();
    std::thread::sleep(Duration::from_millis(300));
    assert!(!endpoint.has_unread_request(), "one call at a time");
    trial.reply(status(200));
    endpoint.next().reply(status(200));
}

/// Guards an endpoint that drains: the configuration's list is older than what the process before was told.
#[test]
fn a_drain_that_was_told_is_known_while_discovery_is_silent() {
    let (platform, leaves, stays) = (Platform::new(), ScriptedServer::new(), ScriptedServer::new());
    let mut listed = [listing("e1", 7, "plain", leaves.address), listing("e2", 7, "plain", stays.address)];
    let (node, _folder) = start(&platform, &listed, "", |_| {});
    listed[0]["status"] = json!("leaving");
    let index = platform.publish(&listed);
    wait_until(|| show(&node).contains("e1: Draining"));
    while platform.watched.try_recv().is_ok() {}
    let node = node.kill_and_restart();
    for n in 0..6 {
        assert_eq!(node.submit(&format!("a{n}"), "order", 7, 20_000).status(), 202);
        stays.next().reply(status(200));
    }
    assert!(!leaves.has_unread_request());
    let path = platform.watched.recv_timeout(TIMEOUT).unwrap();
    assert!(path.contains(&format!("from={index}&")), "{path}: it goes on from the newest that is known");
}

#[test]
fn without_the_table_nothing_is_kept() {
    let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
    let node = Node::start(&program(), &platform, &[listing("e1", 7, "plain", endpoint.address)], |_| {});
    for id in ["a", "b"] {
        assert_eq!(node.submit(id, "order", 7, 20_000).status(), 202);
        endpoint.next().reply(status(200));
    }
    assert_eq!(node.length_of("known-"), 0);
    assert!(show(&node).contains("nothing is known"));
}

/// Guards what is owed to messages: what is known makes room for it, and comes again when there is some.
#[test]
fn its_room_is_given_back_to_the_journal() {
    let (platform, endpoint) = (Platform::new(), Partner::new(Behavior::Healthy(Duration::ZERO)));
    let listed: Vec<_> = (7..307).map(|d| listing(&format!("e{d}"), d, "plain", endpoint.address)).collect();
    let limit = 64_000;
    let (node, _folder) = start(&platform, &listed, "size = \"48KiB\"\n", |config| {
        config["limits"]["disk_mb"] = json!(0.064);
        config["settings"]["limits"]["max_open"] = json!(10_000);
    });
    wait_until(|| node.length_of("known-") > 0);
    let mut taken = 0;
    let mut gone = false;
    for n in 0..300 {
        let answer = node.ask(&submission_with(&format!("m{n}"), "note", 7, 20_000, &[b'x'; 8_000]));
        taken += usize::from(answer.status() == 202);
        let used: u64 = std::fs::read_dir(node.state())
            .unwrap()
            .filter_map(|file| Some(file.ok()?.metadata().ok()?.len().next_multiple_of(512)))
            .sum();
        assert!(used <= limit, "{used} bytes of {limit}");
        gone |= node.length_of("known-") == 0;
        if gone {
            break;
        }
    }
    assert!(taken > 3, "{taken} taken on");
    assert!(gone, "the journal has needed it");
}
