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
    // A mistyped path would otherwise look like an empty journal.
    if !folder.is_dir() {
        return Err(format!("{}: there is no such folder", folder.display()));
    }
    inspect(&mut Folder::reader(folder)).map_err(|e| format!("journal in {}: {e}", folder.display()))
}

/// Replaces control and bidirectional formatting characters in a text from outside, which could otherwise manipulate the
/// terminal.
pub fn printable(text: &str) -> String {
    text.chars()
        .map(|c| if c.is_control() || ('\u{202a}'..='\u{2069}').contains(&c) { '\u{fffd}' } else { c })
        .collect()
}

/// Writes lines to standard output. A closed pipe is not an error.
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

/// Formats a time span in seconds, with three decimals.
pub fn seconds(span: Micros) -> String {
    format!("{}.{:03}", span / 1_000_000, span / 1_000 % 1_000)
}

/// Formats how long ago a time is; zero stands for an unknown time.
fn ago(now: Micros, at: Micros) -> String {
    if at == 0 {
        "at an unknown time".to_owned()
    } else {
        format!("{} s ago", seconds(now.saturating_sub(at)))
    }
}

/// Runs `journal verify`.
pub fn verify(folder: &Path) -> Result<(), String> {
    let inspection = read_journal(folder)?;
    let files = inspection.files.iter().map(|file| {
        format!(
            "{}: {} bytes, {} records, {} pending messages",
            file.file, file.bytes, file.records, file.live
        )
    });
    print(files)?;
    print(inspection.damaged.iter().map(|DamagedFile { file, range }| match range {
        Some(range) => format!("{file}: damaged, {range}"),
        None => format!("{file}: missing, or its head is damaged"),
    }))?;
    if inspection.torn > 0 {
        print([format!(
            "{} bytes at the end are not a complete append: torn, or still being written",
            inspection.torn
        )])?;
    }
    print([format!(
        "{} messages pending, {} outcomes in the ledger; {} bytes on the disk, {} files to be removed",
        inspection.live.len(),
        inspection.ledger.len(),
        inspection.used,
        inspection.retired,
    )])?;
    if inspection.damaged.is_empty() {
        Ok(())
    } else {
        Err(format!(
            "{} damaged; {} messages may be affected",
            inspection.damaged.len(),
            inspection.suspected
        ))
    }
}

/// Formats an attempt for `journal list`.
fn attempt(now: Micros, attempt: &Attempt) -> String {
    let Attempt { number, endpoint, at, never_ran } = attempt;
    let state = if *never_ran { "never ran" } else { "may have run" };
    let endpoint = if endpoint.is_empty() { "an unknown endpoint" } else { endpoint };
    format!("{number} to {endpoint} {}: {state}", ago(now, *at))
}

/// Runs `journal list`.
pub fn list(folder: &Path) -> Result<(), String> {
    let inspection = read_journal(folder)?;
    let now = Clock::new().now();
    print(inspection.live.iter().map(|(number, live)| {
        let accepted = &live.message;
        let left = match accepted.deadline.checked_sub(now) {
            Some(left) => format!("{} s left", seconds(left)),
            None => format!("overdue for {} s", seconds(now - accepted.deadline)),
        };
        let outcome = match live.abandoned {
            None => "to be delivered".to_owned(),
            Some(Abandonment::Undeliverable) => "to be reported as undeliverable".to_owned(),
            Some(Abandonment::Deferred(again)) => {
                format!("to be reported as deferred by {} s", seconds(again))
            }
        };
        let attempts: Vec<_> = live.attempts.iter().map(|a| attempt(now, a)).collect();
        let attempts = if attempts.is_empty() { "no attempt".to_owned() } else { attempts.join(", ") };
        let (id, class, destination) = (&accepted.id, &accepted.class, accepted.destination);
        let size = accepted.body.len();
        format!("{number} {id} {class} to {destination}, {size} bytes, {left}, {outcome}; {attempts}")
    }))
}

/// A pending message as `journal export` writes it.
fn exported(number: u32, live: &PendingMessage) -> Value {
    let accepted = &live.message;
    let attempts = live.attempts.iter().map(|a| {
        json!({"number": a.number, "endpoint": &*a.endpoint, "at_us": a.at, "may_have_run": !a.never_ran})
    });
    let abandoned = live.abandoned.map(|how| match how {
        Abandonment::Undeliverable => json!({"status": "undeliverable"}),
        Abandonment::Deferred(again) => json!({"status": "deferred", "again_us": again}),
    });
    json!({
        "number": number, "id": accepted.id, "key": accepted.key, "class": &*accepted.class,
        "destination": accepted.destination, "deadline_us": accepted.deadline, "given_up": abandoned,
        "attempts": attempts.collect::<Vec<_>>(), "body": STANDARD.encode(&accepted.body),
    })
}

/// Runs `journal export`.
pub fn export(folder: &Path) -> Result<(), String> {
    let inspection = read_journal(folder)?;
    print(inspection.live.iter().map(|(number, live)| exported(*number, live).to_string()))?;
    print(
        inspection.ledger.iter().map(|end| {
            json!({"remembered": end.id, "delivered": end.delivered, "ended_us": end.at}).to_string()
        }),
    )
}
