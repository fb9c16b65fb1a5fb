use std::io::{BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::thread::{self, JoinHandle};

use decision::interface::DestinationId;
use test_doubles::Http;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::task::LocalSet;

use super::*;

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
const ENDPOINT: EndpointId = EndpointId([1; 6]);
/// Time from the start of a call to its deadline.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// How long an endpoint processes a call in these tests.
const SERVICE_TIME: Duration = Duration::from_millis(200);
/// How long an endpoint waits for a connection.
const ACCEPT_TIMEOUT: Duration = Duration::from_secs(5);

/// A unit test, because no test from outside can force a response to be read after the deadline has passed.
#[test]
fn delivery_read_after_deadline_counts_as_time_out() {
    let deadline = Instant::now();
    let all = [(Outcome::Delivered, false), (Outcome::Rejected(None), false), (Outcome::Delivered, false)];
    let read_at = |now| {
        let mut outcomes = all;
        expire_late_deliveries(&mut outcomes, now, deadline);
        outcomes
    };
    assert_eq!(read_at(deadline), all);
    let late = (Outcome::TimedOut, false);
    assert_eq!(read_at(deadline + Duration::from_micros(1)), [late, all[1], late]);
}

/// The endpoint's end of a connection.
struct EndpointConnection {
    input: BufReader<TcpStream>,
    output: TcpStream,
}

impl EndpointConnection {
    fn accept(listener: &TcpListener) -> Self {
        let end = Instant::now() + ACCEPT_TIMEOUT;
        listener.set_nonblocking(true).unwrap();
        let stream = loop {
            match listener.accept() {
                Ok((stream, _)) => break stream,
                Err(_) => assert!(Instant::now() < end, "a connection is opened"),
            }
            thread::sleep(Duration::from_millis(1));
        };
        stream.set_nonblocking(false).unwrap();
        Self { input: BufReader::new(stream.try_clone().unwrap()), output: stream }
    }

    /// Reads a call.
    fn call(&mut self) -> Http {
        Http::read(&mut self.input).expect("a call arrives on this connection")
    }

    fn write(&mut self, bytes: &[u8]) {
        self.output.write_all(bytes).unwrap();
    }

    /// Reads a call and answers it after the service time.
    fn serve(&mut self) {
        self.call();
        thread::sleep(SERVICE_TIME);
        self.write(ANSWER);
    }

    /// Waits until the transport has closed the connection.
    fn wait_for_end(&mut self) {
        assert!(Http::read(&mut self.input).is_none(), "no further call arrives");
    }
}

/// A transport, and what it reports.
struct TestTransport {
    transport: HttpTransport,
    events: UnboundedReceiver<Inbound>,
    messages: u32,
    endpoints: Vec<JoinHandle<()>>,
}

impl TestTransport {
    fn new() -> Self {
        let limits =
            Limits { connect_timeout: 1_000_000, idle_timeout: 5_000_000, report_fields: Vec::new() };
        let (inbound, events) = unbounded_channel();
        Self {
            transport: HttpTransport::new(limits, 10, inbound),
            events,
            messages: 0,
            endpoints: Vec::new(),
        }
    }

    /// Starts an endpoint that carries out this script, and sends calls to it from now on.
    fn use_endpoint(&mut self, script: impl FnOnce(&TcpListener) + Send + 'static) {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        assert!(self.transport.set_address(ENDPOINT, &listener.local_addr().unwrap().to_string()));
        self.endpoints.push(thread::spawn(move || script(&listener)));
    }

    /// Sends a call with this many messages. Returns the outcome of each.
    async fn call(&mut self, messages: u32, repeatable: bool) -> Vec<Outcome> {
        let deadline = Instant::now() + CALL_TIMEOUT;
        let parts = (0..messages).map(|n| CallMessage {
            message: MessageId(self.messages + n),
            attempt: 0,
            id: format!("m{}", self.messages + n),
            key: None,
            body: Bytes::from_static(b"body"),
            repeatable,
            answer_deadline: deadline,
            send_deadline: deadline,
        });
        let options = WriteOptions { last_byte_delay: 5_000, new_connection: false };
        self.transport.start(((DestinationId(7), None), ENDPOINT), parts.collect(), options);
        self.messages += messages;
        loop {
            if let Inbound::CallCompleted(completed) = self.events.recv().await.unwrap() {
                return completed.into_iter().map(|completed| completed.outcome).collect();
            }
        }
    }

    /// Lets the idle connections rest, so that they may be reused.
    async fn rest(&self) {
        tokio::time::sleep(REST + Duration::from_millis(50)).await;
    }

    /// Sends a health probe and returns its outcome.
    async fn probe(&mut self) -> Outcome {
        self.transport.probe(ENDPOINT);
        loop {
            if let Inbound::Event(Event::HealthChecked { outcome, .. }) = self.events.recv().await.unwrap() {
                return outcome;
            }
        }
    }
}

/// Runs a test with a transport, and checks that its endpoints have carried out their scripts.
fn with_transport(test: impl AsyncFnOnce(&mut TestTransport)) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let local = LocalSet::new();
    let TestTransport { endpoints, transport, .. } = local.block_on(&runtime, async {
        let mut transport = TestTransport::new();
        test(&mut transport).await;
        transport
    });
    // Closes the connections.
    drop((transport, local));
    endpoints.into_iter().for_each(|endpoint| endpoint.join().expect("the endpoint carries out its script"));
}

/// Guards against `review/6`: the copy of an answer that came while the next call was on its way was taken for the answer to that
/// call, whose message was lost. The connection rests before it is reused, and the copy arrives meanwhile.
#[test]
fn connection_on_which_a_copy_may_still_come_is_not_reused() {
    with_transport(async |transport| {
        transport.use_endpoint(|listener| {
            let mut first = EndpointConnection::accept(listener);
            first.serve();
            thread::sleep(Duration::from_millis(20));
            first.write(ANSWER);
            let mut second = EndpointConnection::accept(listener);
            second.serve();
            second.serve();
        });
        for _ in 0..2 {
            assert_eq!(transport.call(1, true).await, [Outcome::Delivered]);
        }
        transport.rest().await;
        assert_eq!(transport.call(1, true).await, [Outcome::Delivered]);
    });
}

/// Guards against a copy that comes still later: nothing followed it in time, and it was taken for the answer.
#[test]
fn copy_that_nothing_follows_delivers_no_message() {
    with_transport(async |transport| {
        transport.use_endpoint(|listener| {
            let mut connection = EndpointConnection::accept(listener);
            connection.serve();
            connection.call();
            connection.write(ANSWER);
            connection.wait_for_end();
        });
        assert_eq!(transport.call(1, true).await, [Outcome::Delivered]);
        transport.rest().await;
        let started_at = Instant::now();
        assert_eq!(transport.call(1, true).await, [Outcome::InvalidResponse]);
        assert!(started_at.elapsed() < CALL_TIMEOUT, "time is left for another attempt");
    });
}

/// Guards against a copy that is taken for the answer when the connection ends while it is held.
#[test]
fn copy_before_the_end_of_the_connection_delivers_no_message() {
    with_transport(async |transport| {
        transport.use_endpoint(|listener| {
            let mut connection = EndpointConnection::accept(listener);
            connection.serve();
            connection.call();
            connection.write(ANSWER);
        });
        assert_eq!(transport.call(1, true).await, [Outcome::Delivered]);
        transport.rest().await;
        assert_eq!(transport.call(1, true).await, [Outcome::InvalidResponse]);
    });
}

/// Guards against a message that must not be sent again and fails although its answer comes in time, after a copy and later than
/// any before. A copy alone is no sign that the endpoint is slow.
#[test]
fn message_that_must_not_be_repeated_waits_for_its_own_answer_until_the_deadline() {
    with_transport(async |transport| {
        transport.use_endpoint(|listener| {
            for answered in [true, false] {
                let mut connection = EndpointConnection::accept(listener);
                connection.serve();
                connection.call();
                connection.write(ANSWER);
                if answered {
                    thread::sleep(4 * SERVICE_TIME);
                    connection.write(ANSWER);
                }
                connection.wait_for_end();
            }
        });
        for answered in [true, false] {
            assert_eq!(transport.call(1, false).await, [Outcome::Delivered]);
            transport.rest().await;
            let expected = if answered { Outcome::Delivered } else { Outcome::InvalidResponse };
            assert_eq!(transport.call(1, false).await, [expected]);
        }
    });
}

/// Guards against a copy that counts as an answer because no time of the endpoint is known: a probe has opened the connection.
#[test]
fn connection_is_not_reused_before_a_time_of_the_endpoint_is_known() {
    with_transport(async |transport| {
        transport.use_endpoint(|listener| {
            let mut probed = EndpointConnection::accept(listener);
            probed.serve();
            EndpointConnection::accept(listener).serve();
        });
        assert_eq!(transport.probe().await, Outcome::Delivered);
        transport.rest().await;
        assert_eq!(transport.call(1, true).await, [Outcome::Delivered]);
    });
}

/// Guards against a copy that is judged by the times of the address that the endpoint had before: the way to it was shorter.
#[test]
fn times_of_an_earlier_address_do_not_prove_an_answer() {
    with_transport(async |transport| {
        transport.use_endpoint(|listener| {
            let mut connection = EndpointConnection::accept(listener);
            connection.call();
            connection.write(ANSWER);
            connection.wait_for_end();
        });
        assert_eq!(transport.call(1, true).await, [Outcome::Delivered]);
        transport.use_endpoint(|listener| {
            let mut connection = EndpointConnection::accept(listener);
            connection.serve();
            connection.call();
            connection.write(ANSWER);
            connection.wait_for_end();
        });
        assert_eq!(transport.call(1, true).await, [Outcome::Delivered]);
        transport.rest().await;
        assert_eq!(transport.call(1, true).await, [Outcome::InvalidResponse]);
    });
}
