//! The real sender round the decision module: sockets, clocks and the journal. It decides nothing about
//! what is sent where and when; see `myrtleyard::policy` for that.

pub mod calls;
pub mod config;
pub mod driver;
pub mod intake;
pub mod journal;
pub mod peers;
pub mod platform;

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use myrtleyard::interface::{EndpointId, Event, MessageId, Micros, Outcome};

/// Bodies hold at most so much.
pub const BODY_LIMIT: usize = 64 * 1024;

/// What the socket tasks tell the driver.
#[derive(Debug)]
pub enum Inbound {
    /// A client hands in a message.
    HandedIn(intake::HandedIn),
    /// A client closed before this request of its was answered: a message that came by it counts for nothing.
    Withdrawn {
        /// The message's `Req-Id`.
        id: String,
        /// The request's number.
        request: u64,
    },
    /// Attempts ended that travelled as one call.
    CallOver(Vec<AttemptOver>),
    /// Goes to the module as it is.
    Event(Event),
    /// Discovery told of endpoints.
    Listed(platform::Listed),
    /// The platform has these notices.
    NoticesKept(Vec<MessageId>),
    /// The configuration is to be read again.
    Reload,
    /// The process was asked to end.
    Terminate,
}

/// How one attempt ended.
#[derive(Debug, Clone)]
pub struct AttemptOver {
    /// The message.
    pub message: MessageId,
    /// The attempt's number.
    pub attempt: u16,
    /// Where it went.
    pub endpoint: EndpointId,
    /// How it ended.
    pub outcome: Outcome,
    /// The endpoint knows the message to be over.
    pub gone: bool,
    /// Since the call began.
    pub took: Micros,
    /// The load report, if one came.
    pub report: Vec<f32>,
}

/// Unix time in microseconds that never runs backwards within a process.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    base: Micros,
    start: Instant,
}

impl Clock {
    /// A clock set by the system's.
    pub fn new() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { base: unix.as_micros() as Micros, start: Instant::now() }
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
