//! When something was written, and how much time has passed since. No clock is read here.

use serde::{Deserialize, Serialize};

use crate::Micros;

#[cfg(test)]
mod tests;

/// A reading of the machine's monotonic clock, which can't be set.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Boot {
    /// Identifies this boot of the machine.
    pub id: u128,
    /// Time since the boot.
    pub at: Micros,
}

/// A moment on the wall clock, and on the machine's monotonic clock if that is read.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Timestamp {
    /// Unix time.
    pub wall: Micros,
    /// The monotonic clock.
    pub boot: Option<Boot>,
}

/// How the wall clock behaved between two moments.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WallClock {
    /// It shows the time that passed.
    Steady,
    /// There was no clock to check it against; it did not run backwards.
    Unchecked,
    /// The machine was restarted meanwhile: what the wall clock shows is plausible.
    Restarted,
    /// It was set forward by this much.
    SetForward(Micros),
    /// It was set back, or stopped, by at least this much.
    SetBack(Micros),
    /// The monotonic clock ran backwards: the time that passed is unknown.
    Impossible,
}

/// How much time passed between two moments.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Elapsed {
    /// At least this much: Retry-After and slow start progress by it.
    pub least: Micros,
    /// At most this much, if known: observed successes age by it.
    pub most: Option<Micros>,
    /// How the wall clock behaved.
    pub wall: WallClock,
}

/// Difference between two clocks that is tolerated, besides their drift ([`DRIFT_DIVISOR`]).
const TOLERANCE: Micros = 250_000;
/// Two clocks drift apart by at most one part in this many.
const DRIFT_DIVISOR: Micros = 1_000;

/// Returns how much time passed from one moment to another, so that a wall clock that was set forward ends no Retry-After or
/// slow start early, and one that was set back makes no success look recent. Where the clocks disagree the monotonic one counts.
/// Where neither is reliable, restrictions count as if no time had passed, and the age of successes is unknown. Across a restart
/// of the machine only the time since is certain, so that a Retry-After is extended by the time that the machine was off.
pub fn elapsed(then: &Timestamp, now: &Timestamp) -> Elapsed {
    let wall = i128::from(now.wall) - i128::from(then.wall);
    match (then.boot, now.boot) {
        (Some(then), Some(now)) if then.id == now.id => since_same_boot(then, now, wall),
        (Some(_), Some(now)) => since_restart(now, wall),
        _ if wall >= 0 => {
            Elapsed { least: micros(wall), most: Some(micros(wall)), wall: WallClock::Unchecked }
        }
        _ => Elapsed { least: 0, most: None, wall: WallClock::SetBack(micros(-wall)) },
    }
}

/// Returns the time that passed without a restart of the machine, by its monotonic clock.
fn since_same_boot(then: Boot, now: Boot, wall: i128) -> Elapsed {
    let Some(real) = now.at.checked_sub(then.at) else {
        return Elapsed { least: 0, most: None, wall: WallClock::Impossible };
    };
    let ahead = wall - i128::from(real);
    let tolerance = i128::from(TOLERANCE + real / DRIFT_DIVISOR);
    let wall = match ahead {
        _ if ahead.abs() <= tolerance => WallClock::Steady,
        _ if ahead > 0 => WallClock::SetForward(micros(ahead)),
        _ => WallClock::SetBack(micros(-ahead)),
    };
    Elapsed { least: real, most: Some(real), wall }
}

/// Returns the time that passed across a restart of the machine: at least the time since, at most what the wall clock shows.
fn since_restart(now: Boot, wall: i128) -> Elapsed {
    let least = now.at;
    let missing = i128::from(least) - wall;
    if missing > 0 {
        return Elapsed { least, most: None, wall: WallClock::SetBack(micros(missing)) };
    }
    Elapsed { least, most: Some(micros(wall)), wall: WallClock::Restarted }
}

fn micros(span: i128) -> Micros {
    Micros::try_from(span.max(0)).unwrap_or(Micros::MAX)
}
