//! The `journal` subcommands.

use std::io::{self, Write};
use std::path::Path;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use journal::disk::Folder;
use journal::{Abandonment, Attempt, DamagedFile, Inspection, Micros, PendingMessage, inspect};
use serde_json::{Value, json};

use crate::ports::Clock;

fn read_journal(folder: &Path) -> Result<Inspection, String> {
    // Guards against a mistyped name that would pass for a journal without anything in it.
    if !folder.is_dir() {
        return Err(format!("{}: there is no such folder", folder.display()));
    }
    inspect(&mut Folder::reader(folder)).map_err(|e| format!("journal in {}: {e}", folder.display()))
}

/// A text of somebody else's as a terminal may show it: guards the terminal against what would steer it.
pub fn printed(text: &str) -> String {
    text.chars()
        .map(|c| if c.is_control() || ('\u{202a}'..='\u{2069}').contains(&c) { '\u{fffd}' } else { c })
        .collect()
}

/// Writes lines to standard output; that nobody reads on is no failure.
pub fn print(lines: impl IntoIterator<Item = String>) -> Result<(), String> {
    let mut out = io::stdout().lock();
    for line in lines {
        match writeln!(out, "{line}") {
            Err(e) if e.kind() == io::ErrorKind::BrokenPipe => return Ok(()),
            written => written.map_err(|e| e.to_string())?,
        }
    }
    Ok(())
}

/// Seconds with a millisecond's places.
pub fn seconds(span: Micros) -> String {
    format!("{}.{:03}", span / 1_000_000, span / 1_000 % 1_000)
}

fn ago(now: Micros, at: Micros) -> String {
    if at == 0 {
        "at a time not known".to_owned()
    } else {
        format!("{} s ago", seconds(now.saturating_sub(at)))
    }
}

/// `journal verify`
pub fn verify(folder: &Path) -> Result<(), String> {
    let seen = read_journal(folder)?;
    let files = seen.files.iter().map(|file| {
        format!("{}: {} bytes, {} records, {} live messages", file.file, file.bytes, file.records, file.live)
    });
    print(files)?;
    print(seen.damaged.iter().map(|DamagedFile { file, range }| match range {
        Some(range) => format!("{file}: damaged, {range}"),
        None => format!("{file}: missing, or its head is damaged"),
    }))?;
    if seen.torn > 0 {
        print([format!(
            "{} bytes at the end are no whole append: torn, or being written just now",
            seen.torn
        )])?;
    }
    print([format!(
        "{} messages are owed their end, {} ends are remembered; {} bytes on the disk, {} files to be removed",
        seen.live.len(),
        seen.ledger.len(),
        seen.used,
        seen.dying,
    )])?;
    if seen.damaged.is_empty() {
        Ok(())
    } else {
        Err(format!("{} damaged; {} messages may be affected", seen.damaged.len(), seen.suspected))
    }
}

fn attempt(now: Micros, attempt: &Attempt) -> String {
    let Attempt { number, endpoint, at, never_ran } = attempt;
    let end = if *never_ran { "never ran" } else { "may have run" };
    let endpoint = if endpoint.is_empty() { "an endpoint not known" } else { endpoint };
    format!("{number} to {endpoint} {}: {end}", ago(now, *at))
}

/// `journal list`
pub fn list(folder: &Path) -> Result<(), String> {
    let seen = read_journal(folder)?;
    let now = Clock::new().now();
    print(seen.live.iter().map(|(number, live)| {
        let taken = &live.message;
        let left = match taken.deadline.checked_sub(now) {
            Some(left) => format!("{} s left", seconds(left)),
            None => format!("overdue for {} s", seconds(now - taken.deadline)),
        };
        let owed = match live.abandoned {
            None => "to be delivered".to_owned(),
            Some(Abandonment::Undeliverable) => "to be told undeliverable".to_owned(),
            Some(Abandonment::Deferred(again)) => format!("to be told deferred by {} s", seconds(again)),
        };
        let attempts: Vec<_> = live.attempts.iter().map(|a| attempt(now, a)).collect();
        let attempts = if attempts.is_empty() { "no attempt".to_owned() } else { attempts.join(", ") };
        let (id, class, destination) = (&taken.id, &taken.class, taken.destination);
        let size = taken.body.len();
        format!("{number} {id} {class} to {destination}, {size} bytes, {left}, {owed}; {attempts}")
    }))
}

fn exported(number: u32, live: &PendingMessage) -> Value {
    let taken = &live.message;
    let attempts = live.attempts.iter().map(|a| {
        json!({"number": a.number, "endpoint": &*a.endpoint, "at_us": a.at, "may_have_run": !a.never_ran})
    });
    let given_up = live.abandoned.map(|how| match how {
        Abandonment::Undeliverable => json!({"status": "undeliverable"}),
        Abandonment::Deferred(again) => json!({"status": "deferred", "again_us": again}),
    });
    json!({
        "number": number, "id": taken.id, "key": taken.key, "class": &*taken.class,
        "destination": taken.destination, "deadline_us": taken.deadline, "given_up": given_up,
        "attempts": attempts.collect::<Vec<_>>(), "body": STANDARD.encode(&taken.body),
    })
}

/// `journal export`
pub fn export(folder: &Path) -> Result<(), String> {
    let seen = read_journal(folder)?;
    print(seen.live.iter().map(|(number, live)| exported(*number, live).to_string()))?;
    print(
        seen.ledger.iter().map(|end| {
            json!({"remembered": end.id, "delivered": end.delivered, "ended_us": end.at}).to_string()
        }),
    )
}
