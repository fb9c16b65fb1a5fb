//! Tests of the store on a simulated disk with injected faults. `SNAPSHOT_SEED` sets the first seed.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;

use decision::interface::{Condition, RouteSnapshot};
use health_snapshot::replay::{GenerationFile, ReplayFault, Snapshot};
use health_snapshot::store::{Options, RELEASED_MARKER, Source, Store, load};
use health_snapshot::timestamp::Timestamp;
use health_snapshot::{
    DestinationRecord, EndpointStatus, ListVersion, ListedEndpoint, Micros, RouteKey, RouteRecord,
};
use journal::disk::Disk;
use journal::sim::{Fault, SimDisk};

const SECOND: Micros = 1_000_000;
const START: Micros = 1_700_000_000 * SECOND;

fn first_seed() -> u64 {
    let first = std::env::var("SNAPSHOT_SEED").ok().and_then(|seed| seed.parse().ok()).unwrap_or(1);
    println!("SNAPSHOT_SEED={first}");
    first
}

/// A fake sender: its records, its list's version and its clock.
#[derive(Default)]
struct FakeSender {
    records: RefCell<BTreeMap<u16, DestinationRecord>>,
    index: RefCell<u64>,
    now: RefCell<Micros>,
}

impl Source for FakeSender {
    fn destinations(&self) -> Vec<u16> {
        self.records.borrow().keys().copied().collect()
    }
    fn record(&self, destination: u16) -> Option<DestinationRecord> {
        let record = self.records.borrow().get(&destination).cloned()?;
        Some(DestinationRecord { at: *self.now.borrow(), ..record })
    }
    fn list(&self) -> ListVersion {
        ListVersion { index: *self.index.borrow(), confirmed_at: *self.now.borrow() }
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

/// The route that all endpoints of a destination share.
fn common_route(destination: u16) -> RouteKey {
    RouteKey { destination, endpoint: None }
}

fn fake_sender(count: u16) -> FakeSender {
    let sender = FakeSender::default();
    *sender.now.borrow_mut() = START;
    for destination in 0..count {
        let snapshot = RouteSnapshot {
            limit: 5.0 + f64::from(destination),
            last_success_at: START,
            ..RouteSnapshot::default()
        };
        let routes = vec![RouteRecord { endpoint: None, snapshot }];
        let record = DestinationRecord { at: 0, listed: vec![listed(destination, 1.0)], routes };
        sender.records.borrow_mut().insert(destination, record);
    }
    sender
}

/// A run of the store with a fake sender, and what its files must contain.
struct Run {
    sender: FakeSender,
    store: Store,
    /// Ends of Retry-After that completed slices contain, by destination.
    waits: BTreeMap<u16, Micros>,
    /// Those that were received since.
    pending: BTreeMap<u16, Micros>,
    rng: fastrand::Rng,
}

const OPTIONS: Options = Options { size: 256 << 10, sync: true };

fn open(disk: &SimDisk) -> io::Result<(Store, Snapshot)> {
    Store::open(Box::new(disk.clone()), "n1", OPTIONS)
}

impl Run {
    fn new(disk: &SimDisk, count: u16, seed: u64) -> io::Result<Self> {
        let (store, _) = open(disk)?;
        let (waits, pending) = (BTreeMap::new(), BTreeMap::new());
        Ok(Self { sender: fake_sender(count), store, waits, pending, rng: fastrand::Rng::with_seed(seed) })
    }

    fn now(&self) -> Micros {
        *self.sender.now.borrow()
    }

    fn write_slice(&mut self, space: u64) -> io::Result<()> {
        let timestamp = Timestamp { wall: self.now(), boot: None };
        self.store.write_slice(&timestamp, space, &self.sender)?;
        Ok(())
    }

    /// Changes a random destination, and writes a slice.
    fn step(&mut self) -> io::Result<()> {
        let now = self.now() + self.rng.u64(5_000..200_000);
        *self.sender.now.borrow_mut() = now;
        let destination = self.rng.u16(..self.sender.records.borrow().len() as u16);
        {
            let mut records = self.sender.records.borrow_mut();
            let record = records.get_mut(&destination).unwrap();
            let snapshot = &mut record.routes[0].snapshot;
            match self.rng.u8(..6) {
                0 => {
                    snapshot.wait_until = now + self.rng.u64(SECOND..600 * SECOND);
                    self.pending.insert(destination, snapshot.wait_until);
                    self.store.mark_urgent(destination, false, now);
                }
                1 => (snapshot.condition, snapshot.unhealthy_since) = (Condition::Failing, Some(now)),
                2 => (snapshot.condition, snapshot.cold_since) = (Condition::Healthy, Some(now)),
                3 => {
                    record.listed[0].weight += 1.0;
                    *self.sender.index.borrow_mut() += 1;
                    self.store.mark_urgent(destination, true, now);
                }
                4 => snapshot.limit = self.rng.f64() * 100.0,
                _ => snapshot.last_success_at = now,
            }
        }
        self.store.mark_changed(destination, now);
        self.write_slice(u64::MAX)?;
        // An urgent change is written in the slice that follows or, if that is full, in the next.
        if self.store.next_due(now).is_none_or(|due| due > now) {
            self.waits.append(&mut self.pending);
        }
        Ok(())
    }
}

/// Checks what a process reads after another has ended: it must have each Retry-After of a completed slice, and a state of each
/// destination that the destination was once in.
fn check_snapshot(run: &Run, snapshot: &Snapshot, context: &str) {
    for (destination, until) in run.waits.iter().filter(|wait| *wait.1 > run.now()) {
        let found = snapshot.waits.get(&common_route(*destination)).copied().unwrap_or(0);
        assert!(found >= *until, "{context}: the wait of {destination} until {until}, found {found}");
    }
    for (destination, record) in &snapshot.destinations {
        for RouteRecord { snapshot: observed, .. } in &record.routes {
            let valid = observed.limit > 0.0
                && observed.last_success_at >= START
                && observed.last_success_at <= run.now();
            assert!(valid, "{context}: {destination} is {observed:?}");
        }
        assert!(
            record.listed.iter().all(|listed| listed.name == format!("e{destination}")),
            "{context}: {record:?}"
        );
    }
}

/// Kills the process at each disk operation of a run, some bytes into a write. The next process continues, and is checked too.
#[test]
fn a_kill_at_any_operation_loses_no_completed_write() {
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
            // A failed slice is attempted again; a killed process stops.
            let _ = run.step();
            if disk.is_killed() {
                break;
            }
        }
        assert!(disk.is_killed(), "operation {operation}");
        disk.restart();
        disk.clear_faults();
        let snapshot = load(&mut disk.clone(), "n1").unwrap();
        assert!(!snapshot.is_incomplete(), "operation {operation}: {:?}", snapshot.faults);
        check_snapshot(&run, &snapshot, &format!("operation {operation}"));
        // The next process starts a generation of its own.
        let (store, _) = open(&disk).unwrap();
        run.store = store;
        for _ in 0..5 {
            run.step().unwrap();
        }
        while run.store.next_due(run.now()).is_some_and(|due| due <= run.now()) {
            run.write_slice(u64::MAX).unwrap();
        }
        let snapshot = load(&mut disk.clone(), "n1").unwrap();
        assert!(!snapshot.is_incomplete(), "after operation {operation}: {:?}", snapshot.faults);
        check_snapshot(&run, &snapshot, &format!("after operation {operation}"));
        assert_eq!(snapshot.destinations.len(), 150);
    }
}

/// Power is lost at a random moment: each Retry-After that was synced must still be read.
#[test]
fn a_power_loss_loses_no_synced_wait() {
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
        check_snapshot(&run, &snapshot, &format!("seed {seed}"));
    }
}

/// The disk is full or the device fails at some operation: the store continues, and what it reports as written can be read.
#[test]
fn nothing_is_appended_to_a_failed_write() {
    let seed = first_seed();
    for operation in (0..100).step_by(2) {
        for fault in [Fault::StorageFull(100), Fault::Device(37)] {
            let disk = SimDisk::new();
            disk.inject(operation, fault);
            let mut run = Run::new(&disk, 60, seed).unwrap();
            let mut failed = 0;
            for _ in 0..150 {
                let pending = run.pending.clone();
                if run.step().is_err() {
                    failed += 1;
                    run.pending = pending;
                }
            }
            // After the backoff everything is written again.
            *run.sender.now.borrow_mut() += 100 * SECOND;
            while run.store.next_due(run.now()).is_some_and(|due| due <= run.now()) {
                if run.write_slice(u64::MAX).is_err() {
                    failed += 1;
                    *run.sender.now.borrow_mut() += 100 * SECOND;
                }
            }
            assert!(failed <= 1, "operation {operation}: {failed} failures of one fault");
            let snapshot = load(&mut disk.clone(), "n1").unwrap();
            assert!(!snapshot.is_incomplete(), "operation {operation}, {fault:?}: {:?}", snapshot.faults);
            assert_eq!(snapshot.destinations.len(), 60, "operation {operation}, {fault:?}");
        }
    }
}

#[test]
fn the_store_respects_its_size_and_writes_restrictions_first() {
    let disk = SimDisk::new();
    let options = Options { size: 24 << 10, sync: false };
    let (mut store, _) = Store::open(Box::new(disk.clone()), "n1", options).unwrap();
    let sender = fake_sender(1_000);
    for destination in 500..510 {
        let mut records = sender.records.borrow_mut();
        records.get_mut(&destination).unwrap().routes[0].snapshot.wait_until = START + 3_600 * SECOND;
    }
    for n in 0..400 {
        let now = START + n * 10_000;
        *sender.now.borrow_mut() = now;
        store.mark_changed((n % 1_000) as u16, now);
        store.write_slice(&Timestamp { wall: now, boot: None }, u64::MAX, &sender).unwrap();
        assert!(disk.used() <= options.size, "{} bytes", disk.used());
        assert_eq!(disk.used(), store.used());
    }
    let snapshot = load(&mut disk.clone(), "n1").unwrap();
    assert!(snapshot.omitted > 500, "{}", snapshot.omitted);
    assert!((500..510).all(|destination| snapshot.waits.contains_key(&common_route(destination))));
}

#[test]
fn released_space_is_reported_until_a_new_generation_is_complete() {
    let disk = SimDisk::new();
    let mut run = Run::new(&disk, 100, 1).unwrap();
    (0..20).for_each(|_| run.step().unwrap());
    assert!(run.store.used() > 0);
    let now = run.now();
    run.store.release(now).unwrap();
    assert_eq!((run.store.used(), disk.used()), (0, 0));
    let snapshot = load(&mut disk.clone(), "n1").unwrap();
    assert_eq!((snapshot.is_incomplete(), snapshot.faults), (true, vec![ReplayFault::SpaceReleased]));
    // Nothing is written while the journal uses the space.
    for _ in 0..50 {
        *run.sender.now.borrow_mut() += SECOND;
        run.write_slice(1_000).unwrap();
    }
    assert_eq!(disk.used(), 0);
    *run.sender.now.borrow_mut() += 100 * SECOND;
    while run.store.next_due(run.now()).is_some_and(|due| due <= run.now()) {
        run.write_slice(u64::MAX).unwrap();
    }
    let snapshot = load(&mut disk.clone(), "n1").unwrap();
    assert!(!snapshot.is_incomplete() && snapshot.destinations.len() == 100, "{:?}", snapshot.faults);
    assert!(disk.bytes(RELEASED_MARKER).is_none());
}

#[test]
fn damage_is_reported_and_what_follows_it_is_read() {
    let disk = SimDisk::new();
    let mut run = Run::new(&disk, 50, 3).unwrap();
    (0..40).for_each(|_| run.step().unwrap());
    let names = disk.clone().names().unwrap();
    let (file, length) = names.iter().max_by_key(|name| name.1).cloned().unwrap();
    let undamaged = load(&mut disk.clone(), "n1").unwrap();
    disk.corrupt(&file, |bytes| bytes[length as usize / 3] ^= 0x20);
    let snapshot = load(&mut disk.clone(), "n1").unwrap();
    assert!(
        snapshot.is_incomplete()
            && snapshot.faults.iter().any(|fault| matches!(fault, ReplayFault::Damaged { .. }))
    );
    assert_eq!(snapshot.timestamp, undamaged.timestamp, "the newest timestamp is read");
}

#[test]
fn files_of_another_sender_are_ignored_and_removed() {
    let disk = SimDisk::new();
    let mut run = Run::new(&disk, 50, 3).unwrap();
    (0..20).for_each(|_| run.step().unwrap());
    let (mut store, snapshot) = Store::open(Box::new(disk.clone()), "n2", OPTIONS).unwrap();
    assert!(!snapshot.found && snapshot.destinations.is_empty() && snapshot.waits.is_empty());
    assert!(matches!(&snapshot.faults[..], [ReplayFault::Foreign { owner, .. }] if owner == "n1"));
    assert!(!snapshot.is_incomplete(), "the sender starts as without a snapshot");
    let (own_sender, now) = (fake_sender(3), START + SECOND);
    for n in 0..5 {
        store.write_slice(&Timestamp { wall: now + n, boot: None }, u64::MAX, &own_sender).unwrap();
    }
    let snapshot = load(&mut disk.clone(), "n2").unwrap();
    assert_eq!((snapshot.destinations.len(), snapshot.faults), (3, vec![]));
}

/// The head states another version: waits have the same layout in all versions, other records are not read.
#[test]
fn waits_of_another_version_are_read() {
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
    assert!(snapshot.is_incomplete() && snapshot.destinations.is_empty());
    for (destination, until) in waits {
        assert!(snapshot.waits[&common_route(destination)] >= until);
    }
}

/// Whatever the bytes are, reading terminates without a panic, and returns no more destinations than there are bytes.
#[test]
fn arbitrary_bytes_are_read_without_a_panic() {
    use proptest::prelude::*;
    let disk = SimDisk::new();
    let mut run = Run::new(&disk, 30, 5).unwrap();
    (0..30).for_each(|_| run.step().unwrap());
    let files: Vec<Vec<u8>> =
        disk.clone().names().unwrap().iter().filter_map(|(name, _)| disk.bytes(name)).collect();
    let valid = files.concat();
    let change = (0..valid.len(), any::<u8>());
    proptest!(ProptestConfig::with_cases(500), |(changes in prop::collection::vec(change, 0..6), cut in 0..valid.len(),
        noise in prop::collection::vec(any::<u8>(), 0..300))| {
        let mut bytes = valid.clone();
        for (at, byte) in changes {
            bytes[at] = byte;
        }
        bytes.truncate(cut);
        bytes.extend(noise);
        let size = bytes.len();
        let snapshot = health_snapshot::replay::read("n1", &[GenerationFile { name: "known-000000000001".to_owned(), bytes }]);
        prop_assert!(snapshot.destinations.len() <= size);
    });
}
