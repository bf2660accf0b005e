//! Schedulers that run on this VM: one per shard that the leader has assigned to it.

use crate::batch::Batch;
use crate::interface::{Contents, Load};
use crate::inventory::Inquiry;
use crate::journal::Journal;
use crate::metric::{gauge_value, Metrics};
use crate::shared::ShardStatus;
use coordination::assignment;
use coordination::dispatcher::{endpoints, set_cold, set_engines, set_software};
use coordination::messages::{Cached, Report, Speed, Totals};
use coordination::scheduler::appointment::Counts;
use coordination::scheduler::{waits, Effect, Effects, Scheduler, Session};
use settings::Scheduling;
use state::clock::Millis;
use state::config::Endpoint;
use state::event::{Event, Kind};
use state::id::{EndpointId, Epoch, Name};
use state::line::Line;
use state::view::{Assignment, Shard, View};
use std::collections::{BTreeMap, BTreeSet};

/// A scheduler with the sessions of its routers.
struct Assigned {
    /// Service and region, and the data centre if the shard has one.
    shard: Shard,
    scheduler: Scheduler,
    /// The session of each router.
    sessions: BTreeMap<Name, Session>,
    /// The router of each session.
    routers: BTreeMap<Session, Name>,
    /// Endpoints of the shard.
    endpoints: BTreeMap<EndpointId, Endpoint>,
    /// Whether grants have to carry the endpoint's address, because routers do not know the
    /// endpoints of this shard.
    sends_endpoint_details: bool,
    /// Schedulers that were sent the whole cache contents and now get changes alone.
    synced: BTreeSet<Epoch>,
    /// Streams expected to pause for too long that have been counted in the metrics.
    counted_breaks: u64,
    /// Channel for queries of an engine's prompt cache, if engines can list it.
    inquiries: Option<flume::Sender<Inquiry>>,
    /// Appointments that the metrics contain.
    counted: Counts,
}

/// All schedulers of this VM.
pub(crate) struct Schedulers {
    /// Name of this VM.
    me: Name,
    /// Schedulers by epoch.
    all: BTreeMap<Epoch, Assigned>,
    journal: Journal,
    metrics: Metrics,
    /// Channel for queries of an engine's prompt cache, if engines can list it.
    inquiries: Option<flume::Sender<Inquiry>>,
    scheduling: Scheduling,
}

impl Schedulers {
    /// Creates an empty set of schedulers. Queries of prompt caches go to `inquiries`.
    pub(crate) fn new(
        me: Name,
        journal: Journal,
        metrics: Metrics,
        inquiries: Option<flume::Sender<Inquiry>>,
        scheduling: Scheduling,
    ) -> Self {
        Schedulers {
            me,
            all: BTreeMap::new(),
            journal,
            metrics,
            inquiries,
            scheduling,
        }
    }

    /// Starts and ends schedulers as the view assigns them.
    pub(crate) fn apply_view(&mut self, now: Millis, view: &View, batch: &mut Batch) {
        let current = assignment::shards(view);
        let is_mine = |a: &&Assignment| a.node.vm == self.me && current.contains(&a.shard);
        let assignments = || view.assignments.iter().filter(is_mine);
        let ended: Vec<Epoch> = (self.all.keys())
            .filter(|epoch| !assignments().any(|s| s.epoch == **epoch))
            .copied()
            .collect();
        // If endpoints arrive shard by shard, a scheduler starts with the first ones: without
        // any it would refuse every request.
        let is_known =
            |a: &&Assignment| !view.is_partial() || endpoints(view, &a.shard).next().is_some();
        let started: Vec<(Epoch, Shard)> = assignments()
            .filter(|s| !self.all.contains_key(&s.epoch))
            .filter(is_known)
            .map(|s| (s.epoch, s.shard.clone()))
            .collect();
        for epoch in ended {
            if let Some(assigned) = self.all.remove(&epoch) {
                let event = Event::new(Kind::SchedulerEnded).service(assigned.shard.service);
                self.journal.record(event.epoch(epoch));
            }
        }
        for (epoch, shard) in started {
            let event = Event::new(Kind::SchedulerBegan).service(shard.service);
            self.journal.record(event.epoch(epoch));
            let mut scheduler = Scheduler::new(epoch, now);
            scheduler.enable_batching();
            if self.inquiries.is_some() {
                scheduler.enable_inventory_requests();
            }
            if self.scheduling.appointments {
                scheduler.enable_appointments();
            }
            let assigned = Assigned {
                shard,
                scheduler,
                sessions: BTreeMap::new(),
                routers: BTreeMap::new(),
                endpoints: BTreeMap::new(),
                sends_endpoint_details: false,
                synced: BTreeSet::new(),
                counted_breaks: 0,
                inquiries: self.inquiries.clone(),
                counted: Counts::default(),
            };
            self.all.insert(epoch, assigned);
        }
        let is_assigned = |epoch| view.assignments.iter().any(|s| s.epoch == epoch);
        for assigned in self.all.values_mut() {
            assigned.scheduler.retain_foreign(is_assigned);
            if self.scheduling.appointments {
                let rules = waits(view, assigned.shard.service);
                assigned.scheduler.set_waits(rules);
            }
            let slots = assigned.scheduler.slots();
            let found = |id: EndpointId| {
                let endpoint = view.config.endpoints.get(&id)?;
                Some((id, endpoint.clone()))
            };
            let known = endpoints(view, &assigned.shard);
            assigned.endpoints = known.filter_map(|e| found(e.0)).collect();
            assigned.sends_endpoint_details = view.is_partial();
            slots.retain(|id| assigned.endpoints.contains_key(&id));
            set_engines(slots, view, &assigned.shard);
            for (id, count, prefetch, leaving) in endpoints(view, &assigned.shard) {
                slots.set(id, count, prefetch, leaving);
            }
            set_software(slots, view, &assigned.shard);
            set_cold(slots, now, view, |_| 0);
            slots.retain_foreign(|id| {
                let endpoint = view.config.endpoints.get(&id);
                endpoint.is_some_and(|endpoint| view.accepts_work(id, endpoint))
            });
        }
        self.tick(now, batch);
    }

    /// Handles a router's reports. Returns false if this VM runs no scheduler of that epoch.
    pub(crate) fn handle_reports<R>(
        &mut self,
        now: Millis,
        vm: &Name,
        epoch: Epoch,
        reports: R,
        batch: &mut Batch,
    ) -> bool
    where
        R: IntoIterator<Item = Report>,
    {
        let Some(assigned) = self.all.get_mut(&epoch) else {
            return false;
        };
        for report in reports {
            let effects = assigned.handle_report(now, vm, report, &self.metrics);
            assigned.perform(effects, batch, &self.journal, &self.metrics);
        }
        true
    }

    /// Sends the grants that the reports of a round have made possible.
    pub(crate) fn flush(&mut self, now: Millis, batch: &mut Batch) {
        for assigned in self.all.values_mut() {
            let effects = assigned.scheduler.flush(now);
            assigned.perform(effects, batch, &self.journal, &self.metrics);
        }
    }

    /// Closes the sessions of a router whose link was lost.
    pub(crate) fn link_down(&mut self, now: Millis, vm: &Name) {
        for assigned in self.all.values_mut() {
            // The entry remains, so that the router's next hello settles this session's requests.
            if let Some(session) = assigned.sessions.get(vm) {
                assigned.scheduler.close_session(now, *session);
            }
        }
    }

    /// The service that each scheduler has granted, with the schedulers of the same service that
    /// it is sent to.
    pub(crate) fn take_service_totals(&mut self, view: &View) -> Vec<(Assignment, Totals)> {
        let mut all = Vec::new();
        for assigned in self.all.values_mut() {
            let other = |s: &&Assignment| {
                s.shard.service == assigned.shard.service && s.shard != assigned.shard
            };
            let others: Vec<&Assignment> = view.assignments.iter().filter(other).collect();
            if others.is_empty() {
                continue;
            }
            let totals = assigned.scheduler.take_service_totals();
            all.extend(others.into_iter().map(|to| (to.clone(), totals.clone())));
        }
        all
    }

    /// Newly cached prompts of each scheduler's engines, with the schedulers of the same service
    /// and region that they are sent to, so that these do not copy the prompts to another engine.
    pub(crate) fn take_cached(&mut self, view: &View) -> Vec<(Assignment, Vec<Cached>)> {
        let mut all = Vec::new();
        for assigned in self.all.values_mut() {
            let fresh = assigned.scheduler.take_new_cached();
            if view.is_partial() {
                // Other schedulers do not know the addresses of these engines.
                continue;
            }
            let shard = &assigned.shard;
            let others = view.assignments.iter().filter(|a| {
                let other = &a.shard;
                other.service == shard.service && other.region == shard.region && other != shard
            });
            let others: Vec<&Assignment> = others.collect();
            assigned
                .synced
                .retain(|e| others.iter().any(|a| a.epoch == *e));
            for to in others {
                let cached = match assigned.synced.insert(to.epoch) {
                    true => assigned.scheduler.all_cached(),
                    false => fresh.clone(),
                };
                if !cached.is_empty() {
                    all.push((to.clone(), cached));
                }
            }
        }
        all
    }

    /// Handles a message about prompts that engines of another scheduler have cached.
    pub(crate) fn handle_cached(&mut self, view: &View, from: &Name, cached: &[Cached]) {
        for assigned in self.all.values_mut() {
            let shard = &assigned.shard;
            let is_other = |a: &&Assignment| {
                let other = &a.shard;
                other.service == shard.service && other.region == shard.region && other != shard
            };
            let mut others = view.assignments.iter().filter(is_other);
            if others.any(|a| a.node.vm == *from) {
                assigned.scheduler.merge_cached(cached);
            }
        }
    }

    /// Handles a message about the service that another scheduler has granted.
    pub(crate) fn handle_service_totals(&mut self, view: &View, totals: &Totals) {
        let Some(assignment) = view.assignments.iter().find(|s| s.epoch == totals.epoch) else {
            return;
        };
        for assigned in self.all.values_mut() {
            let other = assigned.shard != assignment.shard;
            if other && assigned.shard.service == assignment.shard.service {
                assigned.scheduler.merge_service_totals(totals);
            }
        }
    }

    /// Whether a router has a session with a scheduler here.
    pub(crate) fn has_session(&self, vm: &Name) -> bool {
        self.all.values().any(|a| a.sessions.contains_key(vm))
    }

    /// Handles an endpoint's load report.
    pub(crate) fn handle_load(&mut self, now: Millis, endpoint: EndpointId, load: &Load) {
        let requests = load.running.saturating_add(load.waiting);
        for assigned in self.all.values_mut() {
            let slots = assigned.scheduler.slots();
            slots.report_load(now, endpoint, requests);
            if let Some(percent) = load.percent {
                let speed = Speed {
                    endpoint,
                    percent,
                    age_ms: 0,
                };
                slots.record_speed(now, &speed);
            }
        }
    }

    /// Handles an engine's list of cached prompts.
    pub(crate) fn handle_contents(
        &mut self,
        now: Millis,
        endpoint: EndpointId,
        contents: &Contents,
        batch: &mut Batch,
    ) {
        for assigned in self.all.values_mut() {
            if assigned.endpoints.contains_key(&endpoint) {
                let effects = assigned.scheduler.record_inventory(
                    now,
                    endpoint,
                    contents.started_ms,
                    &contents.parts,
                );
                assigned.perform(effects, batch, &self.journal, &self.metrics);
            }
        }
    }

    /// Advances timeouts and sends what has become due.
    pub(crate) fn tick(&mut self, now: Millis, batch: &mut Batch) {
        for assigned in self.all.values_mut() {
            let effects = assigned.scheduler.tick(now);
            assigned.perform(effects, batch, &self.journal, &self.metrics);
        }
    }

    /// Whether this VM schedules for so many routers that callers should use other ones.
    pub(crate) fn is_dedicated(&self, view: &View) -> bool {
        let routers = self.all.values().map(|a| a.scheduler.routers()).max();
        let shards = view.assignments.len().max(1);
        routers.is_some_and(|routers| assignment::is_dedicated(routers, shards))
    }

    /// Shards of the schedulers here.
    pub(crate) fn shards(&self) -> Vec<Shard> {
        self.all.values().map(|a| a.shard.clone()).collect()
    }

    /// State of each scheduler, for operators.
    pub(crate) fn status(&self, view: &View) -> Vec<ShardStatus> {
        let name = |id| {
            let customer = view.config.customers.get(&id);
            customer.map_or_else(|| id.to_string(), |c| c.name.to_string())
        };
        let all = self.all.iter().map(|(epoch, assigned)| ShardStatus {
            shard: assigned.shard.clone(),
            epoch: epoch.0,
            slots: assigned.scheduler.totals().0,
            running: assigned.scheduler.running(),
            waiting: assigned.scheduler.waiting(),
            routers: assigned.scheduler.routers(),
            levels: (assigned.scheduler.levels().into_iter())
                .map(|(id, level)| (name(id), level))
                .collect(),
        });
        all.collect()
    }

    /// Logs each customer's share of every scheduler where requests wait.
    fn log_shares(&mut self, view: &View) {
        for (epoch, assigned) in &mut self.all {
            let shares = assigned.scheduler.take_allocations();
            if assigned.scheduler.waiting() == 0 {
                continue;
            }
            for share in shares {
                let customer = view.config.customers.get(&share.customer);
                tracing::info!(
                    event = Line::SchedulerShare.as_str(),
                    epoch = epoch.0,
                    customer = customer.map_or("", |c| c.name.as_str()),
                    waiting = share.waiting,
                    ahead = share.ahead,
                    granted = share.granted,
                    cost = share.cost,
                    refused = share.refused,
                );
            }
        }
    }

    /// Logs each scheduler's estimate of its queue and endpoints.
    fn log_summaries(&mut self, now: Millis, view: &View) {
        for (epoch, assigned) in &mut self.all {
            let summary = assigned.scheduler.summary();
            tracing::info!(
                event = Line::SchedulerState.as_str(),
                service = view.config.service_name(assigned.shard.service),
                region = assigned.shard.region.as_str(),
                data_centre = assigned.shard.data_centre.as_ref().map(Name::as_str),
                epoch = epoch.0,
                waiting = summary.waiting,
                running = summary.running,
                customers = summary.customers,
                unread = summary.unread_tokens,
                slowest = summary.slowest_tokens_per_s,
                fastest = summary.fastest_tokens_per_s,
                pace = summary.cost_per_s,
                refused = summary.refused,
                granted = summary.granted,
                slow = assigned.scheduler.slow_engines(now),
                stated = assigned.scheduler.slots().engines_with_speed(now),
                expected_breaks = summary.expected_breaks,
                places = summary.places,
                booked = summary.appointments.booked,
                kept = summary.appointments.kept,
                missed = summary.appointments.missed,
                booked_refused = summary.appointments.refused,
                unbooked = summary.appointments.unbooked,
            );
            let service = view.config.service_name(assigned.shard.service);
            let counter =
                (self.metrics.pauses_over_bound).with_label_values(&[service, "expected"]);
            counter.inc_by(summary.expected_breaks - assigned.counted_breaks);
            assigned.counted_breaks = summary.expected_breaks;
        }
    }

    /// Adds the appointments since the last call to the metrics.
    fn count_appointments(&mut self, view: &View) {
        for assigned in self.all.values_mut() {
            let now = assigned.scheduler.appointment_counts();
            let before = std::mem::replace(&mut assigned.counted, now);
            let service = view.config.service_name(assigned.shard.service);
            let region = assigned.shard.region.as_str();
            let count = |what, now: u64, before: u64| {
                let labels = [service, region, what];
                let counter = self.metrics.appointments.with_label_values(&labels);
                counter.inc_by(now.saturating_sub(before));
            };
            count("booked", now.booked, before.booked);
            count("kept", now.kept, before.kept);
            count("missed", now.missed, before.missed);
            count("refused", now.refused, before.refused);
            count("unbooked", now.unbooked, before.unbooked);
        }
    }

    /// Updates the gauges.
    pub(crate) fn update_metrics(&mut self, now: Millis, view: &View) {
        self.log_summaries(now, view);
        self.log_shares(view);
        if self.scheduling.appointments {
            self.count_appointments(view);
        }
        for status in self.status(view) {
            let service = view.config.service_name(status.shard.service);
            let region = status.shard.region.as_str();
            let set = |what, number| {
                let gauge = self
                    .metrics
                    .slots
                    .with_label_values(&[service, region, what]);
                gauge.set(number);
            };
            set("slots", gauge_value(status.slots));
            set("running", gauge_value(status.running));
            set("waiting", gauge_value(status.waiting));
            set("routers", gauge_value(status.routers));
            for (customer, level) in &status.levels {
                let labels = [service, region, customer.as_str()];
                self.metrics
                    .received_service
                    .with_label_values(&labels)
                    .set(gauge_value(*level));
            }
        }
    }
}

impl Assigned {
    /// Handles a router's report.
    fn handle_report(
        &mut self,
        now: Millis,
        vm: &Name,
        report: Report,
        metrics: &Metrics,
    ) -> Effects {
        let session = self.sessions.get(vm).copied();
        if let Report::Hello(hello) = report {
            let opened = self.scheduler.open_session(now, session, &hello);
            self.sessions.insert(vm.clone(), opened);
            if let Some(older) = session {
                self.routers.remove(&older);
            }
            self.routers.insert(opened, vm.clone());
            return Effects::new();
        }
        // A report without a session belongs to a session that has ended.
        let Some(session) = session else {
            return Effects::new();
        };
        if matches!(report, Report::Return(_)) {
            metrics.returned_grants.inc();
        }
        self.scheduler.handle_report(now, session, report)
    }

    /// Logs a change of an endpoint's health.
    fn log_health(&self, line: Line, endpoint: EndpointId) {
        tracing::info!(
            event = line.as_str(),
            endpoint = self
                .endpoints
                .get(&endpoint)
                .map_or("", |endpoint| endpoint.name.as_str()),
            epoch = self.scheduler.epoch().0,
        );
    }

    /// Adds the scheduler's messages to the batch, and logs health changes.
    fn perform(&self, effects: Effects, batch: &mut Batch, journal: &Journal, metrics: &Metrics) {
        for effect in effects {
            match effect {
                Effect::Grant(session, grant) => {
                    let Some(vm) = self.routers.get(&session) else {
                        continue;
                    };
                    metrics.grants.inc();
                    if self.sends_endpoint_details {
                        let ids = std::iter::once(grant.endpoint).chain(grant.copy_from);
                        for id in ids {
                            let endpoint = self.endpoints.get(&id);
                            endpoint
                                .inspect(|endpoint| batch.add_endpoint_details(vm, id, endpoint));
                        }
                    }
                    batch.grant(vm, grant);
                }
                Effect::Refuse(session, refusal) => {
                    if let Some(vm) = self.routers.get(&session) {
                        batch.refuse(vm, refusal);
                    }
                }
                Effect::RequestInventory(endpoint) => {
                    let address = self.endpoints.get(&endpoint).map(|e| e.address);
                    let inquiry = address.map(|address| Inquiry { endpoint, address });
                    if let (Some(inquiry), Some(inquiries)) = (inquiry, &self.inquiries) {
                        // The receiver ends only together with this process.
                        let _ = inquiries.send(inquiry);
                    }
                }
                Effect::Ejected(endpoint) => {
                    self.log_health(Line::EndpointEjected, endpoint);
                    journal.record(Event::new(Kind::Ejected).endpoint(endpoint));
                }
                Effect::Restored(endpoint) => {
                    self.log_health(Line::EndpointRestored, endpoint);
                    journal.record(Event::new(Kind::Restored).endpoint(endpoint));
                }
            }
        }
    }
}
