//! Calls to endpoints over HTTP: connections kept and reused, single messages, batches and probes. A request is
//! written once and never again by itself.

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

use super::connection::{BODY_TIMEOUT, Connection, ExchangeError, SendPermit, Traffic};
use crate::http::active_waits::ActiveWaits;
use crate::ports::{AttemptCompleted, CallMessage, Inbound, Transport, WriteOptions};

/// Where an endpoint is dialled.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Destination {
    endpoint: EndpointId,
    address: SocketAddr,
}

/// Limits that calls keep to.
#[derive(Debug, Clone)]
pub struct Limits {
    /// A connection not made within this time has failed.
    pub connect: Micros,
    /// Endpoints close connections that stood idle so long.
    pub idle: Micros,
    /// Names of a load report's fields.
    pub report: Vec<String>,
}

struct Idle {
    conn: Connection,
    since: Instant,
}

/// What has come is taken for read for so long.
const READ_FRESHNESS: Duration = Duration::from_millis(10);

/// Calls off all that travel along; works once.
type CancelHandle = Rc<Cell<Option<oneshot::Sender<()>>>>;

struct TransportState {
    limits: Limits,
    /// Connections to endpoints at most, idle ones counted.
    max_connections: Cell<usize>,
    /// Where each endpoint is.
    addresses: RefCell<HashMap<EndpointId, SocketAddr>>,
    inbound: UnboundedSender<Inbound>,
    idle: RefCell<HashMap<Destination, Vec<Idle>>>,
    /// Connections that are in use.
    connections_in_use: Cell<usize>,
    /// For each attempt that is out, what calls it off.
    in_flight: RefCell<HashMap<(MessageId, u16), InFlightAttempt>>,
    /// Messages that ended after they were written whole.
    written: Cell<u64>,
    waits: ActiveWaits,
    /// Endpoints that take nothing new.
    not_accepting: RefCell<HashSet<EndpointId>>,
    /// When it was last seen to that all that has come is read.
    read_up_to: Cell<Instant>,
}

/// An attempt that is out.
struct InFlightAttempt {
    endpoint: EndpointId,
    cancel: CancelHandle,
    /// Its last byte may have been written.
    may_run: Rc<Cell<bool>>,
}

/// All calls that are out and the connections that stand idle.
#[derive(Clone)]
pub struct HttpTransport(Rc<TransportState>);

/// What is known of a call in progress when it is broken off.
#[derive(Default)]
struct Progress {
    /// The last byte of the request may have been written.
    may_run: Rc<Cell<bool>>,
    /// What passed over its connection.
    traffic: RefCell<Option<Rc<Traffic>>>,
    /// Which of its messages it was written with; none yet where nothing was.
    sent: RefCell<Vec<bool>>,
}

impl Progress {
    /// How a message fared that was to travel along, where the call as a whole came to that. One that was left behind never
    /// ran. Guards what is delivered against a spoilt rest: to a single message the first line is the answer.
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

    /// Whether a first line has come that says 200.
    fn status_is_ok(&self) -> bool {
        self.traffic.borrow().as_ref().is_some_and(|p| p.heard.borrow().status == Some(Some(200)))
    }
}

#[derive(Serialize)]
struct BatchPart<'a> {
    id: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    key: Option<&'a str>,
    body: String,
}

#[derive(Deserialize)]
struct BatchResult {
    id: String,
    state: String,
}

impl HttpTransport {
    /// No calls yet, and so many connections at most, idle ones counted. Idle connections are looked after by a task of their own.
    pub fn new(limits: Limits, most: usize, inbound: UnboundedSender<Inbound>) -> Self {
        let (places, idle, out) = (RefCell::default(), RefCell::default(), RefCell::default());
        let (written, most) = (Cell::new(0), Cell::new(most));
        let calls = Self(Rc::new(TransportState {
            limits,
            max_connections: most,
            addresses: places,
            inbound,
            idle,
            connections_in_use: Cell::new(0),
            in_flight: out,
            written,
            waits: ActiveWaits::default(),
            not_accepting: RefCell::default(),
            read_up_to: Cell::new(Instant::now()),
        }));
        let swept = calls.clone();
        tokio::task::spawn_local(async move {
            let mut tick = tokio::time::interval(Duration::from_millis(250));
            loop {
                tick.tick().await;
                let shared = &swept.0;
                shared.idle.borrow_mut().retain(|_, conns| {
                    conns.retain(|idle| shared.fresh(idle));
                    !conns.is_empty()
                });
            }
        });
        calls
    }

    /// So many connections at most, from now on.
    pub fn set_most(&self, most: usize) {
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
        self.close_idle(endpoint);
    }

    fn set_accepting(&self, endpoint: EndpointId, open: bool) {
        let mut shut = self.0.not_accepting.borrow_mut();
        if open {
            shut.remove(&endpoint);
        } else {
            shut.insert(endpoint);
        }
    }

    fn messages_written(&self) -> u64 {
        let out = self.0.in_flight.borrow().values().filter(|out| out.may_run.get()).count();
        self.0.written.get() + out as u64
    }

    fn attempts_in_flight(&self) -> usize {
        self.0.in_flight.borrow().len()
    }

    fn connections(&self) -> usize {
        self.0.connections_in_use.get() + self.0.idle.borrow().values().map(Vec::len).sum::<usize>()
    }

    fn set_max_connections(&self, most: usize) {
        self.set_most(most);
        self.0.free_connection();
    }

    fn outstanding_attempts(&self) -> Vec<(MessageId, u16, EndpointId)> {
        let out = self.0.in_flight.borrow();
        out.iter().map(|((message, attempt), out)| (*message, *attempt, out.endpoint)).collect()
    }

    fn start(&self, (route, endpoint): (RouteId, EndpointId), parts: Vec<CallMessage>, pace: WriteOptions) {
        let shared = self.0.clone();
        // An endpoint without a place was never listed here, or is forgotten: it can't be connected to.
        let Some(line) = shared.dial_target(endpoint) else {
            let over = |part: &CallMessage| {
                AttemptCompleted::unsent(part.message, part.attempt, endpoint, Outcome::ConnectFailed)
            };
            let _ = shared.inbound.send(Inbound::CallCompleted(parts.iter().map(over).collect()));
            return;
        };
        let (off, called_off) = oneshot::channel();
        let off = Rc::new(Cell::new(Some(off)));
        let progress = Progress::default();
        for part in &parts {
            let out = InFlightAttempt { endpoint, cancel: off.clone(), may_run: progress.may_run.clone() };
            shared.in_flight.borrow_mut().insert((part.message, part.attempt), out);
        }
        tokio::task::spawn_local(async move {
            let begun = Instant::now();
            let until = parts.iter().map(|part| part.answer_deadline).max().unwrap_or(begun);
            let over = |outcome| {
                let ends = (0..parts.len()).map(|at| (progress.outcome_of(at, outcome), false)).collect();
                let answered = CallAnswer { outcomes: ends, report: vec![], wait: None, unread_body: None };
                shared.report_ends(line, &parts, begun, &answered);
            };
            let rest = tokio::select! {
                result = timeout_at(until, shared.call((route, line), &parts, until, pace, &progress)) => match result {
                    Ok(Ok(mut answered)) => {
                        shared.record_wait(route, answered.wait);
                        expire_late_deliveries(&mut answered.outcomes, Instant::now(), until);
                        shared.report_ends(line, &parts, begun, &answered);
                        answered.unread_body
                    }
                    Ok(Err(outcome)) => {
                        over(outcome);
                        None
                    }
                    Err(_) => {
                        let ran = progress.may_run.get();
                        let outcome = if ran { Outcome::TimedOut } else { Outcome::ConnectFailed };
                        over(outcome);
                        None
                    }
                },
                Ok(()) = called_off => {
                    over(Outcome::Cancelled);
                    None
                }
            };
            if let Some((conn, body)) = rest {
                shared.finish(line, conn, body).await;
            }
        });
    }

    fn cancel(&self, message: MessageId, attempt: u16) {
        let off = self.0.in_flight.borrow().get(&(message, attempt)).and_then(|out| out.cancel.take());
        if let Some(off) = off {
            let _ = off.send(());
        }
    }

    fn probe(&self, endpoint: EndpointId) {
        let shared = self.0.clone();
        let Some(line) = shared.dial_target(endpoint) else {
            let (outcome, report) = (Outcome::ConnectFailed, vec![]);
            let _ = shared.inbound.send(Inbound::Event(Event::HealthChecked { endpoint, outcome, report }));
            return;
        };
        tokio::task::spawn_local(async move {
            let path = if shared.limits.report.is_empty() { "/health" } else { "/status/load" };
            let within = Duration::from_micros(shared.limits.connect);
            let progress = Progress::default();
            let until = Instant::now() + within;
            let request = Request::get(path).header("host", line.address.to_string());
            let asked = async {
                let request = request.body(Bytes::new()).map_err(|_| Outcome::ConnectFailed)?;
                let request = || Some((request.clone(), until));
                let (mut conn, answer, new) = shared
                    .exchange((None, line), &request, until, WriteOptions::default(), &progress)
                    .await?;
                let (head, body) = answer.into_parts();
                let body = conn.0.body(body).await.map_err(|()| Outcome::InvalidResponse)?;
                shared.return_connection(line, conn).await;
                let mut report = shared.report(&head.headers);
                if report.is_empty() {
                    report = std::str::from_utf8(&body).map_or(vec![], |text| shared.fields(text));
                }
                Ok((outcome(head.status, &head.headers, new && report.is_empty()), report))
            };
            let (outcome, report) = match timeout(within, asked).await {
                Ok(Ok(seen)) => seen,
                Ok(Err(outcome)) => (outcome, vec![]),
                Err(_) if progress.may_run.get() => (Outcome::TimedOut, vec![]),
                Err(_) => (Outcome::ConnectFailed, vec![]),
            };
            let _ = shared.inbound.send(Inbound::Event(Event::HealthChecked { endpoint, outcome, report }));
        });
    }

    fn close_idle(&self, endpoint: EndpointId) {
        self.0.idle.borrow_mut().retain(|line, _| line.endpoint != endpoint);
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

/// A connection in use.
struct InUseConnection(Connection, InUse);

/// An answer to a call, read as far as it has a meaning.
struct CallAnswer {
    outcomes: Vec<(Outcome, bool)>,
    report: Vec<f32>,
    wait: Option<Micros>,
    unread_body: Option<(InUseConnection, Option<Incoming>)>,
}

impl TransportState {
    fn dial_target(&self, endpoint: EndpointId) -> Option<Destination> {
        Some(Destination { endpoint, address: *self.addresses.borrow().get(&endpoint)? })
    }

    fn fresh(&self, idle: &Idle) -> bool {
        // Guards against writing to a connection that the endpoint closes at that moment.
        idle.since.elapsed().as_micros() < u128::from(self.limits.idle / 5 * 4)
    }

    fn take_idle(&self, line: Destination) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let conns = idle.get_mut(&line)?;
        conns.retain(|idle| self.fresh(idle));
        Some(conns.pop()?.conn)
    }

    /// Makes room for a connection that is counted as in use already, by closing those that have been idle the
    /// longest; there may be none.
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
        line: Destination,
        until: Instant,
        may_reuse: bool,
    ) -> Result<(InUseConnection, bool), Outcome> {
        let in_use = InUse::new(self);
        while let Some(mut conn) = may_reuse.then(|| self.take_idle(line)).flatten() {
            if conn.usable().await {
                return Ok((InUseConnection(conn, in_use), true));
            }
        }
        if !self.free_connection() {
            return Err(Outcome::NotSent { no_slot: true });
        }
        let until = until.min(Instant::now() + Duration::from_micros(self.limits.connect));
        match timeout_at(until, Connection::open(line.address)).await {
            Ok(Ok(conn)) => Ok((InUseConnection(conn, in_use), false)),
            _ => Err(Outcome::ConnectFailed),
        }
    }

    /// A route told a wait: what is on its way there, and has not left, stays here.
    fn record_wait(&self, route: RouteId, wait: Option<Micros>) {
        if let Some(wait) = wait {
            self.waits.record(route, Instant::now(), Duration::from_micros(wait));
        }
    }

    /// Sees to it that what has come is read, unless that was seen to just now. Guards a wait, whose answer may lie unread
    /// since before this process stood still, against calls that go on where they were. One round of the runtime asks the
    /// system for all that has come, and has it read by those who wait for it before this call goes on. It costs a call to
    /// the system each hundredth of a second in which calls leave.
    async fn drain_readable(&self) {
        let now = Instant::now();
        if now.duration_since(self.read_up_to.get()) > READ_FRESHNESS {
            tokio::task::yield_now().await;
            self.read_up_to.set(now);
        }
    }

    /// Whether a call's next bytes may leave. Guards waits and drains against calls that were decided before they were told:
    /// those whose connection took long to come up, or which the process slept over. It may harm where a wait is told by
    /// mistake, which the module would believe too. What is left is a process that stands still between this and the write
    /// behind it.
    async fn may_send(&self, route: Option<RouteId>, line: Destination) -> bool {
        let Some(route) = route else { return true };
        self.drain_readable().await;
        let shut = self.not_accepting.borrow().contains(&line.endpoint)
            || self.dial_target(line.endpoint) != Some(line);
        !shut && !self.waits.is_active(route, Instant::now())
    }

    /// One request, of which nothing leaves from when it says, and the head of its answer; and whether its connection was new. A probe has no route: waits don't bind it.
    async fn exchange(
        self: &Rc<Self>,
        (route, line): (Option<RouteId>, Destination),
        request: impl Fn() -> Option<(Request<Bytes>, Instant)>,
        until: Instant,
        pace: WriteOptions,
        progress: &Progress,
    ) -> Result<(InUseConnection, Response<Incoming>, bool), Outcome> {
        let hold = Duration::from_micros(pace.last_byte_delay);
        let mut may_reuse = !pace.new_connection;
        if pace.new_connection {
            // The endpoint's table has no room for both.
            self.take_idle(line);
        }
        loop {
            let (mut conn, reused) = self.connect(line, until, may_reuse).await?;
            // Written only now: what was to travel along may not leave any more.
            let request = match self.may_send(route, line).await {
                true => request(),
                false => None,
            };
            let Some((request, last)) = request else {
                self.return_connection(line, conn).await;
                return Err(Outcome::NotSent { no_slot: false });
            };
            let length = request.body().len() as u64;
            let before = conn.0.traffic.written.get();
            progress.traffic.replace(Some(conn.0.traffic.clone()));
            let shared = self.clone();
            let leave: SendPermit =
                Box::pin(async move { shared.may_send(route, line).await && Instant::now() < last });
            let answer = conn.0.send_paced(request, hold, reused, &progress.may_run, leave).await;
            // A head of at least a byte goes before the body.
            let written = conn.0.traffic.written.get() - before;
            let never_left = !progress.may_run.get() || written <= length;
            if reused {
                let _ = self.inbound.send(Inbound::Event(Event::ConnectionReused { lost: answer.is_err() }));
            }
            match answer {
                Ok(answer) => return Ok((conn, answer, !reused)),
                Err(ExchangeError::NotSent) => return Err(Outcome::NotSent { no_slot: false }),
                // The last byte never left: on a new connection it is no second copy.
                Err(_) if never_left && reused => {
                    may_reuse = false;
                    progress.may_run.set(false);
                }
                Err(_) if never_left => return Err(Outcome::ConnectFailed),
                Err(ExchangeError::InvalidResponse) => return Err(Outcome::InvalidResponse),
                Err(ExchangeError::Broken) => return Err(Outcome::Reset),
            }
        }
    }

    async fn call(
        self: &Rc<Self>,
        (route, line): (RouteId, Destination),
        parts: &[CallMessage],
        until: Instant,
        pace: WriteOptions,
        progress: &Progress,
    ) -> Result<CallAnswer, Outcome> {
        let request = || {
            // Guards the one final answer: at a message's end the module has answered for it, though it travels with others
            // which have more time, and its connection came up late. And the effect: a repeat that leaves once its key may be
            // forgotten takes effect again.
            let last_byte = Instant::now() + Duration::from_micros(pace.last_byte_delay);
            let sent: Vec<bool> = parts.iter().map(|part| last_byte < part.send_deadline).collect();
            let with = selected(parts, &sent);
            let last = with.iter().map(|part| part.send_deadline).min();
            let request = write(line, &with, until).zip(last);
            progress.sent.replace(sent);
            request
        };
        let (mut conn, answer, new) =
            self.exchange((Some(route), line), request, until, pace, progress).await?;
        let sent = progress.sent.borrow().clone();
        let (whole, parts) = (parts.len(), selected(parts, &sent));
        // Those that were left behind never ran.
        let all = |ends: Vec<(Outcome, bool)>| {
            let mut ends = ends.into_iter();
            let left = (Outcome::NotSent { no_slot: false }, false);
            (0..whole).map(|at| if sent[at] { ends.next().unwrap_or(left) } else { left }).collect::<Vec<_>>()
        };
        let (head, body) = answer.into_parts();
        let report = self.report(&head.headers);
        if parts.len() == 1 && head.status == StatusCode::OK {
            let ends = all(vec![(Outcome::Delivered, false)]);
            return Ok(CallAnswer {
                outcomes: ends,
                report,
                wait: None,
                unread_body: Some((conn, Some(body))),
            });
        }
        // Guards against believing a head whose rest is spoilt: only a whole answer proves anything.
        let body = conn.0.body(body).await.map_err(|()| Outcome::InvalidResponse)?;
        let wait = retry_after(&head.headers);
        if parts.len() > 1 && head.status == StatusCode::OK {
            let told: Vec<BatchResult> =
                serde_json::from_slice(&body).map_err(|_| Outcome::InvalidResponse)?;
            let states: HashMap<&str, &str> =
                told.iter().map(|end| (end.id.as_str(), end.state.as_str())).collect();
            let end = |p: &&CallMessage| match states.get(p.id.as_str()).copied() {
                Some("ok") => (Outcome::Delivered, false),
                Some("later") => (Outcome::Rejected(wait), false),
                Some("gone") => (Outcome::NotSent { no_slot: false }, true),
                Some("exhausted") => (Outcome::NotSent { no_slot: false }, false),
                Some("error") => (Outcome::Error, false),
                // What is not told, or can't be read, may have run.
                _ => (Outcome::InvalidResponse, false),
            };
            let ends = all(parts.iter().map(end).collect());
            return Ok(CallAnswer { outcomes: ends, report, wait, unread_body: Some((conn, None)) });
        }
        let unseen = new && report.is_empty();
        let end = (outcome(head.status, &head.headers, unseen), head.status == StatusCode::GONE);
        // What comes behind it may belong to it, so that its length was spoilt.
        if end.0.never_ran() && !conn.0.quiet().await {
            return Err(Outcome::InvalidResponse);
        }
        Ok(CallAnswer {
            outcomes: all(vec![end; parts.len()]),
            report,
            wait,
            unread_body: Some((conn, None)),
        })
    }

    fn report_ends(&self, line: Destination, parts: &[CallMessage], begun: Instant, answered: &CallAnswer) {
        let took = begun.elapsed().as_micros() as Micros;
        let endpoint = line.endpoint;
        let mut over = Vec::with_capacity(parts.len());
        for (part, (outcome, gone)) in parts.iter().zip(&answered.outcomes) {
            let (message, attempt) = (part.message, part.attempt);
            let out = self.in_flight.borrow_mut().remove(&(message, attempt));
            if out.is_some_and(|out| out.may_run.get()) && *outcome != Outcome::ConnectFailed {
                self.written.set(self.written.get() + 1);
            }
            let (outcome, gone, report) = (*outcome, *gone, answered.report.clone());
            over.push(AttemptCompleted {
                message,
                attempt,
                endpoint,
                outcome,
                message_completed: gone,
                took,
                report,
            });
        }
        if let Some(wait) = answered.wait {
            let _ = self.inbound.send(Inbound::Event(Event::RetryAfter { endpoint, wait }));
        }
        let _ = self.inbound.send(Inbound::CallCompleted(over));
    }

    /// Reads what is left of an answer, so that its connection can be used again.
    async fn finish(self: &Rc<Self>, line: Destination, mut conn: InUseConnection, body: Option<Incoming>) {
        if let Some(body) = body
            && !matches!(timeout(BODY_TIMEOUT, conn.0.body(body)).await, Ok(Ok(_)))
        {
            return;
        }
        self.return_connection(line, conn).await;
    }

    async fn return_connection(self: &Rc<Self>, line: Destination, conn: InUseConnection) {
        let InUseConnection(mut conn, in_use) = conn;
        if self.not_accepting.borrow().contains(&line.endpoint) || !conn.usable().await {
            return;
        }
        drop(in_use);
        self.idle.borrow_mut().entry(line).or_default().push(Idle { conn, since: Instant::now() });
    }

    fn report(&self, headers: &HeaderMap) -> Vec<f32> {
        let text = headers.get("srv-load").and_then(|v| v.to_str().ok());
        text.map_or(vec![], |text| self.fields(text))
    }

    fn fields(&self, text: &str) -> Vec<f32> {
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
        self.limits.report.iter().map(find).collect()
    }
}

/// Guards the end that others count by: the endpoint was told until when it is waited for, and the module counts with it. A
/// delivery that is read after that, since the process stood still or had others to serve first, may be none any more
/// to those who wrote it; what never ran is known all the same.
fn expire_late_deliveries(ends: &mut [(Outcome, bool)], now: Instant, until: Instant) {
    let delivered = ends.iter_mut().filter(|(outcome, _)| now > until && *outcome == Outcome::Delivered);
    delivered.for_each(|end| end.0 = Outcome::TimedOut);
}

/// Those of a call's messages that it is written with.
fn selected<'a>(parts: &'a [CallMessage], sent: &[bool]) -> Vec<&'a CallMessage> {
    parts.iter().zip(sent).filter(|(_, sent)| **sent).map(|(part, _)| part).collect()
}

/// A call with these messages; none with none. Ids and keys came as header values, so that they can go as such.
fn write(line: Destination, parts: &[&CallMessage], until: Instant) -> Option<Request<Bytes>> {
    let left = until.saturating_duration_since(Instant::now()).as_millis().max(1);
    let request = Request::builder()
        .method(Method::POST)
        .header("host", line.address.to_string())
        .header("req-deadline-ms", left.to_string());
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

/// Whether an answer says that its connection ends with it.
fn closes(headers: &HeaderMap) -> bool {
    let options = headers.get_all(CONNECTION).iter().filter_map(|v| v.to_str().ok());
    options.flat_map(|v| v.split(',')).any(|option| option.trim().eq_ignore_ascii_case("close"))
}

/// The wait that an answer tells, in seconds with decimals; strange ones are none.
fn retry_after(headers: &HeaderMap) -> Option<Micros> {
    let seconds: f64 = headers.get(RETRY_AFTER)?.to_str().ok()?.trim().parse().ok()?;
    // No destination means a wait of more than an hour.
    (seconds > 0.0).then(|| (seconds.min(3600.0) * 1e6).ceil() as Micros)
}

/// What an answer's head says. A call is `unseen` where it was the first on its connection and no report of the
/// destination came with the answer: turned away and closed on, it found no place for its connection.
fn outcome(status: StatusCode, headers: &HeaderMap, unseen: bool) -> Outcome {
    match status.as_u16() {
        200 => Outcome::Delivered,
        429 => Outcome::Rejected(retry_after(headers)),
        503 if headers.get("x-line-busy").is_some_and(|v| v.as_bytes() == b"1") => {
            Outcome::NotSent { no_slot: true }
        }
        503 if unseen && retry_after(headers).is_none() && closes(headers) => Outcome::ConnectionRejected,
        503 => Outcome::Rejected(retry_after(headers)),
        // Not sent, not for this endpoint, or not to be read there: it never ran.
        400 | 404 | 410 | 413 | 504 => Outcome::NotSent { no_slot: false },
        _ => Outcome::Error,
    }
}

#[cfg(test)]
mod tests;
