//! Robustness: clients that misbehave, a platform that changes its address, endpoints that come and go, and endpoints whose
//! answers are malformed.

use super::program;
use serde_json::json;
use test_doubles::*;

fn submit_order(node: &Node, id: &str, dest: u16) -> u16 {
    node.submit(id, "order", dest, 20_000).status()
}

/// On SIGHUP with a new platform address the process must not exit, its watch must not stay at the old address, notifications
/// must not go there, and list versions of the two addresses must not be mixed.
#[test]
fn sighup_moves_watch_and_notifications_to_the_new_address() {
    let (old, new, newest) = (Platform::new(), Platform::new(), Platform::new());
    let endpoint = ScriptedServer::new();
    let mut node = Node::start(&program(), &old, &[draining("e0", 7)], |_| {});
    assert!(old.watched.recv_timeout(TIMEOUT).unwrap().contains("from=1&"));
    let mut config = node.configuration();
    config["discovery"] = json!(new.address.to_string());
    node.reconfigure(&config.to_string());
    node.signal("-HUP");
    assert_eq!(
        new.watched.recv_timeout(TIMEOUT).unwrap(),
        "/v1/endpoints",
        "the whole list is requested first"
    );
    assert!(new.watched.recv_timeout(TIMEOUT).unwrap().contains("from=1&"));
    new.publish(&[listing("e1", 7, "plain", endpoint.address)]);
    assert_eq!(submit_order(&node, "a", 7), 202);
    endpoint.next().reply(status(500));
    let notification =
        new.notifications.recv_timeout(TIMEOUT).expect("the notification goes to the new address");
    assert_eq!(notification.http.json(), json!({"id": "a", "status": "undeliverable"}));
    // The notification is not acknowledged there, and is repeated to the platform's address at that time.
    config["discovery"] = json!(newest.address.to_string());
    node.reconfigure(&config.to_string());
    node.signal("-HUP");
    node.signal("-HUP");
    assert_eq!(newest.answer_notification(204), [json!({"id": "a", "status": "undeliverable"})]);
    assert_eq!(newest.watched.recv_timeout(TIMEOUT).unwrap(), "/v1/endpoints");
    // An unreadable configuration changes nothing, and the process still exits on SIGTERM.
    node.reconfigure("{");
    node.signal("-HUP");
    newest
        .publish(&[listing("e1", 7, "plain", endpoint.address), listing("e2", 8, "plain", endpoint.address)]);
    wait_until(|| submit_order(&node, "b", 8) == 202);
    assert_eq!(endpoint.next().http.headers["req-id"], "b");
    node.signal("-HUP");
    node.signal("-TERM");
    assert_eq!(node.exit_code(), Some(0));
    assert!(old.notifications.try_recv().is_err(), "no notification goes to the old address");
}

/// Two clients submit the same id: when one of them closes its connection, the other one's message must not be withdrawn.
#[test]
fn closed_client_withdraws_only_its_own_request() {
    let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
    // Long iterations: both requests are open at once.
    let node = Node::start(&program(), &platform, &[listing("e1", 7, "plain", endpoint.address)], |config| {
        config["settings"]["period_us"] = json!(300_000);
    });
    assert_eq!(submit_order(&node, "first", 7), 202);
    let _ = endpoint.next();
    let (mut one, mut other) = (Client::new(&node), Client::new(&node));
    one.write(&submission("a", "order", 7, 20_000));
    other.write(&submission("a", "order", 7, 20_000));
    drop(other);
    assert_eq!(one.answer().expect("an answer").status(), 202);
    assert_eq!(endpoint.next().http.headers["req-id"], "a");
}

/// Clients that send nothing, or never complete a request, must not keep other clients out when connections are limited.
#[test]
fn silent_clients_do_not_block_others() {
    let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
    let node = Node::start(&program(), &platform, &[listing("e1", 7, "plain", endpoint.address)], |config| {
        config["limits"]["sockets"] = json!(64);
    });
    let mut answered = Client::new(&node);
    assert_eq!(answered.ask(&submission("kept", "order", 7, 20_000)).status(), 202);
    let mut silent: Vec<_> = (0..100).map(|_| Client::new(&node)).collect();
    assert_eq!(submit_order(&node, "a", 7), 202);
    assert!(answered.ended(), "a connection that was answered is closed first: its client can open another");
    assert!(silent.iter_mut().all(Client::ended), "idle connections are closed after a timeout");
    let request = String::from_utf8(submission("c", "order", 7, 20_000)).unwrap();
    let (head, _) = request.split_once("\r\n\r\n").unwrap();
    let mut endless = Client::new(&node);
    endless.write(head.as_bytes());
    assert!(endless.ended());
    let mut truncated = Client::new(&node);
    truncated.write(format!("{head}\r\n\r\nhalf").as_bytes());
    assert_eq!(truncated.answer().expect("an answer").status(), 400);
    let mut long = Client::new(&node);
    long.write(format!("POST /order HTTP/1.1\r\nLong: {}", "x".repeat(100_000)).as_bytes());
    assert!(long.answer().is_none_or(|answer| answer.status() == 431));
}

/// A second request that is hidden in the body of the first must not be accepted (request smuggling).
#[test]
fn rejects_request_with_conflicting_lengths() {
    let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
    let node = Node::start(&program(), &platform, &[listing("e1", 7, "plain", endpoint.address)], |_| {});
    let hidden = String::from_utf8(submission("hidden", "order", 7, 20_000)).unwrap();
    let request = String::from_utf8(submission("a", "order", 7, 20_000)).unwrap();
    let (head, _) = request.split_once("Content-Length").unwrap();
    let length = format!("Content-Length: {}\r\n", hidden.len() + 5);
    let chunked = "Transfer-Encoding: chunked\r\n";
    for lengths in [
        format!("{length}{chunked}"),
        format!("{chunked}{length}"),
        format!("{length}{chunked}{length}"),
        format!("{chunked}Transfer-Encoding: identity\r\n{length}"),
    ] {
        let mut client = Client::new(&node);
        client.write(format!("{head}{lengths}\r\n0\r\n\r\n{hidden}").as_bytes());
        assert_eq!(client.answer().expect("an answer").status(), 400, "{lengths}");
        assert!(client.answer().is_none(), "{lengths}");
    }
    assert_eq!(submit_order(&node, "fine", 7), 202);
    assert_eq!(endpoint.next().http.headers["req-id"], "fine");
    assert!(!endpoint.has_unread_request());
}

/// Messages for a destination that no list has named must not take up space, since no endpoint may ever take them.
#[test]
fn rejects_messages_for_unlisted_destination() {
    let platform = Platform::new();
    let node = Node::start(&program(), &platform, &[draining("e0", 7)], |_| {});
    let refused = node.submit("a", "order", 8, 20_000);
    assert_eq!((refused.status(), refused.headers["retry-after"].as_str()), (503, "1.000"));
    assert_eq!(submit_order(&node, "b", 7), 202);
    platform.publish(&[draining("e0", 7), draining("e1", 8)]);
    wait_until(|| submit_order(&node, "a", 8) == 202);
}

/// Submits a non-idempotent message, replies to its call, and returns how it ends: the status of its notification, or "sent
/// again".
fn outcome_after_reply(
    platform: &Platform,
    endpoint: &ScriptedServer,
    node: &Node,
    id: &str,
    reply: Reply,
) -> &'static str {
    assert_eq!(submit_order(node, id, 7), 202);
    let call = endpoint.next();
    assert_eq!(call.http.headers["req-id"], id);
    call.reply(reply);
    loop {
        if let Ok(request) = platform.notifications.try_recv() {
            let notification = request.http.json();
            assert_eq!(notification["id"], id);
            request.reply(status(204));
            return if notification["status"] == "undeliverable" { "undeliverable" } else { "deferred" };
        }
        if let Some(resent) = endpoint.poll() {
            assert_eq!(resent.http.headers["req-id"], id);
            resent.reply(status(200));
            return "sent again";
        }
        std::thread::yield_now();
    }
}

/// The head of an answer whose rest is malformed does not prove that the call never ran: a non-idempotent message would be sent
/// twice. A complete answer proves it, also after interim answers.
#[test]
fn only_a_complete_answer_proves_that_a_call_never_ran() {
    let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
    let node = Node::start(&program(), &platform, &[listing("e1", 7, "plain", endpoint.address)], |_| {});
    let malformed: [&[u8]; 8] = [
        b"HTTP/1.1 503 X\r\ncontent-length: 3000000000\r\n\r\nxxxx",
        b"HTTP/1.1 429 X\r\nretry-after: 0.01\r\ncontent-length: 40\r\n\r\nxxxx",
        b"HTTP/1.1 503 X\r\ncontent-length: 2\r\n\r\nxxxxxxxx",
        b"HTTP/1.1 503 X\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n",
        b"HTTP/1.1 503 X\r\nno end",
        b"HTTP/1.1 503 X\r\n\x00\x01: \r\n\r\n",
        b"\xfe\xff\x00 noise HTTP/1.1 200 OK\r\n\r\n",
        b"HTTP/1.1 2000 OK\r\ncontent-length: 0\r\n\r\n",
    ];
    for (n, bytes) in malformed.into_iter().enumerate() {
        let outcome = outcome_after_reply(&platform, &endpoint, &node, &format!("s{n}"), Reply::Bytes(bytes));
        assert_eq!(outcome, "undeliverable", "{}", String::from_utf8_lossy(bytes));
    }
    let complete = b"HTTP/1.1 102 X\r\na: b\r\n\r\nHTTP/1.1 503 X\r\ncontent-length: 2\r\n\r\nno";
    assert_eq!(outcome_after_reply(&platform, &endpoint, &node, "w", Reply::Bytes(complete)), "sent again");
}

/// A message counts as delivered by the status line with 200, even if the rest of the answer is malformed; and bytes after an
/// answer must not be taken for the answer to the next message.
#[test]
fn status_line_200_counts_and_trailing_bytes_answer_no_other_call() {
    let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
    let node = Node::start(&program(), &platform, &[listing("e1", 7, "plain", endpoint.address)], |_| {});
    let delivered: [&[u8]; 6] = [
        b"HTTP/1.1 200 OK\r\ncontent-length: 3000000000\r\n\r\nxxxx",
        b"HTTP/1.1 200 OK\r\ncontent-length: -4\r\n\r\nxxxx",
        b"HTTP/1.1 200 OK\r\n\x00\x01: \r\n\r\n",
        b"HTTP/1.1 200 OK\r\nno end",
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200\r\n: :\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n",
    ];
    for (n, bytes) in delivered.into_iter().enumerate() {
        let before = node.journal_length();
        assert_eq!(submit_order(&node, &format!("d{n}"), 7), 202);
        let call = endpoint.next();
        let submitted = node.journal_length();
        assert!(submitted > before);
        let used_connection = call.connection;
        call.reply(Reply::Bytes(bytes));
        wait_until(|| node.journal_length() > submitted);
        // A non-idempotent message whose call may have run would have ended with a notification.
        assert!(platform.notifications.try_recv().is_err(), "{}", String::from_utf8_lossy(bytes));
        assert_eq!(submit_order(&node, &format!("n{n}"), 7), 202);
        let next = endpoint.next();
        assert_ne!(
            next.connection, used_connection,
            "a connection with a malformed answer is not used again"
        );
        assert_eq!(next.http.headers["req-id"], format!("n{n}"));
        // The message ends by the answer to its own call.
        assert_eq!(id_of_failed_message(&platform, next), format!("n{n}"));
    }
}

/// Replies to a call with 500, so that its message may have run, and returns the id in the notification.
fn id_of_failed_message(platform: &Platform, call: PendingRequest) -> String {
    call.reply(status(500));
    platform.answer_notification(204)[0]["id"].as_str().unwrap().to_owned()
}

/// Malformed answers must not count as failures of the destination: its breaker would open and hold back all other messages.
#[test]
fn malformed_answers_do_not_open_a_breaker() {
    let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
    // With the breaker open a message with a short deadline would be rejected at once.
    let node = Node::start(&program(), &platform, &[listing("e1", 7, "plain", endpoint.address)], |_| {});
    for n in 0..8 {
        let reply = Reply::Bytes(b"\x00\x01\x02 noise\r\n\r\n");
        assert_eq!(
            outcome_after_reply(&platform, &endpoint, &node, &format!("s{n}"), reply),
            "undeliverable"
        );
    }
    assert_eq!(node.submit("a", "order", 7, 1500).status(), 202);
    assert_eq!(endpoint.next().http.headers["req-id"], "a");
}

/// Endpoints that come and go, each time with new names, must not make the memory grow.
#[test]
fn removed_endpoints_release_their_memory() {
    let platform = Platform::new();
    let node = Node::start(&program(), &platform, &[], |_| {});
    let replace_list = |round: usize| {
        let endpoints: Vec<_> = (0..250).map(|n| draining(&format!("e{round}-{n}"), n % 9)).collect();
        let version = platform.publish(&endpoints);
        // The sender requests changes after a version once it has processed that version.
        while !platform.watched.recv_timeout(TIMEOUT).unwrap().contains(&format!("from={version}&")) {}
    };
    (0..40).for_each(replace_list);
    let before = node.memory_kb();
    (40..440).for_each(replace_list);
    let grown = node.memory_kb().saturating_sub(before);
    assert!(grown < 4000, "{grown} KB for 100,000 endpoints");
}

/// A sender whose discovery request is rejected must wait long enough before the next one that many senders (here 48) do not
/// overload discovery.
#[test]
fn waits_before_next_request_after_discovery_rejection() {
    let (platform, discovery) = (Platform::new(), ScriptedServer::new());
    let _node = Node::start(&program(), &platform, &[draining("e0", 7)], |config| {
        config["discovery"] = json!(discovery.address.to_string());
        config["settings"]["balancers"] = json!(48);
    });
    discovery.next().reply(status(503));
    let rejected_at = std::time::Instant::now();
    let next_request = discovery.next();
    assert!(rejected_at.elapsed() >= std::time::Duration::from_millis(600), "{:?}", rejected_at.elapsed());
    next_request.reply(Reply::Answer(200, vec![], json!({"index": 2}).to_string()));
    assert!(discovery.next().http.first.contains("from=2"), "the watch continues after an answer");
}
