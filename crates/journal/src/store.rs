//! The journal: appends in turns, and compaction in slices between them.

use std::collections::VecDeque;
use std::io;

use crate::disk::Disk;
use crate::error::AppendError;
use crate::format::{HEAD, Head, Writer};
use crate::record::{AcceptedMessage, LedgerEntry, Micros, PendingMessage, Record};
use crate::segment::{ASIDE, BLOCK, Segment, blocks, name};
use crate::state::{ByNumber, LATER_RECORDS, State, need};

/// A slice of compaction writes so many bytes at most, and one message more.
pub const SLICE_BYTES: u64 = 64 * 1024;
/// A slice looks at so many messages at most.
pub const SLICE_MESSAGES: usize = 256;
/// A slice takes so many bytes off a file that counts for nothing any more.
pub const SLICE_CUT: u64 = 1 << 20;
/// Kept for the end of each live message when other records ask for room.
const END: u64 = 64;
/// The shortest segment, unless it is told.
const SHORTEST_SEGMENT: u64 = 4 << 10;
/// The longest segment, unless it is told.
const LONGEST_SEGMENT: u64 = 16 << 20;

/// What is done about damage in the middle of a file.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Damage {
    /// Nothing starts.
    Refuse,
    /// The damaged file is kept aside, and messages that may be affected are treated as possibly applied.
    #[default]
    Suspect,
}

/// The ledger of orders.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LedgerOptions {
    /// For how long ends are kept.
    pub span: Micros,
    /// Bytes that they may take at most.
    pub bytes: u64,
    /// The classes whose messages' ends are kept.
    pub classes: Vec<String>,
}

/// How a journal is kept.
#[derive(Debug, Clone, Default)]
pub struct Options {
    /// Bytes that the folder's files may come to, each counted in whole blocks of 512.
    pub limit: u64,
    /// Each append is synced before it counts, and each step of compaction before the next.
    pub sync: bool,
    /// What is done about damage.
    pub damage: Damage,
    /// The ledger, where there is one.
    pub retain: Option<LedgerOptions>,
    /// From this length on a segment is followed by a further one; without it a sixteenth of the limit, within bounds.
    pub segment: Option<u64>,
}

/// How far compaction has come with the oldest segment.
#[derive(Debug, Default)]
struct Cursor {
    resident: usize,
    entry: usize,
}

/// What the journal takes up, and how it is laid out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Figures {
    /// Bytes of the files, in whole blocks.
    pub used: u64,
    /// What the live messages may come to need, and the ledger.
    pub needs: u64,
    /// Files that count.
    pub segments: usize,
    /// From this length on one is followed by a further one.
    pub segment: u64,
    /// Bytes that were appended since it was opened, compaction's among them.
    pub written: u64,
    /// Those of compaction.
    pub moved: u64,
    /// Segments that compaction was done with.
    pub compacted: u64,
}

/// The room that a journal has for further messages, as it was at some moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Capacity {
    limit: u64,
    /// What live messages may come to need, and the ledger's share.
    needs: u64,
    /// What the files take, what live messages may still write, and what compaction works with.
    used: u64,
    /// What the ledger has left.
    ledger: u64,
}

impl Capacity {
    /// Whether a message of that size has room, with an entry of the ledger of that size, beside what is promised to others.
    pub fn admits(&self, size: u64, owed: u64, pending: u64) -> bool {
        let needs = self.needs + pending + size;
        let apart = self.used + pending + size;
        // Guards against a ledger that forgets early: each live message of its classes has its entry's room. At the limit
        // it does harm to new orders, which are refused until older entries have had their time.
        needs <= self.limit / 2 && apart <= self.limit && (owed == 0 || owed <= self.ledger)
    }
}

/// The journal of one sender, and the state that it holds.
pub struct Journal {
    pub(crate) disk: Box<dyn Disk>,
    pub(crate) options: Options,
    pub(crate) state: State,
    /// Oldest first; the last one is appended to. From the opening on there is one.
    pub(crate) segments: VecDeque<Segment>,
    /// Files that count for nothing any more, and their lengths.
    pub(crate) dying: VecDeque<(String, u64)>,
    /// Bytes of all files in the folder, in whole blocks, but for those that stand beside.
    pub(crate) used: u64,
    /// Bytes of files that stand beside the journal and are given back when it needs the room.
    beside: u64,
    /// Records ever written, up to the last segment's head.
    pub(crate) records: u64,
    /// The last segment may be longer than it counts: what a failed write left must be cut off.
    pub(crate) torn: bool,
    /// Bytes of the last segment that are sure to be there, and all before it.
    pub(crate) sure: u64,
    writer: Writer,
    cursor: Cursor,
    /// Bytes that were appended since compaction last had its turn.
    since: u64,
    written: u64,
    moved: u64,
    compacted: u64,
}

impl std::fmt::Debug for Journal {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.debug_struct("Journal")
            .field("live", &self.state.live().len())
            .field("figures", &self.figures())
            .finish()
    }
}

impl Journal {
    pub(crate) fn new(disk: Box<dyn Disk>, options: Options, mut state: State) -> Self {
        let retained = options.retain.as_ref().map(|retain| retain.classes.clone());
        state.retain(retained.unwrap_or_default());
        Self {
            disk,
            options,
            state,
            segments: VecDeque::new(),
            dying: VecDeque::new(),
            used: 0,
            beside: 0,
            records: 0,
            torn: false,
            sure: 0,
            writer: Writer::default(),
            cursor: Cursor::default(),
            since: 0,
            written: 0,
            moved: 0,
            compacted: 0,
        }
    }

    /// The messages that are owed their end, by number, in no order.
    pub fn live(&self) -> &ByNumber<PendingMessage> {
        self.state.live()
    }

    /// How a message of a class that the ledger keeps ended, if that is remembered.
    pub fn ledger_entry(&self, id: &str, now: Micros) -> Option<&LedgerEntry> {
        let span = self.options.retain.as_ref()?.span;
        self.state.remembered(id).filter(|entry| entry.at.saturating_add(span) > now)
    }

    /// Whether the ledger keeps the ends of this class.
    pub fn retains(&self, class: &str) -> bool {
        self.state.retains(class)
    }

    /// The newest time that any record tells: the clock was set back if it is later than now.
    pub fn latest(&self) -> Micros {
        self.state.latest
    }

    /// What it takes up.
    pub fn figures(&self) -> Figures {
        Figures {
            used: self.used,
            needs: self.state.needs() + self.state.ledger_bytes(),
            segments: self.segments.len(),
            segment: self.segment_length(),
            written: self.written,
            moved: self.moved,
            compacted: self.compacted,
        }
    }

    /// What the message would add to the room that is taken; see [`Journal::has_room`].
    pub fn space_needed(&self, taken: &AcceptedMessage) -> u64 {
        need(taken) + self.state.owed(taken)
    }

    /// Whether a further message can be kept to its end, with `pending` bytes promised to others that are not appended
    /// yet. Live messages and the ledger get half of the room, so that compaction always has some to work with; and
    /// what all of them may come to need is there without any compaction.
    pub fn has_capacity(&self, taken: &AcceptedMessage, pending: u64) -> bool {
        self.capacity().admits(self.space_needed(taken), self.state.owed(taken), pending)
    }

    /// What room there is for further messages.
    pub fn capacity(&self) -> Capacity {
        Capacity {
            limit: self.options.limit,
            needs: self.state.needs() + self.ledger_share(),
            used: self.used + self.later() + self.slack(),
            ledger: self.ledger_share().saturating_sub(self.state.ledger_needs()),
        }
    }

    pub(crate) fn retained_classes(&self) -> Vec<String> {
        self.options.retain.as_ref().map(|retain| retain.classes.clone()).unwrap_or_default()
    }

    fn ledger_share(&self) -> u64 {
        self.options.retain.as_ref().map_or(0, |retain| retain.bytes)
    }

    /// What live messages may still write.
    fn later(&self) -> u64 {
        self.live().len() as u64 * LATER_RECORDS
    }

    /// Room that compaction works with.
    fn slack(&self) -> u64 {
        2 * self.segment_length()
    }

    /// From this length on a segment is followed by a new one.
    pub(crate) fn segment_length(&self) -> u64 {
        self.options
            .segment
            .unwrap_or_else(|| (self.options.limit / 16).clamp(SHORTEST_SEGMENT, LONGEST_SEGMENT))
    }

    /// Appends the records of a turn in one write, and takes them out of `records`. In the mode with syncs it waits
    /// until they outlast the machine.
    ///
    /// # Errors
    /// Fails when they could not be written; then none of them counts, and all stay in `records`.
    pub fn append(&mut self, now: Micros, records: &mut Vec<Record>) -> Result<(), AppendError> {
        if records.is_empty() {
            return Ok(());
        }
        self.mend()?;
        self.roll_if_long(now)?;
        self.begin_write(now);
        let segment = self.active().sequence;
        for record in records.iter() {
            self.writer.record(segment, record)?;
        }
        let ends = |r: &Record| !matches!(r, Record::Accepted(..) | Record::AttemptStarted { .. });
        let kept = if records.iter().all(ends) { 0 } else { self.live().len() as u64 * END };
        if self.used_after(self.writer.bytes().len() as u64) + kept > self.limit_now() {
            return Err(AppendError::Full);
        }
        self.write(self.options.sync)?;
        self.since += self.writer.bytes().len() as u64;
        self.state.latest = self.state.latest.max(now);
        for record in records.drain(..) {
            let brought = if let Record::Accepted(message, _) = &record { Some(*message) } else { None };
            let entry = self.state.apply(record, segment);
            if let Some(active) = self.segments.back_mut() {
                active.residents.extend(brought);
                active.entries.extend(entry);
            }
        }
        Ok(())
    }

    /// So many bytes in whole blocks are taken up by files that stand beside the journal, under names that begin with
    /// [`BESIDE`]: an append that finds no room for that fails with [`AppendError::Full`], and is to be tried again once they
    /// are given back. What is let in ([`Journal::has_room`]) does not depend on them.
    pub fn set_reserved_bytes(&mut self, bytes: u64) {
        self.beside = bytes;
    }

    /// What files that stand beside may take up now, so that the journal does not need it back soon.
    pub fn free_reserved_bytes(&self) -> u64 {
        let own = self.used + self.later() + self.slack() + SLICE_BYTES.min(self.options.limit / 8);
        self.options.limit.saturating_sub(own)
    }

    /// What the files may come to just now.
    fn limit_now(&self) -> u64 {
        self.options.limit.saturating_sub(self.beside)
    }

    /// The segment that is appended to.
    fn active(&self) -> &Segment {
        &self.segments[self.segments.len() - 1]
    }

    fn used_after(&self, more: u64) -> u64 {
        let length = self.active().length;
        self.used - blocks(length) + blocks(length + more)
    }

    fn begin_write(&mut self, now: Micros) {
        let (sequence, records) = (self.active().sequence, self.active().records);
        // Without syncs all that was written is there as long as the machine is.
        let sure = if self.options.sync { self.sure } else { self.active().length };
        self.writer.clear();
        self.writer.turn(sequence, now, records, sure as u32);
    }

    /// Appends what the writer holds, to the last segment. On failure the segment is as before, or is cut before the
    /// next write.
    fn write(&mut self, sync: bool) -> io::Result<()> {
        let Some(active) = self.segments.back() else { return Err(io::ErrorKind::NotFound.into()) };
        let length = active.length;
        let mut done = self.disk.append(&active.name, self.writer.bytes());
        if done.is_ok() && sync {
            done = self.disk.sync(&active.name);
        }
        if let Err(e) = done {
            // Guards against a record behind one that is not whole: nothing is written before that is cut off.
            self.torn = self.disk.cut(&active.name, length).is_err();
            return Err(e);
        }
        let size = self.writer.bytes().len() as u64;
        self.used = self.used_after(size);
        self.written += size;
        let (records, sure) = (self.writer.records(), length + size);
        if let Some(active) = self.segments.back_mut() {
            active.length += size;
            active.records += records;
        }
        if sync {
            self.sure = sure;
        }
        Ok(())
    }

    pub(crate) fn mend(&mut self) -> io::Result<()> {
        if self.torn {
            let Some(active) = self.segments.back() else { return Ok(()) };
            self.disk.cut(&active.name, active.length)?;
            self.torn = false;
        }
        Ok(())
    }

    fn roll_if_long(&mut self, now: Micros) -> io::Result<()> {
        if self.active().length < self.segment_length() {
            return Ok(());
        }
        match self.roll(now) {
            // Its length is no promise: with no room for a head there may be some for a record.
            Err(e) if e.kind() == io::ErrorKind::StorageFull => Ok(()),
            rolled => rolled,
        }
    }

    /// Begins a further segment. A file that was begun and could not be used is removed, now or when it is met next.
    fn roll(&mut self, now: Micros) -> io::Result<()> {
        let (sequence, records) = self.segments.back().map_or((1, 0), |s| (s.sequence + 1, s.records.into()));
        if self.used + BLOCK > self.limit_now() {
            return Err(io::ErrorKind::StorageFull.into());
        }
        if let (true, Some(last)) = (self.options.sync, self.segments.back()) {
            self.disk.sync(&last.name)?;
        }
        let floor = self.segments.front().map_or(sequence, |first| first.sequence);
        let head = Head { sequence, floor, records: self.records + records, began: now };
        let name = name(sequence);
        let mut made = match self.disk.create(&name) {
            Err(e) if e.kind() == io::ErrorKind::AlreadyExists => {
                self.disk.remove(&name).and_then(|()| self.disk.create(&name))
            }
            made => made,
        };
        made = made.and_then(|()| self.disk.append(&name, &head.bytes()));
        if self.options.sync {
            made = made.and_then(|()| self.disk.sync(&name)).and_then(|()| self.disk.sync_names());
        }
        if let Err(e) = made {
            let _ = self.disk.remove(&name);
            return Err(e);
        }
        self.records += records;
        self.used += blocks(HEAD as u64);
        self.written += HEAD as u64;
        self.sure = HEAD as u64;
        self.segments.push_back(Segment::new(sequence, HEAD as u64));
        Ok(())
    }

    /// One slice of what is to be done beside appending: old entries of the ledger are forgotten, files that count for
    /// nothing shrink and go, and the oldest segment's live messages are written anew, so that it can go. It writes
    /// [`SLICE_BYTES`] and a message at most, and cuts [`SLICE_CUT`] at most. It is to be called after each turn whose
    /// answers and calls are out; how much it does follows what was appended.
    ///
    /// # Errors
    /// Fails when the system does; what is promised is not touched, and it goes on with the next slice.
    pub fn compact_step(&mut self, now: Micros) -> io::Result<()> {
        if let Some(retain) = &self.options.retain {
            self.state.forget(now, retain.span, SLICE_MESSAGES);
        }
        let budget = (4 * std::mem::take(&mut self.since) + BLOCK).min(SLICE_BYTES);
        self.mend()?;
        if let Some((name, length)) = self.dying.front_mut() {
            // A long file takes the system a while to drop: it goes in pieces.
            let left = length.saturating_sub(SLICE_CUT);
            if left > 0 {
                self.disk.cut(name, left)?;
            } else {
                self.disk.remove(name)?;
            }
            self.used -= blocks(*length) - blocks(left);
            *length = left;
            self.dying.pop_front_if(|dying| dying.1 == 0);
            return Ok(());
        }
        if self.wants_compaction() { self.compact(now, budget) } else { Ok(()) }
    }

    /// Whether the oldest segment is to go. Compaction begins with a quarter of the room left for what may come
    /// before it is done, or where most of the files count for nothing: reading them back takes time.
    fn wants_compaction(&self) -> bool {
        let Figures { used, needs, .. } = self.figures();
        let tight = used + self.later() + self.slack() > self.options.limit / 4 * 3;
        let damaged = self.segments.iter().rev().skip(1).any(|segment| segment.damaged);
        let idle = used > (4 * needs).max(8 * self.segment_length());
        (tight || idle || damaged || self.cursor.resident + self.cursor.entry > 0)
            && (self.segments.len() > 1 || tight)
    }

    fn compact(&mut self, now: Micros, budget: u64) -> io::Result<()> {
        if self.segments.len() < 2 {
            // What is live has to have somewhere to go; a segment that is short has little to give.
            return if self.active().length < self.segment_length() / 2 { Ok(()) } else { self.roll(now) };
        }
        self.roll_if_long(now)?;
        self.begin_write(now);
        let (to, Some(oldest)) = (self.active().sequence, self.segments.front()) else { return Ok(()) };
        let mut cursor = Cursor { ..self.cursor };
        let (mut moved, mut entries) = (Vec::new(), Vec::new());
        let mut looked = 0;
        let mut room = |writer: &Writer| {
            looked += 1;
            looked <= SLICE_MESSAGES && (writer.bytes().len() as u64) < budget
        };
        while cursor.resident < oldest.residents.len() && room(&self.writer) {
            let message = oldest.residents[cursor.resident];
            cursor.resident += 1;
            if let Some(live) = self.state.live().get(&message).filter(|live| live.home == oldest.sequence) {
                self.writer
                    .moved(to, message, live)
                    .map_err(|_| io::Error::other("a message that has no room"))?;
                moved.push(message);
            }
        }
        while cursor.entry < oldest.entries.len() && room(&self.writer) {
            let number = oldest.entries[cursor.entry];
            cursor.entry += 1;
            if let Some(entry) = self.state.entry(number).filter(|entry| entry.home == oldest.sequence) {
                let record = Record::LedgerEntry(entry.remembered.clone());
                self.writer.record(to, &record).map_err(|_| io::Error::other("an entry that has no room"))?;
                entries.push(number);
            }
        }
        let done = cursor.resident == oldest.residents.len() && cursor.entry == oldest.entries.len();
        if !moved.is_empty() || !entries.is_empty() {
            let kept = self.live().len() as u64 * END;
            if self.used_after(self.writer.bytes().len() as u64) + kept > self.limit_now() {
                return Err(io::ErrorKind::StorageFull.into());
            }
            self.write(false)?;
            self.moved += self.writer.bytes().len() as u64;
            moved.iter().for_each(|message| self.state.moved(*message, to));
            entries.iter().for_each(|number| self.state.entry_moved(*number, to));
            if let Some(active) = self.segments.back_mut() {
                active.residents.extend(moved);
                active.entries.extend(entries);
            }
        }
        self.cursor = cursor;
        if done { self.drop_oldest(now) } else { Ok(()) }
    }

    /// Guards against a message that comes back from a segment whose later parts are gone: the log says first that the
    /// segment counts for nothing, and where the machine may lose power, both that and the copies are synced before.
    fn drop_oldest(&mut self, now: Micros) -> io::Result<()> {
        let (Some(oldest), Some(next)) = (self.segments.front(), self.segments.get(1)) else { return Ok(()) };
        let (floor, name, length) = (next.sequence, oldest.name.clone(), oldest.length);
        if oldest.damaged {
            // It counts on under that name, should the process end here.
            let _ = self.disk.rename(&name, &format!("{ASIDE}{name}"));
        }
        if let (true, Some(last)) = (self.options.sync, self.segments.back()) {
            self.disk.sync(&last.name)?;
            self.sure = last.length;
        }
        self.write_floor(now, floor)?;
        if self.segments.pop_front().is_some_and(|oldest| !oldest.damaged) {
            self.dying.push_back((name, length));
        }
        self.cursor = Cursor::default();
        self.compacted += 1;
        Ok(())
    }

    /// Writes that segments before this one count for nothing.
    fn write_floor(&mut self, now: Micros, floor: u64) -> io::Result<()> {
        self.begin_write(now);
        let segment = self.active().sequence;
        self.writer.floor(segment, floor);
        if self.used_after(self.writer.bytes().len() as u64) > self.limit_now() {
            return Err(io::ErrorKind::StorageFull.into());
        }
        self.write(self.options.sync)
    }

    /// Begins the first segment, or a further one.
    pub(crate) fn begin_segment(&mut self, now: Micros) -> io::Result<()> {
        self.roll(now)
    }
}
