//! The next step of the predecessor and of the successor.
//!
//! The process that holds the journal's lock makes the decisions on messages; every step follows from that.

use decision::interface::Micros;

/// Maximum time for which a starting process requests the hand-over, or waits for the journal of a process that does
/// not respond. Then it fails, so that it does not retry for ever.
pub const STARTUP_TIMEOUT: Micros = 5_000_000;
/// Maximum time for which the predecessor waits for its successor to complete the takeover.
pub const TAKEOVER_TIMEOUT: Micros = 2_000_000;
/// Maximum time for which a successor that does not understand the predecessor's state waits until that has no attempt in
/// flight.
pub const CANCELLATION_TIMEOUT: Micros = 2_000_000;
/// Maximum time for which a predecessor whose successor has exited waits for the journal's lock, which the system releases after
/// it has closed the connection.
pub const JOURNAL_RELEASE_TIMEOUT: Micros = 1_000_000;
/// Time from SIGTERM until a predecessor that has handed over abandons its outstanding attempts, because it may be
/// killed soon after.
pub const DRAIN_TIMEOUT: Micros = 3_500_000;

/// The process that holds the journal's lock, as seen by a starting process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JournalOwner {
    /// No other process.
    None,
    /// Another process that listens for a successor.
    Responsive,
    /// Another process that can't be reached: it is about to exit, or is of an older version.
    Unresponsive,
}

/// What a starting process does next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartupStep {
    /// Start from the journal alone.
    Start,
    /// Request the hand-over.
    RequestTakeover,
    /// Check again after a pause.
    Retry,
    /// Exit with an error: another sender uses the folder.
    Fail,
}

/// Returns the next step of a process that has been starting for `waited`. `concurrent` is whether the platform
/// starts a successor while its predecessor runs; if it does not, another process on the same folder is an error at
/// once.
pub fn startup_step(owner: JournalOwner, concurrent: bool, waited: Micros) -> StartupStep {
    match owner {
        JournalOwner::None => StartupStep::Start,
        JournalOwner::Responsive if concurrent && waited < STARTUP_TIMEOUT => StartupStep::RequestTakeover,
        JournalOwner::Unresponsive if concurrent && waited < STARTUP_TIMEOUT => StartupStep::Retry,
        JournalOwner::Responsive | JournalOwner::Unresponsive => StartupStep::Fail,
    }
}

/// What the predecessor does once it has sent its state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PredecessorStep {
    /// Complete its clients' connections and outstanding attempts on behalf of the successor.
    Drain,
    /// Continue to make decisions with the journal, which it has locked again.
    Resume,
    /// Exit: another process has the journal and can't be reached, and two processes must not both make decisions.
    /// Outstanding attempts may have run, as the journal records them.
    Exit,
}

/// Returns the predecessor's step after it has sent its state, so that exactly one process makes decisions.
/// `taken_over` is whether the successor confirmed that it has the journal, `journal_free` whether the predecessor
/// could lock it again.
pub fn predecessor_step(taken_over: bool, journal_free: bool) -> PredecessorStep {
    match (taken_over, journal_free) {
        (true, _) => PredecessorStep::Drain,
        (false, true) => PredecessorStep::Resume,
        (false, false) => PredecessorStep::Exit,
    }
}

/// Returns whether the state that a predecessor sent is older than the journal, whose latest records are of `journal_time`: it
/// resumed after it had stopped at `stopped_at` and sent the state.
pub fn is_superseded(stopped_at: Micros, journal_time: Micros) -> bool {
    journal_time > stopped_at
}

/// Returns whether a predecessor that has handed over exits: it has drained everything, or [`DRAIN_TIMEOUT`] has passed
/// since SIGTERM.
pub fn may_exit(outstanding: usize, clients: usize, stopping_since: Option<Micros>, now: Micros) -> bool {
    let drained = outstanding == 0 && clients == 0;
    drained || stopping_since.is_some_and(|since| now >= since + DRAIN_TIMEOUT)
}
