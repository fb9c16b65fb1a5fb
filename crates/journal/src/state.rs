//! What the journal's records come to: the messages that are owed their end, and the ledger of orders. No I/O.

use std::collections::{BTreeMap, HashMap};
use std::hash::{BuildHasherDefault, Hasher};

use crate::format::{FRAME, moved_size};
use crate::record::{AcceptedMessage, Attempt, LedgerEntry, Micros, PendingMessage, Record};

/// Spreads message numbers, which come one after the other.
#[derive(Debug, Clone, Copy, Default)]
pub struct Spread(u64);

impl Hasher for Spread {
    fn finish(&self) -> u64 {
        self.0
    }
    fn write(&mut self, bytes: &[u8]) {
        bytes.iter().for_each(|byte| self.write_u32(u32::from(*byte)));
    }
    fn write_u32(&mut self, number: u32) {
        self.0 = (self.0 ^ u64::from(number)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    }
}

/// A table by message numbers, in no order.
pub type ByNumber<T> = HashMap<u32, T, BuildHasherDefault<Spread>>;

/// What a message's later records take: its attempts, their ends, its own, and the turns that these begin.
pub const LATER_RECORDS: u64 = 768;

/// What a message may come to need on the disk.
pub fn need(taken: &AcceptedMessage) -> u64 {
    moved_size(taken) + LATER_RECORDS
}

/// What an entry of the ledger takes.
pub fn remembered_size(id: &str) -> u64 {
    (FRAME + 1 + 1 + 8 + 2 + id.len()) as u64
}

#[derive(Debug, Clone)]
pub struct Entry {
    pub remembered: LedgerEntry,
    /// The segment that it stands in.
    pub home: u64,
}

/// All that is known.
#[derive(Debug, Clone, Default)]
pub struct State {
    live: ByNumber<PendingMessage>,
    /// What live messages may come to need.
    needs: u64,
    /// The ledger in the order in which entries came.
    ledger: BTreeMap<u64, Entry>,
    /// The newest entry of each `Req-Id`.
    by_id: HashMap<String, u64>,
    next_entry: u64,
    ledger_bytes: u64,
    /// Classes whose ends come into the ledger, and what the entries of live messages will take in it.
    retained: Vec<String>,
    ledger_owed: u64,
    /// The newest time that was told.
    pub latest: Micros,
}

impl State {
    pub fn live(&self) -> &ByNumber<PendingMessage> {
        &self.live
    }

    pub fn needs(&self) -> u64 {
        self.needs
    }

    pub fn ledger_bytes(&self) -> u64 {
        self.ledger_bytes
    }

    /// What the ledger takes, with the entries of messages that are live.
    pub fn ledger_needs(&self) -> u64 {
        self.ledger_bytes + self.ledger_owed
    }

    /// The ends of these classes come into the ledger.
    pub fn retain(&mut self, classes: Vec<String>) {
        self.retained = classes;
        self.ledger_owed = self.live.values().map(|live| self.owed(&live.message)).sum();
    }

    pub fn retains(&self, class: &str) -> bool {
        self.retained.iter().any(|name| name == class)
    }

    /// What the message's entry will take.
    pub fn owed(&self, taken: &AcceptedMessage) -> u64 {
        if self.retains(&taken.class) { remembered_size(&taken.id) } else { 0 }
    }

    pub fn ledger(&self) -> impl Iterator<Item = (u64, &Entry)> {
        self.ledger.iter().map(|(number, entry)| (*number, entry))
    }

    pub fn entry(&self, number: u64) -> Option<&Entry> {
        self.ledger.get(&number)
    }

    pub fn remembered(&self, id: &str) -> Option<&LedgerEntry> {
        Some(&self.ledger.get(self.by_id.get(id)?)?.remembered)
    }

    /// Takes in a record that stands in that segment. What it says of a message that is not live changes nothing:
    /// its beginning stood in a segment that is no more, since the message was over. Tells the number of a ledger's
    /// entry, if it made one.
    pub fn apply(&mut self, record: Record, home: u64) -> Option<u64> {
        match record {
            Record::Accepted(message, taken) => self.set(message, PendingMessage::new(taken, home)),
            Record::AttemptStarted { message, attempt, endpoint, at } => {
                self.latest = self.latest.max(at);
                if let Some(live) = self.live.get_mut(&message) {
                    live.attempts.push(Attempt { number: attempt, endpoint, at, never_ran: false });
                }
            }
            Record::AttemptEnded { message, attempt, never_ran } => {
                let live = self.live.get_mut(&message);
                let mut attempts = live.into_iter().flat_map(|live| &mut live.attempts);
                if let Some(attempt) = attempts.find(|a| a.number == attempt) {
                    attempt.never_ran = never_ran;
                }
            }
            Record::Abandoned(message, how) => {
                if let Some(live) = self.live.get_mut(&message) {
                    live.abandoned = Some(how);
                }
            }
            Record::Completed(message) => {
                if let Some(live) = self.live.remove(&message) {
                    self.needs -= need(&live.message);
                    self.ledger_owed -= self.owed(&live.message);
                }
            }
            Record::LedgerEntry(remembered) => return Some(self.remember(remembered, home)),
        }
        None
    }

    /// All that is known of a message, in the place of what was.
    pub fn set(&mut self, message: u32, live: PendingMessage) {
        self.needs += need(&live.message);
        self.ledger_owed += self.owed(&live.message);
        if let Some(before) = self.live.insert(message, live) {
            self.needs -= need(&before.message);
            self.ledger_owed -= self.owed(&before.message);
        }
    }

    /// A message's beginning was written anew in that segment.
    pub fn moved(&mut self, message: u32, home: u64) {
        if let Some(live) = self.live.get_mut(&message) {
            live.home = home;
        }
    }

    /// An entry was written anew in that segment.
    pub fn entry_moved(&mut self, number: u64, home: u64) {
        if let Some(entry) = self.ledger.get_mut(&number) {
            entry.home = home;
        }
    }

    fn remember(&mut self, remembered: LedgerEntry, home: u64) -> u64 {
        self.next_entry += 1;
        self.ledger_bytes += remembered_size(&remembered.id);
        if let Some(before) = self.by_id.insert(remembered.id.clone(), self.next_entry) {
            self.drop_entry(before);
        }
        self.ledger.insert(self.next_entry, Entry { remembered, home });
        self.next_entry
    }

    fn drop_entry(&mut self, number: u64) {
        if let Some(entry) = self.ledger.remove(&number) {
            self.ledger_bytes -= remembered_size(&entry.remembered.id);
        }
    }

    /// Forgets entries that were kept for that span, so many at most. One that was moved keeps its place in the order.
    pub fn forget(&mut self, now: Micros, span: Micros, most: usize) {
        for _ in 0..most {
            let Some((number, entry)) = self.ledger.first_key_value() else { return };
            if entry.remembered.at.saturating_add(span) > now {
                return;
            }
            let number = *number;
            let id = entry.remembered.id.clone();
            self.by_id.remove(&id);
            self.drop_entry(number);
        }
    }

    /// Guards against an effect that a damaged stretch hides: each message that is live here may have been sent, it is
    /// not known when or where, or may be over. What stands behind the damage and tells all of a message, or its end,
    /// holds again. It does harm to messages that the damage has nothing to say of: they are not sent any more.
    pub fn suspect(&mut self) -> usize {
        for live in self.live.values_mut() {
            let number = live.attempts.last().map_or(0, |last| last.number.wrapping_add(1));
            live.attempts.push(Attempt { number, endpoint: "".into(), at: 0, never_ran: false });
        }
        self.live.len()
    }
}
