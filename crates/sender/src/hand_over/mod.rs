//! Carries out both sides of a hand-over, over a socket in `NODE_STATE`. The package `handover` defines the messages
//! and the steps.

pub mod socket;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fmt;
use std::fs::{self, File};
use std::io;
use std::os::fd::AsRawFd;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use admin::gate::AdmissionGate;
use admin::request::AdminRequest;
use decision::interface::{EndpointId, Event, MessageId, RouteId};
use handover::{Answer, HandoverState, OutstandingAttempts, ToPredecessor, ToSuccessor, step};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::sync::{oneshot, watch};
use tokio::task::AbortHandle;
use tokio::time::timeout;

use crate::hand_over::socket::HandoverLink;
use crate::ports::{
    AdminResponse, CallMessage, Clock, Frontend, Inbound, Submission, Transport, WriteOptions,
};

const SOCKET_NAME: &str = "successor";
/// A process that connects and does not request the hand-over within this time is disconnected.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval at which a predecessor checks whether it has nothing left to drain.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Returns a path to the socket through the descriptor of the open folder: the path of a Unix socket is limited to
/// about a hundred bytes, which the folder's own path may exceed.
fn socket_path(folder: &File) -> PathBuf {
    Path::new("/proc/self/fd").join(folder.as_raw_fd().to_string()).join(SOCKET_NAME)
}

/// Listens for a successor. Only the process that holds the journal's lock does.
///
/// # Errors
/// Fails when the socket can't be created.
pub fn listen(state: &Path, inbound: UnboundedSender<Inbound>) -> io::Result<AbortHandle> {
    let folder = File::open(state)?;
    match fs::remove_file(socket_path(&folder)) {
        Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
        _ => {}
    }
    let listener = UnixListener::bind(socket_path(&folder))?;
    let listening = tokio::task::spawn_local(async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(POLL_INTERVAL).await;
                continue;
            };
            let mut link = HandoverLink::new(stream);
            let request = timeout(REQUEST_TIMEOUT, link.receive()).await;
            if matches!(request, Ok(Ok(ToPredecessor::RequestTakeover)))
                && inbound.send(Inbound::Successor(link)).is_err()
            {
                return;
            }
        }
    });
    Ok(listening.abort_handle())
}

/// Connects to the process that uses the folder, if one listens.
pub async fn connect(state: &Path) -> Option<HandoverLink> {
    let folder = File::open(state).ok()?;
    Some(HandoverLink::new(UnixStream::connect(socket_path(&folder)).await.ok()?))
}

/// Requests the hand-over from the predecessor. Returns its state.
///
/// # Errors
/// Fails when the predecessor closes the connection or sends another message.
pub async fn request_takeover(mut link: HandoverLink) -> Result<(HandoverLink, HandoverState), String> {
    link.send(&ToPredecessor::RequestTakeover).await?;
    match link.receive().await? {
        ToSuccessor::State(state) => Ok((link, *state)),
        other => Err(format!("expected the predecessor's state, got {other:?}")),
    }
}

/// Confirms to the predecessor that this process has the journal. If its state is not understood, waits until it has
/// no attempt in flight.
///
/// # Errors
/// Fails when the predecessor closes the connection, sends another message or does not answer in time. It makes no decision
/// any more in any of these cases, since this process has the journal.
pub async fn confirm_takeover(link: &mut HandoverLink, understood: bool) -> Result<(), String> {
    link.send(&ToPredecessor::TakeoverCompleted { understood }).await?;
    if understood {
        return Ok(());
    }
    match timeout(Duration::from_micros(step::CANCELLATION_TIMEOUT), link.receive()).await {
        Ok(Ok(ToSuccessor::Drained)) => Ok(()),
        Ok(Ok(other)) => {
            Err(format!("expected that the predecessor has drained its attempts, got {other:?}"))
        }
        Ok(Err(error)) => Err(error),
        Err(_) => Err("the predecessor has not drained its attempts in time".to_owned()),
    }
}

/// Why a successor has not taken over.
#[derive(Debug)]
pub enum OfferError {
    /// The connection to it failed: it has probably exited.
    LinkFailed(String),
    /// It has not confirmed the takeover in time. It may have the journal.
    TimedOut,
}

impl fmt::Display for OfferError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::LinkFailed(error) => f.write_str(error),
            Self::TimedOut => f.write_str("no confirmation in time"),
        }
    }
}

impl std::error::Error for OfferError {}

/// Sends the state to the successor and waits until it has taken over. Returns whether it understood the state.
///
/// # Errors
/// Fails when the successor has not confirmed the takeover in time, or the connection fails.
pub async fn offer_state(
    mut link: HandoverLink,
    state: &HandoverState,
) -> Result<(HandoverLink, bool), OfferError> {
    link.send(&ToSuccessor::State(Box::new(state.clone()))).await.map_err(OfferError::LinkFailed)?;
    match timeout(Duration::from_micros(step::TAKEOVER_TIMEOUT), link.receive()).await {
        Ok(Ok(ToPredecessor::TakeoverCompleted { understood })) => Ok((link, understood)),
        Ok(Ok(other)) => Err(OfferError::LinkFailed(format!("expected its confirmation, got {other:?}"))),
        Ok(Err(error)) => Err(OfferError::LinkFailed(error)),
        Err(_) => Err(OfferError::TimedOut),
    }
}

/// The connections that a predecessor drains.
pub struct DrainingConnections {
    /// The process's clock.
    pub clock: Clock,
    /// The frontends, with clients' connections.
    pub frontends: Vec<Rc<dyn Frontend>>,
    /// The transports, with calls in flight.
    pub transports: Vec<Rc<dyn Transport>>,
    /// Tells the frontends whether clients are admitted.
    pub gate: watch::Sender<AdmissionGate>,
    /// Final outcomes so far.
    pub outcome_counts: admin::metrics::OutcomeCounts,
}

impl DrainingConnections {
    fn attempts_in_flight(&self) -> usize {
        self.transports.iter().map(|transport| transport.attempts_in_flight()).sum()
    }

    fn clients(&self) -> usize {
        self.frontends.iter().map(|frontend| frontend.open_connections()).sum()
    }

    fn cancel(&self, message: MessageId, attempt: u16) {
        self.transports.iter().for_each(|transport| transport.cancel(message, attempt));
    }
}

/// Drains a predecessor's connections on behalf of the successor, until nothing is left.
///
/// # Errors
/// Fails when the successor has exited. Attempts in flight may have run, as the journal records them.
pub async fn drain(
    link: HandoverLink,
    understood: bool,
    draining: DrainingConnections,
    events: &mut UnboundedReceiver<Inbound>,
) -> Result<(), String> {
    let clock = draining.clock;
    let ready = draining.gate.borrow().ready();
    draining.gate.send_replace(AdmissionGate::Relinquished { since: clock.now(), ready });
    let (to_successor, mut from_successor, writing) = link.split::<ToSuccessor, ToPredecessor>();
    if !understood {
        let in_flight = draining.transports.iter().flat_map(|transport| transport.outstanding_attempts());
        in_flight
            .collect::<Vec<_>>()
            .into_iter()
            .for_each(|(message, attempt, _)| draining.cancel(message, attempt));
        while draining.attempts_in_flight() > 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        let _ = to_successor.send(ToSuccessor::Drained);
    }
    let mut submissions: HashMap<u64, oneshot::Sender<Answer>> = HashMap::new();
    let mut admin_requests: HashMap<u64, oneshot::Sender<AdminResponse>> = HashMap::new();
    let (mut number, mut stopping) = (0, None);
    let mut poll = tokio::time::interval(POLL_INTERVAL);
    loop {
        tokio::select! {
            biased;
            inbound = events.recv() => {
                number += 1;
                let message = match inbound {
                    Some(Inbound::Submitted(Submission { message, request, answer, .. })) => {
                        submissions.insert(number, answer);
                        ToSuccessor::Submitted { number, message: Arc::unwrap_or_clone(message), request }
                    }
                    Some(Inbound::Withdrawn { id, request, destination }) => {
                        ToSuccessor::Withdrawn { id, request, destination }
                    }
                    // These calls were cancelled for a successor that does not know them.
                    Some(Inbound::CallCompleted(_)) if !understood => continue,
                    Some(Inbound::CallCompleted(completed)) => ToSuccessor::CallCompleted(completed),
                    Some(Inbound::Event(Event::RetryAfter { endpoint, wait })) => ToSuccessor::RetryAfter(endpoint, wait),
                    Some(Inbound::Event(Event::ConnectionReused { lost })) => ToSuccessor::ConnectionReused { lost },
                    Some(Inbound::AdminRequest(AdminRequest::Status, answer)) => {
                        let _ = answer.send(AdminResponse { status: 200, text: "handed over\n".into() });
                        continue;
                    }
                    Some(Inbound::AdminRequest(AdminRequest::Metrics, answer)) => {
                        let relayed = draining.transports.iter().map(|transport| transport.messages_written()).sum();
                        let gauges = admin::metrics::Gauges { relayed, ..Default::default() };
                        let _ = answer.send(AdminResponse { status: 200, text: draining.outcome_counts.text(gauges) });
                        continue;
                    }
                    Some(Inbound::AdminRequest(request, answer)) => {
                        let gate = *draining.gate.borrow();
                        draining.gate.send_replace(match request {
                            AdminRequest::Standby => gate.standby(clock.now()),
                            AdminRequest::Active => gate.active(),
                            _ => gate,
                        });
                        admin_requests.insert(number, answer);
                        ToSuccessor::AdminRequest { number, request }
                    }
                    Some(Inbound::Terminate) => {
                        stopping = stopping.or(Some(clock.now()));
                        draining.gate.send_replace(AdmissionGate::Closing);
                        continue;
                    }
                    Some(_) => continue,
                    None => return Ok(()),
                };
                let _ = to_successor.send(message);
            }
            message = from_successor.recv() => match message {
                Some(ToPredecessor::Answer(number, answer)) => {
                    if let Some(reply) = submissions.remove(&number) {
                        let _ = reply.send(answer);
                    }
                }
                Some(ToPredecessor::AdminResponse(number, status, text)) => {
                    if let Some(reply) = admin_requests.remove(&number) {
                        let _ = reply.send(AdminResponse { status, text });
                    }
                }
                Some(ToPredecessor::Cancel(message, attempt)) => draining.cancel(message, attempt),
                Some(ToPredecessor::RequestTakeover | ToPredecessor::TakeoverCompleted { .. }) => {}
                None => return Err("the successor closed the connection before this process was drained".to_owned()),
            },
            _ = poll.tick() => {
                if events.is_empty() && step::may_exit(draining.attempts_in_flight(), draining.clients(), stopping, clock.now()) {
                    drop(to_successor);
                    let _ = writing.await;
                    return Ok(());
                }
            }
        }
    }
}

/// The predecessor, as a transport that has calls in flight for its successor.
pub struct Predecessor {
    outstanding: RefCell<OutstandingAttempts>,
    messages: UnboundedSender<ToPredecessor>,
    /// Whether the predecessor is still running.
    running: Cell<bool>,
}

impl Predecessor {
    /// Returns whether the predecessor has exited.
    pub fn has_exited(&self) -> bool {
        !self.running.get()
    }

    /// Handles messages of the predecessor until it exits, and then calls `on_exit`.
    pub fn follow(
        link: HandoverLink,
        in_flight: Vec<(MessageId, u16, EndpointId)>,
        clock: Clock,
        class: impl Fn(&str) -> Option<usize> + 'static,
        inbound: UnboundedSender<Inbound>,
        on_exit: impl FnOnce() + 'static,
    ) -> Rc<Self> {
        let (messages, mut from_predecessor, _) = link.split::<ToPredecessor, ToSuccessor>();
        let predecessor = Rc::new(Self {
            outstanding: RefCell::new(OutstandingAttempts::new(in_flight.into_iter().map(Into::into))),
            messages,
            running: Cell::new(true),
        });
        let (followed, start) = (predecessor.clone(), clock.now());
        tokio::task::spawn_local(async move {
            while let Some(message) = from_predecessor.recv().await {
                followed.handle(message, &class, &inbound);
            }
            followed.running.set(false);
            let lost = followed.outstanding.borrow_mut().reset_all(clock.now().saturating_sub(start));
            for completed in lost {
                let _ = inbound.send(Inbound::CallCompleted(vec![completed]));
            }
            on_exit();
        });
        predecessor
    }

    /// Passes a message of the predecessor to the event loop.
    fn handle(
        &self,
        message: ToSuccessor,
        class: &impl Fn(&str) -> Option<usize>,
        inbound: &UnboundedSender<Inbound>,
    ) {
        let event = match message {
            ToSuccessor::Submitted { number, message, request } => {
                let (answer, answered) = oneshot::channel();
                let messages = self.messages.clone();
                tokio::task::spawn_local(async move {
                    let _ = messages
                        .send(ToPredecessor::Answer(number, answered.await.unwrap_or(Answer::Failed)));
                });
                let Some(class) = class(&message.class) else {
                    let _ = answer.send(Answer::Failed);
                    return;
                };
                Inbound::Submitted(Submission { message: Arc::new(message), class, request, answer })
            }
            ToSuccessor::AdminRequest { number, request } => {
                let (answer, answered) = oneshot::channel();
                let messages = self.messages.clone();
                tokio::task::spawn_local(async move {
                    let ending = AdminResponse { status: 503, text: "ending\n".into() };
                    let AdminResponse { status, text } = answered.await.unwrap_or(ending);
                    let _ = messages.send(ToPredecessor::AdminResponse(number, status, text));
                });
                Inbound::AdminRequest(request, answer)
            }
            ToSuccessor::Withdrawn { id, request, destination } => {
                Inbound::Withdrawn { id, request, destination }
            }
            ToSuccessor::CallCompleted(completed) => {
                match self.outstanding.borrow_mut().complete(completed) {
                    completed if completed.is_empty() => return,
                    completed => Inbound::CallCompleted(completed),
                }
            }
            ToSuccessor::RetryAfter(endpoint, wait) => Inbound::Event(Event::RetryAfter { endpoint, wait }),
            ToSuccessor::ConnectionReused { lost } => Inbound::Event(Event::ConnectionReused { lost }),
            ToSuccessor::State(_) | ToSuccessor::Drained => return,
        };
        let _ = inbound.send(event);
    }
}

impl Transport for Predecessor {
    fn set_address(&self, _: EndpointId, _: &str) -> bool {
        false
    }

    fn address(&self, _: EndpointId) -> Option<String> {
        None
    }

    fn forget(&self, _: EndpointId) {}

    /// Never called: no address is known here, so that no call starts.
    fn start(&self, _: (RouteId, EndpointId), _: Vec<CallMessage>, _: WriteOptions) {}

    fn cancel(&self, message: MessageId, attempt: u16) {
        if self.outstanding.borrow().contains(message, attempt) {
            let _ = self.messages.send(ToPredecessor::Cancel(message, attempt));
        }
    }

    fn probe(&self, _: EndpointId) {}

    fn close_idle(&self, _: EndpointId) {}

    fn messages_written(&self) -> u64 {
        0
    }

    fn attempts_in_flight(&self) -> usize {
        self.outstanding.borrow().len()
    }

    fn outstanding_attempts(&self) -> Vec<(MessageId, u16, EndpointId)> {
        Vec::new()
    }
}
