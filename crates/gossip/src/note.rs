//! Notes as bytes: a version, a check, who says it and when by its own clock, then parts, each with its kind and length, so that
//! a kind that is not known is passed over. A note that is damaged, of another version, or contradicts itself is used for
//! nothing. The shape of each part is postcard's.
//!
//! | bytes | what |
//! | --- | --- |
//! | 1 | version, [`VERSION`] |
//! | 4 | CRC-32 of all that follows, little-endian |
//! | 4 | the sender's run |
//! | 4 | when it was sent, milliseconds of the sender's clock, running over |
//! | then, for each part: 1 | its kind |
//! | 1 | its length |
//! | that many | the part |

use serde::{Deserialize, Serialize};

use crate::counts::Count;
use crate::judgement::{Evidence, Failure, FailureKind, Limit, Number};
use crate::view::State;
use crate::{MemberIndex, Micros, NOTE_LIMIT};

/// The version of notes that this package writes and reads.
pub const VERSION: u8 = 1;
const HEAD: usize = 13;
/// Ages are told in steps of so much, rounded down: what is told is never taken for older than it is.
const STEP: Micros = 10_000;
/// Older than this nothing is told.
const OLDEST: Micros = 60_000_000;

/// What a note says.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Part {
    /// Something known of a destination.
    Known(u16, Evidence),
    /// Asks whether the receiver is there, with what the asker knows in a number.
    Ask(u32, u32),
    /// Answers that ask, with what the answerer knows in a number.
    Answer(u32, u32),
    /// Asks the receiver to ask that sender, and to pass on the answer to that ask.
    AskFor(MemberIndex, u32),
    /// A sender's state in one run of it.
    Member(MemberIndex, u32, State),
    /// Asks to be lent units of a destination's limit.
    Borrow(u16, u32, u32),
    /// Lends units as that ask wanted.
    Lend(u32, u32),
    /// The sender's own counts of one destination.
    Counts(u16, Count),
    /// Asks for all that is known.
    Everything,
}

#[derive(Serialize, Deserialize)]
struct BadBytes(u16, MemberIndex, Number, u32, u8, u8);
#[derive(Serialize, Deserialize)]
struct ClearedBytes(u16, MemberIndex, Number, u32);
#[derive(Serialize, Deserialize)]
struct LimitBytes(u16, MemberIndex, Number, u32, f32);
#[derive(Serialize, Deserialize)]
struct WaitBytes(u16, u32);

const KINDS: [FailureKind; 4] =
    [FailureKind::Unreachable, FailureKind::Failing, FailureKind::Silent, FailureKind::Shut];
const STATES: [State; 3] = [State::Alive, State::Suspected, State::Gone];

/// Why a note is used for nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejected {
    /// It is no note of this program's.
    Foreign,
    /// Another version's.
    Version(u8),
    /// Its check is wrong.
    Damaged,
    /// It says what can't be.
    Contradicts,
    /// It was held up on its way.
    Stale,
    /// It comes from nobody that is known.
    Unknown,
}

impl std::fmt::Display for Rejected {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Foreign => {
                f.write_str("it is no note of a sender: is peer_listen another service's address?")
            }
            Self::Version(version) => {
                write!(
                    f,
                    "it is of version {version}, this sender reads {VERSION}: harmless during a release"
                )
            }
            Self::Damaged => f.write_str("it was damaged on its way"),
            Self::Contradicts => f.write_str("it says what can't be"),
            Self::Stale => f.write_str("it was held up for more than a second"),
            Self::Unknown => f.write_str("it comes from a rank that peers does not have"),
        }
    }
}

impl std::error::Error for Rejected {}

fn steps(now: Micros, at: Micros) -> u32 {
    (now.saturating_sub(at) / STEP) as u32
}

/// A note that is being written.
pub struct Writer {
    bytes: Vec<u8>,
    now: Micros,
}

impl Writer {
    /// A note of that run, sent now.
    pub fn new(run: u32, now: Micros) -> Self {
        let mut bytes = vec![VERSION, 0, 0, 0, 0];
        bytes.extend(run.to_le_bytes());
        bytes.extend(((now / 1_000) as u32).to_le_bytes());
        Self { bytes, now }
    }

    /// Adds a part. False where it does not fit any more, and the note is as before; or where it is too old to be told.
    pub fn add(&mut self, part: &Part) -> bool {
        let now = self.now;
        let encoded = match part {
            Part::Known(dest, Evidence::Failure(origin, bad)) if now.saturating_sub(bad.at) < OLDEST => {
                let kind = KINDS.iter().position(|kind| *kind == bad.kind).unwrap_or_default() as u8;
                (
                    1,
                    postcard::to_stdvec(&BadBytes(
                        *dest,
                        *origin,
                        bad.number,
                        steps(now, bad.at),
                        kind,
                        bad.calls,
                    )),
                )
            }
            Part::Known(dest, Evidence::Cleared(origin, number, at)) if now.saturating_sub(*at) < OLDEST => {
                (2, postcard::to_stdvec(&ClearedBytes(*dest, *origin, *number, steps(now, *at))))
            }
            Part::Known(dest, Evidence::Limit(limit)) if now.saturating_sub(limit.at) < OLDEST => {
                let age = steps(now, limit.at);
                (3, postcard::to_stdvec(&LimitBytes(*dest, limit.origin, limit.number, age, limit.rate)))
            }
            // What is left is rounded up.
            Part::Known(dest, Evidence::Wait(until)) if *until > now => {
                (4, postcard::to_stdvec(&WaitBytes(*dest, steps(*until + STEP - 1, now))))
            }
            Part::Known(..) => return false,
            Part::Ask(number, digest) => (5, postcard::to_stdvec(&(number, digest))),
            Part::Answer(number, digest) => (6, postcard::to_stdvec(&(number, digest))),
            Part::AskFor(target, number) => (7, postcard::to_stdvec(&(target, number))),
            Part::Member(rank, run, state) => {
                let state = STATES.iter().position(|s| s == state).unwrap_or_default() as u8;
                (8, postcard::to_stdvec(&(rank, run, state)))
            }
            Part::Borrow(dest, ask, units) => (9, postcard::to_stdvec(&(dest, ask, units))),
            Part::Lend(ask, units) => (10, postcard::to_stdvec(&(ask, units))),
            Part::Counts(dest, count) => (11, postcard::to_stdvec(&(dest, count))),
            Part::Everything => (12, Ok(Vec::new())),
        };
        let (kind, Ok(encoded)) = encoded else { return false };
        if self.bytes.len() + 2 + encoded.len() > NOTE_LIMIT {
            return false;
        }
        self.bytes.extend([kind, encoded.len() as u8]);
        self.bytes.extend(encoded);
        true
    }

    /// Whether nothing was added.
    pub fn is_empty(&self) -> bool {
        self.bytes.len() == HEAD
    }

    /// The note.
    pub fn finish(mut self) -> Vec<u8> {
        let check = crc32fast::hash(&self.bytes[5..]);
        self.bytes[1..5].copy_from_slice(&check.to_le_bytes());
        self.bytes
    }
}

/// A note that came whole.
#[derive(Clone, Debug, PartialEq)]
pub struct Message {
    /// Its sender's run.
    pub run: u32,
    /// When it was sent, by its sender's clock.
    pub sent_ms: u32,
    parts: Vec<(u8, Vec<u8>)>,
}

impl Message {
    /// Reads what holds whatever the parts are.
    ///
    /// # Errors
    /// Fails where it is to be used for nothing.
    pub fn read(bytes: &[u8]) -> Result<Self, Rejected> {
        let Some((head, mut rest)) = bytes.split_at_checked(HEAD) else { return Err(Rejected::Foreign) };
        if bytes.len() > NOTE_LIMIT {
            return Err(Rejected::Foreign);
        }
        let word = |at: usize| u32::from_le_bytes([head[at], head[at + 1], head[at + 2], head[at + 3]]);
        if crc32fast::hash(&bytes[5..]) != word(1) {
            return Err(if head[0] == VERSION { Rejected::Damaged } else { Rejected::Foreign });
        }
        // Checked before its version: a note that is whole and of another is no reason to look for damage.
        if head[0] != VERSION {
            return Err(Rejected::Version(head[0]));
        }
        let mut parts = Vec::new();
        while let [kind, length, more @ ..] = rest {
            let Some((part, more)) = more.split_at_checked(usize::from(*length)) else {
                return Err(Rejected::Contradicts);
            };
            parts.push((*kind, part.to_vec()));
            rest = more;
        }
        if !rest.is_empty() {
            return Err(Rejected::Contradicts);
        }
        Ok(Self { run: word(5), sent_ms: word(9), parts })
    }

    /// What it says, as of now, with ages longer by that much; kinds that are not known are passed over.
    ///
    /// # Errors
    /// Fails where a part says what can't be; then no part of it counts.
    pub fn parts(&self, now: Micros, longer: Micros) -> Result<Vec<Part>, Rejected> {
        let mut parts = Vec::with_capacity(self.parts.len());
        for (kind, bytes) in &self.parts {
            parts.extend(part(*kind, bytes, now, longer).ok_or(Rejected::Contradicts)?);
        }
        Ok(parts)
    }
}

/// One part: none inside where its kind is not known, none at all where it can't be.
fn part(kind: u8, bytes: &[u8], now: Micros, longer: Micros) -> Option<Option<Part>> {
    let at = |age: u32| {
        let age = Micros::from(age) * STEP;
        (age < OLDEST).then(|| now.saturating_sub(age + longer))
    };
    Some(Some(match kind {
        1 => {
            let BadBytes(dest, origin, number, age, kind, calls) = whole(bytes)?;
            let kind = *KINDS.get(usize::from(kind))?;
            if calls == 0 {
                return None;
            }
            Part::Known(dest, Evidence::Failure(origin, Failure { number, at: at(age)?, kind, calls }))
        }
        2 => {
            let ClearedBytes(dest, origin, number, age) = whole(bytes)?;
            Part::Known(dest, Evidence::Cleared(origin, number, at(age)?))
        }
        3 => {
            let LimitBytes(dest, origin, number, age, rate) = whole(bytes)?;
            if !(rate.is_finite() && rate > 0.0) {
                return None;
            }
            Part::Known(dest, Evidence::Limit(Limit { origin, number, at: at(age)?, rate }))
        }
        4 => {
            let WaitBytes(dest, left) = whole(bytes)?;
            let left = Micros::from(left) * STEP;
            if left > OLDEST {
                return None;
            }
            Part::Known(dest, Evidence::Wait(now + left))
        }
        5 => whole(bytes).map(|(number, digest)| Part::Ask(number, digest))?,
        6 => whole(bytes).map(|(number, digest)| Part::Answer(number, digest))?,
        7 => whole(bytes).map(|(target, number)| Part::AskFor(target, number))?,
        8 => {
            let (rank, run, state): (MemberIndex, u32, u8) = whole(bytes)?;
            Part::Member(rank, run, *STATES.get(usize::from(state))?)
        }
        9 => whole(bytes).map(|(dest, ask, units)| Part::Borrow(dest, ask, units))?,
        10 => whole(bytes).map(|(ask, units)| Part::Lend(ask, units))?,
        11 => {
            let (dest, count): (u16, Count) = whole(bytes)?;
            if count.refused.checked_add(count.failed)? > count.calls {
                return None;
            }
            Part::Counts(dest, count)
        }
        12 if bytes.is_empty() => Part::Everything,
        12 => return None,
        _ => return Some(None),
    }))
}

/// Reads a part that ends where its bytes do.
fn whole<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Option<T> {
    postcard::take_from_bytes(bytes).ok().filter(|(_, rest)| rest.is_empty()).map(|(part, _)| part)
}
