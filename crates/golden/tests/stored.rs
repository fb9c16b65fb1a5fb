//! Compares state folders of earlier versions with the current code.

use std::fs;
use std::path::{Path, PathBuf};

use golden::stored::{CASES, contents, describe, options};
use journal::Journal;
use tempfile::TempDir;

fn data() -> PathBuf {
    Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/data/stored")).to_owned()
}

/// Returns a copy of a recorded folder, and its recorded description.
fn copy(case: &str) -> (TempDir, String) {
    let folder = tempfile::tempdir().unwrap();
    for (name, bytes) in contents(&data().join(case)).unwrap() {
        fs::write(folder.path().join(name), bytes).unwrap();
    }
    (folder, fs::read_to_string(data().join(format!("{case}.txt"))).unwrap())
}

/// Returns the lines that describe messages and ledger entries.
fn message_lines(text: &str) -> Vec<&str> {
    let is_message_line = |line: &&str| {
        ["message ", "  attempt ", "  given up: ", "remembered "]
            .iter()
            .any(|prefix| line.starts_with(prefix))
    };
    text.lines().filter(is_message_line).collect()
}

/// The current code reads from the files of an earlier version what is described as their content.
#[test]
fn recorded_folder_matches_its_description() {
    for (case, _) in CASES {
        let (folder, recorded) = copy(case);
        assert!(recorded.lines().count() > 3, "{case}");
        assert_eq!(describe(folder.path()).unwrap(), recorded, "{case}");
    }
}

/// No message or ledger entry is lost when a sender opens a recorded journal, which repairs it for writing, nor when it opens that
/// journal once more.
#[test]
fn opening_recorded_journal_loses_nothing() {
    let mut messages = 0;
    for (case, _) in CASES {
        let (folder, recorded) = copy(case);
        for _ in 0..2 {
            let (journal, report) = Journal::open(folder.path(), options(), 1).unwrap();
            assert!(report.damaged.is_empty() && report.suspected == 0, "{case}: {report}");
            messages += journal.live().len();
            drop(journal);
            assert_eq!(message_lines(&describe(folder.path()).unwrap()), message_lines(&recorded), "{case}");
        }
    }
    assert!(messages > 20, "{messages}");
}

/// The current code writes the recorded files, with the same names, magic numbers, tags and order.
#[test]
fn scripts_write_recorded_bytes() {
    for (case, script) in CASES {
        let folder = tempfile::tempdir().unwrap();
        script(folder.path()).unwrap();
        let (written, recorded) = (contents(folder.path()).unwrap(), contents(&data().join(case)).unwrap());
        assert_eq!(written.keys().collect::<Vec<_>>(), recorded.keys().collect::<Vec<_>>(), "{case}");
        for (name, bytes) in &written {
            assert!(*bytes == recorded[name], "{case}/{name}: the current code writes other bytes");
        }
    }
}
