//! The two programs as cargo builds them from the code of today.

use std::env;
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::sync::LazyLock;

use serde_json::Value;
use test_doubles::Program;

/// The folder with the build of this program, and both executables.
static BUILT: LazyLock<Vec<PathBuf>> = LazyLock::new(build);

/// Asks cargo for the executables: they belong to other packages, and an old one must not pass for that of today.
fn build() -> Vec<PathBuf> {
    let own = env::current_exe().expect("this program has a path");
    let profile = own.ancestors().skip(1).find(|folder| !folder.ends_with("deps")).expect("a folder above");
    let target = profile.parent().expect("the target folder");
    let mut cargo = Command::new(env::var_os("CARGO").unwrap_or_else(|| "cargo".into()));
    cargo.current_dir(env!("CARGO_MANIFEST_DIR")).env("CARGO_TARGET_DIR", target);
    cargo.args(["build", "--locked", "--offline", "--quiet", "--message-format=json"]);
    cargo.args(["-p", "sender", "-p", "simulator-adapter", "--bins"]);
    if profile.ends_with("release") {
        cargo.arg("--release");
    }
    let output = cargo.stderr(Stdio::inherit()).output().expect("cargo runs");
    assert!(output.status.success(), "the programs are built");
    let lines = String::from_utf8(output.stdout).expect("cargo writes text");
    let messages = lines.lines().filter_map(|line| serde_json::from_str::<Value>(line).ok());
    messages.filter_map(|message| Some(message["executable"].as_str()?.into())).collect()
}

fn named(name: &str) -> PathBuf {
    let found = BUILT.iter().find(|path| path.file_name().is_some_and(|file| file == name));
    found.unwrap_or_else(|| panic!("cargo builds {name}")).clone()
}

/// The sender.
pub fn sender() -> Program {
    Program::new(named("myrtleyard"))
}

/// The simulator's adapter.
pub fn adapter() -> Command {
    Command::new(named("myrtleyard-adapter"))
}
