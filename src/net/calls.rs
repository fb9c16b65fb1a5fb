//! Calls to endpoints: connections kept and reused, single messages, batches and probes. A request is
//! written once and never again by itself; how it fared is told by whether its last byte can have left.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::convert::Infallible;
use std::future::{Future, poll_fn};
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::client::conn::http1::{Connection, SendRequest};
use hyper::header::{HeaderMap, RETRY_AFTER};
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use myrtleyard::interface::{EndpointId, Event, MessageId, Micros, Outcome};
use serde::{Deserialize, Serialize};
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::{mpsc::UnboundedSender, oneshot};
use tokio::time::{Instant, Sleep, sleep, timeout, timeout_at};

use super::{AttemptOver, BODY_LIMIT, Inbound};

/// A head of an answer that has more bytes is spoilt.
const HEAD_LIMIT: usize = 16 * 1024;
/// Endpoints write an answer in one go: what has not come so long after its first byte is spoilt.
const REST_OF_ANSWER: Duration = Duration::from_millis(500);

/// What an answer's first line says, told from its bytes as they come: it holds although the rest be spoilt.
#[derive(Debug, Default)]
struct FirstLine {
    line: Vec<u8>,
    /// The head of an interim answer is being passed over.
    interim: bool,
    /// Bytes of the answer itself have come.
    begun: bool,
    /// Its status, or none where it is no first line.
    status: Option<Option<u16>>,
}

impl FirstLine {
    /// `HTTP/1.1 200` and the byte behind it.
    const ENOUGH: usize = 13;

    fn hear(&mut self, bytes: &[u8]) {
        for byte in bytes {
            if self.status.is_some() {
                return;
            }
            self.begun = !self.interim;
            if self.line.len() < Self::ENOUGH {
                self.line.push(*byte);
            }
            let empty = self.line == b"\n" || self.line == b"\r\n";
            let enough = self.line.len() == Self::ENOUGH || *byte == b'\n';
            if !self.interim && enough && !empty {
                match self.read() {
                    Some(100..=199) => (self.interim, self.begun) = (true, false),
                    status => self.status = Some(status),
                }
            } else if self.interim && empty {
                self.interim = false;
            }
            if *byte == b'\n' {
                self.line.clear();
            }
        }
    }

    fn read(&self) -> Option<u16> {
        let digits = self.line.strip_prefix(b"HTTP/1.1 ").or(self.line.strip_prefix(b"HTTP/1.0 "))?;
        let (digits, end) = digits.split_at_checked(3)?;
        let ends = matches!(end.first(), Some(b' ' | b'\r' | b'\n'));
        std::str::from_utf8(digits).ok()?.parse().ok().filter(|_| ends)
    }
}

/// What passed over a stream.
#[derive(Debug, Default)]
struct Passed {
    written: Cell<u64>,
    heard: RefCell<FirstLine>,
    /// Nothing may come now: what does spoils the connection.
    quiet: Cell<bool>,
}

/// A stream that notes what passes over it.
struct Counted {
    stream: TcpStream,
    passed: Rc<Passed>,
}

impl AsyncRead for Counted {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        if self.passed.quiet.get() {
            // Asks the system itself, since the runtime may not have heard yet of what came. Its answer decides,
            // also at the end of the stream: guards against writing to what the endpoint has closed just now.
            match SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]) {
                Ok(0) => return Poll::Ready(Ok(())),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                _ => return Poll::Ready(Err(io::ErrorKind::InvalidData.into())),
            }
        }
        let before = buf.filled().len();
        let poll = Pin::new(&mut self.stream).poll_read(cx, buf);
        self.passed.heard.borrow_mut().hear(&buf.filled()[before..]);
        poll
    }
}

impl AsyncWrite for Counted {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context, buf: &[u8]) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.stream).poll_write(cx, buf);
        if let Poll::Ready(Ok(n)) = &poll {
            self.passed.written.set(self.passed.written.get() + *n as u64);
        }
        poll
    }
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// A request's body whose last byte waits until the connection has had time to break: a call begins with its
/// last byte, so that what breaks before has not run and may go again. Guards what must not run twice against
/// every loss that shows as soon as something is written: a connection that was closed while it stood idle, one
/// that a firewall or load balancer has forgotten, a process that ended. It does harm where the way there and
/// back takes longer (the time is lost, nothing is heard), and to calls that are short beside it. An empty body
/// has no byte to hold back.
struct Paced {
    rest: Bytes,
    hold: Duration,
    waiting: Option<Pin<Box<Sleep>>>,
    /// Set along with the last byte.
    may_run: Rc<Cell<bool>>,
    passed: Rc<Passed>,
}

impl Body for Paced {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.rest.is_empty() {
            return Poll::Ready(None);
        }
        if !self.hold.is_zero() && self.waiting.is_none() {
            let first = self.rest.len() - 1;
            self.waiting = Some(Box::pin(sleep(self.hold)));
            if first > 0 {
                return Poll::Ready(Some(Ok(Frame::data(self.rest.split_to(first)))));
            }
        }
        if let Some(waiting) = &mut self.waiting {
            ready!(waiting.as_mut().poll(cx));
        }
        self.may_run.set(true);
        self.passed.quiet.set(false);
        Poll::Ready(Some(Ok(Frame::data(std::mem::take(&mut self.rest)))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.rest.len() as u64)
    }
}

type Wire = Pin<Box<Connection<TokioIo<Counted>, Paced>>>;

/// A connection for one request at a time. It is driven only along with a request, so that dropping it
/// closes its socket there and then.
pub struct Conn {
    sender: SendRequest<Paced>,
    driver: Option<Wire>,
    /// It ended otherwise than by an orderly close.
    failed: bool,
    passed: Rc<Passed>,
}

/// Why there is no answer to a request.
pub enum Unanswered {
    /// The connection broke.
    Broken,
    /// What came can't be read as an answer.
    Spoilt,
}

impl Conn {
    /// Opens a connection.
    ///
    /// # Errors
    /// Fails when none is made.
    pub async fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let passed = Rc::new(Passed::default());
        let io = TokioIo::new(Counted { stream, passed: passed.clone() });
        let mut http = hyper::client::conn::http1::Builder::new();
        let (sender, driver) = http.max_buf_size(HEAD_LIMIT).handshake(io).await.map_err(io::Error::other)?;
        Ok(Self { sender, driver: Some(Box::pin(driver)), failed: false, passed })
    }

    /// Moves its bytes, as far as they can be moved now.
    fn step(driver: &mut Option<Wire>, failed: &mut bool, cx: &mut Context) {
        if let Some(Poll::Ready(end)) = driver.as_mut().map(|driver| driver.as_mut().poll(cx)) {
            *failed = end.is_err();
            *driver = None;
        }
    }

    /// Whether nothing has come that would be taken for the answer to a further request.
    pub async fn quiet(&mut self) -> bool {
        self.passed.quiet.set(true);
        let (driver, failed) = (&mut self.driver, &mut self.failed);
        poll_fn(|cx| {
            Self::step(driver, failed, cx);
            Poll::Ready(())
        })
        .await;
        self.passed.quiet.set(false);
        !self.failed
    }

    /// Whether a further request may be written: the other side has not closed, as far as is known.
    pub async fn usable(&mut self) -> bool {
        self.quiet().await && self.driver.is_some() && self.sender.is_ready()
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    /// Fails when the connection breaks, or what comes is no answer.
    pub async fn send(&mut self, request: Request<Bytes>) -> Result<Response<Incoming>, Unanswered> {
        self.send_paced(request, Duration::ZERO, false, &Rc::default()).await
    }

    /// Sends a request, its last byte after that time, and waits for the head of its answer. `may_run` is set
    /// as soon as the last byte can go. On a connection used before, what comes until then answers another call.
    ///
    /// # Errors
    /// Fails when the connection breaks, or what comes is no answer.
    async fn send_paced(
        &mut self,
        request: Request<Bytes>,
        hold: Duration,
        reused: bool,
        may_run: &Rc<Cell<bool>>,
    ) -> Result<Response<Incoming>, Unanswered> {
        *self.passed.heard.borrow_mut() = FirstLine::default();
        let passed = self.passed.clone();
        may_run.set(request.body().is_empty());
        passed.quiet.set(reused && !hold.is_zero() && !may_run.get());
        let (waiting, may_run, quiet) = (None, may_run.clone(), passed.clone());
        let request = request.map(|rest| Paced { rest, hold, waiting, may_run, passed: quiet });
        let begun = || passed.heard.borrow().begun;
        let mut sent = pin!(self.sender.send_request(request));
        let mut late = pin!(None);
        let (driver, failed) = (&mut self.driver, &mut self.failed);
        let answer = poll_fn(|cx| {
            Self::step(driver, failed, cx);
            if let Poll::Ready(answer) = sent.as_mut().poll(cx) {
                return Poll::Ready(Some(answer));
            }
            if late.is_some() != begun() {
                late.set(begun().then(|| sleep(REST_OF_ANSWER)));
            }
            match late.as_mut().as_pin_mut() {
                Some(late) => late.poll(cx).map(|()| None),
                None => Poll::Pending,
            }
        });
        match answer.await {
            Some(Ok(answer)) => Ok(answer),
            Some(Err(_)) if begun() => Err(Unanswered::Spoilt),
            Some(Err(_)) => Err(Unanswered::Broken),
            None => Err(Unanswered::Spoilt),
        }
    }

    /// Reads the rest of an answer.
    ///
    /// # Errors
    /// Fails when it breaks off, is too long or does not come.
    pub async fn body(&mut self, body: Incoming) -> Result<Bytes, ()> {
        if body.size_hint().lower() > BODY_LIMIT as u64 {
            return Err(());
        }
        let mut whole = pin!(timeout(REST_OF_ANSWER, Limited::new(body, BODY_LIMIT).collect()));
        let (driver, failed) = (&mut self.driver, &mut self.failed);
        let whole = poll_fn(|cx| {
            Self::step(driver, failed, cx);
            whole.as_mut().poll(cx)
        });
        whole.await.map_err(|_| ())?.map(|body| body.to_bytes()).map_err(|_| ())
    }
}

/// Where an endpoint is dialled.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Line {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its address.
    pub address: SocketAddr,
}

/// A message of a call.
#[derive(Debug, Clone)]
pub struct Part {
    /// The message.
    pub message: MessageId,
    /// The attempt's number.
    pub attempt: u16,
    /// Its `Req-Id`.
    pub id: String,
    /// Its `Idempotency-Key`.
    pub key: Option<String>,
    /// Its body.
    pub body: Bytes,
}

/// How carefully a call is written.
#[derive(Debug, Clone, Copy, Default)]
pub struct Pace {
    /// Its last byte goes so long after the others.
    pub hold: Micros,
    /// Over a new connection.
    pub fresh: bool,
}

impl Pace {
    /// What suits both of two messages that travel along.
    #[must_use]
    pub fn stricter(self, other: Self) -> Self {
        Self { hold: self.hold.max(other.hold), fresh: self.fresh || other.fresh }
    }
}

/// Limits that calls keep to.
#[derive(Debug, Clone)]
pub struct Limits {
    /// A connection not made within this time has failed.
    pub connect: Micros,
    /// Endpoints close connections that stood idle so long.
    pub idle: Micros,
    /// Connections to endpoints at most, idle ones counted.
    pub connections: usize,
    /// Names of a load report's fields.
    pub report: Vec<String>,
}

struct Idle {
    conn: Conn,
    since: Instant,
}

/// Calls off all that travel along; works once.
type CallOff = Rc<Cell<Option<oneshot::Sender<()>>>>;

struct Shared {
    limits: Limits,
    inbound: UnboundedSender<Inbound>,
    idle: RefCell<HashMap<Line, Vec<Idle>>>,
    /// Connections that are in use.
    busy: Cell<usize>,
    /// For each attempt that is out, what calls it off.
    out: RefCell<HashMap<(MessageId, u16), CallOff>>,
}

/// All calls that are out and the connections that stand idle.
#[derive(Clone)]
pub struct Calls(Rc<Shared>);

/// What is known of a call in progress when it is broken off.
#[derive(Default)]
struct Progress {
    /// The last byte of the request may have been written.
    may_run: Rc<Cell<bool>>,
    /// What passed over its connection.
    passed: RefCell<Option<Rc<Passed>>>,
}

impl Progress {
    /// Whether a first line has come that says 200.
    fn said_ok(&self) -> bool {
        self.passed.borrow().as_ref().is_some_and(|p| p.heard.borrow().status == Some(Some(200)))
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
struct BatchEnd {
    id: String,
    state: String,
}

impl Calls {
    /// No calls yet. Idle connections are looked after by a task of their own.
    pub fn new(limits: Limits, inbound: UnboundedSender<Inbound>) -> Self {
        let (idle, busy, out) = (RefCell::default(), Cell::new(0), RefCell::default());
        let calls = Self(Rc::new(Shared { limits, inbound, idle, busy, out }));
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

    /// Attempts that are out.
    pub fn out(&self) -> usize {
        self.0.out.borrow().len()
    }

    /// Starts a call with one message or several; its end comes as [`Inbound::CallOver`].
    pub fn start(&self, line: Line, parts: Vec<Part>, wait: Micros, pace: Pace) {
        let shared = self.0.clone();
        let (off, called_off) = oneshot::channel();
        let off = Rc::new(Cell::new(Some(off)));
        for part in &parts {
            shared.out.borrow_mut().insert((part.message, part.attempt), off.clone());
        }
        tokio::task::spawn_local(async move {
            let begun = Instant::now();
            let until = begun + Duration::from_micros(wait);
            let progress = Progress::default();
            // Guards what is delivered against a spoilt rest: to a single message the first line is the answer.
            let unless_delivered = |outcome| {
                if parts.len() == 1 && progress.said_ok() { Outcome::Delivered } else { outcome }
            };
            let rest = tokio::select! {
                result = timeout_at(until, shared.call(line, &parts, until, pace, &progress)) => match result {
                    Ok(Ok(answered)) => {
                        shared.report_ends(line, &parts, begun, &answered);
                        answered.rest
                    }
                    Ok(Err(outcome)) => {
                        shared.report_end(line, &parts, begun, unless_delivered(outcome));
                        None
                    }
                    Err(_) => {
                        let ran = progress.may_run.get();
                        let outcome = if ran { Outcome::TimedOut } else { Outcome::ConnectFailed };
                        shared.report_end(line, &parts, begun, unless_delivered(outcome));
                        None
                    }
                },
                Ok(()) = called_off => {
                    shared.report_end(line, &parts, begun, unless_delivered(Outcome::Cancelled));
                    None
                }
            };
            if let Some((conn, body)) = rest {
                shared.finish(line, conn, body).await;
            }
        });
    }

    /// Calls an attempt off by closing its connection, with all that travel along.
    pub fn cancel(&self, message: MessageId, attempt: u16) {
        let off = self.0.out.borrow().get(&(message, attempt)).and_then(|off| off.take());
        if let Some(off) = off {
            let _ = off.send(());
        }
    }

    /// Probes an endpoint; the result comes as [`Event::Probed`].
    pub fn probe(&self, line: Line) {
        let shared = self.0.clone();
        tokio::task::spawn_local(async move {
            let path = if shared.limits.report.is_empty() { "/health" } else { "/status/load" };
            let within = Duration::from_micros(shared.limits.connect);
            let progress = Progress::default();
            let until = Instant::now() + within;
            let request = Request::get(path).header("host", line.address.to_string());
            let asked = async {
                let request = request.body(Bytes::new()).map_err(|_| Outcome::ConnectFailed)?;
                let (mut conn, answer) =
                    shared.exchange(line, &request, until, Pace::default(), &progress).await?;
                let (head, body) = answer.into_parts();
                let body = conn.0.body(body).await.map_err(|()| Outcome::Spoilt)?;
                shared.keep(line, conn).await;
                let mut report = shared.report(&head.headers);
                if report.is_empty() {
                    report = std::str::from_utf8(&body).map_or(vec![], |text| shared.fields(text));
                }
                Ok((outcome(head.status, &head.headers), report))
            };
            let (outcome, report) = match timeout(within, asked).await {
                Ok(Ok(seen)) => seen,
                Ok(Err(outcome)) => (outcome, vec![]),
                Err(_) if progress.may_run.get() => (Outcome::TimedOut, vec![]),
                Err(_) => (Outcome::ConnectFailed, vec![]),
            };
            let endpoint = line.endpoint;
            let _ = shared.inbound.send(Inbound::Event(Event::Probed { endpoint, outcome, report }));
        });
    }

    /// Closes the idle connections to an endpoint.
    pub fn close_idle(&self, endpoint: EndpointId) {
        self.0.idle.borrow_mut().retain(|line, _| line.endpoint != endpoint);
    }
}

/// Counts a connection as in use until it is dropped.
struct InUse(Rc<Shared>);

impl InUse {
    fn new(shared: &Rc<Shared>) -> Self {
        shared.busy.set(shared.busy.get() + 1);
        Self(shared.clone())
    }
}

impl Drop for InUse {
    fn drop(&mut self) {
        self.0.busy.set(self.0.busy.get() - 1);
    }
}

/// A connection in use.
struct Busy(Conn, InUse);

/// An answer to a call, read as far as it has a meaning.
struct Answered {
    ends: Vec<(Outcome, bool)>,
    report: Vec<f32>,
    wait: Option<Micros>,
    rest: Option<(Busy, Option<Incoming>)>,
}

impl Shared {
    fn fresh(&self, idle: &Idle) -> bool {
        // Guards against writing to a connection that the endpoint closes at that moment.
        idle.since.elapsed().as_micros() < u128::from(self.limits.idle / 5 * 4)
    }

    fn take_idle(&self, line: Line) -> Option<Conn> {
        let mut idle = self.idle.borrow_mut();
        let conns = idle.get_mut(&line)?;
        conns.retain(|idle| self.fresh(idle));
        Some(conns.pop()?.conn)
    }

    /// Makes room for a connection that is counted as in use already, by closing those that have been idle the
    /// longest; there may be none.
    fn make_room(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let mut count: usize = idle.values().map(Vec::len).sum();
        while count > 0 && count + self.busy.get() > self.limits.connections {
            let oldest = idle.iter().filter_map(|(l, c)| Some((c.first()?.since, *l))).min_by_key(|o| o.0);
            if let Some(conns) = oldest.and_then(|o| idle.get_mut(&o.1)) {
                conns.remove(0);
            }
            count -= 1;
        }
        self.busy.get() <= self.limits.connections
    }

    async fn connect(
        self: &Rc<Self>,
        line: Line,
        until: Instant,
        may_reuse: bool,
    ) -> Result<(Busy, bool), Outcome> {
        let in_use = InUse::new(self);
        while let Some(mut conn) = may_reuse.then(|| self.take_idle(line)).flatten() {
            if conn.usable().await {
                return Ok((Busy(conn, in_use), true));
            }
        }
        if !self.make_room() {
            return Err(Outcome::Moot { no_slot: true });
        }
        let until = until.min(Instant::now() + Duration::from_micros(self.limits.connect));
        match timeout_at(until, Conn::open(line.address)).await {
            Ok(Ok(conn)) => Ok((Busy(conn, in_use), false)),
            _ => Err(Outcome::ConnectFailed),
        }
    }

    /// One request and the head of its answer.
    async fn exchange(
        self: &Rc<Self>,
        line: Line,
        request: &Request<Bytes>,
        until: Instant,
        pace: Pace,
        progress: &Progress,
    ) -> Result<(Busy, Response<Incoming>), Outcome> {
        let hold = Duration::from_micros(pace.hold);
        let mut may_reuse = !pace.fresh;
        if pace.fresh {
            // The endpoint's table has no room for both.
            self.take_idle(line);
        }
        loop {
            let (mut conn, reused) = self.connect(line, until, may_reuse).await?;
            let before = conn.0.passed.written.get();
            progress.passed.replace(Some(conn.0.passed.clone()));
            let answer = conn.0.send_paced(request.clone(), hold, reused, &progress.may_run).await;
            // A head of at least a byte goes before the body.
            let written = conn.0.passed.written.get() - before;
            let never_left = !progress.may_run.get() || written <= request.body().len() as u64;
            if reused {
                let _ = self.inbound.send(Inbound::Event(Event::Kept { lost: answer.is_err() }));
            }
            match answer {
                Ok(answer) => return Ok((conn, answer)),
                // The last byte never left: on a new connection it is no second copy.
                Err(_) if never_left && reused => {
                    may_reuse = false;
                    progress.may_run.set(false);
                }
                Err(_) if never_left => return Err(Outcome::ConnectFailed),
                Err(Unanswered::Spoilt) => return Err(Outcome::Spoilt),
                Err(Unanswered::Broken) => return Err(Outcome::Reset),
            }
        }
    }

    async fn call(
        self: &Rc<Self>,
        line: Line,
        parts: &[Part],
        until: Instant,
        pace: Pace,
        progress: &Progress,
    ) -> Result<Answered, Outcome> {
        let left = until.saturating_duration_since(Instant::now()).as_millis().max(1);
        let request = Request::builder()
            .method(Method::POST)
            .header("host", line.address.to_string())
            .header("req-deadline-ms", left.to_string());
        let (request, body) = if let [part] = parts {
            let request = request.uri("/v1/messages").header("req-id", &part.id);
            let request = match &part.key {
                Some(key) => request.header("idempotency-key", key),
                None => request,
            };
            (request, part.body.clone())
        } else {
            let parts: Vec<_> = parts
                .iter()
                .map(|p| BatchPart { id: &p.id, key: p.key.as_deref(), body: STANDARD.encode(&p.body) })
                .collect();
            let body = serde_json::to_vec(&parts).map_err(|_| Outcome::Moot { no_slot: false })?;
            let request = request.uri("/v1/messages:batch").header("content-type", "application/json");
            (request, Bytes::from(body))
        };
        // Ids and keys came as header values, so that they can go as such.
        let request = request.body(body).map_err(|_| Outcome::Moot { no_slot: false })?;
        let (mut conn, answer) = self.exchange(line, &request, until, pace, progress).await?;
        let (head, body) = answer.into_parts();
        let report = self.report(&head.headers);
        if parts.len() == 1 && head.status == StatusCode::OK {
            let ends = vec![(Outcome::Delivered, false)];
            return Ok(Answered { ends, report, wait: None, rest: Some((conn, Some(body))) });
        }
        // Guards against believing a head whose rest is spoilt: only a whole answer proves anything.
        let body = conn.0.body(body).await.map_err(|()| Outcome::Spoilt)?;
        let wait = told_wait(&head.headers);
        if parts.len() > 1 && head.status == StatusCode::OK {
            let told: Vec<BatchEnd> = serde_json::from_slice(&body).map_err(|_| Outcome::Spoilt)?;
            let states: HashMap<&str, &str> =
                told.iter().map(|end| (end.id.as_str(), end.state.as_str())).collect();
            let end = |p: &Part| match states.get(p.id.as_str()).copied() {
                Some("ok") => (Outcome::Delivered, false),
                Some("later") => (Outcome::Full(wait), false),
                Some("gone") => (Outcome::Moot { no_slot: false }, true),
                Some("exhausted") => (Outcome::Moot { no_slot: false }, false),
                Some("error") => (Outcome::Error, false),
                // What is not told, or can't be read, may have run.
                _ => (Outcome::Spoilt, false),
            };
            let ends = parts.iter().map(end).collect();
            return Ok(Answered { ends, report, wait, rest: Some((conn, None)) });
        }
        let end = (outcome(head.status, &head.headers), head.status == StatusCode::GONE);
        // What comes behind it may belong to it, so that its length was spoilt.
        if end.0.never_ran() && !conn.0.quiet().await {
            return Err(Outcome::Spoilt);
        }
        Ok(Answered { ends: vec![end; parts.len()], report, wait, rest: Some((conn, None)) })
    }

    fn report_end(&self, line: Line, parts: &[Part], begun: Instant, outcome: Outcome) {
        let ends = vec![(outcome, false); parts.len()];
        self.report_ends(line, parts, begun, &Answered { ends, report: vec![], wait: None, rest: None });
    }

    fn report_ends(&self, line: Line, parts: &[Part], begun: Instant, answered: &Answered) {
        let took = begun.elapsed().as_micros() as Micros;
        let endpoint = line.endpoint;
        let mut over = Vec::with_capacity(parts.len());
        for (part, (outcome, gone)) in parts.iter().zip(&answered.ends) {
            let (message, attempt) = (part.message, part.attempt);
            self.out.borrow_mut().remove(&(message, attempt));
            let (outcome, gone, report) = (*outcome, *gone, answered.report.clone());
            over.push(AttemptOver { message, attempt, endpoint, outcome, gone, took, report });
        }
        if let Some(wait) = answered.wait {
            let _ = self.inbound.send(Inbound::Event(Event::Wait { endpoint, wait }));
        }
        let _ = self.inbound.send(Inbound::CallOver(over));
    }

    /// Reads what is left of an answer, so that its connection can be used again.
    async fn finish(self: &Rc<Self>, line: Line, mut conn: Busy, body: Option<Incoming>) {
        if let Some(body) = body
            && !matches!(timeout(REST_OF_ANSWER, conn.0.body(body)).await, Ok(Ok(_)))
        {
            return;
        }
        self.keep(line, conn).await;
    }

    async fn keep(self: &Rc<Self>, line: Line, conn: Busy) {
        let Busy(mut conn, in_use) = conn;
        if !conn.usable().await {
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

/// The wait that an answer tells, in seconds with decimals; strange ones are none.
fn told_wait(headers: &HeaderMap) -> Option<Micros> {
    let seconds: f64 = headers.get(RETRY_AFTER)?.to_str().ok()?.trim().parse().ok()?;
    // No destination means a wait of more than an hour.
    (seconds > 0.0).then(|| (seconds.min(3600.0) * 1e6).ceil() as Micros)
}

fn outcome(status: StatusCode, headers: &HeaderMap) -> Outcome {
    match status.as_u16() {
        200 => Outcome::Delivered,
        429 => Outcome::Full(told_wait(headers)),
        503 if headers.get("x-line-busy").is_some_and(|v| v.as_bytes() == b"1") => {
            Outcome::Moot { no_slot: true }
        }
        503 => Outcome::Full(told_wait(headers)),
        // Not sent, not for this endpoint, or not to be read there: it never ran.
        400 | 404 | 410 | 413 | 504 => Outcome::Moot { no_slot: false },
        _ => Outcome::Error,
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::io::{Read, Write};

    /// Guards against a request on what the endpoint has just closed: no turn of the runtime lies between.
    #[test]
    fn a_connection_closed_right_after_its_answer_is_not_usable() {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (close, closing) = std::sync::mpsc::channel::<()>();
        let endpoint = std::thread::spawn(move || {
            let mut stream = listener.accept().unwrap().0;
            assert!(stream.read(&mut [0; 1024]).unwrap() > 0);
            stream.write_all(b"HTTP/1.1 200 X\r\ncontent-length: 0\r\n\r\n").unwrap();
            closing.recv().unwrap();
        });
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        runtime.block_on(async {
            let mut conn = Conn::open(address).await.unwrap();
            let request = Request::get("/").header("host", "e").body(Bytes::new()).unwrap();
            let answer = conn.send(request).await.ok().unwrap();
            assert!(conn.body(answer.into_body()).await.is_ok());
            assert!(conn.usable().await, "it stands open");
            close.send(()).unwrap();
            endpoint.join().unwrap();
            assert!(!conn.usable().await);
        });
    }
}
