//! What each side does next.

use decision::interface::Micros;

/// A process that starts begins to ask no later than that, and waits so long for the journal of one that says nothing.
/// Guards against one that is asked for ever and never hands over.
pub const WAIT: Micros = 5_000_000;
/// The old process waits so long for the new one to take over.
pub const TAKE_WITHIN: Micros = 2_000_000;
/// From SIGTERM until an old process that has handed over breaks off what is still out: it may be killed soon after.
pub const CARRY: Micros = 3_500_000;

/// What a process that starts finds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Found {
    /// Nobody else writes the journal.
    Free,
    /// Another process does, and listens for who takes over.
    Running,
    /// Another process does, and can't be asked: it ends, or is an older version's.
    Mute,
}

/// What a process that starts does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Start {
    /// Begin with the journal alone.
    Alone,
    /// Ask to take over.
    Ask,
    /// Look again.
    Wait,
    /// Another sender has the folder: end, and say so.
    GiveUp,
}

/// The step of a process that has been starting for so long. Where the platform starts no second process beside the
/// first, another one on the same folder is an error at once.
pub fn start(found: Found, beside: bool, waited: Micros) -> Start {
    match found {
        Found::Free => Start::Alone,
        Found::Running if beside && waited < WAIT => Start::Ask,
        Found::Mute if beside && waited < WAIT => Start::Wait,
        Found::Running | Found::Mute => Start::GiveUp,
    }
}

/// What the old process does once it has told its state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum After {
    /// Carry what is still its own to the end, on the new one's behalf.
    Carry,
    /// Take the journal again and go on.
    GoOn,
    /// Another process has the journal and can't be reached: guards against two that decide. End; what is out may
    /// have run, as the journal has it.
    End,
}

/// The step of the old process. `took`: the new one said that it has the journal. Guards against both deciding, or
/// neither: only who holds the journal's lock decides.
pub fn after(took: bool, journal_free: bool) -> After {
    match (took, journal_free) {
        (true, _) => After::Carry,
        (false, true) => After::GoOn,
        (false, false) => After::End,
    }
}

/// Whether an old process that has handed over ends: it has nothing left to carry, or no more time.
pub fn may_end(out: usize, clients: usize, stopping_since: Option<Micros>, now: Micros) -> bool {
    (out == 0 && clients == 0) || stopping_since.is_some_and(|since| now >= since + CARRY)
}
