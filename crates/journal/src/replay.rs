//! Recovery of one segment: decodes its frames into a [`State`], and distinguishes a torn write from damage. No I/O.

use crate::format::{
    BatchOffset, FRAME_HEADER_SIZE, Frame, HEADER_SIZE, HeaderError, LogEntry, MAX_FRAME_BODY, SegmentHeader,
    batch_starts, frame_at,
};
use crate::record::{Attempt, PendingMessage, Record};
use crate::state::{ByNumber, State};

/// A range of a segment that was written and can no longer be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DamagedRange {
    /// Sequence number of the segment.
    pub sequence: u64,
    /// Offset of the first damaged byte.
    pub from: u64,
    /// Offset after the last damaged byte.
    pub to: u64,
    /// The number of records lost, if they can be counted.
    pub records: Option<u64>,
}

/// The result of replaying a segment.
#[derive(Debug, Default)]
pub struct ReplayedSegment {
    /// Length in bytes without a torn write at the end; the next write is appended there.
    pub length: u64,
    /// Records within that length. Damaged ones are included as far as they can be counted.
    pub records: u32,
    /// Ranges that can't be read.
    pub damaged: Vec<DamagedRange>,
    /// Bytes of a torn last write.
    pub torn: u64,
    /// Messages that were pending at a damaged range.
    pub suspected: usize,
}

/// Why a segment can't be read at all.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unreadable {
    /// The header can't be read.
    Header(HeaderError),
    /// An intact record is of a kind that this version does not know.
    UnknownRecord,
}

/// What follows a segment. Only if nothing follows, its last write may be torn.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Successor {
    /// Another segment, before which this many records were written.
    Segment {
        /// Records written to all segments before the successor.
        records_before: u64,
    },
    /// Nothing. The last writes are present in order up to some byte.
    NoneInOrder,
    /// Nothing. Any parts of the writes since the last sync may be present without the others.
    NoneUnordered,
}

/// Where a verified frame is.
struct FrameLocation {
    offset: usize,
    body_length: u32,
}

/// Reads one segment after another and reuses its tables.
#[derive(Default)]
pub struct Replay {
    frames: Vec<FrameLocation>,
    /// For each message that is completed in `frames`, the index of the last frame that completes it.
    completions: ByNumber<usize>,
    /// The latest attempt that has not failed of each message that is not decoded.
    skipped_attempts: ByNumber<Attempt>,
}

impl Replay {
    /// Applies a segment's records to the state.
    ///
    /// # Errors
    /// Fails when the segment can't be read at all. The state may then hold the records before the unreadable one.
    pub fn segment(
        &mut self,
        bytes: &[u8],
        successor: Successor,
        state: &mut State,
    ) -> Result<ReplayedSegment, Unreadable> {
        let header = SegmentHeader::read(bytes).map_err(Unreadable::Header)?;
        state.latest_time = state.latest_time.max(header.created_at);
        let mut found = ReplayedSegment::default();
        let mut offset = HEADER_SIZE;
        loop {
            offset = self.intact_frames(header.sequence, bytes, offset, state, &mut found)?;
            found.length = offset as u64;
            if offset == bytes.len() {
                break;
            }
            if is_torn_write(header.sequence, bytes, offset, successor) {
                found.torn = (bytes.len() - offset) as u64;
                return Ok(found);
            }
            let Some(next) = batch_starts(header.sequence, bytes, offset + 1).next() else {
                let lost = found.records_missing(&header, successor);
                found.add_damage(header.sequence, offset, bytes.len(), lost, state);
                found.length = bytes.len() as u64;
                return Ok(found);
            };
            found.skip_to(header.sequence, offset, next, state);
            offset = next.offset;
        }
        if let Some(lost) = found.records_missing(&header, successor).filter(|lost| *lost > 0) {
            // The segment was truncated between two records.
            found.add_damage(header.sequence, bytes.len(), bytes.len(), Some(lost), state);
        }
        Ok(found)
    }

    /// Applies frames up to the first that is not intact, and returns its offset.
    fn intact_frames(
        &mut self,
        segment: u64,
        bytes: &[u8],
        from: usize,
        state: &mut State,
        found: &mut ReplayedSegment,
    ) -> Result<usize, Unreadable> {
        let end = self.locate_frames(segment, bytes, from);
        for (index, location) in self.frames.iter().enumerate() {
            let frame = Frame::verified(bytes, location.offset, location.body_length as usize);
            found.records += 1;
            let is_completed_later = |message| self.completions.get(&message).is_some_and(|at| *at > index);
            // Decoding can be skipped. Numbers of completed messages are reused, so that an earlier message of the same
            // number, if there is one, is completed now.
            if let Some(message) = frame.introduced_message().filter(|message| is_completed_later(*message)) {
                state.apply(Record::Completed(message), segment);
                self.skipped_attempts.remove(&message);
                continue;
            }
            if frame.changed_message().is_some_and(|message| !state.live().contains_key(&message)) {
                follow_skipped_message(&frame, &mut self.skipped_attempts, state);
                continue;
            }
            if let Some(attempt) =
                frame.completed_message().and_then(|message| state.delivering_attempt(message)).cloned()
            {
                state.record_delivery(attempt.endpoint, attempt.at);
            }
            apply(frame.read().ok_or(Unreadable::UnknownRecord)?, segment, state);
        }
        Ok(end)
    }

    /// Finds the intact frames from an offset on and the messages that they complete. Returns the offset after them.
    fn locate_frames(&mut self, segment: u64, bytes: &[u8], from: usize) -> usize {
        self.frames.clear();
        self.completions.clear();
        let mut offset = from;
        while let Some(frame) = frame_at(segment, bytes, offset) {
            if let Some(message) = frame.completed_message() {
                self.completions.insert(message, self.frames.len());
            }
            self.frames.push(FrameLocation { offset, body_length: frame.body_length() as u32 });
            offset = frame.end();
        }
        offset
    }
}

/// Follows the attempts of a message that is not decoded, since its outcome is known, and records its delivery.
fn follow_skipped_message(frame: &Frame, attempts: &mut ByNumber<Attempt>, state: &mut State) {
    let Some(LogEntry::Record(record)) = frame.read() else { return };
    match record {
        Record::AttemptStarted { message, attempt, endpoint, at } => {
            attempts.insert(message, Attempt { number: attempt, endpoint, at, never_ran: false });
        }
        Record::AttemptEnded { message, attempt, .. } => {
            if attempts.get(&message).is_some_and(|latest| latest.number == attempt) {
                attempts.remove(&message);
            }
        }
        Record::Abandoned(message, _) => drop(attempts.remove(&message)),
        Record::Completed(message) => {
            if let Some(attempt) = attempts.remove(&message) {
                state.record_delivery(attempt.endpoint, attempt.at);
            }
        }
        Record::Accepted(..) | Record::LedgerEntry(_) => {}
    }
}

impl ReplayedSegment {
    /// Records that the successor counts and that were not found; `None` if their number is unknown.
    fn records_missing(&self, header: &SegmentHeader, successor: Successor) -> Option<u64> {
        let Successor::Segment { records_before } = successor else { return None };
        records_before.checked_sub(header.records_before + u64::from(self.records))
    }

    /// Adds the range up to the next intact batch as damaged.
    fn skip_to(&mut self, sequence: u64, from: usize, next: BatchOffset, state: &mut State) {
        let lost = next.records_before.checked_sub(self.records).map(u64::from);
        self.add_damage(sequence, from, next.offset, lost, state);
        self.records = self.records.max(next.records_before);
    }

    fn add_damage(&mut self, sequence: u64, from: usize, to: usize, records: Option<u64>, state: &mut State) {
        self.damaged.push(DamagedRange { sequence, from: from as u64, to: to as u64, records });
        self.suspected += state.mark_possibly_applied();
    }
}

/// Applies what an intact frame holds.
fn apply(entry: LogEntry, segment: u64, state: &mut State) {
    match entry {
        LogEntry::BatchStart { at, .. } => state.latest_time = state.latest_time.max(at),
        LogEntry::Record(record) => {
            state.apply(record, segment);
        }
        LogEntry::Relocated(message, pending) => {
            state.insert(message, PendingMessage { segment, ..pending });
        }
        // Read by `floor` from the newest segment before any segment is replayed.
        LogEntry::Floor(_) => {}
    }
}

/// Returns whether the unreadable bytes from an offset on are an incomplete write rather than damage.
fn is_torn_write(segment: u64, bytes: &[u8], offset: usize, successor: Successor) -> bool {
    match successor {
        Successor::Segment { .. } => false,
        Successor::NoneInOrder => !was_durable(segment, bytes, offset) && is_partial_frame(&bytes[offset..]),
        Successor::NoneUnordered => !was_durable(segment, bytes, offset),
    }
}

/// Returns whether a batch after an offset states that the bytes there were durable when it was written.
fn was_durable(segment: u64, bytes: &[u8], offset: usize) -> bool {
    batch_starts(segment, bytes, offset + 1).any(|batch| batch.durable_bytes as usize > offset)
}

/// Returns whether the bytes are the beginning of a frame whose rest is missing, as after an interrupted write.
fn is_partial_frame(bytes: &[u8]) -> bool {
    let Some(length) = bytes.first_chunk() else { return true };
    let length = u32::from_le_bytes(*length) as usize;
    length > 0 && length <= MAX_FRAME_BODY && bytes.len() < FRAME_HEADER_SIZE + length
}

/// Returns the floor that the newest segment states: segments with a lower sequence number are no longer part of the
/// log.
///
/// # Errors
/// Fails when the header can't be read.
pub fn floor(bytes: &[u8]) -> Result<u64, HeaderError> {
    let header = SegmentHeader::read(bytes)?;
    let mut floor = header.floor;
    let mut offset = HEADER_SIZE;
    loop {
        while let Some(frame) = frame_at(header.sequence, bytes, offset) {
            if let (true, Some(LogEntry::Floor(stated))) = (frame.is_floor(), frame.read()) {
                floor = floor.max(stated);
            }
            offset = frame.end();
        }
        // No file was removed because of a floor after a torn write.
        if !was_durable(header.sequence, bytes, offset) {
            return Ok(floor);
        }
        let Some(next) = batch_starts(header.sequence, bytes, offset + 1).next() else { return Ok(floor) };
        offset = next.offset;
    }
}
