//! The reactor: one task that owns the router's and schedulers' decisions.

use crate::batch::Batch;
use crate::dissemination::Dissemination;
use crate::input::{Decision, Dispatch, Input, Watched};
use crate::journal::Journal;
use crate::metric::{value, Metrics};
use crate::query::Queries;
use crate::schedulers::Schedulers;
use crate::shared::{Published, Shared, Status};
use coordination::dispatcher::{endpoints, Bounds, Dispatcher, Effect, Effects, Handle};
use coordination::listing::Roster;
use protocol::wire::{Message, Query, Reply};
use state::clock::Millis;
use state::config::Index;
use state::event::{Event, Step};
use state::id::{EndpointId, Name, Version};
use state::listing::Listed;
use state::view::{Assignment, Place, View};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{oneshot, watch};
use transport::clock::Clock;
use transport::link::{self, Hub};

/// Time between two ticks.
const TICK: Duration = Duration::from_millis(20);
/// Inputs taken in one round before messages are sent.
const ROUND: usize = 256;
/// Time between two heartbeats of a VM that can schedule, in milliseconds.
const BEAT_MS: u64 = 300;
/// Time between two updates of the gauges, in milliseconds.
const MEASURE_MS: u64 = 1000;

/// Endpoints that one log line names at most.
const NAMED: usize = 12;

/// What a reactor is given.
pub(crate) struct Parts {
    /// Links.
    pub(crate) hub: Hub,
    /// Clock.
    pub(crate) clock: Clock,
    /// Time line.
    pub(crate) journal: Journal,
    /// Metrics.
    pub(crate) metrics: Metrics,
    /// Control VMs that the settings name.
    pub(crate) seeds: Vec<Place>,
    /// Time between two readings of the platform's list of endpoints, in
    /// milliseconds.
    pub(crate) listing_ms: u64,
    /// Region of this VM.
    pub(crate) region: Name,
    /// Bounds of the dispatcher.
    pub(crate) bounds: Bounds,
    /// Children to feed.
    pub(crate) fanout: usize,
    /// Whether this is a control VM.
    pub(crate) control: bool,
    /// Whether this VM may schedule.
    pub(crate) scheduler: bool,
    /// Where the control role takes its messages, if it is here.
    pub(crate) to_control: Option<flume::Sender<crate::control::Input>>,
    /// Where to publish.
    pub(crate) publish: watch::Sender<Published>,
}

/// The reactor.
pub(crate) struct Reactor {
    parts: Parts,
    me: Name,
    /// What the control VMs have put in force.
    view: View,
    /// That and the platform's endpoints, with its look-ups: what decides.
    live: Arc<View>,
    index: Arc<Index>,
    roster: Roster,
    /// Control VMs as the control role of this process knows them.
    members: Vec<Place>,
    leads: bool,
    proving: Option<(Millis, oneshot::Receiver<Reply>)>,
    dispatcher: Dispatcher,
    schedulers: Schedulers,
    dissemination: Dissemination,
    queries: Queries,
    batch: Batch,
    decisions: HashMap<Handle, oneshot::Sender<Decision>>,
    head: Option<oneshot::Receiver<Reply>>,
    needed: Option<Version>,
    ready: bool,
    stopping: bool,
    closed: bool,
    schedulers_dialed: BTreeSet<Name>,
    regions_dialed: BTreeSet<Name>,
    beat_at: Millis,
    measure_at: Millis,
    dirty: bool,
}

impl Reactor {
    /// A reactor without a view.
    pub(crate) fn new(parts: Parts) -> Self {
        let hello = parts.hub.hello().clone();
        let me = hello.place.vm.clone();
        // CAST: any number will do to spread processes over the seeds.
        let spread = hello.incarnation as usize;
        let seeds = parts.seeds.clone();
        let now = parts.clock.now();
        let mut dispatcher = Dispatcher::new(parts.region.clone(), hello.incarnation, parts.bounds);
        dispatcher.link_up(now, &me);
        Reactor {
            dispatcher,
            schedulers: Schedulers::new(me.clone(), parts.journal.clone(), parts.metrics.clone()),
            dissemination: Dissemination::new(
                me.clone(),
                seeds.clone(),
                spread,
                parts.fanout,
                parts.control,
            ),
            queries: Queries::new(seeds, spread, parts.control || parts.scheduler),
            view: View::default(),
            live: Arc::default(),
            index: Arc::default(),
            roster: Roster::default(),
            members: Vec::new(),
            leads: false,
            proving: None,
            batch: Batch::default(),
            decisions: HashMap::new(),
            head: None,
            needed: None,
            ready: false,
            stopping: false,
            closed: false,
            schedulers_dialed: BTreeSet::new(),
            regions_dialed: BTreeSet::new(),
            beat_at: now,
            measure_at: now,
            dirty: true,
            me,
            parts,
        }
    }

    /// Runs until all senders of inputs are gone.
    pub(crate) async fn run(mut self, inputs: flume::Receiver<Input>) {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        if self.parts.control || self.parts.scheduler {
            self.dial_control();
        }
        loop {
            tokio::select! {
                input = inputs.recv_async() => match input {
                    Ok(Input::End) | Err(_) => return,
                    Ok(input) => self.input(input),
                },
                _ = ticks.tick() => self.tick(),
            }
            for input in inputs.try_iter().take(ROUND) {
                if matches!(input, Input::End) {
                    return;
                }
                self.input(input);
            }
            self.batch.send(&self.parts.hub);
            if std::mem::take(&mut self.dirty) {
                self.publish();
            }
        }
    }

    fn now(&self) -> Millis {
        self.parts.clock.now()
    }

    fn input(&mut self, input: Input) {
        let now = self.now();
        match input {
            Input::Link(event) => self.link(now, event),
            Input::Arrive(arrival, reply) => {
                let answer = match self.dispatcher.arrive(now, &self.live, arrival) {
                    Ok((handle, effects)) => {
                        let (sender, decided) = oneshot::channel();
                        self.decisions.insert(handle, sender);
                        self.act(now, effects);
                        Ok((handle, decided))
                    }
                    Err(full) => Err(full),
                };
                // A caller that has gone drops the receiver, and its guard the handle.
                if let Err(Ok((handle, _))) = reply.send(answer) {
                    self.leave(now, handle);
                }
            }
            Input::Leave(handle) => self.leave(now, handle),
            Input::Again(handle, verdict, reply) => {
                self.parts.metrics.retries.inc();
                let (sender, decided) = oneshot::channel();
                self.decisions.insert(handle, sender);
                let effects = self.dispatcher.again(now, handle, verdict);
                self.act(now, effects);
                if reply.send(decided).is_err() {
                    self.leave(now, handle);
                }
            }
            Input::Began(handle) => {
                let effects = self.dispatcher.began(now, handle);
                self.act(now, effects);
            }
            Input::Progress(handle, cost) => {
                let effects = self.dispatcher.progress(now, handle, cost);
                self.act(now, effects);
            }
            Input::Done(handle, cost, verdict) => {
                self.decisions.remove(&handle);
                let effects = self.dispatcher.done(now, handle, cost, verdict);
                self.act(now, effects);
            }
            Input::Query(query, answer) => self.queries.ask(now, &self.parts.hub, query, answer),
            Input::Load(endpoint, load) => self.schedulers.load(now, endpoint, load),
            Input::Applied(steps) => self.steps(now, None, &steps),
            Input::Restored(view) => self.whole(now, *view),
            Input::Fresh(fresh) => {
                self.dissemination.fresh(now, &self.parts.hub, fresh);
                self.dirty = true;
            }
            Input::Leads(leads) => self.leads = leads,
            Input::Members(members) => {
                self.members = members;
                self.follow_control();
            }
            Input::Seeds(seeds) => {
                self.parts.seeds.clone_from(&seeds);
                self.to_control(crate::control::Input::Seeds(seeds));
                self.follow_control();
            }
            Input::ListingDue(reply) => {
                let due = self.roster.is_due(now, self.listing_patience());
                // Whoever asked may have gone.
                let _ = reply.send(due);
            }
            Input::ListingRead(endpoints) => {
                let changed = self.roster.read(now, endpoints, rand::random());
                self.listed(now, changed, None);
            }
            // Whoever asked may have gone.
            Input::Status(reply) => drop(reply.send(self.status())),
            // Whoever asked may have gone.
            Input::Watched(reply) => drop(reply.send(self.watched())),
            Input::Stop => self.stop(),
            Input::Close => {
                tracing::info!(event = "closed");
                self.closed = true;
                self.dirty = true;
            }
            // The loop has ended already.
            Input::End => {}
        }
    }

    fn leave(&mut self, now: Millis, handle: Handle) {
        self.decisions.remove(&handle);
        let effects = self.dispatcher.leave(now, handle);
        self.act(now, effects);
    }

    fn link(&mut self, now: Millis, event: link::Event) {
        match event {
            link::Event::Up(hello) => {
                let vm = &hello.place.vm;
                self.parts.journal.note(Event::new(Step::LinkUp).peer(vm));
                self.dissemination
                    .link_up(&self.parts.hub, vm, self.view.version);
                self.to_control(crate::control::Input::Up(hello.clone()));
                let effects = self.dispatcher.link_up(now, vm);
                self.act(now, effects);
            }
            link::Event::Down(vm) => {
                self.parts
                    .journal
                    .note(Event::new(Step::LinkDown).peer(&vm));
                self.dissemination.link_down(now, &vm);
                self.schedulers.link_down(now, &vm);
                self.dispatcher.link_down(now, &vm);
                self.to_control(crate::control::Input::Down(vm));
            }
            link::Event::Message(vm, message) => self.message(now, vm, message),
        }
    }

    fn message(&mut self, now: Millis, vm: Name, message: Message) {
        match message {
            Message::Hello(_) => {}
            Message::Agree(_) | Message::Beat { .. } | Message::Query(..) => {
                self.to_control(crate::control::Input::Message(vm, message));
            }
            Message::Reply(id, reply) => self.queries.reply(now, &self.parts.hub, id, reply),
            Message::Subscribe(version) => {
                let hub = &self.parts.hub;
                let peer = hub.peers().into_iter().find(|p| p.place.vm == vm);
                if let Some(peer) = peer {
                    self.dissemination
                        .subscribe(hub, peer.place, &self.view, version);
                }
                self.send_listing(&vm);
            }
            Message::Elsewhere(place) => {
                self.dissemination
                    .elsewhere(now, &self.parts.hub, &vm, place);
            }
            Message::Pulse(head) => {
                self.dissemination.fed(now, &vm);
                self.dissemination
                    .pulsed(now, &self.parts.hub, &vm, &self.view, head);
                self.dirty = true;
            }
            Message::Steps(steps) => {
                self.dissemination.fed(now, &vm);
                self.steps(now, Some(&vm), &steps);
            }
            Message::Whole(view) => {
                self.dissemination.fed(now, &vm);
                self.whole(now, *view);
            }
            Message::Confirm(confirm) => self.dissemination.confirm(&vm, confirm),
            Message::Reports(epoch, reports) => {
                let known = self
                    .schedulers
                    .reports(now, &vm, epoch, reports, &mut self.batch);
                if !known {
                    self.parts.hub.send(&vm, Message::Unassigned(epoch));
                }
            }
            Message::Grants(grants) => {
                for grant in grants {
                    let effects = self.dispatcher.grant(now, grant);
                    self.act(now, effects);
                }
            }
            Message::Refusals(refusals) => {
                for refusal in refusals {
                    let effects = self.dispatcher.refuse(now, refusal);
                    self.act(now, effects);
                }
            }
            Message::Served(served) => self.schedulers.hear_served(&self.live, &served),
            Message::Unassigned(epoch) => self.dispatcher.unassigned(now, epoch),
            Message::Listing(listing) => {
                let changed = self.roster.take(now, *listing);
                self.listed(now, changed, Some(&vm));
            }
            Message::ListingKept(id) => {
                if self.roster.confirm(now, id) {
                    self.listed(now, false, Some(&vm));
                } else {
                    self.parts.hub.send(&vm, Message::ListingWanted);
                }
            }
            Message::ListingWanted => self.send_listing(&vm),
            Message::Check(sent) => self.check(now, &vm, sent),
            Message::Checked { sent, age_ms, head } => {
                let at = Millis(sent.saturating_sub(age_ms));
                self.dissemination.checked(&vm, at, head, self.view.version);
                self.dirty = true;
            }
        }
    }

    fn to_control(&self, input: crate::control::Input) {
        if let Some(sender) = &self.parts.to_control {
            // The control thread ends only together with this process.
            let _ = sender.send(input);
        }
    }

    fn steps(&mut self, now: Millis, from: Option<&Name>, steps: &[state::view::Step]) {
        if self
            .dissemination
            .steps(&mut self.view, &self.parts.hub, from, steps)
        {
            self.in_force(now);
        }
    }

    fn whole(&mut self, now: Millis, view: View) {
        if self
            .dissemination
            .whole(&mut self.view, &self.parts.hub, view)
        {
            self.in_force(now);
        }
    }

    /// Brings a new version into force in all parts.
    fn in_force(&mut self, now: Millis) {
        let version = self.view.version;
        self.index = Arc::new(Index::from(&self.view.config));
        self.parts
            .journal
            .note(Event::new(Step::VersionInForce).version(version));
        tracing::info!(
            event = "version-in-force",
            version = version.0,
            release = self.view.release,
            rules = self.view.config.rules.len(),
            customers = self.view.config.customers.len(),
        );
        self.dissemination.reached(version);
        self.follow_live(now);
        self.follow_control();
        let told = self.view.stopping.get(&self.me);
        if told == Some(&self.parts.hub.hello().incarnation) {
            self.stop();
        }
    }

    /// Follows a change of the view or of the platform's endpoints.
    fn follow_live(&mut self, now: Millis) {
        self.live = Arc::new(self.view.with_listing(self.roster.listing()));
        self.schedulers.follow(now, &self.live, &mut self.batch);
        let effects = self.dispatcher.follow(now, &self.live);
        self.act(now, effects);
        let shards = coordination::assignment::shards(&self.live);
        self.to_control(crate::control::Input::Shards(shards));
        self.dirty = true;
    }

    fn stop(&mut self) {
        if !self.stopping {
            tracing::info!(event = "stopping", version = self.view.version.0);
            self.parts.journal.note(Event::new(Step::Stopping));
            self.stopping = true;
            self.dirty = true;
        }
    }

    fn act(&mut self, now: Millis, effects: Effects) {
        for effect in effects {
            match effect {
                Effect::Report(assignment, report) => {
                    self.reach(&assignment);
                    self.batch
                        .report(&assignment.place.vm, assignment.epoch, report);
                }
                Effect::Dispatch(handle, endpoint) => self.dispatch(now, handle, endpoint),
                Effect::Refuse(handle, after_ms) => {
                    if let Some(sender) = self.decisions.remove(&handle) {
                        // The caller may have gone at the same moment.
                        let _ = sender.send(Decision::Refused(after_ms));
                    }
                }
                Effect::Expire(handle) => {
                    if let Some(sender) = self.decisions.remove(&handle) {
                        // The caller may have gone at the same moment.
                        let _ = sender.send(Decision::Expired);
                    }
                }
            }
        }
    }

    fn dispatch(&mut self, now: Millis, handle: Handle, endpoint: EndpointId) {
        let found = self.live.config.endpoints.get(&endpoint);
        let sender = self.decisions.remove(&handle);
        let (Some(found), Some(sender)) = (found, sender) else {
            let gone = coordination::ask::Verdict::Gone;
            let effects = self.dispatcher.done(now, handle, 0, gone);
            self.act(now, effects);
            return;
        };
        let dispatch = Dispatch {
            endpoint,
            name: found.name.clone(),
            address: found.address,
        };
        if sender.send(Decision::Dispatch(dispatch)).is_err() {
            // The caller left while the grant was on its way: no byte was sent.
            let gone = coordination::ask::Verdict::Gone;
            let effects = self.dispatcher.done(now, handle, 0, gone);
            self.act(now, effects);
        }
    }

    fn reach(&mut self, assignment: &Assignment) {
        if self.schedulers_dialed.insert(assignment.place.vm.clone()) {
            self.parts.hub.dial(&assignment.place);
        }
    }

    fn tick(&mut self) {
        let now = self.now();
        let live = self.live.clone();
        let effects = self.dispatcher.tick(now, &live);
        self.act(now, effects);
        self.schedulers.tick(now, &mut self.batch);
        self.queries.tick(now, &self.parts.hub);
        self.dissemination
            .tick(now, &self.parts.hub, self.view.version);
        self.reach_schedulers();
        self.prove(now);
        self.beat(now);
        self.seek_ready(now);
        if now >= self.measure_at {
            self.measure_at = now.after(MEASURE_MS);
            self.measure();
            self.tell_served();
            self.close_links();
        }
    }

    /// Dials the schedulers that the dispatcher has sessions with.
    fn reach_schedulers(&mut self) {
        let wanted: BTreeMap<Name, Assignment> = (self.dispatcher.shards())
            .filter_map(|(shard, _)| self.live.assignment(shard))
            .map(|assignment| (assignment.place.vm.clone(), assignment.clone()))
            .collect();
        self.schedulers_dialed.retain(|vm| wanted.contains_key(vm));
        for assignment in wanted.values() {
            self.reach(assignment);
        }
    }

    /// Closes links that nothing here needs any more.
    ///
    /// Each costs signs of life on both VMs: links that stay after a query would
    /// make a control VM's traffic grow with the fleet.
    fn close_links(&mut self) {
        let hub = &self.parts.hub;
        let member = self.parts.control || self.parts.scheduler;
        for vm in hub.dialed() {
            let seed = member && self.control_places().iter().any(|s| s.vm == vm);
            let needed = seed
                || self.dissemination.needs(&vm)
                || self.queries.needs(&vm)
                || self.schedulers_dialed.contains(&vm)
                || self.regions_dialed.contains(&vm);
            if needed {
                continue;
            }
            // The peer may use the link that we opened.
            if self.dissemination.feeds(&vm) || self.schedulers.serves(&vm) {
                hub.undial(&vm);
            } else {
                hub.close(&vm);
            }
        }
    }

    fn beat(&mut self, now: Millis) {
        if !self.parts.scheduler || self.stopping || now < self.beat_at {
            return;
        }
        self.beat_at = now.after(BEAT_MS);
        let beat = Message::Beat {
            region: self.parts.region.clone(),
            incarnation: self.parts.hub.hello().incarnation,
        };
        for seed in self.control_places() {
            self.parts.hub.send(&seed.vm, beat.clone());
        }
    }

    /// Control VMs: those that the control role here or the view tells of, and the
    /// seeds, which may know of others.
    fn control_places(&self) -> Vec<Place> {
        let told = if self.members.is_empty() {
            &self.view.control
        } else {
            &self.members
        };
        let mut places: Vec<Place> = told.clone();
        places.extend(self.parts.seeds.iter().cloned());
        let mut seen = BTreeSet::new();
        places.retain(|p| seen.insert(p.vm.clone()));
        places
    }

    fn dial_control(&self) {
        for place in self.control_places() {
            self.parts.hub.dial(&place);
        }
    }

    /// Follows a change among the control VMs.
    fn follow_control(&mut self) {
        let places = self.control_places();
        self.dissemination.set_seeds(places.clone());
        self.queries.set_seeds(places);
        if self.parts.control || self.parts.scheduler {
            self.dial_control();
        }
    }

    /// Time that this process waits for someone else's reading of the platform's
    /// list, in milliseconds: the leader least, then the other control VMs, then
    /// routers, each at a time of its own.
    fn listing_patience(&self) -> u64 {
        let every = self.parts.listing_ms;
        if self.leads {
            return every;
        }
        let spread = self.parts.hub.hello().incarnation % every.max(1);
        let turns = if self.parts.control { 2 } else { 4 };
        every * turns + spread
    }

    /// Follows and passes on a reading of the platform's list.
    fn listed(&mut self, now: Millis, changed: bool, from: Option<&Name>) {
        let listing = self.roster.listing().clone();
        if changed {
            self.tell_endpoints(from);
            self.follow_live(now);
        }
        let mut to: Vec<Name> = self.dissemination.children().cloned().collect();
        if from.is_none() && self.parts.control {
            to.extend(self.members.iter().map(|p| p.vm.clone()));
        }
        let news = if changed {
            Message::Listing(Box::new((*listing).clone()))
        } else {
            Message::ListingKept(listing.id)
        };
        for vm in to {
            if Some(&vm) != from && vm != self.me {
                self.parts.hub.send(&vm, news.clone());
            }
        }
    }

    /// Logs which endpoints have come, leave or have gone.
    fn tell_endpoints(&self, from: Option<&Name>) {
        let listing = self.roster.listing();
        let before = &self.live.config.endpoints;
        let name = |l: &&Listed| EndpointId::of(&l.endpoint.name);
        let fresh = |l: &&Listed| !before.contains_key(&name(l));
        let leaves = |l: &&Listed| l.leaving && !self.live.leaving.contains(&name(l));
        let now: BTreeSet<&Name> = listing.endpoints.iter().map(|l| &l.endpoint.name).collect();
        let gone = before.values().filter(|e| !now.contains(&e.name));
        tracing::info!(
            event = "endpoints-changed",
            listing = listing.id,
            endpoints = listing.endpoints.len(),
            come = joined(
                listing
                    .endpoints
                    .iter()
                    .filter(fresh)
                    .map(|l| &l.endpoint.name)
            ),
            leave = joined(
                listing
                    .endpoints
                    .iter()
                    .filter(leaves)
                    .map(|l| &l.endpoint.name)
            ),
            gone = joined(gone.map(|e| &e.name)),
            from = from.map_or("", Name::as_str),
        );
    }

    fn send_listing(&self, vm: &Name) {
        let listing = self.roster.listing();
        if !listing.endpoints.is_empty() {
            let listing = Box::new((**listing).clone());
            self.parts.hub.send(vm, Message::Listing(listing));
        }
    }

    /// Answers a child's question how new the view is.
    fn check(&self, now: Millis, vm: &Name, sent: u64) {
        let Some(proof) = self.dissemination.proof() else {
            return;
        };
        let checked = Message::Checked {
            sent,
            age_ms: now.since(proof),
            head: self.view.version,
        };
        self.parts.hub.send(vm, checked);
    }

    /// A root asks the leader for the proof that its view is the newest.
    fn prove(&mut self, now: Millis) {
        if !self.dissemination.is_root() {
            return;
        }
        if let Some((at, answer)) = &mut self.proving {
            match answer.try_recv() {
                Ok(Reply::Head(head)) => {
                    let at = *at;
                    self.dissemination.prove(at, head, self.view.version);
                    self.proving = None;
                    self.dirty = true;
                }
                Ok(_) | Err(oneshot::error::TryRecvError::Closed) => self.proving = None,
                Err(oneshot::error::TryRecvError::Empty) => {}
            }
        }
        if self.dissemination.wants_proof(now) && self.proving.is_none() {
            let (sender, receiver) = oneshot::channel();
            self.proving = Some((now, receiver));
            self.queries.ask(now, &self.parts.hub, Query::Head, sender);
        }
    }

    /// Becomes ready once the view is as new as the version that a quorum had
    /// in force after this process started.
    ///
    /// A process that served what its first peer happened to have could step
    /// back behind its own earlier life: one would see a removed customer
    /// served again after a restart.
    fn seek_ready(&mut self, now: Millis) {
        if self.ready {
            return;
        }
        if self.needed.is_none() {
            let head = self.head.get_or_insert_with(|| {
                let (sender, receiver) = oneshot::channel();
                self.queries.ask(now, &self.parts.hub, Query::Head, sender);
                receiver
            });
            match head.try_recv() {
                Ok(Reply::Head(version)) => self.needed = Some(version),
                Ok(_) | Err(oneshot::error::TryRecvError::Closed) => self.head = None,
                Err(oneshot::error::TryRecvError::Empty) => {}
            }
        }
        if self
            .needed
            .is_some_and(|needed| self.view.version >= needed)
        {
            tracing::info!(version = %self.view.version, "ready");
            self.ready = true;
            self.dirty = true;
        }
    }

    /// Tells other regions' schedulers what those here have given.
    fn tell_served(&mut self) {
        let mut wanted = BTreeSet::new();
        for (to, served) in self.schedulers.served(&self.live) {
            self.parts.hub.dial(&to.place);
            self.parts.hub.send(&to.place.vm, Message::Served(served));
            wanted.insert(to.place.vm);
        }
        self.regions_dialed = wanted;
    }

    fn publish(&self) {
        let shared = Shared {
            view: self.live.clone(),
            index: self.index.clone(),
            ready: self.ready,
            stopping: self.stopping,
            closed: self.closed,
            proof: self.dissemination.proof(),
            routers: self.dispatcher.routers(),
        };
        self.parts.publish.send_replace(Arc::new(shared));
    }

    fn measure(&self) {
        let m = &self.parts.metrics;
        m.waiting.set(value(self.dispatcher.waiting()));
        m.held.set(value(self.dispatcher.held()));
        m.version.set(value(self.view.version.0));
        m.ready.set(i64::from(self.ready && !self.stopping));
        m.local.set(value(
            self.dispatcher.shards().filter(|(_, up)| !up).count(),
        ));
        self.schedulers.measure(&self.live);
        let (datagrams, udp) = self.parts.hub.udp();
        let set = |what, number| m.link.with_label_values(&[what]).set(value(number));
        set("datagrams", datagrams);
        set("datagram_bytes", udp);
        set("links", self.parts.hub.peers().len() as u64);
        for (kind, (frames, bytes)) in self.parts.hub.counts().kinds() {
            m.frames
                .with_label_values(&[kind, "frames"])
                .set(value(frames));
            m.frames
                .with_label_values(&[kind, "bytes"])
                .set(value(bytes));
        }
    }

    fn watched(&self) -> Vec<Watched> {
        let config = &self.live.config;
        let mut watched = Vec::new();
        for shard in self.schedulers.shards() {
            let service = config.services.get(&shard.service);
            let Some(path) = service.and_then(|s| s.load.clone()) else {
                continue;
            };
            for (endpoint, ..) in endpoints(&self.live, &shard) {
                let address = config.endpoints.get(&endpoint).map(|e| e.address);
                watched.extend(address.map(|address| Watched {
                    endpoint,
                    address,
                    path: path.clone(),
                }));
            }
        }
        watched
    }

    fn status(&self) -> Status {
        let customers = &self.view.config.customers;
        let name = |id| {
            customers
                .get(id)
                .map_or(String::new(), |c| c.name.to_string())
        };
        Status {
            vm: self.me.clone(),
            incarnation: self.parts.hub.hello().incarnation,
            version: self.view.version.0,
            config_version: self.view.config_version.0,
            ready: self.ready,
            stopping: self.stopping,
            parent: self.dissemination.parent().cloned(),
            confirmed: self.dissemination.total(self.view.version),
            peers: self
                .parts
                .hub
                .peers()
                .into_iter()
                .map(|p| p.place.vm)
                .collect(),
            waiting: self
                .dispatcher
                .queues()
                .iter()
                .map(|(id, n)| (name(id), *n))
                .collect(),
            held: self.dispatcher.held(),
            local: (self.dispatcher.shards())
                .filter(|(_, up)| !up)
                .map(|(shard, _)| shard.clone())
                .collect(),
            schedulers: self.schedulers.status(&self.view),
            control: None,
        }
    }
}

/// The first few names, for a log line.
fn joined<'a, N>(names: N) -> String
where
    N: Iterator<Item = &'a Name>,
{
    let names: Vec<&str> = names.take(NAMED).map(Name::as_str).collect();
    names.join(",")
}
