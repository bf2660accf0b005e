//! Counters, gauges and histograms that `/metrics` exports.

use errors::{Error, Result};
use prometheus::{
    Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts,
    Registry, TextEncoder,
};
use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Bucket bounds of latency histograms in seconds, from a local answer to a long stream.
const BUCKETS_S: [f64; 14] = [
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0,
];

/// Largest number of rules that have their own time series. Each rule costs some kilobytes, and
/// each configuration may bring new names.
const LABELLED_RULES_MAX: usize = 256;

/// Label values of a request that has ended.
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
    /// Names of rules that are used as labels.
    rules: Arc<Mutex<BTreeSet<String>>>,
    /// Number of requests by outcome and status.
    pub(crate) requests: IntCounterVec,
    /// Number of requests by service, rule, outcome and reason, with the values of the log lines.
    pub(crate) ends: IntCounterVec,
    /// Seconds from a request's arrival to the end of its answer, by service, rule
    /// and outcome.
    pub(crate) durations: HistogramVec,
    /// Seconds from a request's arrival to the first piece of its answer, by service
    /// and rule.
    pub(crate) first_byte_times: HistogramVec,
    /// Pauses between events beyond the bound of their rule, by service: those observed by this
    /// router, and those that schedulers here expected of grants.
    pub(crate) pauses_over_bound: IntCounterVec,
    /// Seconds from a request's arrival to its dispatch.
    pub(crate) queue_wait: Histogram,
    /// Seconds from a request's arrival to the end of its answer.
    pub(crate) duration: Histogram,
    /// Tries of a request after its first one.
    pub(crate) retries: IntCounter,
    /// Times that a stream continued at another endpoint.
    pub(crate) resumed_streams: IntCounter,
    /// Streams that broke and were not resumed, by reason.
    pub(crate) unresumed_streams: IntCounterVec,
    /// Streams that callers took up again, by the decision where they may go on.
    pub(crate) continued_streams: IntCounterVec,
    /// Pieces of streams that ended in an event that was held back.
    pub(crate) held_events: IntCounter,
    /// Requests that wait on this router.
    pub(crate) waiting: IntGauge,
    /// Number of evacuated data centres, whose endpoints get no requests.
    pub(crate) evacuated: IntGauge,
    /// Requests in progress on this router.
    pub(crate) in_progress: IntGauge,
    /// Connections that callers opened.
    pub(crate) accepted_connections: IntCounter,
    /// Requests whose head was read.
    pub(crate) request_heads: IntCounter,
    /// Tries sent to endpoints.
    pub(crate) attempts: IntCounter,
    /// Streams with a bound on their pauses that left a crowded shard for another one.
    pub(crate) moved_streams: IntCounter,
    /// Requests handed over to other routers.
    pub(crate) handed_over: IntCounter,
    /// Requests handed over that a router with room has answered.
    pub(crate) answered_by_peers: IntCounter,
    /// Requests accepted from other routers.
    pub(crate) accepted_from_peers: IntCounter,
    /// Hand-overs that failed before the answer began.
    pub(crate) failed_handovers: IntCounter,
    /// Hand-overs that were declined by a router with an older configuration, and served here.
    pub(crate) declined_handovers: IntCounter,
    /// Requests in progress at other routers.
    pub(crate) at_peers: IntGauge,
    /// Routers whose occupancy this VM knows as the VM of a scheduler.
    pub(crate) reporting_routers: IntGauge,
    /// Routers of the fleet, as far as this process knows.
    pub(crate) routers: IntGauge,
    /// Connections closed unread, because tasks ran late or the connection limit was reached.
    pub(crate) closed_unread: IntCounter,
    /// Connections that were refused with a response, without being served.
    pub(crate) refused_connections: IntCounter,
    /// Probes after which refusals had used up their part of the processor time for so long that
    /// connections may be closed unread.
    pub(crate) exhausted_refusals: IntCounter,
    /// Refused callers that are told to return and are not due yet.
    pub(crate) pending_returns: IntGauge,
    /// Refused callers for whom there is no room in the time that they honour.
    pub(crate) crowded_returns: IntCounter,
    /// Requests refused without a log line.
    pub(crate) unlogged_refusals: IntCounter,
    /// Open connections of callers.
    pub(crate) connections: IntGauge,
    /// Requests whose head was read and that have not ended.
    pub(crate) open_requests: IntGauge,
    /// Bytes of request bodies in memory.
    pub(crate) body_bytes: IntGauge,
    /// Idle pooled connections to endpoints.
    pub(crate) idle_connections: IntGauge,
    /// Inputs in the reactor's queue.
    pub(crate) queued_inputs: IntGauge,
    /// Resident memory of the process in bytes.
    pub(crate) resident_bytes: IntGauge,
    /// Largest lateness of a task in the last second, in milliseconds.
    pub(crate) lateness_ms: IntGauge,
    /// Version of the view in force.
    pub(crate) version: IntGauge,
    /// 1 if this process is ready, otherwise 0.
    pub(crate) ready: IntGauge,
    /// Shards that this router schedules alone.
    pub(crate) local_shards: IntGauge,
    /// Grants sent by the schedulers of this VM.
    pub(crate) grants: IntCounter,
    /// Grants that routers returned.
    pub(crate) returned_grants: IntCounter,
    /// Appointments of refused callers, by service, region and what became of them.
    pub(crate) appointments: IntCounterVec,
    /// Slots, routers, and running and waiting requests of the shards that are scheduled here.
    pub(crate) slots: IntGaugeVec,
    /// Virtual service of customers in the shards that are scheduled here.
    pub(crate) received_service: IntGaugeVec,
    /// Open links, and the datagrams and bytes on them.
    pub(crate) links: IntGaugeVec,
    /// Number and bytes of frames sent, by kind.
    pub(crate) frames: IntGaugeVec,
    /// Work in progress, by stage.
    pub(crate) work: IntGaugeVec,
    /// Replicated log: term, index of the last committed entry, bytes of the log, syncs.
    pub(crate) control: IntGaugeVec,
}

impl Metrics {
    /// Creates and registers all metrics.
    ///
    /// # Errors
    ///
    /// If two of them have the same name.
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
            let opts = HistogramOpts::new(name, help).buckets(BUCKETS_S.to_vec());
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
        let unresumed_streams = IntCounterVec::new(
            Opts::new(
                "cowslipford_streams_not_resumed_total",
                "Streams of rules with resume that broke and were not resumed.",
            ),
            &["reason"],
        )
        .map_err(Error::key(step))?;
        r.register(Box::new(unresumed_streams.clone()))
            .map_err(Error::key(step))?;
        let continued_streams = IntCounterVec::new(
            Opts::new(
                "cowslipford_streams_taken_up_total",
                "Streams that callers took up again, by the decision where they may go on.",
            ),
            &["decision"],
        )
        .map_err(Error::key(step))?;
        r.register(Box::new(continued_streams.clone()))
            .map_err(Error::key(step))?;
        let appointments = IntCounterVec::new(
            Opts::new(
                "cowslipford_appointments_total",
                "Appointments of refused callers in shards that are scheduled here.",
            ),
            &["service", "region", "what"],
        )
        .map_err(Error::key(step))?;
        r.register(Box::new(appointments.clone()))
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
        let durations = HistogramVec::new(
            opts.buckets(BUCKETS_S.to_vec()),
            &["service", "rule", "outcome"],
        )
        .map_err(Error::key(step))?;
        r.register(Box::new(durations.clone()))
            .map_err(Error::key(step))?;
        let opts = HistogramOpts::new(
            "cowslipford_request_first_seconds",
            "Time from arrival to the first piece of the answer, by service and rule.",
        );
        let first_byte_times =
            HistogramVec::new(opts.buckets(BUCKETS_S.to_vec()), &["service", "rule"])
                .map_err(Error::key(step))?;
        r.register(Box::new(first_byte_times.clone()))
            .map_err(Error::key(step))?;
        let pauses_over_bound = IntCounterVec::new(
            Opts::new(
                "cowslipford_pauses_over_bound_total",
                "Pauses between events beyond the rule's bound, by service, observed and expected.",
            ),
            &["service", "what"],
        )
        .map_err(Error::key(step))?;
        r.register(Box::new(pauses_over_bound.clone()))
            .map_err(Error::key(step))?;
        Ok(Metrics {
            pauses_over_bound,
            rules: Arc::default(),
            ends,
            durations,
            first_byte_times,
            requests,
            queue_wait: seconds("cowslipford_wait_seconds", "Time from arrival to dispatch.")?,
            duration: seconds(
                "cowslipford_request_seconds",
                "Time from arrival to the end.",
            )?,
            retries: counter("cowslipford_retries_total", "Tries after the first.")?,
            resumed_streams: counter(
                "cowslipford_streams_resumed_total",
                "Times that a stream continued at another endpoint.",
            )?,
            unresumed_streams,
            continued_streams,
            held_events: counter(
                "cowslipford_events_held_total",
                "Pieces of streams that ended in an event that was held back.",
            )?,
            evacuated: gauge(
                "cowslipford_evacuated",
                "Data centres whose endpoints get no requests.",
            )?,
            waiting: gauge("cowslipford_waiting", "Requests that wait on this router.")?,
            in_progress: gauge(
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
            moved_streams: counter(
                "cowslipford_streams_moved_total",
                "Streams with a bound on their pauses that left a crowded data centre.",
            )?,
            handed_over: counter(
                "cowslipford_requests_handed_over_total",
                "Requests handed over to other routers.",
            )?,
            answered_by_peers: counter(
                "cowslipford_handovers_answered_total",
                "Requests handed over that routers with room answered.",
            )?,
            accepted_from_peers: counter(
                "cowslipford_requests_from_peers_total",
                "Requests accepted from other routers.",
            )?,
            failed_handovers: counter(
                "cowslipford_handovers_failed_total",
                "Requests handed over whose answer did not begin.",
            )?,
            declined_handovers: counter(
                "cowslipford_handovers_declined_total",
                "Requests that routers with an older configuration declined; served here.",
            )?,
            at_peers: gauge(
                "cowslipford_requests_at_peers",
                "Requests in progress at other routers.",
            )?,
            routers: gauge(
                "cowslipford_routers",
                "Routers of the fleet, as far as this process knows.",
            )?,
            reporting_routers: gauge(
                "cowslipford_reporting_routers",
                "Routers with a link that may report their occupancy here.",
            )?,
            closed_unread: counter(
                "cowslipford_connections_turned_away_total",
                "Connections closed unread, since tasks ran late or there was no place for them.",
            )?,
            refused_connections: counter(
                "cowslipford_connections_refused_total",
                "Connections beyond what can be served, refused with a response.",
            )?,
            exhausted_refusals: counter(
                "cowslipford_refusals_exhausted_total",
                "Probes, 20 ms apart, after which refusals had used up their part of the processor.",
            )?,
            pending_returns: gauge(
                "cowslipford_refused_callers_to_return",
                "Callers that this router has refused and that are to return within two seconds.",
            )?,
            crowded_returns: counter(
                "cowslipford_refused_callers_without_room_total",
                "Refused callers for whom no room is expected in the time that they honour.",
            )?,
            unlogged_refusals: counter(
                "cowslipford_untold_refusals_total",
                "Requests refused while tasks ran late, or declined, without a log line.",
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
            resident_bytes: gauge(
                "cowslipford_resident_bytes",
                "Memory that the process holds.",
            )?,
            lateness_ms: gauge(
                "cowslipford_late_milliseconds",
                "Most by which a task ran late in the last second.",
            )?,
            version: gauge("cowslipford_version", "Version in force.")?,
            ready: gauge("cowslipford_ready", "Whether this process is ready.")?,
            local_shards: gauge(
                "cowslipford_local_shards",
                "Shards that this router schedules alone.",
            )?,
            grants: counter(
                "cowslipford_grants_total",
                "Grants given by schedulers here.",
            )?,
            returned_grants: counter(
                "cowslipford_returns_total",
                "Grants that routers gave back.",
            )?,
            appointments,
            slots: gauges(
                "cowslipford_shard",
                "Slots, running and waiting of shards that are scheduled here.",
                &["service", "region", "what"],
            )?,
            received_service: gauges(
                "cowslipford_service_received",
                "Virtual service of customers in shards that are scheduled here.",
                &["service", "region", "customer"],
            )?,
            frames: gauges(
                "cowslipford_frames_sent",
                "Frames sent and their bytes, by kind.",
                &["kind", "what"],
            )?,
            work: gauges(
                "cowslipford_work",
                "Requests, and what outlives them, by stage.",
                &["stage"],
            )?,
            links: gauges("cowslipford_links", "Traffic on links.", &["what"])?,
            control: gauges("cowslipford_control", "The replicated log.", &["what"])?,
            registry,
        })
    }

    /// Records a request that has ended.
    pub(crate) fn record_end(&self, took: Duration, first: Option<Duration>, labels: Labels<'_>) {
        let Labels {
            service,
            rule,
            outcome,
            reason,
        } = labels;
        let rule = self.rule_label(rule);
        let ends = [service, rule, outcome, reason];
        self.ends.with_label_values(&ends).inc();
        let histogram = self.durations.with_label_values(&[service, rule, outcome]);
        histogram.observe(took.as_secs_f64());
        if let Some(first) = first {
            let histogram = self.first_byte_times.with_label_values(&[service, rule]);
            histogram.observe(first.as_secs_f64());
        }
    }

    /// Label of a rule: its name if it is one of the first [`LABELLED_RULES_MAX`].
    fn rule_label<'a>(&self, rule: &'a str) -> &'a str {
        let mut rules = self.rules.lock().unwrap_or_else(PoisonError::into_inner);
        if rules.contains(rule) {
            return rule;
        }
        if rules.len() >= LABELLED_RULES_MAX {
            return "(other)";
        }
        rules.insert(rule.to_owned());
        rule
    }

    /// Text of `/metrics`.
    pub(crate) fn text(&self) -> String {
        let families = self.registry.gather();
        TextEncoder::new()
            .encode_to_string(&families)
            .unwrap_or_default()
    }
}

/// Converts a count into the value of a gauge.
pub(crate) fn gauge_value<N>(number: N) -> i64
where
    N: TryInto<i64>,
{
    number.try_into().unwrap_or(i64::MAX)
}
