//! Compares the state and the messages of a hand-over with the recorded ones.

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;
use std::sync::OnceLock;

use decision::policy::Policy;
use decision::policy::migration::MigratedState;
use golden::handover::{bodies, canonical, files, listing, names};
use handover::{HandoverState, ToPredecessor, ToSuccessor, frame};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Paths whose value is the default in all recorded files, each with the reason.
const UNCOVERED_PATHS: [(&str, &str); 2] = [
    ("parcel.endpoints[][].gone", "the same type as in policy.endpoints.all, where the field is set"),
    (
        "policy.endpoints.whole",
        "set only during a batch: each list is processed completely in the batch in which it arrives",
    ),
];

fn recorded() -> BTreeMap<String, Vec<u8>> {
    let folder = Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/data/handover"));
    let files = fs::read_dir(folder).unwrap().map(|file| file.unwrap().path());
    files
        .map(|file| (file.file_name().unwrap().to_str().unwrap().to_owned(), fs::read(&file).unwrap()))
        .collect()
}

/// Returns the files that the current code writes.
fn current_files() -> &'static BTreeMap<String, Vec<u8>> {
    static CURRENT_FILES: OnceLock<BTreeMap<String, Vec<u8>>> = OnceLock::new();
    CURRENT_FILES.get_or_init(|| files().unwrap())
}

fn assert_round_trip<T: Serialize + DeserializeOwned>(file: &str, bytes: &[u8]) {
    let value: T = rmp_serde::from_slice(bytes).unwrap_or_else(|e| panic!("{file}: {e}"));
    let again = canonical(&rmp_serde::to_vec_named(&value).unwrap()).unwrap();
    assert!(again == bytes, "{file}: writing the value that was read gives other bytes");
}

fn assert_frames_round_trip<T: Serialize + DeserializeOwned>(file: &str, bytes: &[u8]) {
    let messages: Vec<T> =
        bodies(bytes).unwrap().into_iter().map(|body| frame::read(body).unwrap()).collect();
    let again: Vec<u8> = messages.iter().flat_map(|message| frame::write(message).unwrap()).collect();
    assert!(
        !messages.is_empty() && again == bytes,
        "{file}: writing the messages that were read gives other bytes"
    );
}

/// Files that an earlier version wrote are read without loss: a field that the current code drops or renames would be missing when
/// they are written again.
#[test]
fn recorded_files_round_trip_to_same_bytes() {
    let recorded = recorded();
    assert!(recorded.len() >= 6, "{:?}", recorded.keys());
    for (file, bytes) in &recorded {
        match file.as_str() {
            "state.msgpack" => assert_round_trip::<HandoverState>(file, bytes),
            "to_old.frames" => assert_frames_round_trip::<ToPredecessor>(file, bytes),
            "to_new.frames" => assert_frames_round_trip::<ToSuccessor>(file, bytes),
            "names.txt" => {}
            _ if file.starts_with("policy-") => assert_round_trip::<Policy>(file, bytes),
            _ if file.starts_with("parcel-") => assert_round_trip::<MigratedState>(file, bytes),
            _ => panic!("{file}: not covered by this test"),
        }
    }
}

/// The current code can continue from the decision module's state of an earlier version.
#[test]
fn policy_resumes_from_recorded_state() {
    let recorded = recorded();
    let state: HandoverState = rmp_serde::from_slice(&recorded["state.msgpack"]).unwrap();
    let settings = golden::handover::settings(1);
    let policy = Policy::from_state(&state.policy, settings, 1, state.stopped_at).unwrap();
    assert!(!policy.messages().is_empty() && policy.calls_in_flight() > 0);
}

/// The files that the current code writes contain the recorded names of fields and variants at every level, and no others.
#[test]
fn written_names_match_recorded_names() {
    let written = listing(&names(current_files()).unwrap());
    let recorded = String::from_utf8(recorded().remove("names.txt").unwrap()).unwrap();
    let (written, recorded): (Vec<_>, Vec<_>) = (written.lines().collect(), recorded.lines().collect());
    let added: Vec<_> = written.iter().filter(|name| !recorded.contains(name)).collect();
    let removed: Vec<_> = recorded.iter().filter(|name| !written.contains(name)).collect();
    assert!(added.is_empty() && removed.is_empty(), "added: {added:#?}, removed: {removed:#?}");
}

/// The same events lead to the same bytes, that is to the same values in the same order.
#[test]
fn simulations_write_recorded_bytes() {
    let (written, recorded) = (current_files(), recorded());
    assert_eq!(written.keys().collect::<Vec<_>>(), recorded.keys().collect::<Vec<_>>());
    for (file, bytes) in written {
        assert!(*bytes == recorded[file], "{file}: the current code writes other bytes");
    }
}

/// The recorded files cover all fields: the loss of a field that has its default value in each recorded state would go unnoticed.
#[test]
fn no_recorded_field_has_its_default_value() {
    let names = names(&recorded()).unwrap();
    let unset: Vec<_> = names.iter().filter(|name| !name.1).map(|name| name.0.as_str()).collect();
    assert_eq!(unset, UNCOVERED_PATHS.map(|(path, _)| path));
}
