//! `cowslipford run`: one process of the fleet.

use super::{log, Failure};
use crate::cli::Run;
use errors::Error;
use node::Process;
use settings::Settings;
use tokio::signal::unix::{signal, SignalKind};

/// Runs until told to stop, by a signal or by the operators.
pub(crate) fn run(args: &Run) -> Result<(), Failure> {
    let settings = Settings::read(&args.settings)?;
    log::start(&settings.log);
    runtime()?.block_on(serve(settings))
}

async fn serve(settings: Settings) -> Result<(), Failure> {
    let mut process = Process::start(settings).await?;
    let ended = tokio::select! {
        ended = process.wait() => ended,
        () = told() => Ok(()),
    };
    if ended.is_ok() {
        process.stop().await;
    }
    Ok(ended?)
}

/// Waits for SIGTERM or Ctrl-C.
pub(crate) async fn told() {
    let (Ok(mut term), Ok(mut int)) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    ) else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
}

/// The runtime that all commands use. Two threads: a small VM has few cores.
pub(crate) fn runtime() -> Result<tokio::runtime::Runtime, Failure> {
    let built = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build();
    Ok(built.map_err(Error::file("start the runtime", "(process)"))?)
}
