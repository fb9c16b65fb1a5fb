//! The interfaces between the parts of a sender. Frontends accept messages from clients, the event loop has
//! them decided on and recorded, transports make the calls. A frontend or a transport knows these types and
//! nothing of the other parts.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use decision::interface::{EndpointId, Event, MessageId, Micros, RouteId};
pub use handover::{Answer, AttemptCompleted};
use journal::AcceptedMessage;
use tokio::sync::oneshot;

use crate::discovery::endpoint_list::EndpointUpdate;
use crate::hand_over::socket::HandoverLink;

/// Accepts messages from clients. Sends each to the event loop as [`Inbound::Submitted`], and a client that
/// goes away before its answer as [`Inbound::Withdrawn`]; it answers nobody before the event loop has.
pub trait Frontend {
    /// Begins to listen, once, after recovery. Returns the address.
    ///
    /// # Errors
    /// Fails when the address cannot be bound.
    fn start(self: Rc<Self>) -> io::Result<SocketAddr>;

    /// Requests so far.
    fn requests(&self) -> u64;

    /// Open connections of clients.
    fn open_connections(&self) -> usize;

    /// The most connections of clients from now on.
    fn set_max_clients(&self, most: usize);

    /// Serves a connection that another shard accepted.
    fn adopt(self: Rc<Self>, stream: std::net::TcpStream);
}

/// Makes calls to endpoints. It never decides to make one, nor to retry.
pub trait Transport {
    /// Records an endpoint's address, as the list writes it. False where it is no address for this transport,
    /// which then does not know the endpoint.
    fn set_address(&self, endpoint: EndpointId, address: &str) -> bool;

    /// An endpoint's address, as the list writes it, if this transport knows it.
    fn address(&self, endpoint: EndpointId) -> Option<String>;

    /// Forgets an endpoint's address and closes idle connections to it.
    fn forget(&self, endpoint: EndpointId);

    /// Whether an endpoint accepts new calls. Calls on their way to one that no longer does, of which nothing
    /// has been sent, are not sent.
    fn set_accepting(&self, _endpoint: EndpointId, _open: bool) {}

    /// Starts a call with one message or a batch, each recorded in the journal; it completes with
    /// [`Inbound::CallCompleted`]. Nothing of it is sent while a Retry-After of its route runs.
    fn start(&self, at: (RouteId, EndpointId), parts: Vec<CallMessage>, pace: WriteOptions);

    /// Cancels an attempt so that the endpoint notices, with all messages of its call.
    fn cancel(&self, message: MessageId, attempt: u16);

    /// Checks an endpoint's health; the result is an [`Event::HealthChecked`].
    fn probe(&self, endpoint: EndpointId);

    /// Closes idle connections to an endpoint.
    fn close_idle(&self, endpoint: EndpointId);

    /// Messages written whole to endpoints so far, once for each attempt.
    fn messages_written(&self) -> u64;

    /// Attempts in flight.
    fn attempts_in_flight(&self) -> usize;

    /// Open connections, idle ones included.
    fn connections(&self) -> usize {
        0
    }

    /// The most connections from now on, idle ones included.
    fn set_max_connections(&self, _most: usize) {}

    /// The attempts in flight on connections of this process, and where.
    fn outstanding_attempts(&self) -> Vec<(MessageId, u16, EndpointId)>;
}

/// The most bytes of a body.
pub const MAX_BODY_BYTES: usize = 64 * 1024;

/// What other tasks send to the event loop.
#[derive(Debug)]
pub enum Inbound {
    /// A client submits a message.
    Submitted(Submission),
    /// A client closed before this request was answered: a message that came with it is withdrawn.
    Withdrawn {
        /// The message's `Req-Id`.
        id: String,
        /// The request's number.
        request: u64,
        /// Its destination.
        destination: u16,
    },
    /// The attempts of one call are completed.
    CallCompleted(Vec<AttemptCompleted>),
    /// An event for the decision module.
    Event(Event),
    /// Discovery sent a list of endpoints, or changes of it.
    EndpointsUpdated(EndpointUpdate),
    /// The platform has acknowledged these notifications.
    NotificationsAcknowledged(Vec<MessageId>),
    /// An administrative request, and where its answer goes.
    AdminRequest(admin::call::AdminRequest, oneshot::Sender<AdminResponse>),
    /// A successor asks to take over.
    Successor(HandoverLink),
    /// The status is to be logged.
    Status,
    /// SIGHUP: the configuration is to be read again.
    Reload,
    /// SIGTERM: the process is to shut down.
    Terminate,
}

/// The answer to an administrative request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdminResponse {
    /// The status: 2xx if it was done.
    pub status: u16,
    /// The text.
    pub text: String,
}

/// A message that a client submits, and where its answer goes.
#[derive(Debug)]
pub struct Submission {
    /// The message.
    pub message: Arc<AcceptedMessage>,
    /// Its class's position in the settings.
    pub class: usize,
    /// The request's number, from 1.
    pub request: u64,
    /// Receives the answer.
    pub answer: oneshot::Sender<Answer>,
}

/// A message as a call carries it.
#[derive(Debug, Clone)]
pub struct CallMessage {
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
    /// No answer is waited for after that.
    pub answer_deadline: tokio::time::Instant,
    /// Nothing is sent after that, which is no later than the answer's deadline. Messages of one batch each
    /// have their own.
    pub send_deadline: tokio::time::Instant,
}

/// How a call is written.
#[derive(Debug, Clone, Copy, Default)]
pub struct WriteOptions {
    /// The last byte is sent so long after the others, in microseconds.
    pub last_byte_delay: Micros,
    /// A new connection is used.
    pub new_connection: bool,
}

impl WriteOptions {
    /// The options that suit both of two messages of one batch.
    #[must_use]
    pub fn stricter(self, other: Self) -> Self {
        Self {
            last_byte_delay: self.last_byte_delay.max(other.last_byte_delay),
            new_connection: self.new_connection || other.new_connection,
        }
    }
}

/// Unix time in microseconds that never runs backwards within a process.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    base: Micros,
    start: Instant,
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock {
    /// A clock set by the system's.
    pub fn new() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { base: unix.as_micros() as Micros, start: Instant::now() }
    }

    /// A clock that shows no time before `latest`, the newest that an earlier process recorded; and whether
    /// the system's clock was set back since, so that the age of `latest` is unknown.
    pub fn after(latest: Micros) -> (Self, bool) {
        let clock = Self::new();
        let set_back = clock.base < latest;
        (Self { base: clock.base.max(latest), ..clock }, set_back)
    }

    /// The time now.
    pub fn now(&self) -> Micros {
        self.base + self.start.elapsed().as_micros() as Micros
    }

    /// The same time for the runtime's timers.
    pub fn instant(&self, at: Micros) -> tokio::time::Instant {
        let ahead = std::time::Duration::from_micros(at.saturating_sub(self.base));
        tokio::time::Instant::from_std(self.start.checked_add(ahead).unwrap_or(self.start))
    }
}
