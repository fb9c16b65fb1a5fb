//! Hand-over: a process that is started while another one runs on the same folder takes over from it; and failures on the way.

use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{TcpListener, UdpSocket};
use std::os::unix::net::{UnixListener, UnixStream};
use std::time::{Duration, Instant};

use bytes::Bytes;
use handover::{HandoverState, ToPredecessor, ToSuccessor, frame};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::json;
use test_doubles::*;

use super::program;

const READY: &[u8] = b"GET /ready HTTP/1.1\r\nHost: origin.svc\r\n\r\n";

/// Starts a sender on a listening socket that the platform holds open.
pub(super) fn start(platform: &Platform, endpoints: &[serde_json::Value]) -> Node {
    let socket = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = socket.local_addr().unwrap().to_string();
    // Predecessor and successor both use this address, one after the other.
    let gossip_address = UdpSocket::bind("127.0.0.1:0").unwrap().local_addr().unwrap().to_string();
    Node::start(&program().inheriting(&socket), platform, endpoints, |config| {
        (config["listen"], config["ops"]) = (json!(address), json!("127.0.0.1:0"));
        config["peer_listen"] = json!(gossip_address);
    })
}

pub(super) fn send(stream: &mut UnixStream, message: &impl Serialize) {
    stream.write_all(&frame::write(message).unwrap()).unwrap();
}

pub(super) fn receive<T: DeserializeOwned>(stream: &mut UnixStream) -> T {
    let mut head = [0; 4];
    stream.read_exact(&mut head).unwrap();
    let mut body = vec![0; frame::body_length(head).unwrap()];
    stream.read_exact(&mut body).unwrap();
    frame::read(&body).unwrap()
}

/// The hand-over must not lose anything in progress: a call in flight continues and its outcome counts, pending messages are sent
/// by the successor, and a client that stays on its old connection is served.
#[test]
fn successor_takes_over_calls_messages_and_clients() {
    let (platform, endpoint_7, endpoint_8) = (Platform::new(), ScriptedServer::new(), ScriptedServer::new());
    let endpoints =
        [listing("e1", 7, "plain", endpoint_7.address), listing("e2", 8, "plain", endpoint_8.address)];
    let mut predecessor = start(&platform, &endpoints);
    let mut client = Client::new(&predecessor);
    assert_eq!(client.ask(&submission("out", "order", 7, 20_000)).status(), 202);
    let call = endpoint_7.next();
    assert_eq!(predecessor.ops("POST", "/maintenance/enter?target=e2").status(), 200);
    assert_eq!(client.ask(&submission("held", "note", 8, 20_000)).status(), 202);

    let successor = predecessor.start_successor();
    assert_eq!(successor.ops("GET", "/status").status(), 200);
    assert_eq!(successor.address, predecessor.address);
    assert_eq!(successor.metric("svc_open_requests"), 2);
    assert_eq!(successor.metric("svc_out_of_rotation"), 1, "ejected by on-call staff before the hand-over");
    // Over the predecessor's connection, with the successor's answer, which is the last on it.
    let answer = client.ask(&submission("late", "order", 7, 20_000));
    assert_eq!((answer.status(), answer.headers["connection"].as_str()), (202, "close"));
    assert!(client.ended());
    let late = endpoint_7.next();
    assert_eq!(late.http.headers["req-id"], "late");
    late.reply(status(200));
    // On-call staff who still call the predecessor reach the successor.
    assert_eq!(predecessor.ops("POST", "/maintenance/exit?target=e2").status(), 200);
    let held = endpoint_8.next();
    assert_eq!(held.http.headers["req-id"], "held");
    held.reply(status(200));
    predecessor.signal("-TERM");
    call.reply(status(200));
    assert_eq!(predecessor.exit_code(), Some(0));
    wait_until(|| successor.metric("svc_open_requests") == 0);
    assert!(!endpoint_7.has_unread_request(), "nothing is sent twice");
    // The successor hands over in turn.
    let second_successor = successor.start_successor();
    assert_eq!(second_successor.ask(READY).status(), 200);
    assert_eq!(second_successor.submit("next", "order", 7, 20_000).status(), 202);
    assert_eq!(endpoint_7.next().http.headers["req-id"], "next");
    assert!(platform.notifications.try_recv().is_err(), "no message failed during the hand-over");
}

/// A Retry-After (here 2 s) that the predecessor received binds the successor: both are one sender.
#[test]
fn retry_after_binds_the_successor() {
    let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
    let predecessor = start(&platform, &[listing("e1", 7, "plain", endpoint.address)]);
    assert_eq!(predecessor.submit("a", "order", 7, 20_000).status(), 202);
    let replied_at = Instant::now();
    endpoint.next().reply(Reply::Answer(429, vec![("retry-after", "2".into())], "".into()));
    // The predecessor has read the answer once the message is pending again.
    let length_before = predecessor.journal_length();
    wait_until(|| {
        predecessor.journal_length() > length_before || replied_at.elapsed() > Duration::from_millis(300)
    });
    let successor = predecessor.start_successor();
    assert_eq!(successor.submit("b", "order", 7, 20_000).status(), 202);
    let first = endpoint.next();
    assert!(replied_at.elapsed() >= Duration::from_secs(2), "{:?}", replied_at.elapsed());
    first.reply(status(200));
    endpoint.next().reply(status(200));
    // The second attempt at the first message is the successor's first one: its outcome is not mixed up with the earlier one's.
    wait_until(|| successor.metric("svc_open_requests") == 0);
}

/// A successor that requests the takeover and exits must not affect the sender: the predecessor works as before.
#[test]
fn aborted_takeover_changes_nothing() {
    let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
    let predecessor = start(&platform, &[listing("e1", 7, "plain", endpoint.address)]);
    assert_eq!(predecessor.submit("a", "order", 7, 20_000).status(), 202);
    let call = endpoint.next();
    let mut aborted = UnixStream::connect(predecessor.state().join("successor")).unwrap();
    send(&mut aborted, &ToPredecessor::RequestTakeover);
    let ToSuccessor::State(state) = receive(&mut aborted) else { panic!("expected a state") };
    assert_eq!(state.attempts_in_flight.len(), 1);
    drop(aborted);
    assert_eq!(predecessor.submit("b", "order", 7, 20_000).status(), 202);
    let second = endpoint.next();
    call.reply(status(200));
    second.reply(status(200));
    wait_until(|| predecessor.metric("svc_open_requests") == 0);
    assert_eq!(predecessor.metric("svc_operations{priority=\"order\",status=\"fulfilled\"}"), 2);
    // A connection that sends nothing is not waited for, and a real successor still takes over.
    let _silent = UnixStream::connect(predecessor.state().join("successor")).unwrap();
    let successor = predecessor.start_successor();
    assert_eq!(successor.ask(READY).status(), 200);
}

/// When the predecessor is killed with calls in flight, these may have run: the non-idempotent message must not be sent again.
#[test]
fn calls_of_a_killed_predecessor_may_have_run() {
    let (platform, endpoint_7, endpoint_8) = (Platform::new(), ScriptedServer::new(), ScriptedServer::new());
    let endpoints =
        [listing("e1", 7, "plain", endpoint_7.address), listing("e2", 8, "plain", endpoint_8.address)];
    let predecessor = start(&platform, &endpoints);
    assert_eq!(predecessor.submit("unsafe", "order", 7, 20_000).status(), 202);
    assert_eq!(predecessor.submit("keyed", "note", 8, 20_000).status(), 202);
    let (non_idempotent_call, idempotent_call) = (endpoint_7.next(), endpoint_8.next());
    let _successor = predecessor.start_successor();
    drop(predecessor);
    assert_eq!(platform.answer_notification(204), [json!({"id": "unsafe", "status": "undeliverable"})]);
    let resent = endpoint_8.next();
    assert_eq!(resent.http.headers["req-id"], "keyed");
    resent.reply(status(200));
    drop((non_idempotent_call, idempotent_call));
    assert!(!endpoint_7.has_unread_request(), "the non-idempotent message is not sent again");
}

/// When the versions don't understand one another, no message may have two calls at a time: the successor starts none before all
/// calls of the predecessor have been cancelled. The predecessor's Retry-After waits (here 1.5 s) bind it all the same.
#[test]
fn state_that_is_not_understood_is_recovered_from_the_journal() {
    let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
    let predecessor = start(&platform, &[listing("e1", 7, "plain", endpoint.address)]);
    assert_eq!(predecessor.submit("keyed", "note", 7, 20_000).status(), 202);
    let call = endpoint.next();
    // The predecessor's messages pass through this proxy, which corrupts the state.
    let (socket, real_socket) = (predecessor.state().join("successor"), predecessor.state().join("real"));
    fs::rename(&socket, &real_socket).unwrap();
    let proxy = UnixListener::bind(&socket).unwrap();
    let proxy_thread = std::thread::spawn(move || {
        let (mut successor, mut predecessor) =
            (proxy.accept().unwrap().0, UnixStream::connect(real_socket).unwrap());
        send(&mut predecessor, &receive::<ToPredecessor>(&mut successor));
        let ToSuccessor::State(state) = receive(&mut predecessor) else { panic!("expected a state") };
        let waits = vec![("e1".to_owned(), state.stopped_at + 1_500_000).into()];
        let corrupted = HandoverState { policy: Bytes::from_static(b"\xc1"), waits, ..*state };
        send(&mut successor, &ToSuccessor::State(Box::new(corrupted)));
        let completed = receive::<ToPredecessor>(&mut successor);
        assert_eq!(completed, ToPredecessor::TakeoverCompleted { understood: false });
        let completed_at = Instant::now();
        send(&mut predecessor, &completed);
        send(&mut successor, &receive::<ToSuccessor>(&mut predecessor));
        (completed_at, predecessor, successor)
    });
    let successor = predecessor.start_successor();
    let (completed_at, _predecessor, _successor) = proxy_thread.join().unwrap();
    call.closed.recv_timeout(TIMEOUT).expect("the call was cancelled");
    let resent = endpoint.next();
    assert_eq!(resent.http.headers["req-id"], "keyed");
    assert!(completed_at.elapsed() >= Duration::from_millis(1_400), "{:?}", completed_at.elapsed());
    resent.reply(status(200));
    assert_eq!(successor.submit("b", "note", 7, 20_000).status(), 202);
    endpoint.next().reply(status(200));
}

/// When the process that holds the lock of a folder does not offer a hand-over, a second sender on the folder fails at once.
#[test]
fn rejects_folder_locked_by_unresponsive_process() {
    let platform = Platform::new();
    let predecessor = start(&platform, &[draining("e0", 7)]);
    let (state, folder) = (predecessor.state(), predecessor.into_folder());
    let lock = File::open(state.join("lock")).unwrap();
    wait_until(|| lock.try_lock().is_ok());
    let output = program().command(folder.path()).output().unwrap();
    assert!(!output.status.success());
    assert!(String::from_utf8(output.stderr).unwrap().contains("another"), "the error states the reason");
}
