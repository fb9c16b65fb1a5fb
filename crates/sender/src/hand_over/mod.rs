//! The two sides of a hand-over, over a socket in `NODE_STATE`. The package `handover` says what is sent and
//! when; here it is carried out.

pub mod socket;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fs::{self, File};
use std::io;
use std::os::fd::AsRawFd;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use admin::call::AdminRequest;
use admin::gate::AdmissionGate;
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

const SOCKET: &str = "successor";
/// A peer that connects and does not ask within this time is disconnected.
const ASK_WITHIN: Duration = Duration::from_millis(500);
/// Between two looks of a predecessor at whether it has nothing left to carry.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The socket's name by way of the open folder: a path to a socket may have a hundred bytes only.
fn name(folder: &File) -> PathBuf {
    Path::new("/proc/self/fd").join(folder.as_raw_fd().to_string()).join(SOCKET)
}

/// Listens for a successor. Only the holder of the journal's lock does.
///
/// # Errors
/// Fails when the socket can't be made.
pub fn listen(state: &Path, inbound: UnboundedSender<Inbound>) -> io::Result<AbortHandle> {
    let folder = File::open(state)?;
    match fs::remove_file(name(&folder)) {
        Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
        _ => {}
    }
    let listener = UnixListener::bind(name(&folder))?;
    let listening = tokio::task::spawn_local(async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(POLL_INTERVAL).await;
                continue;
            };
            let mut link = HandoverLink::of(stream);
            let asked = timeout(ASK_WITHIN, link.receive()).await;
            if matches!(asked, Ok(Ok(ToPredecessor::RequestTakeover)))
                && inbound.send(Inbound::Successor(link)).is_err()
            {
                return;
            }
        }
    });
    Ok(listening.abort_handle())
}

/// Connects to the process that holds the folder, where one listens.
pub async fn connect(state: &Path) -> Option<HandoverLink> {
    let folder = File::open(state).ok()?;
    Some(HandoverLink::of(UnixStream::connect(name(&folder)).await.ok()?))
}

/// Asks the predecessor for its state.
///
/// # Errors
/// Fails when the predecessor breaks off, or sends something else.
pub async fn request_takeover(mut link: HandoverLink) -> Result<(HandoverLink, HandoverState), String> {
    link.send(&ToPredecessor::RequestTakeover).await?;
    match link.receive().await? {
        ToSuccessor::State(state) => Ok((link, *state)),
        other => Err(format!("the process before says {other:?}")),
    }
}

/// Tells the predecessor that the journal is taken. Where its state is not understood, waits until it has
/// nothing in flight.
///
/// # Errors
/// Fails when the predecessor breaks off.
pub async fn confirm_takeover(link: &mut HandoverLink, understood: bool) -> Result<(), String> {
    link.send(&ToPredecessor::TakeoverCompleted { understood }).await?;
    if understood {
        return Ok(());
    }
    match link.receive().await? {
        ToSuccessor::Drained => Ok(()),
        other => Err(format!("the process before says {other:?}")),
    }
}

/// Sends the state to the successor, and returns whether it understood, once it took over.
///
/// # Errors
/// Fails when it did not take over, as far as is known.
pub async fn offer_state(
    mut link: HandoverLink,
    state: &HandoverState,
) -> Result<(HandoverLink, bool), String> {
    link.send(&ToSuccessor::State(Box::new(state.clone()))).await?;
    match timeout(Duration::from_micros(step::TAKEOVER_TIMEOUT), link.receive()).await {
        Ok(Ok(ToPredecessor::TakeoverCompleted { understood })) => Ok((link, understood)),
        Ok(Ok(other)) => Err(format!("it says {other:?}")),
        Ok(Err(e)) => Err(e),
        Err(_) => Err("it says nothing".to_owned()),
    }
}

/// What a predecessor still has.
pub struct CarriedConnections {
    /// The time.
    pub clock: Clock,
    /// Clients' connections.
    pub frontends: Vec<Rc<dyn Frontend>>,
    /// Calls.
    pub transports: Vec<Rc<dyn Transport>>,
    /// Tells the frontends whether clients are admitted.
    pub gate: watch::Sender<AdmissionGate>,
    /// The outcomes so far.
    pub outcome_counts: admin::figures::OutcomeCounts,
}

impl CarriedConnections {
    fn out(&self) -> usize {
        self.transports.iter().map(|carrier| carrier.attempts_in_flight()).sum()
    }

    fn clients(&self) -> usize {
        self.frontends.iter().map(|front| front.open_connections()).sum()
    }

    fn cancel(&self, message: MessageId, attempt: u16) {
        self.transports.iter().for_each(|carrier| carrier.cancel(message, attempt));
    }
}

/// Carries what a predecessor still has to its end, on behalf of the successor.
///
/// # Errors
/// Fails when the successor is gone: what is in flight may have run, as the journal has it.
pub async fn carry(
    link: HandoverLink,
    understood: bool,
    carried: CarriedConnections,
    events: &mut UnboundedReceiver<Inbound>,
) -> Result<(), String> {
    let clock = carried.clock;
    let ready = carried.gate.borrow().ready();
    carried.gate.send_replace(AdmissionGate::Relinquished { since: clock.now(), ready });
    let (say, mut heard, writing) = link.split::<ToSuccessor, ToPredecessor>();
    if !understood {
        let out = carried.transports.iter().flat_map(|carrier| carrier.outstanding_attempts());
        out.collect::<Vec<_>>()
            .into_iter()
            .for_each(|(message, attempt, _)| carried.cancel(message, attempt));
        while carried.out() > 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        let _ = say.send(ToSuccessor::Drained);
    }
    let mut waiting: HashMap<u64, oneshot::Sender<Answer>> = HashMap::new();
    let mut callers: HashMap<u64, oneshot::Sender<AdminResponse>> = HashMap::new();
    let (mut number, mut stopping) = (0, None);
    let mut look = tokio::time::interval(POLL_INTERVAL);
    loop {
        tokio::select! {
            biased;
            inbound = events.recv() => {
                number += 1;
                let message = match inbound {
                    Some(Inbound::Submitted(Submission { message: taken, request, answer, .. })) => {
                        waiting.insert(number, answer);
                        ToSuccessor::Submitted { number, message: Arc::unwrap_or_clone(taken), request }
                    }
                    Some(Inbound::Withdrawn { id, request, destination }) => {
                        ToSuccessor::Withdrawn { id, request, destination }
                    }
                    // Calls that were cancelled for a successor that does not know of them.
                    Some(Inbound::CallCompleted(_)) if !understood => continue,
                    Some(Inbound::CallCompleted(over)) => ToSuccessor::CallCompleted(over),
                    Some(Inbound::Event(Event::RetryAfter { endpoint, wait })) => ToSuccessor::RetryAfter(endpoint, wait),
                    Some(Inbound::Event(Event::ConnectionReused { lost })) => ToSuccessor::ConnectionReused { lost },
                    Some(Inbound::AdminRequest(AdminRequest::Status, answer)) => {
                        let _ = answer.send(AdminResponse { status: 200, text: "handed over\n".into() });
                        continue;
                    }
                    Some(Inbound::AdminRequest(AdminRequest::Metrics, answer)) => {
                        let relayed = carried.transports.iter().map(|carrier| carrier.messages_written()).sum();
                        let now = admin::figures::Gauges { relayed, ..Default::default() };
                        let _ = answer.send(AdminResponse { status: 200, text: carried.outcome_counts.text(now) });
                        continue;
                    }
                    Some(Inbound::AdminRequest(call, answer)) => {
                        let door = *carried.gate.borrow();
                        carried.gate.send_replace(match call {
                            AdminRequest::Standby => door.standby(clock.now()),
                            AdminRequest::Active => door.active(),
                            _ => door,
                        });
                        callers.insert(number, answer);
                        ToSuccessor::AdminRequest { number, call }
                    }
                    Some(Inbound::Terminate) => {
                        stopping = stopping.or(Some(clock.now()));
                        carried.gate.send_replace(AdmissionGate::Closing);
                        continue;
                    }
                    Some(_) => continue,
                    None => return Ok(()),
                };
                let _ = say.send(message);
            }
            message = heard.recv() => match message {
                Some(ToPredecessor::Answer(number, answer)) => {
                    if let Some(waits) = waiting.remove(&number) {
                        let _ = waits.send(answer);
                    }
                }
                Some(ToPredecessor::AdminResponse(number, status, text)) => {
                    if let Some(waits) = callers.remove(&number) {
                        let _ = waits.send(AdminResponse { status, text });
                    }
                }
                Some(ToPredecessor::Cancel(message, attempt)) => carried.cancel(message, attempt),
                Some(ToPredecessor::RequestTakeover | ToPredecessor::TakeoverCompleted { .. }) => {}
                None => return Err("the process that took over is gone".to_owned()),
            },
            _ = look.tick() => {
                if events.is_empty() && step::may_exit(carried.out(), carried.clients(), stopping, clock.now()) {
                    drop(say);
                    let _ = writing.await;
                    return Ok(());
                }
            }
        }
    }
}

/// The predecessor, as a transport with calls in flight for its successor.
pub struct Predecessor {
    outstanding: RefCell<OutstandingAttempts>,
    messages: UnboundedSender<ToPredecessor>,
    /// It is still running.
    running: Cell<bool>,
}

impl Predecessor {
    /// Whether nothing of the predecessor is left.
    pub fn is_gone(&self) -> bool {
        !self.running.get()
    }

    /// Follows the predecessor from now on, until it is gone.
    pub fn follow(
        link: HandoverLink,
        out: Vec<(MessageId, u16, EndpointId)>,
        clock: Clock,
        class: impl Fn(&str) -> Option<usize> + 'static,
        inbound: UnboundedSender<Inbound>,
        gone: impl FnOnce() + 'static,
    ) -> Rc<Self> {
        let (say, mut heard, _) = link.split::<ToPredecessor, ToSuccessor>();
        let before = Rc::new(Self {
            outstanding: RefCell::new(OutstandingAttempts::new(out.into_iter().map(Into::into))),
            messages: say,
            running: Cell::new(true),
        });
        let (followed, began) = (before.clone(), clock.now());
        tokio::task::spawn_local(async move {
            while let Some(message) = heard.recv().await {
                followed.handle(message, &class, &inbound);
            }
            followed.running.set(false);
            let lost = followed.outstanding.borrow_mut().reset_all(clock.now().saturating_sub(began));
            for over in lost {
                let _ = inbound.send(Inbound::CallCompleted(vec![over]));
            }
            gone();
        });
        before
    }

    fn handle(
        &self,
        message: ToSuccessor,
        class: &impl Fn(&str) -> Option<usize>,
        inbound: &UnboundedSender<Inbound>,
    ) {
        let event = match message {
            ToSuccessor::Submitted { number, message: taken, request } => {
                let (answer, answered) = oneshot::channel();
                let say = self.messages.clone();
                tokio::task::spawn_local(async move {
                    let _ = say.send(ToPredecessor::Answer(number, answered.await.unwrap_or(Answer::Failed)));
                });
                let Some(class) = class(&taken.class) else {
                    let _ = answer.send(Answer::Failed);
                    return;
                };
                Inbound::Submitted(Submission { message: Arc::new(taken), class, request, answer })
            }
            ToSuccessor::AdminRequest { number, call } => {
                let (answer, answered) = oneshot::channel();
                let say = self.messages.clone();
                tokio::task::spawn_local(async move {
                    let ending = AdminResponse { status: 503, text: "ending\n".into() };
                    let AdminResponse { status, text } = answered.await.unwrap_or(ending);
                    let _ = say.send(ToPredecessor::AdminResponse(number, status, text));
                });
                Inbound::AdminRequest(call, answer)
            }
            ToSuccessor::Withdrawn { id, request, destination } => {
                Inbound::Withdrawn { id, request, destination }
            }
            ToSuccessor::CallCompleted(over) => match self.outstanding.borrow_mut().complete(over) {
                over if over.is_empty() => return,
                over => Inbound::CallCompleted(over),
            },
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

    /// No address is known here, so that no call starts here.
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
