//! The journal of one sender: a sequence of segments on a disk, and the state that results from their records.

mod append;
mod capacity;
mod compaction;
mod options;

use std::collections::VecDeque;
use std::fmt;

pub use capacity::{Capacity, Figures, Shortage};
pub use options::{Damage, LedgerOptions, Options};

use compaction::Cursor;

use crate::disk::Disk;
use crate::format::FrameWriter;
use crate::record::{LedgerEntry, Micros, PendingMessage};
use crate::segment::{Segment, StoredFile};
use crate::state::{ByNumber, LastDeliveries, State};

/// Most bytes that a slice of compaction copies, plus one message.
pub const SLICE_BYTES: u64 = 64 * 1024;
/// Most records that a slice of compaction examines.
pub const SLICE_MESSAGES: usize = 256;
/// Most bytes by which a slice of compaction truncates a retired file.
pub const SLICE_TRUNCATION: u64 = 1 << 20;

/// The journal of one sender, and the state that it holds.
pub struct Journal {
    pub(crate) disk: Box<dyn Disk>,
    pub(crate) options: Options,
    pub(crate) state: State,
    /// Oldest first; the last one is appended to. An open journal has at least one.
    pub(crate) segments: VecDeque<Segment>,
    /// Files that are no longer part of the log and not removed yet.
    pub(crate) retired: VecDeque<StoredFile>,
    /// Bytes of all files in the folder, in whole blocks, without the snapshot's.
    pub(crate) used_bytes: u64,
    /// Bytes of the snapshot's files, which are removed when the journal needs the space.
    snapshot_bytes: u64,
    /// Records written to all segments before the active one since the journal was created.
    pub(crate) records_before_active: u64,
    /// Whether the active segment's file may be longer than the segment, because a failed write could not be truncated.
    tail_torn: bool,
    /// Bytes of the active segment that are durable; all earlier segments are.
    pub(crate) durable_bytes: u64,
    writer: FrameWriter,
    cursor: Cursor,
    /// Bytes appended since the last slice of compaction.
    appended_since_step: u64,
    written_bytes: u64,
    relocated_bytes: u64,
    compacted_segments: u64,
}

impl fmt::Debug for Journal {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.debug_struct("Journal")
            .field("live", &self.state.live().len())
            .field("figures", &self.figures())
            .finish_non_exhaustive()
    }
}

impl Journal {
    pub(crate) fn new(disk: Box<dyn Disk>, options: Options, mut state: State) -> Self {
        state.retain_classes(options.ledger_classes());
        Self {
            disk,
            options,
            state,
            segments: VecDeque::new(),
            retired: VecDeque::new(),
            used_bytes: 0,
            snapshot_bytes: 0,
            records_before_active: 0,
            tail_torn: false,
            durable_bytes: 0,
            writer: FrameWriter::default(),
            cursor: Cursor::default(),
            appended_since_step: 0,
            written_bytes: 0,
            relocated_bytes: 0,
            compacted_segments: 0,
        }
    }

    /// The pending messages by number, in no particular order.
    pub fn live(&self) -> &ByNumber<PendingMessage> {
        self.state.live()
    }

    /// The latest deliveries by earlier processes, as far as the segments that were replayed hold them.
    pub fn last_deliveries(&self) -> &LastDeliveries {
        self.state.last_deliveries()
    }

    /// The final outcome of a message of a class that the ledger keeps, while its entry is kept.
    pub fn ledger_entry(&self, id: &str, now: Micros) -> Option<&LedgerEntry> {
        let span = self.options.retain.as_ref()?.span;
        self.state.ledger_entry(id).filter(|entry| entry.at.saturating_add(span) > now)
    }

    /// Whether the ledger keeps the outcomes of this class.
    pub fn retains(&self, class: &str) -> bool {
        self.state.retains(class)
    }

    /// The latest time that any record states. If it is later than now, the clock was set back.
    pub fn latest_time(&self) -> Micros {
        self.state.latest_time
    }
}
