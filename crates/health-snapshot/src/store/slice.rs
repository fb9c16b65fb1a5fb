//! Writes one slice: the records that are due, the list's version, and the end of a baseline.

use std::io;

use super::files::BLOCK_BYTES;
use super::{MIN_SPACE, SLICE_BYTES, SliceResult, Source, Store};
use crate::schedule::{SLICE_DESTINATIONS, Scheduled, Step};
use crate::timestamp::Timestamp;
use crate::{DestinationRecord, Micros};

/// A list version that has not changed is written again, with its latest confirmation, at this interval.
const LIST_CONFIRMATION_INTERVAL: Micros = 1_000_000;

/// Summary of the records that a slice has encoded.
#[derive(Debug, Default)]
struct Encoded {
    destinations: usize,
    /// Whether a record among them restricts a restarted process, and is to be synced.
    is_restrictive: bool,
}

impl Store {
    /// Writes what is due; the files may occupy `space` bytes.
    pub(super) fn write_due(
        &mut self,
        timestamp: &Timestamp,
        space: u64,
        source: &dyn Source,
    ) -> io::Result<SliceResult> {
        self.ensure_generation(space, source)?;
        let Some(sequence) = self.next_sequence.checked_sub(1) else { return Ok(SliceResult::default()) };
        let available = space.saturating_sub(self.used() + BLOCK_BYTES) as usize;
        self.writer.begin(sequence, timestamp);
        let encoded = self.encode_destinations(available, timestamp.wall, source);
        let completed = self.scheduler.completed_baseline();
        self.encode_list(completed.is_some(), source);
        if let Some(omitted) = completed {
            self.writer.baseline_complete(omitted);
        }
        let mut result = SliceResult { destinations: encoded.destinations, bytes: 0 };
        if self.writer.is_empty() {
            return Ok(result);
        }
        result.bytes = self.append()?;
        if self.options.sync && (encoded.is_restrictive || completed.is_some()) {
            self.sync()?;
        }
        if completed.is_some() {
            self.scheduler.baseline_written();
            self.remove_earlier()?;
        }
        Ok(result)
    }

    /// Starts a generation if one is needed. Earlier ones are removed first if there is no space for both.
    fn ensure_generation(&mut self, space: u64, source: &dyn Source) -> io::Result<()> {
        if self.active.is_some() && !self.scheduler.needs_generation() {
            return Ok(());
        }
        if self.used() + MIN_SPACE > space {
            self.remove_all()?;
        }
        self.start_generation(source)
    }

    /// Encodes the records that are due, as many as fit into the slice.
    fn encode_destinations(&mut self, available: usize, now: Micros, source: &dyn Source) -> Encoded {
        let mut encoded = Encoded::default();
        for _ in 0..SLICE_DESTINATIONS {
            if self.writer.bytes().len() > SLICE_BYTES {
                break;
            }
            let Some(scheduled) = self.scheduler.next(now) else { break };
            let destination = scheduled.destination;
            let Some(record) = source.record(destination) else {
                if self.scheduler.remove(destination) {
                    self.writer.removed(destination);
                }
                continue;
            };
            let step = self.scheduler.examine(scheduled, &record, now);
            if step != Step::Skip && self.encode_record(scheduled, &record, step, available) {
                encoded.destinations += 1;
                encoded.is_restrictive |= step == Step::Write;
            }
        }
        encoded
    }

    /// Encodes one record if there is space: a restrictive one may use all of it, others half, so that increments fit too.
    fn encode_record(
        &mut self,
        scheduled: Scheduled,
        record: &DestinationRecord,
        step: Step,
        available: usize,
    ) -> bool {
        let length = self.writer.bytes().len();
        self.writer.destination(scheduled.destination, record);
        let limit = if step == Step::Write { available } else { available / 2 };
        if self.writer.bytes().len() > limit {
            self.writer.truncate(length);
            if scheduled.for_baseline {
                self.scheduler.omit();
            }
            return false;
        }
        self.scheduler.mark_written(scheduled.destination, record);
        true
    }

    /// Encodes the list's version if all of its endpoints precede it.
    fn encode_list(&mut self, is_baseline_complete: bool, source: &dyn Source) {
        let list = source.list();
        let is_newer = list.index != self.written_list.index;
        let is_due = list.confirmed_at > self.written_list.confirmed_at + LIST_CONFIRMATION_INTERVAL;
        if (is_baseline_complete || self.scheduler.has_list()) && (is_newer || is_due) {
            self.writer.list(list);
            self.written_list = list;
        }
    }

    fn append(&mut self) -> io::Result<u64> {
        let Some(active) = &mut self.active else { return Ok(0) };
        let bytes = self.writer.bytes();
        if let Err(e) = self.disk.append(&active.name, bytes) {
            // Removes a partial write, so that no later append follows it.
            let _ = self.disk.truncate(&active.name, active.length);
            return Err(e);
        }
        let size = bytes.len() as u64;
        active.length += size;
        self.written_bytes += size;
        self.scheduler.appended(size);
        Ok(size)
    }

    fn sync(&mut self) -> io::Result<()> {
        match &self.active {
            Some(active) => self.disk.sync(&active.name),
            None => Ok(()),
        }
    }
}
