//! The reactor: a single task that owns all router and scheduler state.
//!
//! Every decision is made here, one input at a time, so that none of this state needs a lock.

mod catalog;
mod dependency;
mod listing;
mod occupancy;
mod origins;
mod peers;
mod status;

use self::catalog::Versioning;
use self::dependency::Logged;
use self::occupancy::Reports;
use self::origins::Streams;
use crate::batch::Batch;
use crate::dissemination::Dissemination;
use crate::handover::Handover;
use crate::input::{Decision, Dispatch, Input};
use crate::inventory::Inquiry;
use crate::journal::Journal;
use crate::metric::Metrics;
use crate::quarantine::{Quarantine, Suspicions, Uplink};
use crate::query::Queries;
use crate::schedulers::Schedulers;
use crate::shared::Published;
use coordination::attribution::Survivals;
use coordination::backoff::Backoff;
use coordination::candidacy::Candidacy;
use coordination::cell::{Catalogue, Poller};
use coordination::dispatcher::{Bounds, Dispatcher, Effect, Effects, Handle, Location};
use coordination::failback::Failbacks;
use coordination::listing::Registry;
use coordination::recent::Recent;
use protocol::wire::{Features, Message, Reply};
use settings::Scheduling;
use state::clock::Millis;
use state::config::{Endpoint, Index};
use state::event::{Event, Kind};
use state::id::{EndpointId, Name, Version};
use state::line::Line;
use state::view::{Assignment, Node, View};
use std::collections::{BTreeSet, HashMap};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::{oneshot, watch};
use transport::clock::{wall_micros, Clock};
use transport::link::{self, Hub, Room};

/// Time between two ticks, which drive all timeouts.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Largest number of inputs that are handled before the messages they caused are sent.
const MAX_INPUTS_PER_ROUND: usize = 256;
/// Time between two messages to other schedulers about newly cached prompts, in milliseconds.
const CACHED_INTERVAL_MS: u64 = 200;
/// Time between two updates of the gauges, in milliseconds.
const MEASURE_INTERVAL_MS: u64 = 1000;

/// Dependencies and settings of a reactor.
pub(crate) struct Parts {
    /// Links to other processes.
    pub(crate) hub: Hub,
    /// Clock of this process.
    pub(crate) clock: Clock,
    /// Recorder of time-line events.
    pub(crate) journal: Journal,
    /// Metrics of this process.
    pub(crate) metrics: Metrics,
    /// Control VMs named in the settings.
    pub(crate) seeds: Vec<Node>,
    /// Time between two reads of the platform's list of endpoints, in milliseconds.
    pub(crate) listing_interval_ms: u64,
    /// Channel to the file of origins, on a control VM.
    pub(crate) origin_log: Option<crate::origin_log::Sender>,
    /// Origins that the file had when this process started.
    pub(crate) stored_origins: Vec<(coordination::origin::Key, coordination::origin::Origin)>,
    /// Region, data centre and incarnation of this VM.
    pub(crate) home: Location,
    /// Limits on queued requests and their bytes.
    pub(crate) bounds: Bounds,
    /// Largest number of child nodes that receive the configuration from this one.
    pub(crate) fanout: usize,
    /// Whether this is a control VM.
    pub(crate) is_control: bool,
    /// Whether this VM may run schedulers.
    pub(crate) may_schedule: bool,
    /// How the schedulers of this VM decide.
    pub(crate) scheduling: Scheduling,
    /// Whether this VM is a router that accepts callers.
    pub(crate) serves_callers: bool,
    /// Hand-over of requests to other routers, if this router takes part in it.
    pub(crate) handover: Option<Handover>,
    /// Greatest age, in milliseconds, of the last proof that this process has the newest version.
    /// Past it, customers' requests are refused.
    pub(crate) max_proof_age_ms: Option<u64>,
    /// Channel to the control role, if this process runs it.
    pub(crate) to_control: Option<flume::Sender<crate::control::Input>>,
    /// Channel for queries of an engine's prompt cache, if engines can list it.
    pub(crate) inquiries: Option<flume::Sender<Inquiry>>,
    /// Publishes the state that the rest of this process reads.
    pub(crate) publish: watch::Sender<Published>,
    /// Parts of prompts that endpoints have answered not long ago.
    pub(crate) survivals: Arc<Mutex<Survivals>>,
    /// Publishes which requests are suspected of crashing endpoints.
    pub(crate) suspicions: watch::Sender<Arc<Suspicions>>,
}

/// State of the router, of the schedulers that run here and of the dissemination of the view.
pub(crate) struct Reactor {
    parts: Parts,
    /// Name of this VM.
    me: Name,
    /// The view that the control VMs have put in force.
    view: View,
    /// The view combined with the platform's endpoints. All decisions are based on it.
    effective: Arc<View>,
    /// Look-up tables of the configuration.
    index: Arc<Index>,
    /// The platform's list of endpoints.
    registry: Registry,
    /// When another process last sent an update of the list.
    listing_received_at: Option<Millis>,
    /// ID of the census that was last sent to children.
    sent_census: u64,
    /// Endpoints by shard, to answer schedulers that ask for those of their shard.
    catalogue: Catalogue,
    /// Endpoints of the shards that are scheduled here, where no process knows the whole list.
    cell_poller: Poller,
    /// Endpoints that schedulers recently granted to this router.
    recent: Recent,
    /// Whether `effective` includes endpoints of `recent`.
    uses_recent: bool,
    /// Number of shards that have endpoints.
    shards: usize,
    /// Data centres that recently returned from an evacuation.
    failbacks: Failbacks,
    /// Members of the replicated log, as reported by the control role of this process.
    members: Vec<Node>,
    /// Whether the control role of this process is the leader.
    is_leader: bool,
    /// Whether the control role of this process follows a live leader.
    has_leader: bool,
    /// The query for a proof that the view is the newest, and when it was sent.
    pending_proof: Option<(Millis, oneshot::Receiver<Reply>)>,
    /// Requests of this router, and its sessions with schedulers.
    dispatcher: Dispatcher,
    schedulers: Schedulers,
    dissemination: Dissemination,
    /// Queries to the control VMs.
    queries: Queries,
    quarantine: Quarantine,
    /// Linked processes of an earlier release, which do not know parts of prompts as suspects.
    unaware_peers: BTreeSet<Name>,
    /// Messages to send at the end of the round.
    batch: Batch,
    /// Senders of the decisions that requests wait for.
    decisions: HashMap<Handle, oneshot::Sender<Decision>>,
    /// The query for the newest version, and when it was sent; used until this process is ready.
    pending_head: Option<(Millis, oneshot::Receiver<Reply>)>,
    /// Version that this process must reach before it is ready.
    required_version: Option<Version>,
    /// When this process started.
    started: Millis,
    /// Since when this process has had a parent; used until it is ready.
    parent_since: Option<Millis>,
    /// Whether the view is current enough to serve requests.
    ready: bool,
    /// Whether this process is stopping.
    stopping: bool,
    /// Whether new requests are refused because this process is about to end.
    closed: bool,
    /// VMs of the schedulers that this router has links to.
    dialed_schedulers: BTreeSet<Name>,
    /// VMs of the schedulers in other regions that those here have links to.
    dialed_regions: BTreeSet<Name>,
    /// Decides whether this VM is a candidate for schedulers.
    candidacy: Candidacy,
    /// Whether this VM offers itself to the leader as a host for schedulers.
    is_candidate: bool,
    /// Whether a shard has no scheduler.
    is_unassigned: bool,
    /// When the next heartbeat to the control VMs is due.
    next_heartbeat_at: Millis,
    /// When the next update of the gauges is due.
    next_measure_at: Millis,
    /// When the next message about newly cached prompts is due.
    next_cached_at: Millis,
    /// Dependencies as they were last logged.
    logged: Logged,
    /// Whether new callers should use other routers, because this VM schedules for many.
    dedicated: bool,
    /// Evacuated data centres as they were last logged.
    evacuated: BTreeSet<Name>,
    /// Reports of routers' occupancy, in both directions.
    reports: Reports,
    /// Origins of streams.
    streams: Streams,
    /// Catalog of software versions.
    versioning: Versioning,
    /// Whether the view has a new version that other parts of the reactor do not know yet.
    view_changed: bool,
    /// Whether the published state is out of date.
    dirty: bool,
}

impl Reactor {
    /// Creates a reactor with an empty view.
    pub(crate) fn new(parts: Parts) -> Self {
        let hello = parts.hub.hello().clone();
        let me = hello.node.vm.clone();
        // CAST: truncation is harmless; the number only spreads processes over the seeds.
        let spread = hello.incarnation as usize;
        let seeds = parts.seeds.clone();
        let now = parts.clock.now();
        let mut dispatcher = Dispatcher::new(parts.home.clone(), parts.bounds);
        dispatcher.set_stream_support(&me, true);
        dispatcher.set_version_support(&me, true);
        if parts.scheduling.appointments {
            dispatcher.enable_appointments();
        }
        dispatcher.link_up(now, &me);
        let mut reactor = Reactor {
            dispatcher,
            schedulers: Schedulers::new(
                me.clone(),
                parts.journal.clone(),
                parts.metrics.clone(),
                parts.inquiries.clone(),
                parts.scheduling,
            ),
            dissemination: Dissemination::new(
                me.clone(),
                seeds.clone(),
                spread,
                parts.fanout,
                parts.is_control,
            ),
            queries: Queries::new(seeds, spread, parts.is_control),
            quarantine: Quarantine::new(
                parts.suspicions.clone(),
                parts.clock.clone(),
                parts.survivals.clone(),
            ),
            unaware_peers: BTreeSet::new(),
            view: View::default(),
            effective: Arc::default(),
            index: Arc::default(),
            registry: Registry::default(),
            listing_received_at: None,
            sent_census: 0,
            catalogue: Catalogue::new(hello.incarnation),
            cell_poller: Poller::default(),
            recent: Recent::default(),
            uses_recent: false,
            shards: 0,
            failbacks: Failbacks::default(),
            members: Vec::new(),
            is_leader: false,
            has_leader: false,
            pending_proof: None,
            batch: Batch::default(),
            decisions: HashMap::new(),
            pending_head: None,
            required_version: None,
            started: now,
            parent_since: None,
            ready: false,
            stopping: false,
            closed: false,
            dialed_schedulers: BTreeSet::new(),
            dialed_regions: BTreeSet::new(),
            candidacy: Candidacy::new(hello.incarnation),
            is_candidate: false,
            is_unassigned: false,
            next_heartbeat_at: now,
            next_measure_at: now,
            next_cached_at: now,
            logged: Logged::default(),
            dedicated: false,
            evacuated: BTreeSet::new(),
            reports: Reports::default(),
            streams: Streams::default(),
            versioning: Versioning::default(),
            view_changed: false,
            dirty: true,
            me,
            parts,
        };
        let stored = std::mem::take(&mut reactor.parts.stored_origins);
        reactor.restore_origins(now, &stored);
        // The schedulers of this VM know its own router as well.
        reactor.open_occupancy(&hello);
        reactor
    }

    /// Runs until [`Input::End`], or until all senders of inputs are dropped.
    pub(crate) async fn run(mut self, inputs: flume::Receiver<Input>) {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        if self.parts.is_control {
            self.dial_control();
        }
        loop {
            tokio::select! {
                input = inputs.recv_async() => match input {
                    Ok(Input::End) | Err(_) => return,
                    Ok(input) => self.handle_input(input),
                },
                _ = ticks.tick() => self.tick(),
            }
            for input in inputs.try_iter().take(MAX_INPUTS_PER_ROUND) {
                if matches!(input, Input::End) {
                    return;
                }
                self.handle_input(input);
            }
            let now = self.now();
            self.propagate_version(now);
            self.schedulers.flush(now, &mut self.batch);
            self.batch.send(&self.parts.hub);
            if std::mem::take(&mut self.dirty) {
                self.publish();
            }
        }
    }

    /// Current time of this process's clock.
    fn now(&self) -> Millis {
        self.parts.clock.now()
    }

    /// Handles one input.
    fn handle_input(&mut self, input: Input) {
        let now = self.now();
        if !input.may_precede_version() {
            self.propagate_version(now);
        }
        match input {
            Input::Link(event) => self.handle_link(now, event),
            Input::Arrive(arrival, objective, software, reply) => {
                let (dispatcher, view) = (&mut self.dispatcher, &self.effective);
                let arrived = dispatcher.arrive_at_version(now, view, arrival, objective, software);
                let answer = match arrived {
                    Ok((handle, effects)) => {
                        let (sender, decided) = oneshot::channel();
                        self.decisions.insert(handle, sender);
                        self.perform(now, effects);
                        Ok((handle, decided))
                    }
                    Err(rejection) => Err(rejection),
                };
                // The caller has disconnected and dropped the receiver: no guard holds the
                // handle, so the request leaves the queue here.
                if let Err(Ok((handle, _))) = reply.send(answer) {
                    self.cancel(now, handle);
                }
            }
            Input::Cancel(handle) => self.cancel(now, handle),
            Input::Requeue(handle, verdict, next_event, reply) => {
                self.parts.metrics.retries.inc();
                let (sender, decided) = oneshot::channel();
                self.decisions.insert(handle, sender);
                if let Some(next_event) = next_event {
                    self.dispatcher.set_aim(handle, next_event.aim);
                    self.dispatcher.set_software(handle, next_event.software);
                    (self.dispatcher).set_gives_up(handle, next_event.gives_up);
                }
                let effects = self.dispatcher.requeue(now, handle, verdict);
                self.perform(now, effects);
                if reply.send(decided).is_err() {
                    self.cancel(now, handle);
                }
            }
            Input::Began(key, origin) => self.record_origin(now, key, origin),
            Input::Continue(stream, key, reply) => self.continue_stream(now, stream, key, reply),
            Input::FirstByte(handle, took_ms) => {
                let effects = self.dispatcher.report_first_byte(now, handle, took_ms);
                self.perform(now, effects);
            }
            Input::Speed(handle, percent, age_ms) => {
                let effects = self.dispatcher.report_speed(now, handle, percent, age_ms);
                self.perform(now, effects);
            }
            Input::Pauses(handle, observed) => self.dispatcher.record_pauses(handle, observed),
            Input::Progress(handle, cost) => {
                let effects = self.dispatcher.progress(now, handle, cost);
                self.perform(now, effects);
            }
            Input::Done(handle, cost, verdict) => {
                self.decisions.remove(&handle);
                let effects = self.dispatcher.done(now, handle, cost, verdict);
                self.perform(now, effects);
            }
            Input::Backoff(handle, backoff) => self.handle_backoff(now, handle, backoff),
            Input::Crashed(crash) => self.quarantine.handle_crash(crash),
            Input::Broken(broken) => self.quarantine.handle_break(broken),
            Input::Survived(survival) => self.quarantine.handle_survival(survival),
            Input::Completed(completion) => self.quarantine.handle_completion(completion),
            Input::Query(query, answer) => self.queries.ask(now, &self.parts.hub, query, answer),
            Input::Load(endpoint, load) => self.schedulers.handle_load(now, endpoint, &load),
            Input::Applied(steps) => self.apply_steps(now, None, &steps),
            Input::Restored(view) => self.replace_view(*view),
            Input::LeaderContact(has_leader) => {
                self.has_leader = has_leader;
                self.dissemination
                    .set_leader_contact(now, &self.parts.hub, has_leader);
                self.dirty = true;
            }
            Input::Leadership(is_leader) => self.is_leader = is_leader,
            Input::Catalog(catalog) => self.replace_catalog(now, *catalog),
            Input::Members(members) => {
                self.members = members;
                self.update_control_nodes();
            }
            Input::Seeds(seeds) => {
                self.parts.seeds.clone_from(&seeds);
                self.send_to_control(crate::control::Input::Seeds(seeds));
                self.update_control_nodes();
            }
            Input::ListingDue(reply) => {
                // The receiver may have been dropped.
                let _ = reply.send(self.is_listing_due(now).then_some(now));
            }
            Input::ListingRead(reading) => self.handle_reading(now, reading),
            // The receiver may have been dropped.
            Input::Status(reply) => drop(reply.send(self.status())),
            Input::Inventory(endpoint, contents) => {
                let batch = &mut self.batch;
                self.schedulers
                    .handle_contents(now, endpoint, &contents, batch);
            }
            // The receiver may have been dropped.
            Input::Watched(reply) => drop(reply.send(self.watched_endpoints())),
            Input::Stop => self.stop(),
            Input::Close => {
                tracing::info!(event = Line::Closed.as_str());
                self.closed = true;
                self.dirty = true;
            }
            // `run` returns before it gets here.
            Input::End => {}
        }
    }

    /// Applies an endpoint's announcement that it wants no more requests, and logs it if new.
    fn handle_backoff(&mut self, now: Millis, handle: Handle, backoff: Backoff) {
        let (is_new_backoff, effects) = self.dispatcher.backoff(now, handle, backoff);
        if is_new_backoff {
            let endpoint = self.endpoint(backoff.endpoint);
            tracing::info!(
                event = Line::EndpointBackoff.as_str(),
                endpoint = endpoint.map_or("", |e| e.name.as_str()),
                for_ms = backoff.ms,
                is_leaving = backoff.is_leaving,
            );
        }
        self.perform(now, effects);
    }

    /// Removes a request whose caller has disconnected.
    fn cancel(&mut self, now: Millis, handle: Handle) {
        self.decisions.remove(&handle);
        let effects = self.dispatcher.cancel(now, handle);
        self.perform(now, effects);
    }

    /// Handles an event of a link.
    fn handle_link(&mut self, now: Millis, event: link::Event) {
        match event {
            link::Event::Up(hello) => {
                let vm = &hello.node.vm;
                self.parts.journal.record(Event::new(Kind::LinkUp).peer(vm));
                self.dissemination
                    .link_up(&self.parts.hub, vm, self.view.version);
                self.send_to_control(crate::control::Input::Up(hello.clone()));
                let features = hello.extension.features;
                self.dispatcher
                    .set_stream_support(vm, features.includes(Features::STREAM_OBJECTIVES));
                self.dispatcher
                    .set_version_support(vm, features.includes(Features::VERSIONS));
                match features.includes(Features::PROMPT_PARTS) {
                    true => self.unaware_peers.remove(vm),
                    false => self.unaware_peers.insert(vm.clone()),
                };
                self.open_occupancy(&hello);
                self.open_origins(&hello);
                self.open_catalog(&hello);
                let effects = self.dispatcher.link_up(now, vm);
                self.perform(now, effects);
            }
            link::Event::Down(vm) => {
                self.parts
                    .journal
                    .record(Event::new(Kind::LinkDown).peer(&vm));
                self.unaware_peers.remove(&vm);
                self.close_occupancy(&vm);
                self.close_origins(now, &vm);
                self.close_catalog(&vm);
                self.dissemination.link_down(now, &vm);
                self.schedulers.link_down(now, &vm);
                self.dispatcher.link_down(now, &vm);
                self.refresh_recent(now);
                self.send_to_control(crate::control::Input::Down(vm));
            }
            link::Event::Message(vm, message, room) => self.handle_message(now, vm, message, room),
        }
    }

    /// Handles a message from another VM.
    fn handle_message(&mut self, now: Millis, vm: Name, message: Message, room: Room) {
        match message {
            Message::Hello(_) => {}
            Message::Consensus(_) | Message::Heartbeat { .. } | Message::Query(..) => {
                self.send_to_control(crate::control::Input::Message(vm, message, room));
            }
            Message::Reply(id, reply) => {
                self.queries.handle_reply(now, &self.parts.hub, id, reply);
                if self.parts.is_control {
                    self.send_reads(now);
                }
            }
            Message::Subscribe(version) => {
                let hub = &self.parts.hub;
                let peer = hub.peers().into_iter().find(|p| p.node.vm == vm);
                let is_new = peer.is_some_and(|peer| {
                    self.dissemination
                        .handle_subscribe(now, hub, peer, &self.view, version)
                });
                // A node that was redirected gets the list from its eventual parent. If every
                // node that it asks on the way sent it too, the list would be most of the
                // traffic while a fleet restarts.
                if is_new {
                    self.send_listing(now, &vm);
                }
            }
            Message::Unsubscribe => self.dissemination.handle_unsubscribe(&vm),
            Message::Redirect(node) => {
                self.dissemination
                    .handle_redirect(now, &self.parts.hub, &vm, node);
            }
            Message::RootHeartbeat(head) => {
                self.dissemination.mark_received(now, &vm);
                self.dissemination.handle_root_heartbeat(
                    now,
                    &self.parts.hub,
                    &vm,
                    &self.view,
                    head,
                );
                self.dirty = true;
            }
            Message::Updates(steps) => {
                self.dissemination.mark_received(now, &vm);
                self.apply_steps(now, Some(&vm), &steps);
            }
            Message::FullView(view) => {
                self.dissemination.mark_received(now, &vm);
                self.replace_view(*view);
            }
            Message::Confirm(confirm) => self.dissemination.handle_confirm(&vm, confirm),
            Message::Evidence(seen) => self.quarantine.relay(seen),
            Message::Reports(epoch, reports) => {
                let is_known =
                    self.schedulers
                        .handle_reports(now, &vm, epoch, reports, &mut self.batch);
                if !is_known {
                    self.parts.hub.send(&vm, Message::Unassigned(epoch));
                }
            }
            Message::Grants(grants) => {
                for grant in grants {
                    let effects = self.dispatcher.grant(now, grant);
                    self.perform(now, effects);
                }
            }
            Message::Refusals(refusals) => {
                for refusal in refusals {
                    let effects = self.dispatcher.refuse(now, refusal);
                    self.perform(now, effects);
                }
            }
            Message::CachedPrompts(cached) => {
                self.schedulers.handle_cached(&self.effective, &vm, &cached)
            }
            Message::ServiceTotals(totals) => self
                .schedulers
                .handle_service_totals(&self.effective, &totals),
            Message::Unassigned(epoch) => self.dispatcher.unassigned(now, epoch),
            Message::Listing(_)
            | Message::ListingChange(_)
            | Message::ListingUnchanged(_)
            | Message::Census(_) => self.handle_listing(now, &vm, message),
            Message::ListingRequest => self.send_listing(now, &vm),
            Message::CellRequest(shard, known) => self.answer_cell_request(now, &vm, shard, known),
            Message::Cell(shard, answer) => {
                if self.cell_poller.apply_answer(now, &shard, *answer) {
                    self.update_effective_view(now);
                }
            }
            Message::EndpointDetails(all) => {
                for (id, endpoint) in all {
                    self.recent.insert(now, id, endpoint);
                }
            }
            Message::SubtreeSize(routers) => self.dissemination.handle_subtree_size(&vm, routers),
            Message::FleetSize(routers) => self
                .dissemination
                .handle_fleet_size(&self.parts.hub, routers),
            Message::ProofRequest(sent) => self.answer_proof_request(now, &vm, sent),
            Message::ProofAge {
                sent,
                age_ms,
                version,
            } => {
                let at = Millis(sent.saturating_sub(age_ms));
                self.dissemination
                    .handle_proof_age(&vm, at, version, self.view.version);
                self.dirty = true;
            }
            Message::Origins(reported) => self.handle_origins(now, &vm, reported),
            Message::OriginRequest(number, key, service) => {
                self.answer_origin_request(now, &vm, number, (key, service), None);
            }
            Message::StreamRequest(number, key, service, rule) => {
                self.answer_origin_request(now, &vm, number, (key, service), Some(rule));
            }
            Message::Origin(number, answer) => self.handle_origin(now, &vm, number, answer),
            Message::Occupancy(occupancy) => self.handle_occupancy(now, &vm, occupancy),
            Message::Peers(peers) => {
                if let Some(handover) = &self.parts.handover {
                    handover.set_peers(&peers);
                }
            }
        }
    }

    /// Sends an input to the control role, if this process runs it.
    fn send_to_control(&self, input: crate::control::Input) {
        if let Some(sender) = &self.parts.to_control {
            // The control thread ends only together with this process.
            let _ = sender.send(input);
        }
    }

    /// Applies steps to the view, from a VM or from the control role of this process.
    fn apply_steps(&mut self, now: Millis, from: Option<&Name>, steps: &[state::view::Step]) {
        if self
            .dissemination
            .apply_steps(now, &mut self.view, &self.parts.hub, from, steps)
        {
            self.view_changed = true;
        }
    }

    /// Replaces the view if the new one is newer.
    fn replace_view(&mut self, view: View) {
        if self
            .dissemination
            .replace_view(&mut self.view, &self.parts.hub, view)
        {
            self.view_changed = true;
        }
    }

    /// Propagates a new version of the view to all parts of the reactor.
    ///
    /// Versions that arrive one after the other are propagated together. A process that has fallen
    /// behind would otherwise never catch up with frequent changes of a long configuration.
    fn propagate_version(&mut self, now: Millis) {
        if !std::mem::take(&mut self.view_changed) {
            return;
        }
        let version = self.view.version;
        self.index = Arc::new(Index::from(&self.view.config));
        self.parts
            .journal
            .record(Event::new(Kind::VersionInForce).version(version));
        tracing::info!(
            event = Line::VersionInForce.as_str(),
            version = version.0,
            release = self.view.release,
            rules = self.view.config.rules.len(),
            customers = self.view.config.customers.len(),
        );
        self.dissemination.on_new_version(version);
        self.quarantine.apply_fleet(&self.view.suspects);
        self.log_evacuations();
        self.update_effective_view(now);
        self.update_control_nodes();
        let stopping = self.view.stopping.get(&self.me);
        if stopping == Some(&self.parts.hub.hello().incarnation) {
            self.stop();
        }
    }

    /// Builds the view with the endpoints that this process knows.
    ///
    /// If the platform's list is short, these are all endpoints. If it is long, these are the
    /// endpoints of shards that are scheduled here and, while a scheduler is unreachable, those
    /// that it recently granted.
    fn build_effective_view(&mut self, now: Millis) -> View {
        let Some(census) = self.registry.census() else {
            let mut view = self.view.with_listing(self.registry.listing());
            view.warm_at = self.registry.warm_at().clone();
            return view;
        };
        let mut view = self.view.clone();
        view.set_census(census);
        for registry in self.cell_poller.registries() {
            view.add_listing(registry.listing());
            view.warm_at.extend(registry.warm_at());
        }
        self.uses_recent = self.dispatcher.shards().any(|(_, is_up)| !is_up);
        if self.uses_recent {
            for (id, endpoint) in self.recent.usable(now) {
                let entry = view.config.endpoints.entry(id);
                entry.or_insert_with(|| endpoint.clone());
            }
        }
        view
    }

    /// Adds recently granted endpoints while a scheduler is unreachable, and drops those that
    /// have expired.
    fn refresh_recent(&mut self, now: Millis) {
        let is_lost = self.dispatcher.shards().any(|(_, is_up)| !is_up);
        if self.effective.is_partial() && (is_lost || self.uses_recent) {
            self.update_effective_view(now);
        }
    }

    /// Applies a change of the view or of the platform's endpoints.
    fn update_effective_view(&mut self, now: Millis) {
        let mut effective = self.build_effective_view(now);
        self.failbacks.mark_cold(now, wall_micros(), &mut effective);
        self.effective = Arc::new(effective);
        self.schedulers
            .apply_view(now, &self.effective, &mut self.batch);
        let effects = self.dispatcher.update_view(now, &self.effective);
        self.perform(now, effects);
        if self.parts.serves_callers {
            self.dispatcher.open_nearby(now, &self.effective);
        }
        let shards = coordination::assignment::shards(&self.effective);
        self.shards = shards.len();
        let own = self.effective.assignments.iter();
        let own = own.filter(|a| a.node.vm == self.me && shards.contains(&a.shard));
        self.cell_poller.set_shards(own.map(|a| a.shard.clone()));
        let is_assigned = |shard| self.effective.assignment(shard).is_some();
        self.is_unassigned = !shards.iter().all(is_assigned);
        self.send_to_control(crate::control::Input::Shards(shards));
        self.dirty = true;
    }

    /// Begins a stop: readiness fails, and heartbeats end.
    fn stop(&mut self) {
        if !self.stopping {
            tracing::info!(
                event = Line::Stopping.as_str(),
                version = self.view.version.0
            );
            self.parts.journal.record(Event::new(Kind::Stopping));
            self.stopping = true;
            self.dirty = true;
        }
    }

    /// Performs the effects of a decision of the dispatcher.
    fn perform(&mut self, now: Millis, effects: Effects) {
        for effect in effects {
            match effect {
                Effect::Report(assignment, report) => {
                    self.dial_scheduler(&assignment);
                    self.batch
                        .report(&assignment.node.vm, assignment.epoch, report);
                }
                Effect::Dispatch(handle, endpoint) => self.dispatch(now, handle, endpoint),
                Effect::Refuse(handle, refusal) => {
                    if let Some(sender) = self.decisions.remove(&handle) {
                        // The caller may have disconnected meanwhile.
                        let _ = sender.send(Decision::Refused(refusal));
                    }
                }
                Effect::NoEndpoint(handle) => {
                    if let Some(sender) = self.decisions.remove(&handle) {
                        // The caller may have disconnected meanwhile.
                        let _ = sender.send(Decision::NoEndpoint);
                    }
                }
                Effect::Expire(handle) => {
                    if let Some(sender) = self.decisions.remove(&handle) {
                        // The caller may have disconnected meanwhile.
                        let _ = sender.send(Decision::Expired);
                    }
                }
            }
        }
    }

    /// Finds an endpoint that this process knows or was recently granted.
    fn endpoint(&self, id: EndpointId) -> Option<&Endpoint> {
        let known = self.effective.config.endpoints.get(&id);
        known.or_else(|| self.recent.get(id))
    }

    /// Tells a waiting request to which endpoint it is sent.
    fn dispatch(&mut self, now: Millis, handle: Handle, endpoint: EndpointId) {
        let sender = self.decisions.remove(&handle);
        let found = self.endpoint(endpoint);
        let (Some(found), Some(sender)) = (found, sender) else {
            let cancelled = coordination::messages::Verdict::Cancelled;
            let effects = self.dispatcher.done(now, handle, 0, cancelled);
            self.perform(now, effects);
            return;
        };
        let placement = self.dispatcher.placement(handle);
        let source = placement.copy_from;
        let source = source.and_then(|id| self.endpoint(id));
        let dispatch = Dispatch {
            endpoint,
            name: found.name.clone(),
            address: found.address,
            software: found.software,
            copy_from: source.map(|e| e.address),
            placement,
        };
        if sender.send(Decision::Dispatch(dispatch)).is_err() {
            // The caller disconnected while the grant was in transit: no byte was sent.
            let cancelled = coordination::messages::Verdict::Cancelled;
            let effects = self.dispatcher.done(now, handle, 0, cancelled);
            self.perform(now, effects);
        }
    }

    /// Opens a link to a scheduler unless there is one.
    fn dial_scheduler(&mut self, assignment: &Assignment) {
        if self.dialed_schedulers.insert(assignment.node.vm.clone()) {
            self.parts.hub.dial(&assignment.node);
        }
    }

    /// Advances all timeouts and sends what has become due.
    fn tick(&mut self) {
        let now = self.now();
        let effective = self.effective.clone();
        let was_hot = self.dispatcher.is_hot();
        let effects = self.dispatcher.tick(now, &effective);
        self.dirty |= was_hot != self.dispatcher.is_hot();
        self.perform(now, effects);
        self.schedulers.tick(now, &mut self.batch);
        let hub = &self.parts.hub;
        let is_unaware = |vm: &Name| self.unaware_peers.contains(vm);
        let knows_parts = !self.members.iter().any(|member| is_unaware(&member.vm));
        let uplink = match self.dissemination.parent() {
            _ if self.parts.is_control => Uplink::Control(&mut self.queries, hub, knows_parts),
            Some(parent) => Uplink::Parent(parent, hub, !is_unaware(parent)),
            None => Uplink::None,
        };
        let routers = self.dissemination.routers().unwrap_or(1);
        self.quarantine.set_routers(routers);
        let proved = self.dissemination.verified_at();
        self.quarantine.review_verdicts(now, proved);
        self.quarantine.tick(now, uplink);
        self.queries.tick(now, &self.parts.hub);
        self.dissemination
            .tick(now, &self.parts.hub, self.view.version);
        self.dial_schedulers();
        self.request_proof(now);
        self.update_candidacy(now);
        self.send_heartbeat(now);
        self.request_cells(now);
        self.update_readiness(now);
        self.log_dependencies(now);
        self.send_occupancies(now);
        self.tick_origins(now);
        self.tick_catalog(now);
        if now >= self.next_cached_at {
            self.next_cached_at = now.after(CACHED_INTERVAL_MS);
            self.send_cached();
        }
        if now >= self.next_measure_at {
            self.next_measure_at = now.after(MEASURE_INTERVAL_MS);
            self.update_metrics();
            if let Some(handover) = &self.parts.handover {
                handover.log_summaries();
            }
            self.update_dedicated();
            self.send_service_totals();
            self.close_unused_links();
            self.dissemination
                .count_routers(&self.parts.hub, &self.members);
            self.refresh_recent(now);
        }
    }
}
