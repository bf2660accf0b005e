//! The thread that writes origins of streams to the disk of a control VM, so that nothing else
//! waits for it.

use crate::metric::{gauge_value, Metrics};
use coordination::origin::{Key, Origin, ORIGINS_MAX};
use errors::{Error, Result};
use state::line::Line;
use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use transport::clock::Clock;
use transport::origins::Log;

/// Least time between two writes. Origins that come in meanwhile share one sync.
const WRITE_INTERVAL: Duration = Duration::from_millis(50);

/// Batches of origins for the thread.
#[derive(Clone, Debug)]
pub(crate) struct Sender {
    batches: flume::Sender<Vec<(Key, Origin)>>,
    /// Origins that wait for the disk.
    waiting: Arc<AtomicUsize>,
}

impl Sender {
    /// Has a batch written soon. While more origins wait for the disk than are remembered, further
    /// ones are not written: they are unknown after a loss of power, and their streams rejected.
    pub(crate) fn append(&self, origins: Vec<(Key, Origin)>) {
        if self.waiting.load(Ordering::Relaxed) < ORIGINS_MAX {
            self.waiting.fetch_add(origins.len(), Ordering::Relaxed);
            // Sending fails only if the thread has ended.
            let _ = self.batches.send(origins);
        }
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
    let (sender, batches) = flume::unbounded::<Vec<(Key, Origin)>>();
    let waiting = Arc::new(AtomicUsize::new(0));
    let sender = Sender {
        batches: sender,
        waiting: waiting.clone(),
    };
    let write = move || {
        let mut is_failing = false;
        while let Ok(first) = batches.recv() {
            let others = batches.try_iter().flatten();
            let batch: Vec<(Key, Origin)> = first.into_iter().chain(others).collect();
            waiting.fetch_sub(batch.len(), Ordering::Relaxed);
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
    Ok((sender, thread, stored))
}
