//! The HTTP server for clients: accepts messages, and answers the load balancer's readiness check.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use decision::interface::Micros;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderMap, HeaderValue, RETRY_AFTER, TRANSFER_ENCODING};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{Notify, mpsc::UnboundedSender, oneshot, watch};
use tokio::time::{Instant, timeout};

use admin::gate::AdmissionGate;
use journal::AcceptedMessage;

use crate::ports::{Answer, Clock, Frontend, Inbound, MAX_BODY_BYTES, Submission};
use crate::shards::{ShardHandle, ShardMessage};
use crate::stall_detector;

/// A connection without a request for this long is closed, so that it doesn't use up the connections for other clients.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2200);
/// Time to receive a request body. Clients that submit a message wait no longer than that.
const BODY_TIMEOUT: Duration = Duration::from_millis(400);
/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1024;
/// Maximum size of a request head, in bytes; a longer one is not read to its end.
const HEAD_LIMIT: usize = 16 * 1024;
/// Interval at which a connection that is to be closed is checked again for the rest of a request.
const POLL_INTERVAL: Micros = 50_000;
/// How long the listener waits for a connection to close before it closes another idle one.
const CLOSE_WAIT: Duration = Duration::from_millis(5);
/// Deadlines are given in whole milliseconds: rounding may make one this much longer than its class allows.
const DEADLINE_SLACK: Micros = 1000;

/// The state of a client's connection, by which connections are chosen to be closed.
struct ClientConnection {
    /// When its last request was answered or, before that, when it was accepted.
    idle_since: Cell<Instant>,
    /// Number of requests answered on it.
    requests_answered: Cell<u64>,
    /// A request was received and is not answered yet.
    request_open: Cell<bool>,
    /// When the first bytes of a request arrived that is not received completely or not answered yet.
    first_byte_at: Cell<Option<Instant>>,
    /// Asks its task to close it, unless a request is open on it.
    close: Notify,
    /// Set while its task has not reacted to `close` yet.
    close_requested: Cell<bool>,
}

/// The frontend for clients over HTTP; all client connections share it.
pub struct HttpFrontend {
    address: SocketAddr,
    /// Maximum number of connections at a time.
    max_clients: Cell<usize>,
    /// The number that `max_clients` never exceeds.
    client_ceiling: usize,
    clock: Clock,
    /// The name of each class and its longest deadline.
    classes: Vec<(Arc<str>, Micros)>,
    inbound: UnboundedSender<Inbound>,
    /// Sends connections and messages to other shards; `None` if there is only one shard.
    shard: Option<Rc<ShardHandle>>,
    gate: watch::Receiver<AdmissionGate>,
    /// The listening socket that was inherited from the platform, until this frontend starts.
    inherited: Cell<Option<std::net::TcpListener>>,
    clients: RefCell<HashMap<u64, Rc<ClientConnection>>>,
    client_closed: Notify,
    connections_accepted: Cell<u64>,
    requests: Cell<u64>,
}

impl ClientConnection {
    /// Whether a request is open on it or partially received. A connection with a partial request is not closed, since its
    /// client can't tell that from a request that was received completely. A request that takes longer to arrive than
    /// clients wait ([`BODY_TIMEOUT`]) doesn't count.
    fn has_open_request(&self) -> bool {
        self.request_open.get()
            || self.first_byte_at.get().is_some_and(|first_byte_at| first_byte_at.elapsed() < BODY_TIMEOUT)
    }
}

/// A client's stream, which records when a request begins.
struct ClientStream {
    stream: TcpStream,
    client: Rc<ClientConnection>,
}

impl AsyncRead for ClientStream {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let poll = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > before && self.client.first_byte_at.get().is_none() {
            self.client.first_byte_at.set(Some(Instant::now()));
        }
        poll
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
        bufs: &[io::IoSlice],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }
    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

/// Withdraws its message if it is dropped before the answer, which means that the client has disconnected.
struct Withdrawal<'a> {
    id: Option<String>,
    request: u64,
    destination: u16,
    /// The shard that the message was forwarded to. The withdrawal is sent there as well, so that it can't overtake the message.
    to: Option<sharding::ShardId>,
    frontend: &'a HttpFrontend,
}

impl Drop for Withdrawal<'_> {
    fn drop(&mut self) {
        let Some(id) = self.id.take() else { return };
        let (request, destination) = (self.request, self.destination);
        match (self.to, &self.frontend.shard) {
            (Some(to), Some(shard)) => shard.send(to, ShardMessage::Withdrawn { id, request, destination }),
            _ => drop(self.frontend.inbound.send(Inbound::Withdrawn { id, request, destination })),
        }
    }
}

/// Marks a connection as having an open request until this is dropped.
struct OpenRequest<'a>(&'a ClientConnection);

impl<'a> OpenRequest<'a> {
    fn new(client: &'a ClientConnection) -> Self {
        client.request_open.set(true);
        Self(client)
    }
}

impl Drop for OpenRequest<'_> {
    fn drop(&mut self) {
        self.0.request_open.set(false);
        self.0.first_byte_at.set(None);
        self.0.requests_answered.set(self.0.requests_answered.get() + 1);
        self.0.idle_since.set(Instant::now());
    }
}

fn plain_text(status: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    response
}

/// Rejects a request that is not valid, and closes its connection, since the bytes that follow on it can't be trusted
/// either.
fn reject(status: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    let mut response = plain_text(status, text);
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}

fn increment(counter: &Cell<u64>) -> u64 {
    counter.set(counter.get() + 1);
    counter.get()
}

/// Parses an unsigned number that consists of digits alone, without a sign.
fn parse_number<T: std::str::FromStr>(text: &str) -> Option<T> {
    text.bytes().all(|b| b.is_ascii_digit()).then(|| text.parse().ok()).flatten()
}

/// The trimmed value of a header; `None` if it is missing, empty or not visible ASCII.
fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok().map(str::trim).filter(|text| !text.is_empty())
}

impl Frontend for HttpFrontend {
    fn start(self: Rc<Self>) -> io::Result<SocketAddr> {
        if let Some(listener) = self.inherited.take() {
            listener.set_nonblocking(true)?;
            let listener = TcpListener::from_std(listener)?;
            let address = listener.local_addr()?;
            tokio::task::spawn_local(self.listen(listener));
            return Ok(address);
        }
        let socket = if self.address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        socket.set_reuseaddr(true)?;
        socket.bind(self.address)?;
        let listener = socket.listen(BACKLOG)?;
        let address = listener.local_addr()?;
        tokio::task::spawn_local(self.listen(listener));
        Ok(address)
    }

    fn requests(&self) -> u64 {
        self.requests.get()
    }

    fn open_connections(&self) -> usize {
        self.clients.borrow().len()
    }

    fn set_max_clients(&self, max_clients: usize) {
        self.limit_connections(max_clients);
    }

    fn adopt(self: Rc<Self>, stream: std::net::TcpStream) {
        match stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream)) {
            Ok(stream) => {
                // As in `listen`: an idle connection is closed to make room.
                if self.open_connections() >= self.max_clients.get() {
                    self.close_idle_client();
                }
                self.serve_client(stream);
            }
            Err(_) => self.connection_closed(),
        }
    }
}

impl HttpFrontend {
    /// Creates a frontend for this address, or for an inherited socket that listens there already, with at most this many
    /// connections. It accepts none until it is started.
    pub fn new(
        (address, inherited, max_clients): (SocketAddr, Option<std::net::TcpListener>, usize),
        clock: Clock,
        classes: Vec<(Arc<str>, Micros)>,
        inbound: UnboundedSender<Inbound>,
        shard: Option<Rc<ShardHandle>>,
        gate: watch::Receiver<AdmissionGate>,
    ) -> Self {
        let (clients, client_closed) = (RefCell::default(), Notify::new());
        let (connections_accepted, requests) = (Cell::new(0), Cell::new(0));
        Self {
            address,
            max_clients: Cell::new(max_clients),
            client_ceiling: max_clients,
            clock,
            classes,
            inbound,
            shard,
            gate,
            inherited: Cell::new(inherited),
            clients,
            client_closed,
            connections_accepted,
            requests,
        }
    }

    /// Sets the maximum number of connections at a time, up to the one that it was created with. Closes idle ones if there are
    /// more.
    pub fn limit_connections(&self, max_clients: usize) {
        let max_clients = max_clients.min(self.client_ceiling);
        self.max_clients.set(max_clients);
        (max_clients..self.open_connections()).for_each(|_| self.close_idle_client());
    }

    /// Sets the number that requests are counted from, so that they have other numbers than those of a predecessor or
    /// of another shard.
    pub fn set_request_count(&self, requests: u64) {
        self.requests.set(requests);
    }

    /// Accepts connections until another process has taken over.
    async fn listen(self: Rc<Self>, listener: TcpListener) {
        let mut gate = self.gate.clone();
        loop {
            while self.open_connections() >= self.max_clients.get() {
                self.close_idle_client();
                let _ = timeout(CLOSE_WAIT, self.client_closed.notified()).await;
            }
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = gate.wait_for(|gate| !gate.accepts()) => return,
            };
            let Ok((stream, _)) = accepted else {
                // For example out of file descriptors: pauses, so that the loop does not spin.
                tokio::time::sleep(Duration::from_millis(10)).await;
                continue;
            };
            if let Some(stream) = self.assign(stream) {
                self.serve_client(stream);
            }
        }
    }

    /// Sends a connection to the shard that has the fewest. Returns it if that is this shard.
    fn assign(&self, stream: TcpStream) -> Option<TcpStream> {
        let Some(shard) = &self.shard else { return Some(stream) };
        let to = shard.group().assign_client();
        if to == shard.id() {
            return Some(stream);
        }
        let sent = stream.into_std().map_err(drop).and_then(|stream| {
            // A shard whose mailbox is full gets no clients; the connection is closed, and its client reconnects.
            shard.try_send(to, ShardMessage::Client(stream)).map_err(drop)
        });
        if sent.is_err() {
            shard.group().client_gone(to);
        }
        None
    }

    /// Counts a client's connection as closed.
    fn connection_closed(&self) {
        if let Some(shard) = &self.shard {
            shard.group().client_gone(shard.id());
        }
        self.client_closed.notify_one();
    }

    /// Serves a client's connection.
    fn serve_client(self: &Rc<Self>, stream: TcpStream) {
        let client = Rc::new(ClientConnection {
            idle_since: Cell::new(Instant::now()),
            requests_answered: Cell::new(0),
            request_open: Cell::new(false),
            first_byte_at: Cell::new(None),
            close: Notify::new(),
            close_requested: Cell::new(false),
        });
        let number = increment(&self.connections_accepted);
        self.clients.borrow_mut().insert(number, client.clone());
        let frontend = self.clone();
        tokio::task::spawn_local(async move {
            frontend.serve(stream, &client).await;
            frontend.clients.borrow_mut().remove(&number);
            frontend.connection_closed();
        });
    }

    /// Submits a message to the shard that owns its destination at the moment. Returns that shard if it is another one.
    fn forward(&self, message: Submission) -> Option<sharding::ShardId> {
        let owner_elsewhere =
            self.shard.as_ref().map(|shard| (shard, shard.group().owner(message.message.destination)));
        match owner_elsewhere.filter(|(shard, owner)| *owner != shard.id()) {
            Some((shard, owner)) => {
                if let Err(ShardMessage::Submitted(message)) =
                    shard.try_send(owner, ShardMessage::Submitted(message))
                {
                    let _ = message.answer.send(Answer::Rejected(crate::shards::RETRY_AFTER_MAILBOX_FULL));
                }
                Some(owner)
            }
            None => {
                let _ = self.inbound.send(Inbound::Submitted(message));
                None
            }
        }
    }

    /// Closes the connection that has been idle the longest, so that idle connections don't keep other clients out.
    /// Connections with answered requests are closed before those without any: their clients simply reconnect, while the
    /// first request on a new connection may be on its way and would fail.
    fn close_idle_client(&self) {
        let clients = self.clients.borrow();
        let idle =
            clients.values().filter(|client| !client.has_open_request() && !client.close_requested.get());
        if let Some(client) =
            idle.min_by_key(|client| (client.requests_answered.get() == 0, client.idle_since.get()))
        {
            client.close_requested.set(true);
            client.close.notify_one();
        }
    }

    async fn serve(&self, stream: TcpStream, client: &Rc<ClientConnection>) {
        let _ = stream.set_nodelay(true);
        let stream = ClientStream { stream, client: client.clone() };
        let accepted_at = self.clock.now();
        let mut gate = self.gate.clone();
        gate.mark_changed();
        let service = service_fn(|request| self.answer(request, client));
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_TIMEOUT)
            .max_buf_size(HEAD_LIMIT)
            .serve_connection(TokioIo::new(stream), service);
        let mut connection = std::pin::pin!(connection);
        let mut idle_until = None;
        loop {
            let until = self.clock.instant(idle_until.unwrap_or(Micros::MAX / 2));
            tokio::select! {
                biased;
                _ = connection.as_mut() => return,
                () = client.close.notified() => {
                    client.close_requested.set(false);
                    if !client.has_open_request() {
                        return;
                    }
                }
                Ok(()) = gate.changed() => {
                    let state = *gate.borrow_and_update();
                    let partially_read = client.has_open_request() && !client.request_open.get();
                    let had_request =
                        client.request_open.get() || client.requests_answered.get() > 0 && !partially_read;
                    // A connection that is accepted on standby also stays open for `IDLE_CLOSE_DELAY` and gets one
                    // answer: its client needs that time to switch to another sender.
                    idle_until = state.close_idle_at().map(|at| at.max(accepted_at + admin::gate::IDLE_CLOSE_DELAY));
                    match state {
                        AdmissionGate::Closing if had_request => connection.as_mut().graceful_shutdown(),
                        // The first request on a new connection may be on its way or unread, and another may be partially
                        // received: a graceful shutdown by hyper would close these without reading on. The answer to such a
                        // request is the last on its connection.
                        AdmissionGate::Closing => idle_until = Some(self.clock.now() + admin::gate::IDLE_CLOSE_DELAY),
                        _ => {}
                    }
                }
                () = tokio::time::sleep_until(until), if idle_until.is_some() => {
                    if !client.has_open_request() {
                        return;
                    }
                    // An open request gets the last answer. The rest of a partial one may never arrive, so that it is
                    // checked again.
                    idle_until = (!client.request_open.get()).then(|| self.clock.now() + POLL_INTERVAL);
                }
            }
        }
    }

    async fn answer(
        &self,
        request: Request<Incoming>,
        client: &ClientConnection,
    ) -> Result<Response<Full<Bytes>>, Infallible> {
        let _open_request = OpenRequest::new(client);
        let mut response = match (request.method(), request.uri().path()) {
            (&Method::GET, "/ready") if !self.gate.borrow().ready() => {
                plain_text(StatusCode::SERVICE_UNAVAILABLE, "clients are sent away\n")
            }
            (&Method::GET, "/ready") => plain_text(StatusCode::OK, "ready\n"),
            (&Method::POST, _) => self.submit(request).await,
            _ => reject(StatusCode::NOT_FOUND, "not found\n"),
        };
        if self.gate.borrow().last_answer() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        Ok(response)
    }

    /// Submits the message in a request and waits for its answer. A request that is not a valid message gets status
    /// 400, and one that announces a body over [`MAX_BODY_BYTES`] gets status 413.
    async fn submit(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let received_at =
            self.clock.now().saturating_sub(stall_detector::max_read_delay().as_micros() as Micros);
        let (head, body) = request.into_parts();
        let bad = |reason| reject(StatusCode::BAD_REQUEST, reason);
        // Rejected, so that no second request can be smuggled in the body: if both headers are present, hyper drops
        // Content-Length, and a request that had both can't be told from one without it.
        if head.headers.contains_key(TRANSFER_ENCODING) {
            return bad("a body comes with Content-Length alone\n");
        }
        if body.size_hint().lower() > MAX_BODY_BYTES as u64 {
            return reject(StatusCode::PAYLOAD_TOO_LARGE, "the body is over 64 KiB\n");
        }
        let Some(id) = header(&head.headers, "req-id") else { return bad("Req-Id is missing\n") };
        let path_class = head.uri.path().trim_start_matches('/').split('/').next().unwrap_or_default();
        let class_text = header(&head.headers, "req-kind").unwrap_or(path_class);
        let matches = |class: &(Arc<str>, Micros)| *class.0 == *class_text && *class.0 == *path_class;
        let Some(class) = self.classes.iter().position(matches) else {
            return bad("Req-Kind or the path names no class\n");
        };
        let destination = header(&head.headers, "x-consignee").and_then(|pairs| {
            let mut pairs = pairs.split([',', ';']).filter_map(|pair| pair.split_once('='));
            parse_number(pairs.find(|(name, _)| name.trim() == "dest")?.1.trim())
        });
        let Some(destination) = destination else { return bad("X-Consignee names no dest\n") };
        let ttl = header(&head.headers, "req-deadline-ms").and_then(parse_number::<u32>);
        let ttl = ttl.map(|ms| Micros::from(ms) * 1000);
        let ttl = ttl.filter(|ttl| *ttl <= self.classes[class].1 + DEADLINE_SLACK);
        let Some(ttl) = ttl else { return bad("Req-Deadline-Ms is no time that the class has\n") };
        let key = match head.headers.get("idempotency-key") {
            Some(_) => match header(&head.headers, "idempotency-key") {
                Some(key) => Some(key.to_owned()),
                None => return bad("Idempotency-Key can't be read\n"),
            },
            None => None,
        };
        let id = id.to_owned();
        let Ok(Ok(body)) = timeout(BODY_TIMEOUT, Limited::new(body, MAX_BODY_BYTES).collect()).await else {
            return bad("the body can't be read, or not in time\n");
        };
        let deadline = received_at + ttl;
        let class_name = self.classes[class].0.clone();
        let body = body.to_bytes();
        let accepted =
            Arc::new(AcceptedMessage { id: id.clone(), key, class: class_name, destination, deadline, body });
        let request = increment(&self.requests);
        let (answer, answered) = oneshot::channel();
        let to = self.forward(Submission { message: accepted, class, request, answer });
        let mut withdrawal = Withdrawal { id: Some(id), request, destination, to, frontend: self };
        let answered = answered.await;
        withdrawal.id = None;
        match answered {
            Ok(Answer::Accepted) => plain_text(StatusCode::ACCEPTED, ""),
            Ok(Answer::Delivered) => plain_text(StatusCode::OK, ""),
            Ok(Answer::Rejected(retry_after)) => {
                let mut response = plain_text(StatusCode::SERVICE_UNAVAILABLE, "refused\n");
                if retry_after > 0 {
                    let seconds = format!("{:.3}", retry_after as f64 / 1e6);
                    if let Ok(seconds) = HeaderValue::from_str(&seconds) {
                        response.headers_mut().insert(RETRY_AFTER, seconds);
                    }
                }
                response
            }
            Ok(Answer::Failed) | Err(_) => plain_text(StatusCode::INTERNAL_SERVER_ERROR, "failed\n"),
        }
    }
}
