//! Errors in the file and warnings about it, with texts that tell an operator what to change.

use std::fmt;

use crate::MAX_FILE_LENGTH;

/// The first error in the file, and its line. Its text is one line.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{line}: {reason}")]
pub struct ConfigError {
    /// The line, from 1.
    pub line: usize,
    /// Why the line is invalid.
    #[source]
    pub reason: Reason,
}

/// Why a line is invalid.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum Reason {
    /// The file is longer than [`MAX_FILE_LENGTH`].
    #[error("the file has over {MAX_FILE_LENGTH} bytes")]
    FileTooLong,
    /// The line is not valid TOML, or has an unknown name or a value of the wrong type.
    #[error("{}", OneLine(.0.message()))]
    Toml(#[source] toml::de::Error),
    /// A table or key is given under its old and its new name.
    #[error("{old} is the old name of {new}, which is there too: leave {old} out")]
    GivenTwice {
        /// The old name.
        old: String,
        /// The new name.
        new: String,
    },
    /// The value is out of range, has no effect, or contradicts another one.
    #[error("{0}")]
    Contradiction(&'static str),
}

/// A name in the file that was renamed and is still accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Warning {
    /// The line, from 1.
    pub line: usize,
    /// The old name.
    pub old: String,
    /// The new name.
    pub new: String,
}

impl fmt::Display for Warning {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}: {} is now named {}", self.line, self.old, self.new)
    }
}

/// Displays a text of the TOML library on one line.
struct OneLine<'a>(&'a str);

impl fmt::Display for OneLine<'_> {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(&self.0.trim().replace('\n', "; "))
    }
}
