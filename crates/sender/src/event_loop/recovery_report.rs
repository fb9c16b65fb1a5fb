//! What becomes of messages that an earlier process took on and never tried: they were taken on in order to be delivered, so
//! each gets a call as long as there is time. Counted here, and said once; nothing is decided.

use std::collections::HashSet;

use decision::interface::{Micros, Settings};

/// Why one ended without a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Without {
    /// Its time was up.
    Late,
    /// It made way, or its destination is not expected back within its time.
    GivenUp,
    /// Its class is not one of the settings' any more.
    Unknown,
}

/// What the process before left untried.
#[derive(Debug, Default)]
pub(super) struct Untried {
    /// What is left of a message's time when it has to be answered, at most.
    early: Micros,
    waiting: HashSet<u32>,
    resumed: usize,
    called: usize,
    without: [usize; 3],
    said: bool,
}

impl Untried {
    /// None yet.
    pub(super) fn new(settings: &Settings) -> Self {
        Self { early: settings.rules.answer_slack.max(2 * settings.period), ..Self::default() }
    }

    /// The module gives one up that has so much time left.
    pub(super) fn given_up(&mut self, number: u32, left: Micros) {
        self.ended(number, if left <= self.early { Without::Late } else { Without::GivenUp });
    }

    /// One is taken up.
    pub(super) fn resumed(&mut self, number: u32) {
        self.resumed += 1;
        self.waiting.insert(number);
    }

    /// A call begins.
    pub(super) fn called(&mut self, number: u32) {
        self.called += usize::from(self.waiting.remove(&number));
    }

    /// One ended.
    pub(super) fn ended(&mut self, number: u32, why: Without) {
        self.without[why as usize] += usize::from(self.waiting.remove(&number));
    }

    /// What became of them, once, when it is known of all.
    pub(super) fn told(&mut self) -> Option<String> {
        if self.said || self.resumed == 0 || !self.waiting.is_empty() {
            return None;
        }
        self.said = true;
        let [late, given_up, unknown] = self.without;
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
mod tests {
    use super::*;

    #[test]
    fn each_is_counted_once_and_all_are_told_of_once() {
        let mut untried = Untried::default();
        assert_eq!(untried.told(), None, "nothing was left");
        (0..4).for_each(|number| untried.resumed(number));
        untried.called(0);
        untried.called(0);
        untried.ended(0, Without::Late);
        untried.ended(9, Without::Late);
        untried.given_up(1, 0);
        untried.given_up(2, 1);
        assert_eq!(untried.told(), None, "one is open");
        untried.ended(3, Without::Unknown);
        let told = untried.told().unwrap();
        assert!(told.starts_with("of 4 untried messages of the process before 1 were called"), "{told}");
        assert!(told.contains("3 (1 out of time, 1 given up, 1 of an unknown class)"), "{told}");
        assert_eq!(untried.told(), None);
    }
}
