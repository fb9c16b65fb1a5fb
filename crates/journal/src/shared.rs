//! One journal for several cores: each appends the records of its turns and keeps the messages that are its own to look at.
//!
//! A message that goes to another core stays where it stands in the log, so that no end of the process in the midst of it
//! can leave it twice or not at all. Turns that wait for the log while another is being written are written together after
//! it, and synced together.

use std::io;
use std::ops::Range;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::error::AppendError;
use crate::record::{AcceptedMessage, LedgerEntry, Micros, PendingMessage, Record};
use crate::state::{ByNumber, State};
use crate::store::{Capacity, Journal};

/// Numbers that a core gets at a time.
const BLOCK: u32 = 256;

/// Records of a core's turn, and what became of them.
struct Turn {
    now: Micros,
    records: Vec<Record>,
    done: Arc<Mutex<Option<Result<(), AppendError>>>>,
}

struct Inner {
    /// None while another process has the journal.
    journal: Mutex<Option<Journal>>,
    /// Turns that wait to be written.
    waiting: Mutex<Vec<Turn>>,
    /// As it was after the last append. Guards hand-ins against waiting for a sync.
    room: Mutex<Capacity>,
    /// The next block of numbers.
    next: AtomicU64,
    writes: AtomicU64,
    turns: AtomicU64,
}

/// A core's part of the journal: its own messages, and the way to the log.
pub struct JournalPart {
    shared: Arc<Inner>,
    state: State,
    numbers: Range<u32>,
}

impl std::fmt::Debug for JournalPart {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.debug_struct("Part").field("live", &self.state.live().len()).finish()
    }
}

fn lock<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    // Whoever failed while holding it has ended the process.
    of.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Journal {
    /// Parts for so many cores; each has the live messages whose destinations are its own.
    pub fn share(self, cores: usize, owner: impl Fn(u16) -> usize) -> Vec<JournalPart> {
        let classes = self.retained_classes();
        let part = || {
            let mut state = State::default();
            state.retain(classes.clone());
            state
        };
        let mut states: Vec<State> = (0..cores.max(1)).map(|_| part()).collect();
        let last = states.len() - 1;
        for (number, live) in self.live() {
            states[owner(live.message.destination).min(last)].set(*number, live.clone());
        }
        let next = self.live().keys().max().map_or(0, |last| u64::from(*last) + 1);
        let room = Mutex::new(self.capacity());
        let shared = Arc::new(Inner {
            journal: Mutex::new(Some(self)),
            waiting: Mutex::default(),
            room,
            next: AtomicU64::new(next),
            writes: AtomicU64::new(0),
            turns: AtomicU64::new(0),
        });
        states.into_iter().map(|state| JournalPart { shared: shared.clone(), state, numbers: 0..0 }).collect()
    }
}

impl JournalPart {
    /// This core's messages that are owed their end, by number, in no order.
    pub fn live(&self) -> &ByNumber<PendingMessage> {
        self.state.live()
    }

    /// A number that no live message of any core has.
    ///
    /// # Errors
    /// Fails while another process has the journal.
    pub fn next_message_number(&mut self) -> io::Result<u32> {
        loop {
            if let Some(number) = self.numbers.next() {
                return Ok(number);
            }
            // Guards a message that has lived through all numbers against another under its own.
            let journal = lock(&self.shared.journal);
            let live = journal.as_ref().ok_or_else(gone)?.live();
            let first = (self.shared.next.fetch_add(BLOCK.into(), Ordering::Relaxed) % (1 << 32)) as u32;
            let block = first..first.saturating_add(BLOCK);
            if !block.clone().any(|number| live.contains_key(&number)) {
                self.numbers = block;
            }
        }
    }

    /// Numbers begin there, if they would begin before.
    pub fn number_from(&mut self, first: u32) {
        self.shared.next.fetch_max(first.into(), Ordering::Relaxed);
    }

    /// No number from there on was ever given, until they begin anew.
    pub fn next_number(&self) -> u32 {
        (self.shared.next.load(Ordering::Relaxed) % (1 << 32)) as u32
    }

    /// As [`Journal::append`], of this core's turn. It may be written together with those of others.
    ///
    /// # Errors
    /// As [`Journal::append`].
    pub fn append(&mut self, now: Micros, records: &mut Vec<Record>) -> Result<(), AppendError> {
        if records.is_empty() {
            return Ok(());
        }
        let done = Arc::new(Mutex::new(None));
        lock(&self.shared.waiting).push(Turn { now, records: records.clone(), done: done.clone() });
        {
            let mut journal = lock(&self.shared.journal);
            // Whoever had the log meanwhile may have written it along.
            if lock(&done).is_none() {
                let turns = std::mem::take(&mut *lock(&self.shared.waiting));
                self.shared.turns.fetch_add(turns.len() as u64, Ordering::Relaxed);
                self.shared.writes.fetch_add(1, Ordering::Relaxed);
                write(journal.as_mut(), turns);
                if let Some(journal) = journal.as_ref() {
                    *lock(&self.shared.room) = journal.capacity();
                }
            }
        }
        let came = lock(&done).take();
        came.unwrap_or_else(|| Err(AppendError::Io(gone())))?;
        for record in records.drain(..) {
            // The ledger is the whole journal's.
            if !matches!(record, Record::LedgerEntry(_)) {
                self.state.apply(record, 0);
            }
        }
        Ok(())
    }

    /// As [`Journal::room_for`].
    pub fn space_needed(&self, taken: &AcceptedMessage) -> u64 {
        crate::state::need(taken) + self.state.owed(taken)
    }

    /// As [`Journal::has_room`], as it was after the last append of any core: what others promised since is not in it, so
    /// that an append may find no room after all.
    pub fn has_capacity(&self, taken: &AcceptedMessage, pending: u64) -> bool {
        lock(&self.shared.room).admits(self.space_needed(taken), self.state.owed(taken), pending)
    }

    /// Whether the ledger keeps the ends of this class.
    pub fn retains(&self, class: &str) -> bool {
        self.state.retains(class)
    }

    /// As [`Journal::remembered`]. It waits for a write that is going on.
    pub fn ledger_entry(&self, id: &str, now: Micros) -> Option<LedgerEntry> {
        lock(&self.shared.journal).as_ref()?.ledger_entry(id, now).cloned()
    }

    /// As [`Journal::tidy`], unless another core is at the log: the next turn of any does it then.
    ///
    /// # Errors
    /// As [`Journal::tidy`].
    pub fn compact_step(&mut self, now: Micros) -> io::Result<()> {
        let Ok(mut journal) = self.shared.journal.try_lock() else { return Ok(()) };
        let Some(journal) = journal.as_mut() else { return Ok(()) };
        let done = journal.compact_step(now);
        *lock(&self.shared.room) = journal.capacity();
        done
    }

    /// These messages are another core's from now on.
    pub fn detach(&mut self, numbers: impl IntoIterator<Item = u32>) -> Vec<(u32, PendingMessage)> {
        let live = |number: u32| Some((number, self.state.live().get(&number)?.clone()));
        let parted: Vec<_> = numbers.into_iter().filter_map(live).collect();
        for (number, _) in &parted {
            self.state.apply(Record::Completed(*number), 0);
        }
        parted
    }

    /// These messages were another core's.
    pub fn attach(&mut self, parted: Vec<(u32, PendingMessage)>) {
        parted.into_iter().for_each(|(number, live)| self.state.set(number, live));
    }

    /// Another process is to have the journal: no core writes to it from now on.
    pub fn close(&mut self) {
        *lock(&self.shared.journal) = None;
    }

    /// The journal is this process's again, for all cores.
    pub fn reopen(&mut self, journal: Journal) {
        *lock(&self.shared.room) = journal.capacity();
        *lock(&self.shared.journal) = Some(journal);
    }

    /// Turns of all cores that were written, and in how many writes.
    pub fn written(&self) -> (u64, u64) {
        (self.shared.turns.load(Ordering::Relaxed), self.shared.writes.load(Ordering::Relaxed))
    }
}

fn gone() -> io::Error {
    io::Error::other("another process has the journal")
}

/// Writes turns together; where that can't be done, each by itself, so that one which finds no room is not the others' loss.
fn write(journal: Option<&mut Journal>, mut turns: Vec<Turn>) {
    let Some(journal) = journal else {
        turns.iter().for_each(|turn| *lock(&turn.done) = Some(Err(AppendError::Io(gone()))));
        return;
    };
    let now = turns.iter().map(|turn| turn.now).max().unwrap_or(0);
    if turns.len() > 1 {
        let mut all: Vec<Record> = turns.iter().flat_map(|turn| turn.records.iter().cloned()).collect();
        if journal.append(now, &mut all).is_ok() {
            turns.iter().for_each(|turn| *lock(&turn.done) = Some(Ok(())));
            return;
        }
    }
    for turn in &mut turns {
        *lock(&turn.done) = Some(journal.append(turn.now, &mut turn.records));
    }
}
