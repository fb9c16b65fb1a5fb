//! What the senders of a fleet tell one another, in notes of 256 bytes at most that may be lost, doubled, held up and put in
//! another order: who is there ([`view`]), what is judged of destinations ([`judgement`]), parts of limits that are lent
//! ([`rights`]), and counts ([`counts`]). Nothing here does I/O or asks a clock; chance comes from a generator that is seeded
//! by whoever makes the state. `docs/shared.md` weighs the ways and states the bounds.
//!
//! All of it is hearsay. It may make a sender more careful at once, and bolder only by a right that was given or by evidence
//! that outranks what it knows itself; the decision module has the last word, in one place.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

pub mod counts;
pub mod judgement;
pub mod links;
pub mod note;
pub mod rights;
mod state;
pub mod view;

pub use judgement::{Belief, FailureKind};
pub use note::Rejected;
pub use state::{DestinationReport, Gossip, Observation};

use serde::{Deserialize, Serialize};

use judgement::{Evidence, Judgement, Number};

/// A point in time or a span, in microseconds on the clock of whoever calls.
pub type Micros = u64;
/// A sender's place among the fleet's.
pub type MemberIndex = u16;
/// Bytes of a note at most.
pub const NOTE_LIMIT: usize = 256;

/// How much is said, and to whom.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// This sender's rank.
    #[serde(rename = "me")]
    pub member: MemberIndex,
    /// This process's run: higher than those before it, as far as is known here. Others raise it where they know better.
    #[serde(rename = "run")]
    pub incarnation: u32,
    /// Senders of the fleet.
    pub senders: MemberIndex,
    /// A note can be sent to all at once.
    pub broadcast: bool,
    /// Bytes that others receive from this sender, for each message that is handed in here; and a second beside.
    #[serde(rename = "bytes")]
    pub byte_budget: (f64, f64),
    /// Parts of limits are lent and borrowed.
    #[serde(rename = "lends")]
    pub quota_transfer: bool,
}

/// From the first news until nothing is said any more.
pub const WARM: Micros = 10_000_000;
/// Between two asks while there is news.
pub const PERIOD: Micros = 500_000;
/// Others that news goes to where it can't go to all.
pub const FAN_OUT: usize = 3;
/// Destinations of which anything is kept.
pub const DESTINATIONS: usize = 4_096;
/// Limits that reports told are kept so long.
pub const LIMITS_FOR: Micros = 30_000_000;
/// A limit is news where it differs by more than this part of what is known.
pub const OTHER_LIMIT: f32 = 0.2;

/// News that is to be told.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Update {
    destination: u16,
    item: Evidence,
    /// Rounds that it is still told in.
    rounds: u8,
}

/// What waits to be told, the dearest first.
#[derive(Clone, Debug, Default)]
struct Outbox {
    news: VecDeque<Update>,
}

impl Outbox {
    /// News at most; the oldest goes.
    const MOST: usize = 256;

    fn tell(&mut self, destination: u16, item: Evidence, rounds: u8) {
        let same = |news: &Update| news.destination == destination && supersedes(&item, &news.item);
        self.news.retain(|news| !same(news));
        self.news.push_back(Update { destination, item, rounds });
        // What is dear goes first: outages and waits, then what ends them, then limits.
        self.news.make_contiguous().sort_by_key(|news| dearness(&news.item));
        self.news.truncate(Self::MOST);
    }
}

/// The lower goes first.
fn dearness(item: &Evidence) -> u8 {
    match item {
        Evidence::Failure(..) | Evidence::Wait(_) => 0,
        Evidence::Cleared(..) => 1,
        Evidence::Limit(_) => 2,
    }
}

/// Whether news makes other news of the same destination pointless.
fn supersedes(new: &Evidence, old: &Evidence) -> bool {
    match (new, old) {
        (Evidence::Failure(a, new), Evidence::Failure(b, old)) => a == b && new.number >= old.number,
        (Evidence::Cleared(a, new, _), Evidence::Cleared(b, old, _)) => a == b && new >= old,
        (Evidence::Cleared(a, new, _), Evidence::Failure(b, old)) => a == b && *new >= old.number,
        (Evidence::Limit(_), Evidence::Limit(_)) => true,
        (Evidence::Wait(new), Evidence::Wait(old)) => new >= old,
        _ => false,
    }
}

/// Bytes that may be said: so many a second and for each message, and some at a time.
#[derive(Clone, Debug)]
struct TokenBucket {
    has: f64,
    at: Micros,
    most: f64,
    a_second: f64,
}

impl TokenBucket {
    fn new(law: &Config, now: Micros) -> Self {
        // Enough for a note of an outage to all, twice.
        let most = 2.0 * 64.0 * f64::from(law.senders.max(4));
        Self { has: most, at: now, most, a_second: law.byte_budget.1 }
    }

    fn earn(&mut self, bytes: f64) {
        self.has = (self.has + bytes).min(self.most);
    }

    fn turn(&mut self, now: Micros) {
        let seconds = now.saturating_sub(self.at) as f64 / 1e6;
        self.at = now;
        self.earn(seconds * self.a_second);
    }

    /// Pays for what is said in any case, though it has nothing left.
    fn owe(&mut self, bytes: usize) {
        self.has = (self.has - bytes as f64).max(-self.most);
    }

    fn spend(&mut self, bytes: usize) -> bool {
        let enough = self.has >= bytes as f64;
        if enough {
            self.has -= bytes as f64;
        }
        enough
    }
}

/// What is known of all destinations.
#[derive(Clone, Debug, Default)]
struct Judgements {
    judgements: BTreeMap<u16, Judgement>,
    /// Beliefs as they were last told.
    told: BTreeMap<u16, Belief>,
    /// Destinations that may be believed otherwise now.
    touched: BTreeSet<u16>,
}

impl Judgements {
    fn join(&mut self, destination: u16, item: Evidence) -> bool {
        if self.judgements.len() >= DESTINATIONS && !self.judgements.contains_key(&destination) {
            return false;
        }
        let changed = self.judgements.entry(destination).or_default().join(item);
        if changed {
            self.touched.insert(destination);
        }
        changed
    }

    fn digest(&self, now: Micros) -> u32 {
        let mut hasher = crc32fast::Hasher::new();
        for (destination, judgement) in &self.judgements {
            let digest = judgement.digest(now);
            if digest != 0 {
                hasher.update(&destination.to_le_bytes());
                hasher.update(&digest.to_le_bytes());
            }
        }
        hasher.finalize()
    }

    fn belief(&self, destination: u16, now: Micros) -> Belief {
        self.judgements.get(&destination).map(|j| j.belief(now)).unwrap_or_default()
    }
}

/// Numbers this sender's evidence: by its run, and within it in order.
fn number(run: u32, count: u32) -> Number {
    Number::from(run) << 32 | Number::from(count)
}
