//! What each of the two processes does next.
//!
//! Whichever process holds the journal's lock decides on messages; every step follows from that.

use decision::interface::Micros;

/// A starting process requests the hand-over within this time, and waits as long for the journal of a process that does
/// not respond. Guards against a successor that retries for ever.
pub const STARTUP_TIMEOUT: Micros = 5_000_000;
/// The predecessor waits this long for its successor to complete the takeover.
pub const TAKEOVER_TIMEOUT: Micros = 2_000_000;
/// Time from SIGTERM until a predecessor that has handed over abandons its outstanding attempts: it may be killed soon
/// after.
pub const DRAIN_TIMEOUT: Micros = 3_500_000;

/// The process that holds the journal's lock, as a starting process finds it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JournalOwner {
    /// No other process.
    None,
    /// Another process, which listens for a successor.
    Responsive,
    /// Another process, which can't be reached: it is about to exit, or is of an older version.
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
    /// Exit with an error: another sender has the folder.
    Fail,
}

/// The step of a process that has been starting for `waited`. `concurrent` says whether the platform starts a successor
/// while its predecessor runs; where it does not, another process on the same folder is an error at once.
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
    /// Carry its connections and outstanding attempts to their end on behalf of the successor.
    Drain,
    /// Take the journal again and go on deciding.
    Resume,
    /// Exit: another process has the journal and can't be reached. Guards against two processes that decide. Outstanding
    /// attempts may have run, as the journal records them.
    Exit,
}

/// The predecessor's step after it has sent its state. `taken_over` says whether the successor confirmed that it has the
/// journal, `journal_free` whether the predecessor could lock it again. Guards against both deciding, or neither.
pub fn predecessor_step(taken_over: bool, journal_free: bool) -> PredecessorStep {
    match (taken_over, journal_free) {
        (true, _) => PredecessorStep::Drain,
        (false, true) => PredecessorStep::Resume,
        (false, false) => PredecessorStep::Exit,
    }
}

/// Whether a predecessor that has handed over exits: it has nothing left to drain, or no more time.
pub fn may_exit(outstanding: usize, clients: usize, stopping_since: Option<Micros>, now: Micros) -> bool {
    let drained = outstanding == 0 && clients == 0;
    drained || stopping_since.is_some_and(|since| now >= since + DRAIN_TIMEOUT)
}
