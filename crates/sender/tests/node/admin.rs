//! The admin interface, which on-call staff call at the second address of a sender, and the inherited listening socket.

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

/// An endpoint that on-call staff ejected stays ejected when a new list names it again and when the process is restarted.
#[test]
fn ejected_endpoint_gets_no_calls_until_it_is_reinstated() {
    let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
    let entries = [listing("e1", 7, "plain", endpoint.address)];
    let node = start(&platform, &entries);
    assert_eq!(node.ops("POST", "/maintenance/enter?target=e9").status(), 404, "no list has named it");
    assert_eq!(node.ops("POST", "/maintenance/enter").status(), 400);
    assert_eq!(node.ops("GET", "/maintenance/enter?target=e1").status(), 405);
    assert_eq!(node.ops("POST", "/maintenance/enter?target=e1").status(), 200);
    assert_eq!(node.ops("POST", "/maintenance/enter?target=e1").status(), 200, "the request may be repeated");
    assert_eq!(node.metric("svc_out_of_rotation"), 1);
    // Listed again, and listed in a new process.
    platform.publish(&[entries[0].clone(), draining("e2", 8)]);
    let assert_both_ejected = |node: &Node| {
        wait_until(|| node.metric("svc_registry_entries") == 2);
        assert_eq!(node.metric("svc_out_of_rotation"), 2);
    };
    assert_both_ejected(&node);
    let node = node.kill_and_restart();
    assert_both_ejected(&node);
    assert_eq!(node.submit("a", "note", 7, 20_000).status(), 202);
    assert_eq!(node.metric("svc_open_requests"), 1);
    assert!(!endpoint.has_unread_request());
    assert_eq!(node.ops("POST", "/maintenance/exit?target=e1").status(), 200, "one request reinstates it");
    endpoint.next().reply(status(200));
    assert_eq!(node.ops("POST", "/maintenance/exit?target=e1").status(), 200);
    // An endpoint that has left the list can still be ejected.
    platform.publish(&[draining("e2", 8)]);
    wait_until(|| node.metric("svc_registry_entries") == 1);
    assert_eq!(node.ops("POST", "/maintenance/enter?target=e1").status(), 200);
    platform.publish(&entries);
    wait_until(|| node.metric("svc_out_of_rotation") == 1);
}

/// In standby the readiness check must fail, no connection may be closed before its message is answered, and no client
/// connection may stay open, over which a message could arrive later. `/active` ends the standby.
#[test]
fn standby_closes_client_connections_until_active() {
    let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
    let node = start(&platform, &[listing("e1", 7, "plain", endpoint.address)]);
    let (mut idle, mut busy) = (Client::new(&node), Client::new(&node));
    for client in [&mut idle, &mut busy] {
        assert_eq!(client.ask(READY).status(), 200);
    }
    assert_eq!(node.ops("POST", "/standby").status(), 200);
    assert_eq!(node.ask(READY).status(), 503);
    // The connection is closed after its answer, which announces the close.
    let answer = busy.ask(&submission("a", "note", 7, 20_000));
    assert_eq!((answer.status(), answer.headers["connection"].as_str()), (202, "close"));
    assert!(busy.ended());
    let mut late = Client::new(&node);
    assert_eq!(late.ask(&submission("b", "note", 7, 20_000)).status(), 202);
    assert!(late.ended() && idle.ended());
    // Accepted messages are still delivered.
    endpoint.next().reply(status(200));
    endpoint.next().reply(status(200));
    assert_eq!(node.ask(READY).status(), 503);
    assert_eq!(node.ops("POST", "/active").status(), 200);
    let mut returning = Client::new(&node);
    assert_eq!(returning.ask(READY).status(), 200);
    assert_eq!(returning.ask(&submission("c", "note", 7, 20_000)).status(), 202);
    assert_eq!(returning.ask(READY).status(), 200, "the connection stays open");
}

#[test]
fn metrics_match_what_clients_and_endpoints_saw() {
    let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
    let node = start(&platform, &[listing("e1", 7, "plain", endpoint.address)]);
    assert_eq!(node.ops("GET", "/status").status(), 200);
    for id in ["a", "b", "c"] {
        assert_eq!(node.submit(id, "order", 7, 20_000).status(), 202);
    }
    assert_eq!(node.submit("d", "note", 9, 20_000).status(), 503, "no list has named destination 9");
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

/// Clients of the admin interface that connect and send nothing must not keep others out.
#[test]
fn silent_admin_connections_do_not_block_others() {
    let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
    let node = start(&platform, &[listing("e1", 7, "plain", endpoint.address)]);
    let mut silent: Vec<_> = (0..100).map(|_| TcpStream::connect(node.admin.unwrap()).unwrap()).collect();
    assert_eq!(node.ops("GET", "/status").status(), 200);
    // Closed well before a connection's timeout: the oldest connection makes room.
    silent[0].set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    assert!(matches!(silent[0].read(&mut [0]), Ok(0)));
}

/// A listening socket that the platform holds open is used: the sender accepts connections there, and opens no socket of its own.
#[test]
fn uses_the_inherited_listening_socket() {
    let platform = Platform::new();
    let socket = TcpListener::bind("127.0.0.1:0").unwrap();
    let address: SocketAddr = socket.local_addr().unwrap();
    let program = program().inheriting(&socket);
    let node = Node::start(&program, &platform, &[draining("e0", 7)], |config| {
        config["listen"] = json!(address.to_string());
    });
    assert_eq!(node.address, address);
    assert_eq!(node.ask(READY).status(), 200);
}
