//! The journal against a plain map: any mix of appends, slices of compaction, faults, ends of the process and of the
//! machine. After each reopening nothing that was promised is missing, and no attempt that may have run counts as not
//! run. What failed may count or not: it was promised to nobody.

mod common;

use std::collections::BTreeMap;

use common::*;
use journal::sim::{Fault, SimDisk};
use journal::{Abandonment, Journal, Options, PendingMessage, Record};
use proptest::prelude::*;

/// A message as the map has it.
#[derive(Debug, Clone, Default)]
struct Known {
    id: String,
    size: usize,
    /// Whether its taking on was promised; otherwise it failed, and may count.
    promised: bool,
    /// Whether its end was written; if it failed, it may count.
    over: Option<bool>,
    /// Attempts: whether their beginning was promised, and whether they were said never to have run.
    attempts: Vec<(bool, bool)>,
    given_up: bool,
}

#[derive(Debug, Clone)]
enum Step {
    Take(usize),
    Begin(usize),
    End(usize, bool),
    GiveUp(usize),
    Over(usize),
    Tidy(u8),
    /// An operation that comes so many later fails so.
    Fault(u64, Fault),
    /// The same, and if it kills the process the machine goes with it.
    FaultAndPower(u64, Fault, u64),
    /// The process ends where it is, if it has not.
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
        6 => (0usize..1_200).prop_map(Step::Take),
        4 => any::<usize>().prop_map(Step::Begin),
        3 => (any::<usize>(), any::<bool>()).prop_map(|(n, never)| Step::End(n, never)),
        1 => any::<usize>().prop_map(Step::GiveUp),
        5 => any::<usize>().prop_map(Step::Over),
        5 => (1u8..4).prop_map(Step::Tidy),
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
    known: BTreeMap<u32, Known>,
    next: u32,
    reopened: usize,
    /// Power goes with the next kill.
    power: Option<u64>,
}

impl Run {
    fn new(options: Options) -> Self {
        let disk = SimDisk::new();
        let journal = Some(open(&disk, &options));
        Self { disk, options, journal, known: BTreeMap::new(), next: 0, reopened: 0, power: None }
    }

    fn pick(&self, n: usize) -> Option<u32> {
        let open: Vec<_> = self.known.iter().filter(|(_, m)| m.promised && m.over.is_none()).collect();
        (!open.is_empty()).then(|| *open[n % open.len()].0)
    }

    fn append(&mut self, record: Record) -> Option<bool> {
        let journal = self.journal.as_mut()?;
        Some(journal.append(1, &mut vec![record]).is_ok())
    }

    fn step(&mut self, step: &Step) -> Result<(), TestCaseError> {
        match *step {
            Step::Take(size) => {
                let (n, id) = (self.next, format!("m{}", self.next));
                let message = taken(&id, size);
                if !self.journal.as_ref().is_some_and(|journal| journal.has_capacity(&message, 0)) {
                    return Ok(());
                }
                self.next += 1;
                if let Some(promised) = self.append(Record::Accepted(n, message)) {
                    self.known.insert(n, Known { id, size, promised, ..Known::default() });
                }
            }
            Step::Begin(n) => {
                let Some(n) = self.pick(n) else { return Ok(()) };
                let number = self.known[&n].attempts.len() as u16;
                let promised = self.append(begun(n, number));
                let attempts = promised.map(|promised| (promised, false));
                self.known.get_mut(&n).unwrap().attempts.extend(attempts);
            }
            Step::End(n, never) => {
                let Some(n) = self.pick(n) else { return Ok(()) };
                let Some(number) = self.known[&n].attempts.iter().rposition(|a| a.0) else { return Ok(()) };
                // A failed record may count too: it is said from then on that it never ran, which is true.
                if self.append(ended(n, number as u16, never)).is_some() && never {
                    self.known.get_mut(&n).unwrap().attempts[number].1 = true;
                }
            }
            Step::GiveUp(n) => {
                let Some(n) = self.pick(n) else { return Ok(()) };
                if self.append(Record::Abandoned(n, Abandonment::Undeliverable)) == Some(true) {
                    self.known.get_mut(&n).unwrap().given_up = true;
                }
            }
            Step::Over(n) => {
                let Some(n) = self.pick(n) else { return Ok(()) };
                let over = self.append(Record::Completed(n));
                self.known.get_mut(&n).unwrap().over = over;
            }
            Step::Tidy(times) => {
                for _ in 0..times {
                    let _ = self.journal.as_mut().map(|journal| journal.compact_step(1));
                }
            }
            Step::Fault(later, fault) => self.disk.inject(self.disk.operations() + later, fault),
            Step::FaultAndPower(later, fault, seed) => {
                self.disk.inject(self.disk.operations() + later, fault);
                self.power = Some(seed);
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
            if let Some(seed) = self.power.take().filter(|_| self.options.sync) {
                self.disk.lose_power(&mut fastrand::Rng::with_seed(seed));
            }
            self.reopen()?;
        }
        prop_assert!(self.disk.used() <= self.options.limit);
        Ok(())
    }

    fn reopen(&mut self) -> Result<(), TestCaseError> {
        self.journal = None;
        // The faults that are still to come hit the recovery too; it is begun anew until none is left.
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
            let known = self.known.get(n);
            prop_assert!(known.is_some(), "{} was never taken on", n);
            check(*n, known.unwrap(), live)?;
        }
        for (n, known) in &self.known {
            if known.promised && known.over.is_none() {
                prop_assert!(journal.live().contains_key(n), "{} is lost", n);
            }
        }
        // What was in the air is settled now, one way or the other.
        self.known.retain(|n, _| journal.live().contains_key(n));
        for (n, known) in &mut self.known {
            let live = &journal.live()[n];
            (known.promised, known.over) = (true, None);
            known.given_up = live.abandoned.is_some();
            for (number, attempt) in known.attempts.iter_mut().enumerate() {
                let stands = live.attempts.iter().find(|a| usize::from(a.number) == number);
                *attempt = (stands.is_some(), stands.is_some_and(|a| a.never_ran));
            }
        }
        self.journal = Some(journal);
        Ok(())
    }
}

fn check(n: u32, known: &Known, live: &PendingMessage) -> Result<(), TestCaseError> {
    prop_assert_ne!(known.over, Some(true), "{} is over and comes back", n);
    prop_assert_eq!(&live.message, &taken(&known.id, known.size));
    prop_assert!(!known.given_up || live.abandoned.is_some(), "{} was given up", n);
    for (number, (promised, never)) in known.attempts.iter().enumerate() {
        let stands = live.attempts.iter().find(|a| usize::from(a.number) == number);
        prop_assert!(!promised || stands.is_some(), "attempt {} of {} is forgotten", number, n);
        if let Some(stands) = stands {
            prop_assert!(*never || !stands.never_ran, "attempt {} of {} may have run", number, n);
        }
    }
    prop_assert!(live.attempts.iter().all(|a| usize::from(a.number) < known.attempts.len()));
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

/// The same runs every time; another seed in MODEL_SEED gives others.
fn config() -> ProptestConfig {
    let seed = std::env::var("MODEL_SEED").ok().and_then(|seed| seed.parse().ok()).unwrap_or(1);
    println!("MODEL_SEED={seed}");
    let rng_seed = proptest::test_runner::RngSeed::Fixed(seed);
    ProptestConfig { cases: 150, failure_persistence: None, rng_seed, ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn nothing_that_was_promised_is_missing(steps in prop::collection::vec(step(), 50..400)) {
        run(options(40_000), &steps)?;
    }

    #[test]
    fn nor_where_the_machine_loses_power(steps in prop::collection::vec(step(), 50..400)) {
        run(synced(40_000), &steps)?;
    }
}

/// The runs above are worth something: they compact, restart and fail.
#[test]
fn the_runs_reach_what_they_are_for() {
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

/// Every cut point of a run of a few hundred records: whatever byte the process ended at, the records before it count,
/// and no other.
#[test]
fn every_cut_point_of_a_run() {
    let disk = SimDisk::new();
    let options = options(400_000);
    let mut journal = open(&disk, &options);
    let mut lengths = vec![];
    let mut states = vec![];
    let file = segments(&disk).remove(0);
    let mut rng = fastrand::Rng::with_seed(7);
    for n in 0..300u32 {
        let record = match rng.u8(..4) {
            0 => Record::Accepted(n, taken(&format!("m{n}"), rng.usize(..40))),
            1 => begun(rng.u32(..=n), 0),
            2 => ended(rng.u32(..=n), 0, rng.bool()),
            _ => Record::Completed(rng.u32(..=n)),
        };
        append(&mut journal, [record]);
        lengths.push(disk.bytes(&file).unwrap().len());
        states.push(journal.live().clone());
    }
    assert_eq!(segments(&disk).len(), 1);
    let whole = disk.bytes(&file).unwrap();
    for cut in lengths[0]..whole.len() {
        let cut_off = SimDisk::new();
        cut_off.put(&file, &whole[..cut]);
        let before = lengths.iter().rposition(|length| *length <= cut).unwrap();
        let live = open(&cut_off, &options);
        // A turn's own mark may stand there without its record.
        assert!(*live.live() == states[before], "{cut}");
    }
}
