//! `cowslipford check`: validates a file without starting a process.

use super::Failure;
use crate::cli::Check;
use errors::Error;
use settings::Settings;

/// Validates settings, if the file has a `[vm]` section, or else a configuration. Also warns of
/// rules that can never match.
pub(crate) fn run(args: &Check) -> Result<(), Failure> {
    let file = args.file.display().to_string();
    let text = std::fs::read_to_string(&args.file).map_err(Error::file("read", &args.file))?;
    let is_settings = text.lines().any(|line| line.trim() == "[vm]");
    if is_settings {
        let settings = Settings::read(&args.file)?;
        print_line!("{file}: settings of VM {} are valid", settings.vm.name);
        return Ok(());
    }
    let draft = settings::parse_configuration(&file, &text)?;
    for (earlier, later) in node::shadowed(&draft.rules) {
        let (earlier, later) = (&draft.rules[earlier].name, &draft.rules[later].name);
        print_line!("{file}: warning: rule {later} can never match: {earlier} comes first");
    }
    print_line!(
        "{file}: {} customers, {} services, {} endpoints and {} rules are valid",
        draft.customers.len(),
        draft.services.len(),
        draft.endpoints.len(),
        draft.rules.len()
    );
    Ok(())
}
