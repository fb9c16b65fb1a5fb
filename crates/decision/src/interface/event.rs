//! Events: what happened since the last batch.

use super::{
    EndpointEntry, EndpointId, Idempotency, Message, MessageId, Micros, Outcome, RecoveredFailures, RouteId,
    RouteSnapshot,
};

/// An event that happened since the last batch.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A message was accepted.
    Accepted(Message),
    /// A message that an earlier process of this sender accepted is recovered.
    Recovered {
        /// The message, with the rest of its delivery time.
        message: Message,
        /// Attempts made so far.
        attempts: u32,
        /// The attempts that may have taken effect: how long ago each began, and at which endpoint.
        may_have_run: Vec<(Micros, EndpointId)>,
        /// Effect of a repeat under the settings that the message was accepted with, if known; the stricter
        /// of this and the idempotency of its class applies.
        idempotency: Option<Idempotency>,
    },
    /// This process ends at that time; its successor recovers the messages still pending.
    ShuttingDown(Micros),
    /// An endpoint stated a Retry-After, in any kind of answer.
    RetryAfter {
        /// The endpoint.
        endpoint: EndpointId,
        /// Time for which no call may start on the endpoint's route: to its destination or, if the routes are
        /// separate, to this endpoint.
        wait: Micros,
    },
    /// A reused connection carried a further call, or broke under it.
    ConnectionReused {
        /// Whether the connection broke.
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
        /// Whether the message has its final answer.
        terminal: bool,
        /// Time since the attempt was sent.
        took: Micros,
        /// The load report, if one came.
        report: Vec<f32>,
    },
    /// A streamed answer began: from now on the client receives the result of the attempt.
    Streaming {
        /// The message.
        message: MessageId,
    },
    /// The client withdrew the message.
    Withdrawn(MessageId),
    /// The complete endpoint list; an endpoint that is not in it is gone.
    EndpointList(Vec<EndpointEntry>),
    /// Changed entries of the endpoint list.
    EndpointChanges(Vec<EndpointEntry>),
    /// Fetching the endpoint list failed, or the subscription to it broke.
    DiscoveryFailed,
    /// A health check ended.
    HealthChecked {
        /// The endpoint.
        endpoint: EndpointId,
        /// How it ended.
        outcome: Outcome,
        /// The load report, if one came.
        report: Vec<f32>,
    },
    /// The part of the sender's capacity for calls and messages that this instance may use, where several
    /// instances share it. Without this event the settings apply in full.
    CapacityChanged {
        /// Largest number of calls in flight.
        max_calls: usize,
        /// Largest number of pending messages.
        max_messages: usize,
    },
    /// The health snapshot of a route from an earlier process of this sender. It has to come after the
    /// endpoint list and before all messages; for an active destination only its wait counts.
    SnapshotRestored {
        /// The destination, and the endpoint if the routes of the destination are separate. For an endpoint
        /// that is not listed, the wait applies to the destination.
        route: RouteId,
        /// The health snapshot.
        snapshot: RouteSnapshot,
    },
    /// The failed calls of an earlier process that kept no health snapshot. It has to come after the endpoint list and before
    /// all messages.
    FailuresRecovered {
        /// The destination, and the endpoint if the routes of the destination are separate.
        route: RouteId,
        /// The failures since the last delivery.
        failures: RecoveredFailures,
    },
    /// Health snapshots of an earlier process are lost or not trusted: each destination without a snapshot is
    /// sent a single call first.
    SnapshotLost,
    /// A gossip message from another sender arrived.
    GossipReceived {
        /// Member index of that sender.
        from: u16,
        /// The gossip message.
        content: Vec<u8>,
    },
    /// A timer fired; the token is that of [`Action::SetTimer`](super::Action::SetTimer).
    TimerFired(u64),
}
