//! `cowslipford evacuate`: evacuates a data centre, or ends that.

use super::client::Client;
use super::Failure;
use crate::cli::Evacuate;
use state::id::Name;

/// Gives the order.
pub(crate) fn run(args: &Evacuate) -> Result<(), Failure> {
    let name = Name::try_from(args.data_centre.as_str())
        .map_err(|allowed| Failure::Input(format!("{:?}: {allowed}", args.data_centre)))?;
    let client = Client { key: &args.key };
    let path = format!("/evacuation?data-centre={name}");
    let answer = match args.end {
        false => client.post(args.operators, &path, String::new()),
        true => client.delete(args.operators, &path),
    };
    answer?.accepted()?;
    match args.end {
        false => say!("evacuated: {name}"),
        true => say!("in use again: {name}"),
    }
    Ok(())
}
