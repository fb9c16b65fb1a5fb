//! One journal for several shards. Each appends its own batches and keeps the pending messages that it owns.
//!
//! A message that moves to another shard stays where it is stored in the log. If the process ends during the move, the
//! log therefore holds it exactly once. Batches that are queued while another is written are then written and synced
//! together (group commit).

use std::fmt;
use std::io;
use std::ops::Range;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::error::{AppendError, JournalClosed};
use crate::record::{AcceptedMessage, LedgerEntry, Micros, PendingMessage, Record};
use crate::state::{ByNumber, LastDeliveries, SpaceNeeded, State};
use crate::store::{Capacity, Journal, Shortage};

/// Message numbers that a shard reserves at a time.
const NUMBER_BLOCK: u32 = 256;
/// Message numbers wrap around here.
const NUMBER_COUNT: u64 = 1 << 32;

/// A shard's batch that is queued to be written.
struct QueuedBatch {
    now: Micros,
    records: Vec<Record>,
    /// Set by the shard that writes the batch.
    result: Arc<Mutex<Option<Result<(), AppendError>>>>,
}

impl QueuedBatch {
    fn finish(&self, result: Result<(), AppendError>) {
        *lock(&self.result) = Some(result);
    }
}

/// What all shards share.
struct Shared {
    /// `None` while another process has the journal.
    journal: Mutex<Option<Journal>>,
    queue: Mutex<Vec<QueuedBatch>>,
    /// As of the last append. Has its own lock, so that admission never waits for a sync.
    capacity: Mutex<Capacity>,
    /// The first message number that no shard has reserved, modulo [`NUMBER_COUNT`].
    next_number: AtomicU64,
    writes: AtomicU64,
    batches: AtomicU64,
}

/// A shard's part of the journal: its own pending messages, and access to the shared log.
pub struct JournalPart {
    shared: Arc<Shared>,
    state: State,
    /// Message numbers that this shard has reserved and not assigned yet.
    numbers: Range<u32>,
}

impl fmt::Debug for JournalPart {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.debug_struct("JournalPart").field("live", &self.state.live().len()).finish_non_exhaustive()
    }
}

/// Locks a mutex. Poisoning is ignored, because a panic while the mutex was locked has ended the process.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Journal {
    /// Splits the journal into one part for each shard. `owner` returns the shard of a destination; each part holds the
    /// pending messages of its own destinations.
    pub fn share(self, shards: usize, owner: impl Fn(u16) -> usize) -> Vec<JournalPart> {
        let mut empty = State::default();
        empty.retain_classes(self.options.ledger_classes());
        empty.share_deliveries(&self.state);
        let mut states = vec![empty; shards.max(1)];
        let last = states.len() - 1;
        for (number, pending) in self.live() {
            states[owner(pending.message.destination).min(last)].insert(*number, pending.clone());
        }
        let next_number = self.live().keys().max().map_or(0, |last| u64::from(*last) + 1);
        let shared = Arc::new(Shared {
            capacity: Mutex::new(self.capacity()),
            journal: Mutex::new(Some(self)),
            queue: Mutex::default(),
            next_number: AtomicU64::new(next_number),
            writes: AtomicU64::new(0),
            batches: AtomicU64::new(0),
        });
        let part = |state| JournalPart { shared: shared.clone(), state, numbers: 0..0 };
        states.into_iter().map(part).collect()
    }
}

impl JournalPart {
    /// This shard's pending messages by number, in no particular order.
    pub fn live(&self) -> &ByNumber<PendingMessage> {
        self.state.live()
    }

    /// As [`Journal::last_deliveries`].
    pub fn last_deliveries(&self) -> &LastDeliveries {
        self.state.last_deliveries()
    }

    /// Returns a number that no pending message of any shard has.
    ///
    /// # Errors
    /// Fails while another process has the journal.
    pub fn next_message_number(&mut self) -> io::Result<u32> {
        loop {
            if let Some(number) = self.numbers.next() {
                return Ok(number);
            }
            self.reserve_numbers()?;
        }
    }

    /// Reserves the next block of numbers. Skips it if one of them belongs to a message that has been pending since
    /// before the numbers wrapped around.
    fn reserve_numbers(&mut self) -> Result<(), JournalClosed> {
        let journal = lock(&self.shared.journal);
        let live = journal.as_ref().ok_or(JournalClosed)?.live();
        let next = self.shared.next_number.fetch_add(NUMBER_BLOCK.into(), Ordering::Relaxed);
        let first = (next % NUMBER_COUNT) as u32;
        let block = first..first.saturating_add(NUMBER_BLOCK);
        if !block.clone().any(|number| live.contains_key(&number)) {
            self.numbers = block;
        }
        Ok(())
    }

    /// Raises the first unreserved message number to at least `first`, so that no lower number is assigned.
    pub fn skip_numbers_below(&mut self, first: u32) {
        self.shared.next_number.fetch_max(first.into(), Ordering::Relaxed);
    }

    /// Returns the number from which on none has been assigned since the numbers last wrapped around.
    pub fn next_number(&self) -> u32 {
        (self.shared.next_number.load(Ordering::Relaxed) % NUMBER_COUNT) as u32
    }

    /// Appends a batch of this shard as [`Journal::append`] does, possibly in one write with those of other shards.
    ///
    /// # Errors
    /// As [`Journal::append`], and while another process has the journal.
    pub fn append(&mut self, now: Micros, records: &mut Vec<Record>) -> Result<(), AppendError> {
        if records.is_empty() {
            return Ok(());
        }
        let result = Arc::new(Mutex::new(None));
        lock(&self.shared.queue).push(QueuedBatch { now, records: records.clone(), result: result.clone() });
        {
            let mut journal = lock(&self.shared.journal);
            // The shard that held the lock before may have written this batch together with its own.
            if lock(&result).is_none() {
                self.shared.write_queued(&mut journal);
            }
        }
        let written = lock(&result).take();
        written.unwrap_or(Err(AppendError::Closed(JournalClosed)))?;
        for record in records.drain(..) {
            // The ledger is common to all shards and kept in the journal's state.
            if !matches!(record, Record::LedgerEntry(_)) {
                self.state.apply(record, 0);
            }
        }
        Ok(())
    }

    /// As [`Journal::space_needed`].
    pub fn space_needed(&self, message: &AcceptedMessage) -> SpaceNeeded {
        self.state.space_needed(message)
    }

    /// As [`Journal::shortage`] as of the last append of any shard. Messages that other shards have admitted since
    /// are not counted, so that an append may still reach the limit.
    pub fn shortage(&self, message: &AcceptedMessage, pending: SpaceNeeded) -> Option<Shortage> {
        lock(&self.shared.capacity).shortage(self.space_needed(message), pending)
    }

    /// Whether the ledger keeps the outcomes of this class.
    pub fn retains(&self, class: &str) -> bool {
        self.state.retains(class)
    }

    /// As [`Journal::ledger_entry`]. Waits for a write that is in progress.
    pub fn ledger_entry(&self, id: &str, now: Micros) -> Option<LedgerEntry> {
        lock(&self.shared.journal).as_ref()?.ledger_entry(id, now).cloned()
    }

    /// As [`Journal::compact_step`]. Does nothing while another shard uses the log; a later step catches up.
    ///
    /// # Errors
    /// As [`Journal::compact_step`].
    pub fn compact_step(&mut self, now: Micros) -> io::Result<()> {
        let Ok(mut journal) = self.shared.journal.try_lock() else { return Ok(()) };
        let Some(journal) = journal.as_mut() else { return Ok(()) };
        let result = journal.compact_step(now);
        *lock(&self.shared.capacity) = journal.capacity();
        result
    }

    /// Removes messages from this shard that another shard is going to own.
    pub fn detach(&mut self, numbers: impl IntoIterator<Item = u32>) -> Vec<(u32, PendingMessage)> {
        let numbered = |number: u32| Some((number, self.state.live().get(&number)?.clone()));
        let detached: Vec<_> = numbers.into_iter().filter_map(numbered).collect();
        for (number, _) in &detached {
            self.state.apply(Record::Completed(*number), 0);
        }
        detached
    }

    /// Adds messages that another shard detached.
    pub fn attach(&mut self, detached: Vec<(u32, PendingMessage)>) {
        for (number, pending) in detached {
            self.state.insert(number, pending);
        }
    }

    /// Releases the journal to another process. No shard can write to it from now on.
    pub fn close(&mut self) {
        *lock(&self.shared.journal) = None;
    }

    /// Makes the journal available to all shards again, after this process has opened it anew.
    pub fn reopen(&mut self, journal: Journal) {
        *lock(&self.shared.capacity) = journal.capacity();
        *lock(&self.shared.journal) = Some(journal);
    }

    /// The number of batches of all shards that were written, and the number of writes for them.
    pub fn written(&self) -> (u64, u64) {
        (self.shared.batches.load(Ordering::Relaxed), self.shared.writes.load(Ordering::Relaxed))
    }
}

impl Shared {
    /// Writes all queued batches.
    fn write_queued(&self, journal: &mut Option<Journal>) {
        let batches = std::mem::take(&mut *lock(&self.queue));
        self.batches.fetch_add(batches.len() as u64, Ordering::Relaxed);
        self.writes.fetch_add(1, Ordering::Relaxed);
        match journal {
            Some(journal) => {
                write(journal, batches);
                *lock(&self.capacity) = journal.capacity();
            }
            None => batches.iter().for_each(|batch| batch.finish(Err(JournalClosed.into()))),
        }
    }
}

/// Writes batches together. If that fails, writes each separately, so that a batch that reaches the limit does not fail
/// the others.
fn write(journal: &mut Journal, mut batches: Vec<QueuedBatch>) {
    if batches.len() > 1 {
        let now = batches.iter().map(|batch| batch.now).max().unwrap_or(0);
        let mut records: Vec<Record> =
            batches.iter().flat_map(|batch| batch.records.iter().cloned()).collect();
        if journal.append(now, &mut records).is_ok() {
            batches.iter().for_each(|batch| batch.finish(Ok(())));
            return;
        }
    }
    for batch in &mut batches {
        let result = journal.append(batch.now, &mut batch.records);
        batch.finish(result);
    }
}
