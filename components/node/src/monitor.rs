//! Monitors this process's use of its VM: memory, connections, and processor by how late tasks
//! run.
//!
//! Gauges show these at all times. While the process is under pressure they are also logged every
//! second, so that the cause of a crash can be found afterwards.

use crate::metric::{gauge_value, Metrics};
use crate::shared::{cancelled, Published};
use coordination::admission::{Admission, Arrivals, Limit, Probes};
use coordination::overload::Overload;
use state::clock::Millis;
use state::line::Line;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// Time between two updates of the gauges.
const MEASURE_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two probes of how late tasks run. Each probe costs a wake-up.
pub(crate) const PROBE_INTERVAL: Duration = Duration::from_millis(20);

/// Lateness of tasks from which the pressure is logged, in milliseconds.
const LOGGED_LATENESS_MS: u64 = 20;

/// Number of callers' connections from which the pressure is logged.
const LOGGED_CONNECTIONS: i64 = 256;

/// Size of a page of memory in bytes.
const PAGE_BYTES: i64 = 4096;

/// How late tasks of this process run, measured by a task that sleeps and compares the time at
/// which it wakes with the time at which it should have.
///
/// New work waits about as long until the processor gets to it.
#[derive(Clone, Debug)]
pub(crate) struct Lateness {
    /// Origin of the times in `shared`.
    started: Instant,
    shared: Arc<Probe>,
}

/// Results of the probes, and work admitted since the last one.
#[derive(Debug, Default)]
struct Probe {
    /// When the sleeping task should wake, in milliseconds since `started`.
    due_ms: AtomicU64,
    /// Lateness of the last probe, in milliseconds.
    last_ms: AtomicU64,
    /// Lateness of the probe before the last one, in milliseconds.
    previous_ms: AtomicU64,
    /// Requests and connections admitted since the last probe.
    admitted: AtomicU64,
    /// Connections admitted since the last probe.
    accepted: AtomicU64,
    /// Connections closed unread since the last probe.
    closed: AtomicU64,
    /// Largest number of connections that may be admitted between two probes.
    connections_max: AtomicU64,
    /// Whether new connections should go to other routers.
    is_shedding: AtomicBool,
    /// Whether new connections do go to other routers by now.
    is_bypassed: AtomicBool,
}

impl Default for Lateness {
    fn default() -> Self {
        let lateness = Lateness {
            started: Instant::now(),
            shared: Arc::default(),
        };
        lateness.shared.due_ms.store(u64::MAX, Ordering::Relaxed);
        (lateness.shared.connections_max)
            .store(Limit::default().connections_max(), Ordering::Relaxed);
        lateness
    }
}

impl Lateness {
    /// Current lateness of tasks in milliseconds.
    fn ms(&self) -> u64 {
        let load = |of: &AtomicU64| of.load(Ordering::Relaxed);
        let probes = Probes {
            last_ms: load(&self.shared.last_ms),
            previous_ms: load(&self.shared.previous_ms),
            overdue_ms: self.elapsed_ms().saturating_sub(load(&self.shared.due_ms)),
            admitted: load(&self.shared.admitted),
        };
        probes.lateness()
    }

    /// Whether tasks run so late that times measured by this process, such as those of endpoints,
    /// say more about this process.
    pub(crate) fn is_late(&self) -> bool {
        Admission::for_request(self.ms()) != Admission::Admit
    }

    /// Whether a waiting connection may be accepted, even if only to be closed.
    pub(crate) fn may_accept(&self) -> bool {
        self.decide_connection() != Admission::Wait
    }

    /// Decides what to do with an accepted connection, and counts it.
    pub(crate) fn admit_connection(&self) -> Admission {
        let admission = self.decide_connection();
        match admission {
            Admission::Admit => {
                self.shared.admitted.fetch_add(1, Ordering::Relaxed);
                self.shared.accepted.fetch_add(1, Ordering::Relaxed);
            }
            Admission::Close => {
                self.shared.closed.fetch_add(1, Ordering::Relaxed);
            }
            Admission::Refuse | Admission::Wait => {}
        }
        admission
    }

    /// Decides what to do with a connection.
    fn decide_connection(&self) -> Admission {
        let connections_max = self.shared.connections_max.load(Ordering::Relaxed);
        Admission::for_connection(self.ms(), self.arrivals(), connections_max)
    }

    /// Connections that arrived since the last probe.
    fn arrivals(&self) -> Arrivals {
        Arrivals {
            admitted: self.shared.accepted.load(Ordering::Relaxed),
            refused: 0,
            closed: self.shared.closed.load(Ordering::Relaxed),
        }
    }

    /// Decides what to do with a request whose head was read, and counts it.
    pub(crate) fn admit_request(&self) -> Admission {
        let admission = Admission::for_request(self.ms());
        if admission == Admission::Admit {
            self.shared.admitted.fetch_add(1, Ordering::Relaxed);
        }
        admission
    }

    /// Whether new connections should go to other routers.
    pub(crate) fn is_shedding(&self) -> bool {
        self.shared.is_shedding.load(Ordering::Relaxed)
    }

    /// Whether new connections do go to other routers by now, so that a caller that reconnects
    /// reaches one of them.
    pub(crate) fn is_bypassed(&self) -> bool {
        self.shared.is_bypassed.load(Ordering::Relaxed)
    }

    /// Sets both flags. Returns whether `is_shedding` has changed.
    fn set_shedding(&self, is_shedding: bool, is_bypassed: bool) -> bool {
        let shared = &self.shared;
        shared.is_bypassed.store(is_bypassed, Ordering::Relaxed);
        shared.is_shedding.swap(is_shedding, Ordering::Relaxed) != is_shedding
    }

    /// Milliseconds since `started`.
    fn elapsed_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Lateness on which the limit is based, in milliseconds: that of the last probe if much work
    /// was admitted before it, and otherwise the smaller one of the last two probes.
    fn sustained_ms(&self) -> u64 {
        let load = |of: &AtomicU64| of.load(Ordering::Relaxed);
        let shared = &self.shared;
        Probes::sustained(
            load(&shared.last_ms),
            load(&shared.previous_ms),
            load(&shared.admitted),
        )
    }

    /// Sets how many connections may be admitted until the next probe, and resets the counters.
    fn reset(&self, connections_max: u64) {
        let shared = &self.shared;
        shared
            .connections_max
            .store(connections_max, Ordering::Relaxed);
        for counter in [&shared.admitted, &shared.accepted, &shared.closed] {
            counter.store(0, Ordering::Relaxed);
        }
    }

    /// Sleeps for one probe interval. Returns by how many milliseconds it woke too late.
    async fn probe(&self) -> u64 {
        let due_ms = self.elapsed_ms() + millis(PROBE_INTERVAL);
        self.shared.due_ms.store(due_ms, Ordering::Relaxed);
        tokio::time::sleep(PROBE_INTERVAL).await;
        let late_ms = self.elapsed_ms().saturating_sub(due_ms);
        let last_ms = self.shared.last_ms.swap(late_ms, Ordering::Relaxed);
        self.shared.previous_ms.store(last_ms, Ordering::Relaxed);
        late_ms
    }
}

/// Whole milliseconds of a duration.
fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Probes and measures until `stop` is set, and decides whether to shed connections.
pub(crate) async fn run(
    lateness: Lateness,
    metrics: Metrics,
    memory: u64,
    connections: usize,
    published: watch::Receiver<Published>,
    mut stop: watch::Receiver<bool>,
) {
    let connections = gauge_value(connections);
    let mut next_measure_at = Instant::now() + MEASURE_INTERVAL;
    let mut latest_ms = 0;
    let mut overload = Overload::default();
    let mut limit = Limit::default();
    loop {
        let lateness_ms = tokio::select! {
            lateness_ms = lateness.probe() => lateness_ms,
            () = cancelled(&mut stop) => return,
        };
        limit.probe(lateness.sustained_ms(), lateness.arrivals().admitted);
        lateness.reset(limit.connections_max());
        let is_full = metrics.connections.get() >= connections;
        let now = Millis(lateness.elapsed_ms());
        let is_hot = published.borrow().is_hot;
        overload.set_hot(is_hot);
        let is_shedding = overload.probe(now, lateness_ms, is_full);
        if lateness.set_shedding(is_shedding, overload.is_bypassed(now)) {
            let event = Line::Overload.as_str();
            tracing::info!(
                event,
                away = is_shedding,
                hot = is_hot,
                late_ms = lateness_ms
            );
        }
        latest_ms = latest_ms.max(lateness_ms);
        if Instant::now() < next_measure_at {
            continue;
        }
        measure(&metrics, memory, latest_ms);
        next_measure_at = Instant::now() + MEASURE_INTERVAL;
        latest_ms = 0;
    }
}

/// Updates the gauges, and logs them under pressure.
fn measure(metrics: &Metrics, memory: u64, late_ms: u64) {
    metrics.lateness_ms.set(gauge_value(late_ms));
    let resident = resident().unwrap_or_else(|error| {
        tracing::debug!(%error, "cannot read the resident memory");
        0
    });
    metrics.resident_bytes.set(resident);
    if late_ms < LOGGED_LATENESS_MS && metrics.connections.get() < LOGGED_CONNECTIONS {
        return;
    }
    tracing::info!(
        event = Line::Pressure.as_str(),
        late_ms,
        resident,
        memory,
        connections = metrics.connections.get(),
        accepted = metrics.accepted_connections.get(),
        asked = metrics.request_heads.get(),
        sent = metrics.attempts.get(),
        here = metrics.open_requests.get(),
        waiting = metrics.waiting.get(),
        held = metrics.in_progress.get(),
        body_bytes = metrics.body_bytes.get(),
        kept = metrics.idle_connections.get(),
        inputs = metrics.queued_inputs.get(),
        untold = metrics.unlogged_refusals.get(),
        turned_away = metrics.closed_unread.get(),
    );
}

/// Resident memory of this process in bytes.
fn resident() -> std::io::Result<i64> {
    let text = std::fs::read_to_string("/proc/self/statm")?;
    let pages = text.split_whitespace().nth(1).and_then(|p| p.parse().ok());
    let pages: i64 = pages.ok_or(std::io::ErrorKind::InvalidData)?;
    Ok(pages * PAGE_BYTES)
}
