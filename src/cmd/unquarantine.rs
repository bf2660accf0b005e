//! `cowslipford unquarantine`: releases a request from quarantine.

use super::client::Client;
use super::Failure;
use crate::cli::Unquarantine;
use state::fingerprint::Fingerprint;

/// Submits the release.
pub(crate) fn run(args: &Unquarantine) -> Result<(), Failure> {
    let fingerprint = Fingerprint::try_from(args.fingerprint.as_str())
        .map_err(|allowed| Failure::Input(format!("{:?}: {allowed}", args.fingerprint)))?;
    let client = Client { key: &args.key };
    let path = format!("/unquarantine?fingerprint={fingerprint}");
    client
        .post(args.operators, &path, String::new())?
        .error_for_status()?;
    print_line!("served again: {fingerprint}");
    Ok(())
}
