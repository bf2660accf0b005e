//! Logs to standard error.

use settings::Log;
use tracing_subscriber::EnvFilter;

/// Starts logging as the settings say.
pub(crate) fn start(log: &Log) {
    let filter = EnvFilter::new(format!("{},quinn=warn,rustls=warn,hyper=warn", log.level));
    let lines = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr);
    // A second start in the same process keeps the first.
    let _ = if log.json {
        lines.json().try_init()
    } else {
        lines.with_ansi(false).try_init()
    };
}
