//! Folders as `NODE_STATE` holds them, and what the code says of each.
//!
//! Each case is a folder of files that a script wrote, with time told to it, and a text: what the journal, what is known,
//! the classes' effects and the endpoints held out by hand come to when the folder is read.

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
use journal::disk::{Folder, LOCK};
use journal::{
    Abandonment, AcceptedMessage, Journal, LedgerEntry, LedgerOptions, Micros, Options, Record, inspect,
};

const SECOND: Micros = 1_000_000;
/// When a script begins.
const START: Micros = 1_800_000_000 * SECOND;
/// Whose knowledge it is.
const OWNER: &str = "node-1";
/// Bytes that the text of endpoints held out may have.
const ROOM: usize = 8 * 1024;

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

/// Writes the golden files of this kind into the folder.
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
        // Empty, and made by whoever opens the folder.
        if folder.join(LOCK).exists() {
            fs::remove_file(folder.join(LOCK))?;
        }
        fs::write(stored.join(format!("{name}.txt")), describe(&folder)?)?;
    }
    Ok(())
}

/// How the scripts' journals are kept: segments are short, so that there are several.
pub fn options() -> Options {
    Options {
        limit: 200_000,
        sync: true,
        retain: Some(LedgerOptions { span: 600 * SECOND, bytes: 20_000, classes: vec!["order".to_owned()] }),
        segment: Some(2_048),
        ..Options::default()
    }
}

/// The files of a folder by name, without the empty one that is locked.
///
/// # Errors
/// Fails when one can't be read.
pub fn contents(folder: &Path) -> io::Result<BTreeMap<String, Vec<u8>>> {
    let mut files = BTreeMap::new();
    for file in fs::read_dir(folder)? {
        let file = file?;
        let name = file.file_name().to_string_lossy().into_owned();
        if name != LOCK {
            files.insert(name, fs::read(file.path())?);
        }
    }
    Ok(files)
}

/// What the code says of a folder, looked at from outside.
///
/// # Errors
/// Fails when something can't be read.
pub fn describe(folder: &Path) -> io::Result<String> {
    let mut text = String::new();
    let seen = inspect(&mut Folder::reader(folder)).map_err(io::Error::other)?;
    for file in &seen.files {
        write_line(
            &mut text,
            format_args!("file {}: {} bytes, {} records", file.file, file.bytes, file.records),
        );
    }
    write_line(&mut text, format_args!("torn {}, dying {}, used {}", seen.torn, seen.dying, seen.used));
    write_line(&mut text, format_args!("damaged {}, suspected {}", seen.damaged.len(), seen.suspected));
    for (number, live) in &seen.live {
        owed(&mut text, *number, live);
    }
    for LedgerEntry { id, delivered, at } in &seen.ledger {
        write_line(&mut text, format_args!("remembered {id}: delivered {delivered} at {at}"));
    }
    let files = contents(folder)?;
    if let Some(names) = files.get("held-out") {
        let names = Ejections::read(&String::from_utf8_lossy(names), ROOM);
        write_line(&mut text, format_args!("held out: {:?}", names.text()));
    }
    if let Some(classes) = files.get("classes") {
        for (name, of) in serde_json::from_slice::<Classes>(classes)? {
            write_line(&mut text, format_args!("class {name}: {}", effect(of)));
        }
    }
    if files.keys().any(|name| name.starts_with(journal::SNAPSHOT_PREFIX)) {
        known(&mut text, folder)?;
    }
    Ok(text)
}

fn write_line(text: &mut String, line: std::fmt::Arguments) {
    // Writing to a string can't fail.
    let _ = writeln!(text, "{line}");
}

fn owed(text: &mut String, number: u32, live: &journal::PendingMessage) {
    let AcceptedMessage { id, key, class, destination, deadline, body } = &*live.message;
    let size = body.len();
    let sum = body.iter().fold(0u32, |sum, byte| sum.wrapping_mul(31).wrapping_add((*byte).into()));
    write_line(
        text,
        format_args!(
            "message {number}: id {id}, key {key:?}, class {class}, to {destination}, until {deadline}, {size} bytes \
             of sum {sum}"
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

fn known(text: &mut String, folder: &Path) -> io::Result<()> {
    let mut disk = Folder::reader(folder);
    let owner = health_snapshot::store::owner(&mut disk)?.unwrap_or_default();
    let seen = load(&mut disk, &owner)?;
    let Timestamp { wall, boot } = seen.timestamp;
    let boot = boot.map(|Boot { id, at }| (id, at));
    write_line(text, format_args!("known of {owner}, at {wall}, since the machine's start {boot:?}"));
    let list = seen.list.map(|list| (list.index, list.confirmed_at));
    write_line(text, format_args!("list {list:?}, found {}, left out {}", seen.found, seen.omitted));
    write_line(text, format_args!("{} troubles, lost {}", seen.faults.len(), seen.is_incomplete()));
    for (destination, DestinationRecord { at, listed, routes }) in &seen.destinations {
        write_line(text, format_args!("destination {destination} at {at}"));
        for ListedEndpoint { name, address, zone, kind, status, weight } in listed {
            let status = match status {
                EndpointStatus::Active => "active",
                EndpointStatus::Draining => "draining",
                EndpointStatus::Removed => "gone",
            };
            write_line(text, format_args!("  endpoint {name} {address} {zone} {kind} {status} {weight}"));
        }
        for RouteRecord { endpoint, snapshot: learnt } in routes {
            write_line(text, format_args!("  route {endpoint:?}: {}", observed(learnt)));
        }
    }
    for (RouteKey { destination, endpoint }, until) in &seen.waits {
        write_line(text, format_args!("wait of {destination} {endpoint:?} until {until}"));
    }
    Ok(())
}

/// All figures of a route, in an order that no renaming changes.
fn observed(learnt: &RouteSnapshot) -> String {
    let RouteSnapshot {
        wait_until,
        limit,
        shortage_at: short_at,
        send_rate: pace,
        success_rate: rate,
        condition: worst,
        failures,
        ..
    } = *learnt;
    let RouteSnapshot {
        unhealthy_since: ill_since,
        cold_since,
        last_success_at: well_at,
        trial,
        recent_calls: spent,
        latency: answers,
        ..
    } = *learnt;
    let worst = match worst {
        Condition::Healthy => "well",
        Condition::Rejecting => "full",
        Condition::Failing => "failed",
    };
    format!(
        "{wait_until} {limit} {short_at:?} {pace} {rate} {worst} {failures} {ill_since:?} {cold_since:?} {well_at} \
         {trial:?} {spent:?} {answers:?}"
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

fn remembered(n: u32, delivered: bool) -> Record {
    Record::LedgerEntry(LedgerEntry {
        id: format!("request-{n}"),
        delivered,
        at: START + u64::from(n) * SECOND,
    })
}

/// Every kind of record, in turns of one and of several.
fn all_records() -> Vec<Vec<Record>> {
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
        vec![started(4, 0), remembered(3, true), Record::Completed(3)],
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
    for (turn, records) in (1..).zip(all_records()) {
        append(&mut journal, START + turn * 1_000, records)?;
    }
    Ok(())
}

/// Many messages come and go between compaction's slices.
fn churn(journal: &mut Journal, turns: u32) -> io::Result<()> {
    for n in 10..10 + turns {
        let now = START + u64::from(n) * 10_000;
        let class = if n % 2 == 0 { "order" } else { "note" };
        append(journal, now, vec![Record::Accepted(n, message(n, class, 200)), started(n, 0)])?;
        if n % 16 != 0 {
            let ended = Record::AttemptEnded { message: n, attempt: 0, never_ran: false };
            let mut records = vec![ended];
            records.extend(n.is_multiple_of(2).then(|| remembered(n, n % 4 == 0)));
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

/// As a process leaves it that was killed within an append.
fn torn(folder: &Path) -> io::Result<()> {
    records(folder)?;
    let Some((name, bytes)) = contents(folder)?.pop_last() else {
        return Err(io::ErrorKind::NotFound.into());
    };
    fs::write(folder.join(name), &bytes[..bytes.len() - 7])
}

/// Ends that are remembered, some of them forgotten since.
fn ledger(folder: &Path) -> io::Result<()> {
    let mut journal = open(folder)?;
    for n in 1..30 {
        let now = START + u64::from(n) * SECOND;
        append(&mut journal, now, vec![Record::Accepted(n, message(n, "order", 10)), started(n, 0)])?;
        append(&mut journal, now + 1, vec![remembered(n, n % 3 > 0), Record::Completed(n)])?;
        journal.compact_step(now + 2)?;
    }
    journal.compact_step(START + 605 * SECOND)?;
    append(&mut journal, START + 606 * SECOND, vec![Record::Accepted(31, message(31, "order", 10))])
}

/// Two cores write to one journal, and a destination goes from one to the other.
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

/// The one file of versions before 0.2: each record behind its length and its checksum. They had no ledger.
fn legacy(folder: &Path) -> io::Result<()> {
    let mut bytes = Vec::new();
    let records = all_records().into_iter().flatten();
    for record in records.filter(|record| !matches!(record, Record::LedgerEntry(_))) {
        let body = postcard::to_allocvec(&record).map_err(io::Error::other)?;
        let length = u32::try_from(body.len()).map_err(io::Error::other)?;
        bytes.extend(length.to_le_bytes());
        bytes.extend(crc32fast::hash(&body).to_le_bytes());
        bytes.extend(body);
    }
    fs::write(folder.join("journal"), bytes)
}

/// What a sender knows, at some moment.
struct World {
    now: Micros,
    all: BTreeMap<u16, DestinationRecord>,
}

impl Source for World {
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

fn kept(destination: u16) -> DestinationRecord {
    let n = u64::from(destination);
    let listed = |of: u64, status| ListedEndpoint {
        name: format!("endpoint-{n}-{of}"),
        address: format!("10.0.{n}.{of}:7000"),
        zone: "near".to_owned(),
        kind: "plain".to_owned(),
        status,
        weight: 12.5,
    };
    let worst = [Condition::Healthy, Condition::Rejecting, Condition::Failing][usize::from(destination % 3)];
    let learnt = RouteSnapshot {
        wait_until: START + n * SECOND,
        limit: 20.5,
        shortage_at: Some(START - 1),
        send_rate: 7.25,
        success_rate: 3.5,
        condition: worst,
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
        routes: vec![RouteRecord { endpoint, snapshot: learnt }],
    }
}

/// A whole, and differences behind it.
fn snapshot_files(folder: &Path) -> io::Result<()> {
    let options = health_snapshot::store::Options { size: 64 << 10, sync: true };
    let disk = Box::new(Folder::companion(folder));
    let (mut store, _) = Store::open(disk, OWNER, options)?;
    let mut world = World { now: START, all: (1..=6).map(|n| (n, kept(n))).collect() };
    let slice = |store: &mut Store, world: &World| {
        let boot = Some(Boot { id: 0x0123_4567_89ab_cdef, at: world.now - START + 77 });
        store.write_slice(&Timestamp { wall: world.now, boot }, 64 << 10, world)
    };
    for _ in 0..4 {
        slice(&mut store, &world)?;
        world.now += SECOND;
    }
    if let Some(kept) = world.all.get_mut(&3) {
        kept.routes[0].snapshot.wait_until = START + 90 * SECOND;
        kept.listed[0].status = EndpointStatus::Draining;
    }
    store.mark_urgent(3, true, world.now);
    store.mark_changed(4, world.now);
    for _ in 0..40 {
        slice(&mut store, &world)?;
        world.now += SECOND;
    }
    Ok(())
}

/// A generation that is begun behind one that has grown, and a marker of an earlier loss.
fn generations(folder: &Path) -> io::Result<()> {
    snapshot_files(folder)?;
    let options = health_snapshot::store::Options { size: 64 << 10, sync: true };
    let (mut store, _) = Store::open(Box::new(Folder::companion(folder)), OWNER, options)?;
    // More than one slice holds, so that the further generation is not at its end.
    let mut all: BTreeMap<u16, DestinationRecord> = (1..=120).map(|n| (n, kept(n))).collect();
    all.values_mut().for_each(|kept| kept.routes[0].snapshot.wait_until = 0);
    let world = World { now: START + 100 * SECOND, all };
    store.write_slice(&Timestamp { wall: world.now, boot: None }, 64 << 10, &world)?;
    fs::write(folder.join(health_snapshot::store::RELEASED_MARKER), "")
}

/// Names of endpoints that are held out by hand, and what classes meant.
fn companion_files(folder: &Path) -> io::Result<()> {
    let mut held_out = Ejections::new(ROOM);
    for name in ["endpoint-2", "endpoint-1", "an\\odd\nname"] {
        held_out.enter(name).map_err(|refused| io::Error::other(refused.text()))?;
    }
    fs::write(folder.join("held-out"), held_out.text())?;
    let keyed = |group| Idempotency::Keyed { scope: group, window: 6 * SECOND };
    let classes: Classes = [
        ("all", keyed(IdempotencyScope::All)),
        ("endpoint", keyed(IdempotencyScope::Endpoint)),
        ("once", Idempotency::NonIdempotent),
        ("safe", Idempotency::Idempotent),
        ("zone", keyed(IdempotencyScope::Zone)),
    ]
    .map(|(name, effect)| (name.to_owned(), effect))
    .into();
    fs::write(folder.join("classes"), serde_json::to_vec(&classes)?)
}

/// What repeating messages of a class does, as the file `classes` has it.
type Classes = BTreeMap<String, Idempotency>;

/// An effect by names that no renaming changes.
fn effect(effect: Idempotency) -> String {
    match effect {
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
