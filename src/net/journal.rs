//! What the sender has taken on, in a file that outlasts the process: appended in turns, read back at the
//! start, and rewritten when it has grown. Each record is framed by its length and checksum.

use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use bytes::Bytes;
use myrtleyard::interface::Micros;
use serde::{Deserialize, Serialize};

/// One thing that happened to a message. Times are Unix microseconds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// The sender owes the message its end from now on.
    Taken(u32, Taken),
    /// An attempt is about to begin.
    Begun {
        /// The message.
        message: u32,
        /// The endpoint's name.
        endpoint: String,
        /// When.
        at: Micros,
    },
    /// An attempt ended, and the message goes on.
    Ended {
        /// The message.
        message: u32,
        /// The attempt's number, from 0.
        attempt: u16,
        /// Whether it is known not to have run.
        never_ran: bool,
    },
    /// The module gave the message up; the platform is still to be told.
    GivenUp(u32, GivenUp),
    /// Nothing more is owed.
    Over(u32),
}

/// A message as it was handed in.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Taken {
    /// Its `Req-Id`.
    pub id: String,
    /// Its `Idempotency-Key`.
    pub key: Option<String>,
    /// Its class, by name.
    pub class: String,
    /// Its destination.
    pub destination: u16,
    /// When its time is up.
    pub deadline: Micros,
    /// Its body.
    pub body: Bytes,
}

/// An end that is owed to the platform.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub enum GivenUp {
    /// Refused, with advice on when to return, in microseconds.
    Deferred(Micros),
    /// Failed.
    Undeliverable,
}

/// An attempt as far as it is known.
#[derive(Debug, Clone, PartialEq)]
pub struct Attempt {
    /// The endpoint's name.
    pub endpoint: String,
    /// When it began.
    pub at: Micros,
    /// Whether it is known not to have run.
    pub never_ran: bool,
}

/// A message that is owed its end.
#[derive(Debug, Clone, PartialEq)]
pub struct Live {
    /// As it was handed in.
    pub taken: Taken,
    /// Its attempts, in order.
    pub attempts: Vec<Attempt>,
    /// Its end, where only the notice is still owed.
    pub given_up: Option<GivenUp>,
}

/// What a message's later records take at most: its attempts, their ends and its own.
const LATER_RECORDS: u64 = 640;
/// A frame's length and checksum.
const FRAME: usize = 8;

/// The journal and the state that it holds.
#[derive(Debug)]
pub struct Journal {
    path: PathBuf,
    file: File,
    length: u64,
    limit: u64,
    live: BTreeMap<u32, Live>,
    /// Bytes that the live messages may come to need when written anew.
    reserved: u64,
    /// The file may end in a torn record that could not be cut off.
    torn: bool,
}

fn frame(record: &Record, into: &mut Vec<u8>) -> io::Result<()> {
    let bytes = postcard::to_allocvec(record).map_err(io::Error::other)?;
    into.extend((bytes.len() as u32).to_le_bytes());
    into.extend(crc32fast::hash(&bytes).to_le_bytes());
    into.extend(bytes);
    Ok(())
}

fn u32_at(bytes: &[u8], at: usize) -> Option<u32> {
    Some(u32::from_le_bytes(bytes.get(at..at + 4)?.try_into().ok()?))
}

/// The record at the start, and what it takes up.
fn unframe(bytes: &[u8]) -> Option<(Record, usize)> {
    let end = (u32_at(bytes, 0)? as usize).checked_add(FRAME)?;
    let body = bytes.get(FRAME..end)?;
    let intact = crc32fast::hash(body) == u32_at(bytes, 4)?;
    Some((postcard::from_bytes(body).ok().filter(|_| intact)?, end))
}

fn need(taken: &Taken) -> u64 {
    (taken.body.len() + taken.id.len() + taken.class.len() + taken.key.as_ref().map_or(0, String::len)) as u64
        + LATER_RECORDS
}

impl Journal {
    /// Opens the journal in a folder whose files may come to `limit` bytes, and reads what is in it.
    ///
    /// # Errors
    /// Fails when the folder cannot be read or written.
    pub fn open(folder: &Path, limit: u64) -> io::Result<Self> {
        fs::create_dir_all(folder)?;
        // What an earlier compaction did not get to the end with counts on the disk and for nothing else.
        let _ = fs::remove_file(folder.join("journal.new"));
        let path = folder.join("journal");
        let text = match fs::read(&path) {
            Ok(text) => text,
            Err(e) if e.kind() == io::ErrorKind::NotFound => Vec::new(),
            Err(e) => return Err(e),
        };
        let file = OpenOptions::new().create(true).append(true).open(&path)?;
        let mut journal =
            Self { path, file, length: 0, limit, live: BTreeMap::new(), reserved: 0, torn: false };
        let mut at = 0;
        while let Some((record, size)) = text.get(at..).and_then(unframe) {
            journal.apply(record);
            at += size;
        }
        // A process that was killed may have left its last record torn: the next one must not follow it.
        journal.file.set_len(at as u64)?;
        journal.length = at as u64;
        Ok(journal)
    }

    /// The messages that are owed their end, by number.
    pub fn live(&self) -> &BTreeMap<u32, Live> {
        &self.live
    }

    /// Whether a further message can be kept to its end. Old and new file stand side by side while the
    /// journal is rewritten, so that live messages get under half of the room.
    pub fn has_room(&self, taken: &Taken, pending: u64) -> bool {
        self.reserved + pending + need(taken) <= self.limit / 5 * 2
    }

    /// What the message would add to the room that is taken; see [`Journal::has_room`].
    pub fn room_for(taken: &Taken) -> u64 {
        need(taken)
    }

    /// Appends the records of a turn in one write.
    ///
    /// # Errors
    /// Fails when they could not be written; then none of them counts.
    pub fn append(&mut self, records: &[Record]) -> io::Result<()> {
        if records.is_empty() {
            return Ok(());
        }
        let mut bytes = Vec::new();
        for record in records {
            frame(record, &mut bytes)?;
        }
        if self.torn || self.length + bytes.len() as u64 > self.limit / 20 * 11 {
            self.compact()?;
        }
        if let Err(e) = self.file.write_all(&bytes) {
            self.torn = self.file.set_len(self.length).is_err();
            return Err(e);
        }
        self.length += bytes.len() as u64;
        for record in records {
            self.apply(record.clone());
        }
        Ok(())
    }

    fn apply(&mut self, record: Record) {
        match record {
            Record::Taken(message, taken) => {
                self.reserved += need(&taken);
                self.live.insert(message, Live { taken, attempts: Vec::new(), given_up: None });
            }
            Record::Begun { message, endpoint, at } => {
                if let Some(live) = self.live.get_mut(&message) {
                    live.attempts.push(Attempt { endpoint, at, never_ran: false });
                }
            }
            Record::Ended { message, attempt, never_ran } => {
                let live = self.live.get_mut(&message);
                if let Some(attempt) = live.and_then(|l| l.attempts.get_mut(usize::from(attempt))) {
                    attempt.never_ran = never_ran;
                }
            }
            Record::GivenUp(message, how) => {
                if let Some(live) = self.live.get_mut(&message) {
                    live.given_up = Some(how);
                }
            }
            Record::Over(message) => {
                if let Some(live) = self.live.remove(&message) {
                    self.reserved -= need(&live.taken);
                }
            }
        }
    }

    /// Writes what is live to a new file, which then takes the old one's place.
    fn compact(&mut self) -> io::Result<()> {
        let mut bytes = Vec::new();
        for (message, live) in &self.live {
            frame(&Record::Taken(*message, live.taken.clone()), &mut bytes)?;
            for (number, attempt) in live.attempts.iter().enumerate() {
                let (message, endpoint) = (*message, attempt.endpoint.clone());
                frame(&Record::Begun { message, endpoint, at: attempt.at }, &mut bytes)?;
                if attempt.never_ran {
                    let attempt = number as u16;
                    frame(&Record::Ended { message, attempt, never_ran: true }, &mut bytes)?;
                }
            }
            if let Some(how) = live.given_up {
                frame(&Record::GivenUp(*message, how), &mut bytes)?;
            }
        }
        let new = self.path.with_extension("new");
        let _ = fs::remove_file(&new);
        let mut file = OpenOptions::new().append(true).create_new(true).open(&new)?;
        if let Err(e) = file.write_all(&bytes).and_then(|()| fs::rename(&new, &self.path)) {
            let _ = fs::remove_file(&new);
            return Err(e);
        }
        (self.file, self.length, self.torn) = (file, bytes.len() as u64, false);
        Ok(())
    }
}
