//! Property test: the delivery rules hold for random sequences of events.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::*;
use decision::interface::*;
use proptest::prelude::*;

#[derive(Clone, Debug)]
enum Step {
    Accept { class: usize, key: u64, time_left: Micros },
    End { which: usize, outcome: usize, wait: Micros },
    Withdraw(usize),
    List { endpoint: u8, listing: usize },
    Advance(Micros),
    HandOver,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..4usize, 0..3u64, 0..20 * SECOND)
            .prop_map(|(class, key, time_left)| Step::Accept { class, key, time_left }),
        6 => (0..64usize, 0..9usize, 0..2 * SECOND)
            .prop_map(|(which, outcome, wait)| Step::End { which, outcome, wait }),
        1 => (0..64usize).prop_map(Step::Withdraw),
        1 => (1..4u8, 0..3usize).prop_map(|(endpoint, listing)| Step::List { endpoint, listing }),
        4 => (0..SECOND).prop_map(Step::Advance),
        1 => Just(Step::HandOver),
    ]
}

/// Tracks accepted messages, attempts and outcomes independently of the policy, to check the delivery rules.
#[derive(Default)]
struct RuleChecker {
    seen: usize,
    accepted: BTreeMap<MessageId, (usize, u64, Micros)>,
    order: Vec<MessageId>,
    finished: BTreeSet<MessageId>,
    may_have_run: BTreeMap<MessageId, Vec<(u16, Micros)>>,
    not_ready: BTreeSet<EndpointId>,
    wait: Micros,
    pauses: BTreeMap<u64, (Micros, MessageId)>,
}

impl RuleChecker {
    fn check(&mut self, s: &Sender) {
        // When a message gets its final answer, the next one of its key may be sent in the same iteration.
        let answered: BTreeSet<_> = s.rejected.iter().map(|r| r.0).chain(s.failed.iter().copied()).collect();
        for attempt in &s.sent[self.seen..] {
            let (class, key, deadline) = self.accepted[&attempt.message];
            assert!(!self.finished.contains(&attempt.message), "no attempt after the final answer");
            assert!(attempt.sent < deadline && attempt.until <= deadline && attempt.attempt < 4);
            assert!(!self.not_ready.contains(&attempt.endpoint), "no call to a draining endpoint");
            assert!(attempt.sent >= self.wait, "Retry-After is heeded");
            let earlier_attempts = self.may_have_run.entry(attempt.message).or_default();
            match class {
                NON_IDEMPOTENT => {
                    assert!(earlier_attempts.is_empty(), "a non-idempotent message is not repeated")
                }
                KEYED => assert!(
                    earlier_attempts.iter().all(|r| attempt.sent <= r.1 + 6 * SECOND),
                    "a keyed message is repeated within its window"
                ),
                _ => {}
            }
            let others = s
                .in_flight
                .iter()
                .filter(|other| other.message == attempt.message && other.attempt != attempt.attempt);
            assert_eq!(others.count(), 0, "never two attempts in flight at once");
            if class == ORDERED {
                let earlier = self.order.iter().take_while(|m| **m != attempt.message);
                for m in earlier.filter(|m| self.accepted[m].0 == ORDERED && self.accepted[m].1 == key) {
                    assert!(
                        self.finished.contains(m) || answered.contains(m),
                        "an earlier message of the key is finished"
                    );
                    assert!(s.in_flight.iter().all(|o| o.message != *m));
                }
                let pause = self.pauses.get(&key).filter(|r| r.1 != attempt.message).map_or(0, |r| r.0);
                assert!(attempt.sent >= pause, "the pause of the key is kept");
            }
            earlier_attempts.push((attempt.attempt, attempt.sent));
        }
        self.seen = s.sent.len();
        let answers: Vec<_> = s.rejected.iter().map(|r| r.0).chain(s.failed.iter().copied()).collect();
        let distinct: BTreeSet<_> = answers.iter().copied().collect();
        assert_eq!(distinct.len(), answers.len(), "one final answer for each message");
        for (id, _) in &s.rejected {
            let may_have_run = self.may_have_run.get(id).is_some_and(|r| !r.is_empty());
            assert!(
                !may_have_run || self.accepted[id].0 >= IDEMPOTENT,
                "a rejected message is safe to submit again"
            );
        }
        self.finished.extend(distinct);
        for (id, (_, _, deadline)) in &self.accepted {
            assert!(s.now <= deadline + 20_000 || self.finished.contains(id), "answered before its deadline");
        }
    }

    fn ended(&mut self, attempt: Attempt, outcome: Outcome, now: Micros) {
        if outcome.never_ran() {
            self.may_have_run.entry(attempt.message).or_default().retain(|r| r.0 != attempt.attempt);
        }
        if matches!(outcome, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled) {
            let (class, key, _) = self.accepted[&attempt.message];
            if class == ORDERED {
                self.pauses.insert(key, (now + SECOND, attempt.message));
            }
        }
        match outcome {
            Outcome::Delivered => {
                self.finished.insert(attempt.message);
            }
            Outcome::Rejected(Some(wait)) => self.wait = self.wait.max(now + wait),
            _ => {}
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    #[test]
    fn random_events_keep_the_rules(steps in prop::collection::vec(step(), 1..200)) {
        let mut s = Sender::new(settings(), &[entry(1, 0), entry(2, 0), entry(3, 0)]);
        let mut checker = RuleChecker::default();
        for step in steps {
            match step {
                Step::Accept { class, key, time_left } => {
                    let key = key + 1;
                    let message = s.message(class, (class == ORDERED).then_some(key), time_left);
                    checker.accepted.insert(message.id, (class, key, s.now + time_left));
                    checker.order.push(message.id);
                    s.handle(vec![Event::Accepted(message)]);
                }
                Step::End { which, outcome, wait } if !s.in_flight.is_empty() => {
                    let attempt = s.in_flight.remove(which % s.in_flight.len());
                    let outcome = [
                        Outcome::Delivered,
                        Outcome::Error,
                        Outcome::Rejected(Some(wait)),
                        Outcome::Rejected(None),
                        Outcome::ConnectFailed,
                        Outcome::ConnectionRejected,
                        Outcome::Reset,
                        Outcome::Cancelled,
                        Outcome::NotSent { no_slot: true },
                    ][outcome];
                    checker.ended(attempt, outcome, s.now);
                    let event = s.ended(attempt, outcome);
                    s.handle(vec![event]);
                }
                Step::Withdraw(which) if !checker.order.is_empty() => {
                    let id = checker.order[which % checker.order.len()];
                    checker.finished.insert(id);
                    s.handle(vec![Event::Withdrawn(id)]);
                }
                Step::List { endpoint: n, listing } => {
                    let mut entry = entry(n, 0);
                    entry.listing = [Listing::Ready, Listing::Draining, Listing::Gone][listing];
                    match entry.listing {
                        Listing::Ready => checker.not_ready.remove(&endpoint(n)),
                        _ => checker.not_ready.insert(endpoint(n)),
                    };
                    s.handle(vec![Event::EndpointChanges(vec![entry])]);
                }
                Step::Advance(span) => {
                    // In small steps, so that each time-out is recorded before the sends that follow it.
                    let until = s.now + span;
                    while s.now < until {
                        let due: Vec<_> = s.in_flight.iter().copied().filter(|o| o.until <= s.now + 5_000).collect();
                        for attempt in due {
                            s.in_flight.retain(|other| *other != attempt);
                            checker.ended(attempt, Outcome::TimedOut, s.now);
                            let event = s.ended(attempt, Outcome::TimedOut);
                            s.handle(vec![event]);
                            checker.check(&s);
                        }
                        s.advance((until - s.now).min(5_000));
                        checker.check(&s);
                    }
                }
                Step::HandOver => s.hand_over(settings()),
                Step::End { .. } | Step::Withdraw(_) => {}
            }
            checker.check(&s);
        }
    }
}
