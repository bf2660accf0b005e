//! The thread that writes origins of streams to the disk of a control VM, so that nothing else
//! waits for it.

use crate::metric::{gauge_value, Metrics};
use coordination::origin::{Key, Origin};
use errors::{Error, Result};
use state::line::Line;
use std::path::PathBuf;
use std::time::Duration;
use transport::clock::Clock;
use transport::origins::Log;

/// Least time between two writes. Origins that come in meanwhile share one sync.
const WRITE_INTERVAL: Duration = Duration::from_millis(50);
/// Most batches that wait for the disk. Further ones are only kept in memory.
const BATCHES_MAX: usize = 1024;

/// Batches of origins for the thread.
#[derive(Clone, Debug)]
pub(crate) struct Sender(flume::Sender<Vec<(Key, Origin)>>);

impl Sender {
    /// Has a batch written soon, unless the disk is far behind.
    pub(crate) fn append(&self, origins: Vec<(Key, Origin)>) {
        // What is not written is not known after a loss of power, and is then rejected.
        let _ = self.0.try_send(origins);
    }
}

/// Channel to the thread, the thread, and the origins that it has found on the disk.
pub(crate) type Started = (Sender, std::thread::JoinHandle<()>, Vec<(Key, Origin)>);

/// Opens the log of origins and starts the thread. It ends once all senders are dropped.
///
/// # Errors
///
/// When the log cannot be opened, or the thread not be started.
pub(crate) fn start(folder: PathBuf, clock: Clock, metrics: Metrics) -> Result<Started> {
    let (mut log, stored) = Log::open(&folder, clock.now())?;
    let (sender, batches) = flume::bounded::<Vec<(Key, Origin)>>(BATCHES_MAX);
    let write = move || {
        let mut is_failing = false;
        while let Ok(first) = batches.recv() {
            let waiting = batches.try_iter().flatten();
            let batch: Vec<(Key, Origin)> = first.into_iter().chain(waiting).collect();
            let written = log.append(clock.now(), &batch);
            let was_failing = std::mem::replace(&mut is_failing, written.is_err());
            if let (Err(error), false) = (written, was_failing) {
                tracing::warn!(event = Line::OriginsUnwritten.as_str(), %error);
            }
            let set = |what, number| {
                let gauge = metrics.control.with_label_values(&[what]);
                gauge.set(gauge_value(number));
            };
            set("origin_bytes", log.bytes());
            set("origin_syncs", log.sync_count());
            std::thread::sleep(WRITE_INTERVAL);
        }
    };
    let thread = std::thread::Builder::new()
        .name("origins".to_owned())
        .spawn(write)
        .map_err(Error::file("start a thread", "origins"))?;
    Ok((Sender(sender), thread, stored))
}
