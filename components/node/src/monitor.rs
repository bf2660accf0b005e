//! Monitors this process's use of its VM: memory, connections, and processor by how late tasks
//! run.
//!
//! Gauges show these at all times. While the process is under pressure they are also logged every
//! second, so that the cause of a crash can be found afterwards.

use crate::handover::Handover;
use crate::metric::{gauge_value, Metrics};
use crate::shared::{cancelled, Published};
use coordination::admission::{
    self, Admission, Arrivals, Excess, Intake, Limit, Period, Probes, Quota, Refused, Returns,
};
use coordination::overload::Overload;
use rustix::time::ClockId;
use state::clock::Millis;
use state::line::Line;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// Time between two updates of the gauges.
const MEASURE_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two probes of how late tasks run. Each probe costs a wake-up.
pub(crate) const PROBE_INTERVAL: Duration = Duration::from_millis(20);

/// Lateness of tasks from which the pressure is logged, in milliseconds.
const LOGGED_LATENESS_MS: u64 = 20;

/// Processor time to accept a connection, in microseconds: about half of what benches/refusal.rs
/// gives for a connection that is closed unread. It is not measured for
/// each refusal, since it is spent in other places.
const ACCEPT_US: u64 = 10;

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
    /// Whether connections beyond what can be served are answered with a refusal.
    answers_excess: bool,
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
    /// Connections and requests of customers that bring little, admitted in spite of an overload since
    /// the last probe.
    light: AtomicU64,
    /// Connections admitted since the last probe.
    accepted: AtomicU64,
    /// Connections refused with a response since the last probe.
    refused: AtomicU64,
    /// Connections closed unread since the last probe.
    closed: AtomicU64,
    /// Processor time of these refusals, in nanoseconds.
    refusal_ns: AtomicU64,
    /// Largest number of connections that may be admitted between two probes.
    connections_max: AtomicU64,
    /// Largest number of connections that may be refused between two probes.
    refusals_max: AtomicU64,
    /// Largest number of connections that may be closed unread between two probes.
    closes_max: AtomicU64,
    /// Time since this router has reported that it is not ready, in milliseconds; the largest
    /// value if it is ready.
    unready_ms: AtomicU64,
    /// When refused callers were told to return.
    returns: Mutex<Returns>,
    /// Whether new connections should go to other routers.
    is_shedding: AtomicBool,
    /// Whether new connections do go to other routers by now.
    is_bypassed: AtomicBool,
}

/// Decides on connections from one probe to the next.
enum Decision {
    /// By lateness alone; connections beyond the limit are closed unread.
    Limit(Limit),
    /// By what was served; connections beyond that are refused with a response.
    Intake(Intake),
}

impl Decision {
    fn new(answers_excess: bool) -> Self {
        match answers_excess {
            true => Decision::Intake(Intake::default()),
            false => Decision::Limit(Limit::default()),
        }
    }

    /// Quota until the next probe.
    fn quota(&self) -> Quota {
        match self {
            Decision::Limit(limit) => Quota::closing_excess(limit.connections_max()),
            Decision::Intake(intake) => intake.quota(),
        }
    }

    /// Takes the work since the last probe.
    fn probe(&mut self, period: Period) {
        match self {
            Decision::Limit(limit) => limit.probe(period.late_ms, period.arrivals.admitted),
            Decision::Intake(intake) => {
                intake.probe(period);
            }
        }
    }

    /// Whether more arrives than the router can serve.
    fn is_exceeded(&self) -> bool {
        match self {
            Decision::Limit(_) => false,
            Decision::Intake(intake) => intake.is_exceeded(),
        }
    }

    /// Requests that may be admitted, in thousandths per second, if there is a limit.
    fn limit(&self) -> Option<u64> {
        match self {
            Decision::Limit(_) => None,
            Decision::Intake(intake) => intake.limit(),
        }
    }
}

/// Measures the processor time of a part of a refusal until it is dropped. It must be dropped by
/// the thread that created it.
pub(crate) struct RefusalTimer<'a> {
    lateness: &'a Lateness,
    began_ns: u64,
}

impl Drop for RefusalTimer<'_> {
    fn drop(&mut self) {
        let took_ns = cpu_ns(ClockId::ThreadCPUTime).saturating_sub(self.began_ns);
        let sum = &self.lateness.shared.refusal_ns;
        sum.fetch_add(took_ns, Ordering::Relaxed);
    }
}

/// Processor time by a clock of the process or of a thread, in nanoseconds.
fn cpu_ns(clock: ClockId) -> u64 {
    let time = rustix::time::clock_gettime(clock);
    let part = |value: i64| u64::try_from(value).unwrap_or(0);
    part(time.tv_sec) * 1_000_000_000 + part(time.tv_nsec)
}

impl Lateness {
    /// Creates the probes' state; `answers_excess` is the setting `answer-excess`.
    pub(crate) fn new(answers_excess: bool) -> Self {
        let lateness = Lateness {
            started: Instant::now(),
            answers_excess,
            shared: Arc::default(),
        };
        let shared = &lateness.shared;
        shared.due_ms.store(u64::MAX, Ordering::Relaxed);
        shared.unready_ms.store(u64::MAX, Ordering::Relaxed);
        lateness.set_quota(Decision::new(answers_excess).quota());
        lateness
    }

    /// Whether connections beyond what can be served are answered with a refusal.
    pub(crate) fn answers_excess(&self) -> bool {
        self.answers_excess
    }

    /// Time after which a refused caller should retry. `timeout` is the time for which it waits in
    /// all, if it has said so.
    pub(crate) fn retry_after(&self, timeout: Option<Duration>) -> Duration {
        let unready_ms = self.shared.unready_ms.load(Ordering::Relaxed);
        let refused = Refused {
            unready_ms: Some(unready_ms).filter(|ms| *ms != u64::MAX),
            timeout_ms: timeout.map(millis),
            random: u64::from(rand::random::<u32>()),
        };
        let now = Millis(self.elapsed_ms());
        Duration::from_millis(self.returns().tell(now, refused))
    }

    fn returns(&self) -> MutexGuard<'_, Returns> {
        let returns = self.shared.returns.lock();
        returns.unwrap_or_else(PoisonError::into_inner)
    }

    /// Measures the processor time of a refusal until the returned value is dropped.
    pub(crate) fn time_refusal(&self) -> RefusalTimer<'_> {
        RefusalTimer {
            lateness: self,
            began_ns: cpu_ns(ClockId::ThreadCPUTime),
        }
    }

    /// Whether a connection that there is no room to serve may be refused now, and counts it.
    pub(crate) fn refuse_connection(&self) -> bool {
        let quota = self.quota();
        let is_allowed = self.arrivals().refused < quota.refusals;
        if is_allowed {
            self.shared.refused.fetch_add(1, Ordering::Relaxed);
        }
        is_allowed
    }

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

    /// Decides what to do with an accepted connection, and counts it. `is_light` tells whether its
    /// customer brings little, and is asked only if it matters.
    pub(crate) fn admit_connection<F>(&self, is_light: F) -> Admission
    where
        F: FnOnce() -> bool,
    {
        let admission = match self.decide_connection() {
            Admission::Close | Admission::Wait => match is_light() && self.admit_light() {
                true => Admission::Admit,
                false => Admission::Close,
            },
            other => other,
        };
        match admission {
            Admission::Admit => {
                self.shared.admitted.fetch_add(1, Ordering::Relaxed);
                self.shared.accepted.fetch_add(1, Ordering::Relaxed);
            }
            Admission::Close => {
                self.shared.closed.fetch_add(1, Ordering::Relaxed);
            }
            Admission::Refuse => {
                self.shared.refused.fetch_add(1, Ordering::Relaxed);
            }
            Admission::Wait => {}
        }
        admission
    }

    /// Decides what to do with a connection.
    fn decide_connection(&self) -> Admission {
        self.quota().decide(self.ms(), self.arrivals())
    }

    /// How many connections may be admitted, refused and closed between the last probe and the
    /// next one.
    fn quota(&self) -> Quota {
        let load = |of: &AtomicU64| of.load(Ordering::Relaxed);
        Quota {
            connections: load(&self.shared.connections_max),
            refusals: load(&self.shared.refusals_max),
            closes: load(&self.shared.closes_max),
        }
    }

    /// Connections that arrived since the last probe.
    fn arrivals(&self) -> Arrivals {
        Arrivals {
            admitted: self.shared.accepted.load(Ordering::Relaxed),
            refused: self.shared.refused.load(Ordering::Relaxed),
            closed: self.shared.closed.load(Ordering::Relaxed),
        }
    }

    /// Whether a customer that brings little is admitted in spite of an overload, which is counted.
    fn admit_light(&self) -> bool {
        let light = &self.shared.light;
        let is_admitted = admission::admits_light(light.load(Ordering::Relaxed));
        if is_admitted {
            light.fetch_add(1, Ordering::Relaxed);
        }
        is_admitted
    }

    /// Decides what to do with a request whose head was read, and counts it. `is_light` tells
    /// whether its customer brings little.
    pub(crate) fn admit_request(&self, is_light: bool) -> Admission {
        let admission = match Admission::for_request(self.ms()) {
            Admission::Refuse if is_light && self.admit_light() => Admission::Admit,
            other => other,
        };
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

    /// Sets how many connections may be admitted, refused and closed until the next probe.
    fn set_quota(&self, quota: Quota) {
        let store = |to: &AtomicU64, value| to.store(value, Ordering::Relaxed);
        store(&self.shared.connections_max, quota.connections);
        store(&self.shared.refusals_max, quota.refusals);
        store(&self.shared.closes_max, quota.closes);
    }

    /// Takes the counts since the last probe, and resets them.
    fn take_period(&self) -> Period {
        let late_ms = self.sustained_ms();
        let take = |of: &AtomicU64| of.swap(0, Ordering::Relaxed);
        let shared = &self.shared;
        let arrivals = Arrivals {
            admitted: take(&shared.accepted),
            refused: take(&shared.refused),
            closed: take(&shared.closed),
        };
        take(&shared.light);
        Period {
            late_ms,
            requests: take(&shared.admitted).saturating_sub(arrivals.admitted),
            refusal_us: take(&shared.refusal_ns) / 1000 + arrivals.refused * ACCEPT_US,
            arrivals,
            ..Period::default()
        }
    }

    /// Updates the metrics of callers that were told to return.
    fn update_metrics(&self, metrics: &Metrics) {
        let returns = self.returns();
        let pending = usize::try_from(returns.pending()).unwrap_or(usize::MAX);
        metrics.pending_returns.set(gauge_value(pending));
        let known = metrics.crowded_returns.get();
        let crowded = returns.crowded().saturating_sub(known);
        metrics.crowded_returns.inc_by(crowded);
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

/// Measures the work of this process between two probes.
struct Meter {
    probed_at: Instant,
    process_ns: u64,
    /// Requests sent to endpoints, or answered by peers with room. A hand-over that fails, or that
    /// the peer declines or has no room for, raises no limit of what is admitted.
    served: u64,
}

impl Meter {
    fn new(metrics: &Metrics) -> Self {
        Meter {
            probed_at: Instant::now(),
            process_ns: cpu_ns(ClockId::ProcessCPUTime),
            served: metrics.attempts.get() + metrics.answered_by_peers.get(),
        }
    }

    /// Completes the counts since the last probe.
    fn measure(&mut self, metrics: &Metrics, period: Period) -> Period {
        let before = std::mem::replace(self, Meter::new(metrics));
        Period {
            length_ms: millis(self.probed_at - before.probed_at),
            served: self.served.saturating_sub(before.served),
            process_us: self.process_ns.saturating_sub(before.process_ns) / 1000,
            ..period
        }
    }
}

/// Probes and measures until `stop` is set, and decides whether to shed connections.
pub(crate) async fn run(
    lateness: Lateness,
    metrics: Metrics,
    memory: u64,
    connections: usize,
    published: watch::Receiver<Published>,
    handover: Option<Handover>,
    mut stop: watch::Receiver<bool>,
) {
    let connections = gauge_value(connections);
    let mut next_measure_at = Instant::now() + MEASURE_INTERVAL;
    let mut latest_ms = 0;
    let mut overload = Overload::default();
    let mut decision = Decision::new(lateness.answers_excess);
    let mut excess = Excess::default();
    let mut meter = Meter::new(&metrics);
    loop {
        let lateness_ms = tokio::select! {
            lateness_ms = lateness.probe() => lateness_ms,
            () = cancelled(&mut stop) => return,
        };
        if let Some(handover) = &handover {
            overload.set_relieved(handover.probe(lateness.sustained_ms()));
        }
        let period = meter.measure(&metrics, lateness.take_period());
        decision.probe(period);
        lateness.set_quota(decision.quota());
        if lateness.answers_excess && decision.quota().closes > 0 {
            metrics.exhausted_refusals.inc();
        }
        let now = Millis(lateness.elapsed_ms());
        lateness.returns().probe(now, period, decision.limit());
        let is_full = metrics.connections.get() >= connections;
        let is_hot = published.borrow().is_hot;
        overload.set_hot(is_hot);
        overload.set_exceeded(decision.is_exceeded());
        excess.probe(period);
        overload.set_turning_away(excess.is_lasting());
        let is_shedding = overload.probe(now, lateness_ms, is_full);
        let unready_ms = overload.unready_ms(now).unwrap_or(u64::MAX);
        (lateness.shared.unready_ms).store(unready_ms, Ordering::Relaxed);
        if lateness.set_shedding(is_shedding, overload.is_bypassed(now)) {
            let event = Line::Overload.as_str();
            tracing::info!(
                event,
                away = is_shedding,
                hot = is_hot,
                exceeded = decision.is_exceeded(),
                turning_away = excess.is_lasting(),
                limit = decision.limit().map(|limit| limit / 1000),
                late_ms = lateness_ms
            );
        }
        latest_ms = latest_ms.max(lateness_ms);
        if Instant::now() < next_measure_at {
            continue;
        }
        lateness.update_metrics(&metrics);
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
        refused = metrics.refused_connections.get(),
        returning = metrics.pending_returns.get(),
        without_room = metrics.crowded_returns.get(),
    );
}

/// Resident memory of this process in bytes.
fn resident() -> std::io::Result<i64> {
    let text = std::fs::read_to_string("/proc/self/statm")?;
    let pages = text.split_whitespace().nth(1).and_then(|p| p.parse().ok());
    let pages: i64 = pages.ok_or(std::io::ErrorKind::InvalidData)?;
    Ok(pages * PAGE_BYTES)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn counts_only_answered_handovers_as_served() {
        // Failure: a router whose peers fail or refuse admits more and more, since each attempt to
        // hand a request over counts as served.
        let metrics = Metrics::new().expect("metrics are registered once");
        metrics.attempts.inc();
        metrics.handed_over.inc_by(10);
        metrics.failed_handovers.inc_by(3);
        metrics.declined_handovers.inc_by(3);
        assert_eq!(Meter::new(&metrics).served, 1);
        metrics.answered_by_peers.inc_by(4);
        assert_eq!(Meter::new(&metrics).served, 5);
    }
}
