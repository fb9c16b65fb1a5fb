//! The endpoints that operators ejected, by their names in the endpoint list. They stay ejected when the list changes.

use std::collections::BTreeSet;

/// Maximum number of names that are retained after they were removed from the list.
const MAX_RETIRED_NAMES: usize = 4_096;

/// Why an endpoint can't be ejected or reinstated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EjectError {
    /// The name is neither in the endpoint list nor among the retained names of earlier lists; it may be misspelled.
    Unknown,
    /// The names of ejected endpoints have reached their size limit; others must be reinstated first.
    LimitReached,
}

impl EjectError {
    /// Returns the HTTP status of the answer.
    pub fn status(self) -> u16 {
        match self {
            Self::Unknown => 404,
            Self::LimitReached => 507,
        }
    }

    /// Returns the text of the answer.
    pub fn text(self) -> &'static str {
        match self {
            Self::Unknown => "no list has named that endpoint\n",
            Self::LimitReached => "no room for a further endpoint: put some back\n",
        }
    }
}

/// The names of ejected endpoints.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Ejections {
    names: BTreeSet<String>,
    /// Maximum length of the names' text in bytes.
    max_bytes: usize,
}

impl Ejections {
    /// Creates an empty set. The names' text may have up to `max_bytes`.
    pub fn new(max_bytes: usize) -> Self {
        Self { names: BTreeSet::new(), max_bytes }
    }

    /// Parses a text that [`Self::text`] returned. Skips lines that are not a valid name.
    pub fn read(text: &str, max_bytes: usize) -> Self {
        let names = text.lines().filter_map(unescape).collect();
        Self { names, max_bytes }
    }

    /// Returns the names as text, one per line.
    pub fn text(&self) -> String {
        self.names.iter().map(|name| escape(name)).collect()
    }

    /// Returns whether the endpoint is ejected.
    pub fn contains(&self, name: &str) -> bool {
        self.names.contains(name)
    }

    /// Ejects an endpoint, and returns whether it was not ejected before.
    ///
    /// # Errors
    /// Fails when the names' text would be too long.
    pub fn eject(&mut self, name: &str) -> Result<bool, EjectError> {
        if self.contains(name) {
            return Ok(false);
        }
        if self.text().len() + escape(name).len() > self.max_bytes {
            return Err(EjectError::LimitReached);
        }
        Ok(self.names.insert(name.to_owned()))
    }

    /// Reinstates an endpoint, and returns whether it was ejected.
    pub fn reinstate(&mut self, name: &str) -> bool {
        self.names.remove(name)
    }
}

/// Returns the name as one line, with backslashes and line breaks escaped.
fn escape(name: &str) -> String {
    format!("{}\n", name.replace('\\', "\\\\").replace('\n', "\\n").replace('\r', "\\r"))
}

/// Returns the name in a line; `None` if the line is empty or has an unknown escape.
fn unescape(line: &str) -> Option<String> {
    let mut name = String::new();
    let mut chars = line.chars();
    while let Some(c) = chars.next() {
        name.push(match c {
            '\\' => match chars.next()? {
                '\\' => '\\',
                'n' => '\n',
                'r' => '\r',
                _ => return None,
            },
            c => c,
        });
    }
    (!name.is_empty()).then_some(name)
}

/// Names that were removed from the endpoint list. Their number is limited: those removed earliest are evicted first.
#[derive(Debug, Clone, Default)]
pub struct RetiredNames {
    order: std::collections::VecDeque<String>,
    names: BTreeSet<String>,
}

impl RetiredNames {
    /// Adds a name that was removed from the list.
    pub fn insert(&mut self, name: &str) {
        if self.names.insert(name.to_owned()) {
            self.order.push_back(name.to_owned());
        }
        if self.order.len() > MAX_RETIRED_NAMES
            && let Some(oldest) = self.order.pop_front()
        {
            self.names.remove(&oldest);
        }
    }

    /// Returns whether the name is retained.
    pub fn contains(&self, name: &str) -> bool {
        self.names.contains(name)
    }
}
