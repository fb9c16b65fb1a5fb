//! The baseline of a generation, while it is being written: restrictive records first, then the others.

use std::collections::VecDeque;

/// Destinations of the baseline that are still to be written.
#[derive(Debug, Default)]
pub(super) struct Baseline {
    /// Destinations that this pass has not reached yet.
    remaining: VecDeque<u16>,
    /// Destinations that the first pass leaves to the second.
    deferred: Vec<u16>,
    pub(super) is_second_pass: bool,
    /// Destinations that there was no space for.
    pub(super) omitted: u32,
}

impl Baseline {
    pub(super) fn new(destinations: impl IntoIterator<Item = u16>) -> Self {
        Self { remaining: destinations.into_iter().collect(), ..Self::default() }
    }

    /// Returns the next destination, if any is left.
    pub(super) fn next(&mut self) -> Option<u16> {
        if self.remaining.is_empty() && !std::mem::replace(&mut self.is_second_pass, true) {
            self.remaining = std::mem::take(&mut self.deferred).into();
        }
        self.remaining.pop_front()
    }

    /// Leaves a destination to the second pass.
    pub(super) fn defer(&mut self, destination: u16) {
        self.deferred.push(destination);
    }

    pub(super) fn is_complete(&self) -> bool {
        self.remaining.is_empty() && (self.is_second_pass || self.deferred.is_empty())
    }
}
