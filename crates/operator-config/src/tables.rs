//! The tables of the file. A feature that the file leaves out is off, as it is without a file.

use serde::Deserialize;

use crate::error::Warning;
use crate::units::{Size, Span};

/// Maximum number of cores that one sender uses.
pub const MAX_CORES: u32 = 64;
/// Bytes of gossip that other senders may receive from one sender for each message that is submitted there.
pub const GOSSIP_BYTES_PER_MESSAGE: f64 = 25.0;

/// The contents of the file.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Operators {
    /// `[journal]`
    pub journal: JournalTable,
    /// `[status]`
    pub status: StatusTable,
    /// `[idle_destinations]`
    pub idle_destinations: IdleDestinationsTable,
    /// `[health_snapshot]`
    pub health_snapshot: HealthSnapshotTable,
    /// `[cores]`
    pub cores: CoresTable,
    /// `[gossip]`
    pub gossip: GossipTable,
    /// Warnings about old names in the file, in the order of their lines. The caller logs them.
    #[serde(skip)]
    pub warnings: Vec<Warning>,
}

/// `[cores]`: how many cores one sender uses.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CoresTable {
    /// `count`: number of threads, each of which makes decisions and has its own connections, from 1 to [`MAX_CORES`].
    pub count: u32,
}

impl Default for CoresTable {
    fn default() -> Self {
        Self { count: 1 }
    }
}

/// `[gossip]`: what senders publish to one another over the platform's `peers`. Without `on` nothing is published,
/// received gossip is ignored, and no other key may be given.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct GossipTable {
    /// `on`: outages, limits and Retry-After deadlines that one sender observed are published to all senders.
    pub on: bool,
    /// `transfers`: quota is also transferred between senders.
    pub transfers: bool,
    /// `bytes`: maximum number of bytes that other senders receive from this one per second on average, in addition to
    /// [`GOSSIP_BYTES_PER_MESSAGE`] for each message.
    pub bytes: Option<Size>,
}

/// `[health_snapshot]`: the health of destinations that a sender has observed is stored for its next process. Without
/// `on` nothing is stored, no stored snapshot is trusted, and no other key may be given.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct HealthSnapshotTable {
    /// `on`: the snapshot is written, and trusted when a process starts.
    pub on: bool,
    /// `size`: maximum size of the snapshot; by default an eighth of `disk_mb`. The snapshot only gets the part of
    /// `disk_mb` that the journal leaves free.
    pub size: Option<Size>,
    /// `span`: how long observed limits and response times are trusted.
    pub span: Option<Span>,
    /// `clock`: the clock that measures the time between two processes.
    pub clock: SnapshotClock,
}

/// `clock = "wall"` or `"boot"`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum SnapshotClock {
    /// The system's clock, which needs only the standard library. If it is set forward between two processes, this
    /// can't be detected.
    #[default]
    Wall,
    /// In addition the machine's time since boot, which can't be set (Linux).
    Boot,
}

/// `[idle_destinations]`: when destinations become idle, what is retained of them, and how fast they are activated
/// again. Without `after` no destination becomes idle, and no other key may be given.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct IdleDestinationsTable {
    /// `after`: a destination becomes idle when nothing was sent to it for this long, at least a second.
    pub after: Option<Span>,
    /// `retain`: how long the retained health of an idle destination is valid. An active Retry-After is valid until
    /// it ends.
    pub retain: Option<Span>,
    /// `memory`: maximum memory in bytes for what is retained of all idle destinations.
    pub memory: Option<Size>,
    /// `active`: maximum number of active destinations, at least 1.
    pub active: Option<u32>,
    /// `activations`: maximum number of destinations per second that get their first call after activation, at least 1.
    pub activations: Option<u32>,
}

/// `[status]`: a log line at intervals, with pending messages and open breakers.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StatusTable {
    /// `every`: the interval, at least 100 ms. Without it no line is written.
    pub every: Option<Span>,
}

/// `[journal]`: how accepted messages are stored.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct JournalTable {
    /// `sync`: which failures stored messages survive in addition to the end of the process.
    pub sync: Sync,
    /// `damage`: how a journal file that is damaged in its middle is handled.
    pub damage: Damage,
    /// `retain`: how long the outcomes of messages that must not take effect twice are retained. Requires `ledger`.
    pub retain: Option<Span>,
    /// `ledger`: maximum disk space for these outcomes; when it is used up, such messages are rejected.
    pub ledger: Option<Size>,
}

/// `damage = "suspect"` or `"refuse"`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Damage {
    /// The damaged file is preserved, and each message that may be affected is treated as possibly applied.
    #[default]
    Suspect,
    /// The sender does not start.
    Refuse,
}

/// `sync = "none"` or `"group"`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Sync {
    /// Nothing is synced: written messages survive the end of the process, including SIGKILL, but not a loss of power.
    #[default]
    None,
    /// One `fdatasync` for each batch; the batch's answers wait for it.
    Group,
}
