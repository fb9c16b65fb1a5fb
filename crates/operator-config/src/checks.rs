//! Checks for values that are well-formed but invalid: out of range, without effect, or contradicting one another.

use std::collections::HashMap;

use toml::de::{DeTable, DeValue};

use crate::Lines;
use crate::error::{ConfigError, Reason};
use crate::tables::{
    CoresTable, GossipTable, HealthSnapshotTable, IdleDestinationsTable, JournalTable, MAX_CORES, Operators,
    SnapshotClock, StatusTable,
};
use crate::units::{Size, Span};

/// Minimum interval between status lines.
const MIN_STATUS_INTERVAL: Span = Span { micros: 100_000 };
/// Minimum time after which a destination becomes idle.
const MIN_IDLE_TIME: Span = Span { micros: 1_000_000 };
/// Minimum size limit of a health snapshot.
const MIN_SNAPSHOT_SIZE: Size = Size { bytes: 16 << 10 };
/// Minimum limit of the gossip bytes per second.
const MIN_GOSSIP_RATE: Size = Size { bytes: 16 };

/// A key with an invalid value.
struct Violation {
    table: &'static str,
    key: &'static str,
    text: &'static str,
}

/// The line numbers of keys, by table and key.
pub(crate) struct Positions(HashMap<(String, String), usize>);

impl Positions {
    pub(crate) fn of(document: &DeTable<'_>, lines: Lines<'_>) -> Self {
        let mut positions = HashMap::new();
        for (table, value) in document {
            let DeValue::Table(entries) = value.get_ref() else { continue };
            for key in entries.keys() {
                let names = (table.get_ref().to_string(), key.get_ref().to_string());
                positions.insert(names, lines.at(key.span().start));
            }
        }
        Self(positions)
    }

    /// Returns the line of a key; the first line if the file does not have the key.
    fn line(&self, table: &str, key: &str) -> usize {
        self.0.get(&(table.to_owned(), key.to_owned())).copied().unwrap_or(1)
    }
}

/// Checks all tables.
///
/// # Errors
/// Returns the first violation, in the order of the tables below.
pub(crate) fn check(operators: &Operators, positions: &Positions) -> Result<(), ConfigError> {
    let violation = status(&operators.status)
        .or_else(|| journal(&operators.journal))
        .or_else(|| idle_destinations(&operators.idle_destinations))
        .or_else(|| health_snapshot(&operators.health_snapshot))
        .or_else(|| gossip(&operators.gossip, &operators.cores))
        .or_else(|| cores(&operators.cores, &operators.health_snapshot));
    let Some(Violation { table, key, text }) = violation else { return Ok(()) };
    Err(ConfigError { line: positions.line(table, key), reason: Reason::Contradiction(text) })
}

fn status(table: &StatusTable) -> Option<Violation> {
    let violation = |key, text| Some(Violation { table: "status", key, text });
    match table.every {
        Some(every) if every < MIN_STATUS_INTERVAL => {
            violation("every", "a status line more often than every 100ms would fill the log")
        }
        _ => None,
    }
}

fn journal(table: &JournalTable) -> Option<Violation> {
    let violation = |key, text| Some(Violation { table: "journal", key, text });
    match (table.retain, table.ledger) {
        (Some(_), None) => violation("retain", "retain needs ledger, the room for what is kept"),
        (None, Some(_)) => {
            violation("ledger", "ledger is room for ends that are kept, and without retain none are")
        }
        (Some(Span { micros: 0 }), _) => violation("retain", "ends that are kept for no time are not kept"),
        _ => None,
    }
}

fn idle_destinations(table: &IdleDestinationsTable) -> Option<Violation> {
    let violation = |key, text| Some(Violation { table: "idle_destinations", key, text });
    let Some(after) = table.after else {
        let given = [
            table.retain.map(|_| "retain"),
            table.memory.map(|_| "memory"),
            table.active.map(|_| "active"),
            table.activations.map(|_| "activations"),
        ];
        let key = given.into_iter().flatten().next()?;
        return violation(key, "without after no destination becomes idle, and this has no effect");
    };
    if after < MIN_IDLE_TIME {
        return violation("after", "less than a second makes destinations idle between two messages");
    }
    match table {
        IdleDestinationsTable { active: Some(0), .. } => {
            violation("active", "with no active destination nothing can be sent")
        }
        IdleDestinationsTable { activations: Some(0), .. } => {
            violation("activations", "with no activations nothing can be sent")
        }
        IdleDestinationsTable { retain: Some(retain), .. } if *retain < after => {
            violation("retain", "what is retained for less than after expires before a destination is idle")
        }
        _ => None,
    }
}

fn health_snapshot(table: &HealthSnapshotTable) -> Option<Violation> {
    let violation = |key, text| Some(Violation { table: "health_snapshot", key, text });
    if !table.on {
        let given = [
            table.size.map(|_| "size"),
            table.span.map(|_| "span"),
            (table.clock == SnapshotClock::Boot).then_some("clock"),
        ];
        let key = given.into_iter().flatten().next()?;
        return violation(key, "without on = true nothing is kept, and this has no effect");
    }
    match table {
        HealthSnapshotTable { size: Some(size), .. } if *size < MIN_SNAPSHOT_SIZE => {
            violation("size", "less than 16KiB can't hold the snapshot of some dozen partners")
        }
        HealthSnapshotTable { span: Some(Span { micros: 0 }), .. } => {
            violation("span", "what is trusted for no time is not trusted: leave on out")
        }
        _ => None,
    }
}

fn gossip(table: &GossipTable, cores: &CoresTable) -> Option<Violation> {
    let violation = |key, text| Some(Violation { table: "gossip", key, text });
    match table {
        GossipTable { on: false, transfers: true, .. } => {
            violation("transfers", "without on = true nothing is published, and no quota can be transferred")
        }
        GossipTable { on: false, bytes: Some(_), .. } => {
            violation("bytes", "without on = true nothing is published, and this has no effect")
        }
        GossipTable { bytes: Some(bytes), .. } if *bytes < MIN_GOSSIP_RATE => violation(
            "bytes",
            "less than 16B a second is no gossip message in a quarter of a minute: leave on out",
        ),
        GossipTable { on: true, .. } if cores.count > 1 => violation(
            "on",
            "with several cores there is no gossip with other senders yet: leave [gossip] out, or count = 1",
        ),
        _ => None,
    }
}

fn cores(table: &CoresTable, health_snapshot: &HealthSnapshotTable) -> Option<Violation> {
    let violation = |text| Some(Violation { table: "cores", key: "count", text });
    match table.count {
        0 => violation("a sender has one core at least"),
        count if count > MAX_CORES => violation("a sender has 64 cores at most"),
        2.. if health_snapshot.on => violation(
            "with [health_snapshot] on there is one core: several don't write a common snapshot yet",
        ),
        _ => None,
    }
}
