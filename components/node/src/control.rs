//! The control role: a member of the replicated log, with its disk, on a thread of its own
//! because it blocks on the disk.

use crate::input::Input as ReactorInput;
use crate::journal::Journal;
use crate::metric::{gauge_value, Metrics};
use coordination::assignment::{Assigner, Site};
use coordination::attribution::Attribution;
use coordination::consensus::{Admission, Core, Index, Ready, Refusal, Role, Snapshot, Term};
use errors::{Error, Result};
use protocol::codec;
use protocol::wire::{Drain, Features, Hello, Message, Query, Reply};
use serde::{Deserialize, Serialize};
use state::catalog::{Catalog, Joined, Versions};
use state::clock::{Millis, Stamp};
use state::delta::Delta;
use state::event::{Event, Kind};
use state::fingerprint::Fingerprint;
use state::id::{Name, PartId, Version};
use state::line::Line;
use state::record::{Answer, DiskId, Member, Record};
use state::store::{Document, Store};
use state::suspect::Evidence;
use state::view::{Departure, Node, Shard};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;
use transport::clock::{wall_seconds, Clock};
use transport::disk::Folder;
use transport::link::{Hub, Room};

/// Time between two ticks, which drive the timeouts of the replicated log.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Time between two messages to the reactor that the leader is alive, in milliseconds.
const CONTACT_INTERVAL_MS: u64 = 500;
/// Time between two checks for expired suspicions, in milliseconds.
const EXPIRE_INTERVAL_MS: u64 = 5000;
/// Largest number of inputs that are handled in one round; their records share one sync.
const MAX_INPUTS_PER_ROUND: usize = 512;

/// An input of the control thread.
pub(crate) enum Input {
    /// A link came up.
    Up(Hello),
    /// A link was lost.
    Down(Name),
    /// A message from a VM, and the room that it takes until it is handled.
    Message(Name, Message, Room),
    /// Asks for the state of the replicated log.
    Status(oneshot::Sender<Status>),
    /// Asks for the complete configuration in force here, and the version of the view.
    Document(oneshot::Sender<(Version, Option<Document>)>),
    /// The shards that have endpoints.
    Shards(BTreeSet<Shard>),
    /// The control VMs in the settings have changed.
    Seeds(Vec<Node>),
    /// Ends the thread.
    Stop,
}

/// State of the replicated log, for operators.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) struct Status {
    /// Role of this VM: `leader`, `follower` and so on.
    pub(crate) role: String,
    /// Current term.
    pub(crate) term: u64,
    /// Current leader, if known.
    pub(crate) leader: Option<Name>,
    /// Index of the last committed entry.
    pub(crate) accepted: u64,
    /// Index of the last entry.
    pub(crate) last: u64,
    /// Members that vote.
    pub(crate) voters: Vec<Name>,
    /// Members that do not vote.
    pub(crate) learners: Vec<Name>,
    /// Bytes of log since the last snapshot.
    pub(crate) log_bytes: u64,
    /// Disk syncs since the process started.
    pub(crate) syncs: u64,
    /// Number of stored idempotency keys.
    pub(crate) claims: usize,
}

/// Dependencies and settings of the control role.
pub(crate) struct Parts {
    /// Name and address of this VM.
    pub(crate) node: Node,
    /// Control VMs named in the settings.
    pub(crate) seeds: Vec<Node>,
    /// Rule for which VMs may become members.
    pub(crate) admission: Admission,
    /// Folder of the log and its snapshots.
    pub(crate) data: PathBuf,
    /// Bytes of log after which a snapshot is taken.
    pub(crate) compact_bytes: u64,
    /// Whether configurations may contain objectives of streams.
    pub(crate) stream_objectives: bool,
    /// Links to other processes.
    pub(crate) hub: Hub,
    /// Clock of this process.
    pub(crate) clock: Clock,
    /// Recorder of time-line events.
    pub(crate) journal: Journal,
    /// Metrics of this process.
    pub(crate) metrics: Metrics,
    /// Channel to the reactor.
    pub(crate) reactor: flume::Sender<ReactorInput>,
}

/// A member of the replicated log, with the state that its committed entries produce.
pub(crate) struct Control {
    parts: Parts,
    /// The consensus algorithm.
    core: Core,
    /// The log on disk.
    folder: Folder,
    /// State produced by the applied entries.
    store: Store,
    /// Chooses VMs for schedulers while this VM is the leader.
    assigner: Assigner,
    /// Attributes crashes of endpoints to parts of prompts while this VM is the leader.
    attribution: Attribution,
    /// Since when this VM is the leader, if it is.
    leads_since: Stamp,
    /// Shards that have endpoints.
    shards: BTreeSet<Shard>,
    /// Members as last sent to the reactor.
    members: Vec<Node>,
    /// Addresses of peers with a link, from their greetings.
    nodes: HashMap<Name, Node>,
    /// Whether each VM that has had a link knows the catalog of software versions.
    knows_catalog: HashMap<Name, bool>,
    /// Catalog as last sent to the reactor.
    catalog: Catalog,
    /// Queries that wait for an entry to be applied, by its index: term of the entry, VM that
    /// asked, and ID of the query.
    waiters: BTreeMap<Index, (Term, Name, u64)>,
    /// Index of the last proposed assignment. No others are planned until it is committed.
    assigned_until: Index,
    /// When to check for expired suspicions next.
    next_expire_at: Millis,
    /// Whether this VM was the leader at the last tick.
    was_leader: bool,
    /// Whether this VM was in contact with a leader, as last sent to the reactor.
    has_contact: bool,
    /// When that was last sent.
    contact_sent_at: Millis,
}

impl Control {
    /// Opens the log on disk and restores the state from it.
    ///
    /// # Errors
    ///
    /// If the disk cannot be read or its contents are damaged.
    pub(crate) fn open(parts: Parts) -> Result<Self> {
        let (mut folder, start) = Folder::open(&parts.data, DiskId(rand::random()))?;
        folder.set_compact_bytes(parts.compact_bytes);
        let store = restore(&start.snapshot)?;
        let me = Member {
            disk: folder.identity(),
            node: parts.node.clone(),
        };
        let mut core = Core::new(me, parts.seeds.clone(), start, parts.clock.now());
        core.set_admission(match parts.admission {
            Admission::Seeds => Admission::Seeds,
            Admission::Open {
                may_bootstrap,
                voters,
            } => Admission::Open {
                may_bootstrap: folder.may_bootstrap(may_bootstrap)?,
                voters,
            },
        });
        let mut control = Control {
            core,
            folder,
            store,
            assigner: Assigner::default(),
            attribution: Attribution::default(),
            leads_since: Stamp::default(),
            shards: BTreeSet::new(),
            members: Vec::new(),
            nodes: HashMap::new(),
            knows_catalog: HashMap::new(),
            catalog: Catalog::default(),
            waiters: BTreeMap::new(),
            assigned_until: Index(0),
            next_expire_at: Millis(0),
            was_leader: false,
            has_contact: false,
            contact_sent_at: Millis(0),
            parts,
        };
        control.send_view();
        control.send_catalog();
        Ok(control)
    }

    /// Runs until [`Input::Stop`].
    ///
    /// # Errors
    ///
    /// If a write to the disk fails: its contents are unknown then, and the process must end.
    pub(crate) fn run(mut self, inputs: &flume::Receiver<Input>) -> Result<()> {
        let mut last_tick = Millis(0);
        loop {
            let first = match inputs.recv_timeout(TICK_INTERVAL) {
                Ok(input) => Some(input),
                Err(flume::RecvTimeoutError::Timeout) => None,
                Err(flume::RecvTimeoutError::Disconnected) => return Ok(()),
            };
            for input in first
                .into_iter()
                .chain(inputs.try_iter().take(MAX_INPUTS_PER_ROUND))
            {
                if matches!(input, Input::Stop) {
                    return Ok(());
                }
                self.handle_input(input);
            }
            let now = self.parts.clock.now();
            // CAST: the interval is far below 2^64 milliseconds.
            if now.since(last_tick) >= TICK_INTERVAL.as_millis() as u64 {
                last_tick = now;
                self.core.tick(now);
                self.act_as_leader(now);
            }
            self.process_ready()?;
        }
    }

    /// Handles one input.
    fn handle_input(&mut self, input: Input) {
        let now = self.parts.clock.now();
        match input {
            Input::Up(hello) => {
                let knows_catalog = hello.extension.features.includes(Features::CATALOG);
                self.knows_catalog
                    .insert(hello.node.vm.clone(), knows_catalog);
                self.nodes.insert(hello.node.vm.clone(), hello.node);
            }
            Input::Down(vm) => {
                self.nodes.remove(&vm);
                if !self.members.iter().any(|member| member.vm == vm) {
                    self.knows_catalog.remove(&vm);
                }
                self.assigner.remove(&vm);
            }
            Input::Message(vm, message, room) => {
                self.handle_message(now, &vm, message);
                drop(room);
            }
            // The receiver may have been dropped.
            Input::Status(reply) => drop(reply.send(self.status())),
            Input::Document(reply) => {
                let document = self.store.release.clone();
                // The receiver may have been dropped.
                let _ = reply.send((self.store.view.version, document));
            }
            Input::Shards(shards) => self.shards = shards,
            Input::Seeds(seeds) => {
                self.parts.seeds.clone_from(&seeds);
                self.core.set_seeds(seeds);
            }
            Input::Stop => {}
        }
    }

    /// Handles a message from a VM whose address is known.
    fn handle_message(&mut self, now: Millis, vm: &Name, message: Message) {
        let own = (*vm == self.parts.node.vm).then(|| self.parts.node.clone());
        let Some(node) = own.or_else(|| self.nodes.get(vm).cloned()) else {
            return;
        };
        match message {
            Message::Consensus(envelope) if self.is_control(vm) => {
                self.core.step(now, &node, envelope);
            }
            Message::Heartbeat {
                region,
                data_centre,
                incarnation,
            } => {
                let site = Site {
                    node,
                    region,
                    data_centre,
                };
                self.assigner.record_heartbeat(now, site, incarnation);
            }
            Message::Query(id, query) => self.handle_query(now, vm, id, query),
            _ => {}
        }
    }

    /// Whether a VM may send messages of the replicated log. If members are not named in the
    /// settings, any VM that sends such messages is assumed to run the control role.
    fn is_control(&self, vm: &Name) -> bool {
        match self.parts.admission {
            Admission::Seeds => self.parts.seeds.iter().any(|s| s.vm == *vm),
            Admission::Open { .. } => true,
        }
    }

    /// Answers a query, or proposes the record that it asks for and lets the VM wait.
    fn handle_query(&mut self, now: Millis, vm: &Name, id: u64, query: Query) {
        if !self.core.may_serve(now) {
            let leader = self.core.leader().filter(|l| l.vm != self.parts.node.vm);
            self.reply(vm, id, Reply::NotLeader(leader));
            return;
        }
        if self.answer_copy(vm, id, &query) {
            return;
        }
        let is_evidence = matches!(query, Query::Evidence(_));
        let record = match query {
            Query::CurrentVersion => {
                self.reply(vm, id, Reply::CurrentVersion(self.store.view.version));
                return;
            }
            Query::Versions { service, rule } => {
                let catalog = &self.store.catalog;
                let rules = &self.store.view.config.rules;
                let reply = match catalog.has_begun() {
                    // A rule that has gone may have been replaced by one with another service.
                    true if !rules.iter().any(|r| r.name == rule) => {
                        Reply::Versions(Some(Versions::Several))
                    }
                    true => Reply::Versions(catalog.versions_by_rule(&service, &rule)),
                    false => Reply::Invalid("there is no catalog of versions yet".to_owned()),
                };
                self.reply(vm, id, reply);
                return;
            }
            Query::Evidence(mut evidence) => {
                self.drop_counted(&mut evidence);
                let clock = &self.parts.clock;
                let suspects = &self.store.suspects;
                let stamp = || clock.stamp();
                let decided = (self.attribution).attribute(now, evidence, suspects, stamp);
                if decided.is_empty() {
                    let answer = Answer::Accepted(self.store.view.version);
                    self.reply(vm, id, Reply::Answer(answer));
                    return;
                }
                self.log_attribution(&decided);
                self.record(Query::Evidence(decided))
            }
            other => self.record(other),
        };
        let record = record.and_then(check_size);
        let proposed = record.map(|record| self.core.propose(now, record));
        if is_evidence && !matches!(proposed, Ok(Ok(_))) {
            self.attribution.revert();
        }
        match proposed {
            Ok(Ok(index)) => {
                let term = self.core.term();
                self.waiters.insert(index, (term, vm.clone(), id));
            }
            Ok(Err(Refusal::NotLeader(leader))) => {
                self.reply(vm, id, Reply::NotLeader(leader));
            }
            Ok(Err(Refusal::NoLease | Refusal::Busy)) => {
                self.reply(vm, id, Reply::NotLeader(None));
            }
            Err(reason) => self.reply(vm, id, Reply::Invalid(reason)),
        }
    }

    /// Whether a query for a new configuration is a copy of one that is in progress, and will be answered
    /// with it, or of one that is answered, which it is again.
    ///
    /// A VM sends a query again that is not answered in time. A long configuration takes more than that:
    /// if each copy were parsed and appended, the next ones would come before the first answer.
    fn answer_copy(&self, vm: &Name, id: u64, query: &Query) -> bool {
        let change = match query {
            Query::Change { id, .. } => Some(id),
            Query::Release(_) => None,
            _ => return false,
        };
        if let Some(answer) = change.and_then(|change| self.store.answers.get(change)) {
            self.reply(vm, id, Reply::Answer(answer.clone()));
            return true;
        }
        let mut waiters = self.waiters.values();
        waiters.any(|(_, asker, other)| asker == vm && *other == id)
    }

    /// Converts a query into a log record, or explains why it is invalid.
    fn record(&self, query: Query) -> Result<Record, String> {
        match query {
            Query::CurrentVersion | Query::Versions { .. } => Ok(Record::NoOp),
            Query::Join(joined) => match self.may_update_catalog() {
                true => Ok(Record::Versions(joined)),
                false => Err("a control VM does not know the catalog of versions".to_owned()),
            },
            Query::Claim {
                key,
                customer,
                fingerprint,
                request,
            } => Ok(Record::Claim {
                key,
                customer,
                fingerprint,
                request,
                at: wall_seconds(),
            }),
            Query::Settle {
                key,
                request,
                known,
            } => Ok(Record::Settle {
                key,
                request,
                known,
            }),
            Query::Change { id, base, text } => {
                let draft = settings::parse_configuration("(change)", &text);
                let mut draft = draft.map_err(|e| e.to_string())?;
                if !self.parts.stream_objectives {
                    draft.remove_stream_objectives();
                }
                let delta = Box::new(Delta::between(&self.store.view.config, &draft));
                Ok(Record::Change { id, base, delta })
            }
            Query::Release(mut release) => {
                if !self.parts.stream_objectives {
                    release.draft.remove_stream_objectives();
                }
                Ok(Record::Release(release))
            }
            Query::Evidence(evidence) => Ok(Record::Suspects {
                at: self.parts.clock.stamp(),
                evidence,
            }),
            Query::Drain(drain) => self.departure(drain).map(Record::Departure),
            Query::Evacuation(order) => Ok(Record::Evacuation {
                at: self.parts.clock.stamp(),
                order,
            }),
        }
    }

    /// Whether all members can read a record about the catalog of versions.
    ///
    /// In a fleet that has not used endpoints yet, a member that was never linked is of this release.
    /// An upgraded fleet may have members of an earlier one that are down.
    fn may_update_catalog(&self) -> bool {
        if self.store.catalog.has_begun() {
            return true;
        }
        let is_new = self.store.view.assignments.is_empty();
        let others = self.core.members().all().map(|member| &member.node.vm);
        let mut others = others.filter(|vm| **vm != self.parts.node.vm);
        others.all(|vm| self.knows_catalog.get(vm).copied().unwrap_or(is_new))
    }

    /// Drops crashes that an earlier leader has counted, and that routers report again since they lost
    /// contact to it.
    fn drop_counted(&self, evidence: &mut Evidence) {
        let Evidence { breaks, .. } = evidence;
        for broken in breaks.iter_mut().filter(|b| b.at < self.leads_since) {
            let is_counted = |part: &PartId| {
                let fingerprint = Fingerprint::of_part(*part, Some(broken.customer));
                let counted = self.store.suspects.last_crash(&fingerprint);
                counted.is_some_and(|at| at >= broken.at)
            };
            broken.parts.retain(|(part, _)| !is_counted(part));
        }
    }

    /// Proposes what follows from crashes whose reports have all come in by now.
    fn settle_crashes(&mut self, now: Millis) {
        if !self.attribution.has_settled(now) {
            return;
        }
        let clock = &self.parts.clock;
        let suspects = &self.store.suspects;
        let nothing = Evidence::default();
        let decided = (self.attribution).attribute(now, nothing, suspects, || clock.stamp());
        if decided.is_empty() {
            return;
        }
        self.log_attribution(&decided);
        let record = self.record(Query::Evidence(decided));
        let proposed = record.map(|record| self.core.propose(now, record));
        if !matches!(proposed, Ok(Ok(_))) {
            self.attribution.revert();
        }
    }

    /// Logs the parts of prompts to which crashes are attributed, or that others explain or an answer
    /// has cleared.
    fn log_attribution(&self, decided: &Evidence) {
        let crashed = decided.crashes.iter().map(|c| c.fingerprint);
        let cleared = decided.cleared.iter().map(|c| c.fingerprint);
        let changed: BTreeSet<_> = crashed.chain(cleared).filter_map(|f| f.part()).collect();
        let standings = match changed.is_empty() {
            true => Vec::new(),
            false => self.attribution.standings(self.parts.clock.now()),
        };
        for (part, _) in changed {
            let standing = standings.iter().find(|s| s.part == part);
            tracing::info!(
                event = Line::CrashAttributed.as_str(),
                %part,
                crashes = standing.map_or(0, |s| s.crashes),
                requests = standing.map_or(0, |s| s.requests),
                customers = standing.map_or(0, |s| s.customers.len()),
            );
        }
    }

    /// Converts the names in an announcement of a departure into IDs.
    fn departure(&self, drain: Drain) -> Result<Departure, String> {
        let endpoint = |name: &Name| {
            let found = self.store.view.config.endpoint(name);
            found.ok_or_else(|| format!("no endpoint {name} is in force"))
        };
        match drain {
            Drain::Endpoint(name) => endpoint(&name).map(Departure::Endpoint),
            Drain::EndpointBack(name) => endpoint(&name).map(Departure::EndpointBack),
            Drain::Vm(name, incarnation) => Ok(Departure::Vm(name, incarnation)),
        }
    }

    /// Performs the leader's work: expires suspicions and assigns schedulers.
    fn act_as_leader(&mut self, now: Millis) {
        let leads = self.core.role() == Role::Leader;
        if leads != self.was_leader {
            self.was_leader = leads;
            self.send_to_reactor(ReactorInput::Leadership(leads));
            self.log_role(leads);
            if leads {
                self.assigner.reset(now);
                self.attribution.reset();
                self.leads_since = self.parts.clock.stamp();
            } else {
                self.reject_waiters();
            }
        }
        if !leads || !self.core.may_serve(now) || self.core.commit() < self.assigned_until {
            return;
        }
        self.expire_suspects(now);
        self.settle_crashes(now);
        for assignment in self.assigner.plan(now, &self.store.view, &self.shards) {
            tracing::info!(
                event = Line::SchedulerAssigned.as_str(),
                vm = %assignment.node.vm,
                epoch = assignment.epoch.0,
                service = self.store.view.config.service_name(assignment.shard.service),
                region = %assignment.shard.region,
                data_centre = assignment.shard.data_centre.as_ref().map(Name::as_str),
            );
            if let Ok(index) = self.core.propose(now, Record::Assignment(assignment)) {
                self.assigned_until = index;
            }
        }
    }

    /// Proposes to end suspicions and quarantines that have expired.
    fn expire_suspects(&mut self, now: Millis) {
        if now < self.next_expire_at {
            return;
        }
        self.next_expire_at = now.after(EXPIRE_INTERVAL_MS);
        let at = self.parts.clock.stamp();
        if !self.store.suspects.is_expired(at.wall) {
            return;
        }
        let record = Record::Suspects {
            at,
            evidence: Evidence::default(),
        };
        // A proposal that is refused is made again at the next check.
        let _ = self.core.propose(now, record);
    }

    /// Logs that this VM has become the leader or no longer is.
    fn log_role(&self, leads: bool) {
        let term = self.core.term().0;
        let step = if leads {
            tracing::info!(event = Line::LeaderBegan.as_str(), term);
            Kind::LeaderBegan
        } else {
            tracing::info!(event = Line::LeaderEnded.as_str(), term);
            Kind::LeaderEnded
        };
        self.parts
            .journal
            .record(Event::new(step).version(Version(term)));
    }

    /// Tells waiting callers to ask the next leader. Their records may still be committed; the IDs
    /// that the records carry make a second try harmless.
    fn reject_waiters(&mut self) {
        for (_, vm, id) in std::mem::take(&mut self.waiters).into_values() {
            self.reply(&vm, id, Reply::NotLeader(None));
        }
    }

    /// Writes, syncs, sends and applies until the consensus algorithm has nothing left to do.
    fn process_ready(&mut self) -> Result<()> {
        loop {
            let ready = self.core.ready();
            if ready.is_empty() {
                break;
            }
            if ready.must_sync() {
                let ballot = self.core.ballot();
                self.folder.write(&ready, ballot)?;
                let last = self.core.log().last();
                self.core.synced(last);
            }
            self.carry_out(ready)?;
        }
        if self.folder.needs_snapshot() {
            self.compact()?;
        }
        self.send_leader_contact();
        self.send_members();
        Ok(())
    }

    /// Sends the reactor the members if they have changed, so that it opens links to them. The
    /// settings need not name them.
    fn send_members(&mut self) {
        let members = self.core.members();
        let is_same = members.all().map(|m| &m.node).eq(self.members.iter());
        if is_same {
            return;
        }
        self.members = members.all().map(|m| m.node.clone()).collect();
        tracing::info!(
            event = Line::MembersChanged.as_str(),
            voters = ?members.voters.iter().map(|m| m.node.vm.as_str()).collect::<Vec<_>>(),
            learners = ?members.learners.iter().map(|m| m.node.vm.as_str()).collect::<Vec<_>>(),
        );
        self.send_to_reactor(ReactorInput::Members(self.members.clone()));
    }

    /// Sends messages, installs a snapshot and applies committed entries.
    fn carry_out(&mut self, ready: Ready) -> Result<()> {
        for (node, envelope) in ready.messages {
            self.parts.hub.send(&node.vm, Message::Consensus(envelope));
        }
        if let Some(snapshot) = ready.install {
            self.store = restore(&snapshot)?;
            self.send_view();
            self.send_catalog();
        }
        let mut steps = Vec::new();
        let mut joins = false;
        for entry in ready.committed {
            let (answer, step) = self.store.apply(&entry.record);
            joins |= step.is_some() || matches!(entry.record, Record::Versions(_));
            if let Record::Versions(joined) = &entry.record {
                self.log_joined(joined);
            }
            steps.extend(step);
            if let Some((term, vm, id)) = self.waiters.remove(&entry.index) {
                // The entry at this index may be another leader's instead.
                let reply = if term == entry.term {
                    Reply::Answer(answer)
                } else {
                    Reply::NotLeader(None)
                };
                self.reply(&vm, id, reply);
            }
        }
        if !steps.is_empty() {
            self.send_to_reactor(ReactorInput::Applied(steps));
        }
        if joins {
            self.send_catalog();
        }
        self.update_metrics();
        Ok(())
    }

    /// Replaces the applied entries of the log by a snapshot of the state.
    fn compact(&mut self) -> Result<()> {
        let index = self.core.applied();
        let log = self.core.log();
        let Some(term) = log.term(index) else {
            return Ok(());
        };
        let bytes = codec::encode_value(&(&self.store, &self.store.catalog))?;
        let snapshot = Snapshot {
            index,
            term,
            members: log.members_at(index).clone(),
            bytes: Arc::new(bytes),
        };
        let tail = log.entries_from(index.next(), usize::MAX);
        self.folder
            .start_generation(&snapshot, self.core.ballot(), &tail)?;
        self.core.compact(snapshot);
        Ok(())
    }

    /// Tells the reactor whether this VM is in contact with a leader, so that its view is current.
    fn send_leader_contact(&mut self) {
        let now = self.parts.clock.now();
        let has_contact = self.core.has_leader_contact(now);
        let due = has_contact && now.since(self.contact_sent_at) >= CONTACT_INTERVAL_MS;
        if due || has_contact != self.has_contact {
            self.has_contact = has_contact;
            self.contact_sent_at = now;
            self.send_to_reactor(ReactorInput::LeaderContact(has_contact));
        }
    }

    /// Logs which software versions have joined their services.
    fn log_joined(&self, joined: &Joined) {
        let catalog = &self.store.catalog;
        let several = joined.iter().map(|(service, _)| service);
        let several: BTreeSet<&str> = several
            .filter(|service| catalog.is_mixed(service))
            .map(Name::as_str)
            .collect();
        let joined = joined.iter().map(|(s, software)| format!("{s}:{software}"));
        tracing::info!(
            event = Line::VersionsJoined.as_str(),
            joined = joined.collect::<Vec<_>>().join(","),
            several = several.into_iter().collect::<Vec<_>>().join(","),
        );
    }

    /// Sends the reactor the catalog of software versions if it has changed.
    fn send_catalog(&mut self) {
        if self.store.catalog != self.catalog {
            self.catalog.clone_from(&self.store.catalog);
            let catalog = Box::new(self.catalog.clone());
            self.send_to_reactor(ReactorInput::Catalog(catalog));
        }
    }

    /// Sends the reactor the whole view.
    fn send_view(&self) {
        let view = Box::new(self.store.view.clone());
        self.send_to_reactor(ReactorInput::Restored(view));
    }

    /// Sends an input to the reactor.
    fn send_to_reactor(&self, input: ReactorInput) {
        // The reactor ends only together with this process.
        let _ = self.parts.reactor.send(input);
    }

    /// Sends a VM the reply to its query.
    fn reply(&self, vm: &Name, id: u64, reply: Reply) {
        // A VM whose link was lost repeats its query.
        self.parts.hub.send(vm, Message::Reply(id, reply));
    }

    /// Updates the gauges of the replicated log.
    fn update_metrics(&self) {
        let set = |what, number| {
            let gauge = self.parts.metrics.control.with_label_values(&[what]);
            gauge.set(gauge_value(number));
        };
        set("term", self.core.term().0);
        set("accepted", self.core.commit().0);
        set("leads", u64::from(self.core.role() == Role::Leader));
        set("log_bytes", self.folder.log_bytes());
        set("syncs", self.folder.sync_count());
        set("claims", self.store.claims.len() as u64);
    }

    /// State of the replicated log, for operators.
    fn status(&self) -> Status {
        let names = |members: &[Member]| members.iter().map(|m| m.node.vm.clone()).collect();
        let members = self.core.members();
        Status {
            role: format!("{:?}", self.core.role()).to_lowercase(),
            term: self.core.term().0,
            leader: self.core.leader().map(|p| p.vm),
            accepted: self.core.commit().0,
            last: self.core.log().last().0,
            voters: names(&members.voters),
            learners: names(&members.learners),
            log_bytes: self.folder.log_bytes(),
            syncs: self.folder.sync_count(),
            claims: self.store.claims.len(),
        }
    }
}

/// Checks that a record is small enough to be sent to the other control VMs.
fn check_size(record: Record) -> Result<Record, String> {
    if record.is_large() && !codec::fits_record(&record) {
        return Err(format!(
            "it has more than {} bytes",
            codec::MAX_RECORD_BYTES
        ));
    }
    Ok(record)
}

/// Decodes the state in a snapshot.
fn restore(snapshot: &Snapshot) -> Result<Store> {
    if snapshot.bytes.is_empty() {
        return Ok(Store::default());
    }
    let decoded = codec::decode_extended(&snapshot.bytes);
    let (store, catalog): (Store, Catalog) = decoded.map_err(|_| Error::Corrupt {
        step: "read the state",
        path: "(snapshot)".to_owned(),
        reason: "the snapshot was written by another version of this program".to_owned(),
    })?;
    Ok(Store { catalog, ..store })
}
