//! `cowslipford apply`: sends a configuration as one change.

use super::client::Client;
use super::Failure;
use crate::cli::Apply;
use errors::Error;

/// Sends the file and prints the version that it became.
pub(crate) fn run(args: &Apply) -> Result<(), Failure> {
    let text = std::fs::read_to_string(&args.file).map_err(Error::file("read", &args.file))?;
    // A bad file is refused here, with its name in the error.
    settings::parse_configuration(&args.file.display().to_string(), &text)?;
    let client = Client { key: &args.key };
    let base = match args.base {
        Some(base) => base,
        None => current(&client, args)?,
    };
    let id = match &args.id {
        Some(id) => id.clone(),
        None => format!("{:032x}", rand::random::<u128>()),
    };
    let path = format!("/config?id={id}&base={base}");
    let answer = client.post(args.operators, &path, text.clone());
    // An answer that was lost is asked for again: the identity makes it safe.
    let answer = match answer {
        Err(_) => client.post(args.operators, &path, text),
        Ok(answer) if answer.status == 503 => client.post(args.operators, &path, text),
        answer => answer,
    };
    let answer = answer?.accepted()?;
    let parsed: serde_json::Value = serde_json::from_str(&answer.body)
        .map_err(Error::peer("read an answer", args.operators))?;
    say!("accepted as version {} (id {id})", parsed["version"]);
    Ok(())
}

fn current(client: &Client<'_>, args: &Apply) -> Result<u64, Failure> {
    let answer = client.get(args.operators, "/config")?.accepted()?;
    let version = answer.version.and_then(|v| v.parse().ok());
    version.ok_or_else(|| Failure::Refused("the answer bears no version".to_owned()))
}
