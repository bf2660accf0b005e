//! `cowslipford stop`: announces a planned stop.

use super::client::Client;
use super::Failure;
use crate::cli::Stop;
use state::id::Name;

/// Announces the stop.
pub(crate) fn run(args: &Stop) -> Result<(), Failure> {
    let name = Name::try_from(args.name.as_str())
        .map_err(|allowed| Failure::Input(format!("{:?}: {allowed}", args.name)))?;
    let client = Client { key: &args.key };
    let path = match (args.kind.as_str(), args.back) {
        ("endpoint", false) => format!("/stop?endpoint={name}"),
        ("endpoint", true) => format!("/stop?endpoint-back={name}"),
        ("vm", false) => {
            let fleet = client.fleet(args.operators)?;
            let found = fleet.into_iter().find(|p| p.vm == name);
            let Some(peer) = found else {
                return Err(Failure::Input(format!("no VM {name} can be reached")));
            };
            format!("/stop?vm={name}&incarnation={}", peer.incarnation)
        }
        ("vm", true) => {
            let text = "a VM comes back by being started again";
            return Err(Failure::Input(text.to_owned()));
        }
        (other, _) => {
            return Err(Failure::Input(format!("{other:?}: say vm or endpoint")));
        }
    };
    client
        .post(args.operators, &path, String::new())?
        .accepted()?;
    say!("announced: {} {name}", args.kind);
    Ok(())
}
