//! A segment of the log as a file: its name, its length, and how its size counts towards the limit.

/// Unit in which a file counts towards the limit, in bytes.
pub const BLOCK_SIZE: u64 = 512;
/// Prefix of a damaged file that is preserved for inspection.
pub const DAMAGED_PREFIX: &str = "damaged-";
/// Prefix of the health snapshot's files, which share the folder. The journal neither reads nor counts them.
pub const SNAPSHOT_PREFIX: &str = "known-";

/// Prefix of a segment's file, before its sequence number.
const SEGMENT_PREFIX: &str = "journal-";
/// Digits of the sequence number in a file's name.
const SEQUENCE_DIGITS: usize = 12;

/// A file in the journal's folder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct StoredFile {
    pub name: String,
    /// In bytes.
    pub length: u64,
}

/// A segment that is part of the log.
#[derive(Debug, Default)]
pub(crate) struct Segment {
    pub sequence: u64,
    /// The file's name.
    pub file: String,
    /// Length in bytes, without a torn write at the end.
    pub length: u64,
    /// Frames in the segment.
    pub records: u32,
    /// Messages accepted in or relocated to this segment. Compaction skips those that were completed or relocated
    /// since.
    pub messages: Vec<u32>,
    /// Numbers of ledger entries written to this segment. Compaction skips those that expired, were replaced or
    /// were copied since.
    pub ledger_entries: Vec<u64>,
    /// Whether a range of the segment can't be read.
    pub damaged: bool,
    /// Whether the header can't be read, so that nothing may be appended.
    pub header_unreadable: bool,
}

impl Segment {
    pub(crate) fn new(sequence: u64, length: u64) -> Self {
        Self { sequence, file: file_name(sequence), length, ..Self::default() }
    }
}

/// The name of a segment's file.
pub(crate) fn file_name(sequence: u64) -> String {
    format!("{SEGMENT_PREFIX}{sequence:0SEQUENCE_DIGITS$}")
}

/// The sequence number in the name of a segment's file; `None` for any other name.
pub(crate) fn parse_sequence(name: &str) -> Option<u64> {
    let digits = name.strip_prefix(SEGMENT_PREFIX)?;
    let well_formed = digits.len() == SEQUENCE_DIGITS && digits.bytes().all(|byte| byte.is_ascii_digit());
    if well_formed { digits.parse().ok() } else { None }
}

/// The length in bytes as it counts towards the limit: in whole blocks.
pub(crate) fn size_on_disk(length: u64) -> u64 {
    length.next_multiple_of(BLOCK_SIZE)
}
