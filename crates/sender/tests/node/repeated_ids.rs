//! Submissions under the id of a message that has completed: each is answered with the outcome, and nothing is sent again.

use std::net::TcpListener;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use test_doubles::*;

use super::{batch_ids, program};

/// How many requests a misbehaving client writes at once.
const REQUESTS_AT_ONCE: usize = 100;

/// Starts a sender with one endpoint of destination 7.
fn start(platform: &Platform, endpoint: &ScriptedServer, kind: &str) -> Node {
    Node::start(&program(), platform, &[listing("e1", 7, kind, endpoint.address)], |_| {})
}

/// Submits a message, answers its call with 200 and waits until the sender has recorded that.
fn deliver(node: &Node, endpoint: &ScriptedServer, id: &str, class: &str) {
    assert_eq!(node.submit(id, class, 7, 20_000).status(), 202);
    let call = endpoint.next();
    assert_eq!(call.http.headers["req-id"], id);
    let before = node.journal_length();
    call.reply(status(200));
    wait_until(|| node.journal_length() > before);
}

/// Checks that nothing was sent to the endpoint until now: the next call is the one for a new message.
fn assert_nothing_sent(node: &Node, endpoint: &ScriptedServer) {
    assert_eq!(node.submit("marker", "order", 7, 20_000).status(), 202);
    let call = endpoint.next();
    assert_eq!(call.http.headers["req-id"], "marker", "a completed message is not sent again");
    call.reply(status(200));
}

/// Guards against review/1: of many requests that a client writes at once under the id of a pending message, those that were
/// read after its delivery were accepted as new messages and sent again.
#[test]
fn requests_read_after_the_delivery_of_their_id_are_not_sent() {
    for class in ["order", "note"] {
        let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
        let node = start(&platform, &endpoint, "plain");
        assert_eq!(node.submit("a", "order", 7, 20_000).status(), 202);
        let call = endpoint.next();
        let mut client = Client::new(&node);
        // Another class and another body: only the id is that of the pending message.
        let request = submission_with("a", class, 7, 10_000, b"of another client");
        client.write(&request.repeat(REQUESTS_AT_ONCE));
        assert_eq!(client.answer().unwrap().status(), 202, "the message is still pending");
        call.reply(status(200));
        let answers: Vec<_> = (1..REQUESTS_AT_ONCE).map(|_| client.answer().unwrap().status()).collect();
        assert_eq!(answers.last(), Some(&200), "the outcome of the message: {answers:?}");
        assert!(answers.iter().all(|status| [200, 202].contains(status)), "{answers:?}");
        assert_nothing_sent(&node, &endpoint);
    }
}

/// Guards against a message that is sent again because the record of its delivery is not written yet: its outcome and a repeated
/// submission arrive in one iteration of the event loop.
#[test]
fn outcome_and_repeated_submission_in_one_iteration() {
    const PERIOD: Duration = Duration::from_millis(400);
    let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
    let node = Node::start(&program(), &platform, &[listing("e1", 7, "plain", endpoint.address)], |config| {
        config["settings"]["period_us"] = json!(PERIOD.as_micros() as u64);
    });
    assert_eq!(node.submit("a", "order", 7, 20_000).status(), 202);
    // The iteration that started the call has just ended: the next one begins a period later, with both.
    let call = endpoint.next();
    let called_at = Instant::now();
    let before = node.journal_length();
    call.reply(status(200));
    std::thread::sleep(PERIOD / 4);
    let mut client = Client::new(&node);
    client.write(&submission("a", "order", 7, 20_000));
    assert_eq!(
        node.journal_length(),
        before,
        "the outcome was recorded {:?} after the call",
        called_at.elapsed()
    );
    assert_eq!(client.answer().unwrap().status(), 200);
    assert_nothing_sent(&node, &endpoint);
}

/// Guards against a process that forgets which messages its predecessor has delivered.
#[test]
fn delivered_id_is_known_after_a_restart() {
    let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
    let node = start(&platform, &endpoint, "plain");
    deliver(&node, &endpoint, "a", "order");
    deliver(&node, &endpoint, "b", "note");
    let node = node.kill_and_restart();
    for (id, class) in [("a", "order"), ("b", "note"), ("a", "note")] {
        assert_eq!(node.submit(id, class, 7, 20_000).status(), 200, "{id} {class}");
    }
    assert_nothing_sent(&node, &endpoint);
}

/// Guards against a successor that does not know what was delivered before the hand-over, or over the predecessor's connections
/// during it.
#[test]
fn delivered_id_is_known_after_a_hand_over() {
    let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
    let socket = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = socket.local_addr().unwrap().to_string();
    let predecessor = Node::start(
        &program().inheriting(&socket),
        &platform,
        &[listing("e1", 7, "plain", endpoint.address)],
        |config| (config["listen"], config["ops"]) = (json!(address), json!("127.0.0.1:0")),
    );
    deliver(&predecessor, &endpoint, "before", "order");
    let mut client = Client::new(&predecessor);
    assert_eq!(client.ask(&submission("during", "order", 7, 20_000)).status(), 202);
    let call = endpoint.next();
    let successor = predecessor.start_successor();
    call.reply(status(200));
    wait_until(|| successor.metric("svc_open_requests") == 0);
    for id in ["before", "during"] {
        assert_eq!(successor.submit(id, "order", 7, 20_000).status(), 200, "{id}");
    }
    // Over the predecessor's connection.
    assert_eq!(client.ask(&submission("during", "order", 7, 20_000)).status(), 200);
    assert_nothing_sent(&successor, &endpoint);
}

/// Guards against a message that is sent again after the platform was notified of its end.
#[test]
fn id_that_ended_by_a_notification_is_not_sent() {
    let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
    let endpoints = [listing("e1", 7, "plain", endpoint.address), draining("e0", 8)];
    let node = Node::start(&program(), &platform, &endpoints, |_| {});
    assert_eq!(node.submit("failed", "order", 7, 20_000).status(), 202);
    endpoint.next().reply(status(500));
    let before = node.journal_length();
    assert_eq!(platform.answer_notification(204), [json!({"id": "failed", "status": "undeliverable"})]);
    wait_until(|| node.journal_length() > before);
    assert_eq!(node.submit("deferred", "order", 8, 500).status(), 202);
    assert_eq!(platform.answer_notification(204), [json!({"id": "deferred", "status": "deferred"})]);
    // Answered with 202 until the platform's acknowledgement is read.
    wait_until(|| node.submit("deferred", "order", 7, 20_000).status() == 500);
    assert_eq!(node.submit("failed", "order", 7, 20_000).status(), 500);
    let node = node.kill_and_restart();
    for id in ["failed", "deferred"] {
        assert_eq!(node.submit(id, "order", 7, 20_000).status(), 500, "{id} after a restart");
    }
    assert_nothing_sent(&node, &endpoint);
}

/// Guards against a message of a batch that is sent again, alone or in a further batch, after it was delivered.
#[test]
fn id_that_was_delivered_in_a_batch_is_not_sent() {
    let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
    let node = Node::start(&program(), &platform, &[draining("e0", 7)], |_| {});
    let ids = ["a", "b", "c"];
    for id in ids {
        assert_eq!(node.submit(id, "order", 7, 20_000).status(), 202);
    }
    platform.publish(&[listing("e1", 7, "bulk", endpoint.address)]);
    let batch = endpoint.next();
    assert_eq!(batch_ids(&batch), ids);
    let states: Vec<Value> = ids.iter().map(|id| json!({"id": id, "state": "ok"})).collect();
    let before = node.journal_length();
    batch.reply(Reply::Answer(200, vec![], json!(states).to_string()));
    wait_until(|| node.journal_length() > before);
    for id in ids {
        assert_eq!(node.submit(id, "order", 7, 20_000).status(), 200, "{id}");
    }
    assert_nothing_sent(&node, &endpoint);
}

/// What is remembered has a bound: beyond it messages are rejected with `Retry-After`, the log says why, and nothing that was
/// remembered is forgotten.
#[test]
fn rejects_messages_when_no_further_outcome_can_be_remembered() {
    let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
    let node = Node::start(&program(), &platform, &[listing("e1", 7, "plain", endpoint.address)], |config| {
        config["limits"]["disk_mb"] = json!(0.03);
    });
    let mut delivered = Vec::new();
    let rejected = loop {
        let id = format!("{:0>200}", delivered.len());
        let answer = node.submit(&id, "order", 7, 20_000);
        if answer.status() != 202 {
            break answer;
        }
        let call = endpoint.next();
        let before = node.journal_length();
        call.reply(status(200));
        wait_until(|| node.journal_length() != before);
        delivered.push(id);
        assert!(delivered.len() < 1000);
    };
    assert!(delivered.len() > 10, "{}", delivered.len());
    assert_eq!((rejected.status(), rejected.headers["retry-after"].as_str()), (503, "1.000"));
    // The line is written before the answer, but may be read after it.
    wait_until(|| node.log().iter().any(|line| line.contains("the ledger of outcomes is full")));
    for id in &delivered {
        assert_eq!(node.submit(id, "order", 7, 20_000).status(), 200);
    }
    assert!(!endpoint.has_unread_request(), "nothing is sent again");
}
