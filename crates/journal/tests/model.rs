//! Model test: compares the journal with a map, under random appends, compaction, faults, kills and losses of power.
//! After each recovery no committed record is missing, and no attempt that may have run counts as never run. A record
//! whose append failed may be present or not, because the append did not return successfully.

mod common;

use std::collections::BTreeMap;

use common::*;
use journal::sim::{Fault, SimDisk};
use journal::{Abandonment, Journal, Options, PendingMessage, Record};
use proptest::prelude::*;

/// A message in the model.
#[derive(Debug, Clone, Default)]
struct ModelMessage {
    id: String,
    size: usize,
    /// Whether its acceptance was committed; otherwise the append failed, and the record may be present or not.
    committed: bool,
    /// Whether its completion was committed, if one was appended. The record of a failed append may be present or not.
    completed: Option<bool>,
    attempts: Vec<ModelAttempt>,
    abandoned: bool,
}

/// An attempt in the model.
#[derive(Debug, Clone, Copy)]
struct ModelAttempt {
    /// Whether its start was committed.
    committed: bool,
    /// Whether it was recorded as never run.
    never_ran: bool,
}

#[derive(Debug, Clone)]
enum Step {
    Accept(usize),
    StartAttempt(usize),
    EndAttempt(usize, bool),
    Abandon(usize),
    Complete(usize),
    Compact(u8),
    /// Injects a fault into an operation, which is counted from the next one (0) on.
    Fault(u64, Fault),
    /// Injects a fault likewise. If it kills the process, the machine loses power too, with this seed.
    FaultAndPower(u64, Fault, u64),
    /// The process is restarted.
    Restart,
    LosePower(u64),
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        (0usize..900).prop_map(Fault::StorageFull),
        (0usize..900).prop_map(Fault::Device),
        (0usize..900).prop_map(Fault::Kill),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0usize..1_200).prop_map(Step::Accept),
        4 => any::<usize>().prop_map(Step::StartAttempt),
        3 => (any::<usize>(), any::<bool>()).prop_map(|(n, never)| Step::EndAttempt(n, never)),
        1 => any::<usize>().prop_map(Step::Abandon),
        5 => any::<usize>().prop_map(Step::Complete),
        5 => (1u8..4).prop_map(Step::Compact),
        2 => (0u64..12, fault()).prop_map(|(n, fault)| Step::Fault(n, fault)),
        1 => (0u64..12, fault(), any::<u64>()).prop_map(|(n, fault, seed)| Step::FaultAndPower(n, fault, seed)),
        1 => Just(Step::Restart),
        1 => any::<u64>().prop_map(Step::LosePower),
    ]
}

struct Run {
    disk: SimDisk,
    options: Options,
    journal: Option<Journal>,
    model: BTreeMap<u32, ModelMessage>,
    next: u32,
    reopened: usize,
    /// Seed of the loss of power at the next kill, if there is one.
    power_loss_seed: Option<u64>,
}

impl Run {
    fn new(options: Options) -> Self {
        let disk = SimDisk::new();
        let journal = Some(open(&disk, &options));
        Self { disk, options, journal, model: BTreeMap::new(), next: 0, reopened: 0, power_loss_seed: None }
    }

    fn pick(&self, n: usize) -> Option<u32> {
        let pending: Vec<_> =
            self.model.iter().filter(|(_, m)| m.committed && m.completed.is_none()).collect();
        (!pending.is_empty()).then(|| *pending[n % pending.len()].0)
    }

    fn append(&mut self, record: Record) -> Option<bool> {
        let journal = self.journal.as_mut()?;
        Some(journal.append(1, &mut vec![record]).is_ok())
    }

    fn step(&mut self, step: &Step) -> Result<(), TestCaseError> {
        match *step {
            Step::Accept(size) => {
                let (n, id) = (self.next, format!("m{}", self.next));
                let message = message(&id, size);
                if !self.journal.as_ref().is_some_and(|journal| journal.has_capacity(&message, 0)) {
                    return Ok(());
                }
                self.next += 1;
                if let Some(committed) = self.append(Record::Accepted(n, message)) {
                    self.model.insert(n, ModelMessage { id, size, committed, ..ModelMessage::default() });
                }
            }
            Step::StartAttempt(n) => {
                let Some(n) = self.pick(n) else { return Ok(()) };
                let number = self.model[&n].attempts.len() as u16;
                let committed = self.append(started(n, number));
                let attempts = committed.map(|committed| ModelAttempt { committed, never_ran: false });
                self.model.get_mut(&n).unwrap().attempts.extend(attempts);
            }
            Step::EndAttempt(n, never) => {
                let Some(n) = self.pick(n) else { return Ok(()) };
                let Some(number) = self.model[&n].attempts.iter().rposition(|a| a.committed) else {
                    return Ok(());
                };
                // The record of a failed append may be present too. It is true in any case: the attempt never ran.
                if self.append(ended(n, number as u16, never)).is_some() && never {
                    self.model.get_mut(&n).unwrap().attempts[number].never_ran = true;
                }
            }
            Step::Abandon(n) => {
                let Some(n) = self.pick(n) else { return Ok(()) };
                if self.append(Record::Abandoned(n, Abandonment::Undeliverable)) == Some(true) {
                    self.model.get_mut(&n).unwrap().abandoned = true;
                }
            }
            Step::Complete(n) => {
                let Some(n) = self.pick(n) else { return Ok(()) };
                let completed = self.append(Record::Completed(n));
                self.model.get_mut(&n).unwrap().completed = completed;
            }
            Step::Compact(times) => {
                for _ in 0..times {
                    let _ = self.journal.as_mut().map(|journal| journal.compact_step(1));
                }
            }
            Step::Fault(later, fault) => self.disk.inject(self.disk.operations() + later, fault),
            Step::FaultAndPower(later, fault, seed) => {
                self.disk.inject(self.disk.operations() + later, fault);
                self.power_loss_seed = Some(seed);
            }
            Step::Restart => self.reopen()?,
            Step::LosePower(seed) => {
                if self.options.sync {
                    self.journal = None;
                    self.disk.lose_power(&mut fastrand::Rng::with_seed(seed));
                    self.reopen()?;
                }
            }
        }
        if self.disk.is_killed() {
            self.journal = None;
            if let Some(seed) = self.power_loss_seed.take().filter(|_| self.options.sync) {
                self.disk.lose_power(&mut fastrand::Rng::with_seed(seed));
            }
            self.reopen()?;
        }
        prop_assert!(self.disk.used() <= self.options.limit);
        Ok(())
    }

    fn reopen(&mut self) -> Result<(), TestCaseError> {
        self.journal = None;
        // Injected faults that have not occurred yet affect recovery too: it is retried until none is left.
        let mut tries = 0;
        let journal = loop {
            self.disk.restart();
            match try_open(&self.disk, &self.options) {
                Ok((journal, report)) => {
                    prop_assert!(report.damaged.is_empty(), "{}", report);
                    break journal;
                }
                Err(e) => {
                    tries += 1;
                    prop_assert!(tries < 100, "{}", e);
                }
            }
        };
        self.reopened += 1;
        for (n, live) in journal.live() {
            let expected = self.model.get(n);
            prop_assert!(expected.is_some(), "{} was never accepted", n);
            check(*n, expected.unwrap(), live)?;
        }
        for (n, expected) in &self.model {
            if expected.committed && expected.completed.is_none() {
                prop_assert!(journal.live().contains_key(n), "{} is lost", n);
            }
        }
        // After recovery it is known whether the records of failed appends are present.
        self.model.retain(|n, _| journal.live().contains_key(n));
        for (n, expected) in &mut self.model {
            let live = &journal.live()[n];
            (expected.committed, expected.completed) = (true, None);
            expected.abandoned = live.abandoned.is_some();
            for (number, attempt) in expected.attempts.iter_mut().enumerate() {
                let found = live.attempts.iter().find(|a| usize::from(a.number) == number);
                attempt.committed = found.is_some();
                attempt.never_ran = found.is_some_and(|a| a.never_ran);
            }
        }
        self.journal = Some(journal);
        Ok(())
    }
}

fn check(n: u32, expected: &ModelMessage, live: &PendingMessage) -> Result<(), TestCaseError> {
    prop_assert_ne!(expected.completed, Some(true), "{} was completed and reappears", n);
    prop_assert_eq!(&live.message, &message(&expected.id, expected.size));
    prop_assert!(!expected.abandoned || live.abandoned.is_some(), "{} was abandoned", n);
    for (number, attempt) in expected.attempts.iter().enumerate() {
        let found = live.attempts.iter().find(|a| usize::from(a.number) == number);
        prop_assert!(!attempt.committed || found.is_some(), "attempt {} of {} is lost", number, n);
        if let Some(found) = found {
            prop_assert!(attempt.never_ran || !found.never_ran, "attempt {} of {} may have run", number, n);
        }
    }
    prop_assert!(live.attempts.iter().all(|a| usize::from(a.number) < expected.attempts.len()));
    Ok(())
}

fn run(options: Options, steps: &[Step]) -> Result<Run, TestCaseError> {
    let mut run = Run::new(options);
    for step in steps {
        run.step(step)?;
    }
    run.disk.clear_faults();
    run.reopen()?;
    Ok(run)
}

/// Uses a fixed seed, so that every execution has the same runs. MODEL_SEED sets another seed.
fn config() -> ProptestConfig {
    let seed = std::env::var("MODEL_SEED").ok().and_then(|seed| seed.parse().ok()).unwrap_or(1);
    println!("MODEL_SEED={seed}");
    let rng_seed = proptest::test_runner::RngSeed::Fixed(seed);
    ProptestConfig { cases: 150, failure_persistence: None, rng_seed, ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn committed_records_survive_kills_and_faults(steps in prop::collection::vec(step(), 50..400)) {
        run(options(40_000), &steps)?;
    }

    #[test]
    fn committed_records_survive_power_loss(steps in prop::collection::vec(step(), 50..400)) {
        run(synced(40_000), &steps)?;
    }
}

/// The model runs compact, restart and fail often enough to cover these cases.
#[test]
fn the_model_runs_cover_compaction_and_recovery() {
    let mut rng = proptest::test_runner::TestRunner::deterministic();
    let steps = prop::collection::vec(step(), 3_000..3_001);
    let steps = proptest::strategy::ValueTree::current(&steps.new_tree(&mut rng).unwrap());
    let run = run(synced(40_000), &steps).unwrap();
    assert!(run.reopened > 100, "{}", run.reopened);
    assert!(run.next > 200, "{}", run.next);
    assert!(
        segments(&run.disk).last().unwrap().as_str() > "journal-000000000040",
        "{:?}",
        segments(&run.disk)
    );
}

/// If the process ends at any byte of a run, the records before it are restored, and no others.
#[test]
fn a_run_truncated_at_every_offset() {
    let disk = SimDisk::new();
    let options = options(400_000);
    let mut journal = open(&disk, &options);
    let mut lengths = vec![];
    let mut states = vec![];
    let file = segments(&disk).remove(0);
    let mut rng = fastrand::Rng::with_seed(7);
    for n in 0..300u32 {
        let record = match rng.u8(..4) {
            0 => Record::Accepted(n, message(&format!("m{n}"), rng.usize(..40))),
            1 => started(rng.u32(..=n), 0),
            2 => ended(rng.u32(..=n), 0, rng.bool()),
            _ => Record::Completed(rng.u32(..=n)),
        };
        append(&mut journal, [record]);
        lengths.push(disk.bytes(&file).unwrap().len());
        states.push(journal.live().clone());
    }
    assert_eq!(segments(&disk).len(), 1);
    let complete = disk.bytes(&file).unwrap();
    for cut in lengths[0]..complete.len() {
        let truncated = SimDisk::new();
        truncated.put(&file, &complete[..cut]);
        let before = lengths.iter().rposition(|length| *length <= cut).unwrap();
        let live = open(&truncated, &options);
        // The start of a batch may be present without its record.
        assert!(*live.live() == states[before], "{cut}");
    }
}
