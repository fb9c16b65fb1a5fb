//! Faults that are found when generations are read.

use std::fmt;

use crate::format::VERSION;

/// A fault in a file, or in the set of files.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReplayFault {
    /// The last write was interrupted, which loses no completed write.
    Torn {
        /// The file.
        file: String,
        /// Bytes of that write.
        bytes: usize,
    },
    /// A range can't be read, and records may be lost.
    Damaged {
        /// The file.
        file: String,
        /// Where the range begins.
        at: usize,
    },
    /// It was written by another version: only waits can be read.
    OtherVersion {
        /// The file.
        file: String,
        /// The format's version.
        version: u16,
    },
    /// It belongs to another sender, and is ignored.
    Foreign {
        /// The file.
        file: String,
        /// That sender.
        owner: String,
    },
    /// The files were removed to release their space, and not written again since.
    SpaceReleased,
}

impl ReplayFault {
    /// Returns whether records may be lost by it.
    pub fn loses_records(&self) -> bool {
        matches!(self, Self::Damaged { .. } | Self::OtherVersion { .. } | Self::SpaceReleased)
    }
}

impl fmt::Display for ReplayFault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::Torn { file, bytes } => {
                write!(f, "{file}: {bytes} bytes of an interrupted write are ignored")
            }
            Self::Damaged { file, at } => {
                write!(f, "{file} is damaged from byte {at} on: every partner begins with one call")
            }
            Self::OtherVersion { file, version } => write!(
                f,
                "{file} has format version {version} instead of {VERSION}: only its waits can be read, and every partner \
                 begins with one call"
            ),
            Self::Foreign { file, owner } => {
                write!(f, "{file} belongs to another sender, {owner:?}, and is ignored")
            }
            Self::SpaceReleased => f.write_str(
                "the disk space of the health snapshot was released to the journal: every partner begins with one call",
            ),
        }
    }
}
