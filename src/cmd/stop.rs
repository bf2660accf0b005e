//! `cowslipford stop`: announces a planned stop of a VM or an endpoint, or an endpoint's return.

use super::client::Client;
use super::Failure;
use crate::cli::Stop;
use state::id::Name;

/// Submits the announcement.
pub(crate) fn run(args: &Stop) -> Result<(), Failure> {
    let name = Name::try_from(args.name.as_str())
        .map_err(|allowed| Failure::Input(format!("{:?}: {allowed}", args.name)))?;
    let client = Client { key: &args.key };
    let path = match (args.kind.as_str(), args.back) {
        ("endpoint", false) => format!("/stop?endpoint={name}"),
        ("endpoint", true) => format!("/stop?endpoint-back={name}"),
        ("vm", false) => {
            let fleet = client.discover_fleet(args.operators)?;
            let found = fleet.into_iter().find(|p| p.vm == name);
            let Some(peer) = found else {
                return Err(Failure::Input(format!("VM {name} is not reachable")));
            };
            format!("/stop?vm={name}&incarnation={}", peer.incarnation)
        }
        ("vm", true) => {
            let text = "--back is for endpoints only: to bring a VM back, start it again";
            return Err(Failure::Input(text.to_owned()));
        }
        (other, _) => {
            return Err(Failure::Input(format!("{other:?}: vm or endpoint")));
        }
    };
    client
        .post(args.operators, &path, String::new())?
        .error_for_status()?;
    print_line!("announced: {} {name}", args.kind);
    Ok(())
}
