//! The command line: what starts, and what is told instead.

use std::process::{Command, Output};

use test_doubles::{Node, Platform, Program, draining};

const PROGRAM: &str = env!("CARGO_BIN_EXE_myrtleyard");

fn say(arguments: &[&str]) -> Output {
    Command::new(PROGRAM).args(arguments).env_remove("NODE_CONFIG").output().unwrap()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).unwrap()
}

#[test]
fn check_tells_line_and_reason() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("operators.toml");
    let path = file.to_str().unwrap();
    std::fs::write(&file, "[journal]\nsync = \"group\"\n").unwrap();
    assert!(say(&["check", path]).status.success());
    std::fs::write(&file, "[journal]\nsink = \"group\"\n").unwrap();
    for arguments in [vec!["check", path], vec!["--operators", path]] {
        let said = say(&arguments);
        assert!(!said.status.success());
        let line = text(&said.stderr);
        assert!(line.starts_with(&format!("myrtleyard: {path}:2: unknown field `sink`")), "{line}");
        assert_eq!(line.lines().count(), 1, "{line}");
    }
    assert!(!say(&["check", "/no/such/file"]).status.success());
}

/// The file that is shipped says what holds without it.
#[test]
fn the_shipped_file_is_the_default() {
    let shipped = operator_config::Operators::parse(include_str!("../../../deploy/myrtleyard.toml")).unwrap();
    assert_eq!(shipped, operator_config::Operators::default());
}

#[test]
fn help_and_version_are_told() {
    let help = say(&["--help"]);
    assert!(help.status.success() && text(&help.stdout).contains("--operators <FILE>"));
    let version = say(&["--version"]);
    assert!(version.status.success() && text(&version.stdout).starts_with("myrtleyard 0."));
    assert!(!say(&["--what"]).status.success());
}

/// With everything synced the sender does as without, and its status line comes.
#[test]
fn an_operators_file_takes_effect() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("operators.toml");
    std::fs::write(&file, "[journal]\nsync = \"group\"\n[status]\nevery = \"100ms\"\n").unwrap();
    let platform = Platform::new();
    let program = Program::new(PROGRAM).arg("--operators").arg(&file);
    let node = Node::start(&program, &platform, &[draining("e0", 7)], |_| {});
    assert_eq!(node.submit("a", "order", 7, 20_000).status(), 202);
    test_doubles::wait_until(|| {
        node.log().iter().any(|line| line == "status held=1 awake=1 asleep=0 open=[]")
    });
}
