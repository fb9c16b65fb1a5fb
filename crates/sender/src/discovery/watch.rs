//! The watch on the endpoint list: polls of discovery for as long as the process runs.

use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use decision::interface::Event;
use hyper::{Request, StatusCode};
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};
use tokio::sync::watch::Receiver;
use tokio::sync::{Notify, oneshot};
use tokio::task::JoinSet;
use tokio::time::{Duration, Instant, sleep, sleep_until, timeout};

use crate::discovery::endpoint_list::{EndpointList, EndpointUpdate};
use crate::discovery::poll::{ANSWER_TIMEOUT, AttemptNumber, Poll, PollRequest, PollStep};
use crate::discovery::poll_schedule::{PollFailure, PollSchedule};
use crate::http::connection::Connection;
use crate::platform_client::{RequestError, send_request};
use crate::ports::Inbound;

/// Length in bytes above which a list takes a millisecond or more to parse.
const LONG_LIST: usize = 128 << 10;

/// The list that a watch begins with.
#[derive(Debug, Clone, Copy)]
pub struct InitialList {
    /// The version to watch from, or none if the full list has to be fetched.
    pub version: Option<u64>,
    /// When it is polled for the first time.
    pub first_poll: FirstPoll,
}

/// When a watch polls for the first time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FirstPoll {
    /// At once: the watch continues the one of a predecessor, which may have been due for a poll.
    AtOnce,
    /// After a random delay, since many senders may start together.
    Spread {
        /// How long the list remains valid.
        good_for: Duration,
    },
}

/// The answer to an attempt, and its connection if that can be used again.
struct Answer<List> {
    list: List,
    connection: Option<Connection>,
}

/// How a poll ended.
enum PollEnd {
    Answered(Answer<EndpointList>),
    /// Discovery has another address.
    Moved,
    /// The changes that were asked for are not enough, or may be those of another instance of discovery: the full list has
    /// to be fetched.
    FullListNeeded,
}

/// Polls discovery for the endpoint list.
struct EndpointWatch {
    discovery: Receiver<SocketAddr>,
    full_list_needed: Rc<Notify>,
    schedule: PollSchedule,
    inbound: UnboundedSender<Inbound>,
    started_at: Instant,
}

/// Watches the endpoint list for as long as the process runs, beginning with a known version or else with the full list.
/// When the address of discovery changes, its connection ends, or `full_list_needed` is notified, the watch starts over with
/// the full list: versions of two instances of discovery must not be mixed, and a new one may have the address of the last.
pub async fn watch_endpoints(
    discovery: Receiver<SocketAddr>,
    initial: InitialList,
    full_list_needed: Rc<Notify>,
    schedule: PollSchedule,
    inbound: UnboundedSender<Inbound>,
) {
    let started_at = Instant::now();
    EndpointWatch { discovery, full_list_needed, schedule, inbound, started_at }.run(initial).await;
}

impl EndpointWatch {
    async fn run(mut self, initial: InitialList) {
        let mut version = initial.version;
        let mut idle = None;
        let mut address = *self.discovery.borrow_and_update();
        let first_delay = match initial.first_poll {
            FirstPoll::AtOnce => Duration::ZERO,
            FirstPoll::Spread { good_for } => self.schedule.first_delay(good_for),
        };
        tokio::select! {
            () = sleep(first_delay) => {}
            Ok(()) = self.discovery.changed() => version = None,
        }
        loop {
            // The address may have changed at any time since the last poll began.
            let current = *self.discovery.borrow_and_update();
            if current != address {
                self.schedule.moved();
                (address, version, idle) = (current, None, None);
            }
            let request = PollRequest::after(version);
            match self.poll(request, address, idle.take()).await {
                PollEnd::Answered(Answer { list, connection }) => {
                    self.schedule.answered();
                    (version, idle) = (Some(list.index), connection);
                    let update = EndpointUpdate { list: Arc::new(list), source: address };
                    if self.inbound.send(Inbound::EndpointsUpdated(update)).is_err() {
                        return;
                    }
                }
                PollEnd::Moved | PollEnd::FullListNeeded => version = None,
            }
        }
    }

    /// Polls until an attempt is answered, or there is something else to ask for. All attempts end with the poll.
    async fn poll(
        &mut self,
        request: PollRequest,
        address: SocketAddr,
        mut idle: Option<Connection>,
    ) -> PollEnd {
        let mut poll = Poll::new(request, self.started_at.elapsed());
        let mut attempts = JoinSet::new();
        let (started_sender, mut started) = unbounded_channel();
        loop {
            while let Some(step) = poll.next_step(self.started_at.elapsed(), &mut self.schedule) {
                match step {
                    PollStep::StartAttempt(number) => {
                        let fetched =
                            fetch_reporting(number, request, address, idle.take(), started_sender.clone());
                        attempts.spawn_local(async move { (number, fetched.await) });
                    }
                    PollStep::Overdue => self.report_overdue(&poll),
                }
            }
            let due = self.started_at + poll.due();
            tokio::select! {
                biased;
                Ok(()) = self.discovery.changed() => return PollEnd::Moved,
                () = self.full_list_needed.notified() => {
                    // A full list that is under way will do.
                    if request != PollRequest::FullList {
                        return PollEnd::FullListNeeded;
                    }
                }
                Some(ended) = attempts.join_next() => match ended {
                    Ok((number, Ok(Answer { list, connection }))) => match parse_list(list).await {
                        Some(list) => return PollEnd::Answered(Answer { list, connection }),
                        None => self.attempt_failed(&mut poll, number, PollFailure::Broken),
                    },
                    Ok((_, Err(PollFailure::Disconnected))) if request != PollRequest::FullList => {
                        self.report_failure();
                        sleep(self.schedule.backoff(PollFailure::Disconnected)).await;
                        return PollEnd::FullListNeeded;
                    }
                    Ok((number, Err(failure))) => self.attempt_failed(&mut poll, number, failure),
                    // The attempt panicked; a further one follows when it is overdue.
                    Err(_) => {}
                },
                Some(number) = started.recv() => poll.answer_started(number, self.started_at.elapsed()),
                () = sleep_until(due) => {}
            }
        }
    }

    fn report_overdue(&self, poll: &Poll) {
        if poll.attempts() == 1 {
            eprintln!("endpoint list: no answer from discovery in time, sending further requests");
        }
        self.report_failure();
    }

    fn attempt_failed(&mut self, poll: &mut Poll, number: AttemptNumber, failure: PollFailure) {
        if poll.failed(number, failure, self.started_at.elapsed(), &mut self.schedule) {
            self.report_failure();
        }
    }

    /// Reports that the list may be out of date. The event loop ends this task when it ends itself.
    fn report_failure(&self) {
        let _ = self.inbound.send(Inbound::Event(Event::DiscoveryFailed));
    }
}

/// Carries out an attempt within its time, and reports when its answer starts.
async fn fetch_reporting(
    number: AttemptNumber,
    request: PollRequest,
    address: SocketAddr,
    idle: Option<Connection>,
    started: UnboundedSender<AttemptNumber>,
) -> Result<Answer<Bytes>, PollFailure> {
    let (first_byte_sender, first_byte) = oneshot::channel();
    let mut answer = pin!(fetch(request, address, idle, first_byte_sender));
    tokio::select! {
        answer = &mut answer => return answer,
        Ok(()) = first_byte => {}
        () = sleep(request.answer_timeout()) => return Err(PollFailure::Broken),
    }
    let _ = started.send(number);
    timeout(ANSWER_TIMEOUT, answer).await.unwrap_or(Err(PollFailure::Broken))
}

/// Sends one request for the list, over the idle connection if there is one, and reads the answer.
async fn fetch(
    request: PollRequest,
    address: SocketAddr,
    mut connection: Option<Connection>,
    first_byte: oneshot::Sender<()>,
) -> Result<Answer<Bytes>, PollFailure> {
    let request = Request::get(request.path()).header("host", address.to_string()).body(Bytes::new());
    let request = request.map_err(|_| PollFailure::Broken)?;
    let answer = send_request(&mut connection, address, request, Some(first_byte)).await;
    let answer = answer.map_err(|error| match error {
        RequestError::Disconnected => PollFailure::Disconnected,
        RequestError::Unreachable | RequestError::InvalidResponse => PollFailure::Broken,
    });
    match answer? {
        (StatusCode::OK, list) => Ok(Answer { list, connection }),
        (StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS, _) => Err(PollFailure::Rejected),
        _ => Err(PollFailure::Broken),
    }
}

/// Parses a list. A long one is parsed on another thread, so that it doesn't delay the event loop.
async fn parse_list(body: Bytes) -> Option<EndpointList> {
    if body.len() <= LONG_LIST {
        return serde_json::from_slice(&body).ok();
    }
    tokio::task::spawn_blocking(move || serde_json::from_slice(&body).ok()).await.ok().flatten()
}
