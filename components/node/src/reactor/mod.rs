//! The reactor: one task that owns the router's and schedulers' decisions.

mod dependency;
mod listing;
mod peers;
mod show;

use self::dependency::Told;
use crate::batch::Batch;
use crate::dissemination::Dissemination;
use crate::input::{Decision, Dispatch, Input};
use crate::inventory::Unknown;
use crate::journal::Journal;
use crate::metric::Metrics;
use crate::quarantine::{Quarantine, Suspicions, Up};
use crate::query::Queries;
use crate::schedulers::Schedulers;
use crate::shared::Published;
use coordination::backoff::Backoff;
use coordination::candidacy::Candidacy;
use coordination::cell::{Catalogue, Poller};
use coordination::dispatcher::{Bounds, Dispatcher, Effect, Effects, Handle, Location};
use coordination::failback::Failbacks;
use coordination::listing::Registry;
use coordination::recent::Recent;
use protocol::wire::{Message, Reply};
use state::clock::Millis;
use state::config::{Endpoint, Index};
use state::event::{Event, Kind};
use state::id::{EndpointId, Name, Version};
use state::line::Line;
use state::view::{Assignment, Node, View};
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{oneshot, watch};
use transport::clock::{wall_micros, Clock};
use transport::link::{self, Hub};

/// Time between two ticks.
const TICK: Duration = Duration::from_millis(20);
/// Inputs taken in one round before messages are sent.
const ROUND: usize = 256;
/// Time between two tellings of what engines have come to keep, in milliseconds.
const TELL_KEPT_MS: u64 = 200;
/// Time between two updates of the gauges, in milliseconds.
const MEASURE_MS: u64 = 1000;

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
    pub(crate) seeds: Vec<Node>,
    /// Time between two readings of the platform's list of endpoints, in
    /// milliseconds.
    pub(crate) listing_ms: u64,
    /// Where this VM stands.
    pub(crate) home: Location,
    /// Bounds of the dispatcher.
    pub(crate) bounds: Bounds,
    /// Children to feed.
    pub(crate) fanout: usize,
    /// Whether this is a control VM.
    pub(crate) control: bool,
    /// Whether this VM may schedule.
    pub(crate) scheduler: bool,
    /// Whether callers come to this VM.
    pub(crate) callers: bool,
    /// Where the control role takes its messages, if it is here.
    pub(crate) to_control: Option<flume::Sender<crate::control::Input>>,
    /// Where to ask engines what they have kept, if they can tell.
    pub(crate) inquiries: Option<flume::Sender<Unknown>>,
    /// Where to publish.
    pub(crate) publish: watch::Sender<Published>,
    /// Where to publish what is done with requests that may crash endpoints.
    pub(crate) verdicts: watch::Sender<Arc<Suspicions>>,
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
    registry: Registry,
    /// When another process told of the list last.
    listing_heard: Option<Millis>,
    /// Number of the counts that children were told last.
    told_census: u64,
    /// Endpoints by shard, for schedulers that ask.
    catalogue: Catalogue,
    /// Endpoints of the shards that are scheduled here.
    cells: Poller,
    /// Endpoints that this router was granted of late.
    recent: Recent,
    /// Whether `live` has some of these.
    is_recent_used: bool,
    /// Shards that have endpoints.
    shards: usize,
    /// Data centres whose evacuation has ended.
    returns: Failbacks,
    /// Control VMs as the control role of this process knows them.
    members: Vec<Node>,
    leads: bool,
    /// Whether the control role here follows a living leader.
    is_led: bool,
    proving: Option<(Millis, oneshot::Receiver<Reply>)>,
    dispatcher: Dispatcher,
    schedulers: Schedulers,
    dissemination: Dissemination,
    queries: Queries,
    quarantine: Quarantine,
    batch: Batch,
    decisions: HashMap<Handle, oneshot::Sender<Decision>>,
    /// When the newest version was asked for, before this process is ready.
    head: Option<(Millis, oneshot::Receiver<Reply>)>,
    needed: Option<Version>,
    /// When this process started.
    started: Millis,
    /// Since when it has a parent, before it is ready.
    fed_at: Option<Millis>,
    ready: bool,
    stopping: bool,
    closed: bool,
    schedulers_dialed: BTreeSet<Name>,
    regions_dialed: BTreeSet<Name>,
    candidacy: Candidacy,
    /// Whether this VM stands as a candidate for schedulers.
    is_candidate: bool,
    /// Whether a shard has no scheduler.
    is_unassigned: bool,
    beat_at: Millis,
    measure_at: Millis,
    tell_kept_at: Millis,
    told: Told,
    /// Whether new callers are to go to other routers, since this VM schedules for many.
    dedicated: bool,
    /// Data centres that were evacuated when it was last logged.
    evacuated: BTreeSet<Name>,
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
        let mut dispatcher = Dispatcher::new(parts.home.clone(), parts.bounds);
        dispatcher.link_up(now, &me);
        Reactor {
            dispatcher,
            schedulers: Schedulers::new(
                me.clone(),
                parts.journal.clone(),
                parts.metrics.clone(),
                parts.inquiries.clone(),
            ),
            dissemination: Dissemination::new(
                me.clone(),
                seeds.clone(),
                spread,
                parts.fanout,
                parts.control,
            ),
            queries: Queries::new(seeds, spread, parts.control),
            quarantine: Quarantine::new(parts.verdicts.clone()),
            view: View::default(),
            live: Arc::default(),
            index: Arc::default(),
            registry: Registry::default(),
            listing_heard: None,
            told_census: 0,
            catalogue: Catalogue::new(hello.incarnation),
            cells: Poller::default(),
            recent: Recent::default(),
            is_recent_used: false,
            shards: 0,
            returns: Failbacks::default(),
            members: Vec::new(),
            leads: false,
            is_led: false,
            proving: None,
            batch: Batch::default(),
            decisions: HashMap::new(),
            head: None,
            needed: None,
            started: now,
            fed_at: None,
            ready: false,
            stopping: false,
            closed: false,
            schedulers_dialed: BTreeSet::new(),
            regions_dialed: BTreeSet::new(),
            candidacy: Candidacy::new(hello.incarnation),
            is_candidate: false,
            is_unassigned: false,
            beat_at: now,
            measure_at: now,
            tell_kept_at: now,
            told: Told::default(),
            dedicated: false,
            evacuated: BTreeSet::new(),
            dirty: true,
            me,
            parts,
        }
    }

    /// Runs until all senders of inputs are gone.
    pub(crate) async fn run(mut self, inputs: flume::Receiver<Input>) {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        if self.parts.control {
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
            let now = self.now();
            self.schedulers.flush(now, &mut self.batch);
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
            Input::Cancel(handle) => self.leave(now, handle),
            Input::Requeue(handle, verdict, reply) => {
                self.parts.metrics.retries.inc();
                let (sender, decided) = oneshot::channel();
                self.decisions.insert(handle, sender);
                let effects = self.dispatcher.requeue(now, handle, verdict);
                self.act(now, effects);
                if reply.send(decided).is_err() {
                    self.leave(now, handle);
                }
            }
            Input::FirstByte(handle, took_ms) => {
                let effects = self.dispatcher.began(now, handle, took_ms);
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
            Input::Backoff(handle, backoff) => self.backoff(now, handle, backoff),
            Input::Crashed(crash) => self.quarantine.crashed(crash),
            Input::Cleared(clearance) => self.quarantine.cleared(clearance),
            Input::Query(query, answer) => self.queries.ask(now, &self.parts.hub, query, answer),
            Input::Load(endpoint, load) => self.schedulers.load(now, endpoint, load),
            Input::Applied(steps) => self.steps(now, None, &steps),
            Input::Restored(view) => self.whole(now, *view),
            Input::Fresh(fresh) => {
                self.is_led = fresh;
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
                // Whoever asked may have gone.
                let _ = reply.send(self.is_listing_due(now).then_some(now));
            }
            Input::ListingRead(reading) => self.take_reading(now, reading),
            // Whoever asked may have gone.
            Input::Status(reply) => drop(reply.send(self.status())),
            Input::Inventory(endpoint, told) => {
                let batch = &mut self.batch;
                self.schedulers.learn(now, endpoint, &told, batch);
            }
            // Whoever asked may have gone.
            Input::Watched(reply) => drop(reply.send(self.watched())),
            Input::Stop => self.stop(),
            Input::Close => {
                tracing::info!(event = Line::Closed.as_str());
                self.closed = true;
                self.dirty = true;
            }
            // The loop has ended already.
            Input::End => {}
        }
    }

    fn backoff(&mut self, now: Millis, handle: Handle, backoff: Backoff) {
        let (is_news, effects) = self.dispatcher.backoff(now, handle, backoff);
        if is_news {
            let endpoint = self.endpoint(backoff.endpoint);
            tracing::info!(
                event = Line::EndpointBackoff.as_str(),
                endpoint = endpoint.map_or("", |e| e.name.as_str()),
                for_ms = backoff.ms,
                is_leaving = backoff.is_leaving,
            );
        }
        self.act(now, effects);
    }

    fn leave(&mut self, now: Millis, handle: Handle) {
        self.decisions.remove(&handle);
        let effects = self.dispatcher.cancel(now, handle);
        self.act(now, effects);
    }

    fn link(&mut self, now: Millis, event: link::Event) {
        match event {
            link::Event::Up(hello) => {
                let vm = &hello.place.vm;
                self.parts.journal.note(Event::new(Kind::LinkUp).peer(vm));
                self.dissemination
                    .link_up(&self.parts.hub, vm, self.view.version);
                self.to_control(crate::control::Input::Up(hello.clone()));
                let effects = self.dispatcher.link_up(now, vm);
                self.act(now, effects);
            }
            link::Event::Down(vm) => {
                self.parts
                    .journal
                    .note(Event::new(Kind::LinkDown).peer(&vm));
                self.dissemination.link_down(now, &vm);
                self.schedulers.link_down(now, &vm);
                self.dispatcher.link_down(now, &vm);
                self.follow_recent(now);
                self.to_control(crate::control::Input::Down(vm));
            }
            link::Event::Message(vm, message) => self.message(now, vm, message),
        }
    }

    fn message(&mut self, now: Millis, vm: Name, message: Message) {
        match message {
            Message::Hello(_) => {}
            Message::Consensus(_) | Message::Heartbeat { .. } | Message::Query(..) => {
                self.to_control(crate::control::Input::Message(vm, message));
            }
            Message::Reply(id, reply) => self.queries.reply(now, &self.parts.hub, id, reply),
            Message::Subscribe(version) => {
                let hub = &self.parts.hub;
                let peer = hub.peers().into_iter().find(|p| p.place.vm == vm);
                let is_new = peer.is_some_and(|peer| {
                    self.dissemination
                        .subscribe(now, hub, peer, &self.view, version)
                });
                // One that was sent on is told by whoever takes it in: sent at each step, the
                // list would be most of what a fleet that starts again has to carry.
                if is_new {
                    self.send_listing(now, &vm);
                }
            }
            Message::Unsubscribe => self.dissemination.unsubscribe(&vm),
            Message::Redirect(place) => {
                self.dissemination
                    .elsewhere(now, &self.parts.hub, &vm, place);
            }
            Message::VersionProof(head) => {
                self.dissemination.fed(now, &vm);
                self.dissemination
                    .pulsed(now, &self.parts.hub, &vm, &self.view, head);
                self.dirty = true;
            }
            Message::Updates(steps) => {
                self.dissemination.fed(now, &vm);
                self.steps(now, Some(&vm), &steps);
            }
            Message::FullView(view) => {
                self.dissemination.fed(now, &vm);
                self.whole(now, *view);
            }
            Message::Confirm(confirm) => self.dissemination.confirm(&vm, confirm),
            Message::Evidence(seen) => self.quarantine.relay(seen),
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
            Message::CachedPrompts(kept) => self.schedulers.hear_kept(&self.live, &vm, &kept),
            Message::Served(served) => self.schedulers.hear_served(&self.live, &served),
            Message::Unassigned(epoch) => self.dispatcher.unassigned(now, epoch),
            Message::Listing(_)
            | Message::ListingChange(_)
            | Message::ListingUnchanged(_)
            | Message::Census(_) => self.take_listing(now, &vm, message),
            Message::ListingRequest => self.send_listing(now, &vm),
            Message::CellRequest(shard, known) => self.tell_cell(now, &vm, shard, known),
            Message::Cell(shard, answer) => {
                if self.cells.apply_answer(now, &shard, *answer) {
                    self.follow_live(now);
                }
            }
            Message::EndpointDetails(all) => {
                for (id, endpoint) in all {
                    self.recent.insert(now, id, endpoint);
                }
            }
            Message::SubtreeSize(routers) => self.dissemination.take_subtree(&vm, routers),
            Message::FleetSize(routers) => self.dissemination.take_size(&self.parts.hub, routers),
            Message::ProofRequest(sent) => self.check(now, &vm, sent),
            Message::ProofAge {
                sent,
                age_ms,
                version: head,
            } => {
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
            .note(Event::new(Kind::VersionInForce).version(version));
        tracing::info!(
            event = Line::VersionInForce.as_str(),
            version = version.0,
            release = self.view.release,
            rules = self.view.config.rules.len(),
            customers = self.view.config.customers.len(),
        );
        self.dissemination.reached(version);
        self.quarantine.follow(&self.view.suspects);
        self.tell_evacuations();
        self.follow_live(now);
        self.follow_control();
        let told = self.view.stopping.get(&self.me);
        if told == Some(&self.parts.hub.hello().incarnation) {
            self.stop();
        }
    }

    /// The view with the endpoints that this process knows: all of a short list; of a long one
    /// those of the shards that are scheduled here and, while a scheduler is lost, those that
    /// it has granted of late.
    fn live_view(&mut self, now: Millis) -> View {
        let Some(census) = self.registry.census() else {
            let mut live = self.view.with_listing(self.registry.listing());
            live.warm_at = self.registry.warm_at().clone();
            return live;
        };
        let mut live = self.view.clone();
        live.set_census(census);
        for registry in self.cells.registries() {
            live.add_listing(registry.listing());
            live.warm_at.extend(registry.warm_at());
        }
        self.is_recent_used = self.dispatcher.shards().any(|(_, is_up)| !is_up);
        if self.is_recent_used {
            for (id, endpoint) in self.recent.usable(now) {
                let entry = live.config.endpoints.entry(id);
                entry.or_insert_with(|| endpoint.clone());
            }
        }
        live
    }

    /// Uses endpoints that were granted of late while a scheduler is lost, and forgets them
    /// in time.
    fn follow_recent(&mut self, now: Millis) {
        let is_lost = self.dispatcher.shards().any(|(_, is_up)| !is_up);
        if self.live.is_partial() && (is_lost || self.is_recent_used) {
            self.follow_live(now);
        }
    }

    /// Follows a change of the view or of the platform's endpoints.
    fn follow_live(&mut self, now: Millis) {
        let mut live = self.live_view(now);
        self.returns.mark_cold(now, wall_micros(), &mut live);
        self.live = Arc::new(live);
        self.schedulers.follow(now, &self.live, &mut self.batch);
        let effects = self.dispatcher.follow(now, &self.live);
        self.act(now, effects);
        if self.parts.callers {
            self.dispatcher.open_nearby(now, &self.live);
        }
        let shards = coordination::assignment::shards(&self.live);
        self.shards = shards.len();
        let mine = self.live.assignments.iter();
        let mine = mine.filter(|a| a.node.vm == self.me && shards.contains(&a.shard));
        self.cells.set_shards(mine.map(|a| a.shard.clone()));
        let is_assigned = |shard| self.live.assignment(shard).is_some();
        self.is_unassigned = !shards.iter().all(is_assigned);
        self.to_control(crate::control::Input::Shards(shards));
        self.dirty = true;
    }

    fn stop(&mut self) {
        if !self.stopping {
            tracing::info!(
                event = Line::Stopping.as_str(),
                version = self.view.version.0
            );
            self.parts.journal.note(Event::new(Kind::Stopping));
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
                        .report(&assignment.node.vm, assignment.epoch, report);
                }
                Effect::Dispatch(handle, endpoint) => self.dispatch(now, handle, endpoint),
                Effect::Refuse(handle, refusal) => {
                    if let Some(sender) = self.decisions.remove(&handle) {
                        // The caller may have gone at the same moment.
                        let _ = sender.send(Decision::Refused(refusal));
                    }
                }
                Effect::Unserved(handle) => {
                    if let Some(sender) = self.decisions.remove(&handle) {
                        // The caller may have gone at the same moment.
                        let _ = sender.send(Decision::NoEndpoint);
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

    /// An endpoint that this process knows, or was granted.
    fn endpoint(&self, id: EndpointId) -> Option<&Endpoint> {
        let known = self.live.config.endpoints.get(&id);
        known.or_else(|| self.recent.get(id))
    }

    fn dispatch(&mut self, now: Millis, handle: Handle, endpoint: EndpointId) {
        let sender = self.decisions.remove(&handle);
        let found = self.endpoint(endpoint);
        let (Some(found), Some(sender)) = (found, sender) else {
            let gone = coordination::messages::Verdict::Cancelled;
            let effects = self.dispatcher.done(now, handle, 0, gone);
            self.act(now, effects);
            return;
        };
        let placement = self.dispatcher.placement(handle);
        let source = placement.copy_from;
        let source = source.and_then(|id| self.endpoint(id));
        let dispatch = Dispatch {
            endpoint,
            name: found.name.clone(),
            address: found.address,
            copy_from: source.map(|e| e.address),
            placement,
        };
        if sender.send(Decision::Dispatch(dispatch)).is_err() {
            // The caller left while the grant was on its way: no byte was sent.
            let gone = coordination::messages::Verdict::Cancelled;
            let effects = self.dispatcher.done(now, handle, 0, gone);
            self.act(now, effects);
        }
    }

    fn reach(&mut self, assignment: &Assignment) {
        if self.schedulers_dialed.insert(assignment.node.vm.clone()) {
            self.parts.hub.dial(&assignment.node);
        }
    }

    fn tick(&mut self) {
        let now = self.now();
        let live = self.live.clone();
        let was_hot = self.dispatcher.is_hot();
        let effects = self.dispatcher.tick(now, &live);
        self.dirty |= was_hot != self.dispatcher.is_hot();
        self.act(now, effects);
        self.schedulers.tick(now, &mut self.batch);
        let hub = &self.parts.hub;
        let up = match self.dissemination.parent() {
            _ if self.parts.control => Up::Control(&mut self.queries, hub),
            Some(parent) => Up::Parent(parent, hub),
            None => Up::Nobody,
        };
        self.quarantine.tick(now, up);
        self.queries.tick(now, &self.parts.hub);
        self.dissemination
            .tick(now, &self.parts.hub, self.view.version);
        self.reach_schedulers();
        self.prove(now);
        self.stand(now);
        self.beat(now);
        self.ask_cells(now);
        self.seek_ready(now);
        self.tell_dependencies(now);
        if now >= self.tell_kept_at {
            self.tell_kept_at = now.after(TELL_KEPT_MS);
            self.tell_kept();
        }
        if now >= self.measure_at {
            self.measure_at = now.after(MEASURE_MS);
            self.measure();
            self.dedicate();
            self.tell_served();
            self.close_links();
            self.dissemination
                .count_routers(&self.parts.hub, &self.members);
            self.follow_recent(now);
        }
    }
}
