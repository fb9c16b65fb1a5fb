//! Ordering lanes: messages with the same ordering key are sent one at a time, in the order of acceptance.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::interface::{MessageId, Micros};

/// Messages of one key, in the order of acceptance.
#[derive(Debug, Default, Serialize, Deserialize)]
struct Lane {
    /// Messages without a final answer.
    waiting: VecDeque<MessageId>,
    /// Attempts in flight: message and attempt number.
    #[serde(rename = "out")]
    in_flight: BTreeSet<(MessageId, u16)>,
    /// After an attempt of this message ended without a clear outcome, all other messages of the lane
    /// wait until this time.
    #[serde(rename = "rest")]
    pause: (Micros, Option<MessageId>),
}

/// The lanes of all ordering keys.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct OrderingLanes {
    #[serde(rename = "lines")]
    lanes: BTreeMap<u64, Lane>,
    /// When pauses end, earliest first.
    #[serde(rename = "rests")]
    pauses: BTreeSet<(Micros, u64)>,
}

impl OrderingLanes {
    /// Returns whether no key has a pending message, an attempt in flight or a pause.
    pub fn is_empty(&self) -> bool {
        self.lanes.is_empty()
    }

    /// Appends a message to its lane.
    pub fn push(&mut self, key: u64, id: MessageId) {
        self.lanes.entry(key).or_default().waiting.push_back(id);
    }

    /// Returns whether it is the message's turn: it is the first of its lane, no attempt of another message
    /// is in flight, and the lane is not paused for it.
    pub fn allows(&self, key: u64, id: MessageId, now: Micros) -> bool {
        let Some(lane) = self.lanes.get(&key) else { return true };
        let paused = now < lane.pause.0 && lane.pause.1 != Some(id);
        lane.waiting.front() == Some(&id) && !paused && lane.in_flight.iter().all(|attempt| attempt.0 == id)
    }

    /// Records the start of an attempt.
    pub fn attempt_started(&mut self, key: u64, id: MessageId, attempt: u16) {
        if let Some(lane) = self.lanes.get_mut(&key) {
            lane.in_flight.insert((id, attempt));
        }
    }

    /// Records the end of an attempt, and pauses the lane until `pause` if given. Returns the message whose
    /// turn it may be.
    pub fn attempt_completed(
        &mut self,
        key: u64,
        id: MessageId,
        attempt: u16,
        pause: Option<Micros>,
        now: Micros,
    ) -> Option<MessageId> {
        let lane = self.lanes.get_mut(&key)?;
        lane.in_flight.remove(&(id, attempt));
        if let Some(until) = pause {
            lane.pause = (until, Some(id));
            self.pauses.insert((until, key));
        }
        self.first(key, now)
    }

    /// Removes a message. Returns the message whose turn it may be.
    pub fn remove(&mut self, key: u64, id: MessageId, now: Micros) -> Option<MessageId> {
        self.lanes.get_mut(&key)?.waiting.retain(|waiting| *waiting != id);
        self.first(key, now)
    }

    /// Ends the pauses that are over. Returns the messages whose turn it may be.
    pub fn take_resumed(&mut self, now: Micros) -> Vec<MessageId> {
        let mut first = Vec::new();
        while let Some((at, key)) = self.pauses.first().copied().filter(|pause| pause.0 <= now) {
            self.pauses.remove(&(at, key));
            first.extend(self.first(key, now));
        }
        first
    }

    /// Returns when the next pause ends.
    pub fn next_due(&self) -> Option<Micros> {
        self.pauses.first().map(|pause| pause.0)
    }

    /// Returns the first message of a lane; removes the lane if it is empty, has nothing in flight and is not
    /// paused.
    fn first(&mut self, key: u64, now: Micros) -> Option<MessageId> {
        let lane = self.lanes.get(&key)?;
        if lane.waiting.is_empty() && lane.in_flight.is_empty() && lane.pause.0 <= now {
            self.lanes.remove(&key);
            return None;
        }
        lane.waiting.front().copied()
    }
}
