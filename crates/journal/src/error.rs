//! The errors of opening a journal and appending to it, with what an operator can do about them.

use std::fmt;
use std::io;

use crate::format::RecordTooLong;
use crate::replay::DamagedRange;

/// Why a journal can't be opened.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum OpenError {
    /// Another process writes to the folder. Two senders must not share one: end the other, or give this one a folder
    /// of its own.
    #[error("another process writes to this folder: it must end first")]
    Locked,
    /// A newer version of this program wrote files in the folder. Start that version.
    #[error("{file} {}: a newer version of this program must read it", DescribeVersion(*version))]
    Newer {
        /// The file.
        file: String,
        /// Its format version; `None` if the header is of this version and a record is of an unknown kind.
        version: Option<u16>,
    },
    /// A file is damaged, and the operator configuration refuses to start in this case. `myrtleyard journal verify`
    /// shows details. With `damage = "suspect"` the sender starts and treats every message that may be affected as
    /// possibly applied.
    #[error("{file} {}", DescribeDamage(*range))]
    Damaged {
        /// The first damaged file.
        file: String,
        /// The first damaged range; `None` if the file is missing or its header is damaged.
        range: Option<DamagedRange>,
    },
    /// The configured size of the ledger exceeds a quarter of the journal's limit. Reduce it or raise the limit.
    #[error("the ledger's size exceeds a quarter of the journal's limit")]
    LedgerTooLarge,
    /// An operation on this file failed.
    #[error("{}{source}", FilePrefix(file))]
    Io {
        /// The file; empty for the folder.
        file: String,
        /// The system's error.
        source: io::Error,
    },
}

impl OpenError {
    /// Returns a function that adds the name of a file to the error of an operation on it; empty for the folder.
    pub(crate) fn io(file: &str) -> impl FnOnce(io::Error) -> Self {
        let file = file.to_owned();
        move |source| Self::Io { file, source }
    }
}

/// Why records could not be appended. None of them is committed, and the caller must not act on any of them.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum AppendError {
    /// The limit is reached. Pending messages have to be completed first; space for that is reserved.
    #[error("the journal's limit is reached")]
    LimitReached,
    /// A record is longer than the format can hold.
    #[error("a record is longer than the format can hold")]
    TooLong(#[from] RecordTooLong),
    /// The journal was released to another process by [`JournalPart::close`](crate::JournalPart::close).
    #[error(transparent)]
    Closed(#[from] JournalClosed),
    /// The system's error, a full disk for example. The next append retries.
    #[error("{0}")]
    Io(#[from] io::Error),
}

/// The error of an operation on a journal that was released to another process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("another process has the journal")]
pub struct JournalClosed;

impl From<JournalClosed> for io::Error {
    fn from(error: JournalClosed) -> Self {
        Self::other(error)
    }
}

/// The part of the text of [`OpenError::Newer`] that describes the version.
struct DescribeVersion(Option<u16>);

impl fmt::Display for DescribeVersion {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self.0 {
            Some(version) => write!(f, "has format version {version}"),
            None => f.write_str("holds records of an unknown kind"),
        }
    }
}

/// The part of the text of [`OpenError::Damaged`] that describes the damage.
struct DescribeDamage(Option<DamagedRange>);

impl fmt::Display for DescribeDamage {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self.0 {
            Some(range) => {
                write!(f, "is damaged, {range}: not started, as [journal] damage = \"refuse\" says")
            }
            None => f.write_str("is missing or has no readable header: not started"),
        }
    }
}

/// Displays a file's name and a colon, or nothing for the folder.
struct FilePrefix<'a>(&'a str);

impl fmt::Display for FilePrefix<'_> {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        if self.0.is_empty() { Ok(()) } else { write!(f, "{}: ", self.0) }
    }
}

impl fmt::Display for DamagedRange {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "bytes {} to {}, ", self.from, self.to)?;
        match self.records {
            Some(1) => f.write_str("1 record lost"),
            Some(records) => write!(f, "{records} records lost"),
            None => f.write_str("records lost that can't be counted"),
        }
    }
}
