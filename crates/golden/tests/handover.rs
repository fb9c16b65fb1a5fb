//! The state and the messages of a hand-over, against those that were recorded.

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

/// Paths that are at their default in all that is recorded, each with the reason.
const DEFAULTS: [(&str, &str); 2] = [
    ("parcel.endpoints[][].gone", "an endpoint as in policy.endpoints.all, where it is set"),
    (
        "policy.endpoints.whole",
        "set within a batch alone: each list is seen to its end in the batch that brings it",
    ),
];

fn recorded() -> BTreeMap<String, Vec<u8>> {
    let folder = Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/data/handover"));
    let files = fs::read_dir(folder).unwrap().map(|file| file.unwrap().path());
    files
        .map(|file| (file.file_name().unwrap().to_str().unwrap().to_owned(), fs::read(&file).unwrap()))
        .collect()
}

/// What the code of today writes.
fn today() -> &'static BTreeMap<String, Vec<u8>> {
    static TODAY: OnceLock<BTreeMap<String, Vec<u8>>> = OnceLock::new();
    TODAY.get_or_init(|| files().unwrap())
}

fn is_written_again<T: Serialize + DeserializeOwned>(file: &str, bytes: &[u8]) {
    let value: T = rmp_serde::from_slice(bytes).unwrap_or_else(|e| panic!("{file}: {e}"));
    let again = canonical(&rmp_serde::to_vec_named(&value).unwrap()).unwrap();
    assert!(again == bytes, "{file}: what was read is written as other bytes");
}

fn frames_are_written_again<T: Serialize + DeserializeOwned>(file: &str, bytes: &[u8]) {
    let messages: Vec<T> =
        bodies(bytes).unwrap().into_iter().map(|body| frame::read(body).unwrap()).collect();
    let again: Vec<u8> = messages.iter().flat_map(|message| frame::write(message).unwrap()).collect();
    assert!(!messages.is_empty() && again == bytes, "{file}: what was read is written as other bytes");
}

/// Guards against a field that a new process drops, or calls by another name: what an earlier version wrote is read, and
/// nothing of it is lost.
#[test]
fn what_was_recorded_is_read_and_written_again_to_the_same_bytes() {
    let recorded = recorded();
    assert!(recorded.len() >= 6, "{:?}", recorded.keys());
    for (file, bytes) in &recorded {
        match file.as_str() {
            "state.msgpack" => is_written_again::<HandoverState>(file, bytes),
            "to_old.frames" => frames_are_written_again::<ToPredecessor>(file, bytes),
            "to_new.frames" => frames_are_written_again::<ToSuccessor>(file, bytes),
            "names.txt" => {}
            _ if file.starts_with("policy-") => is_written_again::<Policy>(file, bytes),
            _ if file.starts_with("parcel-") => is_written_again::<MigratedState>(file, bytes),
            _ => panic!("{file}: no test reads it"),
        }
    }
}

/// The policy's state within a recorded hand-over is one that this version goes on with.
#[test]
fn a_recorded_state_is_taken_over() {
    let recorded = recorded();
    let state: HandoverState = rmp_serde::from_slice(&recorded["state.msgpack"]).unwrap();
    let settings = golden::handover::settings(1);
    let policy = Policy::from_state(&state.policy, settings, 1, state.stopped_at).unwrap();
    assert!(!policy.messages().is_empty() && policy.calls_in_flight() > 0);
}

/// Guards names of fields and variants at every level, in what the code of today writes.
#[test]
fn the_names_that_are_written_are_those_that_were_recorded() {
    let written = listing(&names(today()).unwrap());
    let recorded = String::from_utf8(recorded().remove("names.txt").unwrap()).unwrap();
    let (written, recorded): (Vec<_>, Vec<_>) = (written.lines().collect(), recorded.lines().collect());
    let new: Vec<_> = written.iter().filter(|name| !recorded.contains(name)).collect();
    let gone: Vec<_> = recorded.iter().filter(|name| !written.contains(name)).collect();
    assert!(new.is_empty() && gone.is_empty(), "new: {new:#?}, gone: {gone:#?}");
}

/// Guards what stands under a name, and its order: the same events lead to the same bytes.
#[test]
fn the_same_days_are_recorded_as_the_same_bytes() {
    let (written, recorded) = (today(), recorded());
    assert_eq!(written.keys().collect::<Vec<_>>(), recorded.keys().collect::<Vec<_>>());
    for (file, bytes) in written {
        assert!(*bytes == recorded[file], "{file}: other bytes are recorded today");
    }
}

/// Guards the net itself: a field that is at its default in each recorded state would be dropped in silence.
#[test]
fn no_recorded_field_is_at_its_default() {
    let names = names(&recorded()).unwrap();
    let unset: Vec<_> = names.iter().filter(|name| !name.1).map(|name| name.0.as_str()).collect();
    assert_eq!(unset, DEFAULTS.map(|(path, _)| path));
}
