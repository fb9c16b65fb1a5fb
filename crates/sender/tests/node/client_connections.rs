//! Pipelined requests, and bytes that come as a connection is closed (`docs/endings.md`): what is not answered is not forwarded.

use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::Duration;

use super::program;
use serde_json::json;
use test_doubles::*;

const READY: &[u8] = b"GET /ready HTTP/1.1\r\nHost: origin.svc\r\n\r\n";
const ROUNDS: usize = 6;

fn pipelined(ids: &[String]) -> Vec<u8> {
    ids.iter().flat_map(|id| submission(id, "order", 7, 20_000)).collect()
}

fn named(prefix: &str, count: usize) -> Vec<String> {
    (0..count).map(|n| format!("{prefix}{n}")).collect()
}

/// All answers on a connection until it ends; an answer in part fails.
fn answers(client: &mut Client) -> Vec<Http> {
    std::iter::from_fn(|| client.answer()).collect()
}

/// Of pipelined messages the first so many have their answer, and they alone are forwarded; tells how many that is. The process ends.
fn answered_alone_are_forwarded(
    node: &mut Node,
    endpoint: &ScriptedServer,
    ids: &[String],
    answers: &[Http],
) -> usize {
    assert!(answers.len() <= ids.len());
    assert!(answers.iter().all(|answer| answer.status() == 202), "{answers:?}");
    if let Some((last, before)) = answers.split_last() {
        // With all of them answered before the process was asked to end, its connection was idle.
        let says_so = last.headers.get("connection").is_some_and(|value| value == "close");
        assert!(says_so || answers.len() == ids.len(), "it says that it is the last: {answers:?}");
        assert!(before.iter().all(|answer| !answer.headers.contains_key("connection")));
    }
    let mut called = BTreeSet::new();
    while called.len() < answers.len() {
        let call = endpoint.next();
        assert!(called.insert(call.http.headers["req-id"].clone()), "once each");
        call.reply(status(200));
    }
    assert_eq!(called, ids[..answers.len()].iter().cloned().collect());
    assert_eq!(node.exit_code(), Some(0));
    assert!(!endpoint.has_unread_request(), "what was not answered is not forwarded");
    answers.len()
}

/// Guards the order of answers against requests that come at once on one connection, of every kind and more than a buffer holds,
/// whole or cut anywhere.
#[test]
fn pipelined_requests_are_answered_in_their_order() {
    const COUNT: usize = 48;
    for (prefix, piece) in [("whole", usize::MAX), ("cut", 97)] {
        let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
        let node = Node::start(&program(), &platform, &[draining("e0", 7)], |_| {});
        let mut text = vec![];
        for id in named(prefix, COUNT) {
            text.extend(submission_with(&id, "order", 7, 20_000, &[b'x'; 700]));
            text.extend(READY);
            text.extend(submission(&format!("nowhere-{id}"), "order", 8, 20_000));
        }
        let mut client = Client::new(&node);
        text.chunks(piece.min(text.len())).for_each(|piece| client.write(piece));
        for n in 0..COUNT {
            let statuses = [(); 3].map(|()| client.answer().expect("an answer").status());
            assert_eq!(statuses, [202, 200, 503], "{prefix}{n}");
        }
        assert_eq!(client.ask(READY).status(), 200, "the connection is kept");
        platform.publish(&[listing("e1", 7, "plain", endpoint.address)]);
        let mut called = BTreeSet::new();
        while called.len() < COUNT {
            let call = endpoint.next();
            assert!(called.insert(call.http.headers["req-id"].clone()), "once each");
            call.reply(status(200));
        }
        assert_eq!(called, named(prefix, COUNT).into_iter().collect());
        assert!(!endpoint.has_unread_request());
    }
}

/// Guards against forwarding a pipelined request that has no answer as the process ends: stopped, it finds the requests and SIGTERM at
/// once, on a connection that was answered and on one that was not.
#[test]
fn pipelined_requests_that_cross_a_shutdown_are_answered_or_not_accepted() {
    let mut answered = 0;
    for round in 0..ROUNDS {
        let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
        let known = [listing("e1", 7, "plain", endpoint.address)];
        let mut node = Node::start(&program(), &platform, &known, |_| {});
        let mut client = Client::new(&node);
        if round % 2 == 0 {
            assert_eq!(client.ask(READY).status(), 200);
        }
        let ids = named("m", 30);
        node.stop();
        client.write(&pipelined(&ids));
        node.signal("-TERM");
        node.signal("-CONT");
        let answers = answers(&mut client);
        answered += answered_alone_are_forwarded(&mut node, &endpoint, &ids, &answers);
    }
    assert!(answered > 0, "none of them crossed");
}

/// Guards the answers of requests that were read before the process was asked to end against the unread ones behind them: a close over
/// those resets the connection.
#[test]
fn a_request_in_flight_is_answered_at_a_shutdown_though_more_lies_behind_it() {
    for round in 0..ROUNDS {
        let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
        let known = [listing("e1", 7, "plain", endpoint.address)];
        // Ticks far apart: the first is open as the process is asked to end.
        let mut node = Node::start(&program(), &platform, &known, |config| {
            config["settings"]["period_us"] = json!(300_000);
        });
        let mut client = Client::new(&node);
        assert_eq!(client.ask(READY).status(), 200);
        let ids = named("m", if round % 2 == 0 { 3 } else { 400 });
        client.write(&pipelined(&ids));
        // They have been read once what came later is answered.
        assert_eq!(node.ask(READY).status(), 200);
        node.signal("-TERM");
        let answers = answers(&mut client);
        assert!(!answers.is_empty(), "the first was read");
        answered_alone_are_forwarded(&mut node, &endpoint, &ids, &answers);
    }
}

/// Guards against accepting more than the one request that a new connection is owed after SIGTERM.
#[test]
fn of_requests_pipelined_after_a_shutdown_the_first_alone_is_accepted() {
    let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
    let mut node = Node::start(&program(), &platform, &[listing("e1", 7, "plain", endpoint.address)], |_| {});
    let mut kept = Client::new(&node);
    assert_eq!(kept.ask(READY).status(), 200);
    let mut client = Client::new(&node);
    assert_eq!(node.ask(READY).status(), 200, "what came before is accepted");
    node.signal("-TERM");
    assert!(kept.ended(), "the process has heard it");
    // It is closed: nothing is read from it any more.
    kept.write(&submission("behind", "order", 7, 20_000));
    let ids = named("m", 5);
    client.write(&pipelined(&ids));
    let answers = answers(&mut client);
    assert_eq!(answers.len(), 1);
    answered_alone_are_forwarded(&mut node, &endpoint, &ids, &answers);
}

/// Guards against forwarding a request of which a part was read together with the one before it, when its connection is closed as the
/// process ends. (Where nothing was read together with it, it is answered: `endings`. What the library has read ahead it tells nobody.)
#[test]
fn a_pipelined_request_that_was_read_in_part_is_answered_or_not_accepted_as_the_process_ends() {
    let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
    let mut node = Node::start(&program(), &platform, &[listing("e1", 7, "plain", endpoint.address)], |_| {});
    let (mut kept, mut half) = (Client::new(&node), Client::new(&node));
    assert_eq!(kept.ask(READY).status(), 200);
    let ids = named("m", 1);
    let request = pipelined(&ids);
    let (first, rest) = request.split_at(40);
    assert_eq!(half.ask(&[READY, first].concat()).status(), 200);
    node.signal("-TERM");
    assert!(kept.ended(), "the process has heard it");
    half.write(rest);
    let answers = answers(&mut half);
    eprintln!("{} of 1 answered", answers.len());
    answered_alone_are_forwarded(&mut node, &endpoint, &ids, &answers);
}

/// Guards a request against the end of its connection's time: stopped, the process finds both at once. It is answered, or not accepted.
#[test]
fn a_request_that_crosses_the_end_of_an_idle_connection_is_answered_or_not_accepted() {
    const CLIENTS: usize = 12;
    let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
    let node = Node::start(&program(), &platform, &[listing("e1", 7, "plain", endpoint.address)], |_| {});
    let mut clients: Vec<_> = (0..CLIENTS).map(|_| Client::new(&node)).collect();
    for client in clients.iter_mut().step_by(2) {
        assert_eq!(client.ask(READY).status(), 200);
    }
    assert_eq!(node.ask(READY).status(), 200, "what came before is accepted");
    node.stop();
    // Time has to pass, and nothing else: an idle connection's 2.2 s.
    std::thread::sleep(Duration::from_millis(2_400));
    for (client, id) in clients.iter_mut().zip(named("m", CLIENTS)) {
        client.write(&submission(&id, "order", 7, 20_000));
    }
    node.signal("-CONT");
    let mut accepted = BTreeSet::new();
    for (client, id) in clients.iter_mut().zip(named("m", CLIENTS)) {
        if let Some(answer) = client.answer() {
            assert_eq!(answer.status(), 202);
            accepted.insert(id);
        }
    }
    eprintln!("{} of {CLIENTS} accepted", accepted.len());
    assert_eq!(node.submit("last", "order", 7, 20_000).status(), 202);
    accepted.insert("last".to_owned());
    let mut called = BTreeSet::new();
    while called.len() < accepted.len() {
        let call = endpoint.next();
        assert!(called.insert(call.http.headers["req-id"].clone()));
        call.reply(status(200));
    }
    assert_eq!(called, accepted);
}

/// A client that ends its sending before its answer counts as gone, as one that closes: on the wire the two are the same. Its message is
/// withdrawn, and its connection ends.
#[test]
fn a_client_that_ends_its_sending_or_goes_before_its_answer_withdraws_its_message() {
    const CLIENTS: usize = 4;
    let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
    // Ticks far apart: the end of the sending is there before the answer.
    let node = Node::start(&program(), &platform, &[listing("e1", 7, "plain", endpoint.address)], |config| {
        config["settings"]["period_us"] = json!(300_000);
    });
    // One round in which no tick comes between is enough: without the guard there is none.
    for round in 0..8 {
        let start = |id: &String| {
            let mut stream = TcpStream::connect(node.address).unwrap();
            stream.set_read_timeout(Some(TIMEOUT)).unwrap();
            stream.write_all(&submission(id, "order", 7, 20_000)).unwrap();
            stream
        };
        let mut ending: Vec<_> = named(&format!("ends{round}-"), CLIENTS).iter().map(start).collect();
        let going: Vec<_> = named(&format!("goes{round}-"), CLIENTS).iter().map(start).collect();
        ending.iter().for_each(|stream| stream.shutdown(Shutdown::Write).unwrap());
        drop(going);
        let ended =
            ending.iter_mut().filter_map(|stream| stream.read(&mut [0]).ok()).filter(|size| *size == 0);
        let all_ended = ended.count() == CLIENTS;
        let last = format!("last{round}");
        assert_eq!(node.submit(&last, "order", 7, 20_000).status(), 202);
        let mut before = 0;
        loop {
            let call = endpoint.next();
            let is_last = call.http.headers["req-id"] == last;
            call.reply(status(200));
            if is_last {
                break;
            }
            before += 1;
        }
        if all_ended && before == 0 && !endpoint.has_unread_request() {
            return;
        }
    }
    panic!("in no round was all of it withdrawn");
}
