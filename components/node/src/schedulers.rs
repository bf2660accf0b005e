//! The schedulers that this VM runs.

use crate::batch::Batch;
use crate::interface::Contents;
use crate::inventory::Unknown;
use crate::journal::Journal;
use crate::metric::{gauge_value, Metrics};
use crate::shared::ShardStatus;
use coordination::assignment;
use coordination::dispatcher::{endpoints, set_cold, set_engines};
use coordination::messages::{Cached, Report, Served};
use coordination::scheduler::{Effect, Effects, Scheduler, Session};
use state::clock::Millis;
use state::config::Endpoint;
use state::event::{Event, Kind};
use state::id::{EndpointId, Epoch, Name};
use state::line::Line;
use state::view::{Assignment, Shard, View};
use std::collections::{BTreeMap, BTreeSet};

struct Assigned {
    shard: Shard,
    scheduler: Scheduler,
    sessions: BTreeMap<Name, Session>,
    /// The VM of each session.
    routers: BTreeMap<Session, Name>,
    endpoints: BTreeMap<EndpointId, Endpoint>,
    /// Whether routers do not know these, and are told of those that they are granted.
    introduces: bool,
    /// Schedulers that were told all that engines here keep.
    told: BTreeSet<Epoch>,
    /// Where to ask engines what they have kept, if they can tell.
    inquiries: Option<flume::Sender<Unknown>>,
}

/// All schedulers of this VM, by epoch.
pub(crate) struct Schedulers {
    me: Name,
    all: BTreeMap<Epoch, Assigned>,
    journal: Journal,
    metrics: Metrics,
    inquiries: Option<flume::Sender<Unknown>>,
}

impl Schedulers {
    /// No schedulers yet. Engines are asked over `inquiries` what they have kept.
    pub(crate) fn new(
        me: Name,
        journal: Journal,
        metrics: Metrics,
        inquiries: Option<flume::Sender<Unknown>>,
    ) -> Self {
        Schedulers {
            me,
            all: BTreeMap::new(),
            journal,
            metrics,
            inquiries,
        }
    }

    /// Starts and ends schedulers as the view says.
    pub(crate) fn follow(&mut self, now: Millis, view: &View, batch: &mut Batch) {
        let current = assignment::shards(view);
        let is_mine = |a: &&Assignment| a.node.vm == self.me && current.contains(&a.shard);
        let assignments = || view.assignments.iter().filter(is_mine);
        let over: Vec<Epoch> = (self.all.keys())
            .filter(|epoch| !assignments().any(|s| s.epoch == **epoch))
            .copied()
            .collect();
        // Where endpoints come by shard, it begins with them: without any it would refuse all.
        let is_known =
            |a: &&Assignment| !view.is_partial() || endpoints(view, &a.shard).next().is_some();
        let begun: Vec<(Epoch, Shard)> = assignments()
            .filter(|s| !self.all.contains_key(&s.epoch))
            .filter(is_known)
            .map(|s| (s.epoch, s.shard.clone()))
            .collect();
        for epoch in over {
            if let Some(assigned) = self.all.remove(&epoch) {
                let event = Event::new(Kind::SchedulerEnded).service(assigned.shard.service);
                self.journal.note(event.epoch(epoch));
            }
        }
        for (epoch, shard) in begun {
            let event = Event::new(Kind::SchedulerBegan).service(shard.service);
            self.journal.note(event.epoch(epoch));
            let mut scheduler = Scheduler::new(epoch, now);
            scheduler.enable_batching();
            if self.inquiries.is_some() {
                scheduler.enable_inventory_requests();
            }
            let assigned = Assigned {
                shard,
                scheduler,
                sessions: BTreeMap::new(),
                routers: BTreeMap::new(),
                endpoints: BTreeMap::new(),
                introduces: false,
                told: BTreeSet::new(),
                inquiries: self.inquiries.clone(),
            };
            self.all.insert(epoch, assigned);
        }
        let is_assigned = |epoch| view.assignments.iter().any(|s| s.epoch == epoch);
        for assigned in self.all.values_mut() {
            assigned.scheduler.retain_foreign(is_assigned);
            let slots = assigned.scheduler.slots();
            let found = |id: EndpointId| {
                let endpoint = view.config.endpoints.get(&id)?;
                Some((id, endpoint.clone()))
            };
            let known = endpoints(view, &assigned.shard);
            assigned.endpoints = known.filter_map(|e| found(e.0)).collect();
            assigned.introduces = view.is_partial();
            slots.retain(|id| assigned.endpoints.contains_key(&id));
            set_engines(slots, view, &assigned.shard);
            for (id, count, lead, leaving) in endpoints(view, &assigned.shard) {
                slots.set(id, count, lead, leaving);
            }
            set_cold(slots, now, view, |_| 0);
            slots.retain_foreign(|id| {
                let endpoint = view.config.endpoints.get(&id);
                endpoint.is_some_and(|endpoint| view.accepts_work(id, endpoint))
            });
        }
        self.tick(now, batch);
    }

    /// Takes a router's reports; false if this VM has no such epoch.
    pub(crate) fn reports<R>(
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
            let effects = assigned.report(now, vm, report, &self.metrics);
            assigned.act(effects, batch, &self.journal, &self.metrics);
        }
        true
    }

    /// Grants what the reports of a round have made possible.
    pub(crate) fn flush(&mut self, now: Millis, batch: &mut Batch) {
        for assigned in self.all.values_mut() {
            let effects = assigned.scheduler.flush(now);
            assigned.act(effects, batch, &self.journal, &self.metrics);
        }
    }

    /// Ends sessions whose link was lost.
    pub(crate) fn link_down(&mut self, now: Millis, vm: &Name) {
        for assigned in self.all.values_mut() {
            // It stays known by its router, whose next hello settles its requests.
            if let Some(session) = assigned.sessions.get(vm) {
                assigned.scheduler.close_session(now, *session);
            }
        }
    }

    /// What each scheduler has given, for those of its service in other regions.
    pub(crate) fn served(&mut self, view: &View) -> Vec<(Assignment, Served)> {
        let mut all = Vec::new();
        for assigned in self.all.values_mut() {
            let other = |s: &&Assignment| {
                s.shard.service == assigned.shard.service && s.shard != assigned.shard
            };
            let others: Vec<&Assignment> = view.assignments.iter().filter(other).collect();
            if others.is_empty() {
                continue;
            }
            let served = assigned.scheduler.take_served();
            all.extend(others.into_iter().map(|to| (to.clone(), served.clone())));
        }
        all
    }

    /// What engines of each scheduler have come to keep, for the others of its service in its
    /// region: prompts must not be copied to another one.
    pub(crate) fn kept(&mut self, view: &View) -> Vec<(Assignment, Vec<Cached>)> {
        let mut all = Vec::new();
        for assigned in self.all.values_mut() {
            let fresh = assigned.scheduler.take_new_cached();
            if view.is_partial() {
                // Others do not know where these engines are.
                continue;
            }
            let shard = &assigned.shard;
            let others = view.assignments.iter().filter(|a| {
                let other = &a.shard;
                other.service == shard.service && other.region == shard.region && other != shard
            });
            let others: Vec<&Assignment> = others.collect();
            assigned
                .told
                .retain(|e| others.iter().any(|a| a.epoch == *e));
            for to in others {
                let kept = match assigned.told.insert(to.epoch) {
                    true => assigned.scheduler.all_cached(),
                    false => fresh.clone(),
                };
                if !kept.is_empty() {
                    all.push((to.clone(), kept));
                }
            }
        }
        all
    }

    /// Takes what engines of another scheduler keep.
    pub(crate) fn hear_kept(&mut self, view: &View, from: &Name, kept: &[Cached]) {
        for assigned in self.all.values_mut() {
            let shard = &assigned.shard;
            let is_other = |a: &&Assignment| {
                let other = &a.shard;
                other.service == shard.service && other.region == shard.region && other != shard
            };
            let mut others = view.assignments.iter().filter(is_other);
            if others.any(|a| a.node.vm == *from) {
                assigned.scheduler.merge_cached(kept);
            }
        }
    }

    /// Takes what a scheduler in another region has given.
    pub(crate) fn hear_served(&mut self, view: &View, served: &Served) {
        let Some(assignment) = view.assignments.iter().find(|s| s.epoch == served.epoch) else {
            return;
        };
        for assigned in self.all.values_mut() {
            let other = assigned.shard != assignment.shard;
            if other && assigned.shard.service == assignment.shard.service {
                assigned.scheduler.merge_served(served);
            }
        }
    }

    /// Whether a router has a session with a scheduler here.
    pub(crate) fn serves(&self, vm: &Name) -> bool {
        self.all.values().any(|r| r.sessions.contains_key(vm))
    }

    /// Takes an endpoint's load report.
    pub(crate) fn load(&mut self, now: Millis, endpoint: EndpointId, load: u32) {
        for assigned in self.all.values_mut() {
            assigned.scheduler.slots().report_load(now, endpoint, load);
        }
    }

    /// Takes what an engine has kept.
    pub(crate) fn learn(
        &mut self,
        now: Millis,
        endpoint: EndpointId,
        told: &Contents,
        batch: &mut Batch,
    ) {
        for assigned in self.all.values_mut() {
            if assigned.endpoints.contains_key(&endpoint) {
                let effects =
                    assigned
                        .scheduler
                        .note_inventory(now, endpoint, told.born, &told.parts);
                assigned.act(effects, batch, &self.journal, &self.metrics);
            }
        }
    }

    /// Lets time pass.
    pub(crate) fn tick(&mut self, now: Millis, batch: &mut Batch) {
        for assigned in self.all.values_mut() {
            let effects = assigned.scheduler.tick(now);
            assigned.act(effects, batch, &self.journal, &self.metrics);
        }
    }

    /// Whether callers are to go to other routers, since this VM schedules for many.
    pub(crate) fn is_dedicated(&self, view: &View) -> bool {
        let routers = self.all.values().map(|a| a.scheduler.routers()).max();
        let shards = view.assignments.len().max(1);
        routers.is_some_and(|routers| assignment::is_dedicated(routers, shards))
    }

    /// Shards that are scheduled here.
    pub(crate) fn shards(&self) -> Vec<Shard> {
        self.all.values().map(|r| r.shard.clone()).collect()
    }

    /// State of each shard, for operators.
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

    /// Logs what each scheduler has given to whom, while work waits there.
    fn tell_shares(&mut self, view: &View) {
        for (epoch, assigned) in &mut self.all {
            let shares = assigned.scheduler.take_usage();
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

    /// Logs what each scheduler believes.
    fn tell_beliefs(&self, view: &View) {
        for (epoch, assigned) in &self.all {
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
            );
        }
    }

    /// Brings the gauges up to date.
    pub(crate) fn measure(&mut self, view: &View) {
        self.tell_beliefs(view);
        self.tell_shares(view);
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
                    .service
                    .with_label_values(&labels)
                    .set(gauge_value(*level));
            }
        }
    }
}

impl Assigned {
    fn report(&mut self, now: Millis, vm: &Name, report: Report, metrics: &Metrics) -> Effects {
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
        // Without a session, it belongs to one that has ended.
        let Some(session) = session else {
            return Effects::new();
        };
        if matches!(report, Report::Return(_)) {
            metrics.returns.inc();
        }
        self.scheduler.handle_report(now, session, report)
    }

    /// Logs a change of an endpoint's health.
    fn tell(&self, line: Line, endpoint: EndpointId) {
        tracing::info!(
            event = line.as_str(),
            endpoint = self
                .endpoints
                .get(&endpoint)
                .map_or("", |endpoint| endpoint.name.as_str()),
            epoch = self.scheduler.epoch().0,
        );
    }

    fn act(&self, effects: Effects, batch: &mut Batch, journal: &Journal, metrics: &Metrics) {
        for effect in effects {
            match effect {
                Effect::Grant(session, grant) => {
                    let Some(vm) = self.routers.get(&session) else {
                        continue;
                    };
                    metrics.grants.inc();
                    if self.introduces {
                        let named = std::iter::once(grant.endpoint).chain(grant.copy_from);
                        for id in named {
                            let endpoint = self.endpoints.get(&id);
                            endpoint.inspect(|endpoint| batch.introduce(vm, id, endpoint));
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
                    let unknown = address.map(|address| Unknown { endpoint, address });
                    if let (Some(unknown), Some(inquiries)) = (unknown, &self.inquiries) {
                        // Its receiver ends only together with this process.
                        let _ = inquiries.send(unknown);
                    }
                }
                Effect::Ejected(endpoint) => {
                    self.tell(Line::EndpointEjected, endpoint);
                    journal.note(Event::new(Kind::Ejected).endpoint(endpoint));
                }
                Effect::Restored(endpoint) => {
                    self.tell(Line::EndpointRestored, endpoint);
                    journal.note(Event::new(Kind::Restored).endpoint(endpoint));
                }
            }
        }
    }
}
