//! What binds a call binds it where its bytes leave, too: a wait, a drain, a message's end, the window of its key. Calls
//! whose connection took long to come up, and a process that stood still between its decision and the call.

use std::io::Read;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use serde_json::json;
use test_doubles::*;

use super::program;

/// How long the destination tells callers to wait.
const WAIT: Duration = Duration::from_millis(3_500);
/// Calls that come so soon after the answer are let through.
const SLACK: Duration = Duration::from_millis(100);

/// An endpoint whose connections do not come up while its queue of them is full. The system tries again after a second.
struct Clogged {
    listener: TcpListener,
    address: SocketAddr,
    fillers: Vec<TcpStream>,
}

impl Clogged {
    fn new() -> Self {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        socket.listen(0).unwrap();
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().unwrap();
        let fill = || TcpStream::connect_timeout(&address, Duration::from_millis(200)).ok();
        let fillers: Vec<_> = std::iter::from_fn(fill).take(16).collect();
        assert!(fillers.len() < 16, "its queue is full at some time");
        Self { listener, address, fillers }
    }

    /// Whether somebody waits for a connection to come up, as the system shows it.
    fn is_dialled(&self) -> bool {
        let remote = format!("0100007F:{:04X} 02", self.address.port());
        std::fs::read_to_string("/proc/net/tcp").unwrap().contains(&remote)
    }

    /// Has room from now on; tells the first connection that is not one of those that filled it.
    fn unclog(&self) -> TcpStream {
        let own: Vec<_> = self.fillers.iter().map(|filler| filler.local_addr().unwrap()).collect();
        loop {
            let (stream, from) = self.listener.accept().unwrap();
            if !own.contains(&from) {
                return stream;
            }
        }
    }
}

/// When the first byte comes, if one does within that time; and whether the connection stays open.
fn first_byte(stream: &mut TcpStream, until: Instant) -> Option<Instant> {
    let left = until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    stream.set_read_timeout(Some(left)).unwrap();
    matches!(stream.read(&mut [0]), Ok(1)).then(Instant::now)
}

/// A sender with two endpoints of one destination: a call is out at the first, and one more is decided, whose connection to
/// the second does not come up yet.
fn two_calls(platform: &Platform, first: &ScriptedServer, second: &Clogged) -> (Node, PendingRequest) {
    let known = [listing("e1", 7, "plain", first.address), listing("e2", 7, "plain", second.address)];
    let node = Node::start(&program(), platform, &known, |config| {
        config["settings"]["limits"]["connect_timeout_us"] = json!(6_000_000);
    });
    assert_eq!(node.submit("a", "note", 7, 20_000).status(), 202);
    assert_eq!(node.submit("b", "note", 7, 20_000).status(), 202);
    let asked = first.next();
    (node, asked)
}

fn told(asked: PendingRequest) -> Instant {
    asked.reply(Reply::Answer(
        429,
        vec![("retry-after", format!("{:.3}", WAIT.as_secs_f64()))],
        String::new(),
    ));
    Instant::now()
}

#[test]
fn a_call_whose_connection_comes_up_after_a_wait_was_told_stays_until_it_is_over() {
    let (platform, first, second) = (Platform::new(), ScriptedServer::new(), Clogged::new());
    let (node, asked) = two_calls(&platform, &first, &second);
    let told = told(asked);
    let mut stream = second.unclog();
    let up = Instant::now();
    assert!(up > told + SLACK && up < told + WAIT, "it came up within the wait: {:?}", up - told);
    let byte = first_byte(&mut stream, told + WAIT - SLACK);
    assert_eq!(byte, None, "{:?} after the wait was told", byte.map(|at| at - told));
    drop(node);
}

#[test]
fn a_process_that_stood_still_hears_of_a_wait_before_its_calls_go_on() {
    let (platform, first, second) = (Platform::new(), ScriptedServer::new(), Clogged::new());
    let (node, asked) = two_calls(&platform, &first, &second);
    node.signal("-STOP");
    // The system brings the connection up for the process that stands still. Of all that it is to hear of this is the first.
    let mut stream = second.unclog();
    let told = told(asked);
    std::thread::sleep(3 * SLACK);
    node.signal("-CONT");
    let byte = first_byte(&mut stream, told + WAIT - SLACK);
    assert_eq!(byte, None, "{:?} after the wait was told", byte.map(|at| at - told));
    drop(node);
}

/// The list says that an endpoint wants nothing new while a connection to it comes up: what was to go there goes elsewhere.
#[test]
fn a_call_whose_connection_comes_up_after_its_endpoint_drains_goes_elsewhere() {
    let (platform, first, second) = (Platform::new(), ScriptedServer::new(), Clogged::new());
    let (node, asked) = two_calls(&platform, &first, &second);
    platform.publish(&[listing("e1", 7, "plain", first.address), draining("e2", 7)]);
    // It is known once it is asked for what is newer.
    let newest = || platform.watched.recv_timeout(TIMEOUT).unwrap().contains("from=2");
    wait_until(newest);
    let mut stream = second.unclog();
    asked.reply(status(200));
    let other = first.next();
    assert_eq!(first_byte(&mut stream, Instant::now() + SLACK), None);
    other.reply(status(200));
    drop(node);
}

/// Found on the bench, where some connections come up a second late: of two messages that were to travel together one was at
/// its end, and was given up, before the connection came up.
#[test]
fn a_message_that_was_given_up_stays_though_it_was_to_travel_with_others() {
    let (platform, endpoint) = (Platform::new(), Clogged::new());
    let known = [listing("e1", 7, "bulk", endpoint.address)];
    let node = Node::start(&program(), &platform, &known, |config| {
        config["settings"]["limits"]["connect_timeout_us"] = json!(6_000_000);
        // Both are in one turn, and so in one call.
        config["settings"]["period_us"] = json!(100_000);
    });
    let mut clients = [Client::new(&node), Client::new(&node)];
    clients[0].write(&submission("short", "order", 7, 700));
    clients[1].write(&submission("long", "order", 7, 20_000));
    for client in &mut clients {
        assert_eq!(client.answer().unwrap().status(), 202);
    }
    let notice = platform.answer_notification(204);
    assert_eq!(notice[0]["id"], "short");
    let stream = endpoint.unclog();
    let call = Http::read(&mut std::io::BufReader::new(&stream)).unwrap();
    assert_eq!(call.first, "POST /v1/messages HTTP/1.1", "{}", String::from_utf8_lossy(&call.body));
    assert_eq!(call.headers["req-id"], "long");
    drop(node);
}

/// Found on the bench, where some connections come up a second late: a repeat was decided while its key was remembered, and left
/// when it was not any more.
#[test]
fn a_repeat_whose_connection_comes_up_after_its_key_is_forgotten_stays() {
    let (platform, first, second) = (Platform::new(), ScriptedServer::new(), Clogged::new());
    let node = Node::start(&program(), &platform, &[listing("e1", 7, "plain", first.address)], |config| {
        config["settings"]["limits"]["connect_timeout_us"] = json!(6_000_000);
        // The system tries a connection again after a second: what comes up then comes too late.
        config["settings"]["classes"][0]["dedup_window_us"] = json!(800_000);
    });
    assert_eq!(node.submit("a", "note", 7, 20_000).status(), 202);
    let call = first.next();
    platform.publish(&[draining("e1", 7), listing("e2", 7, "plain", second.address)]);
    wait_until(|| platform.watched.recv_timeout(TIMEOUT).unwrap().contains("from=2"));
    call.reply(Reply::Close);
    wait_until(|| second.is_dialled());
    let mut stream = second.unclog();
    assert_eq!(platform.answer_notification(204), [json!({"id": "a", "status": "undeliverable"})]);
    assert_eq!(first_byte(&mut stream, Instant::now() + SLACK), None);
    drop(node);
}
