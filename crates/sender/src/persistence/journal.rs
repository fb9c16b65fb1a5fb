//! The journal as an event loop uses it: the whole journal, or one shard's part.

use std::io;

use decision::interface::Micros;
use journal::{
    AcceptedMessage, AppendError, ByNumber, Journal, JournalPart, LastDeliveries, LedgerEntry,
    PendingMessage, Record, Shortage, SpaceNeeded,
};

/// The journal of an event loop.
pub enum JournalStore {
    /// The whole journal, if there is a single event loop.
    Exclusive(Box<Journal>),
    /// One shard's part.
    Sharded(JournalPart),
}

impl JournalStore {
    /// The pending messages by number, in no particular order.
    pub fn live(&self) -> &ByNumber<PendingMessage> {
        match self {
            Self::Exclusive(journal) => journal.live(),
            Self::Sharded(journal_part) => journal_part.live(),
        }
    }

    /// As [`Journal::last_deliveries`].
    pub fn last_deliveries(&self) -> &LastDeliveries {
        match self {
            Self::Exclusive(journal) => journal.last_deliveries(),
            Self::Sharded(journal_part) => journal_part.last_deliveries(),
        }
    }

    /// As [`Journal::append`].
    ///
    /// # Errors
    /// As [`Journal::append`].
    pub fn append(&mut self, now: Micros, records: &mut Vec<Record>) -> Result<(), AppendError> {
        match self {
            Self::Exclusive(journal) => journal.append(now, records),
            Self::Sharded(journal_part) => journal_part.append(now, records),
        }
    }

    /// As [`Journal::shortage`].
    pub fn shortage(&self, message: &AcceptedMessage, pending: SpaceNeeded) -> Option<Shortage> {
        match self {
            Self::Exclusive(journal) => journal.shortage(message, pending),
            Self::Sharded(journal_part) => journal_part.shortage(message, pending),
        }
    }

    /// As [`Journal::space_needed`].
    pub fn space_needed(&self, message: &AcceptedMessage) -> SpaceNeeded {
        match self {
            Self::Exclusive(journal) => journal.space_needed(message),
            Self::Sharded(journal_part) => journal_part.space_needed(message),
        }
    }

    /// As [`Journal::retains`].
    pub fn retains(&self, class: &str) -> bool {
        match self {
            Self::Exclusive(journal) => journal.retains(class),
            Self::Sharded(journal_part) => journal_part.retains(class),
        }
    }

    /// As [`Journal::ledger_entry`].
    pub fn ledger_entry(&self, id: &str, now: Micros) -> Option<LedgerEntry> {
        match self {
            Self::Exclusive(journal) => journal.ledger_entry(id, now).cloned(),
            Self::Sharded(journal_part) => journal_part.ledger_entry(id, now),
        }
    }

    /// As [`Journal::compact_step`].
    ///
    /// # Errors
    /// As [`Journal::compact_step`].
    pub fn compact_step(&mut self, now: Micros) -> io::Result<()> {
        match self {
            Self::Exclusive(journal) => journal.compact_step(now),
            Self::Sharded(journal_part) => journal_part.compact_step(now),
        }
    }

    /// As [`Journal::free_reserved_bytes`]; a shared journal reserves nothing.
    pub fn free_reserved_bytes(&self) -> u64 {
        match self {
            Self::Exclusive(journal) => journal.free_reserved_bytes(),
            Self::Sharded(_) => 0,
        }
    }

    /// As [`Journal::set_reserved_bytes`].
    pub fn set_reserved_bytes(&mut self, bytes: u64) {
        if let Self::Exclusive(journal) = self {
            journal.set_reserved_bytes(bytes);
        }
    }
}
