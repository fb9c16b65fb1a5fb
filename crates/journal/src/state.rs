//! The state that results from a journal's records: pending messages and the ledger of final outcomes. No I/O.

use std::collections::{BTreeMap, HashMap};
use std::hash::{BuildHasherDefault, Hasher};
use std::ops::{AddAssign, SubAssign};
use std::sync::Arc;

use crate::format::{FRAME_HEADER_SIZE, relocated_size};
use crate::record::{AcceptedMessage, Attempt, LedgerEntry, Micros, PendingMessage, Record};

/// Hashes message numbers, which are mostly consecutive, by multiplication.
#[derive(Debug, Clone, Copy, Default)]
pub struct MessageNumberHasher(u64);

impl Hasher for MessageNumberHasher {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        bytes.iter().for_each(|byte| self.write_u32(u32::from(*byte)));
    }

    fn write_u32(&mut self, number: u32) {
        /// 2⁶⁴ divided by the golden ratio, made odd.
        const FIBONACCI_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
        self.0 = (self.0 ^ u64::from(number)).wrapping_mul(FIBONACCI_MULTIPLIER);
    }
}

/// A table by message number, in no particular order.
pub type ByNumber<T> = HashMap<u32, T, BuildHasherDefault<MessageNumberHasher>>;

/// Bytes reserved for a message's records after its acceptance: its attempts, their results, its outcome, and the
/// batch starts before these.
pub const LATER_RECORDS_SIZE: u64 = 768;

/// Bytes on the disk that are reserved for a message until its outcome is recorded.
pub fn reserved_size(message: &AcceptedMessage) -> u64 {
    relocated_size(message) + LATER_RECORDS_SIZE
}

/// Size in bytes of the frame that holds a ledger entry.
pub fn ledger_entry_size(id: &str) -> u64 {
    const TAG: usize = 1;
    const DELIVERED: usize = 1;
    const TIME: usize = 8;
    const ID_LENGTH: usize = 2;
    (FRAME_HEADER_SIZE + TAG + DELIVERED + TIME + ID_LENGTH + id.len()) as u64
}

/// The space that messages need until their outcomes, in bytes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SpaceNeeded {
    /// All of it.
    pub total: u64,
    /// The part for ledger entries.
    pub ledger: u64,
}

impl AddAssign for SpaceNeeded {
    fn add_assign(&mut self, other: Self) {
        self.total += other.total;
        self.ledger += other.ledger;
    }
}

impl SubAssign for SpaceNeeded {
    fn sub_assign(&mut self, other: Self) {
        self.total -= other.total;
        self.ledger -= other.ledger;
    }
}

/// An entry of the ledger, and where it is stored.
#[derive(Debug, Clone)]
pub struct StoredEntry {
    pub entry: LedgerEntry,
    /// Sequence number of the segment that holds the entry.
    pub segment: u64,
}

/// When the latest delivered call to each endpoint started, by the endpoint's name.
pub type LastDeliveries = HashMap<Arc<str>, Micros>;

/// The state that results from all records.
///
/// Sums of sizes are updated with each change, so that the capacity is known without iterating over the tables.
#[derive(Debug, Clone, Default)]
pub struct State {
    live: ByNumber<PendingMessage>,
    /// Sum of [`reserved_size`] over all pending messages.
    reserved_bytes: u64,
    /// The ledger in the order in which its entries were added. The key is a number that is not stored.
    ledger: BTreeMap<u64, StoredEntry>,
    /// The latest entry of each `Req-Id`.
    ledger_by_id: HashMap<String, u64>,
    last_entry_number: u64,
    ledger_bytes: u64,
    /// Names of the classes whose outcomes go to the ledger.
    retained_classes: Vec<String>,
    /// Bytes that the entries of pending messages will need.
    pending_ledger_bytes: u64,
    /// The latest time that any record states.
    pub latest_time: Micros,
    last_deliveries: Arc<LastDeliveries>,
}

impl State {
    /// The pending messages by number.
    pub fn live(&self) -> &ByNumber<PendingMessage> {
        &self.live
    }

    /// Bytes reserved for all pending messages.
    pub fn reserved_bytes(&self) -> u64 {
        self.reserved_bytes
    }

    /// Bytes that the ledger occupies.
    pub fn ledger_bytes(&self) -> u64 {
        self.ledger_bytes
    }

    /// Bytes that the ledger will occupy once all pending messages have their entries.
    pub fn ledger_reserved_bytes(&self) -> u64 {
        self.ledger_bytes + self.pending_ledger_bytes
    }

    /// Sets the classes whose outcomes go to the ledger.
    pub fn retain_classes(&mut self, classes: Vec<String>) {
        self.retained_classes = classes;
        self.pending_ledger_bytes =
            self.live.values().map(|pending| self.ledger_size(&pending.message)).sum();
    }

    /// Whether this class's outcomes go to the ledger.
    pub fn retains(&self, class: &str) -> bool {
        self.retained_classes.iter().any(|name| name == class)
    }

    /// Bytes that a message's ledger entry will need; 0 if it will have none.
    pub fn ledger_size(&self, message: &AcceptedMessage) -> u64 {
        if self.retains(&message.class) { ledger_entry_size(&message.id) } else { 0 }
    }

    /// The space that a message needs until its outcome.
    pub fn space_needed(&self, message: &AcceptedMessage) -> SpaceNeeded {
        let ledger = self.ledger_size(message);
        SpaceNeeded { total: reserved_size(message) + ledger, ledger }
    }

    /// The latest deliveries in the records that were replayed; segments that were compacted hold none.
    pub fn last_deliveries(&self) -> &LastDeliveries {
        &self.last_deliveries
    }

    /// Records that a call to an endpoint delivered a message.
    pub fn record_delivery(&mut self, endpoint: Arc<str>, started_at: Micros) {
        let latest = Arc::make_mut(&mut self.last_deliveries).entry(endpoint).or_default();
        *latest = started_at.max(*latest);
    }

    /// Takes over the latest deliveries of another state.
    pub fn share_deliveries(&mut self, other: &Self) {
        self.last_deliveries = other.last_deliveries.clone();
    }

    /// The call that delivers a pending message if the message is completed now.
    pub fn delivering_attempt(&self, message: u32) -> Option<&Attempt> {
        let pending = self.live.get(&message).filter(|pending| pending.abandoned.is_none())?;
        pending.attempts.last().filter(|attempt| !attempt.never_ran)
    }

    /// The ledger's entries by number, oldest first.
    pub fn ledger(&self) -> impl Iterator<Item = (u64, &StoredEntry)> {
        self.ledger.iter().map(|(number, stored)| (*number, stored))
    }

    /// The ledger entry of this number.
    pub fn stored_entry(&self, number: u64) -> Option<&StoredEntry> {
        self.ledger.get(&number)
    }

    /// The latest ledger entry of a `Req-Id`.
    pub fn ledger_entry(&self, id: &str) -> Option<&LedgerEntry> {
        Some(&self.ledger.get(self.ledger_by_id.get(id)?)?.entry)
    }

    /// Applies a record that is stored in `segment`, and returns the number of the ledger entry that it added, if any.
    ///
    /// A record of a message that is not pending changes nothing: the message was completed, and the segment that held
    /// its acceptance is gone.
    pub fn apply(&mut self, record: Record, segment: u64) -> Option<u64> {
        match record {
            Record::Accepted(message, accepted) => {
                self.insert(message, PendingMessage::new(accepted, segment));
            }
            Record::AttemptStarted { message, attempt, endpoint, at } => {
                self.latest_time = self.latest_time.max(at);
                if let Some(pending) = self.live.get_mut(&message) {
                    pending.attempts.push(Attempt { number: attempt, endpoint, at, never_ran: false });
                }
            }
            Record::AttemptEnded { message, attempt, never_ran } => {
                self.end_attempt(message, attempt, never_ran);
            }
            Record::Abandoned(message, abandonment) => {
                if let Some(pending) = self.live.get_mut(&message) {
                    pending.abandoned = Some(abandonment);
                }
            }
            Record::Completed(message) => self.remove(message),
            Record::LedgerEntry(entry) => return Some(self.insert_entry(entry, segment)),
        }
        None
    }

    /// Inserts a message with its complete state, and replaces one of the same number.
    pub fn insert(&mut self, message: u32, pending: PendingMessage) {
        self.reserved_bytes += reserved_size(&pending.message);
        self.pending_ledger_bytes += self.ledger_size(&pending.message);
        if let Some(previous) = self.live.insert(message, pending) {
            self.release(&previous);
        }
    }

    /// Records that a message was copied to `segment`.
    pub fn set_segment(&mut self, message: u32, segment: u64) {
        if let Some(pending) = self.live.get_mut(&message) {
            pending.segment = segment;
        }
    }

    /// Records that a ledger entry was copied to `segment`.
    pub fn set_entry_segment(&mut self, number: u64, segment: u64) {
        if let Some(stored) = self.ledger.get_mut(&number) {
            stored.segment = segment;
        }
    }

    /// Drops at most `limit` ledger entries that are older than `span`, oldest first. Entries keep their order when
    /// they are copied.
    pub fn expire_ledger(&mut self, now: Micros, span: Micros, limit: usize) {
        for _ in 0..limit {
            let Some((number, stored)) = self.ledger.first_key_value() else { return };
            if stored.entry.at.saturating_add(span) > now {
                return;
            }
            let number = *number;
            let id = stored.entry.id.clone();
            self.ledger_by_id.remove(&id);
            self.remove_entry(number);
        }
    }

    /// Adds an attempt of unknown time and endpoint that may have run to every pending message, because a damaged range
    /// may have held the record of such an attempt. A later record that holds the message's complete state, or
    /// completes it, removes the attempt again. Messages that the damage does not concern are marked too and are no
    /// longer sent. Returns the number of messages.
    pub fn mark_possibly_applied(&mut self) -> usize {
        for pending in self.live.values_mut() {
            let number = pending.attempts.last().map_or(0, |last| last.number.wrapping_add(1));
            pending.attempts.push(Attempt { number, endpoint: "".into(), at: 0, never_ran: false });
        }
        self.live.len()
    }

    fn end_attempt(&mut self, message: u32, attempt: u16, never_ran: bool) {
        let Some(pending) = self.live.get_mut(&message) else { return };
        if let Some(attempt) = pending.attempts.iter_mut().find(|other| other.number == attempt) {
            attempt.never_ran = never_ran;
        }
    }

    fn remove(&mut self, message: u32) {
        if let Some(pending) = self.live.remove(&message) {
            self.release(&pending);
        }
    }

    /// Releases the bytes that were reserved for a message.
    fn release(&mut self, pending: &PendingMessage) {
        self.reserved_bytes -= reserved_size(&pending.message);
        self.pending_ledger_bytes -= self.ledger_size(&pending.message);
    }

    fn insert_entry(&mut self, entry: LedgerEntry, segment: u64) -> u64 {
        self.last_entry_number += 1;
        self.ledger_bytes += ledger_entry_size(&entry.id);
        if let Some(previous) = self.ledger_by_id.insert(entry.id.clone(), self.last_entry_number) {
            self.remove_entry(previous);
        }
        self.ledger.insert(self.last_entry_number, StoredEntry { entry, segment });
        self.last_entry_number
    }

    fn remove_entry(&mut self, number: u64) {
        if let Some(stored) = self.ledger.remove(&number) {
            self.ledger_bytes -= ledger_entry_size(&stored.entry.id);
        }
    }
}
