//! `cowslipford check`: checks a file without starting anything.

use super::Failure;
use crate::cli::Check;
use errors::Error;
use settings::Settings;

/// Checks settings or a configuration.
pub(crate) fn run(args: &Check) -> Result<(), Failure> {
    let file = args.file.display().to_string();
    let text = std::fs::read_to_string(&args.file).map_err(Error::file("read", &args.file))?;
    let is_settings = text.lines().any(|line| line.trim() == "[vm]");
    if is_settings {
        let settings = Settings::read(&args.file)?;
        say!("{file}: settings of VM {} are fine", settings.vm.name);
        return Ok(());
    }
    let draft = settings::parse_configuration(&file, &text)?;
    for (earlier, later) in node::shadowed(&draft.rules) {
        let (earlier, later) = (&draft.rules[earlier].name, &draft.rules[later].name);
        say!("{file}: warning: rule {later} can never match: {earlier} comes first");
    }
    say!(
        "{file}: {} customers, {} services, {} endpoints and {} rules are fine",
        draft.customers.len(),
        draft.services.len(),
        draft.endpoints.len(),
        draft.rules.len()
    );
    Ok(())
}
