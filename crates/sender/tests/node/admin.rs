//! What on-call staff ask of a sender at its second address.

use std::io::Read;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use serde_json::json;
use test_doubles::*;

use super::program;

const READY: &[u8] = b"GET /ready HTTP/1.1\r\nHost: origin.svc\r\n\r\n";

fn start(platform: &Platform, endpoints: &[serde_json::Value]) -> Node {
    Node::start(&program(), platform, endpoints, |config| config["ops"] = json!("127.0.0.1:0"))
}

/// Guards what is held out by hand against a list that names it again, and against the end of the process.
#[test]
fn an_endpoint_that_is_held_out_gets_nothing_until_it_is_put_back() {
    let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
    let listed = [listing("e1", 7, "plain", endpoint.address)];
    let node = start(&platform, &listed);
    assert_eq!(node.ops("POST", "/maintenance/enter?target=e9").status(), 404, "no list named it");
    assert_eq!(node.ops("POST", "/maintenance/enter").status(), 400);
    assert_eq!(node.ops("GET", "/maintenance/enter?target=e1").status(), 405);
    assert_eq!(node.ops("POST", "/maintenance/enter?target=e1").status(), 200);
    assert_eq!(node.ops("POST", "/maintenance/enter?target=e1").status(), 200, "the call may come again");
    assert_eq!(node.metric("svc_out_of_rotation"), 1);
    // Listed anew, and listed in a new process.
    platform.publish(&[listed[0].clone(), draining("e2", 8)]);
    let both_avoided = |node: &Node| {
        wait_until(|| node.metric("svc_registry_entries") == 2);
        assert_eq!(node.metric("svc_out_of_rotation"), 2);
    };
    both_avoided(&node);
    let node = node.kill_and_restart();
    both_avoided(&node);
    assert_eq!(node.submit("a", "note", 7, 20_000).status(), 202);
    assert_eq!(node.metric("svc_open_requests"), 1);
    assert!(!endpoint.has_unread_request());
    assert_eq!(node.ops("POST", "/maintenance/exit?target=e1").status(), 200, "one call back ends it");
    endpoint.next().reply(status(200));
    assert_eq!(node.ops("POST", "/maintenance/exit?target=e1").status(), 200);
    // An endpoint that has left the list was known all the same.
    platform.publish(&[draining("e2", 8)]);
    wait_until(|| node.metric("svc_registry_entries") == 1);
    assert_eq!(node.ops("POST", "/maintenance/enter?target=e1").status(), 200);
    platform.publish(&listed);
    wait_until(|| node.metric("svc_out_of_rotation") == 1);
}

/// Guards clients that are sent away: the front hears no, nobody's message is closed on, and no connection is left
/// over which a message could come later.
#[test]
fn clients_are_sent_away_and_taken_again() {
    let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
    let node = start(&platform, &[listing("e1", 7, "plain", endpoint.address)]);
    let (mut idle, mut busy) = (Client::new(&node), Client::new(&node));
    for client in [&mut idle, &mut busy] {
        assert_eq!(client.ask(READY).status(), 200);
    }
    assert_eq!(node.ops("POST", "/standby").status(), 200);
    assert_eq!(node.ask(READY).status(), 503);
    // Not closed on before it has had its answer, which says that it is the last.
    let answer = busy.ask(&submission("a", "note", 7, 20_000));
    assert_eq!((answer.status(), answer.headers["connection"].as_str()), (202, "close"));
    assert!(busy.ended());
    let mut late = Client::new(&node);
    assert_eq!(late.ask(&submission("b", "note", 7, 20_000)).status(), 202);
    assert!(late.ended() && idle.ended());
    // What it has taken on it still delivers.
    endpoint.next().reply(status(200));
    endpoint.next().reply(status(200));
    assert_eq!(node.ask(READY).status(), 503);
    assert_eq!(node.ops("POST", "/active").status(), 200);
    let mut back = Client::new(&node);
    assert_eq!(back.ask(READY).status(), 200);
    assert_eq!(back.ask(&submission("c", "note", 7, 20_000)).status(), 202);
    assert_eq!(back.ask(READY).status(), 200, "it stays open");
}

#[test]
fn the_figures_are_what_clients_and_endpoints_saw() {
    let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
    let node = start(&platform, &[listing("e1", 7, "plain", endpoint.address)]);
    assert_eq!(node.ops("GET", "/status").status(), 200);
    for id in ["a", "b", "c"] {
        assert_eq!(node.submit(id, "order", 7, 20_000).status(), 202);
    }
    assert_eq!(node.submit("d", "note", 9, 20_000).status(), 503, "no list names it");
    let calls: Vec<_> = (0..3).map(|_| endpoint.next()).collect();
    wait_until(|| node.metric("svc_relayed") == 3);
    assert_eq!(node.metric("svc_open_requests"), 3);
    for (call, code) in calls.into_iter().zip([200, 200, 500]) {
        call.reply(status(code));
    }
    platform.answer_notification(204);
    wait_until(|| node.metric("svc_open_requests") == 0);
    let count =
        |class, status| node.metric(&format!("svc_operations{{priority=\"{class}\",status=\"{status}\"}}"));
    assert_eq!(["fulfilled", "throttled", "faulted"].map(|status| count("order", status)), [2, 0, 1]);
    assert_eq!(["fulfilled", "throttled", "faulted"].map(|status| count("note", status)), [0, 1, 0]);
    assert_eq!(node.metric("svc_registry_entries"), 1);
    assert_eq!(node.metric("svc_out_of_rotation"), 0);
}

/// Guards callers against others that connect and say nothing.
#[test]
fn silent_callers_keep_nobody_out() {
    let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
    let node = start(&platform, &[listing("e1", 7, "plain", endpoint.address)]);
    let mut silent: Vec<_> = (0..100).map(|_| TcpStream::connect(node.admin.unwrap()).unwrap()).collect();
    assert_eq!(node.ops("GET", "/status").status(), 200);
    // Well before a caller's time is up: the first made way.
    silent[0].set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    assert!(matches!(silent[0].read(&mut [0]), Ok(0)));
}

/// Guards a socket that the platform holds: the sender takes what comes there, and opens none of its own.
#[test]
fn the_platforms_listening_socket_is_used() {
    let platform = Platform::new();
    let held = TcpListener::bind("127.0.0.1:0").unwrap();
    let address: SocketAddr = held.local_addr().unwrap();
    let program = program().inheriting(&held);
    let node = Node::start(&program, &platform, &[draining("e0", 7)], |config| {
        config["listen"] = json!(address.to_string());
    });
    assert_eq!(node.address, address);
    assert_eq!(node.ask(READY).status(), 200);
}
