//! What clients ask: to take a message, and whether the sender is ready.

use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderMap, HeaderValue, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use myrtleyard::interface::Micros;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc::UnboundedSender, oneshot, watch};

use super::journal::Taken;
use super::{BODY_LIMIT, Clock, Inbound};

/// Guards the places for clients: a connection that brings no request for so long is closed.
const HEAD_WITHIN: Duration = Duration::from_secs(60);

/// A message that a client hands in, and where its answer goes.
#[derive(Debug)]
pub struct HandedIn {
    /// The message.
    pub taken: Taken,
    /// Its class's position in the settings.
    pub class: usize,
    /// Waits for the answer.
    pub answer: oneshot::Sender<Answer>,
}

/// What the client hears.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// The sender owes the message its end.
    Taken,
    /// Handing it in again is harmless, best after so many microseconds.
    Refused(Micros),
    /// Failed.
    Failed,
}

/// What all client connections share.
pub struct Intake {
    clock: Clock,
    classes: Vec<String>,
    inbound: UnboundedSender<Inbound>,
    stopping: watch::Receiver<bool>,
    open: Cell<usize>,
}

/// Tells the driver that a client went away before its answer.
struct Withdrawal<'a> {
    id: Option<String>,
    inbound: &'a UnboundedSender<Inbound>,
}

impl Drop for Withdrawal<'_> {
    fn drop(&mut self) {
        if let Some(id) = self.id.take() {
            let _ = self.inbound.send(Inbound::Withdrawn(id));
        }
    }
}

fn plain(status: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    response
}

/// A header's text, if it is there and visible ASCII.
fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok().map(str::trim).filter(|text| !text.is_empty())
}

impl Intake {
    /// What connections share.
    pub fn new(
        clock: Clock,
        classes: Vec<String>,
        inbound: UnboundedSender<Inbound>,
        stopping: watch::Receiver<bool>,
    ) -> Self {
        Self { clock, classes, inbound, stopping, open: Cell::new(0) }
    }

    /// Client connections that are open.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// Takes connections for as long as the process runs, `most` at a time.
    pub async fn listen(self: Rc<Self>, listener: TcpListener, most: usize) {
        let places = std::sync::Arc::new(Semaphore::new(most));
        loop {
            let Ok(place) = places.clone().acquire_owned().await else { return };
            let Ok((stream, _)) = listener.accept().await else {
                // Out of descriptors, say: it must not spin.
                tokio::time::sleep(Duration::from_millis(10)).await;
                continue;
            };
            let intake = self.clone();
            tokio::task::spawn_local(async move {
                intake.open.set(intake.open.get() + 1);
                intake.serve(stream).await;
                intake.open.set(intake.open.get() - 1);
                drop(place);
            });
        }
    }

    async fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut stopping = self.stopping.clone();
        let already = *stopping.borrow_and_update();
        let service = service_fn(|request| self.answer(request));
        // While stopping, a new connection gets one answer: clients need the time to go elsewhere.
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_WITHIN)
            .keep_alive(!already)
            .serve_connection(TokioIo::new(stream), service);
        let mut connection = std::pin::pin!(connection);
        loop {
            tokio::select! {
                _ = connection.as_mut() => return,
                Ok(()) = stopping.changed() => connection.as_mut().graceful_shutdown(),
            }
        }
    }

    async fn answer(&self, request: Request<Incoming>) -> Result<Response<Full<Bytes>>, Infallible> {
        Ok(match (request.method(), request.uri().path()) {
            (&Method::GET, "/ready") if *self.stopping.borrow() => {
                plain(StatusCode::SERVICE_UNAVAILABLE, "stopping\n")
            }
            (&Method::GET, "/ready") => plain(StatusCode::OK, "ready\n"),
            (&Method::POST, _) => self.hand_in(request).await,
            _ => plain(StatusCode::NOT_FOUND, "not found\n"),
        })
    }

    /// Guards against anything that a client may write: what can't be meant as a message gets 400.
    async fn hand_in(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let came = self.clock.now();
        let (head, body) = request.into_parts();
        let bad = |what| plain(StatusCode::BAD_REQUEST, what);
        let Some(id) = text(&head.headers, "req-id") else { return bad("Req-Id is missing\n") };
        let first = head.uri.path().trim_start_matches('/').split('/').next().unwrap_or_default();
        let kind = text(&head.headers, "req-kind").unwrap_or(first);
        let Some(class) = self.classes.iter().position(|name| name == kind && name == first) else {
            return bad("Req-Kind or the path names no class\n");
        };
        let destination = text(&head.headers, "x-consignee").and_then(|pairs| {
            let mut pairs = pairs.split([',', ';']).filter_map(|pair| pair.split_once('='));
            pairs.find(|(name, _)| name.trim() == "dest")?.1.trim().parse().ok()
        });
        let Some(destination) = destination else { return bad("X-Consignee names no dest\n") };
        let left = text(&head.headers, "req-deadline-ms").and_then(|ms| ms.parse::<u32>().ok());
        let Some(left) = left else { return bad("Req-Deadline-Ms is no time\n") };
        let key = match head.headers.get("idempotency-key") {
            Some(_) => match text(&head.headers, "idempotency-key") {
                Some(key) => Some(key.to_owned()),
                None => return bad("Idempotency-Key can't be read\n"),
            },
            None => None,
        };
        let id = id.to_owned();
        let Ok(body) = Limited::new(body, BODY_LIMIT).collect().await else {
            return bad("the body can't be read or is over 64 KiB\n");
        };
        let deadline = came + Micros::from(left) * 1000;
        let class_name = kind.to_owned();
        let body = body.to_bytes();
        let taken = Taken { id: id.clone(), key, class: class_name, destination, deadline, body };
        let mut withdrawal = Withdrawal { id: Some(id), inbound: &self.inbound };
        let (answer, answered) = oneshot::channel();
        let _ = self.inbound.send(Inbound::HandedIn(HandedIn { taken, class, answer }));
        let answered = answered.await;
        withdrawal.id = None;
        match answered {
            Ok(Answer::Taken) => plain(StatusCode::ACCEPTED, ""),
            Ok(Answer::Refused(again)) => {
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
