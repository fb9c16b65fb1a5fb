//! A process that is started beside the running one takes over, and the failures on the way.

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

/// A sender on a listening socket that the platform holds.
fn start(platform: &Platform, endpoints: &[serde_json::Value]) -> Node {
    let held = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = held.local_addr().unwrap().to_string();
    // Both are to have this one too, one after the other.
    let notes = UdpSocket::bind("127.0.0.1:0").unwrap().local_addr().unwrap().to_string();
    Node::start(&program().inheriting(&held), platform, endpoints, |config| {
        (config["listen"], config["ops"]) = (json!(address), json!("127.0.0.1:0"));
        config["peer_listen"] = json!(notes);
    })
}

fn say(stream: &mut UnixStream, message: &impl Serialize) {
    stream.write_all(&frame::write(message).unwrap()).unwrap();
}

fn hear<T: DeserializeOwned>(stream: &mut UnixStream) -> T {
    let mut head = [0; 4];
    stream.read_exact(&mut head).unwrap();
    let mut body = vec![0; frame::body_length(head).unwrap()];
    stream.read_exact(&mut body).unwrap();
    frame::read(&body).unwrap()
}

/// Guards all that is under way: a call that is out goes on and counts, what waits is sent by the new process, and a
/// client that stays where it is is served.
#[test]
fn a_process_started_beside_takes_over_what_is_under_way() {
    let (platform, seven, eight) = (Platform::new(), ScriptedServer::new(), ScriptedServer::new());
    let listed = [listing("e1", 7, "plain", seven.address), listing("e2", 8, "plain", eight.address)];
    let mut old = start(&platform, &listed);
    let mut client = Client::new(&old);
    assert_eq!(client.ask(&submission("out", "order", 7, 20_000)).status(), 202);
    let out = seven.next();
    assert_eq!(old.ops("POST", "/maintenance/enter?target=e2").status(), 200);
    assert_eq!(client.ask(&submission("held", "note", 8, 20_000)).status(), 202);

    let new = old.start_successor();
    assert_eq!(new.ops("GET", "/status").status(), 200);
    assert_eq!(new.address, old.address);
    assert_eq!(new.metric("svc_open_requests"), 2);
    assert_eq!(new.metric("svc_out_of_rotation"), 1, "held out by hand before");
    // By the old process's connection, with the new one's answer, which is the last.
    let answer = client.ask(&submission("late", "order", 7, 20_000));
    assert_eq!((answer.status(), answer.headers["connection"].as_str()), (202, "close"));
    assert!(client.ended());
    let late = seven.next();
    assert_eq!(late.http.headers["req-id"], "late");
    late.reply(status(200));
    // Staff who still call the old one reach the new one.
    assert_eq!(old.ops("POST", "/maintenance/exit?target=e2").status(), 200);
    let held = eight.next();
    assert_eq!(held.http.headers["req-id"], "held");
    held.reply(status(200));
    old.signal("-TERM");
    out.reply(status(200));
    assert_eq!(old.exit_code(), Some(0));
    wait_until(|| new.metric("svc_open_requests") == 0);
    assert!(!seven.has_unread_request(), "nothing goes twice");
    // The one after that.
    let next = new.start_successor();
    assert_eq!(next.ask(READY).status(), 200);
    assert_eq!(next.submit("next", "order", 7, 20_000).status(), 202);
    assert_eq!(seven.next().http.headers["req-id"], "next");
    assert!(platform.notifications.try_recv().is_err(), "nothing failed on the way");
}

/// Guards a wait against the change of processes: both are one sender.
#[test]
fn a_wait_that_the_old_process_was_told_binds_the_new_one() {
    let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
    let old = start(&platform, &[listing("e1", 7, "plain", endpoint.address)]);
    assert_eq!(old.submit("a", "order", 7, 20_000).status(), 202);
    let told = Instant::now();
    endpoint.next().reply(Reply::Answer(429, vec![("retry-after", "2".into())], "".into()));
    // The old one has heard of it once the message waits again.
    let journal = old.journal_length();
    wait_until(|| old.journal_length() > journal || told.elapsed() > Duration::from_millis(300));
    let new = old.start_successor();
    assert_eq!(new.submit("b", "order", 7, 20_000).status(), 202);
    let first = endpoint.next();
    assert!(told.elapsed() >= Duration::from_secs(2), "{:?}", told.elapsed());
    first.reply(status(200));
    endpoint.next().reply(status(200));
    // The second attempt at the first message is the new process's first: its end is told from the one before.
    wait_until(|| new.metric("svc_open_requests") == 0);
}

/// Guards the sender against a new process that asks and goes: the old one is as before.
#[test]
fn a_process_that_asks_and_dies_changes_nothing() {
    let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
    let old = start(&platform, &[listing("e1", 7, "plain", endpoint.address)]);
    assert_eq!(old.submit("a", "order", 7, 20_000).status(), 202);
    let call = endpoint.next();
    let mut asking = UnixStream::connect(old.state().join("successor")).unwrap();
    say(&mut asking, &ToPredecessor::RequestTakeover);
    let ToSuccessor::State(state) = hear(&mut asking) else { panic!("a state") };
    assert_eq!(state.attempts_in_flight.len(), 1);
    drop(asking);
    assert_eq!(old.submit("b", "order", 7, 20_000).status(), 202);
    let second = endpoint.next();
    call.reply(status(200));
    second.reply(status(200));
    wait_until(|| old.metric("svc_open_requests") == 0);
    assert_eq!(old.metric("svc_operations{priority=\"order\",status=\"fulfilled\"}"), 2);
    // One that says nothing at all is not waited for, and a proper one takes over after all.
    let _silent = UnixStream::connect(old.state().join("successor")).unwrap();
    let new = old.start_successor();
    assert_eq!(new.ask(READY).status(), 200);
}

/// Guards effects against the loss of the old process with calls out: they may have run.
#[test]
fn what_was_out_at_an_old_process_that_is_killed_may_have_run() {
    let (platform, seven, eight) = (Platform::new(), ScriptedServer::new(), ScriptedServer::new());
    let listed = [listing("e1", 7, "plain", seven.address), listing("e2", 8, "plain", eight.address)];
    let old = start(&platform, &listed);
    assert_eq!(old.submit("unsafe", "order", 7, 20_000).status(), 202);
    assert_eq!(old.submit("keyed", "note", 8, 20_000).status(), 202);
    let (unsafe_call, keyed_call) = (seven.next(), eight.next());
    let _new = old.start_successor();
    drop(old);
    assert_eq!(platform.answer_notification(204), [json!({"id": "unsafe", "status": "undeliverable"})]);
    let again = eight.next();
    assert_eq!(again.http.headers["req-id"], "keyed");
    again.reply(status(200));
    drop((unsafe_call, keyed_call));
    assert!(!seven.has_unread_request(), "the unsafe message is not sent again");
}

/// Guards against two copies at a time where the versions don't understand one another: nothing begins before all that
/// the old process had out is broken off; its waits bind all the same.
#[test]
fn a_state_that_is_not_understood_is_taken_over_as_after_a_kill() {
    let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
    let old = start(&platform, &[listing("e1", 7, "plain", endpoint.address)]);
    assert_eq!(old.submit("keyed", "note", 7, 20_000).status(), 202);
    let call = endpoint.next();
    // What the old process says passes through here, spoilt.
    let (socket, real) = (old.state().join("successor"), old.state().join("real"));
    fs::rename(&socket, &real).unwrap();
    let between = UnixListener::bind(&socket).unwrap();
    let spoils = std::thread::spawn(move || {
        let (mut new, mut old) = (between.accept().unwrap().0, UnixStream::connect(real).unwrap());
        say(&mut old, &hear::<ToPredecessor>(&mut new));
        let ToSuccessor::State(state) = hear(&mut old) else { panic!("a state") };
        let waits = vec![("e1".to_owned(), state.stopped_at + 1_500_000).into()];
        let spoilt = HandoverState { policy: Bytes::from_static(b"\xc1"), waits, ..*state };
        say(&mut new, &ToSuccessor::State(Box::new(spoilt)));
        let took = hear::<ToPredecessor>(&mut new);
        assert_eq!(took, ToPredecessor::TakeoverCompleted { understood: false });
        let at = Instant::now();
        say(&mut old, &took);
        say(&mut new, &hear::<ToSuccessor>(&mut old));
        (at, old, new)
    });
    let new = old.start_successor();
    let (at, _old, _new) = spoils.join().unwrap();
    call.closed.recv_timeout(TIMEOUT).expect("it was broken off");
    let again = endpoint.next();
    assert_eq!(again.http.headers["req-id"], "keyed");
    assert!(at.elapsed() >= Duration::from_millis(1_400), "{:?}", at.elapsed());
    again.reply(status(200));
    assert_eq!(new.submit("b", "note", 7, 20_000).status(), 202);
    endpoint.next().reply(status(200));
}

/// Where no process is started beside another, a second sender on the folder is an error at once.
#[test]
fn a_folder_that_is_locked_by_one_that_says_nothing_is_not_begun_on() {
    let platform = Platform::new();
    let old = start(&platform, &[draining("e0", 7)]);
    let (state, folder) = (old.state(), old.into_folder());
    let lock = File::open(state.join("lock")).unwrap();
    wait_until(|| lock.try_lock().is_ok());
    let output = program().command(folder.path()).output().unwrap();
    assert!(!output.status.success());
    assert!(String::from_utf8(output.stderr).unwrap().contains("another"), "it says why");
}
