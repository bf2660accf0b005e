//! The `cowslipford` binary: parses the command line, runs the command and sets the exit code.

mod cli;
mod cmd;

use std::process::ExitCode;

fn main() -> ExitCode {
    let command: cli::Cowslipford = argh::from_env();
    match cmd::run(command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("cowslipford: {failure}");
            ExitCode::from(failure.code())
        }
    }
}
