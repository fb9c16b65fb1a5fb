//! A connection to an HTTP server, used for one request at a time. It observes its traffic, so that the outcome of a
//! request can be determined by whether its last byte may have been sent.

use std::cell::{Cell, RefCell};
use std::future::{Future, poll_fn};
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep, timeout};

use super::connection_reuse::{AnswerBytes, AnswerHistory, CopyCriteria, CopyFilter};
use super::response_filter::ResponseFilter;
use crate::ports::MAX_BODY_BYTES;

/// Maximum size of a response head, in bytes; a longer one is invalid.
const HEAD_LIMIT: usize = 16 * 1024;
/// Time from the first byte of a response to its end. Endpoints write a response in one go, so that a slower one is invalid.
pub(super) const BODY_TIMEOUT: Duration = Duration::from_millis(500);

/// Parses the status line of a response from its bytes as they arrive. The status is valid even if the rest of the response
/// is not.
#[derive(Debug, Default)]
pub(super) struct StatusLine {
    line: Vec<u8>,
    /// The head of an interim (1xx) response is being skipped.
    interim: bool,
    /// Bytes of the final response were received.
    started: bool,
    /// The status once the line was received; the inner `None` where it is not a valid status line.
    pub(super) status: Option<Option<u16>>,
}

impl StatusLine {
    /// Length of `HTTP/1.1 200` and the byte after it.
    const PREFIX_BYTES: usize = 13;

    /// Observes received bytes. Returns the offset after the last interim response that ends in them, if one does.
    fn observe(&mut self, bytes: &[u8]) -> Option<usize> {
        let mut interim_end = None;
        for (at, byte) in bytes.iter().enumerate() {
            if self.status.is_some() {
                return interim_end;
            }
            self.started = !self.interim;
            if self.line.len() < Self::PREFIX_BYTES {
                self.line.push(*byte);
            }
            let empty = self.line == b"\n" || self.line == b"\r\n";
            let complete = self.line.len() == Self::PREFIX_BYTES || *byte == b'\n';
            if !self.interim && complete && !empty {
                match self.parse_status() {
                    Some(100..=199) => (self.interim, self.started) = (true, false),
                    status => self.status = Some(status),
                }
            } else if self.interim && empty {
                self.interim = false;
                interim_end = Some(at + 1);
            }
            if *byte == b'\n' {
                self.line.clear();
            }
        }
        interim_end
    }

    fn parse_status(&self) -> Option<u16> {
        let digits = self.line.strip_prefix(b"HTTP/1.1 ").or(self.line.strip_prefix(b"HTTP/1.0 "))?;
        let (digits, rest) = digits.split_at_checked(3)?;
        let terminated = matches!(rest.first(), Some(b' ' | b'\r' | b'\n'));
        std::str::from_utf8(digits).ok()?.parse().ok().filter(|_| terminated)
    }
}

/// The traffic observed on a stream.
#[derive(Debug, Default)]
pub(super) struct Traffic {
    pub(super) written: Cell<u64>,
    pub(super) status_line: RefCell<StatusLine>,
    /// The response that is being received, without interim responses ahead of it.
    answer: RefCell<AnswerBytes>,
    /// Holds back a response that may be a copy; `None` on a connection without an earlier response.
    filter: RefCell<Option<ResponseFilter>>,
    /// When the last byte of the request was handed to the connection.
    last_byte_at: Cell<Option<Instant>>,
    /// Nothing may arrive now: any byte fails the connection.
    expect_silence: Cell<bool>,
    /// Is told of the next byte that is received.
    first_byte: RefCell<Option<oneshot::Sender<()>>>,
}

impl Traffic {
    /// Prepares for the next response.
    fn expect_response(&self, filter: Option<CopyFilter>) {
        self.status_line.take();
        self.answer.take();
        self.last_byte_at.take();
        self.filter.replace(filter.map(ResponseFilter::new));
    }

    /// The time since the last byte of the request was handed to the connection; zero if it wasn't yet.
    fn since_last_byte(&self) -> Duration {
        self.last_byte_at.get().map_or(Duration::ZERO, |last_byte_at| last_byte_at.elapsed())
    }

    /// Whether the only response that arrived may be a second copy of an earlier one.
    pub(super) fn response_is_unconfirmed(&self) -> bool {
        self.filter.borrow().as_ref().is_some_and(ResponseFilter::is_unconfirmed)
    }

    /// Records received bytes.
    fn received(&self, bytes: &[u8]) {
        if !bytes.is_empty()
            && let Some(first_byte) = self.first_byte.borrow_mut().take()
        {
            let _ = first_byte.send(());
        }
        let interim_end = self.status_line.borrow_mut().observe(bytes);
        if interim_end.is_some() {
            self.answer.take();
        }
        self.answer.borrow_mut().push(&bytes[interim_end.unwrap_or(0)..]);
    }
}

/// A stream that records its [`Traffic`].
struct ObservedStream {
    stream: TcpStream,
    traffic: Rc<Traffic>,
}

impl ObservedStream {
    /// Reads without what may be a second copy of an earlier response.
    fn poll_read_filtered(&mut self, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        let mut filter = self.traffic.filter.borrow_mut();
        match filter.as_mut().filter(|response| !response.is_done()) {
            Some(response) => {
                response.poll_read(&mut self.stream, || self.traffic.since_last_byte(), cx, buf)
            }
            None => Pin::new(&mut self.stream).poll_read(cx, buf),
        }
    }
}

impl AsyncRead for ObservedStream {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        if self.traffic.expect_silence.get() {
            // Peeks at the socket itself, since the runtime may not know yet of data that has arrived. The result is
            // decisive, also at the end of the stream, so that nothing is written after the endpoint has closed.
            match SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]) {
                Ok(0) => return Poll::Ready(Ok(())),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                _ => return Poll::Ready(Err(io::ErrorKind::InvalidData.into())),
            }
        }
        let before = buf.filled().len();
        let poll = self.poll_read_filtered(cx, buf);
        self.traffic.received(&buf.filled()[before..]);
        poll
    }
}

impl AsyncWrite for ObservedStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context, buf: &[u8]) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.stream).poll_write(cx, buf);
        if let Poll::Ready(Ok(n)) = &poll {
            self.traffic.written.set(self.traffic.written.get() + *n as u64);
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

/// Resolves to whether the last byte may be sent.
pub(super) type SendPermit = Pin<Box<dyn Future<Output = bool>>>;

/// The last byte was withheld, since it may not be sent any more.
#[derive(Debug)]
struct LastByteWithheld;

impl std::fmt::Display for LastByteWithheld {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the last byte of the request is withheld")
    }
}

impl std::error::Error for LastByteWithheld {}

/// A request body whose last byte is delayed until a broken connection has had time to fail. The endpoint starts to
/// process a call with its last byte, so that a call that fails earlier never ran and may be repeated. This protects
/// messages that must not be applied twice from every failure that is noticed once something is written: a connection
/// that was closed while idle, one that a firewall or load balancer has dropped, a process that ended. Costs the delay,
/// which is significant for short calls, and is useless where the round trip takes longer, since the failure is not
/// seen in time. An empty body has no byte to delay.
struct DelayedBody {
    remaining: Bytes,
    last_byte_delay: Duration,
    /// Polled after the delay.
    permit: Option<SendPermit>,
    delayed: Option<SendPermit>,
    /// Set if the last byte was withheld.
    withheld: Rc<Cell<bool>>,
    /// Set when the last byte is handed to the connection.
    may_run: Rc<Cell<bool>>,
    traffic: Rc<Traffic>,
}

impl Body for DelayedBody {
    type Data = Bytes;
    type Error = LastByteWithheld;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, LastByteWithheld>>> {
        if self.remaining.is_empty() {
            return Poll::Ready(None);
        }
        if !self.last_byte_delay.is_zero() && self.delayed.is_none() {
            let all_but_last = self.remaining.len() - 1;
            let (last_byte_delay, permit) = (sleep(self.last_byte_delay), self.permit.take());
            self.delayed = Some(Box::pin(async move {
                last_byte_delay.await;
                match permit {
                    Some(permit) => permit.await,
                    None => true,
                }
            }));
            if all_but_last > 0 {
                return Poll::Ready(Some(Ok(Frame::data(self.remaining.split_to(all_but_last)))));
            }
        }
        if let Some(delayed) = &mut self.delayed
            && !ready!(delayed.as_mut().poll(cx))
        {
            self.withheld.set(true);
            return Poll::Ready(Some(Err(LastByteWithheld)));
        }
        self.may_run.set(true);
        self.traffic.last_byte_at.set(Some(Instant::now()));
        self.traffic.expect_silence.set(false);
        Poll::Ready(Some(Ok(Frame::data(std::mem::take(&mut self.remaining)))))
    }

    fn is_end_stream(&self) -> bool {
        self.remaining.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.remaining.len() as u64)
    }
}

type Driver = Pin<Box<http1::Connection<TokioIo<ObservedStream>, DelayedBody>>>;

/// A connection for one request at a time. It is polled only as part of a request and has no task of its own, so that
/// dropping it closes its socket immediately.
pub struct Connection {
    sender: SendRequest<DelayedBody>,
    driver: Option<Driver>,
    /// It ended with an error, not with an orderly close.
    failed: bool,
    pub(super) traffic: Rc<Traffic>,
    answers: AnswerHistory,
    /// The time from the last byte of the latest request to the head of its response.
    pub(super) answer_time: Duration,
}

/// How a request is sent.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct SendOptions {
    /// Delay between the last byte and the others.
    pub(super) last_byte_delay: Duration,
    /// The connection has carried a request before.
    pub(super) reused: bool,
    /// Which response on a reused connection is held back, since it may be a copy of the one before it. Without them all
    /// are read.
    pub(super) copy_criteria: Option<CopyCriteria>,
    /// Time from the first byte of the response to the end of its head, or none if the caller limits it.
    pub(super) head_timeout: Option<Duration>,
}

/// Why a request has no response.
pub enum ExchangeError {
    /// The connection broke.
    Broken,
    /// The bytes that were received are not a valid response.
    InvalidResponse,
    /// The response may be a second copy of an earlier one, and no other followed in time.
    Unconfirmed,
    /// Its last byte was withheld: after the delay it was not permitted to be sent.
    NotSent,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    /// Fails when the connection can't be established.
    pub async fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let traffic = Rc::new(Traffic::default());
        let io = TokioIo::new(ObservedStream { stream, traffic: traffic.clone() });
        let mut http = hyper::client::conn::http1::Builder::new();
        let (sender, driver) = http.max_buf_size(HEAD_LIMIT).handshake(io).await.map_err(io::Error::other)?;
        Ok(Self {
            sender,
            driver: Some(Box::pin(driver)),
            failed: false,
            traffic,
            answers: AnswerHistory::default(),
            answer_time: Duration::ZERO,
        })
    }

    /// Polls the connection, which reads and writes as far as possible without waiting.
    fn drive(driver: &mut Option<Driver>, failed: &mut bool, cx: &mut Context) {
        if let Some(Poll::Ready(result)) = driver.as_mut().map(|driver| driver.as_mut().poll(cx)) {
            *failed = result.is_err();
            *driver = None;
        }
    }

    /// Whether nothing has arrived that would be taken for the response to the next request.
    pub async fn is_silent(&mut self) -> bool {
        self.traffic.expect_silence.set(true);
        let (driver, failed) = (&mut self.driver, &mut self.failed);
        poll_fn(|cx| {
            Self::drive(driver, failed, cx);
            Poll::Ready(())
        })
        .await;
        self.traffic.expect_silence.set(false);
        !self.failed
    }

    /// Whether the connection has not ended, as far as is known.
    pub fn is_open(&self) -> bool {
        self.driver.is_some()
    }

    /// Whether another request may be sent: the server has not closed the connection, as far as is known.
    pub async fn usable(&mut self) -> bool {
        self.is_silent().await && self.driver.is_some() && self.sender.is_ready()
    }

    /// Adds the response that was received completely to the history of this connection. Returns whether it may be a second
    /// copy of the response before it, so that the response to the last request may still arrive.
    pub(super) fn answer_may_be_copy(&mut self) -> bool {
        self.answers.add(self.traffic.answer.take())
    }

    /// Tells `first_byte` once the first byte of the next response has been received.
    pub fn notify_first_byte(&self, first_byte: oneshot::Sender<()>) {
        self.traffic.first_byte.replace(Some(first_byte));
    }

    /// Sends a request and waits for the head of the response. The caller limits the time.
    ///
    /// # Errors
    /// Fails when the connection breaks or the response is invalid.
    pub async fn send(&mut self, request: Request<Bytes>) -> Result<Response<Incoming>, ExchangeError> {
        let at_once = Box::pin(std::future::ready(true));
        self.send_delayed(request, SendOptions::default(), &Rc::default(), at_once).await
    }

    /// Sends a request and waits for the head of the response. The last byte is sent after its delay, and only if `permit`
    /// then resolves to true. `may_run` is set as soon as the last byte can be sent. On a reused connection, bytes
    /// that arrive before that belong to another call and fail the request.
    ///
    /// # Errors
    /// Fails when the connection breaks, the response is invalid or the last byte was withheld.
    pub(super) async fn send_delayed(
        &mut self,
        request: Request<Bytes>,
        options: SendOptions,
        may_run: &Rc<Cell<bool>>,
        permit: SendPermit,
    ) -> Result<Response<Incoming>, ExchangeError> {
        let SendOptions { last_byte_delay, reused, copy_criteria, head_timeout } = options;
        let filter = copy_criteria.filter(|_| reused).and_then(|criteria| self.answers.filter(criteria));
        self.traffic.expect_response(filter);
        let traffic = self.traffic.clone();
        may_run.set(request.body().is_empty());
        if may_run.get() {
            traffic.last_byte_at.set(Some(Instant::now()));
        }
        traffic.expect_silence.set(reused && !last_byte_delay.is_zero() && !may_run.get());
        let (may_run, observed) = (may_run.clone(), traffic.clone());
        let withheld = Rc::new(Cell::new(false));
        let request = request.map(|remaining| DelayedBody {
            remaining,
            last_byte_delay,
            permit: Some(permit),
            delayed: None,
            withheld: withheld.clone(),
            may_run,
            traffic: observed,
        });
        let started = || traffic.status_line.borrow().started;
        let mut sent = pin!(self.sender.send_request(request));
        let mut head_expiry = pin!(None);
        let (driver, failed) = (&mut self.driver, &mut self.failed);
        let answer = poll_fn(|cx| {
            Self::drive(driver, failed, cx);
            if let Poll::Ready(answer) = sent.as_mut().poll(cx) {
                return Poll::Ready(Some(answer));
            }
            let Some(head_timeout) = head_timeout else { return Poll::Pending };
            if head_expiry.is_some() != started() {
                head_expiry.set(started().then(|| sleep(head_timeout)));
            }
            match head_expiry.as_mut().as_pin_mut() {
                Some(head_expiry) => head_expiry.poll(cx).map(|()| None),
                None => Poll::Pending,
            }
        });
        let answer = answer.await;
        self.answer_time = traffic.since_last_byte();
        match answer {
            Some(Ok(answer)) => Ok(answer),
            Some(Err(_)) if withheld.get() => Err(ExchangeError::NotSent),
            Some(Err(_)) if traffic.response_is_unconfirmed() => Err(ExchangeError::Unconfirmed),
            Some(Err(_)) if started() => Err(ExchangeError::InvalidResponse),
            Some(Err(_)) => Err(ExchangeError::Broken),
            None => Err(ExchangeError::InvalidResponse),
        }
    }

    /// Reads the body of a response.
    ///
    /// # Errors
    /// Fails when the body is truncated, too long or not received in time.
    pub async fn body(&mut self, body: Incoming) -> Result<Bytes, ()> {
        timeout(BODY_TIMEOUT, self.body_limited(body, MAX_BODY_BYTES)).await.map_err(|_| ())?
    }

    /// Reads the body of a response of at most `limit` bytes. The caller limits the time.
    ///
    /// # Errors
    /// Fails when the body is truncated or too long.
    pub async fn body_limited(&mut self, body: Incoming, limit: usize) -> Result<Bytes, ()> {
        if body.size_hint().lower() > limit as u64 {
            return Err(());
        }
        let mut collected = pin!(Limited::new(body, limit).collect());
        let (driver, failed) = (&mut self.driver, &mut self.failed);
        let collected = poll_fn(|cx| {
            Self::drive(driver, failed, cx);
            collected.as_mut().poll(cx)
        });
        collected.await.map(|body| body.to_bytes()).map_err(|_| ())
    }
}

#[cfg(test)]
mod tests;
