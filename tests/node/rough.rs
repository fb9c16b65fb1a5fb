//! Days that are not calm: clients that do harm, a platform that moves, endpoints that come and go or whose
//! answers are spoilt.

use super::world::*;
use serde_json::json;

fn orders(node: &Node, id: &str, dest: u16) -> u16 {
    node.hand_in(id, "order", dest, 20_000).status()
}

/// Guards against dying of SIGHUP, against a watch that waits on at the old place, against notices that go
/// there, and against versions of two places that mix.
#[test]
fn a_new_configuration_moves_the_watch_and_the_notices() {
    let (old, new, newer) = (Platform::new(), Platform::new(), Platform::new());
    let endpoint = Served::new();
    let mut node = Node::start(&old, &[leaving("e0", 7)], |_| {});
    assert!(old.watched.recv_timeout(PATIENCE).unwrap().contains("from=1&"));
    let mut config = node.configuration();
    config["discovery"] = json!(new.address.to_string());
    node.reconfigure(&config.to_string());
    node.signal("-HUP");
    assert_eq!(new.watched.recv_timeout(PATIENCE).unwrap(), "/v1/endpoints", "the whole list comes first");
    assert!(new.watched.recv_timeout(PATIENCE).unwrap().contains("from=1&"));
    new.tell(&[listing("e1", 7, "plain", endpoint.address)]);
    assert_eq!(orders(&node, "a", 7), 202);
    endpoint.next().reply(status(500));
    let end = new.notices.recv_timeout(PATIENCE).expect("the notice comes to the new place");
    assert_eq!(end.http.json(), json!({"id": "a", "status": "undeliverable"}));
    // It is not answered there, and so goes to where the platform is by then.
    config["discovery"] = json!(newer.address.to_string());
    node.reconfigure(&config.to_string());
    node.signal("-HUP");
    node.signal("-HUP");
    assert_eq!(newer.notice(204), [json!({"id": "a", "status": "undeliverable"})]);
    assert_eq!(newer.watched.recv_timeout(PATIENCE).unwrap(), "/v1/endpoints");
    // What can't be read changes nothing, and the process ends as it is asked to.
    node.reconfigure("{");
    node.signal("-HUP");
    newer.tell(&[listing("e1", 7, "plain", endpoint.address), listing("e2", 8, "plain", endpoint.address)]);
    wait_until(|| orders(&node, "b", 8) == 202);
    assert_eq!(endpoint.next().http.headers["req-id"], "b");
    node.signal("-HUP");
    node.signal("-TERM");
    assert_eq!(node.exit_code(), Some(0));
    assert!(old.notices.try_recv().is_err(), "nothing is told to the old place");
}

/// Guards a message against another client that used its id: that one's close withdraws nothing.
#[test]
fn a_withdrawal_belongs_to_its_own_request() {
    let (platform, endpoint) = (Platform::new(), Served::new());
    // Turns far apart: both requests are open at once.
    let node = Node::start(&platform, &[listing("e1", 7, "plain", endpoint.address)], |config| {
        config["settings"]["period_us"] = json!(300_000);
    });
    assert_eq!(orders(&node, "first", 7), 202);
    let _ = endpoint.next();
    let (mut one, mut other) = (Client::new(&node), Client::new(&node));
    one.say(&handing_in("a", "order", 7, 20_000));
    other.say(&handing_in("a", "order", 7, 20_000));
    drop(other);
    assert_eq!(one.answer().expect("an answer").status(), 202);
    assert_eq!(endpoint.next().http.headers["req-id"], "a");
}

/// Guards the places for clients: those that ask nothing, or never get to the end of it, do not keep others out.
#[test]
fn clients_that_ask_nothing_make_way() {
    let (platform, endpoint) = (Platform::new(), Served::new());
    let node = Node::start(&platform, &[listing("e1", 7, "plain", endpoint.address)], |config| {
        config["limits"]["sockets"] = json!(64);
    });
    let mut kept = Client::new(&node);
    assert_eq!(kept.ask(&handing_in("kept", "order", 7, 20_000)).status(), 202);
    let mut silent: Vec<_> = (0..100).map(|_| Client::new(&node)).collect();
    assert_eq!(orders(&node, "a", 7), 202);
    assert_eq!(kept.ask(&handing_in("b", "order", 7, 20_000)).status(), 202, "the silent ones went first");
    assert!(silent.iter_mut().all(Client::ended), "those that found a place lose it in time");
    let request = String::from_utf8(handing_in("c", "order", 7, 20_000)).unwrap();
    let (head, _) = request.split_once("\r\n\r\n").unwrap();
    let mut endless = Client::new(&node);
    endless.say(head.as_bytes());
    assert!(endless.ended());
    let mut half = Client::new(&node);
    half.say(format!("{head}\r\n\r\nhalf").as_bytes());
    assert_eq!(half.answer().expect("an answer").status(), 400);
    let mut long = Client::new(&node);
    long.say(format!("POST /order HTTP/1.1\r\nLong: {}", "x".repeat(100_000)).as_bytes());
    assert!(long.answer().is_none_or(|answer| answer.status() == 431));
}

/// Guards against a second request that is hidden in the first one's body.
#[test]
fn a_request_with_two_lengths_is_told_off_and_hides_nothing() {
    let (platform, endpoint) = (Platform::new(), Served::new());
    let node = Node::start(&platform, &[listing("e1", 7, "plain", endpoint.address)], |_| {});
    let hidden = String::from_utf8(handing_in("hidden", "order", 7, 20_000)).unwrap();
    let request = String::from_utf8(handing_in("a", "order", 7, 20_000)).unwrap();
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
        client.say(format!("{head}{lengths}\r\n0\r\n\r\n{hidden}").as_bytes());
        assert_eq!(client.answer().expect("an answer").status(), 400, "{lengths}");
        assert!(client.answer().is_none(), "{lengths}");
    }
    assert_eq!(orders(&node, "fine", 7), 202);
    assert_eq!(endpoint.next().http.headers["req-id"], "fine");
    assert!(!endpoint.unseen());
}

/// Guards the room for messages against those that no endpoint can ever take.
#[test]
fn a_destination_that_no_list_has_named_takes_nothing() {
    let platform = Platform::new();
    let node = Node::start(&platform, &[leaving("e0", 7)], |_| {});
    let refused = node.hand_in("a", "order", 8, 20_000);
    assert_eq!((refused.status(), refused.headers["retry-after"].as_str()), (503, "1.000"));
    assert_eq!(orders(&node, "b", 7), 202);
    platform.tell(&[leaving("e0", 7), leaving("e1", 8)]);
    wait_until(|| orders(&node, "a", 8) == 202);
}
