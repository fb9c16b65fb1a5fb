//! What happened since the last batch.

use super::{
    EndpointEntry, EndpointId, Idempotency, Message, MessageId, Micros, Outcome, RouteId, RouteSnapshot,
};

/// What happened since the last batch.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A message was handed in.
    Accepted(Message),
    /// A message that an earlier process of this sender took on is picked up again.
    Recovered {
        /// The message, with what is left of its time.
        message: Message,
        /// Attempts used so far.
        attempts: u32,
        /// Those of them that may have run: how long ago each began, and where.
        may_have_run: Vec<(Micros, EndpointId)>,
        /// What repeating it did under the settings it was taken on under, where that is known; the stricter of that and
        /// its class's holds.
        idempotency: Option<Idempotency>,
    },
    /// This process ends at that time; what is left then is picked up by the next one.
    ShuttingDown(Micros),
    /// An endpoint told a wait, in whatever answer.
    RetryAfter {
        /// The endpoint.
        endpoint: EndpointId,
        /// Nothing may go to its destination for so long.
        wait: Micros,
    },
    /// A connection that was kept carried a further call, or broke under it.
    ConnectionReused {
        /// It broke.
        lost: bool,
    },
    /// An attempt ended.
    AttemptCompleted {
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
    Withdrawn(MessageId),
    /// The whole list of endpoints; what is not in it is gone.
    EndpointList(Vec<EndpointEntry>),
    /// Changed entries of the list.
    EndpointChanges(Vec<EndpointEntry>),
    /// Asking for the list failed, or the watch broke.
    DiscoveryFailed,
    /// A probe came back.
    HealthChecked {
        /// The endpoint.
        endpoint: EndpointId,
        /// How it ended.
        outcome: Outcome,
        /// The load report, if one came.
        report: Vec<f32>,
    },
    /// What this module may use of the sender's slots and of its room for messages, where several modules share both. Without
    /// it, all that the settings say.
    CapacityChanged {
        /// Calls that may be out at once.
        max_calls: usize,
        /// Messages that may be held.
        max_messages: usize,
    },
    /// An earlier process of this sender learnt that of a route. To be told after the list, ahead of all messages; of a
    /// destination that is awake it changes nothing but its wait.
    SnapshotRestored {
        /// The destination, and the endpoint where its routes are apart. One that is not listed leaves its wait to the
        /// destination.
        route: RouteId,
        /// What it learnt.
        snapshot: RouteSnapshot,
    },
    /// What an earlier process learnt of destinations is lost, or can't be believed: each one that nothing is told of
    /// begins with one call.
    SnapshotLost,
    /// A note from another sender.
    GossipReceived {
        /// Its rank.
        from: u16,
        /// The note.
        content: Vec<u8>,
    },
    /// A reminder came due.
    TimerFired(u64),
}
