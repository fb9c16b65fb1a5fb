//! The options of a journal.

use crate::record::Micros;

/// The policy for damage in the middle of a file.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Damage {
    /// Opening fails.
    Refuse,
    /// The damaged file is preserved, and every message that may be affected counts as possibly applied.
    #[default]
    Suspect,
}

/// The ledger of final outcomes, by which a repeated submission is recognised.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LedgerOptions {
    /// How long an entry is kept.
    pub span: Micros,
    /// Most bytes that the entries may occupy.
    pub bytes: u64,
    /// Names of the classes whose outcomes are kept.
    pub classes: Vec<String>,
}

/// The options of a journal.
#[derive(Debug, Clone, Default)]
pub struct Options {
    /// Most bytes that the folder's files may occupy, each counted in whole blocks of 512.
    pub limit: u64,
    /// Whether each append is synced before it returns, and each step of compaction before the next.
    pub sync: bool,
    /// The policy for damage.
    pub damage: Damage,
    /// The ledger; `None` for no ledger.
    pub retain: Option<LedgerOptions>,
    /// Length in bytes at which a new segment is started; by default a sixteenth of the limit, from 4 KiB to 16 MiB.
    pub segment: Option<u64>,
}

impl Options {
    const MIN_SEGMENT_LENGTH: u64 = 4 << 10;
    const MAX_SEGMENT_LENGTH: u64 = 16 << 20;
    const SEGMENTS_PER_LIMIT: u64 = 16;
    /// The ledger's size is at most the journal's limit divided by this.
    const MAX_LEDGER_SHARE: u64 = 4;

    /// Most bytes that a ledger may be given in a journal with this limit.
    pub fn max_ledger_bytes(limit: u64) -> u64 {
        limit / Self::MAX_LEDGER_SHARE
    }

    /// Length in bytes at which a new segment is started.
    pub(crate) fn segment_length(&self) -> u64 {
        self.segment.unwrap_or_else(|| {
            (self.limit / Self::SEGMENTS_PER_LIMIT).clamp(Self::MIN_SEGMENT_LENGTH, Self::MAX_SEGMENT_LENGTH)
        })
    }

    /// Most bytes that the ledger may occupy.
    pub(crate) fn ledger_limit(&self) -> u64 {
        self.retain.as_ref().map_or(0, |ledger| ledger.bytes)
    }

    /// Names of the classes whose outcomes the ledger keeps.
    pub(crate) fn ledger_classes(&self) -> Vec<String> {
        self.retain.as_ref().map(|ledger| ledger.classes.clone()).unwrap_or_default()
    }
}
