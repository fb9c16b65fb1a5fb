//! Estimates how long ago data that is read now may have arrived. A request's time counts from its arrival, not from
//! when it is read.

use std::cell::Cell;
use std::time::Duration;

use tokio::runtime::Builder;
use tokio::time::Instant;

/// The longest time that the runtime's thread is parked, since [`keep_awake`] sets a timer of this length.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// If the thread was parked for less than this, the data that it reads next was there already.
const IMMEDIATE_WAKEUP: Duration = Duration::from_micros(200);
/// If the thread was parked for longer than the tick by this, the process stalled.
const STALL_MARGIN: Duration = Duration::from_millis(50);

/// The first wakeup after a stall may come from the signal that ended the stall, without any data being read: data
/// that is read within this time after it may have arrived as early as the stall began.
const AFTER_STALL: Duration = Duration::from_millis(20);

/// When a runtime's thread was parked and unparked. The age of the data that it reads is derived from these times.
#[derive(Debug, Clone, Copy, Default)]
struct ReadTimes {
    /// When the thread was parked last.
    parked_at: Option<Instant>,
    /// When the thread was unparked last.
    unparked_at: Option<Instant>,
    /// The earliest time at which data that is read now may have arrived.
    earliest_arrival: Option<Instant>,
    /// Begin and end of the last stall of the process.
    last_stall: Option<(Instant, Instant)>,
}

impl ReadTimes {
    fn park(self, now: Instant) -> Self {
        Self { parked_at: Some(now), ..self }
    }

    /// Determines the earliest time at which the data that is read next may have arrived. After a long iteration,
    /// during which nothing was read, this is the iteration's beginning; after a stall of the process, the stall's
    /// beginning. A stall shorter than the tick interval is not detected. After a longer one, up to one tick interval
    /// too much may be deducted from a request's time.
    fn unpark(self, now: Instant) -> Self {
        let parked_for =
            self.parked_at.map_or(Duration::ZERO, |parked_at| now.saturating_duration_since(parked_at));
        let stalled = parked_for > TICK_INTERVAL + STALL_MARGIN;
        let last_stall =
            if stalled { self.parked_at.map(|parked_at| (parked_at, now)) } else { self.last_stall };
        let earliest_arrival =
            match last_stall.filter(|(_, until)| now.saturating_duration_since(*until) < AFTER_STALL) {
                Some((from, _)) => Some(from),
                None if parked_for < IMMEDIATE_WAKEUP => self.unparked_at,
                None => Some(now),
            };
        Self { unparked_at: Some(now), earliest_arrival, last_stall, ..self }
    }

    fn read_delay(self, now: Instant) -> Duration {
        self.earliest_arrival
            .map_or(Duration::ZERO, |earliest_arrival| now.saturating_duration_since(earliest_arrival))
    }
}

thread_local! {
    static READ_TIMES: Cell<ReadTimes> = const { Cell::new(ReadTimes { parked_at: None, unparked_at: None, earliest_arrival: None, last_stall: None }) };
}

/// Makes a runtime's thread record when it is parked and unparked.
pub fn observe(runtime: &mut Builder) -> &mut Builder {
    runtime
        .on_thread_park(|| READ_TIMES.set(READ_TIMES.get().park(Instant::now())))
        .on_thread_unpark(|| READ_TIMES.set(READ_TIMES.get().unpark(Instant::now())))
}

/// Wakes the runtime at least once per tick interval, for as long as the process runs: a longer park means a stall.
pub async fn keep_awake() {
    loop {
        tokio::time::sleep(TICK_INTERVAL).await;
    }
}

/// Returns how long ago data that is read now arrived, at most.
pub fn max_read_delay() -> Duration {
    READ_TIMES.get().read_delay(Instant::now())
}

#[cfg(test)]
mod tests;
