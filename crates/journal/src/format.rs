//! The bytes of a segment. No I/O.
//!
//! A segment is a head of 48 bytes and frames behind it. All numbers are little-endian.
//!
//! ```text
//! head   magic[8] version:u16 0:u16 sequence:u64 floor:u64 records:u64 began:u64 crc:u32
//! frame  length:u32 crc:u32 body[length]          crc over the body, begun with the segment's sequence
//! body   tag:u8 fields…
//! ```
//!
//! Texts have their length before them as `u16`, message bodies as `u32`. Each append begins with a [`Entry::Turn`],
//! which tells how many records stand in the segment before it: what was lost in a damaged stretch can be counted.

use std::sync::Arc;

use bytes::Bytes;

use crate::record::{Abandonment, AcceptedMessage, Attempt, LedgerEntry, Micros, PendingMessage, Record};

/// The first bytes of a segment.
pub const MAGIC: [u8; 8] = *b"myrtle-j";
/// The version that is written; others are not read.
pub const VERSION: u16 = 2;
/// Bytes of a segment's head.
pub const HEAD: usize = 48;
/// Bytes of a frame ahead of its body.
pub const FRAME: usize = 8;
/// A frame that says it is longer is damaged: a message's body has 64 KiB at most, its head 16 KiB.
pub const BODY_LIMIT: usize = 1 << 18;

/// A segment's head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Head {
    /// Its number; each segment's is one more than that of the one before.
    pub sequence: u64,
    /// Segments before this one count for nothing.
    pub floor: u64,
    /// Records that were ever written before it.
    pub records: u64,
    /// When it was begun.
    pub began: Micros,
}

/// Why a head can't be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BadHead {
    /// There are fewer bytes than a head has: its process ended while it was written.
    Short,
    /// It is no segment, or damaged.
    Spoilt,
    /// It is whole, and of this other version.
    Version(u16),
}

impl Head {
    /// The head's bytes.
    pub fn bytes(&self) -> [u8; HEAD] {
        let mut bytes = [0; HEAD];
        bytes[..8].copy_from_slice(&MAGIC);
        bytes[8..10].copy_from_slice(&VERSION.to_le_bytes());
        for (at, field) in [(12, self.sequence), (20, self.floor), (28, self.records), (36, self.began)] {
            bytes[at..at + 8].copy_from_slice(&field.to_le_bytes());
        }
        let crc = crc32fast::hash(&bytes[..HEAD - 4]);
        bytes[HEAD - 4..].copy_from_slice(&crc.to_le_bytes());
        bytes
    }

    /// Reads a head.
    ///
    /// # Errors
    /// Tells why it can't be one that this program wrote.
    pub fn read(bytes: &[u8]) -> Result<Self, BadHead> {
        let bytes = bytes.get(..HEAD).ok_or(BadHead::Short)?;
        let mut fields = Fields(bytes);
        let whole = (|| {
            let magic = fields.take(8)? == MAGIC;
            let (version, _) = (fields.u16()?, fields.u16()?);
            let (sequence, floor) = (fields.u64()?, fields.u64()?);
            let head = Self { sequence, floor, records: fields.u64()?, began: fields.u64()? };
            (magic && fields.u32()? == crc32fast::hash(&bytes[..HEAD - 4])).then_some((head, version))
        })();
        match whole {
            Some((head, VERSION)) => Ok(head),
            Some((_, version)) => Err(BadHead::Version(version)),
            None => Err(BadHead::Spoilt),
        }
    }
}

/// What a frame holds.
#[derive(Debug, Clone, PartialEq)]
pub enum Entry {
    /// An append begins.
    Turn {
        /// When.
        at: Micros,
        /// Records in the segment before it, turns among them.
        records: u32,
        /// Bytes of the segment that were sure to be there when it was written, whatever may have happened since.
        sure: u32,
    },
    /// Something happened.
    Record(Record),
    /// All that is known of a message, which takes the place of what stands before.
    Moved(u32, PendingMessage),
    /// Segments before this one count for nothing.
    Floor(u64),
}

const TURN: u8 = 1;
const TAKEN: u8 = 2;
const BEGUN: u8 = 3;
const ENDED: u8 = 4;
const GIVEN_UP: u8 = 5;
const OVER: u8 = 6;
const MOVED: u8 = 7;
const FLOOR: u8 = 8;
const REMEMBERED: u8 = 9;

const DEFERRED: u8 = 0;
const UNDELIVERABLE: u8 = 1;

/// Writes frames of one segment one behind the other.
#[derive(Debug, Default)]
pub struct Writer {
    bytes: Vec<u8>,
    records: u32,
}

/// A text or a body is longer than the format has room for; nothing was written of its record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TooLong;

impl Writer {
    /// Nothing yet.
    pub fn clear(&mut self) {
        self.bytes.clear();
        self.records = 0;
    }

    /// What was written.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Frames that were written.
    pub fn records(&self) -> u32 {
        self.records
    }

    #[inline]
    fn frame(&mut self, segment: u64, body: impl FnOnce(&mut Self) -> Option<()>) -> Result<(), TooLong> {
        let start = self.bytes.len();
        self.bytes.extend_from_slice(&[0; FRAME]);
        let whole = body(self).is_some();
        let length = self.bytes.len() - start - FRAME;
        if !whole || length > BODY_LIMIT {
            self.bytes.truncate(start);
            return Err(TooLong);
        }
        let crc = checksum(segment, &self.bytes[start + FRAME..]);
        self.bytes[start..start + 4].copy_from_slice(&(length as u32).to_le_bytes());
        self.bytes[start + 4..start + FRAME].copy_from_slice(&crc.to_le_bytes());
        self.records += 1;
        Ok(())
    }

    fn text(&mut self, text: &str) -> Option<()> {
        self.bytes.extend_from_slice(&u16::try_from(text.len()).ok()?.to_le_bytes());
        self.bytes.extend_from_slice(text.as_bytes());
        Some(())
    }

    fn taken(&mut self, taken: &AcceptedMessage) -> Option<()> {
        self.bytes.extend_from_slice(&taken.deadline.to_le_bytes());
        self.bytes.extend_from_slice(&taken.destination.to_le_bytes());
        self.bytes.push(taken.key.is_some().into());
        self.text(&taken.id)?;
        self.text(taken.key.as_deref().unwrap_or_default())?;
        self.text(&taken.class)?;
        self.bytes.extend_from_slice(&u32::try_from(taken.body.len()).ok()?.to_le_bytes());
        self.bytes.extend_from_slice(&taken.body);
        Some(())
    }

    fn given_up(&mut self, how: Abandonment) {
        let (kind, again) = match how {
            Abandonment::Deferred(again) => (DEFERRED, again),
            Abandonment::Undeliverable => (UNDELIVERABLE, 0),
        };
        self.bytes.push(kind);
        self.bytes.extend_from_slice(&again.to_le_bytes());
    }

    /// Begins an append.
    pub fn turn(&mut self, segment: u64, at: Micros, records: u32, sure: u32) {
        let written = self.frame(segment, |w| {
            w.bytes.push(TURN);
            w.bytes.extend_from_slice(&at.to_le_bytes());
            w.bytes.extend_from_slice(&records.to_le_bytes());
            w.bytes.extend_from_slice(&sure.to_le_bytes());
            Some(())
        });
        debug_assert_eq!(written, Ok(()));
    }

    /// Writes a record.
    ///
    /// # Errors
    /// Fails when it is longer than the format has room for.
    pub fn record(&mut self, segment: u64, record: &Record) -> Result<(), TooLong> {
        self.frame(segment, |w| {
            match record {
                Record::Accepted(message, taken) => {
                    w.bytes.push(TAKEN);
                    w.bytes.extend_from_slice(&message.to_le_bytes());
                    w.taken(taken)?;
                }
                Record::AttemptStarted { message, attempt, endpoint, at } => {
                    w.bytes.push(BEGUN);
                    w.bytes.extend_from_slice(&message.to_le_bytes());
                    w.bytes.extend_from_slice(&attempt.to_le_bytes());
                    w.bytes.extend_from_slice(&at.to_le_bytes());
                    w.text(endpoint)?;
                }
                Record::AttemptEnded { message, attempt, never_ran } => {
                    w.bytes.push(ENDED);
                    w.bytes.extend_from_slice(&message.to_le_bytes());
                    w.bytes.extend_from_slice(&attempt.to_le_bytes());
                    w.bytes.push((*never_ran).into());
                }
                Record::Abandoned(message, how) => {
                    w.bytes.push(GIVEN_UP);
                    w.bytes.extend_from_slice(&message.to_le_bytes());
                    w.given_up(*how);
                }
                Record::Completed(message) => {
                    w.bytes.push(OVER);
                    w.bytes.extend_from_slice(&message.to_le_bytes());
                }
                Record::LedgerEntry(LedgerEntry { id, delivered, at }) => {
                    w.bytes.push(REMEMBERED);
                    w.bytes.push((*delivered).into());
                    w.bytes.extend_from_slice(&at.to_le_bytes());
                    w.text(id)?;
                }
            }
            Some(())
        })
    }

    /// Writes all that is known of a message.
    ///
    /// # Errors
    /// Fails when it is longer than the format has room for.
    pub fn moved(&mut self, segment: u64, message: u32, live: &PendingMessage) -> Result<(), TooLong> {
        self.frame(segment, |w| {
            w.bytes.push(MOVED);
            w.bytes.extend_from_slice(&message.to_le_bytes());
            w.taken(&live.message)?;
            w.bytes.push(live.abandoned.is_some().into());
            w.given_up(live.abandoned.unwrap_or(Abandonment::Undeliverable));
            w.bytes.extend_from_slice(&u16::try_from(live.attempts.len()).ok()?.to_le_bytes());
            for attempt in &live.attempts {
                w.bytes.extend_from_slice(&attempt.number.to_le_bytes());
                w.bytes.extend_from_slice(&attempt.at.to_le_bytes());
                w.bytes.push(attempt.never_ran.into());
                w.text(&attempt.endpoint)?;
            }
            Some(())
        })
    }

    /// Writes that segments before this one count for nothing.
    pub fn floor(&mut self, segment: u64, floor: u64) {
        let written = self.frame(segment, |w| {
            w.bytes.push(FLOOR);
            w.bytes.extend_from_slice(&floor.to_le_bytes());
            Some(())
        });
        debug_assert_eq!(written, Ok(()));
    }
}

fn checksum(segment: u64, body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new_with_initial(segment as u32);
    hasher.update(body);
    hasher.finalize()
}

/// Fields that are read one behind the other.
struct Fields<'a>(&'a [u8]);

impl<'a> Fields<'a> {
    fn take(&mut self, count: usize) -> Option<&'a [u8]> {
        let (taken, rest) = self.0.split_at_checked(count)?;
        self.0 = rest;
        Some(taken)
    }
    fn array<const N: usize>(&mut self) -> Option<[u8; N]> {
        self.take(N)?.try_into().ok()
    }
    fn u8(&mut self) -> Option<u8> {
        Some(self.array::<1>()?[0])
    }
    fn u16(&mut self) -> Option<u16> {
        self.array().map(u16::from_le_bytes)
    }
    fn u32(&mut self) -> Option<u32> {
        self.array().map(u32::from_le_bytes)
    }
    fn u64(&mut self) -> Option<u64> {
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
        std::str::from_utf8(self.take(length.into())?).ok()
    }
    fn taken(&mut self) -> Option<Arc<AcceptedMessage>> {
        let (deadline, destination, keyed) = (self.u64()?, self.u16()?, self.flag()?);
        let (id, key, class) = (self.text()?, self.text()?, self.text()?);
        let length = self.u32()?;
        let body = Bytes::copy_from_slice(self.take(length as usize)?);
        let key = keyed.then(|| key.to_owned());
        Some(Arc::new(AcceptedMessage {
            id: id.to_owned(),
            key,
            class: class.into(),
            destination,
            deadline,
            body,
        }))
    }
    fn given_up(&mut self) -> Option<Abandonment> {
        let (kind, again) = (self.u8()?, self.u64()?);
        match kind {
            DEFERRED => Some(Abandonment::Deferred(again)),
            UNDELIVERABLE => Some(Abandonment::Undeliverable),
            _ => None,
        }
    }
}

/// A frame whose checksum is right, not yet read.
#[derive(Debug, Clone, Copy)]
pub struct Frame<'a> {
    /// Where it begins in the segment.
    pub offset: usize,
    /// Its body.
    body: &'a [u8],
}

impl<'a> Frame<'a> {
    /// A frame that was found before by [`frame_at`], there and with a body of that length.
    pub fn again(bytes: &'a [u8], offset: usize, length: usize) -> Self {
        Self { offset, body: &bytes[offset + FRAME..][..length] }
    }

    /// Where the next one begins.
    pub fn end(&self) -> usize {
        self.offset + FRAME + self.body.len()
    }

    /// The message that is taken on, or all of which is told.
    pub fn brings(&self) -> Option<u32> {
        matches!(self.body.first(), Some(&(TAKEN | MOVED))).then(|| Fields(&self.body[1..]).u32()).flatten()
    }

    /// The message that is over.
    pub fn ends(&self) -> Option<u32> {
        (self.body.first() == Some(&OVER)).then(|| Fields(&self.body[1..]).u32()).flatten()
    }

    /// The message whose life it goes on with.
    pub fn concerns(&self) -> Option<u32> {
        matches!(self.body.first(), Some(&(BEGUN | ENDED | GIVEN_UP | OVER)))
            .then(|| Fields(&self.body[1..]).u32())
            .flatten()
    }

    /// Whether it tells before which segment nothing counts.
    pub fn is_floor(&self) -> bool {
        self.body.first() == Some(&FLOOR)
    }

    /// What it holds; none where that is of a kind that this program does not know.
    pub fn read(&self) -> Option<Entry> {
        let mut fields = Fields(self.body);
        let entry = match fields.u8()? {
            TURN => Entry::Turn { at: fields.u64()?, records: fields.u32()?, sure: fields.u32()? },
            TAKEN => Entry::Record(Record::Accepted(fields.u32()?, fields.taken()?)),
            BEGUN => {
                let (message, attempt, at) = (fields.u32()?, fields.u16()?, fields.u64()?);
                Entry::Record(Record::AttemptStarted {
                    message,
                    attempt,
                    at,
                    endpoint: fields.text()?.into(),
                })
            }
            ENDED => {
                let (message, attempt) = (fields.u32()?, fields.u16()?);
                Entry::Record(Record::AttemptEnded { message, attempt, never_ran: fields.flag()? })
            }
            GIVEN_UP => Entry::Record(Record::Abandoned(fields.u32()?, fields.given_up()?)),
            OVER => Entry::Record(Record::Completed(fields.u32()?)),
            MOVED => {
                let (message, taken) = (fields.u32()?, fields.taken()?);
                let (ended, how) = (fields.flag()?, fields.given_up()?);
                let mut live = PendingMessage::new(taken, 0);
                live.abandoned = ended.then_some(how);
                for _ in 0..fields.u16()? {
                    let (number, at, never_ran) = (fields.u16()?, fields.u64()?, fields.flag()?);
                    live.attempts.push(Attempt { number, at, never_ran, endpoint: fields.text()?.into() });
                }
                Entry::Moved(message, live)
            }
            FLOOR => Entry::Floor(fields.u64()?),
            REMEMBERED => {
                let (delivered, at) = (fields.flag()?, fields.u64()?);
                Entry::Record(Record::LedgerEntry(LedgerEntry {
                    delivered,
                    at,
                    id: fields.text()?.to_owned(),
                }))
            }
            _ => return None,
        };
        fields.0.is_empty().then_some(entry)
    }
}

/// The frame at an offset, if one stands there whole.
pub fn frame_at(segment: u64, bytes: &[u8], offset: usize) -> Option<Frame<'_>> {
    let mut fields = Fields(bytes.get(offset..)?);
    let (length, crc) = (fields.u32()? as usize, fields.u32()?);
    // An empty body would let a stretch of zeros pass for frames where the checksum begins with 0.
    if length == 0 || length > BODY_LIMIT {
        return None;
    }
    let body = fields.take(length)?;
    (checksum(segment, body) == crc).then_some(Frame { offset, body })
}

/// An append of which the whole beginning stands at an offset.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Turn {
    /// The offset.
    pub offset: usize,
    /// Records in the segment before it.
    pub records: u32,
    /// Bytes of the segment that were sure to be there.
    pub sure: u32,
}

/// The appends that begin whole from an offset on, whatever stands between them.
pub fn turns(segment: u64, bytes: &[u8], from: usize) -> impl Iterator<Item = Turn> + '_ {
    // The length of a turn's body is its mark: few offsets need their checksum reckoned.
    const MARK: [u8; 4] = 17u32.to_le_bytes();
    let candidates = (from..bytes.len().saturating_sub(FRAME)).filter(|at| bytes[*at..].starts_with(&MARK));
    candidates.filter_map(move |offset| match frame_at(segment, bytes, offset)?.read()? {
        Entry::Turn { records, sure, .. } => Some(Turn { offset, records, sure }),
        _ => None,
    })
}

/// Bytes that a message takes when all that is known of it is written.
pub fn moved_size(taken: &AcceptedMessage) -> u64 {
    let texts = taken.id.len() + taken.class.len() + taken.key.as_ref().map_or(0, String::len);
    (FRAME + 5 + 11 + 6 + 4 + 10 + 2 + texts + taken.body.len()) as u64
}

#[cfg(test)]
mod tests {
    use super::*;

    fn live() -> PendingMessage {
        let taken = Arc::new(AcceptedMessage {
            id: "id".into(),
            key: Some(String::new()),
            class: "note".into(),
            destination: 7,
            deadline: u64::MAX,
            body: vec![0, 255].into(),
        });
        let mut live = PendingMessage::new(taken, 0);
        live.abandoned = Some(Abandonment::Deferred(9));
        live.attempts = vec![
            Attempt { number: 0, endpoint: "e1".into(), at: 5, never_ran: true },
            Attempt { number: 2, endpoint: "".into(), at: 0, never_ran: false },
        ];
        live
    }

    fn entries() -> Vec<Entry> {
        let live = live();
        let mut bare = live.clone();
        (bare.abandoned, bare.attempts) = (None, vec![]);
        Arc::make_mut(&mut bare.message).key = None;
        vec![
            Entry::Turn { at: 3, records: 4, sure: 5 },
            Entry::Record(Record::Accepted(u32::MAX, live.message.clone())),
            Entry::Record(Record::AttemptStarted { message: 1, attempt: 2, endpoint: "æ".into(), at: 3 }),
            Entry::Record(Record::AttemptEnded { message: 1, attempt: 2, never_ran: true }),
            Entry::Record(Record::Abandoned(1, Abandonment::Undeliverable)),
            Entry::Record(Record::Completed(1)),
            Entry::Record(Record::LedgerEntry(LedgerEntry { id: "x".into(), delivered: true, at: 8 })),
            Entry::Moved(1, live),
            Entry::Moved(2, bare),
            Entry::Floor(9),
        ]
    }

    fn written(segment: u64, entries: &[Entry]) -> Writer {
        let mut writer = Writer::default();
        for entry in entries {
            match entry {
                Entry::Turn { at, records, sure } => writer.turn(segment, *at, *records, *sure),
                Entry::Record(record) => writer.record(segment, record).unwrap(),
                Entry::Moved(message, live) => writer.moved(segment, *message, live).unwrap(),
                Entry::Floor(floor) => writer.floor(segment, *floor),
            }
        }
        writer
    }

    fn read(segment: u64, bytes: &[u8]) -> (Vec<Entry>, usize) {
        let (mut entries, mut at) = (vec![], 0);
        while let Some(frame) = frame_at(segment, bytes, at) {
            entries.push(frame.read().unwrap());
            at = frame.end();
        }
        (entries, at)
    }

    #[test]
    fn what_is_written_is_read_and_belongs_to_its_segment() {
        let writer = written(3, &entries());
        assert_eq!(read(3, writer.bytes()), (entries(), writer.bytes().len()));
        assert_eq!(writer.records() as usize, entries().len());
        assert_eq!(read(4, writer.bytes()).0, [], "the bytes of another segment are no frames of this one");
    }

    #[test]
    fn no_cut_and_no_changed_bit_passes() {
        for entry in entries() {
            let bytes = written(1, std::slice::from_ref(&entry)).bytes().to_vec();
            for end in 0..bytes.len() {
                assert!(frame_at(1, &bytes[..end], 0).is_none());
            }
            for bit in 0..bytes.len() * 8 {
                let mut bad = bytes.clone();
                bad[bit / 8] ^= 1 << (bit % 8);
                assert!(frame_at(1, &bad, 0).is_none(), "bit {bit} of {entry:?}");
            }
        }
        assert!(frame_at(0, &[0; 64], 0).is_none(), "zeros");
    }

    #[test]
    fn heads_are_told_apart() {
        let head = Head { sequence: 5, floor: 3, records: 77, began: 8 };
        let bytes = head.bytes();
        assert_eq!(Head::read(&bytes), Ok(head));
        assert_eq!(Head::read(&bytes[..HEAD - 1]), Err(BadHead::Short));
        for bit in 0..HEAD * 8 {
            let mut bad = bytes;
            bad[bit / 8] ^= 1 << (bit % 8);
            assert_eq!(Head::read(&bad), Err(BadHead::Spoilt), "bit {bit}");
        }
        let mut other = bytes;
        other[8] = 9;
        let crc = crc32fast::hash(&other[..HEAD - 4]);
        other[HEAD - 4..].copy_from_slice(&crc.to_le_bytes());
        assert_eq!(Head::read(&other), Err(BadHead::Version(9)));
    }

    /// Guards against taking damage for a torn end, and the reverse.
    #[test]
    fn appends_behind_a_damaged_stretch_are_found() {
        let first = written(1, &entries()).bytes().to_vec();
        let mut both = first.clone();
        both.extend(written(1, &entries()).bytes());
        let found = |segment, from| turns(segment, &both, from).map(|turn| turn.offset).collect::<Vec<_>>();
        assert_eq!(found(1, 0), [0, first.len()]);
        assert_eq!(found(1, 1), [first.len()]);
        assert_eq!(found(1, first.len() + 1), [], "the rest of one append");
        assert_eq!(found(2, 0), [], "of another segment");
    }

    #[test]
    fn what_has_no_room_in_the_format_is_not_half_written() {
        let mut writer = Writer::default();
        let long =
            Record::AttemptStarted { message: 1, attempt: 0, endpoint: "e".repeat(70_000).into(), at: 0 };
        assert_eq!(writer.record(1, &long), Err(TooLong));
        let mut big = live();
        Arc::make_mut(&mut big.message).body = vec![0; BODY_LIMIT].into();
        assert_eq!(writer.record(1, &Record::Accepted(1, big.message.clone())), Err(TooLong));
        assert_eq!(writer.moved(1, 1, &big), Err(TooLong));
        assert_eq!((writer.bytes().len(), writer.records()), (0, 0));
    }

    #[test]
    fn the_size_of_a_message_without_attempts_is_known_ahead() {
        let mut live = live();
        live.attempts.clear();
        let written = written(1, &[Entry::Moved(1, live.clone())]);
        assert_eq!(written.bytes().len() as u64, moved_size(&live.message));
    }
}
