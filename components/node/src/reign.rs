//! The schedulers that this VM runs.

use crate::batch::Batch;
use crate::journal::Journal;
use crate::metric::{value, Metrics};
use crate::shared::ShardStatus;
use coordination::ask::{Report, Served};
use coordination::desk::{endpoints, memory};
use coordination::scheduler::{Effect, Effects, Scheduler, Session};
use state::clock::Millis;
use state::event::{Event, Step};
use state::id::{EndpointId, Epoch, Name};
use state::view::{Seat, Shard, View};
use std::collections::BTreeMap;

struct Reign {
    shard: Shard,
    scheduler: Scheduler,
    sessions: BTreeMap<Name, Session>,
}

/// All schedulers of this VM, by reign.
pub(crate) struct Reigns {
    me: Name,
    /// Time over which service counts, in milliseconds.
    memory_ms: Option<u64>,
    all: BTreeMap<Epoch, Reign>,
    journal: Journal,
    metrics: Metrics,
}

impl Reigns {
    /// No schedulers yet.
    pub(crate) fn new(
        me: Name,
        memory_ms: Option<u64>,
        journal: Journal,
        metrics: Metrics,
    ) -> Self {
        Reigns {
            me,
            memory_ms,
            all: BTreeMap::new(),
            journal,
            metrics,
        }
    }

    /// Begins and ends reigns as the view says.
    pub(crate) fn follow(&mut self, now: Millis, view: &View, batch: &mut Batch) {
        let seats = || view.seats.iter().filter(|s| s.place.vm == self.me);
        let over: Vec<Epoch> = (self.all.keys())
            .filter(|epoch| !seats().any(|s| s.epoch == **epoch))
            .copied()
            .collect();
        let begun: Vec<(Epoch, Shard)> = seats()
            .filter(|s| !self.all.contains_key(&s.epoch))
            .map(|s| (s.epoch, s.shard.clone()))
            .collect();
        for epoch in over {
            if let Some(reign) = self.all.remove(&epoch) {
                let event = Event::new(Step::ReignEnded).service(reign.shard.service);
                self.journal.note(event.epoch(epoch));
            }
        }
        for (epoch, shard) in begun {
            let event = Event::new(Step::ReignBegan).service(shard.service);
            self.journal.note(event.epoch(epoch));
            let mut scheduler = Scheduler::new(epoch, now);
            scheduler.set_memory(self.memory_ms);
            let reign = Reign {
                shard,
                scheduler,
                sessions: BTreeMap::new(),
            };
            self.all.insert(epoch, reign);
        }
        let seated = |epoch| view.seats.iter().any(|s| s.epoch == epoch);
        for reign in self.all.values_mut() {
            reign.scheduler.retain_foreign(seated);
            let slots = reign.scheduler.slots();
            let known: Vec<EndpointId> = endpoints(view, &reign.shard).map(|e| e.0).collect();
            slots.retain(|id| known.contains(&id));
            slots.set_memory(memory(view, &reign.shard));
            for (id, count, lead, leaving) in endpoints(view, &reign.shard) {
                slots.set(id, count, lead, leaving);
            }
        }
        self.tick(now, batch);
    }

    /// Takes a router's reports; false if this VM has no such reign.
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
        let Some(reign) = self.all.get_mut(&epoch) else {
            return false;
        };
        for report in reports {
            let effects = reign.report(now, vm, report, &self.metrics);
            reign.act(effects, batch, &self.journal, &self.metrics);
        }
        true
    }

    /// Ends sessions whose link was lost.
    pub(crate) fn link_down(&mut self, now: Millis, vm: &Name) {
        for reign in self.all.values_mut() {
            // It stays known by its router, whose next hello settles its requests.
            if let Some(session) = reign.sessions.get(vm) {
                reign.scheduler.close(now, *session);
            }
        }
    }

    /// What each reign has given, for the seats of its service in other regions.
    pub(crate) fn served(&mut self, view: &View) -> Vec<(Seat, Served)> {
        let mut all = Vec::new();
        for reign in self.all.values_mut() {
            let other =
                |s: &&Seat| s.shard.service == reign.shard.service && s.shard != reign.shard;
            let others: Vec<&Seat> = view.seats.iter().filter(other).collect();
            if others.is_empty() {
                continue;
            }
            let served = reign.scheduler.tell_served();
            all.extend(others.into_iter().map(|to| (to.clone(), served.clone())));
        }
        all
    }

    /// Takes what a reign in another region has given.
    pub(crate) fn hear_served(&mut self, view: &View, served: &Served) {
        let Some(seat) = view.seats.iter().find(|s| s.epoch == served.epoch) else {
            return;
        };
        for reign in self.all.values_mut() {
            let other = reign.shard.region != seat.shard.region;
            if other && reign.shard.service == seat.shard.service {
                reign.scheduler.hear_served(served);
            }
        }
    }

    /// Whether a router has a session with a scheduler here.
    pub(crate) fn serves(&self, vm: &Name) -> bool {
        self.all.values().any(|r| r.sessions.contains_key(vm))
    }

    /// Takes an endpoint's load report.
    pub(crate) fn load(&mut self, now: Millis, endpoint: EndpointId, load: u32) {
        for reign in self.all.values_mut() {
            reign.scheduler.slots().report(now, endpoint, load);
        }
    }

    /// Lets time pass.
    pub(crate) fn tick(&mut self, now: Millis, batch: &mut Batch) {
        for reign in self.all.values_mut() {
            let effects = reign.scheduler.tick(now);
            reign.act(effects, batch, &self.journal, &self.metrics);
        }
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
        let all = self.all.iter().map(|(epoch, reign)| ShardStatus {
            shard: reign.shard.clone(),
            epoch: epoch.0,
            slots: reign.scheduler.totals().0,
            running: reign.scheduler.running(),
            waiting: reign.scheduler.waiting(),
            routers: reign.scheduler.routers(),
            levels: (reign.scheduler.levels().into_iter())
                .map(|(id, level)| (name(id), level))
                .collect(),
        });
        all.collect()
    }

    /// Logs what each scheduler believes.
    fn tell_beliefs(&self, view: &View) {
        for (epoch, reign) in &self.all {
            let belief = reign.scheduler.belief();
            let service = view.config.services.get(&reign.shard.service);
            tracing::info!(
                event = "scheduler-state",
                service = service.map_or("", |s| s.name.as_str()),
                region = reign.shard.region.as_str(),
                epoch = epoch.0,
                waiting = belief.waiting,
                running = belief.running,
                customers = belief.customers,
                unread = belief.unread,
                slowest = belief.slowest,
                fastest = belief.fastest,
                pace = belief.pace,
                refused = belief.refused,
                granted = belief.granted,
            );
        }
    }

    /// Brings the gauges up to date.
    pub(crate) fn measure(&self, view: &View) {
        self.tell_beliefs(view);
        for status in self.status(view) {
            let service = view.config.services.get(&status.shard.service);
            let service = service.map_or("", |s| s.name.as_str());
            let region = status.shard.region.as_str();
            let set = |what, number| {
                let gauge = self
                    .metrics
                    .slots
                    .with_label_values(&[service, region, what]);
                gauge.set(number);
            };
            set("slots", value(status.slots));
            set("running", value(status.running));
            set("waiting", value(status.waiting));
            set("routers", value(status.routers));
            for (customer, level) in &status.levels {
                let labels = [service, region, customer.as_str()];
                self.metrics
                    .service
                    .with_label_values(&labels)
                    .set(value(*level));
            }
        }
    }
}

impl Reign {
    fn report(&mut self, now: Millis, vm: &Name, report: Report, metrics: &Metrics) -> Effects {
        let session = self.sessions.get(vm).copied();
        if let Report::Hello(hello) = report {
            let opened = self.scheduler.open(now, session, &hello);
            self.sessions.insert(vm.clone(), opened);
            return Effects::new();
        }
        // Without a session, it belongs to one that has ended.
        let Some(session) = session else {
            return Effects::new();
        };
        if matches!(report, Report::Return(_)) {
            metrics.returns.inc();
        }
        self.scheduler.take(now, session, report)
    }

    fn act(&self, effects: Effects, batch: &mut Batch, journal: &Journal, metrics: &Metrics) {
        for effect in effects {
            match effect {
                Effect::Grant(session, grant) => {
                    let vm = self.sessions.iter().find(|(_, s)| **s == session);
                    if let Some((vm, _)) = vm {
                        metrics.grants.inc();
                        batch.grant(vm, grant);
                    }
                }
                Effect::Refuse(session, refusal) => {
                    let vm = self.sessions.iter().find(|(_, s)| **s == session);
                    if let Some((vm, _)) = vm {
                        batch.refuse(vm, refusal);
                    }
                }
                Effect::Ejected(endpoint) => {
                    tracing::warn!(%endpoint, "an endpoint is ejected after failures");
                    journal.note(Event::new(Step::Ejected).endpoint(endpoint));
                }
                Effect::Restored(endpoint) => {
                    tracing::info!(%endpoint, "an endpoint is back");
                    journal.note(Event::new(Step::Restored).endpoint(endpoint));
                }
            }
        }
    }
}
