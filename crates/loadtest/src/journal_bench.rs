//! The journal's speed, as ratios against the same bytes written and read plainly in the same run.

use std::collections::BTreeMap;
use std::fs::{self, OpenOptions};
use std::io::Write;
use std::path::Path;
use std::process::Command;
use std::time::{Duration, Instant};

use journal::{Figures, Journal, Options as Kept};

use crate::scenario::{Options, Scenario};
use crate::stores;
use crate::stream::{BODY, Stream, Times};

/// The scenario.
pub const SCENARIO: Scenario = Scenario {
    name: "journal-bench",
    about: "appending, compaction and recovery against plain files; with --features embedded against databases too",
    run,
};

/// Room for all that is ever written here.
const PLENTY: u64 = 10_000_000_000;

fn ended<E: std::fmt::Display>(what: &str) -> impl FnOnce(E) -> String + '_ {
    move |e| format!("{what}: {e}")
}

struct Appended {
    times: Times,
    /// As many bytes in the same pieces, written plainly by turns with it.
    plain: Times,
    /// Bytes that were appended, without compaction's.
    bytes: u64,
    figures: Figures,
    records: u64,
}

/// Turns between which plain writing takes its turn, so that both meet the same machine.
const BLOCK: usize = 500;

/// Appends a stream, with compaction between the turns unless there is plenty of room.
fn append(folder: &Path, kept: &Kept, seed: u64, live: usize, turns: u32) -> Result<Appended, String> {
    // With all the room there is, nothing is compacted.
    let tidy = kept.limit < PLENTY;
    let (mut journal, _) = Journal::open(folder, kept.clone(), 1).map_err(ended("open"))?;
    let beside = folder.with_extension("plain");
    let mut file = OpenOptions::new().append(true).create_new(true).open(&beside).map_err(ended("plain"))?;
    let content = vec![7; 1 << 20];
    let mut stream = Stream::new(seed, live);
    let (mut records, mut count, mut bytes) = (Vec::new(), 0, 0);
    let (mut times, mut plain) = (Vec::with_capacity(turns as usize), Vec::with_capacity(turns as usize));
    let mut sizes = Vec::with_capacity(BLOCK);
    for _ in 0..turns {
        stream.turn(&mut records);
        count += records.len() as u64;
        let before = journal.figures().written;
        let begun = Instant::now();
        journal.append(1, &mut records).map_err(ended("append"))?;
        let mut took = begun.elapsed();
        let size = (journal.figures().written - before) as usize;
        if tidy {
            let begun = Instant::now();
            journal.compact_step(1).map_err(ended("tidy"))?;
            took += begun.elapsed();
        }
        times.push(took);
        bytes += size as u64;
        sizes.push(size);
        if sizes.len() == BLOCK {
            for size in sizes.drain(..) {
                let begun = Instant::now();
                file.write_all(&content[..size]).map_err(ended("plain"))?;
                plain.push(begun.elapsed());
            }
        }
    }
    let _ = fs::remove_file(beside);
    let (times, plain) = (Times::new(times), Times::new(plain));
    Ok(Appended { times, plain, bytes, figures: journal.figures(), records: count })
}

/// Reads all files of a folder plainly, whole, one after the other; tells the time and the bytes.
fn plain_read(folder: &Path) -> Result<(Duration, u64), String> {
    let mut bytes = 0;
    let begun = Instant::now();
    for entry in fs::read_dir(folder).map_err(ended("read"))? {
        bytes += fs::read(entry.map_err(ended("read"))?.path()).map_err(ended("read"))?.len() as u64;
    }
    Ok((begun.elapsed(), bytes))
}

fn median(mut ratios: Vec<f64>) -> f64 {
    ratios.sort_by(f64::total_cmp);
    ratios[ratios.len() / 2]
}

/// What the process holds of memory.
fn resident() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: u64 = text.split(' ').nth(1).and_then(|pages| pages.parse().ok()).unwrap_or(0);
    pages * 4096
}

/// The first argument with which the program reads a journal and tells the memory that it takes.
pub const READER: &str = "run-as-reader";

/// Opens a folder's journal in a process that has done nothing else, and prints the bytes that this took.
pub fn reader(folder: &Path) -> Result<(), String> {
    let before = resident();
    let kept = Kept { limit: PLENTY, ..Kept::default() };
    let (journal, _) = Journal::open(folder, kept, 1).map_err(ended("open"))?;
    println!("{} {}", journal.live().len(), resident().saturating_sub(before));
    Ok(())
}

/// Bytes of memory for each message of a journal that was read back.
fn memory(folder: &Path) -> Result<u64, String> {
    let program = std::env::current_exe().map_err(ended("the load test"))?;
    let output = Command::new(program).arg(READER).arg(folder).output().map_err(ended("the load test"))?;
    let text = String::from_utf8_lossy(&output.stdout);
    let mut numbers = text.split_whitespace().filter_map(|number| number.parse::<u64>().ok());
    numbers
        .next()
        .zip(numbers.next())
        .and_then(|(live, bytes)| bytes.checked_div(live))
        .ok_or(text.to_string())
}

fn recover(folder: &Path, kept: &Kept) -> Result<(Duration, usize), String> {
    let begun = Instant::now();
    let (journal, _) = Journal::open(folder, kept.clone(), 1).map_err(ended("open"))?;
    Ok((begun.elapsed(), journal.live().len()))
}

fn run(options: &Options) -> Result<String, String> {
    let seed = options.seed();
    let turns: u32 = if options.short { 5_000 } else { 350_000 };
    let rounds = if options.short { 1 } else { 5 };
    let folder = tempfile::tempdir().map_err(ended("folder"))?;
    let at = |name: String| folder.path().join(name);
    let plenty = Kept { limit: PLENTY, ..Kept::default() };
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    println!("{cores} cores; {turns} turns of 3 records, bodies of {BODY} bytes, 1000 messages live");

    let mut ratios = Vec::new();
    for round in 0..rounds {
        let appended = append(&at(format!("a{round}")), &plenty, seed, 1000, turns)?;
        let plain = &appended.plain;
        let ratio = plain.sum().as_secs_f64() / appended.times.sum().as_secs_f64();
        println!(
            "append: {:.0} records/s, {:.2} of plain writes; 99.9th percentile {:?} (plain {:?}), longest {:?}",
            appended.records as f64 / appended.times.sum().as_secs_f64(),
            ratio,
            appended.times.at(0.999),
            plain.at(0.999),
            appended.times.at(1.0),
        );
        ratios.push(ratio);
        let _ = fs::remove_dir_all(at(format!("a{round}")));
    }
    let append_ratio = median(ratios);

    let mut tails: BTreeMap<u64, Vec<f64>> = BTreeMap::new();
    let mut amplification = 0.0;
    for (round, limit) in
        [3_000_000u64, 100_000_000, 500_000_000].into_iter().cycle().take(3 * rounds).enumerate()
    {
        // Near what the limit lets in: the most that compaction ever has to do.
        let live = (limit / 2 / 1300) as usize;
        let turns = if options.short { turns } else { turns.max(live as u32 * 4) };
        let with = append(&at(format!("c{round}")), &Kept { limit, ..Kept::default() }, seed, live, turns)?;
        // Files of the same length, so that what is compared is compaction and not the making of files.
        let segment = Some(with.figures.segment);
        let without =
            append(&at(format!("w{round}")), &Kept { segment, ..plenty.clone() }, seed, live, turns)?;
        let tail = with.times.at(0.999).as_secs_f64() / without.times.at(0.999).as_secs_f64();
        amplification = with.figures.written as f64 / with.bytes as f64;
        println!(
            "compaction at {} MB, {live} live: {} segments, {amplification:.2} bytes written per byte taken on; \
             99.9th percentile {:?}, {tail:.2} times that without; longest {:?} (without {:?})",
            limit / 1_000_000,
            with.figures.compacted,
            with.times.at(0.999),
            with.times.at(1.0),
            without.times.at(1.0),
        );
        if with.figures.compacted == 0 && !options.short {
            return Err(format!("at {limit} bytes nothing was compacted"));
        }
        tails.entry(limit).or_default().push(tail);
        for name in [format!("c{round}"), format!("w{round}")] {
            let _ = fs::remove_dir_all(at(name));
        }
    }
    let tails: Vec<f64> = tails.into_values().map(median).collect();
    let tail = tails.iter().copied().fold(0.0, f64::max);

    let mut recoveries = Vec::new();
    for (name, live) in [("few live", 1000), ("all live", usize::MAX)] {
        let folder = at(format!("r {name}"));
        let appended = append(&folder, &plenty, seed, live, turns)?;
        let mut ratios = Vec::new();
        for _ in 0..rounds {
            let (plain, bytes) = plain_read(&folder)?;
            let (took, found) = recover(&folder, &plenty)?;
            let ratio = plain.as_secs_f64() / took.as_secs_f64();
            println!(
                "recovery, {name}: {} records, {} MB in {took:?}, {ratio:.2} of plain reading ({plain:?}); \
                 {found} live",
                appended.records,
                bytes / 1_000_000,
            );
            if found != live.min(turns as usize) {
                return Err(format!("{found} messages live after the recovery"));
            }
            ratios.push(ratio);
        }
        recoveries.push(median(ratios));
        if live == usize::MAX {
            let each = memory(&folder)?;
            println!("memory: {each} bytes for each live message, of which {BODY} are its body");
        }
        let _ = fs::remove_dir_all(folder);
    }
    stores::compare(folder.path(), seed, if options.short { 500 } else { 20_000 })?;

    let figures = format!(
        "append {append_ratio:.2} of plain writes, 99.9th percentile under compaction {tail:.2} times that without at the worst of three limits, \
         recovery {:.2} of plain reading ({:.2} with all live), {amplification:.2} bytes written per byte taken on",
        recoveries[0], recoveries[1],
    );
    // The short form is for its working: on a busy machine its figures say little.
    if !options.short && (append_ratio < 0.5 || tail > 2.0 || recoveries[0] < 0.25) {
        return Err(format!("{figures}; wanted were 0.5, 2 and 0.25"));
    }
    Ok(figures)
}
