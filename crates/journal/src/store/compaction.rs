//! Compaction: copies the live records of the oldest segment to the end of the log, in slices, and removes its file.

use std::io;

use super::{Journal, SLICE_BYTES, SLICE_MESSAGES, SLICE_TRUNCATION};
use crate::format::FrameWriter;
use crate::record::{Micros, Record};
use crate::segment::{BLOCK_SIZE, DAMAGED_PREFIX, StoredFile, size_on_disk};

/// Progress of compaction in the oldest segment: positions in its lists of messages and ledger entries.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Cursor {
    message: usize,
    ledger_entry: usize,
}

/// How much one slice may copy and examine.
struct SliceBudget {
    bytes: u64,
    examined: usize,
}

impl SliceBudget {
    /// Counts one more record and returns whether the slice may examine it.
    fn admits(&mut self, writer: &FrameWriter) -> bool {
        self.examined += 1;
        self.examined <= SLICE_MESSAGES && writer.length() < self.bytes
    }
}

/// Records that one slice has encoded but not written yet.
#[derive(Default)]
struct Copies {
    /// The position after the last record examined.
    cursor: Cursor,
    messages: Vec<u32>,
    ledger_entries: Vec<u64>,
}

impl Copies {
    fn is_empty(&self) -> bool {
        self.messages.is_empty() && self.ledger_entries.is_empty()
    }
}

impl Journal {
    /// Runs one slice of maintenance: drops expired ledger entries, shrinks and removes retired files, and copies live
    /// records of the oldest segment to the end of the log.
    ///
    /// A slice writes at most [`SLICE_BYTES`] and one message, and truncates a file by at most [`SLICE_TRUNCATION`].
    /// Call it after each batch, once the responses and calls that depend on the batch are sent; the amount of work
    /// grows with the bytes appended since the last slice.
    ///
    /// # Errors
    /// Fails when the system does. No pending message is lost, and the next slice retries.
    pub fn compact_step(&mut self, now: Micros) -> io::Result<()> {
        if let Some(ledger) = &self.options.retain {
            self.state.expire_ledger(now, ledger.span, SLICE_MESSAGES);
        }
        let appended = std::mem::take(&mut self.appended_since_step);
        let budget = (4 * appended + BLOCK_SIZE).min(SLICE_BYTES);
        self.truncate_torn_tail()?;
        if !self.retired.is_empty() {
            self.shrink_retired_file()
        } else if self.needs_compaction() {
            self.compact_oldest(now, budget)
        } else {
            Ok(())
        }
    }

    /// Truncates the first retired file by one slice, and removes the file with its last slice, because a file system
    /// takes long to remove a large file at once.
    fn shrink_retired_file(&mut self) -> io::Result<()> {
        let Some(file) = self.retired.front_mut() else { return Ok(()) };
        let remaining = file.length.saturating_sub(SLICE_TRUNCATION);
        if remaining > 0 {
            self.disk.truncate(&file.name, remaining)?;
        } else {
            self.disk.remove(&file.name)?;
        }
        self.used_bytes -= size_on_disk(file.length) - size_on_disk(remaining);
        file.length = remaining;
        self.retired.pop_front_if(|file| file.length == 0);
        Ok(())
    }

    /// Returns whether to compact the oldest segment:
    ///
    /// - if less than a quarter of the limit is left, which is for the records that arrive until compaction is done;
    /// - if most bytes are dead, because reading them at the next start takes time;
    /// - if a segment other than the active one is damaged;
    /// - if its compaction has begun.
    ///
    /// A single segment is compacted in the first case only.
    fn needs_compaction(&self) -> bool {
        let figures = self.figures();
        let nearly_full = self.committed_bytes() > self.options.limit / 4 * 3;
        let mostly_dead = figures.used > (4 * figures.reserved).max(8 * figures.segment);
        let damaged = self.segments.iter().rev().skip(1).any(|segment| segment.damaged);
        let begun = self.cursor.message + self.cursor.ledger_entry > 0;
        (nearly_full || mostly_dead || damaged || begun) && (self.segments.len() > 1 || nearly_full)
    }

    /// Copies a slice of the oldest segment's live records, and retires the segment once all are copied.
    fn compact_oldest(&mut self, now: Micros, budget: u64) -> io::Result<()> {
        if self.segments.len() < 2 {
            return self.roll_single_segment(now);
        }
        self.roll_if_long(now)?;
        self.begin_batch(now);
        let copies = self.encode_copies(budget)?;
        let cursor = copies.cursor;
        if !copies.is_empty() {
            self.write_copies(copies)?;
        }
        self.cursor = cursor;
        if self.oldest_is_empty() { self.retire_oldest(now) } else { Ok(()) }
    }

    /// Starts a second segment, to which live records can be copied, unless the only one is short and has little to
    /// reclaim.
    fn roll_single_segment(&mut self, now: Micros) -> io::Result<()> {
        if self.active().length < self.options.segment_length() / 2 { Ok(()) } else { self.roll(now) }
    }

    /// Returns whether compaction has examined all records of the oldest segment.
    fn oldest_is_empty(&self) -> bool {
        self.segments.front().is_some_and(|oldest| {
            self.cursor.message == oldest.messages.len()
                && self.cursor.ledger_entry == oldest.ledger_entries.len()
        })
    }

    /// Encodes live records of the oldest segment into the writer, up to the budget.
    fn encode_copies(&mut self, bytes: u64) -> io::Result<Copies> {
        let target = self.active().sequence;
        let oldest = &self.segments[0];
        let mut budget = SliceBudget { bytes, examined: 0 };
        let mut copies = Copies { cursor: self.cursor, ..Copies::default() };
        let cursor = &mut copies.cursor;
        while cursor.message < oldest.messages.len() && budget.admits(&self.writer) {
            let number = oldest.messages[cursor.message];
            cursor.message += 1;
            let pending = self.state.live().get(&number);
            if let Some(pending) = pending.filter(|pending| pending.segment == oldest.sequence) {
                self.writer.relocated(target, number, pending).map_err(io::Error::other)?;
                copies.messages.push(number);
            }
        }
        while cursor.ledger_entry < oldest.ledger_entries.len() && budget.admits(&self.writer) {
            let number = oldest.ledger_entries[cursor.ledger_entry];
            cursor.ledger_entry += 1;
            let stored = self.state.stored_entry(number);
            if let Some(stored) = stored.filter(|stored| stored.segment == oldest.sequence) {
                let record = Record::LedgerEntry(stored.entry.clone());
                self.writer.record(target, &record).map_err(io::Error::other)?;
                copies.ledger_entries.push(number);
            }
        }
        Ok(copies)
    }

    /// Writes the records that [`Journal::encode_copies`] encoded. From then on they belong to the active segment.
    fn write_copies(&mut self, copies: Copies) -> io::Result<()> {
        if !self.batch_fits(self.outcome_reserve()) {
            return Err(io::ErrorKind::StorageFull.into());
        }
        self.write_batch(false)?;
        self.relocated_bytes += self.writer.length();
        let target = self.active().sequence;
        for message in &copies.messages {
            self.state.set_segment(*message, target);
        }
        for number in &copies.ledger_entries {
            self.state.set_entry_segment(*number, target);
        }
        if let Some(active) = self.segments.back_mut() {
            active.messages.extend(copies.messages);
            active.ledger_entries.extend(copies.ledger_entries);
        }
        Ok(())
    }

    /// Removes the oldest segment from the log by appending a floor, and retires its file. With
    /// [`Options::sync`](crate::Options::sync) the copies are synced before the floor is written, and the floor before
    /// the file is removed. Otherwise a loss of power could drop later records of a message and keep the segment that
    /// introduces it, so that a completed message reappears.
    fn retire_oldest(&mut self, now: Micros) -> io::Result<()> {
        let (Some(oldest), Some(next)) = (self.segments.front(), self.segments.get(1)) else { return Ok(()) };
        let floor = next.sequence;
        let file = StoredFile { name: oldest.file.clone(), length: oldest.length };
        if oldest.damaged {
            // If the process ends here, the file is still read under its new name.
            let _ = self.disk.rename(&file.name, &format!("{DAMAGED_PREFIX}{}", file.name));
        }
        if let (true, Some(last)) = (self.options.sync, self.segments.back()) {
            self.disk.sync(&last.file)?;
            self.durable_bytes = last.length;
        }
        self.write_floor(now, floor)?;
        if self.segments.pop_front().is_some_and(|oldest| !oldest.damaged) {
            self.retired.push_back(file);
        }
        self.cursor = Cursor::default();
        self.compacted_segments += 1;
        Ok(())
    }

    /// Appends a floor: segments with a lower sequence number are no longer part of the log.
    fn write_floor(&mut self, now: Micros, floor: u64) -> io::Result<()> {
        self.begin_batch(now);
        let segment = self.active().sequence;
        self.writer.floor(segment, floor);
        if !self.batch_fits(0) {
            return Err(io::ErrorKind::StorageFull.into());
        }
        self.write_batch(self.options.sync)
    }
}
