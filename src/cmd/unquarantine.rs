//! `cowslipford unquarantine`: serves a quarantined request again.

use super::client::Client;
use super::Failure;
use crate::cli::Unquarantine;
use state::fingerprint::Fingerprint;

/// Ends the quarantine.
pub(crate) fn run(args: &Unquarantine) -> Result<(), Failure> {
    let fingerprint = Fingerprint::try_from(args.fingerprint.as_str())
        .map_err(|allowed| Failure::Input(format!("{:?}: {allowed}", args.fingerprint)))?;
    let client = Client { key: &args.key };
    let path = format!("/unquarantine?fingerprint={fingerprint}");
    client
        .post(args.operators, &path, String::new())?
        .accepted()?;
    say!("served again: {fingerprint}");
    Ok(())
}
