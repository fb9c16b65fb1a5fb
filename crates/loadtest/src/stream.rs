//! Generated stream of journal records on which stores are compared, and statistics of the times that they took.

use std::collections::VecDeque;
use std::fs;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use journal::{AcceptedMessage, Record};

/// Size of a message body, in bytes.
pub const BODY: usize = 330;
/// Generator of records: each iteration accepts a message and starts its attempt; the message completes some iterations later.
pub struct Stream {
    rng: fastrand::Rng,
    next: u32,
    live: VecDeque<u32>,
    /// Maximum number of live messages.
    max_live: usize,
    class: Arc<str>,
    endpoint: Arc<str>,
}

impl Stream {
    /// Returns a stream that keeps up to `max_live` messages live.
    pub fn new(seed: u64, max_live: usize) -> Self {
        let rng = fastrand::Rng::with_seed(seed);
        Self {
            rng,
            next: 0,
            live: VecDeque::new(),
            max_live,
            class: "order".into(),
            endpoint: "s-5be2a07c".into(),
        }
    }

    /// Replaces the content of `records` by the records of the next iteration.
    pub fn next_records(&mut self, records: &mut Vec<Record>) {
        records.clear();
        let message = self.next;
        self.next += 1;
        let accepted = Arc::new(AcceptedMessage {
            id: format!("{:016x}", self.rng.u64(..)),
            key: Some(format!("{:032x}", self.rng.u128(..))),
            class: self.class.clone(),
            destination: 7,
            deadline: u64::MAX,
            body: vec![self.rng.u8(..); BODY].into(),
        });
        records.push(Record::Accepted(message, accepted));
        let endpoint = self.endpoint.clone();
        records.push(Record::AttemptStarted { message, attempt: 0, endpoint, at: 1_700_000_000_000_000 });
        self.live.push_back(message);
        if self.live.len() > self.max_live {
            // One in 16 completions is that of a random message instead of the oldest one, so that some messages stay live for long.
            let index = if self.rng.u8(..) < 16 { self.rng.usize(..self.live.len()) } else { 0 };
            records.extend(self.live.swap_remove_front(index).map(Record::Completed));
        }
    }
}

/// Sorted durations.
pub struct Durations(Vec<Duration>);

impl Durations {
    /// Sorts the durations.
    pub fn new(mut durations: Vec<Duration>) -> Self {
        durations.sort_unstable();
        Self(durations)
    }

    /// Returns the quantile for this share, between 0 and 1.
    pub fn quantile(&self, share: f64) -> Duration {
        let index = ((self.0.len() as f64 * share) as usize).min(self.0.len() - 1);
        self.0[index]
    }

    /// Returns the sum of the durations.
    pub fn sum(&self) -> Duration {
        self.0.iter().sum()
    }
}

/// Returns the disk space of a folder's files in bytes, each rounded up to blocks of 512.
pub fn disk_usage(folder: &Path) -> u64 {
    let entries = fs::read_dir(folder).into_iter().flatten().flatten();
    let lengths = entries.filter_map(|entry| {
        let metadata = entry.metadata().ok()?;
        if metadata.is_dir() { Some(disk_usage(&entry.path())) } else { Some(metadata.len()) }
    });
    lengths.map(|length| length.next_multiple_of(512)).sum()
}
