//! Output and exit code of `myrtleyard check` for operators' files.

use std::fmt::Write as _;

use super::programs;

/// A valid line for each key of each table.
const VALID_LINES: &[(&str, &[&str])] = &[
    ("journal", &["sync = \"group\"", "damage = \"refuse\"", "retain = \"1h\"", "ledger = \"1MB\""]),
    ("status", &["every = \"1s\""]),
    ("dormant", &["after = \"10m\"", "remember = \"1h\"", "memory = \"1MB\"", "awake = 10", "wakes = 10"]),
    ("known", &["on = true", "size = \"64KiB\"", "span = \"1h\"", "clock = \"boot\""]),
    ("cores", &["count = 2"]),
    ("shared", &["on = true", "lends = true", "bytes = \"4kB\""]),
];

/// Invalid files.
const INVALID_FILES: &[&str] = &[
    "[jurnal]\n",
    "[journal]\n\nsnc = \"none\"\n",
    "[journal]\nsync = \"always\"\n",
    "[journal]\ndamage = \"skip\"\n",
    "[known]\nclock = \"sun\"\n",
    "[status]\n\nevery = \"5ms\"\n",
    "[status]\nevery = 5\n",
    "[status]\nevery = \"4 weeks\"\n",
    "[status]\nevery = \"s\"\n",
    "[status]\nevery = \"99999999999999999d\"\n",
    "[journal]\n\nretain = \"48h\"\n",
    "[journal]\nledger = \"1MB\"\n",
    "[journal]\nledger = \"1MB\"\nretain = \"0s\"\n",
    "[journal]\nledger = 1000000\nretain = \"1h\"\n",
    "[dormant]\nafter = \"10ms\"\n",
    "[dormant]\n\nremember = \"1h\"\n",
    "[dormant]\n\nmemory = \"1MB\"\n",
    "[dormant]\n\nawake = 10\n",
    "[dormant]\n\nwakes = 10\n",
    "[dormant]\nafter = \"10m\"\nawake = 0\n",
    "[dormant]\nafter = \"10m\"\nwakes = 0\n",
    "[dormant]\nremember = \"5m\"\nafter = \"10m\"\n",
    "[known]\nsize = \"64KiB\"\n",
    "[known]\nspan = \"1h\"\n",
    "[known]\nclock = \"boot\"\n",
    "[known]\non = true\nsize = \"1KiB\"\n",
    "[known]\non = true\nspan = \"0s\"\n",
    "[cores]\ncount = 0\n",
    "[cores]\ncount = 65\n",
    "[known]\non = true\n[cores]\ncount = 2\n",
    "[shared]\nlends = true\n",
    "[shared]\nbytes = \"4kB\"\n",
    "[shared]\non = true\nbytes = \"15B\"\n",
    "[shared]\non = true\n[cores]\ncount = 2\n",
    "[journal]\nsync = \n",
    "[journal]\nsync = \"none\"\nsync = \"none\"\n",
];

fn check(text: &str) -> String {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("myrtleyard.toml");
    std::fs::write(&file, text).expect("the file is written");
    let mut command = programs::sender().arg("check").arg(&file).command(folder.path());
    let output = command.output().expect("it runs");
    let outputs = [output.stdout, output.stderr].map(|bytes| String::from_utf8_lossy(&bytes).into_owned());
    let code = output.status.code().map_or("none".to_owned(), |code| code.to_string());
    let [out, err] = outputs.map(|text| text.replace(&*file.to_string_lossy(), "FILE"));
    format!("{text}-> exit {code}, output {out:?}, log {err:?}\n\n")
}

/// Returns the text of the kind `operators`.
pub fn text() -> String {
    let mut text = check("");
    for (table, lines) in VALID_LINES {
        text += &check(&format!("[{table}]\n{}\n", lines.join("\n")));
        for line in *lines {
            let key = line.split(' ').next().unwrap_or_default();
            text += &check(&format!("[{table}]\n{key} = [[]]\n"));
        }
        text += &check(&format!("[{table}]\nnothing_of_the_kind = 1\n"));
    }
    INVALID_FILES.iter().for_each(|invalid| text += &check(invalid));
    let folder = tempfile::tempdir().expect("a folder");
    let mut missing =
        programs::sender().arg("check").arg(folder.path().join("none.toml")).command(folder.path());
    let output = missing.output().expect("it runs");
    let log = String::from_utf8_lossy(&output.stderr).replace(&*folder.path().to_string_lossy(), "FOLDER");
    let _ = writeln!(text, "a file that is not there -> exit {:?}, log {log:?}", output.status.code());
    text
}
