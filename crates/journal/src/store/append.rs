//! Appending batches to the active segment, and starting new segments.

use std::io;

use super::Journal;
use crate::error::AppendError;
use crate::format::{HEADER_SIZE, SegmentHeader};
use crate::record::{Micros, Record};
use crate::segment::{BLOCK_SIZE, Segment, file_name, size_on_disk};

impl Journal {
    /// Appends a batch of records in one write and drains `records`. With [`Options::sync`](crate::Options::sync) it
    /// returns once they would survive a loss of power.
    ///
    /// # Errors
    /// Fails when they could not be written. Then none of them is committed, and all stay in `records`.
    pub fn append(&mut self, now: Micros, records: &mut Vec<Record>) -> Result<(), AppendError> {
        if records.is_empty() {
            return Ok(());
        }
        self.truncate_torn_tail()?;
        self.roll_if_long(now)?;
        self.begin_batch(now);
        let segment = self.active().sequence;
        for record in records.iter() {
            self.writer.record(segment, record)?;
        }
        let reserve = if records.iter().all(is_progress) { 0 } else { self.outcome_reserve() };
        if !self.batch_fits(reserve) {
            return Err(AppendError::LimitReached);
        }
        self.write_batch(self.options.sync)?;
        self.appended_since_step += self.writer.length();
        self.state.latest_time = self.state.latest_time.max(now);
        for record in records.drain(..) {
            self.apply(record, segment);
        }
        Ok(())
    }

    /// Applies a record that was written to the active segment.
    fn apply(&mut self, record: Record, segment: u64) {
        let accepted = if let Record::Accepted(message, _) = &record { Some(*message) } else { None };
        let ledger_entry = self.state.apply(record, segment);
        if let Some(active) = self.segments.back_mut() {
            active.messages.extend(accepted);
            active.ledger_entries.extend(ledger_entry);
        }
    }

    /// The segment that is appended to.
    pub(super) fn active(&self) -> &Segment {
        &self.segments[self.segments.len() - 1]
    }

    /// Clears the writer and writes the frame that begins a batch to it.
    pub(super) fn begin_batch(&mut self, now: Micros) {
        let active = self.active();
        // Without syncs everything written is durable as long as the machine runs.
        let durable_bytes = if self.options.sync { self.durable_bytes } else { active.length };
        let (sequence, records) = (active.sequence, active.records);
        self.writer.clear();
        self.writer.batch_start(sequence, now, records, durable_bytes as u32);
    }

    /// Appends the writer's frames to the active segment. On failure the segment is unchanged, or is truncated before
    /// the next write.
    pub(super) fn write_batch(&mut self, sync: bool) -> io::Result<()> {
        let Some(active) = self.segments.back() else { return Err(io::ErrorKind::NotFound.into()) };
        let length = active.length;
        let mut written = self.disk.append(&active.file, self.writer.bytes());
        if written.is_ok() && sync {
            written = self.disk.sync(&active.file);
        }
        if let Err(error) = written {
            // Nothing may be written after a torn write. Where it can't be truncated now, the next write does so first.
            self.tail_torn = self.disk.truncate(&active.file, length).is_err();
            return Err(error);
        }
        let size = self.writer.length();
        self.used_bytes = self.used_after(size);
        self.written_bytes += size;
        if let Some(active) = self.segments.back_mut() {
            active.length += size;
            active.records += self.writer.frames();
        }
        if sync {
            self.durable_bytes = length + size;
        }
        Ok(())
    }

    /// Truncates what a failed write left at the end of the active segment, if that truncation failed at the time.
    pub(crate) fn truncate_torn_tail(&mut self) -> io::Result<()> {
        if self.tail_torn {
            let Some(active) = self.segments.back() else { return Ok(()) };
            self.disk.truncate(&active.file, active.length)?;
            self.tail_torn = false;
        }
        Ok(())
    }

    /// Starts a new segment if the active one has reached the segment length.
    pub(super) fn roll_if_long(&mut self, now: Micros) -> io::Result<()> {
        if self.active().length < self.options.segment_length() {
            return Ok(());
        }
        match self.roll(now) {
            // The segment length is not a hard limit: if no new header fits, a record may still fit the active segment.
            Err(error) if error.kind() == io::ErrorKind::StorageFull => Ok(()),
            rolled => rolled,
        }
    }

    /// Starts a new segment, or the first one. If that fails, the unusable file is removed, either at once or before
    /// the next attempt to create it.
    pub(crate) fn roll(&mut self, now: Micros) -> io::Result<()> {
        let (sequence, records) = match self.segments.back() {
            Some(last) => (last.sequence + 1, u64::from(last.records)),
            None => (1, 0),
        };
        if self.used_bytes + BLOCK_SIZE > self.available_limit() {
            return Err(io::ErrorKind::StorageFull.into());
        }
        if let (true, Some(last)) = (self.options.sync, self.segments.back()) {
            self.disk.sync(&last.file)?;
        }
        let floor = self.segments.front().map_or(sequence, |first| first.sequence);
        let records_before = self.records_before_active + records;
        let header = SegmentHeader { sequence, floor, records_before, created_at: now };
        self.create_segment_file(&header)?;
        self.records_before_active = records_before;
        self.used_bytes += size_on_disk(HEADER_SIZE as u64);
        self.written_bytes += HEADER_SIZE as u64;
        self.durable_bytes = HEADER_SIZE as u64;
        self.segments.push_back(Segment::new(sequence, HEADER_SIZE as u64));
        Ok(())
    }

    /// Creates a segment's file and writes its header.
    fn create_segment_file(&mut self, header: &SegmentHeader) -> io::Result<()> {
        let file = file_name(header.sequence);
        let mut created = match self.disk.create(&file) {
            Err(error) if error.kind() == io::ErrorKind::AlreadyExists => {
                self.disk.remove(&file).and_then(|()| self.disk.create(&file))
            }
            created => created,
        };
        created = created.and_then(|()| self.disk.append(&file, &header.to_bytes()));
        if self.options.sync {
            created = created.and_then(|()| self.disk.sync(&file)).and_then(|()| self.disk.sync_names());
        }
        if created.is_err() {
            let _ = self.disk.remove(&file);
        }
        created
    }
}

/// Returns whether a record brings a pending message closer to its outcome. Such records may use the space reserved for
/// outcomes; acceptances and new attempts may not.
fn is_progress(record: &Record) -> bool {
    !matches!(record, Record::Accepted(..) | Record::AttemptStarted { .. })
}
