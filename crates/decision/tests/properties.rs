//! Random streams of events keep the rules.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::*;
use decision::interface::*;
use proptest::prelude::*;

#[derive(Clone, Debug)]
enum Step {
    Accept { class: usize, key: u64, time_left: Micros },
    End { which: usize, outcome: usize, wait: Micros },
    Leave(usize),
    List { endpoint: u8, listing: usize },
    Pass(Micros),
    HandOver,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..4usize, 0..3u64, 0..20 * SECOND)
            .prop_map(|(class, key, time_left)| Step::Accept { class, key, time_left }),
        6 => (0..64usize, 0..9usize, 0..2 * SECOND)
            .prop_map(|(which, outcome, wait)| Step::End { which, outcome, wait }),
        1 => (0..64usize).prop_map(Step::Leave),
        1 => (1..4u8, 0..3usize).prop_map(|(endpoint, listing)| Step::List { endpoint, listing }),
        4 => (0..SECOND).prop_map(Step::Pass),
        1 => Just(Step::HandOver),
    ]
}

/// What an outside observer remembers of the rules.
#[derive(Default)]
struct Watch {
    seen: usize,
    accepted: BTreeMap<MessageId, (usize, u64, Micros)>,
    order: Vec<MessageId>,
    over: BTreeSet<MessageId>,
    may_have_run: BTreeMap<MessageId, Vec<(u16, Micros)>>,
    drained: BTreeSet<EndpointId>,
    wait: Micros,
    rest: BTreeMap<u64, (Micros, MessageId)>,
}

impl Watch {
    fn check(&mut self, s: &Sender) {
        // A message that is given up makes way for the next of its key in the same turn.
        let given_up: BTreeSet<_> = s.refused.iter().map(|r| r.0).chain(s.failed.iter().copied()).collect();
        for out in &s.sent[self.seen..] {
            let (class, key, deadline) = self.accepted[&out.message];
            assert!(!self.over.contains(&out.message), "nothing goes out after the end");
            assert!(out.sent < deadline && out.until <= deadline && out.attempt < 4);
            assert!(!self.drained.contains(&out.endpoint), "drains are kept");
            assert!(out.sent >= self.wait, "waits are heeded");
            let ran = self.may_have_run.entry(out.message).or_default();
            match class {
                ONCE => assert!(ran.is_empty(), "no effect twice"),
                KEYED => assert!(ran.iter().all(|r| out.sent <= r.1 + 6 * SECOND), "within its window"),
                _ => {}
            }
            let others = s.out.iter().filter(|o| o.message == out.message && o.attempt != out.attempt);
            assert_eq!(others.count(), 0, "never two at once");
            if class == ORDERED {
                let earlier = self.order.iter().take_while(|m| **m != out.message);
                for m in earlier.filter(|m| self.accepted[m].0 == ORDERED && self.accepted[m].1 == key) {
                    assert!(self.over.contains(m) || given_up.contains(m), "order is kept");
                    assert!(s.out.iter().all(|o| o.message != *m));
                }
                let rest = self.rest.get(&key).filter(|r| r.1 != out.message).map_or(0, |r| r.0);
                assert!(out.sent >= rest, "the key rests");
            }
            ran.push((out.attempt, out.sent));
        }
        self.seen = s.sent.len();
        let answers: Vec<_> = s.refused.iter().map(|r| r.0).chain(s.failed.iter().copied()).collect();
        let distinct: BTreeSet<_> = answers.iter().copied().collect();
        assert_eq!(distinct.len(), answers.len(), "one final answer");
        for (id, _) in &s.refused {
            let ran = self.may_have_run.get(id).is_some_and(|r| !r.is_empty());
            assert!(!ran || self.accepted[id].0 >= SAFE, "a refusal is harmless");
        }
        self.over.extend(distinct);
        for (id, (_, _, deadline)) in &self.accepted {
            assert!(s.now <= deadline + 20_000 || self.over.contains(id), "answered in time");
        }
    }

    fn ended(&mut self, out: Out, outcome: Outcome, now: Micros) {
        if outcome.never_ran() {
            self.may_have_run.entry(out.message).or_default().retain(|r| r.0 != out.attempt);
        }
        if matches!(outcome, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled) {
            let (class, key, _) = self.accepted[&out.message];
            if class == ORDERED {
                self.rest.insert(key, (now + SECOND, out.message));
            }
        }
        match outcome {
            Outcome::Delivered => {
                self.over.insert(out.message);
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
    fn random_streams_keep_the_rules(steps in prop::collection::vec(step(), 1..200)) {
        let mut s = Sender::new(settings(), &[entry(1, 0), entry(2, 0), entry(3, 0)]);
        let mut watch = Watch::default();
        for step in steps {
            match step {
                Step::Accept { class, key, time_left } => {
                    let key = key + 1;
                    let message = s.message(class, (class == ORDERED).then_some(key), time_left);
                    watch.accepted.insert(message.id, (class, key, s.now + time_left));
                    watch.order.push(message.id);
                    s.tell(vec![Event::Accepted(message)]);
                }
                Step::End { which, outcome, wait } if !s.out.is_empty() => {
                    let out = s.out.remove(which % s.out.len());
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
                    watch.ended(out, outcome, s.now);
                    let event = s.ended(out, outcome);
                    s.tell(vec![event]);
                }
                Step::Leave(which) if !watch.order.is_empty() => {
                    let id = watch.order[which % watch.order.len()];
                    watch.over.insert(id);
                    s.tell(vec![Event::Withdrawn(id)]);
                }
                Step::List { endpoint: n, listing } => {
                    let mut entry = entry(n, 0);
                    entry.listing = [Listing::Ready, Listing::Draining, Listing::Gone][listing];
                    match entry.listing {
                        Listing::Ready => watch.drained.remove(&endpoint(n)),
                        _ => watch.drained.insert(endpoint(n)),
                    };
                    s.tell(vec![Event::EndpointChanges(vec![entry])]);
                }
                Step::Pass(span) => {
                    // In small steps, so that each time-out is seen before the sends that follow it.
                    let until = s.now + span;
                    while s.now < until {
                        let due: Vec<_> = s.out.iter().copied().filter(|o| o.until <= s.now + 5_000).collect();
                        for out in due {
                            s.out.retain(|o| *o != out);
                            watch.ended(out, Outcome::TimedOut, s.now);
                            let event = s.ended(out, Outcome::TimedOut);
                            s.tell(vec![event]);
                            watch.check(&s);
                        }
                        s.pass((until - s.now).min(5_000));
                        watch.check(&s);
                    }
                }
                Step::HandOver => s.hand_over(settings()),
                Step::End { .. } | Step::Leave(_) => {}
            }
            watch.check(&s);
        }
    }
}
