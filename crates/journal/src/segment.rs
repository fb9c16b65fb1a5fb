//! A file of the log: its name, and what it counts on the disk.

/// Each file counts in whole blocks of so many bytes.
pub const BLOCK: u64 = 512;
/// Begins the name of a file that is kept aside for a person to look at.
pub const ASIDE: &str = "damaged-";

/// Begins the names of files in the folder that stand beside the journal. Who writes them counts them.
pub const SNAPSHOT_PREFIX: &str = "known-";

/// A file of the log.
#[derive(Debug, Default)]
pub(crate) struct Segment {
    pub sequence: u64,
    /// Its file.
    pub name: String,
    pub length: u64,
    /// Frames in it.
    pub records: u32,
    /// Messages that began in it or were moved to it; those of them that are over or were moved on are passed over.
    pub residents: Vec<u32>,
    /// Entries of the ledger likewise.
    pub entries: Vec<u64>,
    /// A stretch of it can't be read.
    pub damaged: bool,
    /// Nor can its head: it can't be appended to.
    pub headless: bool,
}

impl Segment {
    pub(crate) fn new(sequence: u64, length: u64) -> Self {
        Self { sequence, name: name(sequence), length, ..Self::default() }
    }
}

/// A segment's file.
pub(crate) fn name(sequence: u64) -> String {
    format!("journal-{sequence:012}")
}

/// The sequence that a file's name tells.
pub(crate) fn sequence(name: &str) -> Option<u64> {
    let digits = name.strip_prefix("journal-")?;
    (digits.len() == 12 && digits.bytes().all(|b| b.is_ascii_digit())).then(|| digits.parse().ok()).flatten()
}

/// The length as it counts on the disk.
pub(crate) fn blocks(length: u64) -> u64 {
    length.next_multiple_of(BLOCK)
}
