//! A predecessor or a successor that ends, is suspended or is too slow at one step of a takeover. The two are connected through
//! the test, which stops them between any two messages. Exactly one of them goes on, with all messages.

use std::fs::{self, File};
use std::net::{Shutdown, TcpListener};
use std::os::unix::net::{UnixListener, UnixStream};
use std::thread;
use std::time::{Duration, Instant};

use bytes::Bytes;
use handover::{HandoverState, ToPredecessor, ToSuccessor};
use serde_json::json;
use tempfile::TempDir;
use test_doubles::*;

use super::hand_over::{receive, send};
use super::program;

/// A successor has to be ready within this time, whatever happens to its predecessor.
const READY_WITHIN: Duration = Duration::from_secs(6);
/// How long a process that ends may keep the journal's lock after its connections are closed.
const LATE_RELEASE: Duration = Duration::from_millis(300);
/// Operators' files: none, with a health snapshot, with several cores.
const OPERATORS: [&str; 3] = ["", "[known]\non = true\n", "[cores]\ncount = 3\n"];

/// A sender that can be upgraded, its partners and its platform.
struct Deployment {
    platform: Platform,
    /// Partners of the destinations 7 and 8.
    endpoints: [ScriptedServer; 2],
    node: Node,
    _operators: TempDir,
}

impl Deployment {
    /// Starts the sender with this operators' file. Destination 9 accepts no calls yet.
    fn start(operators: &str) -> Self {
        let (platform, endpoints) = (Platform::new(), [ScriptedServer::new(), ScriptedServer::new()]);
        let folder = tempfile::tempdir().unwrap();
        let file = folder.path().join("operators.toml");
        fs::write(&file, operators).unwrap();
        let socket = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = socket.local_addr().unwrap().to_string();
        let program = program().arg("--operators").arg(file).inheriting(&socket);
        let list = [
            listing("e1", 7, "plain", endpoints[0].address),
            listing("e2", 8, "plain", endpoints[1].address),
            draining("e3", 9),
        ];
        let node = Node::start(&program, &platform, &list, |config| {
            (config["listen"], config["ops"]) = (json!(address), json!("127.0.0.1:0"));
        });
        Self { platform, endpoints, node, _operators: folder }
    }

    /// Submits an order for destination 7 and a note for 8, whose calls are in flight, and a note for 9, which waits.
    fn submit_all(&self) -> [PendingRequest; 2] {
        assert_eq!(self.node.submit("unsafe", "order", 7, 20_000).status(), 202);
        assert_eq!(self.node.submit("keyed", "note", 8, 20_000).status(), 202);
        assert_eq!(self.node.submit("held", "note", 9, 20_000).status(), 202);
        [self.endpoints[0].next(), self.endpoints[1].next()]
    }

    /// Starts a successor and passes its request to the predecessor.
    fn start_takeover(&self) -> Takeover {
        let (socket, predecessor_socket) =
            (self.node.state().join("successor"), self.node.state().join("predecessor"));
        fs::rename(&socket, &predecessor_socket).unwrap();
        let listener = UnixListener::bind(&socket).unwrap();
        let successor = self.node.spawn_successor();
        let mut to_successor = listener.accept().unwrap().0;
        let mut to_predecessor = UnixStream::connect(predecessor_socket).unwrap();
        send(&mut to_predecessor, &receive::<ToPredecessor>(&mut to_successor));
        let ToSuccessor::State(state) = receive(&mut to_predecessor) else { panic!("expected a state") };
        Takeover { successor, state: *state, to_predecessor, to_successor }
    }

    /// Opens the journal's lock file.
    fn lock(&self) -> File {
        File::open(self.node.state().join("lock")).unwrap()
    }

    fn kill_predecessor(&mut self) {
        self.node.signal("-KILL");
        self.node.exit_code();
    }

    /// Checks that this process is the only one that decides, and that it delivers what waits and what is new.
    fn assert_works(&self, node: &Node) {
        assert!(self.lock().try_lock().is_err(), "the process has the journal");
        let ids = ["held", "new"];
        assert_eq!(node.submit("new", "order", 9, 20_000).status(), 202);
        let endpoint = ScriptedServer::new();
        self.platform.publish(&[listing("e3", 9, "plain", endpoint.address)]);
        let mut delivered: Vec<_> = ids.iter().map(|_| endpoint.next()).collect();
        delivered.sort_by_key(|call| call.http.headers["req-id"].clone());
        assert_eq!(
            delivered.iter().map(|call| call.http.headers["req-id"].as_str()).collect::<Vec<_>>(),
            ids
        );
        delivered.into_iter().for_each(|call| call.reply(status(200)));
        wait_until(|| node.metric("svc_open_requests") == 0);
        assert!(!endpoint.has_unread_request(), "nothing is sent twice");
    }
}

/// A takeover at the step at which the predecessor has sent its state.
struct Takeover {
    successor: StartingNode,
    state: HandoverState,
    to_predecessor: UnixStream,
    to_successor: UnixStream,
}

impl Takeover {
    /// Passes the state to the successor, if asked as one that it can't read.
    fn send_state(&mut self, readable: bool) {
        let mut state = self.state.clone();
        if !readable {
            state.policy = Bytes::from_static(b"\xc1");
        }
        send(&mut self.to_successor, &ToSuccessor::State(Box::new(state)));
    }

    /// Waits until the successor is ready.
    fn ready(self) -> Node {
        let started_at = Instant::now();
        let node = self.successor.ready(TIMEOUT).unwrap_or_else(|failed| panic!("not ready: {:?}", failed.1));
        assert!(started_at.elapsed() < READY_WITHIN, "{:?}", started_at.elapsed());
        node
    }
}

/// Closes the connection to one of the processes.
fn close(link: &mut UnixStream) {
    link.shutdown(Shutdown::Both).unwrap();
}

/// Checks the ends of the calls that a killed predecessor had in flight: they may have run.
fn assert_calls_may_have_run(deployment: &Deployment, calls: [PendingRequest; 2]) {
    let undeliverable = json!({"id": "unsafe", "status": "undeliverable"});
    assert_eq!(deployment.platform.answer_notification(204), [undeliverable]);
    let resent = deployment.endpoints[1].next();
    assert_eq!(resent.http.headers["req-id"], "keyed");
    resent.reply(status(200));
    assert!(!deployment.endpoints[0].has_unread_request(), "the non-idempotent message is not sent again");
    drop(calls);
}

/// Guards against `review/9`: a successor that had the journal and the state exited because it could not confirm that to the
/// predecessor, which had been killed meanwhile. Nobody was left.
#[test]
fn successor_goes_on_when_the_predecessor_is_killed_before_the_confirmation() {
    for operators in OPERATORS {
        for readable in [true, false] {
            let mut deployment = Deployment::start(operators);
            let calls = deployment.submit_all();
            let mut takeover = deployment.start_takeover();
            deployment.kill_predecessor();
            takeover.send_state(readable);
            close(&mut takeover.to_successor);
            let successor = takeover.ready();
            assert_calls_may_have_run(&deployment, calls);
            deployment.assert_works(&successor);
        }
    }
}

/// The same with a predecessor that is killed right after the confirmation, before it has cancelled its calls for a successor that
/// does not understand its state.
#[test]
fn successor_goes_on_when_the_predecessor_is_killed_after_the_confirmation() {
    for operators in OPERATORS {
        for readable in [true, false] {
            let mut deployment = Deployment::start(operators);
            let calls = deployment.submit_all();
            let mut takeover = deployment.start_takeover();
            takeover.send_state(readable);
            let confirmation = receive::<ToPredecessor>(&mut takeover.to_successor);
            assert_eq!(confirmation, ToPredecessor::TakeoverCompleted { understood: readable });
            deployment.kill_predecessor();
            close(&mut takeover.to_successor);
            let successor = takeover.ready();
            assert_calls_may_have_run(&deployment, calls);
            deployment.assert_works(&successor);
        }
    }
}

/// Guards against a successor that waits for ever for a predecessor to cancel its calls, or exits because that sent something else.
#[test]
fn successor_goes_on_when_the_predecessor_does_not_cancel_its_calls() {
    for answer in [None, Some(ToSuccessor::ConnectionReused { lost: false })] {
        let mut deployment = Deployment::start("");
        let _calls = deployment.submit_all();
        let mut takeover = deployment.start_takeover();
        deployment.node.stop();
        takeover.send_state(false);
        let confirmation = receive::<ToPredecessor>(&mut takeover.to_successor);
        assert_eq!(confirmation, ToPredecessor::TakeoverCompleted { understood: false });
        if let Some(answer) = answer {
            send(&mut takeover.to_successor, &answer);
        }
        let _to_successor = takeover.to_successor.try_clone().unwrap();
        let successor = takeover.ready();
        deployment.node.signal("-CONT");
        assert_eq!(deployment.node.exit_code(), Some(1), "the predecessor does not decide any more");
        deployment.assert_works(&successor);
    }
}

/// Guards against a successor that continues from a state which its predecessor, having waited in vain, has gone on from: an order
/// that was called meanwhile would be called a second time. The successor recovers from the journal alone.
#[test]
fn superseded_state_is_not_used() {
    for operators in OPERATORS {
        let mut deployment = Deployment::start(operators);
        assert_eq!(deployment.node.ops("POST", "/maintenance/enter?target=e1").status(), 200);
        assert_eq!(deployment.node.submit("unsafe", "order", 7, 20_000).status(), 202);
        let mut takeover = deployment.start_takeover();
        // The predecessor resumes.
        close(&mut takeover.to_predecessor);
        assert_eq!(deployment.node.submit("held", "note", 9, 20_000).status(), 202);
        assert_eq!(deployment.node.ops("POST", "/maintenance/exit?target=e1").status(), 200);
        let call = deployment.endpoints[0].next();
        deployment.kill_predecessor();
        takeover.send_state(true);
        close(&mut takeover.to_successor);
        let successor = takeover.ready();
        let undeliverable = json!({"id": "unsafe", "status": "undeliverable"});
        assert_eq!(deployment.platform.answer_notification(204), [undeliverable]);
        deployment.assert_works(&successor);
        assert!(!deployment.endpoints[0].has_unread_request(), "the order is not called a second time");
        drop(call);
    }
}

/// Guards against a predecessor that exits because its successor, which ends before it has taken over, still has the journal's lock
/// when the connection to it is closed already. Nobody would be left.
#[test]
fn predecessor_resumes_when_the_successor_releases_the_journal_late() {
    for operators in OPERATORS {
        let deployment = Deployment::start(operators);
        let calls = deployment.submit_all();
        let mut successor = UnixStream::connect(deployment.node.state().join("successor")).unwrap();
        send(&mut successor, &ToPredecessor::RequestTakeover);
        let ToSuccessor::State(_) = receive(&mut successor) else { panic!("expected a state") };
        let lock = deployment.lock();
        lock.try_lock().expect("the predecessor has released the journal");
        drop(successor);
        thread::sleep(LATE_RELEASE);
        drop(lock);
        for call in calls {
            call.reply(status(200));
        }
        wait_until(|| deployment.node.metric("svc_open_requests") == 1);
        deployment.assert_works(&deployment.node);
        assert!(deployment.platform.notifications.try_recv().is_err(), "no call was lost");
    }
}

/// Guards against a successor that exits because the journal is locked again when it has received the state: it was so slow that
/// the predecessor has resumed.
#[test]
fn successor_requests_the_state_again_when_the_predecessor_has_resumed() {
    for operators in OPERATORS {
        let deployment = Deployment::start(operators);
        let calls = deployment.submit_all();
        let mut takeover = deployment.start_takeover();
        // The predecessor resumes before the successor has received the state.
        close(&mut takeover.to_predecessor);
        wait_until(|| deployment.node.log().iter().any(|line| line.contains("this process continues")));
        takeover.send_state(true);
        let successor = takeover.ready();
        for call in calls {
            call.reply(status(200));
        }
        wait_until(|| successor.metric("svc_open_requests") == 1);
        deployment.assert_works(&successor);
        assert!(deployment.platform.notifications.try_recv().is_err(), "no call was lost");
    }
}
