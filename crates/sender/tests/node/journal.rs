//! The journal: restarts, the ledger of outcomes, damaged files, a full disk, a clock that was set back, and the `journal`
//! subcommands.

use super::program;
use serde_json::{Value, json};
use test_doubles::*;

/// Starts a sender with this operators' file.
fn start(platform: &Platform, endpoints: &[Value], operators: &str) -> (Node, tempfile::TempDir) {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("operators.toml");
    std::fs::write(&file, operators).unwrap();
    let program = program().arg("--operators").arg(&file);
    (Node::start(&program, platform, endpoints, |_| {}), folder)
}

fn run_journal_command(node: &Node, command: &str) -> std::process::Output {
    let program = program();
    let mut process = std::process::Command::new(program.path);
    process.args(["journal", command]).arg(node.state()).output().unwrap()
}

fn lines(output: &std::process::Output) -> Vec<String> {
    String::from_utf8_lossy(&output.stdout).lines().map(str::to_owned).collect()
}

/// A non-idempotent message that ended must not be sent again when its id is submitted after a restart: the answer states its
/// outcome. A message of an idempotent class may be submitted and sent again.
#[test]
fn ledger_answers_for_ended_non_idempotent_messages_after_restart() {
    let (platform, endpoint_7, endpoint_8) = (Platform::new(), ScriptedServer::new(), ScriptedServer::new());
    let endpoints =
        [listing("e1", 7, "plain", endpoint_7.address), listing("e2", 8, "plain", endpoint_8.address)];
    let (node, _folder) = start(&platform, &endpoints, "[journal]\nretain = \"1h\"\nledger = \"10kB\"\n");
    assert_eq!(node.submit("delivered", "order", 7, 20_000).status(), 202);
    endpoint_7.next().reply(status(200));
    assert_eq!(node.submit("failed", "order", 8, 20_000).status(), 202);
    endpoint_8.next().reply(status(500));
    assert_eq!(platform.answer_notification(204), [json!({"id": "failed", "status": "undeliverable"})]);
    assert_eq!(node.submit("note", "note", 7, 20_000).status(), 202);
    endpoint_7.next().reply(status(200));
    // The outcome has been written once no message is pending.
    wait_until(|| {
        lines(&run_journal_command(&node, "verify"))
            .last()
            .unwrap()
            .starts_with("0 messages pending, 2 outcomes")
    });
    let node = node.kill_and_restart();
    assert_eq!(node.submit("delivered", "order", 7, 20_000).status(), 200);
    assert_eq!(node.submit("failed", "order", 8, 20_000).status(), 500);
    assert_eq!(
        node.submit("note", "note", 7, 20_000).status(),
        202,
        "an idempotent message may be sent again"
    );
    assert_eq!(endpoint_7.next().http.headers["req-id"], "note");
    assert!(
        !endpoint_7.has_unread_request() && !endpoint_8.has_unread_request(),
        "no non-idempotent message is sent again"
    );
}

#[test]
fn rejects_non_idempotent_message_without_room_in_the_ledger() {
    let platform = Platform::new();
    // Room for one ledger entry: 20 bytes and its id.
    let (node, _folder) =
        start(&platform, &[draining("e0", 7)], "[journal]\nretain = \"1h\"\nledger = \"30B\"\n");
    assert_eq!(node.submit("one", "order", 7, 20_000).status(), 202);
    let refused = node.submit("two", "order", 7, 20_000);
    assert_eq!((refused.status(), refused.headers["retry-after"].as_str()), (503, "1.000"));
    assert_eq!(node.submit("three", "note", 7, 20_000).status(), 202);
}

/// Flips one bit of the byte at this offset of the first segment.
fn corrupt_byte(node: &Node, at: u64) {
    let file = node.state().join("journal-000000000001");
    let mut bytes = std::fs::read(&file).unwrap();
    bytes[at as usize] ^= 1;
    std::fs::write(&file, bytes).unwrap();
}

/// Damage may hide the record of an attempt: messages that may be affected are not sent again, and the log reports the damage.
#[test]
fn message_with_possibly_hidden_attempt_is_not_resent() {
    let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
    let node = Node::start(&program(), &platform, &[draining("e0", 7)], |_| {});
    assert_eq!(node.submit("early", "order", 7, 20_000).status(), 202);
    let second_start = node.journal_length();
    assert_eq!(node.submit("lost", "order", 7, 20_000).status(), 202);
    assert_eq!(node.submit("late", "order", 7, 20_000).status(), 202);
    corrupt_byte(&node, second_start + 40);
    let verified = run_journal_command(&node, "verify");
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
    assert_eq!(call.http.headers["req-id"], "late", "a message accepted after the damage is not affected");
    call.reply(status(200));
    wait_until(|| lines(&run_journal_command(&node, "list")).is_empty());
    assert!(!endpoint.has_unread_request());
}

#[test]
fn damaged_journal_prevents_start_if_configured() {
    let platform = Platform::new();
    let (node, folder) = start(&platform, &[draining("e0", 7)], "[journal]\ndamage = \"refuse\"\n");
    for id in ["a", "b"] {
        assert_eq!(node.submit(id, "order", 7, 20_000).status(), 202);
    }
    corrupt_byte(&node, 100);
    let (state, config) = (node.state(), node.state().with_file_name("config.json"));
    let copy = tempfile::tempdir().unwrap();
    std::fs::create_dir(copy.path().join("state")).unwrap();
    std::fs::copy(config, copy.path().join("config.json")).unwrap();
    for file in std::fs::read_dir(state).unwrap() {
        let file = file.unwrap();
        std::fs::copy(file.path(), copy.path().join("state").join(file.file_name())).unwrap();
    }
    let program = program().arg("--operators").arg(folder.path().join("operators.toml"));
    let output = program.command(copy.path()).output().unwrap();
    let stderr = String::from_utf8(output.stderr).unwrap();
    assert!(!output.status.success());
    assert!(
        stderr.contains("journal-000000000001 is damaged") && stderr.contains("1 record lost"),
        "{stderr}"
    );
    assert_eq!(stderr.lines().count(), 1, "{stderr}");
}

/// Two senders must not write to the same folder.
#[test]
fn rejects_second_sender_on_same_folder() {
    let platform = Platform::new();
    let node = Node::start(&program(), &platform, &[draining("e0", 7)], |_| {});
    let folder = node.state().parent().unwrap().to_owned();
    let second = program().command(&folder).output().unwrap();
    let stderr = String::from_utf8(second.stderr).unwrap();
    assert!(!second.status.success() && stderr.contains("another process writes to this folder"), "{stderr}");
    assert_eq!(node.submit("a", "order", 7, 20_000).status(), 202, "the first sender keeps working");
}

/// After the clock was set back the age of an attempt is unknown, so a message with an idempotency key must not be resent: its
/// key may have expired. The test writes a record into the journal that is an hour ahead, which looks the same.
#[test]
fn message_is_not_resent_after_the_clock_was_set_back() {
    let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
    let node = Node::start(&program(), &platform, &[listing("e1", 7, "plain", endpoint.address)], |_| {});
    assert_eq!(node.submit("a", "note", 7, 20_000).status(), 202);
    let call = endpoint.next();
    let hour_us = 3_600_000_000;
    let state = node.state();
    let export = run_journal_command(&node, "export");
    let exported: Value = serde_json::from_str(&lines(&export)[0]).unwrap();
    let attempted_at_us = exported["attempts"][0]["at_us"].as_u64().unwrap();
    let node = node.kill_and_restart_after(|| {
        // Appends a record as the sender would, an hour ahead.
        let options = journal::Options { limit: 3_000_000, ..Default::default() };
        let (mut journal, _) = journal::Journal::open(&state, options, attempted_at_us).unwrap();
        journal.append(attempted_at_us + hour_us, &mut vec![journal::Record::Completed(77)]).unwrap();
    });
    assert!(node.log().iter().any(|line| line.contains("the clock was set back")), "{:?}", node.log());
    // Whether its deadline has passed is unknown, but it has an outcome, and no second copy is sent.
    let notifications = platform.answer_notification(204);
    assert_eq!(notifications, [json!({"id": "a", "status": "undeliverable"})]);
    drop((call, node));
    assert!(!endpoint.has_unread_request());
}

/// On a full disk no message is accepted, pending ones still get their outcome in time, and messages are accepted again once
/// there is space.
#[test]
fn pending_message_gets_its_outcome_on_a_full_disk() {
    let platform = Platform::new();
    let node = Node::start(&program(), &platform, &[draining("e0", 7)], |_| {});
    assert_eq!(node.submit("held", "order", 7, 3_000).status(), 202);
    // The journal has two blocks already; with the file size limit of one block it can't grow.
    let node = node.kill_and_restart_with(Some(1));
    let long = "x".repeat(2_000);
    let request = submission_with("new", "order", 7, 20_000, long.as_bytes());
    let refused = node.ask(&request);
    assert_eq!((refused.status(), refused.headers["retry-after"].as_str()), (503, "1.000"));
    assert_eq!(platform.answer_notification(204), [json!({"id": "held", "status": "deferred"})]);
    assert!(node.log().iter().any(|line| line.contains("the journal can't be written")), "{:?}", node.log());
    let node = node.kill_and_restart();
    assert_eq!(node.ask(&request).status(), 202);
}

/// The `journal` subcommands report, while the sender runs, which messages are pending, since when, and which may have run.
#[test]
fn journal_commands_report_pending_messages() {
    let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
    let endpoints = [listing("e1", 7, "plain", endpoint.address), draining("e0", 9)];
    let node = Node::start(&program(), &platform, &endpoints, |_| {});
    assert_eq!(node.submit("out", "order", 7, 20_000).status(), 202);
    let call = endpoint.next();
    assert_eq!(node.submit("held", "note", 9, 20_000).status(), 202);
    assert!(run_journal_command(&node, "verify").status.success());
    let listed = lines(&run_journal_command(&node, "list"));
    assert!(
        listed[0].contains("out order to 7")
            && listed[0].contains("to e1")
            && listed[0].contains("may have run")
    );
    assert!(listed[1].contains("held note to 9") && listed[1].contains("no attempt"), "{listed:?}");
    let exported: Vec<Value> = lines(&run_journal_command(&node, "export"))
        .iter()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect();
    assert_eq!(exported[0]["id"], "out");
    assert_eq!(exported[0]["attempts"][0]["may_have_run"], true);
    assert_eq!(exported[1]["key"], "key-held");
    let missing =
        std::process::Command::new(program().path).args(["journal", "list", "/no/such"]).output().unwrap();
    assert!(!missing.status.success());
    call.reply(status(200));
}

/// Guards against a ledger that grows beyond its part of the disk: messages that arrive in one iteration of the event loop did
/// not count the space of each other's outcomes.
#[test]
fn messages_of_one_iteration_share_what_is_left_of_the_ledger() {
    const PERIOD_US: u64 = 300_000;
    const AT_ONCE: usize = 30;
    let id = |number: usize| format!("{number:0>200}");
    let start = |platform: &Platform, endpoint: &ScriptedServer| {
        Node::start(&program(), platform, &[listing("e1", 7, "plain", endpoint.address)], |config| {
            config["limits"]["disk_mb"] = json!(0.03);
        })
    };
    let deliver = |node: &Node, endpoint: &ScriptedServer, number| {
        let before = node.journal_length();
        if node.submit(&id(number), "order", 7, 20_000).status() != 202 {
            return false;
        }
        endpoint.next().reply(status(200));
        wait_until(|| node.journal_length() != before);
        true
    };
    // What the ledger takes if each message has an iteration of its own.
    let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
    let node = start(&platform, &endpoint);
    let capacity = (0..).find(|number| !deliver(&node, &endpoint, *number)).unwrap();
    drop(node);

    let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
    let node = start(&platform, &endpoint);
    let left = 3;
    assert!((0..capacity - left).all(|number| deliver(&node, &endpoint, number)));
    // The next process has long iterations.
    let mut config = node.configuration();
    config["settings"]["period_us"] = json!(PERIOD_US);
    node.reconfigure(&config.to_string());
    let node = node.kill_and_restart();
    let mut clients: Vec<_> = (0..AT_ONCE).map(|_| Client::new(&node)).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        client.write(&submission(&id(capacity + number), "order", 7, 20_000));
    }
    let answers = clients.iter_mut().map(|client| client.answer().unwrap().status());
    let accepted = answers.filter(|status| *status == 202).count();
    // Fewer if the disk is short before compaction has caught up.
    assert!((1..=left).contains(&accepted), "{accepted} of {AT_ONCE}; the ledger takes {capacity}");
}
