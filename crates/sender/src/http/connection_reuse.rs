//! Which connection may carry another call after an answer, and which bytes on it are a second copy of an earlier answer.
//!
//! An endpoint may write an answer a second time. A copy that arrives before the last byte of the next call is noticed, and
//! the call moves to another connection. A copy that arrives later looks like the answer to that call, whose own answer is
//! then taken for that of the call after it: a message that was processed would be taken for rejected and sent again, one that
//! was rejected for delivered, and a Retry-After would not be read. Four rules prevent this:
//!
//! - A connection is reused after a rest of [`REST`], in which nothing arrived, and only if it is known in what time the endpoint
//!   answers. A copy that follows its answer arrives during the rest, and the connection is closed.
//! - After an answer that proves for any message that it did not run, the connection is closed ([`allows_reuse`]). No copy on
//!   a connection that is reused can therefore prove that.
//! - An answer that equals the one before it, and comes earlier than this endpoint ever answered, is held until more
//!   arrives, which is then the call's own answer ([`CopyFilter`]). If nothing arrives, an answer that the endpoint may have
//!   given over a connection that was open already is read. One that came still earlier proves nothing: the message may have
//!   run, and is not delivered ([`CopyFilter::is_unconfirmed`]).
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
/// A possible copy is held for this part of the time until the deadline at most, so that another attempt has time.
const HOLD_DIVISOR: u32 = 2;
/// Time from the end of an answer until its connection is reused.
pub(super) const REST: Duration = Duration::from_millis(200);
/// A call over a new connection takes at most this many times as long as over one that is open: three round trips of a
/// handshake, and one for the call.
const HANDSHAKE_FACTOR: u32 = 4;
/// Times below this one differ by what else the machines do, and are not compared by [`HANDSHAKE_FACTOR`].
const MIN_COMPARED_TIME: Duration = Duration::from_millis(20);

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
    pub(super) fn filter(&self, criteria: CopyCriteria) -> Option<CopyFilter> {
        let copy = self.latest.as_ref()?.bytes.clone();
        Some(CopyFilter { copy, matched: 0, impossibly_early: false, criteria })
    }
}

/// In what time an endpoint answered calls, as far as the answers were certainly theirs.
#[derive(Debug, Clone, Copy)]
pub(super) struct AnswerTimes {
    shortest: Duration,
    longest: Duration,
}

impl AnswerTimes {
    /// The times as known from one answer.
    pub(super) fn new(time: Duration) -> Self {
        Self { shortest: time, longest: time }
    }

    /// Adds the time of another answer.
    pub(super) fn add(&mut self, time: Duration) {
        self.shortest = self.shortest.min(time);
        self.longest = self.longest.max(time);
    }
}

/// When an answer that equals the one before it may be a copy, and for how long it is then held.
#[derive(Debug, Clone, Copy)]
pub(super) struct CopyCriteria {
    /// The shortest time in which the endpoint answered.
    shortest: Duration,
    /// How long a possible copy is held.
    hold: Duration,
    /// How long it is held if the endpoint can't have answered so early.
    copy_hold: Duration,
}

impl CopyCriteria {
    /// The criteria for a call with so much time until its deadline. A message that must not be sent again has no other chance
    /// than the answer to this call, so that it waits for that until the deadline.
    pub(super) fn new(times: AnswerTimes, until_deadline: Duration, repeatable: bool) -> Self {
        let hold = times.longest.saturating_mul(HOLD_FACTOR).min(until_deadline / HOLD_DIVISOR);
        let copy_hold = if repeatable { hold } else { until_deadline };
        Self { shortest: times.shortest, hold, copy_hold }
    }

    /// Whether an answer after this time comes earlier than the endpoint is known to answer.
    fn is_early(&self, time: Duration) -> bool {
        time < self.shortest
    }

    /// Whether an answer after this time comes earlier than the endpoint can answer, also over a connection that is open.
    fn is_impossibly_early(&self, time: Duration) -> bool {
        self.shortest >= MIN_COMPARED_TIME && time < self.shortest / HANDSHAKE_FACTOR
    }
}

/// What to do with the bytes that have arrived.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Filtered {
    /// They may be part of a copy: nothing is read yet.
    Incomplete,
    /// They are a whole answer that may be a copy. It is held until more arrives, for [`CopyFilter::hold`] at most.
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
    /// A whole answer is held, and the endpoint can't have answered so early.
    impossibly_early: bool,
    criteria: CopyCriteria,
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
        if !self.criteria.is_early(after) && !expected.is_empty() {
            Filtered::Read([self.held(), following].concat())
        } else if following.is_empty() {
            self.impossibly_early = self.criteria.is_impossibly_early(after);
            Filtered::Held
        } else {
            Filtered::Read(following.to_vec())
        }
    }

    /// The bytes that were held back: they are read if nothing follows them, unless they are unconfirmed.
    pub(super) fn held(&self) -> &[u8] {
        &self.copy[..self.matched]
    }

    /// Whether what is held proves nothing if nothing follows it: it came too early to be the call's own answer.
    pub(super) fn is_unconfirmed(&self) -> bool {
        self.impossibly_early
    }

    /// How long a whole answer is held.
    pub(super) fn hold(&self) -> Duration {
        if self.impossibly_early { self.criteria.copy_hold } else { self.criteria.hold }
    }
}

/// Returns whether a connection may be reused after an answer with this status and these outcomes of the messages that the
/// call carried.
pub(super) fn allows_reuse(status: StatusCode, outcomes: &[(Outcome, bool)]) -> bool {
    status == StatusCode::OK && outcomes.iter().all(|(outcome, _)| !outcome.never_ran())
}

#[cfg(test)]
mod tests;
