//! `cowslipford run`: one process of the fleet.

use super::{log, Failure};
use crate::cli::Run;
use errors::Error;
use node::{Interface, Process};
use settings::Settings;
use state::line::Line;
use std::path::Path;
use std::time::Duration;
use tokio::signal::unix::{signal, Signal, SignalKind};

/// Time between two looks whether the settings file has changed.
const LOOK: Duration = Duration::from_secs(1);

/// Runs until told to stop, by a signal or by the operators.
pub(crate) fn run(args: &Run) -> Result<(), Failure> {
    runtime()?.block_on(async {
        // Before anything else: a stop that comes while the process starts is a planned one.
        let stop = StopSignals::listen()?;
        let settings = Settings::read(&args.settings)?;
        log::start(&settings.log);
        tell_adjusted(&settings);
        serve(settings, &args.settings, stop).await
    })
}

async fn serve(settings: Settings, file: &Path, mut stop: StopSignals) -> Result<(), Failure> {
    let interface = interface(&settings)?;
    let mut process = Process::start(settings.clone(), interface).await?;
    let reloader = process.reloader();
    let ended = tokio::select! {
        ended = process.wait() => ended,
        () = stop.received() => Ok(()),
        () = follow(file, settings, &reloader) => Ok(()),
    };
    if ended.is_ok() {
        process.stop().await;
    }
    Ok(ended?)
}

/// The way of speaking that the settings name.
pub(crate) fn interface(settings: &Settings) -> Result<Interface, Failure> {
    match settings.vm.interface.as_str() {
        "own" => Ok(Interface::native()),
        platform::NAME => Ok(platform::interface()),
        other => {
            let allowed = format!("[vm] interface = {other:?}: own or {}", platform::NAME);
            Err(Failure::Input(allowed))
        }
    }
}

/// Logs figures that were read as others.
fn tell_adjusted(settings: &Settings) {
    for adjusted in &settings.adjustments {
        tracing::warn!(
            event = Line::SettingsAdjusted.as_str(),
            key = adjusted.key,
            value = adjusted.value,
            read = adjusted.applied,
        );
    }
}

/// Follows the settings file, on SIGHUP and when it changes without one. A file
/// that is wrong is told of, and the last good one stays.
async fn follow(file: &Path, mut settings: Settings, reloader: &node::Reloader) {
    let Ok(mut hangup) = signal(SignalKind::hangup()) else {
        return std::future::pending().await;
    };
    let mut refused = String::new();
    loop {
        tokio::select! {
            _ = hangup.recv() => {}
            () = tokio::time::sleep(LOOK) => {}
        }
        match Settings::read(file) {
            Ok(read) if read != settings => {
                tracing::info!(event = Line::SettingsReloaded.as_str(), file = %file.display());
                reloader.apply(&read);
                settings = read;
                refused.clear();
            }
            Ok(_) => {}
            Err(error) => {
                let reason = error.to_string();
                if reason != refused {
                    tracing::warn!(event = Line::SettingsRefused.as_str(), reason);
                    refused = reason;
                }
            }
        }
    }
}

/// Signals that ask a process to stop: SIGTERM and Ctrl-C.
pub(crate) struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    /// Listens from now on; what comes before [`StopSignals::received`] is kept.
    ///
    /// # Errors
    ///
    /// When the system refuses a handler.
    pub(crate) fn listen() -> Result<Self, Failure> {
        let listen = |kind| signal(kind).map_err(Error::file("listen for signals", "(process)"));
        Ok(StopSignals {
            terminate: listen(SignalKind::terminate())?,
            interrupt: listen(SignalKind::interrupt())?,
        })
    }

    /// Waits for one of them.
    pub(crate) async fn received(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
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
