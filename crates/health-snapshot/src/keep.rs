//! What is worth writing, and when. No I/O and no clock.
//!
//! After one whole, what has changed enough is written again, destination by destination: what binds at once, what a next
//! process would pay for soon, the rest now and then. A further whole takes the place of both once the differences have grown
//! to as much; it is written bit by bit, what binds first, while differences go on.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use decision::interface::{Condition, RouteSnapshot};

use crate::{DestinationRecord, Micros};

/// A destination is looked at again no sooner than that, unless it told a wait or the list changed.
pub const LOOK: Micros = 100_000;
/// What a next process would pay for is written within that.
pub const SOON: Micros = 250_000;
/// The rest is.
pub const LATE: Micros = 5_000_000;
/// Destinations that are looked at in a slice at most.
pub const SLICE: usize = 256;
/// A generation is followed by a further one when its differences come to so many times what its whole did, ...
const GROWN: u64 = 2;
/// ... and to so many bytes.
const LEAST: u64 = 16 << 10;

/// How pressing it is to write something.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// It is written so already.
    None,
    /// Now and then.
    Late,
    /// Soon: a next process would pay for it.
    Soon,
    /// At once: a rule hangs on it.
    Now,
}

/// What was last written of a destination, as far as it matters for what is written next.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct Digest {
    /// When it was written.
    at: Micros,
    wait_until: Micros,
    ill: u32,
    failures: u32,
    refused: u32,
    cold: u64,
    short: u64,
    spent: f32,
    limit: f32,
    pace: f32,
    rate: f32,
    answers: f32,
    well_at: Micros,
    listed: u32,
}

fn by_more_than(part: f32, a: f32, b: f32) -> bool {
    (a - b).abs() > part * a.max(b)
}

impl Digest {
    fn of(kept: &DestinationRecord) -> Self {
        let mut digest = Self { at: kept.at, listed: listed(kept), ..Self::default() };
        for (place, (_, learnt)) in kept.routes.iter().enumerate() {
            // Routes apart are few; their order is the same each time, so that sums with weights tell most changes.
            let weight = (place + 1) as f32;
            digest.wait_until = digest.wait_until.max(learnt.wait_until);
            digest.ill +=
                u32::from(learnt.condition == Condition::Failing || learnt.trial.is_some()) << (place % 32);
            digest.failures += learnt.failures.min(1) << (place % 32);
            digest.refused += u32::from(learnt.condition == Condition::Rejecting) << (place % 32);
            digest.cold = digest.cold.wrapping_add(learnt.cold_since.unwrap_or(0));
            digest.short = digest.short.max(learnt.shortage_at.unwrap_or(0));
            digest.spent += weight * learnt.recent_calls.0 as f32;
            digest.limit += weight * learnt.limit as f32;
            digest.pace += weight * learnt.send_rate as f32;
            digest.rate += weight * learnt.success_rate as f32;
            digest.answers += weight * learnt.latency.map_or(0.0, |answers| answers.0) as f32;
            digest.well_at = digest.well_at.max(learnt.last_success_at);
        }
        digest
    }

    /// How pressing it is to write this in the place of what was written.
    fn urgency(&self, written: &Self) -> Urgency {
        let cold = self.ill != 0 || self.cold != 0;
        if self.wait_until > written.wait_until || self.listed != written.listed {
            Urgency::Now
        } else if self.ill != written.ill
            || self.failures != written.failures
            || self.refused != written.refused
            || self.cold != written.cold
            || (cold && self.spent != written.spent)
            || self.short > written.short + SOON
            || by_more_than(0.05, self.limit, written.limit)
        {
            Urgency::Soon
        } else if by_more_than(0.1, self.pace, written.pace)
            || by_more_than(0.25, self.rate, written.rate)
            || by_more_than(0.5, self.answers, written.answers)
            || self.well_at > written.well_at + LATE
        {
            Urgency::Late
        } else {
            Urgency::None
        }
    }

    /// Whether it binds, so that it has its room first.
    fn binds(&self) -> bool {
        self.wait_until > 0 || self.ill != 0 || self.cold != 0
    }
}

/// A number that is another one when anything that the list says of the destination is.
fn listed(kept: &DestinationRecord) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    for listed in &kept.listed {
        for text in [&listed.name, &listed.address, &listed.zone, &listed.kind] {
            hasher.update(text.as_bytes());
            hasher.update(&[0xff]);
        }
        hasher.update(&[listed.status as u8]);
        hasher.update(&listed.weight.to_le_bytes());
    }
    hasher.finalize()
}

/// A whole that is being written: what binds, then the rest.
#[derive(Debug, Default)]
struct Whole {
    /// Those that are still to be looked at, and those that come after them.
    left: VecDeque<u16>,
    rest: Vec<u16>,
    second: bool,
    left_out: u32,
}

/// What is to be done with a destination that was looked at.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Write it.
    Write,
    /// Write it if there is room; it does not bind.
    WriteIfRoom,
    /// Pass it over.
    Pass,
}

/// What was written of each destination, and what is to be written next.
#[derive(Debug, Default)]
pub struct WriteScheduler {
    written: HashMap<u16, Digest>,
    /// When each is to be looked at, and the same the other way round.
    due: BTreeSet<(Micros, u16)>,
    at: HashMap<u16, Micros>,
    /// When each was looked at last, of those that are busy.
    looked: BTreeMap<u16, Micros>,
    /// Those whose listing is to be written before the list's version may be.
    listed: BTreeSet<u16>,
    whole: Option<Whole>,
    /// Bytes of the generation's whole, and of all behind it.
    whole_bytes: u64,
    later_bytes: u64,
}

impl WriteScheduler {
    /// A generation begins, with all of these destinations to be written.
    pub fn begin(&mut self, all: impl IntoIterator<Item = u16>) {
        self.written.clear();
        self.whole = Some(Whole { left: all.into_iter().collect(), ..Whole::default() });
        (self.whole_bytes, self.later_bytes) = (0, 0);
    }

    /// Whether the generation's whole is still being written.
    pub fn is_writing_whole(&self) -> bool {
        self.whole.is_some()
    }

    /// Something may have changed that was learnt of a destination.
    pub fn touched(&mut self, destination: u16, now: Micros) {
        let soonest = self.looked.get(&destination).map_or(now, |at| (at + LOOK).max(now));
        self.look_at(destination, soonest);
    }

    /// It told a wait, or the list says something else of it: it is looked at in the next slice.
    pub fn pressing(&mut self, destination: u16, listed: bool, now: Micros) {
        if listed {
            self.listed.insert(destination);
        }
        self.look_at(destination, now);
    }

    /// Whether all that the list said is written.
    pub fn has_list(&self) -> bool {
        self.listed.is_empty() && self.whole.is_none()
    }

    fn look_at(&mut self, destination: u16, at: Micros) {
        let before = self.at.get(&destination).copied();
        if before.is_some_and(|before| before <= at) {
            return;
        }
        if let Some(before) = before {
            self.due.remove(&(before, destination));
        }
        self.due.insert((at, destination));
        self.at.insert(destination, at);
    }

    /// When something is due; at once while a whole is being written.
    pub fn next_due(&self, now: Micros) -> Option<Micros> {
        if self.whole.is_some() { Some(now) } else { self.due.first().map(|due| due.0) }
    }

    /// The next destination that is to be looked at for what changed there.
    pub fn next(&mut self, now: Micros) -> Option<u16> {
        let (at, destination) = self.due.first().copied().filter(|due| due.0 <= now)?;
        self.due.remove(&(at, destination));
        self.at.remove(&destination);
        Some(destination)
    }

    /// What was due is put off: there is no room in this slice.
    pub fn put_off(&mut self, destination: u16, now: Micros) {
        self.look_at(destination, now);
    }

    /// Looks at a destination that was due. What is not pressing, and was written of late, is looked at again later.
    pub fn judge(&mut self, destination: u16, kept: &DestinationRecord, now: Micros) -> Step {
        self.looked.insert(destination, now);
        // What has not been looked at for long is no busy one's.
        if self.looked.len() > 4 * SLICE {
            self.looked.retain(|_, at| *at + LOOK > now);
        }
        let digest = Digest::of(kept);
        let written = self.written.get(&destination).copied().unwrap_or_default();
        let waits = match digest.urgency(&written) {
            Urgency::None => return Step::Pass,
            Urgency::Now => 0,
            Urgency::Soon => SOON,
            Urgency::Late => LATE,
        };
        if now < written.at + waits {
            self.look_at(destination, written.at + waits);
            return Step::Pass;
        }
        if digest.binds() || waits == 0 { Step::Write } else { Step::WriteIfRoom }
    }

    /// The next destination of the whole, if one is being written and not at its end.
    pub fn next_of_whole(&mut self) -> Option<u16> {
        let whole = self.whole.as_mut()?;
        if whole.left.is_empty() && !std::mem::replace(&mut whole.second, true) {
            whole.left = std::mem::take(&mut whole.rest).into();
        }
        whole.left.pop_front()
    }

    /// What is to be done with a destination of the whole: what binds is written first.
    pub fn judge_of_whole(&mut self, destination: u16, kept: &DestinationRecord) -> Step {
        let Some(whole) = &mut self.whole else { return Step::Pass };
        if Digest::of(kept).binds() {
            return if self.written.contains_key(&destination) { Step::Pass } else { Step::Write };
        }
        if whole.second {
            return if self.written.contains_key(&destination) { Step::Pass } else { Step::WriteIfRoom };
        }
        whole.rest.push(destination);
        Step::Pass
    }

    /// A destination of the whole is put off to the next slice.
    pub fn put_back(&mut self, destination: u16) {
        if let Some(whole) = &mut self.whole {
            whole.left.push_front(destination);
        }
    }

    /// There was no room for it: it is not known to the next process.
    pub fn left_out(&mut self) {
        if let Some(whole) = &mut self.whole {
            whole.left_out += 1;
        }
    }

    /// Whether the whole is at its end, with the destinations that were left out.
    pub fn whole_is_done(&self) -> Option<u32> {
        let whole = self.whole.as_ref()?;
        let done = whole.left.is_empty() && (whole.second || whole.rest.is_empty());
        done.then_some(whole.left_out)
    }

    /// It was written.
    pub fn wrote(&mut self, destination: u16, kept: &DestinationRecord) {
        self.written.insert(destination, Digest::of(kept));
        self.listed.remove(&destination);
    }

    /// Nothing is known of it any more. Tells whether that is to be written.
    pub fn is_gone(&mut self, destination: u16) -> bool {
        self.listed.remove(&destination);
        self.looked.remove(&destination);
        self.written.remove(&destination).is_some()
    }

    /// So many bytes were appended.
    pub fn appended(&mut self, bytes: u64) {
        let counter = if self.whole.is_some() { &mut self.whole_bytes } else { &mut self.later_bytes };
        *counter += bytes;
    }

    /// The whole was written to its end.
    pub fn whole_is_written(&mut self) {
        self.whole = None;
    }

    /// Whether a further generation is to be begun.
    pub fn wants_whole(&self) -> bool {
        self.whole.is_none() && self.later_bytes > (GROWN * self.whole_bytes).max(LEAST)
    }
}

/// What a digest is made of, for tests of what is pressing.
pub fn urgency(before: &DestinationRecord, now: &DestinationRecord) -> Urgency {
    Digest::of(now).urgency(&Digest::of(before))
}

/// Whether anything is known of a route.
pub fn is_known(learnt: &RouteSnapshot) -> bool {
    RouteSnapshot { last_success_at: 0, ..*learnt } != RouteSnapshot::default()
}
