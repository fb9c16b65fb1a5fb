//! The real program over loopback sockets: each promise, and each failure found, in small.

mod admin;
mod client_connections;
mod connection_rejected;
mod cores;
mod deadlines_and_shutdown;
mod gossip;
mod hand_over;
mod health_snapshot;
mod journal;
mod lost_connections;
mod malformed_requests;
mod robustness;
mod slow_connects;

use std::collections::BTreeSet;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::json;
use test_doubles::*;

fn program() -> Program {
    Program::new(env!("CARGO_BIN_EXE_myrtleyard"))
}

/// The messages of a batch, by id.
fn ids(asked: &PendingRequest) -> Vec<String> {
    let parts = asked.http.json();
    parts.as_array().unwrap().iter().map(|p| p["id"].as_str().unwrap().to_owned()).collect()
}

#[test]
fn a_message_goes_on_unchanged_and_connections_are_reused() {
    let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
    let node = Node::start(&program(), &platform, &[listing("e1", 7, "plain", endpoint.address)], |_| {});
    let ready = node.ask(b"GET /ready HTTP/1.1\r\nHost: origin.svc\r\n\r\n");
    assert_eq!(ready.status(), 200);
    let mut connections = vec![];
    for id in ["a", "b", "c"] {
        assert_eq!(node.submit(id, "note", 7, 20_000).status(), 202);
        let call = endpoint.next();
        assert_eq!(call.http.first, "POST /v1/messages HTTP/1.1");
        assert_eq!(call.http.headers["req-id"], id);
        assert_eq!(call.http.headers["idempotency-key"], format!("key-{id}"));
        assert_eq!(call.http.body, format!("body\0of {id}").into_bytes());
        let wait: u64 = call.http.headers["req-deadline-ms"].parse().unwrap();
        assert!((1..=4000).contains(&wait), "{wait}");
        connections.push(call.connection);
        let before = node.journal_length();
        call.reply(status(200));
        // The answer has been read once the journal has heard of it.
        wait_until(|| node.journal_length() > before);
    }
    // The module has the first closed: it can't tell yet that this endpoint is called often.
    assert_eq!(connections[1], connections[2]);
}

/// Guards against a restart that forgets, repeats an effect, or waits for somebody to hand in again.
#[test]
fn what_was_taken_on_outlasts_a_kill() {
    let (platform, seven, eight) = (Platform::new(), ScriptedServer::new(), ScriptedServer::new());
    let known = [
        listing("e1", 7, "plain", seven.address),
        listing("e2", 8, "plain", eight.address),
        draining("e0", 9),
    ];
    let node = Node::start(&program(), &platform, &known, |_| {});
    assert_eq!(node.submit("unsafe", "order", 7, 20_000).status(), 202);
    let unsafe_call = seven.next();
    assert_eq!(node.submit("keyed", "note", 8, 20_000).status(), 202);
    let keyed_call = eight.next();
    assert_eq!(node.submit("held", "order", 9, 20_000).status(), 202, "no endpoint of it takes anything yet");
    let node = node.kill_and_restart();
    assert_eq!(platform.answer_notification(204), [json!({"id": "unsafe", "status": "undeliverable"})]);
    let again = eight.next();
    assert_eq!(again.http.headers["req-id"], "keyed");
    assert_eq!(again.http.headers["idempotency-key"], "key-keyed");
    assert_eq!(again.http.body, keyed_call.http.body);
    again.reply(status(200));
    let nine = ScriptedServer::new();
    platform.publish(&[listing("e3", 9, "plain", nine.address)]);
    let held = nine.next();
    assert_eq!(held.http.headers["req-id"], "held");
    assert_eq!(held.http.body, b"body\0of held");
    held.reply(status(200));
    drop(unsafe_call);
    drop(node);
    assert!(!seven.has_unread_request(), "the unsafe message is not sent again");
}

/// Guards against a resend outside the time for which the destination remembers the key.
#[test]
fn a_keyed_message_whose_window_is_over_is_not_resent_after_a_kill() {
    let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
    // The window is shorter than the margin that the module keeps for the way there.
    let node = Node::start(&program(), &platform, &[listing("e1", 7, "plain", endpoint.address)], |config| {
        config["settings"]["classes"][0]["dedup_window_us"] = json!(1);
    });
    assert_eq!(node.submit("a", "note", 7, 20_000).status(), 202);
    let call = endpoint.next();
    let node = node.kill_and_restart();
    assert_eq!(platform.answer_notification(204), [json!({"id": "a", "status": "undeliverable"})]);
    drop((call, node));
    assert!(!endpoint.has_unread_request());
}

/// Guards against a notice that is lost with the platform's answer, or with the process.
#[test]
fn a_notice_is_sent_until_the_platform_has_it() {
    let platform = Platform::new();
    let node = Node::start(&program(), &platform, &[draining("e0", 7)], |_| {});
    assert_eq!(node.submit("a", "order", 7, 1000).status(), 202);
    let expected = [json!({"id": "a", "status": "deferred"})];
    assert_eq!(platform.answer_notification(500), expected);
    assert_eq!(platform.answer_notification(503), expected);
    let node = node.kill_and_restart();
    assert_eq!(platform.answer_notification(204), expected);
    drop(node);
}

/// Guards against telling a call that may have run from one that can't have.
#[test]
fn an_answer_that_never_came_may_have_run() {
    let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
    let node = Node::start(&program(), &platform, &[listing("e1", 7, "plain", endpoint.address)], |_| {});
    let replies = [Reply::Close, Reply::Bytes(b"\x00\xff what?\r\n\r\n"), status(500), status(299)];
    for (n, reply) in replies.into_iter().enumerate() {
        let id = format!("m{n}");
        assert_eq!(node.submit(&id, "order", 7, 20_000).status(), 202);
        let call = endpoint.next();
        assert_eq!(call.http.headers["req-id"], id);
        call.reply(reply);
        assert_eq!(platform.answer_notification(204), [json!({"id": id, "status": "undeliverable"})]);
    }
}

/// An unsafe message is sent again after each answer that proves that it never ran.
#[test]
fn a_call_that_was_turned_away_is_made_again() {
    for reply in
        [status(503), status(504), Reply::Answer(429, vec![("retry-after", "0.05".into())], "".into())]
    {
        let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
        let node = Node::start(&program(), &platform, &[listing("e1", 7, "plain", endpoint.address)], |_| {});
        assert_eq!(node.submit("a", "order", 7, 20_000).status(), 202);
        endpoint.next().reply(reply);
        let again = endpoint.next();
        assert_eq!(again.http.headers["req-id"], "a");
        again.reply(status(200));
        // 410: over, and nothing more is owed.
        assert_eq!(node.submit("b", "order", 7, 20_000).status(), 202);
        endpoint.next().reply(status(410));
        assert_eq!(node.submit("c", "order", 7, 20_000).status(), 202);
        assert_eq!(endpoint.next().http.headers["req-id"], "c");
    }
}

/// Guards against a second copy while the first may still be read: the connection is closed at the time-out.
#[test]
fn a_time_out_closes_the_connection() {
    let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
    let node = Node::start(&program(), &platform, &[listing("e1", 7, "plain", endpoint.address)], |_| {});
    assert_eq!(node.submit("a", "order", 7, 1500).status(), 202);
    let call = endpoint.next();
    call.closed.recv_timeout(TIMEOUT).expect("the connection ends");
    assert_eq!(platform.answer_notification(204), [json!({"id": "a", "status": "undeliverable"})]);
}

/// What waits for one endpoint goes as one call, whose messages may end apart.
#[test]
fn a_turns_messages_to_one_endpoint_travel_together() {
    let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
    let node = Node::start(&program(), &platform, &[draining("e0", 7)], |_| {});
    for id in ["a", "b", "c", "d", "e"] {
        let class = if id == "c" { "order" } else { "note" };
        assert_eq!(node.submit(id, class, 7, 20_000).status(), 202);
    }
    platform.publish(&[listing("e1", 7, "bulk", endpoint.address)]);
    let batch = endpoint.next();
    assert_eq!(batch.http.first, "POST /v1/messages:batch HTTP/1.1");
    assert_eq!(ids(&batch), ["a", "b", "c", "d", "e"]);
    let parts = batch.http.json();
    assert_eq!(parts[0]["key"], "key-a");
    assert_eq!(parts[2].get("key"), None);
    assert_eq!(STANDARD.decode(parts[2]["body"].as_str().unwrap()).unwrap(), b"body\0of c");
    let ends = [("a", "ok"), ("b", "later"), ("c", "error"), ("d", "gone")];
    let ends: Vec<_> = ends.iter().map(|(id, state)| json!({"id": id, "state": state})).collect();
    batch.reply(Reply::Answer(200, vec![], json!(ends).to_string()));
    assert_eq!(platform.answer_notification(204), [json!({"id": "c", "status": "undeliverable"})]);
    // Turned away, and not told of: both go again, together or one by one.
    let mut again = BTreeSet::new();
    while again.len() < 2 {
        let call = endpoint.next();
        let single = call.http.headers.get("req-id").cloned();
        let ids = single.map_or_else(|| ids(&call), |id| vec![id]);
        let ends: Vec<_> = ids.iter().map(|id| json!({"id": id, "state": "ok"})).collect();
        call.reply(Reply::Answer(200, vec![], json!(ends).to_string()));
        again.extend(ids);
    }
    assert_eq!(again, BTreeSet::from(["b".to_owned(), "e".to_owned()]));
}

/// A process that is asked to end answers, delivers what it can, leaves nothing behind and goes.
#[test]
fn a_terminated_process_finishes_what_it_has() {
    let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
    let mut node = Node::start(&program(), &platform, &[listing("e1", 7, "plain", endpoint.address)], |_| {});
    let mut idle = Client::new(&node);
    assert_eq!(idle.ask(&submission("a", "order", 7, 20_000)).status(), 202);
    let call = endpoint.next();
    node.signal("-TERM");
    assert!(idle.ended(), "idle client connections are closed");
    let mut late = Client::new(&node);
    assert_eq!(late.ask(b"GET /ready HTTP/1.1\r\nHost: origin.svc\r\n\r\n").status(), 503);
    assert!(late.ended());
    let mut late = Client::new(&node);
    assert_eq!(late.ask(&submission("b", "note", 7, 20_000)).status(), 202);
    assert!(late.ended());
    let second = endpoint.next();
    assert_eq!(second.http.headers["req-id"], "b");
    second.reply(status(200));
    call.reply(status(200));
    assert_eq!(node.exit_code(), Some(0));
}

#[test]
fn strange_requests_are_told_off_and_do_no_harm() {
    let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
    let node = Node::start(&program(), &platform, &[listing("e1", 7, "plain", endpoint.address)], |_| {});
    let good = String::from_utf8(submission("a", "order", 7, 1000)).unwrap();
    for (from, to) in [
        ("Req-Id: a\r\n", ""),
        ("Req-Kind: order", "Req-Kind: none"),
        ("POST /order", "POST /note"),
        ("dest=7", "dest=x"),
        ("dest=7", "dest=70000"),
        ("Req-Deadline-Ms: 1000", "Req-Deadline-Ms: soon"),
        ("Req-Deadline-Ms: 1000", "Req-Deadline-Ms: +1000"),
        ("Req-Deadline-Ms: 1000", "Req-Deadline-Ms: 24002"),
        ("Content-Length: 9", "Content-Length: -9"),
        ("Content-Length: 9", "Content-Length: 9\r\nContent-Length: 8"),
        ("Content-Length: 9", "Content-Length: 99999999999999999999999"),
        ("Content-Length", "Idempotency-Key: \u{e6}\r\nContent-Length"),
    ] {
        assert!(good.contains(from));
        assert_eq!(node.ask(good.replace(from, to).as_bytes()).status(), 400, "{to}");
    }
    let long = good.replace("Content-Length: 9", &format!("Content-Length: {}", (64 << 10) + 1));
    assert_eq!(node.ask(long.as_bytes()).status(), 413, "by its length, before its body");
    assert_eq!(node.ask(b"\x01\x02\x03\r\n\r\n").status(), 400);
    assert_eq!(node.submit("fine", "order", 7, 20_000).status(), 202);
    assert_eq!(endpoint.next().http.headers["req-id"], "fine");
}

#[test]
fn a_bad_configuration_ends_in_one_line() {
    let folder = tempfile::tempdir().unwrap();
    for text in [None, Some("{"), Some("{\"name\": 3}"), Some("[]")] {
        if let Some(text) = text {
            std::fs::write(folder.path().join("config.json"), text).unwrap();
        }
        let output = program().command(folder.path()).output().unwrap();
        assert!(!output.status.success());
        let said = String::from_utf8(output.stderr).unwrap();
        assert_eq!(said.lines().count(), 1, "{said}");
        assert!(said.starts_with("myrtleyard: "), "{said}");
    }
}

/// Guards the room on the disk: what can't be kept is refused, and room comes back as messages end.
#[test]
fn messages_beyond_the_room_on_the_disk_are_refused() {
    let platform = Platform::new();
    let node = Node::start(&program(), &platform, &[draining("e0", 7)], |config| {
        config["limits"]["disk_mb"] = json!(0.02)
    });
    let mut taken = 0;
    let refused = loop {
        let answer = node.submit(&format!("m{taken}"), "order", 7, 20_000);
        if answer.status() != 202 {
            break answer;
        }
        taken += 1;
        assert!(taken < 1000);
    };
    assert!(taken > 0);
    assert_eq!(refused.status(), 503);
    assert_eq!(refused.headers["retry-after"], "1.000");
    assert!(node.journal_length() <= 20_000);
    let endpoint = ScriptedServer::new();
    platform.publish(&[listing("e1", 7, "plain", endpoint.address)]);
    endpoint.next().reply(status(200));
    // The answer is on its way to the journal: there is room once it has got there.
    wait_until(|| node.submit("again", "order", 7, 20_000).status() == 202);
}

/// Guards the promise of a 202: what the journal can't hold is neither taken on nor sent, and does not spoil
/// what it can.
#[test]
fn a_journal_that_cannot_be_written_takes_nothing_on() {
    let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
    let node =
        Node::start_with_file_limit(&program(), &platform, &[listing("e1", 7, "plain", endpoint.address)]);
    let small = String::from_utf8(submission("big", "order", 7, 20_000)).unwrap();
    let (head, _) = small.split_once("Content-Length").unwrap();
    let big = format!("{head}Content-Length: 4000\r\n\r\n{}", "x".repeat(4000));
    let refused = node.ask(big.as_bytes());
    assert_eq!(refused.status(), 503);
    assert_eq!(refused.headers["retry-after"], "1.000");
    assert_eq!(node.submit("small", "order", 7, 20_000).status(), 202);
    let call = endpoint.next();
    assert_eq!(call.http.headers["req-id"], "small");
    let node = node.kill_and_restart();
    assert_eq!(platform.answer_notification(204), [json!({"id": "small", "status": "undeliverable"})]);
    drop((call, node));
    assert!(!endpoint.has_unread_request());
}

/// A list of some megabytes, whole and again without most of it: read, and taken in while messages go on.
#[test]
fn a_list_of_twenty_thousand_is_taken_in() {
    let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
    let node = Node::start(&program(), &platform, &[], |_| {});
    let entry = |dest: u16| listing(&format!("e{dest}"), dest, "plain", endpoint.address);
    let all: Vec<_> = (0..20_000).map(entry).collect();
    platform.publish(&all);
    // Refused until a list names it, which is at its very end.
    wait_until(|| node.submit("last", "note", 19_999, 20_000).status() == 202);
    endpoint.next().reply(status(200));
    platform.publish(&all[..10]);
    // What is taken away is told last: what came new in the list after that one shows that it is done with.
    for (n, dest) in [20_001, 20_002].into_iter().enumerate() {
        platform.publish(&[&all[..10], &[listing("new", dest, "plain", endpoint.address)]].concat());
        wait_until(|| node.submit(&format!("new{n}"), "note", dest, 20_000).status() == 202);
        endpoint.next().reply(status(200));
    }
    assert_eq!(node.submit("away", "note", 19_999, 2_000).status(), 202);
    assert_eq!(platform.answer_notification(204)[0]["id"], json!("away"));
    assert!(!endpoint.has_unread_request());
}
