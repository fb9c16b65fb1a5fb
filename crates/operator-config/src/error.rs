//! What is wrong with the file, and what an operator should change in it.

use std::fmt;

use crate::MAX_FILE_LENGTH;

/// What is wrong with the file, and where. Its text is one line.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{line}: {reason}")]
pub struct ConfigError {
    /// The line, from 1.
    pub line: usize,
    /// What is wrong with it.
    #[source]
    pub reason: Reason,
}

/// What is wrong with a line.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum Reason {
    /// The file is longer than [`MAX_FILE_LENGTH`].
    #[error("the file has over {MAX_FILE_LENGTH} bytes")]
    FileTooLong,
    /// The line is no TOML, has a name that does not exist, or a value of another type.
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
    /// The value can't be meant, or contradicts another one.
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

/// A text of the TOML library on one line.
struct OneLine<'a>(&'a str);

impl fmt::Display for OneLine<'_> {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(&self.0.trim().replace('\n', "; "))
    }
}
