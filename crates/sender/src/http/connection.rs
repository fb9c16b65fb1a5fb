//! One connection to an HTTP server, used for one request at a time: what passes over it is noted, so that how a
//! request fared is told by whether its last byte can have left.

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
use tokio::time::{sleep, timeout};

use crate::ports::MAX_BODY_BYTES;

/// A head of an answer that has more bytes is spoilt.
const HEAD_LIMIT: usize = 16 * 1024;
/// Endpoints write an answer in one go: what has not come so long after its first byte is spoilt.
pub(super) const BODY_TIMEOUT: Duration = Duration::from_millis(500);

/// What an answer's first line says, told from its bytes as they come: it holds although the rest be spoilt.
#[derive(Debug, Default)]
pub(super) struct FirstLine {
    line: Vec<u8>,
    /// The head of an interim answer is being passed over.
    interim: bool,
    /// Bytes of the answer itself have come.
    begun: bool,
    /// Its status, or none where it is no first line.
    pub(super) status: Option<Option<u16>>,
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
pub(super) struct Traffic {
    pub(super) written: Cell<u64>,
    pub(super) heard: RefCell<FirstLine>,
    /// Nothing may come now: what does spoils the connection.
    quiet: Cell<bool>,
}

/// A stream that notes what passes over it.
struct Counted {
    stream: TcpStream,
    passed: Rc<Traffic>,
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

/// Tells in the end whether the last byte may leave.
pub(super) type SendPermit = Pin<Box<dyn Future<Output = bool>>>;

/// The last byte may not leave any more.
#[derive(Debug)]
struct Stayed;

impl std::fmt::Display for Stayed {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the last byte stays here")
    }
}

impl std::error::Error for Stayed {}

/// A request's body whose last byte waits until the connection has had time to break: a call begins with its
/// last byte, so that what breaks before has not run and may go again. Guards what must not run twice against
/// every loss that shows as soon as something is written: a connection that was closed while it stood idle, one
/// that a firewall or load balancer has forgotten, a process that ended. It does harm where the way there and
/// back takes longer (the time is lost, nothing is heard), and to calls that are short beside it. An empty body
/// has no byte to hold back.
struct Paced {
    rest: Bytes,
    hold: Duration,
    /// Asked once the hold is over.
    leave: Option<SendPermit>,
    waiting: Option<SendPermit>,
    /// Set where the last byte stays here.
    stayed: Rc<Cell<bool>>,
    /// Set along with the last byte.
    may_run: Rc<Cell<bool>>,
    passed: Rc<Traffic>,
}

impl Body for Paced {
    type Data = Bytes;
    type Error = Stayed;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<Option<Result<Frame<Bytes>, Stayed>>> {
        if self.rest.is_empty() {
            return Poll::Ready(None);
        }
        if !self.hold.is_zero() && self.waiting.is_none() {
            let first = self.rest.len() - 1;
            let (hold, leave) = (sleep(self.hold), self.leave.take());
            self.waiting = Some(Box::pin(async move {
                hold.await;
                match leave {
                    Some(leave) => leave.await,
                    None => true,
                }
            }));
            if first > 0 {
                return Poll::Ready(Some(Ok(Frame::data(self.rest.split_to(first)))));
            }
        }
        if let Some(waiting) = &mut self.waiting
            && !ready!(waiting.as_mut().poll(cx))
        {
            self.stayed.set(true);
            return Poll::Ready(Some(Err(Stayed)));
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

type Wire = Pin<Box<http1::Connection<TokioIo<Counted>, Paced>>>;

/// A connection for one request at a time. It is driven only along with a request, so that dropping it
/// closes its socket there and then.
pub struct Connection {
    sender: SendRequest<Paced>,
    driver: Option<Wire>,
    /// It ended otherwise than by an orderly close.
    failed: bool,
    pub(super) traffic: Rc<Traffic>,
}

/// Why there is no answer to a request.
pub enum ExchangeError {
    /// The connection broke.
    Broken,
    /// What came can't be read as an answer.
    InvalidResponse,
    /// Its last byte was held back, and then was not to leave.
    NotSent,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    /// Fails when none is made.
    pub async fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let passed = Rc::new(Traffic::default());
        let io = TokioIo::new(Counted { stream, passed: passed.clone() });
        let mut http = hyper::client::conn::http1::Builder::new();
        let (sender, driver) = http.max_buf_size(HEAD_LIMIT).handshake(io).await.map_err(io::Error::other)?;
        Ok(Self { sender, driver: Some(Box::pin(driver)), failed: false, traffic: passed })
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
        self.traffic.quiet.set(true);
        let (driver, failed) = (&mut self.driver, &mut self.failed);
        poll_fn(|cx| {
            Self::step(driver, failed, cx);
            Poll::Ready(())
        })
        .await;
        self.traffic.quiet.set(false);
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
    pub async fn send(&mut self, request: Request<Bytes>) -> Result<Response<Incoming>, ExchangeError> {
        let at_once = Box::pin(std::future::ready(true));
        self.send_paced(request, Duration::ZERO, false, &Rc::default(), at_once).await
    }

    /// Sends a request, its last byte after that time and if `leave` says yes then, and waits for the head of its answer. `may_run` is set
    /// as soon as the last byte can go. On a connection used before, what comes until then answers another call.
    ///
    /// # Errors
    /// Fails when the connection breaks, or what comes is no answer.
    pub(super) async fn send_paced(
        &mut self,
        request: Request<Bytes>,
        hold: Duration,
        reused: bool,
        may_run: &Rc<Cell<bool>>,
        leave: SendPermit,
    ) -> Result<Response<Incoming>, ExchangeError> {
        *self.traffic.heard.borrow_mut() = FirstLine::default();
        let passed = self.traffic.clone();
        may_run.set(request.body().is_empty());
        passed.quiet.set(reused && !hold.is_zero() && !may_run.get());
        let (may_run, quiet) = (may_run.clone(), passed.clone());
        let stayed = Rc::new(Cell::new(false));
        let request = request.map(|rest| Paced {
            rest,
            hold,
            leave: Some(leave),
            waiting: None,
            stayed: stayed.clone(),
            may_run,
            passed: quiet,
        });
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
                late.set(begun().then(|| sleep(BODY_TIMEOUT)));
            }
            match late.as_mut().as_pin_mut() {
                Some(late) => late.poll(cx).map(|()| None),
                None => Poll::Pending,
            }
        });
        match answer.await {
            Some(Ok(answer)) => Ok(answer),
            Some(Err(_)) if stayed.get() => Err(ExchangeError::NotSent),
            Some(Err(_)) if begun() => Err(ExchangeError::InvalidResponse),
            Some(Err(_)) => Err(ExchangeError::Broken),
            None => Err(ExchangeError::InvalidResponse),
        }
    }

    /// Reads the rest of an answer.
    ///
    /// # Errors
    /// Fails when it breaks off, is too long or does not come.
    pub async fn body(&mut self, body: Incoming) -> Result<Bytes, ()> {
        self.body_within(body, MAX_BODY_BYTES, BODY_TIMEOUT).await
    }

    /// Reads the rest of an answer that may be so long and take so long.
    ///
    /// # Errors
    /// As [`Self::body`].
    pub async fn body_within(&mut self, body: Incoming, limit: usize, within: Duration) -> Result<Bytes, ()> {
        if body.size_hint().lower() > limit as u64 {
            return Err(());
        }
        let mut whole = pin!(timeout(within, Limited::new(body, limit).collect()));
        let (driver, failed) = (&mut self.driver, &mut self.failed);
        let whole = poll_fn(|cx| {
            Self::step(driver, failed, cx);
            whole.as_mut().poll(cx)
        });
        whole.await.map_err(|_| ())?.map(|body| body.to_bytes()).map_err(|_| ())
    }
}

#[cfg(test)]
mod tests;
