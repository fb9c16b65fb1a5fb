//! Decides what is worth writing, and when. No I/O and no clock.
//!
//! After a baseline, records that have changed enough are written again, destination by destination: a longer wait or a changed
//! endpoint at once, other restrictions, without which a restarted process would lose calls, within [`SOON`], the rest within
//! [`LATE`]. The next generation replaces the baseline and these increments once the increments have grown to twice the
//! baseline; its baseline is written in slices, while increments continue.

mod baseline;
mod digest;

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::{DestinationRecord, Micros};
use baseline::Baseline;
use digest::Digest;

pub use digest::Urgency;

/// A destination is examined again after this time, unless a Retry-After or the list makes it urgent.
pub const EXAMINATION_INTERVAL: Micros = 100_000;
/// A change of [`Urgency::Soon`] is written within this time.
pub const SOON: Micros = 250_000;
/// A change of [`Urgency::Late`] is written within this time.
pub const LATE: Micros = 5_000_000;
/// Maximum number of destinations that are examined in one slice.
pub const SLICE_DESTINATIONS: usize = 256;
/// The next generation is started when the increments exceed this many times the baseline's bytes and
/// [`MIN_INCREMENT_BYTES`].
const INCREMENT_RATIO: u64 = 2;
/// Increments below this many bytes never start the next generation.
const MIN_INCREMENT_BYTES: u64 = 16 << 10;
/// Number of destinations whose time of the last examination is retained before old ones are dropped.
const MAX_EXAMINED: usize = 4 * SLICE_DESTINATIONS;

/// The result of an examination.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Write it.
    Write,
    /// Write it if there is enough space; it is not restrictive.
    WriteIfSpace,
    /// Skip it.
    Skip,
}

/// A destination that is to be examined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Scheduled {
    /// The destination.
    pub destination: u16,
    /// Whether it is examined for the baseline rather than for a change.
    pub for_baseline: bool,
}

/// Tracks what was written of each destination, and what is to be written next.
#[derive(Debug, Default)]
pub struct WriteScheduler {
    written: HashMap<u16, Digest>,
    /// When each is to be examined, in order of time; `due_at` is the same by destination.
    due: BTreeSet<(Micros, u16)>,
    due_at: HashMap<u16, Micros>,
    /// When each was examined last, of those that were examined recently.
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

    /// Schedules the examination of a destination whose observations may have changed.
    pub fn mark_changed(&mut self, destination: u16, now: Micros) {
        let examined = self.examined.get(&destination);
        let earliest = examined.map_or(now, |at| (at + EXAMINATION_INTERVAL).max(now));
        self.schedule(destination, earliest);
    }

    /// Schedules a destination for the next slice: a Retry-After was received or, if `listed`, its endpoints have changed.
    pub fn mark_urgent(&mut self, destination: u16, listed: bool, now: Micros) {
        if listed {
            self.unlisted.insert(destination);
        }
        self.schedule(destination, now);
    }

    /// Returns whether all endpoints of the list are written.
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

    /// Returns when the next examination is due; at once while a baseline is being written.
    pub fn next_due(&self, now: Micros) -> Option<Micros> {
        if self.baseline.is_some() { Some(now) } else { self.due.first().map(|due| due.0) }
    }

    /// Returns the next destination to examine: changed ones first, then the baseline.
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

    /// Examines a record for a change. One that is not urgent, and was written recently, is examined again later.
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

    /// Counts a destination of the baseline for which there was no space: a restarted process has no record of it.
    pub fn omit(&mut self) {
        if let Some(baseline) = &mut self.baseline {
            baseline.omitted += 1;
        }
    }

    /// Returns the number of omitted destinations once all of the baseline was examined.
    pub fn completed_baseline(&self) -> Option<u32> {
        let baseline = self.baseline.as_ref()?;
        baseline.is_complete().then_some(baseline.omitted)
    }

    /// Notes that a record was written.
    pub fn mark_written(&mut self, destination: u16, record: &DestinationRecord) {
        self.written.insert(destination, Digest::of(record));
        self.unlisted.remove(&destination);
    }

    /// Removes a destination that has no record any more. Returns whether its removal is to be written.
    pub fn remove(&mut self, destination: u16) -> bool {
        self.unlisted.remove(&destination);
        self.examined.remove(&destination);
        self.written.remove(&destination).is_some()
    }

    /// Adds appended bytes to the size of the baseline or of the increments.
    pub fn appended(&mut self, bytes: u64) {
        let counter =
            if self.baseline.is_some() { &mut self.baseline_bytes } else { &mut self.increment_bytes };
        *counter += bytes;
    }

    /// Notes that the baseline was written completely.
    pub fn baseline_written(&mut self) {
        self.baseline = None;
    }

    /// Returns whether the next generation is to be started.
    pub fn needs_generation(&self) -> bool {
        let limit = (INCREMENT_RATIO * self.baseline_bytes).max(MIN_INCREMENT_BYTES);
        self.baseline.is_none() && self.increment_bytes > limit
    }
}

/// Returns how urgent it would be to write one record in place of another.
pub fn urgency(before: &DestinationRecord, now: &DestinationRecord) -> Urgency {
    Digest::of(now).urgency(&Digest::of(before))
}
