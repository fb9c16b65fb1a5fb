//! What is worth writing, and when. No I/O and no clock.
//!
//! After a baseline, records that have changed enough are written again, destination by destination: restrictions at once, what
//! a restarted process would lose calls without soon, the others now and then. The next generation replaces both once these
//! increments have grown to twice the baseline; its baseline is written in slices, while increments continue.

mod baseline;
mod digest;

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::{DestinationRecord, Micros};
use baseline::Baseline;
use digest::Digest;

pub use digest::Urgency;

/// A destination is examined again after this time, unless a Retry-After or the list makes it urgent.
pub const EXAMINATION_INTERVAL: Micros = 100_000;
/// [`Urgency::Soon`] is written within this time.
pub const SOON: Micros = 250_000;
/// [`Urgency::Late`] is.
pub const LATE: Micros = 5_000_000;
/// Destinations that are examined in one slice at most.
pub const SLICE_DESTINATIONS: usize = 256;
/// The next generation is started when the increments come to so many times the baseline's bytes ...
const INCREMENT_RATIO: u64 = 2;
/// ... and to at least so many bytes.
const MIN_INCREMENT_BYTES: u64 = 16 << 10;
/// Times of the last examination are retained for so many destinations before old ones are dropped.
const MAX_EXAMINED: usize = 4 * SLICE_DESTINATIONS;

/// What is to be done with a destination that was examined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Write it.
    Write,
    /// Write it if there is space; it is not restrictive.
    WriteIfSpace,
    /// Skip it.
    Skip,
}

/// A destination that is to be examined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Scheduled {
    /// The destination.
    pub destination: u16,
    /// It is examined for the baseline rather than for a change.
    pub for_baseline: bool,
}

/// What was written of each destination, and what is to be written next.
#[derive(Debug, Default)]
pub struct WriteScheduler {
    written: HashMap<u16, Digest>,
    /// When each is to be examined, and the same by destination.
    due: BTreeSet<(Micros, u16)>,
    due_at: HashMap<u16, Micros>,
    /// When each was examined last, of those that change often.
    examined: BTreeMap<u16, Micros>,
    /// Destinations whose endpoints are to be written before the list's version may be.
    unlisted: BTreeSet<u16>,
    baseline: Option<Baseline>,
    baseline_bytes: u64,
    increment_bytes: u64,
}

impl WriteScheduler {
    /// Starts a generation, with a baseline of these destinations.
    pub fn begin(&mut self, destinations: impl IntoIterator<Item = u16>) {
        self.written.clear();
        self.baseline = Some(Baseline::new(destinations));
        (self.baseline_bytes, self.increment_bytes) = (0, 0);
    }

    /// The observations of a destination may have changed.
    pub fn mark_changed(&mut self, destination: u16, now: Micros) {
        let examined = self.examined.get(&destination);
        let earliest = examined.map_or(now, |at| (at + EXAMINATION_INTERVAL).max(now));
        self.schedule(destination, earliest);
    }

    /// A Retry-After was received or, if `listed`, the list has changed: the destination is examined in the next slice.
    pub fn mark_urgent(&mut self, destination: u16, listed: bool, now: Micros) {
        if listed {
            self.unlisted.insert(destination);
        }
        self.schedule(destination, now);
    }

    /// Whether all endpoints of the list are written.
    pub fn has_list(&self) -> bool {
        self.unlisted.is_empty() && self.baseline.is_none()
    }

    /// Schedules an examination, unless an earlier one is scheduled.
    fn schedule(&mut self, destination: u16, at: Micros) {
        let before = self.due_at.get(&destination).copied();
        if before.is_some_and(|before| before <= at) {
            return;
        }
        if let Some(before) = before {
            self.due.remove(&(before, destination));
        }
        self.due.insert((at, destination));
        self.due_at.insert(destination, at);
    }

    /// When something is due; at once while a baseline is being written.
    pub fn next_due(&self, now: Micros) -> Option<Micros> {
        if self.baseline.is_some() { Some(now) } else { self.due.first().map(|due| due.0) }
    }

    /// The next destination to examine: what has changed first, then the baseline.
    pub fn next(&mut self, now: Micros) -> Option<Scheduled> {
        if let Some(destination) = self.next_changed(now) {
            return Some(Scheduled { destination, for_baseline: false });
        }
        let destination = self.baseline.as_mut()?.next()?;
        Some(Scheduled { destination, for_baseline: true })
    }

    fn next_changed(&mut self, now: Micros) -> Option<u16> {
        let (at, destination) = self.due.first().copied().filter(|due| due.0 <= now)?;
        self.due.remove(&(at, destination));
        self.due_at.remove(&destination);
        Some(destination)
    }

    /// Examines the record of a scheduled destination.
    pub fn examine(&mut self, scheduled: Scheduled, record: &DestinationRecord, now: Micros) -> Step {
        if scheduled.for_baseline {
            self.examine_for_baseline(scheduled.destination, record)
        } else {
            self.examine_change(scheduled.destination, record, now)
        }
    }

    /// What is not urgent, and was written recently, is examined again later.
    fn examine_change(&mut self, destination: u16, record: &DestinationRecord, now: Micros) -> Step {
        self.examined.insert(destination, now);
        if self.examined.len() > MAX_EXAMINED {
            self.examined.retain(|_, at| *at + EXAMINATION_INTERVAL > now);
        }
        let digest = Digest::of(record);
        let written = self.written.get(&destination).copied().unwrap_or_default();
        let delay = match digest.urgency(&written) {
            Urgency::None => return Step::Skip,
            Urgency::Now => 0,
            Urgency::Soon => SOON,
            Urgency::Late => LATE,
        };
        if now < written.at + delay {
            self.schedule(destination, written.at + delay);
            return Step::Skip;
        }
        if digest.is_restrictive() || delay == 0 { Step::Write } else { Step::WriteIfSpace }
    }

    fn examine_for_baseline(&mut self, destination: u16, record: &DestinationRecord) -> Step {
        let Some(baseline) = &mut self.baseline else { return Step::Skip };
        let is_restrictive = Digest::of(record).is_restrictive();
        if !is_restrictive && !baseline.is_second_pass {
            baseline.defer(destination);
            return Step::Skip;
        }
        match (self.written.contains_key(&destination), is_restrictive) {
            (true, _) => Step::Skip,
            (false, true) => Step::Write,
            (false, false) => Step::WriteIfSpace,
        }
    }

    /// There was no space for a destination of the baseline: a restarted process has no record of it.
    pub fn omit(&mut self) {
        if let Some(baseline) = &mut self.baseline {
            baseline.omitted += 1;
        }
    }

    /// Whether all of the baseline was examined, with the number of omitted destinations.
    pub fn completed_baseline(&self) -> Option<u32> {
        let baseline = self.baseline.as_ref()?;
        baseline.is_complete().then_some(baseline.omitted)
    }

    /// A record was written.
    pub fn mark_written(&mut self, destination: u16, record: &DestinationRecord) {
        self.written.insert(destination, Digest::of(record));
        self.unlisted.remove(&destination);
    }

    /// A destination has no record any more. Returns whether that is to be written.
    pub fn remove(&mut self, destination: u16) -> bool {
        self.unlisted.remove(&destination);
        self.examined.remove(&destination);
        self.written.remove(&destination).is_some()
    }

    /// Bytes were appended.
    pub fn appended(&mut self, bytes: u64) {
        let counter =
            if self.baseline.is_some() { &mut self.baseline_bytes } else { &mut self.increment_bytes };
        *counter += bytes;
    }

    /// The baseline was written completely.
    pub fn baseline_written(&mut self) {
        self.baseline = None;
    }

    /// Whether the next generation is to be started.
    pub fn needs_generation(&self) -> bool {
        let limit = (INCREMENT_RATIO * self.baseline_bytes).max(MIN_INCREMENT_BYTES);
        self.baseline.is_none() && self.increment_bytes > limit
    }
}

/// How urgent it would be to write one record in place of another.
pub fn urgency(before: &DestinationRecord, now: &DestinationRecord) -> Urgency {
    Digest::of(now).urgency(&Digest::of(before))
}
