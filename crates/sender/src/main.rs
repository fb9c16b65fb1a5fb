//! The program `myrtleyard`: see the crate `sender`.

fn main() -> std::process::ExitCode {
    sender::cli::main(std::env::args_os())
}
