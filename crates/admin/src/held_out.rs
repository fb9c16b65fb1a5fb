//! The endpoints that are held out by hand, by the names that the list gives them, whatever the list says meanwhile.

use std::collections::BTreeSet;

/// Names that are no longer listed and can still be held out; the one that left first is forgotten first.
const PAST: usize = 4_096;

/// Why an endpoint is not held out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EjectError {
    /// No list has named it, as far as is remembered: look at its spelling.
    Unknown,
    /// So many are held out already that there is no room to keep a further name: put some back.
    Full,
}

impl EjectError {
    /// The answer's status.
    pub fn status(self) -> u16 {
        match self {
            Self::Unknown => 404,
            Self::Full => 507,
        }
    }

    /// What a person is told.
    pub fn text(self) -> &'static str {
        match self {
            Self::Unknown => "no list has named that endpoint\n",
            Self::Full => "no room for a further endpoint: put some back\n",
        }
    }
}

/// Which endpoints are held out.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Ejections {
    names: BTreeSet<String>,
    /// Bytes that their text may have.
    room: usize,
}

impl Ejections {
    /// None is. Their text may have so many bytes.
    pub fn new(room: usize) -> Self {
        Self { names: BTreeSet::new(), room }
    }

    /// Reads what [`Self::text`] wrote; what is no name is passed over.
    pub fn read(text: &str, room: usize) -> Self {
        let names = text.lines().filter_map(unquoted).collect();
        Self { names, room }
    }

    /// A line for each name.
    pub fn text(&self) -> String {
        self.names.iter().map(|name| quoted(name)).collect()
    }

    /// Whether the endpoint is held out.
    pub fn contains(&self, name: &str) -> bool {
        self.names.contains(name)
    }

    /// Holds an endpoint out; once more changes nothing. Tells whether it is new.
    ///
    /// # Errors
    /// Fails when there is no room to keep its name.
    pub fn enter(&mut self, name: &str) -> Result<bool, EjectError> {
        if self.contains(name) {
            return Ok(false);
        }
        if self.text().len() + quoted(name).len() > self.room {
            return Err(EjectError::Full);
        }
        Ok(self.names.insert(name.to_owned()))
    }

    /// Puts it back, however often it was held out. Tells whether it was.
    pub fn exit(&mut self, name: &str) -> bool {
        self.names.remove(name)
    }
}

/// One line, whatever the name holds.
fn quoted(name: &str) -> String {
    format!("{}\n", name.replace('\\', "\\\\").replace('\n', "\\n").replace('\r', "\\r"))
}

fn unquoted(line: &str) -> Option<String> {
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

/// Names that lists had and have no longer: under churn there are ever new ones, so that the oldest go.
#[derive(Debug, Clone, Default)]
pub struct RetiredNames {
    order: std::collections::VecDeque<String>,
    names: BTreeSet<String>,
}

impl RetiredNames {
    /// A name that the list no longer has.
    pub fn left(&mut self, name: &str) {
        if self.names.insert(name.to_owned()) {
            self.order.push_back(name.to_owned());
        }
        if self.order.len() > PAST
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
