//! Counts the outcomes of messages that an earlier process accepted and never attempted, and reports them once. Each of
//! them should get a call before its deadline. The report affects no decision.

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

/// Counts of the messages that were unattempted at the restart.
#[derive(Debug, Default)]
pub(super) struct RecoveryReport {
    /// A message that is abandoned with at most this much time left counts as expired.
    expiry_margin: Micros,
    unattempted: HashSet<u32>,
    resumed: usize,
    called: usize,
    uncalled: [usize; 3],
    reported: bool,
}

impl RecoveryReport {
    /// Creates a report without any message.
    pub(super) fn new(settings: &Settings) -> Self {
        Self { expiry_margin: settings.rules.answer_slack.max(2 * settings.period), ..Self::default() }
    }

    /// Records that the decision module abandoned a message with this much time left.
    pub(super) fn abandoned(&mut self, number: u32, remaining: Micros) {
        self.completed(
            number,
            if remaining <= self.expiry_margin { UncalledReason::Expired } else { UncalledReason::Abandoned },
        );
    }

    /// Records that a message was recovered unattempted.
    pub(super) fn resumed(&mut self, number: u32) {
        self.resumed += 1;
        self.unattempted.insert(number);
    }

    /// Records that a call with the message starts.
    pub(super) fn called(&mut self, number: u32) {
        self.called += usize::from(self.unattempted.remove(&number));
    }

    /// Records that a message ended without a call.
    pub(super) fn completed(&mut self, number: u32, reason: UncalledReason) {
        self.uncalled[reason as usize] += usize::from(self.unattempted.remove(&number));
    }

    /// Returns the log line with the counts, once, when all messages are accounted for.
    pub(super) fn take_summary(&mut self) -> Option<String> {
        if self.reported || self.resumed == 0 || !self.unattempted.is_empty() {
            return None;
        }
        self.reported = true;
        let [expired, abandoned, unknown_class] = self.uncalled;
        Some(format!(
            "of {} untried messages of the process before {} were called; without a call ended {} ({expired} out of time, \
             {abandoned} given up, {unknown_class} of an unknown class)",
            self.resumed,
            self.called,
            expired + abandoned + unknown_class,
        ))
    }
}

#[cfg(test)]
mod tests;
