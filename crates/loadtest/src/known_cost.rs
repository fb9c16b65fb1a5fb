//! Measures the cost of the health snapshot: the CPU time for each message with and without it, and the time that one slice of its
//! writing adds to an iteration of the event loop.

use std::cell::RefCell;
use std::time::{Duration, Instant};

use decision::interface::RouteSnapshot;
use health_snapshot::store::{Options as SnapshotOptions, Source, Store};
use health_snapshot::timestamp::Timestamp;
use health_snapshot::{DestinationRecord, EndpointStatus, ListVersion, ListedEndpoint, Micros, RouteRecord};
use journal::Journal;
use journal::disk::Folder;
use test_doubles::Platform;

use crate::scenario::{Options, Scenario, sender_program};
use crate::stream::{Durations, Stream};
use crate::throughput::{healthy_partners, load, start_sender};

/// Scenario `known-cost`: cost of the health snapshot.
pub const SCENARIO: Scenario = Scenario {
    name: "known-cost",
    about: "CPU time for each message with and without the health snapshot, and the duration of its slices",
    run,
};

/// Highest share that the health snapshot may add to the CPU time for each message.
const MAX_ADDED_CPU: f64 = 0.03;
/// Highest 99th percentile of the duration of a slice.
const MAX_SLICE_DURATION: Duration = Duration::from_millis(2);
/// Number of clients.
const CLIENTS: u64 = 32;
/// Wall-clock time of the first iteration.
const START: Micros = 1_700_000_000_000_000;

/// Many destinations, the records of which change with each iteration.
struct World {
    count: u16,
    now: RefCell<Micros>,
}

impl Source for World {
    fn destinations(&self) -> Vec<u16> {
        (0..self.count).collect()
    }

    fn record(&self, destination: u16) -> Option<DestinationRecord> {
        let now = *self.now.borrow();
        let route_snapshot = RouteSnapshot {
            limit: 5.0 + f64::from(destination),
            success_rate: (now % 1_000) as f64,
            cold_since: destination.is_multiple_of(10).then_some(START + now % 7),
            last_success_at: now,
            ..RouteSnapshot::default()
        };
        let listed = ListedEndpoint {
            name: format!("s-{destination:08x}"),
            address: format!("10.1.0.18:{destination}"),
            zone: "cph-1".into(),
            kind: "bulk".into(),
            status: EndpointStatus::Active,
            weight: 1.0,
        };
        Some(DestinationRecord {
            at: now,
            listed: vec![listed],
            routes: vec![RouteRecord { endpoint: None, snapshot: route_snapshot }],
        })
    }

    fn list(&self) -> ListVersion {
        ListVersion { index: 41, confirmed_at: *self.now.borrow() }
    }
}

/// Measures slices while a snapshot of this number of destinations is written and ten of them change in each iteration of 5 ms.
/// Returns the durations of the slices and the number of bytes written.
fn measure_slices(count: u16, iterations: u64) -> Result<(Durations, u64), String> {
    let folder = tempfile::tempdir().map_err(|e| e.to_string())?;
    let disk = Box::new(Folder::companion(folder.path()));
    let options = SnapshotOptions { size: 64 << 20, sync: false };
    let (mut store, _) = Store::open(disk, "n1", options).map_err(|e| e.to_string())?;
    let world = World { count, now: RefCell::new(START) };
    let mut durations = Vec::new();
    for iteration in 0..iterations {
        let now = START + iteration * 5_000;
        *world.now.borrow_mut() = now;
        for n in 0..10 {
            store.mark_changed(((iteration * 37 + n * 11) % u64::from(count)) as u16, now);
        }
        let started = Instant::now();
        store
            .write_slice(&Timestamp { wall: now, boot: None }, u64::MAX, &world)
            .map_err(|e| e.to_string())?;
        durations.push(started.elapsed());
    }
    Ok((Durations::new(durations), store.written()))
}

/// Measures the append of each iteration and the compaction slice after it, with or without a health snapshot that is written
/// next to the journal.
fn measure_appends(
    with_snapshot: bool,
    seed: u64,
    iterations: u64,
) -> Result<(Durations, Durations), String> {
    let folder = tempfile::tempdir().map_err(|e| e.to_string())?;
    let journal_options = journal::Options { limit: 3_000_000, ..journal::Options::default() };
    let (mut journal, _) = Journal::open(folder.path(), journal_options, 1).map_err(|e| e.to_string())?;
    let options = SnapshotOptions { size: 375_000, sync: false };
    let disk = Box::new(Folder::companion(folder.path()));
    let mut store = Store::open(disk, "n1", options).map_err(|e| e.to_string())?.0;
    let world = World { count: 60, now: RefCell::new(START) };
    let (mut stream, mut records) = (Stream::new(seed, 200), Vec::new());
    let (mut append, mut compaction) = (Vec::new(), Vec::new());
    for iteration in 0..iterations {
        let now = START + iteration * 5_000;
        *world.now.borrow_mut() = now;
        stream.next_records(&mut records);
        let started = Instant::now();
        journal.append(now, &mut records).map_err(|e| e.to_string())?;
        append.push(started.elapsed());
        let started = Instant::now();
        journal.compact_step(now).map_err(|e| e.to_string())?;
        compaction.push(started.elapsed());
        if with_snapshot {
            (0..10).for_each(|n| store.mark_changed(((iteration * 37 + n * 11) % 60) as u16, now));
            let room = journal.free_reserved_bytes();
            store
                .write_slice(&Timestamp { wall: now, boot: None }, room, &world)
                .map_err(|e| e.to_string())?;
            journal.set_reserved_bytes(store.used());
        }
    }
    Ok((Durations::new(append), Durations::new(compaction)))
}

/// Compares appends and compaction slices with and without the health snapshot, alternating between the two, at the median and at
/// the 99th percentile.
fn journal_cost(seed: u64, pairs: usize, iterations: u64) -> Result<String, String> {
    let (mut medians, mut p99s) = ([vec![], vec![]], [vec![], vec![]]);
    for pair in 0..pairs {
        let mut durations: [Option<(Durations, Durations)>; 2] = [None, None];
        for with_snapshot in [pair % 2 == 0, pair % 2 == 1] {
            durations[usize::from(with_snapshot)] = Some(measure_appends(with_snapshot, seed, iterations)?);
        }
        let [Some(without), Some(with)] = durations else { return Err("a pair is incomplete".into()) };
        let ratio = |with: &Durations, without: &Durations, share| {
            with.quantile(share).as_secs_f64() / without.quantile(share).as_secs_f64().max(1e-9)
        };
        for (n, (with, without)) in [(&with.0, &without.0), (&with.1, &without.1)].into_iter().enumerate() {
            medians[n].push(ratio(with, without, 0.5));
            p99s[n].push(ratio(with, without, 0.99));
        }
    }
    let median_of = |ratios: &mut Vec<f64>| {
        ratios.sort_by(f64::total_cmp);
        ratios[ratios.len() / 2]
    };
    let [append, compaction] = medians.each_mut().map(median_of);
    let [append_99, compaction_99] = p99s.each_mut().map(median_of);
    Ok(format!(
        "append {append:.3} times at the median and {append_99:.3} at p99, compaction slice {compaction:.3} and {compaction_99:.3}, {pairs} pairs"
    ))
}

fn run(options: &Options) -> Result<String, String> {
    let iterations = if options.short { 500 } else { 20_000 };
    for count in [30, 1_000, 20_000] {
        let (durations, written) = measure_slices(count, iterations)?;
        println!(
            "{count:>6} destinations, {iterations} iterations: a slice takes {:?} at the median, {:?} at p99.9, {:?} at most; {written} bytes",
            durations.quantile(0.5),
            durations.quantile(0.999),
            durations.quantile(1.0)
        );
        if durations.quantile(0.99) > MAX_SLICE_DURATION && !options.short {
            return Err(format!(
                "with {count} destinations a slice takes {:?} at p99",
                durations.quantile(0.99)
            ));
        }
    }
    let (journal_pairs, iterations) = if options.short { (1, 500) } else { (11, 20_000) };
    println!(
        "next to a journal of 3 MB, with over without the health snapshot: {}",
        journal_cost(options.seed(), journal_pairs, iterations)?
    );
    let time = Duration::from_millis(if options.short { 300 } else { 2_000 });
    let pairs = if options.short { 1 } else { 21 };
    let folder = tempfile::tempdir().map_err(|e| e.to_string())?;
    let operators = folder.path().join("on.toml");
    std::fs::write(&operators, "[known]\non = true\n").map_err(|e| e.to_string())?;
    let mut ratios = Vec::new();
    for pair in 0..pairs {
        let mut cpu_per_message_us = [0.0; 2];
        // The order alternates between pairs.
        for with_snapshot in [pair % 2 == 0, pair % 2 == 1] {
            let (partners, platform) = (healthy_partners(), Platform::new());
            let sender_program = if with_snapshot {
                sender_program().arg("--operators").arg(&operators)
            } else {
                sender_program()
            };
            let node = start_sender(&sender_program, &platform, &partners);
            let figures = load(node.address, node.pid(), &partners, CLIENTS, time);
            if figures.accepted == 0 || figures.delivered == 0 {
                return Err("no message is delivered".into());
            }
            cpu_per_message_us[usize::from(with_snapshot)] = figures.cpu_per_message_us();
        }
        ratios.push(cpu_per_message_us[1] / cpu_per_message_us[0]);
    }
    ratios.sort_by(f64::total_cmp);
    let median = ratios[ratios.len() / 2];
    println!(
        "CPU time for each message, with over without the health snapshot: {:.3} to {:.3}",
        ratios[0],
        ratios[ratios.len() - 1]
    );
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    let figures = format!(
        "{median:.3} times the CPU time for each message, median of {pairs} pairs, {CLIENTS} clients, {cores} cores"
    );
    if median > 1.0 + MAX_ADDED_CPU && !options.short {
        return Err(figures);
    }
    Ok(figures)
}
