//! Decodes the fields of headers and frame bodies.

use std::sync::Arc;

use bytes::Bytes;

use super::{LogEntry, abandonment_tag, tag};
use crate::record::{Abandonment, AcceptedMessage, Attempt, LedgerEntry, PendingMessage, Record};

/// A cursor over encoded fields. Every method returns `None` if the bytes end early or hold no value of its type.
pub(super) struct FieldReader<'a>(&'a [u8]);

impl<'a> FieldReader<'a> {
    pub(super) fn new(bytes: &'a [u8]) -> Self {
        Self(bytes)
    }

    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub(super) fn bytes(&mut self, count: usize) -> Option<&'a [u8]> {
        let (bytes, rest) = self.0.split_at_checked(count)?;
        self.0 = rest;
        Some(bytes)
    }

    fn array<const N: usize>(&mut self) -> Option<[u8; N]> {
        self.bytes(N)?.try_into().ok()
    }

    pub(super) fn u8(&mut self) -> Option<u8> {
        Some(self.array::<1>()?[0])
    }

    pub(super) fn u16(&mut self) -> Option<u16> {
        self.array().map(u16::from_le_bytes)
    }

    pub(super) fn u32(&mut self) -> Option<u32> {
        self.array().map(u32::from_le_bytes)
    }

    pub(super) fn u64(&mut self) -> Option<u64> {
        self.array().map(u64::from_le_bytes)
    }

    fn flag(&mut self) -> Option<bool> {
        match self.u8()? {
            0 => Some(false),
            1 => Some(true),
            _ => None,
        }
    }

    fn text(&mut self) -> Option<&'a str> {
        let length = self.u16()?;
        std::str::from_utf8(self.bytes(length.into())?).ok()
    }

    fn accepted_message(&mut self) -> Option<Arc<AcceptedMessage>> {
        let deadline = self.u64()?;
        let destination = self.u16()?;
        let has_key = self.flag()?;
        let id = self.text()?.to_owned();
        let key = self.text()?;
        let class = self.text()?.into();
        let body_length = self.u32()?;
        let body = Bytes::copy_from_slice(self.bytes(body_length as usize)?);
        let key = has_key.then(|| key.to_owned());
        Some(Arc::new(AcceptedMessage { id, key, class, destination, deadline, body }))
    }

    fn abandonment(&mut self) -> Option<Abandonment> {
        let kind = self.u8()?;
        let retry_after = self.u64()?;
        match kind {
            abandonment_tag::DEFERRED => Some(Abandonment::Deferred(retry_after)),
            abandonment_tag::UNDELIVERABLE => Some(Abandonment::Undeliverable),
            _ => None,
        }
    }

    fn attempt_started(&mut self) -> Option<Record> {
        let message = self.u32()?;
        let attempt = self.u16()?;
        let at = self.u64()?;
        let endpoint = self.text()?.into();
        Some(Record::AttemptStarted { message, attempt, endpoint, at })
    }

    fn attempt_ended(&mut self) -> Option<Record> {
        let message = self.u32()?;
        let attempt = self.u16()?;
        let never_ran = self.flag()?;
        Some(Record::AttemptEnded { message, attempt, never_ran })
    }

    fn ledger_entry(&mut self) -> Option<LedgerEntry> {
        let delivered = self.flag()?;
        let at = self.u64()?;
        let id = self.text()?.to_owned();
        Some(LedgerEntry { id, delivered, at })
    }

    fn attempt(&mut self) -> Option<Attempt> {
        let number = self.u16()?;
        let at = self.u64()?;
        let never_ran = self.flag()?;
        let endpoint = self.text()?.into();
        Some(Attempt { number, endpoint, at, never_ran })
    }

    fn pending_message(&mut self) -> Option<PendingMessage> {
        let message = self.accepted_message()?;
        let is_abandoned = self.flag()?;
        // Always written, so that the size of a relocated message does not depend on whether it is abandoned.
        let abandonment = self.abandonment()?;
        let mut pending = PendingMessage::new(message, 0);
        pending.abandoned = is_abandoned.then_some(abandonment);
        for _ in 0..self.u16()? {
            pending.attempts.push(self.attempt()?);
        }
        Some(pending)
    }

    /// Decodes the body of a frame up to the end of its last known field.
    pub(super) fn log_entry(&mut self) -> Option<LogEntry> {
        Some(match self.u8()? {
            tag::BATCH_START => LogEntry::BatchStart {
                at: self.u64()?,
                records_before: self.u32()?,
                durable_bytes: self.u32()?,
            },
            tag::ACCEPTED => LogEntry::Record(Record::Accepted(self.u32()?, self.accepted_message()?)),
            tag::ATTEMPT_STARTED => LogEntry::Record(self.attempt_started()?),
            tag::ATTEMPT_ENDED => LogEntry::Record(self.attempt_ended()?),
            tag::ABANDONED => LogEntry::Record(Record::Abandoned(self.u32()?, self.abandonment()?)),
            tag::COMPLETED => LogEntry::Record(Record::Completed(self.u32()?)),
            tag::RELOCATED => LogEntry::Relocated(self.u32()?, self.pending_message()?),
            tag::FLOOR => LogEntry::Floor(self.u64()?),
            tag::LEDGER_ENTRY => LogEntry::Record(Record::LedgerEntry(self.ledger_entry()?)),
            _ => return None,
        })
    }
}
