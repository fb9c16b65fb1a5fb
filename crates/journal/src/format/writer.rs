//! Encodes frames.

use super::{FRAME_HEADER_SIZE, MAX_FRAME_BODY, abandonment_tag, checksum, tag};
use crate::record::{Abandonment, AcceptedMessage, Attempt, LedgerEntry, Micros, PendingMessage, Record};

/// Encodes frames of one segment into a buffer that is reused from batch to batch.
#[derive(Debug, Default)]
pub struct FrameWriter {
    bytes: Vec<u8>,
    frames: u32,
}

/// A text, a message body or a whole record is longer than the format can hold. No part of the record was written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("a record is longer than the journal's format can hold")]
pub struct RecordTooLong;

impl FrameWriter {
    /// Empties the buffer.
    pub fn clear(&mut self) {
        self.bytes.clear();
        self.frames = 0;
    }

    /// The encoded frames.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Length of the encoded frames in bytes.
    pub fn length(&self) -> u64 {
        self.bytes.len() as u64
    }

    /// The number of frames.
    pub fn frames(&self) -> u32 {
        self.frames
    }

    /// Writes the frame that begins a batch.
    pub fn batch_start(&mut self, segment: u64, at: Micros, records_before: u32, durable_bytes: u32) {
        let written = self.frame(segment, |w| {
            w.u8(tag::BATCH_START);
            w.u64(at);
            w.u32(records_before);
            w.u32(durable_bytes);
            Some(())
        });
        debug_assert_eq!(written, Ok(()));
    }

    /// Writes a record.
    ///
    /// # Errors
    /// Fails when it is longer than the format can hold.
    pub fn record(&mut self, segment: u64, record: &Record) -> Result<(), RecordTooLong> {
        self.frame(segment, |w| w.record_body(record))
    }

    /// Writes the complete state of a message.
    ///
    /// # Errors
    /// Fails when it is longer than the format can hold.
    pub fn relocated(
        &mut self,
        segment: u64,
        message: u32,
        pending: &PendingMessage,
    ) -> Result<(), RecordTooLong> {
        self.frame(segment, |w| {
            w.u8(tag::RELOCATED);
            w.u32(message);
            w.accepted_message(&pending.message)?;
            w.flag(pending.abandoned.is_some());
            w.abandonment(pending.abandoned.unwrap_or(Abandonment::Undeliverable));
            w.u16(u16::try_from(pending.attempts.len()).ok()?);
            pending.attempts.iter().try_for_each(|attempt| w.attempt(attempt))
        })
    }

    /// Writes a floor: segments with a lower sequence number are no longer part of the log.
    pub fn floor(&mut self, segment: u64, floor: u64) {
        let written = self.frame(segment, |w| {
            w.u8(tag::FLOOR);
            w.u64(floor);
            Some(())
        });
        debug_assert_eq!(written, Ok(()));
    }

    /// Writes a frame whose body the closure encodes. If the closure returns `None` or the body is too long, the buffer
    /// is unchanged.
    #[inline]
    fn frame(
        &mut self,
        segment: u64,
        body: impl FnOnce(&mut Self) -> Option<()>,
    ) -> Result<(), RecordTooLong> {
        let start = self.bytes.len();
        let body_start = start + FRAME_HEADER_SIZE;
        self.bytes.extend_from_slice(&[0; FRAME_HEADER_SIZE]);
        let encoded = body(self).is_some();
        let length = self.bytes.len() - body_start;
        if !encoded || length > MAX_FRAME_BODY {
            self.bytes.truncate(start);
            return Err(RecordTooLong);
        }
        let checksum = checksum(segment, &self.bytes[body_start..]);
        self.bytes[start..start + 4].copy_from_slice(&(length as u32).to_le_bytes());
        self.bytes[start + 4..body_start].copy_from_slice(&checksum.to_le_bytes());
        self.frames += 1;
        Ok(())
    }

    fn record_body(&mut self, record: &Record) -> Option<()> {
        match record {
            Record::Accepted(message, accepted) => {
                self.u8(tag::ACCEPTED);
                self.u32(*message);
                self.accepted_message(accepted)
            }
            Record::AttemptStarted { message, attempt, endpoint, at } => {
                self.u8(tag::ATTEMPT_STARTED);
                self.u32(*message);
                self.u16(*attempt);
                self.u64(*at);
                self.text(endpoint)
            }
            Record::AttemptEnded { message, attempt, never_ran } => {
                self.u8(tag::ATTEMPT_ENDED);
                self.u32(*message);
                self.u16(*attempt);
                self.flag(*never_ran);
                Some(())
            }
            Record::Abandoned(message, abandonment) => {
                self.u8(tag::ABANDONED);
                self.u32(*message);
                self.abandonment(*abandonment);
                Some(())
            }
            Record::Completed(message) => {
                self.u8(tag::COMPLETED);
                self.u32(*message);
                Some(())
            }
            Record::LedgerEntry(LedgerEntry { id, delivered, at }) => {
                self.u8(tag::LEDGER_ENTRY);
                self.flag(*delivered);
                self.u64(*at);
                self.text(id)
            }
        }
    }

    fn accepted_message(&mut self, message: &AcceptedMessage) -> Option<()> {
        self.u64(message.deadline);
        self.u16(message.destination);
        self.flag(message.key.is_some());
        self.text(&message.id)?;
        self.text(message.key.as_deref().unwrap_or_default())?;
        self.text(&message.class)?;
        self.u32(u32::try_from(message.body.len()).ok()?);
        self.bytes.extend_from_slice(&message.body);
        Some(())
    }

    fn abandonment(&mut self, abandonment: Abandonment) {
        let (kind, retry_after) = match abandonment {
            Abandonment::Deferred(retry_after) => (abandonment_tag::DEFERRED, retry_after),
            Abandonment::Undeliverable => (abandonment_tag::UNDELIVERABLE, 0),
        };
        self.u8(kind);
        self.u64(retry_after);
    }

    fn attempt(&mut self, attempt: &Attempt) -> Option<()> {
        self.u16(attempt.number);
        self.u64(attempt.at);
        self.flag(attempt.never_ran);
        self.text(&attempt.endpoint)
    }

    fn u8(&mut self, value: u8) {
        self.bytes.push(value);
    }

    fn u16(&mut self, value: u16) {
        self.bytes.extend_from_slice(&value.to_le_bytes());
    }

    fn u32(&mut self, value: u32) {
        self.bytes.extend_from_slice(&value.to_le_bytes());
    }

    fn u64(&mut self, value: u64) {
        self.bytes.extend_from_slice(&value.to_le_bytes());
    }

    fn flag(&mut self, value: bool) {
        self.bytes.push(value.into());
    }

    /// Returns `None` if the text is too long for its length field.
    fn text(&mut self, text: &str) -> Option<()> {
        self.u16(u16::try_from(text.len()).ok()?);
        self.bytes.extend_from_slice(text.as_bytes());
        Some(())
    }
}

/// Size in bytes of the frame that holds the complete state of a message without attempts.
pub fn relocated_size(message: &AcceptedMessage) -> u64 {
    const TAG_AND_NUMBER: usize = 1 + 4;
    const DEADLINE_DESTINATION_AND_KEY_FLAG: usize = 8 + 2 + 1;
    const TEXT_LENGTHS: usize = 3 * 2;
    const BODY_LENGTH: usize = 4;
    const ABANDONMENT: usize = 1 + 1 + 8;
    const ATTEMPT_COUNT: usize = 2;
    const FIXED: usize = FRAME_HEADER_SIZE
        + TAG_AND_NUMBER
        + DEADLINE_DESTINATION_AND_KEY_FLAG
        + TEXT_LENGTHS
        + BODY_LENGTH
        + ABANDONMENT
        + ATTEMPT_COUNT;
    let texts = message.id.len() + message.class.len() + message.key.as_ref().map_or(0, String::len);
    (FIXED + texts + message.body.len()) as u64
}
