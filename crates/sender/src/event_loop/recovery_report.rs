//! What becomes of messages that an earlier process took on and never tried: they were taken on in order to be delivered, so
//! each gets a call as long as there is time. Counted here, and said once; nothing is decided.

use std::collections::HashSet;

use decision::interface::{Micros, Settings};

/// Why one ended without a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum UncalledReason {
    /// Its time was up.
    Expired,
    /// It made way, or its destination is not expected back within its time.
    Abandoned,
    /// Its class is not one of the settings' any more.
    UnknownClass,
}

/// What the process before left untried.
#[derive(Debug, Default)]
pub(super) struct RecoveryReport {
    /// What is left of a message's time when it has to be answered, at most.
    expiry_margin: Micros,
    unattempted: HashSet<u32>,
    resumed: usize,
    called: usize,
    uncalled: [usize; 3],
    reported: bool,
}

impl RecoveryReport {
    /// None yet.
    pub(super) fn new(settings: &Settings) -> Self {
        Self { expiry_margin: settings.rules.answer_slack.max(2 * settings.period), ..Self::default() }
    }

    /// The module gives one up that has so much time left.
    pub(super) fn abandoned(&mut self, number: u32, left: Micros) {
        self.completed(
            number,
            if left <= self.expiry_margin { UncalledReason::Expired } else { UncalledReason::Abandoned },
        );
    }

    /// One is taken up.
    pub(super) fn resumed(&mut self, number: u32) {
        self.resumed += 1;
        self.unattempted.insert(number);
    }

    /// A call begins.
    pub(super) fn called(&mut self, number: u32) {
        self.called += usize::from(self.unattempted.remove(&number));
    }

    /// One ended.
    pub(super) fn completed(&mut self, number: u32, why: UncalledReason) {
        self.uncalled[why as usize] += usize::from(self.unattempted.remove(&number));
    }

    /// What became of them, once, when it is known of all.
    pub(super) fn take_summary(&mut self) -> Option<String> {
        if self.reported || self.resumed == 0 || !self.unattempted.is_empty() {
            return None;
        }
        self.reported = true;
        let [late, given_up, unknown] = self.uncalled;
        Some(format!(
            "of {} untried messages of the process before {} were called; without a call ended {} ({late} out of time, \
             {given_up} given up, {unknown} of an unknown class)",
            self.resumed,
            self.called,
            late + given_up + unknown,
        ))
    }
}

#[cfg(test)]
mod tests;
