//! What it costs to keep what is known: the CPU for each message with and without, side by side, and how long a slice takes
//! after a turn.

use std::cell::RefCell;
use std::time::{Duration, Instant};

use decision::interface::RouteSnapshot;
use health_snapshot::store::{Options as Keep, Source, Store};
use health_snapshot::timestamp::Timestamp;
use health_snapshot::{DestinationRecord, EndpointStatus, ListVersion, ListedEndpoint, Micros, RouteRecord};
use journal::Journal;
use journal::disk::Folder;
use test_doubles::Platform;

use crate::scenario::{Options, Scenario, program};
use crate::stream::{Stream, Times};
use crate::throughput::{load, node, partners};

/// The scenario.
pub const SCENARIO: Scenario = Scenario {
    name: "known-cost",
    about: "CPU for each message with and without keeping what is known, and how long its slices take",
    run,
};

/// What keeping may add to the CPU for each message.
const MORE: f64 = 0.03;
/// What a slice may take, nearly always.
const SLICE: Duration = Duration::from_millis(2);
const CLIENTS: u64 = 32;
const START: Micros = 1_700_000_000_000_000;

/// Many destinations, whose figures change all the time.
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
        let learnt = RouteSnapshot {
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
            routes: vec![RouteRecord { endpoint: None, snapshot: learnt }],
        })
    }

    fn list(&self) -> ListVersion {
        ListVersion { index: 41, confirmed_at: *self.now.borrow() }
    }
}

/// Times of slices while a whole of so many destinations is written and ten of them change in each turn of 5 ms; and bytes.
fn slices(count: u16, turns: u64) -> Result<(Times, u64), String> {
    let folder = tempfile::tempdir().map_err(|e| e.to_string())?;
    let disk = Box::new(Folder::companion(folder.path()));
    let options = Keep { size: 64 << 20, sync: false };
    let (mut store, _) = Store::open(disk, "n1", options).map_err(|e| e.to_string())?;
    let world = World { count, now: RefCell::new(START) };
    let mut times = Vec::new();
    for turn in 0..turns {
        let now = START + turn * 5_000;
        *world.now.borrow_mut() = now;
        for n in 0..10 {
            store.mark_changed(((turn * 37 + n * 11) % u64::from(count)) as u16, now);
        }
        let began = Instant::now();
        store
            .write_slice(&Timestamp { wall: now, boot: None }, u64::MAX, &world)
            .map_err(|e| e.to_string())?;
        times.push(began.elapsed());
    }
    Ok((Times::new(times), store.written()))
}

/// Times of a turn's append, and of compaction's slice behind it, while what is known is written beside the journal or not.
fn appends(known: bool, seed: u64, turns: u64) -> Result<(Times, Times), String> {
    let folder = tempfile::tempdir().map_err(|e| e.to_string())?;
    let kept = journal::Options { limit: 3_000_000, ..journal::Options::default() };
    let (mut journal, _) = Journal::open(folder.path(), kept, 1).map_err(|e| e.to_string())?;
    let options = Keep { size: 375_000, sync: false };
    let disk = Box::new(Folder::companion(folder.path()));
    let mut store = Store::open(disk, "n1", options).map_err(|e| e.to_string())?.0;
    let world = World { count: 60, now: RefCell::new(START) };
    let (mut stream, mut records) = (Stream::new(seed, 200), Vec::new());
    let (mut append, mut pause) = (Vec::new(), Vec::new());
    for turn in 0..turns {
        let now = START + turn * 5_000;
        *world.now.borrow_mut() = now;
        stream.turn(&mut records);
        let began = Instant::now();
        journal.append(now, &mut records).map_err(|e| e.to_string())?;
        append.push(began.elapsed());
        let began = Instant::now();
        journal.compact_step(now).map_err(|e| e.to_string())?;
        pause.push(began.elapsed());
        if known {
            (0..10).for_each(|n| store.mark_changed(((turn * 37 + n * 11) % 60) as u16, now));
            let room = journal.free_reserved_bytes();
            store
                .write_slice(&Timestamp { wall: now, boot: None }, room, &world)
                .map_err(|e| e.to_string())?;
            journal.set_reserved_bytes(store.used());
        }
    }
    Ok((Times::new(append), Times::new(pause)))
}

/// Appends and compaction's slices with and without, by turns; fails where half of them, or nearly all, take more.
fn journal_cost(seed: u64, pairs: usize, turns: u64) -> Result<String, String> {
    let (mut halves, mut nearly) = ([vec![], vec![]], [vec![], vec![]]);
    for pair in 0..pairs {
        let mut times: [Option<(Times, Times)>; 2] = [None, None];
        for known in [pair % 2 == 0, pair % 2 == 1] {
            times[usize::from(known)] = Some(appends(known, seed, turns)?);
        }
        let [Some(without), Some(with)] = times else { return Err("a pair lacks one".into()) };
        let ratio = |with: &Times, without: &Times, share| {
            with.at(share).as_secs_f64() / without.at(share).as_secs_f64().max(1e-9)
        };
        for (n, (with, without)) in [(&with.0, &without.0), (&with.1, &without.1)].into_iter().enumerate() {
            halves[n].push(ratio(with, without, 0.5));
            nearly[n].push(ratio(with, without, 0.99));
        }
    }
    let middle = |ratios: &mut Vec<f64>| {
        ratios.sort_by(f64::total_cmp);
        ratios[ratios.len() / 2]
    };
    let [append, pause] = halves.each_mut().map(middle);
    let [append_99, pause_99] = nearly.each_mut().map(middle);
    Ok(format!(
        "append {append:.3} times at half and {append_99:.3} at 99%, compaction's slice {pause:.3} and {pause_99:.3}, {pairs} pairs"
    ))
}

fn run(options: &Options) -> Result<String, String> {
    let turns = if options.short { 500 } else { 20_000 };
    for count in [30, 1_000, 20_000] {
        let (times, written) = slices(count, turns)?;
        println!(
            "{count:>6} destinations, {turns} turns: a slice takes {:?} at half, {:?} at 99.9%, {:?} at most; {written} bytes",
            times.at(0.5),
            times.at(0.999),
            times.at(1.0)
        );
        if times.at(0.99) > SLICE && !options.short {
            return Err(format!("with {count} destinations a slice takes {:?} at 99%", times.at(0.99)));
        }
    }
    let (few, turns) = if options.short { (1, 500) } else { (11, 20_000) };
    println!("beside a journal of 3 MB: {}", journal_cost(options.seed(), few, turns)?);
    let time = Duration::from_millis(if options.short { 300 } else { 2_000 });
    let pairs = if options.short { 1 } else { 21 };
    let folder = tempfile::tempdir().map_err(|e| e.to_string())?;
    let on = folder.path().join("on.toml");
    std::fs::write(&on, "[known]\non = true\n").map_err(|e| e.to_string())?;
    let mut ratios = Vec::new();
    for pair in 0..pairs {
        let mut each = [0.0; 2];
        // Each goes first in turn.
        for known in [pair % 2 == 0, pair % 2 == 1] {
            let (partners, platform) = (partners(), Platform::new());
            let program = if known { program().arg("--operators").arg(&on) } else { program() };
            let node = node(&program, &platform, &partners);
            let figures = load(node.address, node.pid(), &partners, CLIENTS, time);
            if figures.taken == 0 || figures.delivered == 0 {
                return Err("nothing passes".into());
            }
            each[usize::from(known)] = figures.each();
        }
        ratios.push(each[1] / each[0]);
    }
    ratios.sort_by(f64::total_cmp);
    let median = ratios[ratios.len() / 2];
    println!("CPU for each message, with over without: {:.3} to {:.3}", ratios[0], ratios[ratios.len() - 1]);
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    let figures = format!(
        "{median:.3} times the CPU for each message, median of {pairs} pairs, {CLIENTS} clients, {cores} cores"
    );
    if median > 1.0 + MORE && !options.short {
        return Err(figures);
    }
    Ok(figures)
}
