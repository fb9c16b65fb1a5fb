//! Calls to endpoints over HTTP/1.1: single messages, batches and health probes, over pooled connections. The transport
//! never repeats a request of which the last byte may have been sent.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use decision::interface::{EndpointId, Event, MessageId, Micros, Outcome, RouteId};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderMap, RETRY_AFTER};
use hyper::{Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc::UnboundedSender, oneshot};
use tokio::time::{Instant, timeout, timeout_at};

use super::connection::{BODY_TIMEOUT, Connection, ExchangeError, SendOptions, SendPermit, Traffic};
use super::connection_reuse::{AnswerTimes, CopyCriteria, REST, allows_reuse};
use crate::http::active_waits::ActiveWaits;
use crate::ports::{AttemptCompleted, CallMessage, Inbound, Transport, WriteOptions};

/// An endpoint together with the address that it is connected to; identifies a pool of idle connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct EndpointAddress {
    endpoint: EndpointId,
    address: SocketAddr,
}

/// Timeouts of connections, and the fields of load reports.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Connect timeout.
    pub connect_timeout: Micros,
    /// The idle time after which endpoints close a connection.
    pub idle_timeout: Micros,
    /// Names of the fields of a load report, in the order in which their values are reported.
    pub report_fields: Vec<String>,
}

/// An idle connection, and when it became idle.
struct Idle {
    conn: Connection,
    since: Instant,
}

/// For how long [`TransportState::drain_readable`] does not repeat a read of all sockets.
const READ_FRESHNESS: Duration = Duration::from_millis(10);

/// Cancels a call with all its messages. Shared by its attempts; empty once it was used.
type CancelHandle = Rc<Cell<Option<oneshot::Sender<()>>>>;

struct TransportState {
    limits: Limits,
    /// Maximum number of connections to endpoints, idle ones included.
    max_connections: Cell<usize>,
    /// The address of each endpoint.
    addresses: RefCell<HashMap<EndpointId, SocketAddr>>,
    inbound: UnboundedSender<Inbound>,
    idle: RefCell<HashMap<EndpointAddress, Vec<Idle>>>,
    /// Connections in use, including those that are being opened.
    connections_in_use: Cell<usize>,
    /// The attempts in flight.
    in_flight: RefCell<HashMap<(MessageId, u16), InFlightAttempt>>,
    /// In what time each endpoint answers.
    answer_times: RefCell<HashMap<EndpointId, AnswerTimes>>,
    /// Completed attempts whose message was written completely.
    written: Cell<u64>,
    waits: ActiveWaits,
    /// Endpoints that accept no new calls.
    not_accepting: RefCell<HashSet<EndpointId>>,
    /// When the runtime last read all data that had arrived; see [`TransportState::drain_readable`].
    read_up_to: Cell<Instant>,
}

/// An attempt in flight.
struct InFlightAttempt {
    endpoint: EndpointId,
    cancel: CancelHandle,
    /// The last byte of the call may have been written, so that the attempt may have run.
    may_run: Rc<Cell<bool>>,
}

/// The HTTP transport: all calls in flight and the pool of idle connections. Clones share both.
#[derive(Clone)]
pub struct HttpTransport(Rc<TransportState>);

/// The progress of a call, from which its outcomes are determined when it times out, fails or is cancelled.
#[derive(Default)]
struct Progress {
    /// The last byte of the request may have been written.
    may_run: Rc<Cell<bool>>,
    /// The traffic of its connection.
    traffic: RefCell<Option<Rc<Traffic>>>,
    /// For each of its messages, whether the request carried it; empty before a request was built.
    sent: RefCell<Vec<bool>>,
}

impl Progress {
    /// The outcome of the message at this position, given the outcome of the call as a whole. A message that was left out of
    /// the request never ran. For a single message the status line alone is the answer: with status 200 it is delivered even
    /// if the rest of the response is invalid.
    fn outcome_of(&self, at: usize, outcome: Outcome) -> Outcome {
        let sent = self.sent.borrow();
        match sent.get(at) {
            Some(false) => Outcome::NotSent { no_slot: false },
            Some(true) if sent.iter().filter(|sent| **sent).count() == 1 && self.status_is_ok() => {
                Outcome::Delivered
            }
            _ => outcome,
        }
    }

    /// The outcome of a call that has no answer at its deadline.
    fn outcome_at_deadline(&self) -> Outcome {
        let traffic = self.traffic.borrow();
        if !self.may_run.get() {
            Outcome::ConnectFailed
        } else if traffic.as_ref().is_some_and(|traffic| traffic.response_is_unconfirmed()) {
            Outcome::InvalidResponse
        } else {
            Outcome::TimedOut
        }
    }

    /// Whether a status line with status 200 was received.
    fn status_is_ok(&self) -> bool {
        self.traffic.borrow().as_ref().is_some_and(|p| p.status_line.borrow().status == Some(Some(200)))
    }
}

/// A message in the body of a batch request.
#[derive(Serialize)]
struct BatchPart<'a> {
    id: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    key: Option<&'a str>,
    body: String,
}

/// The result of one message in the response to a batch request.
#[derive(Deserialize)]
struct BatchResult {
    id: String,
    state: String,
}

impl HttpTransport {
    /// Creates a transport without calls, with at most this many connections, idle ones included. Spawns a task that closes
    /// idle connections when they expire.
    pub fn new(limits: Limits, most: usize, inbound: UnboundedSender<Inbound>) -> Self {
        let (addresses, idle, in_flight) = (RefCell::default(), RefCell::default(), RefCell::default());
        let (written, most) = (Cell::new(0), Cell::new(most));
        let transport = Self(Rc::new(TransportState {
            limits,
            max_connections: most,
            addresses,
            inbound,
            idle,
            connections_in_use: Cell::new(0),
            in_flight,
            answer_times: RefCell::default(),
            written,
            waits: ActiveWaits::default(),
            not_accepting: RefCell::default(),
            read_up_to: Cell::new(Instant::now()),
        }));
        let sweeper = transport.clone();
        tokio::task::spawn_local(async move {
            let mut tick = tokio::time::interval(Duration::from_millis(250));
            loop {
                tick.tick().await;
                let shared = &sweeper.0;
                shared.idle.borrow_mut().retain(|_, conns| {
                    conns.retain(|idle| shared.is_reusable(idle));
                    !conns.is_empty()
                });
            }
        });
        transport
    }

    /// Sets the maximum number of connections, idle ones included.
    pub fn limit_connections(&self, most: usize) {
        self.0.max_connections.set(most);
    }

    /// Closes all idle connections.
    pub fn close_all_idle(&self) {
        self.0.idle.borrow_mut().clear();
    }
}

impl Transport for HttpTransport {
    fn set_address(&self, endpoint: EndpointId, address: &str) -> bool {
        let Ok(address) = address.parse() else { return false };
        let before = self.0.addresses.borrow_mut().insert(endpoint, address);
        if before.is_some_and(|before| before != address) {
            self.0.answer_times.borrow_mut().remove(&endpoint);
            self.close_idle(endpoint);
        }
        true
    }

    fn address(&self, endpoint: EndpointId) -> Option<String> {
        self.0.addresses.borrow().get(&endpoint).map(ToString::to_string)
    }

    fn forget(&self, endpoint: EndpointId) {
        self.0.addresses.borrow_mut().remove(&endpoint);
        self.0.not_accepting.borrow_mut().remove(&endpoint);
        self.0.answer_times.borrow_mut().remove(&endpoint);
        self.close_idle(endpoint);
    }

    fn set_accepting(&self, endpoint: EndpointId, accepting: bool) {
        let mut not_accepting = self.0.not_accepting.borrow_mut();
        if accepting {
            not_accepting.remove(&endpoint);
        } else {
            not_accepting.insert(endpoint);
        }
    }

    fn messages_written(&self) -> u64 {
        let in_flight = self.0.in_flight.borrow().values().filter(|attempt| attempt.may_run.get()).count();
        self.0.written.get() + in_flight as u64
    }

    fn attempts_in_flight(&self) -> usize {
        self.0.in_flight.borrow().len()
    }

    fn connections(&self) -> usize {
        self.0.connections_in_use.get() + self.0.idle.borrow().values().map(Vec::len).sum::<usize>()
    }

    fn set_max_connections(&self, most: usize) {
        self.limit_connections(most);
        self.0.free_connection();
    }

    fn outstanding_attempts(&self) -> Vec<(MessageId, u16, EndpointId)> {
        let in_flight = self.0.in_flight.borrow();
        in_flight.iter().map(|((message, attempt), state)| (*message, *attempt, state.endpoint)).collect()
    }

    fn start(
        &self,
        (route, endpoint): (RouteId, EndpointId),
        parts: Vec<CallMessage>,
        options: WriteOptions,
    ) {
        let shared = self.0.clone();
        // An endpoint without an address was never listed here or was forgotten, so that no connection can be opened.
        let Some(target) = shared.dial_target(endpoint) else {
            let connect_failed = |part: &CallMessage| {
                AttemptCompleted::unsent(part.message, part.attempt, endpoint, Outcome::ConnectFailed)
            };
            let _ = shared.inbound.send(Inbound::CallCompleted(parts.iter().map(connect_failed).collect()));
            return;
        };
        let (cancel, cancelled) = oneshot::channel();
        let cancel = Rc::new(Cell::new(Some(cancel)));
        let progress = Progress::default();
        for part in &parts {
            let attempt =
                InFlightAttempt { endpoint, cancel: cancel.clone(), may_run: progress.may_run.clone() };
            shared.in_flight.borrow_mut().insert((part.message, part.attempt), attempt);
        }
        tokio::task::spawn_local(async move {
            let started_at = Instant::now();
            let deadline = parts.iter().map(|part| part.answer_deadline).max().unwrap_or(started_at);
            let complete = |outcome| {
                let outcomes = (0..parts.len()).map(|at| (progress.outcome_of(at, outcome), false)).collect();
                let answered = CallAnswer { outcomes, report: vec![], wait: None, reusable: None };
                shared.report_completed(target, &parts, started_at, &answered);
            };
            let reusable = tokio::select! {
                result = timeout_at(
                    deadline,
                    shared.call((route, target), &parts, deadline, options, &progress),
                ) => match result {
                    Ok(Ok(mut answered)) => {
                        shared.record_wait(route, answered.wait);
                        expire_late_deliveries(&mut answered.outcomes, Instant::now(), deadline);
                        shared.report_completed(target, &parts, started_at, &answered);
                        answered.reusable
                    }
                    Ok(Err(outcome)) => {
                        complete(outcome);
                        None
                    }
                    Err(_) => {
                        complete(progress.outcome_at_deadline());
                        None
                    }
                },
                Ok(()) = cancelled => {
                    complete(Outcome::Cancelled);
                    None
                }
            };
            if let Some((conn, body)) = reusable {
                shared.read_rest(target, conn, body).await;
            }
        });
    }

    fn cancel(&self, message: MessageId, attempt: u16) {
        let cancel = self.0.in_flight.borrow().get(&(message, attempt)).and_then(|state| state.cancel.take());
        if let Some(cancel) = cancel {
            let _ = cancel.send(());
        }
    }

    fn probe(&self, endpoint: EndpointId) {
        let shared = self.0.clone();
        let Some(target) = shared.dial_target(endpoint) else {
            let (outcome, report) = (Outcome::ConnectFailed, vec![]);
            let _ = shared.inbound.send(Inbound::Event(Event::HealthChecked { endpoint, outcome, report }));
            return;
        };
        tokio::task::spawn_local(async move {
            let path = if shared.limits.report_fields.is_empty() { "/health" } else { "/status/load" };
            let within = Duration::from_micros(shared.limits.connect_timeout);
            let progress = Progress::default();
            let deadline = Instant::now() + within;
            let request = Request::get(path).header("host", target.address.to_string());
            let exchange_report = async {
                let request = request.body(Bytes::new()).map_err(|_| Outcome::ConnectFailed)?;
                let request = || Some((request.clone(), deadline));
                let (mut conn, answer, new) = shared
                    .exchange((None, target), &request, deadline, (WriteOptions::default(), true), &progress)
                    .await?;
                let (head, body) = answer.into_parts();
                let body = conn.0.body(body).await.map_err(|()| Outcome::InvalidResponse)?;
                if allows_reuse(head.status, &[]) && !conn.0.answer_may_be_copy() {
                    shared.return_connection(target, conn).await;
                }
                let mut report = shared.load_report(&head.headers);
                if report.is_empty() {
                    report = std::str::from_utf8(&body).map_or(vec![], |text| shared.parse_load_report(text));
                }
                Ok((outcome(head.status, &head.headers, new && report.is_empty()), report))
            };
            let (outcome, report) = match timeout(within, exchange_report).await {
                Ok(Ok(result)) => result,
                Ok(Err(outcome)) => (outcome, vec![]),
                Err(_) => (progress.outcome_at_deadline(), vec![]),
            };
            let _ = shared.inbound.send(Inbound::Event(Event::HealthChecked { endpoint, outcome, report }));
        });
    }

    fn close_idle(&self, endpoint: EndpointId) {
        self.0.idle.borrow_mut().retain(|target, _| target.endpoint != endpoint);
    }
}

/// Counts a connection as in use until it is dropped.
struct InUse(Rc<TransportState>);

impl InUse {
    fn new(shared: &Rc<TransportState>) -> Self {
        shared.connections_in_use.set(shared.connections_in_use.get() + 1);
        Self(shared.clone())
    }
}

impl Drop for InUse {
    fn drop(&mut self) {
        self.0.connections_in_use.set(self.0.connections_in_use.get() - 1);
    }
}

/// A connection in use, which is counted as such.
struct InUseConnection(Connection, InUse);

/// The result of a call.
struct CallAnswer {
    /// For each message its outcome, and whether the endpoint reported it as completed.
    outcomes: Vec<(Outcome, bool)>,
    report: Vec<f32>,
    wait: Option<Micros>,
    /// The connection, if it may be reused, with the rest of the response body where that doesn't affect the outcomes.
    reusable: Option<(InUseConnection, Option<Incoming>)>,
}

impl TransportState {
    fn dial_target(&self, endpoint: EndpointId) -> Option<EndpointAddress> {
        Some(EndpointAddress { endpoint, address: *self.addresses.borrow().get(&endpoint)? })
    }

    fn is_reusable(&self, idle: &Idle) -> bool {
        // Discarded at 4/5 of the endpoint's idle timeout, so that no request is written while the endpoint closes.
        idle.since.elapsed().as_micros() < u128::from(self.limits.idle_timeout / 5 * 4)
    }

    /// Takes the connection that became idle last among those that have rested.
    fn take_rested(&self, target: EndpointAddress) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let conns = idle.get_mut(&target)?;
        conns.retain(|idle| self.is_reusable(idle));
        let rested = conns.iter().rposition(|idle| idle.since.elapsed() >= REST)?;
        Some(conns.remove(rested).conn)
    }

    /// Closes the connection of this endpoint that became idle last.
    fn close_one_idle(&self, target: EndpointAddress) {
        if let Some(conns) = self.idle.borrow_mut().get_mut(&target) {
            conns.pop();
        }
    }

    /// Closes the connections that have been idle the longest until the limit is kept. Returns false if the connections
    /// in use alone exceed it. A connection that is about to be opened counts as in use.
    fn free_connection(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let mut count: usize = idle.values().map(Vec::len).sum();
        while count > 0 && count + self.connections_in_use.get() > self.max_connections.get() {
            let oldest = idle.iter().filter_map(|(l, c)| Some((c.first()?.since, *l))).min_by_key(|o| o.0);
            if let Some(conns) = oldest.and_then(|o| idle.get_mut(&o.1)) {
                conns.remove(0);
            }
            count -= 1;
        }
        self.connections_in_use.get() <= self.max_connections.get()
    }

    async fn connect(
        self: &Rc<Self>,
        target: EndpointAddress,
        deadline: Instant,
        may_reuse: bool,
    ) -> Result<(InUseConnection, bool), Outcome> {
        let in_use = InUse::new(self);
        while let Some(mut conn) = may_reuse.then(|| self.take_rested(target)).flatten() {
            if conn.usable().await {
                return Ok((InUseConnection(conn, in_use), true));
            }
        }
        if !self.free_connection() {
            return Err(Outcome::NotSent { no_slot: true });
        }
        let deadline = deadline.min(Instant::now() + Duration::from_micros(self.limits.connect_timeout));
        match timeout_at(deadline, Connection::open(target.address)).await {
            Ok(Ok(conn)) => Ok((InUseConnection(conn, in_use), false)),
            _ => Err(Outcome::ConnectFailed),
        }
    }

    /// Records a Retry-After of a route. Calls on this route that are not sent yet will not be sent, and a delayed last
    /// byte is withheld.
    fn record_wait(&self, route: RouteId, wait: Option<Micros>) {
        if let Some(wait) = wait {
            self.waits.record(route, Instant::now(), Duration::from_micros(wait));
        }
    }

    /// Lets the runtime read all responses that have arrived, unless it did so within [`READ_FRESHNESS`]. After a stall of
    /// the process, a response with a Retry-After may lie unread in its socket; without this, calls that were waiting to be
    /// sent would ignore it. Yielding once makes the runtime poll the system and run the tasks whose sockets are readable
    /// before this call continues. Costs one system call per 10 ms in which calls are sent.
    async fn drain_readable(&self) {
        let now = Instant::now();
        if now.duration_since(self.read_up_to.get()) > READ_FRESHNESS {
            tokio::task::yield_now().await;
            self.read_up_to.set(now);
        }
    }

    /// Whether the next bytes of a call may be sent. False while a Retry-After of the route is active, or if the
    /// endpoint drains or moved. This may have become known only after the call was decided, because its connection
    /// took long to open or the process stalled. A Retry-After that was sent by mistake delays calls too, as it does in
    /// the decision module. A stall between this check and the write that follows is not covered.
    async fn may_send(&self, route: Option<RouteId>, target: EndpointAddress) -> bool {
        let Some(route) = route else { return true };
        self.drain_readable().await;
        let unavailable = self.not_accepting.borrow().contains(&target.endpoint)
            || self.dial_target(target.endpoint) != Some(target);
        !unavailable && !self.waits.is_active(route, Instant::now())
    }

    /// Sends a request and returns the head of the response, and whether the connection was new. `request` builds the request
    /// and returns the time from which nothing of it may be sent any more. A probe has no route: Retry-After doesn't apply
    /// to it. `repeatable` is whether another request may be sent if the outcome of this one is not known.
    async fn exchange(
        self: &Rc<Self>,
        (route, target): (Option<RouteId>, EndpointAddress),
        request: impl Fn() -> Option<(Request<Bytes>, Instant)>,
        deadline: Instant,
        (options, repeatable): (WriteOptions, bool),
        progress: &Progress,
    ) -> Result<(InUseConnection, Response<Incoming>, bool), Outcome> {
        let last_byte_delay = Duration::from_micros(options.last_byte_delay);
        let mut may_reuse = !options.new_connection;
        if options.new_connection {
            // Closes an idle connection: the endpoint's connection table has no room for both the idle and the new one.
            self.close_one_idle(target);
        }
        loop {
            let copy_criteria = self.copy_criteria(target, deadline, repeatable);
            may_reuse &= copy_criteria.is_some();
            let (mut conn, reused) = self.connect(target, deadline, may_reuse).await?;
            // Built only now, since messages of the call may have passed their deadline while it connected.
            let request = match self.may_send(route, target).await {
                true => request(),
                false => None,
            };
            let Some((request, send_before)) = request else {
                self.return_connection(target, conn).await;
                return Err(Outcome::NotSent { no_slot: false });
            };
            let length = request.body().len() as u64;
            let before = conn.0.traffic.written.get();
            progress.traffic.replace(Some(conn.0.traffic.clone()));
            let shared = self.clone();
            let permit: SendPermit =
                Box::pin(async move { shared.may_send(route, target).await && Instant::now() < send_before });
            let options =
                SendOptions { last_byte_delay, reused, copy_criteria, head_timeout: Some(BODY_TIMEOUT) };
            let answer = conn.0.send_delayed(request, options, &progress.may_run, permit).await;
            // The head of the request, at least one byte, precedes the body.
            let written = conn.0.traffic.written.get() - before;
            let never_sent = !progress.may_run.get() || written <= length;
            if reused {
                let _ = self.inbound.send(Inbound::Event(Event::ConnectionReused { lost: answer.is_err() }));
            }
            match answer {
                Ok(answer) => return Ok((conn, answer, !reused)),
                Err(ExchangeError::NotSent) => return Err(Outcome::NotSent { no_slot: false }),
                // The last byte was never sent, so that repeating the call on a new connection sends no second copy.
                Err(_) if never_sent && reused => {
                    may_reuse = false;
                    progress.may_run.set(false);
                }
                Err(_) if never_sent => return Err(Outcome::ConnectFailed),
                Err(ExchangeError::InvalidResponse | ExchangeError::Unconfirmed) => {
                    return Err(Outcome::InvalidResponse);
                }
                Err(ExchangeError::Broken) => return Err(Outcome::Reset),
            }
        }
    }

    async fn call(
        self: &Rc<Self>,
        (route, target): (RouteId, EndpointAddress),
        parts: &[CallMessage],
        deadline: Instant,
        options: WriteOptions,
        progress: &Progress,
    ) -> Result<CallAnswer, Outcome> {
        let repeatable = parts.iter().all(|part| part.repeatable);
        let request = || {
            // Leaves out messages whose send deadline has passed, for example while the connection opened; other
            // messages of the batch may have more time. By then the decision module has given the message its one final
            // outcome; and a retry that is sent once the endpoint may have forgotten its idempotency key would take
            // effect a second time.
            let last_byte = Instant::now() + Duration::from_micros(options.last_byte_delay);
            let sent: Vec<bool> = parts.iter().map(|part| last_byte < part.send_deadline).collect();
            let carried = selected(parts, &sent);
            let send_before = carried.iter().map(|part| part.send_deadline).min();
            let request = build_request(target, &carried, deadline).zip(send_before);
            progress.sent.replace(sent);
            request
        };
        let (mut conn, answer, new) =
            self.exchange((Some(route), target), request, deadline, (options, repeatable), progress).await?;
        let sent = progress.sent.borrow().clone();
        let (total, parts) = (parts.len(), selected(parts, &sent));
        // Messages that were left out of the request never ran.
        let for_all_messages = |outcomes: Vec<(Outcome, bool)>| {
            let mut outcomes = outcomes.into_iter();
            let omitted = (Outcome::NotSent { no_slot: false }, false);
            (0..total)
                .map(|at| if sent[at] { outcomes.next().unwrap_or(omitted) } else { omitted })
                .collect::<Vec<_>>()
        };
        let (head, body) = answer.into_parts();
        let report = self.load_report(&head.headers);
        if parts.len() == 1 && head.status == StatusCode::OK {
            let outcomes = for_all_messages(vec![(Outcome::Delivered, false)]);
            return Ok(CallAnswer { outcomes, report, wait: None, reusable: Some((conn, Some(body))) });
        }
        // A head whose body is invalid is not trusted: only a complete response proves anything.
        let body = conn.0.body(body).await.map_err(|()| Outcome::InvalidResponse)?;
        let wait = retry_after(&head.headers);
        if parts.len() > 1 && head.status == StatusCode::OK {
            let results: Vec<BatchResult> =
                serde_json::from_slice(&body).map_err(|_| Outcome::InvalidResponse)?;
            let states: HashMap<&str, &str> =
                results.iter().map(|result| (result.id.as_str(), result.state.as_str())).collect();
            let outcome_of_part = |p: &&CallMessage| match states.get(p.id.as_str()).copied() {
                Some("ok") => (Outcome::Delivered, false),
                Some("later") => (Outcome::Rejected(wait), false),
                Some("gone") => (Outcome::NotSent { no_slot: false }, true),
                Some("exhausted") => (Outcome::NotSent { no_slot: false }, false),
                Some("error") => (Outcome::Error, false),
                // A message that is missing from the response, or has an unknown state, may have run.
                _ => (Outcome::InvalidResponse, false),
            };
            let outcomes: Vec<_> = parts.iter().map(outcome_of_part).collect();
            let reusable = allows_reuse(head.status, &outcomes).then_some((conn, None));
            return Ok(CallAnswer { outcomes: for_all_messages(outcomes), report, wait, reusable });
        }
        let new_without_report = new && report.is_empty();
        let mut result =
            (outcome(head.status, &head.headers, new_without_report), head.status == StatusCode::GONE);
        // Bytes after the response may belong to it: its content length was wrong, and it can't be trusted as a proof that
        // nothing ran. Its Retry-After is obeyed in any case.
        if result.0.never_ran() && !conn.0.is_silent().await {
            result = (Outcome::InvalidResponse, false);
        }
        let outcomes = vec![result; parts.len()];
        let reusable = allows_reuse(head.status, &outcomes).then_some((conn, None));
        Ok(CallAnswer { outcomes: for_all_messages(outcomes), report, wait, reusable })
    }

    fn report_completed(
        &self,
        target: EndpointAddress,
        parts: &[CallMessage],
        started_at: Instant,
        answered: &CallAnswer,
    ) {
        let took = started_at.elapsed().as_micros() as Micros;
        let endpoint = target.endpoint;
        let mut completed = Vec::with_capacity(parts.len());
        for (part, (outcome, message_completed)) in parts.iter().zip(&answered.outcomes) {
            let (message, attempt) = (part.message, part.attempt);
            let in_flight = self.in_flight.borrow_mut().remove(&(message, attempt));
            if in_flight.is_some_and(|in_flight| in_flight.may_run.get())
                && *outcome != Outcome::ConnectFailed
            {
                self.written.set(self.written.get() + 1);
            }
            let (outcome, message_completed, report) =
                (*outcome, *message_completed, answered.report.clone());
            completed.push(AttemptCompleted {
                message,
                attempt,
                endpoint,
                outcome,
                message_completed,
                took,
                report,
            });
        }
        if let Some(wait) = answered.wait {
            let _ = self.inbound.send(Inbound::Event(Event::RetryAfter { endpoint, wait }));
        }
        let _ = self.inbound.send(Inbound::CallCompleted(completed));
    }

    /// Reads the rest of a response, and keeps its connection for reuse unless the response may be a copy of the one before
    /// it.
    async fn read_rest(
        self: &Rc<Self>,
        target: EndpointAddress,
        mut conn: InUseConnection,
        body: Option<Incoming>,
    ) {
        if let Some(body) = body
            && !matches!(timeout(BODY_TIMEOUT, conn.0.body(body)).await, Ok(Ok(_)))
        {
            return;
        }
        if !conn.0.answer_may_be_copy() {
            self.record_answer_time(target, conn.0.answer_time);
            self.return_connection(target, conn).await;
        }
    }

    /// Records in what time an endpoint has answered a call, unless it has moved or left since then.
    fn record_answer_time(&self, target: EndpointAddress, time: Duration) {
        if self.dial_target(target.endpoint) != Some(target) {
            return;
        }
        let mut answer_times = self.answer_times.borrow_mut();
        answer_times
            .entry(target.endpoint)
            .and_modify(|times| times.add(time))
            .or_insert_with(|| AnswerTimes::new(time));
    }

    /// The criteria by which an endpoint's answer to a call may be a copy; `None` if it is not known in what time it answers.
    fn copy_criteria(
        &self,
        target: EndpointAddress,
        deadline: Instant,
        repeatable: bool,
    ) -> Option<CopyCriteria> {
        let times = self.answer_times.borrow().get(&target.endpoint).copied()?;
        let until_deadline = deadline.saturating_duration_since(Instant::now());
        Some(CopyCriteria::new(times, until_deadline, repeatable))
    }

    async fn return_connection(self: &Rc<Self>, target: EndpointAddress, conn: InUseConnection) {
        let InUseConnection(mut conn, in_use) = conn;
        if self.not_accepting.borrow().contains(&target.endpoint) || !conn.usable().await {
            return;
        }
        drop(in_use);
        self.idle.borrow_mut().entry(target).or_default().push(Idle { conn, since: Instant::now() });
    }

    fn load_report(&self, headers: &HeaderMap) -> Vec<f32> {
        let text = headers.get("srv-load").and_then(|v| v.to_str().ok());
        text.map_or(vec![], |text| self.parse_load_report(text))
    }

    fn parse_load_report(&self, text: &str) -> Vec<f32> {
        let pairs: Vec<(&str, f32)> = text
            .split(',')
            .filter_map(|pair| pair.split_once('='))
            .filter_map(|(name, value)| Some((name.trim(), value.trim().parse().ok()?)))
            .filter(|(_, value): &(&str, f32)| value.is_finite())
            .collect();
        if pairs.is_empty() {
            return vec![];
        }
        let find = |name: &String| pairs.iter().find(|p| p.0 == name).map_or(0.0, |p| p.1);
        self.limits.report_fields.iter().map(find).collect()
    }
}

/// Turns deliveries that are read after the deadline into time-outs. The endpoint was given this deadline in the request and
/// the decision module relies on it; a process that stalled or was busy may read a response later, when the endpoint may no
/// longer count the message as delivered. Outcomes that prove that a message never ran remain valid.
fn expire_late_deliveries(outcomes: &mut [(Outcome, bool)], now: Instant, deadline: Instant) {
    let delivered =
        outcomes.iter_mut().filter(|(outcome, _)| now > deadline && *outcome == Outcome::Delivered);
    delivered.for_each(|delivery| delivery.0 = Outcome::TimedOut);
}

/// The messages of a call that its request carries.
fn selected<'a>(parts: &'a [CallMessage], sent: &[bool]) -> Vec<&'a CallMessage> {
    parts.iter().zip(sent).filter(|(_, sent)| **sent).map(|(part, _)| part).collect()
}

/// Builds the request for these messages; `None` if there are none. Ids and keys were received as header values, so that they
/// are valid header values.
fn build_request(
    target: EndpointAddress,
    parts: &[&CallMessage],
    deadline: Instant,
) -> Option<Request<Bytes>> {
    let remaining_ms = deadline.saturating_duration_since(Instant::now()).as_millis().max(1);
    let request = Request::builder()
        .method(Method::POST)
        .header("host", target.address.to_string())
        .header("req-deadline-ms", remaining_ms.to_string());
    let (request, body) = match parts {
        [] => return None,
        [part] => {
            let request = request.uri("/v1/messages").header("req-id", &part.id);
            let request = match &part.key {
                Some(key) => request.header("idempotency-key", key),
                None => request,
            };
            (request, part.body.clone())
        }
        parts => {
            let parts: Vec<_> = parts
                .iter()
                .map(|p| BatchPart { id: &p.id, key: p.key.as_deref(), body: STANDARD.encode(&p.body) })
                .collect();
            let request = request.uri("/v1/messages:batch").header("content-type", "application/json");
            (request, Bytes::from(serde_json::to_vec(&parts).ok()?))
        }
    };
    request.body(body).ok()
}

/// Whether a response announces that its connection will be closed.
fn announces_close(headers: &HeaderMap) -> bool {
    let options = headers.get_all(CONNECTION).iter().filter_map(|v| v.to_str().ok());
    options.flat_map(|v| v.split(',')).any(|option| option.trim().eq_ignore_ascii_case("close"))
}

/// Parses Retry-After: seconds, with a decimal fraction allowed. Returns `None` for values that are not positive numbers.
fn retry_after(headers: &HeaderMap) -> Option<Micros> {
    let seconds: f64 = headers.get(RETRY_AFTER)?.to_str().ok()?.trim().parse().ok()?;
    // No destination means to delay calls by more than an hour.
    (seconds > 0.0).then(|| (seconds.min(3600.0) * 1e6).ceil() as Micros)
}

/// The outcome that the head of a response stands for. `new_without_report` is set if this was the first request on its
/// connection and the response carries no load report: if the endpoint then also rejects it and closes the connection,
/// it had no room for the connection.
fn outcome(status: StatusCode, headers: &HeaderMap, new_without_report: bool) -> Outcome {
    match status.as_u16() {
        200 => Outcome::Delivered,
        429 => Outcome::Rejected(retry_after(headers)),
        503 if headers.get("x-line-busy").is_some_and(|v| v.as_bytes() == b"1") => {
            Outcome::NotSent { no_slot: true }
        }
        503 if new_without_report && retry_after(headers).is_none() && announces_close(headers) => {
            Outcome::ConnectionRejected
        }
        503 => Outcome::Rejected(retry_after(headers)),
        // Not forwarded to the endpoint, meant for another endpoint, or unreadable there: it never ran.
        400 | 404 | 410 | 413 | 504 => Outcome::NotSent { no_slot: false },
        _ => Outcome::Error,
    }
}

#[cfg(test)]
mod tests;
