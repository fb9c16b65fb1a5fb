//! Days that are not calm: clients that do harm, a platform that moves, endpoints that come and go or whose
//! answers are spoilt.

use super::program;
use serde_json::json;
use test_doubles::*;

fn orders(node: &Node, id: &str, dest: u16) -> u16 {
    node.submit(id, "order", dest, 20_000).status()
}

/// Guards against dying of SIGHUP, against a watch that waits on at the old place, against notices that go
/// there, and against versions of two places that mix.
#[test]
fn a_new_configuration_moves_the_watch_and_the_notices() {
    let (old, new, newer) = (Platform::new(), Platform::new(), Platform::new());
    let endpoint = ScriptedServer::new();
    let mut node = Node::start(&program(), &old, &[draining("e0", 7)], |_| {});
    assert!(old.watched.recv_timeout(TIMEOUT).unwrap().contains("from=1&"));
    let mut config = node.configuration();
    config["discovery"] = json!(new.address.to_string());
    node.reconfigure(&config.to_string());
    node.signal("-HUP");
    assert_eq!(new.watched.recv_timeout(TIMEOUT).unwrap(), "/v1/endpoints", "the whole list comes first");
    assert!(new.watched.recv_timeout(TIMEOUT).unwrap().contains("from=1&"));
    new.publish(&[listing("e1", 7, "plain", endpoint.address)]);
    assert_eq!(orders(&node, "a", 7), 202);
    endpoint.next().reply(status(500));
    let end = new.notifications.recv_timeout(TIMEOUT).expect("the notice comes to the new place");
    assert_eq!(end.http.json(), json!({"id": "a", "status": "undeliverable"}));
    // It is not answered there, and so goes to where the platform is by then.
    config["discovery"] = json!(newer.address.to_string());
    node.reconfigure(&config.to_string());
    node.signal("-HUP");
    node.signal("-HUP");
    assert_eq!(newer.answer_notification(204), [json!({"id": "a", "status": "undeliverable"})]);
    assert_eq!(newer.watched.recv_timeout(TIMEOUT).unwrap(), "/v1/endpoints");
    // What can't be read changes nothing, and the process ends as it is asked to.
    node.reconfigure("{");
    node.signal("-HUP");
    newer
        .publish(&[listing("e1", 7, "plain", endpoint.address), listing("e2", 8, "plain", endpoint.address)]);
    wait_until(|| orders(&node, "b", 8) == 202);
    assert_eq!(endpoint.next().http.headers["req-id"], "b");
    node.signal("-HUP");
    node.signal("-TERM");
    assert_eq!(node.exit_code(), Some(0));
    assert!(old.notifications.try_recv().is_err(), "nothing is told to the old place");
}

/// Guards a message against another client that used its id: that one's close withdraws nothing.
#[test]
fn a_withdrawal_belongs_to_its_own_request() {
    let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
    // Turns far apart: both requests are open at once.
    let node = Node::start(&program(), &platform, &[listing("e1", 7, "plain", endpoint.address)], |config| {
        config["settings"]["period_us"] = json!(300_000);
    });
    assert_eq!(orders(&node, "first", 7), 202);
    let _ = endpoint.next();
    let (mut one, mut other) = (Client::new(&node), Client::new(&node));
    one.write(&submission("a", "order", 7, 20_000));
    other.write(&submission("a", "order", 7, 20_000));
    drop(other);
    assert_eq!(one.answer().expect("an answer").status(), 202);
    assert_eq!(endpoint.next().http.headers["req-id"], "a");
}

/// Guards the places for clients: those that ask nothing, or never get to the end of it, do not keep others out.
#[test]
fn clients_that_ask_nothing_make_way() {
    let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
    let node = Node::start(&program(), &platform, &[listing("e1", 7, "plain", endpoint.address)], |config| {
        config["limits"]["sockets"] = json!(64);
    });
    let mut kept = Client::new(&node);
    assert_eq!(kept.ask(&submission("kept", "order", 7, 20_000)).status(), 202);
    let mut silent: Vec<_> = (0..100).map(|_| Client::new(&node)).collect();
    assert_eq!(orders(&node, "a", 7), 202);
    assert!(kept.ended(), "one that was answered goes first: its client can open another");
    assert!(silent.iter_mut().all(Client::ended), "those that found a place lose it in time");
    let request = String::from_utf8(submission("c", "order", 7, 20_000)).unwrap();
    let (head, _) = request.split_once("\r\n\r\n").unwrap();
    let mut endless = Client::new(&node);
    endless.write(head.as_bytes());
    assert!(endless.ended());
    let mut half = Client::new(&node);
    half.write(format!("{head}\r\n\r\nhalf").as_bytes());
    assert_eq!(half.answer().expect("an answer").status(), 400);
    let mut long = Client::new(&node);
    long.write(format!("POST /order HTTP/1.1\r\nLong: {}", "x".repeat(100_000)).as_bytes());
    assert!(long.answer().is_none_or(|answer| answer.status() == 431));
}

/// Guards against a second request that is hidden in the first one's body.
#[test]
fn a_request_with_two_lengths_is_told_off_and_hides_nothing() {
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
    assert_eq!(orders(&node, "fine", 7), 202);
    assert_eq!(endpoint.next().http.headers["req-id"], "fine");
    assert!(!endpoint.has_unread_request());
}

/// Guards the room for messages against those that no endpoint can ever take.
#[test]
fn a_destination_that_no_list_has_named_takes_nothing() {
    let platform = Platform::new();
    let node = Node::start(&program(), &platform, &[draining("e0", 7)], |_| {});
    let refused = node.submit("a", "order", 8, 20_000);
    assert_eq!((refused.status(), refused.headers["retry-after"].as_str()), (503, "1.000"));
    assert_eq!(orders(&node, "b", 7), 202);
    platform.publish(&[draining("e0", 7), draining("e1", 8)]);
    wait_until(|| orders(&node, "a", 8) == 202);
}

/// Hands an unsafe message in, has its call answered so, and tells how it ends: by a notice, or sent again.
fn unsafe_end(
    platform: &Platform,
    endpoint: &ScriptedServer,
    node: &Node,
    id: &str,
    reply: Reply,
) -> &'static str {
    assert_eq!(orders(node, id, 7), 202);
    let call = endpoint.next();
    assert_eq!(call.http.headers["req-id"], id);
    call.reply(reply);
    loop {
        if let Ok(notice) = platform.notifications.try_recv() {
            let end = notice.http.json();
            assert_eq!(end["id"], id);
            notice.reply(status(204));
            return if end["status"] == "undeliverable" { "undeliverable" } else { "deferred" };
        }
        if let Some(again) = endpoint.poll() {
            assert_eq!(again.http.headers["req-id"], id);
            again.reply(status(200));
            return "sent again";
        }
        std::thread::yield_now();
    }
}

/// Guards against believing by its head that a call never ran when the rest is spoilt: an unsafe message
/// would be sent twice. What is whole proves it, also behind interim answers.
#[test]
fn only_a_whole_answer_proves_that_a_call_never_ran() {
    let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
    let node = Node::start(&program(), &platform, &[listing("e1", 7, "plain", endpoint.address)], |_| {});
    let spoilt: [&[u8]; 8] = [
        b"HTTP/1.1 503 X\r\ncontent-length: 3000000000\r\n\r\nxxxx",
        b"HTTP/1.1 429 X\r\nretry-after: 0.01\r\ncontent-length: 40\r\n\r\nxxxx",
        b"HTTP/1.1 503 X\r\ncontent-length: 2\r\n\r\nxxxxxxxx",
        b"HTTP/1.1 503 X\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n",
        b"HTTP/1.1 503 X\r\nno end",
        b"HTTP/1.1 503 X\r\n\x00\x01: \r\n\r\n",
        b"\xfe\xff\x00 noise HTTP/1.1 200 OK\r\n\r\n",
        b"HTTP/1.1 2000 OK\r\ncontent-length: 0\r\n\r\n",
    ];
    for (n, bytes) in spoilt.into_iter().enumerate() {
        let end = unsafe_end(&platform, &endpoint, &node, &format!("s{n}"), Reply::Bytes(bytes));
        assert_eq!(end, "undeliverable", "{}", String::from_utf8_lossy(bytes));
    }
    let whole = b"HTTP/1.1 102 X\r\na: b\r\n\r\nHTTP/1.1 503 X\r\ncontent-length: 2\r\n\r\nno";
    assert_eq!(unsafe_end(&platform, &endpoint, &node, "w", Reply::Bytes(whole)), "sent again");
}

/// Guards what is delivered against a spoilt rest, and the next message against what comes behind an answer.
#[test]
fn a_first_line_with_200_holds_and_nothing_behind_it_answers_another() {
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
        assert_eq!(orders(&node, &format!("d{n}"), 7), 202);
        let call = endpoint.next();
        let taken = node.journal_length();
        assert!(taken > before);
        let spoilt = call.connection;
        call.reply(Reply::Bytes(bytes));
        wait_until(|| node.journal_length() > taken);
        // A single order whose call may have run would have ended by a notice.
        assert!(platform.notifications.try_recv().is_err(), "{}", String::from_utf8_lossy(bytes));
        assert_eq!(orders(&node, &format!("n{n}"), 7), 202);
        let next = endpoint.next();
        assert_ne!(next.connection, spoilt, "what is spoilt is not used again");
        assert_eq!(next.http.headers["req-id"], format!("n{n}"));
        // It is its own answer that ends it.
        assert_eq!(unsafe_reply(&platform, next), format!("n{n}"));
    }
}

/// Answers a call so that its message may have run, and tells which one the platform hears of.
fn unsafe_reply(platform: &Platform, call: PendingRequest) -> String {
    call.reply(status(500));
    platform.answer_notification(204)[0]["id"].as_str().unwrap().to_owned()
}

/// Guards against taking spoilt answers for a destination that fails: its breaker would hold back the rest.
#[test]
fn spoilt_answers_do_not_open_a_breaker() {
    let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
    // With the breaker open a message whose time is short would be refused at once.
    let node = Node::start(&program(), &platform, &[listing("e1", 7, "plain", endpoint.address)], |_| {});
    for n in 0..8 {
        let reply = Reply::Bytes(b"\x00\x01\x02 noise\r\n\r\n");
        assert_eq!(unsafe_end(&platform, &endpoint, &node, &format!("s{n}"), reply), "undeliverable");
    }
    assert_eq!(node.submit("a", "order", 7, 1500).status(), 202);
    assert_eq!(endpoint.next().http.headers["req-id"], "a");
}

/// Guards the memory against endpoints that come and go under ever new names.
#[test]
fn endpoints_that_are_gone_are_forgotten() {
    let platform = Platform::new();
    let node = Node::start(&program(), &platform, &[], |_| {});
    let churn = |round: usize| {
        let endpoints: Vec<_> = (0..250).map(|n| draining(&format!("e{round}-{n}"), n % 9)).collect();
        let index = platform.publish(&endpoints);
        // It asks on from a version once it has read it.
        while !platform.watched.recv_timeout(TIMEOUT).unwrap().contains(&format!("from={index}&")) {}
    };
    (0..40).for_each(churn);
    let before = node.memory_kb();
    (40..440).for_each(churn);
    let grown = node.memory_kb().saturating_sub(before);
    assert!(grown < 4000, "{grown} KB for 100,000 endpoints");
}

/// Guards discovery against its senders: who is turned away asks again after a rest that many senders have room in.
#[test]
fn a_discovery_that_turns_a_call_away_is_left_in_peace() {
    let (platform, discovery) = (Platform::new(), ScriptedServer::new());
    let _node = Node::start(&program(), &platform, &[draining("e0", 7)], |config| {
        config["discovery"] = json!(discovery.address.to_string());
        config["settings"]["balancers"] = json!(48);
    });
    discovery.next().reply(status(503));
    let turned_away = std::time::Instant::now();
    let again = discovery.next();
    assert!(turned_away.elapsed() >= std::time::Duration::from_millis(600), "{:?}", turned_away.elapsed());
    again.reply(Reply::Answer(200, vec![], json!({"index": 2}).to_string()));
    assert!(discovery.next().http.first.contains("from=2"), "a watch that is answered goes on");
}
