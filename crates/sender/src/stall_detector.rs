//! How long ago what is read now may have arrived: a request's time runs from its arrival, not from when it
//! is read.

use std::cell::Cell;
use std::time::Duration;

use tokio::runtime::Builder;
use tokio::time::Instant;

/// The longest wait of the runtime.
const BEAT: Duration = Duration::from_millis(100);
/// A wait that ends so soon found something that was there already.
const AT_ONCE: Duration = Duration::from_micros(200);
/// A wait that ends so long after the beat did not end by itself: the process stalled.
const STILL: Duration = Duration::from_millis(50);

/// The first wait after a stall may have ended by the signal that ended it, and have read nothing: what
/// arrives in this time after it may have arrived as early.
const AFTER: Duration = Duration::from_millis(20);

/// What a thread's runtime does between what it reads.
#[derive(Debug, Clone, Copy, Default)]
struct ReadTimes {
    /// When it began to wait, and when it went on.
    waits: Option<Instant>,
    woke: Option<Instant>,
    /// What is read now arrived no sooner.
    since: Option<Instant>,
    /// When the process stalled last, and when it went on.
    still: Option<(Instant, Instant)>,
}

impl ReadTimes {
    fn waits(self, now: Instant) -> Self {
        Self { waits: Some(now), ..self }
    }

    /// Guards a message's time against a long iteration, during which its request lay unread, and against a
    /// process that stalled. A stall shorter than the beat is not noticed; after a longer one up to a beat
    /// too much is taken off.
    fn wakes(self, now: Instant) -> Self {
        let waited = self.waits.map_or(Duration::ZERO, |waits| now.saturating_duration_since(waits));
        let stood = waited > BEAT + STILL;
        let still = if stood { self.waits.map(|waits| (waits, now)) } else { self.still };
        let since = match still.filter(|(_, until)| now.saturating_duration_since(*until) < AFTER) {
            Some((from, _)) => Some(from),
            None if waited < AT_ONCE => self.woke,
            None => Some(now),
        };
        Self { woke: Some(now), since, still, ..self }
    }

    fn read_delay(self, now: Instant) -> Duration {
        self.since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }
}

thread_local! {
    static READ_TIMES: Cell<ReadTimes> = const { Cell::new(ReadTimes { waits: None, woke: None, since: None, still: None }) };
}

/// Has a runtime's thread note when it waits.
pub fn observe(runtime: &mut Builder) -> &mut Builder {
    runtime
        .on_thread_park(|| READ_TIMES.set(READ_TIMES.get().waits(Instant::now())))
        .on_thread_unpark(|| READ_TIMES.set(READ_TIMES.get().wakes(Instant::now())))
}

/// Makes the runtime's waits end, for as long as the process runs.
pub async fn keep_awake() {
    loop {
        tokio::time::sleep(BEAT).await;
    }
}

/// How long ago what is read now arrived, at most.
pub fn behind() -> Duration {
    READ_TIMES.get().read_delay(Instant::now())
}

#[cfg(test)]
mod tests;
