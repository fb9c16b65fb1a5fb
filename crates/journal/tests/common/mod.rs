//! Shared helpers of the journal's tests.
#![allow(dead_code)]

use std::sync::Arc;

use journal::sim::SimDisk;
use journal::{
    AcceptedMessage, Damage, Journal, LedgerEntry, LedgerOptions, Micros, OpenError, OpenReport, Options,
    Record,
};

pub const LIMIT: u64 = 200_000;

pub fn message(id: &str, size: usize) -> Arc<AcceptedMessage> {
    Arc::new(AcceptedMessage {
        id: id.into(),
        key: Some("key".into()),
        class: "order".into(),
        destination: 7,
        deadline: 1_000,
        body: vec![b'x'; size].into(),
    })
}

pub fn started(message: u32, attempt: u16) -> Record {
    Record::AttemptStarted { message, attempt, endpoint: "e1".into(), at: 5 }
}

pub fn ended(message: u32, attempt: u16, never_ran: bool) -> Record {
    Record::AttemptEnded { message, attempt, never_ran }
}

pub fn ledger_entry_record(id: &str, at: Micros) -> Record {
    Record::LedgerEntry(LedgerEntry { id: id.into(), delivered: true, at })
}

pub fn options(limit: u64) -> Options {
    Options { limit, sync: false, damage: Damage::Suspect, retain: None, segment: None }
}

pub fn synced(limit: u64) -> Options {
    Options { sync: true, ..options(limit) }
}

pub fn with_ledger(limit: u64, bytes: u64, span: Micros) -> Options {
    Options { retain: Some(LedgerOptions { span, bytes, classes: vec!["order".into()] }), ..options(limit) }
}

pub fn try_open(disk: &SimDisk, options: &Options) -> Result<(Journal, OpenReport), OpenError> {
    Journal::open_on(Box::new(disk.clone()), options.clone(), 1)
}

pub fn open(disk: &SimDisk, options: &Options) -> Journal {
    let (journal, report) = try_open(disk, options).unwrap();
    assert_eq!((report.damaged.as_slice(), report.suspected), (&[][..], 0));
    journal
}

pub fn append(journal: &mut Journal, records: impl IntoIterator<Item = Record>) {
    journal.append(1, &mut records.into_iter().collect()).unwrap();
}

/// Numbers of the pending messages, in ascending order.
pub fn pending_numbers(journal: &Journal) -> Vec<u32> {
    let mut numbers: Vec<_> = journal.live().keys().copied().collect();
    numbers.sort_unstable();
    numbers
}

/// Names of the journal's segment files, oldest first.
pub fn segments(disk: &SimDisk) -> Vec<String> {
    use journal::disk::Disk;
    let mut names: Vec<_> = disk.clone().names().unwrap().into_iter().map(|file| file.0).collect();
    names.retain(|name| name.starts_with("journal-"));
    names.sort();
    names
}

/// Accepts and completes messages, numbered from `from`, until compaction has emptied `compacted` more segments.
/// Returns the next number.
pub fn churn(journal: &mut Journal, from: u32, compacted: u64) -> u32 {
    let until = journal.figures().compacted + compacted;
    let mut n = from;
    while journal.figures().compacted < until {
        append(journal, [Record::Accepted(n, message(&format!("m{n}"), 300)), started(n, 0)]);
        append(journal, [Record::Completed(n)]);
        journal.compact_step(1).unwrap();
        n += 1;
        assert!(n < from + 100_000, "compaction makes progress");
    }
    n
}
