//! Counters and gauges that `/metrics` shows.

use errors::{Error, Result};
use prometheus::{
    Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts,
    Registry, TextEncoder,
};
use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Bounds of latency histograms in seconds, from a local answer to a long stream.
const BUCKETS: [f64; 14] = [
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0,
];

/// Rules that have series of their own: each costs some kilobytes, and operators bring
/// new names with each configuration.
const RULES: usize = 256;

/// What is counted of a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Labels<'a> {
    pub(crate) service: &'a str,
    pub(crate) rule: &'a str,
    pub(crate) outcome: &'a str,
    pub(crate) reason: &'a str,
}

/// All metrics of one process.
#[derive(Clone, Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    /// Names of rules that are labels.
    rules: Arc<Mutex<BTreeSet<String>>>,
    /// Requests by outcome and status.
    pub(crate) requests: IntCounterVec,
    /// Requests by service, rule, outcome and reason, as their log lines say them.
    pub(crate) ends: IntCounterVec,
    /// Seconds from a request's arrival to the end of its answer, by service, rule
    /// and outcome.
    pub(crate) took: HistogramVec,
    /// Seconds from a request's arrival to the first piece of its answer, by service
    /// and rule.
    pub(crate) first: HistogramVec,
    /// Seconds from a request's arrival to its dispatch.
    pub(crate) queue_wait: Histogram,
    /// Seconds from a request's arrival to the end of its answer.
    pub(crate) duration: Histogram,
    /// Tries after the first.
    pub(crate) retries: IntCounter,
    /// Requests that wait on this router.
    pub(crate) waiting: IntGauge,
    /// Data centres whose endpoints get no requests.
    pub(crate) evacuated: IntGauge,
    /// Requests in progress on this router.
    pub(crate) held: IntGauge,
    /// Connections that callers opened.
    pub(crate) accepted_connections: IntCounter,
    /// Requests whose head was read.
    pub(crate) request_heads: IntCounter,
    /// Tries sent to endpoints.
    pub(crate) attempts: IntCounter,
    /// Connections closed unread, since tasks ran late or there was no place for them.
    pub(crate) closed_unread: IntCounter,
    /// Requests refused without a log line.
    pub(crate) unlogged_refusals: IntCounter,
    /// Callers' connections.
    pub(crate) connections: IntGauge,
    /// Requests that have a head and have not ended.
    pub(crate) open_requests: IntGauge,
    /// Bytes of bodies that arrive, wait or run.
    pub(crate) body_bytes: IntGauge,
    /// Idle connections kept to endpoints.
    pub(crate) idle_connections: IntGauge,
    /// Inputs that wait for the reactor.
    pub(crate) queued_inputs: IntGauge,
    /// Bytes of memory that the process holds.
    pub(crate) resident: IntGauge,
    /// Most milliseconds by which a task ran late in the last second.
    pub(crate) late: IntGauge,
    /// Version in force.
    pub(crate) version: IntGauge,
    /// Whether this process is ready.
    pub(crate) ready: IntGauge,
    /// Shards that this router schedules alone.
    pub(crate) local: IntGauge,
    /// Grants given by this VM's schedulers.
    pub(crate) grants: IntCounter,
    /// Grants that routers gave back.
    pub(crate) returns: IntCounter,
    /// Slots and requests in progress, by shard, where this VM schedules.
    pub(crate) slots: IntGaugeVec,
    /// Service received, by customer, where this VM schedules.
    pub(crate) service: IntGaugeVec,
    /// Links, and datagrams and their bytes on them.
    pub(crate) link: IntGaugeVec,
    /// Frames sent and their bytes, by kind.
    pub(crate) frames: IntGaugeVec,
    /// Control: term, index of the last accepted entry, bytes of the log, syncs.
    pub(crate) control: IntGaugeVec,
}

impl Metrics {
    /// Makes and registers all metrics.
    ///
    /// # Errors
    ///
    /// When two of them have the same name.
    pub(crate) fn new() -> Result<Self> {
        let registry = Registry::new();
        let step = "register metrics";
        let r = &registry;
        let counter = |name: &str, help: &str| -> Result<IntCounter> {
            let c = IntCounter::new(name, help).map_err(Error::key(step))?;
            r.register(Box::new(c.clone())).map_err(Error::key(step))?;
            Ok(c)
        };
        let gauge = |name: &str, help: &str| -> Result<IntGauge> {
            let g = IntGauge::new(name, help).map_err(Error::key(step))?;
            r.register(Box::new(g.clone())).map_err(Error::key(step))?;
            Ok(g)
        };
        let gauges = |name: &str, help: &str, labels: &[&str]| -> Result<IntGaugeVec> {
            let g = IntGaugeVec::new(Opts::new(name, help), labels).map_err(Error::key(step))?;
            r.register(Box::new(g.clone())).map_err(Error::key(step))?;
            Ok(g)
        };
        let seconds = |name: &str, help: &str| -> Result<Histogram> {
            let opts = HistogramOpts::new(name, help).buckets(BUCKETS.to_vec());
            let h = Histogram::with_opts(opts).map_err(Error::key(step))?;
            r.register(Box::new(h.clone())).map_err(Error::key(step))?;
            Ok(h)
        };
        let requests = IntCounterVec::new(
            Opts::new(
                "cowslipford_requests_total",
                "Requests by outcome and status.",
            ),
            &["outcome", "status"],
        )
        .map_err(Error::key(step))?;
        r.register(Box::new(requests.clone()))
            .map_err(Error::key(step))?;
        let ends = IntCounterVec::new(
            Opts::new(
                "cowslipford_request_ends_total",
                "Requests by service, rule, outcome and reason.",
            ),
            &["service", "rule", "outcome", "reason"],
        )
        .map_err(Error::key(step))?;
        r.register(Box::new(ends.clone()))
            .map_err(Error::key(step))?;
        let opts = HistogramOpts::new(
            "cowslipford_request_took_seconds",
            "Time from arrival to the end of the answer, by service, rule and outcome.",
        );
        let took = HistogramVec::new(
            opts.buckets(BUCKETS.to_vec()),
            &["service", "rule", "outcome"],
        )
        .map_err(Error::key(step))?;
        r.register(Box::new(took.clone()))
            .map_err(Error::key(step))?;
        let opts = HistogramOpts::new(
            "cowslipford_request_first_seconds",
            "Time from arrival to the first piece of the answer, by service and rule.",
        );
        let first = HistogramVec::new(opts.buckets(BUCKETS.to_vec()), &["service", "rule"])
            .map_err(Error::key(step))?;
        r.register(Box::new(first.clone()))
            .map_err(Error::key(step))?;
        Ok(Metrics {
            rules: Arc::default(),
            ends,
            took,
            first,
            requests,
            queue_wait: seconds("cowslipford_wait_seconds", "Time from arrival to dispatch.")?,
            duration: seconds(
                "cowslipford_request_seconds",
                "Time from arrival to the end.",
            )?,
            retries: counter("cowslipford_retries_total", "Tries after the first.")?,
            evacuated: gauge(
                "cowslipford_evacuated",
                "Data centres whose endpoints get no requests.",
            )?,
            waiting: gauge("cowslipford_waiting", "Requests that wait on this router.")?,
            held: gauge(
                "cowslipford_in_progress",
                "Requests in progress on this router.",
            )?,
            accepted_connections: counter(
                "cowslipford_connections_accepted_total",
                "Connections that callers opened.",
            )?,
            request_heads: counter(
                "cowslipford_requests_asked_total",
                "Requests whose head was read.",
            )?,
            attempts: counter("cowslipford_tries_sent_total", "Tries sent to endpoints.")?,
            closed_unread: counter(
                "cowslipford_connections_turned_away_total",
                "Connections closed unread, since tasks ran late or there was no place for them.",
            )?,
            unlogged_refusals: counter(
                "cowslipford_untold_refusals_total",
                "Requests refused while tasks ran late, without a log line.",
            )?,
            connections: gauge("cowslipford_connections", "Callers' connections.")?,
            open_requests: gauge(
                "cowslipford_requests_here",
                "Requests that have a head and have not ended.",
            )?,
            body_bytes: gauge(
                "cowslipford_body_bytes",
                "Bytes of bodies that arrive, wait or run.",
            )?,
            idle_connections: gauge(
                "cowslipford_kept_connections",
                "Idle connections kept to endpoints.",
            )?,
            queued_inputs: gauge(
                "cowslipford_reactor_inputs",
                "Inputs that wait for the reactor.",
            )?,
            resident: gauge(
                "cowslipford_resident_bytes",
                "Memory that the process holds.",
            )?,
            late: gauge(
                "cowslipford_late_milliseconds",
                "Most by which a task ran late in the last second.",
            )?,
            version: gauge("cowslipford_version", "Version in force.")?,
            ready: gauge("cowslipford_ready", "Whether this process is ready.")?,
            local: gauge(
                "cowslipford_local_shards",
                "Shards that this router schedules alone.",
            )?,
            grants: counter(
                "cowslipford_grants_total",
                "Grants given by schedulers here.",
            )?,
            returns: counter(
                "cowslipford_returns_total",
                "Grants that routers gave back.",
            )?,
            slots: gauges(
                "cowslipford_shard",
                "Slots, running and waiting of shards that are scheduled here.",
                &["service", "region", "what"],
            )?,
            service: gauges(
                "cowslipford_service_received",
                "Virtual service of customers in shards that are scheduled here.",
                &["service", "region", "customer"],
            )?,
            frames: gauges(
                "cowslipford_frames_sent",
                "Frames sent and their bytes, by kind.",
                &["kind", "what"],
            )?,
            link: gauges("cowslipford_links", "Traffic on links.", &["what"])?,
            control: gauges("cowslipford_control", "The replicated log.", &["what"])?,
            registry,
        })
    }

    /// Counts a request that has ended.
    pub(crate) fn record_end(&self, took: Duration, first: Option<Duration>, labels: Labels<'_>) {
        let Labels {
            service,
            rule,
            outcome,
            reason,
        } = labels;
        let rule = self.rule(rule);
        let ends = [service, rule, outcome, reason];
        self.ends.with_label_values(&ends).inc();
        let histogram = self.took.with_label_values(&[service, rule, outcome]);
        histogram.observe(took.as_secs_f64());
        if let Some(first) = first {
            let histogram = self.first.with_label_values(&[service, rule]);
            histogram.observe(first.as_secs_f64());
        }
    }

    /// A rule's name, if it is one of the first [`RULES`].
    fn rule<'a>(&self, rule: &'a str) -> &'a str {
        let mut rules = self.rules.lock().unwrap_or_else(PoisonError::into_inner);
        if rules.contains(rule) {
            return rule;
        }
        if rules.len() >= RULES {
            return "(other)";
        }
        rules.insert(rule.to_owned());
        rule
    }

    /// The text that `/metrics` gives.
    pub(crate) fn text(&self) -> String {
        let families = self.registry.gather();
        TextEncoder::new()
            .encode_to_string(&families)
            .unwrap_or_default()
    }
}

/// A gauge's value from a count.
pub(crate) fn gauge_value<N>(number: N) -> i64
where
    N: TryInto<i64>,
{
    number.try_into().unwrap_or(i64::MAX)
}
