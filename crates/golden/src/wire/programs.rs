//! The sender and the simulator's adapter, built by cargo from the current code.

use std::env;
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::sync::LazyLock;

use serde_json::Value;
use test_doubles::Program;

/// Paths of the executables.
static EXECUTABLES: LazyLock<Vec<PathBuf>> = LazyLock::new(build);

/// Builds the executables with cargo. They belong to other packages, and an outdated build must not be used for the current code.
fn build() -> Vec<PathBuf> {
    let this_program = env::current_exe().expect("this program has a path");
    let profile =
        this_program.ancestors().skip(1).find(|folder| !folder.ends_with("deps")).expect("a folder above");
    let target = profile.parent().expect("the target folder");
    let mut cargo = Command::new(env::var_os("CARGO").unwrap_or_else(|| "cargo".into()));
    cargo.current_dir(env!("CARGO_MANIFEST_DIR")).env("CARGO_TARGET_DIR", target);
    cargo.args(["build", "--locked", "--offline", "--quiet", "--message-format=json"]);
    cargo.args(["-p", "sender", "-p", "simulator-adapter", "--bins"]);
    if profile.ends_with("release") {
        cargo.arg("--release");
    }
    let output = cargo.stderr(Stdio::inherit()).output().expect("cargo runs");
    assert!(output.status.success(), "cargo could not build the programs");
    let lines = String::from_utf8(output.stdout).expect("cargo writes text");
    let messages = lines.lines().filter_map(|line| serde_json::from_str::<Value>(line).ok());
    messages.filter_map(|message| Some(message["executable"].as_str()?.into())).collect()
}

fn executable(name: &str) -> PathBuf {
    let found = EXECUTABLES.iter().find(|path| path.file_name().is_some_and(|file| file == name));
    found.unwrap_or_else(|| panic!("cargo built no executable {name}")).clone()
}

/// Returns the sender.
pub fn sender() -> Program {
    Program::new(executable("myrtleyard"))
}

/// Returns the simulator's adapter.
pub fn adapter() -> Command {
    Command::new(executable("myrtleyard-adapter"))
}
