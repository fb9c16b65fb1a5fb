//! Keys and words of the simulator's settings and of a sender's configuration.
//!
//! The effect of a key does not show in bytes, but it shows whether the key is known: a value of the wrong type is an error for a
//! known key, while an unknown key is ignored. So each key gets a value of the wrong type in turn, and each key is left out in turn.

use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Read};
use std::process::Stdio;

use serde_json::{Value, json};

use super::programs;
use super::scripted::normalize;

/// Settings that contain every key.
pub const FULL: &str = r#"{
  "classes": [
    {"name": "note", "effect": "by_key", "group": "all", "dedup_window_us": 9000000, "on_time_us": 2000000,
     "hard_limit_us": 9000000, "importance": 2.0, "late_worth": 0.25, "in_order": false},
    {"name": "order", "effect": "once", "on_time_us": 1000000, "hard_limit_us": 8000000, "in_order": true},
    {"name": "tick", "effect": "repeatable", "on_time_us": 1500000, "hard_limit_us": 8000000}],
  "realms": [{"quota_per_s": 500.0}, {"quota_per_s": 250.0}],
  "family_info": {"calls_out": 5, "own_limits": [true, false], "bundle_max": [1, 4], "decay": "halves",
                  "turned_away_price": 0.5, "toll": [0.25, 0.5]},
  "limits": {"max_open": 50, "try_limit": 3, "probing": true, "cancelling": true, "second_copies": true,
             "connect_timeout_us": 700000, "idle_close_us": 4000000, "max_retry_after_us": 3000000},
  "load_report": {"fields": ["q", "x1", "x0"]}, "charges": {"probe": 0.125},
  "obligations": {"answer_slack_us": 20000, "ask_every_us": 1000000, "cold_share": 0.2, "warm_within_us": 9000000,
                  "fall_multiple": 2.5, "overload_for_us": 2000000, "stop_sending_within_us": 250000,
                  "order_pause_us": 30000},
  "skus": ["p", "q"], "weights": "nominal", "discovery": "ask", "balancers": 4, "over_share_worth": 0.75,
  "period_us": 5000, "later": {"unknown": 1}
}"#;

/// Collects the paths of all values inside this one.
fn collect_paths(value: &Value, parent: &str, paths: &mut Vec<String>) {
    let children: Vec<(String, &Value)> = match value {
        Value::Object(map) => map.iter().map(|(key, value)| (key.clone(), value)).collect(),
        Value::Array(list) => list.iter().enumerate().map(|(n, value)| (n.to_string(), value)).collect(),
        _ => vec![],
    };
    for (key, value) in children {
        let path = format!("{parent}/{key}");
        paths.push(path.clone());
        collect_paths(value, &path, paths);
    }
}

/// Returns the settings with a value of the wrong type at the path.
fn with_wrong_type(full: &Value, path: &str) -> Value {
    let mut changed = full.clone();
    *changed.pointer_mut(path).expect("it is there") = json!([[{"wrong": true}]]);
    changed
}

/// Returns the settings without the key at the path, or `None` if the path is not that of a key.
fn without(full: &Value, path: &str) -> Option<Value> {
    let mut changed = full.clone();
    let (parent, key) = path.rsplit_once('/')?;
    changed.pointer_mut(parent)?.as_object_mut()?.remove(key)?;
    Some(changed)
}

fn read(value: &Value) -> Result<String, String> {
    // The debug output is only compared with that of other settings in the same run.
    simulator_adapter::settings(value.to_string().as_bytes())
        .map(|read| format!("{read:?}"))
        .map_err(|e| e.to_string())
}

/// Returns the text of the kind `settings`.
pub fn text() -> String {
    let full: Value = serde_json::from_str(FULL).expect("it is JSON");
    let mut paths = Vec::new();
    collect_paths(&full, "", &mut paths);
    let unchanged = read(&full).expect("it is read");
    let mut text = "Settings\n".to_owned();
    for path in &paths {
        let result = match read(&with_wrong_type(&full, path)) {
            Err(error) => error,
            Ok(read) if read == unchanged => "passed over".to_owned(),
            Ok(_) => "taken otherwise".to_owned(),
        };
        let _ = writeln!(text, "{path} of a wrong type: {result}");
    }
    for (path, removed) in paths.iter().filter_map(|path| Some((path, without(&full, path)?))) {
        let result = match read(&removed) {
            Err(error) => error,
            Ok(read) if read == unchanged => "no difference".to_owned(),
            Ok(_) => "a default takes its place".to_owned(),
        };
        let _ = writeln!(text, "without {path}: {result}");
    }
    text += "Words\n";
    for (path, words) in [
        ("/classes/0/effect", ["by_key", "once", "repeatable", "keyed"]),
        ("/classes/0/group", ["all", "zone", "endpoint", "other"]),
        ("/family_info/decay", ["line", "halves", "", "exponential"]),
        ("/weights", ["nominal", "rough", "none", "other"]),
        ("/discovery", ["ask", "watch", "poll", "other"]),
    ] {
        let mut earlier_results: Vec<(String, &str)> = Vec::new();
        for word in words {
            let mut changed = full.clone();
            *changed.pointer_mut(path).expect("it is there") = json!(word);
            let read = read(&changed);
            let result = match &read {
                Err(error) => error.clone(),
                Ok(read) => match earlier_results.iter().find(|(before, _)| before == read) {
                    Some((_, word)) => format!("as {word:?}"),
                    None => "of its own".to_owned(),
                },
            };
            earlier_results.extend(read.ok().map(|read| (read, word)));
            let _ = writeln!(text, "{path} {word:?}: {result}");
        }
    }
    text + &configuration()
}

/// Returns the sender's errors for its configuration with each key of the wrong type or left out.
fn configuration() -> String {
    let mut full = json!({
        "name": "n1", "listen": "127.0.0.1:0", "ops": "127.0.0.1:0", "discovery": "127.0.0.1:9",
        "seed": "8c1f30d27a5be964", "limits": {"sockets": 64, "disk_mb": 3},
        "peer_listen": "127.0.0.1:0", "peers": ["127.0.0.1:9"], "peers_all": "127.0.0.1:9",
        "known": {"index": 1, "snapshot": true, "endpoints": [
            {"name": "e1", "address": "127.0.0.1:9", "zone": "a", "type": "p", "group": 7, "status": "leaving",
             "weight": 50.0}]}});
    let mut paths = Vec::new();
    collect_paths(&full, "", &mut paths);
    full["settings"] = serde_json::from_str(FULL).expect("it is JSON");
    paths.push("/settings".to_owned());
    let mut text = "Configuration\n".to_owned();
    for path in &paths {
        let _ = writeln!(text, "{path} of a wrong type: {}", start_result(&with_wrong_type(&full, path)));
    }
    for (path, removed) in paths.iter().filter_map(|path| Some((path, without(&full, path)?))) {
        let _ = writeln!(text, "without {path}: {}", start_result(&removed));
    }
    for (path, value) in [("/seed", "xyz"), ("/listen", "here"), ("/settings/classes/0/name", "")] {
        let mut changed = full.clone();
        *changed.pointer_mut(path).expect("it is there") = json!(value);
        let _ = writeln!(text, "{path} {value:?}: {}", start_result(&changed));
    }
    text
}

/// Starts a sender with this configuration. Returns its error message, or `starts`.
fn start_result(config: &Value) -> String {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("config.json");
    std::fs::write(&file, config.to_string()).expect("the file is written");
    let mut command = programs::sender().command(folder.path());
    let mut child = command.stderr(Stdio::piped()).spawn().expect("the sender starts");
    let mut log = BufReader::new(child.stderr.take().expect("piped"));
    let mut first = String::new();
    let result = loop {
        first.clear();
        if log.read_line(&mut first).unwrap_or(0) == 0 {
            break "ends without a word".to_owned();
        }
        if first.contains(" is ready on ") {
            break "starts".to_owned();
        }
        if let Some(error) = first.strip_prefix("myrtleyard: ") {
            let shown = error.trim_end().replace(&*folder.path().to_string_lossy(), "FOLDER");
            break normalize(&shown);
        }
    };
    let _ = child.kill();
    let _ = log.read_to_end(&mut Vec::new());
    let _ = child.wait();
    result
}
