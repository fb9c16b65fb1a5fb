//! When something was written, and how much time passed since. No clock is read here.

use serde::{Deserialize, Serialize};

use crate::Micros;

/// The time since the machine started, which nobody sets, and which start that was.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Boot {
    /// Another one with each start of the machine.
    pub id: u128,
    /// Since then.
    pub at: Micros,
}

/// A moment, by the clock on the wall, and by the machine's own where that is looked at.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Timestamp {
    /// Unix time.
    pub wall: Micros,
    /// The machine's own.
    pub boot: Option<Boot>,
}

/// What became of the wall clock between two moments.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WallClock {
    /// It shows the time that passed.
    Steady,
    /// Nothing was there to check it by; it did not run backwards.
    Unchecked,
    /// The machine was started meanwhile: what the wall clock shows may be so.
    Restarted,
    /// It was set forward by so much.
    SetForward(Micros),
    /// It was set back, or stood still, by so much at least.
    SetBack(Micros),
    /// The machine's own clock ran backwards: nothing can be told.
    Impossible,
}

/// How much time passed between two moments.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Elapsed {
    /// So much at least: by this waits run, and what is cold warms up.
    pub least: Micros,
    /// So much at most, if that is known: by this what is good news grows old.
    pub most: Option<Micros>,
    /// What became of the wall clock.
    pub wall: WallClock,
}

/// Two clocks that run for a while differ by so much, and by a thousandth of the time.
const TOLERANCE: Micros = 250_000;

/// How much time passed from one moment to another. Guards waits and cold partners against a wall clock that is set forward,
/// and all against one that is set back: where the clocks don't agree the machine's own counts, and where nothing can be told
/// no time has passed for what binds, and any for what is good news. Across a restart of the machine only the time since that
/// is sure, so that a wait lasts longer than it was told by as long as the machine was off.
pub fn elapsed(then: &Timestamp, now: &Timestamp) -> Elapsed {
    let wall = i128::from(now.wall) - i128::from(then.wall);
    let micros = |span: i128| Micros::try_from(span.max(0)).unwrap_or(Micros::MAX);
    match (then.boot, now.boot) {
        (Some(a), Some(b)) if a.id == b.id => {
            let Some(real) = b.at.checked_sub(a.at) else {
                return Elapsed { least: 0, most: None, wall: WallClock::Impossible };
            };
            let ahead = wall - i128::from(real);
            let close = i128::from(TOLERANCE + real / 1_000);
            let wall = match ahead {
                _ if ahead.abs() <= close => WallClock::Steady,
                _ if ahead > 0 => WallClock::SetForward(micros(ahead)),
                _ => WallClock::SetBack(micros(-ahead)),
            };
            Elapsed { least: real, most: Some(real), wall }
        }
        (Some(_), Some(b)) if wall >= i128::from(b.at) => {
            Elapsed { least: b.at, most: Some(micros(wall)), wall: WallClock::Restarted }
        }
        (Some(_), Some(b)) => {
            Elapsed { least: b.at, most: None, wall: WallClock::SetBack(micros(i128::from(b.at) - wall)) }
        }
        _ if wall >= 0 => {
            Elapsed { least: micros(wall), most: Some(micros(wall)), wall: WallClock::Unchecked }
        }
        _ => Elapsed { least: 0, most: None, wall: WallClock::SetBack(micros(-wall)) },
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const HOUR: Micros = 3_600_000_000;

    fn stamp(wall: Micros, id: u128, at: Micros) -> Timestamp {
        Timestamp { wall, boot: Some(Boot { id, at }) }
    }

    #[test]
    fn the_machines_own_clock_tells_a_wall_clock_that_was_set() {
        let then = stamp(100 * HOUR, 1, HOUR);
        for (wall, real, what) in [
            (HOUR, HOUR, WallClock::Steady),
            (HOUR + 200_000, HOUR, WallClock::Steady),
            (3 * HOUR, HOUR, WallClock::SetForward(2 * HOUR)),
            (0, HOUR, WallClock::SetBack(HOUR)),
        ] {
            let passed = elapsed(&then, &stamp(100 * HOUR + wall, 1, HOUR + real));
            assert_eq!(passed, Elapsed { least: real, most: Some(real), wall: what });
        }
        let back = elapsed(&then, &stamp(90 * HOUR, 1, 2 * HOUR));
        assert_eq!((back.least, back.wall), (HOUR, WallClock::SetBack(11 * HOUR)));
        assert_eq!(elapsed(&then, &stamp(101 * HOUR, 1, 0)).wall, WallClock::Impossible);
    }

    #[test]
    fn across_a_restart_of_the_machine_only_the_time_since_is_sure() {
        let then = stamp(100 * HOUR, 1, 50 * HOUR);
        let night = elapsed(&then, &stamp(108 * HOUR, 2, 1_000_000));
        assert_eq!(night, Elapsed { least: 1_000_000, most: Some(8 * HOUR), wall: WallClock::Restarted });
        let back = elapsed(&then, &stamp(99 * HOUR, 2, 1_000_000));
        assert_eq!((back.least, back.most), (1_000_000, None));
    }

    #[test]
    fn without_it_a_clock_that_runs_backwards_is_told_and_no_other() {
        let wall = |wall| Timestamp { wall, boot: None };
        let forward = elapsed(&wall(5), &wall(HOUR + 5));
        assert_eq!(forward, Elapsed { least: HOUR, most: Some(HOUR), wall: WallClock::Unchecked });
        let back = elapsed(&wall(HOUR), &wall(5));
        assert_eq!(back, Elapsed { least: 0, most: None, wall: WallClock::SetBack(HOUR - 5) });
    }
}
