//! What clients ask: to take a message, and whether the sender is ready.

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

/// Guards the places for clients: a connection that brings no request for so long is closed.
const HEAD_WITHIN: Duration = Duration::from_millis(2200);
/// How long a request's body may take; who hands a message in waits no longer than that.
const BODY_WITHIN: Duration = Duration::from_millis(400);
/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1024;
/// A head of more bytes is not read to its end.
const HEAD_LIMIT: usize = 16 * 1024;
/// How long one waits for the rest of a request on a connection that is to be closed, before one looks again.
const POLL_INTERVAL: Micros = 50_000;
/// How long one looks for a place before one looks again.
const PLACE_WITHIN: Duration = Duration::from_millis(5);
/// A deadline is told in whole milliseconds: it may be so much longer than its class's.
const DEADLINE_SLACK: Micros = 1000;

/// A client's connection, as far as others may have to take its place.
struct Place {
    /// When its last request ended, or it came.
    since: Cell<Instant>,
    /// Requests of its that were answered.
    answered: Cell<u64>,
    /// A request is open on it.
    asking: Cell<bool>,
    /// When the first bytes came of one that is not read whole yet.
    begun: Cell<Option<Instant>>,
    /// It is to be closed if no request is open on it, and was told so.
    close: Notify,
    told: Cell<bool>,
}

/// What all client connections share.
pub struct HttpFrontend {
    address: SocketAddr,
    /// Connections at a time.
    most: Cell<usize>,
    clock: Clock,
    /// Each class's name and its longest deadline.
    classes: Vec<(Arc<str>, Micros)>,
    inbound: UnboundedSender<Inbound>,
    /// The way to other cores, which get their part of the connections and what is theirs of the messages.
    post: Option<Rc<ShardHandle>>,
    door: watch::Receiver<AdmissionGate>,
    /// The platform's own listening socket, until it is listened on.
    inherited: Cell<Option<std::net::TcpListener>>,
    places: RefCell<HashMap<u64, Rc<Place>>>,
    freed: Notify,
    connections: Cell<u64>,
    requests: Cell<u64>,
}

impl Place {
    /// Whether something is owed on it, or will be in a moment. Guards a request of which a part was read when its connection
    /// is to be closed: its client can't tell that from one that was read whole. One that takes longer than clients wait is
    /// none.
    fn is_asking(&self) -> bool {
        self.asking.get() || self.begun.get().is_some_and(|begun| begun.elapsed() < BODY_WITHIN)
    }
}

/// A client's stream, which notes when a request begins.
struct Heard {
    stream: TcpStream,
    place: Rc<Place>,
}

impl AsyncRead for Heard {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let poll = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > before && self.place.begun.get().is_none() {
            self.place.begun.set(Some(Instant::now()));
        }
        poll
    }
}

impl AsyncWrite for Heard {
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

/// Tells the driver that a client went away before its answer.
struct Withdrawal<'a> {
    id: Option<String>,
    request: u64,
    destination: u16,
    /// Whom the message was handed to: guards a withdrawal against overtaking its message.
    to: Option<sharding::ShardId>,
    intake: &'a HttpFrontend,
}

impl Drop for Withdrawal<'_> {
    fn drop(&mut self) {
        let Some(id) = self.id.take() else { return };
        let (request, destination) = (self.request, self.destination);
        match (self.to, &self.intake.post) {
            (Some(to), Some(post)) => post.send(to, ShardMessage::Withdrawn { id, request, destination }),
            _ => drop(self.intake.inbound.send(Inbound::Withdrawn { id, request, destination })),
        }
    }
}

/// Marks a connection as one with an open request until it is dropped.
struct Asking<'a>(&'a Place);

impl<'a> Asking<'a> {
    fn new(place: &'a Place) -> Self {
        place.asking.set(true);
        Self(place)
    }
}

impl Drop for Asking<'_> {
    fn drop(&mut self) {
        self.0.asking.set(false);
        self.0.begun.set(None);
        self.0.answered.set(self.0.answered.get() + 1);
        self.0.since.set(Instant::now());
    }
}

fn plain(status: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    response
}

/// What no message can be; its connection is closed, for what follows on it can't be trusted either.
fn told_off(status: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    let mut response = plain(status, text);
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}

fn next(counter: &Cell<u64>) -> u64 {
    counter.set(counter.get() + 1);
    counter.get()
}

/// A whole number of digits alone.
fn whole<T: std::str::FromStr>(text: &str) -> Option<T> {
    text.bytes().all(|b| b.is_ascii_digit()).then(|| text.parse().ok()).flatten()
}

/// A header's text, if it is there and visible ASCII.
fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
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
        self.places.borrow().len()
    }

    fn set_max_clients(&self, most: usize) {
        self.set_most(most);
    }

    fn adopt(self: Rc<Self>, stream: std::net::TcpStream) {
        match stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream)) {
            Ok(stream) => {
                // As where it is listened: one that is idle makes way.
                if self.open_connections() >= self.most.get() {
                    self.free_place();
                }
                self.place(stream);
            }
            Err(_) => self.gone(),
        }
    }
}

impl HttpFrontend {
    /// A front that is to listen on that address, or on a socket that listens there already, with so many connections
    /// at a time; it does not take any yet.
    pub fn new(
        (address, inherited, most): (SocketAddr, Option<std::net::TcpListener>, usize),
        clock: Clock,
        classes: Vec<(Arc<str>, Micros)>,
        inbound: UnboundedSender<Inbound>,
        post: Option<Rc<ShardHandle>>,
        door: watch::Receiver<AdmissionGate>,
    ) -> Self {
        let (places, freed) = (RefCell::default(), Notify::new());
        let (connections, requests) = (Cell::new(0), Cell::new(0));
        let (inherited, most) = (Cell::new(inherited), Cell::new(most));
        Self {
            address,
            most,
            clock,
            classes,
            inbound,
            post,
            door,
            inherited,
            places,
            freed,
            connections,
            requests,
        }
    }

    /// So many connections at a time, from now on; of those there are too many, idle ones are closed.
    pub fn set_most(&self, most: usize) {
        self.most.set(most);
        (most..self.open_connections()).for_each(|_| self.free_place());
    }

    /// Requests are counted on from there.
    pub fn count_from(&self, requests: u64) {
        self.requests.set(requests);
    }

    /// Takes connections until another process does.
    async fn listen(self: Rc<Self>, listener: TcpListener) {
        let mut door = self.door.clone();
        loop {
            while self.open_connections() >= self.most.get() {
                self.free_place();
                let _ = timeout(PLACE_WITHIN, self.freed.notified()).await;
            }
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = door.wait_for(|door| !door.accepts()) => return,
            };
            let Ok((stream, _)) = accepted else {
                // Out of descriptors, say: it must not spin.
                tokio::time::sleep(Duration::from_millis(10)).await;
                continue;
            };
            if let Some(stream) = self.deal(stream) {
                self.place(stream);
            }
        }
    }

    /// Gives a connection to the core that has the fewest, which may be this one: then it is told.
    fn deal(&self, stream: TcpStream) -> Option<TcpStream> {
        let Some(post) = &self.post else { return Some(stream) };
        let to = post.group().deal();
        if to == post.id() {
            return Some(stream);
        }
        let dealt = stream.into_std().map_err(drop).and_then(|stream| {
            // A core that takes nothing in gets no clients: they come again.
            post.try_send(to, ShardMessage::Client(stream)).map_err(drop)
        });
        if dealt.is_err() {
            post.group().client_gone(to);
        }
        None
    }

    /// A client's connection is gone.
    fn gone(&self) {
        if let Some(post) = &self.post {
            post.group().client_gone(post.id());
        }
        self.freed.notify_one();
    }

    /// Serves a client's connection.
    fn place(self: &Rc<Self>, stream: TcpStream) {
        let place = Rc::new(Place {
            since: Cell::new(Instant::now()),
            answered: Cell::new(0),
            asking: Cell::new(false),
            begun: Cell::new(None),
            close: Notify::new(),
            told: Cell::new(false),
        });
        let number = next(&self.connections);
        self.places.borrow_mut().insert(number, place.clone());
        let intake = self.clone();
        tokio::task::spawn_local(async move {
            intake.serve(stream, &place).await;
            intake.places.borrow_mut().remove(&number);
            intake.gone();
        });
    }

    /// Hands a message to the core that owns its destination, as the owners are now; tells which, if it is another.
    fn hand_on(&self, message: Submission) -> Option<sharding::ShardId> {
        let other = self.post.as_ref().map(|post| (post, post.group().owner(message.message.destination)));
        match other.filter(|(post, owner)| *owner != post.id()) {
            Some((post, owner)) => {
                if let Err(ShardMessage::Submitted(message)) =
                    post.try_send(owner, ShardMessage::Submitted(message))
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

    /// Guards against connections that keep others out: the one that has been longest without an open request
    /// goes. One that was answered goes before those that never asked: its client just opens another, while the
    /// first request on a new one, if it is on its way, would fail.
    fn free_place(&self) {
        let places = self.places.borrow();
        let idle = places.values().filter(|place| !place.is_asking() && !place.told.get());
        if let Some(place) = idle.min_by_key(|place| (place.answered.get() == 0, place.since.get())) {
            place.told.set(true);
            place.close.notify_one();
        }
    }

    async fn serve(&self, stream: TcpStream, place: &Rc<Place>) {
        let _ = stream.set_nodelay(true);
        let stream = Heard { stream, place: place.clone() };
        let came = self.clock.now();
        let mut door = self.door.clone();
        door.mark_changed();
        let service = service_fn(|request| self.answer(request, place));
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_WITHIN)
            .max_buf_size(HEAD_LIMIT)
            .serve_connection(TokioIo::new(stream), service);
        let mut connection = std::pin::pin!(connection);
        let mut idle_until = None;
        loop {
            let until = self.clock.instant(idle_until.unwrap_or(Micros::MAX / 2));
            tokio::select! {
                biased;
                _ = connection.as_mut() => return,
                () = place.close.notified() => {
                    place.told.set(false);
                    if !place.is_asking() {
                        return;
                    }
                }
                Ok(()) = door.changed() => {
                    let now = *door.borrow_and_update();
                    let half_read = place.is_asking() && !place.asking.get();
                    let asked = place.asking.get() || place.answered.get() > 0 && !half_read;
                    // A connection that comes late has its moment too: while clients are sent away a new one gets one
                    // answer, for they need the time to go elsewhere.
                    idle_until = now.close_idle_at().map(|at| at.max(came + admin::gate::LINGER));
                    match now {
                        AdmissionGate::Closing if asked => connection.as_mut().graceful_shutdown(),
                        // Guards the first request on a new connection, which may be on its way or lie unread, and one of
                        // which a part was read: the library would close those without a look. Its answer is the last.
                        AdmissionGate::Closing => idle_until = Some(self.clock.now() + admin::gate::LINGER),
                        _ => {}
                    }
                }
                () = tokio::time::sleep_until(until), if idle_until.is_some() => {
                    if !place.is_asking() {
                        return;
                    }
                    // Its answer is the last; of one that is not read whole yet it may never come.
                    idle_until = (!place.asking.get()).then(|| self.clock.now() + POLL_INTERVAL);
                }
            }
        }
    }

    async fn answer(
        &self,
        request: Request<Incoming>,
        place: &Place,
    ) -> Result<Response<Full<Bytes>>, Infallible> {
        let _asking = Asking::new(place);
        let mut response = match (request.method(), request.uri().path()) {
            (&Method::GET, "/ready") if !self.door.borrow().ready() => {
                plain(StatusCode::SERVICE_UNAVAILABLE, "clients are sent away\n")
            }
            (&Method::GET, "/ready") => plain(StatusCode::OK, "ready\n"),
            (&Method::POST, _) => self.hand_in(request).await,
            _ => told_off(StatusCode::NOT_FOUND, "not found\n"),
        };
        if self.door.borrow().last_answer() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        Ok(response)
    }

    /// Guards against anything that a client may write: what can't be meant as a message gets 400.
    async fn hand_in(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let came = self.clock.now().saturating_sub(stall_detector::behind().as_micros() as Micros);
        let (head, body) = request.into_parts();
        let bad = |what| told_off(StatusCode::BAD_REQUEST, what);
        // Guards against a second request hidden in the body: beside it the library drops a Content-Length, or
        // has dropped one, so that the two can't be told from one.
        if head.headers.contains_key(TRANSFER_ENCODING) {
            return bad("a body comes with Content-Length alone\n");
        }
        if body.size_hint().lower() > MAX_BODY_BYTES as u64 {
            return told_off(StatusCode::PAYLOAD_TOO_LARGE, "the body is over 64 KiB\n");
        }
        let Some(id) = text(&head.headers, "req-id") else { return bad("Req-Id is missing\n") };
        let first = head.uri.path().trim_start_matches('/').split('/').next().unwrap_or_default();
        let kind = text(&head.headers, "req-kind").unwrap_or(first);
        let named = |class: &(Arc<str>, Micros)| *class.0 == *kind && *class.0 == *first;
        let Some(class) = self.classes.iter().position(named) else {
            return bad("Req-Kind or the path names no class\n");
        };
        let destination = text(&head.headers, "x-consignee").and_then(|pairs| {
            let mut pairs = pairs.split([',', ';']).filter_map(|pair| pair.split_once('='));
            whole(pairs.find(|(name, _)| name.trim() == "dest")?.1.trim())
        });
        let Some(destination) = destination else { return bad("X-Consignee names no dest\n") };
        let left = text(&head.headers, "req-deadline-ms").and_then(whole::<u32>);
        let left = left.map(|ms| Micros::from(ms) * 1000);
        let left = left.filter(|left| *left <= self.classes[class].1 + DEADLINE_SLACK);
        let Some(left) = left else { return bad("Req-Deadline-Ms is no time that the class has\n") };
        let key = match head.headers.get("idempotency-key") {
            Some(_) => match text(&head.headers, "idempotency-key") {
                Some(key) => Some(key.to_owned()),
                None => return bad("Idempotency-Key can't be read\n"),
            },
            None => None,
        };
        let id = id.to_owned();
        let Ok(Ok(body)) = timeout(BODY_WITHIN, Limited::new(body, MAX_BODY_BYTES).collect()).await else {
            return bad("the body can't be read, or not in time\n");
        };
        let deadline = came + left;
        let class_name = self.classes[class].0.clone();
        let body = body.to_bytes();
        let taken =
            Arc::new(AcceptedMessage { id: id.clone(), key, class: class_name, destination, deadline, body });
        let request = next(&self.requests);
        let (answer, answered) = oneshot::channel();
        let to = self.hand_on(Submission { message: taken, class, request, answer });
        let mut withdrawal = Withdrawal { id: Some(id), request, destination, to, intake: self };
        let answered = answered.await;
        withdrawal.id = None;
        match answered {
            Ok(Answer::Accepted) => plain(StatusCode::ACCEPTED, ""),
            Ok(Answer::Delivered) => plain(StatusCode::OK, ""),
            Ok(Answer::Rejected(again)) => {
                let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "refused\n");
                if again > 0 {
                    let seconds = format!("{:.3}", again as f64 / 1e6);
                    if let Ok(seconds) = HeaderValue::from_str(&seconds) {
                        response.headers_mut().insert(RETRY_AFTER, seconds);
                    }
                }
                response
            }
            Ok(Answer::Failed) | Err(_) => plain(StatusCode::INTERNAL_SERVER_ERROR, "failed\n"),
        }
    }
}
