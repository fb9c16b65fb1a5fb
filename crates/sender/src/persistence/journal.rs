//! The journal as a driver uses it: all of it, or one core's part.

use std::io;

use decision::interface::Micros;
use journal::{
    AcceptedMessage, AppendError, ByNumber, Journal, JournalPart, LedgerEntry, PendingMessage, Record,
};

/// Where a driver's messages are written down.
pub enum JournalStore {
    /// The sender has one core.
    Exclusive(Box<Journal>),
    /// One of several.
    Sharded(JournalPart),
}

impl JournalStore {
    /// The messages that are owed their end, by number, in no order.
    pub fn live(&self) -> &ByNumber<PendingMessage> {
        match self {
            Self::Exclusive(journal) => journal.live(),
            Self::Sharded(part) => part.live(),
        }
    }

    /// As [`Journal::append`].
    ///
    /// # Errors
    /// As [`Journal::append`].
    pub fn append(&mut self, now: Micros, records: &mut Vec<Record>) -> Result<(), AppendError> {
        match self {
            Self::Exclusive(journal) => journal.append(now, records),
            Self::Sharded(part) => part.append(now, records),
        }
    }

    /// As [`Journal::has_room`].
    pub fn has_capacity(&self, taken: &AcceptedMessage, pending: u64) -> bool {
        match self {
            Self::Exclusive(journal) => journal.has_capacity(taken, pending),
            Self::Sharded(part) => part.has_capacity(taken, pending),
        }
    }

    /// As [`Journal::room_for`].
    pub fn space_needed(&self, taken: &AcceptedMessage) -> u64 {
        match self {
            Self::Exclusive(journal) => journal.space_needed(taken),
            Self::Sharded(part) => part.space_needed(taken),
        }
    }

    /// As [`Journal::retains`].
    pub fn retains(&self, class: &str) -> bool {
        match self {
            Self::Exclusive(journal) => journal.retains(class),
            Self::Sharded(part) => part.retains(class),
        }
    }

    /// As [`Journal::remembered`].
    pub fn ledger_entry(&self, id: &str, now: Micros) -> Option<LedgerEntry> {
        match self {
            Self::Exclusive(journal) => journal.ledger_entry(id, now).cloned(),
            Self::Sharded(part) => part.ledger_entry(id, now),
        }
    }

    /// As [`Journal::tidy`].
    ///
    /// # Errors
    /// As [`Journal::tidy`].
    pub fn compact_step(&mut self, now: Micros) -> io::Result<()> {
        match self {
            Self::Exclusive(journal) => journal.compact_step(now),
            Self::Sharded(part) => part.compact_step(now),
        }
    }

    /// As [`Journal::room_beside`]; beside one that several cores share nothing is kept.
    pub fn free_reserved_bytes(&self) -> u64 {
        match self {
            Self::Exclusive(journal) => journal.free_reserved_bytes(),
            Self::Sharded(_) => 0,
        }
    }

    /// As [`Journal::set_beside`].
    pub fn set_reserved_bytes(&mut self, bytes: u64) {
        if let Self::Exclusive(journal) = self {
            journal.set_reserved_bytes(bytes);
        }
    }
}
