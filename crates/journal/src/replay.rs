//! Reads the bytes of segments back into a state. No I/O.

use crate::format::{BadHead, Entry, FRAME, Frame, HEAD, Head, frame_at, turns};
use crate::record::{PendingMessage, Record};
use crate::state::{ByNumber, State};

/// A stretch of a segment that was written and can't be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Stretch {
    /// The segment.
    pub sequence: u64,
    /// Where it begins.
    pub from: u64,
    /// Where it ends.
    pub to: u64,
    /// How many records it held, where that can be told.
    pub records: Option<u64>,
}

/// What was found in a segment.
#[derive(Debug, Default)]
pub struct Found {
    /// Bytes of it that can be followed by further ones.
    pub length: u64,
    /// Records up to there, with those that are damaged as far as they can be counted.
    pub records: u32,
    /// Stretches that can't be read.
    pub damaged: Vec<Stretch>,
    /// Bytes of a torn last append.
    pub torn: u64,
    /// Messages that were live when a damaged stretch was met.
    pub suspected: usize,
}

/// Why a segment can't be read at all.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unreadable {
    /// Its head.
    Head(BadHead),
    /// A record at this offset is whole, and of a kind that this program does not know.
    Unknown(u64),
}

/// What ends a segment: only where nothing follows may its last append be torn.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Follows {
    /// Another segment, ahead of which so many records were written.
    Segment(u64),
    /// Nothing, and what was written last stands there in order, up to some byte.
    NothingInOrder,
    /// Nothing, and of what was written last any part may stand there without the others.
    NothingInAnyOrder,
}

/// Reads one segment after another. It keeps its tables, so that they are made once.
#[derive(Default)]
pub struct Replay {
    frames: Vec<(usize, u32)>,
    /// The last end of each message in the segment, by the frame's place.
    ends: ByNumber<usize>,
}

impl Replay {
    /// Takes a segment's records into the state.
    ///
    /// # Errors
    /// Fails when it can't be read at all; the state is then as it was, or holds what came before.
    pub fn segment(
        &mut self,
        bytes: &[u8],
        follows: Follows,
        state: &mut State,
    ) -> Result<Found, Unreadable> {
        let head = Head::read(bytes).map_err(Unreadable::Head)?;
        let segment = head.sequence;
        state.latest = state.latest.max(head.began);
        let mut found = Found { length: HEAD as u64, ..Found::default() };
        let mut at = HEAD;
        loop {
            at = self.stretch(segment, bytes, at, state, &mut found)?;
            found.length = at as u64;
            if at == bytes.len() {
                break;
            }
            let next = turns(segment, bytes, at + 1).next();
            // What was sure to be there once a later append began is not torn but damaged.
            let was_sure = turns(segment, bytes, at + 1).any(|turn| turn.sure as usize > at);
            let torn = match follows {
                Follows::Segment(_) => false,
                Follows::NothingInOrder => !was_sure && cut_short(&bytes[at..]),
                Follows::NothingInAnyOrder => !was_sure,
            };
            if torn {
                found.torn = (bytes.len() - at) as u64;
                return Ok(found);
            }
            let Some(next) = next else {
                let ahead = match follows {
                    Follows::Segment(ahead) => ahead.checked_sub(head.records + u64::from(found.records)),
                    _ => None,
                };
                found.damage(segment, at, bytes.len(), ahead, state);
                found.length = bytes.len() as u64;
                return Ok(found);
            };
            let lost = next.records.checked_sub(found.records).map(u64::from);
            found.damage(segment, at, next.offset, lost, state);
            found.records = found.records.max(next.records);
            at = next.offset;
        }
        if let Follows::Segment(ahead) = follows
            && let Some(missing) =
                ahead.checked_sub(head.records + u64::from(found.records)).filter(|n| *n > 0)
        {
            // Its end is missing, cut off between two records.
            found.damage(segment, bytes.len(), bytes.len(), Some(missing), state);
        }
        Ok(found)
    }

    /// Reads frames up to one that can't be read, or the end, and tells where that is.
    fn stretch(
        &mut self,
        segment: u64,
        bytes: &[u8],
        from: usize,
        state: &mut State,
        found: &mut Found,
    ) -> Result<usize, Unreadable> {
        // First the ends: what was taken on and is over in the same stretch need not be read.
        self.frames.clear();
        self.ends.clear();
        let mut at = from;
        while let Some(frame) = frame_at(segment, bytes, at) {
            if let Some(message) = frame.ends() {
                self.ends.insert(message, self.frames.len());
            }
            self.frames.push((at, (frame.end() - at - FRAME) as u32));
            at = frame.end();
        }
        for (place, (offset, length)) in self.frames.iter().enumerate() {
            let frame = Frame::again(bytes, *offset, *length as usize);
            found.records += 1;
            let over = |message| self.ends.get(&message).is_some_and(|end| *end > place);
            // A message's number may be used again once it is over: what was live before is over all the same.
            if let Some(message) = frame.brings().filter(|message| over(*message)) {
                state.apply(Record::Completed(message), segment);
                continue;
            }
            if frame.concerns().is_some_and(|message| !state.live().contains_key(&message)) {
                continue;
            }
            match frame.read().ok_or(Unreadable::Unknown(*offset as u64))? {
                Entry::Turn { at, .. } => state.latest = state.latest.max(at),
                Entry::Record(record) => {
                    state.apply(record, segment);
                }
                Entry::Moved(message, live) => state.set(message, PendingMessage { home: segment, ..live }),
                // Told by the newest segment, before any is read.
                Entry::Floor(_) => {}
            }
        }
        Ok(at)
    }
}

impl Found {
    fn damage(&mut self, sequence: u64, from: usize, to: usize, records: Option<u64>, state: &mut State) {
        self.damaged.push(Stretch { sequence, from: from as u64, to: to as u64, records });
        self.suspected += state.suspect();
    }
}

/// Whether the bytes are the beginning of a frame whose rest is missing, as a write leaves them that was cut short.
fn cut_short(bytes: &[u8]) -> bool {
    let Some(length) = bytes.first_chunk() else { return true };
    let length = u32::from_le_bytes(*length) as usize;
    length > 0 && length <= crate::format::BODY_LIMIT && bytes.len() < FRAME + length
}

/// The segment before which nothing counts, as the newest segment tells it.
pub fn floor(bytes: &[u8]) -> Result<u64, BadHead> {
    let head = Head::read(bytes)?;
    let (mut floor, mut at) = (head.floor, HEAD);
    loop {
        while let Some(frame) = frame_at(head.sequence, bytes, at) {
            if let (true, Some(Entry::Floor(told))) = (frame.is_floor(), frame.read()) {
                floor = floor.max(told);
            }
            at = frame.end();
        }
        // What a torn append says behind its tear was acted on by nobody.
        if !turns(head.sequence, bytes, at + 1).any(|turn| turn.sure as usize > at) {
            return Ok(floor);
        }
        let Some(next) = turns(head.sequence, bytes, at + 1).next() else { return Ok(floor) };
        at = next.offset;
    }
}
