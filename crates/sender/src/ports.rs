//! The interfaces between the parts of a sender. Frontends accept messages from clients; the event loop passes them to the
//! decision module and records them in the journal; transports make the calls. Frontends and transports depend on these
//! types only, not on the other parts.

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

/// Accepts messages from clients. Sends each to the event loop as [`Inbound::Submitted`], and [`Inbound::Withdrawn`] if its
/// client disconnects before the answer. Answers a client only once the event loop has answered.
pub trait Frontend {
    /// Starts to listen, once, after recovery. Returns the bound address.
    ///
    /// # Errors
    /// Fails when the address can't be bound.
    fn start(self: Rc<Self>) -> io::Result<SocketAddr>;

    /// Number of requests so far.
    fn requests(&self) -> u64;

    /// Number of open client connections.
    fn open_connections(&self) -> usize;

    /// Sets the maximum number of client connections.
    fn set_max_clients(&self, max_clients: usize);

    /// Serves a connection that another shard accepted.
    fn adopt(self: Rc<Self>, stream: std::net::TcpStream);
}

/// Makes calls to endpoints. The decision module alone decides on calls and on retries.
pub trait Transport {
    /// Records an endpoint's address, as the list writes it. Returns false if this transport can't parse the address; it then
    /// does not know the endpoint.
    fn set_address(&self, endpoint: EndpointId, address: &str) -> bool;

    /// An endpoint's address, as the list writes it, if this transport knows it.
    fn address(&self, endpoint: EndpointId) -> Option<String>;

    /// Forgets an endpoint's address and closes idle connections to it.
    fn forget(&self, endpoint: EndpointId);

    /// Sets whether an endpoint accepts new calls. A call to an endpoint that no longer does is not sent, and a delayed
    /// last byte is withheld.
    fn set_accepting(&self, _endpoint: EndpointId, _open: bool) {}

    /// Starts a call with one message or a batch, whose attempts are recorded in the journal already. Completes with
    /// [`Inbound::CallCompleted`]. Nothing is sent while a Retry-After of the route is active.
    fn start(&self, at: (RouteId, EndpointId), parts: Vec<CallMessage>, options: WriteOptions);

    /// Cancels an attempt in a way that the endpoint notices, together with all messages of its call.
    fn cancel(&self, message: MessageId, attempt: u16);

    /// Checks an endpoint's health; the result is an [`Event::HealthChecked`].
    fn probe(&self, endpoint: EndpointId);

    /// Closes idle connections to an endpoint.
    fn close_idle(&self, endpoint: EndpointId);

    /// Number of messages completely written to endpoints so far, counted once per attempt.
    fn messages_written(&self) -> u64;

    /// Number of attempts in flight.
    fn attempts_in_flight(&self) -> usize;

    /// Number of open connections, idle ones included.
    fn connections(&self) -> usize {
        0
    }

    /// Sets the maximum number of connections, idle ones included.
    fn set_max_connections(&self, _most: usize) {}

    /// The attempts in flight on connections of this process, with their endpoints.
    fn outstanding_attempts(&self) -> Vec<(MessageId, u16, EndpointId)>;
}

/// Maximum size of a message body, in bytes.
pub const MAX_BODY_BYTES: usize = 64 * 1024;

/// A message from another task to the event loop.
#[derive(Debug)]
pub enum Inbound {
    /// A client submits a message.
    Submitted(Submission),
    /// A client disconnected before this request was answered: the message that it submitted is withdrawn.
    Withdrawn {
        /// The message's `Req-Id`.
        id: String,
        /// The request's number.
        request: u64,
        /// The message's destination.
        destination: u16,
    },
    /// All attempts of one call are completed.
    CallCompleted(Vec<AttemptCompleted>),
    /// An event for the decision module.
    Event(Event),
    /// Discovery sent a list of endpoints, or changes of it.
    EndpointsUpdated(EndpointUpdate),
    /// The platform has acknowledged these notifications.
    NotificationsAcknowledged(Vec<MessageId>),
    /// An administrative request, and where its answer goes.
    AdminRequest(admin::request::AdminRequest, oneshot::Sender<AdminResponse>),
    /// A successor asks to take over.
    Successor(HandoverLink),
    /// The status line is due in the log.
    Status,
    /// SIGHUP: the configuration is to be read again.
    Reload,
    /// SIGTERM: the process is to shut down.
    Terminate,
}

/// The answer to an administrative request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdminResponse {
    /// The HTTP status: 2xx if the request was carried out.
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
    /// The message's `Req-Id`.
    pub id: String,
    /// The message's `Idempotency-Key`.
    pub key: Option<String>,
    /// The message's body.
    pub body: Bytes,
    /// The message may be sent again after an attempt that may have run.
    pub repeatable: bool,
    /// Deadline of the answer.
    pub answer_deadline: tokio::time::Instant,
    /// The message is not sent after this time, which is no later than the deadline of the answer. Each message of a batch has
    /// its own.
    pub send_deadline: tokio::time::Instant,
}

/// How a call is written.
#[derive(Debug, Clone, Copy, Default)]
pub struct WriteOptions {
    /// Delay between the last byte and the others, in microseconds.
    pub last_byte_delay: Micros,
    /// The call is sent over a new connection.
    pub new_connection: bool,
}

impl WriteOptions {
    /// The options that meet the requirements of two messages in one batch.
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
    /// A clock that starts at the system's time.
    pub fn new() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { base: unix.as_micros() as Micros, start: Instant::now() }
    }

    /// A clock that starts no earlier than `latest`, the latest time that an earlier process recorded. Also returns whether the
    /// system's clock was set back since then, so that the age of `latest` is unknown.
    pub fn after(latest: Micros) -> (Self, bool) {
        let clock = Self::new();
        let set_back = clock.base < latest;
        (Self { base: clock.base.max(latest), ..clock }, set_back)
    }

    /// The current time.
    pub fn now(&self) -> Micros {
        self.base + self.start.elapsed().as_micros() as Micros
    }

    /// The same time as an instant for timers of the runtime.
    pub fn instant(&self, at: Micros) -> tokio::time::Instant {
        let ahead = std::time::Duration::from_micros(at.saturating_sub(self.base));
        tokio::time::Instant::from_std(self.start.checked_add(ahead).unwrap_or(self.start))
    }
}
