//! Times of the writer's clock on that of the restarted process.

use crate::Micros;
use crate::timestamp::{Elapsed, WallClock};

/// Maps times of the writer's clock.
pub(super) struct TimeMapping {
    /// The restarted process's time.
    pub(super) now: Micros,
    /// When the snapshot was written, on the writer's clock.
    pub(super) written_at: Micros,
    /// The time since.
    pub(super) elapsed: Elapsed,
}

impl TimeMapping {
    /// A time that a restriction depends on, as late as possible; it may be in the future.
    pub(super) fn restriction(&self, at: Micros) -> Micros {
        let ago = i128::from(self.written_at) - i128::from(at) + i128::from(self.elapsed.least);
        (i128::from(self.now) - ago).clamp(0, Micros::MAX.into()) as Micros
    }

    /// The same of a time in the past.
    pub(super) fn past_restriction(&self, at: Micros) -> Micros {
        self.restriction(at).min(self.now)
    }

    /// The time of a success, as early as possible; 0 where that is unknown.
    pub(super) fn success(&self, at: Micros) -> Micros {
        match self.elapsed.most {
            Some(most) if at > 0 => {
                let age_when_written = self.written_at.saturating_sub(at);
                self.now.saturating_sub(age_when_written).saturating_sub(most)
            }
            _ => 0,
        }
    }

    /// The age of what was written then, at most.
    pub(super) fn age(&self, at: Micros) -> Option<Micros> {
        Some(self.written_at.saturating_sub(at).saturating_add(self.elapsed.most?))
    }

    /// The age of what was written then, at least.
    pub(super) fn least_age(&self, at: Micros) -> Micros {
        self.elapsed.least.saturating_add(self.written_at.saturating_sub(at))
    }

    /// How far this process's clock is ahead of the writer's.
    pub(super) fn shift(&self) -> i64 {
        let shift = i128::from(self.now) - i128::from(self.written_at) - i128::from(self.elapsed.least);
        shift.clamp(i64::MIN.into(), i64::MAX.into()) as i64
    }
}

/// What operators should know of the wall clock.
pub(super) fn clock_warning(wall: WallClock) -> Option<String> {
    let seconds = |span: Micros| span as f64 / 1e6;
    match wall {
        WallClock::Steady | WallClock::Unchecked | WallClock::Restarted => None,
        WallClock::SetForward(by) => Some(format!(
            "the clock was set forward by {:.1} s since the last process: waits count by the time that passed",
            seconds(by)
        )),
        WallClock::SetBack(by) => Some(format!(
            "the clock was set back by {:.1} s since the last process: what it learnt makes more careful alone",
            seconds(by)
        )),
        WallClock::Impossible => Some(
            "the machine's clock ran backwards: what the last process learnt makes more careful alone"
                .to_owned(),
        ),
    }
}
