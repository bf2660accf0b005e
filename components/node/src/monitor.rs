//! What this process takes of its VM: memory, connections, processor.
//!
//! Gauges show it at all times. While the process is under pressure a log line each
//! second tells the same, so that what led to an end can be read afterwards.

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

/// Time between two looks.
const LOOK: Duration = Duration::from_secs(1);

/// Time between two probes of how late tasks run. Each costs a wake-up.
pub(crate) const PROBE_INTERVAL: Duration = Duration::from_millis(20);

/// Lateness of tasks from which on that line is written, in milliseconds.
const TOLD_MS: u64 = 20;

/// Callers' connections from which on it does.
const MANY: i64 = 256;

/// Bytes of a page of memory.
const PAGE: i64 = 4096;

/// How late tasks of this process run: a task that sleeps tells it when it wakes.
///
/// It is the time that whatever has just come waits until the processor turns to it.
#[derive(Clone, Debug)]
pub(crate) struct Lateness {
    began: Instant,
    shared: Arc<Probe>,
}

#[derive(Debug, Default)]
struct Probe {
    /// When the sleeping task is due, in milliseconds since the beginning.
    due: AtomicU64,
    /// How late it was the last time, in milliseconds.
    last: AtomicU64,
    /// How late it was the time before.
    before: AtomicU64,
    /// Requests and connections that were let in since.
    taken: AtomicU64,
    /// Connections that were let in since, and those that were closed unread.
    accepted: AtomicU64,
    closed: AtomicU64,
    /// Connections that may be let in between two probes.
    takes: AtomicU64,
    /// Whether new connections are to go to other routers.
    is_shedding: AtomicBool,
    /// Whether they do by now.
    is_bypassed: AtomicBool,
}

impl Default for Lateness {
    fn default() -> Self {
        let lateness = Lateness {
            began: Instant::now(),
            shared: Arc::default(),
        };
        lateness.shared.due.store(u64::MAX, Ordering::Relaxed);
        (lateness.shared.takes).store(Limit::default().connections_max(), Ordering::Relaxed);
        lateness
    }
}

impl Lateness {
    /// Milliseconds by which tasks run late now.
    fn ms(&self) -> u64 {
        let load = |of: &AtomicU64| of.load(Ordering::Relaxed);
        let probes = Probes {
            last_ms: load(&self.shared.last),
            previous_ms: load(&self.shared.before),
            overdue_ms: self.elapsed().saturating_sub(load(&self.shared.due)),
            admitted: load(&self.shared.taken),
        };
        probes.lateness()
    }

    /// Whether what this process measures of others tells of itself.
    pub(crate) fn is_late(&self) -> bool {
        Admission::for_request(self.ms()) != Admission::Admit
    }

    /// Whether a connection that waits may be accepted, if only to be closed.
    pub(crate) fn may_accept(&self) -> bool {
        self.of_connection() != Admission::Wait
    }

    /// What to do with a connection that was accepted.
    pub(crate) fn admit_connection(&self) -> Admission {
        let intake = self.of_connection();
        match intake {
            Admission::Admit => {
                self.shared.taken.fetch_add(1, Ordering::Relaxed);
                self.shared.accepted.fetch_add(1, Ordering::Relaxed);
            }
            Admission::Close => {
                self.shared.closed.fetch_add(1, Ordering::Relaxed);
            }
            Admission::Refuse | Admission::Wait => {}
        }
        intake
    }

    fn of_connection(&self) -> Admission {
        let takes = self.shared.takes.load(Ordering::Relaxed);
        Admission::for_connection(self.ms(), self.arrivals(), takes)
    }

    /// Connections that came since the last probe.
    fn arrivals(&self) -> Arrivals {
        Arrivals {
            admitted: self.shared.accepted.load(Ordering::Relaxed),
            closed: self.shared.closed.load(Ordering::Relaxed),
        }
    }

    /// What to do with a request whose head was read.
    pub(crate) fn admit_request(&self) -> Admission {
        let intake = Admission::for_request(self.ms());
        if intake == Admission::Admit {
            self.shared.taken.fetch_add(1, Ordering::Relaxed);
        }
        intake
    }

    /// Whether new connections are to go to other routers.
    pub(crate) fn is_shedding(&self) -> bool {
        self.shared.is_shedding.load(Ordering::Relaxed)
    }

    /// Whether they do by now, so that callers are best off with a new connection.
    pub(crate) fn is_bypassed(&self) -> bool {
        self.shared.is_bypassed.load(Ordering::Relaxed)
    }

    /// Notes whether they are to and whether they do; tells whether the first has changed.
    fn turn(&self, is_shedding: bool, is_bypassed: bool) -> bool {
        let shared = &self.shared;
        shared.is_bypassed.store(is_bypassed, Ordering::Relaxed);
        shared.is_shedding.swap(is_shedding, Ordering::Relaxed) != is_shedding
    }

    fn elapsed(&self) -> u64 {
        u64::try_from(self.began.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Lateness that counts of the last probe, in milliseconds.
    fn lasting(&self) -> u64 {
        let load = |of: &AtomicU64| of.load(Ordering::Relaxed);
        let shared = &self.shared;
        Probes::sustained(
            load(&shared.last),
            load(&shared.before),
            load(&shared.taken),
        )
    }

    /// Sets how many connections may be let in until the next probe, and begins to count.
    fn begin(&self, takes: u64) {
        let shared = &self.shared;
        shared.takes.store(takes, Ordering::Relaxed);
        for counter in [&shared.taken, &shared.accepted, &shared.closed] {
            counter.store(0, Ordering::Relaxed);
        }
    }

    /// Sleeps for one probe; gives by how many milliseconds it woke too late.
    async fn probe(&self) -> u64 {
        let due = self.elapsed() + millis(PROBE_INTERVAL);
        self.shared.due.store(due, Ordering::Relaxed);
        tokio::time::sleep(PROBE_INTERVAL).await;
        let late = self.elapsed().saturating_sub(due);
        let last = self.shared.last.swap(late, Ordering::Relaxed);
        self.shared.before.store(last, Ordering::Relaxed);
        late
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Watches until told to stop.
pub(crate) async fn run(
    lateness: Lateness,
    metrics: Metrics,
    memory: u64,
    connections: usize,
    published: watch::Receiver<Published>,
    mut stop: watch::Receiver<bool>,
) {
    let connections = gauge_value(connections);
    let mut next = Instant::now() + LOOK;
    let mut latest = 0;
    let mut overload = Overload::default();
    let mut limit = Limit::default();
    loop {
        let late = tokio::select! {
            late = lateness.probe() => late,
            () = cancelled(&mut stop) => return,
        };
        limit.probe(lateness.lasting(), lateness.arrivals().admitted);
        lateness.begin(limit.connections_max());
        let is_full = metrics.connections.get() >= connections;
        let now = Millis(lateness.elapsed());
        let is_hot = published.borrow().is_hot;
        overload.set_hot(is_hot);
        let is_shedding = overload.probe(now, late, is_full);
        if lateness.turn(is_shedding, overload.is_bypassed(now)) {
            let event = Line::Overload.as_str();
            tracing::info!(event, away = is_shedding, hot = is_hot, late_ms = late);
        }
        latest = latest.max(late);
        if Instant::now() < next {
            continue;
        }
        look(&metrics, memory, latest);
        next = Instant::now() + LOOK;
        latest = 0;
    }
}

fn look(metrics: &Metrics, memory: u64, late_ms: u64) {
    metrics.late.set(gauge_value(late_ms));
    let resident = resident().unwrap_or_else(|error| {
        tracing::debug!(%error, "the resident memory cannot be read");
        0
    });
    metrics.resident.set(resident);
    if late_ms < TOLD_MS && metrics.connections.get() < MANY {
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
        held = metrics.held.get(),
        body_bytes = metrics.body_bytes.get(),
        kept = metrics.idle_connections.get(),
        inputs = metrics.queued_inputs.get(),
        untold = metrics.unlogged_refusals.get(),
        turned_away = metrics.closed_unread.get(),
    );
}

/// Bytes of memory that this process holds.
fn resident() -> std::io::Result<i64> {
    let text = std::fs::read_to_string("/proc/self/statm")?;
    let pages = text.split_whitespace().nth(1).and_then(|p| p.parse().ok());
    let pages: i64 = pages.ok_or(std::io::ErrorKind::InvalidData)?;
    Ok(pages * PAGE)
}
