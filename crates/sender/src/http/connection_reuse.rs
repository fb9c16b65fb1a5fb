//! Which connection may carry another call after an answer, and which bytes on it are a second copy of an earlier answer.
//!
//! An endpoint may write an answer a second time. A copy that arrives before the last byte of the next call is noticed, and
//! the call moves to another connection. A copy that arrives later looks like the answer to that call, whose own answer is
//! then taken for that of the call after it: a message that was processed would be taken for rejected and sent again, one that
//! was rejected for delivered, and a Retry-After would not be read. Three rules prevent this:
//!
//! - After an answer that proves for any message that it did not run, the connection is closed ([`allows_reuse`]). No copy on
//!   a connection that is reused can therefore prove that.
//! - An answer that equals the one before it, and comes earlier than this endpoint ever answered, is held until more
//!   arrives, which is then the call's own answer ([`CopyFilter`]).
//! - After any other answer that equals the one before it the connection is closed: the call's own answer may still arrive
//!   ([`AnswerHistory`]).
//!
//! No I/O, and no clock.

use std::time::Duration;

use decision::interface::Outcome;
use hyper::StatusCode;

/// Longest answer, in bytes, that is kept for comparison with the next one. After a longer one the connection is closed.
const MAX_COMPARED_BYTES: usize = 16 * 1024;
/// A possible copy is held for this many times the longest time in which the endpoint answered.
const HOLD_FACTOR: u32 = 2;

/// The bytes of an answer, without interim (1xx) responses ahead of it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct AnswerBytes {
    bytes: Vec<u8>,
    /// The answer is longer than [`MAX_COMPARED_BYTES`].
    truncated: bool,
}

impl AnswerBytes {
    /// Adds bytes that have arrived.
    pub(super) fn push(&mut self, bytes: &[u8]) {
        let kept = bytes.len().min(MAX_COMPARED_BYTES - self.bytes.len());
        self.bytes.extend_from_slice(&bytes[..kept]);
        self.truncated |= kept < bytes.len();
    }
}

/// The latest answer on a connection.
#[derive(Debug, Default)]
pub(super) struct AnswerHistory {
    latest: Option<AnswerBytes>,
}

impl AnswerHistory {
    /// Adds a complete answer, and returns whether it may be a copy of the one before it.
    pub(super) fn add(&mut self, answer: AnswerBytes) -> bool {
        let may_be_copy = answer.truncated || self.latest.as_ref() == Some(&answer);
        self.latest = Some(answer);
        may_be_copy
    }

    /// Returns the filter for the answer to the next call; `None` if no answer has arrived yet.
    pub(super) fn filter(&self, times: AnswerTimes) -> Option<CopyFilter> {
        let copy = self.latest.as_ref()?.bytes.clone();
        Some(CopyFilter { copy, matched: 0, times })
    }
}

/// In what time an endpoint answered calls, as far as the answers were certainly theirs.
#[derive(Debug, Clone, Copy)]
pub(super) struct AnswerTimes {
    shortest: Duration,
    longest: Duration,
    max_hold: Duration,
}

impl AnswerTimes {
    /// The times as known from one answer.
    pub(super) fn new(time: Duration) -> Self {
        Self { shortest: time, longest: time, max_hold: Duration::MAX }
    }

    /// The same times, but a possible copy is not held for longer than this.
    pub(super) fn at_most(self, max_hold: Duration) -> Self {
        Self { max_hold, ..self }
    }

    /// Adds the time of another answer.
    pub(super) fn add(&mut self, time: Duration) {
        self.shortest = self.shortest.min(time);
        self.longest = self.longest.max(time);
    }

    /// How long a possible copy is held.
    pub(super) fn hold(&self) -> Duration {
        self.longest.saturating_mul(HOLD_FACTOR).min(self.max_hold)
    }

    /// Whether an answer after this time comes earlier than the endpoint answers.
    fn is_early(&self, time: Duration) -> bool {
        time < self.shortest
    }
}

/// What to do with the bytes that have arrived.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Filtered {
    /// They may be part of a copy: nothing is read yet.
    Incomplete,
    /// They are a whole answer that may be a copy. It is held until more arrives, for [`AnswerTimes::hold`] at most.
    Held,
    /// These bytes are read, and all that follows.
    Read(Vec<u8>),
}

/// Holds back an answer that may be a copy of the one before it, until it is known whether another follows.
#[derive(Debug)]
pub(super) struct CopyFilter {
    /// The answer that may arrive again.
    copy: Vec<u8>,
    /// How many of its bytes have arrived again.
    matched: usize,
    times: AnswerTimes,
}

impl CopyFilter {
    /// Adds bytes that arrived this long after the last byte of the call.
    pub(super) fn arrived(&mut self, bytes: &[u8], after: Duration) -> Filtered {
        let expected = &self.copy[self.matched..];
        let compared = expected.len().min(bytes.len());
        if bytes[..compared] != expected[..compared] {
            return Filtered::Read([self.held(), bytes].concat());
        }
        self.matched += compared;
        if self.matched < self.copy.len() {
            return Filtered::Incomplete;
        }
        let following = &bytes[compared..];
        if !self.times.is_early(after) && !expected.is_empty() {
            Filtered::Read([self.held(), following].concat())
        } else if following.is_empty() {
            Filtered::Held
        } else {
            Filtered::Read(following.to_vec())
        }
    }

    /// The bytes that were held back: they are read if nothing follows them.
    pub(super) fn held(&self) -> &[u8] {
        &self.copy[..self.matched]
    }

    /// How long a whole answer is held.
    pub(super) fn hold(&self) -> Duration {
        self.times.hold()
    }
}

/// Returns whether a connection may be reused after an answer with this status and these outcomes of the messages that the
/// call carried.
pub(super) fn allows_reuse(status: StatusCode, outcomes: &[(Outcome, bool)]) -> bool {
    status == StatusCode::OK && outcomes.iter().all(|(outcome, _)| !outcome.never_ran())
}

#[cfg(test)]
mod tests;
