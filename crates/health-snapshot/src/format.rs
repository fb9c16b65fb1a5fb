//! The bytes of a generation's file. No I/O.
//!
//! All numbers are little-endian. The head, stamps and waits are laid out alike in all versions, so that any version reads
//! the waits of any other; the rest is read by its own version alone.
//!
//! ```text
//! head   magic[8] version:u16 owner_length:u16 sequence:u64 shift:i64 owner[…] crc:u32
//! frame  length:u32 crc:u32 kind:u8 payload[length - 1]     crc over kind and payload, begun with the sequence
//!
//! 1 stamp     wall:u64 boot_id:u128 boot_at:u64             boot_id 0: not looked at
//! 2 wait      destination:u16 until:u64 endpoint[…]         no endpoint: the destination's common route
//! 3 routes    destination and some of what was learnt       postcard
//! 4 listed    destination and some of its endpoints         postcard
//! 5 list      index:u64 seen:u64                            all that was listed up to it stands before
//! 6 whole     left_out:u32                                  earlier generations count for nothing
//! 7 gone      destination:u16                               nothing is known of it any more
//! ```
//!
//! `shift` is what the times of earlier generations are to be moved by, so that all are on this one's clock: its writer found
//! so much of a jump between the two. Every append begins with a stamp.

use decision::interface::{Condition, RouteSnapshot};
use serde::{Deserialize, Serialize};

use crate::stamp::{Boot, Timestamp};
use crate::{ListedEndpoint, Micros};

/// The first bytes of a file.
pub const MAGIC: [u8; 8] = *b"myrtle-k";
/// The version that is written.
pub const VERSION: u16 = 1;
/// Bytes of a frame ahead of its kind.
pub const FRAME: usize = 8;
/// A frame that says it is longer is damaged.
pub const FRAME_LIMIT: usize = 64 << 10;
/// Names and addresses have at most so many bytes; what is longer is not kept.
pub const TEXT_LIMIT: usize = 512;
/// So many routes or endpoints stand in a frame at most.
const CHUNK: usize = 32;
/// Bytes of a head without the owner's name.
const HEAD: usize = 8 + 2 + 2 + 8 + 8 + 4;

const STAMP: u8 = 1;
const WAIT: u8 = 2;
const ROUTES: u8 = 3;
const LISTED: u8 = 4;
const LIST: u8 = 5;
const WHOLE: u8 = 6;
const GONE: u8 = 7;

/// A generation's head.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Head {
    /// The format's version.
    pub version: u16,
    /// Its number, each one more than the one before.
    pub sequence: u64,
    /// What times of earlier generations are to be moved by.
    pub shift: i64,
    /// Whose knowledge it is.
    pub owner: String,
}

impl Head {
    /// The head's bytes.
    pub fn bytes(&self) -> Vec<u8> {
        let mut owner = self.owner.clone();
        while owner.len() > TEXT_LIMIT {
            owner.pop();
        }
        let mut bytes = MAGIC.to_vec();
        bytes.extend_from_slice(&self.version.to_le_bytes());
        bytes.extend_from_slice(&(owner.len() as u16).to_le_bytes());
        bytes.extend_from_slice(&self.sequence.to_le_bytes());
        bytes.extend_from_slice(&self.shift.to_le_bytes());
        bytes.extend_from_slice(owner.as_bytes());
        let crc = crc32fast::hash(&bytes);
        bytes.extend_from_slice(&crc.to_le_bytes());
        bytes
    }

    /// Reads a head, and tells where the frames begin; none where it is cut short or damaged.
    pub fn read(bytes: &[u8]) -> Option<(Self, usize)> {
        let length = usize::from(u16::from_le_bytes(bytes.get(10..12)?.try_into().ok()?));
        let end = HEAD + length;
        let (body, crc) = bytes.get(..end)?.split_at(end - 4);
        let whole = body.starts_with(&MAGIC) && crc == crc32fast::hash(body).to_le_bytes();
        let u64_at = |at: usize| body.get(at..at + 8)?.try_into().ok().map(u64::from_le_bytes);
        let head = Self {
            version: u16::from_le_bytes(body.get(8..10)?.try_into().ok()?),
            sequence: u64_at(12)?,
            shift: u64_at(20)? as i64,
            owner: String::from_utf8(body.get(28..)?.to_vec()).ok()?,
        };
        whole.then_some((head, end))
    }
}

/// What a frame holds.
#[derive(Debug, Clone, PartialEq)]
pub enum Entry {
    /// An append begins.
    Stamp(Timestamp),
    /// Nothing may go there before.
    Wait {
        /// The destination.
        destination: u16,
        /// The endpoint where routes are apart.
        endpoint: Option<String>,
        /// Until then.
        until: Micros,
    },
    /// What was learnt of a destination's routes; the first of such frames takes the place of what stood before.
    Routes {
        /// The destination.
        destination: u16,
        /// Whether it is the first.
        first: bool,
        /// Some of its routes.
        routes: Vec<(Option<String>, RouteSnapshot)>,
    },
    /// What the list said of a destination; the first of such frames takes the place of what stood before.
    Listed {
        /// The destination.
        destination: u16,
        /// Whether it is the first.
        first: bool,
        /// Some of its endpoints.
        listed: Vec<ListedEndpoint>,
    },
    /// All that was listed up to this version stands before.
    List {
        /// The list's version.
        index: u64,
        /// When discovery last said that there is nothing newer.
        seen: Micros,
    },
    /// All that was known stands in this generation.
    Whole {
        /// Destinations that had no room.
        left_out: u32,
    },
    /// Nothing is known of a destination any more.
    Gone(u16),
    /// Of a kind that this version does not know.
    Unknown,
}

/// What is learnt of a route, with times as distances from the frame's stamp: short to write.
#[derive(Serialize, Deserialize)]
struct Route {
    endpoint: Option<String>,
    limit: f32,
    short: Option<i64>,
    pace: f32,
    rate: f32,
    worst: Condition,
    failures: u32,
    ill: Option<i64>,
    cold: Option<i64>,
    well: Option<i64>,
    trial: Option<(i64, Micros)>,
    spent: Option<(f32, i64)>,
    answers: Option<(f32, f32)>,
}

fn distance(at: Micros, base: Micros) -> i64 {
    let far = i128::from(at) - i128::from(base);
    far.clamp(i64::MIN.into(), i64::MAX.into()) as i64
}

fn time(distance: i64, base: Micros) -> Micros {
    base.saturating_add_signed(distance)
}

/// What is no number, or none that can be meant, is not known.
fn figure(figure: f32) -> f64 {
    if figure.is_finite() && figure > 0.0 { f64::from(figure) } else { 0.0 }
}

impl Route {
    fn of(endpoint: &Option<String>, learnt: &RouteSnapshot, base: Micros) -> Self {
        let known = |at: Micros| (at > 0).then(|| distance(at, base));
        Self {
            endpoint: endpoint.clone(),
            limit: learnt.limit as f32,
            short: learnt.shortage_at.map(|at| distance(at, base)),
            pace: learnt.send_rate as f32,
            rate: learnt.success_rate as f32,
            worst: learnt.condition,
            failures: learnt.failures,
            ill: learnt.unhealthy_since.map(|at| distance(at, base)),
            cold: learnt.cold_since.map(|at| distance(at, base)),
            well: known(learnt.last_success_at),
            trial: learnt.trial.map(|(due, reset)| (distance(due, base), reset)),
            spent: (learnt.recent_calls.0 > 0.0)
                .then(|| (learnt.recent_calls.0 as f32, distance(learnt.recent_calls.1, base))),
            answers: learnt.latency.map(|(mean, deviation)| (mean as f32, deviation as f32)),
        }
    }

    fn learnt(self, base: Micros) -> (Option<String>, RouteSnapshot) {
        let at = |distance: Option<i64>| distance.map(|distance| time(distance, base));
        let answers = self.answers.map(|(mean, deviation)| (figure(mean), figure(deviation)));
        let learnt = RouteSnapshot {
            wait_until: 0,
            limit: figure(self.limit),
            shortage_at: at(self.short),
            send_rate: figure(self.pace),
            success_rate: figure(self.rate),
            condition: self.worst,
            failures: self.failures,
            unhealthy_since: at(self.ill),
            cold_since: at(self.cold),
            last_success_at: at(self.well).unwrap_or(0),
            trial: self.trial.map(|(due, reset)| (time(due, base), reset)),
            recent_calls: self.spent.map_or((0.0, 0), |(weight, last)| (figure(weight), time(last, base))),
            latency: answers.filter(|answers| answers.0 > 0.0),
        };
        (self.endpoint, learnt)
    }
}

/// Writes frames of one generation one behind the other.
#[derive(Debug, Default)]
pub struct Writer {
    sequence: u64,
    base: Micros,
    bytes: Vec<u8>,
}

impl Writer {
    /// Begins an append to that generation.
    pub fn begin(&mut self, sequence: u64, stamp: &Timestamp) {
        (self.sequence, self.base) = (sequence, stamp.wall);
        self.bytes.clear();
        let boot = stamp.boot.unwrap_or(Boot { id: 0, at: 0 });
        let (wall, id, at) = (stamp.wall.to_le_bytes(), boot.id.to_le_bytes(), boot.at.to_le_bytes());
        self.frame(STAMP, &[&wall, &id, &at]);
    }

    /// What was written since.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Takes back what was written behind so many bytes.
    pub fn cut(&mut self, length: usize) {
        self.bytes.truncate(length);
    }

    /// Whether something stands behind the stamp.
    pub fn is_empty(&self) -> bool {
        self.bytes.len() <= FRAME + 1 + 32
    }

    fn frame(&mut self, kind: u8, parts: &[&[u8]]) {
        let start = self.bytes.len();
        self.bytes.extend_from_slice(&[0; FRAME]);
        self.bytes.push(kind);
        parts.iter().for_each(|part| self.bytes.extend_from_slice(part));
        let length = self.bytes.len() - start - FRAME;
        if length > FRAME_LIMIT {
            self.bytes.truncate(start);
            return;
        }
        let crc = checksum(self.sequence, &self.bytes[start + FRAME..]);
        self.bytes[start..start + 4].copy_from_slice(&(length as u32).to_le_bytes());
        self.bytes[start + 4..start + FRAME].copy_from_slice(&crc.to_le_bytes());
    }

    fn plain<T: Serialize>(&mut self, kind: u8, value: &T) {
        if let Ok(bytes) = postcard::to_allocvec(value) {
            self.frame(kind, &[&bytes]);
        }
    }

    /// All that is kept of a destination. Waits that run stand apart, in a form that every version reads.
    pub fn destination(
        &mut self,
        destination: u16,
        listed: &[ListedEndpoint],
        routes: &[(Option<String>, RouteSnapshot)],
    ) {
        let fits = |text: &str| text.len() <= TEXT_LIMIT;
        let base = self.base;
        for (endpoint, learnt) in routes.iter().filter(|route| route.1.wait_until > base) {
            let name = endpoint.as_deref().unwrap_or_default();
            if fits(name) {
                let (number, until) = (destination.to_le_bytes(), learnt.wait_until.to_le_bytes());
                self.frame(WAIT, &[&number, &until, name.as_bytes()]);
            }
        }
        let routes: Vec<_> = routes
            .iter()
            .filter(|(endpoint, _)| endpoint.as_deref().is_none_or(fits))
            .map(|(endpoint, learnt)| Route::of(endpoint, learnt, self.base))
            .collect();
        let mut first = true;
        for some in routes.chunks(CHUNK) {
            self.plain(ROUTES, &(destination, std::mem::take(&mut first), some));
        }
        let listed: Vec<_> = listed
            .iter()
            .filter(|l| [&l.name, &l.address, &l.zone, &l.kind].into_iter().all(|text| fits(text)))
            .collect();
        first = true;
        for some in listed.chunks(CHUNK) {
            self.plain(LISTED, &(destination, std::mem::take(&mut first), some));
        }
    }

    /// All that was listed up to this version stands before.
    pub fn list(&mut self, index: u64, seen: Micros) {
        self.frame(LIST, &[&index.to_le_bytes(), &seen.to_le_bytes()]);
    }

    /// All that was known stands in this generation.
    pub fn whole(&mut self, left_out: u32) {
        self.frame(WHOLE, &[&left_out.to_le_bytes()]);
    }

    /// Nothing is known of a destination any more.
    pub fn gone(&mut self, destination: u16) {
        self.frame(GONE, &[&destination.to_le_bytes()]);
    }
}

fn checksum(sequence: u64, body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new_with_initial(sequence as u32);
    hasher.update(body);
    hasher.finalize()
}

/// A frame whose checksum is right.
#[derive(Debug, Clone, Copy)]
pub struct Frame<'a> {
    kind: u8,
    payload: &'a [u8],
    /// Where the next one begins.
    pub end: usize,
}

/// The frame there, if a whole one stands there.
pub fn frame_at(sequence: u64, bytes: &[u8], at: usize) -> Option<Frame<'_>> {
    let length = u32::from_le_bytes(*bytes.get(at..)?.first_chunk()?) as usize;
    if length == 0 || length > FRAME_LIMIT {
        return None;
    }
    let body = bytes.get(at + FRAME..at + FRAME + length)?;
    let crc = bytes.get(at + 4..at + FRAME)?;
    let whole = crc == checksum(sequence, body).to_le_bytes();
    whole.then(|| Frame { kind: body[0], payload: &body[1..], end: at + FRAME + length })
}

/// Where the next stamp stands from there on: what comes behind a stretch that can't be read.
pub fn next_stamp(sequence: u64, bytes: &[u8], from: usize) -> Option<usize> {
    let length = (1u32 + 32).to_le_bytes();
    let mut at = from;
    while let Some(rest) = bytes.get(at..) {
        let found = rest.windows(4).position(|window| window == length)?;
        at += found;
        if frame_at(sequence, bytes, at).is_some_and(|frame| frame.kind == STAMP) {
            return Some(at);
        }
        at += 1;
    }
    None
}

/// Whether what stands there is the beginning of a frame whose rest is missing, as a write leaves it that was cut short.
pub fn cut_short(bytes: &[u8]) -> bool {
    let Some(length) = bytes.first_chunk() else { return true };
    let length = u32::from_le_bytes(*length) as usize;
    length > 0 && length <= FRAME_LIMIT && bytes.len() < FRAME + length
}

impl Frame<'_> {
    /// What it holds, of a generation of that version, behind a stamp of that time.
    pub fn read(&self, version: u16, base: Micros) -> Entry {
        self.known(version, base).unwrap_or(Entry::Unknown)
    }

    fn known(&self, version: u16, base: Micros) -> Option<Entry> {
        let u16_at = |at: usize| self.payload.get(at..at + 2)?.try_into().ok().map(u16::from_le_bytes);
        let u64_at = |at: usize| self.payload.get(at..at + 8)?.try_into().ok().map(u64::from_le_bytes);
        match self.kind {
            STAMP => {
                let id = u128::from_le_bytes(self.payload.get(8..24)?.try_into().ok()?);
                let at = u64_at(24)?;
                let boot = (id != 0).then_some(Boot { id, at });
                Some(Entry::Stamp(Timestamp { wall: u64_at(0)?, boot }))
            }
            WAIT => {
                let name = std::str::from_utf8(self.payload.get(10..)?).ok()?;
                let endpoint = (!name.is_empty()).then(|| name.to_owned());
                Some(Entry::Wait { destination: u16_at(0)?, endpoint, until: u64_at(2)? })
            }
            _ if version != VERSION => None,
            ROUTES => {
                let (destination, first, routes): (_, _, Vec<Route>) =
                    postcard::from_bytes(self.payload).ok()?;
                let routes = routes.into_iter().map(|route| route.learnt(base)).collect();
                Some(Entry::Routes { destination, first, routes })
            }
            LISTED => {
                let (destination, first, listed) = postcard::from_bytes(self.payload).ok()?;
                Some(Entry::Listed { destination, first, listed })
            }
            LIST => Some(Entry::List { index: u64_at(0)?, seen: u64_at(8)? }),
            WHOLE => {
                let left_out = u32::from_le_bytes(self.payload.get(..4)?.try_into().ok()?);
                Some(Entry::Whole { left_out })
            }
            GONE => Some(Entry::Gone(u16_at(0)?)),
            _ => None,
        }
    }
}
