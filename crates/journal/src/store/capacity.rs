//! Capacity accounting: what the journal occupies, and whether it can store a further message until its outcome.
//!
//! Pending messages and the ledger may use half of the limit, so that compaction always has space to work with. A
//! message is admitted only if every pending message could reach its outcome without any compaction. Outcomes can
//! therefore always be written, and compaction that falls behind leads to rejections, never to a lost outcome.

use super::{Journal, SLICE_BYTES};
use crate::record::AcceptedMessage;
use crate::segment::size_on_disk;
use crate::state::{LATER_RECORDS_SIZE, SpaceNeeded};

/// Bytes reserved for the outcome of each pending message when other records are appended.
const OUTCOME_RESERVE: u64 = 64;

/// What the journal occupies, and how it is laid out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Figures {
    /// Bytes of all files, in whole blocks.
    pub used: u64,
    /// Bytes reserved for pending messages, and those that the ledger occupies.
    pub reserved: u64,
    /// The number of segments.
    pub segments: usize,
    /// Length in bytes at which a new segment is started.
    pub segment: u64,
    /// Bytes written since the journal was opened, those of compaction included.
    pub written: u64,
    /// Bytes written by compaction.
    pub relocated: u64,
    /// Segments that compaction has emptied.
    pub compacted: u64,
}

/// The limit that a further message would exceed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shortage {
    /// The space for pending messages and their outcomes.
    Disk,
    /// The space of the ledger. It is free again once older entries have expired.
    Ledger,
}

/// The capacity of a journal for further messages at a point in time. All values are in bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Capacity {
    limit: u64,
    /// Bytes reserved for pending messages and their ledger entries, and those that the ledger occupies.
    reserved: u64,
    /// Bytes that the files occupy, that pending messages may still write, and that compaction needs.
    committed: u64,
    /// Free bytes of the ledger.
    ledger_free: u64,
}

impl Capacity {
    /// Returns the limit that a message would exceed which needs this space, given that `pending` is already reserved
    /// for messages that are not appended yet.
    pub fn shortage(&self, needed: SpaceNeeded, pending: SpaceNeeded) -> Option<Shortage> {
        // The space of the ledger entry is reserved for each pending message of the ledger's classes, so that no entry
        // is dropped early. At the limit new messages of these classes are rejected until older entries have expired.
        if needed.ledger > 0 && pending.ledger + needed.ledger > self.ledger_free {
            return Some(Shortage::Ledger);
        }
        let reserved = self.reserved + pending.total + needed.total;
        let committed = self.committed + pending.total + needed.total;
        (reserved > self.limit / 2 || committed > self.limit).then_some(Shortage::Disk)
    }
}

impl Journal {
    /// What the journal occupies and how it is laid out.
    pub fn figures(&self) -> Figures {
        Figures {
            used: self.used_bytes,
            reserved: self.state.reserved_bytes() + self.state.ledger_bytes(),
            segments: self.segments.len(),
            segment: self.options.segment_length(),
            written: self.written_bytes,
            relocated: self.relocated_bytes,
            compacted: self.compacted_segments,
        }
    }

    /// The space that a message would reserve; see [`Journal::shortage`].
    pub fn space_needed(&self, message: &AcceptedMessage) -> SpaceNeeded {
        self.state.space_needed(message)
    }

    /// Returns whether a further message can be stored until its outcome, given that `pending` bytes, none of them for
    /// ledger entries, are already reserved for messages that are not appended yet.
    pub fn has_capacity(&self, message: &AcceptedMessage, pending: u64) -> bool {
        self.shortage(message, SpaceNeeded { total: pending, ledger: 0 }).is_none()
    }

    /// Returns the limit because of which a further message can't be stored until its outcome, given that `pending` is
    /// already reserved for messages that are not appended yet.
    pub fn shortage(&self, message: &AcceptedMessage, pending: SpaceNeeded) -> Option<Shortage> {
        self.capacity().shortage(self.space_needed(message), pending)
    }

    /// The capacity for further messages.
    pub fn capacity(&self) -> Capacity {
        let ledger_reserved = self.state.ledger_reserved_bytes();
        Capacity {
            limit: self.options.limit,
            reserved: self.state.reserved_bytes() + ledger_reserved,
            committed: self.committed_bytes(),
            ledger_free: self.options.ledger_limit().saturating_sub(ledger_reserved),
        }
    }

    /// Sets how many bytes, in whole blocks, the files occupy whose names begin with
    /// [`SNAPSHOT_PREFIX`](crate::SNAPSHOT_PREFIX). An append that lacks this space fails with
    /// [`AppendError::LimitReached`](crate::AppendError::LimitReached) and should be retried once these files are
    /// removed. What [`Journal::has_capacity`] admits does not depend on them.
    pub fn set_reserved_bytes(&mut self, bytes: u64) {
        self.snapshot_bytes = bytes;
    }

    /// Bytes that the snapshot's files may occupy now such that the journal is not going to need them soon.
    pub fn free_reserved_bytes(&self) -> u64 {
        let own = self.committed_bytes() + SLICE_BYTES.min(self.options.limit / 8);
        self.options.limit.saturating_sub(own)
    }

    /// Bytes that the files occupy, that pending messages may still write, and that compaction needs.
    pub(super) fn committed_bytes(&self) -> u64 {
        let ledger_entries = self.state.ledger_reserved_bytes() - self.state.ledger_bytes();
        let later_records = self.live().len() as u64 * LATER_RECORDS_SIZE + ledger_entries;
        let compaction_space = 2 * self.options.segment_length();
        self.used_bytes + later_records + compaction_space
    }

    /// Bytes that the journal's own files may occupy, given the size of the snapshot's files.
    pub(super) fn available_limit(&self) -> u64 {
        self.options.limit.saturating_sub(self.snapshot_bytes)
    }

    /// Bytes that all files will occupy once `more` bytes are appended to the active segment.
    pub(super) fn used_after(&self, more: u64) -> u64 {
        let length = self.active().length;
        self.used_bytes - size_on_disk(length) + size_on_disk(length + more)
    }

    /// Bytes reserved for the outcomes of all pending messages.
    pub(super) fn outcome_reserve(&self) -> u64 {
        self.live().len() as u64 * OUTCOME_RESERVE
    }

    /// Returns whether the writer's frames fit within the limit and leave `reserve` bytes free.
    pub(super) fn batch_fits(&self, reserve: u64) -> bool {
        self.used_after(self.writer.length()) + reserve <= self.available_limit()
    }
}
