//! The implementation of the commands, one module each.

/// Prints a line to standard output, and ignores errors.
///
/// `println` panics once the reader has closed the pipe, as in `explain ... | head -1`,
/// although the command has not failed.
macro_rules! print_line {
    ($($line:tt)*) => {{
        use std::io::Write as _;
        let _ = writeln!(std::io::stdout(), $($line)*);
    }};
}

mod apply;
mod check;
mod client;
mod dev;
mod evacuate;
mod explain;
mod failure;
mod get;
mod keys;
mod load;
mod log;
mod page;
mod run;
mod stand_in;
mod status;
mod stop;
mod timeline;
mod unquarantine;

pub(crate) use failure::Failure;

use crate::cli::{Command, Cowslipford};

/// Runs the command that the command line names.
pub(crate) fn run(line: Cowslipford) -> Result<(), Failure> {
    match line.command {
        Command::Run(args) => run::run(&args),
        Command::Dev(args) => dev::run(&args),
        Command::StandIn(args) => stand_in::run(&args),
        Command::Check(args) => check::run(&args),
        Command::Apply(args) => apply::run(&args),
        Command::Get(args) => get::run(&args),
        Command::Stop(args) => stop::run(&args),
        Command::Evacuate(args) => evacuate::run(&args),
        Command::Unquarantine(args) => unquarantine::run(&args),
        Command::Status(args) => status::run(&args),
        Command::Explain(args) => explain::run(&args),
        Command::Timeline(args) => timeline::run(&args),
        Command::Keys(args) => keys::run(&args),
        Command::Load(args) => load::run(&args),
    }
}
