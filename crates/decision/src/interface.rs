//! The module's interface: settings, events and actions as plain data.
//!
//! Times are microseconds on the clock of the events; the module knows no other clock.

use serde::{Deserialize, Serialize};

pub use dormant::Worst;
pub use shared::Law as SharedLaw;

/// A point in time or a span, in microseconds.
pub type Micros = u64;

/// Identifies a message at this sender; never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MessageId(pub u32);

/// Identifies an endpoint: its address and port. It carries no meaning.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EndpointId(pub [u8; 6]);

/// Identifies a destination.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct DestinationId(pub u16);

/// What a breaker guards: a destination, or one endpoint of it where its routes are apart.
pub type RouteId = (DestinationId, Option<EndpointId>);

/// Where a keyed repeat is recognised.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Group {
    /// At every endpoint of the destination.
    All,
    /// At the endpoints of one zone.
    Zone,
    /// At the one endpoint (the narrowest reading of a group that is not known).
    Endpoint,
}

/// What repeating a message does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Effect {
    /// Repeats do no harm.
    Repeatable,
    /// Repeats are dropped by the destination for a while after the first that may have run.
    Keyed {
        /// Which endpoints drop repeats.
        group: Group,
        /// For how long they do.
        window: Micros,
    },
    /// Must never take effect twice.
    Once,
}

impl Effect {
    /// For how long repeats are dropped.
    pub fn window(self) -> Option<Micros> {
        match self {
            Self::Keyed { window, .. } => Some(window),
            Self::Repeatable | Self::Once => None,
        }
    }

    /// What a message is bound by to which both applied. Guards what an earlier process took on under other settings.
    #[must_use]
    pub fn stricter(self, other: Self) -> Self {
        match (self, other) {
            (Self::Once, _) | (_, Self::Once) => Self::Once,
            (Self::Repeatable, other) => other,
            (this, Self::Repeatable) => this,
            (Self::Keyed { group, window }, Self::Keyed { group: other, window: until }) => {
                let group = match (group, other) {
                    (Group::All, group) | (group, Group::All) => group,
                    (Group::Zone, Group::Zone) => Group::Zone,
                    _ => Group::Endpoint,
                };
                Self::Keyed { group, window: window.min(until) }
            }
        }
    }
}

/// How worth falls once the aim has passed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Decay {
    /// Evenly, down to the late worth at the deadline.
    Line,
    /// By half with each further aim, not under the late worth.
    Halves,
}

/// A class of message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Class {
    /// What repeating does.
    pub effect: Effect,
    /// Full worth is earned within this time.
    pub aim: Micros,
    /// The longest time to deliver in.
    pub deadline: Micros,
    /// Worth of a message in time.
    pub worth: f64,
    /// Share of the worth left at the deadline.
    pub late_worth: f64,
    /// Messages sharing a key go one at a time, in order.
    pub in_order: bool,
}

/// A tenant and its share.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Tenant {
    /// Messages a second, over all senders, within its share.
    pub quota: f64,
}

/// A kind of destination.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Kind {
    /// Its endpoints are routes apart, each with limit, pace and outages of its own.
    pub routes_apart: bool,
    /// Messages that one call carries at most.
    pub bundle: usize,
}

/// What the weight of an endpoint's listing says.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Weights {
    /// Nothing.
    None,
    /// Calls a second that the destination takes from all senders together.
    Nominal,
    /// The same, up to half too high or too low.
    Rough,
}

impl Weights {
    /// Calls a second that a weight promises at least; 0 where it promises nothing.
    pub(crate) fn calls(self, weight: f64) -> f64 {
        match self {
            Self::None => 0.0,
            Self::Nominal => weight,
            Self::Rough => weight / 1.5,
        }
    }
}

/// How destinations that nothing is sent to for long are remembered, and woken.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Dormant {
    /// A destination sleeps when nothing was sent to it for so long.
    pub after: Micros,
    /// What is remembered of it, its wait apart, is worth nothing after this time.
    pub remember: Micros,
    /// Routes that are remembered asleep at most.
    pub most: usize,
    /// Destinations that are awake at most; what is handed in for a further one is refused.
    pub awake: usize,
    /// First calls to destinations that wake, a second.
    pub wakes: f64,
}

/// The figures of the rules.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rules {
    /// A final answer is valid this long after the deadline.
    pub answer_slack: Micros,
    /// Where the list is asked for: the longest time without asking.
    pub ask_every: Option<Micros>,
    /// A returning destination has at least this share of its capacity.
    pub cold_share: f64,
    /// It has all of it after this time.
    pub warm_within: Micros,
    /// It falls over when sent this multiple of its present capacity ...
    pub fall_multiple: f64,
    /// ... for this long.
    pub overload_for: Micros,
    /// Sends to a draining or gone endpoint must have ceased after this.
    pub drain_grace: Micros,
    /// Rest of an ordered key after an attempt that may still be executing.
    pub order_pause: Micros,
}

/// What an instance is told at its start.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Settings {
    /// Classes of message.
    pub classes: Vec<Class>,
    /// Tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Kinds of destination.
    pub kinds: Vec<Kind>,
    /// Fee for each zone, for messages that a route apart there takes on.
    pub tolls: Vec<f64>,
    /// How worth falls after the aim.
    pub decay: Decay,
    /// Calls that may be out at once.
    pub slots: usize,
    /// Messages that may be held.
    pub max_open: usize,
    /// Most attempts for one message.
    pub try_limit: u32,
    /// A message may have two attempts out at once.
    pub second_copies: bool,
    /// Attempts may be cancelled.
    pub cancelling: bool,
    /// Endpoints may be probed.
    pub probing: bool,
    /// Price of a probe, in the unit of a message's worth.
    pub probe_price: f64,
    /// Price of a call refused above a limit, in the same unit.
    pub refused_price: f64,
    /// A connection not made within this time has failed.
    pub connect_timeout: Micros,
    /// An idle connection closes by itself after this time; `Micros::MAX` if it does not.
    pub idle_close: Micros,
    /// Longest advice to return later that clients heed.
    pub max_retry_after: Micros,
    /// The list of endpoints comes only when asked for.
    pub must_ask: bool,
    /// What an endpoint's weight says.
    pub weights: Weights,
    /// Share of worth left to a message beyond its tenant's share.
    pub over_share_worth: f64,
    /// Places of `x0` (share of the limit left) and `x1` (limit, calls a second) in a load report.
    pub report: (Option<usize>, Option<usize>),
    /// Senders of this tier.
    pub senders: usize,
    /// Shortest time between two batches of events.
    pub period: Micros,
    /// Idle destinations sleep; without it none does.
    pub dormant: Option<Dormant>,
    /// What senders tell one another; without it nothing is said, and what others say counts for nothing.
    #[serde(default)]
    pub shared: Option<SharedLaw>,
    /// Rules of the users.
    pub rules: Rules,
}

/// State of an endpoint in the list. It says nothing of health.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Listing {
    /// Listed.
    Ready,
    /// Nothing new may be sent.
    Draining,
    /// Removed.
    Gone,
}

/// An entry of the list of endpoints.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The destination it belongs to.
    pub destination: DestinationId,
    /// Its zone.
    pub zone: u16,
    /// Its kind, a position in [`Settings::kinds`].
    pub kind: usize,
    /// Its weight; see [`Weights`].
    pub weight: f64,
    /// Its state.
    pub listing: Listing,
}

/// A message handed to this sender, which owes it one final answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// Its id.
    pub id: MessageId,
    /// Its class, a position in [`Settings::classes`].
    pub class: usize,
    /// Its tenant, a position in [`Settings::tenants`].
    pub tenant: usize,
    /// The key of its order, if any.
    pub key: Option<u64>,
    /// How long it may still be delivered.
    pub time_left: Micros,
    /// A guess of the call's time.
    pub hint: Option<Micros>,
    /// Where it goes.
    pub destination: DestinationId,
}

/// What was learnt of a route, in plain form: for the next process of this sender, or from the one before. Times are on the
/// clock of the events; 0, or nothing, stands for what is not known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Learnt {
    /// Nothing may go before: a wait that was told, or this sender's own pause.
    pub wait_until: Micros,
    /// Calls a second from all senders that reports or the list told of.
    pub limit: f64,
    /// When a limit was last seen used up, or was told to be lowered.
    pub short_at: Option<Micros>,
    /// Calls a second at which it refused no more; 0 where it never refused.
    pub pace: f64,
    /// Calls a second that went well from here.
    pub rate: f64,
    /// The worst that its last calls came to.
    pub worst: Worst,
    /// Failures in a row that are no outage yet.
    pub failures: u32,
    /// When the outage was first seen that may not be over.
    pub ill_since: Option<Micros>,
    /// When it first answered after an outage.
    pub cold_since: Option<Micros>,
    /// When a call last went well.
    pub well_at: Micros,
    /// When the next trial is due where the breaker is open; and the time from a failure to the trial.
    pub trial: Option<(Micros, Micros)>,
    /// Weight of the calls of the last overload's span, and when the last one went.
    pub spent: (f64, Micros),
    /// Mean time of an answer and its mean deviation, in microseconds.
    pub answers: Option<(f64, f64)>,
}

impl Learnt {
    /// Of a route of which something was known that is lost: it may be ill.
    pub fn lost() -> Self {
        Self { worst: Worst::Failed, ..Self::default() }
    }
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Delivered.
    Delivered,
    /// The destination answered with an error.
    Error,
    /// Turned away unseen, with the time to wait if one was told.
    Full(Option<Micros>),
    /// No answer in time.
    TimedOut,
    /// No connection was made.
    ConnectFailed,
    /// The connection broke.
    Reset,
    /// An answer came that can't be believed: the endpoint is there, and the attempt may have run.
    Spoilt,
    /// Turned away unseen, together with its connection: the endpoint holds as many of them as it can.
    Crowded,
    /// Called off.
    Cancelled,
    /// Not sent at all.
    Moot {
        /// Because no slot was free.
        no_slot: bool,
    },
}

impl Outcome {
    /// Whether the destination answered, with whatever.
    pub(crate) fn answered(self) -> bool {
        matches!(self, Self::Delivered | Self::Error | Self::Full(_) | Self::Crowded | Self::Spoilt)
    }

    /// Whether the outcome proves that the attempt never took effect.
    pub fn never_ran(self) -> bool {
        matches!(self, Self::Full(_) | Self::Crowded | Self::ConnectFailed | Self::Moot { .. })
    }
}

/// What happened since the last batch.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A message was handed in.
    Accepted(Message),
    /// A message that an earlier process of this sender took on is picked up again.
    Resumed {
        /// The message, with what is left of its time.
        message: Message,
        /// Attempts used so far.
        attempts: u32,
        /// Those of them that may have run: how long ago each began, and where.
        may_have_run: Vec<(Micros, EndpointId)>,
        /// What repeating it did under the settings it was taken on under, where that is known; the stricter of that and
        /// its class's holds.
        effect: Option<Effect>,
    },
    /// This process ends at that time; what is left then is picked up by the next one.
    Stopping(Micros),
    /// An endpoint told a wait, in whatever answer.
    Wait {
        /// The endpoint.
        endpoint: EndpointId,
        /// Nothing may go to its destination for so long.
        wait: Micros,
    },
    /// A connection that was kept carried a further call, or broke under it.
    Kept {
        /// It broke.
        lost: bool,
    },
    /// An attempt ended.
    Ended {
        /// The message.
        message: MessageId,
        /// The attempt's number, from 0.
        attempt: u16,
        /// The endpoint.
        endpoint: EndpointId,
        /// How it ended.
        outcome: Outcome,
        /// The message has its final answer.
        terminal: bool,
        /// Time since it was sent.
        took: Micros,
        /// The load report, if one came.
        report: Vec<f32>,
    },
    /// A streamed answer began: the attempt is now the client's.
    Streaming {
        /// The message.
        message: MessageId,
    },
    /// The client has withdrawn the message.
    Left(MessageId),
    /// The whole list of endpoints; what is not in it is gone.
    List(Vec<Entry>),
    /// Changed entries of the list.
    Changes(Vec<Entry>),
    /// Asking for the list failed, or the watch broke.
    ListFailed,
    /// A probe came back.
    Probed {
        /// The endpoint.
        endpoint: EndpointId,
        /// How it ended.
        outcome: Outcome,
        /// The load report, if one came.
        report: Vec<f32>,
    },
    /// What this module may use of the sender's slots and of its room for messages, where several modules share both. Without
    /// it, all that the settings say.
    Room {
        /// Calls that may be out at once.
        slots: usize,
        /// Messages that may be held.
        held: usize,
    },
    /// An earlier process of this sender learnt that of a route. To be told after the list, ahead of all messages; of a
    /// destination that is awake it changes nothing but its wait.
    Learnt {
        /// The destination, and the endpoint where its routes are apart. One that is not listed leaves its wait to the
        /// destination.
        route: RouteId,
        /// What it learnt.
        learnt: Learnt,
    },
    /// What an earlier process learnt of destinations is lost, or can't be believed: each one that nothing is told of
    /// begins with one call.
    LearntLost,
    /// A note from another sender.
    Note {
        /// Its rank.
        from: u16,
        /// The note.
        content: Vec<u8>,
    },
    /// A reminder came due.
    Reminder(u64),
}

/// What the sender is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Call an endpoint with the message.
    Attempt {
        /// The message.
        message: MessageId,
        /// Where to.
        endpoint: EndpointId,
        /// Time-out of the attempt.
        timeout: Micros,
        /// Its last byte leaves within that time or not at all.
        leave_within: Micros,
        /// The call's last byte goes so long after the others, so that a connection that is lost shows before.
        hold: Micros,
        /// Over a connection of its own, not over one that was kept.
        fresh: bool,
    },
    /// Final answer: handed back; handing it in again is harmless.
    Refuse {
        /// The message.
        message: MessageId,
        /// Advice on when to return; 0 for none.
        retry_after: Micros,
    },
    /// Final answer: failed.
    Fail(MessageId),
    /// Stop waiting for an attempt.
    Cancel {
        /// The message.
        message: MessageId,
        /// The attempt's number.
        attempt: u16,
    },
    /// Probe an endpoint.
    Probe(EndpointId),
    /// Close idle connections to an endpoint.
    CloseIdle(EndpointId),
    /// Ask to be told of changes of the list.
    Watch,
    /// Ask for the whole list once.
    FetchList,
    /// Send a note to one sender, or to all.
    Tell {
        /// Rank of the receiver; none for all.
        to: Option<u16>,
        /// At most 256 bytes.
        content: Vec<u8>,
    },
    /// Ask for a [`Event::Reminder`].
    Remind {
        /// When.
        at: Micros,
        /// Chosen by the module.
        token: u64,
    },
    /// A line for the operators.
    Log(String),
}
