//! What senders judge of destinations, as a lattice: a state is what all evidence joined comes to, whatever the order it came
//! in, however often, and by whatever way. Nothing here is a clock's: times are the local ones that ages were turned into.
//!
//! - A [`Bad`] is one sender's evidence against a destination, numbered by that sender. The higher number replaces the lower;
//!   of the same number the earlier time counts, which is that of the shortest way here.
//! - A clearance names a sender's evidence up to a number: a call that was *begun* by one who knew of that evidence went well.
//!   So good news outranks bad by what was known, not by what clocks say, and a note that was held up can't outrank what came
//!   after it.
//! - A limit is the newest that a report told; a wait is the longest that runs.

use std::collections::BTreeMap;

use crate::{MemberIndex, Micros};

/// Numbers evidence of one sender: its run in the upper half, a count in the lower. The higher is the newer.
pub type Number = u64;

/// Evidence of so many senders is kept for a destination: as many as it takes to believe it, and one to spare.
pub const KEPT: usize = 4;
/// Weight of evidence from which on a destination is believed to be ill; no single sender has so much.
pub const BELIEVED: u32 = 3;
/// Evidence of a single failure is worth nothing after this time, that of several in a row after [`FADES`].
pub const ONE_FADES: Micros = 3_000_000;
/// No evidence is worth anything after this time: a judgement that nobody renews ends.
pub const FADES: Micros = 10_000_000;

/// What a destination did.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FailureKind {
    /// No connection was made, or it broke.
    Unreachable,
    /// It answered with errors.
    Failing,
    /// It did not answer in time.
    Silent,
    /// It turned calls away, with its limit not used up.
    Shut,
}

/// One sender's evidence against a destination.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failure {
    /// The sender's number of it.
    pub number: Number,
    /// When its last call failed, by the local clock; never earlier than it did.
    pub at: Micros,
    /// How.
    pub kind: FailureKind,
    /// Calls that failed in a row.
    pub calls: u8,
}

impl Failure {
    fn join(self, other: Self) -> Self {
        match self.number.cmp(&other.number) {
            std::cmp::Ordering::Less => other,
            std::cmp::Ordering::Greater => self,
            std::cmp::Ordering::Equal => Self {
                number: self.number,
                at: self.at.min(other.at),
                kind: self.kind.max(other.kind),
                calls: self.calls.max(other.calls),
            },
        }
    }

    fn weight(&self, now: Micros) -> u32 {
        let age = now.saturating_sub(self.at);
        match self.calls {
            _ if age >= FADES => 0,
            2.. => 2,
            _ if age < ONE_FADES => 1,
            _ => 0,
        }
    }
}

/// A limit that a report told.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Whose report, and its number there.
    pub origin: MemberIndex,
    /// That sender's number of it.
    pub number: Number,
    /// When it was told, by the local clock; never earlier than it was.
    pub at: Micros,
    /// Calls a second, of all senders.
    pub rate: f32,
}

impl Limit {
    /// The newer one; of the same one the earlier time.
    fn join(self, other: Self) -> Self {
        let same = (self.origin, self.number) == (other.origin, other.number);
        let order = |limit: &Self| (limit.at, limit.origin, limit.number);
        match same {
            true => Self { at: self.at.min(other.at), rate: self.rate.min(other.rate), ..self },
            false if order(&self) >= order(&other) => self,
            false => other,
        }
    }
}

/// What is known of one destination.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Judgement {
    /// By sender. At most [`KEPT`], the newest.
    bads: BTreeMap<MemberIndex, Failure>,
    /// Evidence of each sender up to that number is outranked; and when that was last said.
    cleared: BTreeMap<MemberIndex, (Number, Micros)>,
    limit: Option<Limit>,
    /// A wait that a sender was told, until then.
    wait_until: Micros,
}

/// What is believed of a destination now.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Belief {
    /// Others hold evidence enough that it is ill: since when the newest of it is.
    pub unhealthy: Option<(Micros, FailureKind)>,
    /// Calls a second of its limit, and when that was told.
    pub limit: Option<(f32, Micros)>,
    /// A wait that another was told.
    pub wait_until: Micros,
}

/// Something that can be joined into what is known: what notes carry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Evidence {
    /// A sender's evidence.
    Failure(MemberIndex, Failure),
    /// A sender's evidence up to that number is outranked, as was said then.
    Cleared(MemberIndex, Number, Micros),
    /// A limit.
    Limit(Limit),
    /// A wait that runs until then.
    Wait(Micros),
}

impl Judgement {
    /// Joins one item. Tells whether anything is different now.
    pub fn join(&mut self, item: Evidence) -> bool {
        match item {
            Evidence::Failure(origin, bad) => self.bad(origin, bad),
            Evidence::Cleared(origin, number, at) => {
                let before = self.cleared.get(&origin).copied();
                let cleared = before.map_or((number, at), |before| match before.0.cmp(&number) {
                    std::cmp::Ordering::Less => (number, at),
                    std::cmp::Ordering::Greater => before,
                    std::cmp::Ordering::Equal => (number, before.1.min(at)),
                });
                self.cleared.insert(origin, cleared);
                // Bounded like evidence, with room for what came ahead of the evidence that it names.
                while self.cleared.len() > 2 * KEPT {
                    let oldest =
                        self.cleared.iter().min_by_key(|(rank, c)| (c.1, **rank)).map(|(rank, _)| *rank);
                    oldest.map(|rank| self.cleared.remove(&rank));
                }
                self.cleared.get(&origin).copied() != before
            }
            Evidence::Limit(limit) => {
                let before = self.limit;
                self.limit = Some(before.map_or(limit, |before| before.join(limit)));
                self.limit != before
            }
            Evidence::Wait(until) => {
                let longer = until > self.wait_until;
                self.wait_until = self.wait_until.max(until);
                longer
            }
        }
    }

    fn bad(&mut self, origin: MemberIndex, bad: Failure) -> bool {
        let before = self.bads.get(&origin).copied();
        self.bads.insert(origin, before.map_or(bad, |before| before.join(bad)));
        while self.bads.len() > KEPT {
            let oldest = self.bads.iter().min_by_key(|(rank, bad)| (bad.at, **rank)).map(|(rank, _)| *rank);
            oldest.map(|rank| self.bads.remove(&rank));
        }
        self.bads.get(&origin).copied() != before
    }

    /// Joins all that another knows.
    pub fn join_all(&mut self, other: &Self) -> bool {
        let items: Vec<_> = other.items().collect();
        items.into_iter().fold(false, |changed, item| self.join(item) | changed)
    }

    /// All that is known, piece by piece; what is outranked goes as its clearance alone.
    pub fn items(&self) -> impl Iterator<Item = Evidence> + '_ {
        let bads = self.bads.iter().map(|(origin, bad)| Evidence::Failure(*origin, *bad));
        let cleared =
            self.cleared.iter().map(|(origin, (number, at))| Evidence::Cleared(*origin, *number, *at));
        let wait = (self.wait_until > 0).then_some(Evidence::Wait(self.wait_until));
        bads.chain(cleared).chain(self.limit.map(Evidence::Limit)).chain(wait)
    }

    /// Evidence that counts: not outranked, not faded, with its weight.
    fn counting(&self, now: Micros) -> impl Iterator<Item = (MemberIndex, &Failure, u32)> {
        let counts = move |(origin, bad): (&MemberIndex, &Failure)| {
            let outranked = self.cleared.get(origin).is_some_and(|cleared| cleared.0 >= bad.number);
            (!outranked && bad.weight(now) > 0).then(|| bad.weight(now))
        };
        self.bads.iter().filter_map(move |entry| Some((*entry.0, entry.1, counts(entry)?)))
    }

    /// What is believed now. Guards the fleet against one sender whose own network is ill: however much it says, its evidence
    /// weighs less than what is believed, so that it takes another's too.
    pub fn belief(&self, now: Micros) -> Belief {
        let weight: u32 = self.counting(now).map(|(_, _, weight)| weight).sum();
        let newest = self.counting(now).map(|(_, bad, _)| (bad.at, bad.kind)).max();
        Belief {
            unhealthy: newest.filter(|_| weight >= BELIEVED),
            limit: self.limit.map(|limit| (limit.rate, limit.at)),
            wait_until: self.wait_until,
        }
    }

    /// What a call that is begun now, by one who knows this, outranks if it goes well.
    pub fn known_bads(&self) -> Vec<(MemberIndex, Number)> {
        self.bads.iter().map(|(origin, bad)| (*origin, bad.number)).collect()
    }

    /// Whether evidence up to these numbers still counts: then it is worth saying that it is outranked.
    pub fn would_clear(&self, known: &[(MemberIndex, Number)], now: Micros) -> bool {
        self.counting(now).any(|(origin, bad, _)| known.iter().any(|k| k.0 == origin && k.1 >= bad.number))
    }

    /// Drops what has faded. True where nothing is left.
    pub fn fade(&mut self, now: Micros, limits_after: Micros) -> bool {
        self.bads.retain(|_, bad| now.saturating_sub(bad.at) < FADES);
        // A clearance outlives what it outranks: held-up evidence must not rise again.
        self.cleared.retain(|_, (_, at)| now.saturating_sub(*at) < 2 * FADES);
        self.limit = self.limit.filter(|limit| now.saturating_sub(limit.at) < limits_after);
        if self.wait_until <= now {
            self.wait_until = 0;
        }
        self.bads.is_empty() && self.cleared.is_empty() && self.limit.is_none() && self.wait_until == 0
    }

    /// When the belief may change by itself.
    pub fn next_change(&self, now: Micros) -> Option<Micros> {
        let fades = self.bads.values().map(|bad| bad.at + if bad.calls > 1 { FADES } else { ONE_FADES });
        fades.chain((self.wait_until > 0).then_some(self.wait_until)).filter(|at| *at > now).min()
    }

    /// A number by which two senders find out whether they believe the same; 0 where there is nothing. Evidence itself is not in
    /// it: which of it is kept, and since when, differs with the way that it took.
    pub fn digest(&self, now: Micros) -> u32 {
        let Belief { unhealthy: ill, limit, wait_until } = self.belief(now);
        let limit = limit.map_or(0, |limit| limit.0.to_bits());
        let flags = u32::from(ill.is_some()) | u32::from(wait_until > now) << 1;
        if flags == 0 && limit == 0 { 0 } else { limit.rotate_left(7) ^ (flags + 1) }
    }
}
