//! `cowslipford evacuate`: evacuates a data centre, or ends its evacuation.

use super::client::Client;
use super::Failure;
use crate::cli::Evacuate;
use state::id::Name;

/// Submits the evacuation, or its end.
pub(crate) fn run(args: &Evacuate) -> Result<(), Failure> {
    let name = Name::try_from(args.data_centre.as_str())
        .map_err(|allowed| Failure::Input(format!("{:?}: {allowed}", args.data_centre)))?;
    let client = Client { key: &args.key };
    let path = format!("/evacuation?data-centre={name}");
    let response = match args.end {
        false => client.post(args.operators, &path, String::new()),
        true => client.delete(args.operators, &path),
    };
    response?.error_for_status()?;
    match args.end {
        false => print_line!("evacuated: {name}"),
        true => print_line!("in use again: {name}"),
    }
    Ok(())
}
