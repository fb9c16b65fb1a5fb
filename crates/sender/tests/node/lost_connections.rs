//! Connections that are lost while idle, or one at a time during a request, while their endpoint is healthy; and calls that end
//! without having used the endpoint.

use std::sync::mpsc::channel;
use std::time::Duration;

use super::{CONNECTION_REST, program};
use serde_json::json;
use test_doubles::*;

fn submit(node: &Node, id: &str, class: &str) {
    assert_eq!(node.submit(id, class, 7, 20_000).status(), 202);
}

/// Submits a message, replies to its call, and returns the number of the connection that carried it.
fn deliver(node: &Node, endpoint: &ScriptedServer, id: &str, class: &str, reply: Reply) -> usize {
    submit(node, id, class);
    let call = endpoint.next();
    assert_eq!(call.http.headers["req-id"], id);
    let (connection, before) = (call.connection, node.journal_length());
    call.reply(reply);
    // The sender has read the answer once the journal has grown.
    wait_until(|| node.journal_length() > before);
    connection
}

/// A kept connection that breaks as soon as something is written to it must not fail a non-idempotent message: if the last byte
/// of the request had been sent, the call would count as one that may have run.
#[test]
fn kept_connection_that_breaks_on_write_fails_no_message() {
    let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
    let node = Node::start(&program(), &platform, &[listing("e1", 7, "plain", endpoint.address)], |_| {});
    deliver(&node, &endpoint, "a", "order", status(200));
    let (reset_sender, reset) = channel();
    let broken_connection = deliver(&node, &endpoint, "b", "order", Reply::ResetOnNextBytes(reset_sender));
    std::thread::sleep(CONNECTION_REST);
    submit(&node, "c", "order");
    let call = endpoint.next();
    assert_eq!(call.http.headers["req-id"], "c");
    assert_eq!(call.http.body, b"body\0of c", "the complete body arrives");
    assert_ne!(call.connection, broken_connection);
    assert!(reset.try_recv().is_ok(), "the kept connection was tried first");
    call.reply(status(200));
    assert!(platform.notifications.try_recv().is_err());
}

/// After a kept connection was lost, non-idempotent messages must not use kept connections; other messages may still use them.
#[test]
fn non_idempotent_message_uses_new_connection_after_a_lost_one() {
    let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
    let node = Node::start(&program(), &platform, &[listing("e1", 7, "plain", endpoint.address)], |_| {});
    deliver(&node, &endpoint, "a", "note", status(200));
    let kept = deliver(&node, &endpoint, "b", "note", status(200));
    std::thread::sleep(CONNECTION_REST);
    submit(&node, "c", "note");
    let call = endpoint.next();
    assert_eq!(call.connection, kept);
    call.reply(Reply::Close);
    let resent = endpoint.next();
    assert_eq!(resent.http.headers["req-id"], "c", "it has an idempotency key and is sent again");
    let kept = resent.connection;
    let before = node.journal_length();
    resent.reply(status(200));
    wait_until(|| node.journal_length() > before);
    std::thread::sleep(CONNECTION_REST);
    let new_connection = deliver(&node, &endpoint, "d", "order", status(200));
    assert_ne!(new_connection, kept);
    std::thread::sleep(CONNECTION_REST);
    let next_connection = deliver(&node, &endpoint, "e", "note", status(200));
    assert_eq!(
        next_connection, new_connection,
        "the older connection was closed to make room for the new one"
    );
}

/// Two lost connections must not be taken for an outage, after which messages would be sent at a reduced rate.
#[test]
fn two_lost_connections_are_not_an_outage() {
    let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
    let mut entry = listing("e1", 7, "plain", endpoint.address);
    entry["weight"] = json!(1.0);
    let node = Node::start(&program(), &platform, &[entry], |_| {});
    deliver(&node, &endpoint, "a", "note", status(200));
    for id in ["b", "c"] {
        submit(&node, id, "order");
    }
    for call in [endpoint.next(), endpoint.next()] {
        call.reply(Reply::Close);
    }
    let mut outcomes = Vec::new();
    while outcomes.len() < 2 {
        outcomes.extend(platform.answer_notification(204));
    }
    assert!(outcomes.iter().all(|outcome| outcome["status"] == "undeliverable"), "the calls may have run");
    deliver(&node, &endpoint, "d", "note", status(200));
    // A burst sent right afterwards would pass as the backlog of an outage.
    std::thread::sleep(Duration::from_secs(3));
    // Delayed by the slow start after an outage, these would expire.
    let ids = ["e", "f", "g", "h", "i"];
    for id in ids {
        assert_eq!(node.submit(id, "note", 7, 1500).status(), 202);
    }
    let calls = ids.map(|_| endpoint.next());
    assert_eq!(calls.map(|call| call.http.headers["req-id"].clone()), ids);
}

/// One lost connection must not take an endpoint out of use: the others would have to do its work.
#[test]
fn endpoint_stays_in_use_after_one_lost_connection() {
    let (platform, failing, other) = (Platform::new(), ScriptedServer::new(), ScriptedServer::new());
    let endpoints = [listing("e1", 7, "plain", failing.address), listing("e2", 7, "plain", other.address)];
    let node = Node::start(&program(), &platform, &endpoints, |_| {});
    let (mut was_lost, mut called_again) = (false, false);
    // Each message goes to either endpoint with equal probability.
    for n in 0..64 {
        submit(&node, &format!("m{n}"), "note");
        let before = node.journal_length();
        let mut answered = false;
        while !answered {
            let to_failing = failing.poll();
            answered = to_failing.is_some() && was_lost;
            called_again |= answered;
            if let Some(call) = to_failing {
                call.reply(if was_lost { status(200) } else { Reply::Close });
                was_lost = true;
            }
            if let Some(call) = other.poll() {
                call.reply(status(200));
                answered = true;
            }
            std::thread::yield_now();
        }
        wait_until(|| node.journal_length() > before);
        if called_again {
            return;
        }
    }
    panic!("the endpoint got no further call; connection lost: {was_lost}");
}

/// Submits these idempotent messages, of which the first is rejected once, and returns its second call. After that the endpoint
/// is called at the minimum send rate, one call per 2 s, and one call at a time until one is accepted.
fn submit_with_one_rejection(
    node: &Node,
    endpoint: &ScriptedServer,
    ids: &[&str],
    within_ms: u32,
) -> PendingRequest {
    assert_eq!(node.submit(ids[0], "note", 7, within_ms).status(), 202);
    let call = endpoint.next();
    assert_eq!(call.http.headers["req-id"], ids[0]);
    let before = node.journal_length();
    call.reply(status(503));
    // The sender has read the rejection once the journal has grown.
    wait_until(|| node.journal_length() > before);
    for id in &ids[1..] {
        assert_eq!(node.submit(id, "note", 7, within_ms).status(), 202);
    }
    let resent = endpoint.next();
    assert_eq!(resent.http.headers["req-id"], ids[0]);
    resent
}

/// A call answered with 410 was not forwarded to the endpoint, because its message was over by then: it must not count against
/// the send rate.
#[test]
fn call_answered_with_410_does_not_count_against_the_send_rate() {
    let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
    let node = Node::start(&program(), &platform, &[listing("e1", 7, "plain", endpoint.address)], |_| {});
    // At one call per 2 s most of these would expire.
    let ids = ["a", "b", "c", "d", "e"];
    submit_with_one_rejection(&node, &endpoint, &ids, 5000).reply(status(410));
    for id in &ids[1..] {
        let call = endpoint.next();
        assert_eq!(call.http.headers["req-id"], *id);
        call.reply(status(410));
    }
    assert!(platform.notifications.try_recv().is_err());
}

/// When a destination has a backlog, messages that somebody still waits for must go before those that nobody waits for any more.
/// The age at which messages are abandoned is learnt from a call that comes too late (410).
#[test]
fn messages_of_the_age_of_an_abandoned_one_go_last() {
    let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
    let node = Node::start(&program(), &platform, &[listing("e1", 7, "plain", endpoint.address)], |_| {});
    let abandoned = submit_with_one_rejection(&node, &endpoint, &["a", "old"], 24_000);
    assert_eq!(node.submit("new", "note", 7, 24_000).status(), 202);
    // The older one exceeds the age at which the first was sent. Latency objectives are 4 s; neither has exceeded its own.
    std::thread::sleep(Duration::from_millis(500));
    abandoned.reply(status(410));
    let next = endpoint.next();
    assert_eq!(next.http.headers["req-id"], "new");
    next.reply(status(200));
    assert_eq!(endpoint.next().http.headers["req-id"], "old");
}

/// A single call that hangs at a healthy endpoint must not occupy its slot, nor use up the time of its message, until the
/// latency objective (4 s) has passed.
#[test]
fn hanging_idempotent_call_is_cancelled_before_the_latency_objective() {
    let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
    let node = Node::start(&program(), &platform, &[listing("e1", 7, "plain", endpoint.address)], |_| {});
    for id in ["a", "b"] {
        deliver(&node, &endpoint, id, "note", status(200));
    }
    submit(&node, "c", "note");
    let hanging = endpoint.next();
    let called_at = std::time::Instant::now();
    let resent = endpoint.next();
    assert_eq!(resent.http.headers["req-id"], "c");
    assert!(
        hanging.closed.recv_timeout(TIMEOUT).is_ok(),
        "the first call is cancelled before the second one is made"
    );
    assert!(called_at.elapsed() < Duration::from_secs(3), "long before the latency objective of 4 s");
    resent.reply(status(200));
    // A call of a non-idempotent message is not cancelled.
    submit(&node, "d", "order");
    let not_repeatable = endpoint.next();
    std::thread::sleep(Duration::from_secs(2));
    assert!(not_repeatable.closed.try_recv().is_err());
    not_repeatable.reply(status(200));
    assert!(!endpoint.has_unread_request() && platform.notifications.try_recv().is_err());
}
