//! Races at the end of a message, a call, a connection or a process, each of which is forced to occur, and the sender's duties in
//! them (`docs/endings.md`). Also the treatment of recovered messages after a restart.

use std::time::{Duration, Instant};

use serde_json::json;

use super::{batch_ids, program};
use test_doubles::*;

/// Client and sender count a message's deadline from slightly different times. An answer between the two came too late for the
/// platform, which did not count it as an outcome, but in time for the sender, which sent no notification. So the timeout of a
/// call, which its request states, has to end some time before the client's deadline. A delay in reading the call here adds to
/// the measured end, so one call that ends early enough suffices; without the margin none does.
#[test]
fn call_timeout_ends_before_the_message_deadline() {
    const DEADLINE: Duration = Duration::from_millis(400);
    let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
    let node = Node::start(&program(), &platform, &[listing("e1", 7, "plain", endpoint.address)], |_| {});
    let mut client = Client::new(&node);
    let ends_early = (0..200).any(|n| {
        let submitted_at = Instant::now();
        assert_eq!(client.ask(&submission(&format!("m{n}"), "order", 7, 400)).status(), 202);
        let call = endpoint.next();
        let call_timeout_ms: u64 = call.http.headers["req-deadline-ms"].parse().unwrap();
        let call_end = submitted_at.elapsed() + Duration::from_millis(call_timeout_ms);
        let before = node.journal_length();
        call.reply(status(200));
        wait_until(|| node.journal_length() > before);
        call_end < DEADLINE - Duration::from_millis(14)
    });
    assert!(
        ends_early,
        "no call ended more than 14 ms before the deadline; two iterations (10 ms) are not enough"
    );
}

/// A kept connection to the platform that no longer responds must not delay a notification, which is due within 300 ms.
#[test]
fn notification_on_silent_connection_is_repeated_over_another_in_time() {
    let platform = Platform::new();
    let node = Node::start(&program(), &platform, &[draining("e0", 7)], |_| {});
    let mut shortest = Duration::MAX;
    // One quick repeat is enough: without the hedged request there is none, and a busy machine may delay some.
    for n in 0..8 {
        assert_eq!(node.submit(&format!("m{n}"), "order", 7, 60).status(), 202);
        let unanswered = platform.notifications.recv_timeout(TIMEOUT).unwrap();
        let sent_at = Instant::now();
        let repeated = platform.notifications.recv_timeout(TIMEOUT).unwrap();
        shortest = shortest.min(sent_at.elapsed());
        assert_eq!(repeated.http.body, unanswered.http.body);
        assert_ne!(repeated.connection, unanswered.connection);
        repeated.reply(status(204));
        if shortest < Duration::from_millis(300) {
            return;
        }
    }
    panic!("the quickest repeat came after {shortest:?}");
}

/// The first request on a connection that was opened around SIGTERM must be answered, even if it arrives long after the process
/// has seen both the connection and the signal.
#[test]
fn new_connection_is_answered_once_during_shutdown() {
    let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
    let mut node = Node::start(&program(), &platform, &[listing("e1", 7, "plain", endpoint.address)], |_| {});
    let mut idle = Client::new(&node);
    assert_eq!(idle.ask(b"GET /ready HTTP/1.1\r\nHost: origin.svc\r\n\r\n").status(), 200);
    let mut before = Client::new(&node);
    // The connection has been accepted once a later one is answered.
    assert_eq!(node.ask(b"GET /ready HTTP/1.1\r\nHost: origin.svc\r\n\r\n").status(), 200);
    node.signal("-TERM");
    assert!(idle.ended(), "the process has received SIGTERM");
    let mut after = Client::new(&node);
    assert_eq!(node.ask(b"GET /ready HTTP/1.1\r\nHost: origin.svc\r\n\r\n").status(), 503);
    for (id, client) in [("before", &mut before), ("after", &mut after)] {
        let answer = client.ask(&submission(id, "note", 7, 20_000));
        assert_eq!(answer.status(), 202);
        assert_eq!(answer.headers["connection"], "close");
        assert!(client.ended(), "the connection is closed after one answer");
        endpoint.next().reply(status(200));
    }
    assert_eq!(node.exit_code(), Some(0));
}

/// A request of which a part was read before SIGTERM must be answered; that answer is the last on its connection.
#[test]
fn partly_read_request_is_answered_during_shutdown() {
    let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
    let mut node = Node::start(&program(), &platform, &[listing("e1", 7, "plain", endpoint.address)], |_| {});
    const READY: &[u8] = b"GET /ready HTTP/1.1\r\nHost: origin.svc\r\n\r\n";
    let (mut idle, mut partial) = (Client::new(&node), Client::new(&node));
    assert_eq!(partial.ask(READY).status(), 200);
    let request = submission("a", "note", 7, 20_000);
    let (first, rest) = request.split_at(40);
    partial.write(first);
    // The part has been read once a later request is answered.
    assert_eq!(idle.ask(READY).status(), 200);
    node.signal("-TERM");
    assert!(idle.ended(), "the process has received SIGTERM");
    partial.write(rest);
    let answer = partial.answer().expect("an answer");
    assert_eq!((answer.status(), &*answer.headers["connection"]), (202, "close"));
    assert!(partial.ended());
    endpoint.next().reply(status(200));
    assert_eq!(node.exit_code(), Some(0));
}

/// The deadline of a message counts from the arrival of its request, also when the request lay unread while the process was
/// stopped. The notification is due within 300 ms of it.
#[test]
fn deadline_counts_from_the_arrival_of_an_unread_request() {
    const STOPPED_FOR: Duration = Duration::from_millis(350);
    const DEADLINE_MS: u32 = 900;
    let platform = Platform::new();
    let node = Node::start(&program(), &platform, &[draining("e0", 7)], |_| {});
    let mut shortest = Duration::MAX;
    // One notification in time is enough: without the correction there is none, and a busy machine may delay some.
    for n in 0..8 {
        let mut client = Client::new(&node);
        assert_eq!(client.ask(b"GET /ready HTTP/1.1\r\nHost: origin.svc\r\n\r\n").status(), 200);
        node.stop();
        let sent_at = Instant::now();
        client.write(&submission(&format!("m{n}"), "order", 7, DEADLINE_MS));
        // No event could be waited for instead.
        std::thread::sleep(STOPPED_FOR);
        node.signal("-CONT");
        assert_eq!(client.answer().expect("an answer").status(), 202);
        platform.answer_notification(204);
        shortest = shortest.min(sent_at.elapsed());
        if shortest < Duration::from_millis(u64::from(DEADLINE_MS) + 100) {
            return;
        }
    }
    panic!("the earliest notification came after {shortest:?}");
}

/// A client submits the same message over two connections, and the first one is closed: the 202 on the second one still holds.
/// (The case that the close is seen after the answer to the second was decided, and before the answer to the first, can't be
/// forced from outside.)
#[test]
fn duplicate_submission_stays_accepted_when_the_first_connection_closes() {
    let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
    let node = Node::start(&program(), &platform, &[draining("e0", 7)], |_| {});
    let (mut first, mut second) = (Client::new(&node), Client::new(&node));
    for client in [&mut first, &mut second] {
        assert_eq!(client.ask(b"GET /ready HTTP/1.1\r\nHost: origin.svc\r\n\r\n").status(), 200);
    }
    // The process is stopped, so that it finds both requests and the close of the first connection at once.
    node.stop();
    first.write(&submission("a", "note", 7, 20_000));
    second.write(&submission("a", "note", 7, 20_000));
    drop(first);
    node.signal("-CONT");
    assert_eq!(second.answer().unwrap().status(), 202);
    platform.publish(&[listing("e1", 7, "plain", endpoint.address)]);
    let call = endpoint.next();
    assert_eq!(call.http.headers["req-id"], "a");
    call.reply(status(200));
}

/// Recovered unattempted messages are sent as soon as there is an endpoint for them, and the log states what became of them.
#[test]
fn recovered_messages_are_sent_and_reported_in_the_log() {
    let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
    let node = Node::start(&program(), &platform, &[draining("e0", 7), draining("e1", 8)], |_| {});
    for n in 0..3 {
        assert_eq!(node.submit(&format!("m{n}"), "order", 7, 20_000).status(), 202);
    }
    assert_eq!(node.submit("short", "order", 8, 700).status(), 202);
    let node = node.kill_and_restart();
    assert_eq!(platform.answer_notification(204)[0]["id"], json!("short"));
    platform.publish(&[listing("e2", 7, "plain", endpoint.address), draining("e1", 8)]);
    let mut ids: Vec<_> = (0..3)
        .map(|_| {
            let call = endpoint.next();
            let id = call.http.headers["req-id"].clone();
            call.reply(status(200));
            id
        })
        .collect();
    ids.sort();
    assert_eq!(ids, ["m0", "m1", "m2"]);
    let summary =
        "of 4 untried messages of the process before 3 were called; without a call ended 1 (1 out of time";
    wait_until(|| node.log().iter().any(|line| line.contains(summary)));
}

/// Recovered unattempted messages are kept when more messages come in than the sender may hold, and are sent before later ones:
/// the newer ones are evicted.
#[test]
fn recovered_messages_are_not_evicted_by_newer_ones() {
    const RECOVERED: usize = 12;
    let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
    let node = Node::start(&program(), &platform, &[draining("e0", 7)], |config| {
        config["settings"]["limits"]["max_open"] = json!(16);
    });
    for n in 0..RECOVERED {
        assert_eq!(node.submit(&format!("old{n}"), "order", 7, 20_000).status(), 202);
    }
    let node = node.kill_and_restart();
    for n in 0..20 {
        assert_eq!(node.submit(&format!("new{n}"), "note", 7, 20_000).status(), 202);
    }
    let first_evicted = platform.answer_notification(204)[0]["id"].to_string();
    assert!(first_evicted.contains("new"), "{first_evicted}");
    platform.publish(&[listing("e1", 7, "plain", endpoint.address)]);
    let ids: Vec<_> = (0..RECOVERED)
        .map(|_| {
            let call = endpoint.next();
            let id = call.http.headers["req-id"].clone();
            call.reply(status(200));
            id
        })
        .collect();
    let old: Vec<_> = (0..RECOVERED).map(|n| format!("old{n}")).collect();
    assert!(old.iter().all(|id| ids.contains(id)), "{ids:?}");
}

/// The message with the latest deadline has to be the first of a batch: when the first one reached its deadline before its call
/// ended, that was taken for the end of all of them.
#[test]
fn batch_starts_with_the_message_with_the_latest_deadline() {
    let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
    let node = Node::start(&program(), &platform, &[draining("e0", 7)], |_| {});
    for (id, deadline_ms) in [("short", 3_000), ("long", 20_000), ("shorter", 2_000)] {
        assert_eq!(node.submit(id, "order", 7, deadline_ms).status(), 202);
    }
    platform.publish(&[listing("e1", 7, "bulk", endpoint.address)]);
    let call = endpoint.next();
    assert_eq!(batch_ids(&call), ["long", "short", "shorter"]);
    call.reply(status(200));
}

/// When the idempotency of a class changes between two processes, a message accepted under the old settings is bound by the old
/// or the new ones, whichever are stricter; a new message by the new settings alone.
#[test]
fn recovered_message_is_bound_by_stricter_of_old_and_new_settings() {
    for [before, after] in [["once", "repeatable"], ["repeatable", "once"]] {
        let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
        let endpoints = [listing("e1", 7, "plain", endpoint.address)];
        let node = Node::start(&program(), &platform, &endpoints, |config| {
            config["settings"]["classes"][1]["effect"] = json!(before);
        });
        assert_eq!(node.submit("old", "order", 7, 20_000).status(), 202);
        let _call = endpoint.next();
        let mut configuration = node.configuration();
        configuration["settings"]["classes"][1]["effect"] = json!(after);
        node.reconfigure(&configuration.to_string());
        let node = node.kill_and_restart();
        assert_eq!(
            platform.answer_notification(204),
            [json!({"id": "old", "status": "undeliverable"})],
            "{before}"
        );
        // A new message is bound by the new settings alone.
        assert_eq!(node.submit("new", "order", 7, 20_000).status(), 202);
        let call = endpoint.next();
        assert_eq!(call.http.headers["req-id"], "new");
        call.reply(Reply::Close);
        if after == "repeatable" {
            let resent = endpoint.next();
            assert_eq!(resent.http.headers["req-id"], "new", "resent, since it may run twice");
            resent.reply(status(200));
        } else {
            assert_eq!(platform.answer_notification(204), [json!({"id": "new", "status": "undeliverable"})]);
        }
    }
}

/// An answer that is still unread when the message's deadline passes, or when the call's timeout passes, must not count as an
/// outcome. The process is stopped, so that it finds the answer and the end of the time at once.
#[test]
fn answer_read_after_the_deadline_does_not_count() {
    // First the message's deadline passes before the answer is read, then the call's timeout, which the latency objective sets.
    for (deadline_ms, objective_ms) in [(400, 4000), (20_000, 400)] {
        let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
        let endpoints = [listing("e1", 7, "plain", endpoint.address)];
        let node = Node::start(&program(), &platform, &endpoints, |config| {
            config["settings"]["classes"][1]["on_time_us"] = json!(objective_ms * 1000);
        });
        assert_eq!(node.submit("a", "order", 7, deadline_ms).status(), 202);
        let call = endpoint.next();
        let call_timeout_ms: u64 = call.http.headers["req-deadline-ms"].parse().unwrap();
        assert!(call_timeout_ms <= 400, "{call_timeout_ms}");
        node.stop();
        call.reply(status(200));
        // Sleeps past the time that the call had left when it arrived; no event could be waited for instead.
        std::thread::sleep(Duration::from_millis(call_timeout_ms + 100));
        node.signal("-CONT");
        assert_eq!(
            platform.answer_notification(204),
            [json!({"id": "a", "status": "undeliverable"})],
            "{deadline_ms}"
        );
    }
}

/// A notification that is slow on its first connection must not be cancelled for the second one, which may be later still: the
/// answer to the first counts.
#[test]
fn late_answer_to_first_notification_request_counts() {
    let platform = Platform::new();
    let node = Node::start(&program(), &platform, &[draining("e0", 7)], |_| {});
    assert_eq!(node.submit("a", "order", 7, 60).status(), 202);
    let first = platform.notifications.recv_timeout(TIMEOUT).unwrap();
    let second = platform.notifications.recv_timeout(TIMEOUT).unwrap();
    assert!(first.closed.try_recv().is_err(), "the first request is not cancelled");
    let before = node.journal_length();
    first.reply(status(204));
    wait_until(|| node.journal_length() > before);
    drop(second);
}
