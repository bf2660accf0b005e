//! `cowslipford apply`: submits a configuration as one change.

use super::client::Client;
use super::Failure;
use crate::cli::Apply;
use errors::Error;

/// Submits the file and prints the version that the change was accepted as.
pub(crate) fn run(args: &Apply) -> Result<(), Failure> {
    let text = std::fs::read_to_string(&args.file).map_err(Error::file("read", &args.file))?;
    // The file is validated locally, so that the error names it.
    settings::parse_configuration(&args.file.display().to_string(), &text)?;
    let client = Client { key: &args.key };
    let base = match args.base {
        Some(base) => base,
        None => current_version(&client, args)?,
    };
    let id = match &args.id {
        Some(id) => id.clone(),
        None => format!("{:032x}", rand::random::<u128>()),
    };
    let path = format!("/config?id={id}&base={base}");
    let response = client.post(args.operators, &path, text.clone());
    // Without a response, or with status 503, the change is sent once more: its id makes that
    // safe.
    let response = match response {
        Err(_) => client.post(args.operators, &path, text),
        Ok(response) if response.status == 503 => client.post(args.operators, &path, text),
        response => response,
    };
    let response = response?.error_for_status()?;
    let parsed: serde_json::Value = serde_json::from_str(&response.body)
        .map_err(Error::peer("read a response", args.operators))?;
    print_line!("accepted as version {} (id {id})", parsed["version"]);
    Ok(())
}

/// The version of the configuration in force.
fn current_version(client: &Client<'_>, args: &Apply) -> Result<u64, Failure> {
    let response = client.get(args.operators, "/config")?.error_for_status()?;
    let version = response.version.and_then(|v| v.parse().ok());
    version.ok_or_else(|| Failure::Refused("the response bears no version".to_owned()))
}
