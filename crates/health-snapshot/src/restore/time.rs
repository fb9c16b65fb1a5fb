//! Conversion of times from the writer's clock to that of the restarted process.

use crate::Micros;
use crate::timestamp::{Elapsed, WallClock};

/// Converts times from the writer's clock.
pub(super) struct TimeMapping {
    /// The restarted process's time.
    pub(super) now: Micros,
    /// When the snapshot was written, on the writer's clock.
    pub(super) written_at: Micros,
    /// How much time passed since.
    pub(super) elapsed: Elapsed,
}

impl TimeMapping {
    /// Converts a time that a restriction depends on, to the latest that is possible. It may be in the future.
    pub(super) fn restriction(&self, at: Micros) -> Micros {
        let ago = i128::from(self.written_at) - i128::from(at) + i128::from(self.elapsed.least);
        (i128::from(self.now) - ago).clamp(0, Micros::MAX.into()) as Micros
    }

    /// Converts such a time that is in the past.
    pub(super) fn past_restriction(&self, at: Micros) -> Micros {
        self.restriction(at).min(self.now)
    }

    /// Converts the time of a success, to the earliest that is possible; 0 if that is unknown.
    pub(super) fn success(&self, at: Micros) -> Micros {
        match self.elapsed.most {
            Some(most) if at > 0 => {
                let age_when_written = self.written_at.saturating_sub(at);
                self.now.saturating_sub(age_when_written).saturating_sub(most)
            }
            _ => 0,
        }
    }

    /// Returns the maximum age of what was written then, if it is known.
    pub(super) fn age(&self, at: Micros) -> Option<Micros> {
        Some(self.written_at.saturating_sub(at).saturating_add(self.elapsed.most?))
    }

    /// Returns the minimum age of what was written then.
    pub(super) fn least_age(&self, at: Micros) -> Micros {
        self.elapsed.least.saturating_add(self.written_at.saturating_sub(at))
    }

    /// Returns how far this process's clock is ahead of the writer's.
    pub(super) fn shift(&self) -> i64 {
        let shift = i128::from(self.now) - i128::from(self.written_at) - i128::from(self.elapsed.least);
        shift.clamp(i64::MIN.into(), i64::MAX.into()) as i64
    }
}

/// Returns a warning for operators if a clock was set or is unreliable.
pub(super) fn clock_warning(wall: WallClock) -> Option<String> {
    let seconds = |span: Micros| span as f64 / 1e6;
    match wall {
        WallClock::Steady | WallClock::Unchecked | WallClock::Restarted => None,
        WallClock::SetForward(by) => Some(format!(
            "the clock was set forward by {:.1} s since the previous process: waits are measured by the monotonic clock",
            seconds(by)
        )),
        WallClock::SetBack(by) => Some(format!(
            "the clock was set back by {:.1} s since the previous process: its observations are only used to be more careful",
            seconds(by)
        )),
        WallClock::Impossible => Some(
            "the monotonic clock ran backwards: the previous process's observations are only used to be more careful"
                .to_owned(),
        ),
    }
}
