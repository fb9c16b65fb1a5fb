//! The stream of records that stores are compared on, and how the times that they took are told.

use std::collections::VecDeque;
use std::fs;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use journal::{AcceptedMessage, Record};

/// Bytes of a message's body.
pub const BODY: usize = 330;
/// The stream of records: messages are taken on and begun in one turn, and over some turns later.
pub struct Stream {
    rng: fastrand::Rng,
    next: u32,
    live: VecDeque<u32>,
    most: usize,
    class: Arc<str>,
    endpoint: Arc<str>,
}

impl Stream {
    /// A stream in which so many messages are live.
    pub fn new(seed: u64, most: usize) -> Self {
        let rng = fastrand::Rng::with_seed(seed);
        Self {
            rng,
            next: 0,
            live: VecDeque::new(),
            most,
            class: "order".into(),
            endpoint: "s-5be2a07c".into(),
        }
    }

    /// The next turn's records, in the place of what is there.
    pub fn turn(&mut self, records: &mut Vec<Record>) {
        records.clear();
        let message = self.next;
        self.next += 1;
        let taken = Arc::new(AcceptedMessage {
            id: format!("{:016x}", self.rng.u64(..)),
            key: Some(format!("{:032x}", self.rng.u128(..))),
            class: self.class.clone(),
            destination: 7,
            deadline: u64::MAX,
            body: vec![self.rng.u8(..); BODY].into(),
        });
        records.push(Record::Accepted(message, taken));
        let endpoint = self.endpoint.clone();
        records.push(Record::AttemptStarted { message, attempt: 0, endpoint, at: 1_700_000_000_000_000 });
        self.live.push_back(message);
        if self.live.len() > self.most {
            // Not always the oldest: some stay long.
            let at = if self.rng.u8(..) < 16 { self.rng.usize(..self.live.len()) } else { 0 };
            records.extend(self.live.swap_remove_front(at).map(Record::Completed));
        }
    }
}

/// Durations by their share.
pub struct Times(Vec<Duration>);

impl Times {
    /// Sorts them.
    pub fn new(mut times: Vec<Duration>) -> Self {
        times.sort_unstable();
        Self(times)
    }

    /// The time that this share does not exceed.
    pub fn at(&self, share: f64) -> Duration {
        let place = ((self.0.len() as f64 * share) as usize).min(self.0.len() - 1);
        self.0[place]
    }

    /// Their sum.
    pub fn sum(&self) -> Duration {
        self.0.iter().sum()
    }
}

/// Bytes of a folder's files, in whole blocks of 512.
pub fn used(folder: &Path) -> u64 {
    let entries = fs::read_dir(folder).into_iter().flatten().flatten();
    let lengths = entries.filter_map(|entry| {
        let metadata = entry.metadata().ok()?;
        if metadata.is_dir() { Some(used(&entry.path())) } else { Some(metadata.len()) }
    });
    lengths.map(|length| length.next_multiple_of(512)).sum()
}
