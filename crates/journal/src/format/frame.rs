//! Finds frames in the bytes of a segment.

use super::reader::FieldReader;
use super::{FRAME_HEADER_SIZE, LogEntry, MAX_FRAME_BODY, checksum, tag};

/// A frame whose checksum was verified and whose body is not decoded yet.
#[derive(Debug, Clone, Copy)]
pub struct Frame<'a> {
    /// Offset of the frame in the segment.
    pub offset: usize,
    body: &'a [u8],
}

impl<'a> Frame<'a> {
    /// Returns a frame that [`frame_at`] has already verified at this offset, with a body of this length.
    pub fn verified(bytes: &'a [u8], offset: usize, body_length: usize) -> Self {
        Self { offset, body: &bytes[offset + FRAME_HEADER_SIZE..][..body_length] }
    }

    /// Length of the body in bytes.
    pub fn body_length(&self) -> usize {
        self.body.len()
    }

    /// Offset of the frame that follows.
    pub fn end(&self) -> usize {
        self.offset + FRAME_HEADER_SIZE + self.body.len()
    }

    /// The message that this frame introduces, either accepted or relocated.
    pub fn introduced_message(&self) -> Option<u32> {
        self.message_if(|tag| matches!(tag, tag::ACCEPTED | tag::RELOCATED))
    }

    /// The message that this frame completes.
    pub fn completed_message(&self) -> Option<u32> {
        self.message_if(|tag| tag == tag::COMPLETED)
    }

    /// The message that this frame changes, which an earlier frame introduced.
    pub fn changed_message(&self) -> Option<u32> {
        self.message_if(|tag| {
            matches!(tag, tag::ATTEMPT_STARTED | tag::ATTEMPT_ENDED | tag::ABANDONED | tag::COMPLETED)
        })
    }

    /// Whether this frame is a [`LogEntry::Floor`].
    pub fn is_floor(&self) -> bool {
        self.body.first() == Some(&tag::FLOOR)
    }

    /// Decodes the body; `None` if it is of a kind that this version does not know.
    pub fn read(&self) -> Option<LogEntry> {
        let mut fields = FieldReader::new(self.body);
        let entry = fields.log_entry()?;
        fields.is_empty().then_some(entry)
    }

    /// The message number after the tag, if `wanted` returns true for the tag.
    fn message_if(&self, wanted: impl Fn(u8) -> bool) -> Option<u32> {
        let (tag, fields) = self.body.split_first()?;
        if wanted(*tag) { FieldReader::new(fields).u32() } else { None }
    }
}

/// The intact frame at an offset, if there is one.
pub fn frame_at(segment: u64, bytes: &[u8], offset: usize) -> Option<Frame<'_>> {
    let mut fields = FieldReader::new(bytes.get(offset..)?);
    let length = fields.u32()? as usize;
    let expected = fields.u32()?;
    // An empty body is rejected: in a segment whose checksum seed is 0, a run of zeros would otherwise be valid frames.
    if length == 0 || length > MAX_FRAME_BODY {
        return None;
    }
    let body = fields.bytes(length)?;
    (checksum(segment, body) == expected).then_some(Frame { offset, body })
}

/// Where a batch starts in a segment, and what its [`LogEntry::BatchStart`] states.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BatchOffset {
    /// Offset of the batch's first frame.
    pub offset: usize,
    /// Frames in the segment before it.
    pub records_before: u32,
    /// Length of the segment that was durable when the batch was written.
    pub durable_bytes: u32,
}

/// The intact batch starts from an offset on, regardless of the bytes between them.
pub fn batch_starts(segment: u64, bytes: &[u8], from: usize) -> impl Iterator<Item = BatchOffset> + '_ {
    // The encoded body length of a batch start. Comparing it first avoids computing a checksum at most offsets.
    const BODY_LENGTH: [u8; 4] = 17u32.to_le_bytes();
    let last = bytes.len().saturating_sub(FRAME_HEADER_SIZE);
    let candidates = (from..last).filter(|offset| bytes[*offset..].starts_with(&BODY_LENGTH));
    candidates.filter_map(move |offset| match frame_at(segment, bytes, offset)?.read()? {
        LogEntry::BatchStart { records_before, durable_bytes, .. } => {
            Some(BatchOffset { offset, records_before, durable_bytes })
        }
        _ => None,
    })
}
