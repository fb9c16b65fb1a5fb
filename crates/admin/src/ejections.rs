//! The endpoints that operators ejected, by their names in the endpoint list. They stay ejected whatever the list says.

use std::collections::BTreeSet;

/// Most names that are remembered after the list dropped them.
const MAX_RETIRED_NAMES: usize = 4_096;

/// Why an endpoint can't be ejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EjectError {
    /// No endpoint list has named it, as far as is remembered: check the spelling.
    Unknown,
    /// The names of ejected endpoints are at their limit: reinstate some.
    LimitReached,
}

impl EjectError {
    /// The status of the answer.
    pub fn status(self) -> u16 {
        match self {
            Self::Unknown => 404,
            Self::LimitReached => 507,
        }
    }

    /// The text of the answer.
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
    /// Longest text of the names in bytes.
    max_bytes: usize,
}

impl Ejections {
    /// No endpoint is ejected. The names' text may have up to `max_bytes`.
    pub fn new(max_bytes: usize) -> Self {
        Self { names: BTreeSet::new(), max_bytes }
    }

    /// Parses what [`Self::text`] returned. Lines that are no name are skipped.
    pub fn read(text: &str, max_bytes: usize) -> Self {
        let names = text.lines().filter_map(unescape).collect();
        Self { names, max_bytes }
    }

    /// One line for each name.
    pub fn text(&self) -> String {
        self.names.iter().map(|name| escape(name)).collect()
    }

    /// Whether the endpoint is ejected.
    pub fn contains(&self, name: &str) -> bool {
        self.names.contains(name)
    }

    /// Ejects an endpoint, and returns whether it was not ejected before.
    ///
    /// # Errors
    /// Fails when the names' text would be too long.
    pub fn enter(&mut self, name: &str) -> Result<bool, EjectError> {
        if self.contains(name) {
            return Ok(false);
        }
        if self.text().len() + escape(name).len() > self.max_bytes {
            return Err(EjectError::LimitReached);
        }
        Ok(self.names.insert(name.to_owned()))
    }

    /// Reinstates an endpoint, and returns whether it was ejected.
    pub fn exit(&mut self, name: &str) -> bool {
        self.names.remove(name)
    }
}

/// The name on one line, whatever characters it holds.
fn escape(name: &str) -> String {
    format!("{}\n", name.replace('\\', "\\\\").replace('\n', "\\n").replace('\r', "\\r"))
}

/// The name of a line; `None` where it is empty or has an unknown escape.
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

/// Names that the endpoint list dropped. Their number is bounded: the earliest dropped are forgotten first.
#[derive(Debug, Clone, Default)]
pub struct RetiredNames {
    order: std::collections::VecDeque<String>,
    names: BTreeSet<String>,
}

impl RetiredNames {
    /// Adds a name that the list dropped.
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

    /// Whether it is remembered.
    pub fn contains(&self, name: &str) -> bool {
        self.names.contains(name)
    }
}
