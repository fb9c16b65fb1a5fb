//! What becomes of messages that an earlier process accepted and never attempted: each gets a call as long as
//! there is time. Counted here and logged once; nothing is decided.

use std::collections::HashSet;

use decision::interface::{Micros, Settings};

/// Why a message ended without a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum UncalledReason {
    /// It expired.
    Expired,
    /// It was abandoned early: shed, or its destination is not expected back in time.
    Abandoned,
    /// Its class is not in the settings any more.
    UnknownClass,
}

/// Counts of the messages that a restart found unattempted.
#[derive(Debug, Default)]
pub(super) struct RecoveryReport {
    /// A message that is abandoned with no more time than this has expired.
    expiry_margin: Micros,
    unattempted: HashSet<u32>,
    resumed: usize,
    called: usize,
    uncalled: [usize; 3],
    reported: bool,
}

impl RecoveryReport {
    /// A report without any message.
    pub(super) fn new(settings: &Settings) -> Self {
        Self { expiry_margin: settings.rules.answer_slack.max(2 * settings.period), ..Self::default() }
    }

    /// The module abandons one with so much time left.
    pub(super) fn abandoned(&mut self, number: u32, left: Micros) {
        self.completed(
            number,
            if left <= self.expiry_margin { UncalledReason::Expired } else { UncalledReason::Abandoned },
        );
    }

    /// A message is recovered unattempted.
    pub(super) fn resumed(&mut self, number: u32) {
        self.resumed += 1;
        self.unattempted.insert(number);
    }

    /// A call starts.
    pub(super) fn called(&mut self, number: u32) {
        self.called += usize::from(self.unattempted.remove(&number));
    }

    /// A message ended without a call.
    pub(super) fn completed(&mut self, number: u32, why: UncalledReason) {
        self.uncalled[why as usize] += usize::from(self.unattempted.remove(&number));
    }

    /// The summary, once, when all messages are accounted for.
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
