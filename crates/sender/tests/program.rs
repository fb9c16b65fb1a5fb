//! The command line: subcommands, options, and errors in the operators' file.

use std::process::{Command, Output};

use test_doubles::{Node, Platform, Program, draining};

const PROGRAM: &str = env!("CARGO_BIN_EXE_myrtleyard");

fn run(arguments: &[&str]) -> Output {
    Command::new(PROGRAM).args(arguments).env_remove("NODE_CONFIG").output().unwrap()
}

fn utf8(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).unwrap()
}

#[test]
fn check_reports_line_and_reason() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("operators.toml");
    let path = file.to_str().unwrap();
    std::fs::write(&file, "[journal]\nsync = \"group\"\n").unwrap();
    assert!(run(&["check", path]).status.success());
    std::fs::write(&file, "[journal]\nsink = \"group\"\n").unwrap();
    for arguments in [vec!["check", path], vec!["--operators", path]] {
        let output = run(&arguments);
        assert!(!output.status.success());
        let line = utf8(&output.stderr);
        assert!(line.starts_with(&format!("myrtleyard: {path}:2: unknown field `sink`")), "{line}");
        assert_eq!(line.lines().count(), 1, "{line}");
    }
    assert!(!run(&["check", "/no/such/file"]).status.success());
}

/// The shipped operators' file states the defaults.
#[test]
fn shipped_operators_file_equals_the_defaults() {
    let shipped = operator_config::Operators::parse(include_str!("../../../deploy/myrtleyard.toml")).unwrap();
    assert_eq!(shipped, operator_config::Operators::default());
}

#[test]
fn prints_help_and_version() {
    let help = run(&["--help"]);
    assert!(help.status.success() && utf8(&help.stdout).contains("--operators <FILE>"));
    let version = run(&["--version"]);
    assert!(version.status.success() && utf8(&version.stdout).starts_with("myrtleyard 0."));
    assert!(!run(&["--what"]).status.success());
}

/// With `sync = "group"` the sender accepts messages as without it, and it logs its status line.
#[test]
fn operators_file_takes_effect() {
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
