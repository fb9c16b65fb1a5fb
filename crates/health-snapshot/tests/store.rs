//! The files of what is known, on a disk that fails as it is told to. Another first seed in KNOWN_SEED gives other runs.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;

use decision::interface::{Condition, RouteSnapshot};
use health_snapshot::replay::{ReplayFault, Snapshot};
use health_snapshot::stamp::Timestamp;
use health_snapshot::store::{Options, RELEASED_MARKER, Source, Store, load};
use health_snapshot::{DestinationRecord, EndpointStatus, ListedEndpoint, Micros};
use journal::disk::Disk;
use journal::sim::{Fault, SimDisk};

const SECOND: Micros = 1_000_000;
const START: Micros = 1_700_000_000 * SECOND;

fn first_seed() -> u64 {
    let first = std::env::var("KNOWN_SEED").ok().and_then(|seed| seed.parse().ok()).unwrap_or(1);
    println!("KNOWN_SEED={first}");
    first
}

/// What a sender knows: some hundred destinations, and the list's version.
#[derive(Default)]
struct World {
    all: RefCell<BTreeMap<u16, DestinationRecord>>,
    index: RefCell<u64>,
    now: RefCell<Micros>,
}

impl Source for World {
    fn destinations(&self) -> Vec<u16> {
        self.all.borrow().keys().copied().collect()
    }
    fn kept(&self, destination: u16) -> Option<DestinationRecord> {
        let kept = self.all.borrow().get(&destination).cloned()?;
        Some(DestinationRecord { at: *self.now.borrow(), ..kept })
    }
    fn list(&self) -> (u64, Micros) {
        (*self.index.borrow(), *self.now.borrow())
    }
}

fn listed(destination: u16, weight: f64) -> ListedEndpoint {
    ListedEndpoint {
        name: format!("e{destination}"),
        address: format!("10.0.0.1:{destination}"),
        zone: "a".to_owned(),
        kind: "plain".to_owned(),
        status: EndpointStatus::Active,
        weight,
    }
}

fn world(count: u16) -> World {
    let world = World::default();
    *world.now.borrow_mut() = START;
    for destination in 0..count {
        let learnt = RouteSnapshot {
            limit: 5.0 + f64::from(destination),
            last_success_at: START,
            ..RouteSnapshot::default()
        };
        let kept =
            DestinationRecord { at: 0, listed: vec![listed(destination, 1.0)], routes: vec![(None, learnt)] };
        world.all.borrow_mut().insert(destination, kept);
    }
    world
}

/// What the judge holds the files against: each destination's latest state that a slice has written, and all since.
struct Run {
    world: World,
    store: Store,
    /// Waits in slices that came to their end.
    waits: BTreeMap<u16, Micros>,
    told: BTreeMap<u16, Micros>,
    rng: fastrand::Rng,
}

const OPTIONS: Options = Options { size: 256 << 10, sync: true };

fn open(disk: &SimDisk) -> io::Result<(Store, Snapshot)> {
    Store::open(Box::new(disk.clone()), "n1", OPTIONS)
}

impl Run {
    fn new(disk: &SimDisk, count: u16, seed: u64) -> io::Result<Self> {
        let (store, _) = open(disk)?;
        let (waits, told) = (BTreeMap::new(), BTreeMap::new());
        Ok(Self { world: world(count), store, waits, told, rng: fastrand::Rng::with_seed(seed) })
    }

    fn now(&self) -> Micros {
        *self.world.now.borrow()
    }

    fn slice(&mut self, room: u64) -> io::Result<()> {
        let stamp = Timestamp { wall: self.now(), boot: None };
        self.store.slice(&stamp, room, &self.world)?;
        Ok(())
    }

    /// Something happens at some destination, and a slice follows a turn's time later.
    fn step(&mut self) -> io::Result<()> {
        let now = self.now() + self.rng.u64(5_000..200_000);
        *self.world.now.borrow_mut() = now;
        let destination = self.rng.u16(..self.world.all.borrow().len() as u16);
        {
            let mut all = self.world.all.borrow_mut();
            let kept = all.get_mut(&destination).unwrap();
            let learnt = &mut kept.routes[0].1;
            match self.rng.u8(..6) {
                0 => {
                    learnt.wait_until = now + self.rng.u64(SECOND..600 * SECOND);
                    self.told.insert(destination, learnt.wait_until);
                    self.store.pressing(destination, false, now);
                }
                1 => (learnt.condition, learnt.unhealthy_since) = (Condition::Failing, Some(now)),
                2 => (learnt.condition, learnt.cold_since) = (Condition::Healthy, Some(now)),
                3 => {
                    kept.listed[0].weight += 1.0;
                    *self.world.index.borrow_mut() += 1;
                    self.store.pressing(destination, true, now);
                }
                4 => learnt.limit = self.rng.f64() * 100.0,
                _ => learnt.last_success_at = now,
            }
        }
        self.store.touched(destination, now);
        self.slice(u64::MAX)?;
        // What was pressing is written in the slice that follows; in a long one in the next.
        if self.store.next_due(now).is_none_or(|due| due > now) {
            self.waits.append(&mut self.told);
        }
        Ok(())
    }
}

/// What a process finds after the end of another: each wait of a slice that came to its end, and of each destination something
/// that it once was.
fn judge(run: &Run, snapshot: &Snapshot, what: &str) {
    for (destination, until) in run.waits.iter().filter(|wait| *wait.1 > run.now()) {
        let found = snapshot.waits.get(&(*destination, None)).copied().unwrap_or(0);
        assert!(found >= *until, "{what}: the wait of {destination} until {until}, found {found}");
    }
    for (destination, kept) in &snapshot.destinations {
        for (_, learnt) in &kept.routes {
            let meant =
                learnt.limit > 0.0 && learnt.last_success_at >= START && learnt.last_success_at <= run.now();
            assert!(meant, "{what}: {destination} is {learnt:?}");
        }
        assert!(
            kept.listed.iter().all(|listed| listed.name == format!("e{destination}")),
            "{what}: {kept:?}"
        );
    }
}

/// Kills at every operation of a run, some bytes into a write, with a process behind it that goes on and is looked at too.
#[test]
fn a_kill_at_any_operation_leaves_what_was_written_and_no_damage() {
    let seed = first_seed();
    let steps = 400;
    let operations = {
        let disk = SimDisk::new();
        let mut run = Run::new(&disk, 150, seed).unwrap();
        (0..steps).for_each(|_| run.step().unwrap());
        disk.operations()
    };
    assert!(operations > 250, "{operations}");
    let mut rng = fastrand::Rng::with_seed(seed);
    for operation in 0..operations {
        let disk = SimDisk::new();
        disk.inject(operation, Fault::Kill(rng.usize(..700)));
        let mut run = Run::new(&disk, 150, seed).unwrap();
        for _ in 0..steps {
            // What fails for the sender is tried again; a killed process does nothing more.
            let _ = run.step();
            if disk.is_killed() {
                break;
            }
        }
        assert!(disk.is_killed(), "operation {operation}");
        disk.restart();
        disk.clear_faults();
        let snapshot = load(&mut disk.clone(), "n1").unwrap();
        assert!(!snapshot.lost(), "operation {operation}: {:?}", snapshot.troubles);
        judge(&run, &snapshot, &format!("operation {operation}"));
        // The next process writes a generation of its own behind what is there.
        let (store, _) = open(&disk).unwrap();
        run.store = store;
        for _ in 0..5 {
            run.step().unwrap();
        }
        while run.store.next_due(run.now()).is_some_and(|due| due <= run.now()) {
            run.slice(u64::MAX).unwrap();
        }
        let snapshot = load(&mut disk.clone(), "n1").unwrap();
        assert!(!snapshot.lost(), "behind operation {operation}: {:?}", snapshot.troubles);
        judge(&run, &snapshot, &format!("behind operation {operation}"));
        assert_eq!(snapshot.destinations.len(), 150);
    }
}

/// Power is lost at moments by chance: what was told and synced is there, whatever else was lost.
#[test]
fn a_loss_of_power_leaves_the_waits_that_were_synced() {
    let first = first_seed();
    for seed in first..first + 150 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let disk = SimDisk::new();
        let mut run = Run::new(&disk, 60, seed).unwrap();
        for _ in 0..rng.usize(1..120) {
            run.step().unwrap();
        }
        disk.lose_power(&mut rng);
        let snapshot = load(&mut disk.clone(), "n1").unwrap();
        judge(&run, &snapshot, &format!("seed {seed}"));
    }
}

/// A full disk, an error of the device, at every operation: the store goes on, and what it says it wrote is there.
#[test]
fn a_failed_write_is_not_followed_by_others() {
    let seed = first_seed();
    for operation in (0..100).step_by(2) {
        for fault in [Fault::StorageFull(100), Fault::Device(37)] {
            let disk = SimDisk::new();
            disk.inject(operation, fault);
            let mut run = Run::new(&disk, 60, seed).unwrap();
            let mut failed = 0;
            for _ in 0..150 {
                let told = run.told.clone();
                if run.step().is_err() {
                    failed += 1;
                    run.told = told;
                }
            }
            // After the rest all is written again.
            *run.world.now.borrow_mut() += 100 * SECOND;
            while run.store.next_due(run.now()).is_some_and(|due| due <= run.now()) {
                if run.slice(u64::MAX).is_err() {
                    failed += 1;
                    *run.world.now.borrow_mut() += 100 * SECOND;
                }
            }
            assert!(failed <= 1, "operation {operation}: {failed} failures of one fault");
            let snapshot = load(&mut disk.clone(), "n1").unwrap();
            assert!(!snapshot.lost(), "operation {operation}, {fault:?}: {:?}", snapshot.troubles);
            assert_eq!(snapshot.destinations.len(), 60, "operation {operation}, {fault:?}");
        }
    }
}

#[test]
fn it_stays_within_its_size_and_what_binds_has_its_room_first() {
    let disk = SimDisk::new();
    let options = Options { size: 24 << 10, sync: false };
    let (mut store, _) = Store::open(Box::new(disk.clone()), "n1", options).unwrap();
    let world = world(1_000);
    for destination in 500..510 {
        let mut all = world.all.borrow_mut();
        all.get_mut(&destination).unwrap().routes[0].1.wait_until = START + 3_600 * SECOND;
    }
    for n in 0..400 {
        let now = START + n * 10_000;
        *world.now.borrow_mut() = now;
        store.touched((n % 1_000) as u16, now);
        store.slice(&Timestamp { wall: now, boot: None }, u64::MAX, &world).unwrap();
        assert!(disk.used() <= options.size, "{} bytes", disk.used());
        assert_eq!(disk.used(), store.used());
    }
    let snapshot = load(&mut disk.clone(), "n1").unwrap();
    assert!(snapshot.left_out > 500, "{}", snapshot.left_out);
    assert!((500..510).all(|destination| snapshot.waits.contains_key(&(destination, None))));
}

#[test]
fn room_that_is_given_back_is_told_until_all_is_written_anew() {
    let disk = SimDisk::new();
    let mut run = Run::new(&disk, 100, 1).unwrap();
    (0..20).for_each(|_| run.step().unwrap());
    assert!(run.store.used() > 0);
    let now = run.now();
    run.store.release(now).unwrap();
    assert_eq!((run.store.used(), disk.used()), (0, 0));
    let snapshot = load(&mut disk.clone(), "n1").unwrap();
    assert_eq!((snapshot.lost(), snapshot.troubles), (true, vec![ReplayFault::GivenBack]));
    // While the journal holds the room nothing is written.
    for _ in 0..50 {
        *run.world.now.borrow_mut() += SECOND;
        run.slice(1_000).unwrap();
    }
    assert_eq!(disk.used(), 0);
    *run.world.now.borrow_mut() += 100 * SECOND;
    while run.store.next_due(run.now()).is_some_and(|due| due <= run.now()) {
        run.slice(u64::MAX).unwrap();
    }
    let snapshot = load(&mut disk.clone(), "n1").unwrap();
    assert!(!snapshot.lost() && snapshot.destinations.len() == 100, "{:?}", snapshot.troubles);
    assert!(disk.bytes(RELEASED_MARKER).is_none());
}

#[test]
fn damage_is_told_and_what_stands_behind_it_is_read() {
    let disk = SimDisk::new();
    let mut run = Run::new(&disk, 50, 3).unwrap();
    (0..40).for_each(|_| run.step().unwrap());
    let names = disk.clone().names().unwrap();
    let (file, length) = names.iter().max_by_key(|name| name.1).cloned().unwrap();
    let whole = load(&mut disk.clone(), "n1").unwrap();
    disk.corrupt(&file, |bytes| bytes[length as usize / 3] ^= 0x20);
    let snapshot = load(&mut disk.clone(), "n1").unwrap();
    assert!(snapshot.lost() && snapshot.troubles.iter().any(|t| matches!(t, ReplayFault::Damaged { .. })));
    assert_eq!(snapshot.stamp, whole.stamp, "the newest is read");
}

#[test]
fn another_senders_files_are_used_for_nothing_and_go() {
    let disk = SimDisk::new();
    let mut run = Run::new(&disk, 50, 3).unwrap();
    (0..20).for_each(|_| run.step().unwrap());
    let (mut store, snapshot) = Store::open(Box::new(disk.clone()), "n2", OPTIONS).unwrap();
    assert!(!snapshot.found && snapshot.destinations.is_empty() && snapshot.waits.is_empty());
    assert!(matches!(&snapshot.troubles[..], [ReplayFault::Foreign { owner, .. }] if owner == "n1"));
    assert!(!snapshot.lost(), "it is as without");
    let (mine, now) = (world(3), START + SECOND);
    for n in 0..5 {
        store.slice(&Timestamp { wall: now + n, boot: None }, u64::MAX, &mine).unwrap();
    }
    let snapshot = load(&mut disk.clone(), "n2").unwrap();
    assert_eq!((snapshot.destinations.len(), snapshot.troubles), (3, vec![]));
}

/// The head's version is another one: its waits are read all the same.
#[test]
fn of_another_versions_files_the_waits_count() {
    let disk = SimDisk::new();
    let mut run = Run::new(&disk, 50, 3).unwrap();
    (0..60).for_each(|_| run.step().unwrap());
    let waits = run.waits.clone();
    assert!(!waits.is_empty());
    for (file, _) in disk.clone().names().unwrap() {
        disk.corrupt(&file, |bytes| {
            bytes[8..10].copy_from_slice(&7u16.to_le_bytes());
            let end = 28 + 2;
            let crc = crc32fast::hash(&bytes[..end]);
            bytes[end..end + 4].copy_from_slice(&crc.to_le_bytes());
        });
    }
    let snapshot = load(&mut disk.clone(), "n1").unwrap();
    assert!(snapshot.lost() && snapshot.destinations.is_empty());
    for (destination, until) in waits {
        assert!(snapshot.waits[&(destination, None)] >= until);
    }
}

/// Any bytes: reading ends without a panic, and finds no more than stands there.
#[test]
fn any_bytes_can_be_read() {
    use proptest::prelude::*;
    let disk = SimDisk::new();
    let mut run = Run::new(&disk, 30, 5).unwrap();
    (0..30).for_each(|_| run.step().unwrap());
    let files: Vec<Vec<u8>> =
        disk.clone().names().unwrap().iter().filter_map(|(name, _)| disk.bytes(name)).collect();
    let good = files.concat();
    let change = (0..good.len(), any::<u8>());
    proptest!(ProptestConfig::with_cases(500), |(changes in prop::collection::vec(change, 0..6), cut in 0..good.len(),
        noise in prop::collection::vec(any::<u8>(), 0..300))| {
        let mut bytes = good.clone();
        for (at, byte) in changes {
            bytes[at] = byte;
        }
        bytes.truncate(cut);
        bytes.extend(noise);
        let size = bytes.len();
        let snapshot = health_snapshot::replay::read("n1", &[("known-000000000001".to_owned(), bytes)]);
        prop_assert!(snapshot.destinations.len() <= size);
    });
}
