//! What the parts of a sender say to one another: fronts take messages on, the driver has them judged and written
//! down, carriers make the calls. A front or a carrier knows these types and nothing of its neighbours.

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

/// Takes messages on from clients. What it is handed goes to the driver as [`Inbound::HandedIn`], and a client that
/// goes away before its answer as [`Inbound::Withdrawn`]; it answers nobody before the driver has.
pub trait Frontend {
    /// Begins to listen, once, when what an earlier process left has been taken up. Tells where.
    ///
    /// # Errors
    /// Fails when the address is not to be had.
    fn start(self: Rc<Self>) -> io::Result<SocketAddr>;

    /// Requests so far.
    fn requests(&self) -> u64;

    /// Clients' connections that are open.
    fn open_connections(&self) -> usize;

    /// So many clients' connections at a time from now on.
    fn set_max_clients(&self, most: usize);

    /// Serves a connection that another core took.
    fn adopt(self: Rc<Self>, stream: std::net::TcpStream);
}

/// Makes calls to endpoints. It never decides to make one, nor to make one again.
pub trait Transport {
    /// Takes note of where an endpoint is, from the list's text. False where the text names no place of this carrier's,
    /// which then knows the endpoint no more than before.
    fn set_address(&self, endpoint: EndpointId, address: &str) -> bool;

    /// Where an endpoint is, in the list's text, if it was placed here.
    fn address(&self, endpoint: EndpointId) -> Option<String>;

    /// Forgets an endpoint's place and closes idle connections to it.
    fn forget(&self, endpoint: EndpointId);

    /// Whether an endpoint takes what is new. Calls on their way to one that no longer does, of which nothing has left, stay.
    fn set_accepting(&self, _endpoint: EndpointId, _open: bool) {}

    /// Starts a call with one message or several, each begun in the journal; its end comes as [`Inbound::CallOver`]. Nothing of
    /// it leaves while a wait runs that its route told.
    fn start(&self, at: (RouteId, EndpointId), parts: Vec<CallMessage>, pace: WriteOptions);

    /// Calls an attempt off so that the endpoint notices, with all that travel along.
    fn cancel(&self, message: MessageId, attempt: u16);

    /// Probes an endpoint; the result comes as [`Event::Probed`].
    fn probe(&self, endpoint: EndpointId);

    /// Closes idle connections to an endpoint.
    fn close_idle(&self, endpoint: EndpointId);

    /// Messages written whole to endpoints so far, counted once for each attempt.
    fn messages_written(&self) -> u64;

    /// How many attempts are out.
    fn attempts_in_flight(&self) -> usize;

    /// Connections, idle ones counted.
    fn connections(&self) -> usize {
        0
    }

    /// So many connections at most from now on, idle ones counted.
    fn set_max_connections(&self, _most: usize) {}

    /// The attempts that are out on connections of this process, and where.
    fn outstanding_attempts(&self) -> Vec<(MessageId, u16, EndpointId)>;
}

/// Bodies hold at most so much.
pub const MAX_BODY_BYTES: usize = 64 * 1024;

/// What the socket tasks tell the driver.
#[derive(Debug)]
pub enum Inbound {
    /// A client hands in a message.
    Submitted(Submission),
    /// A client closed before this request of its was answered: a message that came by it counts for nothing.
    Withdrawn {
        /// The message's `Req-Id`.
        id: String,
        /// The request's number.
        request: u64,
        /// Where it was to go.
        destination: u16,
    },
    /// Attempts ended that travelled as one call.
    CallCompleted(Vec<AttemptCompleted>),
    /// Goes to the module as it is.
    Event(Event),
    /// Discovery told of endpoints.
    EndpointsUpdated(EndpointUpdate),
    /// The platform has these notices.
    NotificationsAcknowledged(Vec<MessageId>),
    /// On-call staff ask for something.
    AdminRequest(admin::call::AdminRequest, oneshot::Sender<AdminResponse>),
    /// A process that was started beside this one asks to take over.
    Successor(HandoverLink),
    /// A line on the state is to be written to the log.
    Status,
    /// The configuration is to be read again.
    Reload,
    /// The process was asked to end.
    Terminate,
}

/// What on-call staff are told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdminResponse {
    /// The answer's status: 2xx for yes, anything else for no.
    pub status: u16,
    /// Its text.
    pub text: String,
}

/// A message that a client hands in, and where its answer goes.
#[derive(Debug)]
pub struct Submission {
    /// The message.
    pub message: Arc<AcceptedMessage>,
    /// Its class's position in the settings.
    pub class: usize,
    /// The request's number, from 1.
    pub request: u64,
    /// Waits for the answer.
    pub answer: oneshot::Sender<Answer>,
}

/// A message of a call.
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
    /// No answer to it is waited for from then on.
    pub answer_deadline: tokio::time::Instant,
    /// Nothing of it leaves from then on, which is no later. Messages that travel together each have their own.
    pub send_deadline: tokio::time::Instant,
}

/// How carefully a call is written.
#[derive(Debug, Clone, Copy, Default)]
pub struct WriteOptions {
    /// Its last byte goes so long after the others.
    pub last_byte_delay: Micros,
    /// Over a new connection.
    pub new_connection: bool,
}

impl WriteOptions {
    /// What suits both of two messages that travel along.
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

    /// A clock that does not show a time before that one, the newest that an earlier process wrote down; and whether
    /// the system's clock was set back since, so that nothing can be said of how long ago that was.
    pub fn after(latest: Micros) -> (Self, bool) {
        let clock = Self::new();
        let set_back = clock.base < latest;
        (Self { base: clock.base.max(latest), ..clock }, set_back)
    }

    /// The time now.
    pub fn now(&self) -> Micros {
        self.base + self.start.elapsed().as_micros() as Micros
    }

    /// That time for the runtime's timers.
    pub fn instant(&self, at: Micros) -> tokio::time::Instant {
        let ahead = std::time::Duration::from_micros(at.saturating_sub(self.base));
        tokio::time::Instant::from_std(self.start.checked_add(ahead).unwrap_or(self.start))
    }
}
