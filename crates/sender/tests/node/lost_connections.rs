//! Connections that are lost while they stand idle, or one by one under a request, while their endpoint is well.

use std::sync::mpsc::channel;
use std::time::Duration;

use super::program;
use serde_json::json;
use test_doubles::*;

fn hand_in(node: &Node, id: &str, class: &str) {
    assert_eq!(node.submit(id, class, 7, 20_000).status(), 202);
}

/// Has a message delivered; tells on which connection.
fn delivered(node: &Node, endpoint: &ScriptedServer, id: &str, class: &str, reply: Reply) -> usize {
    hand_in(node, id, class);
    let call = endpoint.next();
    assert_eq!(call.http.headers["req-id"], id);
    let (connection, before) = (call.connection, node.journal_length());
    call.reply(reply);
    // The answer has been read once the journal has heard of it.
    wait_until(|| node.journal_length() > before);
    connection
}

/// Guards what must not run twice against a kept connection that breaks as soon as something is written to it:
/// with its last byte gone it would count as one that may have run, and fail.
#[test]
fn a_kept_connection_that_breaks_at_the_next_request_fails_no_message() {
    let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
    let node = Node::start(&program(), &platform, &[listing("e1", 7, "plain", endpoint.address)], |_| {});
    delivered(&node, &endpoint, "a", "order", status(200));
    let (tell, broken) = channel();
    let kept = delivered(&node, &endpoint, "b", "order", Reply::ResetOnNextBytes(tell));
    hand_in(&node, "c", "order");
    let call = endpoint.next();
    assert_eq!(call.http.headers["req-id"], "c");
    assert_eq!(call.http.body, b"body\0of c", "the whole of it comes");
    assert_ne!(call.connection, kept);
    assert!(broken.try_recv().is_ok(), "it was tried on the kept one");
    call.reply(status(200));
    assert!(platform.notifications.try_recv().is_err());
}

/// Guards what must not run twice against kept connections while such are lost: others may still use them.
#[test]
fn after_a_kept_connection_was_lost_an_unsafe_message_gets_a_new_one() {
    let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
    let node = Node::start(&program(), &platform, &[listing("e1", 7, "plain", endpoint.address)], |_| {});
    delivered(&node, &endpoint, "a", "note", status(200));
    let kept = delivered(&node, &endpoint, "b", "note", status(200));
    hand_in(&node, "c", "note");
    let call = endpoint.next();
    assert_eq!(call.connection, kept);
    call.reply(Reply::Close);
    let again = endpoint.next();
    assert_eq!(again.http.headers["req-id"], "c", "it is keyed and goes once more");
    let kept = again.connection;
    let before = node.journal_length();
    again.reply(status(200));
    wait_until(|| node.journal_length() > before);
    let fresh = delivered(&node, &endpoint, "d", "order", status(200));
    assert_ne!(fresh, kept);
    let next = delivered(&node, &endpoint, "e", "note", status(200));
    assert_eq!(next, fresh, "the other one made room for it");
}

/// Guards against taking two lost connections for an outage: what comes after it would trickle.
#[test]
fn two_lost_connections_are_no_outage() {
    let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
    let mut listed = listing("e1", 7, "plain", endpoint.address);
    listed["weight"] = json!(1.0);
    let node = Node::start(&program(), &platform, &[listed], |_| {});
    delivered(&node, &endpoint, "a", "note", status(200));
    for id in ["b", "c"] {
        hand_in(&node, id, "order");
    }
    for call in [endpoint.next(), endpoint.next()] {
        call.reply(Reply::Close);
    }
    let mut ends = Vec::new();
    while ends.len() < 2 {
        ends.extend(platform.answer_notification(204));
    }
    assert!(ends.iter().all(|end| end["status"] == "undeliverable"), "they may have run");
    delivered(&node, &endpoint, "d", "note", status(200));
    // A burst right behind it would pass as what piled up in the outage.
    std::thread::sleep(Duration::from_secs(3));
    // Held for the ramp after an outage, they would be out of time.
    let ids = ["e", "f", "g", "h", "i"];
    for id in ids {
        assert_eq!(node.submit(id, "note", 7, 1500).status(), 202);
    }
    let calls = ids.map(|_| endpoint.next());
    assert_eq!(calls.map(|call| call.http.headers["req-id"].clone()), ids);
}

/// Guards against turning an endpoint away for one lost connection: the others would have to do its work.
#[test]
fn one_lost_connection_turns_no_endpoint_away() {
    let (platform, one, other) = (Platform::new(), ScriptedServer::new(), ScriptedServer::new());
    let known = [listing("e1", 7, "plain", one.address), listing("e2", 7, "plain", other.address)];
    let node = Node::start(&program(), &platform, &known, |_| {});
    let (mut lost, mut again) = (false, false);
    // Each goes to either with like chances.
    for n in 0..64 {
        hand_in(&node, &format!("m{n}"), "note");
        let before = node.journal_length();
        let mut answered = false;
        while !answered {
            let to_one = one.poll();
            answered = to_one.is_some() && lost;
            again |= answered;
            if let Some(call) = to_one {
                call.reply(if lost { status(200) } else { Reply::Close });
                lost = true;
            }
            if let Some(call) = other.poll() {
                call.reply(status(200));
                answered = true;
            }
            std::thread::yield_now();
        }
        wait_until(|| node.journal_length() > before);
        if again {
            return;
        }
    }
    panic!("nothing goes there any more, lost: {lost}");
}

/// Hands in so many notes, of which the first is turned away once: what comes next goes at the least pace,
/// a call in 2 s, and one call at a time until one is accepted.
fn turned_away(node: &Node, endpoint: &ScriptedServer, ids: &[&str], within_ms: u32) -> PendingRequest {
    assert_eq!(node.submit(ids[0], "note", 7, within_ms).status(), 202);
    let call = endpoint.next();
    assert_eq!(call.http.headers["req-id"], ids[0]);
    let before = node.journal_length();
    call.reply(status(503));
    // The refusal has been read once the journal has heard of it.
    wait_until(|| node.journal_length() > before);
    for id in &ids[1..] {
        assert_eq!(node.submit(id, "note", 7, within_ms).status(), 202);
    }
    let again = endpoint.next();
    assert_eq!(again.http.headers["req-id"], ids[0]);
    again
}

/// Guards the pace where messages are over before they go: a call that was not sent there used up nothing.
#[test]
fn a_call_for_a_message_that_is_over_costs_no_pace() {
    let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
    let node = Node::start(&program(), &platform, &[listing("e1", 7, "plain", endpoint.address)], |_| {});
    // At a call in 2 s, most of these would be out of time.
    let ids = ["a", "b", "c", "d", "e"];
    turned_away(&node, &endpoint, &ids, 5000).reply(status(410));
    for id in &ids[1..] {
        let call = endpoint.next();
        assert_eq!(call.http.headers["req-id"], *id);
        call.reply(status(410));
    }
    assert!(platform.notifications.try_recv().is_err());
}

/// Guards messages that are still waited for against those that nobody waits for any more, where a destination
/// is behind: how old these get is learnt from a call that comes too late.
#[test]
fn messages_as_old_as_one_that_was_given_up_go_last() {
    let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
    let node = Node::start(&program(), &platform, &[listing("e1", 7, "plain", endpoint.address)], |_| {});
    let over = turned_away(&node, &endpoint, &["a", "old"], 24_000);
    assert_eq!(node.submit("new", "note", 7, 24_000).status(), 202);
    // The older one gets past the age at which the first was sent; aims are at 4 s, and neither has passed its own.
    std::thread::sleep(Duration::from_millis(500));
    over.reply(status(410));
    let next = endpoint.next();
    assert_eq!(next.http.headers["req-id"], "new");
    next.reply(status(200));
    assert_eq!(endpoint.next().http.headers["req-id"], "old");
}

/// Guards the slots and a message's time against single calls that hang at an endpoint that is well.
#[test]
fn a_call_that_hangs_where_others_are_answered_is_called_off_long_before_the_aim() {
    let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
    let node = Node::start(&program(), &platform, &[listing("e1", 7, "plain", endpoint.address)], |_| {});
    for id in ["a", "b"] {
        delivered(&node, &endpoint, id, "note", status(200));
    }
    hand_in(&node, "c", "note");
    let hangs = endpoint.next();
    let since = std::time::Instant::now();
    let again = endpoint.next();
    assert_eq!(again.http.headers["req-id"], "c");
    assert!(hangs.closed.recv_timeout(TIMEOUT).is_ok(), "never two at once");
    assert!(since.elapsed() < Duration::from_secs(3), "the aim is four seconds");
    again.reply(status(200));
    // What must not be repeated is waited for.
    hand_in(&node, "d", "order");
    let waited_for = endpoint.next();
    std::thread::sleep(Duration::from_secs(2));
    assert!(waited_for.closed.try_recv().is_err());
    waited_for.reply(status(200));
    assert!(!endpoint.has_unread_request() && platform.notifications.try_recv().is_err());
}
