//! State folders as in `NODE_STATE`, with a description of the content of each.
//!
//! Each case is a folder of files that a script wrote with fixed times, and a text that describes the journal, the health snapshot,
//! the idempotency of classes and the ejected endpoints as the code reads them from the folder.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::path::Path;
use std::sync::Arc;
use std::{fs, io};

use admin::ejections::Ejections;
use decision::interface::{Condition, Idempotency, IdempotencyScope, RouteSnapshot};
use health_snapshot::store::{Source, Store, load};
use health_snapshot::timestamp::{Boot, Timestamp};
use health_snapshot::{
    DestinationRecord, EndpointStatus, ListVersion, ListedEndpoint, RouteKey, RouteRecord,
};
use journal::disk::{Folder, LOCK_FILE};
use journal::{
    Abandonment, AcceptedMessage, Journal, LedgerEntry, LedgerOptions, Micros, Options, Record, inspect,
};

const SECOND: Micros = 1_000_000;
/// Time at which a script begins.
const START: Micros = 1_800_000_000 * SECOND;
/// Owner of the health snapshots.
const SNAPSHOT_OWNER: &str = "node-1";
/// Maximum size of the list of ejected endpoints, in bytes.
const MAX_EJECTIONS_BYTES: usize = 8 * 1024;

/// A script that writes one folder.
pub type Script = fn(&Path) -> io::Result<()>;

/// All cases by name.
pub const CASES: [(&str, Script); 9] = [
    ("records", records),
    ("segments", segments),
    ("torn", torn),
    ("ledger", ledger),
    ("parts", parts),
    ("legacy", legacy),
    ("known", snapshot_files),
    ("generations", generations),
    ("beside", companion_files),
];

/// Writes the golden files of all cases to the folder `stored` in `to`.
///
/// # Errors
/// Fails when a file cannot be written.
pub fn record(to: &Path) -> io::Result<()> {
    let stored = to.join("stored");
    if stored.is_dir() {
        fs::remove_dir_all(&stored)?;
    }
    for (name, script) in CASES {
        let folder = stored.join(name);
        fs::create_dir_all(&folder)?;
        script(&folder)?;
        // The lock file is empty, and each process that opens the folder creates it.
        if folder.join(LOCK_FILE).exists() {
            fs::remove_file(folder.join(LOCK_FILE))?;
        }
        fs::write(stored.join(format!("{name}.txt")), describe(&folder)?)?;
    }
    Ok(())
}

/// Returns the journal options of the scripts. Segments are short, so that there are several.
pub fn options() -> Options {
    Options {
        limit: 200_000,
        sync: true,
        retain: Some(LedgerOptions { span: 600 * SECOND, bytes: 20_000, classes: vec!["order".to_owned()] }),
        segment: Some(2_048),
        ..Options::default()
    }
}

/// Returns the files of a folder by name, without the empty lock file.
///
/// # Errors
/// Fails when a file can't be read.
pub fn contents(folder: &Path) -> io::Result<BTreeMap<String, Vec<u8>>> {
    let mut files = BTreeMap::new();
    for file in fs::read_dir(folder)? {
        let file = file?;
        let name = file.file_name().to_string_lossy().into_owned();
        if name != LOCK_FILE {
            files.insert(name, fs::read(file.path())?);
        }
    }
    Ok(files)
}

/// Describes the content of a folder, which is opened for reading only.
///
/// # Errors
/// Fails when a part of it can't be read.
pub fn describe(folder: &Path) -> io::Result<String> {
    let mut text = String::new();
    let content = inspect(&mut Folder::reader(folder)).map_err(io::Error::other)?;
    for file in &content.files {
        write_line(
            &mut text,
            format_args!("file {}: {} bytes, {} records", file.file, file.bytes, file.records),
        );
    }
    write_line(
        &mut text,
        format_args!("torn {}, dying {}, used {}", content.torn, content.retired, content.used),
    );
    write_line(&mut text, format_args!("damaged {}, suspected {}", content.damaged.len(), content.suspected));
    for (number, live) in &content.live {
        describe_message(&mut text, *number, live);
    }
    for LedgerEntry { id, delivered, at } in &content.ledger {
        write_line(&mut text, format_args!("remembered {id}: delivered {delivered} at {at}"));
    }
    let files = contents(folder)?;
    if let Some(names) = files.get("held-out") {
        let names = Ejections::read(&String::from_utf8_lossy(names), MAX_EJECTIONS_BYTES);
        write_line(&mut text, format_args!("held out: {:?}", names.text()));
    }
    if let Some(classes) = files.get("classes") {
        for (name, idempotency) in serde_json::from_slice::<Classes>(classes)? {
            write_line(&mut text, format_args!("class {name}: {}", describe_idempotency(idempotency)));
        }
    }
    if files.keys().any(|name| name.starts_with(journal::SNAPSHOT_PREFIX)) {
        describe_snapshot(&mut text, folder)?;
    }
    Ok(text)
}

fn write_line(text: &mut String, line: std::fmt::Arguments) {
    // Writing to a string can't fail.
    let _ = writeln!(text, "{line}");
}

fn describe_message(text: &mut String, number: u32, live: &journal::PendingMessage) {
    let AcceptedMessage { id, key, class, destination, deadline, body } = &*live.message;
    let size = body.len();
    let checksum =
        body.iter().fold(0u32, |checksum, byte| checksum.wrapping_mul(31).wrapping_add((*byte).into()));
    write_line(
        text,
        format_args!(
            "message {number}: id {id}, key {key:?}, class {class}, to {destination}, until {deadline}, {size} bytes \
             of sum {checksum}"
        ),
    );
    for journal::Attempt { number, endpoint, at, never_ran } in &live.attempts {
        write_line(text, format_args!("  attempt {number} to {endpoint} at {at}, never ran {never_ran}"));
    }
    match live.abandoned {
        Some(Abandonment::Deferred(again)) => {
            write_line(text, format_args!("  given up: deferred by {again}"));
        }
        Some(Abandonment::Undeliverable) => write_line(text, format_args!("  given up: undeliverable")),
        None => {}
    }
}

fn describe_snapshot(text: &mut String, folder: &Path) -> io::Result<()> {
    let mut disk = Folder::reader(folder);
    let owner = health_snapshot::store::owner(&mut disk)?.unwrap_or_default();
    let content = load(&mut disk, &owner)?;
    let Timestamp { wall, boot } = content.timestamp;
    let boot = boot.map(|Boot { id, at }| (id, at));
    write_line(text, format_args!("known of {owner}, at {wall}, since the machine's start {boot:?}"));
    let list = content.list.map(|list| (list.index, list.confirmed_at));
    write_line(text, format_args!("list {list:?}, found {}, left out {}", content.found, content.omitted));
    write_line(text, format_args!("{} troubles, lost {}", content.faults.len(), content.is_incomplete()));
    for (destination, DestinationRecord { at, listed, routes }) in &content.destinations {
        write_line(text, format_args!("destination {destination} at {at}"));
        for ListedEndpoint { name, address, zone, kind, status, weight } in listed {
            let status = match status {
                EndpointStatus::Active => "active",
                EndpointStatus::Draining => "draining",
                EndpointStatus::Removed => "gone",
            };
            write_line(text, format_args!("  endpoint {name} {address} {zone} {kind} {status} {weight}"));
        }
        for RouteRecord { endpoint, snapshot } in routes {
            write_line(text, format_args!("  route {endpoint:?}: {}", describe_route(snapshot)));
        }
    }
    for (RouteKey { destination, endpoint }, until) in &content.waits {
        write_line(text, format_args!("wait of {destination} {endpoint:?} until {until}"));
    }
    Ok(())
}

/// Returns all values of a route's snapshot in a fixed order, independent of the names of its fields.
fn describe_route(snapshot: &RouteSnapshot) -> String {
    let RouteSnapshot {
        wait_until, limit, shortage_at, send_rate, success_rate, condition, failures, ..
    } = *snapshot;
    let RouteSnapshot { unhealthy_since, cold_since, last_success_at, trial, recent_calls, latency, .. } =
        *snapshot;
    let condition = match condition {
        Condition::Healthy => "well",
        Condition::Rejecting => "full",
        Condition::Failing => "failed",
    };
    format!(
        "{wait_until} {limit} {shortage_at:?} {send_rate} {success_rate} {condition} {failures} {unhealthy_since:?} \
         {cold_since:?} {last_success_at} {trial:?} {recent_calls:?} {latency:?}"
    )
}

fn message(n: u32, class: &str, size: usize) -> Arc<AcceptedMessage> {
    Arc::new(AcceptedMessage {
        id: format!("request-{n}"),
        key: (n % 2 == 1).then(|| format!("key-{n}")),
        class: class.into(),
        destination: n as u16 % 4 + 1,
        deadline: START + u64::from(n) * SECOND,
        body: (0..size).map(|at| (at as u32 * 7 + n) as u8).collect::<Vec<_>>().into(),
    })
}

fn started(message: u32, attempt: u16) -> Record {
    let endpoint = format!("endpoint-{}", message % 3).into();
    Record::AttemptStarted {
        message,
        attempt,
        endpoint,
        at: START + u64::from(message) * 1_000 + u64::from(attempt),
    }
}

fn ledger_entry(n: u32, delivered: bool) -> Record {
    Record::LedgerEntry(LedgerEntry {
        id: format!("request-{n}"),
        delivered,
        at: START + u64::from(n) * SECOND,
    })
}

/// Returns records of every kind, in batches of one and of several.
fn all_kinds_of_record() -> Vec<Vec<Record>> {
    vec![
        vec![Record::Accepted(1, message(1, "order", 40)), Record::Accepted(2, message(2, "note", 0))],
        vec![started(1, 0), started(2, 0), Record::Accepted(3, message(3, "order", 300))],
        vec![Record::AttemptEnded { message: 1, attempt: 0, never_ran: true }],
        vec![Record::AttemptEnded { message: 2, attempt: 0, never_ran: false }, started(1, 1)],
        vec![
            started(3, 0),
            Record::Accepted(4, message(4, "order", 5)),
            Record::Accepted(5, message(5, "note", 6)),
        ],
        vec![
            Record::Abandoned(2, Abandonment::Deferred(2_500_000)),
            Record::Abandoned(5, Abandonment::Undeliverable),
        ],
        vec![started(4, 0), ledger_entry(3, true), Record::Completed(3)],
    ]
}

fn open(folder: &Path) -> io::Result<Journal> {
    Ok(Journal::open(folder, options(), START).map_err(io::Error::other)?.0)
}

fn append(journal: &mut Journal, now: Micros, mut records: Vec<Record>) -> io::Result<()> {
    journal.append(now, &mut records).map_err(io::Error::other)
}

fn records(folder: &Path) -> io::Result<()> {
    let mut journal = open(folder)?;
    for (iteration, records) in (1..).zip(all_kinds_of_record()) {
        append(&mut journal, START + iteration * 1_000, records)?;
    }
    Ok(())
}

/// Accepts and completes many messages, with a compaction step after each.
fn churn(journal: &mut Journal, iterations: u32) -> io::Result<()> {
    for n in 10..10 + iterations {
        let now = START + u64::from(n) * 10_000;
        let class = if n % 2 == 0 { "order" } else { "note" };
        append(journal, now, vec![Record::Accepted(n, message(n, class, 200)), started(n, 0)])?;
        if n % 16 != 0 {
            let ended = Record::AttemptEnded { message: n, attempt: 0, never_ran: false };
            let mut records = vec![ended];
            records.extend(n.is_multiple_of(2).then(|| ledger_entry(n, n % 4 == 0)));
            records.push(Record::Completed(n));
            append(journal, now + 5_000, records)?;
        }
        journal.compact_step(now + 6_000)?;
    }
    Ok(())
}

fn segments(folder: &Path) -> io::Result<()> {
    records(folder)?;
    let mut journal = open(folder)?;
    churn(&mut journal, 160)?;
    if journal.figures().compacted == 0 || journal.figures().segments < 3 {
        return Err(io::Error::other(format!("no compaction: {:?}", journal.figures())));
    }
    Ok(())
}

/// Writes a journal as a process leaves it that was killed during an append.
fn torn(folder: &Path) -> io::Result<()> {
    records(folder)?;
    let Some((name, bytes)) = contents(folder)?.pop_last() else {
        return Err(io::ErrorKind::NotFound.into());
    };
    fs::write(folder.join(name), &bytes[..bytes.len() - 7])
}

/// Writes ledger entries, some of which have expired since.
fn ledger(folder: &Path) -> io::Result<()> {
    let mut journal = open(folder)?;
    for n in 1..30 {
        let now = START + u64::from(n) * SECOND;
        append(&mut journal, now, vec![Record::Accepted(n, message(n, "order", 10)), started(n, 0)])?;
        append(&mut journal, now + 1, vec![ledger_entry(n, n % 3 > 0), Record::Completed(n)])?;
        journal.compact_step(now + 2)?;
    }
    journal.compact_step(START + 605 * SECOND)?;
    append(&mut journal, START + 606 * SECOND, vec![Record::Accepted(31, message(31, "order", 10))])
}

/// Writes a journal shared by two cores, between which a destination moves.
fn parts(folder: &Path) -> io::Result<()> {
    let mut parts = open(folder)?.share(2, |destination| usize::from(destination % 2));
    let mut numbers = Vec::new();
    for n in 0..6 {
        let part = &mut parts[n % 2];
        let number = part.next_message_number()?;
        numbers.push(number);
        // Destinations 1 and 3, or 2 and 4.
        let mut records =
            vec![Record::Accepted(number, message(n as u32 + 3, "order", 20)), started(number, 0)];
        part.append(START + n as u64, &mut records).map_err(io::Error::other)?;
    }
    let moved = parts[0].detach([numbers[0]]);
    parts[1].attach(moved);
    let mut records = vec![Record::AttemptEnded { message: numbers[0], attempt: 0, never_ran: true }];
    parts[1].append(START + 10, &mut records).map_err(io::Error::other)?;
    let mut records = vec![Record::Completed(numbers[2])];
    parts[0].append(START + 11, &mut records).map_err(io::Error::other)
}

/// Writes the single journal file of versions before 0.2, in which each record follows its length and its checksum. Those versions
/// had no ledger.
fn legacy(folder: &Path) -> io::Result<()> {
    let mut bytes = Vec::new();
    let records = all_kinds_of_record().into_iter().flatten();
    for record in records.filter(|record| !matches!(record, Record::LedgerEntry(_))) {
        let body = postcard::to_allocvec(&record).map_err(io::Error::other)?;
        let length = u32::try_from(body.len()).map_err(io::Error::other)?;
        bytes.extend(length.to_le_bytes());
        bytes.extend(crc32fast::hash(&body).to_le_bytes());
        bytes.extend(body);
    }
    fs::write(folder.join("journal"), bytes)
}

/// Content of a health snapshot at one moment.
struct SnapshotSource {
    now: Micros,
    all: BTreeMap<u16, DestinationRecord>,
}

impl Source for SnapshotSource {
    fn destinations(&self) -> Vec<u16> {
        self.all.keys().copied().collect()
    }

    fn record(&self, destination: u16) -> Option<DestinationRecord> {
        Some(DestinationRecord { at: self.now, ..self.all.get(&destination)?.clone() })
    }

    fn list(&self) -> ListVersion {
        ListVersion { index: 17, confirmed_at: self.now }
    }
}

fn destination_record(destination: u16) -> DestinationRecord {
    let n = u64::from(destination);
    let listed = |number: u64, status| ListedEndpoint {
        name: format!("endpoint-{n}-{number}"),
        address: format!("10.0.{n}.{number}:7000"),
        zone: "near".to_owned(),
        kind: "plain".to_owned(),
        status,
        weight: 12.5,
    };
    let condition =
        [Condition::Healthy, Condition::Rejecting, Condition::Failing][usize::from(destination % 3)];
    let snapshot = RouteSnapshot {
        wait_until: START + n * SECOND,
        limit: 20.5,
        shortage_at: Some(START - 1),
        send_rate: 7.25,
        success_rate: 3.5,
        condition,
        failures: 2,
        unhealthy_since: Some(START - 2),
        cold_since: Some(START - 3),
        last_success_at: START - 4,
        trial: Some((START + 5 * SECOND, 6)),
        recent_calls: (2.5, START - 7),
        latency: Some((20_000.5, 5_000.25)),
    };
    let endpoint = destination.is_multiple_of(2).then(|| format!("endpoint-{n}-1"));
    DestinationRecord {
        at: 0,
        listed: vec![
            listed(1, EndpointStatus::Active),
            listed(2, EndpointStatus::Draining),
            listed(3, EndpointStatus::Removed),
        ],
        routes: vec![RouteRecord { endpoint, snapshot }],
    }
}

/// Writes a complete snapshot, followed by changes.
fn snapshot_files(folder: &Path) -> io::Result<()> {
    let options = health_snapshot::store::Options { size: 64 << 10, sync: true };
    let disk = Box::new(Folder::companion(folder));
    let (mut store, _) = Store::open(disk, SNAPSHOT_OWNER, options)?;
    let mut source =
        SnapshotSource { now: START, all: (1..=6).map(|n| (n, destination_record(n))).collect() };
    let slice = |store: &mut Store, source: &SnapshotSource| {
        let boot = Some(Boot { id: 0x0123_4567_89ab_cdef, at: source.now - START + 77 });
        store.write_slice(&Timestamp { wall: source.now, boot }, 64 << 10, source)
    };
    for _ in 0..4 {
        slice(&mut store, &source)?;
        source.now += SECOND;
    }
    if let Some(record) = source.all.get_mut(&3) {
        record.routes[0].snapshot.wait_until = START + 90 * SECOND;
        record.listed[0].status = EndpointStatus::Draining;
    }
    store.mark_urgent(3, true, source.now);
    store.mark_changed(4, source.now);
    for _ in 0..40 {
        slice(&mut store, &source)?;
        source.now += SECOND;
    }
    Ok(())
}

/// Writes the incomplete start of a generation next to a complete one, and the marker of an earlier removal of all files.
fn generations(folder: &Path) -> io::Result<()> {
    snapshot_files(folder)?;
    let options = health_snapshot::store::Options { size: 64 << 10, sync: true };
    let (mut store, _) = Store::open(Box::new(Folder::companion(folder)), SNAPSHOT_OWNER, options)?;
    // More destinations than one slice holds, so that the new generation is incomplete.
    let mut all: BTreeMap<u16, DestinationRecord> = (1..=120).map(|n| (n, destination_record(n))).collect();
    all.values_mut().for_each(|record| record.routes[0].snapshot.wait_until = 0);
    let source = SnapshotSource { now: START + 100 * SECOND, all };
    store.write_slice(&Timestamp { wall: source.now, boot: None }, 64 << 10, &source)?;
    fs::write(folder.join(health_snapshot::store::RELEASED_MARKER), "")
}

/// Writes the list of endpoints that operators ejected, and the idempotency of classes.
fn companion_files(folder: &Path) -> io::Result<()> {
    let mut ejections = Ejections::new(MAX_EJECTIONS_BYTES);
    for name in ["endpoint-2", "endpoint-1", "an\\odd\nname"] {
        ejections.eject(name).map_err(|refused| io::Error::other(refused.text()))?;
    }
    fs::write(folder.join("held-out"), ejections.text())?;
    let keyed = |group| Idempotency::Keyed { scope: group, window: 6 * SECOND };
    let classes: Classes = [
        ("all", keyed(IdempotencyScope::All)),
        ("endpoint", keyed(IdempotencyScope::Endpoint)),
        ("once", Idempotency::NonIdempotent),
        ("safe", Idempotency::Idempotent),
        ("zone", keyed(IdempotencyScope::Zone)),
    ]
    .map(|(name, idempotency)| (name.to_owned(), idempotency))
    .into();
    fs::write(folder.join("classes"), serde_json::to_vec(&classes)?)
}

/// Idempotency by class, as in the file `classes`.
type Classes = BTreeMap<String, Idempotency>;

/// Describes an idempotency in fixed words, independent of the names of its variants.
fn describe_idempotency(idempotency: Idempotency) -> String {
    match idempotency {
        Idempotency::Idempotent => "idempotent".to_owned(),
        Idempotency::NonIdempotent => "at most once".to_owned(),
        Idempotency::Keyed { scope: IdempotencyScope::All, window } => {
            format!("keyed at all endpoints for {window}")
        }
        Idempotency::Keyed { scope: IdempotencyScope::Zone, window } => {
            format!("keyed in a zone for {window}")
        }
        Idempotency::Keyed { scope: IdempotencyScope::Endpoint, window } => {
            format!("keyed at an endpoint for {window}")
        }
    }
}
