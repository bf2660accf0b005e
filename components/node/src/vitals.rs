//! What this process takes of its VM: memory, connections, processor.
//!
//! Gauges show it at all times. While the process is under pressure a log line each
//! second tells the same, so that what led to an end can be read afterwards.

use crate::metric::{value, Metrics};
use crate::shared::raised;
use state::line::Line;
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// Time between two looks.
const LOOK: Duration = Duration::from_secs(1);

/// Time between two probes of how late tasks run.
const PROBE: Duration = Duration::from_millis(50);

/// Lateness of tasks from which on a process counts as under pressure.
const LATE: Duration = Duration::from_millis(20);

/// Callers' connections from which on it does.
const MANY: i64 = 256;

/// Bytes of a page of memory.
const PAGE: i64 = 4096;

/// Watches until told to stop.
pub(crate) async fn run(metrics: Metrics, memory: u64, mut stop: watch::Receiver<bool>) {
    let mut next = Instant::now() + LOOK;
    let mut latest = Duration::ZERO;
    loop {
        let due = tokio::time::Instant::now() + PROBE;
        tokio::select! {
            () = tokio::time::sleep_until(due) => {}
            () = raised(&mut stop) => return,
        }
        latest = latest.max(due.elapsed());
        if Instant::now() < next {
            continue;
        }
        look(&metrics, memory, latest);
        next = Instant::now() + LOOK;
        latest = Duration::ZERO;
    }
}

fn look(metrics: &Metrics, memory: u64, late: Duration) {
    metrics.late.set(value(late.as_millis()));
    let resident = resident().unwrap_or_else(|error| {
        tracing::debug!(%error, "the resident memory cannot be read");
        0
    });
    metrics.resident.set(resident);
    if late < LATE && metrics.connections.get() < MANY {
        return;
    }
    tracing::info!(
        event = Line::Pressure.as_str(),
        late_ms = value(late.as_millis()),
        resident,
        memory,
        connections = metrics.connections.get(),
        here = metrics.here.get(),
        waiting = metrics.waiting.get(),
        held = metrics.held.get(),
        body_bytes = metrics.body_bytes.get(),
        kept = metrics.kept.get(),
        inputs = metrics.inputs.get(),
    );
}

/// Bytes of memory that this process holds.
fn resident() -> std::io::Result<i64> {
    let text = std::fs::read_to_string("/proc/self/statm")?;
    let pages = text.split_whitespace().nth(1).and_then(|p| p.parse().ok());
    let pages: i64 = pages.ok_or(std::io::ErrorKind::InvalidData)?;
    Ok(pages * PAGE)
}
