//! The journal as a driver uses it: all of it, or one core's part.

use std::io;

use decision::interface::Micros;
use journal::{
    AcceptedMessage, AppendError, ByNumber, Journal, JournalPart, LedgerEntry, PendingMessage, Record,
};

/// Where a driver's messages are written down.
pub enum Store {
    /// The sender has one core.
    Whole(Box<Journal>),
    /// One of several.
    Part(JournalPart),
}

impl Store {
    /// The messages that are owed their end, by number, in no order.
    pub fn live(&self) -> &ByNumber<PendingMessage> {
        match self {
            Self::Whole(journal) => journal.live(),
            Self::Part(part) => part.live(),
        }
    }

    /// As [`Journal::append`].
    ///
    /// # Errors
    /// As [`Journal::append`].
    pub fn append(&mut self, now: Micros, records: &mut Vec<Record>) -> Result<(), AppendError> {
        match self {
            Self::Whole(journal) => journal.append(now, records),
            Self::Part(part) => part.append(now, records),
        }
    }

    /// As [`Journal::has_room`].
    pub fn has_room(&self, taken: &AcceptedMessage, pending: u64) -> bool {
        match self {
            Self::Whole(journal) => journal.has_capacity(taken, pending),
            Self::Part(part) => part.has_capacity(taken, pending),
        }
    }

    /// As [`Journal::room_for`].
    pub fn room_for(&self, taken: &AcceptedMessage) -> u64 {
        match self {
            Self::Whole(journal) => journal.space_needed(taken),
            Self::Part(part) => part.space_needed(taken),
        }
    }

    /// As [`Journal::retains`].
    pub fn retains(&self, class: &str) -> bool {
        match self {
            Self::Whole(journal) => journal.retains(class),
            Self::Part(part) => part.retains(class),
        }
    }

    /// As [`Journal::remembered`].
    pub fn remembered(&self, id: &str, now: Micros) -> Option<LedgerEntry> {
        match self {
            Self::Whole(journal) => journal.ledger_entry(id, now).cloned(),
            Self::Part(part) => part.ledger_entry(id, now),
        }
    }

    /// As [`Journal::tidy`].
    ///
    /// # Errors
    /// As [`Journal::tidy`].
    pub fn tidy(&mut self, now: Micros) -> io::Result<()> {
        match self {
            Self::Whole(journal) => journal.compact_step(now),
            Self::Part(part) => part.compact_step(now),
        }
    }

    /// As [`Journal::room_beside`]; beside one that several cores share nothing is kept.
    pub fn room_beside(&self) -> u64 {
        match self {
            Self::Whole(journal) => journal.free_reserved_bytes(),
            Self::Part(_) => 0,
        }
    }

    /// As [`Journal::set_beside`].
    pub fn set_beside(&mut self, bytes: u64) {
        if let Self::Whole(journal) = self {
            journal.set_reserved_bytes(bytes);
        }
    }
}
