//! The program `myrtleyard`; the library of the crate `sender` implements it.

fn main() -> std::process::ExitCode {
    sender::cli::main(std::env::args_os())
}
