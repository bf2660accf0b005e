//! `cowslipford run`: one process of the fleet. Also holds the runtime and the signal handling
//! that other commands share.

use super::{log, Failure};
use crate::cli::Run;
use errors::Error;
use node::{Interface, Process};
use settings::Settings;
use state::line::Line;
use std::future::Future;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use tokio::signal::unix::{signal, Signal, SignalKind};

/// Interval at which the settings file is checked for changes.
const RELOAD_INTERVAL: Duration = Duration::from_secs(1);

/// Runs the process until a signal or an operator stops it.
pub(crate) fn run(args: &Run) -> Result<(), Failure> {
    block_on(async {
        // Signals are handled before anything else, so that one that arrives during the start
        // leads to an orderly stop, too.
        let stop = StopSignals::listen()?;
        let hangup = hangup()?;
        let settings = Settings::read(&args.settings)?;
        let _flush = log::start(&settings.log);
        log_adjusted(&settings);
        serve(settings, &args.settings, stop, hangup).await
    })
}

/// Starts the process, and watches its settings file until the process ends.
async fn serve(
    settings: Settings,
    file: &Path,
    mut stop: StopSignals,
    hangup: Signal,
) -> Result<(), Failure> {
    let interface = interface(&settings)?;
    let mut process = Process::start(settings.clone(), interface).await?;
    let reloader = process.reloader();
    let ended = tokio::select! {
        ended = process.wait() => ended,
        () = stop.received() => Ok(()),
        () = watch_settings(file.into(), settings, &reloader, hangup) => Ok(()),
    };
    if ended.is_ok() {
        process.stop().await;
    }
    Ok(ended?)
}

/// The interface to callers and endpoints that the settings name: `own` or the platform's.
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

/// Logs a warning for each setting whose value was adjusted.
fn log_adjusted(settings: &Settings) {
    for adjusted in &settings.adjustments {
        tracing::warn!(
            event = Line::SettingsAdjusted.as_str(),
            key = adjusted.key,
            value = adjusted.value,
            read = adjusted.applied,
        );
    }
}

/// Reloads the settings file on SIGHUP and whenever its content changes. An invalid file is
/// logged, once for each error, and the last valid settings stay in effect. Never returns.
async fn watch_settings(
    file: Arc<Path>,
    mut settings: Settings,
    reloader: &node::Reloader,
    mut hangup: Signal,
) {
    let mut refused = String::new();
    loop {
        tokio::select! {
            _ = hangup.recv() => {}
            () = tokio::time::sleep(RELOAD_INTERVAL) => {}
        }
        let path = file.clone();
        // A disk that does not answer blocks the read, which must not delay a stop.
        let reading = tokio::task::spawn_blocking(move || Settings::read(&path));
        let Ok(read) = reading.await else {
            continue;
        };
        match read {
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

/// Installs a handler of SIGHUP, which would end the process otherwise.
fn hangup() -> Result<Signal, Failure> {
    Ok(signal(SignalKind::hangup()).map_err(Error::file("listen for signals", "(process)"))?)
}

/// Signals that ask a process to stop: SIGTERM and Ctrl-C.
pub(crate) struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    /// Installs the handlers; a signal that arrives before [`StopSignals::received`] is kept.
    ///
    /// # Errors
    ///
    /// When the system rejects a handler.
    pub(crate) fn listen() -> Result<Self, Failure> {
        let listen = |kind| signal(kind).map_err(Error::file("listen for signals", "(process)"));
        Ok(StopSignals {
            terminate: listen(SignalKind::terminate())?,
            interrupt: listen(SignalKind::interrupt())?,
        })
    }

    /// Waits for the next stop signal.
    pub(crate) async fn received(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// Runs a command in an async runtime. Two worker threads suit VMs with few cores.
///
/// # Errors
///
/// When the runtime cannot be started, and those of the command.
pub(crate) fn block_on<F>(command: F) -> Result<(), Failure>
where
    F: Future<Output = Result<(), Failure>>,
{
    let built = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build();
    let runtime = built.map_err(Error::file("start the runtime", "(process)"))?;
    let ended = runtime.block_on(command);
    // Dropping the runtime would wait for calls that block a thread, such as reads of a file.
    runtime.shutdown_background();
    ended
}
