//! `cowslipford get`: prints the configuration in force.

use super::client::Client;
use super::Failure;
use crate::cli::Get;

/// Prints the configuration as a file that `apply` accepts, with the version in a comment.
pub(crate) fn run(args: &Get) -> Result<(), Failure> {
    let client = Client { key: &args.key };
    let response = client.get(args.operators, "/config")?.error_for_status()?;
    print_line!("; version {}", response.version.unwrap_or_default());
    print_line!("{}", response.body.trim_end());
    Ok(())
}
