//! `cowslipford get`: prints the configuration in force.

use super::client::Client;
use super::Failure;
use crate::cli::Get;

/// Prints a file that `apply` takes.
pub(crate) fn run(args: &Get) -> Result<(), Failure> {
    let client = Client { key: &args.key };
    let answer = client.get(args.operators, "/config")?.accepted()?;
    say!("; version {}", answer.version.unwrap_or_default());
    say!("{}", answer.body.trim_end());
    Ok(())
}
