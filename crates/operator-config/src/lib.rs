//! The operators' file: features that an installation enables in addition to the platform's own configuration.
//!
//! The file is TOML and is parsed and checked as a whole: the sender does not start if any part of it is invalid.
//! Tables and keys that were renamed are accepted under their old names, with a [`Warning`] for each.
//!
//! The crate has no I/O and does not depend on what its tables are used for.

mod checks;
mod error;
mod renamed;
mod tables;
mod units;

pub use error::{ConfigError, Reason, Warning};
pub use tables::{
    CoresTable, Damage, GOSSIP_BYTES_PER_MESSAGE, GossipTable, HealthSnapshotTable, IdleDestinationsTable,
    JournalTable, MAX_CORES, Operators, SnapshotClock, StatusTable, Sync,
};
pub use units::{Size, Span, UnitError};

use serde::Deserialize;
use toml::de::{DeTable, Deserializer};

/// Maximum length of the file, in bytes.
pub const MAX_FILE_LENGTH: usize = 1 << 20;

impl Operators {
    /// Parses and checks the file's text.
    ///
    /// # Errors
    /// Returns the first error: invalid TOML, an unknown table or key, a value of the wrong type, a number without
    /// its unit, a name that is given in both its old and its new form, or settings that are invalid or contradict
    /// one another.
    pub fn parse(text: &str) -> Result<Self, ConfigError> {
        if text.len() > MAX_FILE_LENGTH {
            return Err(ConfigError { line: 1, reason: Reason::FileTooLong });
        }
        let lines = Lines(text);
        let syntax = |error: toml::de::Error| lines.error(&error);
        let mut document = DeTable::parse(text).map_err(syntax)?;
        let warnings = renamed::replace_old_names(document.get_mut(), lines)?;
        let positions = checks::Positions::of(document.get_ref(), lines);
        let mut operators = Self::deserialize(Deserializer::from(document)).map_err(syntax)?;
        operators.warnings = warnings;
        checks::check(&operators, &positions)?;
        Ok(operators)
    }
}

/// Finds line numbers in the file's text.
#[derive(Clone, Copy)]
struct Lines<'a>(&'a str);

impl Lines<'_> {
    /// Returns the line of the byte at this offset, from 1.
    fn at(self, offset: usize) -> usize {
        let before = &self.0.as_bytes()[..offset.min(self.0.len())];
        before.iter().filter(|byte| **byte == b'\n').count() + 1
    }

    /// Returns an error of the TOML library with its line.
    fn error(self, error: &toml::de::Error) -> ConfigError {
        let offset = error.span().map_or(0, |span| span.start);
        ConfigError { line: self.at(offset), reason: Reason::Toml(error.clone()) }
    }
}
