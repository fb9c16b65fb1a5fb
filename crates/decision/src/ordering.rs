//! Messages that go one at a time, by their keys.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::interface::{MessageId, Micros};

/// Messages of one key, in the order of acceptance.
#[derive(Debug, Default, Serialize, Deserialize)]
struct Lane {
    waiting: VecDeque<MessageId>,
    #[serde(rename = "out")]
    in_flight: BTreeSet<(MessageId, u16)>,
    /// The key rests until then after an unclear end of this message's attempt.
    #[serde(rename = "rest")]
    pause: (Micros, Option<MessageId>),
}

/// All ordered keys.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct OrderingLanes {
    #[serde(rename = "lines")]
    lanes: BTreeMap<u64, Lane>,
    #[serde(rename = "rests")]
    pauses: BTreeSet<(Micros, u64)>,
}

impl OrderingLanes {
    /// Whether no key has anything waiting, out or resting.
    pub fn is_empty(&self) -> bool {
        self.lanes.is_empty()
    }

    /// A message lines up.
    pub fn push(&mut self, key: u64, id: MessageId) {
        self.lanes.entry(key).or_default().waiting.push_back(id);
    }

    /// Whether it is the message's turn: it is the first, no other's attempt is out, and the key does not rest.
    pub fn allows(&self, key: u64, id: MessageId, now: Micros) -> bool {
        let Some(line) = self.lanes.get(&key) else { return true };
        let resting = now < line.pause.0 && line.pause.1 != Some(id);
        line.waiting.front() == Some(&id) && !resting && line.in_flight.iter().all(|out| out.0 == id)
    }

    /// An attempt begins.
    pub fn attempt_started(&mut self, key: u64, id: MessageId, attempt: u16) {
        if let Some(line) = self.lanes.get_mut(&key) {
            line.in_flight.insert((id, attempt));
        }
    }

    /// An attempt ended; the key rests until that time, if it is told. Tells whose turn it may be.
    pub fn attempt_completed(
        &mut self,
        key: u64,
        id: MessageId,
        attempt: u16,
        rest: Option<Micros>,
        now: Micros,
    ) -> Option<MessageId> {
        let line = self.lanes.get_mut(&key)?;
        line.in_flight.remove(&(id, attempt));
        if let Some(until) = rest {
            line.pause = (until, Some(id));
            self.pauses.insert((until, key));
        }
        self.first(key, now)
    }

    /// The message is over. Tells whose turn it may be.
    pub fn remove(&mut self, key: u64, id: MessageId, now: Micros) -> Option<MessageId> {
        self.lanes.get_mut(&key)?.waiting.retain(|waiting| *waiting != id);
        self.first(key, now)
    }

    /// Whose turn it may be, of the keys that have rested by now.
    pub fn take_resumed(&mut self, now: Micros) -> Vec<MessageId> {
        let mut first = Vec::new();
        while let Some((at, key)) = self.pauses.first().copied().filter(|rest| rest.0 <= now) {
            self.pauses.remove(&(at, key));
            first.extend(self.first(key, now));
        }
        first
    }

    /// When the next key has rested.
    pub fn next_due(&self) -> Option<Micros> {
        self.pauses.first().map(|rest| rest.0)
    }

    /// The first of a key; a key of which nothing is to be known any more is forgotten.
    fn first(&mut self, key: u64, now: Micros) -> Option<MessageId> {
        let line = self.lanes.get(&key)?;
        if line.waiting.is_empty() && line.in_flight.is_empty() && line.pause.0 <= now {
            self.lanes.remove(&key);
            return None;
        }
        line.waiting.front().copied()
    }
}
