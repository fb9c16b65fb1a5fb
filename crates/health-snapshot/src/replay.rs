//! Reads generations back. No I/O.
//!
//! What stands later counts, in a generation and from one to the next. Generations before the newest whole one count for
//! nothing. Whatever the bytes are, reading ends, and takes no more memory than a small multiple of theirs.

use std::collections::BTreeMap;
use std::fmt;

use crate::format::{Entry, Head, VERSION, cut_short, frame_at, next_stamp};
use crate::stamp::Timestamp;
use crate::{DestinationRecord, Micros};

/// What was found that should not be so.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReplayFault {
    /// So many bytes of a last write that was not finished: nothing is wrong with that.
    Torn {
        /// The file.
        file: String,
        /// Its last bytes.
        bytes: usize,
    },
    /// A stretch can't be read, and something may be lost.
    Damaged {
        /// The file.
        file: String,
        /// Where it begins.
        at: usize,
    },
    /// Another version wrote it: only waits are understood.
    OtherVersion {
        /// The file.
        file: String,
        /// The format's version.
        version: u16,
    },
    /// It is another sender's, and is used for nothing.
    Foreign {
        /// The file.
        file: String,
        /// Whose it is.
        owner: String,
    },
    /// Its room was given back to the journal, and it could not be written anew since.
    GivenBack,
}

impl ReplayFault {
    /// Whether something that was known may be lost by it.
    pub fn loses(&self) -> bool {
        matches!(self, Self::Damaged { .. } | Self::OtherVersion { .. } | Self::GivenBack)
    }
}

impl fmt::Display for ReplayFault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::Torn { file, bytes } => {
                write!(f, "{file}: {bytes} bytes of a write that was not finished are passed over")
            }
            Self::Damaged { file, at } => {
                write!(f, "{file} is damaged from byte {at} on: every partner begins with one call")
            }
            Self::OtherVersion { file, version } => write!(
                f,
                "{file} has format version {version}, where {VERSION} is known: its waits count, and every partner begins \
                 with one call"
            ),
            Self::Foreign { file, owner } => {
                write!(f, "{file} is another sender's, {owner:?}, and is used for nothing")
            }
            Self::GivenBack => f.write_str(
                "the room for what is known was given back to the journal: every partner begins with one call",
            ),
        }
    }
}

/// All that could be read.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Snapshot {
    /// When something was last written.
    pub stamp: Timestamp,
    /// The list's version that is all here, and when discovery last said that there is nothing newer.
    pub list: Option<(u64, Micros)>,
    /// By destination.
    pub destinations: BTreeMap<u16, DestinationRecord>,
    /// Until when nothing may go, by destination and endpoint.
    pub waits: BTreeMap<(u16, Option<String>), Micros>,
    /// Destinations that had no room.
    pub left_out: u32,
    /// A whole generation was found, or the first one has not come to its end.
    pub found: bool,
    /// What should not be so.
    pub troubles: Vec<ReplayFault>,
}

impl Snapshot {
    /// Whether something that was known may be lost.
    pub fn lost(&self) -> bool {
        self.troubles.iter().any(ReplayFault::loses)
    }

    fn shift(&mut self, by: i64) {
        if by == 0 {
            return;
        }
        let moved = |at: &mut Micros| {
            if *at > 0 {
                *at = at.saturating_add_signed(by).max(1);
            }
        };
        moved(&mut self.stamp.wall);
        self.list.iter_mut().for_each(|list| moved(&mut list.1));
        self.waits.values_mut().for_each(moved);
        for kept in self.destinations.values_mut() {
            moved(&mut kept.at);
            for (_, learnt) in &mut kept.routes {
                let times = [&mut learnt.shortage_at, &mut learnt.unhealthy_since, &mut learnt.cold_since];
                times.into_iter().flatten().for_each(moved);
                learnt.trial.iter_mut().for_each(|trial| moved(&mut trial.0));
                [&mut learnt.last_success_at, &mut learnt.recent_calls.1].into_iter().for_each(moved);
            }
        }
    }

    fn take(&mut self, entry: Entry) {
        match entry {
            Entry::Stamp(stamp) => self.stamp = stamp,
            Entry::Wait { destination, endpoint, until } => {
                let wait = self.waits.entry((destination, endpoint)).or_default();
                *wait = until.max(*wait);
            }
            Entry::Routes { destination, first, routes } => {
                let kept = self.destinations.entry(destination).or_default();
                kept.at = self.stamp.wall;
                if first {
                    kept.routes.clear();
                }
                kept.routes.extend(routes);
            }
            Entry::Listed { destination, first, listed } => {
                let kept = self.destinations.entry(destination).or_default();
                if first {
                    kept.listed.clear();
                }
                kept.listed.extend(listed);
            }
            Entry::List { index, seen } => self.list = Some((index, seen)),
            Entry::Whole { left_out } => self.left_out = left_out,
            // A wait that was told binds all the same.
            Entry::Gone(destination) => drop(self.destinations.remove(&destination)),
            Entry::Unknown => {}
        }
    }
}

/// Reads files that were written one behind the other: names and bytes, in the order of their sequence.
pub fn read(owner: &str, files: &[(String, Vec<u8>)]) -> Snapshot {
    let mut all = Snapshot::default();
    for (file, bytes) in files {
        let Some((head, begin)) = Head::read(bytes) else {
            // Its process ended while it was made.
            all.troubles.push(match bytes.len() < 32 + owner.len() {
                true => ReplayFault::Torn { file: file.clone(), bytes: bytes.len() },
                false => ReplayFault::Damaged { file: file.clone(), at: 0 },
            });
            continue;
        };
        if head.owner != owner {
            all.troubles.push(ReplayFault::Foreign { file: file.clone(), owner: head.owner });
            continue;
        }
        all.shift(head.shift);
        // What an earlier generation said of the list holds only where this one is not whole.
        let before = std::mem::take(&mut all);
        all = generation(file, bytes, &head, begin, before);
    }
    all
}

/// One generation, behind what was known before. Once it is whole nothing before it counts, what it was troubled by included.
fn generation(file: &str, bytes: &[u8], head: &Head, begin: usize, before: Snapshot) -> Snapshot {
    let mut own = Snapshot { found: true, ..Snapshot::default() };
    let mut behind = before;
    let mut whole = false;
    let file = || file.to_owned();
    if head.version != VERSION {
        own.troubles.push(ReplayFault::OtherVersion { file: file(), version: head.version });
    }
    let mut at = begin;
    while at < bytes.len() {
        if let Some(frame) = frame_at(head.sequence, bytes, at) {
            let entry = frame.read(head.version, own.stamp.wall);
            whole |= matches!(entry, Entry::Whole { .. });
            if let (Entry::Gone(destination), false) = (&entry, whole) {
                behind.destinations.remove(destination);
            }
            own.take(entry);
            at = frame.end;
            continue;
        }
        let next = next_stamp(head.sequence, bytes, at + 1);
        // Nobody writes behind a write that failed: a further generation is begun.
        if next.is_none() && cut_short(&bytes[at..]) {
            own.troubles.push(ReplayFault::Torn { file: file(), bytes: bytes.len() - at });
            break;
        }
        own.troubles.push(ReplayFault::Damaged { file: file(), at });
        let Some(next) = next else { break };
        at = next;
    }
    if whole {
        return own;
    }
    for (key, until) in own.waits {
        let wait = behind.waits.entry(key).or_default();
        *wait = until.max(*wait);
    }
    behind.destinations.extend(own.destinations);
    behind.troubles.extend(own.troubles);
    behind.list = own.list.or(behind.list);
    if own.stamp != Timestamp::default() {
        behind.stamp = own.stamp;
    }
    behind.found = true;
    behind
}
