//! The tables of the file. What the file leaves out is as on the platform: off.

use serde::Deserialize;

use crate::error::Warning;
use crate::units::{Size, Span};

/// Most cores that one sender uses.
pub const MAX_CORES: u32 = 64;
/// Bytes of gossip that other senders may receive from one sender for each message that is submitted there.
pub const BYTES_EACH: f64 = 25.0;

/// All that the file can say.
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
    /// Names in the file that were renamed, in the order of their lines. Whoever reads the file logs them.
    #[serde(skip)]
    pub warnings: Vec<Warning>,
}

/// `[cores]`: how many cores one sender uses.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CoresTable {
    /// `count`: threads that decide and have connections of their own, from 1 to [`MAX_CORES`].
    pub count: u32,
}

impl Default for CoresTable {
    fn default() -> Self {
        Self { count: 1 }
    }
}

/// `[gossip]`: what senders publish to one another over the platform's `peers`. Without `on` nothing is published,
/// nothing received counts, and no other key may be given.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct GossipTable {
    /// `on`: outages, limits and Retry-After deadlines that one sender observed are published to all.
    pub on: bool,
    /// `transfers`: quota is transferred between senders too.
    pub transfers: bool,
    /// `bytes`: most bytes that others receive from this sender per second on average, in addition to [`BYTES_EACH`] for
    /// each message.
    pub bytes: Option<Size>,
}

/// `[health_snapshot]`: what a sender has observed of partners is stored for its next process. Without `on` nothing is
/// stored, nothing stored is trusted, and no other key may be given.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct HealthSnapshotTable {
    /// `on`: the snapshot is written, and trusted at a start.
    pub on: bool,
    /// `size`: most bytes that it may occupy, within `disk_mb` and after the journal; by default an eighth of `disk_mb`.
    pub size: Option<Size>,
    /// `span`: how long observed limits and response times are trusted.
    pub span: Option<Span>,
    /// `clock`: what measures the time between two processes.
    pub clock: SnapshotClock,
}

/// `clock = "wall"` or `"boot"`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum SnapshotClock {
    /// The system's clock, through the standard library alone. That it was set forward between two processes can't be
    /// detected.
    #[default]
    Wall,
    /// The machine's time since its start as well, which nobody sets (Linux).
    Boot,
}

/// `[idle_destinations]`: what becomes of destinations that nothing is sent to for long. Without `after` none becomes
/// idle, and no other key may be given.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct IdleDestinationsTable {
    /// `after`: a destination becomes idle when nothing was sent to it for this long, a second at least.
    pub after: Option<Span>,
    /// `retain`: how long what is retained of an idle destination counts, apart from an active Retry-After.
    pub retain: Option<Span>,
    /// `memory`: most bytes that is retained of all idle destinations.
    pub memory: Option<Size>,
    /// `active`: most destinations that are active at a time, from 1 on.
    pub active: Option<u32>,
    /// `activations`: destinations per second that may be called for the first time, from 1 on.
    pub activations: Option<u32>,
}

/// `[status]`: a line in the log at intervals, with pending messages and open breakers.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StatusTable {
    /// `every`: the interval, 100 ms at least. Without it no line is written.
    pub every: Option<Span>,
}

/// `[journal]`: how accepted messages are stored.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct JournalTable {
    /// `sync`: what stored messages survive besides the end of the process.
    pub sync: Sync,
    /// `damage`: what is done about a file that is damaged in its middle.
    pub damage: Damage,
    /// `retain`: how long the outcomes of messages that must not take effect twice are kept. It needs `ledger`.
    pub retain: Option<Span>,
    /// `ledger`: most bytes that these outcomes may occupy on the disk; at that, such messages are rejected.
    pub ledger: Option<Size>,
}

/// `damage = "suspect"` or `"refuse"`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Damage {
    /// The file is preserved, and each message that may be affected is treated as possibly applied.
    #[default]
    Suspect,
    /// Nothing starts.
    Refuse,
}

/// `sync = "none"` or `"group"`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Sync {
    /// Nothing is synced: what was written survives the end of the process, SIGKILL included, not a loss of power.
    #[default]
    None,
    /// One `fdatasync` for each batch; its answers wait for it.
    Group,
}
