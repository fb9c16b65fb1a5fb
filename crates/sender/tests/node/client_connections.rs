//! Pipelined requests, and requests that arrive while a client connection is closed (`docs/endings.md`): a message that was not
//! answered must not be forwarded.

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

fn numbered_ids(prefix: &str, count: usize) -> Vec<String> {
    (0..count).map(|n| format!("{prefix}{n}")).collect()
}

/// Returns all answers on a connection until it ends; fails on a partial answer.
fn read_answers(client: &mut Client) -> Vec<Http> {
    std::iter::from_fn(|| client.answer()).collect()
}

/// Asserts that the answers are those of the first pipelined messages, that these messages alone are forwarded, and that the
/// process exits. Returns how many were answered.
fn assert_only_answered_are_forwarded(
    node: &mut Node,
    endpoint: &ScriptedServer,
    ids: &[String],
    answers: &[Http],
) -> usize {
    assert!(answers.len() <= ids.len());
    assert!(answers.iter().all(|answer| answer.status() == 202), "{answers:?}");
    if let Some((last, before)) = answers.split_last() {
        // If all were answered before SIGTERM, the connection was idle then and no answer announced its close.
        let announces_close = last.headers.get("connection").is_some_and(|value| value == "close");
        assert!(
            announces_close || answers.len() == ids.len(),
            "the last answer announces the close: {answers:?}"
        );
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
    assert!(!endpoint.has_unread_request(), "an unanswered message is not forwarded");
    answers.len()
}

/// Answers must come in the order of the requests when requests of every kind arrive at once on one connection, more than a
/// buffer holds, written whole or split at any point.
#[test]
fn pipelined_requests_are_answered_in_order() {
    const COUNT: usize = 48;
    for (prefix, piece) in [("whole", usize::MAX), ("cut", 97)] {
        let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
        let node = Node::start(&program(), &platform, &[draining("e0", 7)], |_| {});
        let mut requests = vec![];
        for id in numbered_ids(prefix, COUNT) {
            requests.extend(submission_with(&id, "order", 7, 20_000, &[b'x'; 700]));
            requests.extend(READY);
            requests.extend(submission(&format!("nowhere-{id}"), "order", 8, 20_000));
        }
        let mut client = Client::new(&node);
        requests.chunks(piece.min(requests.len())).for_each(|piece| client.write(piece));
        for n in 0..COUNT {
            let statuses = [(); 3].map(|()| client.answer().expect("an answer").status());
            assert_eq!(statuses, [202, 200, 503], "{prefix}{n}");
        }
        assert_eq!(client.ask(READY).status(), 200, "the connection stays open");
        platform.publish(&[listing("e1", 7, "plain", endpoint.address)]);
        let mut called = BTreeSet::new();
        while called.len() < COUNT {
            let call = endpoint.next();
            assert!(called.insert(call.http.headers["req-id"].clone()), "once each");
            call.reply(status(200));
        }
        assert_eq!(called, numbered_ids(prefix, COUNT).into_iter().collect());
        assert!(!endpoint.has_unread_request());
    }
}

/// A pipelined request that gets no answer because the process shuts down must not be forwarded. The process is stopped, so that
/// it finds the requests and SIGTERM at once, on a connection that has had an answer before and on one that has not.
#[test]
fn pipelined_requests_at_shutdown_are_answered_or_not_accepted() {
    let mut answered = 0;
    for round in 0..ROUNDS {
        let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
        let known = [listing("e1", 7, "plain", endpoint.address)];
        let mut node = Node::start(&program(), &platform, &known, |_| {});
        let mut client = Client::new(&node);
        if round % 2 == 0 {
            assert_eq!(client.ask(READY).status(), 200);
        }
        let ids = numbered_ids("m", 30);
        node.stop();
        client.write(&pipelined(&ids));
        node.signal("-TERM");
        node.signal("-CONT");
        let answers = read_answers(&mut client);
        answered += assert_only_answered_are_forwarded(&mut node, &endpoint, &ids, &answers);
    }
    assert!(answered > 0, "no round had requests accepted at the shutdown");
}

/// Requests that were read before SIGTERM must get their answers although unread requests lie behind them: closing a socket with
/// unread data resets the connection, which would lose the answers.
#[test]
fn request_in_flight_at_shutdown_is_answered_despite_unread_requests() {
    for round in 0..ROUNDS {
        let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
        let known = [listing("e1", 7, "plain", endpoint.address)];
        // Long iterations: the first request is still open when SIGTERM arrives.
        let mut node = Node::start(&program(), &platform, &known, |config| {
            config["settings"]["period_us"] = json!(300_000);
        });
        let mut client = Client::new(&node);
        assert_eq!(client.ask(READY).status(), 200);
        let ids = numbered_ids("m", if round % 2 == 0 { 3 } else { 400 });
        client.write(&pipelined(&ids));
        // The requests have been read once a later one is answered.
        assert_eq!(node.ask(READY).status(), 200);
        node.signal("-TERM");
        let answers = read_answers(&mut client);
        assert!(!answers.is_empty(), "the first request was read");
        assert_only_answered_are_forwarded(&mut node, &endpoint, &ids, &answers);
    }
}

/// After SIGTERM only the one request is accepted that a new connection is entitled to.
#[test]
fn only_first_of_requests_pipelined_after_sigterm_is_accepted() {
    let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
    let mut node = Node::start(&program(), &platform, &[listing("e1", 7, "plain", endpoint.address)], |_| {});
    let mut idle = Client::new(&node);
    assert_eq!(idle.ask(READY).status(), 200);
    let mut client = Client::new(&node);
    assert_eq!(node.ask(READY).status(), 200, "the earlier connections have been accepted");
    node.signal("-TERM");
    assert!(idle.ended(), "the process has received SIGTERM");
    // The idle connection is closed: nothing more is read from it.
    idle.write(&submission("behind", "order", 7, 20_000));
    let ids = numbered_ids("m", 5);
    client.write(&pipelined(&ids));
    let answers = read_answers(&mut client);
    assert_eq!(answers.len(), 1);
    assert_only_answered_are_forwarded(&mut node, &endpoint, &ids, &answers);
}

/// A request of which a part was read together with the request before it must not be forwarded when its connection is closed at
/// shutdown without an answer. (A request of which a part was read on its own is answered: see `deadlines_and_shutdown`. The HTTP
/// library does not report what it has read ahead.)
#[test]
fn partly_read_pipelined_request_at_shutdown_is_answered_or_not_accepted() {
    let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
    let mut node = Node::start(&program(), &platform, &[listing("e1", 7, "plain", endpoint.address)], |_| {});
    let (mut idle, mut partial) = (Client::new(&node), Client::new(&node));
    assert_eq!(idle.ask(READY).status(), 200);
    let ids = numbered_ids("m", 1);
    let request = pipelined(&ids);
    let (first, rest) = request.split_at(40);
    assert_eq!(partial.ask(&[READY, first].concat()).status(), 200);
    node.signal("-TERM");
    assert!(idle.ended(), "the process has received SIGTERM");
    partial.write(rest);
    let answers = read_answers(&mut partial);
    eprintln!("{} of 1 answered", answers.len());
    assert_only_answered_are_forwarded(&mut node, &endpoint, &ids, &answers);
}

/// A request that arrives as the idle timeout of its connection expires must be answered, or else not accepted. The process is
/// stopped, so that it finds both at once.
#[test]
fn request_at_idle_timeout_is_answered_or_not_accepted() {
    const CLIENTS: usize = 12;
    let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
    let node = Node::start(&program(), &platform, &[listing("e1", 7, "plain", endpoint.address)], |_| {});
    let mut clients: Vec<_> = (0..CLIENTS).map(|_| Client::new(&node)).collect();
    for client in clients.iter_mut().step_by(2) {
        assert_eq!(client.ask(READY).status(), 200);
    }
    assert_eq!(node.ask(READY).status(), 200, "the earlier connections have been accepted");
    node.stop();
    // Exceeds the 2.2 s after which an idle connection is closed; no event could be waited for instead.
    std::thread::sleep(Duration::from_millis(2_400));
    for (client, id) in clients.iter_mut().zip(numbered_ids("m", CLIENTS)) {
        client.write(&submission(&id, "order", 7, 20_000));
    }
    node.signal("-CONT");
    let mut accepted = BTreeSet::new();
    for (client, id) in clients.iter_mut().zip(numbered_ids("m", CLIENTS)) {
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

/// A client that shuts down its writing side before its answer counts as gone, like one that closes the connection: on the wire
/// the two are the same. Its message is withdrawn, and its connection is closed.
#[test]
fn client_that_half_closes_or_closes_before_its_answer_withdraws_its_message() {
    const CLIENTS: usize = 4;
    let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
    // Long iterations: the end of the stream arrives before the answer.
    let node = Node::start(&program(), &platform, &[listing("e1", 7, "plain", endpoint.address)], |config| {
        config["settings"]["period_us"] = json!(300_000);
    });
    // One round without an iteration in between is enough: without the withdrawal no round passes.
    for round in 0..8 {
        let start = |id: &String| {
            let mut stream = TcpStream::connect(node.address).unwrap();
            stream.set_read_timeout(Some(TIMEOUT)).unwrap();
            stream.write_all(&submission(id, "order", 7, 20_000)).unwrap();
            stream
        };
        let mut half_closed: Vec<_> =
            numbered_ids(&format!("ends{round}-"), CLIENTS).iter().map(start).collect();
        let closed: Vec<_> = numbered_ids(&format!("goes{round}-"), CLIENTS).iter().map(start).collect();
        half_closed.iter().for_each(|stream| stream.shutdown(Shutdown::Write).unwrap());
        drop(closed);
        let closed_by_sender =
            half_closed.iter_mut().filter_map(|stream| stream.read(&mut [0]).ok()).filter(|size| *size == 0);
        let all_closed_by_sender = closed_by_sender.count() == CLIENTS;
        let last = format!("last{round}");
        assert_eq!(node.submit(&last, "order", 7, 20_000).status(), 202);
        let mut calls_before_last = 0;
        loop {
            let call = endpoint.next();
            let is_last = call.http.headers["req-id"] == last;
            call.reply(status(200));
            if is_last {
                break;
            }
            calls_before_last += 1;
        }
        if all_closed_by_sender && calls_before_last == 0 && !endpoint.has_unread_request() {
            return;
        }
    }
    panic!("there was no round in which all messages were withdrawn");
}

/// Guards against a process that is killed for its memory: clients that stopped half way through large requests were admitted up to
/// the limit of descriptors alone.
#[test]
fn memory_of_clients_that_stop_half_way_stays_below_the_limit() {
    const MEMORY_MB: u64 = 40;
    const CLIENTS: usize = 600;
    let platform = Platform::new();
    let node = Node::start(&program(), &platform, &[draining("e0", 7)], |config| {
        config["limits"]["sockets"] = json!(4096);
        config["limits"]["memory_mb"] = json!(MEMORY_MB);
    });
    let mut request = submission_with("a", "order", 7, 20_000, &[b'x'; 65_536]);
    request.truncate(request.len() - 1_536);
    let mut peak_kb = 0;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let mut client = TcpStream::connect(node.address).unwrap();
            // The sender may close the connection, for which the limit is.
            let _ = client.set_nonblocking(true);
            let _ = client.write(&request);
            peak_kb = peak_kb.max(node.memory_kb());
            client
        })
        .collect();
    for _ in 0..50 {
        std::thread::sleep(Duration::from_millis(10));
        peak_kb = peak_kb.max(node.memory_kb());
    }
    drop(clients);
    assert!(peak_kb < MEMORY_MB * 1000, "{peak_kb} kB");
    assert_eq!(node.ask(READY).status(), 200);
}
