//! Measures the journal's speed as ratios to plain file writes and reads of the same bytes in the same run.

use std::collections::BTreeMap;
use std::fs::{self, OpenOptions};
use std::io::Write;
use std::path::Path;
use std::process::Command;
use std::time::{Duration, Instant};

use journal::{Figures, Journal, Options as JournalOptions};

use crate::scenario::{Options, Scenario};
use crate::stores;
use crate::stream::{BODY, Durations, Stream};

/// Scenario `journal-bench`: speed of the journal.
pub const SCENARIO: Scenario = Scenario {
    name: "journal-bench",
    about: "appending, compaction and recovery against plain files; with --features embedded against databases too",
    run,
};

/// Journal limit that is never reached here, so that nothing is compacted.
const UNLIMITED: u64 = 10_000_000_000;

fn error_in<E: std::fmt::Display>(what: &str) -> impl FnOnce(E) -> String + '_ {
    move |e| format!("{what}: {e}")
}

/// Measurements of appending a stream of records.
struct Appended {
    /// Duration of each iteration: its append, and the compaction step after it.
    durations: Durations,
    /// Durations of plain writes of the same sizes, made alternately with the appends.
    plain: Durations,
    /// Appended bytes, without those that compaction wrote.
    bytes: u64,
    figures: Figures,
    records: u64,
}

/// Number of iterations after which as many plain writes are made, so that both run under the same load of the machine.
const BLOCK_ITERATIONS: usize = 500;

/// Appends a stream of records, with compaction between the iterations unless the journal's limit is `UNLIMITED`.
fn append(
    folder: &Path,
    journal_options: &JournalOptions,
    seed: u64,
    live: usize,
    iterations: u32,
) -> Result<Appended, String> {
    let compacts = journal_options.limit < UNLIMITED;
    let (mut journal, _) = Journal::open(folder, journal_options.clone(), 1).map_err(error_in("open"))?;
    let plain_path = folder.with_extension("plain");
    let mut file =
        OpenOptions::new().append(true).create_new(true).open(&plain_path).map_err(error_in("plain"))?;
    let content = vec![7; 1 << 20];
    let mut stream = Stream::new(seed, live);
    let (mut records, mut count, mut bytes) = (Vec::new(), 0, 0);
    let (mut durations, mut plain) =
        (Vec::with_capacity(iterations as usize), Vec::with_capacity(iterations as usize));
    let mut sizes = Vec::with_capacity(BLOCK_ITERATIONS);
    for _ in 0..iterations {
        stream.next_records(&mut records);
        count += records.len() as u64;
        let before = journal.figures().written;
        let started = Instant::now();
        journal.append(1, &mut records).map_err(error_in("append"))?;
        let mut duration = started.elapsed();
        let size = (journal.figures().written - before) as usize;
        if compacts {
            let started = Instant::now();
            journal.compact_step(1).map_err(error_in("compaction"))?;
            duration += started.elapsed();
        }
        durations.push(duration);
        bytes += size as u64;
        sizes.push(size);
        if sizes.len() == BLOCK_ITERATIONS {
            for size in sizes.drain(..) {
                let started = Instant::now();
                file.write_all(&content[..size]).map_err(error_in("plain"))?;
                plain.push(started.elapsed());
            }
        }
    }
    let _ = fs::remove_file(plain_path);
    let (durations, plain) = (Durations::new(durations), Durations::new(plain));
    Ok(Appended { durations, plain, bytes, figures: journal.figures(), records: count })
}

/// Reads all files of a folder completely, one after the other. Returns the time and the number of bytes.
fn plain_read(folder: &Path) -> Result<(Duration, u64), String> {
    let mut bytes = 0;
    let started = Instant::now();
    for entry in fs::read_dir(folder).map_err(error_in("read"))? {
        bytes += fs::read(entry.map_err(error_in("read"))?.path()).map_err(error_in("read"))?.len() as u64;
    }
    Ok((started.elapsed(), bytes))
}

fn median(mut ratios: Vec<f64>) -> f64 {
    ratios.sort_by(f64::total_cmp);
    ratios[ratios.len() / 2]
}

/// Returns the resident memory of this process, in bytes.
fn resident_bytes() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: u64 = text.split(' ').nth(1).and_then(|pages| pages.parse().ok()).unwrap_or(0);
    pages * 4096
}

/// First argument that makes this program open a journal and print the memory that it takes.
pub const RUN_AS_READER: &str = "run-as-reader";

/// Opens a folder's journal in a process that has done nothing else, and prints the number of live messages and the memory in bytes.
pub fn run_reader(folder: &Path) -> Result<(), String> {
    let before = resident_bytes();
    let journal_options = JournalOptions { limit: UNLIMITED, ..JournalOptions::default() };
    let (journal, _) = Journal::open(folder, journal_options, 1).map_err(error_in("open"))?;
    println!("{} {}", journal.live().len(), resident_bytes().saturating_sub(before));
    Ok(())
}

/// Returns the memory for each live message of a recovered journal, in bytes.
fn memory(folder: &Path) -> Result<u64, String> {
    let program = std::env::current_exe().map_err(error_in("the load test"))?;
    let output =
        Command::new(program).arg(RUN_AS_READER).arg(folder).output().map_err(error_in("the load test"))?;
    let text = String::from_utf8_lossy(&output.stdout);
    let mut numbers = text.split_whitespace().filter_map(|number| number.parse::<u64>().ok());
    numbers
        .next()
        .zip(numbers.next())
        .and_then(|(live, bytes)| bytes.checked_div(live))
        .ok_or(text.to_string())
}

fn recover(folder: &Path, journal_options: &JournalOptions) -> Result<(Duration, usize), String> {
    let started = Instant::now();
    let (journal, _) = Journal::open(folder, journal_options.clone(), 1).map_err(error_in("open"))?;
    Ok((started.elapsed(), journal.live().len()))
}

fn run(options: &Options) -> Result<String, String> {
    let seed = options.seed();
    let iterations: u32 = if options.short { 5_000 } else { 350_000 };
    let rounds = if options.short { 1 } else { 5 };
    let folder = tempfile::tempdir().map_err(error_in("folder"))?;
    let path_of = |name: String| folder.path().join(name);
    let unlimited = JournalOptions { limit: UNLIMITED, ..JournalOptions::default() };
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    println!(
        "{cores} cores; {iterations} iterations of 3 records, bodies of {BODY} bytes, 1000 messages live"
    );

    let mut ratios = Vec::new();
    for round in 0..rounds {
        let appended = append(&path_of(format!("a{round}")), &unlimited, seed, 1000, iterations)?;
        let plain = &appended.plain;
        let ratio = plain.sum().as_secs_f64() / appended.durations.sum().as_secs_f64();
        println!(
            "append: {:.0} records/s, {:.2} of plain writes; 99.9th percentile {:?} (plain {:?}), longest {:?}",
            appended.records as f64 / appended.durations.sum().as_secs_f64(),
            ratio,
            appended.durations.quantile(0.999),
            plain.quantile(0.999),
            appended.durations.quantile(1.0),
        );
        ratios.push(ratio);
        let _ = fs::remove_dir_all(path_of(format!("a{round}")));
    }
    let append_ratio = median(ratios);

    let mut tails: BTreeMap<u64, Vec<f64>> = BTreeMap::new();
    let mut amplification = 0.0;
    for (round, limit) in
        [3_000_000u64, 100_000_000, 500_000_000].into_iter().cycle().take(3 * rounds).enumerate()
    {
        // Nearly as many live messages as the limit allows, which gives compaction the most work.
        let live = (limit / 2 / 1300) as usize;
        let iterations = if options.short { iterations } else { iterations.max(live as u32 * 4) };
        let with = append(
            &path_of(format!("c{round}")),
            &JournalOptions { limit, ..JournalOptions::default() },
            seed,
            live,
            iterations,
        )?;
        // Segments of the same length, so that compaction is compared and not the creation of files.
        let segment = Some(with.figures.segment);
        let without = append(
            &path_of(format!("w{round}")),
            &JournalOptions { segment, ..unlimited.clone() },
            seed,
            live,
            iterations,
        )?;
        let tail =
            with.durations.quantile(0.999).as_secs_f64() / without.durations.quantile(0.999).as_secs_f64();
        amplification = with.figures.written as f64 / with.bytes as f64;
        println!(
            "compaction at {} MB, {live} live: {} segments, {amplification:.2} bytes written per appended byte; \
             99.9th percentile {:?}, {tail:.2} times that without; longest {:?} (without {:?})",
            limit / 1_000_000,
            with.figures.compacted,
            with.durations.quantile(0.999),
            with.durations.quantile(1.0),
            without.durations.quantile(1.0),
        );
        if with.figures.compacted == 0 && !options.short {
            return Err(format!("with a limit of {limit} bytes nothing was compacted"));
        }
        tails.entry(limit).or_default().push(tail);
        for name in [format!("c{round}"), format!("w{round}")] {
            let _ = fs::remove_dir_all(path_of(name));
        }
    }
    let tails: Vec<f64> = tails.into_values().map(median).collect();
    let tail = tails.iter().copied().fold(0.0, f64::max);

    let mut recoveries = Vec::new();
    for (name, live) in [("few live", 1000), ("all live", usize::MAX)] {
        let folder = path_of(format!("r {name}"));
        let appended = append(&folder, &unlimited, seed, live, iterations)?;
        let mut ratios = Vec::new();
        for _ in 0..rounds {
            let (plain, bytes) = plain_read(&folder)?;
            let (duration, found) = recover(&folder, &unlimited)?;
            let ratio = plain.as_secs_f64() / duration.as_secs_f64();
            println!(
                "recovery, {name}: {} records, {} MB in {duration:?}, {ratio:.2} of plain reading ({plain:?}); \
                 {found} live",
                appended.records,
                bytes / 1_000_000,
            );
            if found != live.min(iterations as usize) {
                return Err(format!("{found} messages are live after the recovery"));
            }
            ratios.push(ratio);
        }
        recoveries.push(median(ratios));
        if live == usize::MAX {
            let bytes_per_message = memory(&folder)?;
            println!("memory: {bytes_per_message} bytes for each live message, of which {BODY} are its body");
        }
        let _ = fs::remove_dir_all(folder);
    }
    stores::compare(folder.path(), seed, if options.short { 500 } else { 20_000 })?;

    let figures = format!(
        "append {append_ratio:.2} of plain writes, 99.9th percentile under compaction up to {tail:.2} times that without at three limits, \
         recovery {:.2} of plain reading ({:.2} with all live), {amplification:.2} bytes written per appended byte",
        recoveries[0], recoveries[1],
    );
    // The short form only checks that the scenario works: its ratios mean little on a busy machine.
    if !options.short && (append_ratio < 0.5 || tail > 2.0 || recoveries[0] < 0.25) {
        return Err(format!("{figures}; the targets are 0.5, 2 and 0.25"));
    }
    Ok(figures)
}
