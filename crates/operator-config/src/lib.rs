//! The operators' file: what an installation switches on beyond the platform's own configuration. It is read as a
//! whole and checked as a whole; with anything in it that is not understood, nothing starts. It does no I/O and knows
//! nothing of what its tables are used for.

use std::fmt;

use serde::Deserialize;
use serde::de::{Deserializer, Error as _};

/// A file of more bytes is not read.
pub const FILE_LIMIT: usize = 1 << 20;

/// Status lines are this far apart at least.
const SHORTEST_STATUS: Span = Span { micros: 100_000 };

/// Destinations are awake for so long at least.
const SHORTEST_SLEEP: Span = Span { micros: 1_000_000 };

/// What is known has so much room at least.
const SMALLEST_KNOWN: Size = Size { bytes: 16 << 10 };

/// All that the file can say. What it leaves out is as on the platform: off.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Operators {
    /// `[journal]`
    pub journal: JournalTable,
    /// `[status]`
    pub status: StatusTable,
    /// `[dormant]`
    pub dormant: DormantTable,
    /// `[known]`
    pub known: KnownTable,
    /// `[cores]`
    pub cores: CoresTable,
    /// `[shared]`
    pub shared: SharedTable,
}

/// Cores of one sender at most.
pub const MOST_CORES: u32 = 64;

/// `[cores]`: how many cores one sender uses.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CoresTable {
    /// `count`: threads that decide and have connections of their own, from 1 to [`MOST_CORES`]. With 1 there are no others.
    pub count: u32,
}

impl Default for CoresTable {
    fn default() -> Self {
        Self { count: 1 }
    }
}

/// `[shared]`: what senders tell one another, over the platform's `peers`. Without `on` nothing is said, what others say counts
/// for nothing, and nothing else may stand here.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct SharedTable {
    /// `on`: outages, limits and waits that one saw are told to all.
    pub on: bool,
    /// `lends`: parts of limits are lent and borrowed too.
    pub lends: bool,
    /// `bytes`: what others receive from this sender a second at most, in the mean, beside [`BYTES_EACH`] for each message.
    pub bytes: Option<Size>,
}

/// Bytes that others may receive from a sender for each message that is handed in there.
pub const BYTES_EACH: f64 = 25.0;

/// `[known]`: what a sender has learnt of partners is kept for its next process. Without `on` nothing is kept, nothing that was
/// kept is believed, and nothing else may stand here.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct KnownTable {
    /// `on`: it is kept, and believed at a start.
    pub on: bool,
    /// `size`: room on the disk, within `disk_mb` and behind the journal's; an eighth of `disk_mb` without it.
    pub size: Option<Size>,
    /// `span`: for how long limits that were told and answer times are believed.
    pub span: Option<Span>,
    /// `clock`: what tells how much time passed between two processes.
    pub clock: KnownClock,
}

/// `clock = "wall"` or `"boot"`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum KnownClock {
    /// The system's clock, through the standard library alone: that it was set forward between two processes can't be told.
    #[default]
    Wall,
    /// The machine's time since its start too, which nobody sets (Linux).
    Boot,
}

/// `[dormant]`: what becomes of destinations that nothing is sent to for long. Without `after` none sleeps, and nothing
/// else may stand here.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DormantTable {
    /// `after`: a destination sleeps when nothing was sent to it for so long, from a second on.
    pub after: Option<Span>,
    /// `remember`: what is remembered of it, its wait apart, is worth nothing after this time.
    pub remember: Option<Span>,
    /// `memory`: room for what is remembered.
    pub memory: Option<Size>,
    /// `awake`: destinations that are awake at most.
    pub awake: Option<u32>,
    /// `wakes`: destinations a second that may be called for the first time, from 1 on.
    pub wakes: Option<u32>,
}

/// `[status]`: a line in the log at intervals, with what is held and which breakers are open.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StatusTable {
    /// `every`: the interval, from 100 ms on. Without it no line is written.
    pub every: Option<Span>,
}

/// `[journal]`: how what was taken on is kept.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct JournalTable {
    /// `sync`: what outlasts more than the process.
    pub sync: Sync,
    /// `damage`: what is done about a file that is damaged in its middle.
    pub damage: Damage,
    /// `retain`: for how long the ends of messages that must not take effect twice are kept. It needs `ledger`.
    pub retain: Option<Span>,
    /// `ledger`: what these ends may take of the disk; at that, such messages are refused.
    pub ledger: Option<Size>,
}

/// `damage = "suspect"` or `"refuse"`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Damage {
    /// It is kept aside, and each message that may be affected is treated as possibly applied.
    #[default]
    Suspect,
    /// Nothing starts.
    Refuse,
}

/// `sync = "none"` or `"group"`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Sync {
    /// Nothing is synced: what was written outlasts the process, SIGKILL included, not the machine.
    #[default]
    None,
    /// One `fdatasync` for all of a turn; its answers wait for it.
    Group,
}

/// A span of time, written with its unit: `250ms`, `4s`, `15m`, `2h`, `7d`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span {
    /// In microseconds.
    pub micros: u64,
}

/// A size, written with its unit: `512B`, `64KiB`, `10MB`, `2GB`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Size {
    /// In bytes.
    pub bytes: u64,
}

const SPANS: &[(&str, u64)] = &[
    ("us", 1),
    ("ms", 1_000),
    ("s", 1_000_000),
    ("m", 60_000_000),
    ("h", 3_600_000_000),
    ("d", 86_400_000_000),
];
const SIZES: &[(&str, u64)] = &[
    ("B", 1),
    ("kB", 1_000),
    ("MB", 1_000_000),
    ("GB", 1_000_000_000),
    ("KiB", 1 << 10),
    ("MiB", 1 << 20),
    ("GiB", 1 << 30),
];

/// A whole number and its unit.
fn with_unit(text: &str, units: &[(&str, u64)], what: &str, example: &str) -> Result<u64, String> {
    let (digits, unit) = text.split_at(text.find(|c: char| !c.is_ascii_digit()).unwrap_or(text.len()));
    let unit = unit.trim_start();
    let known = || units.iter().map(|u| u.0).collect::<Vec<_>>().join(", ");
    if unit.is_empty() {
        return Err(format!("{what} needs a unit ({}), as in \"{example}\"", known()));
    }
    let Some((_, factor)) = units.iter().find(|u| u.0 == unit) else {
        return Err(format!("\"{unit}\" is no unit of {what}: it has {}", known()));
    };
    let number: u64 =
        digits.parse().map_err(|_| format!("{what} is a whole number and a unit, as in \"{example}\""))?;
    number.checked_mul(*factor).ok_or_else(|| format!("{text} is beyond what {what} can be"))
}

/// A string that may have been written as a bare number, to say what is missing.
#[derive(Deserialize)]
#[serde(untagged)]
enum Written {
    Text(String),
    Whole(i64),
    Decimal(f64),
}

fn written<'de, D: Deserializer<'de>>(from: D) -> Result<String, D::Error> {
    Ok(match Written::deserialize(from)? {
        Written::Text(text) => text,
        Written::Whole(number) => number.to_string(),
        Written::Decimal(number) => number.to_string(),
    })
}

impl<'de> Deserialize<'de> for Span {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let micros = with_unit(&written(from)?, SPANS, "a span of time", "90s").map_err(D::Error::custom)?;
        Ok(Self { micros })
    }
}

impl<'de> Deserialize<'de> for Size {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let bytes = with_unit(&written(from)?, SIZES, "a size", "64KiB").map_err(D::Error::custom)?;
        Ok(Self { bytes })
    }
}

/// What is wrong with the file, and where.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// The line, from 1.
    pub line: usize,
    /// What is wrong with it, and what could stand there instead where that is known.
    pub reason: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}: {}", self.line, self.reason.trim().replace('\n', "; "))
    }
}

impl std::error::Error for Problem {}

impl Operators {
    /// Reads the file's text.
    ///
    /// # Errors
    /// Tells the first thing that is wrong: TOML that can't be read, a name that no table has, a value of another
    /// kind, a number without its unit, settings that contradict one another.
    pub fn parse(text: &str) -> Result<Self, Problem> {
        if text.len() > FILE_LIMIT {
            return Err(Problem { line: 1, reason: format!("the file has over {FILE_LIMIT} bytes") });
        }
        let line_at =
            |at: usize| text.as_bytes()[..at.min(text.len())].iter().filter(|b| **b == b'\n').count() + 1;
        let read: Self = toml::from_str(text).map_err(|e| {
            let line = line_at(e.span().map_or(0, |span| span.start));
            Problem { line, reason: e.message().to_owned() }
        })?;
        // Of what is read well: values that can't be meant, told at the line of their name.
        let line_of = |name: &str| {
            let named = |line: &&str| line.split('=').next().is_some_and(|key| key.trim().ends_with(name));
            text.lines().position(|line| named(&line)).map_or(1, |at| at + 1)
        };
        if read.status.every.is_some_and(|every| every < SHORTEST_STATUS) {
            let reason = "a status line more often than every 100ms would fill the log".to_owned();
            return Err(Problem { line: line_of("every"), reason });
        }
        let JournalTable { retain, ledger, .. } = read.journal;
        let beside = match (retain, ledger) {
            (Some(_), None) => Some(("retain", "retain needs ledger, the room for what is kept")),
            (None, Some(_)) => {
                Some(("ledger", "ledger is room for ends that are kept, and without retain none are"))
            }
            (Some(Span { micros: 0 }), _) => Some(("retain", "ends that are kept for no time are not kept")),
            _ => None,
        };
        let dormant = &read.dormant;
        let sleeps = dormant.after.is_some_and(|after| after >= SHORTEST_SLEEP);
        let beside = beside.or(match dormant {
            DormantTable { after: Some(_), .. } if !sleeps => {
                Some(("after", "who sleeps after less than a second is asleep between two messages"))
            }
            DormantTable { after: None, remember, memory, awake, wakes } => [
                remember.map(|_| "remember"),
                memory.map(|_| "memory"),
                awake.map(|_| "awake"),
                wakes.map(|_| "wakes"),
            ]
            .into_iter()
            .flatten()
            .next()
            .map(|name| (name, "without after no destination sleeps, and this says nothing")),
            DormantTable { awake: Some(0), .. } => Some(("awake", "with none awake nothing can be sent")),
            DormantTable { wakes: Some(0), .. } => Some(("wakes", "with none woken nothing can be sent")),
            DormantTable { remember: Some(span), after: Some(after), .. } if span < after => {
                Some(("remember", "what is remembered for less than after is forgotten before it sleeps"))
            }
            _ => None,
        });
        let beside = beside.or(match &read.known {
            KnownTable { on: false, size, span, clock } => {
                [size.map(|_| "size"), span.map(|_| "span"), (*clock == KnownClock::Boot).then_some("clock")]
                    .into_iter()
                    .flatten()
                    .next()
                    .map(|name| (name, "without on = true nothing is kept, and this says nothing"))
            }
            KnownTable { size: Some(size), .. } if *size < SMALLEST_KNOWN => {
                Some(("size", "less than 16KiB has no room for what is known of some dozen partners"))
            }
            KnownTable { span: Some(Span { micros: 0 }), .. } => {
                Some(("span", "what is believed for no time is not believed: leave on out"))
            }
            _ => None,
        });
        let cores = read.cores.count;
        let beside = beside.or(match &read.shared {
            SharedTable { on: false, lends: true, .. } => {
                Some(("lends", "without on = true nothing is said, and nobody can be asked to lend"))
            }
            SharedTable { on: false, bytes: Some(_), .. } => {
                Some(("bytes", "without on = true nothing is said, and this says nothing"))
            }
            SharedTable { bytes: Some(Size { bytes: ..=15 }), .. } => {
                Some(("bytes", "less than 16B a second is no note in a quarter of a minute: leave on out"))
            }
            SharedTable { on: true, .. } if cores > 1 => {
                Some(("on", "with several cores nothing is shared with other senders yet: leave [shared] out, or count = 1"))
            }
            _ => None,
        });
        let beside = beside.or(match cores {
            0 => Some(("count", "a sender has one core at least")),
            _ if cores > MOST_CORES => Some(("count", "a sender has 64 cores at most")),
            2.. if read.known.on => Some((
                "count",
                "with [known] on there is one core: what is known is not written by several yet",
            )),
            _ => None,
        });
        if let Some((name, reason)) = beside {
            return Err(Problem { line: line_of(name), reason: reason.to_owned() });
        }
        Ok(read)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn problem(text: &str) -> String {
        Operators::parse(text).expect_err(text).to_string()
    }

    #[test]
    fn what_is_left_out_is_off() {
        assert_eq!(Operators::parse("").unwrap(), Operators::default());
        assert_eq!(Operators::parse("[journal]\n").unwrap().journal.sync, Sync::None);
        assert_eq!(Operators::parse("[journal]\nsync = \"group\"\n").unwrap().journal.sync, Sync::Group);
    }

    #[test]
    fn what_is_wrong_is_told_with_its_line_and_reason() {
        for (text, line, reason) in [
            ("[journal]\n\nsnc = \"none\"\n", "3: ", "unknown field `snc`, expected"),
            (
                "# one\n[jurnal]\n",
                "2: ",
                "unknown field `jurnal`, expected one of `journal`, `status`, `dormant`, `known`, `cores`",
            ),
            ("[journal]\nsync = \"always\"\n", "2: ", "unknown variant `always`, expected `none` or `group`"),
            ("[status]\n\nevery = \"5ms\"\n", "3: ", "every 100ms"),
            ("[status]\nevery = 5\n", "2: ", "needs a unit"),
            ("[journal]\nsync = 3\n", "2: ", ""),
            ("[journal]\ndamage = \"skip\"\n", "2: ", "expected `suspect` or `refuse`"),
            ("[journal]\n\nretain = \"48h\"\n", "3: ", "needs ledger"),
            ("[journal]\nledger = \"1MB\"\n", "2: ", "without retain"),
            ("[journal]\nledger = \"1MB\"\nretain = \"0s\"\n", "3: ", "no time"),
            ("[journal]\nledger = 1000000\nretain = \"1h\"\n", "2: ", "a size needs a unit"),
            ("[dormant]\nafter = \"10ms\"\n", "2: ", "less than a second"),
            ("[dormant]\n\nwakes = 10\n", "3: ", "without after"),
            ("[dormant]\nafter = \"10m\"\nawake = 0\n", "3: ", "none awake"),
            ("[dormant]\nafter = \"10m\"\nwakes = 0\n", "3: ", "none woken"),
            ("[dormant]\nremember = \"5m\"\nafter = \"10m\"\n", "2: ", "before it sleeps"),
            ("[known]\nspan = \"1h\"\n", "2: ", "without on"),
            ("[known]\non = true\nsize = \"1KiB\"\n", "3: ", "16KiB"),
            ("[known]\non = true\nspan = \"0s\"\n", "3: ", "leave on out"),
            ("[known]\nclock = \"sun\"\n", "2: ", "expected `wall` or `boot`"),
            ("[cores]\ncount = 0\n", "2: ", "one core at least"),
            ("[cores]\ncount = 65\n", "2: ", "64 cores at most"),
            ("[known]\non = true\n[cores]\ncount = 2\n", "4: ", "there is one core"),
            ("[journal]\nsync = \n", "2: ", ""),
            ("[journal]\nsync = \"none\"\nsync = \"none\"\n", "3: ", "duplicate key"),
        ] {
            let said = problem(text);
            assert!(said.starts_with(line) && said.contains(reason) && !said.contains('\n'), "{said}");
        }
        assert!(problem(&" ".repeat(FILE_LIMIT + 1)).contains("bytes"));
    }

    #[test]
    fn spans_and_sizes_need_their_units() {
        #[derive(Deserialize, Debug)]
        struct Both {
            span: Option<Span>,
            size: Option<Size>,
        }
        let read = |text: &str| toml::from_str::<Both>(text).map_err(|e| e.message().to_owned());
        assert_eq!(read("span = \"250ms\"").unwrap().span.unwrap().micros, 250_000);
        assert_eq!(read("span = \"2 h\"").unwrap().span.unwrap().micros, 7_200_000_000);
        assert_eq!(read("size = \"64KiB\"").unwrap().size.unwrap().bytes, 65_536);
        for (text, reason) in [
            ("span = 4", "a span of time needs a unit (us, ms, s, m, h, d), as in \"90s\""),
            ("span = 0.5", "is no unit of a span of time"),
            ("span = \"4 weeks\"", "\"weeks\" is no unit of a span of time"),
            ("span = \"s\"", "a whole number and a unit"),
            ("span = \"99999999999999999d\"", "beyond"),
            ("size = \"3\"", "a size needs a unit"),
            ("size = \"3 ms\"", "\"ms\" is no unit of a size"),
        ] {
            let said = read(text).expect_err(text);
            assert!(said.contains(reason), "{text}: {said}");
        }
    }
}
