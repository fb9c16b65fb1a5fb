//! What the sender keeps, over restarts, damage, a full disk and a clock that was set back.

use super::program;
use serde_json::{Value, json};
use test_doubles::*;

/// Starts a sender whose operators' file says so.
fn start(platform: &Platform, endpoints: &[Value], operators: &str) -> (Node, tempfile::TempDir) {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("operators.toml");
    std::fs::write(&file, operators).unwrap();
    let program = program().arg("--operators").arg(&file);
    (Node::start(&program, platform, endpoints, |_| {}), folder)
}

fn look(node: &Node, command: &str) -> std::process::Output {
    let program = program();
    let mut look = std::process::Command::new(program.path);
    look.args(["journal", command]).arg(node.state()).output().unwrap()
}

fn lines(output: &std::process::Output) -> Vec<String> {
    String::from_utf8_lossy(&output.stdout).lines().map(str::to_owned).collect()
}

/// Guards an order against a second copy by the same id after a restart: it is told how it ended. What was handed back
/// unseen may come again.
#[test]
fn an_order_that_ended_is_told_its_end_after_a_restart() {
    let (platform, seven, eight) = (Platform::new(), ScriptedServer::new(), ScriptedServer::new());
    let known = [listing("e1", 7, "plain", seven.address), listing("e2", 8, "plain", eight.address)];
    let (node, _folder) = start(&platform, &known, "[journal]\nretain = \"1h\"\nledger = \"10kB\"\n");
    assert_eq!(node.submit("delivered", "order", 7, 20_000).status(), 202);
    seven.next().reply(status(200));
    assert_eq!(node.submit("failed", "order", 8, 20_000).status(), 202);
    eight.next().reply(status(500));
    assert_eq!(platform.answer_notification(204), [json!({"id": "failed", "status": "undeliverable"})]);
    assert_eq!(node.submit("note", "note", 7, 20_000).status(), 202);
    seven.next().reply(status(200));
    // Its end is written when nothing is owed any more.
    wait_until(|| {
        lines(&look(&node, "verify")).last().unwrap().starts_with("0 messages pending, 2 outcomes")
    });
    let node = node.kill_and_restart();
    assert_eq!(node.submit("delivered", "order", 7, 20_000).status(), 200);
    assert_eq!(node.submit("failed", "order", 8, 20_000).status(), 500);
    assert_eq!(node.submit("note", "note", 7, 20_000).status(), 202, "it may be repeated");
    assert_eq!(seven.next().http.headers["req-id"], "note");
    assert!(!seven.has_unread_request() && !eight.has_unread_request(), "no order is sent again");
}

#[test]
fn an_order_that_the_ledger_has_no_room_for_is_refused() {
    let platform = Platform::new();
    // Room for one entry: 20 bytes and its id.
    let (node, _folder) =
        start(&platform, &[draining("e0", 7)], "[journal]\nretain = \"1h\"\nledger = \"30B\"\n");
    assert_eq!(node.submit("one", "order", 7, 20_000).status(), 202);
    let refused = node.submit("two", "order", 7, 20_000);
    assert_eq!((refused.status(), refused.headers["retry-after"].as_str()), (503, "1.000"));
    assert_eq!(node.submit("three", "note", 7, 20_000).status(), 202);
}

/// Spoils a byte of the first segment.
fn spoil(node: &Node, at: u64) {
    let file = node.state().join("journal-000000000001");
    let mut bytes = std::fs::read(&file).unwrap();
    bytes[at as usize] ^= 1;
    std::fs::write(&file, bytes).unwrap();
}

/// Guards against damage that hides an attempt: what may be affected is not sent, and it is said.
#[test]
fn what_a_damaged_journal_may_hide_is_not_sent_again() {
    let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
    let node = Node::start(&program(), &platform, &[draining("e0", 7)], |_| {});
    assert_eq!(node.submit("early", "order", 7, 20_000).status(), 202);
    let from = node.journal_length();
    assert_eq!(node.submit("lost", "order", 7, 20_000).status(), 202);
    assert_eq!(node.submit("late", "order", 7, 20_000).status(), 202);
    spoil(&node, from + 40);
    let verified = look(&node, "verify");
    assert!(!verified.status.success());
    assert!(lines(&verified).iter().any(|line| line.contains("1 record lost")), "{verified:?}");
    let node = node.kill_and_restart();
    assert!(
        node.log().iter().any(|line| line.contains("journal-000000000001 is damaged")),
        "{:?}",
        node.log()
    );
    assert_eq!(platform.answer_notification(204), [json!({"id": "early", "status": "undeliverable"})]);
    platform.publish(&[listing("e1", 7, "plain", endpoint.address)]);
    let call = endpoint.next();
    assert_eq!(call.http.headers["req-id"], "late", "what came later is not affected");
    call.reply(status(200));
    wait_until(|| lines(&look(&node, "list")).is_empty());
    assert!(!endpoint.has_unread_request());
}

#[test]
fn a_damaged_journal_can_be_refused() {
    let platform = Platform::new();
    let (node, folder) = start(&platform, &[draining("e0", 7)], "[journal]\ndamage = \"refuse\"\n");
    for id in ["a", "b"] {
        assert_eq!(node.submit(id, "order", 7, 20_000).status(), 202);
    }
    spoil(&node, 100);
    let (state, config) = (node.state(), node.state().with_file_name("config.json"));
    let copy = tempfile::tempdir().unwrap();
    std::fs::create_dir(copy.path().join("state")).unwrap();
    std::fs::copy(config, copy.path().join("config.json")).unwrap();
    for file in std::fs::read_dir(state).unwrap() {
        let file = file.unwrap();
        std::fs::copy(file.path(), copy.path().join("state").join(file.file_name())).unwrap();
    }
    let program = program().arg("--operators").arg(folder.path().join("operators.toml"));
    let refused = program.command(copy.path()).output().unwrap();
    let said = String::from_utf8(refused.stderr).unwrap();
    assert!(!refused.status.success());
    assert!(said.contains("journal-000000000001 is damaged") && said.contains("1 record lost"), "{said}");
    assert_eq!(said.lines().count(), 1, "{said}");
}

/// Guards a folder against two senders.
#[test]
fn a_second_sender_on_the_same_folder_does_not_start() {
    let platform = Platform::new();
    let node = Node::start(&program(), &platform, &[draining("e0", 7)], |_| {});
    let folder = node.state().parent().unwrap().to_owned();
    let second = program().command(&folder).output().unwrap();
    let said = String::from_utf8(second.stderr).unwrap();
    assert!(!second.status.success() && said.contains("another process writes to this folder"), "{said}");
    assert_eq!(node.submit("a", "order", 7, 20_000).status(), 202, "the first goes on");
}

/// Guards a keyed message against a repeat after a time that nobody knows: the clock was set back in between. Here the
/// journal's newest time is put an hour ahead, which looks the same.
#[test]
fn with_a_clock_that_was_set_back_ages_are_not_known() {
    let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
    let node = Node::start(&program(), &platform, &[listing("e1", 7, "plain", endpoint.address)], |_| {});
    assert_eq!(node.submit("a", "note", 7, 20_000).status(), 202);
    let call = endpoint.next();
    let hour = 3_600_000_000;
    let state = node.state();
    let before = look(&node, "export");
    let exported: Value = serde_json::from_str(&lines(&before)[0]).unwrap();
    let at = exported["attempts"][0]["at_us"].as_u64().unwrap();
    let node = node.kill_and_restart_after(|| {
        // Its own writing, an hour later.
        let options = journal::Options { limit: 3_000_000, ..Default::default() };
        let (mut journal, _) = journal::Journal::open(&state, options, at).unwrap();
        journal.append(at + hour, &mut vec![journal::Record::Completed(77)]).unwrap();
    });
    assert!(node.log().iter().any(|line| line.contains("the clock was set back")), "{:?}", node.log());
    // Its time may be up or not, but it has an end, and no second copy.
    let notice = platform.answer_notification(204);
    assert_eq!(notice, [json!({"id": "a", "status": "undeliverable"})]);
    drop((call, node));
    assert!(!endpoint.has_unread_request());
}

/// Guards what is held against a full disk: nothing is taken on, what is held is told its end in time, and it goes on
/// when there is room.
#[test]
fn on_a_full_disk_what_is_held_still_has_its_end() {
    let platform = Platform::new();
    let node = Node::start(&program(), &platform, &[draining("e0", 7)], |_| {});
    assert_eq!(node.submit("held", "order", 7, 3_000).status(), 202);
    // The journal has two blocks, and may not grow.
    let node = node.kill_and_restart_with(Some(1));
    let long = "x".repeat(2_000);
    let text = submission_with("new", "order", 7, 20_000, long.as_bytes());
    let refused = node.ask(&text);
    assert_eq!((refused.status(), refused.headers["retry-after"].as_str()), (503, "1.000"));
    assert_eq!(platform.answer_notification(204), [json!({"id": "held", "status": "deferred"})]);
    assert!(node.log().iter().any(|line| line.contains("the journal can't be written")), "{:?}", node.log());
    let node = node.kill_and_restart();
    assert_eq!(node.ask(&text).status(), 202);
}

/// The looks tell what is owed, since when, and what may have run, beside the running sender.
#[test]
fn the_looks_tell_what_is_owed() {
    let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
    let known = [listing("e1", 7, "plain", endpoint.address), draining("e0", 9)];
    let node = Node::start(&program(), &platform, &known, |_| {});
    assert_eq!(node.submit("out", "order", 7, 20_000).status(), 202);
    let call = endpoint.next();
    assert_eq!(node.submit("held", "note", 9, 20_000).status(), 202);
    assert!(look(&node, "verify").status.success());
    let listed = lines(&look(&node, "list"));
    assert!(
        listed[0].contains("out order to 7")
            && listed[0].contains("to e1")
            && listed[0].contains("may have run")
    );
    assert!(listed[1].contains("held note to 9") && listed[1].contains("no attempt"), "{listed:?}");
    let exported: Vec<Value> =
        lines(&look(&node, "export")).iter().map(|line| serde_json::from_str(line).unwrap()).collect();
    assert_eq!(exported[0]["id"], "out");
    assert_eq!(exported[0]["attempts"][0]["may_have_run"], true);
    assert_eq!(exported[1]["key"], "key-held");
    let nothing =
        std::process::Command::new(program().path).args(["journal", "list", "/no/such"]).output().unwrap();
    assert!(!nothing.status.success());
    call.reply(status(200));
}
