//! Folders as earlier versions left them, and what the code of today says of them.

use std::fs;
use std::path::{Path, PathBuf};

use golden::stored::{CASES, contents, describe, options};
use journal::Journal;
use tempfile::TempDir;

fn data() -> PathBuf {
    Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/data/stored")).to_owned()
}

/// A copy of a recorded folder, and what was said of it.
fn copy(case: &str) -> (TempDir, String) {
    let folder = tempfile::tempdir().unwrap();
    for (name, bytes) in contents(&data().join(case)).unwrap() {
        fs::write(folder.path().join(name), bytes).unwrap();
    }
    (folder, fs::read_to_string(data().join(format!("{case}.txt"))).unwrap())
}

/// Lines of messages and of remembered ends.
fn owed(text: &str) -> Vec<&str> {
    let of = |line: &&str| {
        ["message ", "  attempt ", "  given up: ", "remembered "].iter().any(|of| line.starts_with(of))
    };
    text.lines().filter(of).collect()
}

/// Guards what an earlier version stored against a reader that takes it for something else.
#[test]
fn a_recorded_folder_says_what_was_recorded_of_it() {
    for (case, _) in CASES {
        let (folder, recorded) = copy(case);
        assert!(recorded.lines().count() > 3, "{case}");
        assert_eq!(describe(folder.path()).unwrap(), recorded, "{case}");
    }
}

/// The same once a sender has opened the journal and made it fit to be gone on with; and again when it is opened anew.
#[test]
fn nothing_of_a_recorded_journal_is_lost_when_it_is_opened() {
    let mut messages = 0;
    for (case, _) in CASES {
        let (folder, recorded) = copy(case);
        for _ in 0..2 {
            let (journal, report) = Journal::open(folder.path(), options(), 1).unwrap();
            assert!(report.damaged.is_empty() && report.suspected == 0, "{case}: {report}");
            messages += journal.live().len();
            drop(journal);
            assert_eq!(owed(&describe(folder.path()).unwrap()), owed(&recorded), "{case}");
        }
    }
    assert!(messages > 20, "{messages}");
}

/// Guards magic, tags, order and names of files in what the code of today writes.
#[test]
fn the_same_scripts_write_the_same_bytes() {
    for (case, script) in CASES {
        let folder = tempfile::tempdir().unwrap();
        script(folder.path()).unwrap();
        let (written, recorded) = (contents(folder.path()).unwrap(), contents(&data().join(case)).unwrap());
        assert_eq!(written.keys().collect::<Vec<_>>(), recorded.keys().collect::<Vec<_>>(), "{case}");
        for (name, bytes) in &written {
            assert!(*bytes == recorded[name], "{case}/{name}: other bytes are written today");
        }
    }
}
